use super::*;

const TRUTH_MS: u64 = 1_767_225_600_000;

/// A clock at its origin, and what answers show of it.
struct Bench {
    origin: Instant,
    clock: Clock,
    check: ClockCheck,
}

impl Bench {
    /// A clock that is off by so many milliseconds.
    fn off_by(own_less_truth_ms: i64) -> Self {
        let origin = Instant::now();
        let own = Duration::from_millis(TRUTH_MS.saturating_add_signed(own_less_truth_ms));
        Self { origin, clock: Clock::at(origin, own), check: ClockCheck::default() }
    }

    /// Takes a position that was told `told_ms` after the origin, in an answer to what was sent `sent_ms` after it and received
    /// `received_ms` after it.
    fn hears(
        &mut self,
        source: PositionSource,
        told_ms: u64,
        (sent_ms, received_ms): (u64, u64),
    ) -> Option<ClockOffset> {
        self.hears_position(source, TRUTH_MS + told_ms, (sent_ms, received_ms))
    }

    fn hears_position(
        &mut self,
        source: PositionSource,
        unix_ms: u64,
        (sent_ms, received_ms): (u64, u64),
    ) -> Option<ClockOffset> {
        let at = |ms| self.origin + Duration::from_millis(ms);
        let position = TimedPosition { source, unix_ms, sent: at(sent_ms), received: at(received_ms) };
        self.check.observe(&position, &mut self.clock)
    }

    /// True time less the clock's, in milliseconds.
    fn offset_ms(&self) -> i64 {
        (i64::try_from(TRUTH_MS).unwrap() * 1_000 - micros(self.clock.unix(self.origin))) / 1_000
    }
}

// Guards against: answers that a cut held back, taken for proof that the clock is off.
#[test]
fn answers_that_were_under_way_for_seconds_do_not_move_a_clock_that_is_right() {
    for took_ms in [300, 1_300, 1_600, 2_300, 60_000] {
        let mut late = Bench::off_by(0);
        for sent_ms in 0..20 {
            // The db host was reached at once and its answer came late, or the other way round.
            for told_ms in [sent_ms, sent_ms + took_ms] {
                assert_eq!(late.hears(PositionSource::Primary, told_ms, (sent_ms, sent_ms + took_ms)), None);
            }
        }
        assert_eq!(late.offset_ms(), 0, "{took_ms}");
        assert!(late.check.is_confirmed());
    }
}

#[test]
fn a_clock_that_is_off_is_corrected_once_answers_of_primaries_agree() {
    for off_ms in [-3_600_000_i64, -5_000, -500, -100, 100, 500, 5_000, 3_600_000] {
        let mut bench = Bench::off_by(off_ms);
        let spoilt = TRUTH_MS + 86_400_000;
        assert_eq!(bench.hears(PositionSource::Primary, 0, (0, 0)), None);
        assert_eq!(bench.hears_position(PositionSource::Primary, spoilt, (0, 0)), None);
        assert_eq!(bench.hears(PositionSource::Primary, 0, (0, 0)), None);
        assert_eq!(bench.hears(PositionSource::Primary, 20, (0, 0)), None);
        let offset = bench.hears(PositionSource::Primary, 0, (0, 0)).expect("three answers agree");
        let span = Duration::from_millis(off_ms.unsigned_abs());
        assert_eq!(offset, if off_ms < 0 { ClockOffset::Behind(span) } else { ClockOffset::Ahead(span) });
        assert_eq!(bench.offset_ms(), 0);
        assert_eq!(bench.hears(PositionSource::Primary, 0, (0, 0)), None, "corrected once");
        assert!(bench.check.is_confirmed());
    }
}

#[test]
fn a_clock_that_is_nearly_right_stays() {
    let mut bench = Bench::off_by(0);
    for told_ms in [40, 0, 40, 40, 40] {
        assert_eq!(bench.hears(PositionSource::Primary, told_ms, (0, 0)), None);
    }
    for unix_ms in [TRUTH_MS - 900, TRUTH_MS + 900, TRUTH_MS - 900, TRUTH_MS + 900] {
        assert_eq!(bench.hears_position(PositionSource::Primary, unix_ms, (0, 0)), None, "no two agree");
    }
    assert_eq!(bench.offset_ms(), 0);
}

// Guards against: a correction by late answers that leaves the clock behind, where replicas seem fresher than they are.
#[test]
fn late_answers_correct_a_clock_that_is_off_as_far_as_they_prove_and_quicker_ones_the_rest() {
    for off_ms in [-3_600_000_i64, -5_000, 5_000, 3_600_000] {
        let mut bench = Bench::off_by(off_ms);
        let corrected = (0..3).filter_map(|_| bench.hears(PositionSource::Primary, 100, (0, 1_600))).count();
        assert_eq!(corrected, 1, "{off_ms}");
        assert_eq!(bench.offset_ms(), -100, "ahead by no more than the db host took: {off_ms}");
        let again = (0..3).filter_map(|_| bench.hears(PositionSource::Primary, 5, (0, 10))).count();
        assert_eq!((again, bench.offset_ms()), (1, -5), "{off_ms}");
    }
}

#[test]
fn a_replica_shows_that_the_clock_is_behind_but_not_by_its_lag_that_it_is_ahead() {
    for (lead_ms, corrected) in [(-50_000, false), (-3_600_000, true), (5_000, true)] {
        let mut bench = Bench::off_by(0);
        let unix_ms = TRUTH_MS.saturating_add_signed(lead_ms);
        let shown = (0..3).filter_map(|_| bench.hears_position(PositionSource::Replica, unix_ms, (0, 0)));
        assert_eq!(shown.count(), usize::from(corrected), "{lead_ms}");
        assert!(!bench.check.is_confirmed(), "only a primary is at the present");
    }
}

// Guards against: a replica that is far behind, taken for proof that a clock is ahead which a primary has confirmed.
#[test]
fn no_lag_of_a_replica_moves_a_clock_that_a_primary_has_confirmed() {
    for lag_ms in [50_000, 3_600_000, 86_400_000] {
        let mut bench = Bench::off_by(0);
        bench.hears(PositionSource::Primary, 0, (0, 0));
        for source in [PositionSource::Replica, PositionSource::PrimaryReport] {
            for _ in 0..5 {
                assert_eq!(bench.hears_position(source, TRUTH_MS - lag_ms, (0, 0)), None);
            }
        }
        assert!(bench.check.is_confirmed());
        let mut unconfirmed = Bench::off_by(0);
        for _ in 0..3 {
            unconfirmed.hears_position(PositionSource::Replica, TRUTH_MS - lag_ms, (0, 0));
        }
        let far = lag_ms > 60_000;
        unconfirmed.hears_position(PositionSource::PrimaryReport, TRUTH_MS - lag_ms, (0, 0));
        assert_eq!(unconfirmed.check.is_confirmed(), !far, "no report confirms what replicas corrected");
        let corrections = (0..3).filter_map(|_| unconfirmed.hears(PositionSource::Primary, 0, (0, 0)));
        assert_eq!(corrections.count(), usize::from(far), "{lag_ms}: put right by the primary");
        assert_eq!(unconfirmed.offset_ms(), 0);
    }
}

#[test]
fn a_clock_is_confirmed_by_a_primary_until_one_shows_that_it_is_behind() {
    let mut bench = Bench::off_by(0);
    assert!(!bench.check.is_confirmed());
    bench.hears(PositionSource::Replica, 0, (0, 10));
    assert!(!bench.check.is_confirmed());
    bench.hears(PositionSource::Primary, 5, (0, 10));
    assert!(bench.check.is_confirmed());
    bench.hears(PositionSource::Primary, 5_000, (0, 10));
    assert!(!bench.check.is_confirmed(), "it may have been stepped");
    bench.hears(PositionSource::Primary, 10, (5, 15));
    assert!(bench.check.is_confirmed(), "the position was spoilt");
}

#[test]
fn a_primary_s_report_confirms_a_clock_unless_it_lies_ahead_of_it() {
    let mut right = Bench::off_by(0);
    right.hears_position(PositionSource::PrimaryReport, TRUTH_MS - 400, (0, 0));
    assert!(right.check.is_confirmed(), "it is some moments old");
    let mut behind = Bench::off_by(-1_300);
    behind.hears(PositionSource::Replica, 0, (0, 0));
    behind.hears(PositionSource::PrimaryReport, 0, (0, 0));
    assert!(!behind.check.is_confirmed());
    behind.hears_position(PositionSource::PrimaryReport, TRUTH_MS - 1_500, (0, 0));
    assert!(!behind.check.is_confirmed(), "an older one refutes nothing");
    behind.hears(PositionSource::Primary, 0, (0, 0));
    assert_eq!(behind.offset_ms(), 0, "corrected with the first answer");
}

// Guards against: reads that rely on replicas' positions by a clock that has been stepped, before a primary has answered.
#[test]
fn a_replica_ahead_of_the_clock_puts_it_in_doubt_until_a_primary_refutes_it() {
    let mut bench = Bench::off_by(0);
    bench.hears(PositionSource::Primary, 5, (0, 10));
    for sent_ms in [0, 1_500] {
        bench.hears(PositionSource::Replica, 90_000, (sent_ms, sent_ms + 10));
        assert!(!bench.check.is_confirmed());
        bench.hears(PositionSource::Primary, sent_ms + 15, (sent_ms + 10, sent_ms + 20));
        assert!(bench.check.is_confirmed(), "the position was spoilt");
        for _ in 0..5 {
            assert_eq!(bench.hears(PositionSource::Replica, 90_000, (sent_ms, sent_ms + 30)), None);
            assert!(bench.check.is_confirmed(), "and is not asked about again soon");
        }
    }
    assert_eq!(bench.offset_ms(), 0);
}

#[test]
fn one_spoilt_position_is_forgotten_though_slow_answers_cannot_refute_it() {
    let mut bench = Bench::off_by(0);
    bench.hears(PositionSource::Primary, 100, (0, 10));
    assert!(!bench.check.is_confirmed());
    for _ in 0..AGREEING_ANSWERS {
        bench.hears(PositionSource::Primary, 60, (0, 200));
    }
    assert!(bench.check.is_confirmed());
    assert_eq!(bench.offset_ms(), 0);
}
