//! A heap of timers. One that is no longer wanted is left in and passed over by whoever set it, until most are such.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Fewer unwanted timers than this are left in.
const MIN_PRUNED: usize = 512;

/// Timers, each with a thing to do.
pub struct Timers<T> {
    heap: BinaryHeap<Timer<T>>,
    set: u64,
}

struct Timer<T> {
    at: Instant,
    /// Of timers due at once, the first set goes first.
    number: u64,
    what: T,
}

impl<T> Timers<T> {
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), set: 0 }
    }

    pub fn set(&mut self, at: Instant, what: T) {
        self.set += 1;
        self.heap.push(Timer { at, number: self.set, what });
    }

    /// Throws away those that are no longer wanted, if they may be most of them, where there are so many `live` ones.
    ///
    /// Guards against: timers of requests that are over, kept up to the longest deadline while others come at full speed.
    pub fn prune(&mut self, live: usize, wanted: impl Fn(&T) -> bool) {
        if self.heap.len() > 2 * live + MIN_PRUNED {
            self.heap.retain(|timer| wanted(&timer.what));
            self.heap.shrink_to(2 * self.heap.len() + MIN_PRUNED);
        }
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|timer| timer.at)
    }

    /// Takes one that is due.
    pub fn due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|timer| timer.what)
    }
}

impl<T> Ord for Timer<T> {
    // The heap gives its greatest, so the earliest is the greatest here.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Timer<T> {}
