//! One channel at a gateway: its queue, what is out, and what this gateway may do by its leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::cursor::{Aged, Cursor, Kept, Out, Rule};
use super::order::{most, Repeat, Wanted};
use super::{After, Enter, Finish, Outcome};
use crate::peers::Incoming;
pub use crate::permit::{Leases, Permit};

/// Who waits in a channel's queue.
#[derive(Debug)]
pub enum Who {
    /// A request of this gateway.
    Local(Box<Enter>),
    /// Another gateway, with a request of its own.
    Remote(Option<Incoming>),
}

/// A place in the queue.
#[derive(Debug)]
pub struct Entry {
    /// Who.
    pub who: Who,
    /// What it is.
    pub wanted: Wanted,
    /// By which contract.
    pub rule: Rule,
    /// When it gives up.
    pub until: Instant,
    /// Since when a number before it is missing.
    pub gap: Option<Instant>,
}

/// A request that is out, or about to be.
#[derive(Debug)]
pub struct Running {
    /// Its ticket.
    pub ticket: u64,
    /// Its number.
    pub number: Option<u64>,
    /// What is told once holders know of it, at this change of the cursor.
    pub waits: Option<(u64, Box<Enter>, bool)>,
}

/// What this gateway is to a channel.
#[derive(Debug, Default)]
pub enum State {
    /// Not its home.
    #[default]
    Away,
    /// Claiming it, for a request of this number.
    Seeking(Option<u64>, tokio::task::AbortHandle),
    /// Its home, if the leases say so.
    Home,
}

/// A channel at this gateway.
#[derive(Debug)]
pub struct Channel {
    /// What this gateway is to it.
    pub state: State,
    /// The highest epoch that this gateway has claimed, or may never claim again.
    pub epoch: u64,
    /// Which claim of this gateway's is on its way.
    pub round: u64,
    /// Its holders.
    pub holders: Vec<Box<str>>,
    /// Who has granted the epoch, under which of its leases.
    pub granted: BTreeMap<Box<str>, u64>,
    /// The newest that this gateway knows.
    pub aged: Aged,
    /// Who waits.
    pub queue: Vec<Entry>,
    /// What is out.
    pub out: Vec<Running>,
    /// Until when what is out may still be sent.
    pub permit: Permit,
    /// The change that each holder has, and whether one is on its way to it.
    pub told: BTreeMap<Box<str>, (u64, bool)>,
    /// When it was used last.
    pub used: Instant,
    /// Not before then is it claimed again.
    pub rests: Option<Instant>,
    /// Guards against: a repeat that is sent when its window is over, at its second or third attempt.
    pub cap: Option<Instant>,
    /// The request that holders were told of with the claim.
    pub first: Option<u64>,
}

impl Channel {
    /// One that has just been asked for.
    #[must_use]
    pub fn new(now: Instant, rule: Rule) -> Self {
        Self {
            state: State::Away,
            epoch: 0,
            round: 0,
            holders: Vec::new(),
            granted: BTreeMap::new(),
            aged: Aged::new(now, Cursor::new(rule)),
            queue: Vec::new(),
            out: Vec::new(),
            permit: Permit::default(),
            told: BTreeMap::new(),
            used: now,
            rests: None,
            cap: None,
            first: None,
        }
    }

    /// The cursor at `now`, changed: holders are to be told.
    pub fn change(&mut self, now: Instant, change: impl FnOnce(&mut Cursor)) -> u64 {
        let cursor = self.aged.now(now);
        change(cursor);
        cursor.age = Duration::ZERO;
        cursor.version.1 += 1;
        cursor.version.1
    }

    /// What is out, or nothing, in the cursor.
    pub fn goes_out(&mut self, now: Instant, entry: &Entry, again: bool) -> u64 {
        let Wanted { number, group, .. } = entry.wanted;
        let wait = entry.until.saturating_duration_since(now);
        self.change(now, |cursor| {
            // Guards against: a window counted from a repeat.
            let age = cursor.doubt.filter(|_| again).map_or(Duration::ZERO, |doubt| doubt.age);
            cursor.out = Some(Out { number, group, age });
            cursor.longest = cursor.longest.max(wait);
        })
    }

    /// A request has ended; the place of one that never ran stays free for its repeat.
    pub fn ended(&mut self, now: Instant, ticket: u64, outcome: Outcome, position: Option<u64>) -> bool {
        let Some(at) = self.out.iter().position(|running| running.ticket == ticket) else { return false };
        let running = self.out.swap_remove(at);
        let numbered = self.aged.told().rule.order == yewroute_table::Order::Numbered;
        (self.used, self.cap) = (now, None);
        self.change(now, |cursor| {
            cursor.out = None;
            cursor.position = cursor.position.max(position);
            let kept = match outcome {
                Outcome::Served(bytes) => Kept::Served(bytes),
                Outcome::Unknown => Kept::Failed,
                Outcome::NeverRan => return,
            };
            match running.number.filter(|_| numbered) {
                Some(number) => cursor.end(number, kept),
                None => cursor.doubt = None,
            }
        });
        true
    }

    /// What a read of the channel's has to see.
    pub fn after(&mut self, now: Instant) -> Option<After> {
        let cursor = self.aged.now(now);
        match (cursor.position, cursor.unsure) {
            (None, None) => None,
            (position, unsure) => Some(After { position, ago: unsure }),
        }
    }

    /// Holders that have what this change says.
    #[must_use]
    pub fn known(&self, change: u64) -> usize {
        self.told.values().filter(|(told, _)| *told >= change).count()
    }

    /// Bytes that it takes in memory, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let names = self.holders.len() * 3 * 24;
        let queue = self.queue.len() * (size_of::<Entry>() + size_of::<Enter>());
        size_of::<Self>() + self.aged.told().bytes() + names + queue + self.out.len() * size_of::<Running>()
    }

    /// Nothing of it is out or waits.
    #[must_use]
    pub fn rests(&self) -> bool {
        self.out.is_empty() && self.queue.is_empty() && !matches!(self.state, State::Seeking(..))
    }

    /// A later holder needs nothing of it from here.
    #[must_use]
    pub fn is_told(&self) -> bool {
        matches!(self.state, State::Away)
            || self.known(self.aged.version().1) >= most(self.holders.len().max(1))
    }
}

/// What is told to a request whose number has ended.
#[must_use]
pub fn finish(kept: Kept) -> Finish {
    match kept {
        Kept::Served(bytes) => Finish::Kept(bytes),
        Kept::Long | Kept::Failed => Finish::Failed,
    }
}

/// It is sent only once holders know: what must never run twice.
#[must_use]
pub fn tells_first(repeat: Repeat) -> bool {
    repeat == Repeat::Never
}
