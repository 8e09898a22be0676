//! What a recording comes to: rates, outcomes and times, by side and class.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::conversation::{Outcome, Request};

/// How finely times are told apart; a histogram takes as much memory as its longest time needs.
const DIGITS: u8 = 3;
const LONGEST_US: u64 = 3_600_000_000;
/// Seconds whose counts are kept at once; a recording is nearly in order.
const SECONDS: usize = 4096;
/// Classes and sides beyond so many are counted together.
const MOST_LINES: usize = 1000;

/// What requests of one class at one server came to.
#[derive(Debug)]
pub struct Line {
    /// How many, by outcome in the order of [`Outcome`].
    pub outcomes: [u64; 5],
    /// Answer times in microseconds.
    pub times: Histogram<u64>,
}

/// Counts requests.
#[derive(Debug, Default)]
pub struct Stats {
    lines: BTreeMap<(SocketAddr, String), Line>,
    seconds: BTreeMap<u64, u64>,
    most: u64,
    first: Option<Duration>,
    last: Option<Duration>,
}

impl Stats {
    /// Counts a request.
    pub fn take(&mut self, request: &Request) {
        let mut key = (request.server, request.class.clone());
        if self.lines.len() >= MOST_LINES && !self.lines.contains_key(&key) {
            key.1 = "others".to_owned();
        }
        let line = self.lines.entry(key).or_insert_with(|| Line {
            outcomes: [0; 5],
            times: Histogram::new(DIGITS).expect("as many digits as a histogram has"),
        });
        line.outcomes[request.outcome as usize] += 1;
        if let (Some(answered), Outcome::Served) = (request.answered, request.outcome) {
            let span = answered.saturating_sub(request.at).as_micros();
            // A histogram that grows as it needs; an hour is as long as any.
            let span = u64::try_from(span).unwrap_or(u64::MAX).min(LONGEST_US);
            let _ = line.times.record(span);
        }
        let count = self.seconds.entry(request.at.as_secs()).or_default();
        *count += 1;
        self.most = self.most.max(*count);
        if self.seconds.len() > SECONDS {
            self.seconds.pop_first();
        }
        self.first = Some(self.first.map_or(request.at, |first| first.min(request.at)));
        self.last = Some(self.last.map_or(request.at, |last| last.max(request.at)));
    }

    /// Each server and class with what its requests came to.
    pub fn lines(&self) -> impl Iterator<Item = (&SocketAddr, &str, &Line)> {
        self.lines.iter().map(|((server, class), line)| (server, class.as_str(), line))
    }

    /// From the first to the last request, and the most within one second.
    #[must_use]
    pub fn span(&self) -> (Duration, u64) {
        let span = self.last.unwrap_or_default().saturating_sub(self.first.unwrap_or_default());
        (span, self.most)
    }
}
