//! Gives waiting jobs connections to their db hosts, and writes them.

use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;

use tracing::warn;
use yewroute::interface::{ServerId, Status};

use super::first_byte::FirstByteLimit;
use super::{HostConnection, HostProtocol, Hosts, HostsContext, JobId, State, TimerEvent};
use crate::core::Ended;
use crate::memory_plan::LONGEST_COPIED_STATEMENT;
use crate::net::poller::{Interest, Token};
use crate::net::wire::{Shared, Wire};
use crate::net::Input;
use crate::proto::pg::backend;
use crate::proto::pg::exchange::Sent;
use crate::proto::pg::request::Body;

impl Hosts {
    /// Writes what waits for a connection or for room on one.
    ///
    /// Guards against: bytes of an attempt that go out when its end, its client's leaving or its db host's drain has
    /// come already, in the same wake-up, and is not told yet. Called when nothing is left to be told.
    pub fn serve_waiting(&mut self, a: &mut HostsContext) {
        self.feed_starved(a);
        for number in std::mem::take(&mut self.writable) {
            self.write_rest(number, a);
        }
        if self.list_changes != a.core.directory().changes() {
            self.list_changes = a.core.directory().changes();
            self.drop_outdated_dials(a);
        }
        for server in std::mem::take(&mut self.servable) {
            self.each_waiting(server, |leave| leave.wait_if_held_up(a.now));
            self.pump(server, a);
            self.each_waiting(server, FirstByteLimit::wait);
        }
    }

    /// Guards against: jobs that wait on for a db host that drains, or at an address that it has left.
    fn drop_outdated_dials(&mut self, a: &HostsContext) {
        let (conns, pools) = (&mut self.conns, &mut self.pools);
        conns.retain(|_, conn| {
            let dialling = matches!(conn.state, State::Connecting | State::Starting);
            let outdated = dialling && a.core.directory().open(conn.server) != Some(conn.addr);
            if outdated {
                pools.entry(conn.server).or_default().dialing -= 1;
            }
            !outdated
        });
        let waiting = self.pools.iter().filter(|(_, pool)| !pool.waiting.is_empty());
        self.servable.extend(waiting.map(|(server, _)| *server));
    }

    /// Goes on writing an attempt. Guards against: its last byte going out when its time is over.
    fn write_rest(&mut self, number: u64, a: &mut HostsContext) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let State::Busy(id) = conn.state else { return };
        let over = self.jobs.get(&id).filter(|job| job.is_over(a.now)).map(|job| job.number);
        match over {
            Some(job) if !conn.may_have_run() => self.cut(id, job, a),
            _ if conn.flush(number, &mut self.forwards, a).is_err() => self.lose(number, a),
            _ => {}
        }
    }

    /// Tells each job that waits for a connection to a db host.
    fn each_waiting(&mut self, server: ServerId, tell: impl Fn(&mut FirstByteLimit)) {
        let waiting = self.pools.get(&server).into_iter().flat_map(|pool| &pool.waiting);
        for id in waiting {
            if let Some(job) = self.jobs.get_mut(id) {
                tell(&mut job.leave);
            }
        }
    }

    /// Spends for a job that has a connection; one that finds nothing left is over.
    fn spend(&mut self, id: JobId, a: &mut HostsContext) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let Err(refused) = job.leave.spend() else { return true };
        self.remove(id);
        if let JobId::Attempt(attempt) = id {
            a.inbox.push_back(Input::LimitReached(attempt, refused));
        }
        false
    }

    /// Gives waiting jobs connections: idle ones first, then new ones.
    fn pump(&mut self, server: ServerId, a: &mut HostsContext) {
        loop {
            let pool = self.pools.entry(server).or_default();
            let Some(id) = pool.waiting.front().copied() else { return };
            let Some(addr) = a.core.directory().open(server) else {
                // Guards against: a first byte for a db host that drains, of a send that was queued or
                // still connecting when the news came.
                self.end(id, Ended::silent(Status::NotSent), a);
                continue;
            };
            if let Err(status) = self.may_write(id, a) {
                self.end(id, Ended::silent(status), a);
                continue;
            }
            let pool = self.pools.entry(server).or_default();
            if let Some(number) = pool.idle.pop() {
                let conn = self.conns.get(&number);
                // Guards against: a stale connection that ends as a reset. One that the db host has closed
                // may not have been polled yet.
                if !conn.is_some_and(|conn| conn.addr == addr && conn.wire.quiet()) {
                    self.conns.remove(&number);
                } else if self.spend(id, a) {
                    self.pools.entry(server).or_default().waiting.pop_front();
                    self.write(number, id, a);
                } else {
                    self.pools.entry(server).or_default().idle.push(number);
                }
                continue;
            }
            if pool.dialing >= pool.waiting.len() {
                return;
            }
            if self.conns.len() >= self.most && !self.evict() {
                warn!(open = self.conns.len(), "out of connections to db hosts");
                let last = self.pools[&server].waiting.back().copied().unwrap_or(id);
                self.end(last, Ended::silent(Status::NotSent), a);
                continue;
            }
            self.opened += 1;
            let number = self.opened;
            let dialled = Wire::dial_with_limit(addr, self.receive_limits.unread)
                .and_then(|wire| a.poller.add(&wire, Token::Host(number), Interest::WRITE).map(|()| wire));
            match dialled {
                Ok(wire) => {
                    self.timers.set(a.now + self.connect_timeout, TimerEvent::Connect(number));
                    let conn = HostConnection::new(a.now, server, addr, wire);
                    self.conns.insert(number, conn);
                    self.pools.entry(server).or_default().dialing += 1;
                }
                Err(error) => {
                    warn!(%addr, %error, "cannot dial");
                    self.end(id, Ended::silent(Status::ConnectFailed), a);
                }
            }
        }
    }

    /// Whether a job's first byte may go out now, however long it has waited; if not, how it ends.
    fn may_write(&self, id: JobId, a: &HostsContext) -> Result<(), Status> {
        let job = self.jobs.get(&id).ok_or(Status::NotSent)?;
        let fits = match id {
            JobId::Attempt(attempt) => a.core.may_begin(a.now, attempt),
            JobId::Probe(_) => a.core.list_is_current(a.now),
        };
        match () {
            () if !fits || job.cut_at <= a.now || job.leave.over() => Err(Status::NotSent),
            // In time when the turn of the loop began.
            () if job.is_over(a.now) => Err(Status::HeldUp),
            () => Ok(()),
        }
    }

    /// Closes the idle connection that was used longest ago.
    pub(super) fn evict(&mut self) -> bool {
        let idle = self.conns.iter().filter_map(|(number, conn)| match conn.state {
            State::Idle(since) => Some((since, *number)),
            _ => None,
        });
        let Some((_, number)) = idle.min() else { return false };
        self.forget(number);
        true
    }

    /// Writes a job's query on a connection that is free.
    fn write(&mut self, number: u64, id: JobId, a: &mut HostsContext) {
        let (Some(conn), Some(job)) = (self.conns.get_mut(&number), self.jobs.get_mut(&id)) else { return };
        job.conn = Some(number);
        conn.state = State::Busy(id);
        (conn.begun, conn.passing, conn.paused, conn.starved) = (false, false, false, false);
        // An attempt that is written once more, as its statement was not there, is the same one.
        conn.forwarding = matches!(id, JobId::Attempt(_)) && !job.again;
        let wait = job.cut_at.saturating_duration_since(a.now.max(Instant::now()));
        let statement = job.statement.clone();
        conn.sent = Sent::default();
        conn.put_separators();
        match statement.as_ref().map(|statement| (statement, &statement.body)) {
            // A long statement is one buffer from its client to every db host that it is written to.
            Some((statement, Body::Simple(simple))) if simple.text.len() > LONGEST_COPIED_STATEMENT => {
                let Range { start, end } = simple.wait_at;
                simple.put_head(conn.wire.out(), wait);
                conn.wire.share(Rc::clone(statement) as Rc<dyn Shared>, 0..start);
                simple.put_wait(conn.wire.out(), wait);
                conn.wire.share(Rc::clone(statement) as Rc<dyn Shared>, end..simple.text.len());
                conn.wire.out().push(0);
            }
            Some((_, body)) => {
                let HostProtocol { dialect, statements } = self.protocol;
                let (out, gather) = (conn.wire.out(), &mut conn.gather);
                conn.sent = conn.prepared.put(out, gather, body, wait, dialect, statements);
            }
            None => backend::put_query(conn.wire.out(), |out| out.extend(backend::SHOW_LOAD)),
        }
        if conn.flush(number, &mut self.forwards, a).is_err() {
            self.lose(number, a);
        }
    }

    /// A new connection did not come up; the job that has waited longest pays for it, unless each still has one that is
    /// being made. Guards against: a job that ends by the connection of one that was given up.
    pub(super) fn fail_dial(&mut self, number: u64, status: Status, why: &str, a: &mut HostsContext) {
        let Some(conn) = self.conns.remove(&number) else { return };
        match a.core.directory().open(conn.server) {
            Some(addr) => warn!(%addr, why, "no connection to a db host"),
            None => warn!(why, "no connection to a db host that has left"),
        }
        let pool = self.pools.entry(conn.server).or_default();
        pool.dialing -= 1;
        let short = pool.dialing < pool.waiting.len();
        if let Some(id) = pool.waiting.front().copied().filter(|_| short) {
            self.end(id, Ended::silent(status), a);
        }
    }
}
