//! One client's connection: the messages that have come, and what is to be written.

mod long_message;
mod presence;
mod write_stall;

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use tracing::warn;
use yewroute_ledger::{ByteBudget, BytePermit, MemoryPermit};
use yewroute_lifecycle::Leaving;

use super::arrivals::Arrivals;
use super::memory_wait::MemoryWait;
use super::poller::{Interest, Poller, Token};
use super::statement::Statement;
use super::wire::{release, Taken, Wire, CHUNK};
use super::Input;
use crate::core::{Ask, ClientId, Scope};
use crate::proto::pg::code;
use crate::proto::pg::frontend::{self, CancelKey, Local, Opening};
use crate::proto::pg::request::Wanted;
use crate::proto::pg::session::{Session, Took};
use crate::proto::pg::table::Table;
pub(super) use long_message::LongMessage;
pub(super) use presence::{PRESENCE_PROBE_INTERVAL, RESET_TIMEOUT};
use write_stall::WriteStall;

/// A connection on which no query has come is closed after so long without a byte, and so is one that leaves a message
/// unfinished. A client may spend 2 s on a head.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest that a message may take in all, and one for which bytes are set aside.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// A message is long, and may take [`LONG_TIMEOUT`], from here on.
const MIN_LONG_MESSAGE: usize = 64 * 1024;
/// Reads of what is thrown away before a connection is closed at once: more than a system keeps for one that is not read.
const MAX_DISCARDED_READS: usize = 256;
/// How long a closed connection is given to take its last bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// While clients leave, a connection is given so long to say what it came for.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Before the startup message.
    Opening,
    /// Between requests.
    Idle(Instant),
    /// A request is with the core.
    Busy,
    /// Nothing more is taken; closed once all is written.
    Closing,
    /// All is written; waiting for the client to close.
    Lingering(Instant),
}

/// What one connection may take before bytes are set aside for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BufferShares {
    /// Bytes of messages that have come ahead. Bytes are set aside for a longer message before it is read on.
    pub(super) read: usize,
    /// Bytes that wait to be written, beyond which no further message is taken.
    pub(super) write: usize,
    /// Bytes that the system has taken and not sent yet.
    pub(super) unsent: usize,
}

/// A client's connection.
pub(super) struct Client {
    pub(super) wire: Wire,
    pub(super) phase: Phase,
    /// What cancels its requests; and whose request it asks to cancel.
    key: CancelKey,
    pub(super) cancels: Option<CancelKey>,
    /// What it has prepared and bound.
    pub(super) session: Session,
    /// Something is to be written that must not wait for the next answer.
    pub(super) prompt: bool,
    pub(super) buffer: Vec<u8>,
    /// When the bytes in `buffer` came.
    pub(super) arrivals: Arrivals,
    /// The client sends no more, and all that it has sent has been read; it may still read.
    pub(super) ended: bool,
    /// It has been asked whether it is still there, within [`PRESENCE_PROBE_INTERVAL`].
    pub(super) probed: bool,
    /// It may have gone, and has been asked: nothing of it is taken before a reset could have come.
    pub(super) presence_unsure: bool,
    /// No further command is read: it is closed behind the answer that is out.
    pub(super) last_command: bool,
    pub(super) interest: Interest,
    pub(super) accepted: Instant,
    /// Nothing that is read first can have come before.
    pub(super) opened_after: Instant,
    /// A query has come whole; and one that was a request, not only an empty one or a parameter's.
    pub(super) asked: bool,
    pub(super) requested: bool,
    /// It broke the protocol.
    pub(super) malformed: bool,
    /// A value is being passed on to it; and so much of it waits that no more is wanted.
    pub(super) passing: bool,
    pub(super) full: bool,
    /// A message is coming for which bytes must be set aside, or are; and the permit for them, which goes on with it.
    pub(super) long: Option<LongMessage>,
    permit: Option<MemoryPermit>,
    /// Its wait for them.
    memory_wait: Option<MemoryWait>,
    /// What it may take beside that.
    pub(super) shares: BufferShares,
    /// What its answer is paid with while it waits to be written, and since when it does.
    answer_permit: Option<BytePermit>,
    pub(super) answered_at: Option<Instant>,
    /// When bytes came last.
    pub(super) heard: Instant,
    /// Since when a message lies unfinished.
    pub(super) unfinished: Option<Instant>,
    /// Bytes wait to be written that there was no room for.
    pub(super) stall: Option<WriteStall>,
    /// Bytes that had been written before its last request; and it has been seen to read the answer to that slowly.
    written_before: u64,
    reads_slowly: bool,
}

impl Client {
    /// One that has just connected.
    pub(super) fn new(
        now: Instant,
        opened_after: Instant,
        wire: Wire,
        session: Session,
        (key, shares): (CancelKey, BufferShares),
    ) -> Self {
        Self {
            wire,
            phase: Phase::Opening,
            key,
            cancels: None,
            session,
            prompt: false,
            buffer: Vec::new(),
            arrivals: Arrivals::default(),
            ended: false,
            probed: false,
            presence_unsure: false,
            last_command: false,
            interest: Interest::READ,
            accepted: now,
            opened_after,
            asked: false,
            requested: false,
            malformed: false,
            passing: false,
            full: false,
            long: None,
            permit: None,
            memory_wait: None,
            shares,
            answer_permit: None,
            answered_at: None,
            heard: now,
            unfinished: None,
            stall: None,
            written_before: 0,
            reads_slowly: false,
        }
    }

    /// It has kept its connection for longer than it may as things stand.
    pub(super) fn overdue(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.heard);
        let age = now.saturating_duration_since(self.accepted);
        let silent = !self.asked && self.long.is_none() && (quiet >= MESSAGE_TIMEOUT || age >= HEAD_TIMEOUT);
        self.stall.is_some_and(|stall| stall.is_over(now))
            || match self.phase {
                Phase::Opening | Phase::Idle(_) => self.stall.is_none() && (silent || self.late(now)),
                Phase::Busy | Phase::Closing => false,
                Phase::Lingering(since) => now - since >= LINGER_TIMEOUT,
            }
    }

    /// A message has stopped coming, or takes too long in all. One that waits for memory is not at fault, and has an end of its
    /// own ([`MemoryWait`]).
    pub(super) fn late(&self, now: Instant) -> bool {
        let Some(since) = self.unfinished else { return false };
        let past = now.saturating_duration_since(since);
        let stopped = now.saturating_duration_since(self.heard.max(since)) >= MESSAGE_TIMEOUT;
        match self.long {
            Some(LongMessage::AwaitsMemory(_)) => false,
            Some(LongMessage::Announced(len) | LongMessage::Reserved(len)) if len <= MIN_LONG_MESSAGE => {
                stopped || past >= HEAD_TIMEOUT
            }
            Some(_) => stopped || past >= LONG_TIMEOUT,
            None => stopped || past >= HEAD_TIMEOUT,
        }
    }

    /// What is to be written can wait for the answer that is out: it only tells that a statement was parsed, bound or
    /// described, in a pipeline whose Sync or Flush is yet to come. PostgreSQL does the same; it spares a write and a
    /// wake-up for each request. A final answer never waits.
    pub(super) fn holds_back(&self) -> bool {
        let little = self.wire.unwritten() < self.shares.write;
        self.phase == Phase::Busy && self.session.open() && !self.prompt && little && self.stall.is_none()
    }

    /// An answer is owed to it, or will be unless it has gone, or has not been written whole.
    pub(super) fn awaits_answer(&self) -> bool {
        // Of one that waits for memory its client may have written the last byte.
        let may_be_whole = self.awaits_memory() || self.discards() && !self.wire.quiet();
        self.phase == Phase::Busy || self.presence_unsure || self.wire.unwritten() > 0 || may_be_whole
    }

    /// Nothing is owed on either side.
    fn between(&self) -> bool {
        matches!(self.phase, Phase::Idle(_)) && !self.session.open()
    }

    /// A part of a message has come, or a message that is not taken yet.
    pub(super) fn is_within_message(&self) -> bool {
        !self.buffer.is_empty() || self.discards()
    }

    /// It has just been answered, and nothing more of it has come.
    pub(super) fn answered_last(&self) -> bool {
        self.asked && self.between() && !self.is_within_message() && self.wire.unwritten() > 0
    }

    /// It is to go at this stage without waiting for an answer. Guards against: a request that has come and is not
    /// read yet, and a connection that has only just been made.
    pub(super) fn leaves(&self, now: Instant, leaving: Leaving) -> bool {
        let fresh = now.saturating_duration_since(self.accepted) < NEW_CONNECTION_GRACE;
        let here = match self.phase {
            Phase::Opening => true,
            Phase::Idle(_) => !self.session.open() || leaving == Leaving::Parts,
            _ => false,
        };
        // Behind answers that it does not take yet whole commands may lie, which are owed theirs.
        let parts = leaving == Leaving::Parts && self.wire.unwritten() == 0;
        let whole = !self.is_within_message() || parts;
        leaving >= Leaving::Idle && here && whole && !fresh && self.wire.quiet()
    }

    /// It has begun a pipeline and says neither more nor Sync. Guards against: portals and their rows held for
    /// a client that will never come back to them.
    pub(super) fn stalled(&self, now: Instant, than: Duration) -> bool {
        let since = if let Phase::Idle(since) = self.phase { Some(since) } else { None };
        self.session.open() && self.stall.is_none() && since.is_some_and(|since| now - since >= than)
    }

    /// Says why, and closes once that is written.
    pub(super) fn close_with_error(&mut self, sqlstate: &str, why: &str) {
        frontend::put_error(self.wire.out(), "FATAL", sqlstate, why, None);
        self.buffer = Vec::new();
        self.unfinished = None;
        self.end_long_message();
        self.phase = Phase::Closing;
    }

    /// Nothing has come that is not read yet, or it would not be taken anyway.
    pub(super) fn silent(&self) -> bool {
        matches!(self.phase, Phase::Lingering(_)) || self.wire.quiet()
    }

    /// Throws away what has come and is not read. Guards against: the last answer lost to the reset that closing over
    /// unread bytes would cause.
    pub(super) fn discard_unread(&mut self, scratch: &mut [u8]) {
        for _ in 0..MAX_DISCARDED_READS {
            if !matches!(self.wire.read(scratch, &mut self.buffer, usize::MAX), Ok(Taken::Some)) {
                return;
            }
            self.buffer.clear();
        }
    }

    /// Asks to be woken for what is wanted; false if the connection is broken.
    pub(super) fn listen(&mut self, number: u64, unwritten: bool, poller: &Poller) -> bool {
        let wanted = Interest { read: self.reads(), write: unwritten };
        if wanted == self.interest {
            return true;
        }
        self.interest = wanted;
        poller.change(&self.wire, Token::Client(number), wanted).is_ok()
    }

    /// How many bytes its buffer may have now.
    pub(super) fn most_read(&self) -> usize {
        match (self.phase, self.long) {
            (Phase::Busy, _) if self.last_command => 0,
            (_, Some(LongMessage::Announced(_) | LongMessage::AwaitsMemory(_))) => 0,
            (_, Some(LongMessage::Reserved(len))) => len,
            // Nothing of it stays, unless what has come is not taken now.
            (_, Some(LongMessage::Discarded(_))) if self.wire.unwritten() < self.shares.write => CHUNK,
            _ => self.shares.read,
        }
    }

    /// More bytes are wanted.
    pub(super) fn reads(&self) -> bool {
        !self.ended && self.buffer.len() < self.most_read()
    }

    /// Sets aside what of its answer could not be written at once, in place of what was set aside to read it.
    pub(super) fn hold_answer(&mut self, now: Instant, answers: &ByteBudget) {
        let waits = self.wire.unwritten();
        let paid = self.answer_permit.as_ref().map_or(0, BytePermit::bytes);
        if waits > self.shares.write.max(paid) {
            self.answer_permit = Some(answers.take(waits));
        }
        self.answered_at = (waits > 0).then_some(now);
    }

    /// Writes as much as there is room for; true when nothing is left.
    pub(super) fn flush(&mut self, now: Instant) -> io::Result<bool> {
        let before = self.wire.unwritten();
        let written = self.wire.flush()?;
        self.prompt &= !written;
        if written {
            self.reads_slowly |= self.stall.take().is_some_and(|stall| stall.shows_reader(now));
            self.end_answer();
            return Ok(true);
        }
        let moved = before - self.wire.unwritten();
        match &mut self.stall {
            Some(stall) if moved > 0 => stall.moved(now, moved, self.wire.most_unsent()),
            Some(_) => {}
            None => {
                let answer = self.wire.written().saturating_sub(self.written_before);
                let written = usize::try_from(answer).unwrap_or(usize::MAX);
                let stall = WriteStall::begin(now, written, self.wire.most_unsent());
                self.stall = Some(stall.with_reader(self.reads_slowly));
            }
        }
        Ok(false)
    }

    /// All is written: what was set aside for its answer is given back.
    fn end_answer(&mut self) {
        (self.answer_permit, self.answered_at) = (None, None);
    }

    /// It holds bytes that were set aside for answers, since then.
    pub(super) fn holds_answer_since(&self) -> Option<Instant> {
        self.answered_at.filter(|_| self.answer_permit.is_some())
    }

    /// Messages are taken as they come.
    pub(super) fn takes(&self) -> bool {
        matches!(self.phase, Phase::Opening | Phase::Idle(_))
    }

    /// Takes messages until one has to be waited for; true if it stopped short of that.
    pub(super) fn take_messages(
        &mut self,
        now: Instant,
        number: u64,
        yes: bool,
        table: &mut Table,
        inbox: &mut VecDeque<Input>,
    ) -> bool {
        let (mut used, mut stalled) = (0, false);
        while self.takes() {
            // Guards against: answers piling up for a client that sends and never reads.
            stalled = self.wire.unwritten() >= self.shares.write;
            if stalled {
                break;
            }
            let step = if self.phase == Phase::Opening {
                self.open(now, used).map(|len| len.map(|len| used + len))
            } else {
                self.take_message(now, number, used, yes, table, inbox)
            };
            match step {
                Ok(Some(end)) => used = end,
                Ok(None) => break,
                Err(why) => {
                    warn!(why, "closed a client's connection");
                    self.close_with_error(code::PROTOCOL_VIOLATION, &why);
                    self.malformed = true;
                    used = 0;
                }
            }
        }
        self.buffer.drain(..used);
        self.arrivals.remove(used);
        let discards = self.discards();
        let unfinished = (!self.buffer.is_empty() || discards) && self.takes() && !stalled;
        let another = used > 0 && !discards;
        self.unfinished = if another { None } else { self.unfinished }.filter(|_| unfinished);
        self.unfinished = self.unfinished.or(unfinished.then_some(now));
        release(&mut self.buffer);
        stalled
    }

    fn open(&mut self, now: Instant, from: usize) -> Result<Option<usize>, String> {
        if let Some(len) = frontend::stated_opening(&self.buffer[from..]).map_err(|e| e.to_string())? {
            if self.announces(len) {
                return Ok(None);
            }
        }
        let opening = frontend::opening(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some((opening, len)) = opening else { return Ok(None) };
        self.end_long_message();
        match opening {
            Opening::Encryption => self.wire.out().push(frontend::NO_ENCRYPTION),
            Opening::Cancel(key) => (self.cancels, self.phase) = (key, Phase::Closing),
            Opening::Startup { minor } => {
                frontend::put_welcome(self.wire.out(), minor, self.key);
                self.phase = Phase::Idle(now);
            }
            Opening::Version(major) => return Err(format!("unsupported protocol version {major}")),
        }
        Ok(Some(len))
    }

    /// Takes the message that begins at `from`, and says where it ends; none if it is not all there.
    fn take_message(
        &mut self,
        now: Instant,
        number: u64,
        from: usize,
        yes: bool,
        table: &mut Table,
        inbox: &mut VecDeque<Input>,
    ) -> Result<Option<usize>, String> {
        if let Some(LongMessage::Discarded(message)) = self.long {
            return Ok(self.discard(from, message, inbox));
        }
        let stated = frontend::stated(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some(len) = stated else { return Ok(None) };
        if self.announces(len) {
            return Ok(None);
        }
        if matches!(self.long, Some(LongMessage::Reserved(_))) && self.buffer[from] == b'Q' {
            return self.take_long(now, number, from, len, inbox);
        }
        let message = frontend::message(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some((message, len)) = message else { return Ok(None) };
        let query = matches!(message, frontend::Message::Query(_));
        if let (false, frontend::Message::Query(text), false) = (yes, &message, self.session.open()) {
            if frontend::local(text) == Some(Local::Empty) {
                let out = self.wire.out();
                frontend::put_error(out, "ERROR", code::CANNOT_CONNECT_NOW, "this gateway drains", None);
                frontend::put_ready(out);
                self.asked = true;
                return Ok(Some(from + len));
            }
        }
        let took = self.session.take(&message, table, self.wire.out());
        if took.is_err() && query {
            inbox.push_back(Input::Unreadable);
        }
        let waited = self.arrivals.age(now, from + len);
        self.end_long_message();
        self.took(now, number, took?, Origin { query, waited, permit: None }, inbox);
        Ok(Some(from + len))
    }

    fn took(&mut self, now: Instant, number: u64, took: Took, origin: Origin, inbox: &mut VecDeque<Input>) {
        match took {
            Took::Close => self.phase = Phase::Closing,
            Took::Ask(wanted) => {
                inbox.push_back(Input::Ask(ClientId(number), ask(wanted, origin)));
                self.phase = Phase::Busy;
                (self.asked, self.requested) = (true, true);
                (self.written_before, self.reads_slowly) = (self.wire.written(), false);
            }
            Took::Flush => self.prompt = true,
            Took::Done => {
                self.phase = Phase::Idle(now);
                self.asked |= origin.query || self.session.holds();
                // A client that has prepared something is no stranger that only holds a connection.
                self.requested |= self.session.holds();
            }
        }
    }
}

/// The message that something was taken from.
struct Origin {
    /// It is a simple query.
    query: bool,
    /// How long ago its last byte came.
    waited: Duration,
    /// What was set aside for it, if it is long.
    permit: Option<MemoryPermit>,
}

/// A request as the core has it, with how long it lay behind others on its connection.
fn ask(wanted: Wanted, origin: Origin) -> Ask<Statement> {
    Ask {
        name: wanted.id,
        writes: wanted.writes,
        scope: wanted.scope.map_or(Scope::Anyone, |(class, group)| Scope::Class(class, group)),
        wait: wanted.wait,
        waited: origin.waited,
        key: wanted.key,
        after: wanted.after,
        resent: wanted.resent,
        channel: wanted.channel,
        number: wanted.number,
        body: Statement::new(wanted.body, origin.permit),
    }
}

#[cfg(test)]
mod tests;
