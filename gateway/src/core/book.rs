//! Books what came of attempts and probes, and what the list says.

use std::time::{Duration, Instant};

use tracing::warn;
use yewroute::interface::{Event, ListKind, Note, Outcome, Report, Role, ServerId, Status};
use yewroute_fleet::load::End;

use super::{Answer, Attempt, AttemptId, Core, Effect, Ended, HostNote, Payload};
use crate::clock::{Clock, PositionSource, TimedPosition};
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
        self.check_clock(now, attempt.sent, (ended.status, &ended.note), effects);
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

    /// Compares the clock with the position in an answer to a request that was sent at `sent`.
    fn check_clock(
        &mut self,
        now: Instant,
        sent: Instant,
        (status, note): (Status, &HostNote),
        effects: &mut Vec<Effect<B>>,
    ) {
        // A full queue answers without a look at anything.
        let (Some(role), false) = (note.role, status == Status::Full) else { return };
        match note.applied_ms {
            Some(unix_ms) => {
                let (source, received) = (role.into(), note.read_by(now));
                let position = TimedPosition { source, unix_ms, sent, received };
                self.compare_clock(now, &position, effects);
            }
            None if role == Role::Primary => {
                self.clock_check.observe_unstamped(note.read_by(now));
                self.tell_clock_confirmed(now, effects);
            }
            None => {}
        }
    }

    /// The same with a load report.
    fn check_clock_by_report(&mut self, now: Instant, note: &HostNote, effects: &mut Vec<Effect<B>>) {
        let Some(seconds) = note.report_position else { return };
        let Ok(told) = Duration::try_from_secs_f64(seconds) else { return };
        let unix_ms = u64::try_from(told.as_millis()).unwrap_or(u64::MAX);
        let source = match note.report_role {
            Some(Role::Primary) => PositionSource::PrimaryReport,
            _ => PositionSource::Replica,
        };
        let position = TimedPosition { source, unix_ms, sent: now, received: note.read_by(now) };
        self.compare_clock(now, &position, effects);
    }

    /// Compares the clock with a position. Once it is corrected, the module dates by the corrected one what it was told by the other.
    fn compare_clock(&mut self, now: Instant, position: &TimedPosition, effects: &mut Vec<Effect<B>>) {
        if let Some(offset) = self.clock_check.observe(position, &mut self.clock) {
            warn!(?offset, "wall clock is off: corrected by the positions of db hosts");
            self.route(now, Event::ClockCorrected(offset), effects);
            for (server, started) in self.directory.restarted(now, &self.clock) {
                self.route(now, Event::Restarted { server, started }, effects);
            }
        }
        self.tell_clock_confirmed(now, effects);
    }

    fn tell_clock_confirmed(&mut self, now: Instant, effects: &mut Vec<Effect<B>>) {
        let confirmed = self.clock_check.is_confirmed();
        if std::mem::replace(&mut self.clock_confirmed, confirmed) != confirmed {
            self.route(now, Event::ClockConfirmed(confirmed), effects);
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
                position: note.applied_ms.and_then(|ms| self.clock.applied(note.read_by(now), ms)),
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
        self.check_clock_by_report(now, &ended.note, effects);
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
    let position = note.report_position.and_then(|at| clock.reported(note.read_by(now), at));
    Report { role: note.report_role, position }
}
