//! Ways over TCP: between gateways, by a relay at the same number as the one for datagrams and under the same weather; and, of
//! the same kind, those of clients and lists (`outside`). Bytes are never lost: what is cut waits, in order, until it is mended or
//! the connection ends. A way that is hushed passes nothing on its open connections any more, and those stay open.

use std::collections::{BTreeMap, VecDeque};
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

use crate::Weather;

/// Connections held by one relay at a time; more are ended at once.
const MOST: usize = 1_024;
/// Bytes that may wait on one way of a connection, and how many are read at once.
const MOST_WAITING: usize = 512 * 1024;
const PIECE: usize = 16 * 1024;
/// How long a gateway may take to say its name, and a connection to its gateway.
const NAMED_WITHIN: Duration = Duration::from_secs(5);
/// Whoever gives no gateway's name.
const STRANGER: usize = usize::MAX;

/// From one gateway to another.
pub type Pair = (usize, usize);

/// How often something was done to the connections of a pair.
type Counts = watch::Sender<BTreeMap<Pair, u64>>;

/// Looks on at what one connection passes.
pub trait Eye: Send + Sync {
    /// These bytes were read, and wait for their time.
    fn read(&self, _way: Pair, _bytes: &[u8]) {}
    /// The sending end has closed its side, or broken it.
    fn closed(&self, _way: Pair) {}
    /// These bytes are at the other end.
    fn written(&self, _way: Pair, _bytes: &[u8]) {}
    /// The connection is being reset.
    fn reset(&self) {}
}

/// What goes between gateways is sealed.
struct Blind;

impl Eye for Blind {}

/// What all connections look at.
pub struct Ways {
    pub weather: watch::Sender<Weather>,
    /// How often the connections of two ends have been ended, the lower number first.
    resets: Counts,
    /// How often a way's open connections have been hushed: at once, or after half of the next piece.
    hushes: Counts,
    halves: Counts,
    over: watch::Sender<bool>,
    seed: u64,
}

impl Ways {
    pub fn new(seed: u64) -> Self {
        let weather = watch::Sender::new(Weather::default());
        let (resets, hushes, halves) = Default::default();
        Self { weather, resets, hushes, halves, over: watch::Sender::new(false), seed }
    }

    /// Ends all connections between two ends.
    pub fn reset(&self, one: usize, other: usize) {
        self.resets.send_modify(|resets| *resets.entry(sorted((one, other))).or_default() += 1);
    }

    /// Connections that are open now pass nothing more this way; with `half`, not until half of the next piece has gone.
    pub fn hush(&self, way: Pair, half: bool) {
        let counts = if half { &self.halves } else { &self.hushes };
        counts.send_modify(|counts| *counts.entry(way).or_default() += 1);
    }

    /// Ends all.
    pub fn end(&self) {
        self.over.send_replace(true);
    }

    /// Waits while a way is cut.
    async fn mended(&self, way: Pair) {
        // It cannot fail: the sender is in `self`.
        let _ = self.weather.subscribe().wait_for(|weather| !weather.cuts.contains(&way)).await;
    }

    async fn is_reset(&self, pair: Pair) {
        let count = move |resets: &BTreeMap<Pair, u64>| resets.get(&sorted(pair)).copied();
        let mut resets = self.resets.subscribe();
        let before = count(&resets.borrow());
        let _ = resets.wait_for(|resets| count(resets) != before).await;
    }

    /// How often a way has been hushed, and hushed by half.
    fn hushed(&self, way: Pair) -> [u64; 2] {
        [&self.hushes, &self.halves].map(|counts| counts.borrow().get(&way).copied().unwrap_or(0))
    }
}

fn sorted((one, other): Pair) -> Pair {
    (one.min(other), one.max(other))
}

/// Passes on what connects to each of these listeners to the gateway behind it, in a thread of its own.
pub fn start(
    listeners: Vec<std::net::TcpListener>,
    behind: &[SocketAddr],
    ways: &Arc<Ways>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut taking = Vec::new();
    for (n, (listener, addr)) in listeners.into_iter().zip(behind.iter().copied()).enumerate() {
        listener.set_nonblocking(true)?;
        let listener = {
            let _within = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let own = Arc::clone(ways);
        let serve = move |stream| {
            let ways = Arc::clone(&own);
            async move { named(stream, n, addr, &ways).await }
        };
        taking.push(take(listener, serve));
    }
    run("relays", runtime, ways, taking)
}

/// Runs tasks in a thread of their own until it is over; all end with the runtime.
pub fn run(
    name: &str,
    runtime: Runtime,
    ways: &Arc<Ways>,
    tasks: Vec<impl Future<Output = ()> + Send + 'static>,
) -> io::Result<JoinHandle<()>> {
    let mut over = ways.over.subscribe();
    let work = async move {
        tasks.into_iter().for_each(|task| drop(tokio::spawn(task)));
        let _ = over.wait_for(|over| *over).await;
    };
    thread::Builder::new().name(name.into()).spawn(move || runtime.block_on(work))
}

/// Takes connections and serves each in a task of its own.
pub async fn take<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    let room = Arc::new(Semaphore::new(MOST));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Guards against: a loop without pause while the system has no descriptor left.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else { continue };
        let served = serve(stream);
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

/// What a gateway says first, and which one it is: a byte of format, a byte of length, and its name, such as `g3`.
async fn hello(near: &mut TcpStream) -> io::Result<(Vec<u8>, usize)> {
    let mut head = vec![0; 2];
    near.read_exact(&mut head).await?;
    head.resize(2 + usize::from(head[1]), 0);
    near.read_exact(&mut head[2..]).await?;
    let name = std::str::from_utf8(&head[2..]).ok();
    let number = name.and_then(|name| name.strip_prefix('g')?.parse().ok());
    Ok((head, number.unwrap_or(STRANGER)))
}

async fn named(mut near: TcpStream, to: usize, addr: SocketAddr, ways: &Ways) {
    let Ok(Ok((head, from))) = timeout(NAMED_WITHIN, hello(&mut near)).await else { return };
    join(near, head, (from, to), Some(addr), ways, &Blind).await;
}

/// Joins a connection to the place it leads to, if there is one.
pub async fn join(
    mut near: TcpStream,
    head: Vec<u8>,
    pair: Pair,
    addr: Option<SocketAddr>,
    ways: &Ways,
    eye: &impl Eye,
) {
    let (back, mut far) = ((pair.1, pair.0), None);
    let passed = async {
        ways.mended(pair).await;
        let addr = addr.ok_or(io::ErrorKind::ConnectionRefused)?;
        let far = far.insert(timeout(NAMED_WITHIN, TcpStream::connect(addr)).await??);
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
        // Half-closed connections go on the other way; one that breaks ends both.
        tokio::try_join!(
            way(head, near_in, far_out, pair, ways, eye),
            way(Vec::new(), far_in, near_out, back, ways, eye)
        )
    };
    let whole = tokio::select! {
        passed = passed => passed.is_ok(),
        () = ways.is_reset(pair) => {
            eye.reset();
            false
        }
    };
    if !whole {
        // Refused, broken or reset: not an end in order.
        for end in [Some(near), far].into_iter().flatten() {
            let _ = end.set_zero_linger();
        }
    }
}

/// What waits on a way: bytes, or its end and how it came.
enum Piece {
    Bytes(Vec<u8>),
    End(io::Result<()>),
}

/// What there is to read now; none if there is nothing after all.
fn piece(from: &ReadHalf<'_>) -> Option<Piece> {
    let mut buffer = [0; PIECE];
    match from.try_read(&mut buffer) {
        Ok(0) => Some(Piece::End(Ok(()))),
        Ok(len) => Some(Piece::Bytes(buffer[..len].to_vec())),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        Err(error) => Some(Piece::End(Err(error))),
    }
}

/// Passes on what comes one way, each piece at its time and none while the way is cut, until its end, which waits as well.
async fn way(
    head: Vec<u8>,
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    pair: Pair,
    ways: &Ways,
    eye: &impl Eye,
) -> io::Result<()> {
    let before = ways.hushed(pair);
    let mut rng = ChaCha8Rng::seed_from_u64(ways.seed ^ (pair.0 as u64) << 32 ^ pair.1 as u64 ^ 1 << 63);
    let mut due = |before: Instant| {
        let weather = ways.weather.borrow();
        let far = weather.far.get(&pair).copied().unwrap_or_default();
        before.max(Instant::now() + far + weather.delay.mul_f64(rng.random::<f64>()))
    };
    let mut last = due(Instant::now());
    let (mut held, mut open, mut halved) = (head.len(), true, false);
    let mut waiting = VecDeque::from([(last, Piece::Bytes(head))]);
    loop {
        let first = waiting.front().map(|(due, _)| *due);
        let sends = async {
            sleep_until(first.unwrap_or(last)).await;
            ways.mended(pair).await;
        };
        tokio::select! {
            () = sends, if first.is_some() => match waiting.pop_front() {
                Some((_, Piece::Bytes(mut bytes))) => {
                    held -= bytes.len();
                    let hushed = ways.hushed(pair);
                    if hushed[0] != before[0] || halved {
                        continue;
                    }
                    if hushed[1] != before[1] && bytes.len() > 1 {
                        bytes.truncate(bytes.len() / 2);
                        halved = true;
                    }
                    if let Err(error) = to.write_all(&bytes).await {
                        // That the other end is gone is heard by the way back.
                        ways.mended((pair.1, pair.0)).await;
                        return Err(error);
                    }
                    eye.written(pair, &bytes);
                }
                // Whoever is at the end of a hushed way does not hear of it.
                Some((_, Piece::End(_))) if halved || ways.hushed(pair)[0] != before[0] => pending::<()>().await,
                Some((_, Piece::End(Ok(())))) => return to.shutdown().await,
                Some((_, Piece::End(broken))) => return broken,
                None => {}
            },
            ready = from.readable(), if open && held < MOST_WAITING => {
                ready?;
                if let Some(piece) = piece(&from) {
                    last = due(last);
                    match &piece {
                        Piece::Bytes(bytes) => {
                            held += bytes.len();
                            eye.read(pair, bytes);
                        }
                        Piece::End(_) => {
                            open = false;
                            eye.closed(pair);
                        }
                    }
                    waiting.push_back((last, piece));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::{Ipv4Addr, TcpListener, TcpStream};
    use std::time::Instant;

    use super::*;
    use crate::Relays;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    /// Relays before two gateways, of which the second echoes what it gets.
    fn relays(port: u16) -> (Relays, TcpStream) {
        let own = Ipv4Addr::new(127, 200, 7, 9);
        let echo = TcpListener::bind((own, 0)).expect("a port");
        let behind = [SocketAddr::from((own, 9)), echo.local_addr().expect("bound")];
        thread::spawn(move || {
            for mut stream in echo.incoming().map_while(Result::ok) {
                thread::spawn(move || {
                    let mut other = stream.try_clone().ok()?;
                    io::copy(&mut stream, &mut other).ok()
                });
            }
        });
        let relays = Relays::start(own, port, &behind, 7).expect("free places");
        let from = connect(&relays, 1);
        (relays, from)
    }

    fn connect(relays: &Relays, to: usize) -> TcpStream {
        let mut stream = TcpStream::connect(relays.addr(to)).expect("it listens");
        stream.set_read_timeout(Some(MS(5_000))).expect("a socket");
        stream.write_all(b"\x01\x02g0").expect("a socket");
        stream
    }

    /// Says a word and waits for its echo: how long that took.
    fn echoed(stream: &mut TcpStream, word: &str, within: Duration) -> Option<Duration> {
        let start = Instant::now();
        stream.set_read_timeout(Some(within)).ok()?;
        stream.write_all(word.as_bytes()).ok()?;
        let mut back = vec![0; word.len()];
        stream.read_exact(&mut back).ok()?;
        assert_eq!(back, word.as_bytes());
        Some(start.elapsed())
    }

    fn greeted(stream: &mut TcpStream) {
        let mut back = [0; 4];
        stream.read_exact(&mut back).expect("the hello's echo");
        assert_eq!(&back, b"\x01\x02g0");
    }

    #[test]
    fn bytes_wait_in_order_while_their_way_is_cut() {
        for cut in [(0, 1), (1, 0)] {
            let (relays, mut old) = relays(21_000);
            greeted(&mut old);
            assert!(echoed(&mut old, "before", MS(2_000)).is_some());
            relays.weather(|weather| weather.cuts.extend([cut]));
            assert_eq!(echoed(&mut old, "one", MS(150)), None, "{cut:?}");
            let mut new = connect(&relays, 1);
            new.set_read_timeout(Some(MS(150))).expect("a socket");
            assert!(new.read(&mut [0; 1]).is_err(), "{cut:?}: a new connection is cut as well");
            new.set_read_timeout(Some(MS(5_000))).expect("a socket");
            relays.weather(|weather| weather.cuts.clear());
            let mut back = [0; 3];
            old.set_read_timeout(Some(MS(5_000))).expect("a socket");
            old.read_exact(&mut back).expect("mended");
            assert_eq!(&back, b"one");
            greeted(&mut new);
            assert!(echoed(&mut new, "after", MS(2_000)).is_some());
        }
    }

    #[test]
    fn far_ways_take_their_time_each_way() {
        let (relays, mut stream) = relays(21_100);
        greeted(&mut stream);
        relays.weather(|weather| weather.far.extend([((0, 1), MS(60)), ((1, 0), MS(40))]));
        let took = echoed(&mut stream, "word", MS(5_000)).expect("late, not lost");
        assert!(took >= MS(100) && took < MS(1_000), "{took:?}");
    }

    #[test]
    fn a_gateway_that_is_not_there_refuses_and_a_reset_ends_what_is_open() {
        let (relays, mut stream) = relays(21_200);
        greeted(&mut stream);
        let start = Instant::now();
        let ended = |stream: &mut TcpStream| stream.read(&mut [0; 8]).map_err(|error| error.kind());
        assert_eq!(ended(&mut connect(&relays, 0)), Err(io::ErrorKind::ConnectionReset));
        relays.reset(1, 0);
        assert_eq!(ended(&mut stream), Err(io::ErrorKind::ConnectionReset));
        assert!(start.elapsed() < MS(2_000), "at once, not by a timeout");
        let mut new = connect(&relays, 1);
        greeted(&mut new);
    }
}
