//! What stands around the gateways: a group of db hosts with slots, queues, warm-up, roles and lag, and a list of them for
//! each gateway, as the links between them have addresses of their own.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use yewroute_standin::{error, report, rows_at, unix_ms, Do, Host};

use crate::checks::Drain;
use crate::tcp::Links;
use crate::{held, LOOK};

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
}

/// A db host.
struct Db {
    name: String,
    host: Host,
    state: Arc<State>,
}

/// A group of db hosts and the lists of them.
pub struct World {
    shape: Shape,
    hosts: Vec<Db>,
    keys: Arc<Mutex<HashMap<String, Run>>>,
    version: Arc<AtomicU64>,
    links: Arc<Links>,
    lists: Vec<SocketAddr>,
    drains: Mutex<Vec<Drain>>,
    /// When each gateway was told which version, as far as it has changed.
    told: Mutex<Vec<(usize, u64, Instant)>>,
    broken: Arc<Mutex<Vec<(Instant, String)>>>,
}

fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let hints = query.split_once("/*")?.1.split_once("*/")?.0;
    hints.trim().split(',').find_map(|hint| hint.strip_prefix(name)?.strip_prefix('='))
}

/// What a db host does with a query that has come now.
fn act(
    shape: &Shape,
    state: &State,
    keys: &Mutex<HashMap<String, Run>>,
    broken: &Mutex<Vec<(Instant, String)>>,
    name: &str,
    query: &str,
) -> Do {
    let (now, primary) = (Instant::now(), state.primary.load(Ordering::SeqCst));
    let lag = if primary { 0 } else { u128::from(state.lag_ms.load(Ordering::SeqCst)) };
    if query == "SHOW load" {
        return Do::Say(report(primary, lag));
    }
    held(&state.arrived).push(now);
    if query.starts_with("INSERT") {
        if !primary {
            return Do::Say(error("25006", "read-only"));
        }
        if let Some(key) = field(query, "k") {
            let mut keys = held(keys);
            let run = keys.entry(key.to_owned()).or_insert(Run { first: now, runs: 0 });
            // Within the window it is known, and its answer is given once more.
            if run.runs == 0 || now.saturating_duration_since(run.first) > shape.window {
                run.runs += 1;
            }
            if run.runs > 1 {
                held(broken).push((now, format!("{name} runs key {key} again past its window")));
            }
        }
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
    *slot = begins + shape.service.div_f64(capacity);
    let role = if primary { "primary" } else { "replica" };
    let answer = rows_at(role, "SELECT 1", &[Some(b"hi")], unix_ms() - lag);
    Do::SayLater(slot.saturating_duration_since(now), answer)
}

impl World {
    /// So many db hosts, the first of them primary, before so many gateways.
    ///
    /// # Errors
    /// The system has no port.
    pub fn new(shape: Shape, hosts: usize, gateways: usize) -> std::io::Result<Arc<Self>> {
        let (keys, broken) = (Arc::<Mutex<_>>::default(), Arc::<Mutex<_>>::default());
        let host = |n: usize| {
            let state = Arc::new(State {
                primary: AtomicBool::new(n == 0),
                lag_ms: AtomicU64::new(20),
                started: Mutex::default(),
                draining: AtomicBool::new(false),
                slots: Mutex::new(vec![Instant::now(); shape.slots]),
                arrived: Mutex::default(),
            });
            let name = format!("s-{n}");
            let (of, keys, broken, own) =
                (Arc::clone(&state), Arc::clone(&keys), Arc::clone(&broken), name.clone());
            let host = Host::start(move |query| act(&shape, &of, &keys, &broken, &own, query));
            Db { name, host, state }
        };
        let hosts: Vec<Db> = (0..hosts).map(host).collect();
        let addrs: Vec<SocketAddr> = hosts.iter().map(|db| db.host.addr).collect();
        let links = Links::start(&addrs, gateways)?;
        let listeners: Vec<TcpListener> =
            (0..gateways).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let lists = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let version = Arc::new(AtomicU64::new(1));
        let (drains, told) = (Mutex::default(), Mutex::default());
        let world = Arc::new(Self { shape, hosts, keys, version, links, lists, drains, told, broken });
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
                                if version != told {
                                    held(&world.told).push((gateway, version, Instant::now()));
                                }
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
        ["a", "b", "c"][host % 3]
    }

    /// Where a gateway asks for its list.
    #[must_use]
    pub fn discovery(&self, gateway: usize) -> SocketAddr {
        self.lists[gateway]
    }

    /// The links between gateways and db hosts.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
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
            all.push(Drain { host, version, to: None });
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

    /// What db hosts saw that must not be, each with its time: a key run again past its window, a send to one that drains,
    /// more to a cold one than `tip` times its capacity over `fall`.
    #[must_use]
    pub fn broken(&self, tip: f64, fall: Duration) -> Vec<(Instant, String)> {
        let mut broken = held(&self.broken).clone();
        broken.extend(crate::checks::drains(&self.links.attempts(), &held(&self.drains), &held(&self.told)));
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
        held(&self.keys).len()
    }
}
