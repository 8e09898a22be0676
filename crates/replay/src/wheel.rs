//! A wheel of due events, in milliseconds.
//!
//! Four rings of 256 slots: the first has a slot for each of the next 256 ms, each further one slots 256 times as long.
//! An event goes into the ring that its distance calls for and moves inwards as time comes nearer, at most three times.
//! Setting one and taking one due cost the same however many there are; a heap's cost grows with their number.

use std::collections::VecDeque;

const RINGS: usize = 4;
const SLOTS: usize = 256;
const BITS: u32 = 8;
/// The farthest that an event is told apart; one beyond waits there and is looked at again.
const FARTHEST: u64 = (1 << (BITS * RINGS as u32)) - 1;

/// Events, each due at a millisecond.
#[derive(Debug)]
pub struct Wheel<T> {
    rings: Vec<Vec<Vec<(u64, T)>>>,
    /// Due, in the order of their times.
    ready: VecDeque<(u64, T)>,
    now: u64,
    len: usize,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        let ring = || (0..SLOTS).map(|_| Vec::new()).collect();
        Self { rings: (0..RINGS).map(|_| ring()).collect(), ready: VecDeque::new(), now: 0, len: 0 }
    }
}

impl<T> Wheel<T> {
    /// How many are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// None is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets an event. One whose time has come already is due at once, behind those that are.
    pub fn set(&mut self, at: u64, what: T) {
        self.len += 1;
        self.place(at, what);
    }

    fn place(&mut self, at: u64, what: T) {
        if at <= self.now {
            self.ready.push_back((at, what));
            return;
        }
        let until = at.min(self.now.saturating_add(FARTHEST));
        // The highest bits in which its time differs from now tell its ring.
        let differ = (until ^ self.now) | 1;
        let ring = ((63 - differ.leading_zeros()) / BITS).min(RINGS as u32 - 1);
        let slot = (until >> (ring * BITS)) as usize % SLOTS;
        self.rings[ring as usize][slot].push((at, what));
    }

    /// Takes an event that is due at `now`, the earliest first.
    pub fn due(&mut self, now: u64) -> Option<(u64, T)> {
        while self.ready.is_empty() && self.now < now && self.len > 0 {
            self.step(now);
        }
        if self.len == 0 {
            self.now = self.now.max(now);
        }
        let event = self.ready.pop_front()?;
        self.len -= 1;
        Some(event)
    }

    /// Moves on to the next millisecond that has something, or to `now`.
    fn step(&mut self, now: u64) {
        // Nothing in the inner ring: on to where the next slot of an outer ring opens.
        let inner = &self.rings[0];
        let turn = self.now | (SLOTS as u64 - 1);
        let next = (self.now + 1..=turn.min(now)).find(|at| !inner[*at as usize % SLOTS].is_empty());
        self.now = match next {
            Some(at) => at,
            None if turn >= now => {
                self.now = now;
                return;
            }
            None => turn + 1,
        };
        // Outer slots that begin now come inwards, the outermost first.
        for ring in (1..RINGS).rev() {
            let span = ring as u32 * BITS;
            if self.now.trailing_zeros() >= span {
                let slot = (self.now >> span) as usize % SLOTS;
                for (at, what) in std::mem::take(&mut self.rings[ring][slot]) {
                    self.place(at, what);
                }
            }
        }
        let slot = std::mem::take(&mut self.rings[0][self.now as usize % SLOTS]);
        for (at, what) in slot {
            self.place(at, what);
        }
    }

    /// No event is due before this; it may be early, never late. None if nothing is set.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        if !self.ready.is_empty() {
            return Some(self.now);
        }
        if self.len == 0 {
            return None;
        }
        let turn = self.now | (SLOTS as u64 - 1);
        let inner = (self.now + 1..=turn).find(|at| !self.rings[0][*at as usize % SLOTS].is_empty());
        Some(inner.unwrap_or(turn + 1))
    }
}
