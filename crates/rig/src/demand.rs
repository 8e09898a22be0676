//! Reads or writes asked at a rate for each gateway, whatever becomes of them, and what became of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::End;
use crate::clients::{connect, hear, send, Front};
use crate::held;

/// Connections to each gateway.
const CONNECTIONS: u64 = 6;
/// How often a client that has nothing to ask looks whether it has.
const IDLE: Duration = Duration::from_millis(20);

/// What became of a read.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// At which gateway.
    pub gateway: usize,
    /// When it was asked.
    pub at: Instant,
    /// How it ended.
    pub end: End,
}

struct Shared {
    /// Reads each second at each gateway, in thousandths.
    rates: Vec<AtomicU64>,
    fronts: Vec<Front>,
    asked: Mutex<Vec<Asked>>,
    made: AtomicU64,
    over: AtomicBool,
}

/// Clients of all gateways.
pub struct Demand {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Demand {
    /// Clients of these gateways, which want nothing yet. The time between two reads is drawn from the seed.
    #[must_use]
    pub fn start(gateways: &[SocketAddr], seed: u64) -> Self {
        Self::of(gateways, seed, reads)
    }

    /// The same, with clients that write: another class, and worth more.
    #[must_use]
    pub fn of_writes(gateways: &[SocketAddr], seed: u64) -> Self {
        Self::of(gateways, seed, writes)
    }

    fn of(gateways: &[SocketAddr], seed: u64, statement: fn(u64) -> String) -> Self {
        let shared = Arc::new(Shared {
            rates: gateways.iter().map(|_| AtomicU64::new(0)).collect(),
            fronts: gateways.iter().enumerate().map(|(n, addr)| Mutex::new(vec![(n, *addr)])).collect(),
            asked: Mutex::default(),
            made: AtomicU64::new(1),
            over: AtomicBool::new(false),
        });
        let client = |n: u64| {
            let (shared, rng) = (Arc::clone(&shared), ChaCha8Rng::seed_from_u64(seed ^ n << 20));
            thread::spawn(move || run(&shared, (n / CONNECTIONS) as usize, rng, statement))
        };
        let threads = (0..gateways.len() as u64 * CONNECTIONS).map(client).collect();
        Self { shared, threads }
    }

    /// What is asked from now on: reads each second at each gateway.
    pub fn want(&self, rate: impl Fn(usize) -> f64) {
        for (n, of) in self.shared.rates.iter().enumerate() {
            of.store((rate(n) * 1e3) as u64, Ordering::SeqCst);
        }
    }

    /// A gateway takes its clients elsewhere from now on: it was started again.
    pub fn moved(&self, gateway: usize, addr: SocketAddr) {
        *held(&self.shared.fronts[gateway]) = vec![(gateway, addr)];
    }

    /// All that has ended.
    #[must_use]
    pub fn asked(&self) -> Vec<Asked> {
        held(&self.shared.asked).clone()
    }

    /// Ends all clients, each after the answer that it waits for.
    pub fn end(mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn reads(number: u64) -> String {
    format!("SELECT doc FROM items WHERE id = '7f3a' /* id=7d{number},d=1000,cluster=2,c=view */")
}

fn writes(number: u64) -> String {
    format!(
        "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc \
         /* id=8e{number},d=1000,cluster=2,c=order,k=w{number} */"
    )
}

fn run(shared: &Shared, gateway: usize, mut rng: ChaCha8Rng, statement: fn(u64) -> String) {
    let (mut open, mut next) = (None, Instant::now());
    while !shared.over.load(Ordering::SeqCst) {
        let rate = shared.rates[gateway].load(Ordering::SeqCst) as f64 / 1e3 / CONNECTIONS as f64;
        let now = Instant::now();
        if rate <= 0.0 {
            next = now;
            thread::sleep(IDLE);
            continue;
        }
        if next > now {
            thread::sleep((next - now).min(IDLE));
            continue;
        }
        // Chance makes the times of independent clients exponential. What could not be asked in time is left out.
        let gap = Duration::from_secs_f64(-rng.random_range(1e-9_f64..1.0).ln() / rate);
        next = (next + gap).max(now.checked_sub(IDLE).unwrap_or(now));
        let Some((_, client)) = open.as_mut() else {
            open = connect(&shared.fronts[gateway], &mut rng, None);
            continue;
        };
        let number = shared.made.fetch_add(1, Ordering::SeqCst);
        let end = match send(client, &statement(number)) {
            Some((_, Some(end))) => Some(end),
            Some((sent, None)) => hear(client, sent),
            None => None,
        };
        match end {
            Some(end) => {
                if matches!(end, End::Lost | End::Silent | End::Twice) {
                    open = None;
                }
                held(&shared.asked).push(Asked { gateway, at: now, end });
            }
            None => open = None,
        }
    }
}
