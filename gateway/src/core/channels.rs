//! Requests that stand in a channel's order: parked until their turn, sent while the permit runs, told of once nothing of them
//! is out any more.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use yewroute::interface::{Effect as Repeats, Event, KeyScope, Request, RequestId, Status};
use yewroute_federation::channels::claim::LONGEST_NAME;
use yewroute_federation::channels::cursor::{Rule, LONGEST_KEPT};
use yewroute_federation::channels::order::{Repeat, Wanted};
use yewroute_federation::channels::{Enter, Finish, News, Outcome, Turn, What};
use yewroute_federation::permit::Permit;
use yewroute_table::Order;

use super::unserved::TurnedAway;
use super::{Answer, Ask, Core, Effect, Ended, Payload, Reason};

/// When a client is to come back where nobody can be asked yet.
const SOON: Duration = Duration::from_millis(500);

/// An age of nothing would stand for no write.
const LEAST: Duration = Duration::from_micros(1);

/// The contract of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Contracted {
    rule: Rule,
    most: usize,
}

/// A request that stands in an order.
struct Ordered {
    /// What the module gets once its turn has come, and since when it waits.
    parked: Option<(Request, Instant)>,
    permit: Option<Permit>,
    /// An attempt is out; one may have run.
    out: bool,
    ran: bool,
    served: Option<Vec<u8>>,
    position: Option<u64>,
}

/// All of them.
#[derive(Default)]
pub(super) struct Orders {
    held: HashMap<RequestId, Ordered>,
    news: VecDeque<News>,
    /// The contracts of all classes by the table of this version. They stay when the tasks have ended: what they forbid is
    /// forbidden then too.
    contracts: (u64, Vec<Option<Contracted>>),
}

impl Orders {
    /// It must not be sent now.
    pub(super) fn barred(&self, now: Instant, id: RequestId) -> bool {
        let permit = self.held.get(&id).map(|ordered| ordered.permit.as_ref());
        permit.is_some_and(|permit| permit.is_none_or(|permit| !permit.runs(now)))
    }

    /// An attempt goes out, while this runs.
    pub(super) fn sent(&mut self, id: RequestId) -> Option<Permit> {
        let ordered = self.held.get_mut(&id)?;
        ordered.out = true;
        ordered.permit.clone()
    }

    /// An attempt has ended.
    pub(super) fn ended(&mut self, id: RequestId, ended: &Ended) {
        let Some(ordered) = self.held.get_mut(&id) else { return };
        ordered.out = false;
        ordered.position = ordered.position.max(ended.note.applied_ms);
        if ended.status == Status::Good {
            let short = ended.served.len() <= LONGEST_KEPT;
            ordered.served = Some(if short { ended.served.clone() } else { Vec::new() });
        } else {
            ordered.ran |= !ended.status.never_ran();
        }
    }

    /// Nobody wants its value any more, which had begun.
    pub(super) fn abandoned(&mut self, id: RequestId) {
        if let Some(ordered) = self.held.get_mut(&id) {
            (ordered.out, ordered.ran) = (false, true);
        }
    }

    /// Its client has been answered.
    pub(super) fn answered(&mut self, id: RequestId, answer: &Answer) {
        if let (Some(ordered), Answer::Failed) = (self.held.get_mut(&id), answer) {
            ordered.ran |= ordered.parked.is_none();
        }
    }
}

impl<B: Payload> Core<B> {
    /// The contract that a request stands under, if any; or why it cannot be taken in.
    pub(super) fn order_of(&mut self, class: usize, ask: &Ask<B>) -> Result<Option<Contracted>, TurnedAway> {
        if let Some(common) = &self.common {
            let acting = common.acting.load();
            if acting.version == 0 && (ask.channel.is_some() || ask.number.is_some()) {
                // Guards against: an order that is not kept until the first table is known.
                let why = "no table is known yet".to_owned();
                let answer = Answer::OutOfTurn { full: false, why, retry_after: Some(SOON) };
                return Err(TurnedAway { class: Some(class), answer, reason: Reason::Order });
            }
            if acting.version != self.orders.contracts.0 {
                let contracts = self.deployment.class_names.iter().map(|name| {
                    let contract = acting.table.contract(name)?;
                    Some(Contracted { rule: Rule::of(contract), most: contract.most as usize })
                });
                self.orders.contracts = (acting.version, contracts.collect());
            }
        }
        let contracted = self.orders.contracts.1.get(class).copied().flatten();
        match contracted {
            Some(contracted) if contracted.rule.order == Order::Numbered && ask.number.is_none() => {
                let answer = Answer::Invalid("the contract on this class's order wants a number: n");
                Err(TurnedAway { class: Some(class), answer, reason: Reason::Invalid })
            }
            contracted => Ok(contracted),
        }
    }

    /// Parks a request until its turn.
    pub(super) fn enter(
        &mut self,
        now: Instant,
        request: Request,
        contracted: Contracted,
        (channel, number, key): (Option<Vec<u8>>, Option<u64>, Vec<u8>),
    ) {
        let class = &self.deployment.module.classes[request.class];
        let repeat = match class.effect {
            Repeats::Idempotent => Repeat::Free,
            Repeats::Deduplicated { scope, window } => {
                Repeat::Within { window, everywhere: scope == KeyScope::All }
            }
            Repeats::AtMostOnce => Repeat::Never,
        };
        let enter = Enter {
            ticket: u64::try_from(request.id.0).unwrap_or(u64::MAX),
            channel: channel.unwrap_or_else(|| name(key)),
            wanted: Wanted { number, group: request.group.0, repeat },
            rule: contracted.rule,
            most: contracted.most,
            reads: class.freshness != yewroute::interface::Freshness::Write,
            until: now + request.left,
        };
        let ordered = Ordered {
            permit: None,
            out: false,
            ran: false,
            served: None,
            position: None,
            parked: Some((request, now)),
        };
        let id = RequestId(enter.ticket.into());
        self.orders.held.insert(id, ordered);
        self.orders.news.push_back(News::Enter(Box::new(enter)));
    }

    /// A request's turn has come, or never will.
    pub fn take_turn(&mut self, now: Instant, turn: Turn, effects: &mut Vec<Effect<B>>) {
        let id = RequestId(turn.ticket.into());
        let parked = self.orders.held.get_mut(&id).and_then(|ordered| ordered.parked.take());
        match (turn.what, parked) {
            (What::Go { permit, after, again }, Some((mut request, since))) => {
                request.left = request.left.saturating_sub(now.saturating_duration_since(since));
                request.resent |= again;
                // Of what this gateway knows of the channel's writes the latest has to be seen: the least age.
                let position = after.and_then(|after| after.position).map(|position| self.age(now, position));
                let unsure = after.and_then(|after| after.ago).map(|ago| ago.max(LEAST));
                request.sees = position.into_iter().chain(unsure).min();
                if let Some(ordered) = self.orders.held.get_mut(&id) {
                    ordered.permit = Some(permit);
                }
                self.route(now, Event::Request(request), effects);
                self.settle_order(id);
            }
            (What::Go { .. }, None) => {
                // Nobody waits for it any more: its place is free.
                let ended = News::Ended { ticket: turn.ticket, outcome: Outcome::NeverRan, position: None };
                self.orders.news.push_back(ended);
            }
            (What::Finish(finish), Some(_)) => {
                self.orders.held.remove(&id);
                let answer = match finish {
                    Finish::Kept(bytes) => return self.relay(id, Answer::Served(bytes), effects),
                    Finish::Failed => Answer::Failed,
                    Finish::Refused { full, why, retry } => {
                        Answer::OutOfTurn { full, why, retry_after: self.retry(retry) }
                    }
                };
                self.end_unserved(id, answer, Reason::Order, effects);
            }
            (What::Finish(_), None) => {}
        }
    }

    /// When a client is to come back, as far as it is told at all.
    fn retry(&self, retry: Option<Duration>) -> Option<Duration> {
        let limits = &self.deployment.module.limits;
        retry.filter(|_| limits.retry_after).map(|retry| retry.min(limits.max_retry_after))
    }

    /// Tells the tasks what came of a request, once it has been answered and nothing of it is out.
    pub(super) fn settle_order(&mut self, id: RequestId) {
        let over = |ordered: &Ordered| !ordered.out;
        if self.held.contains_key(&id) || !self.orders.held.get(&id).is_some_and(over) {
            return;
        }
        let (Some(ordered), Ok(ticket)) = (self.orders.held.remove(&id), u64::try_from(id.0)) else { return };
        let Ordered { parked, ran, served, position, .. } = ordered;
        let news = match (parked, served, ran) {
            (Some(_), ..) => News::Gone(ticket),
            (None, Some(bytes), _) => News::Ended { ticket, outcome: Outcome::Served(bytes), position },
            (None, None, true) => News::Ended { ticket, outcome: Outcome::Unknown, position },
            (None, None, false) => News::Ended { ticket, outcome: Outcome::NeverRan, position },
        };
        self.orders.news.push_back(news);
    }

    /// It still waits for its turn.
    pub(super) fn is_parked(&self, id: RequestId) -> bool {
        self.orders.held.get(&id).is_some_and(|ordered| ordered.parked.is_some())
    }

    /// Hands the tasks what requests of channels have come to; who comes and finds no room is refused.
    pub fn hand_on_channels(&mut self, mut hand: impl FnMut(News) -> bool, effects: &mut Vec<Effect<B>>) {
        while let Some(news) = self.orders.news.pop_front() {
            let entered = if let News::Enter(enter) = &news { Some(enter.ticket) } else { None };
            let kept = entered.is_none().then(|| news.clone());
            if hand(news) {
                continue;
            }
            match (entered, kept) {
                (Some(ticket), _) => {
                    let id = RequestId(ticket.into());
                    self.orders.held.remove(&id);
                    let why = "the order of channels cannot be kept at this gateway now".to_owned();
                    let retry_after = self.retry(Some(SOON));
                    self.end_unserved(
                        id,
                        Answer::OutOfTurn { full: false, why, retry_after },
                        Reason::Order,
                        effects,
                    );
                }
                (None, Some(kept)) if self.common.is_some() => {
                    // Guards against: a channel that waits for ever for an end that was lost.
                    self.orders.news.push_front(kept);
                    return;
                }
                _ => {}
            }
        }
    }

    /// A request that waited for its turn until its time was over.
    pub(super) fn too_late(&mut self, id: RequestId, effects: &mut Vec<Effect<B>>) {
        let why = "its turn in the channel's order did not come in time".to_owned();
        let retry_after = self.retry(Some(SOON));
        self.end_unserved(id, Answer::OutOfTurn { full: false, why, retry_after }, Reason::Order, effects);
    }
}

/// A channel's name after a session's key, which may be longer than names are.
fn name(key: Vec<u8>) -> Vec<u8> {
    if key.len() <= LONGEST_NAME {
        return key;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    [&b"#"[..], &hasher.finish().to_le_bytes()].concat()
}
