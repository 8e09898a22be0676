//! Clients that ask one request after another, spread over gateways by a front that notices deaths late.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_standin::{frame, startup, Client};

use crate::checks::{End, Seen};
use crate::held;

/// How long a client waits for its answer, and how long for anything at all before it gives the connection up.
pub(crate) const WAIT: Duration = Duration::from_millis(1_000);
pub(crate) const GIVEN_UP: Duration = Duration::from_millis(2_500);
/// Between two requests of a client, in the mean.
const PAUSE: Duration = Duration::from_millis(25);
/// One in so many requests is a write.
const WRITES: u32 = 5;

struct Shared {
    front: Front,
    seen: Mutex<Vec<Seen>>,
    made: AtomicU64,
    over: AtomicBool,
}

/// Clients and their front.
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// So many clients, which begin at once.
    #[must_use]
    pub fn start(count: usize, front: Vec<(usize, SocketAddr)>, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            front: Mutex::new(front),
            seen: Mutex::default(),
            made: AtomicU64::new(1),
            over: AtomicBool::new(false),
        });
        let client = |n: usize| {
            let shared = Arc::clone(&shared);
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (n as u64) << 20);
            thread::spawn(move || run(&shared, rng))
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

    /// Ends them, each after the answer it waits for; what they saw.
    #[must_use]
    pub fn end(mut self) -> Vec<Seen> {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        std::mem::take(&mut *held(&self.shared.seen))
    }
}

fn run(shared: &Shared, mut rng: ChaCha8Rng) {
    let mut open: Option<(usize, Client)> = None;
    while !shared.over.load(Ordering::SeqCst) {
        thread::sleep(PAUSE.mul_f64(rng.random_range(0.5..1.5)));
        let Some((gateway, client)) = open.as_mut() else {
            open = connect(&shared.front, &mut rng, None);
            continue;
        };
        let number = shared.made.fetch_add(1, Ordering::SeqCst);
        let id = format!("9b{number}");
        let hints = format!("id={id},d={},cluster=2", WAIT.as_millis());
        let text = if rng.random_ratio(1, WRITES) {
            format!("INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc /* {hints},c=order,k=k{number} */")
        } else {
            format!("SELECT doc FROM items WHERE id = '7f3a' /* {hints},c=view */")
        };
        let (gateway, end) = (*gateway, ask(client, &text));
        // A connection that ends before the request is taken loses nothing.
        let Some((sent, end)) = end else {
            open = None;
            continue;
        };
        if matches!(end, End::Lost | End::Silent | End::Twice) || rng.random_ratio(1, 50) {
            open = None;
        }
        held(&shared.seen).push(Seen { id, gateway, sent, wait: WAIT, end: (Instant::now(), end) });
    }
}

/// The front's list: gateways and where they take clients.
pub(crate) type Front = Mutex<Vec<(usize, SocketAddr)>>;

/// Connects to some gateway, to another than `not` if there is one.
pub(crate) fn connect(front: &Front, rng: &mut ChaCha8Rng, not: Option<usize>) -> Option<(usize, Client)> {
    let (gateway, addr) = {
        let front = held(front);
        let others: Vec<_> = front.iter().filter(|(gateway, _)| Some(*gateway) != not).collect();
        let chosen = others.get(rng.random_range(0..others.len().max(1))).copied();
        *chosen.or_else(|| front.first())?
    };
    let mut client = Client::connect(addr).ok()?;
    client.stream.set_read_timeout(Some(GIVEN_UP)).ok()?;
    std::io::Write::write_all(&mut client.stream, &startup()).ok()?;
    client.answer().ends_with(b"Z").then_some((gateway, client))
}

/// Asks, and says when the request had been sent and how it ended; none if it was not taken.
fn ask(client: &mut Client, text: &str) -> Option<(Instant, End)> {
    match send(client, text)? {
        (sent, Some(end)) => Some((sent, end)),
        (sent, None) => Some((sent, hear(client, sent)?)),
    }
}

/// Sends a request and says when; with its end, if an answer was there before it was sent. None if it was not taken.
pub(crate) fn send(client: &mut Client, text: &str) -> Option<(Instant, Option<End>)> {
    let mut peeked = [0; 1];
    client.stream.set_nonblocking(true).ok()?;
    let before = client.stream.peek(&mut peeked);
    client.stream.set_nonblocking(false).ok()?;
    match before {
        Ok(0) => return None,
        // Something came that nobody asked for: a farewell, or an answer too many.
        Ok(_) => {
            let kinds = client.answer();
            return kinds.ends_with(b"Z").then(|| (Instant::now(), Some(End::Twice)));
        }
        Err(_) => {}
    }
    client.error.clear();
    let query = frame(b'Q', &[text.as_bytes(), b"\0"].concat());
    std::io::Write::write_all(&mut client.stream, &query).ok()?;
    Some((Instant::now(), None))
}

/// Waits for the answer and says what it is; none if the request was not taken.
pub(crate) fn hear(client: &mut Client, sent: Instant) -> Option<End> {
    let kinds = client.answer();
    Some(match kinds.as_slice() {
        [.., b'Z'] if kinds.contains(&b'D') => End::Served,
        [.., b'Z'] if client.error.contains("|C53300|") || client.error.contains("|C57P03|") => End::Refused,
        [.., b'Z'] => End::Failed,
        // Sent to a connection that was closing: whoever closed it has not taken it, and says so or nothing.
        [] if sent.elapsed() < Duration::from_millis(5) => return None,
        _ if sent.elapsed() >= GIVEN_UP => End::Silent,
        _ if client.error.contains("|C57P0") => return None,
        _ => End::Lost,
    })
}
