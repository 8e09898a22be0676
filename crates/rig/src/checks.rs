//! What must hold of requests, from what clients, links and db hosts saw. Nothing here knows the gateway's insides.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::tcp::Attempt;

/// One that was just given up may be seen on the way a little longer than its gateway counts it; that of one request is known.
pub(crate) const BLUR: Duration = Duration::from_millis(15);

/// After a gateway was told that a db host drains, it may send there for so long; and a little for the way.
const STOPS_WITHIN: Duration = Duration::from_millis(250);
const WAY: Duration = Duration::from_millis(60);
/// What a silent watch misses counts as told so long after it fell silent ("One clock for silence").
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// A drain of a db host.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Which db host.
    pub host: usize,
    /// The version of the list that said so, and since when it has been so.
    pub version: u64,
    /// When it began.
    pub from: Instant,
    /// Until when, if it is over.
    pub to: Option<Instant>,
}

/// Nothing new to a draining db host once its gateway has been told. `told` says which gateway was told which version when; a
/// watch that was opened anew tells again what was told before, and the first time counts.
#[must_use]
pub fn drains(seen: &[Attempt], drains: &[Drain], told: &[(usize, u64, Instant)]) -> Vec<(Instant, String)> {
    let mut broken = Vec::new();
    for (attempt, drain) in seen.iter().flat_map(|attempt| drains.iter().map(move |drain| (attempt, drain))) {
        let (gateway, host) = attempt.link;
        let knows = |(to, version, _): &&(usize, u64, Instant)| *to == gateway && *version >= drain.version;
        let Some((.., at)) = told.iter().filter(knows).min_by_key(|(.., at)| *at) else { continue };
        let over = drain.to.is_some_and(|to| attempt.from >= to);
        if host == drain.host && !over && attempt.from > *at + STOPS_WITHIN + WAY {
            let late = attempt.from.saturating_duration_since(*at);
            broken.push((
                attempt.from,
                format!("g{gateway} sends to s-{host} {late:?} after it was told that it drains"),
            ));
        }
    }
    broken
}

/// What a gateway missed of drains that began while its watch was silent counts as told so long after the silence began, as it
/// may ask anew; unless it could not, as its process or its way to the list was away in that time.
#[must_use]
pub fn missed(silences: &[(usize, Instant)], drains: &[Drain], away: &[Away]) -> Vec<(usize, u64, Instant)> {
    let told = |(gateway, since): &(usize, Instant)| {
        let (gateway, since, until) = (*gateway, *since, *since + TOLD_AFTER);
        let could_not =
            |away: &Away| away.gateway == gateway && away.from < until && away.to.is_none_or(|to| to > since);
        let within = move |drain: &&Drain| (since..until).contains(&drain.from);
        let asks = !away.iter().any(could_not);
        drains.iter().filter(within).filter(move |_| asks).map(move |drain| (gateway, drain.version, until))
    };
    silences.iter().flat_map(told).collect()
}

/// A request whose client's connection was reset before its first attempt is not sent on later than this.
const GONE: Duration = Duration::from_millis(300);

/// Nothing is sent for clients that have gone: their requests, and when their connections were reset.
#[must_use]
pub fn gone(gone: &[(String, Instant)], seen: &[Attempt]) -> Vec<(Instant, String)> {
    let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
    for attempt in seen {
        let from = first.entry(&attempt.hints.id).or_insert(attempt.from);
        *from = attempt.from.min(*from);
    }
    let broken = |(id, at): &(String, Instant)| {
        let from = *first.get(id.as_str())?;
        let late = from.saturating_duration_since(*at);
        (late > GONE + WAY)
            .then(|| (from, format!("request {id} is sent on {late:?} after its client had gone")))
    };
    gone.iter().filter_map(broken).collect()
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its `id`.
    pub id: String,
    /// The gateway it was sent to.
    pub gateway: usize,
    /// When it had been sent whole.
    pub sent: Instant,
    /// How long its client waits.
    pub wait: Duration,
    /// How it ended, and when.
    pub end: (Instant, End),
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Refused: come back.
    Refused,
    /// Failed.
    Failed,
    /// The connection ended without an answer.
    Lost,
    /// Nothing came for a long while.
    Silent,
    /// More came than one answer.
    Twice,
}

/// A time in which a gateway was stopped or killed, and just after; what it owes is not asked of it.
#[derive(Clone, Copy, Debug)]
pub struct Away {
    /// Which gateway.
    pub gateway: usize,
    /// It was killed: its requests are lost.
    pub killed: bool,
    /// From when.
    pub from: Instant,
    /// Until when, if it is over.
    pub to: Option<Instant>,
}

/// Each taken request has one final answer in time, unless its gateway was killed or stood still. `slack` is what may come on top
/// between two moments.
#[must_use]
pub fn answers(
    seen: &[Seen],
    away: &[Away],
    slack: impl Fn(Instant, Instant) -> Duration,
) -> Vec<(Instant, String)> {
    let broken = |request: &Seen| {
        let (at, end) = request.end;
        let during = |away: &&Away| {
            away.gateway == request.gateway && away.from <= at && away.to.is_none_or(|to| request.sent <= to)
        };
        let away = away.iter().find(during);
        let late = at > request.sent + request.wait + slack(request.sent, at);
        let what = match end {
            End::Twice => "was answered twice",
            End::Lost | End::Silent if away.is_some_and(|away| away.killed) => return None,
            End::Lost => "was lost with its connection",
            End::Silent if late && away.is_none() => "was never answered",
            End::Served | End::Refused | End::Failed if late && away.is_none() => "was answered late",
            _ => return None,
        };
        let took = at.saturating_duration_since(request.sent);
        Some((
            at,
            format!("request {} to g{} {what}, {took:?} after it was sent", request.id, request.gateway),
        ))
    };
    seen.iter().filter_map(broken).collect()
}

/// Never two attempts of a request out at a time. The links look, as the second begins, whether the first one's gateway has
/// closed its connection, so that no clock and no busy machine decides.
#[must_use]
pub fn attempts(seen: &[Attempt]) -> Vec<(Instant, String)> {
    let mut by_id: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in seen.iter().filter(|attempt| attempt.to != Some(attempt.from)) {
        by_id.entry(&attempt.hints.id).or_default().push(attempt);
    }
    let mut broken = Vec::new();
    for (id, mut attempts) in by_id {
        attempts.sort_by_key(|attempt| attempt.from);
        for pair in attempts.windows(2) {
            if pair[0].to.is_none_or(|to| to > pair[1].from) {
                let (first, second) = (pair[0].link, pair[1].link);
                let over = pair[0].to.map(|to| to.saturating_duration_since(pair[1].from));
                let answer = &pair[0].answer;
                broken.push((
                    pair[1].from,
                    format!("request {id} is out twice: {first:?}, which ends {over:?} later by {answer:?}, and {second:?}"),
                ));
            }
        }
    }
    broken
}

/// Nothing to a cold db host beyond its budget: over any span of `fall` from all gateways together N + 3 x root of N + 3, N being
/// `tip` times what it can do in it.
pub fn too_much_for_a_cold_one(
    arrived: &[Instant],
    capacity: impl Fn(Instant) -> f64,
    tip: f64,
    fall: Duration,
) -> impl Iterator<Item = (Instant, String)> {
    let over = |last: usize| {
        let at = arrived[last];
        let came =
            arrived[..=last].iter().rev().take_while(|other| at.saturating_duration_since(**other) < fall);
        let may = tip * capacity(at) * fall.as_secs_f64();
        let (came, most) = (came.count(), may + 3.0 * may.sqrt() + 3.0);
        (came as f64 > most)
            .then(|| (at, format!("is cold and got {came} in {fall:?}, {most:.0} at the most")))
    };
    // The first is enough.
    (0..arrived.len()).find_map(over).into_iter()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hints::Hints;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn answers_are_one_in_time_unless_the_gateway_was_away() {
        let start = Instant::now();
        let killed =
            |from, to| Away { gateway: 3, killed: true, from: start + ms(from), to: Some(start + ms(to)) };
        let stopped = |from, to| Away { killed: false, ..killed(from, to) };
        // How it ended, after how long, while the gateway was away, and the word of a broken rule.
        let cases = [
            (End::Served, 500, None, ""),
            (End::Refused, 1_090, None, ""),
            (End::Served, 1_200, None, "late"),
            (End::Served, 5_000, Some(stopped(400, 4_900)), ""),
            (End::Lost, 300, None, "lost"),
            (End::Lost, 300, Some(killed(250, 300)), ""),
            (End::Lost, 300, Some(stopped(250, 300)), "lost"),
            (End::Lost, 300, Some(killed(400, 500)), "lost"),
            (End::Silent, 9_000, None, "never"),
            (End::Silent, 9_000, Some(killed(100, 8_000)), ""),
            (End::Twice, 20, Some(killed(0, 9_000)), "twice"),
        ];
        for (end, after, away, word) in cases {
            let end = (start + ms(after), end);
            let seen = Seen { id: "a1".into(), gateway: 3, sent: start, wait: ms(1_000), end };
            let away: Vec<Away> = away.into_iter().collect();
            let broken = answers(&[seen], &away, |_, _| ms(100));
            assert_eq!(broken.is_empty(), word.is_empty(), "{end:?} {away:?}: {broken:?}");
            assert!(broken.iter().all(|(_, what)| what.contains(word)), "{word}: {broken:?}");
        }
    }

    #[test]
    fn two_attempts_out_at_a_time_are_seen() {
        let start = Instant::now();
        let attempt = |id: &str, from, to: Option<u64>| Attempt {
            to: to.map(|to| start + ms(to)),
            ..Attempt::new(Hints { id: id.into(), ..Hints::default() }, (0, 1), start + ms(from))
        };
        let fine = [attempt("a", 0, Some(40)), attempt("b", 10, Some(60)), attempt("a", 40, Some(90))];
        assert!(attempts(&fine).is_empty(), "one after the other");
        assert!(
            attempts(&[attempt("a", 0, Some(90)), attempt("a", 40, Some(40))]).is_empty(),
            "seen too late"
        );
        for to in [None, Some(41)] {
            assert_eq!(attempts(&[attempt("a", 40, Some(90)), attempt("a", 0, to)]).len(), 1, "{to:?}");
        }
    }

    #[test]
    fn sends_to_a_draining_host_count_from_when_their_gateway_was_told() {
        let start = Instant::now();
        let drain = Drain { host: 1, version: 7, from: start, to: Some(start + ms(3_000)) };
        let told =
            [(0, 6, start), (0, 7, start + ms(500)), (0, 9, start + ms(900)), (4, 8, start + ms(2_000))];
        // Gateway, db host, when it was sent, and whether that breaks the rule.
        let cases = [
            ((0, 1), 700, false),
            ((0, 1), 900, true),
            ((0, 2), 900, false),
            ((0, 1), 3_100, false),
            ((4, 1), 2_200, false),
            ((4, 1), 2_400, true),
            ((3, 1), 2_900, false),
        ];
        for (link, at, wanted) in cases {
            let attempt = Attempt::new(Hints::default(), link, start + ms(at));
            assert_eq!(!drains(&[attempt], &[drain], &told).is_empty(), wanted, "{link:?} at {at} ms");
        }
    }

    #[test]
    fn drains_that_a_silent_watch_missed_count_as_told_unless_it_could_not_ask() {
        let start = Instant::now();
        let drain = |from| Drain { host: 1, version: 7, from: start + ms(from), to: None };
        let away = |gateway, from, to| Away {
            gateway,
            killed: false,
            from: start + ms(from),
            to: Some(start + ms(to)),
        };
        // When the drain began, and who was away when; the silence of gateway 2 begins at 1 s.
        let cases = [
            (1_500, None, true),
            (500, None, false),
            (7_500, None, false),
            (1_500, Some(away(2, 6_500, 9_000)), false),
            (1_500, Some(away(2, 200, 900)), true),
            (1_500, Some(away(3, 200, 9_000)), true),
        ];
        for (from, away, wanted) in cases {
            let away: Vec<Away> = away.into_iter().collect();
            let told = missed(&[(2, start + ms(1_000))], &[drain(from)], &away);
            let wanted: Vec<_> = wanted.then(|| (2, 7, start + ms(7_000))).into_iter().collect();
            assert_eq!(told, wanted, "{from} {away:?}");
        }
    }

    #[test]
    fn nothing_is_sent_on_for_clients_that_have_gone() {
        let start = Instant::now();
        let attempt =
            |from| Attempt::new(Hints { id: "a".into(), ..Hints::default() }, (0, 1), start + ms(from));
        let gone = |froms: &[u64]| {
            let seen: Vec<Attempt> = froms.iter().map(|from| attempt(*from)).collect();
            gone(&[("a".into(), start + ms(100))], &seen).len()
        };
        assert_eq!((gone(&[]), gone(&[50, 900]), gone(&[300]), gone(&[900, 600])), (0, 0, 0, 1));
    }

    #[test]
    fn a_cold_one_s_budget_counts_over_any_span() {
        let start = Instant::now();
        let arrived: Vec<Instant> = (0..200).map(|n| start + ms(n * 10)).collect();
        let broken = |rate: f64| too_much_for_a_cold_one(&arrived, |_| rate, 4.0, ms(1_000)).count();
        assert_eq!((broken(18.5), broken(17.0)), (0, 1), "a hundred in a second");
    }
}
