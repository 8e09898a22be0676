//! Bytes set aside for long messages, in the order of asking.
//!
//! A message is read on only once all its bytes are set aside, so nobody waits while holding a part, and those who hold
//! can always go on: there is no circle of half-read messages that wait for each other. Nobody overtakes, so a long one
//! is not passed over for ever by shorter ones.
#![forbid(unsafe_code)]

use std::collections::{HashMap, VecDeque};

/// What became of a question for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are set aside.
    Given,
    /// They will be, in turn.
    Waits,
    /// There is never so much room.
    Never,
}

/// Who has how many bytes, and who waits.
#[derive(Debug)]
pub struct Ledger {
    most: usize,
    /// The most that there may ever be room for, where `most` is narrowed for a while.
    widest: usize,
    held: usize,
    given: HashMap<u64, usize>,
    waiting: VecDeque<(u64, usize)>,
}

impl Ledger {
    /// Room for `most` bytes.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { most, widest: most, held: 0, given: HashMap::new(), waiting: VecDeque::new() }
    }

    /// Room for so many bytes from now on, and for `widest` later. What is given stays given; what fits only later waits.
    pub fn limit(&mut self, most: usize, widest: usize) {
        (self.most, self.widest) = (most, widest);
    }

    /// Bytes set aside.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Nothing is set aside and nobody waits.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.given.is_empty() && self.waiting.is_empty()
    }

    /// Asks for bytes for `who`, who neither has any nor waits.
    pub fn reserve(&mut self, who: u64, bytes: usize) -> Grant {
        if bytes > self.widest {
            return Grant::Never;
        }
        if self.waiting.is_empty() && self.held + bytes <= self.most {
            self.give(who, bytes);
            return Grant::Given;
        }
        self.waiting.push_back((who, bytes));
        Grant::Waits
    }

    fn give(&mut self, who: u64, bytes: usize) {
        self.held += bytes;
        let before = self.given.insert(who, bytes);
        debug_assert!(before.is_none(), "asked twice");
        self.held -= before.unwrap_or(0);
    }

    /// `who` needs its bytes no more, or waits no more.
    pub fn release(&mut self, who: u64) {
        if self.is_unused() {
            return;
        }
        if let Some(bytes) = self.given.remove(&who) {
            self.held -= bytes;
        } else {
            self.waiting.retain(|(waiting, _)| *waiting != who);
        }
    }

    /// The next of those waiting whose turn has come, with its bytes; or one for which there is no room any more.
    pub fn next_turn(&mut self) -> Option<(u64, Grant)> {
        let (who, bytes) = *self.waiting.front()?;
        let grant = match self.held + bytes <= self.most {
            true => Grant::Given,
            false if bytes > self.widest => Grant::Never,
            false => return None,
        };
        self.waiting.pop_front();
        if grant == Grant::Given {
            self.give(who, bytes);
        }
        Some((who, grant))
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;

    #[test]
    fn those_beyond_the_room_wait_in_order_and_shorter_ones_do_not_overtake() {
        let mut ledger = Ledger::new(10);
        assert_eq!(ledger.reserve(1, 8), Grant::Given);
        assert_eq!([ledger.reserve(2, 6), ledger.reserve(3, 1)], [Grant::Waits; 2]);
        assert_eq!(ledger.reserve(4, 11), Grant::Never);
        assert_eq!(ledger.next_turn(), None);
        ledger.release(1);
        assert_eq!(
            [ledger.next_turn(), ledger.next_turn(), ledger.next_turn()],
            [Some((2, Grant::Given)), Some((3, Grant::Given)), None]
        );
        assert_eq!(ledger.held(), 7);
    }

    #[test]
    fn one_that_leaves_the_queue_frees_those_behind_it_and_a_smaller_limit_ends_a_wait() {
        let mut ledger = Ledger::new(10);
        ledger.reserve(1, 5);
        ledger.reserve(2, 9);
        ledger.reserve(3, 5);
        ledger.release(2);
        assert_eq!(ledger.next_turn(), Some((3, Grant::Given)));
        ledger.reserve(4, 9);
        ledger.limit(6, 10);
        assert_eq!(ledger.next_turn(), None, "narrowed for a while only");
        ledger.limit(6, 6);
        assert_eq!(ledger.next_turn(), Some((4, Grant::Never)));
        assert_eq!(ledger.held(), 10, "what is given stays given");
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: RngSeed::Fixed(5),
            ..ProptestConfig::default() })]

        #[test]
        fn no_byte_is_lost_and_everybody_gets_a_turn(steps in prop::collection::vec((any::<bool>(), 1_usize..14), 1..80)) {
            let mut ledger = Ledger::new(12);
            let (mut have, mut wait) = (HashMap::new(), VecDeque::new());
            for (number, (asks, bytes)) in steps.into_iter().enumerate() {
                let who = number as u64;
                if asks {
                    match ledger.reserve(who, bytes) {
                        Grant::Given => drop(have.insert(who, bytes)),
                        Grant::Waits => wait.push_back((who, bytes)),
                        Grant::Never => prop_assert!(bytes > 12),
                    }
                } else {
                    // The one that came first leaves, whether it has its bytes or waits.
                    let first = have.keys().chain(wait.iter().map(|(who, _)| who)).min().copied();
                    first.into_iter().for_each(|who| {
                        ledger.release(who);
                        have.remove(&who);
                        wait.retain(|(other, _)| *other != who);
                    });
                }
                while let Some((who, grant)) = ledger.next_turn() {
                    prop_assert_eq!((grant, wait.front().map(|(first, _)| *first)), (Grant::Given, Some(who)));
                    have.insert(who, wait.pop_front().expect("looked at").1);
                }
                prop_assert_eq!(ledger.held(), have.values().sum::<usize>());
                prop_assert!(ledger.held() <= 12);
                prop_assert!(wait.front().is_none_or(|(_, bytes)| ledger.held() + bytes > 12), "no needless wait");
            }
            let all: HashSet<u64> = have.keys().copied().collect();
            all.into_iter().for_each(|who| ledger.release(who));
            while let Some((who, _)) = ledger.next_turn() {
                ledger.release(who);
            }
            prop_assert_eq!(ledger.held(), 0);
        }
    }
}
