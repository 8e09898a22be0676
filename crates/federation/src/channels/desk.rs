//! The task that owns what this gateway has of channels: as their home, as a holder, and as the steward that gives the list.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use yewroute_table::Order;

use super::claim::{Copied, Holder, LONGEST_NAME};
use super::home::{finish, tells_first, Channel, Entry, Leases, Permit, Running, State, Who};
use super::order::{past_gap, repeats_for, step, Past, Step};
use super::seek::{seek, Seek, Sought};
use super::{Ask, Enter, Finish, News, Said, Turn, What};
use crate::bridge::{now, Wish};
use crate::peers::Incoming;
use crate::roster::{Giver, Listed, Roster};
use crate::Context;

/// Claims of this gateway's that are on their way at a time, and messages to holders.
const MOST_SEEKS: usize = 512;
pub(super) const MOST_PUTS: usize = 768;
/// Requests that wait at a gateway for their turns, and those of one channel.
const MOST_WAITING: usize = 20_000;
pub(super) const MOST_QUEUED: usize = 256;
/// Channels of which only the number of an epoch is kept.
pub(super) const MOST_CHANNELS: usize = 100_000;
/// How often requests that wait are looked at, and how often all is looked over.
const TICK: Duration = Duration::from_millis(10);
const SWEEP: Duration = Duration::from_secs(1);
/// The list is asked for at every so manieth renewal while there is no contract.
const REST: u32 = 3;
/// A channel that was let go is remembered for so long: longer than anybody acts on that it was.
pub(super) const GHOST: Duration = Duration::from_secs(60);

pub(super) enum Done {
    Sought { channel: Vec<u8>, round: u64, ticket: Option<u64>, sought: Sought },
    Put { channel: Vec<u8>, holder: Box<str>, version: (u64, u64), asked: Instant, said: Option<(bool, u64)> },
    Renewed { holder: Box<str>, asked: Instant, life: Option<u64> },
    Roster { asked: Instant, said: Option<(Roster, bool, Duration)> },
    Page { from: Box<str>, list: (u64, Box<str>), said: Option<(Vec<Copied>, bool)> },
}

/// Who holds channels, as this gateway goes by it.
pub(super) struct Holders {
    pub(super) list: Listed,
    /// Whose records this gateway has asked for since it goes by the list.
    pub(super) heard: BTreeSet<Box<str>>,
    /// The list before.
    pub(super) before: Option<Roster>,
}

/// All that this gateway has of channels.
pub struct Desk {
    pub(super) context: Context,
    pub(super) me: (Box<str>, u64),
    /// A channel's lease as its home counts it.
    pub(super) lease: Duration,
    pub(super) holder: Holder,
    pub(super) giver: Option<Giver>,
    pub(super) listed: Option<Holders>,
    pub(super) leases: Leases,
    pub(super) channels: HashMap<Vec<u8>, Channel>,
    pub(super) tickets: HashMap<u64, Vec<u8>>,
    /// Channels in which something waits, and those that holders are to be told of.
    pub(super) waiting: BTreeSet<Vec<u8>>,
    pub(super) dirty: BTreeSet<Vec<u8>>,
    /// Those of which a holder could not be told: it is tried again with the next renewal.
    pub(super) again: BTreeSet<Vec<u8>>,
    pub(super) work: JoinSet<Done>,
    pub(super) seeks: usize,
    pub(super) puts: usize,
}

/// Runs until the token ends it.
pub async fn run(context: Context, news: mpsc::Receiver<News>, inbox: mpsc::Receiver<Incoming>) {
    Desk::new(context).run(news, inbox).await;
}

impl Desk {
    /// One that knows nothing yet.
    #[must_use]
    pub fn new(context: Context) -> Self {
        let lease = context.terms.lease / 3;
        let drift = context.terms.drift;
        let holder = Holder::new(now(), lease.mul_f64(1.0 + drift));
        Self {
            me: (context.terms.name.clone(), context.terms.incarnation),
            lease: lease.mul_f64(1.0 - drift),
            holder,
            giver: None,
            listed: None,
            leases: Leases::default(),
            channels: HashMap::new(),
            tickets: HashMap::new(),
            waiting: BTreeSet::new(),
            dirty: BTreeSet::new(),
            again: BTreeSet::new(),
            work: JoinSet::new(),
            seeks: 0,
            puts: 0,
            context,
        }
    }

    /// Takes what comes until the token ends it.
    pub async fn run(mut self, mut news: mpsc::Receiver<News>, mut inbox: mpsc::Receiver<Incoming>) {
        let ends = self.context.ends.clone();
        let mut acting = self.context.acting.clone();
        let third = self.lease / 3;
        let (mut renew, mut sweep) = (tokio::time::interval(third), tokio::time::interval(SWEEP));
        renew.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut round, mut contracts) = (0_u32, self.has_contracts());
        loop {
            let waits = !self.waiting.is_empty() || !self.dirty.is_empty();
            tokio::select! {
                biased;
                () = ends.cancelled() => return,
                _ = renew.tick() => {
                    round += 1;
                    if round % REST == 0 || !self.idles(now()) {
                        self.renew();
                    }
                }
                Some(done) = self.work.join_next(), if !self.work.is_empty() => {
                    if let Ok(done) = done {
                        self.done(now(), done);
                    }
                }
                Some(news) = news.recv() => self.news(now(), news),
                Some(incoming) = inbox.recv() => self.asked(now(), incoming),
                _ = sweep.tick() => self.sweep(now()),
                Ok(()) = acting.changed() => {
                    self.allow(now());
                    // Guards against: a first contract that waits for the list.
                    if std::mem::replace(&mut contracts, self.has_contracts()) != self.has_contracts() {
                        self.renew();
                    }
                }
                () = tokio::time::sleep(TICK), if waits => {
                    for channel in self.waiting.clone() {
                        self.pump(now(), &channel);
                    }
                }
            }
            self.flush(now());
        }
    }

    fn has_contracts(&self) -> bool {
        !self.context.acting.borrow().table.contracts.is_empty()
    }

    /// No contract holds and there is no channel, so that the list need only be kept up.
    fn idles(&self, now: Instant) -> bool {
        let soon = now + self.lease;
        let listed =
            self.listed.as_ref().is_some_and(|listed| listed.list.settled && listed.list.until > soon);
        listed && self.channels.is_empty() && !self.has_contracts()
    }

    /// Until when this gateway may act as a holder or a home at all.
    pub(super) fn acts_until(&self, now: Instant) -> Option<Instant> {
        let acting = self.context.acting.borrow().clone();
        self.listed.as_ref()?.list.acts_until(&acting, now)
    }

    /// Until when a channel's requests may be sent.
    pub(super) fn right(&self, now: Instant, channel: &Channel) -> Option<Instant> {
        let acts = self.acts_until(now)?;
        let until = self.leases.until(&channel.granted, channel.holders.len().max(1))?;
        let until = until.min(acts).min(channel.cap.unwrap_or(until));
        matches!(channel.state, State::Home).then_some(until).filter(|until| *until > now)
    }

    /// Says anew until when what is out may be sent.
    pub(super) fn allow(&mut self, now: Instant) {
        for channel in self.channels.values() {
            if matches!(channel.state, State::Home) && !channel.out.is_empty() {
                channel.permit.set(self.right(now, channel));
            }
        }
    }

    fn news(&mut self, now: Instant, news: News) {
        match news {
            News::Enter(enter) => self.enter(now, enter),
            News::Gone(ticket) => self.gone(now, ticket),
            News::Ended { ticket, outcome, position } => {
                let Some(name) = self.tickets.remove(&ticket) else { return };
                let Some(channel) = self.channels.get_mut(&name) else { return };
                if channel.ended(now, ticket, outcome, position) {
                    self.dirty.insert(name.clone());
                }
                self.pump(now, &name);
            }
        }
    }

    fn enter(&mut self, now: Instant, enter: Box<Enter>) {
        let name = enter.channel.clone();
        if !self.channels.contains_key(&name) {
            let homes = self.channels.len() >= enter.most.min(MOST_CHANNELS);
            if name.len() > LONGEST_NAME || homes && !self.make_room(now) {
                let why = "as many channels as the contract allows are held";
                return self.refuse(enter.ticket, true, why.to_owned(), Some(SWEEP));
            }
        }
        let channel = self.channels.entry(name.clone()).or_insert_with(|| Channel::new(now, enter.rule));
        // Guards against: one client's filling the memory.
        if channel.queue.len() >= MOST_QUEUED || self.tickets.len() >= MOST_WAITING {
            let why = "too many requests wait for their turns".to_owned();
            return self.refuse(enter.ticket, true, why, Some(SWEEP));
        }
        self.tickets.insert(enter.ticket, name.clone());
        let (wanted, rule, until) = (enter.wanted, enter.rule, enter.until);
        channel.queue.push(Entry { who: Who::Local(enter), wanted, rule, until, gap: None });
        channel.used = now;
        self.pump(now, &name);
    }

    fn gone(&mut self, now: Instant, ticket: u64) {
        let Some(name) = self.tickets.remove(&ticket) else { return };
        let Some(channel) = self.channels.get_mut(&name) else { return };
        channel.queue.retain(|entry| !matches!(&entry.who, Who::Local(enter) if enter.ticket == ticket));
        channel.ended(now, ticket, super::Outcome::NeverRan, None);
        self.pump(now, &name);
    }

    fn refuse(&self, ticket: u64, full: bool, why: String, retry: Option<Duration>) {
        self.finish(ticket, Finish::Refused { full, why, retry });
    }

    fn finish(&self, ticket: u64, finish: Finish) {
        self.context.wish(Wish::Turn(Turn { ticket, what: What::Finish(finish) }));
    }

    /// Does what can be done for those who wait in a channel.
    pub(super) fn pump(&mut self, now: Instant, name: &[u8]) {
        let Some(mut channel) = self.channels.remove(name) else {
            self.waiting.remove(name);
            return;
        };
        self.expire(now, &mut channel);
        match &channel.state {
            State::Home => self.serve(now, name, &mut channel),
            State::Seeking(..) | State::Away => {}
        }
        if !matches!(channel.state, State::Home) {
            self.claim(now, name, &mut channel);
        }
        if channel.queue.is_empty() {
            self.waiting.remove(name);
        } else if !self.waiting.contains(name) {
            self.waiting.insert(name.to_vec());
        }
        self.channels.insert(name.to_vec(), channel);
    }

    /// Who has waited for as long as he can is told so.
    fn expire(&mut self, now: Instant, channel: &mut Channel) {
        // Guards against: looking through a long queue at each of its turns.
        if channel.queue.iter().all(|entry| entry.until > now) {
            return;
        }
        let (over, left): (Vec<Entry>, _) =
            std::mem::take(&mut channel.queue).into_iter().partition(|e: &Entry| e.until <= now);
        channel.queue = left;
        for entry in over {
            if let Who::Local(enter) = entry.who {
                self.tickets.remove(&enter.ticket);
                let why = "its turn in the channel's order did not come in time".to_owned();
                self.refuse(enter.ticket, false, why, Some(Duration::from_millis(250)));
            }
        }
    }

    /// Goes after a channel of which this gateway is not the home.
    fn claim(&mut self, now: Instant, name: &[u8], channel: &mut Channel) {
        for entry in &mut channel.queue {
            if let Who::Remote(asker) = &mut entry.who {
                if let Some(asker) = asker.take() {
                    asker.reply::<Ask>(&Said::Seeks);
                }
            }
        }
        channel.queue.retain(|entry| matches!(entry.who, Who::Local(_)));
        let Some(first) = channel.queue.iter().min_by_key(|entry| entry.wanted.number) else {
            if let State::Seeking(_, task) = &channel.state {
                task.abort();
                self.give_up(channel, name);
            }
            return;
        };
        if let State::Seeking(number, task) = &channel.state {
            if *number <= first.wanted.number {
                return;
            }
            // A lower number has come: its place is sought.
            task.abort();
            self.give_up(channel, name);
        }
        let acts = self.acts_until(now).is_some();
        let Some(listed) = self.listed.as_ref().filter(|_| acts) else { return };
        if self.seeks >= MOST_SEEKS || channel.rests.is_some_and(|rests| rests > now) {
            return;
        }
        let Some(first) = channel.queue.iter().min_by_key(|entry| entry.wanted.number) else { return };
        channel.holders = listed.list.roster.holders(name, self.context.terms.keep);
        channel.round += 1;
        let known = channel.aged.version() > (0, 0);
        let sought = Seek {
            channel: name.to_vec(),
            holders: channel.holders.clone(),
            list: listed.list.roster.number.clone(),
            wanted: first.wanted,
            rule: first.rule,
            until: first.until,
            epoch: channel.epoch,
            cursor: known.then(|| channel.aged.clone().now(now).clone()),
            tells: first.rule.order != Order::OwnWrites,
        };
        let ticket = if let Who::Local(enter) = &first.who { Some(enter.ticket) } else { None };
        let (peers, round, of) = (self.context.peers.clone(), channel.round, name.to_vec());
        let number = first.wanted.number;
        self.seeks += 1;
        let task = self.work.spawn(async move {
            Done::Sought { channel: of, round, ticket, sought: seek(peers, sought).await }
        });
        channel.state = State::Seeking(number, task);
    }

    /// A claim that is called off; what holders granted of it is told back.
    fn give_up(&mut self, channel: &mut Channel, _name: &[u8]) {
        channel.state = State::Away;
        channel.round += 1;
        self.seeks = self.seeks.saturating_sub(1);
        // Guards against: the same epoch, once more, for a promise that it is not used.
        channel.epoch += 1;
    }

    /// Gives turns to those whose turn it is.
    fn serve(&mut self, now: Instant, name: &[u8], channel: &mut Channel) {
        let drift = self.context.terms.drift;
        loop {
            if self.right(now, channel).is_none() {
                if channel.out.is_empty() && !channel.queue.is_empty() {
                    // It was lost, or may have been: it has to be claimed again.
                    self.leave(channel);
                }
                return;
            }
            let Some((at, step)) = self.turn(now, channel, drift) else { return };
            let mut entry = channel.queue.remove(at);
            channel.used = now;
            match step {
                Step::Go { again } => {
                    let Who::Local(enter) = entry.who else {
                        if let Who::Remote(asker) = entry.who {
                            self.release(now, name, channel, asker);
                        }
                        return;
                    };
                    entry.who = Who::Remote(None);
                    self.go(now, name, channel, &entry, enter, again);
                }
                Step::Ended(kept) => self.tell(entry, finish(kept)),
                Step::Lost => match entry.who {
                    Who::Local(_) => {
                        if let Some(number) = entry.wanted.number {
                            channel.change(now, |cursor| cursor.end(number, super::cursor::Kept::Failed));
                            self.dirty.insert(name.to_vec());
                        }
                        self.tell(entry, Finish::Failed);
                    }
                    Who::Remote(asker) => return self.release(now, name, channel, asker),
                },
                Step::Halted(at) => {
                    let why = format!(
                        "this channel's order stands still at number {at}, whose outcome nobody can tell"
                    );
                    let retry = Some(channel.aged.told().rule.keep);
                    self.tell(entry, Finish::Refused { full: false, why, retry });
                }
                Step::Gap(wanted) => {
                    let why = format!("number {wanted} of this channel is wanted first");
                    self.tell(
                        entry,
                        Finish::Refused { full: false, why, retry: Some(channel.aged.told().rule.gap) },
                    );
                }
                Step::Wait(_) => return,
            }
        }
    }

    /// Whose turn it is in a channel of which this gateway is the home, and what it comes to.
    fn turn(&mut self, now: Instant, channel: &mut Channel, drift: f64) -> Option<(usize, Step)> {
        let out = channel.out.len();
        let mut past = None;
        for at in 0..channel.queue.len() {
            let entry = &mut channel.queue[at];
            let (wanted, rule) = (entry.wanted, entry.rule);
            let cursor = channel.aged.now(now);
            if rule != cursor.rule {
                // A channel keeps the contract under which it has something out.
                if out > 0 || cursor.doubt.is_some_and(|doubt| !doubt.left.is_zero()) {
                    return None;
                }
                cursor.rule = rule;
            }
            let numbered = rule.order == Order::Numbered;
            let step = step(cursor, out, &wanted, drift);
            let remote = matches!(entry.who, Who::Remote(_));
            match step {
                Step::Wait(_) if numbered => continue,
                Step::Wait(_) => return None,
                Step::Gap(wanted) => {
                    let since = *entry.gap.get_or_insert(now);
                    if now.saturating_duration_since(since) >= rule.gap {
                        past = Some((at, wanted));
                    }
                }
                // It is let go only when nothing is out.
                Step::Go { .. } | Step::Lost if remote && out > 0 => {
                    if !numbered {
                        return None;
                    }
                }
                step => return Some((at, step)),
            }
        }
        let (at, missing) = past?;
        let number = channel.queue[at].wanted.number.unwrap_or_default();
        match past_gap(channel.aged.told()) {
            Past::Refused => Some((at, Step::Gap(missing))),
            Past::Begins => {
                channel.change(now, |cursor| cursor.next = Some(number));
                Some((at, Step::Go { again: false }))
            }
            Past::GoesOn => {
                channel.change(now, |cursor| cursor.pass_over(number));
                Some((at, Step::Go { again: false }))
            }
            Past::Halts => {
                channel.change(now, |cursor| cursor.halted = Some(missing));
                Some((at, Step::Halted(missing)))
            }
        }
    }

    pub(super) fn tell(&mut self, entry: Entry, finish: Finish) {
        match entry.who {
            Who::Local(enter) => {
                self.tickets.remove(&enter.ticket);
                self.finish(enter.ticket, finish);
            }
            Who::Remote(Some(asker)) => asker.reply::<Ask>(&Said::Finish(finish)),
            Who::Remote(None) => {}
        }
    }

    /// A request of this gateway's goes out; what must never run twice, only once holders know.
    fn go(
        &mut self,
        now: Instant,
        name: &[u8],
        channel: &mut Channel,
        entry: &Entry,
        enter: Box<Enter>,
        again: bool,
    ) {
        let (ticket, number) = (enter.ticket, entry.wanted.number);
        let own = entry.rule.order == Order::OwnWrites;
        let drift = self.context.terms.drift;
        let doubt = channel.aged.now(now).doubt.filter(|_| again);
        let span = doubt.and_then(|doubt| repeats_for(&doubt, entry.wanted.repeat, drift));
        channel.cap = span.map(|span| now + span);
        channel.permit.set(self.right(now, channel));
        let change = if own { 0 } else { channel.goes_out(now, entry, again) };
        if !own {
            self.dirty.insert(name.to_vec());
        }
        let known = own || channel.first == Some(ticket) || !tells_first(entry.wanted.repeat);
        channel.first = None;
        if known {
            channel.out.push(Running { ticket, number, waits: None });
            self.send(now, channel, &enter, again);
        } else {
            channel.out.push(Running { ticket, number, waits: Some((change, enter, again)) });
        }
    }

    pub(super) fn send(&self, now: Instant, channel: &mut Channel, enter: &Enter, again: bool) {
        let after =
            channel.after(now).filter(|_| enter.reads && channel.aged.told().rule.order == Order::OwnWrites);
        let what = What::Go { permit: channel.permit.clone(), after, again };
        self.context.wish(Wish::Turn(Turn { ticket: enter.ticket, what }));
    }

    /// This gateway is the channel's home no more.
    fn leave(&mut self, channel: &mut Channel) {
        channel.permit.set(None);
        channel.permit = Permit::default();
        channel.state = State::Away;
        channel.granted.clear();
        channel.told.clear();
    }

    /// Lets a channel go to another gateway.
    fn release(&mut self, now: Instant, name: &[u8], channel: &mut Channel, asker: Option<Incoming>) {
        self.leave(channel);
        self.dirty.remove(name);
        // The next home gets its claim through first.
        channel.rests = Some(now + Duration::from_millis(15));
        if let Some(asker) = asker {
            let cursor = Box::new(channel.aged.now(now).clone());
            asker.reply::<Ask>(&Said::Yielded(channel.epoch, Some(cursor)));
        }
    }
}
