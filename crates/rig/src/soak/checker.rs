//! What must hold of requests, from what discovery, db hosts and clients recorded. No I/O.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::plan::Listed;
use super::servers::{warm_share, COLD, WARM_RATE};

/// A change counts as told so long after it was made and discovery could be reached; after a reload; after a silence began.
const VISIBLE_AFTER: Duration = Duration::from_secs(6);
const VISIBLE_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Sends to a draining server end so long after that, with the slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How late threads of the rig may record what happened.
const LATENESS: Duration = Duration::from_millis(150);
/// An answer may be late by this much.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has closed.
const AFTER_CLOSE: Duration = Duration::from_millis(100);
/// What an attempt tells its server may be over what is left to the client by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// After SIGTERM, until which the clients' connections are read and answered.
const WINDOW: Duration = Duration::from_secs(2);
/// A cold server falls if it gets more than this multiple of its capacity for so long.
const TIP_MULTIPLE: f64 = 4.0;
const FALL: Duration = Duration::from_secs(3);

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub version: u32,
    pub server: usize,
    pub listed: Listed,
    pub at: Instant,
}

/// All changes up to a version have been written to a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    pub gateway: usize,
    pub version: u32,
    /// The list was made then; changes after that are to come on its watch.
    pub as_of: Instant,
    pub at: Instant,
}

/// A gateway's watch says nothing more.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub gateway: usize,
    pub at: Instant,
}

/// A time in which discovery was down.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Instant,
    pub to: Instant,
}

/// A gateway was moved, or started.
#[derive(Clone, Copy, Debug)]
pub struct GatewayEvent {
    pub gateway: usize,
    pub at: Instant,
}

/// A server has started and is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub server: usize,
    pub at: Instant,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the kernel received it.
    pub at: Instant,
    /// When the server read it.
    pub read: Instant,
    pub server: usize,
    pub request: String,
    /// How long the gateway says that it will wait.
    pub wait: Option<Duration>,
    pub write: bool,
    /// It was turned away untouched.
    pub turned_away: bool,
    /// When the server answered it; none if it does not, or takes long.
    pub answered: Option<Instant>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// The connection ended without an answer.
    Lost,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub gateway: usize,
    pub sent: Instant,
    pub wait: Duration,
    pub end: Option<(Instant, End)>,
    /// When its client closed the connection without waiting for the answer.
    pub left: Option<Instant>,
}

impl Asked {
    pub fn served(&self) -> bool {
        matches!(self.end, Some((_, End::Served)))
    }
}

/// All that was recorded.
pub struct Record {
    pub changes: Vec<Change>,
    pub written: Vec<Written>,
    pub silences: Vec<Silence>,
    pub outages: Vec<Outage>,
    pub reloads: Vec<GatewayEvent>,
    pub starts: Vec<GatewayEvent>,
    pub arrivals: Vec<Arrival>,
    pub cold_starts: Vec<ColdStart>,
    pub requests: Vec<Asked>,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Nothing goes to a server that is known to drain or to be gone.
    Drain,
    /// Each request gets one final answer in time.
    Lost,
    /// No request runs twice, and a key is repeated only within its window.
    Duplicate,
    /// A cold server gets no more than its budget.
    SlowStart,
    /// An attempt tells no longer wait than its client has left.
    Deadline,
    /// Nothing begins for a client that has gone.
    ClientGone,
    /// A process stays within its memory, and ends only when it is told to.
    Process,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// Seconds since the start.
    pub at_s: f64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at_s, self.what)
    }
}

/// All rules that were broken.
pub fn violations(record: &Record, start: Instant) -> Vec<Violation> {
    let requests: HashMap<&str, &Asked> =
        record.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut found = Vec::new();
    let mut report = |rule, at: Instant, what: String| {
        let at_s = at.saturating_duration_since(start).as_secs_f64();
        found.push(Violation { rule, at_s, what });
    };
    for arrival in &record.arrivals {
        let Some(request) = requests.get(arrival.request.as_str()) else { continue };
        if let Some(late) = record.sent_after_drain(arrival, request.gateway) {
            let what = format!(
                "g{} sends to s-{} {late:?} after it counts as told",
                request.gateway, arrival.server
            );
            report(Rule::Drain, arrival.at, what);
        }
        if let Some(what) = too_long_a_wait(arrival, request) {
            report(Rule::Deadline, arrival.at, what);
        }
        if request.left.is_some_and(|left| arrival.at > left + AFTER_CLOSE + LATENESS) {
            report(
                Rule::ClientGone,
                arrival.at,
                format!("{} begins after its client has gone", arrival.request),
            );
        }
    }
    for request in &record.requests {
        if let Some(what) = unanswered(request) {
            report(Rule::Lost, request.sent, what);
        }
    }
    for (at, what) in duplicates(&record.arrivals) {
        report(Rule::Duplicate, at, what);
    }
    for cold in &record.cold_starts {
        if let Some((at, what)) = overloaded(cold, &record.arrivals) {
            report(Rule::SlowStart, at, what);
        }
    }
    found
}

impl Record {
    /// What decides when a change counts as told, a line each, with seconds since the start.
    pub fn told_lines(&self, start: Instant) -> Vec<String> {
        let seconds = |at: Instant| seconds_since(start, at);
        let changes = self.changes.iter().map(|change| {
            let Change { version, server, listed, at } = change;
            (*at, format!("change to version {version}: s-{server} {listed:?}"))
        });
        let written = self.written.iter().map(|written| {
            let Written { gateway, version, as_of, at } = written;
            (*at, format!("version {version} written to g{gateway}, made at {:.3}", seconds(*as_of)))
        });
        let silences =
            self.silences.iter().map(|of| (of.at, format!("watch of g{} falls silent", of.gateway)));
        let outages = self.outages.iter().map(|of| (of.from, format!("down until {:.3}", seconds(of.to))));
        let reloads = self.reloads.iter().map(|of| (of.at, format!("g{} reloads", of.gateway)));
        let starts = self.starts.iter().map(|of| (of.at, format!("g{} starts", of.gateway)));
        let mut all: Vec<(Instant, String)> =
            changes.chain(written).chain(silences).chain(outages).chain(reloads).chain(starts).collect();
        all.sort_by_key(|(at, _)| *at);
        all.into_iter().map(|(at, what)| format!("{:.3} {what}", seconds(at))).collect()
    }

    /// All requests of clients and all arrivals at servers, a line each, with seconds since the start.
    pub fn traffic_lines(&self, start: Instant) -> Vec<String> {
        let requests = self.requests.iter().map(|asked| {
            let Asked { id, gateway, sent, wait, end, left } = asked;
            let after = |at: &Instant| at.saturating_duration_since(*sent);
            let end = end.as_ref().map(|(at, end)| (after(at), end));
            let left = left.as_ref().map(after);
            (*sent, format!("{id} sent to g{gateway}, wait {wait:?}, end {end:?}, left {left:?}"))
        });
        let arrivals = self.arrivals.iter().map(|arrival| {
            let Arrival { at, read, server, request, wait, write, turned_away, answered } = arrival;
            let after = |later: &Instant| later.saturating_duration_since(*at);
            let (read, answered) = (after(read), answered.as_ref().map(after));
            let what =
                format!("{request} at s-{server}, write {write}, told wait {wait:?}, read after {read:?}");
            (*at, format!("{what}, turned away {turned_away}, answered after {answered:?}"))
        });
        let mut all: Vec<(Instant, String)> = requests.chain(arrivals).collect();
        all.sort_by_key(|(at, _)| *at);
        all.into_iter().map(|(at, what)| format!("{:.4} {what}", seconds_since(start, at))).collect()
    }

    /// How long after the grace a request reached a server that drains or is gone.
    fn sent_after_drain(&self, arrival: &Arrival, gateway: usize) -> Option<Duration> {
        let of_server = self.changes.iter().filter(|change| change.server == arrival.server);
        let (mut latest_away, mut ready_since) = (None, None);
        for change in of_server.filter(|change| change.at <= arrival.at) {
            match change.listed {
                Listed::Ready => (latest_away, ready_since) = (None, Some(change.at)),
                // A server that drains and then is gone was away from the drain on.
                Listed::Draining | Listed::Gone => latest_away = latest_away.or(Some(*change)),
            }
        }
        // One that has just come back may be sent to by those who do not know that it was away.
        let away: Change = latest_away.filter(|away| ready_since.is_none_or(|ready| away.at > ready))?;
        let told = self.told(&away, gateway, arrival.at);
        arrival.at.checked_duration_since(told + DRAIN_GRACE + LATENESS)
    }

    /// When a change counts as told to a gateway, as its process at `by` is concerned.
    fn told(&self, change: &Change, gateway: usize, by: Instant) -> Instant {
        let of_gateway = |event: &&GatewayEvent| event.gateway == gateway && event.at <= by;
        let started = self.starts.iter().filter(of_gateway).map(|event| event.at).max();
        let mut told = self.reachable_for(change.at, VISIBLE_AFTER);
        for reload in self.reloads.iter().filter(of_gateway).filter(|event| Some(event.at) >= started) {
            let moved = self.reachable_for(reload.at, VISIBLE_AFTER_RELOAD);
            // A list that was written after the reload has told all up to then; what follows comes on its watch.
            let over = self.next_written(gateway, reload.at).is_some_and(|written| change.at >= written);
            if change.at < moved && !over {
                told = told.min(moved);
            }
        }
        for silence in self.silences.iter().filter(|silence| silence.gateway == gateway) {
            told = told.min(self.told_after_silence(change, silence).unwrap_or(told));
        }
        // A new process has to ask first.
        if let Some(started) = started {
            told = told.max(self.reachable_for(started, VISIBLE_AFTER));
        }
        let written = self
            .written
            .iter()
            .filter(|written| written.gateway == gateway && written.version >= change.version);
        written.map(|written| written.at).min().map_or(told, |written| told.min(written))
    }

    /// What a silent watch misses, unless another one has been opened meanwhile.
    fn told_after_silence(&self, change: &Change, silence: &Silence) -> Option<Instant> {
        let over = self.next_written(silence.gateway, silence.at);
        if change.at < silence.at || over.is_some_and(|over| change.at >= over) {
            return None;
        }
        Some(self.reachable_for(silence.at, VISIBLE_AFTER).max(change.at))
    }

    /// When the list was made that was written to a gateway first after this.
    fn next_written(&self, gateway: usize, after: Instant) -> Option<Instant> {
        let later = |written: &&Written| written.gateway == gateway && written.at > after;
        self.written.iter().filter(later).min_by_key(|written| written.at).map(|written| written.as_of)
    }

    /// The end of the first span of this length from `from` on, counted anew after each outage in it.
    fn reachable_for(&self, from: Instant, span: Duration) -> Instant {
        let mut from = from;
        for outage in &self.outages {
            if outage.from < from + span && outage.to > from {
                from = outage.to;
            }
        }
        from + span
    }
}

/// Seconds from the start to a moment, negative before it.
pub fn seconds_since(start: Instant, at: Instant) -> f64 {
    match at.checked_duration_since(start) {
        Some(after) => after.as_secs_f64(),
        None => -start.duration_since(at).as_secs_f64(),
    }
}

fn too_long_a_wait(arrival: &Arrival, request: &Asked) -> Option<String> {
    let ends = request.sent + request.wait;
    let told = arrival.at + arrival.wait?;
    let over = told.checked_duration_since(ends + DEADLINE_SLACK + LATENESS)?;
    Some(format!("{} is told {over:?} more than its client has left", request.id))
}

fn unanswered(request: &Asked) -> Option<String> {
    if request.left.is_some() {
        return None;
    }
    let by = request.sent + request.wait + ANSWER_SLACK + LATENESS;
    match request.end {
        Some((_, End::Lost)) => {
            Some(format!("{} at g{}: closed without an answer", request.id, request.gateway))
        }
        Some((at, _)) if at <= by => None,
        _ => Some(format!("{} at g{}: no answer in time", request.id, request.gateway)),
    }
}

/// Requests that came again after they had been answered, and keyed ones after their window.
fn duplicates(arrivals: &[Arrival]) -> Vec<(Instant, String)> {
    let mut first: HashMap<&str, &Arrival> = HashMap::new();
    let mut broken = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.write && !arrival.turned_away) {
        let Some(earlier) = first.get(arrival.request.as_str()) else {
            first.insert(&arrival.request, arrival);
            continue;
        };
        if arrival.at > earlier.at + WINDOW + LATENESS {
            broken.push((arrival.at, format!("{} is repeated past the window of its key", arrival.request)));
        }
        if earlier.answered.is_some_and(|answered| arrival.at > answered + LATENESS) {
            broken.push((arrival.at, format!("{} is repeated after it was answered", arrival.request)));
        }
    }
    broken
}

/// The first window in which a cold server got more than it may.
fn overloaded(cold: &ColdStart, arrivals: &[Arrival]) -> Option<(Instant, String)> {
    let cold_span = cold.at..cold.at + COLD;
    let times: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| arrival.server == cold.server && cold_span.contains(&arrival.at))
        .map(|arrival| arrival.at)
        .collect();
    times.iter().enumerate().find_map(|(index, from)| {
        let count = times[index..].iter().take_while(|at| **at < *from + FALL).count();
        let budget = budget(from.saturating_duration_since(cold.at));
        let what = format!("s-{} gets {count} requests in {FALL:?}, {budget:.0} allowed", cold.server);
        (count as f64 > budget).then_some((*from, what))
    })
}

/// What a server may get in a window that begins at this age.
fn budget(age: Duration) -> f64 {
    let calls = WARM_RATE * warm_share(age) * TIP_MULTIPLE * FALL.as_secs_f64();
    let slack = if calls < 30.0 { 3.0 * calls.sqrt() + 3.0 } else { 2.0 * calls.sqrt() + 2.0 };
    calls + slack
}

#[cfg(test)]
mod tests;
