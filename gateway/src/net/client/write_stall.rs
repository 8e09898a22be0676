//! How long a client may take nothing of what is written to it.
//!
//! A client's system opens its window only once a good part of what it holds is read, some tens of KiB at the least: one call that
//! moves nothing does not show that the client takes nothing. So a client whose system has taken much may go on with it for as long
//! as a slow reader needs for so much, and one whose window has been closed and has opened again reads, however slowly.

use std::time::{Duration, Instant};

/// A client that has taken none of its answers for so long is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Whatever its system has taken, and although it has been seen to read, it is given up after so long.
const LONGEST_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// A client that takes so many bytes a second is never given up: no more of them than its system has taken can lie there unread.
const MIN_BYTES_PER_SECOND: u32 = 16 * 1024;
/// Room that comes after so long without any shows that the client reads. Acknowledgements of what is under way come sooner.
const READER_EVIDENCE: Duration = Duration::from_secs(1);

/// Bytes for a client wait, as its system and this one have no room for them.
#[derive(Clone, Copy, Debug)]
pub(in crate::net) struct WriteStall {
    /// When a write last moved some of them, or first found no room.
    moved_at: Instant,
    /// Bytes of the answer that were written before it began, and since.
    written: usize,
    /// The most bytes that this system may have held unsent: so much of what was written has perhaps not left.
    most_unsent: usize,
    /// The client has been seen to read while its window was closed.
    reads: bool,
}

impl WriteStall {
    /// One that begins when so many bytes of the answer have been written, of which the system may hold so many unsent.
    pub(in crate::net) fn begin(now: Instant, written: usize, most_unsent: usize) -> Self {
        Self { moved_at: now, written, most_unsent, reads: false }
    }

    /// The same for a client that has been seen to read this answer, or has not.
    pub(in crate::net) fn with_reader(self, reads: bool) -> Self {
        Self { reads, ..self }
    }

    /// A further write has moved so many bytes, of which the system may hold so many unsent.
    pub(in crate::net) fn moved(&mut self, now: Instant, bytes: usize, most_unsent: usize) {
        self.reads = self.shows_reader(now);
        self.moved_at = now;
        self.written += bytes;
        // Guards against: a send buffer that has grown, and room that passes for bytes that the client has taken.
        self.most_unsent = self.most_unsent.max(most_unsent);
    }

    /// Room that there is now shows that the client reads, or it has been seen to.
    pub(in crate::net) fn shows_reader(&self, now: Instant) -> bool {
        self.reads || now.saturating_duration_since(self.moved_at) >= READER_EVIDENCE
    }

    /// The client is to be given up.
    pub(in crate::net) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.moved_at) >= self.timeout()
    }

    /// How long nothing may move.
    fn timeout(&self) -> Duration {
        if self.reads {
            return LONGEST_STALL_TIMEOUT;
        }
        let taken = self.written.saturating_sub(self.most_unsent);
        let taken = u32::try_from(taken).unwrap_or(u32::MAX);
        let slowest = Duration::from_secs(1) * taken / MIN_BYTES_PER_SECOND;
        slowest.clamp(STALL_TIMEOUT, LONGEST_STALL_TIMEOUT)
    }
}
