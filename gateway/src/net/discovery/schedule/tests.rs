use super::*;

const ASKED: DiscoveryMode = DiscoveryMode { pushed: false, must_ask_in: Duration::from_secs(10) };

/// When calls are made in the time given, all of which wait or all of which fail at once.
fn calls(
    schedule: &mut Schedule,
    start: Instant,
    mut opening: Opening,
    fail: bool,
    expires: Instant,
    within: Duration,
) -> Vec<Duration> {
    let mut made = Vec::new();
    while opening.next < start + within {
        let now = opening.next;
        made.push(now - start);
        schedule.called(now, &mut opening, expires);
        if fail {
            schedule.failed(now, &mut opening, expires);
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
        let failing =
            calls(&mut schedule, start, Schedule::at_once(start, Urgency::Steady), true, start, hour);
        let (least, most) = between(&failing);
        assert!(least >= Duration::from_secs(1) && most <= Duration::from_secs(3), "{least:?} {most:?}");
        let mut schedule = Schedule::new(ASKED, seed);
        let waiting =
            calls(&mut schedule, start, Schedule::at_once(start, Urgency::Steady), false, start, hour);
        let (least, most) = between(&waiting);
        assert!(
            least >= Duration::from_millis(2_100) && most <= Duration::from_millis(2_400),
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
        let opening = Schedule::at_once(seen, Urgency::Failed);
        let made = calls(&mut schedule, seen, opening, false, seen + left, left);
        assert!(
            made[1] <= Duration::from_millis(2_150) && made[2] <= Duration::from_millis(2_700),
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
        let part = Duration::from_millis(200 * third)..Duration::from_millis(200 * (third + 1));
        let count = delays.iter().filter(|delay| part.contains(delay)).count();
        assert!((60..=140).contains(&count), "{count} of 300 in {part:?}");
    }
}

#[test]
fn a_short_time_for_asking_holds_several_calls() {
    let start = Instant::now();
    let manner = DiscoveryMode { pushed: false, must_ask_in: Duration::from_secs(3) };
    let mut schedule = Schedule::new(manner, 1);
    let opening = Schedule::at_once(start, Urgency::Steady);
    let made = calls(&mut schedule, start, opening, false, start, Duration::from_secs(30));
    assert_eq!(between(&made).1, Duration::from_secs(1));
}

/// A discovery that handles calls in turn, one every so often, and fails those that would wait for over 2 s. What it has
/// begun to handle it goes on with, though its caller has made another call.
struct Queue {
    service: Duration,
    free_at: Instant,
}

impl Queue {
    const TIMEOUT: Duration = Duration::from_secs(2);

    /// When a call that comes now is answered; none if it fails at once.
    fn call(&mut self, now: Instant) -> Option<Instant> {
        let begins = self.free_at.max(now);
        if begins - now > Self::TIMEOUT {
            return None;
        }
        self.free_at = begins + self.service;
        Some(self.free_at)
    }
}

/// How long it takes until all of so many gateways that call at once have a list.
fn all_listed_after(gateways: u64, service: Duration) -> Duration {
    let start = Instant::now();
    let mut queue = Queue { service, free_at: start };
    let mut waiting: Vec<_> = (0..gateways)
        .map(|seed| (Schedule::new(ASKED, seed), Schedule::at_once(start, Urgency::Steady), None::<Instant>))
        .collect();
    let mut now = start;
    while !waiting.is_empty() {
        now += Duration::from_millis(1);
        assert!(now - start < Duration::from_secs(60), "{} of {gateways} have no list", waiting.len());
        waiting.retain_mut(|(schedule, opening, answer)| {
            if answer.is_some_and(|at| at <= now) {
                return false;
            }
            if opening.next <= now {
                schedule.called(now, opening, start);
                let answered = queue.call(now);
                if answered.is_none() {
                    schedule.failed(now, opening, start);
                }
                *answer = answer.or(answered);
            }
            true
        });
    }
    now - start
}

#[test]
fn gateways_that_call_at_once_do_not_keep_discovery_busy_with_calls_beside_those_that_wait() {
    for (gateways, per_second) in [(32, 5), (32, 10), (300, 50), (300, 100)] {
        let service = Duration::from_secs(1) / per_second;
        let took = all_listed_after(gateways, service);
        let least = service * u32::try_from(gateways).unwrap();
        println!("{gateways} at {per_second}/s: {took:?} of {least:?}");
        assert!(
            took <= least + Duration::from_secs(3),
            "{gateways} gateways: {took:?}, at the least {least:?}"
        );
    }
}

#[test]
fn calls_go_on_every_two_seconds_once_the_lease_has_expired() {
    let start = Instant::now();
    for (seed, fail) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut schedule = Schedule::new(ASKED, seed);
        let opening = Schedule::at_once(start, Urgency::Failed);
        let made = calls(&mut schedule, start, opening, fail, start, Duration::from_secs(60));
        let (least, most) = between(&made);
        assert!(
            least >= EXPIRED_CALL_INTERVAL.start && most <= EXPIRED_CALL_INTERVAL.end,
            "{least:?} {most:?}"
        );
    }
}
