//! A client's message that is longer than is read before memory has been set aside for it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tracing::warn;
use yewroute_ledger::MemoryPermit;

use super::{Client, Origin, Phase, MIN_LONG_MESSAGE};
use crate::net::memory_wait::{MemoryWait, Step, WaitTerms};
use crate::net::Input;
use crate::proto::pg::code;

/// A message of so many bytes in all that is longer than is read unasked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum LongMessage {
    /// Its head has come; whether there is room is not asked yet.
    Announced(usize),
    /// It waits for room, and is not read on.
    AwaitsMemory(usize),
    /// All its bytes are set aside.
    Reserved(usize),
    /// There was no memory for it: it is thrown away as it comes, and refused at its end.
    Discarded(Discard),
}

/// What is left of a message that is thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct Discard {
    left: usize,
    /// It is a simple query, rather than a part of an extended one.
    query: bool,
    /// When its client is told to come back.
    retry_after: Option<Duration>,
}

impl Client {
    /// Bytes are set aside for its long message. The buffer gets them at once, so that growing never takes twice as much.
    pub(in crate::net) fn hold(&mut self, now: Instant, permit: MemoryPermit) {
        let len = permit.bytes();
        (self.long, self.permit, self.heard) = (Some(LongMessage::Reserved(len)), Some(permit), now);
        self.memory_wait = None;
        self.unfinished = Some(now);
        self.buffer.reserve_exact(len.saturating_sub(self.buffer.len()));
    }

    /// Whether bytes are yet to be set aside for a message of so many that begins what has come.
    pub(super) fn announces(&mut self, len: usize) -> bool {
        let announces = len > self.shares.read && !matches!(self.long, Some(LongMessage::Reserved(_)));
        if announces {
            self.long = Some(LongMessage::Announced(len));
        }
        announces
    }

    /// Its long message is over: what was set aside is given back, unless a request has it.
    pub(in crate::net) fn end_long_message(&mut self) {
        (self.long, self.permit, self.memory_wait) = (None, None, None);
    }

    /// Its long message of so many bytes waits for memory from now on.
    pub(in crate::net) fn begin_memory_wait(&mut self, now: Instant, len: usize, terms: &WaitTerms) {
        self.long = Some(LongMessage::AwaitsMemory(len));
        self.memory_wait = Some(MemoryWait::begin(now, terms, &self.buffer));
    }

    /// Looks at how long its message has waited; none if it does not wait.
    pub(in crate::net) fn check_memory_wait(&mut self, now: Instant) -> Option<Step> {
        let Some(LongMessage::AwaitsMemory(len)) = self.long else { return None };
        let missing = len.saturating_sub(self.buffer.len());
        let unread = self.wire.unread();
        self.memory_wait.as_mut().map(|wait| wait.check(now, missing, unread))
    }

    /// There is no memory for its long message in time: it is read on and thrown away, and refused at its end, so that what
    /// lies behind it on the connection has its answer too.
    pub(in crate::net) fn refuse_unread(&mut self, now: Instant, retry_after: Option<Duration>) {
        let Some(LongMessage::Announced(len) | LongMessage::AwaitsMemory(len)) = self.long else { return };
        let waited_ms = self.memory_wait.map_or(0, |wait| wait.age(now).as_millis());
        warn!(bytes = len, waited_ms, "out of memory for statements: one refused unread");
        self.end_long_message();
        if self.phase == Phase::Opening {
            self.close_with_error(code::TOO_MANY, "no memory for so long a startup message");
            return;
        }
        let query = self.buffer.first() == Some(&b'Q');
        self.long = Some(LongMessage::Discarded(Discard { left: len, query, retry_after }));
        self.heard = now;
    }

    /// Its long message is thrown away as it comes.
    pub(super) fn discards(&self) -> bool {
        matches!(self.long, Some(LongMessage::Discarded(_)))
    }

    /// Its message waits for memory, is no long one, and has come whole: how many bytes it has.
    pub(in crate::net) fn awaits_reading_only(&self) -> Option<usize> {
        let Some(LongMessage::AwaitsMemory(len)) = self.long else { return None };
        let has_come = self.buffer.len().saturating_add(self.wire.unread());
        (len <= MIN_LONG_MESSAGE && has_come >= len).then_some(len)
    }

    /// Throws away what has come of a message that begins at `from`, and says where that ends; none if nothing has come.
    pub(super) fn discard(
        &mut self,
        from: usize,
        message: Discard,
        inbox: &mut VecDeque<Input>,
    ) -> Option<usize> {
        let here = message.left.min(self.buffer.len() - from);
        let left = message.left - here;
        if left > 0 {
            self.long = Some(LongMessage::Discarded(Discard { left, ..message }));
            return (here > 0).then_some(from + here);
        }
        self.end_long_message();
        self.session.refuse_unread(message.query, message.retry_after, self.wire.out());
        (self.asked, self.requested) = (true, true);
        inbox.push_back(Input::RefusedUnread);
        Some(from + here)
    }

    /// The head of a long message has come, and no bytes have been asked for.
    pub(in crate::net) fn is_announced(&self) -> bool {
        matches!(self.long, Some(LongMessage::Announced(_)))
    }

    /// Its long message waits for memory.
    pub(in crate::net) fn awaits_memory(&self) -> bool {
        matches!(self.long, Some(LongMessage::AwaitsMemory(_)))
    }

    /// Takes a long query, which is not copied. It ends where the bytes begin that came behind it.
    pub(super) fn take_long(
        &mut self,
        now: Instant,
        number: u64,
        from: usize,
        len: usize,
        inbox: &mut VecDeque<Input>,
    ) -> Result<Option<usize>, String> {
        if self.buffer.len() < from + len {
            return Ok(None);
        }
        let rest = self.buffer.split_off(from + len);
        // One that came whole before its bytes were set aside lies in a buffer with room to spare.
        self.buffer.shrink_to_fit();
        let mut text = std::mem::replace(&mut self.buffer, rest);
        text.drain(..from + 5);
        let took = match text.pop() {
            Some(0) if !text.contains(&0) => self.session.take_query(text, self.wire.out()),
            _ => Err("a query without an end".to_owned()),
        };
        if took.is_err() {
            inbox.push_back(Input::Unreadable);
        }
        let waited = self.arrivals.age(now, from + len);
        self.arrivals.remove(from + len);
        let permit = self.permit.take();
        self.end_long_message();
        self.took(now, number, took?, Origin { query: true, waited, permit }, inbox);
        Ok(Some(0))
    }
}
