//! Books what came of attempts and probes, and what the list says.

use std::time::{Duration, Instant};

use tracing::warn;
use yewroute::interface::{Event, ListKind, Note, Outcome, Report, Role, ServerId, Status};
use yewroute_fleet::load::End;

use super::{Answer, Attempt, AttemptId, Core, Effect, Ended, HostNote, Payload};
use crate::clock::Clock;
use crate::proto::catalog::Members;

impl<B: Payload> Core<B> {
    pub(super) fn book(&mut self, now: Instant, id: AttemptId, ended: Ended, effects: &mut Vec<Effect<B>>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.end_id(id, &attempt, ended.status);
        self.end_spent(id, attempt.sent, ended.status);
        self.note_failed_attempt(id, &attempt, ended.status);
        let (request, _) = id;
        self.orders.ended(request, &ended);
        let answered = matches!(ended.status, Status::Good | Status::Error | Status::Full | Status::Miss);
        let took = answered.then(|| attempt.elapsed(now));
        self.book_load(now, attempt.host, took, &ended.note, true);
        self.book_proof(now, id, &attempt, &ended);
        self.book_reach(now, &attempt, &ended);
        if attempt.first_byte.is_some() {
            self.end_value(now, id, &attempt, ended, effects);
            self.settle_order(request);
            return;
        }
        if ended.status == Status::Good {
            self.relay(request, Answer::Served(ended.served), effects);
        }
        let held = self.held.get_mut(&request);
        let finished = held.is_none();
        if let Some(held) = held {
            held.out = None;
            held.may_have_run |= !ended.status.never_ran();
            held.reached |= !matches!(ended.status, Status::ConnectFailed | Status::NotSent | Status::HeldUp);
        }
        self.check_clock(now, &ended.note, effects);
        let outcome = Outcome { finished, ..self.outcome(now, id, &attempt, ended.status, ended.note) };
        let failed = outcome.status != Status::Good;
        self.route(now, Event::Outcome(outcome), effects);
        if failed {
            self.forgive_late(now, &attempt, effects);
        }
        self.settle_order(request);
    }

    /// An attempt has ended. An id of which nothing can have run is forgotten.
    fn end_id(&mut self, id: AttemptId, attempt: &Attempt, status: Status) {
        let Some(digest) = attempt.digest else { return };
        self.ids.ended(digest, id);
        let first = id.1 == 0;
        let ran_before = self.held.get(&id.0).map_or(!first, |held| held.may_have_run);
        if status.never_ran() && !ran_before {
            self.ids.forget(digest);
        }
    }

    /// Corrects the clock by what servers say. Those that the list has as started lately are cold by the corrected one.
    fn check_clock(&mut self, now: Instant, note: &HostNote, effects: &mut Vec<Effect<B>>) {
        let (Some(role), Some(unix_ms)) = (note.role, note.applied_ms) else { return };
        let Some(offset) = self.clock_check.position(now, role, unix_ms, &mut self.clock) else { return };
        warn!(?offset, "wall clock is off: corrected by the positions of db hosts");
        for (server, started) in self.directory.restarted(now, &self.clock) {
            self.route(now, Event::Restarted { server, started }, effects);
        }
    }

    /// What other gateways are told of it. `counted` where it was sent as an attempt.
    pub(super) fn book_load(
        &mut self,
        now: Instant,
        host: Option<(u64, u64)>,
        answered: Option<Duration>,
        note: &HostNote,
        counted: bool,
    ) {
        let (Some(loads), Some((host, group))) = (&mut self.loads, host) else { return };
        let end = End {
            host,
            group,
            answered,
            primary: note.role == Some(Role::Primary),
            position_ms: note.applied_ms,
        };
        loads.ended(now, &end, counted);
    }

    /// The end of an attempt whose request is over, as the module has it.
    pub(super) fn outcome(
        &self,
        now: Instant,
        (request, number): AttemptId,
        attempt: &Attempt,
        status: Status,
        note: HostNote,
    ) -> Outcome {
        Outcome {
            request,
            attempt: number,
            server: attempt.server,
            status,
            elapsed: attempt.elapsed(now),
            finished: true,
            note: Note {
                role: note.role,
                position: note.applied_ms.and_then(|ms| self.clock.applied(now, ms)),
            },
            report: report(now, &note, &self.clock),
        }
    }

    pub(super) fn book_probe(
        &mut self,
        now: Instant,
        server: ServerId,
        ended: &Ended,
        effects: &mut Vec<Effect<B>>,
    ) {
        let host = self.directory.member(server).map(|listed| (listed.name, listed.group));
        self.book_load(now, host, None, &ended.note, false);
        self.prove_by_probe(now, server, ended.status);
        let event =
            Event::Probed { server, status: ended.status, report: report(now, &ended.note, &self.clock) };
        self.route(now, event, effects);
    }

    pub(super) fn book_members(&mut self, now: Instant, members: Members, effects: &mut Vec<Effect<B>>) {
        let kind = if members.full { ListKind::Whole } else { ListKind::Patch };
        let entries = self.directory.learn(now, &members, &self.clock);
        self.route(now, Event::List { kind, entries }, effects);
    }

    pub(super) fn book_broken_watch(&mut self, now: Instant, effects: &mut Vec<Effect<B>>) {
        self.route(now, Event::List { kind: ListKind::Broken, entries: Vec::new() }, effects);
    }
}

fn report(now: Instant, note: &HostNote, clock: &Clock) -> Report {
    Report { role: note.report_role, position: note.report_position.and_then(|at| clock.reported(now, at)) }
}
