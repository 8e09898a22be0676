//! Who keeps a limit, and what a keeper has given to whom. No clock, no sockets: times come in.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::share::{allotment, Floors, Want};

/// A limit by all that it says: the same in another version of the table is the same limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// That of a limit; where it stands in its text is no part of it.
    #[must_use]
    pub fn of(limit: &yewroute_table::Limit) -> Self {
        let bytes = postcard::to_allocvec(&yewroute_table::Limit { line: 0, ..limit.clone() });
        let hash = blake3::hash(&bytes.unwrap_or_default());
        let mut key = [0; 16];
        key.copy_from_slice(&hash.as_bytes()[..16]);
        Self(key)
    }
}

/// When a lease ends by its holder's own clock: counted from before it was asked for, and shorter by as much as another's clock
/// may be faster.
#[must_use]
pub fn holds_until(asked: Instant, length: Duration, drift: f64) -> Instant {
    asked + length.mul_f64(1.0 - drift)
}

/// How long it surely lasts by everybody else's, from after it was given.
#[must_use]
pub fn over_after(length: Duration, drift: f64) -> Duration {
    length.mul_f64(1.0 + drift)
}

/// A process of the fleet: a name and which of its lives.
pub type Process = (Box<str>, u64);

/// Seats that a steward can remember.
const MOST_SEATS: usize = 1_024;
/// Who asks may have so many times its share, of what nobody holds: others have given it back, or have not asked for it yet.
const LENT: f64 = 1.2;
/// Processes that a keeper can remember for a limit.
const MOST_HOLDERS: usize = 4_096;

/// The steward's word on a seat: there is one keeper of a limit at a time, since there is one steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seat {
    /// The asker keeps the limit for the length that was asked about. `first`: nobody ever did, so nothing was given.
    Yours {
        /// Nobody kept it before.
        first: bool,
    },
    /// Another keeps it.
    Taken(Box<str>),
    /// Nobody can be given it now.
    None,
}

/// The seats that a steward has given.
#[derive(Debug, Default)]
pub struct Seats {
    /// This steward's hold, as last looked at, and since when it has lasted without a gap.
    hold: Option<(Instant, Instant)>,
    given: HashMap<Key, (Process, Instant)>,
    /// Limits of the version in force that no version before had, and nobody has kept yet.
    fresh: HashSet<Key>,
    /// The version whose limits were looked at, and whether it was settled.
    seen: (u64, bool),
    limits: HashSet<Key>,
}

impl Seats {
    /// Looks at the steward's hold. Guards against: what was given by another steward while this one was none.
    pub fn look(&mut self, now: Instant, until: Option<Instant>) {
        let lasts = self.hold.is_some_and(|(_, held)| now < held);
        self.hold = until.filter(|until| now < *until).map(|until| {
            let since = self.hold.filter(|_| lasts).map_or(now, |(since, _)| since);
            (since, until)
        });
        if self.hold.is_none() || !lasts {
            self.given.clear();
            self.fresh.clear();
        }
    }

    /// Looks at the version that this gateway acts by. A limit that comes in with a version right after a settled one
    /// without it was kept by nobody: this steward would have given the seat.
    pub fn switch(&mut self, version: u64, settled: bool, limits: HashSet<Key>) {
        if version != self.seen.0 {
            if self.seen.1 && version == self.seen.0 + 1 && self.hold.is_some() {
                self.fresh = limits.difference(&self.limits).copied().collect();
            } else {
                self.fresh.clear();
            }
            self.limits = limits;
        }
        self.seen = (version, settled);
    }

    /// Gives a seat, or not. `over` is the seat's length as all but its holder count it. `keeps`: it has it from the steward
    /// before. `free`: seats may be given to who has none, as the version is settled.
    pub fn ask(
        &mut self,
        now: Instant,
        key: Key,
        by: Process,
        keeps: bool,
        over: Duration,
        free: bool,
    ) -> Seat {
        let Some((since, until)) = self.hold else { return Seat::None };
        // Guards against: a hold that ended since it was looked at.
        if now >= until {
            return Seat::None;
        }
        match self.given.get(&key) {
            Some((holder, ends)) if *holder != by && now < *ends => return Seat::Taken(holder.0.clone()),
            Some((holder, ends)) if *holder == by && now < *ends => {}
            // It was given by this steward and has ended, or was given by nobody since the one before could.
            Some(_) if free => {}
            None if keeps || free && (now >= since + over || self.fresh.contains(&key)) => {}
            _ => return Seat::None,
        }
        self.given.retain(|_, (_, ends)| now < *ends + 60 * over);
        if self.given.len() >= MOST_SEATS && !self.given.contains_key(&key) {
            return Seat::None;
        }
        self.given.insert(key, (by, now + over));
        Seat::Yours { first: self.fresh.remove(&key) }
    }
}

/// What a gateway asks of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Counts up with each question of a process.
    pub number: u64,
    /// What it holds beyond its floor, and may spend until it has the answer.
    pub holds: f64,
    /// Permits in use.
    pub out: u32,
    /// What it wants, refused attempts too.
    pub wants: Vec<Want>,
    /// The largest floor that it knows of limits of this name in older tables.
    pub before: f64,
}

/// What it is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Given {
    /// Beyond its floor.
    pub amount: f64,
    /// It would have got more, had others given back already what they are to give back.
    pub short: bool,
    /// Nothing can grow yet: what is given back now is lost for a while.
    pub blind: bool,
}

#[derive(Debug)]
struct Holder {
    number: u64,
    /// What it said it holds, and the latest end of that.
    held: (f64, Instant),
    /// What it has been given since, unless the answer was lost.
    given: (f64, Instant),
    wants: Vec<Want>,
    heard: Instant,
}

impl Holder {
    /// The most that it may spend at `now`.
    fn most(&self, now: Instant) -> f64 {
        let runs = |(amount, ends): (f64, Instant)| if now < ends { amount } else { 0.0 };
        runs(self.held).max(runs(self.given))
    }

    fn ends(&self) -> Instant {
        self.held.1.max(self.given.1)
    }
}

/// What a keeper has given of one limit.
#[derive(Debug)]
pub struct Book {
    floors: Floors,
    /// Permits: whole, and they stay out after a lease for as long as attempts run.
    whole: bool,
    /// An allotment's length as all but its holder count it, and how long what was sent under it may still run.
    over: Duration,
    runs: Duration,
    /// Until then allotments may run that this keeper has not given.
    blind_until: Instant,
    holders: HashMap<Process, Holder>,
    known: HashSet<Box<str>>,
    /// The largest floor of older tables.
    before: f64,
}

impl Book {
    /// An empty book. `now` is after the seat was given; nothing but what is reported can grow until all that an earlier
    /// keeper may have given has ended, unless there was none.
    #[must_use]
    pub fn new(
        now: Instant,
        floors: Floors,
        whole: bool,
        over: Duration,
        runs: Duration,
        first: bool,
    ) -> Self {
        let runs = if whole { runs } else { Duration::ZERO };
        let blind_until = if first && !whole { now } else { now + over + runs };
        let (holders, known) = (HashMap::new(), HashSet::new());
        Self { floors, whole, over, runs, blind_until, holders, known, before: 0.0 }
    }

    /// What all together may spend at `now` beyond the floors, as far as this keeper has given it.
    #[must_use]
    pub fn outstanding(&self, now: Instant) -> f64 {
        self.holders.values().map(|holder| holder.most(now)).sum()
    }

    /// Whether this keeper does not know yet all that runs.
    #[must_use]
    pub fn blind(&self, now: Instant) -> bool {
        now < self.blind_until
    }

    /// Answers a gateway; none if the question is older than one that has been answered, or there is no room.
    pub fn ask(&mut self, now: Instant, by: &Process, report: &Report) -> Option<Given> {
        self.holders.retain(|_, held| now < held.ends());
        let mine = self.holders.get(by);
        // Guards against: a question that comes late and tells of less than is held by now.
        if mine.is_some_and(|mine| report.number <= mine.number)
            || mine.is_none() && self.holders.len() >= MOST_HOLDERS
        {
            return None;
        }
        if self.known.len() < MOST_HOLDERS {
            self.known.insert(by.0.clone());
        }
        self.before = self.before.max(report.before);
        let others = || self.holders.iter().filter(|(holder, _)| *holder != by).map(|(_, held)| held);
        let fresh = |held: &&Holder| now.saturating_duration_since(held.heard) < self.over;
        let wants: Vec<&[Want]> = others().filter(fresh).map(|held| &held.wants[..]).collect();
        let pool = self.floors.pool(self.known.len(), self.before);
        let free = (pool - others().map(|held| held.most(now)).sum::<f64>()).max(0.0);
        let mut target = allotment(pool, &report.wants, &wants);
        if self.whole {
            // Rounded to the nearest: what is missing for all is found missing, as it is taken from what is free.
            target = target.round();
        }
        let blind = self.blind(now);
        let wanted: f64 = report.wants.iter().map(|want| want.amount).sum();
        let lent = if self.whole { target } else { target.max(wanted.min(target * LENT)) };
        // Nor does it shrink while it could not grow again.
        let amount = if blind { report.holds } else { lent }.min(free);
        let amount = if self.whole { amount.floor() } else { amount };
        // What it holds runs no longer than what it was given last, or what an earlier keeper may have given.
        let ends = mine.map_or(self.blind_until, |mine| mine.ends().max(self.blind_until));
        let holder = Holder {
            number: report.number,
            held: (report.holds.max(f64::from(report.out) * f64::from(u8::from(self.whole))), ends),
            given: (amount, now + self.over + self.runs),
            wants: report.wants.clone(),
            heard: now,
        };
        self.holders.insert(by.clone(), holder);
        Some(Given { amount, short: !blind && amount + 1e-9 < target, blind })
    }
}
