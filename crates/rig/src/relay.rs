//! The way between gateways: each has a relay on loopback that others send to, and that loses, delays, repeats, reorders
//! and cuts as told.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::held;

/// How finely delays are kept; and how often a relay that nothing waits in looks whether it is over.
const GRAIN: Duration = Duration::from_millis(2);
const REST: Duration = Duration::from_millis(100);

/// What happens on the way, to all links alike but for cuts.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share that come twice.
    pub repeat: f64,
    /// Each takes up to so long, at random, so that they overtake each other.
    pub delay: Duration,
    /// Links that take so much longer, each way.
    pub far: BTreeMap<(usize, usize), Duration>,
    /// Links that pass nothing on, from one to another.
    pub cuts: BTreeSet<(usize, usize)>,
}

#[derive(Default)]
struct Shared {
    weather: Mutex<Weather>,
    /// Who sends from an address.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    over: AtomicBool,
}

/// The relays of all gateways.
pub struct Relays {
    shared: Arc<Shared>,
    addrs: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// One before each of these addresses. The same seed loses the same of each link's datagrams, counted in order.
    ///
    /// # Errors
    /// The system has no port.
    pub fn start(behind: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        held(&shared.senders).extend(behind.iter().enumerate().map(|(n, addr)| (*addr, n)));
        let (mut addrs, mut threads) = (Vec::new(), Vec::new());
        for (n, addr) in behind.iter().copied().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            addrs.push(socket.local_addr()?);
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || pass_on(&socket, n, addr, seed, &shared)));
        }
        Ok(Self { shared, addrs, threads })
    }

    /// Where others reach a gateway.
    #[must_use]
    pub fn addr(&self, n: usize) -> SocketAddr {
        self.addrs[n]
    }

    /// Changes what happens on the way from now on.
    pub fn weather(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut held(&self.shared.weather));
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn pass_on(socket: &UdpSocket, to: usize, addr: SocketAddr, seed: u64, shared: &Shared) {
    let mut rngs: BTreeMap<usize, ChaCha8Rng> = BTreeMap::new();
    let (mut waiting, mut taken) = (BTreeMap::new(), 0_u64);
    let mut buffer = [0; 2_048];
    let mut timeout = Duration::ZERO;
    while !shared.over.load(Ordering::SeqCst) {
        let wanted = if waiting.is_empty() { REST } else { GRAIN };
        if wanted != timeout && socket.set_read_timeout(Some(wanted)).is_ok() {
            timeout = wanted;
        }
        if let Ok((len, from)) = socket.recv_from(&mut buffer) {
            // One that is no gateway, as a forger's, has a link of its own.
            let from = held(&shared.senders).get(&from).copied().unwrap_or(usize::MAX);
            let made = || ChaCha8Rng::seed_from_u64(seed ^ (from as u64) << 32 ^ to as u64);
            let rng = rngs.entry(from).or_insert_with(made);
            let weather = held(&shared.weather);
            let (lost, twice) = (rng.random::<f64>() < weather.loss, rng.random::<f64>() < weather.repeat);
            for _ in 0..if twice { 2 } else { 1 } {
                let far = weather.far.get(&(from, to)).copied().unwrap_or_default();
                let delay = far + weather.delay.mul_f64(rng.random::<f64>());
                if !lost && !weather.cuts.contains(&(from, to)) {
                    taken += 1;
                    waiting.insert((Instant::now() + delay, taken), buffer[..len].to_vec());
                }
            }
        }
        let now = Instant::now();
        while let Some(entry) = waiting.first_entry().filter(|entry| entry.key().0 <= now) {
            // One that is not there loses it.
            let _ = socket.send_to(&entry.remove(), addr);
        }
    }
}
