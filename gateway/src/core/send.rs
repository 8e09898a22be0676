//! Starts attempts.

use std::time::{Duration, Instant};

use yewroute::interface::{Event, Note, Outcome, Report, RequestId, ServerId, Status};

use super::request_ids::{window, SentId};
use super::{Attempt, AttemptId, Core, Effect, Payload};

/// So long before half of a request's time an attempt has to have a connection, if no db host has seen the request;
/// and one that is tried elsewhere after that.
const BEFORE_HALF: Duration = Duration::from_millis(20);
const LAST: Duration = Duration::from_millis(5);

impl<B: Payload> Core<B> {
    /// Whether an attempt that has waited for a connection may still begin: its client is there, and the module would send
    /// it there now.
    pub fn may_begin(&self, now: Instant, attempt: AttemptId) -> bool {
        let wanted = self.held.get(&attempt.0).is_some_and(|held| held.out == Some(attempt));
        let sent = self.attempts.get(&attempt).filter(|_| wanted);
        sent.is_some_and(|sent| self.router.may_begin(now, attempt.0, sent.server))
    }

    /// Until when the client of an attempt waits; none if that has left.
    pub fn client_waits_until(&self, attempt: AttemptId) -> Option<Instant> {
        let held = self.held.get(&attempt.0).filter(|held| held.out == Some(attempt));
        held.map(|held| held.deadline)
    }

    /// How long the answer to an attempt may stop in the middle; none if it is awaited for as long as its client waits.
    pub fn answer_stall_timeout(&self, now: Instant, attempt: AttemptId) -> Option<Duration> {
        self.router.answer_stall_timeout(now, attempt.0)
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        id: RequestId,
        server: ServerId,
        cut_at: Instant,
        effects: &mut Vec<Effect<B>>,
    ) {
        // Guards against: a channel's request sent by a gateway that is its home no more.
        let spent = if self.orders.barred(now, id) { None } else { self.spend(now, id) };
        // Guards against: two attempts of a request out at once. The module never asks for it.
        let sendable = self.held.get(&id).filter(|held| held.out.is_none());
        let body = sendable.and_then(|held| held.body.clone());
        let digest = self.held.get(&id).and_then(|held| held.digest);
        let (number, body, class, half_at) = match (self.held.get_mut(&id), body) {
            (Some(held), _) if spent.is_none() => {
                held.sends += 1;
                let number = held.sends - 1;
                // The module's to say whether it is refused or failed; then its attempt is over.
                self.events.push_back(Event::Barred(id));
                self.events.push_back(Event::Outcome(unsent(id, number, server)));
                return;
            }
            (Some(held), Some(body)) => {
                let number = held.sends;
                held.sends += 1;
                held.out = Some((id, number));
                let half_at = Some(held.half_at).filter(|_| !held.reached);
                (number, body, held.class, half_at)
            }
            (held, _) => {
                if let Some(spent) = spent.flatten() {
                    spent.give_back();
                }
                let number = held.map_or(0, |held| {
                    held.sends += 1;
                    held.sends - 1
                });
                self.events.push_back(Event::Outcome(unsent(id, number, server)));
                return;
            }
        };
        let attempt = (id, number);
        let send_by = spent.iter().flatten().next().map(|spent| self.send_by(now, spent));
        let spent = spent.flatten();
        self.spending.sent(attempt, spent.clone());
        let begin_by = half_at.and_then(|half| begin_by(now, half));
        let host = self.directory.member(server).map(|listed| (listed.name, listed.group));
        if let (Some(loads), Some((name, _))) = (&mut self.loads, host) {
            loads.sent(name);
        }
        if let (Some(digest), Some(window)) = (digest, window(&self.deployment.module.classes[class])) {
            self.ids.sent(now, SentId { digest, window });
        }
        let sent =
            Attempt { server, digest, host, sent: now, first_byte: None, booked: false, class, told: 0 };
        self.attempts.insert(attempt, sent);
        let permit = self.orders.sent(id);
        effects.push(Effect::Start { attempt, server, body, begin_by, cut_at, permit, send_by, spent });
    }
}

/// Guards against: a request that is held past half of its time and then refused, when its client has no time to go
/// elsewhere. From the last moment before half on, only a connection that is up already is used.
fn begin_by(now: Instant, half: Instant) -> Option<Instant> {
    let (first, last) = (half.checked_sub(BEFORE_HALF)?, half.checked_sub(LAST)?);
    (now < half).then(|| if now < first { first } else { last.max(now) })
}

fn unsent(request: RequestId, attempt: u32, server: ServerId) -> Outcome {
    Outcome {
        request,
        attempt,
        server,
        status: Status::NotSent,
        elapsed: Duration::ZERO,
        finished: true,
        note: Note::default(),
        report: Report::default(),
    }
}
