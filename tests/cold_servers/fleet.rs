//! Routers before the servers of one group, some of which are cold; the time is virtual.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

use fastrand::Rng;
use yewroute::interface::*;

use crate::common::*;
use crate::day::*;

/// How many requests for each core a server lets wait.
const QUEUE_PER_CORE: f64 = 20.0;
/// Members of the group at first; number 0 is the primary.
pub const MEMBERS: u32 = 4;
/// When the cold servers start or a server falls silent, and for how long it is.
pub const CHANGE_AT_MS: u64 = 15_000;
const SILENCE_MS: u64 = 4_000;
/// From when on the first router, and up to when the last one, hears of a start.
const FIRST_NOTICE_MS: u64 = 300;
const LAST_NOTICE_MS: u64 = 1_200;
/// How long a burst lasts.
const BURST_MS: u64 = 12_000;
/// A fall counts if more than this share of what caused it came from routers that had been told of the start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// A request's attempt at a cold server.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: u64,
    /// How many requests of mean work it is.
    pub requests: f64,
    /// Its router had been told of the start.
    pub told: bool,
}

#[derive(Debug)]
pub struct Server {
    /// Until when each core is busy.
    busy: Vec<f64>,
    pub started: Option<u64>,
    silent: bool,
    speed: f64,
    pub sent: Vec<Sent>,
}

impl Server {
    fn warm(day: &Day) -> Self {
        Self { busy: vec![0.0; day.cores], started: None, silent: false, speed: 1.0, sent: Vec::new() }
    }

    fn cold(day: &Day, started: u64) -> Self {
        Self { started: Some(started), speed: day.cold_speed, ..Self::warm(day) }
    }

    /// When a request that needs so much work is done; none if the queue has no room for it.
    fn work(&mut self, day: &Day, now: u64, work_ms: f64) -> Option<u64> {
        let warmth = self.started.map_or(1.0, |at| day.warmth((now - at) as f64));
        let takes = work_ms / (warmth * self.speed);
        if day.work == Work::Steady {
            return Some(now + work_ms as u64);
        }
        let core = (0..day.cores).min_by(|a, b| self.busy[*a].total_cmp(&self.busy[*b])).expect("cores");
        let begins = self.busy[core].max(now as f64);
        if begins - now as f64 > QUEUE_PER_CORE * day.mean_work_ms() {
            return None;
        }
        self.busy[core] = begins + takes;
        Some(self.busy[core] as u64 + 1)
    }
}

/// An outcome to come; soonest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Coming {
    at: u64,
    router: usize,
    request: RequestId,
    attempt: u32,
    server: u32,
    sent: u64,
    ending: Ending,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Good,
    Miss,
    Full,
    Timeout,
}

impl Ending {
    fn status(self) -> Status {
        match self {
            Self::Good => Status::Good,
            Self::Miss => Status::Miss,
            Self::Full => Status::Full,
            Self::Timeout => Status::Timeout,
        }
    }
}

/// The most that a cold server was sent in a window, and what the settings allowed it then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Most {
    pub sent: f64,
    pub allowed: f64,
}

impl Most {
    /// What was sent, as a share of what is allowed and what is put down to chance.
    pub fn share(&self) -> f64 {
        self.sent / (self.allowed + 2.0 * self.allowed.sqrt() + 2.0)
    }
}

pub struct Fleet {
    day: Day,
    rng: Rng,
    routers: Vec<Gateway>,
    /// Up to which share of the requests those of each router and of those before it go.
    up_to: Vec<f64>,
    /// When each router is told of a start.
    told_at: Vec<u64>,
    pub servers: HashMap<u32, Server>,
    coming: BinaryHeap<Reverse<Coming>>,
    /// The attempts so far and the class of each request.
    asked: HashMap<(usize, RequestId), (u32, usize)>,
    probed: Vec<(usize, u32)>,
    clock: u64,
}

impl Fleet {
    pub fn new(day: Day) -> Self {
        let mut rng = Rng::with_seed(day.seed);
        let list: Vec<Entry> = (0..MEMBERS).map(|n| entry(n, n == 0)).collect();
        let start = |n| Gateway::holding(day.settings(), day.seed << 8 | n as u64, list.clone());
        // Some see several times the mean.
        let weights: Vec<f64> = (0..day.routers).map(|_| 0.3 + exponential(&mut rng)).collect();
        let sum: f64 = weights.iter().sum();
        let running = weights.iter().scan(0.0, |up_to, weight| {
            *up_to += weight / sum;
            Some(*up_to)
        });
        Self {
            day,
            routers: (0..day.routers).map(start).collect(),
            up_to: running.collect(),
            told_at: vec![u64::MAX; day.routers],
            rng,
            servers: (0..MEMBERS).map(|n| (n, Server::warm(&day))).collect(),
            coming: BinaryHeap::new(),
            asked: HashMap::new(),
            probed: Vec::new(),
            clock: 0,
        }
    }

    /// Plays the day.
    pub fn played(mut self) -> Self {
        self.run_until(CHANGE_AT_MS);
        let entries = self.change();
        for told_at in &mut self.told_at {
            *told_at = self.clock + self.rng.u64(FIRST_NOTICE_MS..LAST_NOTICE_MS);
        }
        let end = self.clock + self.day.ramp.cold_ms;
        while self.clock < end {
            self.step();
            for router in
                (0..self.routers.len()).filter(|n| self.told_at[*n] == self.clock).collect::<Vec<_>>()
            {
                let event = Event::List { kind: ListKind::Patch, entries: entries.clone() };
                let actions = self.routers[router].play(event);
                self.act(router, &actions);
            }
        }
        self
    }

    /// The most that a cold server was sent.
    pub fn most(&self) -> Most {
        let cold = self.servers.values().filter(|server| server.started.is_some());
        let most = cold.map(|server| self.most_sent(server));
        most.max_by(|a, b| a.share().total_cmp(&b.share())).expect("one is cold")
    }

    /// Lets the cold servers start; what the list will say of them.
    fn change(&mut self) -> Vec<Entry> {
        let cold: Vec<u32> = match self.day.start {
            Start::Join(count) => (MEMBERS..MEMBERS + count).collect(),
            Start::Restart => (0..MEMBERS).collect(),
            Start::Return => {
                let last = MEMBERS - 1;
                self.servers.entry(last).and_modify(|server| server.silent = true);
                self.run_until(CHANGE_AT_MS + SILENCE_MS);
                vec![last]
            }
        };
        for n in &cold {
            self.servers.insert(*n, Server::cold(&self.day, self.clock));
        }
        let started: Option<Instant> = Some(self.routers[0].now);
        cold.iter().map(|n| Entry { started, ..entry(*n, *n == 0) }).collect()
    }

    fn run_until(&mut self, end: u64) {
        while self.clock < end {
            self.step();
        }
    }

    /// One millisecond.
    fn step(&mut self) {
        self.clock += 1;
        self.routers.iter_mut().for_each(|router| router.now += ms(1));
        self.end_attempts();
        for (router, server) in std::mem::take(&mut self.probed) {
            let status = if self.servers[&server].silent { Status::Timeout } else { Status::Good };
            let event = Event::Probed { server: ServerId(server), status, report: Report::default() };
            let actions = self.routers[router].play(event);
            self.act(router, &actions);
        }
        if self.clock % 10 == 0 {
            for router in 0..self.routers.len() {
                let actions = self.routers[router].play(Event::Timer(0));
                self.act(router, &actions);
            }
        }
        self.take_requests();
    }

    fn end_attempts(&mut self) {
        while self.coming.peek().is_some_and(|next| next.0.at <= self.clock) {
            let Reverse(o) = self.coming.pop().expect("peeked");
            let role = if o.server == 0 { Role::Primary } else { Role::Replica };
            let router = &mut self.routers[o.router];
            let told = matches!(o.ending, Ending::Good | Ending::Miss);
            let note = if told { note(role, router.now) } else { Note::default() };
            let (elapsed, status) = (ms(o.at - o.sent), o.ending.status());
            let actions = router.answer_after(elapsed, o.request, o.attempt, o.server, status, note);
            self.act(o.router, &actions);
        }
    }

    fn take_requests(&mut self) {
        let burst = (self.day.burst_at_ms..self.day.burst_at_ms + BURST_MS).contains(&self.clock);
        let load = if burst { self.day.burst } else { self.day.load };
        let rate = load * f64::from(MEMBERS) * self.day.capacity();
        if self.rng.f64() >= rate {
            return;
        }
        let drawn = self.rng.f64();
        let router = self.up_to.iter().position(|up_to| drawn < *up_to).unwrap_or(0);
        let class = if self.rng.f64() < self.day.reads { READ } else { UPDATE };
        let id = self.routers[router].upcoming();
        self.asked.insert((router, id), (0, class));
        let (_, actions) = self.routers[router].request(class);
        self.act(router, &actions);
    }

    /// Carries out what a router does.
    fn act(&mut self, router: usize, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, server: ServerId(server), cut_at } => {
                    let cut = (cut_at - self.routers[router].now).as_millis() as u64;
                    self.send(router, request, server, self.clock + cut);
                }
                Action::Probe(ServerId(server)) => self.probed.push((router, server)),
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, request: RequestId, to: u32, cut: u64) {
        let (attempts, class) = self.asked.get_mut(&(router, request)).expect("asked before");
        let (attempt, class) = (*attempts, *class);
        *attempts += 1;
        let (sent, day) = (self.clock, self.day);
        let server = self.servers.get_mut(&to).expect("listed");
        let requests = day.work_ms[class] / day.mean_work_ms();
        server.sent.push(Sent { at: sent, requests, told: self.told_at[router] <= sent });
        let random = if day.work == Work::Steady { 1.0 } else { exponential(&mut self.rng) };
        let (at, ending) = if server.silent {
            (cut, Ending::Timeout)
        } else if class == UPDATE && to != 0 {
            (sent + 2, Ending::Miss)
        } else {
            match server.work(&day, sent, day.work_ms[class] * random) {
                None => (sent + 2, Ending::Full),
                Some(done) if done <= cut => (done, Ending::Good),
                Some(_) => (cut, Ending::Timeout),
            }
        };
        self.coming.push(Reverse(Coming { at, router, request, attempt, server: to, sent, ending }));
    }

    /// The most that a server was sent in a window that counts.
    fn most_sent(&self, server: &Server) -> Most {
        let (started, fall) = (server.started.expect("cold"), self.day.ramp.fall_ms);
        let mut most = Most::default();
        for (first, from) in server.sent.iter().enumerate() {
            let window: Vec<&Sent> =
                server.sent[first..].iter().take_while(|sent| sent.at < from.at + fall).collect();
            let sent: f64 = window.iter().map(|sent| sent.requests).sum();
            let told: f64 = window.iter().filter(|sent| sent.told).map(|sent| sent.requests).sum();
            let allowed = self.day.allowed((from.at - started) as f64);
            let this = Most { sent, allowed };
            if told > TOLD_SHARE * sent && this.share() > most.share() {
                most = this;
            }
        }
        most
    }
}

/// An exponential figure, 1 in the mean.
pub fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}
