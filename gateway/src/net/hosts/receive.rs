//! What comes from db hosts: connections that come up or break, and answers as they arrive.

use tracing::warn;
use yewroute::interface::Status;

use super::connection::{ended, JobId, State};
use super::{Hosts, HostsContext, TimerEvent, ANSWER_STALL_TIMEOUT};
use crate::core::Ended;
use crate::net::poller::Ready;
use crate::net::wire::{release, Taken};
use crate::net::Input;
use crate::proto::pg::backend::{self, Reply, Step, Verdict};

impl Hosts {
    pub fn ready(&mut self, number: u64, event: Ready, a: &mut HostsContext) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        if conn.state == State::Connecting {
            if let Err(error) = conn.wire.dialled() {
                self.fail_dial(number, Status::ConnectFailed, &error.to_string(), a);
                return;
            }
            conn.state = State::Starting;
            backend::put_startup(conn.wire.out());
        }
        if conn.state == State::Starting && conn.flush(number, &mut self.forwards, a).is_err() {
            self.lose(number, a);
            return;
        }
        if event.write && matches!(conn.state, State::Busy(_)) {
            self.writable.insert(number);
        }
        // Guards against: a busy loop over a connection that has broken and is not read from.
        if (conn.paused || conn.starved) && !event.broken {
            return;
        }
        conn.moved = a.now;
        let most = self.read_size(number);
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let taken = match conn.wire.read(&mut self.scratch, &mut conn.buffer, most) {
            Ok(taken) => taken,
            Err(_) => Taken::End,
        };
        if taken == Taken::Some {
            self.gather(number, a);
        } else if taken == Taken::End || event.broken {
            self.lose(number, a);
        }
    }

    /// Takes the messages that have come.
    fn gather(&mut self, number: u64, a: &mut HostsContext) {
        // Bytes that have been taken, and those of them that belong to answers that are whole.
        let (mut used, mut whole) = (0, 0);
        loop {
            let Some(conn) = self.conns.get_mut(&number) else { return };
            if matches!(conn.state, State::Idle(_)) {
                if used < conn.buffer.len() {
                    // It says goodbye, or something that was not asked for.
                    self.forget(number);
                    return;
                }
                conn.buffer.clear();
                release(&mut conn.buffer);
                self.servable.insert(conn.server);
                return;
            }
            match conn.gather.next(&conn.buffer[used..]) {
                Ok(Some((step, len))) => {
                    used += len;
                    match step {
                        Step::More => {}
                        Step::Separated => {
                            whole = used;
                            self.pools.entry(conn.server).or_default().separators.answered();
                        }
                        Step::Ready(reply) => {
                            whole = used;
                            self.answered(number, reply, a);
                        }
                        Step::Begins(head) => {
                            let State::Busy(JobId::Attempt(attempt)) = conn.state else {
                                self.malformed(number, "a long value that was not asked for", a);
                                return;
                            };
                            conn.passing = true;
                            self.answered.extend(conn.answer_permit.take());
                            // The value has begun, so no other attempt follows and this one is not written again.
                            if let Some(job) = self.jobs.get_mut(&JobId::Attempt(attempt)) {
                                job.statement = None;
                            }
                            a.inbox.push_back(Input::Began(attempt, head));
                        }
                        Step::Part => {
                            if let State::Busy(JobId::Attempt(attempt)) = conn.state {
                                let part = conn.buffer[used - len..used].to_vec();
                                a.inbox.push_back(Input::Part(attempt, part));
                            }
                        }
                    }
                }
                Ok(None) => {
                    let came = conn.buffer.len() > whole && conn.gather.under_way(&conn.buffer[used..]);
                    conn.buffer.drain(..used);
                    release(&mut conn.buffer);
                    let begins = came && !conn.begun && !conn.passing;
                    if let (State::Busy(id), true) = (conn.state, begins) {
                        conn.begun = true;
                        self.timers.set(a.now + ANSWER_STALL_TIMEOUT, TimerEvent::Answer(number, id));
                    }
                    self.pay_for_answer(number, a);
                    return;
                }
                Err(error) => {
                    self.malformed(number, &error.to_string(), a);
                    return;
                }
            }
        }
    }

    /// ReadyForQuery has come.
    fn answered(&mut self, number: u64, reply: Reply, a: &mut HostsContext) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        self.answered.extend(conn.answer_permit.take());
        if let State::Busy(id) = conn.state {
            // The statement was not there, so nothing ran. It is the same attempt that waits for a connection once more,
            // unless its client has gone: then it ends as one that never ran.
            let lost = conn.prepared.settle(&conn.sent, &reply);
            let job = self.jobs.get_mut(&id).filter(|job| lost && !job.again && !job.withdrawn);
            if let Some(job) = job {
                (job.again, job.conn) = (true, None);
                conn.state = State::Idle(a.now);
                let pool = self.pools.entry(conn.server).or_default();
                pool.idle.push(number);
                pool.waiting.push_front(id);
                return;
            }
        }
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let before = std::mem::replace(&mut conn.state, State::Idle(a.now));
        let server = conn.server;
        let pool = self.pools.entry(server).or_default();
        let State::Busy(id) = before else {
            pool.dialing -= 1;
            pool.idle.push(number);
            return;
        };
        if pool.separators.allows_reuse(a.now) {
            pool.idle.push(number);
        } else {
            self.conns.remove(&number);
            self.servable.insert(server);
        }
        self.end(id, ended(id, reply), a);
    }

    /// A connection has ended or broken.
    pub(super) fn lose(&mut self, number: u64, a: &mut HostsContext) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let cut_short = conn.gather.cut_short();
        match conn.state {
            State::Connecting | State::Starting => {
                // An ErrorResponse in place of a welcome: turned away if it says so.
                let turned_away = cut_short.is_some_and(|reply| reply.verdict == Verdict::TurnedAway);
                let status = if turned_away { Status::Full } else { Status::ConnectFailed };
                self.fail_dial(number, status, "ended before the welcome", a);
            }
            State::Idle(_) => self.forget(number),
            State::Busy(id) => {
                let written = conn.may_have_run();
                self.conns.remove(&number);
                let end = match cut_short {
                    Some(reply) => ended(id, reply),
                    None if written => Ended::silent(Status::Reset),
                    None => Ended::silent(Status::ConnectFailed),
                };
                self.end(id, end, a);
            }
        }
    }

    /// Guards against: anything spoilt being passed on, and the connection being used again. The request may
    /// have run; its db host goes on being judged by what it serves.
    pub(super) fn malformed(&mut self, number: u64, why: &str, a: &mut HostsContext) {
        warn!(why, "spoilt answer from a db host");
        if let Some(conn) = self.conns.get(&number).filter(|conn| conn.gather.awaits_separators()) {
            let server = conn.server;
            let pool = self.pools.entry(server).or_default();
            pool.separators.spoilt(a.now);
            if !pool.separators.allows_reuse(a.now) {
                self.close_used(server);
            }
        }
        match self.conns.get(&number).map(|conn| conn.state) {
            Some(State::Busy(id)) => {
                self.conns.remove(&number);
                self.end(id, Ended::silent(Status::Spoilt), a);
            }
            Some(State::Idle(_)) => self.forget(number),
            Some(_) => self.fail_dial(number, Status::ConnectFailed, "malformed welcome", a),
            None => {}
        }
    }
}
