//! The only map between Unix positions and the times that the module and the rest of the gateway use.
//!
//! Unix time is read off the system once and moves on with `Instant` from there, so a step of the wall clock changes nothing. It
//! may have been off already: a primary is at the present, and a replica not far behind it, so what answers say of their position
//! shows by how much.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use yewroute::interface::Role;

/// How far ahead of this machine's clock a position may seem to be: clocks differ, and commits are rounded up.
const AHEAD: Duration = Duration::from_secs(1);

/// A clock that is off by less is not corrected: clocks differ, and answers take their time.
const MAX_OFFSET: Duration = Duration::from_secs(1);
/// A replica may be behind its primary, but none that serves is behind by more than this.
const MAX_REPLICA_LAG: Duration = Duration::from_secs(60);
/// So many answers in a row have to agree on the offset, this closely. Guards against: answers that are spoilt.
const AGREEING_ANSWERS: u32 = 3;
const AGREEMENT: Duration = Duration::from_millis(500);

/// By how much the wall clock is off: true time less this clock's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offset {
    /// It is behind.
    Behind(Duration),
    /// It is ahead.
    Ahead(Duration),
}

impl Offset {
    fn between(truth: Duration, own: Duration) -> Self {
        match truth.checked_sub(own) {
            Some(behind) => Self::Behind(behind),
            None => Self::Ahead(own - truth),
        }
    }

    fn span(self) -> Duration {
        match self {
            Self::Behind(span) | Self::Ahead(span) => span,
        }
    }

    fn agrees(self, other: Self) -> bool {
        match (self, other) {
            (Self::Behind(a), Self::Behind(b)) | (Self::Ahead(a), Self::Ahead(b)) => {
                a.abs_diff(b) <= AGREEMENT
            }
            _ => false,
        }
    }
}

/// What servers' answers show of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockCheck {
    supposed: Option<Offset>,
    answers: u32,
}

impl ClockCheck {
    /// Takes a server's position in an answer that came at `now`, as Unix time in milliseconds. Corrects the clock and says by
    /// how much, once several answers agree that it is off.
    pub fn position(&mut self, now: Instant, role: Role, unix_ms: u64, clock: &mut Clock) -> Option<Offset> {
        let offset = Offset::between(Duration::from_millis(unix_ms), clock.unix(now));
        let lag = matches!(offset, Offset::Ahead(span) if role == Role::Replica && span <= MAX_REPLICA_LAG);
        if lag {
            return None;
        }
        if offset.span() <= MAX_OFFSET {
            *self = Self::default();
            return None;
        }
        let agrees = self.supposed.is_some_and(|supposed| supposed.agrees(offset));
        self.answers = if agrees { self.answers + 1 } else { 1 };
        self.supposed = Some(offset);
        if self.answers < AGREEING_ANSWERS {
            return None;
        }
        *self = Self::default();
        clock.correct(offset);
        Some(offset)
    }
}

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

    fn correct(&mut self, offset: Offset) {
        self.unix = match offset {
            Offset::Behind(span) => self.unix + span,
            Offset::Ahead(span) => self.unix.saturating_sub(span),
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
