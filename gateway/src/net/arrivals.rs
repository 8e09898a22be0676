//! When the bytes that a client has sent ahead arrived.
//!
//! A client counts the time that it waits for an answer from sending the request. Of one that was sent behind others on
//! its connection a part of that time is over when its turn comes, so the arrival of each message is kept until then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Reads this close together count as one, at the time of the first.
const MERGE_WITHIN: Duration = Duration::from_millis(5);
/// Arrivals that are kept. Beyond that neighbours are merged, so that older ones are told apart less and less.
const MAX_ARRIVALS: usize = 64;

/// Bytes that came together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Arrival times of the bytes in a buffer, from its front on.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    kept: VecDeque<Arrival>,
}

impl Arrivals {
    /// So many bytes have been appended to the buffer.
    pub(super) fn append(&mut self, now: Instant, bytes: usize) {
        match self.kept.back_mut() {
            Some(last) if now.saturating_duration_since(last.at) < MERGE_WITHIN => last.bytes += bytes,
            _ => self.kept.push_back(Arrival { bytes, at: now }),
        }
        if self.kept.len() > MAX_ARRIVALS {
            self.merge_neighbours();
        }
    }

    /// Merges each two that came after one another; both count as arrived with the first. The newest is kept as it is.
    ///
    /// Guards against: a message that comes in many pieces counted as arrived with one in its middle, so that its time seems over.
    fn merge_neighbours(&mut self) {
        let newest = self.kept.pop_back();
        let pairs = self.kept.make_contiguous().chunks(2);
        let merged = pairs
            .map(|pair| Arrival { bytes: pair.iter().map(|arrival| arrival.bytes).sum(), at: pair[0].at });
        self.kept = merged.chain(newest).collect();
    }

    /// So many bytes have been taken off the buffer's front.
    pub(super) fn remove(&mut self, mut bytes: usize) {
        while let Some(first) = self.kept.front_mut() {
            if first.bytes > bytes {
                first.bytes -= bytes;
                return;
            }
            bytes -= first.bytes;
            self.kept.pop_front();
        }
    }

    /// How long ago the first `end` bytes of the buffer had all arrived.
    pub(super) fn age(&self, now: Instant, end: usize) -> Duration {
        let mut bytes = 0;
        let last = self.kept.iter().find(|arrival| {
            bytes += arrival.bytes;
            bytes >= end
        });
        last.map_or(Duration::ZERO, |arrival| now.saturating_duration_since(arrival.at))
    }
}

#[cfg(test)]
mod tests;
