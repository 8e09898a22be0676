//! Hands clients their final answers: one for each request, whatever happens.

use std::time::Instant;

use tracing::error;
use yewroute::interface::{Effect as Repeats, Event, RequestId};

use super::{Answer, AttemptId, ClientId, Core, Effect, End, Held, Payload, Reason};

impl Answer {
    /// What a request that gets this counts as.
    pub(super) fn end(&self) -> End {
        match self {
            Self::Served(_) => End::Succeeded,
            Self::Refused { .. } | Self::OutOfTurn { .. } => End::Declined,
            Self::Failed | Self::Cancelled | Self::Invalid(_) => End::Aborted,
        }
    }
}

impl<B: Payload> Core<B> {
    /// The final answer; a request that is not held any more has had its own.
    pub(super) fn relay(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect<B>>) {
        // Guards against: an answer in the middle of a value.
        let whole = matches!(answer, Answer::Served(_));
        if !whole && self.held.get(&id).is_some_and(|held| held.passing) {
            return;
        }
        if let Some(held) = self.release(id, answer.end()) {
            self.orders.answered(id, &answer);
            effects.push(Effect::Answer(held.client, answer));
            self.settle_order(id);
        }
    }

    /// A client has gone: nothing more is owed. What is out goes on, since db hosts do not stop for it, and
    /// its end still teaches the module.
    pub(super) fn leave(&mut self, now: Instant, client: ClientId, effects: &mut Vec<Effect<B>>) {
        let Some(id) = self.by_client.get(&client).copied() else { return };
        let held = self.release(id, End::Aborted);
        match held.map(|held| (held.out, held.passing)) {
            Some((Some(out), true)) => self.abandon_value(now, out, effects),
            Some((Some(out), false)) => self.withdraw(out, effects),
            Some((None, _)) | None => {}
        }
        self.route(now, Event::Gone(id), effects);
        self.settle_order(id);
    }

    /// A client cancels its request. It is answered at once, and nothing more is sent for it; what is out goes on, as for a
    /// client that has gone. A value that is being passed on is not cut off.
    pub(super) fn cancel(&mut self, now: Instant, client: ClientId, effects: &mut Vec<Effect<B>>) {
        let Some(id) = self.by_client.get(&client).copied() else { return };
        let Some(held) = self.held.get(&id).filter(|held| !held.passing) else { return };
        let out = held.out;
        let repeatable = self.deployment.module.classes[held.class].effect == Repeats::Idempotent;
        let may_have_effect = !repeatable && (held.reached || out.is_some());
        let answer = if may_have_effect { Answer::Failed } else { Answer::Cancelled };
        self.end_unserved(id, answer, Reason::Cancelled, effects);
        out.into_iter().for_each(|out| self.withdraw(out, effects));
        self.route(now, Event::Gone(id), effects);
    }

    /// Nobody waits for an attempt any more; its id stays known while it may run.
    fn withdraw(&mut self, out: AttemptId, effects: &mut Vec<Effect<B>>) {
        if let Some(digest) = self.attempts.get(&out).and_then(|attempt| attempt.digest) {
            self.ids.abandon(digest, out);
        }
        effects.push(Effect::Withdraw(out));
    }

    /// Guards against: a request that nobody answers, such as one whose attempt never ends. The module ends
    /// each in time; this is the last line behind it.
    pub(super) fn overdue(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect<B>>) {
        // A value that is being passed on ends by itself, or its client or db host is given up.
        let held = self.held.get(&id).filter(|held| !held.passing);
        let Some(out) = held.map(|held| held.out) else { return };
        if self.is_parked(id) {
            self.too_late(id, effects);
            return;
        }
        error!(attempt_out = out.is_some(), "request overdue: failed by the gateway itself");
        self.end_unserved(id, Answer::Failed, Reason::Overdue, effects);
        out.into_iter().for_each(|out| self.withdraw(out, effects));
        self.route(now, Event::Gone(id), effects);
    }

    /// A request has ended: it is counted, and its statement is dropped unless an attempt still has it.
    pub(super) fn release(&mut self, id: RequestId, end: End) -> Option<Held<B>> {
        let held = self.held.remove(&id)?;
        self.tally.count(Some(held.class), end);
        self.by_client.remove(&held.client);
        self.names.remove(&held.name);
        Some(held)
    }
}
