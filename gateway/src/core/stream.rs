//! A value that is too long to be held, on its way from its db host to its client.
//!
//! From its first byte on the request has no other attempt and no time of its own: it ends with the value, or the value
//! breaks off and its client can tell. The module is told of a served request when the value begins, since a client
//! that reads slowly says nothing of the db host; what the db host says of itself at the end is told then.

use std::time::Instant;

use yewroute::interface::{Effect as Repeats, Event, Freshness, Status, Tokens};

use super::{Answer, Attempt, AttemptId, ClientId, Core, Effect, End, Ended, HostNote, Payload};

impl<B: Payload> Core<B> {
    /// The first bytes have come.
    pub(super) fn begin_value(
        &mut self,
        now: Instant,
        id: AttemptId,
        bytes: Vec<u8>,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.first_byte = Some(now);
        match self.held.get_mut(&id.0).filter(|held| held.out == Some(id)) {
            Some(held) => {
                held.passing = true;
                // Guards against: a long statement kept for as long as its client takes to read the value.
                held.body = None;
                let (client, class) = (held.client, held.class);
                effects.push(Effect::Pass(client, bytes));
                if !self.waits_for_commit(class) {
                    self.book_served(now, id, effects);
                }
            }
            None => self.abandon_value(now, id, effects),
        }
    }

    /// More of it has come.
    pub(super) fn pass_on(&mut self, id: AttemptId, bytes: Vec<u8>, effects: &mut Vec<Effect<B>>) {
        if let Some(held) = self.held.get(&id.0).filter(|held| held.passing) {
            effects.push(Effect::Pass(held.client, bytes));
        }
    }

    /// It is over, whole or not.
    pub(super) fn end_value(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: &Attempt,
        ended: Ended,
        effects: &mut Vec<Effect<B>>,
    ) {
        let (status, note) = (ended.status, ended.note);
        if status == Status::Good {
            self.relay(id.0, Answer::Served(ended.served), effects);
        } else if let Some(held) = self.release(id.0, End::Aborted) {
            effects.push(Effect::BreakOff(held.client));
        }
        // Where it has been booked the module knows the attempt no more, and only learns what is said here.
        let outcome = self.outcome(now, id, attempt, status, note);
        self.route(now, Event::Outcome(outcome), effects);
    }

    /// Nobody wants it any more.
    pub(super) fn abandon_value(&mut self, now: Instant, id: AttemptId, effects: &mut Vec<Effect<B>>) {
        effects.push(Effect::Abandon(id));
        self.book_served(now, id, effects);
        self.orders.abandoned(id.0);
        if let Some(attempt) = self.attempts.remove(&id) {
            self.end_spent(id, attempt.sent, Status::Cancelled);
            let took = attempt.elapsed(now);
            self.book_load(now, attempt.host, Some(took), &HostNote::default(), true);
        }
    }

    /// A client's side is full, or has room again.
    pub(super) fn throttle(&self, client: ClientId, full: bool, effects: &mut Vec<Effect<B>>) {
        let held = self.by_client.get(&client).and_then(|id| self.held.get(id));
        if let Some(id) = held.filter(|held| held.passing).and_then(|held| held.out) {
            effects.push(if full { Effect::Pause(id) } else { Effect::Resume(id) });
        }
    }

    /// Guards against: a session's write that its next read does not see. Where commits are remembered the module has to
    /// have the commit before the request is over, and it comes behind the value.
    fn waits_for_commit(&self, class: usize) -> bool {
        let settings = &self.deployment.module;
        let class = &settings.classes[class];
        let writes = class.freshness == Freshness::Write || class.effect != Repeats::Idempotent;
        settings.tokens == Tokens::Remembered && writes
    }

    /// Tells the module once that the request has been served, as of its first byte.
    fn book_served(&mut self, now: Instant, id: AttemptId, effects: &mut Vec<Effect<B>>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| !attempt.booked) else { return };
        attempt.booked = true;
        let attempt = *attempt;
        let outcome = self.outcome(now, id, &attempt, Status::Good, HostNote::default());
        self.route(now, Event::Outcome(outcome), effects);
    }
}
