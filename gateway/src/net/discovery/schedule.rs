//! When the next call to discovery is made while there is no watch. No I/O.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whatever a failed, refused or given-up call
//! allows. So calls go on at a steady pace for as long as there is no watch, without a backoff that grows, and a call that
//! hangs is no reason to wait for it. Many gateways share one discovery that handles calls in turn: the pace is widely
//! jittered, and slow enough that calls which only wait for their turn are answered before others are made beside them.

use std::ops::Range;
use std::time::{Duration, Instant};

/// What discovery has counts as told so long after it could be reached.
pub const CHANGE_TOLD_AFTER: Duration = Duration::from_secs(6);
/// From a call that still waits for its answer to the next one. Calls that wait too long in discovery's queue fail within
/// 2 s; another one sooner would only lengthen the queue, for all gateways.
const WAITING_CALL_INTERVAL: Range<Duration> = Duration::from_millis(2_100)..Duration::from_millis(2_400);
/// From a call that failed to the next one.
const FAILED_CALL_INTERVAL: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(3_000);
/// From the end of a watch to the first call.
const ENDED_WATCH_DELAY: Range<Duration> = Duration::ZERO..Duration::from_millis(600);
/// Where lists are pushed, what a local agent has counts at once: calls follow sooner.
const PUSHED_WAITING_CALL_INTERVAL: Range<Duration> = Duration::from_millis(400)..Duration::from_millis(600);
const PUSHED_FAILED_CALL_DELAY: Range<Duration> = Duration::from_millis(50)..Duration::from_millis(150);
/// So long before a deadline another call is made beside one that waits, and again after each minimum.
const LAST_CALLS_BEFORE_DEADLINE: Duration = Duration::from_millis(1_250);
/// Of what is left before a known deadline, the part from a call that failed to the next one.
const CALLS_BEFORE_DEADLINE: u32 = 3;
/// So many calls fit into the time that the settings give for asking.
const CALLS_WITHIN_MUST_ASK: u32 = 3;
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// How discovery is to be asked, as the settings say.
#[derive(Clone, Copy)]
pub struct DiscoveryMode {
    /// Lists come from an agent unasked, and the module never asks for them.
    pub pushed: bool,
    /// Without a watch, what was in the list so long after a call counts as told.
    pub must_ask_in: Duration,
}

/// Calls made since there was no watch.
pub struct Opening {
    /// What is missed counts as told from then on, as far as is known: discovery may have been reached since the watch
    /// ended, or since a call failed. None once that is over.
    pub deadline: Option<Instant>,
    /// When the next call is made.
    pub next: Instant,
    /// The deadline is known and not only supposed: up to then failed calls are repeated sooner.
    hurried: bool,
}

impl Opening {
    /// Nothing more is known of when a change counts as told.
    pub fn forget_deadline(&mut self) {
        (self.deadline, self.hurried) = (None, false);
    }
}

/// The pace of calls.
pub struct Schedule {
    manner: DiscoveryMode,
    rng: fastrand::Rng,
    last_call: Option<Instant>,
}

impl Schedule {
    pub fn new(manner: DiscoveryMode, seed: u64) -> Self {
        Self { manner, rng: fastrand::Rng::with_seed(seed), last_call: None }
    }

    /// A delay within a range, the same for no two gateways.
    pub fn jittered(&mut self, range: Range<Duration>) -> Duration {
        range.start + (range.end - range.start).mul_f64(self.rng.f64())
    }

    /// Calls from now on, the first one at once.
    pub fn at_once(now: Instant, deadline: Option<Instant>) -> Opening {
        Opening { deadline, next: now, hurried: deadline.is_some() }
    }

    /// Calls after a watch that ended. Guards against: a discovery that ends each watch right away and is called again
    /// without a pause.
    pub fn after_end(&mut self, now: Instant) -> Opening {
        let next = if self.manner.pushed {
            now + self.jittered(PUSHED_FAILED_CALL_DELAY)
        } else {
            self.after_last_call(now).max(now + self.jittered(ENDED_WATCH_DELAY))
        };
        Opening { deadline: Some(now + CHANGE_TOLD_AFTER), next, hurried: false }
    }

    /// A call is made now: sets when the next one follows if this one brings nothing.
    pub fn called(&mut self, now: Instant, opening: &mut Opening) {
        self.last_call = Some(now);
        let waiting = if self.manner.pushed { PUSHED_WAITING_CALL_INTERVAL } else { WAITING_CALL_INTERVAL };
        let steady = self.jittered(waiting).min(self.longest_interval());
        let left = opening.deadline.map(|deadline| deadline.saturating_duration_since(now));
        let longest = left.map_or(steady, |left| left.saturating_sub(LAST_CALLS_BEFORE_DEADLINE));
        let interval = steady.min(longest.max(MIN_CALL_INTERVAL));
        opening.next = now + interval;
    }

    /// A call has failed: the next one follows sooner than after one that waits.
    pub fn failed(&mut self, now: Instant, opening: &mut Opening) {
        opening.deadline.get_or_insert(now + CHANGE_TOLD_AFTER);
        if self.manner.pushed {
            opening.next = opening.next.min(now + self.jittered(PUSHED_FAILED_CALL_DELAY));
            return;
        }
        // Guards against: the calls of many gateways before a deadline, all of which fail and are made again at once.
        let shortest = if opening.hurried { MIN_CALL_INTERVAL } else { FAILED_CALL_INTERVAL.start };
        let earliest = self.last_call.map_or(now, |last| last + shortest);
        let hurried = opening.deadline.filter(|_| opening.hurried).map(|deadline| {
            let left = deadline.saturating_duration_since(now);
            now + left / CALLS_BEFORE_DEADLINE
        });
        let next = self.after_last_call(now).min(opening.next);
        opening.next = hurried.map_or(next, |at| next.min(at)).max(earliest).max(now);
    }

    fn after_last_call(&mut self, now: Instant) -> Instant {
        let interval = self.jittered(FAILED_CALL_INTERVAL).min(self.longest_interval());
        self.last_call.map_or(now, |last| last + interval)
    }

    /// Several calls fit into the time that the settings give for asking.
    fn longest_interval(&self) -> Duration {
        (self.manner.must_ask_in / CALLS_WITHIN_MUST_ASK).max(MIN_CALL_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
