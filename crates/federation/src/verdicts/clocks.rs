//! How old messages of other gateways are, by round trips to them. No clock, no sockets: times come in, in milliseconds of each
//! process's own clock.
//!
//! One message tells nothing of its age: a way that takes 5 s and a clock that is 5 s behind look the same. A round trip does, as in
//! NTP (RFC 5905, section 8): what the other answered with was its time at some moment after this gateway asked, so that its clock
//! is behind this one by no less than what lies between the two. Counted by that bound, a message is never taken for younger than
//! it is, and for older by at most what the question took on its way.

use std::collections::BTreeMap;
use std::time::Duration;

/// Two clocks may drift apart by one part in so many; time servers slew by no more.
const DRIFT_ONE_IN: u64 = 2_000;
/// A round trip counts for so long; then the drift would make messages older by over 30 ms.
const VALID_FOR_MS: u64 = 60_000;
/// A round trip that took longer is repeated, but not more often than this: messages pass for older by up to as much.
const GOOD_ROUND_TRIP_MS: u64 = 50;
const REPEAT_AFTER_MS: u64 = 1_000;
/// What is known of a member that is no longer listed is kept for so long. Guards against: measuring anew one that was declared down
/// for being late, and is back.
const FORGET_ABSENT_AFTER_MS: u64 = 60_000;

/// A round trip to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RoundTrip {
    /// Which life of the gateway answered.
    pub incarnation: u64,
    /// When it was asked, by this gateway's clock.
    pub asked_ms: u64,
    /// When the answer came, by this gateway's clock.
    pub answered_ms: u64,
    /// What it answered: its own time.
    pub its_ms: u64,
}

/// What a round trip has shown of another's clock.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    incarnation: u64,
    /// It is behind this gateway's clock by no less.
    behind_ms: i64,
    asked_ms: u64,
    took_ms: u64,
    heard_ms: u64,
}

impl PeerClock {
    /// The bound at a later moment, when the clocks may have drifted apart.
    fn behind_at(&self, now_ms: u64) -> i64 {
        let drift_ms = now_ms.saturating_sub(self.asked_ms).div_ceil(DRIFT_ONE_IN);
        self.behind_ms.saturating_sub_unsigned(drift_ms)
    }
}

/// The clocks of all others that were asked.
#[derive(Debug, Default)]
pub(super) struct PeerClocks(BTreeMap<Box<str>, PeerClock>);

impl PeerClocks {
    /// Takes a round trip. The closer of two bounds counts.
    pub fn learn(&mut self, name: &str, trip: RoundTrip) {
        let RoundTrip { incarnation, asked_ms, answered_ms, its_ms } = trip;
        let shown_ms = i64::try_from(asked_ms).unwrap_or(i64::MAX).saturating_sub_unsigned(its_ms);
        let known = self.0.get(name).filter(|clock| clock.incarnation == incarnation);
        let behind_ms = known.map_or(shown_ms, |known| shown_ms.max(known.behind_at(asked_ms)));
        let took_ms = answered_ms.saturating_sub(asked_ms);
        let clock = PeerClock { incarnation, behind_ms, asked_ms, took_ms, heard_ms: answered_ms };
        self.0.insert(name.into(), clock);
    }

    /// The most that a message's age can be; none if no round trip to the process that sent it has been made.
    pub fn age(&mut self, name: &str, incarnation: u64, sent_ms: u64, came_ms: u64) -> Option<Duration> {
        let clock = self.0.get_mut(name).filter(|clock| clock.incarnation == incarnation)?;
        clock.heard_ms = clock.heard_ms.max(came_ms);
        let sent_here_ms = clock.behind_at(came_ms).saturating_add_unsigned(sent_ms);
        let age_ms = i64::try_from(came_ms).unwrap_or(i64::MAX).saturating_sub(sent_here_ms);
        Some(Duration::from_millis(age_ms.max(0).unsigned_abs()))
    }

    /// A round trip to this process counts now.
    pub fn is_measured(&self, name: &str, incarnation: u64, now_ms: u64) -> bool {
        let clock = self.0.get(name).filter(|clock| clock.incarnation == incarnation);
        clock.is_some_and(|clock| now_ms.saturating_sub(clock.asked_ms) < VALID_FOR_MS)
    }

    /// A better one is wanted, though one counts.
    pub fn is_coarse(&self, name: &str, now_ms: u64) -> bool {
        let coarse = |clock: &PeerClock| {
            clock.took_ms > GOOD_ROUND_TRIP_MS && now_ms.saturating_sub(clock.asked_ms) >= REPEAT_AFTER_MS
        };
        self.0.get(name).is_some_and(coarse)
    }

    /// Drops what is known of those that have been absent for long.
    pub fn forget_absent(&mut self, now_ms: u64, listed: impl Fn(&str) -> bool) {
        let kept = |clock: &PeerClock| now_ms < clock.heard_ms.saturating_add(FORGET_ABSENT_AFTER_MS);
        self.0.retain(|name, clock| listed(name) || kept(clock));
    }
}

#[cfg(test)]
mod tests;
