//! The watch on discovery's list: one at a time, and dead when it has been silent for too long.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::warn;

use super::poller::{Interest, Poller, Ready, Token};
use super::wire::{Taken, Wire, CHUNK};
use super::Input;
use crate::proto::catalog::Members;
use crate::proto::http::{self, Lines};

/// An empty line comes every 2 s; two missed ones and a little more are silence.
const SILENCE: Duration = Duration::from_millis(5_000);

/// The connection to discovery.
pub struct Discovery {
    addr: SocketAddr,
    watch: Option<Watch>,
    opened: u64,
}

struct Watch {
    wire: Wire,
    lines: Lines,
    connected: bool,
    silent_at: Instant,
}

impl Discovery {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, watch: None, opened: 0 }
    }

    /// Opens a watch from a version on, in place of the one there is.
    pub fn watch(&mut self, now: Instant, since: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        self.watch = None;
        self.opened += 1;
        match self.open(now, since, poller) {
            Ok(watch) => self.watch = Some(watch),
            Err(error) => self.broken(&error.to_string(), inbox),
        }
    }

    /// Goes on at another address, at once; at the same one the watch stays as it is.
    pub fn move_to(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        since: u64,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        if self.addr != addr {
            self.addr = addr;
            self.watch(now, since, poller, inbox);
        }
    }

    fn open(&self, now: Instant, since: u64, poller: &Poller) -> io::Result<Watch> {
        let mut wire = Wire::dial(self.addr)?;
        let path = format!("/catalog/members?follow=1&since={since}");
        wire.out().extend(http::get(&path, &self.addr.to_string()));
        poller.add(&wire, Token::Watch(self.opened), Interest::WRITE)?;
        Ok(Watch { wire, lines: Lines::default(), connected: false, silent_at: now + SILENCE })
    }

    pub fn ready(
        &mut self,
        now: Instant,
        number: u64,
        event: Ready,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        if number != self.opened {
            return;
        }
        let Some(watch) = &mut self.watch else { return };
        if let Err(error) = watch.ready(now, number, event, poller, inbox) {
            self.broken(&error, inbox);
        }
    }

    /// When [`Discovery::tick`] is due.
    pub fn next(&self) -> Option<Instant> {
        self.watch.as_ref().map(|watch| watch.silent_at)
    }

    /// Guards against: a discovery that vanished and says nothing, on a connection that stays open.
    pub fn tick(&mut self, now: Instant, inbox: &mut VecDeque<Input>) {
        if self.next().is_some_and(|at| at <= now) {
            self.broken("silent", inbox);
        }
    }

    fn broken(&mut self, why: &str, inbox: &mut VecDeque<Input>) {
        warn!(why, "watch broken");
        self.watch = None;
        inbox.push_back(Input::WatchBroken);
    }
}

impl Watch {
    fn ready(
        &mut self,
        now: Instant,
        number: u64,
        event: Ready,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) -> Result<(), String> {
        let text = |e: io::Error| e.to_string();
        if !self.connected && (event.write || event.broken) {
            self.wire.dialled().map_err(text)?;
            self.connected = true;
        }
        if event.write && self.wire.flush().map_err(text)? {
            poller.change(&self.wire, Token::Watch(number), Interest::READ).map_err(text)?;
        }
        let (mut scratch, mut bytes, mut lines) = (vec![0; CHUNK], Vec::new(), Vec::new());
        let taken = self.wire.read(&mut scratch, &mut bytes).map_err(text)?;
        if taken == Taken::Some {
            self.silent_at = now + SILENCE;
        }
        self.lines.feed(&bytes, &mut lines).map_err(|e| e.to_string())?;
        for line in lines.iter().filter(|line| !line.is_empty()) {
            let text = std::str::from_utf8(line).map_err(|e| format!("malformed list: {e}"))?;
            let members: Members =
                yewroute_settings::parse(text).map_err(|fault| format!("malformed list: {fault}"))?;
            inbox.push_back(Input::Members(members));
        }
        if taken == Taken::End || self.lines.ended() {
            return Err("ended by discovery".to_owned());
        }
        Ok(())
    }
}
