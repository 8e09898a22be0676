//! The only map between `Instant`, the module's times and Unix positions.
//!
//! The module's clock here is Unix time in milliseconds, so that positions, which db hosts give in that form,
//! need no further origin. It is read off the system once and moves on with `Instant` from there.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use yewroute::interface::Ms;

/// Maps times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Ms,
}

impl Clock {
    /// A clock that takes the system's word for what time it is now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix: span(unix) }
    }

    /// A clock on which `origin` is `unix`.
    #[cfg(test)]
    pub fn at(origin: Instant, unix: Duration) -> Self {
        Self { origin, unix: span(unix) }
    }

    /// The module's time at `at`.
    pub fn ms(&self, at: Instant) -> Ms {
        self.unix + span(at.saturating_duration_since(self.origin))
    }

    /// When the module's time is `at`.
    pub fn instant(&self, at: Ms) -> Instant {
        self.origin + duration(at - self.unix)
    }

    /// The module's time at a Unix position.
    pub fn position(unix_ms: u64) -> Ms {
        unix_ms as Ms
    }

    /// The module's time at a position that a load report gives.
    pub fn reported(unix_seconds: f64) -> Ms {
        unix_seconds * 1000.0
    }
}

/// A span as the module has it.
pub fn span(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}

/// A span of the module's; none below zero, and at most a day.
pub fn duration(ms: Ms) -> Duration {
    const DAY_MS: Ms = 86_400_000.0;
    // NaN fails both comparisons that clamp makes and would reach the conversion.
    let ms = if ms.is_nan() { 0.0 } else { ms.clamp(0.0, DAY_MS) };
    Duration::from_secs_f64(ms / 1000.0)
}
