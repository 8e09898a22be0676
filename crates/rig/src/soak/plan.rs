//! What befalls whom, and when: drawn from the seed.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::discovery::Faults;
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
    /// A further SIGTERM, or a SIGHUP with an unchanged configuration, to a gateway that was told to end.
    Signal(usize, Signal),
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

/// A signal to a gateway that was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    Reload,
}

/// How long clients give a request of each class. The order is the longer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    pub view: Duration,
    pub order: Duration,
}

impl Deadlines {
    const LONG: Self = Self { view: Duration::from_millis(1_200), order: Duration::from_millis(3_000) };
    const SHORT: Self = Self { view: Duration::from_millis(600), order: Duration::from_millis(800) };

    /// From SIGTERM to the earliest SIGKILL: the longest deadline and 0.7 s more.
    pub fn earliest_kill(self) -> Duration {
        self.order + Duration::from_millis(700)
    }

    /// How long a gateway that was told to end at `told_to_end` must still be left alive.
    pub fn until_kill(self, told_to_end: Instant, now: Instant) -> Duration {
        (told_to_end + self.earliest_kill()).saturating_duration_since(now)
    }
}

/// A plan.
pub struct Plan {
    pub processes: usize,
    pub deadlines: Deadlines,
    /// How discovery answers at first.
    pub faults: Faults,
    /// By how much the wall clocks of every other gateway are stepped to and fro.
    pub wall_clock_step_s: i64,
    /// In order.
    pub events: Vec<(Duration, Event)>,
}

const PROCESSES: [usize; 8] = [1, 2, 3, 4, 6, 6, 12, 30];
const TERMS_SEED: u64 = 0x7e12;
const WALL_CLOCK_OFF_S: [i64; 5] = [0, 0, -5, -3_600, 3_600];
/// In every other second, at every other gateway of a seed.
const WALL_CLOCK_STEP_S: [i64; 4] = [0, 2, -5, 3_600];

impl Plan {
    pub fn draw(seed: u64, span: Duration, processes: Option<usize>) -> Self {
        // Draws of their own, so that a seed's other events stay what they were before there were these.
        let mut terms_rng = ChaCha8Rng::seed_from_u64(seed ^ TERMS_SEED);
        let short = terms_rng.random_ratio(1, 3);
        let deadlines = if short { Deadlines::SHORT } else { Deadlines::LONG };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rng = &mut rng;
        let drawn = *PROCESSES.choose(rng).unwrap_or(&1);
        let processes = processes.unwrap_or(drawn);
        let mut draft = Draft { rng, span, processes, deadlines, events: Vec::new() };
        let faults = draft.faults();
        draft.reloads();
        draft.drains();
        draft.outages();
        draft.changing_faults();
        draft.ends();
        draft.server_faults();
        draft.crowds();
        let mut events = draft.events;
        let signals = signals_in_series(&mut terms_rng, &events, deadlines);
        events.extend(signals);
        events.sort_by_key(|(at, _)| *at);
        let wall_clock_step_s = *WALL_CLOCK_STEP_S.choose(&mut terms_rng).unwrap_or(&0);
        Self { processes, deadlines, faults, wall_clock_step_s, events }
    }
}

struct Draft<'a> {
    rng: &'a mut ChaCha8Rng,
    span: Duration,
    processes: usize,
    deadlines: Deadlines,
    events: Vec<(Duration, Event)>,
}

/// Signals in series to gateways that were told to end.
fn signals_in_series(
    rng: &mut ChaCha8Rng,
    events: &[(Duration, Event)],
    deadlines: Deadlines,
) -> Vec<(Duration, Event)> {
    let mut signals = Vec::new();
    for (begin, event) in events {
        let Event::Terminate(gateway) = *event else { continue };
        if rng.random_bool(0.5) {
            continue;
        }
        let mut at = *begin;
        for _ in 0..rng.random_range(1..6) {
            at += Duration::from_secs_f64(rng.random_range(0.02..0.6));
            let signal = if rng.random_bool(0.5) { Signal::Terminate } else { Signal::Reload };
            if at < *begin + deadlines.earliest_kill() {
                signals.push((at, Event::Signal(gateway, signal)));
            }
        }
    }
    signals
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
            let kill = at + self.deadlines.earliest_kill();
            let restart = kill + self.seconds(0.1, 1.0);
            let wall_clock_off_s = *WALL_CLOCK_OFF_S.choose(self.rng).unwrap_or(&0);
            self.push(at, Event::Terminate(gateway));
            self.push(kill, Event::Kill(gateway));
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

#[cfg(test)]
mod tests;
