//! Separators between the exchanges on a connection to a db host.
//!
//! The protocol ties an answer to its request by their order alone. A db host that writes more than its answer, such as a second
//! copy of it, would have that taken for the answer to the next request, whenever it is read behind that request's write.
//!
//! So each request but the first one on a connection is written behind empty queries, in the same write: db hosts answer them at
//! once and without effect (protocol page, "Gateways to db hosts"). Whatever they wrote before they read a request comes ahead of
//! the answers to its separators, where it is out of place. One and two separators take turns, so that a copy of a whole exchange,
//! its separators' answers included, does not fit either.

use crate::frame::Frame;

/// A simple query without a statement.
const EMPTY_QUERY: [u8; 6] = [b'Q', 0, 0, 0, 5, 0];
/// The lengths of EmptyQueryResponse and ReadyForQuery, as they count.
const EMPTY_QUERY_RESPONSE_LENGTH: usize = 4;
const READY_LENGTH: usize = 5;

/// How many separators each exchange on a connection has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeparatorSequence {
    next: u8,
}

impl SeparatorSequence {
    /// Appends the separators of the next exchange, and says how many they are: none for the first one, which follows the welcome.
    pub fn put(&mut self, out: &mut Vec<u8>) -> u8 {
        let count = self.next;
        for _ in 0..count {
            out.extend(EMPTY_QUERY);
        }
        self.next = if count == 1 { 2 } else { 1 };
        count
    }
}

/// The separators of an exchange that are not answered yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PendingSeparators {
    count: u8,
    /// EmptyQueryResponse has come for the next one.
    responded: bool,
}

impl PendingSeparators {
    pub(crate) fn new(count: u8) -> Self {
        Self { count, responded: false }
    }

    pub(crate) fn is_empty(self) -> bool {
        self.count == 0
    }

    /// The longest that a message of this type may be here, as its length counts; none if it is out of place.
    pub(crate) fn longest(self, kind: u8) -> Option<usize> {
        match kind {
            b'I' if !self.responded => Some(EMPTY_QUERY_RESPONSE_LENGTH),
            b'Z' if self.responded => Some(READY_LENGTH),
            _ => None,
        }
    }

    /// Takes EmptyQueryResponse or ReadyForQuery, which is in place; none if its inside does not fit.
    pub(crate) fn take(&mut self, frame: &Frame<'_>) -> Option<()> {
        if self.responded {
            self.count -= 1;
        }
        self.responded = !self.responded;
        let body: &[u8] = if frame.kind == b'Z' { b"I" } else { b"" };
        (frame.body == body).then_some(())
    }
}
