//! A group of db hosts: a primary and replicas, which record what reaches them.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use yewroute_standin::{error, report, served, unix_ms, Do, Host};

use super::checker::{Arrival, ColdStart};
use super::plan::Listed;
use crate::held;
use crate::hints::Hints;

/// Db hosts; the first one is the primary.
pub const COUNT: usize = 5;
const SLOTS: usize = 2;
const SERVICE: Duration = Duration::from_millis(4);
const SLOW_SERVICE: Duration = Duration::from_millis(150);
/// No gateway gives up an attempt sooner than this.
const PROMPT: Duration = Duration::from_millis(50);
/// A request that would wait longer for a slot is turned away.
const MAX_QUEUE: Duration = Duration::from_millis(400);
/// Requests that a warm server can serve in a second.
pub const WARM_RATE: f64 = 500.0;
/// A server that has just started has this share of it, and all of it after this time.
pub const START_CAPACITY: f64 = 0.17;
pub const COLD: Duration = Duration::from_secs(18);

/// What ails a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    Well,
    Hangs,
    Resets,
    Slow,
}

/// What one db host does and has seen.
#[derive(Default)]
struct Record {
    mode: AtomicU8,
    arrivals: Mutex<Vec<Arrival>>,
    started_ms: Mutex<u128>,
    started: Mutex<Option<Instant>>,
    /// When each slot is free.
    slots: Mutex<[Option<Instant>; SLOTS]>,
}

impl Record {
    /// When a request that comes now is served; none if it is turned away.
    fn serve(&self, now: Instant, service: Duration) -> Option<Instant> {
        let share = held(&self.started).map_or(1.0, |at| warm_share(now.saturating_duration_since(at)));
        let mut slots = held(&self.slots);
        let slot = slots.iter_mut().min()?;
        let begins = slot.map_or(now, |free| free.max(now));
        if begins > now + MAX_QUEUE {
            return None;
        }
        *slot = Some(begins + service.div_f64(share));
        *slot
    }

    /// Records an arrival; gives its place.
    fn push(&self, arrival: Arrival) -> usize {
        let mut arrivals = held(&self.arrivals);
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    /// The request at this place was answered. A late answer may come when its gateway has given it up and repeats the request.
    fn answered(&self, place: usize, at: Instant) {
        if let Some(arrival) = held(&self.arrivals).get_mut(place) {
            arrival.answered = Some(at).filter(|at| *at <= arrival.at + PROMPT);
        }
    }
}

/// The share of its capacity that a server has at this age.
pub fn warm_share(age: Duration) -> f64 {
    let warmed = (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0);
    START_CAPACITY + (1.0 - START_CAPACITY) * warmed
}

/// The db hosts.
pub struct Servers {
    hosts: Vec<Host>,
    records: Vec<Arc<Record>>,
    cold_starts: Mutex<Vec<ColdStart>>,
}

impl Servers {
    pub fn start() -> Self {
        let records: Vec<Arc<Record>> = (0..COUNT).map(|_| Arc::default()).collect();
        let host = |server: usize| {
            let record = Arc::clone(&records[server]);
            Host::dated(move |query, received| act(server, &record, query, received))
        };
        Self { hosts: (0..COUNT).map(host).collect(), records, cold_starts: Mutex::default() }
    }

    /// Names, and what a list says of each.
    pub fn entries(&self) -> Vec<(String, String)> {
        let entry = |(server, host): (usize, &Host)| {
            let (addr, role) = (host.addr, if server == 0 { "primary" } else { "replica" });
            let text =
                format!(r#""addr":"{addr}","zone":"a","kind":"m","cell":2,"weight":1.0,"role":"{role}""#);
            (format!("s-{server}"), text)
        };
        self.hosts.iter().enumerate().map(entry).collect()
    }

    pub fn set_mode(&self, server: usize, mode: Mode) {
        self.records[server].mode.store(mode as u8, Ordering::SeqCst);
    }

    /// One that is ready again has just started.
    pub fn listed(&self, server: usize, listed: Listed) {
        if listed == Listed::Ready {
            let at = Instant::now();
            *held(&self.records[server].started_ms) = unix_ms();
            *held(&self.records[server].started) = Some(at);
            held(&self.cold_starts).push(ColdStart { server, at });
        }
    }

    pub fn started_ms(&self, server: usize) -> u128 {
        *held(&self.records[server].started_ms)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all: Vec<_> = self.records.iter().flat_map(|record| held(&record.arrivals).clone()).collect();
        all.sort_by_key(|arrival| arrival.at);
        all
    }

    pub fn cold_starts(&self) -> Vec<ColdStart> {
        held(&self.cold_starts).clone()
    }
}

fn act(server: usize, record: &Arc<Record>, query: &str, received: Instant) -> Do {
    let primary = server == 0;
    let mode = record.mode.load(Ordering::SeqCst);
    let is = |wanted: Mode| mode == wanted as u8;
    if query == "SHOW load" {
        return if is(Mode::Hangs) { Do::Nothing } else { Do::Say(report(primary, 0)) };
    }
    let Some(hints) = Hints::of(query) else { return Do::Say(served("replica")) };
    let write = hints.class == "order";
    let service = if is(Mode::Slow) { SLOW_SERVICE } else { SERVICE };
    let read = Instant::now();
    let runs = primary || !write;
    let ends = if runs && (is(Mode::Well) || is(Mode::Slow)) { record.serve(read, service) } else { None };
    let turned_away = !runs || ends.is_none() && !is(Mode::Hangs) && !is(Mode::Resets);
    let arrival = Arrival {
        turned_away,
        at: received,
        read,
        server,
        request: hints.id,
        wait: hints.wait_ms.map(Duration::from_millis),
        write,
        answered: None,
    };
    let place = record.push(arrival);
    if is(Mode::Hangs) {
        return Do::Nothing;
    }
    if is(Mode::Resets) {
        return Do::Break;
    }
    if !runs {
        return Do::Say(error("25006", "this is no primary"));
    }
    match ends {
        Some(ends) => {
            let answer = served(if primary { "primary" } else { "replica" });
            let record = Arc::clone(record);
            let answered = move |at: Instant| record.answered(place, at);
            Do::SayLaterAndReport(ends - read, answer, Box::new(answered))
        }
        None => Do::Say(error("53300", "queue full")),
    }
}
