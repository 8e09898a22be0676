//! Bounds on what the system holds for a connection beside this process.
//!
//! A system takes megabytes for one connection: bytes for a client that does not read, and bytes of a db host that this process
//! does not read. Both are memory that a peer makes grow. With a bound the sender waits instead (back pressure).
//!
//! The bound of a client is on bytes that are not sent yet (`TCP_NOTSENT_LOWAT`, tcp(7)), not on the size of the send buffer: what is
//! under way to a client that reads fast is left to TCP. The system checks it once for each segment that it builds, of up to
//! 64 KiB, so bytes are also handed over in small portions, each after a look at whether there is room.

use std::io;
use std::net::TcpListener;
use std::os::fd::AsFd;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;

/// The longest segment, that of a network with jumbo frames. A receiver opens its window in steps of a segment or more (RFC 9293,
/// section 3.8.6.2.2), and a sender sizes its buffer by segments: those of 64 KiB of a loopback interface hide for long that a
/// client reads slowly, and let the system of a db host take a value of megabytes at once.
const MAX_SEGMENT_BYTES: u32 = 8_960;
/// The most that is handed to the system after one look at whether there is room.
const MAX_PORTION_BYTES: usize = 8 * 1024;
/// What the send buffer of a connection without a bound may have, where the system's limits allow it: what it takes by itself at the
/// most (`tcp_wmem`, tcp(7)).
const LIFTED_SEND_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// A look that does not wait.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Bounds the segments of the connections of a listener.
///
/// # Errors
/// As `setsockopt`.
pub fn limit_segments_of(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_tcp_mss(MAX_SEGMENT_BYTES)
}

/// Bounds what the system holds of what has come on a connection and is not read, and its segments. To be called before it
/// connects.
///
/// # Errors
/// As `setsockopt`.
pub fn limit_unread(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_tcp_mss(MAX_SEGMENT_BYTES)
}

/// A bound on the bytes of a connection that the system has taken and not sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsentLimit {
    bytes: usize,
    /// Bytes that may be handed over before the next look.
    room: usize,
}

impl UnsentLimit {
    /// Sets a bound of so many bytes for a connection.
    ///
    /// # Errors
    /// As `setsockopt`.
    pub fn set(socket: &impl AsFd, bytes: usize) -> io::Result<Self> {
        let limit = Self { bytes, room: 0 };
        // The system reports room while less than a half of its limit is unsent.
        let system_limit = 2 * (bytes - limit.portion());
        SockRef::from(socket).set_tcp_notsent_lowat(u32::try_from(system_limit).unwrap_or(u32::MAX))?;
        Ok(Self { room: limit.portion(), ..limit })
    }

    /// Lifts the bound of a connection, whose system may take as much as its own limits allow.
    ///
    /// # Errors
    /// As `setsockopt`.
    pub fn lift(socket: &impl AsFd) -> io::Result<()> {
        let socket = SockRef::from(socket);
        socket.set_tcp_notsent_lowat(u32::MAX)?;
        if socket.send_buffer_size()? < LIFTED_SEND_BUFFER_BYTES {
            // The system doubles what it is asked for, for its own structures.
            socket.set_send_buffer_size(LIFTED_SEND_BUFFER_BYTES / 2)?;
        }
        Ok(())
    }

    /// The bound.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many bytes may be handed over now.
    pub fn room(&mut self, socket: &impl AsFd) -> usize {
        if self.room == 0 && has_room(socket) {
            self.room = self.portion();
        }
        self.room
    }

    /// So many bytes have been handed over.
    pub fn take(&mut self, bytes: usize) {
        self.room = self.room.saturating_sub(bytes);
    }

    fn portion(&self) -> usize {
        MAX_PORTION_BYTES.min(self.bytes / 2)
    }
}

/// The system reports room for writing. A connection that has broken has room as well: the write tells.
fn has_room(socket: &impl AsFd) -> bool {
    let mut look = [PollFd::new(socket, PollFlags::OUT)];
    poll(&mut look, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0)
}

#[cfg(test)]
mod tests;
