//! What the seeds of a soak play between them.

use super::*;

const SPAN: Duration = Duration::from_secs(25);

#[test]
fn gateways_are_killed_at_the_earliest_moment_and_signalled_in_series_until_then() {
    let (mut ends, mut signals) = (0, 0);
    for seed in 1..=50 {
        let plan = Plan::draw(seed, SPAN, None);
        let of = |wanted: usize, event: &Event| match *event {
            Event::Kill(gateway) | Event::Signal(gateway, _) => gateway == wanted,
            _ => false,
        };
        for (at, event) in &plan.events {
            let Event::Terminate(gateway) = *event else { continue };
            let kill = *at + plan.deadlines.earliest_kill();
            let until_kill = plan.events.iter().filter(|(at, event)| of(gateway, event) && *at <= kill);
            let (kills, more): (Vec<_>, Vec<_>) =
                until_kill.partition(|(_, event)| matches!(event, Event::Kill(_)));
            assert_eq!(kills.iter().map(|(at, _)| *at).collect::<Vec<_>>(), [kill], "seed {seed}");
            assert!(more.iter().all(|(later, _)| later > at && *later < kill), "seed {seed}");
            ends += 1;
            signals += usize::from(!more.is_empty());
        }
    }
    assert!(ends > 50 && signals * 3 > ends, "{signals} of {ends} with signals in series");
}

// Guards against: a SIGTERM that a busy rig sends late, and a SIGKILL that follows it at the planned time.
#[test]
fn a_gateway_that_is_told_late_to_end_is_left_alive_for_as_long() {
    for deadlines in [Deadlines::SHORT, Deadlines::LONG] {
        let told_to_end = Instant::now();
        let left = |after_ms: u64| {
            deadlines.until_kill(told_to_end, told_to_end + Duration::from_millis(after_ms)).as_millis()
        };
        let whole = deadlines.order.as_millis() + 700;
        assert_eq!(left(0), whole);
        assert_eq!(left(690), whole - 690, "the moment at which a kill was seen");
        assert_eq!(left(4_000), 0);
    }
}

#[test]
fn deadlines_are_short_in_some_seeds_and_crowds_come_in_some() {
    let plans: Vec<Plan> = (1..=50).map(|seed| Plan::draw(seed, SPAN, None)).collect();
    let count = |fits: &dyn Fn(&Plan) -> bool| plans.iter().filter(|plan| fits(plan)).count();
    let short = count(&|plan| plan.deadlines == Deadlines::SHORT);
    let crowds = count(&|plan| plan.events.iter().any(|(_, event)| matches!(event, Event::Crowd(_))));
    assert!((8..=30).contains(&short) && (15..=35).contains(&crowds), "{short} short, {crowds} with a crowd");
    // The seeds of `gateway/tests/soak.rs`.
    assert!(plans[..3].iter().any(|plan| plan.deadlines == Deadlines::SHORT), "none short in CI");
}
