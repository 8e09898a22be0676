//! All connections of a recording, as a sink for reassembled bytes.

use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;
use yewroute_reassembly::{Direction, Ending, Sink};

use crate::conversation::{Conversation, Counts, Request};

/// Hands each request on once its answer is whole, or its connection at its end.
pub struct Requests<F> {
    conversations: HashMap<u64, Conversation>,
    counts: Counts,
    out: F,
}

impl<F: FnMut(Request)> Requests<F> {
    /// Hands requests to `out`, in the order of their ends.
    pub fn new(out: F) -> Self {
        Self { conversations: HashMap::new(), counts: Counts::default(), out }
    }

    /// What connections that have ended held beside requests.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

impl<F: FnMut(Request)> Sink for Requests<F> {
    fn opened(&mut self, number: u64, _: Duration, ends: (SocketAddr, SocketAddr), whole: bool) {
        self.conversations.insert(number, Conversation::new(number, ends, whole));
    }

    fn bytes(&mut self, number: u64, at: Duration, direction: Direction, bytes: &[u8]) {
        if let Some(conversation) = self.conversations.get_mut(&number) {
            conversation.bytes(at, direction as usize, bytes, &mut self.out);
        }
    }

    fn gap(&mut self, number: u64, _: Duration, _: Direction, _: u64) {
        if let Some(conversation) = self.conversations.get_mut(&number) {
            conversation.gap(&mut self.out);
        }
    }

    fn ended(&mut self, number: u64, _: Duration, _: Ending) {
        if let Some(mut conversation) = self.conversations.remove(&number) {
            conversation.end(&mut self.out);
            self.counts.add(&conversation.counts);
        }
    }
}
