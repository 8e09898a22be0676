//! What is kept of a channel: by its home, and by the gateways that hold it for the time when the home is gone.
//!
//! No clock is carried from one gateway to another, only ages: how long ago something was, when it was told.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use yewroute_table::{Contract, OnUnknown, Order};

/// Outcomes that are kept.
const MOST_KEPT: usize = 4;
/// The longest answer among them, in bytes.
pub const LONGEST_KEPT: usize = 4 * 1024;

/// The part of a contract that a channel works by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The order.
    pub order: Order,
    /// How long a missing number is waited for.
    pub gap: Duration,
    /// How long a channel at rest is remembered.
    pub keep: Duration,
    /// What follows on a number whose outcome nobody can tell.
    pub on_unknown: OnUnknown,
}

impl Rule {
    /// That of a contract.
    #[must_use]
    pub fn of(contract: &Contract) -> Self {
        let Contract { order, gap, keep, on_unknown, .. } = *contract;
        Self { order, gap, keep, on_unknown }
    }
}

/// How a number ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kept {
    /// Served: the answer, as it went to the client.
    Served(Vec<u8>),
    /// Served, with an answer too long to be kept.
    Long,
    /// Whether it took effect nobody can tell.
    Failed,
}

/// A request that was to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Out {
    /// Its number.
    pub number: Option<u64>,
    /// Its group.
    pub group: u64,
    /// Since when it may have run.
    pub age: Duration,
}

/// What a home that was lost may have sent without anybody's knowing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// What it was seen to send, if anything.
    pub out: Option<Out>,
    /// Whatever it sent, it did not send before that.
    pub age: Duration,
    /// Whatever it sent may still run for so long.
    pub left: Duration,
}

/// What is kept of a channel.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cursor {
    /// The epoch of the home that wrote it, and which of its writes it is: the higher, the newer.
    pub version: (u64, u64),
    /// What the channel works by.
    pub rule: Rule,
    /// The number that goes next; none before the first.
    pub next: Option<u64>,
    /// What is out. With own writes that is not told.
    pub out: Option<Out>,
    /// How the last numbers ended.
    pub ended: VecDeque<(u64, Kept)>,
    /// The newest position of its own writes, as Unix time in milliseconds.
    pub position: Option<u64>,
    /// Writes before that, counted back from now, may have been its own without being known.
    pub unsure: Option<Duration>,
    /// What a lost home may have sent.
    pub doubt: Option<Doubt>,
    /// The number at which the order stands still.
    pub halted: Option<u64>,
    /// The longest that a request of it has been given.
    pub longest: Duration,
    /// How long ago it was last written.
    pub age: Duration,
}

impl Cursor {
    /// That of a channel that nobody has seen.
    #[must_use]
    pub fn new(rule: Rule) -> Self {
        Self {
            version: (0, 0),
            rule,
            next: None,
            out: None,
            ended: VecDeque::new(),
            position: None,
            unsure: None,
            doubt: None,
            halted: None,
            longest: Duration::ZERO,
            age: Duration::ZERO,
        }
    }

    /// So much later.
    #[must_use]
    pub fn later(mut self, by: Duration) -> Self {
        self.age += by;
        self.out.iter_mut().for_each(|out| out.age += by);
        self.unsure.iter_mut().for_each(|unsure| *unsure += by);
        if let Some(doubt) = &mut self.doubt {
            doubt.age += by;
            doubt.left = doubt.left.saturating_sub(by);
            doubt.out.iter_mut().for_each(|out| out.age += by);
        }
        self
    }

    /// A number has ended; the outcomes that are soonest useless make room.
    pub fn end(&mut self, number: u64, kept: Kept) {
        let kept = match kept {
            Kept::Served(bytes) if bytes.is_empty() || bytes.len() > LONGEST_KEPT => Kept::Long,
            kept => kept,
        };
        if kept == Kept::Failed && self.rule.on_unknown == OnUnknown::Halt {
            self.halted = self.halted.or(Some(number));
        }
        self.settle(number, kept);
    }

    fn settle(&mut self, number: u64, kept: Kept) {
        self.ended.push_back((number, kept));
        while self.ended.len() > MOST_KEPT {
            self.ended.pop_front();
        }
        self.next = self.next.max(Some(number.saturating_add(1)));
        self.doubt = None;
    }

    /// Numbers before this one, which a lost home may have sent, count as ended, unknown.
    pub fn pass_over(&mut self, number: u64) {
        let next = self.next.unwrap_or(number);
        for missing in next.max(number.saturating_sub(MOST_KEPT as u64))..number {
            self.settle(missing, Kept::Failed);
        }
        (self.next, self.doubt) = (Some(number), None);
    }

    /// Bytes that it takes in memory, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let kept = |kept: &Kept| if let Kept::Served(bytes) = kept { bytes.len() } else { 0 };
        size_of::<Self>() + self.ended.iter().map(|(_, k)| kept(k) + size_of::<(u64, Kept)>()).sum::<usize>()
    }

    /// What the next home has to take for possible of one that was lost: nothing that it said after this can be known.
    /// `seen` is what holders were told of a first request together with the claim.
    #[must_use]
    pub fn inherited(mut self, seen: Option<Out>) -> Self {
        let out = seen.or(self.out.take());
        let before = self.doubt.take();
        // Guards against: a window counted from the second time that a request may have run.
        let age = before.map_or(self.age, |doubt| doubt.age.max(self.age));
        let age = out.map_or(age, |out| out.age.max(age));
        self.doubt = Some(Doubt { out: out.or(before.and_then(|doubt| doubt.out)), age, left: self.longest });
        self.unsure = Some(Duration::ZERO);
        self
    }
}

/// A cursor whose ages were right at some time.
#[derive(Clone, Debug)]
pub struct Aged {
    cursor: Cursor,
    at: Instant,
}

impl Aged {
    /// As told at `now`.
    #[must_use]
    pub fn new(now: Instant, cursor: Cursor) -> Self {
        Self { cursor, at: now }
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> (u64, u64) {
        self.cursor.version
    }

    /// As it is at `now`.
    pub fn now(&mut self, now: Instant) -> &mut Cursor {
        let by = now.saturating_duration_since(self.at);
        if !by.is_zero() {
            let rule = self.cursor.rule;
            self.cursor = std::mem::replace(&mut self.cursor, Cursor::new(rule)).later(by);
            self.at = now;
        }
        &mut self.cursor
    }

    /// What is held, with ages as of when it was told.
    #[must_use]
    pub fn told(&self) -> &Cursor {
        &self.cursor
    }

    /// How long ago it was written.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.cursor.age + now.saturating_duration_since(self.at)
    }
}
