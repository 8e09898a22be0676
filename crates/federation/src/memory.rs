//! Links of memory, for tests: any of them can be cut, and goes on where it was once it is mended.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{split, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::links::{Link, Linked, Links};

/// Bytes that a link holds.
const HELD: usize = 64 * 1024;
/// How long bytes take.
const WAY: Duration = Duration::from_millis(1);

/// Pieces that a link holds.
const PIECES: usize = 1_024;

/// From one place to another.
type Way = (SocketAddr, SocketAddr);

/// What is on the way.
#[derive(Debug, Default)]
struct Faults {
    cuts: BTreeSet<Way>,
    late: BTreeMap<Way, Duration>,
}

/// A network of memory.
#[derive(Clone)]
pub struct Memory {
    doors: Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<Link>>>>,
    faults: Arc<watch::Sender<Faults>>,
}

/// One gateway's place in it.
pub struct Place {
    net: Memory,
    me: SocketAddr,
    door: tokio::sync::Mutex<mpsc::Receiver<Link>>,
}

impl Default for Memory {
    fn default() -> Self {
        Self { doors: Arc::default(), faults: Arc::new(watch::channel(Faults::default()).0) }
    }
}

impl Memory {
    /// A place at this address; what was there before is there no more.
    #[must_use]
    pub fn place(&self, me: SocketAddr) -> Place {
        let (door, comes) = mpsc::channel(256);
        self.doors.lock().unwrap_or_else(PoisonError::into_inner).insert(me, door);
        Place { net: self.clone(), me, door: tokio::sync::Mutex::new(comes) }
    }

    /// What goes from one to the other does not arrive until the cut is mended; both are silent, not closed.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        self.faults.send_modify(|faults| {
            faults.cuts.insert((from, to));
        });
    }

    /// What goes from one to the other takes so much longer from now on, in order; connections come up as ever.
    pub fn delay(&self, from: SocketAddr, to: SocketAddr, late: Duration) {
        self.faults.send_modify(|faults| {
            faults.late.insert((from, to), late);
        });
    }

    /// Ends all cuts.
    pub fn mend(&self) {
        self.faults.send_modify(|faults| faults.cuts.clear());
    }
}

/// Waits until nothing is cut that way.
async fn whole(faults: &mut watch::Receiver<Faults>, way: Way) {
    // It fails once the network is gone, and then nothing waits for it any more.
    let _ = faults.wait_for(|faults| !faults.cuts.contains(&way)).await;
}

/// Reads what is to go one way, and dates each piece with when it arrives.
async fn carry(
    mut from: ReadHalf<DuplexStream>,
    to: WriteHalf<DuplexStream>,
    way: Way,
    faults: watch::Receiver<Faults>,
) {
    let (pieces, arriving) = mpsc::channel(PIECES);
    tokio::spawn(deliver(arriving, to, way, faults.clone()));
    let mut bytes = vec![0; HELD];
    while let Ok(len @ 1..) = from.read(&mut bytes).await {
        let late = faults.borrow().late.get(&way).copied().unwrap_or_default();
        if pieces.send((Instant::now() + WAY + late, bytes[..len].to_vec())).await.is_err() {
            return;
        }
    }
}

/// Writes each piece when it arrives, in order.
async fn deliver(
    mut pieces: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut to: WriteHalf<DuplexStream>,
    way: Way,
    mut faults: watch::Receiver<Faults>,
) {
    while let Some((at, piece)) = pieces.recv().await {
        sleep_until(at).await;
        whole(&mut faults, way).await;
        if to.write_all(&piece).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

impl Links for Place {
    fn dial(&self, to: SocketAddr) -> Linked<'_> {
        Box::pin(async move {
            let mut faults = self.net.faults.subscribe();
            whole(&mut faults, (self.me, to)).await;
            whole(&mut faults, (to, self.me)).await;
            let door = self.net.doors.lock().unwrap_or_else(PoisonError::into_inner).get(&to).cloned();
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            let (own, mine) = tokio::io::duplex(HELD);
            let (theirs, other) = tokio::io::duplex(HELD);
            door.ok_or_else(refused)?.send(Box::new(other)).await.map_err(|_| refused())?;
            let ((my_read, my_write), (their_read, their_write)) = (split(mine), split(theirs));
            tokio::spawn(carry(my_read, their_write, (self.me, to), self.net.faults.subscribe()));
            tokio::spawn(carry(their_read, my_write, (to, self.me), self.net.faults.subscribe()));
            Ok(Box::new(own) as Link)
        })
    }

    fn accept(&self) -> Linked<'_> {
        Box::pin(async move {
            match self.door.lock().await.recv().await {
                Some(link) => Ok(link),
                None => Err(io::ErrorKind::ConnectionAborted.into()),
            }
        })
    }
}
