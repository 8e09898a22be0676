//! How long a client may take nothing of what is written to it.
//!
//! A system reports room for writing only once a good part of a send buffer of up to some megabytes is free, and a client's
//! system opens its window only once a good part of its receive buffer is: one call that moves nothing does not show that the
//! client takes nothing. So writes are tried again all the while, and a client whose system has taken much may go on with it for
//! as long as a slow reader needs for so much.

use std::time::{Duration, Instant};

/// A client that has taken none of its answers for so long is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Whatever its system has taken, it is given up after so long.
const LONGEST_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// A client that takes so many bytes a second is never given up: no more of them than its system has taken can lie there unread.
const MIN_BYTES_PER_SECOND: u32 = 16 * 1024;

/// Bytes for a client wait, as its system and this one have no room for them.
#[derive(Clone, Copy, Debug)]
pub(in crate::net) struct WriteStall {
    /// When a write last moved some of them, or first found no room.
    moved_at: Instant,
    /// Bytes of the answer that were written before it began, and since.
    written: usize,
    /// The largest that the send buffer has been: so much of what was written may still lie there.
    send_buffer: usize,
}

impl WriteStall {
    /// One that begins when so many bytes of the answer have been written, by way of a send buffer of such a size.
    pub(in crate::net) fn begin(now: Instant, written: usize, send_buffer: usize) -> Self {
        Self { moved_at: now, written, send_buffer }
    }

    /// A further write has moved so many bytes, by way of a send buffer of such a size.
    pub(in crate::net) fn moved(&mut self, now: Instant, bytes: usize, send_buffer: usize) {
        self.moved_at = now;
        self.written += bytes;
        // Guards against: a send buffer that has grown, and room that passes for bytes that the client has taken.
        self.send_buffer = self.send_buffer.max(send_buffer);
    }

    /// The client is to be given up.
    pub(in crate::net) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.moved_at) >= self.timeout()
    }

    /// How long nothing may move.
    fn timeout(&self) -> Duration {
        let taken = self.written.saturating_sub(self.send_buffer);
        let taken = u32::try_from(taken).unwrap_or(u32::MAX);
        let slowest = Duration::from_secs(1) * taken / MIN_BYTES_PER_SECOND;
        slowest.clamp(STALL_TIMEOUT, LONGEST_STALL_TIMEOUT)
    }
}
