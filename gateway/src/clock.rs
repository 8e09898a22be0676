//! The only map between Unix positions and the times that the module and the rest of the gateway use.
//!
//! Unix time is read off the system once and moves on with `Instant` from there.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far ahead of this machine's clock a position may seem to be: clocks differ, and commits are rounded up.
const AHEAD: Duration = Duration::from_secs(1);

/// Maps times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that takes the system's word for what time it is now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix }
    }

    /// A clock on which `origin` is `unix`.
    #[cfg(test)]
    pub fn at(origin: Instant, unix: Duration) -> Self {
        Self { origin, unix }
    }

    /// Unix time at `at`.
    pub fn unix(&self, at: Instant) -> Duration {
        self.unix + at.saturating_duration_since(self.origin)
    }

    /// When something was, given as Unix time in milliseconds; none if no clock reaches that far.
    pub fn position(&self, unix_ms: u64) -> Option<Instant> {
        self.instant(Duration::from_millis(unix_ms))
    }

    /// When a position that a db host gives is, as Unix time in milliseconds; none if it is yet to come, which
    /// no db host can have applied. Guards against: stale reads from one whose word is spoilt.
    pub fn applied(&self, now: Instant, unix_ms: u64) -> Option<Instant> {
        self.position(unix_ms).filter(|at| *at <= now + AHEAD)
    }

    /// The same for a load report's position, given as Unix time in seconds.
    pub fn reported(&self, now: Instant, unix_seconds: f64) -> Option<Instant> {
        let at = self.instant(Duration::try_from_secs_f64(unix_seconds).ok()?);
        at.filter(|at| *at <= now + AHEAD)
    }

    fn instant(&self, unix: Duration) -> Option<Instant> {
        match unix.checked_sub(self.unix) {
            Some(later) => self.origin.checked_add(later),
            None => self.origin.checked_sub(self.unix - unix),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn positions_before_and_after_the_start_and_such_as_are_none() {
        let origin = Instant::now();
        let clock = Clock::at(origin, Duration::from_secs(1_767_225_600));
        assert_eq!(clock.position(1_767_225_600_250), Some(origin + Duration::from_millis(250)));
        let now = origin;
        assert_eq!(clock.reported(now, 1_767_225_599.5), origin.checked_sub(Duration::from_millis(500)));
        assert_eq!(clock.applied(now, 1_767_225_600_250), Some(origin + Duration::from_millis(250)));
        assert_eq!([clock.applied(now, 1_767_225_601_500), clock.reported(now, 1_767_225_601.5)], [None; 2]);
        assert_eq!(clock.unix(origin + Duration::from_secs(1)), Duration::from_secs(1_767_225_601));
        assert_eq!([-1.0, f64::NAN, 1e300].map(|seconds| clock.reported(now, seconds)), [None; 3]);
    }
}
