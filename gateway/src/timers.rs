//! A heap of timers. One that is no longer wanted is left in and passed over by whoever set it.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

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
