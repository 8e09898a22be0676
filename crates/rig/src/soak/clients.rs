//! Clients that use a connection for as long as it stays open, and now and then leave in the middle of a request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_standin::{startup, Client};

use super::checker::{Asked, End};
use super::plan::Deadlines;
use crate::clients::{connect, hear, send, Front};
use crate::{checks, held};

/// One in so many requests is a write, and in so many the client leaves.
const WRITES: u32 = 5;
const LEAVES: u32 = 40;
/// Between two requests of all clients, in the mean: half of what the servers can do.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1_200);
const MIN_PAUSE: Duration = Duration::from_millis(40);
/// Idle clients of a crowd: about as many as a gateway of 256 descriptors takes.
const CROWD: usize = 110;
/// The lengths of the statements within which some of them stop, and how much they write of each.
const CROWD_STATEMENTS: [u32; 3] = [45_000, 250_000, 4_000_000];
const CROWD_WRITTEN: usize = 40_000;
const GIVEN_UP: Duration = Duration::from_secs(5);

struct Shared {
    front: Arc<Front>,
    asked: Mutex<Vec<Asked>>,
    numbers: AtomicU64,
    pause: Duration,
    deadlines: Deadlines,
    over: AtomicBool,
}

/// Clients of all gateways.
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(front: Arc<Front>, count: usize, deadlines: Deadlines, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            front,
            asked: Mutex::default(),
            numbers: AtomicU64::new(0),
            pause: (REQUEST_INTERVAL * u32::try_from(count).unwrap_or(u32::MAX)).max(MIN_PAUSE),
            deadlines,
            over: AtomicBool::new(false),
        });
        let client = |number: usize| {
            let (shared, rng) =
                (Arc::clone(&shared), ChaCha8Rng::seed_from_u64(seed ^ ((number as u64) << 24)));
            thread::spawn(move || run(&shared, rng))
        };
        let threads = (0..count).map(client).collect();
        Self { shared, threads }
    }

    /// Ends them, each after the answer that it waits for.
    pub fn end(mut self) -> Vec<Asked> {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        std::mem::take(&mut *held(&self.shared.asked))
    }
}

/// Clients that connect and stay idle, a half of them within a statement.
pub fn crowd(addr: SocketAddr) -> Vec<TcpStream> {
    let member = |number: usize| {
        let mut stream = TcpStream::connect(addr).ok()?;
        let stops_within = CROWD_STATEMENTS.get(number % (2 * CROWD_STATEMENTS.len()));
        if let Some(bytes) = stops_within {
            let head = [b"Q".as_slice(), &bytes.to_be_bytes(), b"INSERT"].concat();
            stream.write_all(&[startup(), head, vec![b' '; CROWD_WRITTEN]].concat()).ok()?;
        }
        Some(stream)
    };
    (0..CROWD).filter_map(member).collect()
}

fn run(shared: &Shared, mut rng: ChaCha8Rng) {
    let mut open: Option<(usize, Client)> = None;
    while !shared.over.load(Ordering::SeqCst) {
        thread::sleep(shared.pause.mul_f64(rng.random_range(0.5..1.5)));
        let Some((gateway, client)) = open.take().or_else(|| connect(&shared.front, &mut rng, None)) else {
            continue;
        };
        let _ = client.stream.set_read_timeout(Some(GIVEN_UP));
        let (asked, client) = ask(shared, gateway, client, &mut rng);
        held(&shared.asked).extend(asked);
        open = client.map(|client| (gateway, client));
    }
}

/// Asks once; gives the connection if it can be used further. Nothing is recorded of a request that was not taken.
fn ask(
    shared: &Shared,
    gateway: usize,
    mut client: Client,
    rng: &mut ChaCha8Rng,
) -> (Option<Asked>, Option<Client>) {
    let (class, wait) = match rng.random_ratio(1, WRITES) {
        true => ("order", shared.deadlines.order),
        false => ("view", shared.deadlines.view),
    };
    let number = shared.numbers.fetch_add(1, Ordering::SeqCst);
    let id = format!("{gateway:02x}{number:010x}");
    let hints = format!("id={id},d={},cluster=2,c={class}", wait.as_millis());
    let text = match class {
        "order" => {
            format!("INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc /* {hints},k=k{number} */")
        }
        _ => format!("SELECT doc FROM items WHERE id = '7f3a' /* {hints} */"),
    };
    let leaves = rng.random_ratio(1, LEAVES);
    let Some((sent, early)) = send(&mut client, &text) else { return (None, None) };
    let asked = Asked { id, gateway, sent, wait, end: None, left: None };
    if leaves {
        drop(client);
        return (Some(Asked { left: Some(Instant::now()), ..asked }), None);
    }
    let Some(end) = early.or_else(|| hear(&mut client, sent)) else { return (None, None) };
    let end = match end {
        checks::End::Served => End::Served,
        checks::End::Refused => End::Refused,
        checks::End::Failed => End::Failed,
        checks::End::Lost | checks::End::Silent | checks::End::Twice => End::Lost,
    };
    // The end of a connection is not dated by the kernel.
    let at = if end == End::Lost { Instant::now() } else { client.received };
    (Some(Asked { end: Some((at, end)), ..asked }), Some(client).filter(|_| end != End::Lost))
}
