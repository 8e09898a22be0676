//! Answers to clients, whole or as they come, and the memory that those take which are not read.

use std::collections::VecDeque;
use std::time::Instant;

use tracing::warn;

use super::{Clients, MAX_VALUE_WINDOW, MIN_VALUE_WINDOW};
use crate::core::{Answer, ClientId};
use crate::net::client::Phase;
use crate::net::poller::Poller;
use crate::net::wire::CHUNK;
use crate::net::Input;
use crate::proto::pg::session::Final;

impl Clients {
    /// Bytes of answers that clients have not taken yet.
    pub(super) fn unwritten(&self) -> usize {
        self.clients.values().map(|client| client.wire.unwritten()).sum()
    }

    /// Hands a client its answer.
    pub fn answer(
        &mut self,
        now: Instant,
        ClientId(number): ClientId,
        answer: Answer,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        // Guards against: long answers to clients that do not read them, which together fill the memory. Such
        // a request has failed; whether it took effect, only its value would tell.
        let answer = match answer {
            Answer::Served(value)
                if value.len() > CHUNK && self.unwritten() + value.len() > self.most_bytes =>
            {
                warn!("out of memory for answers: one request failed");
                Answer::Failed
            }
            answer => answer,
        };
        let Some(client) = self.clients.get_mut(&number) else { return };
        let answer = match answer {
            Answer::Served(messages) => Final::Served(messages),
            Answer::Refused { retry_after } => Final::Refused(retry_after),
            Answer::Failed => Final::Failed,
            Answer::Cancelled => Final::Cancelled,
            Answer::OutOfTurn { full, why, retry_after } => Final::OutOfTurn(full, why, retry_after),
            Answer::Invalid(why) => Final::Invalid(why),
        };
        client.session.answered(answer, &mut self.table, client.wire.out());
        client.prompt = true;
        client.phase = Phase::Idle(now);
        (client.passing, client.full) = (false, false);
        self.work(now, number, poller, inbox);
    }

    /// Passes bytes of a long value on to a client, and asks for a pause when its share of the memory waits there.
    pub fn pass(
        &mut self,
        now: Instant,
        ClientId(number): ClientId,
        bytes: &[u8],
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        (client.passing, client.prompt) = (true, true);
        client.wire.out().extend(bytes);
        self.work(now, number, poller, inbox);
        let waits = self.clients.get(&number).map_or(0, |client| client.wire.unwritten());
        if waits > MIN_VALUE_WINDOW && waits > self.window() {
            if let Some(client) = self.clients.get_mut(&number).filter(|client| !client.full) {
                client.full = true;
                inbox.push_back(Input::Full(ClientId(number)));
            }
        }
    }

    /// Bytes of a value that may wait for a client: a share of the memory, of as many as there are.
    pub(super) fn window(&self) -> usize {
        let passing = self.clients.values().filter(|client| client.passing).count();
        (self.most_bytes / passing.max(1)).clamp(MIN_VALUE_WINDOW, MAX_VALUE_WINDOW)
    }

    /// A value has broken off: the end of its connection within a message tells the client.
    pub fn break_off(
        &mut self,
        now: Instant,
        ClientId(number): ClientId,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        (client.phase, client.passing, client.buffer) = (Phase::Closing, false, Vec::new());
        self.work(now, number, poller, inbox);
    }
}
