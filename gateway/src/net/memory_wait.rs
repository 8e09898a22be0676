//! How long a long message may wait for memory.
//!
//! Its client's time runs from the message's last byte, and how much time there is stands at the message's end. Neither is
//! known while the message is not read on, but the class is known to be one of reads or of writes. So it waits for half of
//! the shortest time that a client of such a class may have, counted from when the message may have been written whole. One
//! that its client cannot have written whole waits for longer: its time does not run yet.

use std::time::{Duration, Instant};

use yewroute::interface::{Freshness, Settings};

/// The most that a client's system takes of a connection whose other side does not read: the largest send buffer that Linux
/// gives by itself (tcp_wmem).
const MAX_UNSENT_BYTES: usize = 4 * 1024 * 1024;
/// How often it is looked at whether more of the message has come.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest wait of a message that its client cannot have written whole.
const BLOCKED_WRITER_TIMEOUT: Duration = Duration::from_secs(20);

/// What the settings say of such waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTerms {
    /// The longest wait of a statement that reads, and of one that changes data.
    reads: Duration,
    writes: Duration,
    /// When clients that are refused should come back.
    pub retry_after: Option<Duration>,
}

impl WaitTerms {
    /// Those of a deployment.
    pub fn of(settings: &Settings) -> Self {
        let shortest = |writes: bool| {
            let of_kind = |write: bool| write == writes;
            let classes = settings.classes.iter();
            let deadlines = classes.filter(|class| of_kind(class.freshness == Freshness::Write));
            deadlines.map(|class| class.deadline).min().unwrap_or(BLOCKED_WRITER_TIMEOUT)
        };
        let limits = &settings.limits;
        Self {
            reads: shortest(false) / 2,
            writes: shortest(true) / 2,
            retry_after: limits.retry_after.then_some(limits.max_retry_after),
        }
    }

    /// The longest wait of a message with this head.
    fn longest_wait(&self, head: &[u8]) -> Duration {
        /// A message's type and length.
        const FRAME: usize = 5;
        let text = head.get(FRAME..).unwrap_or_default().trim_ascii_start();
        let word = text.split(|byte| !byte.is_ascii_alphabetic()).next().unwrap_or_default();
        match head.first() {
            Some(b'Q') if word.eq_ignore_ascii_case(b"SELECT") => self.reads,
            Some(b'Q') => self.writes,
            // A part of an extended query does not tell.
            _ => self.reads.min(self.writes),
        }
    }
}

/// What is to be done about a message that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// To be looked at again then.
    CheckAt(Instant),
    /// It is looked at later anyway.
    NotDue,
    /// It has waited for too long.
    Refuse,
}

/// One message's wait.
#[derive(Clone, Copy, Debug)]
pub struct MemoryWait {
    began: Instant,
    longest: Duration,
    /// Bytes that lay unread when it was checked last, and since when no more have come.
    unread: usize,
    quiet_since: Instant,
    checked: Instant,
    next_check: Instant,
}

impl MemoryWait {
    /// A wait that begins now, of a message with this head.
    pub fn begin(now: Instant, terms: &WaitTerms, head: &[u8]) -> Self {
        let longest = terms.longest_wait(head);
        Self { began: now, longest, unread: 0, quiet_since: now, checked: now, next_check: now }
    }

    /// How long it has waited.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Looks at it: of `missing` bytes of the message `unread` have come and lie unread.
    pub fn check(&mut self, now: Instant, missing: usize, unread: usize) -> Step {
        if now < self.next_check {
            return Step::NotDue;
        }
        if unread > self.unread {
            // Its client was sending still, some time after the last look.
            (self.unread, self.quiet_since) = (unread, self.checked);
        }
        self.checked = now;
        let may_be_whole = missing.saturating_sub(unread) <= MAX_UNSENT_BYTES;
        let blocked_until = self.began + BLOCKED_WRITER_TIMEOUT;
        let end =
            if may_be_whole { blocked_until.min(self.quiet_since + self.longest) } else { blocked_until };
        if now >= end {
            return Step::Refuse;
        }
        self.next_check = end.min(now + CHECK_INTERVAL);
        Step::CheckAt(self.next_check)
    }
}

#[cfg(test)]
mod tests;
