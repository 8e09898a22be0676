//! Keepers, stewards and those that ask, as the shipping functions decide, under every order of messages that chance draws:
//! lost, late, processes stopped and started again, clocks of different rates. What may be spent at any moment is summed.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::keeper::{holds_until, over_after, Book, Key, Report, Seat, Seats};
use super::share::{Floors, Want};

const COUNT: usize = 4;
const SIZE: f64 = 100.0;
const DRIFT: f64 = 0.05;
const ALLOTTED: Duration = Duration::from_secs(4);
const SEATED: Duration = Duration::from_millis(1_500);
const KEY: Key = Key([7; 16]);
const STEPS: usize = 600;
/// The longest that an attempt runs at its db host.
const RUNS: Duration = Duration::from_secs(2);

/// What is planted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// A new keeper begins at once.
    NoWait,
    /// A holder counts by a clock that is set now and then.
    WallClock,
    /// A keeper does not look at its seat before it answers.
    NoCheck,
    /// A holder counts from when the answer came.
    FromAnswer,
    /// A steward gives seats as soon as it is one.
    HastySteward,
    /// Permits come back with the lease, while attempts run on.
    NoRest,
    /// A process that starts again spends its floor while what it had sent before runs on.
    FloorAtOnce,
    /// An attempt that was given up gives its permit back at once.
    GivenUpIsOver,
    /// The lease is looked at when an attempt is asked for, and not before its first byte.
    NoLookAtByte,
}

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Allot(usize, u64, Report, Duration),
    Given { number: u64, amount: f64, asked: Duration },
    Apply(usize, u64, bool, Duration),
    Seat { seat: Seat, life: u64, asked: Duration },
}

struct Process {
    life: u64,
    /// How fast its clock is.
    rate: f64,
    /// How far its wall clock is off.
    wall: f64,
    stopped: bool,
    /// Nothing reaches it, and nothing that it says arrives.
    cut: bool,
    held: (f64, Instant),
    number: u64,
    /// The question that an answer is taken for.
    open: Option<u64>,
    book: Option<(Book, Instant)>,
    seats: Seats,
    /// Attempts out: when they end at their db hosts, and when their permits come back. What it says is out ends with those.
    out: Vec<(Duration, Duration)>,
    /// Attempts that wait for a connection: how many, until when they may be sent.
    waits: (u32, Instant),
    /// When its floor counts, where permits are limited.
    clear: Duration,
}

struct World {
    rng: ChaCha8Rng,
    defect: Defect,
    start: Instant,
    now: Duration,
    all: Vec<Process>,
    /// Who is steward, until when: never two.
    steward: (usize, Duration),
    mail: Vec<(Duration, usize, Message)>,
    floors: Floors,
    /// Permits are limited, and not a rate.
    whole: bool,
    /// Attempts of processes that are no more.
    orphans: Vec<Duration>,
}

impl World {
    fn new(seed: u64, defect: Defect, whole: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_secs(100);
        let process = |rng: &mut ChaCha8Rng| Process {
            life: 1,
            rate: 1.0 + rng.random_range(-DRIFT..DRIFT) / 2.0,
            wall: 0.0,
            stopped: false,
            cut: false,
            held: (0.0, start),
            number: 0,
            open: None,
            book: None,
            seats: Seats::default(),
            out: Vec::new(),
            waits: (0, start),
            clear: Duration::ZERO,
        };
        let all = (0..COUNT).map(|_| process(&mut rng)).collect();
        let each = if whole { 10.0 } else { 10.0 / COUNT as f64 };
        let floors = Floors { size: SIZE, each, gateways: COUNT };
        let steward = (0, Duration::from_secs(3));
        let (mail, orphans) = (Vec::new(), Vec::new());
        Self { rng, defect, start, now: Duration::ZERO, all, steward, mail, floors, whole, orphans }
    }

    /// A process's own clock at a moment.
    fn clock(&self, n: usize, at: Duration) -> Instant {
        self.start + at.mul_f64(self.all[n].rate)
    }

    /// The clock that leases are counted by, as a holder.
    fn counts(&self, n: usize, at: Duration) -> Instant {
        let wall = if self.defect == Defect::WallClock { self.all[n].wall } else { 0.0 };
        if wall < 0.0 {
            self.clock(n, at) - Duration::from_secs_f64(-wall)
        } else {
            self.clock(n, at) + Duration::from_secs_f64(wall)
        }
    }

    /// Permits that a process may have out now.
    fn may(&self, n: usize) -> f64 {
        let one = &self.all[n];
        let held = if self.counts(n, self.now) < one.held.1 { one.held.0 } else { 0.0 };
        held + if self.now >= one.clear { self.floors.each } else { 0.0 }
    }

    /// Sends what it may, in whole, and ends what has ended.
    fn send(&mut self, n: usize) {
        let now = self.now;
        self.all[n].out.retain(|(ends, back)| *ends > now || *back > now);
        // What was asked for earlier, and was stopped or had no connection until now.
        let (waited, by) = std::mem::replace(&mut self.all[n].waits, (0, self.start));
        if self.defect == Defect::NoLookAtByte || self.counts(n, now) < by {
            self.begin(n, waited);
        }
        let mut room = (self.may(n) - f64::from(self.told_out(n))).max(0.0) as u32;
        if self.rng.random_bool(0.05) {
            let waits = self.rng.random_range(0..=room);
            let leased = self.counts(n, now) < self.all[n].held.1;
            let until = if leased { self.all[n].held.1 } else { self.counts(n, now + RUNS) };
            self.all[n].waits = (waits, until.min(self.counts(n, now + Duration::from_millis(250))));
            room -= waits;
        }
        let count = if self.rng.random_bool(0.5) { room } else { room / 2 };
        self.begin(n, count);
    }

    /// Stops a process; it may be that nothing of what it has asked for has been sent yet.
    fn stop(&mut self, n: usize) {
        self.all[n].stopped = true;
        if self.whole && self.rng.random_bool(0.5) {
            let until = self.counts(n, self.now + Duration::from_millis(250));
            let one = &mut self.all[n];
            let count = one.out.drain(..).count() as u32;
            one.waits = (count, until.min(one.held.1));
        }
    }

    fn begin(&mut self, n: usize, count: u32) {
        for _ in 0..count {
            let part: f64 = self.rng.random_range(0.0..8.0);
            let runs = RUNS.mul_f64(part.min(1.0));
            let given_up = runs > RUNS / 3;
            let back = match (given_up, self.defect) {
                (true, Defect::GivenUpIsOver) => RUNS / 3,
                (true, _) => RUNS,
                (false, _) => runs,
            };
            self.all[n].out.push((self.now + runs, self.now + back));
        }
    }

    /// Permits that a process takes for being used.
    fn told_out(&self, n: usize) -> u32 {
        self.all[n].out.iter().filter(|(_, back)| *back > self.now).count() as u32
    }

    /// Attempts that run at db hosts.
    fn running(&self) -> f64 {
        let now = self.now;
        let own = self.all.iter().flat_map(|one| &one.out).filter(|(ends, _)| *ends > now).count();
        (own + self.orphans.iter().filter(|ends| **ends > now).count()) as f64
    }

    fn spendable(&self) -> f64 {
        if self.whole {
            return self.running();
        }
        let held = |n: usize| {
            let (amount, until) = self.all[n].held;
            if self.counts(n, self.now) < until {
                amount
            } else {
                0.0
            }
        };
        (0..COUNT).map(|n| held(n) + self.floors.each).sum()
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        // Permits wait for longer, so that a calmer world is needed to have them all out.
        let (arrives, late) = if self.whole { (0.98, 0.02) } else { (0.9, 0.1) };
        if self.rng.random_bool(arrives) && !self.all[from].cut && !self.all[to].cut {
            let late = if self.rng.random_bool(late) { 3_000 } else { 60 };
            let way = Duration::from_millis(self.rng.random_range(1..late));
            self.mail.push((self.now + way, to, message));
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(1..120));
        // The log: a hold is renewed, or lapses and is another's some time after.
        if self.rng.random_bool(0.6) && !self.all[self.steward.0].stopped && self.now < self.steward.1 {
            self.steward.1 = self.now + Duration::from_secs(3);
        } else if self.now >= self.steward.1 && self.rng.random_bool(0.3) {
            self.steward = (self.rng.random_range(0..COUNT), self.now + Duration::from_secs(3));
        }
        for n in 0..COUNT {
            let chance = self.rng.random_range(0..if self.whole { 2_000 } else { 1_000 });
            match chance {
                0..2 => self.stop(n),
                2..14 => self.all[n].stopped = false,
                14..16 => self.all[n].cut = true,
                16..30 => self.all[n].cut = false,
                // Another life, which knows nothing.
                30 => {
                    let (start, one) = (self.start, &mut self.all[n]);
                    (one.life, one.stopped, one.book) = (one.life + 1, false, None);
                    (one.held, one.open, one.seats) = ((0.0, start), None, Seats::default());
                    one.waits = (0, start);
                    one.clear = if self.defect == Defect::FloorAtOnce { self.now } else { self.now + RUNS };
                    self.orphans.extend(one.out.drain(..).map(|(ends, _)| ends));
                }
                31..40 => self.all[n].wall = self.rng.random_range(-8.0..8.0),
                _ if self.all[n].stopped => {}
                50..400 => self.ask(n),
                400..600 | 1_000..1_400 => self.apply(n),
                1_400..2_000 => self.ask(n),
                _ => {}
            }
        }
        let now = self.now;
        let awake: Vec<bool> = self.all.iter().map(|one| !one.stopped).collect();
        let mut due: Vec<_> = self.mail.extract_if(.., |(at, to, _)| *at <= now && awake[*to]).collect();
        due.sort_by_key(|(at, ..)| *at);
        for (_, to, message) in due {
            self.take(to, message);
        }
        for n in 0..COUNT {
            if self.whole && !self.all[n].stopped {
                self.send(n);
            }
        }
        self.orphans.retain(|ends| *ends > now);
    }

    fn ask(&mut self, n: usize) {
        let keeps = |m: &usize| self.all[*m].book.is_some();
        let keepers: Vec<usize> = (0..COUNT).filter(keeps).collect();
        let Some(&to) = keepers.get(self.rng.random_range(0..keepers.len().max(1))) else { return };
        let runs = self.counts(n, self.now) < self.all[n].held.1;
        let wanted = self.rng.random_range(0.0..120.0) + if self.whole { 40.0 } else { 0.0 };
        let holds = if runs { self.all[n].held.0.min(wanted * 1.5 + 1.0) } else { 0.0 };
        let holds = if self.whole { holds.floor() } else { holds };
        let out = self.told_out(n) + self.all[n].waits.0;
        let one = &mut self.all[n];
        (one.held.0, one.number, one.open) = (holds, one.number + 1, Some(one.number + 1));
        let wants = vec![Want { worth: 1.0, amount: wanted }];
        let report = Report { number: one.number, holds, out, wants, before: 0.0 };
        let message = Message::Allot(n, one.life, report, self.now);
        self.post(n, to, message);
    }

    fn apply(&mut self, n: usize) {
        let keeps = self.all[n].book.as_ref().is_some_and(|(_, until)| self.clock(n, self.now) < *until);
        let free = !keeps && self.rng.random_bool(0.8);
        if !free {
            let message = Message::Apply(n, self.all[n].life, keeps, self.now);
            self.post(n, self.steward.0, message);
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        let here = self.clock(to, self.now);
        match message {
            Message::Apply(from, life, keeps, asked) => {
                let until = (self.steward.0 == to).then(|| self.clock(to, self.steward.1));
                let over = over_after(SEATED, DRIFT);
                let hasty = self.defect == Defect::HastySteward;
                let one = &mut self.all[to];
                one.seats.look(here, until);
                let over = if hasty { Duration::ZERO } else { over };
                let seat = one.seats.ask(here, KEY, (from.to_string().into(), life), keeps, over, true);
                self.post(to, from, Message::Seat { seat, life, asked });
            }
            Message::Seat { seat, life, asked } => {
                let until = holds_until(self.clock(to, asked), SEATED, DRIFT);
                let kept = self.all[to].book.take();
                if life != self.all[to].life || here >= until || !matches!(seat, Seat::Yours { .. }) {
                    let taken = matches!(seat, Seat::Taken(_)) && life == self.all[to].life;
                    self.all[to].book = kept.filter(|_| !taken);
                    return;
                }
                let runs = |(_, until): &(Book, Instant)| here < *until;
                let book = match kept.filter(runs) {
                    Some((book, _)) => book,
                    None => {
                        let first = self.defect == Defect::NoWait;
                        Book::new(
                            here,
                            self.floors,
                            self.whole,
                            over_after(ALLOTTED, DRIFT),
                            if self.defect == Defect::NoRest { Duration::ZERO } else { RUNS },
                            first,
                        )
                    }
                };
                self.all[to].book = Some((book, until));
            }
            Message::Allot(from, life, report, asked) => {
                let unchecked = self.defect == Defect::NoCheck;
                let Some((book, until)) = &mut self.all[to].book else { return };
                if here >= *until && !unchecked {
                    return;
                }
                if let Some(given) = book.ask(here, &(from.to_string().into(), life), &report) {
                    let number = report.number;
                    self.post(to, from, Message::Given { number, amount: given.amount, asked });
                }
            }
            Message::Given { number, amount, asked } => {
                if self.all[to].open == Some(number) {
                    let asked = if self.defect == Defect::FromAnswer { self.now } else { asked };
                    let until = holds_until(self.counts(to, asked), ALLOTTED, DRIFT);
                    (self.all[to].held, self.all[to].open) = ((amount, until), None);
                }
            }
        }
    }
}

/// The first seed under which more than the limit may be spent; how much was spendable on average, and how many steps had it all.
fn search(seeds: std::ops::Range<u64>, defect: Defect, limit: bool) -> (Option<u64>, f64, usize) {
    let (mut sum, mut whole) = (0.0, 0);
    for seed in seeds.clone() {
        let mut world = World::new(seed, defect, limit);
        for _ in 0..STEPS {
            world.step();
            let spendable = world.spendable();
            sum += spendable;
            whole += usize::from(spendable > if limit { 0.9 } else { 0.99 } * SIZE);
            if spendable > SIZE + 1e-6 {
                return (Some(seed), 0.0, 0);
            }
        }
    }
    (None, sum / STEPS as f64 / seeds.end.saturating_sub(seeds.start).max(1) as f64, whole)
}

#[test]
fn whatever_is_lost_late_stopped_or_started_again_no_more_than_the_limit_may_be_spent() {
    let seeds = std::env::var("LIMIT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(400);
    for permits in [false, true] {
        let (broken, mean, whole) = search(0..seeds, Defect::None, permits);
        println!(
            "{seeds} seeds of {STEPS} steps: {mean:.1} of {SIZE} on average, nearly all at {whole} steps"
        );
        assert_eq!(broken, None, "permits: {permits}");
        let (least, times) = if permits { (30.0, 50) } else { (18.0, 500) };
        assert!(mean > least && whole > times, "and it is handed out: {mean}, {whole}");
    }
}

#[test]
fn each_planted_defect_is_found() {
    let defects =
        [Defect::NoWait, Defect::WallClock, Defect::NoCheck, Defect::FromAnswer, Defect::HastySteward];
    let of_permits = [Defect::NoRest, Defect::FloorAtOnce, Defect::GivenUpIsOver, Defect::NoLookAtByte];
    let all =
        defects.map(|defect| (defect, false)).into_iter().chain(of_permits.map(|defect| (defect, true)));
    for (defect, permits) in all {
        let (found, ..) = search(0..2_000, defect, permits);
        println!("{defect:?}: found by seed {found:?}");
        assert!(found.is_some(), "{defect:?} is not found");
    }
}
