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

#[test]
fn a_clock_that_is_off_is_corrected_once_answers_of_primaries_agree() {
    const TRUTH_MS: u64 = 1_767_225_600_000;
    let origin = Instant::now();
    for off_s in [-3_600_i64, -5, 3_600] {
        let own_ms = TRUTH_MS.saturating_add_signed(1_000 * off_s);
        let mut clock = Clock::at(origin, Duration::from_millis(own_ms));
        let mut check = ClockCheck::default();
        let (spoilt, fine) = (TRUTH_MS + 86_400_000, TRUTH_MS);
        let shown = [fine, spoilt, fine, fine + 20];
        let early: Vec<_> = shown.map(|ms| check.position(origin, Role::Primary, ms, &mut clock)).into();
        assert!(early.iter().all(Option::is_none), "{off_s} s: {early:?}");
        let offset = check.position(origin, Role::Primary, fine, &mut clock).expect("three answers agree");
        assert_eq!(offset.span(), Duration::from_secs(off_s.unsigned_abs()), "{offset:?}");
        assert_eq!(clock.unix(origin), Duration::from_millis(TRUTH_MS));
        assert_eq!(check.position(origin, Role::Primary, fine, &mut clock), None, "corrected once");
    }
}

#[test]
fn a_clock_that_is_nearly_right_stays() {
    let origin = Instant::now();
    let mut clock = Clock::at(origin, Duration::from_secs(1_000));
    let mut check = ClockCheck::default();
    for unix_ms in [999_100, 1_000_900, 999_100, 1_000_900] {
        assert_eq!(check.position(origin, Role::Primary, unix_ms, &mut clock), None);
    }
    assert_eq!(clock.unix(origin), Duration::from_secs(1_000));
}

#[test]
fn what_is_over_is_not_in_the_future_of_a_clock_that_is_behind() {
    let origin = Instant::now();
    let clock = Clock::at(origin, Duration::from_secs(1_000));
    assert_eq!(clock.past(origin, 4_600_000), Some(origin));
    assert_eq!(clock.past(origin, 999_000), origin.checked_sub(Duration::from_secs(1)));
}

#[test]
fn a_replica_shows_that_the_clock_is_behind_but_not_by_its_lag_that_it_is_ahead() {
    let origin = Instant::now();
    let own_ms = 1_767_225_600_000;
    for (replica_ms, corrected) in
        [(own_ms - 50_000, false), (own_ms - 3_600_000, true), (own_ms + 5_000, true)]
    {
        let mut clock = Clock::at(origin, Duration::from_millis(own_ms));
        let mut check = ClockCheck::default();
        let shown = (0..3).filter_map(|_| check.position(origin, Role::Replica, replica_ms, &mut clock));
        assert_eq!(shown.count(), usize::from(corrected), "{replica_ms}");
    }
}
