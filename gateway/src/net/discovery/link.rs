//! One connection to discovery: a call for the list and its changes, and what has come of it.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use thiserror::Error;

use super::super::poller::{Interest, Poller, Ready, Token};
use super::super::wire::{Taken, Wire, CHUNK};
use crate::proto::catalog::{Lists, Members, News};
use crate::proto::http::{self, Lines};

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
    /// Bytes in all.
    pub received: usize,
    /// Whom the call was made to.
    pub addr: SocketAddr,
    wire: Wire,
    lines: Lines,
    lists: Lists,
    connected: bool,
}

/// What has come on a connection.
#[derive(Default)]
pub struct Received {
    /// Lists, in order; those before a fault as well, since what has been written counts.
    pub lists: Vec<Members>,
    /// A whole line was among it, after the first list.
    pub alive: bool,
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
        let path = format!("/catalog/members?follow=1&since={since}");
        wire.out().extend(http::get(&path, &addr.to_string()));
        poller.add(&wire, Token::Watch(number), Interest::WRITE)?;
        Ok(Self {
            number,
            called: now,
            listed: false,
            begun: 0,
            received: 0,
            addr,
            wire,
            lines: Lines::default(),
            lists: Lists::default(),
            connected: false,
        })
    }

    /// Takes what has come.
    pub fn ready(&mut self, event: Ready, poller: &Poller) -> Received {
        let mut received = Received::default();
        let connecting = !self.connected;
        if let Err(error) = self.connect(event, poller) {
            received.end = Some(if connecting { CallEnd::Connect(error) } else { CallEnd::Broken(error) });
            return received;
        }
        self.read()
    }

    /// Reads all that has come so far, for the last time.
    pub fn read_rest(&mut self) -> Vec<Members> {
        let mut lists = Vec::new();
        for _ in 0..Lists::LONGEST / CHUNK {
            let before = self.begun;
            let received = self.read();
            let progress = received.alive || self.begun > before;
            lists.extend(received.lists);
            if received.end.is_some() || !progress {
                break;
            }
        }
        lists
    }

    fn read(&mut self) -> Received {
        let mut received = Received::default();
        received.end = self.read_into(&mut received).err();
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

    fn read_into(&mut self, received: &mut Received) -> Result<(), CallEnd> {
        let (mut scratch, mut bytes, mut lines) = (vec![0; CHUNK], Vec::new(), Vec::new());
        let taken = self.wire.read(&mut scratch, &mut bytes).map_err(CallEnd::Broken)?;
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
            received.alive |= self.listed;
            self.begun = 0;
        }
        fed?;
        if taken == Taken::End || self.lines.ended() {
            return Err(CallEnd::Closed);
        }
        Ok(())
    }
}
