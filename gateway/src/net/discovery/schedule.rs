//! When the next call to discovery is made while there is no watch. No I/O.
//!
//! The lease of the held list says until when requests may be sent by it; calls are paced by what is left of it, whatever has
//! happened since. Without a watch they go on at a steady pace, without a backoff that grows, and a call that hangs is no
//! reason to wait for it. Many gateways share one discovery that handles calls in turn: the pace is widely jittered, and slow
//! enough that calls which only wait for their turn are answered before others are made beside them.

use std::ops::Range;
use std::time::{Duration, Instant};

/// From a call that still waits for its answer to the next one. Calls that wait too long in discovery's queue fail within
/// 2 s; another one sooner would only lengthen the queue, for all gateways.
const WAITING_CALL_INTERVAL: Range<Duration> = Duration::from_millis(2_100)..Duration::from_millis(2_400);
/// From a call that failed to the next one.
const FAILED_CALL_INTERVAL: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(3_000);
/// From one call to the next once the lease has expired and nothing is sent. Guards against: gateways that all wait for a
/// list, and whose calls keep discovery too busy to answer any.
const EXPIRED_CALL_INTERVAL: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(2_000);
/// From the end of a watch to the first call.
const ENDED_WATCH_DELAY: Range<Duration> = Duration::ZERO..Duration::from_millis(600);
/// Where lists are pushed, what a local agent has counts at once: calls follow sooner.
const PUSHED_WAITING_CALL_INTERVAL: Range<Duration> = Duration::from_millis(400)..Duration::from_millis(600);
const PUSHED_FAILED_CALL_DELAY: Range<Duration> = Duration::from_millis(50)..Duration::from_millis(150);
/// So long before the lease expires another call is made beside one that waits, and again after each minimum.
const LAST_CALLS_BEFORE_EXPIRY: Duration = Duration::from_millis(1_250);
/// Of what is left of the lease, the part from a call that failed to the next one.
const CALLS_BEFORE_EXPIRY: u32 = 3;
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

/// How far calls hurry before the lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Not at all: nothing suggests that discovery would answer sooner.
    Steady,
    /// Calls are made beside one that waits.
    Waiting,
    /// Failed calls are repeated sooner as well: discovery is there, as far as is known.
    Failed,
}

/// Calls made since there was no watch.
pub struct Opening {
    /// When the next call is made.
    pub next: Instant,
    urgency: Urgency,
}

/// The pace of calls.
pub struct Schedule {
    mode: DiscoveryMode,
    rng: fastrand::Rng,
    last_call: Option<Instant>,
}

impl Schedule {
    pub fn new(mode: DiscoveryMode, seed: u64) -> Self {
        Self { mode, rng: fastrand::Rng::with_seed(seed), last_call: None }
    }

    /// A delay within a range, the same for no two gateways.
    pub fn jittered(&mut self, range: Range<Duration>) -> Duration {
        range.start + (range.end - range.start).mul_f64(self.rng.f64())
    }

    /// Calls from now on, the first one at once.
    pub fn at_once(now: Instant, urgency: Urgency) -> Opening {
        Opening { next: now, urgency }
    }

    /// Calls after a watch that ended. Guards against: a discovery that ends each watch right away and is called again
    /// without a pause.
    pub fn after_end(&mut self, now: Instant) -> Opening {
        let next = if self.mode.pushed {
            now + self.jittered(PUSHED_FAILED_CALL_DELAY)
        } else {
            self.after_last_call(now).max(now + self.jittered(ENDED_WATCH_DELAY))
        };
        Opening { next, urgency: Urgency::Waiting }
    }

    /// A call is made now: sets when the next one follows if this one brings nothing. The lease of the held list ends at
    /// `expires`.
    pub fn called(&mut self, now: Instant, opening: &mut Opening, expires: Instant) {
        self.last_call = Some(now);
        let waiting = if self.mode.pushed { PUSHED_WAITING_CALL_INTERVAL } else { WAITING_CALL_INTERVAL };
        let steady = self.jittered(waiting).min(self.longest_interval());
        let left = expires.saturating_duration_since(now);
        let interval = match opening.urgency {
            Urgency::Steady => steady,
            _ if left.is_zero() => steady.min(self.jittered(EXPIRED_CALL_INTERVAL)),
            _ => steady.min(left.saturating_sub(LAST_CALLS_BEFORE_EXPIRY).max(MIN_CALL_INTERVAL)),
        };
        opening.next = now + interval;
    }

    /// A call has failed: the next one follows sooner than after one that waits.
    pub fn failed(&mut self, now: Instant, opening: &mut Opening, expires: Instant) {
        if self.mode.pushed {
            opening.next = opening.next.min(now + self.jittered(PUSHED_FAILED_CALL_DELAY));
            return;
        }
        let next = self.after_last_call(now).min(opening.next);
        let left = expires.saturating_duration_since(now);
        let (next, shortest) = match opening.urgency {
            Urgency::Failed if left.is_zero() => (next, self.jittered(EXPIRED_CALL_INTERVAL)),
            Urgency::Failed => (next.min(now + left / CALLS_BEFORE_EXPIRY), MIN_CALL_INTERVAL),
            Urgency::Steady | Urgency::Waiting => (next, FAILED_CALL_INTERVAL.start),
        };
        // Guards against: the calls of many gateways before a deadline, all of which fail and are made again at once.
        let earliest = self.last_call.map_or(now, |last| last + shortest);
        opening.next = next.max(earliest).max(now);
    }

    fn after_last_call(&mut self, now: Instant) -> Instant {
        let interval = self.jittered(FAILED_CALL_INTERVAL).min(self.longest_interval());
        self.last_call.map_or(now, |last| last + interval)
    }

    /// Several calls fit into the time that the settings give for asking.
    fn longest_interval(&self) -> Duration {
        (self.mode.must_ask_in / CALLS_WITHIN_MUST_ASK).max(MIN_CALL_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
