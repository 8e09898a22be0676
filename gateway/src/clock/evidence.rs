//! What the positions in answers show of this machine's clock.
//!
//! A position was told at some moment between the sending of a request and the receipt of its answer; either may have been under
//! way for seconds. So an answer bounds the clock's offset from both sides, as a round trip does in NTP (RFC 5905, section 8), and
//! shows that the clock is off only where it is off at every moment of that interval. Only a primary is at the present: a replica's
//! position bounds the offset from below alone, and only a primary confirms a clock.

use std::time::{Duration, Instant};

use yewroute::interface::{ClockOffset, Role};

use super::{Clock, MAX_OFFSET};

/// So many answers have to agree that the clock is off, and on ranges that overlap. Guards against: positions that are spoilt.
const AGREEING_ANSWERS: u32 = 3;
/// Before a primary has answered, one of its reports and a replica are taken to be no further behind than this.
const MAX_UNCONFIRMED_LAG: Duration = Duration::from_secs(60);
/// Once a primary has refuted a replica, replicas' positions say nothing of the clock for so long. Guards against: a replica whose
/// positions are always spoilt, which would have all reads go to primaries.
const REFUTED_REPLICA_HOLDS: Duration = Duration::from_secs(1);

/// Who told a position, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// A primary, in an answer: it was the present then.
    Primary,
    /// A primary, in a load report: it was the present some moments before.
    PrimaryReport,
    /// A replica: it was the present then or at any time before.
    Replica,
}

impl From<Role> for PositionSource {
    /// The source of a position in an answer.
    fn from(role: Role) -> Self {
        match role {
            Role::Primary => Self::Primary,
            Role::Replica => Self::Replica,
        }
    }
}

/// A position, and between which moments it was told.
#[derive(Clone, Copy, Debug)]
pub struct TimedPosition {
    /// Who told it.
    pub source: PositionSource,
    /// The position, as Unix time in milliseconds.
    pub unix_ms: u64,
    /// No earlier than when its request was sent ...
    pub sent: Instant,
    /// ... and no later than when its answer was read.
    pub received: Instant,
}

/// True time less this clock's lies between these, in microseconds. Each side is wider by [`MAX_OFFSET`] than answers show.
#[derive(Clone, Copy, Debug)]
struct OffsetRange {
    least_us: i64,
    /// None where it is not known how far behind the db host may have been.
    most_us: Option<i64>,
}

impl OffsetRange {
    fn shown_by(position: &TimedPosition, clock: &Clock, confirmed: bool) -> Self {
        let told_us = i64::try_from(position.unix_ms).unwrap_or(i64::MAX).saturating_mul(1_000);
        let offset_at = |at: Instant| told_us.saturating_sub(micros(clock.unix(at)));
        let lag = match position.source {
            PositionSource::Primary => Some(Duration::ZERO),
            PositionSource::PrimaryReport | PositionSource::Replica if confirmed => None,
            PositionSource::PrimaryReport | PositionSource::Replica => Some(MAX_UNCONFIRMED_LAG),
        };
        let most_us = lag.map(|lag| offset_at(position.sent).saturating_add(micros(lag + MAX_OFFSET)));
        Self { least_us: offset_at(position.received).saturating_sub(micros(MAX_OFFSET)), most_us }
    }

    /// The clock is off, and behind.
    fn is_behind(self) -> bool {
        self.least_us > 0
    }

    /// The clock may be right.
    fn allows_none(self) -> bool {
        !self.is_behind() && self.most_us.is_none_or(|most| most >= 0)
    }

    /// Where both hold; none if they contradict each other.
    fn intersection(self, other: Self) -> Option<Self> {
        let least_us = self.least_us.max(other.least_us);
        let most_us = match (self.most_us, other.most_us) {
            (Some(one), Some(another)) => Some(one.min(another)),
            (one, another) => one.or(another),
        };
        most_us.is_none_or(|most| least_us <= most).then_some(Self { least_us, most_us })
    }
}

/// Answers that show that the clock is off.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    range: OffsetRange,
    answers: u32,
    /// A primary's answer is among them.
    by_primary: bool,
    /// Answers of primaries since the last of them that allow this and a right clock alike.
    undecided: u32,
}

impl Suspicion {
    /// The offset to correct by. From primaries the greatest that their answers allow: by a clock that is behind, replicas would
    /// seem fresher than they are. From others the least, as they are not at the present; a primary has to confirm it.
    fn correction(&self) -> ClockOffset {
        let offset_us = match self.range.most_us.filter(|_| self.by_primary) {
            Some(most) => most.saturating_sub(micros(MAX_OFFSET)),
            None => self.range.least_us.saturating_add(micros(MAX_OFFSET)),
        };
        let span = Duration::from_micros(offset_us.unsigned_abs());
        if offset_us > 0 {
            ClockOffset::Behind(span)
        } else {
            ClockOffset::Ahead(span)
        }
    }
}

/// Compares a clock with the positions in answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockCheck {
    confirmed: bool,
    suspicion: Option<Suspicion>,
    /// It was corrected last without a primary's answer, so that no report confirms it.
    corrected_by_others: bool,
    /// Before this, replicas' positions say nothing of the clock.
    replicas_ignored_until: Option<Instant>,
}

impl ClockCheck {
    /// A primary's answer or report agrees with the clock, and no position since lies ahead of it.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Takes a primary's answer without a position, received at this time: there is nothing to compare the clock with.
    pub fn observe_unstamped(&mut self, received: Instant) {
        self.take_undecided(received);
        self.confirmed |= self.suspicion.is_none();
    }

    /// Takes a db host's position. Corrects the clock and says by how much, once several answers agree that it is off.
    pub fn observe(&mut self, position: &TimedPosition, clock: &mut Clock) -> Option<ClockOffset> {
        let range = OffsetRange::shown_by(position, clock, self.confirmed);
        if range.allows_none() {
            self.take_agreement(range, position);
            return None;
        }
        let present = position.source == PositionSource::Primary;
        if !present && Some(position.received) < self.replicas_ignored_until {
            return None;
        }
        self.confirmed &= !range.is_behind();
        let suspicion = self.suspect(range, present);
        if suspicion.answers < AGREEING_ANSWERS {
            return None;
        }
        self.suspicion = None;
        self.confirmed = suspicion.by_primary;
        self.corrected_by_others = !suspicion.by_primary;
        let offset = suspicion.correction();
        clock.correct(offset);
        Some(offset)
    }

    /// An answer that allows a clock that is right.
    fn take_agreement(&mut self, range: OffsetRange, position: &TimedPosition) {
        let contradicts = |suspicion: &Suspicion| suspicion.range.intersection(range).is_none();
        let refuted = self.suspicion.as_ref().is_some_and(contradicts);
        match (position.source, refuted) {
            (PositionSource::Primary, true) => self.drop_suspicion(position.received),
            (PositionSource::Primary, false) => self.take_undecided(position.received),
            (_, true) => self.suspicion = None,
            (_, false) => {}
        }
        let confirms = match position.source {
            PositionSource::Primary => true,
            PositionSource::PrimaryReport => !self.corrected_by_others,
            PositionSource::Replica => false,
        };
        self.confirmed |= confirms && self.suspicion.is_none();
    }

    /// A primary's answer that neither supports nor refutes a suspicion. Several of them refute it.
    fn take_undecided(&mut self, received: Instant) {
        let Some(suspicion) = &mut self.suspicion else { return };
        suspicion.undecided += 1;
        if suspicion.undecided >= AGREEING_ANSWERS {
            self.drop_suspicion(received);
        }
    }

    /// Primaries have refuted a suspicion.
    fn drop_suspicion(&mut self, received: Instant) {
        let by_others = self.suspicion.take().is_some_and(|suspicion| !suspicion.by_primary);
        if by_others {
            self.replicas_ignored_until = received.checked_add(REFUTED_REPLICA_HOLDS);
        }
    }

    /// An answer that shows that the clock is off.
    fn suspect(&mut self, range: OffsetRange, by_primary: bool) -> Suspicion {
        let agreed = self.suspicion.and_then(|before| {
            let range = before.range.intersection(range)?;
            let by_primary = by_primary || before.by_primary;
            Some(Suspicion { range, answers: before.answers + 1, by_primary, undecided: 0 })
        });
        let suspicion = agreed.unwrap_or(Suspicion { range, answers: 1, by_primary, undecided: 0 });
        self.suspicion = Some(suspicion);
        suspicion
    }
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
