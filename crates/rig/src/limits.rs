//! What must hold of limits over all gateways, from what was seen on the way to db hosts.

use std::time::{Duration, Instant};

use crate::checks::End;
use crate::demand::Asked;
use crate::tcp::Attempt;
use crate::world::Work;

/// The span in which a limit's use is told.
const SECOND: Duration = Duration::from_secs(1);

/// How far a limit was passed at its worst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Over {
    /// Attempts beyond `burst + rate x time`, over whichever span is the worst. Negative if the limit held.
    pub any_span: f64,
    /// Attempts beyond `burst + rate` in the worst second. Negative if the limit held.
    pub second: f64,
    /// When the worst span ended.
    pub at: Instant,
}

/// When the attempts of these classes were sent, in order; of all if none is named. By the kernel's receive time, as the thread that
/// reads them may be held up on a busy machine and read in one moment what was sent over a tenth of a second.
#[must_use]
pub fn sent(attempts: &[Attempt], classes: &[&str]) -> Vec<Instant> {
    let meant = |attempt: &&Attempt| classes.is_empty() || classes.contains(&&*attempt.hints.class);
    let mut times: Vec<Instant> = attempts.iter().filter(meant).map(|attempt| attempt.received).collect();
    times.sort_unstable();
    times
}

/// The worst passing of a limit of `rate` each second and `burst` at once by attempts sent at these times, in order; none if
/// there were none.
#[must_use]
pub fn over_limit(times: &[Instant], rate: f64, burst: f64) -> Option<Over> {
    let mut over = Over { any_span: f64::NEG_INFINITY, second: f64::NEG_INFINITY, at: *times.first()? };
    // The bucket that fills by attempts and runs dry by time: its level is the worst span that ends now.
    let (mut level, mut last, mut oldest) = (0.0_f64, *times.first()?, 0);
    for (n, at) in times.iter().copied().enumerate() {
        level = (level - rate * at.saturating_duration_since(last).as_secs_f64()).max(0.0) + 1.0;
        last = at;
        if level - burst > over.any_span {
            (over.any_span, over.at) = (level - burst, at);
        }
        while at.saturating_duration_since(times[oldest]) >= SECOND {
            oldest += 1;
        }
        over.second = over.second.max((n + 1 - oldest) as f64 - rate - burst);
    }
    Some(over)
}

/// The part of a limit that was used between two moments.
#[must_use]
pub fn used(times: &[Instant], rate: f64, from: Instant, to: Instant) -> f64 {
    let count = times.iter().filter(|at| **at >= from && **at < to).count();
    count as f64 / (rate * to.saturating_duration_since(from).as_secs_f64()).max(f64::MIN_POSITIVE)
}

/// Refused requests, and those of them for which there was room all the same: what the limit let through and nobody sent within
/// `within` of it, span by span, as far as there were refusals to fill it.
#[must_use]
pub fn refused_with_room(
    asked: &[Asked],
    times: &[Instant],
    rate: f64,
    (from, to): (Instant, Instant),
    within: Duration,
) -> (usize, f64) {
    let (mut refused, mut needless, mut at) = (0, 0.0, from);
    while at + within <= to {
        let inside = |time: Instant| time >= at && time < at + within;
        let here = asked.iter().filter(|asked| asked.end == End::Refused && inside(asked.at)).count();
        let sent = times.iter().filter(|time| inside(**time)).count();
        refused += here;
        needless += (rate * within.as_secs_f64() - sent as f64).clamp(0.0, here as f64);
        at += within;
    }
    (refused, needless)
}

/// The most attempts of these classes that were out at a time, and when. `rests` is how long one whose connection ended without
/// an answer may still run at its db host.
#[must_use]
pub fn most_out(attempts: &[Attempt], classes: &[&str], rests: Duration) -> Option<(usize, Instant)> {
    let meant = attempts.iter().filter(|one| classes.is_empty() || classes.contains(&&*one.hints.class));
    let mut marks: Vec<(Instant, i64)> = Vec::new();
    for attempt in meant {
        marks.push((attempt.from, 1));
        let rests = if attempt.answer.is_some() { Duration::ZERO } else { rests };
        marks.extend(attempt.to.map(|to| (to + rests, -1)));
    }
    most(marks)
}

/// The most requests of these classes that were at work at db hosts at a time, and when.
#[must_use]
pub fn most_at_work(work: &[Work], classes: &[&str]) -> Option<(usize, Instant)> {
    let meant = work.iter().filter(|one| classes.is_empty() || classes.contains(&&*one.class));
    most(meant.flat_map(|one| [(one.span.0, 1), (one.span.1, -1)]).collect())
}

/// The most that is out at a time, by its beginnings and ends.
fn most(mut marks: Vec<(Instant, i64)>) -> Option<(usize, Instant)> {
    // Ends before beginnings of the same moment.
    marks.sort_unstable();
    let mut out = 0_i64;
    let counted = marks.into_iter().map(|(at, step)| {
        out += step;
        (usize::try_from(out).unwrap_or(0), at)
    });
    counted.reduce(|most, now| if now.0 > most.0 { now } else { most })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hints::Hints;

    #[test]
    fn a_limit_is_passed_by_a_burst_and_by_a_rate_and_held_at_its_edge() {
        let start = Instant::now();
        let every = |ms: u64, count: u64| -> Vec<Instant> {
            (0..count).map(|n| start + Duration::from_millis(n * ms)).collect()
        };
        // Times, rate, burst: how far beyond over any span, and in a second.
        let cases = [
            (every(10, 300), 100.0, 1.0, 0.0, -1.0),
            (every(0, 20), 100.0, 20.0, 0.0, -100.0),
            (every(0, 21), 100.0, 20.0, 1.0, -99.0),
            (every(10, 401), 50.0, 10.0, 191.0, 40.0),
        ];
        for (times, rate, burst, any_span, second) in cases {
            let over = over_limit(&times, rate, burst).expect("some");
            assert!((over.any_span - any_span).abs() < 1e-6, "{any_span}: {over:?}");
            assert!((over.second - second).abs() < 1e-6, "{second}: {over:?}");
        }
        assert_eq!(over_limit(&[], 1.0, 1.0), None);
        let part = used(&every(10, 300), 200.0, start + SECOND, start + 2 * SECOND);
        assert!((part - 0.5).abs() < 1e-6, "{part}");
    }

    /// Guards against: a thread that is held up for a tenth of a second, and reads in a heap what was sent at the limit's pace.
    #[test]
    fn attempts_that_are_read_in_a_heap_are_judged_by_when_they_were_received() {
        let start = Instant::now();
        let (pace, held_up_until) = (Duration::from_millis(8), start + Duration::from_millis(100));
        let attempt = |number: u32| {
            let received = start + pace * number;
            let hints = Hints { class: "view".into(), ..Hints::default() };
            Attempt { received, ..Attempt::new(hints, (0, 1), received.max(held_up_until)) }
        };
        let attempts: Vec<Attempt> = (0..20).map(attempt).collect();
        let by_read: Vec<Instant> = attempts.iter().map(|attempt| attempt.from).collect();
        let over = |times: &[Instant]| over_limit(times, 125.0, 1.0).expect("some").any_span;
        assert!(over(&by_read) > 10.0, "as they were read");
        assert!(over(&sent(&attempts, &["view"])) < 0.1, "as they were sent");
    }

    #[test]
    fn attempts_out_at_a_time_are_counted_with_the_rest_of_those_that_were_given_up() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let attempt = |class: &str, from, to, answer: Option<&str>| Attempt {
            to: Some(at(to)),
            answer: answer.map(str::to_owned),
            ..Attempt::new(Hints { class: class.into(), ..Hints::default() }, (0, 1), at(from))
        };
        let seen = [
            attempt("order", 0, 10, Some("")),
            attempt("order", 10, 20, None),
            attempt("order", 21, 30, Some("")),
            attempt("view", 0, 90, Some("")),
        ];
        assert_eq!(most_out(&seen, &["order"], Duration::ZERO).map(|(most, _)| most), Some(1));
        assert_eq!(most_out(&seen, &["order"], Duration::from_millis(5)), Some((2, at(21))));
        assert_eq!(most_out(&seen, &[], Duration::ZERO).map(|(most, _)| most), Some(2));
        let work = [("order", 0, 10), ("order", 10, 30), ("order", 25, 40), ("view", 0, 90)];
        let work = work.map(|(class, from, to)| Work { class: class.into(), span: (at(from), at(to)) });
        assert_eq!(most_at_work(&work, &["order"]), Some((2, at(25))), "nobody needs to wait for it");
        assert_eq!(most_at_work(&work[..2], &["order"]).map(|(most, _)| most), Some(1));
    }

    #[test]
    fn what_was_refused_where_there_was_room_is_counted_span_by_span() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let refused = |ms| Asked { gateway: 0, at: at(ms), end: End::Refused };
        let asked =
            [refused(100), refused(200), refused(1_100), Asked { end: End::Served, ..refused(1_200) }];
        // One of two in the first second, as one was sent; in the next one there was none.
        let times = [at(10), at(1_010), at(1_020)];
        let (count, needless) =
            refused_with_room(&asked, &times, 2.0, (start, at(2_500)), Duration::from_secs(1));
        assert_eq!((count, needless), (3, 1.0));
    }
}
