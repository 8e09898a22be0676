//! One connection to discovery: a call for the list and its changes, and what has come of it.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use thiserror::Error;
use yewroute::interface::ListObservation;
use yewroute_receive_time::Receiver;

use super::super::poller::{Interest, Poller, Ready, Token};
use super::super::wire::{Taken, Wire, CHUNK};
use crate::proto::catalog::{Lists, Members, News};
use crate::proto::http::{self, Lines};

/// A connection that is not up by then does not come up, for all that is known.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A call that waits for discovery in vain fails after this time (protocol page, "Discovery").
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How far from that time its end may be seen.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// Why a call is of no more use. The texts are what operators see as `why`.
#[derive(Debug, Error)]
pub enum CallEnd {
    /// No connection came up.
    #[error("{0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("{0}")]
    Broken(io::Error),
    /// The answer is no watch: another status, or malformed.
    #[error(transparent)]
    Answer(#[from] http::Malformed),
    /// A line of it is no list.
    #[error("malformed list: {0}")]
    List(String),
    /// Discovery closed the connection.
    #[error("ended by discovery")]
    Closed,
    /// A connection made earlier has brought a newer list meanwhile.
    #[error("an older list than has come since the call")]
    Outdated,
}

/// A connection.
pub struct Link {
    /// Its number, higher than that of each earlier one.
    pub number: u64,
    /// When the call was made.
    pub called: Instant,
    /// Its first list has come.
    pub listed: bool,
    /// Bytes since its last whole line.
    pub begun: usize,
    /// When the first bytes of the line that is coming came, or others that were read with them; none between lines.
    pub line_began: Option<Instant>,
    /// Bytes in all.
    pub received: usize,

    /// Whom the call was made to.
    pub addr: SocketAddr,
    wire: Wire,
    receiver: Receiver,
    lines: Lines,
    lists: Lists,
    connected: bool,
}

/// What has come on a connection.
#[derive(Default)]
pub struct Received {
    /// Lists, in order; those before a fault as well, since what has been written counts.
    pub lists: Vec<Members>,
    /// When the last whole line among it had begun to come, after the first list.
    pub line_began: Option<Instant>,
    /// These were the first bytes of the answer.
    pub answer_begun: bool,
    /// Why the connection is of no more use.
    pub end: Option<CallEnd>,
}

impl Link {
    /// Makes a call for the changes since a version.
    pub fn open(
        now: Instant,
        number: u64,
        addr: SocketAddr,
        since: u64,
        poller: &Poller,
    ) -> io::Result<Self> {
        let mut wire = Wire::dial(addr)?;
        wire.note_receive_times();
        let path = format!("/catalog/members?follow=1&since={since}");
        wire.out().extend(http::get(&path, &addr.to_string()));
        poller.add(&wire, Token::Watch(number), Interest::WRITE)?;
        Ok(Self {
            number,
            called: now,
            listed: false,
            begun: 0,
            line_began: None,
            received: 0,
            addr,
            wire,
            receiver: Receiver::default(),
            lines: Lines::default(),
            lists: Lists::default(),
            connected: false,
        })
    }

    /// Takes what has come.
    pub fn ready(&mut self, now: Instant, event: Ready, poller: &Poller) -> Received {
        let mut received = Received::default();
        let connecting = !self.connected;
        if let Err(error) = self.connect(event, poller) {
            received.end = Some(if connecting { CallEnd::Connect(error) } else { CallEnd::Broken(error) });
            return received;
        }
        self.read(now, poller)
    }

    /// What a call that has waited for so long without an answer tells of discovery.
    pub fn waited(&self, now: Instant) -> Option<ListObservation> {
        let waited = now.saturating_duration_since(self.called);
        if self.received > 0 || waited < CONNECT_TIMEOUT {
            return None;
        }
        let called = self.called;
        Some(if self.connected {
            ListObservation::Unanswered { called }
        } else {
            ListObservation::Unreachable
        })
    }

    /// What the end of the call tells of discovery, after calls that were made at these moments, this one among them. A
    /// discovery that lets its callers wait in vain ends all calls of one with the first whose wait is over; one that turns
    /// a call away at another moment is there, or has just come back.
    pub fn observed_at_end(&self, now: Instant, end: &CallEnd, calls: &[Instant]) -> Option<ListObservation> {
        let called = self.called;
        let timed_out = calls.iter().any(|call| self.ends_with(*call, now));
        let answered = match end {
            CallEnd::Connect(_) => return Some(ListObservation::Unreachable),
            CallEnd::Answer(http::Malformed::Status(_)) => !timed_out,
            CallEnd::Broken(_) | CallEnd::Closed => self.received > 0,
            _ => true,
        };
        match (answered, timed_out) {
            (true, _) => None,
            (false, true) => Some(ListObservation::WaitedOut { called }),
            (false, false) => Some(ListObservation::Ended { called }),
        }
    }

    /// The end of this call at `now` may be that of the wait of one that was made at `call`.
    fn ends_with(&self, call: Instant, now: Instant) -> bool {
        let timeout = call + CALL_TIMEOUT;
        let own = call == self.called && now >= timeout;
        let off = now.saturating_duration_since(timeout).max(timeout.saturating_duration_since(now));
        own || self.called < timeout && off <= TIMEOUT_SLACK
    }

    /// The connection is up.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Reads all that has come so far, for the last time.
    pub fn read_rest(&mut self, now: Instant, poller: &Poller) -> Vec<Members> {
        let mut lists = Vec::new();
        for _ in 0..Lists::LONGEST / CHUNK {
            let before = self.begun;
            let received = self.read(now, poller);
            let progress = received.line_began.is_some() || self.begun > before;
            lists.extend(received.lists);
            if received.end.is_some() || !progress {
                break;
            }
        }
        lists
    }

    fn read(&mut self, now: Instant, poller: &Poller) -> Received {
        let mut received = Received::default();
        received.end = self.read_into(now, poller.unread_since(), &mut received).err();
        received
    }

    fn connect(&mut self, event: Ready, poller: &Poller) -> io::Result<()> {
        if !self.connected && (event.write || event.broken) {
            self.wire.dialled()?;
            self.connected = true;
        }
        if event.write && self.wire.flush()? {
            poller.change(&self.wire, Token::Watch(self.number), Interest::READ)?;
        }
        Ok(())
    }

    fn read_into(
        &mut self,
        now: Instant,
        unread_since: Instant,
        received: &mut Received,
    ) -> Result<(), CallEnd> {
        let (mut scratch, mut bytes, mut lines) = (vec![0; CHUNK], Vec::new(), Vec::new());
        let earliest = unread_since.max(self.called);
        let read = self.wire.read_dated(&mut self.receiver, earliest, &mut scratch, (&mut bytes, CHUNK));
        let (taken, came) = read.map_err(CallEnd::Broken)?;
        // Guards against: a list that passes for new as a process that got no processor has read it late.
        let came = came.min(now);
        received.answer_begun = self.received == 0 && !bytes.is_empty();
        if !bytes.is_empty() {
            self.line_began.get_or_insert(came);
        }
        self.begun += bytes.len();
        self.received += bytes.len();
        // Guards against: whole lists that are lost with what is malformed behind them.
        let fed = self.lines.feed(&bytes, &mut lines);
        for line in &lines {
            match self.lists.take(line).map_err(CallEnd::List)? {
                News::Part => continue,
                News::List(members) => {
                    self.listed = true;
                    received.lists.push(members);
                }
                News::Empty => {}
            }
            // The first line of a watch holds what was missed before: until then it has brought nothing.
            let began = self.line_began.take().unwrap_or(came);
            if self.listed {
                received.line_began = Some(began);
            }
            self.begun = 0;
        }
        if self.listed && self.lines.between_lines() && self.lists.between_lists() {
            self.line_began = None;
        } else if !bytes.is_empty() {
            self.line_began.get_or_insert(came);
        }
        fed?;
        if taken == Taken::End || self.lines.ended() {
            return Err(CallEnd::Closed);
        }
        Ok(())
    }
}
