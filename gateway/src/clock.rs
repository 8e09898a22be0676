//! The only map between Unix positions and the times that the module and the rest of the gateway use.
//!
//! Unix time is read off the system once and moves on with `Instant` from there, so a step of the wall clock changes nothing. It
//! may have been off already: a primary is at the present, so what answers say of their positions shows by how much.

mod evidence;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use yewroute::interface::ClockOffset;

pub use evidence::{ClockCheck, PositionSource, TimedPosition};

/// A clock that is off by less is not corrected, and a position may seem to be so far ahead of it: clocks differ, and commits
/// are rounded up. As much as every time limit is longer on sockets.
const MAX_OFFSET: Duration = Duration::from_millis(50);
/// The system's time is read again, so often at the most, if the process was held up meanwhile for longer than this.
const MAX_READING: Duration = Duration::from_millis(1);
const READINGS: usize = 5;

/// Maps times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that takes the system's word for what time it is now. Guards against: a clock that is behind from its start, as the
    /// process was held up between the two readings.
    pub fn start() -> Self {
        let read = || {
            let origin = Instant::now();
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (origin.elapsed(), Self { origin, unix })
        };
        let mut best = read();
        for _ in 1..READINGS {
            if best.0 <= MAX_READING {
                break;
            }
            best = std::cmp::min_by_key(best, read(), |(took, _)| *took);
        }
        best.1
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
        self.position(unix_ms).filter(|at| *at <= now + MAX_OFFSET)
    }

    /// The same for a load report's position, given as Unix time in seconds.
    pub fn reported(&self, now: Instant, unix_seconds: f64) -> Option<Instant> {
        let at = self.instant(Duration::try_from_secs_f64(unix_seconds).ok()?);
        at.filter(|at| *at <= now + MAX_OFFSET)
    }

    fn correct(&mut self, offset: ClockOffset) {
        self.unix = match offset {
            ClockOffset::Behind(span) => self.unix + span,
            ClockOffset::Ahead(span) => self.unix.saturating_sub(span),
        };
    }

    /// When something happened that is over by `now`, whatever this clock says.
    pub fn past(&self, now: Instant, unix_ms: u64) -> Option<Instant> {
        self.position(unix_ms).map(|at| at.min(now))
    }

    fn instant(&self, unix: Duration) -> Option<Instant> {
        match unix.checked_sub(self.unix) {
            Some(later) => self.origin.checked_add(later),
            None => self.origin.checked_sub(self.unix - unix),
        }
    }
}

#[cfg(test)]
mod tests;
