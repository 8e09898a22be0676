//! A crowd of clients on one thread: each writes its bytes at its own pace, and reads as slowly as it is told.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::startup;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, ipproto, socket_with, AddressFamily, SocketFlags, SocketType};

const TICK: Duration = Duration::from_millis(10);
/// What a client's system takes of answers that the client does not read.
const SMALL_RECEIVE_BUFFER: usize = 4 * 1024;

/// How a member of a crowd behaves.
#[derive(Clone, Copy)]
pub struct Habits {
    /// Bytes written in each tick.
    pub write_per_tick: usize,
    /// Bytes read in each tick; 0 reads nothing, and the system takes little in its place.
    pub read_per_tick: usize,
}

impl Habits {
    /// As fast as the systems of both sides allow.
    pub const QUICK: Self = Self { write_per_tick: usize::MAX, read_per_tick: usize::MAX };
}

/// A client of a crowd.
pub struct Member {
    stream: TcpStream,
    bytes: Vec<u8>,
    written: usize,
    habits: Habits,
    /// All that has come.
    pub received: Vec<u8>,
    /// The other side has closed the connection, or it broke.
    pub closed: bool,
}

impl Member {
    fn connect(addr: SocketAddr, bytes: Vec<u8>, habits: Habits) -> Self {
        let kind = SocketType::STREAM;
        let socket = socket_with(AddressFamily::INET, kind, SocketFlags::CLOEXEC, Some(ipproto::TCP));
        let socket = socket.expect("a descriptor");
        if habits.read_per_tick < usize::MAX {
            set_socket_recv_buffer_size(&socket, SMALL_RECEIVE_BUFFER).expect("a socket");
        }
        connect(&socket, &addr).expect("somebody listens");
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true).expect("a TCP socket");
        stream.set_nonblocking(true).expect("a socket");
        let bytes = [startup(), bytes].concat();
        Self { stream, bytes, written: 0, habits, received: Vec::new(), closed: false }
    }

    /// Writes and reads what it may in a tick.
    pub fn tick(&mut self) {
        if self.closed {
            return;
        }
        let end = self.bytes.len().min(self.written.saturating_add(self.habits.write_per_tick));
        while self.written < end {
            match self.stream.write(&self.bytes[self.written..end]) {
                Ok(len) => self.written += len,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.closed = true;
                    break;
                }
            }
        }
        self.read();
    }

    fn read(&mut self) {
        let mut left = self.habits.read_per_tick;
        let mut piece = [0; 16 * 1024];
        while left > 0 {
            let most = left.min(piece.len());
            match self.stream.read(&mut piece[..most]) {
                Ok(0) => {
                    self.closed = true;
                    return;
                }
                Ok(len) => {
                    self.received.extend(&piece[..len]);
                    left -= len;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.closed = true;
                    return;
                }
            }
        }
    }

    /// The types of the messages that have come whole, but for notices and parameters.
    #[must_use]
    pub fn kinds(&self) -> Vec<u8> {
        let (mut kinds, mut rest) = (Vec::new(), self.received.as_slice());
        while let Some(head) = rest.first_chunk::<5>() {
            let len = 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            if rest.len() < len {
                break;
            }
            if !b"SNKR".contains(&head[0]) {
                kinds.push(head[0]);
            }
            rest = &rest[len..];
        }
        kinds
    }

    /// How many requests were served.
    #[must_use]
    pub fn served(&self) -> usize {
        self.kinds().iter().filter(|kind| **kind == b'C').count()
    }

    /// How many requests had a final answer, whatever it was; the welcome is none.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.kinds().iter().filter(|kind| **kind == b'Z').count().saturating_sub(1)
    }
}

/// Clients that behave alike.
pub struct Crowd(pub Vec<Member>);

impl Crowd {
    /// So many that connect at once over IPv4; each writes what `bytes` makes for its number behind its startup.
    ///
    /// # Panics
    /// If nobody listens there, or descriptors have run out.
    pub fn connect(addr: SocketAddr, count: usize, habits: Habits, bytes: impl Fn(usize) -> Vec<u8>) -> Self {
        Self((0..count).map(|number| Member::connect(addr, bytes(number), habits)).collect())
    }

    /// Goes on until all that is waited for has come, or that time has passed; says whether it has come.
    pub fn run(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let since = Instant::now();
        while since.elapsed() < most {
            self.0.iter_mut().for_each(Member::tick);
            if done(self) {
                return true;
            }
            thread::sleep(TICK);
        }
        done(self)
    }

    /// How many requests of all were served.
    #[must_use]
    pub fn served(&self) -> usize {
        self.0.iter().map(Member::served).sum()
    }

    /// How many requests of all had a final answer.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.0.iter().map(Member::answered).sum()
    }

    /// How many connections are over.
    #[must_use]
    pub fn closed(&self) -> usize {
        self.0.iter().filter(|member| member.closed).count()
    }
}
