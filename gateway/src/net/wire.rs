//! A non-blocking connection: what is still to be written, and reading without a copy too many.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::time::Instant;

use rustix::io::Errno;
use rustix::net::{
    connect, ipproto, send, socket_with, sockopt, AddressFamily, SendFlags, SocketFlags, SocketType,
};

use yewroute_receive_time::{self as receive_time, Receiver};

use super::socket_buffers::{self, UnsentLimit};
use crate::memory_plan::RETAINED_BUFFER;

/// The least that a buffer grows to.
const MIN_BUFFER: usize = 256;
/// Bytes read at a time.
pub const CHUNK: usize = 32 * 1024;

/// What a read came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Bytes, perhaps with more behind them.
    Some,
    /// Nothing for now.
    Nothing,
    /// The other side will send no more.
    End,
}

/// Bytes that are written from where they are, without a copy.
pub trait Shared {
    /// All of them.
    fn bytes(&self) -> &[u8];
}

/// What is to be written behind what has been copied.
enum Piece {
    Shared(Rc<dyn Shared>, Range<usize>),
    Own(Vec<u8>),
}

impl Piece {
    fn len(&self) -> usize {
        match self {
            Self::Shared(_, range) => range.len(),
            Self::Own(bytes) => bytes.len(),
        }
    }
}

/// A connection.
pub struct Wire {
    stream: TcpStream,
    out: Vec<u8>,
    /// Bytes of `out` that have been written.
    written: usize,
    /// Bytes that the system has taken, in all.
    sent: u64,
    /// Written after `out`, in this order.
    behind: VecDeque<Piece>,
    /// What bounds the bytes that the system has taken and not sent yet.
    unsent: Option<UnsentLimit>,
}

impl Wire {
    /// Takes over an accepted connection.
    pub fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    fn new(stream: TcpStream) -> Self {
        Self { stream, out: Vec::new(), written: 0, sent: 0, behind: VecDeque::new(), unsent: None }
    }

    /// Begins to connect; room to write tells that it is done, one way or the other.
    pub fn dial(addr: SocketAddr) -> io::Result<Self> {
        Self::dial_prepared(addr, |_| Ok(()))
    }

    /// The same, and the system holds only so many bytes that have come and are not read.
    pub fn dial_with_limit(addr: SocketAddr, unread: usize) -> io::Result<Self> {
        Self::dial_prepared(addr, |socket| socket_buffers::limit_unread(socket, unread))
    }

    fn dial_prepared(addr: SocketAddr, prepare: impl FnOnce(&OwnedFd) -> io::Result<()>) -> io::Result<Self> {
        let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        prepare(&socket)?;
        match connect(&socket, &addr) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    /// Bounds the bytes that the system has taken and not sent yet, or lifts the bound.
    pub fn limit_unsent(&mut self, bytes: Option<usize>) -> io::Result<()> {
        self.unsent = match bytes {
            Some(bytes) => Some(UnsentLimit::set(&self.stream, bytes)?),
            None => {
                UnsentLimit::lift(&self.stream)?;
                None
            }
        };
        Ok(())
    }

    /// This side's address.
    pub fn local(&self) -> io::Result<SocketAddr> {
        self.stream.local_addr()
    }

    /// Why connecting failed, once it is done.
    pub fn dialled(&self) -> io::Result<()> {
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Where to append what is to be written.
    pub fn out(&mut self) -> &mut Vec<u8> {
        if self.behind.is_empty() {
            return &mut self.out;
        }
        if !matches!(self.behind.back(), Some(Piece::Own(_))) {
            self.behind.push_back(Piece::Own(Vec::new()));
        }
        match self.behind.back_mut() {
            Some(Piece::Own(bytes)) => bytes,
            _ => &mut self.out,
        }
    }

    /// Appends bytes that are not copied.
    pub fn share(&mut self, bytes: Rc<dyn Shared>, range: Range<usize>) {
        self.behind.push_back(Piece::Shared(bytes, range));
    }

    /// Writes as much as there is room for; true when nothing is left.
    pub fn flush(&mut self) -> io::Result<bool> {
        loop {
            if !self.flush_out()? {
                return Ok(false);
            }
            match self.behind.pop_front() {
                None => return Ok(true),
                // What has just been written is small: the buffer that is kept goes on.
                Some(Piece::Own(bytes)) if bytes.len() <= self.out.capacity() => self.out.extend(bytes),
                Some(Piece::Own(bytes)) => self.out = bytes,
                Some(Piece::Shared(bytes, mut range)) => {
                    while !range.is_empty() {
                        match write(&self.stream, &mut self.unsent, &bytes.bytes()[range.clone()]) {
                            Ok(0) => return Err(ErrorKind::WriteZero.into()),
                            Ok(n) => {
                                range.start += n;
                                self.sent += n as u64;
                            }
                            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                                self.behind.push_front(Piece::Shared(bytes, range));
                                return Ok(false);
                            }
                            Err(e) if e.kind() == ErrorKind::Interrupted => {}
                            Err(e) => return Err(e),
                        }
                    }
                }
            }
        }
    }

    /// Writes as much of what has been copied as there is room for; true when nothing of it is left.
    fn flush_out(&mut self) -> io::Result<bool> {
        while self.written < self.out.len() {
            match write(&self.stream, &mut self.unsent, &self.out[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.written += n;
                    self.sent += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // Guards against: what has been written of a long value being kept until all of it is.
                    if self.written > CHUNK {
                        self.out.drain(..std::mem::take(&mut self.written));
                    }
                    return Ok(false);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.out.clear();
        self.written = 0;
        release(&mut self.out);
        Ok(true)
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.sent
    }

    /// How many of the bytes written may not have been sent yet.
    pub fn most_unsent(&self) -> usize {
        match &self.unsent {
            Some(limit) => limit.bytes(),
            None => sockopt::socket_send_buffer_size(&self.stream).unwrap_or(usize::MAX),
        }
    }

    /// Bytes still to be written.
    pub fn unwritten(&self) -> usize {
        self.out.len() - self.written + self.behind.iter().map(Piece::len).sum::<usize>()
    }

    /// Bytes that its buffers take, used or not; shared ones are not its own.
    pub fn buffer_bytes(&self) -> usize {
        let own = |piece: &Piece| if let Piece::Own(bytes) = piece { bytes.capacity() } else { 0 };
        self.out.capacity() + self.behind.iter().map(own).sum::<usize>()
    }

    /// Reads once, by way of `scratch`, into `buffer`, which gets no longer than `most` bytes.
    pub fn read(&mut self, scratch: &mut [u8], buffer: &mut Vec<u8>, most: usize) -> io::Result<Taken> {
        let Some(room) = room(scratch, buffer, most) else { return Ok(Taken::Nothing) };
        loop {
            match rustix::io::read(&self.stream, &mut *room).map_err(io::Error::from) {
                Ok(0) => return Ok(Taken::End),
                Ok(n) => {
                    append(buffer, &room[..n], most);
                    return Ok(Taken::Some);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Taken::Nothing),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// From now on the kernel notes when bytes come, for [`Self::read_dated`].
    pub fn note_receive_times(&self) {
        receive_time::enable(&self.stream);
    }

    /// The same as [`Self::read`], and when the last of the bytes came. The kernel dates them by the wall clock; what it says counts
    /// only if it lies between `earliest`, before which nothing unread can have come, and now.
    pub fn read_dated(
        &mut self,
        receiver: &mut Receiver,
        earliest: Instant,
        scratch: &mut [u8],
        (buffer, most): (&mut Vec<u8>, usize),
    ) -> io::Result<(Taken, Instant)> {
        let Some(room) = room(scratch, buffer, most) else { return Ok((Taken::Nothing, Instant::now())) };
        loop {
            match receiver.read(&self.stream, room) {
                Ok((0, received)) => return Ok((Taken::End, received)),
                Ok((n, received)) => {
                    append(buffer, &room[..n], most);
                    // Guards against: a step of the wall clock, by which a request that has just come would be over.
                    let received = if received < earliest { Instant::now() } else { received };
                    return Ok((Taken::Some, received));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok((Taken::Nothing, Instant::now())),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// The other side sends no more, and all that it has sent has been read.
    pub fn is_ended(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(0))
    }

    /// Bytes that have come and are not read.
    pub fn unread(&self) -> usize {
        rustix::io::ioctl_fionread(&self.stream)
            .map_or(0, |bytes| usize::try_from(bytes).unwrap_or(usize::MAX))
    }

    /// Neither closed by the other side nor with anything to read.
    pub fn quiet(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// The last bytes are kept back until the sending ends, and go out together with the end. Guards against: a client
    /// that has its answer a moment before the end, and sends its next request into it. A system that cannot do it sends
    /// the end right behind.
    pub fn end_with_last(&self) {
        let _ = sockopt::set_tcp_cork(&self.stream, true);
    }

    /// Ends the sending; what was written still arrives.
    pub fn end_sending(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl AsFd for Wire {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

/// Writes once, as many bytes as there is room for. It is the system's call itself: the standard library goes by the C library's, a
/// point of cancellation, which is dearer in a process of several threads.
fn write(stream: &TcpStream, unsent: &mut Option<UnsentLimit>, bytes: &[u8]) -> io::Result<usize> {
    let Some(limit) = unsent else { return Ok(send(stream, bytes, SendFlags::NOSIGNAL)?) };
    let room = limit.room(stream);
    if room == 0 {
        return Err(ErrorKind::WouldBlock.into());
    }
    let written = send(stream, &bytes[..room.min(bytes.len())], SendFlags::NOSIGNAL)?;
    limit.take(written);
    Ok(written)
}

/// The part of `scratch` that may be read into a buffer of at most so many bytes; none if that is full.
fn room<'a>(scratch: &'a mut [u8], buffer: &[u8], most: usize) -> Option<&'a mut [u8]> {
    let len = most.saturating_sub(buffer.len()).min(scratch.len());
    (len > 0).then(|| &mut scratch[..len])
}

/// Appends bytes to a buffer of at most so many. Guards against: growth by doubling beyond what the buffer may have.
fn append(buffer: &mut Vec<u8>, bytes: &[u8], most: usize) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let grown = (2 * buffer.capacity()).max(MIN_BUFFER).min(most).max(needed);
        buffer.reserve_exact(grown - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}

/// Gives the memory of an empty buffer back, unless it is as small as a usual message needs.
pub fn release(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > RETAINED_BUFFER {
        *buffer = Vec::new();
    }
}
