//! A token bucket that several threads may fill and take from.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One attempt, in what buckets count: billionths, so that a rate of 0.01 a second adds up over microseconds.
pub(super) const ONE: f64 = 1e9;

/// What may be taken now.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    tokens: AtomicI64,
    /// Up to when it is filled, in nanoseconds since the meter's base.
    filled: AtomicU64,
}

impl Bucket {
    /// Fills it up to `now`, whoever else does so: each moment counts once.
    pub(super) fn fill(&self, base: Instant, now: Instant, accrued: impl Fn(Instant) -> f64, depth: f64) {
        let nanos = u64::try_from(now.saturating_duration_since(base).as_nanos()).unwrap_or(u64::MAX);
        let last = self.filled.fetch_max(nanos, Ordering::AcqRel);
        let more = if last < nanos { accrued(base + Duration::from_nanos(last)) } else { 0.0 };
        let most = (depth * ONE) as i64;
        let fill = |tokens: i64| Some(tokens.saturating_add((more * ONE) as i64).min(most));
        let _ = self.tokens.fetch_update(Ordering::AcqRel, Ordering::Acquire, fill);
    }

    /// Takes one attempt out, if there is one.
    pub(super) fn take(&self) -> bool {
        let take = |tokens: i64| (tokens >= ONE as i64).then_some(tokens - ONE as i64);
        self.tokens.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// What was taken at this very moment comes back.
    pub(super) fn put_back(&self) {
        self.tokens.fetch_add(ONE as i64, Ordering::AcqRel);
    }

    /// What is in it, in units of [`ONE`].
    pub(super) fn level(&self) -> f64 {
        self.tokens.load(Ordering::Acquire) as f64
    }

    /// How long until it has one, at such a rate.
    pub(super) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.level() / ONE).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }
}
