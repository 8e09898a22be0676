//! What a router works out of its own traffic, without deciding anything about a server: whether clients cut
//! their tries short, whether idle connections are lost, how long requests take and wait, and up to where sessions
//! have written.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fading::{toward, Fading};
use crate::interface::{SessionKey, Status};

/// A try under this share of a whole one was cut by its client's deadline: unmarked, and marked as a repeat.
const CUT_TRY: f64 = 0.85;
const CUT_MARKED: f64 = 0.98;
/// How much more of what is sent after idleness must be lost; how long doubt lasts.
const DOUBT: f64 = 0.4;
const DOUBT_FOR: Duration = Duration::from_secs(8);
/// Share of a new sample, and of what is taken over where there is nothing to compare with.
const LOST_GAIN: f64 = 0.2;
const UNSEEN_GAIN: f64 = 0.1;
/// How many sessions' commits are remembered before those that all members hold are dropped.
const SESSIONS_KEPT: usize = 20_000;
/// How many are remembered at the most, whatever members hold.
const MAX_SESSIONS: usize = 2 * SESSIONS_KEPT;

/// Share of a new sample in a running mean, and of a rise in the unloaded one, so that no jam passes for normal.
const GAIN: f64 = 0.05;
const CREEP: f64 = 0.0003;
/// In what time half of a wait is forgotten, what a full queue stands for, in aims, and the share of a shorter
/// wait; a longer one counts in full.
const QUEUE_HALF: Duration = Duration::from_secs(2);
const QUEUE_FULL: f64 = 2.0;
const QUEUE_GAIN: f64 = 0.5;

/// In what time half of a blame is forgotten, and the limits of what counts.
const BLAME_HALF: Duration = Duration::from_secs(3);
const BLAME_LEAST: f64 = 0.5;
const BLAME_MOST: f64 = 24.0;

/// What a server's failures weigh; it fades, and little of it is nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Blame {
    weighs: Fading,
    row: u32,
    last: Option<Instant>,
}

impl Blame {
    /// What it weighs at `now`.
    pub fn get(&self, now: Instant) -> f64 {
        let left = self.weighs.get(now, BLAME_HALF);
        left * f64::from(u8::from(left >= BLAME_LEAST))
    }

    /// One failure more.
    pub fn add(&mut self, now: Instant, weight: f64) {
        self.weighs.set(now, BLAME_MOST.min(self.get(now) + weight));
        (self.row, self.last) = (self.row.saturating_add(1), Some(now));
    }

    /// How many failures in a row there were since it last served something, and when the last was.
    pub fn row(&self) -> (u32, Option<Instant>) {
        (self.row, self.last)
    }

    /// It has served something.
    pub fn halve(&mut self, now: Instant) {
        self.weighs.set(now, self.get(now) / 2.0);
        self.row = 0;
    }
}

/// How long answers take, by class.
pub struct Latencies {
    /// In the mean.
    pub mean: Vec<Duration>,
    /// On servers without a queue.
    pub unloaded: Vec<Duration>,
}

impl Latencies {
    /// What is taken for true of each class at first.
    pub fn new(first: impl Iterator<Item = Duration>) -> Self {
        let mean: Vec<Duration> = first.collect();
        Self { unloaded: mean.clone(), mean }
    }

    /// Takes an answer that was good.
    pub fn learn(&mut self, class: usize, elapsed: Duration) {
        let (mean, unloaded) = (&mut self.mean[class], &mut self.unloaded[class]);
        *mean = toward(*mean, elapsed, GAIN);
        *unloaded = toward(*unloaded, *mean, if *mean < *unloaded { GAIN } else { CREEP });
    }
}

/// How long a server's queue is, by what its last answers had to wait.
#[derive(Default)]
pub struct Queue(Fading);

impl Queue {
    /// Takes an outcome, how long it took beyond an unloaded one, and its class's aim.
    pub fn learn(&mut self, now: Instant, status: Status, wait: Duration, aim: Duration) {
        let wait = match status {
            Status::Good | Status::Timeout => wait,
            Status::Full => aim.mul_f64(QUEUE_FULL),
            _ => return,
        };
        let (known, wait) = (self.seconds(now), wait.as_secs_f64());
        self.0.set(now, if wait > known { wait } else { known + QUEUE_GAIN * (wait - known) });
    }

    /// The wait in seconds.
    pub fn seconds(&self, now: Instant) -> f64 {
        self.0.get(now, QUEUE_HALF)
    }
}

/// How long clients give each try, by class.
pub struct Tries {
    whole: Vec<Duration>,
    marked: bool,
}

impl Tries {
    /// Of so many classes nothing is known.
    pub fn new(classes: usize) -> Self {
        Self { whole: vec![Duration::ZERO; classes], marked: false }
    }

    /// Whether a try was cut short by its client's own deadline. A client gives each try the same time until
    /// then; one with less than was seen before began a whole deadline before its end.
    pub fn cut(&mut self, class: usize, left: Duration, resent: bool) -> bool {
        self.whole[class] = self.whole[class].max(left);
        self.marked |= resent;
        let share = if resent { CUT_MARKED } else { CUT_TRY };
        left < self.whole[class].mul_f64(share) && (resent || !self.marked)
    }
}

/// Whether connections are lost unseen while they are idle.
#[derive(Default)]
pub struct Doubt {
    idle_lost: f64,
    other_lost: f64,
    until: Option<Instant>,
}

impl Doubt {
    /// Takes an outcome: whether it was sent after idleness, and whether it stayed unanswered. Where nearly all
    /// sends follow idleness, as with little traffic at each of many gateways, there is nothing to compare
    /// with and so no doubt.
    pub fn learn(&mut self, now: Instant, idle: bool, lost: bool) {
        let lost = f64::from(u8::from(lost));
        if idle {
            self.idle_lost += LOST_GAIN * (lost - self.idle_lost);
            self.other_lost += UNSEEN_GAIN * (self.idle_lost - self.other_lost);
        } else {
            self.other_lost += LOST_GAIN * (lost - self.other_lost);
        }
        if self.idle_lost > self.other_lost + DOUBT {
            (self.until, self.idle_lost) = (Some(now + DOUBT_FOR), 0.0);
        }
    }

    /// Idle connections are in doubt.
    pub fn holds(&self, now: Instant) -> bool {
        Some(now) < self.until
    }
}

/// The latest commit of each session that wrote through this router.
#[derive(Default)]
pub struct Commits {
    latest: BTreeMap<SessionKey, Instant>,
    /// Any session may have had a commit up to here that is not remembered.
    forgotten: Option<Instant>,
    /// Another process writes for the same sessions: any may have had a commit up to now.
    incomplete: bool,
}

impl Commits {
    /// Remembers a commit.
    pub fn learn(&mut self, session: SessionKey, at: Instant) {
        let commit = self.latest.entry(session).or_insert(at);
        *commit = at.max(*commit);
    }

    /// Up to where a session may have written.
    pub fn of(&self, now: Instant, session: Option<SessionKey>) -> Option<Instant> {
        if self.incomplete {
            return Some(now);
        }
        session.and_then(|key| self.latest.get(&key).copied()).max(self.forgotten)
    }

    /// Moves all commits, as the clock that dated them was off.
    pub fn redate(&mut self, redated: impl Fn(Instant) -> Instant) {
        self.latest.values_mut().chain(&mut self.forgotten).for_each(|commit| *commit = redated(*commit));
    }

    /// Whether another process writes for the same sessions. When it ceases to, what it wrote up to then may matter still.
    pub fn set_incomplete(&mut self, now: Instant, incomplete: bool) {
        if self.incomplete && !incomplete {
            self.forgotten = self.forgotten.max(Some(now));
        }
        self.incomplete = incomplete;
    }

    /// Where there are more than are to be kept, drops those that all members hold, by these positions of theirs.
    pub fn forget(&mut self, now: Instant, positions: impl Iterator<Item = Option<Instant>>) {
        if self.latest.len() > SESSIONS_KEPT {
            let held = positions.fold(Some(now), Option::min);
            self.forgotten = self.forgotten.max(held);
            self.latest.retain(|_, commit| Some(*commit) > held);
        }
        if self.latest.len() > MAX_SESSIONS {
            self.forget_older_half();
        }
    }

    /// Guards against: commits that are kept without end, as a member tells no position or stands still. Hurts
    /// reads of sessions that wrote nothing: for a while they go to members that hold the commits forgotten.
    fn forget_older_half(&mut self) {
        let mut commits: Vec<Instant> = self.latest.values().copied().collect();
        let half = commits.len() / 2;
        let median = *commits.select_nth_unstable(half).1;
        self.forgotten = self.forgotten.max(Some(median));
        self.latest.retain(|_, commit| *commit > median);
    }
}

#[cfg(test)]
mod tests;
