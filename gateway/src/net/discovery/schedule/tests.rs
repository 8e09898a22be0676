use super::*;

const ASKED: Manner = Manner { pushed: false, must_ask_in: Duration::from_secs(10) };

/// When calls are made in the time given, all of which wait or all of which fail at once.
fn calls(
    schedule: &mut Schedule,
    start: Instant,
    mut opening: Opening,
    fail: bool,
    within: Duration,
) -> Vec<Duration> {
    let mut made = Vec::new();
    while opening.next < start + within {
        let now = opening.next;
        made.push(now - start);
        schedule.called(now, &mut opening);
        if fail {
            schedule.failed(now, &mut opening);
        }
    }
    made
}

/// The shortest and the longest time between calls.
fn between(calls: &[Duration]) -> (Duration, Duration) {
    let intervals = || calls.windows(2).map(|pair| pair[1] - pair[0]);
    (intervals().min().unwrap(), intervals().max().unwrap())
}

#[test]
fn calls_do_not_become_rarer_however_many_fail_or_wait() {
    let (start, hour) = (Instant::now(), Duration::from_secs(3600));
    for seed in 0..20 {
        let mut schedule = Schedule::new(ASKED, seed);
        let failing = calls(&mut schedule, start, Schedule::at_once(start, None), true, hour);
        let (least, most) = between(&failing);
        assert!(
            least >= Duration::from_secs(1) && most <= Duration::from_millis(1_500),
            "{least:?} {most:?}"
        );
        let mut schedule = Schedule::new(ASKED, seed);
        let waiting = calls(&mut schedule, start, Schedule::at_once(start, None), false, hour);
        let (least, most) = between(&waiting);
        assert!(
            least >= Duration::from_millis(1_500) && most <= Duration::from_secs(2),
            "{least:?} {most:?}"
        );
    }
}

#[test]
fn a_silent_watch_leaves_time_for_a_slow_answer_after_a_call_that_hangs() {
    for seed in 0..100 {
        // Silence is seen 2.6 s after the last line at the latest; what was missed counts 6 s after that line.
        let seen = Instant::now();
        let left = Duration::from_millis(3_400);
        let mut schedule = Schedule::new(ASKED, seed);
        let opening = Schedule::at_once(seen, Some(seen + left));
        let made = calls(&mut schedule, seen, opening, false, left);
        assert!(
            made[1] <= Duration::from_millis(1_200) && made[2] <= Duration::from_millis(2_000),
            "{made:?}"
        );
        assert!(made.len() <= 6, "{made:?}");
    }
}

#[test]
fn many_gateways_do_not_call_in_step() {
    let start = Instant::now();
    let first = |seed| {
        let mut schedule = Schedule::new(ASKED, seed);
        schedule.after_end(start).next - start
    };
    let delays: Vec<Duration> = (0..300).map(first).collect();
    for third in 0..3 {
        let part = Duration::from_millis(100 * third)..Duration::from_millis(100 * (third + 1));
        let count = delays.iter().filter(|delay| part.contains(delay)).count();
        assert!((60..=140).contains(&count), "{count} of 300 in {part:?}");
    }
}

#[test]
fn a_short_time_for_asking_holds_several_calls() {
    let start = Instant::now();
    let manner = Manner { pushed: false, must_ask_in: Duration::from_secs(3) };
    let mut schedule = Schedule::new(manner, 1);
    let made = calls(&mut schedule, start, Schedule::at_once(start, None), false, Duration::from_secs(30));
    assert_eq!(between(&made).1, Duration::from_secs(1));
}
