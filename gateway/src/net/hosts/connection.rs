//! One connection to a db host: what it is used for, and what has come of the answer.

use std::net::SocketAddr;
use std::time::Instant;

use yewroute::interface::{Role, ServerId, Status};
use yewroute_ledger::BytePermit;

use super::HostsContext;
use crate::core::{AttemptId, Ended, HostNote};
use crate::memory_plan::UNPAID_ANSWER;
use crate::net::poller::{Interest, Token};
use crate::net::wire::Wire;
use crate::proto::pg::backend::{self, Gather, Reply, Verdict};
use crate::proto::pg::exchange::{Prepared, Sent};
use crate::proto::pg::load_report;
use crate::proto::pg::separator::SeparatorSequence;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum JobId {
    Attempt(AttemptId),
    Probe(ServerId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Connecting,
    /// Connected, not welcomed yet.
    Starting,
    Idle(Instant),
    Busy(JobId),
}

/// A connection.
pub(super) struct HostConnection {
    pub(super) server: ServerId,
    pub(super) addr: SocketAddr,
    pub(super) wire: Wire,
    pub(super) state: State,
    pub(super) buffer: Vec<u8>,
    pub(super) gather: Gather,
    separators: SeparatorSequence,
    /// What has been prepared on it, and what was written last.
    pub(super) prepared: Prepared,
    pub(super) sent: Sent,
    /// Part of an answer has come.
    pub(super) begun: bool,
    /// When bytes of an answer came last; and its value is passed on as it comes, paused or not.
    pub(super) moved: Instant,
    pub(super) passing: bool,
    pub(super) paused: bool,
    /// It is not read from, as there are no bytes for its answer; and those that are set aside.
    pub(super) starved: bool,
    pub(super) answer_permit: Option<BytePermit>,
    /// An attempt is being written, whose last byte is not out yet.
    pub(super) forwarding: bool,
    pub(super) writable: bool,
}

impl HostConnection {
    /// One that is being dialled.
    pub(super) fn new(now: Instant, server: ServerId, addr: SocketAddr, wire: Wire) -> Self {
        Self {
            server,
            addr,
            wire,
            state: State::Connecting,
            buffer: Vec::new(),
            gather: Gather::default(),
            separators: SeparatorSequence::default(),
            prepared: Prepared::default(),
            sent: Sent::default(),
            begun: false,
            moved: now,
            passing: false,
            paused: false,
            starved: false,
            answer_permit: None,
            forwarding: false,
            writable: false,
        }
    }

    /// Bytes that its buffers take, used or not.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.buffer.capacity() + self.gather.held_bytes() + self.wire.buffer_bytes()
    }

    /// Writes what sets the next exchange apart from the one before it. Guards against: bytes behind an answer, such as a second copy
    /// of it, that are taken for the answer to the next request.
    pub(super) fn put_separators(&mut self) {
        let count = self.separators.put(self.wire.out());
        self.gather.expect_separators(count);
    }

    /// No exchange has been written on it.
    pub(super) fn is_unused(&self) -> bool {
        self.separators == SeparatorSequence::default()
    }

    /// All has been written without which it cannot run.
    pub(super) fn may_have_run(&self) -> bool {
        self.wire.unwritten() <= self.sent.tail
    }

    /// Writes what there is room for, and asks to be woken for the rest.
    pub(super) fn flush(
        &mut self,
        number: u64,
        forwards: &mut u64,
        a: &mut HostsContext,
    ) -> std::io::Result<()> {
        let writable = !self.wire.flush()?;
        if self.forwarding && !writable {
            self.forwarding = false;
            *forwards += 1;
        }
        if writable != self.writable || self.state == State::Starting {
            self.writable = writable;
            self.listen(number, a)?;
        }
        Ok(())
    }

    /// Asks to be woken for what is wanted.
    fn listen(&self, number: u64, a: &HostsContext) -> std::io::Result<()> {
        let interest = Interest { read: !self.paused && !self.starved, write: self.writable };
        a.poller.change(&self.wire, Token::Host(number), interest)
    }

    /// Bytes that its answer takes once the message that is coming is whole.
    pub(super) fn answer_bytes(&self) -> usize {
        self.gather.held_bytes() + self.gather.stated(&self.buffer).unwrap_or(0)
    }

    /// Bytes that it may take as things stand.
    pub(super) fn paid_bytes(&self) -> usize {
        self.answer_permit.as_ref().map_or(UNPAID_ANSWER, BytePermit::bytes)
    }

    /// Stops reading for want of bytes, or goes on.
    pub(super) fn starve(&mut self, number: u64, starved: bool, a: &HostsContext) -> std::io::Result<()> {
        (self.starved, self.moved) = (starved, a.now);
        self.listen(number, a)
    }

    /// Stops reading, or goes on.
    pub(super) fn pause(&mut self, number: u64, paused: bool, a: &HostsContext) -> std::io::Result<()> {
        if self.paused == paused {
            return Ok(());
        }
        (self.paused, self.moved) = (paused, a.now);
        self.listen(number, a)
    }
}

/// An answer as the core has it, which has just been read. Guards against: a position that seems to lie ahead of the clock, as this
/// process was held up between the begin of the turn and the reading.
pub(super) fn ended(id: JobId, reply: Reply) -> Ended {
    let status = match reply.verdict {
        // The statement's own fault is an answer as well: every db host would give it.
        Verdict::Served | Verdict::Rejected => Status::Good,
        Verdict::Miss => Status::Miss,
        Verdict::TurnedAway | Verdict::Lost => Status::Full,
        Verdict::Error => Status::Error,
    };
    let role = |role: backend::Role| match role {
        backend::Role::Primary => Role::Primary,
        backend::Role::Replica => Role::Replica,
    };
    let probe = matches!(id, JobId::Probe(_));
    let row = if probe { std::str::from_utf8(reply.value()).ok() } else { None };
    let report = reply.load.as_deref().or(row);
    let load = report.map(load_report::load);
    let status = match (status, load) {
        // The probe has no other answer than a report: one that cannot be read is as good as none.
        (Status::Good, None | Some(None)) if probe => Status::Spoilt,
        _ => status,
    };
    let load = load.flatten().unwrap_or_default();
    let note = HostNote {
        role: reply.role.map(role),
        applied_ms: reply.applied_ms,
        report_position: load.x0,
        report_role: load.x1.map(role),
        received: Some(Instant::now()),
    };
    Ended { status, served: if probe { Vec::new() } else { reply.messages }, note }
}
