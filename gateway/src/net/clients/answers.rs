//! Answers to clients, whole or as they come, and the memory that those take which are not read.

use std::collections::VecDeque;
use std::time::Instant;

use tracing::warn;

use super::closes::CloseReason;
use super::{Clients, HELD_ANSWER_TIMEOUT};
use crate::core::{Answer, ClientId};
use crate::net::client::{Client, Phase};
use crate::net::poller::Poller;
use crate::net::Input;
use crate::proto::pg::session::Final;

impl Clients {
    /// Bytes of answers that clients have not taken yet.
    pub(super) fn unwritten(&self) -> usize {
        self.clients.values().map(|client| client.wire.unwritten()).sum()
    }

    /// Bounds what the system has taken for a client and not sent yet; none once the process ends, which cannot wait for slow
    /// readers. Guards against: values cut off at that which the system would have gone on with.
    pub(super) fn unsent_limit(&self) -> Option<usize> {
        (!self.admission.ends).then_some(self.shares.unsent)
    }

    /// Sets that bound for all clients.
    pub(super) fn limit_unsent(&mut self) {
        let limit = self.unsent_limit();
        for client in self.clients.values_mut() {
            if let Err(error) = client.wire.limit_unsent(limit) {
                warn!(%error, "cannot bound what the system holds for a client");
            }
        }
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
        if let Some(client) = self.clients.get_mut(&number) {
            client.hold_answer(now, &self.answers);
        }
    }

    /// Writes what there is room for to clients that had none. Guards against: a client that reads slowly and passes for one that
    /// takes nothing, as without a bound the system tells of room only once a third of a large send buffer is free.
    pub(super) fn write_on(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        let stalled = self.clients.iter().filter(|(_, client)| client.stall.is_some());
        for number in stalled.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.work(now, number, poller, inbox);
        }
    }

    /// Gives clients up that hold on to answers while those of others wait for memory. Guards against: a crowd that reads
    /// slowly and keeps all other long answers out.
    pub(super) fn give_up_answers(&mut self, now: Instant, inbox: &mut VecDeque<Input>) {
        if !self.answers.is_short() {
            return;
        }
        let held_long = |since: Instant| now.saturating_duration_since(since) >= HELD_ANSWER_TIMEOUT;
        let holds = |client: &Client| client.holds_answer_since().is_some_and(held_long);
        let holders = self.clients.iter().filter(|(_, client)| holds(client)).map(|(number, _)| *number);
        for number in holders.collect::<Vec<_>>() {
            warn!("out of memory for answers: closed a connection whose client did not take its own");
            self.closes.count(CloseReason::Memory);
            self.remove(number, inbox);
        }
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
        if waits > self.shares.write {
            if let Some(client) = self.clients.get_mut(&number).filter(|client| !client.full) {
                client.full = true;
                inbox.push_back(Input::Full(ClientId(number)));
            }
        }
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
