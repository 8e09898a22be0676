//! What befalls whom, and when: drawn from the seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::discovery::Faults;
use super::gateways::EARLIEST_KILL;
use super::servers::{Mode, COUNT as SERVERS};

/// Whether a server is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// Something that befalls someone.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A gateway is moved to its other address of discovery.
    Reload(usize),
    Terminate(usize),
    Kill(usize),
    Restart {
        gateway: usize,
        wall_clock_off_s: i64,
    },
    Server(usize, Listed),
    Mode(usize, Mode),
    DiscoveryDown(bool),
    Faults(Faults),
    Crowd(usize),
    CrowdLeaves,
}

/// A plan.
pub struct Plan {
    pub processes: usize,
    /// How discovery answers at first.
    pub faults: Faults,
    /// In order.
    pub events: Vec<(Duration, Event)>,
}

const PROCESSES: [usize; 8] = [1, 2, 3, 4, 6, 6, 12, 30];
const WALL_CLOCK_OFF_S: [i64; 5] = [0, 0, -5, -3_600, 3_600];

impl Plan {
    pub fn draw(rng: &mut ChaCha8Rng, span: Duration, processes: Option<usize>) -> Self {
        let drawn = *PROCESSES.choose(rng).unwrap_or(&1);
        let processes = processes.unwrap_or(drawn);
        let mut draft = Draft { rng, span, processes, events: Vec::new() };
        let faults = draft.faults();
        draft.reloads();
        draft.drains();
        draft.outages();
        draft.changing_faults();
        draft.ends();
        draft.server_faults();
        draft.crowds();
        let mut events = draft.events;
        events.sort_by_key(|(at, _)| *at);
        Self { processes, faults, events }
    }
}

struct Draft<'a> {
    rng: &'a mut ChaCha8Rng,
    span: Duration,
    processes: usize,
    events: Vec<(Duration, Event)>,
}

impl Draft<'_> {
    /// A time that leaves so many seconds before the end.
    fn time(&mut self, before_end: f64) -> Duration {
        let latest = (self.span.as_secs_f64() - before_end).max(1.5);
        Duration::from_secs_f64(self.rng.random_range(1.0..latest))
    }

    fn seconds(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(from..to))
    }

    /// As many as come in the span if there is one in so many seconds.
    fn one_in(&self, seconds: u64) -> u64 {
        (self.span.as_secs() / seconds).max(1)
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }

    fn faults(&mut self) -> Faults {
        *[Faults::NONE, Faults::SOME, Faults::MANY].choose(self.rng).unwrap_or(&Faults::NONE)
    }

    fn reloads(&mut self) {
        if self.rng.random_bool(0.3) {
            return;
        }
        for gateway in 0..self.processes {
            let mut at = self.time(8.0);
            for _ in 0..self.rng.random_range(2..12) {
                self.push(at, Event::Reload(gateway));
                at += self.seconds(0.2, 1.2);
            }
        }
    }

    /// Servers drain, are removed and come back cold. The primary stays.
    fn drains(&mut self) {
        for _ in 0..self.one_in(8) {
            let (server, at) = (self.rng.random_range(1..SERVERS), self.time(9.0));
            let gone = at + self.seconds(3.0, 9.0);
            let back = gone + self.seconds(0.5, 4.0);
            self.push(at, Event::Server(server, Listed::Draining));
            self.push(gone, Event::Server(server, Listed::Gone));
            self.push(back, Event::Server(server, Listed::Ready));
        }
    }

    fn outages(&mut self) {
        for _ in 0..self.rng.random_range(0..2) {
            let at = self.time(12.0);
            let back = at + self.seconds(1.0, 12.0);
            self.push(at, Event::DiscoveryDown(true));
            self.push(back, Event::DiscoveryDown(false));
        }
    }

    fn changing_faults(&mut self) {
        for _ in 0..self.one_in(12) {
            let (at, faults) = (self.time(5.0), self.faults());
            self.push(at, Event::Faults(faults));
        }
    }

    /// Gateways are told to end under traffic, killed at the earliest moment and started again.
    fn ends(&mut self) {
        for gateway in 0..self.processes {
            if self.rng.random_bool(0.5) {
                continue;
            }
            let at = self.time(8.0);
            let restart = at + EARLIEST_KILL + self.seconds(0.1, 1.0);
            let wall_clock_off_s = *WALL_CLOCK_OFF_S.choose(self.rng).unwrap_or(&0);
            self.push(at, Event::Terminate(gateway));
            self.push(at + EARLIEST_KILL, Event::Kill(gateway));
            self.push(restart, Event::Restart { gateway, wall_clock_off_s });
        }
    }

    fn server_faults(&mut self) {
        for _ in 0..self.one_in(6) {
            let (server, at) = (self.rng.random_range(0..SERVERS), self.time(4.0));
            let mode = *[Mode::Hangs, Mode::Resets, Mode::Slow].choose(self.rng).unwrap_or(&Mode::Hangs);
            let well = at + self.seconds(0.3, 3.0);
            self.push(at, Event::Mode(server, mode));
            self.push(well, Event::Mode(server, Mode::Well));
        }
    }

    fn crowds(&mut self) {
        if self.rng.random_bool(0.5) {
            return;
        }
        let (gateway, at) = (self.rng.random_range(0..self.processes), self.time(6.0));
        let leaves = at + self.seconds(1.0, 5.0);
        self.push(at, Event::Crowd(gateway));
        self.push(leaves, Event::CrowdLeaves);
    }
}
