//! The listener, and the connections that wait there.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use tracing::warn;

use super::closes::CloseReason;
use super::{Clients, TimerEvent, ACCEPT_RETRY_DELAY};
use crate::net::client::Client;
use crate::net::eviction::evict;
use crate::net::poller::{Interest, Poller, Token};
use crate::net::socket_buffers::limit_segments_of;
use crate::net::wire::Wire;
use crate::proto::pg::session::Session;

impl Clients {
    /// Takes connections from this listener.
    pub fn listen(&mut self, listener: TcpListener, poller: &Poller) -> io::Result<()> {
        limit_segments_of(&listener)?;
        poller.add(&listener, Token::Listener, Interest::READ)?;
        (self.listener, self.listening) = (Some(listener), true);
        Ok(())
    }

    /// The listener, if it is open.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Where clients connect.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().map_or(Err(ErrorKind::NotConnected.into()), TcpListener::local_addr)
    }

    /// Takes the connections that wait, one of which is known of if `awaited`; false if some may be left for want of room.
    ///
    /// Guards against: a connection closed to make room for nobody. If more wait than are known of, the poller tells.
    pub fn accept(&mut self, now: Instant, mut awaited: bool, poller: &Poller) -> bool {
        while self.listener.is_some() {
            let full = self.clients.len() >= self.most;
            if full && !awaited {
                return false;
            }
            if full && !self.evict(now) {
                warn!(open = self.clients.len(), "out of client connections, all busy");
                self.rest(now, poller);
                return false;
            }
            let Some(listener) = &self.listener else { break };
            match listener.accept() {
                Ok((stream, _)) => {
                    awaited = false;
                    let number = self.accepted + 1;
                    self.accepted = number;
                    let unsent = self.unsent_limit();
                    let wire = Wire::accepted(stream).and_then(|mut wire| {
                        wire.limit_unsent(unsent)?;
                        wire.note_receive_times();
                        poller.add(&wire, Token::Client(number), Interest::READ)?;
                        Ok(wire)
                    });
                    match wire {
                        Ok(wire) => {
                            let client = Client::new(
                                now,
                                poller.unread_since(),
                                wire,
                                Session::sharing(self.protocol.terms, &self.sessions),
                                (self.keys.of(number), self.shares),
                            );
                            self.clients.insert(number, client);
                        }
                        Err(error) => warn!(%error, "cannot take a client's connection"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // Guards against: a busy loop when descriptors have run out (EMFILE).
                    warn!(%error, "cannot accept");
                    if !self.evict(now) {
                        self.rest(now, poller);
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Closes a connection that nothing is owed on, if there is one.
    fn evict(&mut self, now: Instant) -> bool {
        let evicted = evict(now, self.silent, &mut self.clients, &mut self.scratch);
        if evicted {
            self.closes.count(CloseReason::Evicted);
        }
        evicted
    }

    /// Stops listening for a moment; what waits stays in the backlog.
    pub(super) fn rest(&mut self, now: Instant, poller: &Poller) {
        if let (true, Some(listener)) = (self.listening, &self.listener) {
            self.listening = poller.remove(listener).is_err();
            self.timers.set(now + ACCEPT_RETRY_DELAY, TimerEvent::Accept);
        }
    }

    /// Closes the listener once nobody waits there, or at last by then. Guards against: connections that are reset for want
    /// of room, while others are leaving.
    pub(super) fn close_listener(&mut self, now: Instant, by: Instant, poller: &Poller) {
        if now < by && !self.accept(now, false, poller) {
            self.timers.set(now + ACCEPT_RETRY_DELAY, TimerEvent::Close(by));
            return;
        }
        (self.listener, self.listening) = (None, false);
    }

    /// Guards against: connections beyond a limit that a reload has lowered, which would stay for as long as their clients rest.
    pub(super) fn close_surplus(&mut self, now: Instant) {
        while self.clients.len() > self.most {
            if !self.evict(now) {
                return;
            }
        }
    }

    /// Listens again after a rest; what waits is told by the poller.
    pub(super) fn accept_again(&mut self, poller: &Poller) {
        let closes = !self.admission.listens;
        if let (false, true, Some(listener)) =
            (self.listening, self.admission.accepts || closes, &self.listener)
        {
            self.listening = poller.add(listener, Token::Listener, Interest::READ).is_ok();
        }
    }
}
