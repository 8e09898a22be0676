//! Clients whose requests belong to channels: numbered writes, and reads that must see them. They come back at another gateway
//! when their connection breaks, or because it is their habit, and repeat the number that they have no answer to.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_standin::Client;

use crate::checks::End;
use crate::clients::{connect, hear, send, Front};
use crate::held;

/// What channel clients do, each as a share of their requests.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Their channels' and ids' names begin so.
    pub named: char,
    /// Which play they are of; names differ from one to the next.
    pub play: u64,
    /// Their writes have keys, so that they may be repeated.
    pub keyed: bool,
    /// Channels of each client, asked in turn.
    pub channels: usize,
    /// They go to another gateway before they ask.
    pub moves: f64,
    /// They go to another gateway with their request still out, and repeat its number there.
    pub hurries: f64,
    /// They send the same number on two connections, to two gateways.
    pub doubles: f64,
    /// They send the next number first, on another connection.
    pub swaps: f64,
    /// They read what they have written.
    pub reads: f64,
    /// Between two requests, in the mean.
    pub pause: Duration,
    /// How long they wait for an answer, as their requests say.
    pub wait: Duration,
    /// The class of their writes, and that of their reads.
    pub classes: (&'static str, &'static str),
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            named: 'c',
            play: 0,
            keyed: true,
            channels: 1,
            moves: 0.05,
            hurries: 0.0,
            doubles: 0.0,
            swaps: 0.0,
            reads: 0.0,
            pause: Duration::from_millis(20),
            wait: Duration::from_millis(1_000),
            classes: ("order", "view"),
        }
    }
}

/// A deployment's settings with more classes of writes: `pay`, which must never run twice, `note` likewise, and `plain`.
#[must_use]
pub fn settings(text: &str) -> String {
    let order = "{\"AimMs\": 600.0, \"Credit\": 3.0, \"DeadlineMs\": 3000.0, \"Effect\": \"deduplicated\"";
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"AimMs\": 600.0, \"Credit\": 3.0, \"DeadlineMs\": 12000.0, \"Effect\": \"{effect}\", \
             \"Name\": \"{name}\", \"LateWorth\": 0.3}},\n    "
        )
    };
    let classes = ["pay", "note", "plain"].map(|name| class(name, "at_most_once")).concat();
    text.replace(order, &format!("{classes}{order}"))
        .replace("[\"bounded\", \"write\"]", "[\"bounded\", \"write\", \"write\", \"write\", \"write\"]")
        .replace("[200.0, 0.0]", "[200.0, 0.0, 0.0, 0.0, 0.0]")
}

/// What a request of a channel was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A numbered write.
    Write,
    /// A read.
    Read,
}

/// What a client saw of one request of a channel.
#[derive(Clone, Debug)]
pub struct Told {
    /// The channel.
    pub channel: String,
    /// The write's number; of a read, that of the last write.
    pub number: u64,
    /// What it was.
    pub kind: Kind,
    /// The gateway it was sent to.
    pub gateway: usize,
    /// When it had been sent whole.
    pub sent: Instant,
    /// When and how it ended. One that its client left is lost.
    pub end: (Instant, End),
    /// The number of the newest write that a read saw.
    pub saw: Option<u64>,
    /// The error, if it was one.
    pub error: String,
}

struct Shared {
    habits: Habits,
    front: Front,
    told: Mutex<Vec<Told>>,
    made: AtomicU64,
    over: AtomicBool,
}

/// Clients with channels.
pub struct ChannelClients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl ChannelClients {
    /// So many clients, which begin at once. Channels are named after their play and their client, such as `c0p3x0`.
    #[must_use]
    pub fn start(count: usize, front: Vec<(usize, SocketAddr)>, habits: Habits, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            habits,
            front: Mutex::new(front),
            told: Mutex::default(),
            made: AtomicU64::new(1),
            over: AtomicBool::new(false),
        });
        let client = |n: usize| {
            let shared = Arc::clone(&shared);
            let rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a7 ^ (n as u64) << 20);
            let numbers = vec![1; habits.channels.max(1)];
            thread::spawn(move || ChannelClient { shared: &shared, n, rng, numbers, open: None }.run())
        };
        let threads = (0..count).map(client).collect();
        Self { shared, threads }
    }

    /// The front sends no new connection there from now on.
    pub fn without(&self, gateway: usize) {
        held(&self.shared.front).retain(|(other, _)| *other != gateway);
    }

    /// The front has a gateway there.
    pub fn with(&self, gateway: usize, addr: SocketAddr) {
        self.without(gateway);
        held(&self.shared.front).push((gateway, addr));
    }

    /// What they have seen so far.
    #[must_use]
    pub fn told(&self) -> Vec<Told> {
        held(&self.shared.told).clone()
    }

    /// Ends them, each after the answer it waits for; what they saw.
    #[must_use]
    pub fn end(mut self) -> Vec<Told> {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        std::mem::take(&mut *held(&self.shared.told))
    }
}

struct ChannelClient<'a> {
    shared: &'a Shared,
    n: usize,
    rng: ChaCha8Rng,
    /// The next number of each channel.
    numbers: Vec<u64>,
    open: Option<(usize, Client)>,
}

impl ChannelClient<'_> {
    fn run(&mut self) {
        let habits = self.shared.habits;
        let mut turn = 0;
        while !self.shared.over.load(Ordering::SeqCst) {
            thread::sleep(habits.pause.mul_f64(self.rng.random_range(0.5..1.5)));
            let at = turn % self.numbers.len();
            let before = self.numbers[at];
            // Not done again once more than one habit would apply.
            let draw = self.rng.random::<f64>();
            let edges = [habits.reads, habits.hurries, habits.doubles, habits.swaps, habits.moves];
            let mut edge = 0.0;
            let habit = edges.iter().position(|share| {
                edge += share;
                draw < edge
            });
            let asked = match habit {
                Some(0) => self.read(at),
                Some(1) => self.hurry(at),
                Some(2) => self.two(at, 0),
                Some(3) => self.two(at, 1),
                Some(4) => {
                    self.go_elsewhere();
                    self.write(at)
                }
                _ => self.write(at),
            };
            if asked.is_none() {
                self.open = None;
            }
            // A number without its end is asked for again, before another channel's turn.
            if asked.is_some() && (self.numbers[at] != before || habit == Some(0)) {
                turn += 1;
            }
        }
    }

    fn go_elsewhere(&mut self) {
        let from = self.open.take().map(|(gateway, _)| gateway);
        self.open = connect(&self.shared.front, &mut self.rng, from);
    }

    fn channel(&self, at: usize) -> String {
        let Habits { named, play, .. } = self.shared.habits;
        format!("{named}{play}p{}x{at}", self.n)
    }

    fn text(&self, kind: Kind, at: usize, number: u64) -> String {
        let habits = self.shared.habits;
        let made = self.shared.made.fetch_add(1, Ordering::SeqCst);
        let (channel, id) =
            (self.channel(at), format!("9c{:x}{:x}f{made}", u32::from(habits.named), habits.play));
        let hints = format!("id={id},d={},cluster=2,ch={channel}", habits.wait.as_millis());
        let key = if habits.keyed { format!(",k={channel}n{number}") } else { String::new() };
        let (write, read) = habits.classes;
        match kind {
            Kind::Write => format!(
                "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc \
                 /* {hints},c={write},n={number}{key} */"
            ),
            Kind::Read => format!("SELECT doc FROM items WHERE id = '7f3a' /* {hints},c={read} */"),
        }
    }

    /// Keeps what was seen of a request; a write's end moves its channel on.
    fn saw(&mut self, at: usize, kind: Kind, number: u64, sent: Instant, end: End, by: &(usize, Client)) {
        let row = by.1.rows.first().and_then(|row| std::str::from_utf8(row.get(6..)?).ok()?.parse().ok());
        if kind == Kind::Write && matches!(end, End::Served | End::Failed) && self.numbers[at] == number {
            self.numbers[at] += 1;
        }
        held(&self.shared.told).push(Told {
            channel: self.channel(at),
            number,
            kind,
            gateway: by.0,
            sent,
            end: (Instant::now(), end),
            saw: row.filter(|_| kind == Kind::Read && end == End::Served),
            error: by.1.error.clone(),
        });
    }

    /// Asks on the open connection; none if that is of no use any more.
    fn ask(&mut self, at: usize, kind: Kind, number: u64) -> Option<()> {
        if self.open.is_none() {
            self.open = connect(&self.shared.front, &mut self.rng, None);
        }
        let text = self.text(kind, at, number);
        let mut by = self.open.take()?;
        let (sent, end) = send(&mut by.1, &text)?;
        let end = match end {
            Some(end) => end,
            None => hear(&mut by.1, sent)?,
        };
        self.saw(at, kind, number, sent, end, &by);
        let lasts = !matches!(end, End::Lost | End::Silent | End::Twice);
        self.open = Some(by).filter(|_| lasts);
        lasts.then_some(())
    }

    fn write(&mut self, at: usize) -> Option<()> {
        self.ask(at, Kind::Write, self.numbers[at])
    }

    fn read(&mut self, at: usize) -> Option<()> {
        self.ask(at, Kind::Read, self.numbers[at] - 1)
    }

    /// Leaves with a request still out, and repeats its number elsewhere.
    fn hurry(&mut self, at: usize) -> Option<()> {
        let number = self.numbers[at];
        if self.open.is_none() {
            self.go_elsewhere();
        }
        let text = self.text(Kind::Write, at, number);
        let mut by = self.open.take()?;
        let (sent, _) = send(&mut by.1, &text)?;
        thread::sleep(Duration::from_millis(self.rng.random_range(0..12)));
        self.saw(at, Kind::Write, number, sent, End::Lost, &by);
        let from = by.0;
        drop(by);
        self.open = connect(&self.shared.front, &mut self.rng, Some(from));
        self.write(at)
    }

    /// Sends two numbers on two connections before any answer: the same (`more` is 0), or the next one first.
    fn two(&mut self, at: usize, more: u64) -> Option<()> {
        let number = self.numbers[at];
        if self.open.is_none() {
            self.go_elsewhere();
        }
        let mut one = self.open.take()?;
        let mut other = connect(&self.shared.front, &mut self.rng, Some(one.0))?;
        let texts = [self.text(Kind::Write, at, number + more), self.text(Kind::Write, at, number)];
        let first = send(&mut other.1, &texts[0]);
        let second = send(&mut one.1, &texts[1]);
        let mut lasts = false;
        // In the order of their numbers, as the later one waits for the earlier.
        for (sent, by, number, stays) in
            [(second, &mut one, number, true), (first, &mut other, number + more, false)]
        {
            let Some((sent, end)) = sent else { continue };
            let Some(end) = end.or_else(|| hear(&mut by.1, sent)) else { continue };
            self.saw(at, Kind::Write, number, sent, end, by);
            lasts |= stays && !matches!(end, End::Lost | End::Silent | End::Twice);
        }
        self.open = Some(one).filter(|_| lasts);
        lasts.then_some(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::orders::{never_twice, order_kept, own_writes_seen, ran_in_order};
    use crate::world::{Shape, World};

    /// Habits that break the rules where no gateway keeps them: clients ask the links to db hosts themselves.
    fn direct(habits: Habits) -> (Arc<World>, Vec<Told>) {
        let world = World::new(Shape::default(), 1, 3).expect("free ports");
        let front = (0..3).map(|gateway| (gateway, world.links().addr(gateway, 0))).collect();
        let clients = ChannelClients::start(3, front, habits, 3);
        thread::sleep(Duration::from_millis(1_200));
        (world, clients.end())
    }

    #[test]
    fn one_after_the_other_keeps_the_order_and_two_at_once_break_it() {
        let pause = Duration::from_millis(4);
        let calm = Habits { moves: 0.3, reads: 0.2, hurries: 0.1, pause, channels: 2, ..Habits::default() };
        let (world, told) = direct(calm);
        let (left, ended): (Vec<&Told>, Vec<&Told>) = told.iter().partition(|told| told.end.1 == End::Lost);
        let served = ended.iter().all(|told| told.end.1 == End::Served);
        assert!(served && ended.len() > 50 && !left.is_empty(), "{told:?}");
        let attempts = world.links().attempts();
        assert_eq!(order_kept(&attempts, &told), []);
        assert_eq!(never_twice(&attempts, Duration::from_secs(2)), []);
        assert_eq!((ran_in_order(&world.applied()), own_writes_seen(&told)), (vec![], vec![]));
        assert!(told.iter().any(|told| told.kind == Kind::Read && told.saw == Some(told.number)));
        for habits in [Habits { swaps: 0.5, ..calm }, Habits { doubles: 0.5, ..calm }] {
            let (world, told) = direct(habits);
            assert!(!order_kept(&world.links().attempts(), &told).is_empty(), "{habits:?}");
        }
    }
}
