//! What stands around the gateways: a group of db hosts with slots, queues, warm-up, roles and lag, and a list of them for
//! each gateway, as the links between them have addresses of their own.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use yewroute_standin::{error, report, rows_at, unix_ms, Do, Host};

use crate::checks::{Away, Drain};
use crate::hints::Hints;
use crate::orders::Applied;
use crate::outside::Outside;
use crate::tcp::{Attempt, Links};
use crate::{held, LOOK};

/// The zones, in which db hosts and the rig's gateways stand in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The number of the group.
const GROUP: u64 = 2;
/// How often a list that has not changed is said.
const AGAIN: Duration = Duration::from_secs(2);

/// What one db host can do.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests at work at a time.
    pub slots: usize,
    /// How long one takes, warm.
    pub service: Duration,
    /// How long one may wait before it is turned away.
    pub patience: Duration,
    /// How long a db host takes to get warm, and its capacity before, as a part of the whole.
    pub cold: (Duration, f64),
    /// How long a key is kept.
    pub window: Duration,
}

impl Default for Shape {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { slots: 8, service: ms(8), patience: ms(400), cold: (ms(18_000), 0.17), window: ms(2_000) }
    }
}

/// What ails a db host. All but one that hangs or breaks answer probes as if they were well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ail {
    /// Nothing is answered, not even a probe.
    Hangs,
    /// Each connection breaks at its first query.
    Breaks,
    /// This share of requests fails.
    Fails(f64),
    /// Each request is turned away: full.
    Refuses,
    /// Each request takes so many times as long.
    Slow(f64),
}

/// A time in which a db host ailed, for gateways of these zones.
#[derive(Clone, Copy, Debug)]
struct Ailing {
    host: usize,
    zones: [bool; ZONES.len()],
    ail: Ail,
    from: Instant,
    to: Option<Instant>,
}

/// What a key came to.
#[derive(Clone, Copy, Debug)]
struct Run {
    first: Instant,
    runs: u32,
}

/// One db host's own state.
struct State {
    primary: AtomicBool,
    lag_ms: AtomicU64,
    /// When it started, if it did so in the middle of a plan; then it is cold.
    started: Mutex<Option<(Instant, u128)>>,
    draining: AtomicBool,
    /// Until when each slot has work.
    slots: Mutex<Vec<Instant>>,
    arrived: Mutex<Vec<Instant>>,
    /// What ails it, for gateways of each zone.
    ails: Mutex<[Option<Ail>; ZONES.len()]>,
    /// Requests that came while it failed some, by which the share is kept.
    failing: AtomicU64,
}

/// A db host, at an address for each zone that may ask.
struct Db {
    name: String,
    doors: [Host; ZONES.len()],
    state: Arc<State>,
}

/// A request at work at a db host, whoever still waits for it.
#[derive(Clone, Debug)]
pub struct Work {
    /// Its class.
    pub class: String,
    /// From when until when.
    pub span: (Instant, Instant),
}

/// What all db hosts of the group know.
#[derive(Default)]
struct Group {
    /// All that has had a slot or will.
    work: Mutex<Vec<Work>>,
    keys: Mutex<HashMap<String, Run>>,
    /// Writes of channels as they ran, in order.
    applied: Mutex<Vec<Applied>>,
    broken: Mutex<Vec<(Instant, String)>>,
}

/// A group of db hosts and the lists of them.
pub struct World {
    shape: Shape,
    hosts: Vec<Db>,
    group: Arc<Group>,
    version: Arc<AtomicU64>,
    links: Arc<Links>,
    outside: Outside,
    drains: Mutex<Vec<Drain>>,
    ailing: Mutex<Vec<Ailing>>,
}

/// What a db host does with a query that has come now from a gateway of a zone.
fn act(shape: &Shape, state: &State, group: &Group, name: &str, zone: usize, query: &str) -> Do {
    let (now, primary) = (Instant::now(), state.primary.load(Ordering::SeqCst));
    let lag = if primary { 0 } else { state.lag_ms.load(Ordering::SeqCst) };
    let ail = held(&state.ails)[zone];
    let probe = query == "SHOW load";
    if !probe {
        held(&state.arrived).push(now);
    }
    let mut slower = 1.0;
    match ail {
        Some(Ail::Hangs) => return Do::Nothing,
        Some(Ail::Breaks) => return Do::Break,
        _ if probe => return Do::Say(report(primary, u128::from(lag))),
        Some(Ail::Refuses) => return Do::Say(error("53300", "too many requests")),
        Some(Ail::Fails(share)) => {
            let count = state.failing.fetch_add(1, Ordering::SeqCst) as f64;
            if ((count + 1.0) * share).floor() > (count * share).floor() {
                return Do::Say(error("58000", "system error"));
            }
        }
        Some(Ail::Slow(factor)) => slower = factor,
        None => {}
    }
    let hints = Hints::of(query).unwrap_or_default();
    let mut value = b"hi".to_vec();
    if query.starts_with("INSERT") {
        if !primary {
            return Do::Say(error("25006", "read-only"));
        }
        run(shape, group, name, &hints, now);
    } else if let Some(channel) = &hints.channel {
        let sees = now.checked_sub(Duration::from_millis(lag)).unwrap_or(now);
        let applied = held(&group.applied);
        let seen = applied.iter().rev().find(|write| write.channel == *channel && write.at <= sees);
        value = seen.map_or(0, |write| write.number).to_string().into_bytes();
    }
    let capacity = held(&state.started).map_or(1.0, |(at, _)| {
        let warmth = now.saturating_duration_since(at).div_duration_f64(shape.cold.0).min(1.0);
        shape.cold.1 + (1.0 - shape.cold.1) * warmth
    });
    let mut slots = held(&state.slots);
    let Some(slot) = slots.iter_mut().min() else { return Do::Nothing };
    let begins = (*slot).max(now);
    if begins.saturating_duration_since(now) > shape.patience {
        return Do::Say(error("53300", "queue full"));
    }
    *slot = begins + shape.service.mul_f64(slower).div_f64(capacity);
    held(&group.work).push(Work { class: hints.class.clone(), span: (now, *slot) });
    let role = if primary { "primary" } else { "replica" };
    let answer = rows_at(role, "SELECT 1", &[Some(&value)], unix_ms() - u128::from(lag));
    Do::SayLater(slot.saturating_duration_since(now), answer)
}

/// A write runs, unless its key is known.
fn run(shape: &Shape, group: &Group, name: &str, hints: &Hints, now: Instant) {
    if let Some(key) = &hints.key {
        let mut keys = held(&group.keys);
        let run = keys.entry(key.clone()).or_insert(Run { first: now, runs: 0 });
        // Within the window it is known, and its answer is given once more.
        if run.runs > 0 && now.saturating_duration_since(run.first) <= shape.window {
            return;
        }
        run.runs += 1;
        if run.runs > 1 {
            held(&group.broken).push((now, format!("{name} runs key {key} again past its window")));
        }
    }
    if let (Some(channel), Some(number)) = (&hints.channel, hints.number) {
        held(&group.applied).push(Applied { channel: channel.clone(), number, at: now });
    }
}

impl World {
    /// So many db hosts, the first of them primary, before so many gateways.
    ///
    /// # Errors
    /// The system has no port.
    pub fn new(shape: Shape, hosts: usize, gateways: usize) -> std::io::Result<Arc<Self>> {
        let group = Arc::<Group>::default();
        let host = |n: usize| {
            let state = Arc::new(State {
                primary: AtomicBool::new(n == 0),
                lag_ms: AtomicU64::new(20),
                started: Mutex::default(),
                draining: AtomicBool::new(false),
                slots: Mutex::new(vec![Instant::now(); shape.slots]),
                arrived: Mutex::default(),
                ails: Mutex::default(),
                failing: AtomicU64::new(0),
            });
            let name = format!("s-{n}");
            let doors = std::array::from_fn(|zone| {
                let (of, group, own) = (Arc::clone(&state), Arc::clone(&group), name.clone());
                Host::start(move |query| act(&shape, &of, &group, &own, zone, query))
            });
            Db { name, doors, state }
        };
        let hosts: Vec<Db> = (0..hosts).map(host).collect();
        let addrs: Vec<_> = hosts.iter().map(|db| db.doors.each_ref().map(|door| door.addr)).collect();
        let links = Links::start(&addrs, gateways)?;
        let listeners: Vec<TcpListener> =
            (0..gateways).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let lists: Vec<_> = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let outside = Outside::start(&lists, 1)?;
        let version = Arc::new(AtomicU64::new(1));
        let (drains, ailing) = Default::default();
        let world = Arc::new(Self { shape, hosts, group, version, links, outside, drains, ailing });
        for (gateway, listener) in listeners.into_iter().enumerate() {
            let world = Arc::downgrade(&world);
            thread::spawn(move || {
                for mut stream in listener.incoming().map_while(Result::ok) {
                    let world = world.clone();
                    thread::spawn(move || {
                        let mut line = String::new();
                        BufReader::new(&mut stream).read_line(&mut line).ok()?;
                        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                        let (mut told, mut at) = (0, Instant::now());
                        loop {
                            let world = world.upgrade()?;
                            let version = world.version.load(Ordering::SeqCst);
                            // Said again now and then, as a watch that says nothing is taken for dead.
                            if version != told || at.elapsed() >= AGAIN {
                                let line = world.list(gateway);
                                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                                stream.write_all(chunk.as_bytes()).ok()?;
                                (told, at) = (version, Instant::now());
                            }
                            drop(world);
                            thread::sleep(LOOK);
                        }
                        #[allow(unreachable_code)]
                        Some(())
                    });
                }
            });
        }
        Ok(world)
    }

    /// The list as one gateway has it: with the addresses of its own links.
    #[must_use]
    pub fn list(&self, gateway: usize) -> String {
        let entry = |(n, db): (usize, &Db)| {
            let role = if db.state.primary.load(Ordering::SeqCst) { "primary" } else { "replica" };
            let state = if db.state.draining.load(Ordering::SeqCst) { "Terminating" } else { "Ready" };
            let started = held(&db.state.started).map_or(0, |(_, ms)| ms);
            let (name, addr, zone) = (&db.name, self.links.addr(gateway, n), Self::zone(n));
            format!(
                r#"{{"id":"{name}","addr":"{addr}","zone":"{zone}","kind":"m","cell":{GROUP},"state":"{state}","weight":1.0,"started_ms":{started},"role":"{role}"}}"#
            )
        };
        let entries: Vec<String> = self.hosts.iter().enumerate().map(entry).collect();
        let version = self.version.load(Ordering::SeqCst);
        format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
    }

    /// The zone that a db host stands in: a, b and c in turn, as the rig's gateways do.
    #[must_use]
    pub fn zone(host: usize) -> &'static str {
        ZONES[host % ZONES.len()]
    }

    /// Where a gateway asks for its list.
    #[must_use]
    pub fn discovery(&self, gateway: usize) -> SocketAddr {
        self.outside.list(gateway)
    }

    /// The links between gateways and db hosts.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// The ways from clients to gateways, and from gateways to their lists.
    #[must_use]
    pub fn outside(&self) -> &Outside {
        &self.outside
    }

    /// How many db hosts there are.
    #[must_use]
    pub fn size(&self) -> usize {
        self.hosts.len()
    }

    fn changed(&self) -> u64 {
        self.version.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Another db host is the primary from now on.
    pub fn promote(&self, host: usize) {
        for (n, db) in self.hosts.iter().enumerate() {
            db.state.primary.store(n == host, Ordering::SeqCst);
        }
        self.changed();
    }

    /// A replica falls behind by so much.
    pub fn lag(&self, host: usize, lag: Duration) {
        let ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self.hosts[host].state.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// A db host drains, or takes requests again.
    pub fn drain(&self, host: usize, drains: bool) {
        self.hosts[host].state.draining.store(drains, Ordering::SeqCst);
        let version = self.changed();
        let mut all = held(&self.drains);
        if drains {
            all.push(Drain { host, version, from: Instant::now(), to: None });
        } else if let Some(drain) = all.iter_mut().rfind(|drain| drain.host == host) {
            drain.to = Some(Instant::now());
        }
    }

    /// A db host is started again and is cold.
    pub fn restart(&self, host: usize) {
        let state = &self.hosts[host].state;
        *held(&state.started) = Some((Instant::now(), unix_ms()));
        held(&state.arrived).clear();
        self.links.reset(|_, other| other == host);
        self.changed();
    }

    /// A db host ails from now on, for gateways of this zone or for all. What ailed it before is over.
    pub fn ails(&self, host: usize, ail: Ail, for_zone: Option<&str>) {
        self.ails_for(host, ail, &ZONES.map(|zone| for_zone.unwrap_or(zone)));
    }

    /// The same for gateways of these zones.
    pub fn ails_for(&self, host: usize, ail: Ail, for_zones: &[&str]) {
        let zones = ZONES.map(|zone| for_zones.contains(&zone));
        self.well(host);
        *held(&self.hosts[host].state.ails) = zones.map(|ails| ails.then_some(ail));
        held(&self.ailing).push(Ailing { host, zones, ail, from: Instant::now(), to: None });
    }

    /// A db host is well again for all.
    pub fn well(&self, host: usize) {
        *held(&self.hosts[host].state.ails) = [None; ZONES.len()];
        let now = Instant::now();
        for ailing in held(&self.ailing).iter_mut().filter(|ailing| ailing.host == host) {
            ailing.to.get_or_insert(now);
        }
    }

    /// Attempts into db hosts while they ailed for the gateway that sent them, of those ails that are meant.
    #[must_use]
    pub fn into_ailing(&self, meant: impl Fn(Ail) -> bool) -> Vec<Attempt> {
        let ailing = held(&self.ailing).clone();
        let during = |attempt: &Attempt| {
            let (gateway, host) = attempt.link;
            ailing.iter().any(|ailing| {
                (ailing.host == host && ailing.zones[gateway % ZONES.len()] && meant(ailing.ail))
                    && (ailing.from <= attempt.from && ailing.to.is_none_or(|to| attempt.from < to))
            })
        };
        self.links.attempts().into_iter().filter(during).collect()
    }

    /// The same, counted for each gateway that sent any.
    #[must_use]
    pub fn lost_by_gateway(&self, meant: impl Fn(Ail) -> bool) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for attempt in self.into_ailing(meant) {
            *counts.entry(attempt.link.0).or_default() += 1;
        }
        counts
    }

    /// Attempts of a class in each whole second since then, over all gateways.
    #[must_use]
    pub fn attempts_per_second(&self, class: &str, since: Instant) -> Vec<usize> {
        let mut counts = Vec::new();
        let of_class = |attempt: &Attempt| attempt.hints.class == class && attempt.from >= since;
        for attempt in self.links.attempts().iter().filter(|attempt| of_class(attempt)) {
            let second = attempt.from.saturating_duration_since(since).as_secs() as usize;
            counts.resize(counts.len().max(second + 1), 0);
            counts[second] += 1;
        }
        counts
    }

    /// What db hosts worked at, from its coming to its end there.
    #[must_use]
    pub fn work(&self) -> Vec<Work> {
        held(&self.group.work).clone()
    }

    /// Writes of channels in the order in which they ran.
    #[must_use]
    pub fn applied(&self) -> Vec<Applied> {
        held(&self.group.applied).clone()
    }

    /// What db hosts saw that must not be, each with its time: a key run again past its window, a send to one that drains,
    /// more to a cold one than `tip` times its capacity over `fall`. Gateways were away in these times.
    #[must_use]
    pub fn broken(&self, tip: f64, fall: Duration, away: &[Away]) -> Vec<(Instant, String)> {
        let mut broken = held(&self.group.broken).clone();
        let drains = held(&self.drains);
        let told = self.outside.told(&drains, away);
        broken.extend(crate::checks::drains(&self.links.attempts(), &drains, &told));
        let rate = self.shape.slots as f64 / self.shape.service.as_secs_f64();
        for db in &self.hosts {
            let Some((start, _)) = *held(&db.state.started) else { continue };
            let capacity = |at: Instant| {
                let warmth = at.saturating_duration_since(start).div_duration_f64(self.shape.cold.0).min(1.0);
                rate * (self.shape.cold.1 + (1.0 - self.shape.cold.1) * warmth)
            };
            broken.extend(
                crate::checks::too_much_for_a_cold_one(&held(&db.state.arrived), capacity, tip, fall)
                    .map(|(at, what)| (at, format!("{} {what}", db.name))),
            );
        }
        broken
    }

    /// Keys that ran.
    #[must_use]
    pub fn keys(&self) -> usize {
        held(&self.group.keys).len()
    }
}

#[cfg(test)]
mod tests {
    use std::io::{ErrorKind, Read};
    use std::net::TcpStream;

    use super::*;
    use crate::plan::{Road, Trouble};

    #[test]
    fn ways_to_lists_are_silent_hushed_broken_off_and_reset_and_what_was_told_is_noted() {
        let world = World::new(Shape::default(), 2, 2).expect("free ports");
        let mut watch = TcpStream::connect(world.discovery(1)).expect("it listens");
        watch.write_all(b"GET /watch HTTP/1.1\r\n\r\n").expect("a socket");
        watch.set_read_timeout(Some(Duration::from_millis(300))).expect("a socket");
        let mut text = String::new();
        let mut hears = |wanted: &str, within: Duration| {
            let start = Instant::now();
            let mut buffer = [0; 4_096];
            while start.elapsed() < within && !text.contains(wanted) {
                match watch.read(&mut buffer) {
                    Ok(len) if len > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..len])),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    _ => return None,
                }
            }
            Some(text.contains(wanted))
        };
        let (soon, long) = (Duration::from_millis(400), Duration::from_secs(5));
        assert_eq!(hears("\"version\":1,", long), Some(true));
        let on = |gateway: usize, trouble| world.outside().befalls(Road::List(gateway), trouble);
        let told =
            |version| world.outside().told(&[], &[]).iter().any(|told| (told.0, told.1) == (1, version));
        on(1, Trouble::Silent);
        world.promote(1);
        assert_eq!((hears("\"version\":2,", soon), told(2)), (Some(false), false), "silent");
        world.outside().heal();
        assert_eq!(hears("\"version\":2,", long), Some(true));
        let start = Instant::now();
        while !told(2) {
            assert!(start.elapsed() < long, "noted");
            thread::sleep(LOOK);
        }
        on(0, Trouble::Reset);
        on(0, Trouble::Hushed);
        on(1, Trouble::Halved);
        world.promote(0);
        // The line that is broken off is this one, or the one before said again.
        assert!(hears("none", soon).is_some(), "not ended");
        world.promote(1);
        world.promote(1);
        world.outside().heal();
        assert!(hears("none", soon).is_some(), "nor when all is healed");
        assert!(!told(3) && !told(4), "half a line is no news, and hushed is for good");
        on(1, Trouble::Reset);
        assert_eq!(hears("none", long), None, "ended");
    }

    #[test]
    fn a_db_host_ails_for_the_zone_that_is_named_and_is_well_again() {
        let world = World::new(Shape::default(), 1, 3).expect("free ports");
        // Guards against: a welcome that comes late on a crowded machine, and is read as the query's answer.
        let (answered, silent) = (Duration::from_secs(10), Duration::from_millis(300));
        let ask_within = |gateway: usize, patience: Duration| {
            let mut client = yewroute_standin::Client::raw(world.links().addr(gateway, 0));
            client.stream.set_read_timeout(Some(answered)).expect("a socket");
            client.stream.write_all(&yewroute_standin::startup()).expect("a socket");
            client.answer();
            client.stream.set_read_timeout(Some(patience)).expect("a socket");
            let query = yewroute_standin::frame(b'Q', b"SELECT doc /* id=a1,c=view */\0");
            client.stream.write_all(&query).expect("a socket");
            (String::from_utf8_lossy(&client.answer()).into_owned(), client.error)
        };
        let ask = |gateway: usize| ask_within(gateway, answered);
        // What ails it, and what a gateway of zone b gets then; none of its bytes for one that hangs or breaks.
        let cases =
            [(Ail::Hangs, ""), (Ail::Breaks, ""), (Ail::Fails(1.0), "|C58000|"), (Ail::Refuses, "|C53300|")];
        for (ail, wanted) in cases {
            world.ails(0, ail, Some("b"));
            assert_eq!(ask(0).0, "TDCZ", "{ail:?} for zone b alone");
            let (kinds, error) = ask_within(1, if ail == Ail::Hangs { silent } else { answered });
            assert!(!kinds.contains('D') && error.contains(wanted), "{ail:?}: {kinds} {error}");
            world.well(0);
            assert_eq!(ask(1).0, "TDCZ", "well after {ail:?}");
        }
        let lost = world.lost_by_gateway(|_| true);
        assert_eq!(lost, BTreeMap::from([(1, cases.len())]));
    }
}
