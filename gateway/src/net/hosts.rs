//! Connections to db hosts: a pool for each, one request at a time on each connection.

mod answer_memory;
mod assign;
mod connection;
pub mod first_byte;
mod receive;
mod separator_support;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use yewroute::interface::{ServerId, Status};
use yewroute_ledger::{ByteBudget, BytePermit};

use super::poller::Poller;
use super::statement::Statement;
use super::wire::CHUNK;
use super::Input;
use crate::core::{AttemptId, Core, Ended};
use crate::proto::pg::exchange::Dialect;
use crate::timers::Timers;
use connection::{HostConnection, JobId, State};
use first_byte::FirstByteLimit;
use separator_support::SeparatorSupport;

/// Idle connections are retired after this share of the time that a db host leaves them open.
const RETIRE_AT_KEEPALIVE_SHARE: f64 = 0.6;
/// The answer to a probe of which a part has come goes on within this time, or is spoilt; that to an attempt is first looked at then.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// A value that is passed on goes on within this time, or is spoilt.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How often that is looked after.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

struct Job {
    server: ServerId,
    leave: FirstByteLimit,
    /// None for a probe, and where nothing may send it any more.
    statement: Option<Rc<Statement>>,
    cut_at: Instant,
    conn: Option<u64>,
    /// It has been written once more, as its statement was not there.
    again: bool,
    /// Its client has gone.
    withdrawn: bool,
    /// Tells a probe from an earlier one to the same db host, whose timer may still be set.
    number: u64,
}

impl Job {
    /// Its time is over. The clock is read again: the turn of the loop may have begun long ago.
    fn is_over(&self, now: Instant) -> bool {
        self.cut_at <= now.max(Instant::now())
    }
}

#[derive(Clone, Copy)]
enum TimerEvent {
    /// Connecting has taken too long.
    Connect(u64),
    /// A job's time is over.
    Cut(JobId, u64),
    /// A job should have a connection by now.
    Begin(JobId),
    /// The job's answer, begun on this connection, should be whole by now.
    Answer(u64, JobId),
    Sweep,
}

#[derive(Default)]
struct Pool {
    /// The one used last is used next, so that those not needed grow old.
    idle: Vec<u64>,
    waiting: VecDeque<JobId>,
    dialing: usize,
    separators: SeparatorSupport,
}

/// All connections to db hosts.
pub struct Hosts {
    conns: HashMap<u64, HostConnection>,
    pools: BTreeMap<ServerId, Pool>,
    jobs: HashMap<JobId, Job>,
    /// Db hosts whose waiting jobs may have a connection now, and connections with room for the rest of an attempt: both
    /// wait for [`Hosts::serve_waiting`].
    servable: BTreeSet<ServerId>,
    writable: BTreeSet<u64>,
    /// How often the list had changed when waiting jobs were last compared with it.
    list_changes: u64,
    timers: Timers<TimerEvent>,
    opened: u64,
    started: u64,
    /// Attempts written whole.
    forwards: u64,
    most: usize,
    /// What answers are paid for out of, from their first byte to the last that their clients take.
    answers: ByteBudget,
    /// Connections that are not read from, as there are no bytes for their answers, in order.
    starved: VecDeque<u64>,
    /// Permits of answers that their clients have not got yet.
    answered: Vec<BytePermit>,
    receive_limits: ReceiveLimits,
    protocol: HostProtocol,
    connect_timeout: Duration,
    retire_after: Duration,
    scratch: Vec<u8>,
}

/// How much of an answer is taken in at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiveLimits {
    /// A value that is passed on is read in pieces of so many bytes.
    pub piece: usize,
    /// Bytes that the system holds for a connection while this process does not read it.
    pub unread: usize,
}

/// How db hosts are spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostProtocol {
    /// What they understand.
    pub dialect: Dialect,
    /// Statements that a connection may have prepared.
    pub statements: usize,
}

/// What the pool needs of its surroundings for a moment.
pub struct HostsContext<'a> {
    pub now: Instant,
    pub poller: &'a Poller,
    pub core: &'a Core<Statement>,
    pub inbox: &'a mut VecDeque<Input>,
}

impl Hosts {
    /// A pool of at most `most` connections, whose answers are paid for out of `answers` and taken in by these limits.
    pub fn new(
        now: Instant,
        most: usize,
        (answers, receive_limits): (ByteBudget, ReceiveLimits),
        protocol: HostProtocol,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Self {
        let mut timers = Timers::new();
        timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        Self {
            conns: HashMap::new(),
            pools: BTreeMap::new(),
            jobs: HashMap::new(),
            servable: BTreeSet::new(),
            writable: BTreeSet::new(),
            list_changes: 0,
            timers,
            opened: 0,
            started: 0,
            forwards: 0,
            most,
            answers,
            starved: VecDeque::new(),
            answered: Vec::new(),
            receive_limits,
            protocol,
            connect_timeout,
            retire_after: keepalive.mul_f64(RETIRE_AT_KEEPALIVE_SHARE),
            scratch: vec![0; CHUNK],
        }
    }

    /// Connections that may be open, and how much of an answer is taken in at a time, from now on. What the system holds for a
    /// connection stays as it was when that was opened.
    pub fn limit(&mut self, most: usize, receive_limits: ReceiveLimits) {
        (self.most, self.receive_limits) = (most, receive_limits);
    }

    /// How db hosts are spoken to from now on.
    pub fn set_protocol(&mut self, protocol: HostProtocol) {
        self.protocol = protocol;
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Bytes that the buffers of all connections take, used or not.
    pub fn buffer_bytes(&self) -> usize {
        self.conns.values().map(HostConnection::buffer_bytes).sum()
    }

    /// Attempts written whole so far.
    pub fn forwards(&self) -> u64 {
        self.forwards
    }

    /// Starts an attempt. It is written by [`Hosts::serve_waiting`], as is all else.
    pub fn start(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        statement: Rc<Statement>,
        (begin_by, cut_at, leave): (Option<Instant>, Instant, FirstByteLimit),
    ) {
        let id = JobId::Attempt(attempt);
        if let Some(by) = begin_by {
            self.timers.set(by, TimerEvent::Begin(id));
        }
        self.take(id, server, Some(statement), (cut_at, leave));
    }

    /// Starts a probe.
    pub fn probe(&mut self, now: Instant, server: ServerId) {
        if self.jobs.contains_key(&JobId::Probe(server)) {
            return;
        }
        self.take(
            JobId::Probe(server),
            server,
            None,
            (now + self.connect_timeout, FirstByteLimit::default()),
        );
    }

    fn take(
        &mut self,
        id: JobId,
        server: ServerId,
        statement: Option<Rc<Statement>>,
        (cut_at, leave): (Instant, FirstByteLimit),
    ) {
        self.started += 1;
        let number = self.started;
        self.timers.set(cut_at, TimerEvent::Cut(id, number));
        let (conn, again, withdrawn) = (None, false, false);
        self.jobs.insert(id, Job { server, leave, statement, cut_at, conn, again, withdrawn, number });
        self.pools.entry(server).or_default().waiting.push_back(id);
        self.servable.insert(server);
    }

    /// Drops an attempt that nobody waits for, if it cannot have run. Of one that may have run the statement is dropped: it is
    /// never written again.
    pub fn withdraw(&mut self, attempt: AttemptId, a: &mut HostsContext) {
        let id = JobId::Attempt(attempt);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.withdrawn = true;
        // Guards against: long statements of clients that have gone, which together fill the memory.
        job.statement = None;
        match job.conn {
            None => self.end(id, Ended::silent(Status::NotSent), a),
            // What is not written yet goes with its connection.
            Some(number) if self.conns.get(&number).is_some_and(|conn| !conn.may_have_run()) => {
                self.conns.remove(&number);
                self.end(id, Ended::silent(Status::NotSent), a);
            }
            Some(_) => {}
        }
    }

    /// Closes the idle connections to a db host.
    pub fn close_idle(&mut self, server: ServerId) {
        let idle = self.pools.get_mut(&server).map(|pool| std::mem::take(&mut pool.idle));
        for conn in idle.unwrap_or_default() {
            self.conns.remove(&conn);
        }
    }

    /// Closes the idle connections to a db host that have had an exchange.
    fn close_used(&mut self, server: ServerId) {
        let (conns, pools) = (&mut self.conns, &mut self.pools);
        pools.entry(server).or_default().idle.retain(|number| {
            let unused = conns.get(number).is_some_and(HostConnection::is_unused);
            if !unused {
                conns.remove(number);
            }
            unused
        });
    }

    pub fn next(&self) -> Option<Instant> {
        self.timers.next()
    }

    pub fn tick(&mut self, a: &mut HostsContext) {
        self.prune_timers();
        while let Some(due) = self.timers.due(a.now) {
            match due {
                TimerEvent::Connect(number) => {
                    let state = self.conns.get(&number).map(|conn| conn.state);
                    if matches!(state, Some(State::Connecting | State::Starting)) {
                        self.fail_dial(number, Status::ConnectFailed, "timed out", a);
                    }
                }
                TimerEvent::Cut(id, number) => self.cut(id, number, a),
                TimerEvent::Begin(id) => {
                    // The connection being made goes on: others may use it.
                    if self.jobs.get(&id).is_some_and(|job| job.conn.is_none()) {
                        self.end(id, Ended::silent(Status::NotSent), a);
                    }
                }
                TimerEvent::Answer(number, id) => self.answer_due(number, id, a),
                TimerEvent::Sweep => {
                    self.sweep(a);
                    self.timers.set(a.now + SWEEP_INTERVAL, TimerEvent::Sweep);
                }
            }
        }
    }

    fn prune_timers(&mut self) {
        /// Of a job, and of a connection.
        const TIMERS_OF_EACH: usize = 2;
        let Self { timers, jobs, conns, .. } = self;
        timers.prune(TIMERS_OF_EACH * (jobs.len() + conns.len()), |due| match due {
            TimerEvent::Cut(id, number) => jobs.get(id).is_some_and(|job| job.number == *number),
            TimerEvent::Begin(id) => jobs.get(id).is_some_and(|job| job.conn.is_none()),
            TimerEvent::Connect(number) => conns
                .get(number)
                .is_some_and(|conn| matches!(conn.state, State::Connecting | State::Starting)),
            TimerEvent::Answer(number, id) => {
                conns.get(number).is_some_and(|conn| conn.state == State::Busy(*id))
            }
            TimerEvent::Sweep => true,
        });
    }

    /// Guards against: waiting for the rest of an answer that stopped.
    fn answer_due(&mut self, number: u64, id: JobId, a: &mut HostsContext) {
        let conn = self.conns.get(&number).filter(|conn| conn.state == State::Busy(id) && !conn.passing);
        let Some(conn) = conn else { return };
        let timeout = match id {
            JobId::Probe(_) => Some(ANSWER_STALL_TIMEOUT),
            JobId::Attempt(attempt) => a.core.answer_stall_timeout(a.now, attempt),
        };
        let Some(timeout) = timeout else { return };
        let at = conn.moved + timeout;
        if conn.starved {
            self.timers.set(a.now + ANSWER_STALL_TIMEOUT, TimerEvent::Answer(number, id));
        } else if at <= a.now {
            self.malformed(number, "not whole in time", a);
        } else {
            self.timers.set(at, TimerEvent::Answer(number, id));
        }
    }

    /// Stops reading the value of an attempt for now, or goes on.
    pub fn pause(&mut self, attempt: AttemptId, paused: bool, a: &mut HostsContext) {
        let number = self.jobs.get(&JobId::Attempt(attempt)).and_then(|job| job.conn);
        let Some((number, conn)) = number.and_then(|n| Some((n, self.conns.get_mut(&n)?))) else { return };
        if conn.passing && conn.pause(number, paused, a).is_err() {
            self.lose(number, a);
        }
    }

    /// Drops an attempt whose value nobody wants any more, with its connection.
    pub fn abandon(&mut self, attempt: AttemptId) {
        let job = self.jobs.remove(&JobId::Attempt(attempt));
        if let Some(number) = job.and_then(|job| job.conn) {
            self.conns.remove(&number);
        }
    }

    /// Guards against: a second copy. The connection of an attempt that is given up is closed before anything
    /// else can be sent for the request, and never used again.
    fn cut(&mut self, id: JobId, number: u64, a: &mut HostsContext) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.number == number) else { return };
        // What is timed of a value that is passed on is its first byte.
        if job.conn.and_then(|conn| self.conns.get(&conn)).is_some_and(|conn| conn.passing) {
            return;
        }
        if let Some(until) = self.awaits_rest_until(id, a) {
            self.timers.set(until, TimerEvent::Cut(id, number));
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let written = job.conn.and_then(|conn| self.conns.remove(&conn)).map(|conn| conn.may_have_run());
        let status = match (id, written) {
            (_, Some(true)) => Status::Timeout,
            (JobId::Attempt(_), _) => Status::NotSent,
            (JobId::Probe(_), _) => Status::ConnectFailed,
        };
        self.end(id, Ended::silent(status), a);
    }

    /// Until when the rest of an answer is awaited of which a part has come, beyond the time of its attempt. One that stops is
    /// given up sooner, see [`Self::answer_due`].
    fn awaits_rest_until(&self, id: JobId, a: &HostsContext) -> Option<Instant> {
        let JobId::Attempt(attempt) = id else { return None };
        let conn = self.jobs.get(&id).and_then(|job| self.conns.get(&job.conn?))?;
        let until = a.core.client_waits_until(attempt).filter(|_| conn.begun)?;
        (until > a.now).then_some(until)
    }

    /// Closes connections that have been idle for long, before the db host does, and those to db hosts that
    /// are to get nothing more.
    fn sweep(&mut self, a: &mut HostsContext) {
        let stopped = |conn: &HostConnection| {
            let under_way = matches!(conn.state, State::Busy(_)) && conn.passing;
            under_way && !conn.paused && a.now - conn.moved >= VALUE_STALL_TIMEOUT
        };
        let stopped = self.conns.iter().filter(|(_, conn)| stopped(conn)).map(|(number, _)| *number);
        for number in stopped.collect::<Vec<_>>() {
            self.malformed(number, "a value that stopped", a);
        }
        for (server, pool) in &mut self.pools {
            let open = a.core.directory().open(*server).is_some();
            pool.idle.retain(|number| {
                let state = self.conns.get(number).map(|conn| conn.state);
                let keep =
                    open && matches!(state, Some(State::Idle(since)) if a.now - since < self.retire_after);
                if !keep {
                    self.conns.remove(number);
                }
                keep
            });
        }
        // Guards against: connections beyond a limit that a reload has lowered.
        while self.conns.len() > self.most && self.evict() {}
        // Guards against: a pool for every db host there ever was.
        self.pools.retain(|server, pool| {
            let used = !pool.idle.is_empty() || !pool.waiting.is_empty() || pool.dialing > 0;
            used || a.core.directory().open(*server).is_some()
        });
    }

    fn forget(&mut self, number: u64) {
        if let Some(conn) = self.conns.remove(&number) {
            self.pools.entry(conn.server).or_default().idle.retain(|idle| *idle != number);
        }
    }

    /// Forgets a job; false if it is not known.
    fn remove(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        if job.conn.is_none() {
            self.pools.entry(job.server).or_default().waiting.retain(|waiting| *waiting != id);
        }
        true
    }

    /// A job is over.
    fn end(&mut self, id: JobId, ended: Ended, a: &mut HostsContext) {
        if !self.remove(id) {
            return;
        }
        a.inbox.push_back(match id {
            JobId::Attempt(attempt) => Input::Ended(attempt, ended),
            JobId::Probe(server) => Input::Probed(server, ended),
        });
    }
}

#[cfg(test)]
mod tests;
