//! What must hold of channels over all gateways, from what links, db hosts and clients saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::channel_clients::{Kind, Told};
use crate::checks::{End, BLUR};
use crate::hints::Hints;
use crate::tcp::Attempt;

/// A write of a channel as it ran at a db host.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The channel.
    pub channel: String,
    /// Its number.
    pub number: u64,
    /// When it ran.
    pub at: Instant,
}

/// A broken rule, and when it was broken.
type Broken = Vec<(Instant, String)>;

/// The attempts of each channel, in the order in which they were sent; of writes alone, or of all.
fn by_channel(attempts: &[Attempt], writes: bool) -> BTreeMap<&str, Vec<&Attempt>> {
    let mut channels: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.writes || !writes) {
        if let Some(channel) = &attempt.hints.channel {
            channels.entry(channel).or_default().push(attempt);
        }
    }
    channels.values_mut().for_each(|attempts| attempts.sort_by_key(|attempt| attempt.from));
    channels
}

/// Attempts of a channel that were out at a time.
fn together<'a>(attempts: &[&'a Attempt]) -> Vec<(&'a Attempt, &'a Attempt)> {
    let mut pairs = Vec::new();
    // The one that is out the longest of those before.
    let mut longest: Option<&Attempt> = None;
    for attempt in attempts {
        let out = longest.filter(|one| one.out_at(attempt.from, BLUR));
        pairs.extend(out.map(|one| (one, *attempt)));
        let ends = |one: &Attempt| (one.to.is_none(), one.to);
        if longest.is_none_or(|one| ends(attempt) > ends(one)) {
            longest = Some(attempt);
        }
    }
    pairs
}

/// Single: never two requests of a channel out, at any gateways.
#[must_use]
pub fn never_two_out(attempts: &[Attempt]) -> Broken {
    let broken = |(channel, attempts): (&str, Vec<&Attempt>)| -> Broken {
        let told = |(first, second): (&Attempt, &Attempt)| {
            let ((from, host), (other, to)) = (first.link, second.link);
            let what = format!("channel {channel} is out twice: g{from} to s-{host}, and g{other} to s-{to}");
            (second.from, what)
        };
        together(&attempts).into_iter().map(told).collect()
    };
    by_channel(attempts, false).into_iter().flat_map(broken).collect()
}

/// An exclusive entry in force twice: two gateways at once send for one channel.
#[must_use]
pub fn exclusive(attempts: &[Attempt]) -> Broken {
    let broken = |(channel, attempts): (&str, Vec<&Attempt>)| -> Broken {
        let of_two = |(first, second): &(&Attempt, &Attempt)| first.link.0 != second.link.0;
        let told = |(first, second): (&Attempt, &Attempt)| {
            (second.from, format!("g{} and g{} both act for channel {channel}", first.link.0, second.link.0))
        };
        together(&attempts).into_iter().filter(of_two).map(told).collect()
    };
    by_channel(attempts, false).into_iter().flat_map(broken).collect()
}

/// Numbered: a channel's writes are sent in order of their numbers, each when the one before is not out any more and has ended
/// for good: no number is sent after a later one, and none is passed over but one that a client was told has failed.
#[must_use]
pub fn order_kept(attempts: &[Attempt], told: &[Told]) -> Broken {
    let mut broken = never_two_out(&writes_of(attempts));
    let known = |told: &&Told| told.end.1 == End::Failed && told.kind == Kind::Write;
    let failed: BTreeSet<(&str, u64)> =
        told.iter().filter(known).map(|told| (&*told.channel, told.number)).collect();
    for (channel, attempts) in by_channel(attempts, true) {
        let mut newest = 0;
        for attempt in attempts {
            let Some(number) = attempt.hints.number else { continue };
            if number < newest {
                let what =
                    format!("channel {channel}: {number} is sent after {newest}, by g{}", attempt.link.0);
                broken.push((attempt.from, what));
            }
            let passed = (newest + 1..number).find(|passed| !failed.contains(&(channel, *passed)));
            if let Some(passed) = passed {
                let what = format!("channel {channel}: {number} is sent, and {passed} before it never was");
                broken.push((attempt.from, what));
            }
            newest = newest.max(number);
        }
    }
    broken
}

fn writes_of(attempts: &[Attempt]) -> Vec<Attempt> {
    attempts.iter().filter(|attempt| attempt.writes).cloned().collect()
}

/// Db hosts ran a channel's writes in order of their numbers, each once.
#[must_use]
pub fn ran_in_order(applied: &[Applied]) -> Broken {
    let (mut newest, mut broken) = (BTreeMap::<&str, u64>::new(), Vec::new());
    for write in applied {
        let before = newest.entry(&write.channel).or_default();
        if write.number <= *before {
            broken
                .push((write.at, format!("channel {}: {} runs after {before}", write.channel, write.number)));
        }
        *before = write.number.max(*before);
    }
    broken
}

/// No key is sent again later than its window allows, counted from when it may first have run.
#[must_use]
pub fn never_twice(attempts: &[Attempt], window: Duration) -> Broken {
    let mut ran: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut sorted: Vec<&Attempt> = attempts.iter().filter(|attempt| attempt.writes).collect();
    sorted.sort_by_key(|attempt| attempt.from);
    let mut broken = Vec::new();
    for attempt in sorted {
        let Some(key) = attempt.hints.key.as_deref() else { continue };
        let late = |first: &Instant| attempt.from.saturating_duration_since(*first);
        if let Some(late) = ran.get(key).map(late).filter(|late| *late > window) {
            broken.push((attempt.from, format!("key {key} is sent again {late:?} after it may have run")));
        }
        if attempt.may_have_run() {
            ran.entry(key).or_insert(attempt.from);
        }
    }
    broken
}

/// A number whose end a client was told is not sent again after that: it has its kept outcome.
#[must_use]
pub fn ended_stays_ended(attempts: &[Attempt], told: &[Told]) -> Broken {
    let mut ends: BTreeMap<(&str, u64), Instant> = BTreeMap::new();
    let over = |told: &&Told| told.kind == Kind::Write && matches!(told.end.1, End::Served | End::Failed);
    for told in told.iter().filter(over) {
        let end = ends.entry((&told.channel, told.number)).or_insert(told.end.0);
        *end = told.end.0.min(*end);
    }
    let again = |attempt: &&Attempt| {
        let name = attempt.hints.channel.as_deref().zip(attempt.hints.number);
        attempt.writes && name.and_then(|name| ends.get(&name)).is_some_and(|end| *end < attempt.from)
    };
    let broken = attempts.iter().filter(again);
    let what = |attempt: &Attempt| {
        let Hints { channel, number, .. } = &attempt.hints;
        (attempt.from, format!("channel {channel:?}: {number:?} is sent after its client was told its end"))
    };
    broken.map(what).collect()
}

/// Own writes: a channel's read sees each write of the channel that its client had been told of before it asked.
#[must_use]
pub fn own_writes_seen(told: &[Told]) -> Broken {
    let (mut newest, mut broken) = (BTreeMap::<&str, Vec<(Instant, u64)>>::new(), Vec::new());
    let served = |told: &&Told| told.end.1 == End::Served;
    for write in told.iter().filter(served).filter(|told| told.kind == Kind::Write) {
        newest.entry(&write.channel).or_default().push((write.end.0, write.number));
    }
    for read in told.iter().filter(served).filter(|told| told.kind == Kind::Read) {
        let writes = newest.get(&*read.channel).map_or(&[][..], Vec::as_slice);
        let owed = writes.iter().filter(|(at, _)| *at <= read.sent).map(|(_, number)| *number).max();
        if let Some(owed) = owed.filter(|owed| read.saw.is_none_or(|saw| saw < *owed)) {
            let what = format!(
                "channel {}: a read by g{} sees {:?}, and {owed} had been written",
                read.channel, read.gateway, read.saw
            );
            broken.push((read.end.0, what));
        }
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(start: Instant, ms: u64) -> Instant {
        start + Duration::from_millis(ms)
    }

    /// Number, gateway, sent, ended, answer.
    type Line = (u64, usize, u64, u64, Option<&'static str>);

    fn attempts(start: Instant, lines: &[Line]) -> Vec<Attempt> {
        let attempt = |(number, gateway, from, to, answer): &Line| Attempt {
            writes: true,
            to: Some(at(start, *to)),
            answer: answer.map(str::to_owned),
            ..Attempt::new(
                Hints {
                    channel: Some("c1".into()),
                    number: Some(*number),
                    key: Some(format!("k{number}")),
                    ..Hints::default()
                },
                (*gateway, 0),
                at(start, *from),
            )
        };
        lines.iter().map(attempt).collect()
    }

    fn told(start: Instant, kind: Kind, number: u64, (sent, ended): (u64, u64), end: End) -> Told {
        Told {
            channel: "c1".into(),
            number,
            kind,
            gateway: 0,
            sent: at(start, sent),
            end: (at(start, ended), end),
            saw: (kind == Kind::Read).then_some(number),
            error: String::new(),
        }
    }

    #[test]
    fn numbers_out_of_order_passed_over_or_out_at_once_are_seen() {
        let start = Instant::now();
        let fine = [
            (1, 0, 0, 10, Some("")),
            (2, 0, 20, 30, None),
            (2, 1, 40, 50, Some("")),
            (3, 1, 60, 70, Some("")),
        ];
        assert_eq!(order_kept(&attempts(start, &fine), &[]), []);
        let cases: [(&[Line], &str); 5] = [
            (&[(1, 0, 0, 10, Some("")), (3, 0, 20, 30, Some(""))], "2 before it never was"),
            (&[(1, 0, 0, 10, None), (2, 0, 20, 30, Some("")), (1, 1, 40, 50, Some(""))], "1 is sent after 2"),
            (&[(1, 0, 0, 100, Some("")), (2, 0, 20, 30, Some(""))], "out twice"),
            (&[(1, 0, 0, 100, None), (2, 0, 10, 101, None), (2, 1, 60, 70, Some(""))], "g1 to s-0"),
            (&[(1, 0, 0, 10, Some("")), (2, 0, 9, 30, Some(""))], "out twice"),
        ];
        for (lines, word) in cases {
            let broken = order_kept(&attempts(start, lines), &[]);
            assert!(broken.iter().any(|(_, what)| what.contains(word)), "{word}: {broken:?}");
        }
        let failed = [told(start, Kind::Write, 2, (11, 12), End::Failed)];
        assert_eq!(
            order_kept(&attempts(start, cases[0].0), &failed),
            [],
            "its client knows that it has failed"
        );
    }

    #[test]
    fn a_number_that_is_sent_after_its_end_was_told_is_seen() {
        let start = Instant::now();
        let seen = attempts(start, &[(1, 0, 0, 10, Some("")), (1, 1, 30, 40, Some(""))]);
        for (ended, end, wanted) in [(20, End::Served, 1), (20, End::Lost, 0), (35, End::Failed, 0)] {
            let told = [told(start, Kind::Write, 1, (0, ended), end)];
            assert_eq!(ended_stays_ended(&seen, &told).len(), wanted, "{end:?} at {ended}");
        }
    }

    #[test]
    fn two_gateways_that_act_for_one_channel_are_seen() {
        let start = Instant::now();
        let one = attempts(start, &[(1, 0, 0, 100, Some("")), (2, 0, 20, 30, Some(""))]);
        let two = attempts(start, &[(1, 0, 0, 100, Some("")), (2, 1, 20, 30, Some(""))]);
        assert_eq!((exclusive(&one).len(), never_two_out(&one).len()), (0, 1));
        assert_eq!((exclusive(&two).len(), never_two_out(&two).len()), (1, 1));
    }

    #[test]
    fn a_key_sent_past_its_window_counts_from_when_it_may_have_run() {
        let start = Instant::now();
        let window = Duration::from_millis(1_000);
        // The first answer, when it is sent again, and whether that breaks the rule.
        for (answer, again, wanted) in
            [(None, 900, 0), (None, 1_100, 1), (Some(""), 1_100, 1), (Some("25006"), 1_100, 0)]
        {
            let seen = attempts(start, &[(1, 0, 0, 10, answer), (1, 1, again, again + 10, Some(""))]);
            assert_eq!(never_twice(&seen, window).len(), wanted, "{answer:?}, again at {again}");
        }
    }

    #[test]
    fn what_ran_in_another_order_or_was_not_seen_by_its_channel_is_told() {
        let start = Instant::now();
        let ran = |numbers: &[u64]| -> Vec<Applied> {
            numbers.iter().map(|n| Applied { channel: "c1".into(), number: *n, at: start }).collect()
        };
        assert_eq!([ran_in_order(&ran(&[1, 2, 4])), ran_in_order(&ran(&[]))], [vec![], vec![]]);
        assert_eq!([ran_in_order(&ran(&[1, 3, 2])).len(), ran_in_order(&ran(&[1, 1])).len()], [1, 1]);
        let wrote = told(start, Kind::Write, 5, (0, 50), End::Served);
        let read = |sent, saw| told(start, Kind::Read, saw, (sent, sent + 10), End::Served);
        assert_eq!(own_writes_seen(&[wrote.clone(), read(60, 5), read(40, 4)]), []);
        assert_eq!(own_writes_seen(&[wrote, read(60, 4)]).len(), 1);
    }
}
