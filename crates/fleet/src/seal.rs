//! The outermost layer of a datagram: format, sender's stream, counter, and a keyed hash over all of it.
//!
//! Layout: format (1 byte), stream (8), counter (8), hash (16, the first half of a keyed BLAKE3), body. Numbers are
//! little-endian. The key is the fleet's; who holds it is believed.

use std::collections::HashMap;

use thiserror::Error;

/// The format that is written, and the oldest that is read. A newer one is counted and dropped: who has it keeps to the
/// older until all have moved.
pub const FORMAT: u8 = 1;
const OLDEST: u8 = 1;
/// The longest datagram, in bytes: it fits any path without being cut.
pub const LONGEST: usize = 1_200;
const HEAD: usize = 1 + 8 + 8;
const HASH: usize = 16;
/// What is left for the body.
pub const ROOM: usize = LONGEST - HEAD - HASH;
/// How far behind the newest a counter may be, for datagrams that overtake each other.
const WINDOW: u64 = 64;
/// Streams remembered.
const MOST_STREAMS: usize = 4_096;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// It is longer than any, or too short for a head.
    #[error("size")]
    Size,
    /// It is of a release to come, or of one long gone.
    #[error("format")]
    Format,
    /// It was not made with the fleet's key.
    #[error("forged")]
    Forged,
    /// It has come before, or too late to tell.
    #[error("replayed")]
    Replayed,
    /// It, or a row in it, is of a kind that a later release has brought; the rest was taken.
    #[error("newer")]
    Newer,
    /// The body cannot be read.
    #[error("malformed")]
    Malformed,
    /// There is no room for one more member.
    #[error("full")]
    Full,
}

/// What has come of one stream: the highest counter, and which of those just below it.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    highest: u64,
    below: u64,
    used: u64,
}

impl Seen {
    /// Takes a counter once.
    fn take(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let by = counter - self.highest;
            self.below = if by >= WINDOW { 0 } else { self.below << by };
            if by <= WINDOW && self.highest > 0 {
                self.below |= 1 << (by - 1);
            }
            self.highest = counter;
            return true;
        }
        let back = self.highest - counter;
        if back == 0 || back > WINDOW || self.below & (1 << (back - 1)) != 0 {
            return false;
        }
        self.below |= 1 << (back - 1);
        true
    }
}

/// Makes datagrams and opens those of others.
pub struct Seal {
    key: [u8; 32],
    stream: u64,
    counter: u64,
    seen: HashMap<u64, Seen>,
    opened: u64,
}

impl Seal {
    /// With the fleet's key; `stream` is this process's own and no other's.
    #[must_use]
    pub fn new(key: [u8; 32], stream: u64) -> Self {
        Self { key, stream, counter: 0, seen: HashMap::new(), opened: 0 }
    }

    fn hash(&self, head: &[u8], body: &[u8]) -> [u8; HASH] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(head).update(body);
        let mut hash = [0; HASH];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH]);
        hash
    }

    /// The datagram with this body, of [`ROOM`] bytes at the most.
    #[must_use]
    pub fn close(&mut self, body: &[u8]) -> Vec<u8> {
        self.counter += 1;
        let mut out = Vec::with_capacity(HEAD + HASH + body.len());
        out.push(FORMAT);
        out.extend(self.stream.to_le_bytes());
        out.extend(self.counter.to_le_bytes());
        let hash = self.hash(&out, body);
        out.extend(hash);
        out.extend(body);
        out
    }

    /// The body of a datagram that has come, once.
    ///
    /// # Errors
    /// Why it is dropped.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<&'a [u8], Dropped> {
        if !(HEAD + HASH..=LONGEST).contains(&datagram.len()) {
            return Err(Dropped::Size);
        }
        if !(OLDEST..=FORMAT).contains(&datagram[0]) {
            return Err(Dropped::Format);
        }
        let (head, rest) = datagram.split_at(HEAD);
        let (hash, body) = rest.split_at(HASH);
        // Guards against: a comparison whose time tells how much of a guess was right.
        let wrong = self.hash(head, body).iter().zip(hash).fold(0, |wrong, (a, b)| wrong | (a ^ b));
        if wrong != 0 {
            return Err(Dropped::Forged);
        }
        let number = |at: usize| u64::from_le_bytes(head[at..at + 8].try_into().unwrap_or_default());
        let (stream, counter) = (number(1), number(9));
        if stream == self.stream {
            return Err(Dropped::Replayed);
        }
        self.opened += 1;
        if self.seen.len() >= MOST_STREAMS && !self.seen.contains_key(&stream) {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.used).map(|(stream, _)| *stream);
            oldest.map(|stream| self.seen.remove(&stream));
        }
        let seen = self.seen.entry(stream).or_default();
        seen.used = self.opened;
        if seen.take(counter) {
            Ok(body)
        } else {
            Err(Dropped::Replayed)
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use proptest::prelude::*;

    use super::*;

    #[test]
    fn what_is_forged_cut_foreign_newer_or_repeated_is_dropped_for_its_reason() {
        let (mut own, mut other) = (Seal::new([1; 32], 1), Seal::new([1; 32], 2));
        let sent = other.close(b"body");
        for at in 0..sent.len() {
            let mut bent = sent.clone();
            bent[at] ^= 1;
            let why = if at == 0 { Dropped::Format } else { Dropped::Forged };
            assert_eq!(own.open(&bent), Err(why), "byte {at}");
            let cut = own.open(&sent[..at]);
            assert!(matches!(cut, Err(Dropped::Size | Dropped::Forged)), "cut at {at}: {cut:?}");
        }
        assert_eq!(own.open(&Seal::new([2; 32], 2).close(b"body")), Err(Dropped::Forged), "another key");
        assert_eq!(own.open(&vec![FORMAT; LONGEST + 1]), Err(Dropped::Size));
        assert_eq!(own.open(&sent), Ok(&b"body"[..]));
        assert_eq!(own.open(&sent), Err(Dropped::Replayed));
        let mine = own.close(b"mine");
        assert_eq!(own.open(&mine), Err(Dropped::Replayed), "its own, sent back");
    }

    #[test]
    fn streams_are_bounded_and_the_one_unheard_for_longest_goes() {
        let mut own = Seal::new([1; 32], 0);
        for stream in 1..=MOST_STREAMS as u64 + 10 {
            assert!(own.open(&Seal::new([1; 32], stream).close(b"")).is_ok());
        }
        assert_eq!(own.seen.len(), MOST_STREAMS);
        assert!(!own.seen.contains_key(&1) && own.seen.contains_key(&11));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_counter_is_taken_once_and_within_the_window_always(
            counters in proptest::collection::vec(1_u64..400, 1..400)
        ) {
            let (mut seen, mut taken, mut highest) = (Seen::default(), BTreeSet::new(), 0);
            for counter in counters {
                let fresh = seen.take(counter);
                prop_assert!(!(fresh && taken.contains(&counter)), "twice");
                let within = counter + WINDOW >= highest && highest > 0;
                prop_assert!(fresh || taken.contains(&counter) || !within, "{counter} lost at {highest}");
                if fresh { taken.insert(counter); }
                highest = highest.max(counter);
            }
        }
    }
}
