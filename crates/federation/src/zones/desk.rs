//! What each gateway does about plans: tells the steward what it saw, acts by the plan that comes back, hands on an operator's
//! word. While it is the steward itself it works plans out as well.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{interval, MissedTickBehavior};

use super::steward::Steward;
use super::{Acting, Answer, Ask, Cell, Demand, News, Order, Plan, Row, Settled, ZonesError, MOST_ROWS};
use crate::bridge::{now, Wish};
use crate::error::PeerError;
use crate::peers::Incoming;
use crate::road::{quoted, Entry};
use crate::Context;

/// How often the steward is told, in a fleet of up to a hundred; longer in proportion in a larger one.
pub const REPORT: Duration = Duration::from_millis(250);
const SMALL: usize = 100;
/// How long one gateway is asked.
const ASKED: Duration = Duration::from_millis(700);
/// Questions to others that wait at a time.
const MOST_WORK: usize = 64;

/// What came of a question to another gateway.
enum Done {
    /// Of a report, and when it was sent.
    Reported(Instant, Result<Answer, PeerError>),
    /// Of asking for a plan that another holds.
    Fetched(Result<Answer, PeerError>),
    /// Of an operator's word, which was answered already.
    Ordered,
}

struct Desk {
    context: Context,
    settled: Settled,
    cells: Vec<Cell>,
    names: BTreeMap<u64, Box<str>>,
    rows: BTreeMap<(u64, u64), Row>,
    demand: BTreeMap<u64, Demand>,
    reporting: bool,
    report_at: Instant,
    steward: Option<Steward>,
    work: JoinSet<Done>,
    /// What was said last of how this gateway acts.
    state: &'static str,
}

/// Works until all ends, once the event loop has said how.
pub async fn run(context: Context, mut news: mpsc::Receiver<News>, mut asked: mpsc::Receiver<Incoming>) {
    let mut desk: Option<Desk> = None;
    let mut beat = interval(REPORT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let Some(desk) = &mut desk else {
            tokio::select! {
                () = context.ends.cancelled() => return,
                next = news.recv() => match next {
                    Some(News::Settled(settled)) => desk = Some(Desk::new(context.clone(), *settled)),
                    Some(News::Drain { caller, .. }) => refuse(&context, caller, &ZonesError::NotYet),
                    Some(_) => {}
                    None => return,
                },
                Some(incoming) = asked.recv() => incoming.reply::<Ask>(&Answer::NotNow),
            }
            continue;
        };
        tokio::select! {
            () = desk.context.ends.cancelled() => return,
            next = news.recv() => match next {
                Some(next) => desk.learn(next),
                None => return,
            },
            Some(incoming) = asked.recv() => desk.answer(incoming),
            Some(done) = desk.work.join_next(), if !desk.work.is_empty() => desk.done(done.ok()),
            _ = beat.tick() => desk.turn(),
        }
    }
}

/// An operator's call is answered with what stands in its way.
fn refuse(context: &Context, caller: u64, error: &ZonesError) {
    let body = format!("{{\"problem\":{},\"do\":{}}}", quoted(&error.to_string()), quoted(error.help()));
    context.wish(Wish::Answer { caller, status: error.status(), body });
}

impl Desk {
    fn new(context: Context, settled: Settled) -> Self {
        let names = settled.names.clone();
        let at = now();
        Self {
            context,
            settled,
            cells: Vec::new(),
            names,
            rows: BTreeMap::new(),
            demand: BTreeMap::new(),
            reporting: false,
            report_at: at,
            steward: None,
            work: JoinSet::new(),
            state: "",
        }
    }

    fn me(&self) -> &str {
        &self.context.terms.name
    }

    fn learn(&mut self, news: News) {
        match news {
            News::Settled(settled) => self.settled = *settled,
            News::Listed(cells, names) => {
                self.cells = cells;
                self.names = self.settled.names.clone();
                for (zone, name) in names {
                    self.names.entry(zone).or_insert(name);
                }
            }
            News::Seen(rows, demand) => {
                for row in rows.into_iter().take(MOST_ROWS) {
                    add_row(self.rows.entry((row.group, row.zone)).or_default(), row);
                }
                for more in demand.into_iter().take(MOST_ROWS) {
                    let held = self.demand.entry(more.group).or_default();
                    (held.group, held.reads) = (more.group, held.reads.saturating_add(more.reads));
                    held.worth += more.worth;
                }
            }
            News::Drain { caller, order } => self.hand_on(caller, order),
        }
    }

    /// The place in the log at which this gateway is the steward now; none while it is not. Looked at right before what only the
    /// steward may say.
    fn leads(&self) -> Option<(u64, u64)> {
        let outlook = self.context.outlook.borrow();
        outlook.steward_until.filter(|until| outlook.sure && now() < *until)?;
        let decided = outlook.table.as_ref()?;
        let entry = Entry::read(&decided.value)?;
        (entry.by == (self.context.terms.name.clone(), self.context.terms.incarnation))
            .then_some(decided.place)
    }

    fn turn(&mut self) {
        let at = now();
        match (self.leads(), &self.steward) {
            (Some(place), None) => {
                let held = self.context.shared.zones.load_full().map(|acting| Arc::clone(&acting.plan));
                self.steward = Some(Steward::new(at, place, held));
            }
            (None, Some(_)) => self.steward = None,
            _ => {}
        }
        if at >= self.report_at && !self.reporting {
            let members = self.context.peers.members().len();
            self.report_at = at + REPORT.mul_f64((members as f64 / SMALL as f64).max(1.0)) / 2;
            self.report(at);
        }
        let me = self.context.terms.name.clone();
        let plan = self
            .steward
            .as_mut()
            .and_then(|steward| steward.look(at, &me, &self.cells, &self.settled, &self.names));
        if let Some(plan) = plan {
            tracing::info!(epoch = %plan.epoch, cause = plan.cause, "zones: another plan");
            // A plan of a steward that is none any more is nobody's.
            if self.leads().is_some() {
                let told = Ask::Told(Box::new((*plan).clone()));
                for member in self.context.peers.members().iter().skip(1) {
                    // Who misses it has it with its next lease.
                    let _ = self.context.peers.tell(&member.name, &told);
                }
                self.act_by(plan, None);
            }
        }
        self.say_state(at);
    }

    /// Tells the steward what was seen, and asks for a lease.
    fn report(&mut self, at: Instant) {
        let Some(steward) = self.context.outlook.borrow().steward.clone() else { return };
        let epoch =
            self.context.shared.zones.load().as_ref().map_or_else(Default::default, |held| held.plan.epoch);
        let rows = std::mem::take(&mut self.rows).into_values().collect();
        let demand = std::mem::take(&mut self.demand).into_values().collect();
        let report = Ask::Report { zone: self.settled.zone, epoch, rows, demand };
        let peers = self.context.peers.clone();
        self.reporting = true;
        self.work.spawn(async move { Done::Reported(at, peers.ask(&steward, &report, ASKED).await) });
    }

    fn done(&mut self, done: Option<Done>) {
        match done {
            Some(Done::Reported(at, answer)) => {
                self.reporting = false;
                let until = at + self.context.terms.lease_held();
                match answer {
                    Ok(Answer::Lease(Some(plan))) => self.act_by(Arc::new(*plan), Some(until)),
                    Ok(Answer::Lease(None)) => {
                        let held = self.context.shared.zones.load_full();
                        held.into_iter().for_each(|held| self.act_by(Arc::clone(&held.plan), Some(until)));
                    }
                    Ok(_) => {}
                    Err(error) => tracing::debug!(%error, help = error.help(), "zones: no lease"),
                }
            }
            Some(Done::Fetched(Ok(Answer::Held(Some(plan))))) => {
                self.steward.iter_mut().for_each(|steward| steward.go_on(Arc::new((*plan).clone())));
            }
            Some(Done::Fetched(_) | Done::Ordered) => {}
            // It panicked, and was logged by itself.
            None => self.reporting = false,
        }
    }

    /// Acts by a plan from now on, if it is not older than the one held; under a lease until then, or as before.
    fn act_by(&mut self, plan: Arc<Plan>, until: Option<Instant>) {
        let (at, held) = (now(), self.context.shared.zones.load_full());
        if held.as_ref().is_some_and(|held| plan.epoch < held.plan.epoch) {
            return;
        }
        let same = held.as_ref().filter(|held| held.plan.epoch == plan.epoch);
        if same.is_none() {
            tracing::info!(epoch = %plan.epoch, cause = plan.cause, "zones: acts by a plan");
            self.context.shared.figures.plans.fetch_add(1, Ordering::Relaxed);
        }
        let before = held.as_ref().map_or(at, |held| held.until);
        let acting = Acting {
            since: same.map_or(at, |held| held.since),
            plan: same.map_or(plan, |held| Arc::clone(&held.plan)),
            until: until.unwrap_or(at).max(before),
            keep: self.settled.keep,
        };
        self.context.shared.zones.store(Some(Arc::new(acting)));
    }

    /// Says once how this gateway acts when that has changed.
    fn say_state(&mut self, at: Instant) {
        let held = self.context.shared.zones.load();
        let Some(held) = held.as_ref() else { return };
        let state = if at < held.until {
            "acting"
        } else if held.holds(at) {
            "kept"
        } else {
            "near first"
        };
        match (std::mem::replace(&mut self.state, state), state) {
            (before, now) if before == now => {}
            (_, "kept") => {
                tracing::warn!(epoch = %held.plan.epoch, keep_s = held.keep.as_secs(), "zones: the lease has ended; the plan is kept for a while");
            }
            (_, "near first") => {
                tracing::warn!(epoch = %held.plan.epoch, "zones: the plan has ended; near first by this gateway's own events");
            }
            ("kept" | "near first", _) => {
                tracing::info!(epoch = %held.plan.epoch, "zones: under a lease again")
            }
            _ => {}
        }
    }

    fn answer(&mut self, incoming: Incoming) {
        let (at, leads) = (now(), self.leads());
        let steward =
            self.steward.as_mut().filter(|steward| leads.is_some_and(|place| place >= steward.place()));
        let answer = match (incoming.read::<Ask>(), steward) {
            (Some(Ask::Report { zone, epoch, rows, demand }), Some(steward)) => {
                steward.report(at, (&incoming.from, zone), rows, demand);
                if steward.wants(epoch) && self.work.len() < MOST_WORK {
                    let (peers, from) = (self.context.peers.clone(), incoming.from.clone());
                    self.work.spawn(async move { Done::Fetched(peers.ask(&from, &Ask::Fetch, ASKED).await) });
                }
                match steward.plan() {
                    Some(plan) if plan.epoch == epoch => Answer::Lease(None),
                    Some(plan) => Answer::Lease(Some(Box::new((**plan).clone()))),
                    None => Answer::NotNow,
                }
            }
            (Some(Ask::Drain(order)), Some(steward)) => {
                match steward.order(at, &order, &self.cells, &self.settled, &self.names) {
                    Ok(epoch) => Answer::Done(epoch),
                    Err(ZonesError::NoZone(_)) => Answer::NoZone,
                    Err(ZonesError::TooMuch { why, .. }) => Answer::Refused(why),
                    Err(_) => Answer::NotNow,
                }
            }
            (Some(Ask::Told(plan)), _) => {
                let members = self.context.peers.members();
                if members.iter().any(|member| member.name == incoming.from) {
                    self.act_by(Arc::new(*plan), None);
                }
                Answer::Heard
            }
            (Some(Ask::Fetch), _) => {
                let held = self.context.shared.zones.load();
                Answer::Held(held.as_ref().map(|held| Box::new((*held.plan).clone())))
            }
            _ => Answer::NotNow,
        };
        incoming.reply::<Ask>(&answer);
    }

    /// Hands an operator's word on to the steward, and answers the call.
    fn hand_on(&mut self, caller: u64, order: Order) {
        let context = self.context.clone();
        let steward = context.outlook.borrow().steward.clone();
        let Some(steward) = steward.filter(|_| self.work.len() < MOST_WORK) else {
            return refuse(&context, caller, &ZonesError::NoSteward);
        };
        tracing::info!(zone = %order.zone, drains = order.drains, forced = order.forced, by = self.me(), "zones: an operator's word");
        self.work.spawn(async move {
            let answer = context.peers.ask(&steward, &Ask::Drain(order.clone()), 2 * ASKED).await;
            let Order { zone, drains, forced } = order;
            match answer {
                Ok(Answer::Done(epoch)) => {
                    let zone = quoted(&zone);
                    let body = format!(
                        "{{\"zone\":{zone},\"drained\":{drains},\"forced\":{forced},\"epoch\":\"{epoch}\"}}"
                    );
                    context.wish(Wish::Answer { caller, status: 200, body });
                }
                Ok(Answer::Refused(why)) => refuse(&context, caller, &ZonesError::TooMuch { zone, why }),
                Ok(Answer::NoZone) => refuse(&context, caller, &ZonesError::NoZone(zone)),
                Ok(_) => refuse(&context, caller, &ZonesError::NotYet),
                Err(error) => refuse(&context, caller, &ZonesError::Steward(error)),
            }
            Done::Ordered
        });
    }
}

fn add_row(held: &mut Row, more: Row) {
    let add = |held: &mut u32, more: u32| *held = held.saturating_add(more);
    (held.group, held.zone, held.away) = (more.group, more.zone, more.away);
    add(&mut held.answered, more.answered);
    add(&mut held.reads, more.reads);
    add(&mut held.failed, more.failed);
    add(&mut held.late, more.late);
    add(&mut held.full, more.full);
    held.took_us = held.took_us.saturating_add(more.took_us);
}
