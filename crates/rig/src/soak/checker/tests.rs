//! Each rule has a case that breaks it and one beside it that does not.

use super::*;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn nothing() -> Record {
    Record {
        changes: Vec::new(),
        written: Vec::new(),
        silences: Vec::new(),
        outages: Vec::new(),
        reloads: Vec::new(),
        starts: Vec::new(),
        arrivals: Vec::new(),
        cold_starts: Vec::new(),
        requests: Vec::new(),
    }
}

/// A request of gateway 0 that was sent at `at`, reached a server at once and was served.
fn served(start: Instant, at: f64, server: usize) -> (Asked, Arrival) {
    let (sent, id) = (start + seconds(at), format!("r{at}"));
    let wait = seconds(1.2);
    let end = Some((sent + seconds(0.01), End::Served));
    let arrival = Arrival {
        at: sent,
        read: sent,
        server,
        request: id.clone(),
        wait: Some(wait),
        write: server == 0,
        turned_away: false,
        answered: Some(sent),
    };
    (Asked { id, gateway: 0, sent, wait, end, left: None }, arrival)
}

fn broken(record: &Record, start: Instant) -> Vec<Rule> {
    violations(record, start).iter().map(|violation| violation.rule).collect()
}

/// One request to a server that drains from 10 s on, sent at `at`.
fn drained(start: Instant, at: f64) -> Record {
    let (asked, arrival) = served(start, at, 3);
    let change = Change { version: 2, server: 3, listed: Listed::Draining, at: start + seconds(10.0) };
    Record { changes: vec![change], requests: vec![asked], arrivals: vec![arrival], ..nothing() }
}

#[test]
fn drain() {
    let start = Instant::now();
    let after = |at: f64| start + seconds(at);
    assert_eq!(broken(&drained(start, 16.4), start), []);
    assert_eq!(broken(&drained(start, 16.5), start), [Rule::Drain]);
    // Written before.
    let written = vec![Written { gateway: 0, version: 2, as_of: after(11.0), at: after(11.0) }];
    assert_eq!(broken(&Record { written: written.clone(), ..drained(start, 11.4) }, start), []);
    assert_eq!(broken(&Record { written, ..drained(start, 11.5) }, start), [Rule::Drain]);
    // A reload, however many others follow.
    let reloads: Vec<_> = [9.0, 10.0, 11.0].map(|at| GatewayEvent { gateway: 0, at: after(at) }).into();
    assert_eq!(broken(&Record { reloads: reloads.clone(), ..drained(start, 13.4) }, start), []);
    assert_eq!(broken(&Record { reloads, ..drained(start, 13.5) }, start), [Rule::Drain]);
    // A list after the reload and before the drain: the watch tells what follows.
    let reloads = vec![GatewayEvent { gateway: 0, at: after(9.0) }];
    let written = vec![Written { gateway: 0, version: 1, as_of: after(9.5), at: after(9.5) }];
    assert_eq!(broken(&Record { reloads, written, ..drained(start, 16.4) }, start), []);
    // A watch that was silent before the drain.
    let silences = vec![Silence { gateway: 0, at: after(5.0) }];
    assert_eq!(broken(&Record { silences: silences.clone(), ..drained(start, 11.4) }, start), []);
    assert_eq!(broken(&Record { silences, ..drained(start, 11.5) }, start), [Rule::Drain]);
    // One that was silent, and another whose list was made before the drain and written after it.
    let silences = vec![Silence { gateway: 0, at: after(5.0) }];
    for (as_of, wanted) in [(9.9, vec![]), (10.1, vec![Rule::Drain])] {
        let written = vec![Written { gateway: 0, version: 1, as_of: after(as_of), at: after(10.2) }];
        let record = Record { silences: silences.clone(), written, ..drained(start, 11.6) };
        assert_eq!(broken(&record, start), wanted, "made at {as_of} s");
    }
    // Discovery that was down.
    let outages = vec![Outage { from: after(12.0), to: after(14.0) }];
    assert_eq!(broken(&Record { outages: outages.clone(), ..drained(start, 20.4) }, start), []);
    assert_eq!(broken(&Record { outages, ..drained(start, 20.5) }, start), [Rule::Drain]);
    // A process that has just started.
    let starts = vec![GatewayEvent { gateway: 0, at: after(15.0) }];
    assert_eq!(broken(&Record { starts: starts.clone(), ..drained(start, 21.4) }, start), []);
    assert_eq!(broken(&Record { starts, ..drained(start, 21.5) }, start), [Rule::Drain]);
}

#[test]
fn lost() {
    let start = Instant::now();
    for (end, wanted) in [
        (Some((1.0, End::Refused)), vec![]),
        (Some((1.84, End::Failed)), vec![]),
        (Some((1.86, End::Served)), vec![Rule::Lost]),
        (Some((0.1, End::Lost)), vec![Rule::Lost]),
        (None, vec![Rule::Lost]),
    ] {
        let (mut asked, _) = served(start, 0.0, 1);
        asked.end = end.map(|(at, end)| (start + seconds(at), end));
        assert_eq!(broken(&Record { requests: vec![asked], ..nothing() }, start), wanted, "{end:?}");
    }
}

#[test]
fn duplicate() {
    let start = Instant::now();
    let twice = |between: f64, answered: bool| {
        let (asked, mut first) = served(start, 0.0, 0);
        first.wait = None;
        first.answered = first.answered.filter(|_| answered);
        let again = Arrival { at: first.at + seconds(between), ..first.clone() };
        Record { requests: vec![asked], arrivals: vec![first, again], ..nothing() }
    };
    assert_eq!(broken(&twice(0.1, true), start), []);
    assert_eq!(broken(&twice(0.2, true), start), [Rule::Duplicate]);
    assert_eq!(broken(&twice(2.1, false), start), []);
    assert_eq!(broken(&twice(2.2, false), start), [Rule::Duplicate]);
    // The window begins with the first attempt that may have run.
    let mut away = twice(2.2, false);
    away.arrivals[0].turned_away = true;
    assert_eq!(broken(&away, start), []);
}

#[test]
fn slow_start() {
    let start = Instant::now();
    let within_a_second = |count: usize| {
        let arrival = |n: usize| served(start, n as f64 / count as f64, 2).1;
        let cold_starts = vec![ColdStart { server: 2, at: start }];
        Record { cold_starts, arrivals: (0..count).map(arrival).collect(), ..nothing() }
    };
    // 1,020 and twice the root of it and two.
    assert_eq!(broken(&within_a_second(1_085), start), []);
    assert_eq!(broken(&within_a_second(1_087), start), [Rule::SlowStart]);
}

#[test]
fn deadline() {
    let start = Instant::now();
    for (wait, wanted) in [(1.49, vec![]), (1.51, vec![Rule::Deadline])] {
        let (asked, mut arrival) = served(start, 0.0, 1);
        arrival.wait = Some(seconds(wait));
        let record = Record { requests: vec![asked], arrivals: vec![arrival], ..nothing() };
        assert_eq!(broken(&record, start), wanted, "{wait}");
    }
}

#[test]
fn client_gone() {
    let start = Instant::now();
    for (after, wanted) in [(0.24, vec![]), (0.26, vec![Rule::ClientGone])] {
        let (mut asked, mut arrival) = served(start, 0.0, 1);
        (asked.left, asked.end, arrival.wait) = (Some(start), None, None);
        arrival.at = start + seconds(after);
        let record = Record { requests: vec![asked], arrivals: vec![arrival], ..nothing() };
        assert_eq!(broken(&record, start), wanted, "{after}");
    }
}
