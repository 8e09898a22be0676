//! One primary and one replica, and when requests reached them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::*;

/// When requests reached the db hosts.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// A primary and a replica that record when each request reaches them.
pub struct RecordedPair {
    primary: Host,
    replica: Host,
    arrivals: Arrivals,
}

impl RecordedPair {
    pub fn new() -> Self {
        let arrivals = Arrivals::default();
        let host = |primary| {
            let arrivals = Arc::clone(&arrivals);
            Host::start(move |query| {
                arrivals.lock().unwrap().push(Instant::now());
                well(primary, query)
            })
        };
        Self { primary: host(true), replica: host(false), arrivals }
    }

    /// The list of both; the replica is in the given state.
    pub fn list(&self, version: u32, full: bool, state: &str) -> String {
        let primary = entry("s-a", &self.primary, "primary", "Ready", 0);
        list(version, full, &[primary, entry("s-b", &self.replica, "replica", state, 0)])
    }

    pub fn gateway(&self, discovery: SocketAddr, settings: &str) -> Gateway {
        Gateway::told_by(discovery, &pair(&self.primary, &self.replica), settings)
    }

    /// A gateway with a console.
    pub fn operated_gateway(&self, discovery: SocketAddr) -> Gateway {
        Gateway::operated_by(discovery, &pair(&self.primary, &self.replica))
    }

    /// Requests that reached either of them within a span after `from`.
    pub fn arrivals(&self, from: Instant, span: Duration) -> Vec<Duration> {
        let arrivals = self.arrivals.lock().unwrap();
        let after = arrivals.iter().filter_map(|at| at.checked_duration_since(from));
        after.filter(|after| *after < span).collect()
    }
}

/// How many reads were served and how many were not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    pub served: usize,
    pub refused: usize,
}

/// Sends reads one after the other until `end`, and counts those sent from `start` on.
pub fn read_until(gateway: &Gateway, start: Instant, end: Instant) -> Reads {
    const READ_INTERVAL: Duration = Duration::from_millis(10);
    /// As long as the class allows: less marks a repeat, which is refused sooner.
    const READ_WAIT_MS: u32 = 1_200;
    let (mut reads, mut client) = (Reads::default(), gateway.client());
    while Instant::now() < end {
        let counts = Instant::now() >= start;
        let served = client.ask(&statement("view", READ_WAIT_MS, "")) == b"TDCZ";
        reads.served += usize::from(counts && served);
        reads.refused += usize::from(counts && !served);
        thread::sleep(READ_INTERVAL);
    }
    reads
}
