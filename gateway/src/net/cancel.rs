//! What clients are told to cancel their requests by, and whose request a cancel request names.

use std::hash::{BuildHasher, RandomState};

use crate::proto::pg::frontend::CancelKey;

/// The secrets of all connections, made out of their numbers and a key of this process's own.
#[derive(Default)]
pub struct CancelKeys(RandomState);

impl CancelKeys {
    /// The key of the connection with this number.
    pub fn of(&self, number: u64) -> CancelKey {
        CancelKey { process: low(number), secret: low(self.0.hash_one(number)) }
    }

    /// The number of the connection that has this key, if it is none newer than `newest`.
    pub fn number(&self, key: CancelKey, newest: u64) -> Option<u64> {
        // The process ID holds the lower half of the number: it belongs to the newest connections.
        let number = (newest & !LOW) | u64::from(key.process);
        let number = if number > newest { number.checked_sub(LOW + 1)? } else { number };
        (self.of(number) == key).then_some(number)
    }
}

const LOW: u64 = u32::MAX as u64;

fn low(number: u64) -> u32 {
    (number & LOW) as u32
}

#[cfg(test)]
mod tests;
