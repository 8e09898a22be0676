//! What a router works out of its own traffic.

use super::*;

#[test]
fn idle_connections_are_in_doubt_only_against_others_that_are_answered() {
    let now = Instant::now();
    let mut thin = Doubt::default();
    for n in 0..200 {
        // A third of a thin traffic is lost at times, all of it after idleness.
        thin.learn(now, true, n % 3 == 0);
    }
    assert!(!thin.holds(now));
    let mut dense = Doubt::default();
    for n in 0..200 {
        dense.learn(now, n % 10 == 0, n % 10 == 0);
    }
    assert!(dense.holds(now));
    assert!(!dense.holds(now + DOUBT_FOR));
}

// Guards against: memory that grows with each session that writes, while a member tells no position or stands still.
#[test]
fn commits_are_bounded_and_none_is_taken_for_unwritten_when_members_tell_no_position() {
    const TICKS: usize = 200;
    const LEARNED_IN_A_TICK: usize = MAX_SESSIONS / 40;
    let start = Instant::now();
    let at = |n: usize| start + Duration::from_millis(n as u64);
    for position in [None, Some(start)] {
        let (mut commits, written) = (Commits::default(), TICKS * LEARNED_IN_A_TICK);
        for tick in 0..TICKS {
            let numbers = tick * LEARNED_IN_A_TICK..(tick + 1) * LEARNED_IN_A_TICK;
            numbers.for_each(|n| commits.learn(SessionKey(n as u64), at(n)));
            commits.forget(at(written), [Some(at(written)), position].into_iter());
            assert!(commits.latest.len() <= MAX_SESSIONS, "{} after {tick}", commits.latest.len());
        }
        for n in (0..written).step_by(997) {
            let known = commits.of(at(written), Some(SessionKey(n as u64)));
            assert!(known >= Some(at(n)), "{n}: {known:?}");
        }
    }
}
