//! What happens to a request, without I/O.
//!
//! A request passes these stages, a file each: [`take_in`] numbers it, [`admit`] sees whether it can be held,
//! [`route`] asks the module, [`send`] starts an attempt, [`relay`] hands the client its one final answer and
//! [`book`] tells the module what came of it. Inputs are values with a time, effects are values too; nothing
//! here knows what protocol either side speaks.

mod admit;
mod book;
mod channels;
mod directory;
mod failed_attempts;
mod limit;
mod reach;
mod relay;
mod request_ids;
mod route;
mod send;
mod shares;
mod stream;
mod take_in;
mod tally;
#[cfg(test)]
mod tests;
mod unserved;
mod verdicts;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yewroute::interface::{
    Action, Event, ListObservation, RequestId, Role, ServerId, SettingsError, Stand, Status,
};
use yewroute::Router;
use yewroute_federation::bridge::Shared;
use yewroute_federation::limits::{Refused, Spent};
use yewroute_federation::permit::Permit;
use yewroute_fleet::{Loads, Subject, Value};
use yewroute_ledger::{MemoryBudget, MemoryPermit};
use yewroute_settings::Deployment;

use crate::clock::{Clock, ClockCheck};
use crate::proto::catalog::Members;
use crate::timers::Timers;
use channels::Orders;
pub use directory::Directory;
pub use failed_attempts::FailedAttempts;
pub use request_ids::SentId;
use request_ids::{IdDigest, RequestIds};
use tally::End;
pub use tally::{Results, Tally};
pub use unserved::{Reason, UnservedCounts};

/// A client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientId(pub u64);

/// An attempt: the request, and the attempt's number.
pub type AttemptId = (RequestId, u32);

/// What goes on to a db host. The core passes it along and knows no more of it than its size.
pub trait Payload {
    /// Bytes that it keeps in memory.
    fn bytes(&self) -> usize;
    /// The permit for these bytes, which lives as long as they do, whoever has them.
    fn permit(&mut self) -> &mut Option<MemoryPermit>;
}

/// A client's request, whatever protocol it came by.
#[derive(Debug, PartialEq, Eq)]
pub struct Ask<B> {
    /// The client's own name for it; no two open at once have the same. Empty if it needs none.
    pub name: Vec<u8>,
    /// It changes data.
    pub writes: bool,
    /// Whom it concerns.
    pub scope: Scope,
    /// How long the client will wait; as long as its class allows if it is longer.
    pub wait: Duration,
    /// How much of that is over, as it lay behind other requests of its client.
    pub waited: Duration,
    /// What names its session, in a class that has sessions.
    pub key: Vec<u8>,
    /// The position that it must see, as Unix time in milliseconds.
    pub after: Option<u64>,
    /// The client marked it as a repeat.
    pub resent: bool,
    /// The channel in whose order it stands.
    pub channel: Option<Vec<u8>>,
    /// Its number there.
    pub number: Option<u64>,
    /// What goes on.
    pub body: B,
}

/// Whom a request concerns.
#[derive(Debug, PartialEq, Eq)]
pub enum Scope {
    /// A class, by name, in a group.
    Class(String, u64),
    /// Anyone: a read that any db host of any group answers alike, whatever its position.
    Anyone,
}

/// The final answer to a client.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: what the db host said, in the form its connection gave it.
    Served(Vec<u8>),
    /// Refused: a further try is harmless.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Failed: it may have taken effect.
    Failed,
    /// Cancelled by its client, without an effect.
    Cancelled,
    /// Refused by its channel's order, and why: a further try is harmless.
    OutOfTurn {
        /// There is no room, rather than nobody to ask.
        full: bool,
        /// Why.
        why: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// It is no request that could ever be served, and why; nothing was sent for it.
    Invalid(&'static str),
}

/// What a db host says of itself along with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostNote {
    /// Its role.
    pub role: Option<Role>,
    /// Its position, or a write's commit, as Unix time in milliseconds.
    pub applied_ms: Option<u64>,
    /// The load report's position, as Unix time in seconds.
    pub report_position: Option<f64>,
    /// The load report's role.
    pub report_role: Option<Role>,
    /// When all of this had been read, if that was later than the turn of the event loop began.
    pub received: Option<Instant>,
}

impl HostNote {
    /// When it had been read, in a turn that began at `now`.
    fn read_by(&self, now: Instant) -> Instant {
        self.received.map_or(now, |received| received.max(now))
    }
}

/// How an attempt or a probe ended.
#[derive(Debug, PartialEq)]
pub struct Ended {
    /// The outcome.
    pub status: Status,
    /// With [`Status::Good`]: what the client gets.
    pub served: Vec<u8>,
    /// What the db host says of itself.
    pub note: HostNote,
}

impl Ended {
    /// An end without an answer.
    pub fn silent(status: Status) -> Self {
        Self { status, served: Vec::new(), note: HostNote::default() }
    }
}

/// Something that happened outside.
#[derive(Debug)]
pub enum Input<B> {
    /// A client asks; it asks nothing more until it has its answer.
    Ask(ClientId, Ask<B>),
    /// A client is gone.
    ClientGone(ClientId),
    /// A client cancels its request; it waits for the answer.
    Cancel(ClientId),
    /// An attempt ended; once for each [`Effect::Start`].
    Ended(AttemptId, Ended),
    /// An attempt that waited for a connection found nothing left of a limit; this in place of its end.
    LimitReached(AttemptId, Refused),
    /// A probe ended; once for each [`Effect::Probe`].
    Probed(ServerId, Ended),
    /// News from the list.
    Members(Members),
    /// The watch could not be opened, or it broke.
    WatchBroken,
    /// Something else was observed of discovery.
    ListObserved(ListObservation),
    /// A client's request could not be read; it has been told so.
    Unreadable,
    /// A client's request was refused before it was read, for want of memory.
    RefusedUnread,
    /// An attempt's value has begun that is too long to be held: its first bytes, in the form of its connection.
    Began(AttemptId, Vec<u8>),
    /// More bytes of it.
    Part(AttemptId, Vec<u8>),
    /// So much waits for a client to be taken that nothing more is wanted for now.
    Full(ClientId),
    /// It has taken it.
    Room(ClientId),
}

/// Something to be done outside.
#[derive(Debug, PartialEq)]
pub enum Effect<B> {
    /// Give the client its answer.
    Answer(ClientId, Answer),
    /// Start an attempt.
    Start {
        /// Which.
        attempt: AttemptId,
        /// Where to.
        server: ServerId,
        /// What to send.
        body: Rc<B>,
        /// Given up if its connection is not up by then.
        begin_by: Option<Instant>,
        /// When to give up.
        cut_at: Instant,
        /// Its first byte goes out only while this runs.
        permit: Option<Permit>,
        /// Its first byte goes out before then, or it is not sent.
        send_by: Option<Instant>,
        /// What it has spent of rate limits: given back while it waits for a connection, spent again at its first byte.
        spent: Option<Spent>,
    },
    /// Pass these bytes of its value on to the client; more follow.
    Pass(ClientId, Vec<u8>),
    /// The value has broken off: end the connection, so that the client can tell.
    BreakOff(ClientId),
    /// Read no more of this attempt's value for now.
    Pause(AttemptId),
    /// Go on reading it.
    Resume(AttemptId),
    /// Nobody wants this attempt's value any more: drop it, nothing is to be told of it.
    Abandon(AttemptId),
    /// Nobody waits for this attempt any more: drop it if none of it has been sent.
    Withdraw(AttemptId),
    /// Ask a db host for its report.
    Probe(ServerId),
    /// Close the idle connections to a db host.
    CloseIdle(ServerId),
    /// Watch the list from this version on.
    Watch(u64),
}

enum Due {
    /// A timer of the module's.
    Module(u64),
    /// A request's time is long over.
    Overdue(RequestId),
    /// An attempt that was given up has surely ended.
    Rested(AttemptId),
}

struct Held<B> {
    client: ClientId,
    class: usize,
    group: u64,
    name: Vec<u8>,
    /// What stands for its id, if it has one.
    digest: Option<IdDigest>,
    /// An attempt of it may have run.
    may_have_run: bool,
    /// None once its value is being passed on, as it is not sent again.
    body: Option<Rc<B>>,
    sends: u32,
    out: Option<AttemptId>,
    /// An attempt of it has been written whole, or may have been.
    reached: bool,
    /// Half of its time is over; and all of it.
    half_at: Instant,
    deadline: Instant,
    /// Its value is being passed on.
    passing: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    /// What stands for its request's id, if that has one.
    digest: Option<IdDigest>,
    /// The name and group of its db host, as other gateways know them.
    host: Option<(u64, u64)>,
    sent: Instant,
    /// When its value began, if it is passed on as it comes; and the module has been told that it is served.
    first_byte: Option<Instant>,
    booked: bool,
    class: usize,
    /// How much of its silence has been told other gateways.
    told: u8,
}

impl Attempt {
    /// How long it took up to its answer, or to the first byte of a value that is passed on as it comes.
    fn elapsed(&self, now: Instant) -> Duration {
        self.first_byte.unwrap_or(now).saturating_duration_since(self.sent)
    }
}

/// Where this gateway stands.
#[derive(Clone, Debug, Default)]
pub struct Near {
    /// Its zone.
    pub zone: String,
    /// All zones, each with its region.
    pub zones: Vec<(String, String)>,
    /// Reads without a route are asked near first.
    pub first: bool,
}

/// What is known at the start.
#[derive(Debug)]
pub struct Known {
    /// The list as it was last known.
    pub members: Members,
    /// Where this gateway stands, if that counts for reads.
    pub near: Option<Near>,
}

/// Holds requests and attempts round the module.
pub struct Core<B> {
    clock: Clock,
    clock_check: ClockCheck,
    /// What the module was told of it last.
    clock_confirmed: bool,
    deployment: Deployment,
    router: Router,
    directory: Directory,
    held: HashMap<RequestId, Held<B>>,
    by_client: HashMap<ClientId, RequestId>,
    names: HashSet<Vec<u8>>,
    /// Requests that may have run, up to the end of their windows.
    ids: RequestIds,
    attempts: HashMap<AttemptId, Attempt>,
    timers: Timers<Due>,
    /// Events for the module that its own actions gave rise to.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    taken: u128,
    /// Once the process ends: what is taken in has its answer by then.
    answers_by: Option<Instant>,
    /// What requests are paid out of that have no permit yet.
    budget: MemoryBudget,
    tally: Tally,
    unserved: UnservedCounts,
    failed_attempts: FailedAttempts,
    /// What other gateways are told; nothing is counted while there are none.
    loads: Option<Loads>,
    /// Another process of this gateway takes writes as well, and the module has been told.
    other_process_writes: bool,
    /// Where this gateway stands, if reads are asked near first.
    near: Option<Stand>,
    /// Requests that stand in a channel's order.
    orders: Orders,
    /// What the federation's tasks tell, where the operator's file turns them on.
    common: Option<Arc<Shared>>,
    /// What attempts have spent of the fleet's limits.
    spending: limit::Spending,
    /// Where its routes send reads first.
    shares: shares::Shares,
    /// What its attempts see of zones and its clients ask, for the plan for all zones.
    reach: Option<Box<reach::Reach>>,
    /// What its attempts show of db hosts, and what all gateways hold of them.
    proofs: Option<Box<verdicts::Proofs>>,
}

impl<B: Payload> Core<B> {
    /// A core that holds nothing and knows the list as it was last known.
    pub fn new(
        now: Instant,
        clock: Clock,
        deployment: Deployment,
        seed: u64,
        budget: MemoryBudget,
        known: Known,
        effects: &mut Vec<Effect<B>>,
    ) -> Result<Self, SettingsError> {
        let router = Router::new(deployment.module.clone(), seed)?;
        let tally = Tally::new(deployment.class_names.len());
        let mut core = Self {
            clock,
            clock_check: ClockCheck::default(),
            clock_confirmed: false,
            deployment,
            router,
            directory: Directory::default(),
            held: HashMap::new(),
            by_client: HashMap::new(),
            names: HashSet::new(),
            ids: RequestIds::default(),
            attempts: HashMap::new(),
            timers: Timers::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            taken: 0,
            answers_by: None,
            budget,
            tally,
            unserved: UnservedCounts::default(),
            failed_attempts: FailedAttempts::default(),
            loads: None,
            other_process_writes: false,
            near: None,
            orders: Orders::default(),
            common: None,
            spending: limit::Spending::default(),
            shares: shares::Shares::new(seed),
            reach: None,
            proofs: None,
        };
        if let Some(near) = &known.near {
            core.directory.settle_regions(near);
            core.near = near.first.then(|| core.directory.stand(&near.zone));
        }
        core.begin(now, known.members, effects);
        core.route(now, Event::ClockConfirmed(false), effects);
        Ok(core)
    }

    /// Takes what happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Instant, input: Input<B>, effects: &mut Vec<Effect<B>>) {
        match input {
            Input::Ask(client, ask) => self.take_in(now, client, ask, effects),
            Input::ClientGone(client) => self.leave(now, client, effects),
            Input::Cancel(client) => self.cancel(now, client, effects),
            Input::Ended(attempt, ended) => self.book(now, attempt, ended, effects),
            Input::LimitReached(attempt, refused) => self.end_at_limit(now, attempt, refused, effects),
            Input::Probed(server, ended) => self.book_probe(now, server, &ended, effects),
            Input::Members(members) => self.book_members(now, members, effects),
            Input::WatchBroken => self.book_broken_watch(now, effects),
            Input::ListObserved(observation) => self.route(now, Event::ListObserved(observation), effects),
            Input::Began(attempt, bytes) => self.begin_value(now, attempt, bytes, effects),
            Input::Part(attempt, bytes) => self.pass_on(attempt, bytes, effects),
            Input::Full(client) => self.throttle(client, true, effects),
            Input::Room(client) => self.throttle(client, false, effects),
            Input::Unreadable => self.count_unread(End::Aborted, Reason::Invalid),
            Input::RefusedUnread => self.count_unread(End::Declined, Reason::Memory),
        }
    }

    /// When [`Core::tick`] is due.
    pub fn next(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Lets the timers go off that are due at `now`.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect<B>>) {
        let Self { timers, held, spending, .. } = self;
        timers.prune(held.len() + spending.len(), |due| match due {
            Due::Overdue(request) => held.contains_key(request),
            Due::Module(_) | Due::Rested(_) => true,
        });
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Module(name) => self.route(now, Event::Timer(name), effects),
                Due::Overdue(request) => self.overdue(now, request, effects),
                Due::Rested(attempt) => self.spending.ended(attempt),
            }
        }
    }

    /// The list as it is held.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Whether requests may be sent by the list as it is held.
    pub fn list_is_current(&self, now: Instant) -> bool {
        self.router.list_is_current(now)
    }

    /// Until when they may, as things stand; none before anything has been observed of discovery.
    pub fn list_expires(&self) -> Option<Instant> {
        self.router.list_expires()
    }

    /// Requests that were refused or failed while they might not.
    pub fn refused_without_list(&self) -> u64 {
        self.router.refused_without_list()
    }

    /// How many requests ended how.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// How many requests were not served, by reason.
    pub fn unserved(&self) -> &UnservedCounts {
        &self.unserved
    }

    /// How many attempts failed, by status.
    pub fn failed_attempts(&self) -> &FailedAttempts {
        &self.failed_attempts
    }

    /// Requests held.
    pub fn outstanding(&self) -> usize {
        self.held.len()
    }

    /// Listed db hosts that get nothing at `now`: those that drain, and those that the module avoids.
    pub fn ejected(&self, now: Instant) -> usize {
        self.directory.draining() + self.router.avoided(now)
    }

    /// The settings in force.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Does from now on what the federation's table says, or nothing by it.
    pub fn join(&mut self, common: Option<Arc<Shared>>) {
        if let Some(common) = &common {
            self.tell_classes(common);
        }
        self.common = common;
    }

    /// What other gateways have proven of db hosts counts from now on, or not.
    pub fn judge_by_all(&mut self, on: bool) {
        self.proofs = on.then(Box::default);
    }

    /// Whether another process of this gateway takes writes as well, as in a replacement.
    pub fn set_other_process_writes(&mut self, now: Instant, writes: bool, effects: &mut Vec<Effect<B>>) {
        if std::mem::replace(&mut self.other_process_writes, writes) != writes {
            self.route(now, Event::OtherProcessWrites(writes), effects);
        }
    }

    /// Counts from now on what other gateways are to be told.
    pub fn count_loads(&mut self, now: Instant) {
        self.loads = Some(Loads::new(now));
    }

    /// What other gateways, so many, are to be told now of db hosts and groups.
    pub fn say_loads(&mut self, now: Instant, members: usize) -> Vec<(Subject, Value)> {
        let Some(loads) = self.loads.as_mut().filter(|loads| loads.next() <= now) else { return Vec::new() };
        let listed: HashSet<u64> = self.directory.names().map(|(_, number)| number).collect();
        loads.keep(|host| listed.contains(&host));
        loads.say(now, members)
    }

    /// Gives what is taken in from now on no longer than up to then, when the process may be killed.
    pub fn answer_by(&mut self, by: Option<Instant>) {
        self.answers_by = by;
    }
}

impl Directory {
    /// Where to send now; none for a db host that drains, is gone or was never listed.
    pub fn open(&self, server: ServerId) -> Option<SocketAddr> {
        self.member(server).filter(|member| member.serving).map(|member| member.addr)
    }
}
