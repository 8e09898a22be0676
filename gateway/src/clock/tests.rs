use super::*;

#[test]
fn positions_before_and_after_the_start_and_such_as_are_none() {
    let origin = Instant::now();
    let clock = Clock::at(origin, Duration::from_secs(1_767_225_600));
    assert_eq!(clock.position(1_767_225_600_250), Some(origin + Duration::from_millis(250)));
    let now = origin;
    assert_eq!(clock.reported(now, 1_767_225_599.5), origin.checked_sub(Duration::from_millis(500)));
    assert_eq!(clock.applied(now, 1_767_225_600_050), Some(origin + Duration::from_millis(50)));
    assert_eq!([clock.applied(now, 1_767_225_600_051), clock.reported(now, 1_767_225_600.051)], [None; 2]);
    assert_eq!(clock.unix(origin + Duration::from_secs(1)), Duration::from_secs(1_767_225_601));
    assert_eq!([-1.0, f64::NAN, 1e300].map(|seconds| clock.reported(now, seconds)), [None; 3]);
}

#[test]
fn what_is_over_is_not_in_the_future_of_a_clock_that_is_behind() {
    let origin = Instant::now();
    let clock = Clock::at(origin, Duration::from_secs(1_000));
    assert_eq!(clock.past(origin, 4_600_000), Some(origin));
    assert_eq!(clock.past(origin, 999_000), origin.checked_sub(Duration::from_secs(1)));
}
