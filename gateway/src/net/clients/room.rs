//! Bytes that are set aside for clients' long messages before those are read on.

use std::collections::VecDeque;
use std::time::Instant;

use yewroute_ledger::Grant;

use super::Clients;
use crate::net::client::LongMessage;
use crate::net::poller::Poller;
use crate::net::Input;
use crate::proto::pg::code;

impl Clients {
    /// Sees that bytes are set aside for a client's long message, or no longer; true if it may go on reading.
    pub(super) fn settle_reservation(&mut self, now: Instant, number: u64) -> bool {
        let Some(client) = self.clients.get_mut(&number).filter(|client| client.long.is_some()) else {
            self.room.release(number);
            return false;
        };
        let Some(LongMessage::Announced(len)) = client.long else { return false };
        match self.room.reserve(number, len) {
            Grant::Given => client.hold(now, len),
            Grant::Waits => client.long = Some(LongMessage::AwaitsMemory(len)),
            Grant::Never => {
                client.close_with_error(code::LIMIT, "a statement beyond the memory for statements")
            }
        }
        client.long != Some(LongMessage::AwaitsMemory(len))
    }

    /// Lets those in whose turn has come. Guards against: a message that waits on when the client that held the memory was
    /// dropped or the limit was raised, of which nothing else tells it. So it is called in each turn of the loop as well.
    pub(in crate::net) fn admit_waiting_messages(
        &mut self,
        now: Instant,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        while let Some((number, grant)) = self.room.next_turn() {
            let Some(client) = self.clients.get_mut(&number) else {
                self.room.release(number);
                continue;
            };
            match (grant, client.long) {
                (Grant::Given, Some(LongMessage::AwaitsMemory(len))) => client.hold(now, len),
                _ => client.close_with_error(code::LIMIT, "a statement beyond the memory for statements"),
            }
            self.work_on(now, number, poller, inbox);
            self.settle_reservation(now, number);
        }
    }
}

/// Bytes for long messages, of those for all statements: an eighth is left to short ones.
pub(super) fn long_bytes(statement_bytes: usize) -> usize {
    statement_bytes - statement_bytes / 8
}
