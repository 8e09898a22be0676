//! The way between gateways and db hosts: for each pair a relay that delays, stalls and resets as told, and sees which
//! requests are out on it.

use std::collections::{BTreeSet, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::held;

/// How often a relay that waits looks at what it is told.
const GRAIN: Duration = Duration::from_millis(20);

/// An attempt as it is seen on the way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's `id`.
    pub id: String,
    /// It changes data.
    pub writes: bool,
    /// From which gateway, to which db host.
    pub link: (usize, usize),
    /// When it was sent.
    pub from: Instant,
    /// When it was answered, or its connection was closed.
    pub to: Option<Instant>,
}

#[derive(Default)]
struct Shared {
    /// Gateway and db host whose link passes nothing on.
    stalled: Mutex<BTreeSet<(usize, usize)>>,
    delay_us: AtomicU64,
    /// Connections of each link that were reset, by count.
    resets: Mutex<HashMap<(usize, usize), u64>>,
    attempts: Mutex<Vec<Attempt>>,
    over: AtomicBool,
}

/// All links.
pub struct Links {
    shared: Arc<Shared>,
    addrs: Vec<Vec<SocketAddr>>,
}

impl Links {
    /// A link from each gateway to each of these db hosts.
    ///
    /// # Errors
    /// The system has no port.
    pub fn start(hosts: &[SocketAddr], gateways: usize) -> io::Result<Arc<Self>> {
        let (shared, mut addrs) = (Arc::new(Shared::default()), Vec::new());
        for gateway in 0..gateways {
            let mut own = Vec::new();
            for (n, host) in hosts.iter().copied().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                own.push(listener.local_addr()?);
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        if shared.over.load(Ordering::SeqCst) {
                            return;
                        }
                        let shared = Arc::clone(&shared);
                        thread::spawn(move || join(stream, host, (gateway, n), &shared));
                    }
                });
            }
            addrs.push(own);
        }
        Ok(Arc::new(Self { shared, addrs }))
    }

    /// Where a gateway reaches a db host.
    #[must_use]
    pub fn addr(&self, gateway: usize, host: usize) -> SocketAddr {
        self.addrs[gateway][host]
    }

    fn pairs(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        let hosts =
            |(gateway, own): (usize, &Vec<SocketAddr>)| (0..own.len()).map(move |host| (gateway, host));
        self.addrs.iter().enumerate().flat_map(hosts)
    }

    /// Links that pass nothing on from now on; all others do.
    pub fn stall(&self, which: impl Fn(usize, usize) -> bool) {
        *held(&self.shared.stalled) = self.pairs().filter(|(gateway, host)| which(*gateway, *host)).collect();
    }

    /// Ends all connections of these links.
    pub fn reset(&self, which: impl Fn(usize, usize) -> bool) {
        let mut resets = held(&self.shared.resets);
        for pair in self.pairs().filter(|(gateway, host)| which(*gateway, *host)) {
            *resets.entry(pair).or_default() += 1;
        }
    }

    /// How long everything takes on its way to a db host.
    pub fn delay(&self, delay: Duration) {
        self.shared.delay_us.store(u64::try_from(delay.as_micros()).unwrap_or(0), Ordering::SeqCst);
    }

    /// All attempts that were seen.
    #[must_use]
    pub fn attempts(&self) -> Vec<Attempt> {
        held(&self.shared.attempts).clone()
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

/// The `id` in a statement.
fn id_in(bytes: &[u8]) -> Option<String> {
    let at = bytes.windows(6).position(|window| window == b"/* id=")? + 6;
    let id: Vec<u8> = bytes[at..].iter().copied().take_while(u8::is_ascii_alphanumeric).collect();
    String::from_utf8(id).ok()
}

fn join(near: TcpStream, host: SocketAddr, link: (usize, usize), shared: &Arc<Shared>) -> Option<()> {
    let far = TcpStream::connect(host).ok()?;
    let ends = (near.try_clone().ok()?, far.try_clone().ok()?);
    let out = Arc::new(Mutex::new(None));
    let (back, other) = (Arc::clone(shared), Arc::clone(&out));
    thread::spawn(move || copy(ends.1, ends.0, link, &back, &other, false));
    copy(near, far, link, shared, &out, true);
    Some(())
}

/// Passes on what comes, one way, until either end closes.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    link: (usize, usize),
    shared: &Shared,
    out: &Mutex<Option<usize>>,
    forth: bool,
) {
    let resets = || held(&shared.resets).get(&link).copied().unwrap_or(0);
    let before = resets();
    let _ = from.set_read_timeout(Some(GRAIN));
    let _ = to.set_read_timeout(Some(GRAIN));
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; 64 * 1024];
    while !shared.over.load(Ordering::SeqCst) && resets() == before {
        let len = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(len) => len,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        let mut at = held(out);
        if let Some(id) = id_in(&buffer[..len]).filter(|_| forth) {
            let mut attempts = held(&shared.attempts);
            *at = Some(attempts.len());
            let writes = buffer[..len].windows(6).any(|window| window == b"INSERT");
            attempts.push(Attempt { id, writes, link, from: Instant::now(), to: None });
        }
        drop(at);
        if forth {
            thread::sleep(Duration::from_micros(shared.delay_us.load(Ordering::SeqCst)));
        }
        let gateway = if forth { &from } else { &to };
        let stalled = || held(&shared.stalled).contains(&link) && !shared.over.load(Ordering::SeqCst);
        while stalled() && resets() == before {
            // The gateway may close its side meanwhile.
            match gateway.peek(&mut [0]) {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Ok(1) => thread::sleep(GRAIN),
                _ => {
                    answered(shared, out);
                    break;
                }
            }
        }
        if to.write_all(&buffer[..len]).is_err() {
            break;
        }
        if !forth {
            answered(shared, out);
        }
    }
    answered(shared, out);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// What is out on a connection is out no more.
fn answered(shared: &Shared, out: &Mutex<Option<usize>>) {
    let Some(at) = held(out).take() else { return };
    if let Some(attempt) = held(&shared.attempts).get_mut(at) {
        attempt.to = Some(Instant::now());
    }
}
