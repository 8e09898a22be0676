//! epoll, and which adapter a descriptor belongs to.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::event::Timespec;

/// Events taken at one wake-up.
const EVENTS: usize = 256;

/// Whose descriptor it is. Numbers are never used again, so a late event meets nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// The listener.
    Listener,
    /// The pipe that signals arrive by.
    Signals,
    /// The watch of this number.
    Watch(u64),
    /// A client's connection.
    Client(u64),
    /// A connection to a db host.
    Host(u64),
    /// A caller of the console; 0 is its listener.
    Console(u64),
    /// Another process of this gateway.
    Handover(u64),
    /// Datagrams of other gateways.
    Fleet,
    /// The federation's tasks want something.
    Federation,
    /// Another process of this gateway wants to be told which requests were sent.
    SentIds,
}

impl Token {
    fn pack(self) -> u64 {
        match self {
            Self::Listener => 0,
            Self::Signals => 1,
            Self::Watch(number) => number << 3 | 2,
            Self::Client(number) => number << 3 | 3,
            Self::Host(number) => number << 3 | 4,
            Self::Console(number) => number << 3 | 5,
            Self::Handover(number) => number << 3 | 6,
            Self::Fleet => 7,
            Self::Federation => 1 << 3 | 7,
            Self::SentIds => 2 << 3 | 7,
        }
    }

    fn unpack(data: u64) -> Self {
        match (data & 7, data >> 3) {
            (0, _) => Self::Listener,
            (1, _) => Self::Signals,
            (2, number) => Self::Watch(number),
            (3, number) => Self::Client(number),
            (4, number) => Self::Host(number),
            (5, number) => Self::Console(number),
            (6, number) => Self::Handover(number),
            (_, 0) => Self::Fleet,
            (_, 2) => Self::SentIds,
            _ => Self::Federation,
        }
    }
}

/// What to be woken for; a broken connection always wakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// There is something to read.
    pub read: bool,
    /// There is room to write.
    pub write: bool,
}

impl Interest {
    pub const READ: Self = Self { read: true, write: false };
    pub const WRITE: Self = Self { read: false, write: true };

    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// What has come.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// To whom.
    pub token: Token,
    /// Room to write.
    pub write: bool,
    /// Both directions are over, or the connection is broken.
    pub broken: bool,
}

/// An epoll descriptor.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<Event>,
    /// When it was asked the last time, or a little before, and the last time but one.
    asked: Instant,
    asked_before: Instant,
}

impl Poller {
    pub fn new() -> io::Result<Self> {
        let (epoll, now) = (epoll::create(CreateFlags::CLOEXEC)?, Instant::now());
        Ok(Self { epoll, events: Vec::with_capacity(EVENTS), asked: now, asked_before: now })
    }

    pub fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    pub fn change(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// What can be read now and has not been read has come since then: the time before, it was not ready yet.
    pub const fn unread_since(&self) -> Instant {
        self.asked_before
    }

    /// Waits until something is ready or `until` has come, to the nanosecond.
    pub fn wait(&mut self, now: Instant, until: Option<Instant>, ready: &mut Vec<Ready>) -> io::Result<()> {
        let timeout = until.map(|until| timespec(until.saturating_duration_since(now)));
        self.asked_before = std::mem::replace(&mut self.asked, now);
        self.collect(timeout.as_ref(), ready)
    }

    /// Adds what has become ready since the last wait; what that has found may be added once more.
    pub fn look_again(&mut self, ready: &mut Vec<Ready>) -> io::Result<()> {
        self.collect(Some(&Timespec::default()), ready)
    }

    fn collect(&mut self, timeout: Option<&Timespec>, ready: &mut Vec<Ready>) -> io::Result<()> {
        self.events.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), timeout) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(self.events.iter().map(|event| {
            let flags = event.flags;
            Ready {
                token: Token::unpack(event.data.u64()),
                write: flags.contains(EventFlags::OUT),
                broken: flags.intersects(EventFlags::ERR | EventFlags::HUP),
            }
        }));
        Ok(())
    }
}

fn timespec(span: Duration) -> Timespec {
    Timespec {
        tv_sec: i64::try_from(span.as_secs()).unwrap_or(i64::MAX),
        tv_nsec: i64::from(span.subsec_nanos()),
    }
}
