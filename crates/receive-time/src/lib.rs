//! When the kernel received the bytes of a connection, which does not depend on when a process gets to read them.
//!
//! Source: `SO_TIMESTAMPNS`, socket(7). The kernel notes times of the wall clock; they are given as moments of the monotonic clock,
//! and are off by as much as the wall clock was stepped in between. Whoever must not rely on that clock compares them with what it
//! knows by the monotonic one.
#![forbid(unsafe_code)]

use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{recvmsg, setsockopt, sockopt::ReceiveTimestampns, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

/// Asks the kernel to note receive times. It begins a moment after the first socket of the machine has asked; until then, and where
/// it does not at all, [`Receiver::read`] gives the time of the read.
pub fn enable(stream: &TcpStream) {
    let _ = setsockopt(stream, ReceiveTimestampns, &true);
}

/// Reads connections for which receive times have been enabled.
#[derive(Debug)]
pub struct Receiver {
    /// Room for the kernel's note.
    control: Vec<u8>,
}

impl Default for Receiver {
    fn default() -> Self {
        Self { control: nix::cmsg_space!(TimeSpec) }
    }
}

impl Receiver {
    /// Reads once, and tells when the last of the bytes that were read had been received.
    ///
    /// # Errors
    /// As `read` of the stream.
    pub fn read(&mut self, stream: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Instant)> {
        let mut parts = [IoSliceMut::new(buffer)];
        let control = Some(&mut self.control);
        let message = recvmsg::<()>(stream.as_raw_fd(), &mut parts, control, MsgFlags::empty())?;
        let stamp = message.cmsgs().find_map(|note| match note {
            ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
            _ => None,
        });
        let now = Instant::now();
        Ok((message.bytes, stamp.and_then(|stamp| monotonic(now, stamp)).unwrap_or(now)))
    }
}

/// Reads a connection, and knows when the last bytes that were read had been received.
pub struct DatedReader<'a> {
    receiver: Receiver,
    stream: &'a TcpStream,
    received: &'a mut Instant,
}

impl<'a> DatedReader<'a> {
    /// Reads this connection, for which receive times have been enabled, and notes them here.
    #[must_use]
    pub fn new(stream: &'a TcpStream, received: &'a mut Instant) -> Self {
        Self { receiver: Receiver::default(), stream, received }
    }
}

impl Read for DatedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let (len, received) = self.receiver.read(self.stream, buffer)?;
        *self.received = received;
        Ok(len)
    }
}

/// A moment of the wall clock as one of the monotonic clock; none if it has not come yet, as after a step of the clock.
fn monotonic(now: Instant, stamp: Duration) -> Option<Instant> {
    let age = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.checked_sub(stamp)?;
    now.checked_sub(age)
}

#[cfg(test)]
mod tests;
