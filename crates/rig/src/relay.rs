//! The way between gateways: each has a relay on loopback that others send to, and that loses, delays, repeats, reorders
//! and cuts as told. Over TCP it delays and cuts alike, and loses nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::between::{self, Ways};

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
    /// Links over whose connections alone everything takes so much longer: datagrams are in time.
    pub late: BTreeMap<(usize, usize), Duration>,
    /// Links that pass nothing on, from one to another.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Links that lose all datagrams while connections go on.
    pub mute: BTreeSet<(usize, usize)>,
}

struct Shared {
    ways: Arc<Ways>,
    /// Who sends from an address.
    senders: HashMap<SocketAddr, usize>,
    over: AtomicBool,
}

/// The relays of all gateways.
pub struct Relays {
    shared: Arc<Shared>,
    addrs: Vec<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// One before each of these addresses, at ports from `port` on. The same seed loses the same of each link's datagrams,
    /// counted in order.
    ///
    /// # Errors
    /// Somebody has one of the ports, or the system has no room.
    pub fn start(own: Ipv4Addr, port: u16, behind: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let senders = behind.iter().enumerate().map(|(n, addr)| (*addr, n)).collect();
        let ways = Arc::new(Ways::new(seed));
        let shared = Arc::new(Shared { ways: Arc::clone(&ways), senders, over: AtomicBool::new(false) });
        let addrs: Vec<_> = (port..).zip(behind).map(|(port, _)| SocketAddr::from((own, port))).collect();
        let listeners = addrs.iter().map(TcpListener::bind).collect::<io::Result<Vec<_>>>()?;
        let sockets = addrs.iter().map(UdpSocket::bind).collect::<io::Result<Vec<_>>>()?;
        let mut threads = Vec::new();
        if !behind.is_empty() {
            threads.push(between::start(listeners, behind, &ways)?);
        }
        for (n, (socket, addr)) in sockets.into_iter().zip(behind.iter().copied()).enumerate() {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || pass_on(&socket, n, addr, seed, &shared)));
        }
        Ok(Self { shared, addrs, threads })
    }

    /// Where others reach a gateway, by datagrams and by connections.
    #[must_use]
    pub fn addr(&self, n: usize) -> SocketAddr {
        self.addrs[n]
    }

    /// Changes what happens on the way from now on.
    pub fn weather(&self, change: impl FnOnce(&mut Weather)) {
        self.shared.ways.weather.send_modify(change);
    }

    /// Ends all connections between two gateways, whoever opened them.
    pub fn reset(&self, one: usize, other: usize) {
        self.shared.ways.reset(one, other);
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared.ways.end();
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
            let from = shared.senders.get(&from).copied().unwrap_or(usize::MAX);
            let made = || ChaCha8Rng::seed_from_u64(seed ^ (from as u64) << 32 ^ to as u64);
            let rng = rngs.entry(from).or_insert_with(made);
            let weather = shared.ways.weather.borrow();
            let (lost, twice) = (rng.random::<f64>() < weather.loss, rng.random::<f64>() < weather.repeat);
            for _ in 0..if twice { 2 } else { 1 } {
                let far = weather.far.get(&(from, to)).copied().unwrap_or_default();
                let delay = far + weather.delay.mul_f64(rng.random::<f64>());
                let silent = weather.cuts.contains(&(from, to)) || weather.mute.contains(&(from, to));
                if !lost && !silent {
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
