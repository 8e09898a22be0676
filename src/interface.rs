//! Everything that crosses the boundary of a [`Router`](crate::Router): settings, events, actions and ids.
//!
//! The embedding gateway calls; the router never does. For each thing that happens it calls
//! [`Router::handle`](crate::Router::handle) with the current time and one [`Event`], then carries out the
//! appended [`Action`]s in order. Time never goes back between calls. The first event is an
//! [`Event::List`] of kind [`ListKind::Stale`]. Each [`Action::Send`] is followed, sooner or later, by exactly
//! one [`Event::Outcome`]; each [`Action::Probe`] by one [`Event::Probed`]; each [`Action::Timer`] by one
//! [`Event::Timer`]; each [`Action::Subscribe`] by one [`Event::List`].
//!
//! Promised in return: every accepted request gets exactly one final answer (a served outcome, a
//! [`Action::Refuse`] or a [`Action::Fail`]); nothing is sent for it afterwards; the same events give the same
//! actions. Misuse is harmless rather than fatal: events that name a request, server or timer the router does
//! not know (any more) change nothing but what they teach about the server, a repeated request id is ignored,
//! and a request of an unlisted class is refused.

use std::time::{Duration, Instant};

use thiserror::Error;

/// Names one client request; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// Names one database server. It survives restarts of the server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Names one group: a primary and its replicas, which hold the same data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Names one client session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// What a request may be repeated like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Safe to run any number of times.
    Idempotent,
    /// Carries a key; repeats inside `scope` are dropped for `window` after the first send that might have run.
    Deduplicated {
        /// Where repeats are recognised.
        scope: KeyScope,
        /// For how long.
        window: Duration,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// Where a deduplicated request's repeats are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// By the servers of the request's group only.
    Group,
    /// Everywhere.
    All,
}

/// How recent the data must be that a class is answered from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Freshness {
    /// Only the primary takes it.
    Write,
    /// It sees all commits from before it reached this gateway.
    Fresh,
    /// It sees its session's writes.
    Session,
    /// Its data is no older than this when it is sent.
    Bounded(Duration),
    /// Any member may answer it.
    Any,
}

/// One request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered inside this time it earns its full worth.
    pub aim: Duration,
    /// The client gives up after this time, over all its tries.
    pub deadline: Duration,
    /// What an answer inside the aim is worth.
    pub worth: f64,
    /// Share of the worth left for an answer after the aim.
    pub late_worth: f64,
    /// How it may be repeated.
    pub effect: Effect,
    /// How recent its data must be.
    pub freshness: Freshness,
}

/// What a server does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenBehind {
    /// Answers from what it has.
    Silent,
    /// Turns it away untouched, at once or after trying for a moment to catch up.
    Refuses,
}

/// How the list tells a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// Some seconds late.
    Late,
    /// As it was when the day began.
    Start,
    /// Not at all.
    Silent,
}

/// How a session read tells of its session's last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The request carries the age of the write.
    Carried,
    /// The router remembers the commits that it passed on.
    Remembered,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are delivered unprompted.
    Automatic,
    /// Only after [`Action::Subscribe`].
    Subscribe,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The longest wait that clients follow.
    pub max_retry_after: Duration,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
}

/// The figures behind the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A started server has at least this share of its capacity.
    pub start_capacity: f64,
    /// And is warm no later than this.
    pub cold: Duration,
    /// Sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long, a cold server falls over.
    pub fall: Duration,
    /// Where the list must be asked for: the longest time without asking.
    pub must_ask_in: Duration,
    /// Only servers listed as draining are barred; leaving the list proves nothing.
    pub soft_removal: bool,
}

/// What a router is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways share the servers, this one included.
    pub gateways: u32,
    /// The request classes; a request names its class by position.
    pub classes: Vec<Class>,
    /// What a server does with a read that it is too far behind for.
    pub when_behind: WhenBehind,
    /// How the list tells a group's primary.
    pub list_role: ListRole,
    /// How a session read tells of its session's last write.
    pub tokens: Tokens,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// What the deployment allows.
    pub limits: Limits,
    /// The figures behind the rules.
    pub rules: Rules,
}

/// Why settings were not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A list that must have entries has none.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// A figure is outside its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Serving,
    /// It finishes its work; nothing new may go there.
    Draining,
    /// It was removed.
    Gone,
}

/// One server in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its group.
    pub group: GroupId,
    /// When it last started; none means long ago.
    pub started: Option<Instant>,
    /// The list takes it for its group's primary.
    pub primary: bool,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Where it stands.
    pub stand: Stand,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as last held, possibly stale; the first event of every router.
    Stale,
    /// The complete list.
    Whole,
    /// Changed entries only.
    Patch,
    /// A call or the subscription failed; no entries, the list held stays.
    Broken,
}

/// What a gateway observes of discovery, apart from the lists themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListObservation {
    /// The gateway observes discovery from now on, with the list that was known before.
    Began,
    /// The held list is what discovery had at `at`: a list or a line of the watch had begun to come by then.
    Current {
        /// When.
        at: Instant,
    },
    /// The watch ended, all that it had brought read; the list was current at `at`.
    WatchEnded {
        /// When: as the watch ended, or when a line began to come that it broke off.
        at: Instant,
    },
    /// Discovery has begun to answer a call, in whatever way.
    AnswerBegun,
    /// No connection to it can be had.
    Unreachable,
    /// A call waits without an answer.
    Unanswered {
        /// When it was made.
        called: Instant,
    },
    /// A call has ended without an answer of its own, at another moment than that at which discovery ends the wait of one.
    Ended {
        /// When it was made.
        called: Instant,
    },
    /// A call has ended without an answer of its own, after as long a wait as discovery gives it.
    WaitedOut {
        /// When it was made.
        called: Instant,
    },
    /// It is elsewhere from now on.
    Moved,
    /// This process takes requests in the place of another one, which has had lists of its own.
    TookOver {
        /// From when on.
        at: Instant,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Time left before the client abandons this try.
    pub left: Duration,
    /// How much of its client's time it cannot use: it lay behind other requests of that client before it arrived, or this
    /// process ends sooner. With `left` it is what the client gave this try; it does not count in how fast it is answered.
    pub waited: Duration,
    /// The client marked it as a repeat.
    pub resent: bool,
    /// Its session, for writes and session reads.
    pub session: Option<SessionKey>,
    /// With carried tokens: how long ago the session's last write was committed.
    pub last_write_age: Option<Duration>,
    /// How long ago something was committed that a read has to see, whatever its class and however tokens are told. Its
    /// statement does not say so: no server turns it away by itself.
    pub sees: Option<Duration>,
    /// Where a read is asked first; none if every server is as near as the next.
    pub near: Option<Stand>,
}

/// Where a server or a router stands: a zone and its region, each by a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stand {
    /// The zone.
    pub zone: u64,
    /// The region.
    pub region: u64,
}

impl Stand {
    /// How far another is: 0 in the same zone, 1 in the same region, 2 elsewhere.
    #[must_use]
    pub fn far(self, other: Self) -> u8 {
        match (self.zone == other.zone, self.region == other.region) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        }
    }
}

/// A server's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the writes.
    Primary,
    /// It follows the primary's log.
    Replica,
}

/// What an answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Note {
    /// The role it has.
    pub role: Option<Role>,
    /// Every commit up to this time is applied there; for a served write, its commit.
    pub position: Option<Instant>,
}

/// What a server says of itself, as of some moments ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// The role it had.
    pub role: Option<Role>,
    /// Every commit up to this time was applied there.
    pub position: Option<Instant>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Good,
    /// The server returned an error; an effect may have occurred.
    Error,
    /// What came back cannot be read; may have run. It says nothing of the server.
    Spoilt,
    /// Turned away unseen: never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection: never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent: the gateway was held up, and the attempt was over before its first byte. It says nothing of the server.
    HeldUp,
    /// Turned away untouched, by role or position: never ran.
    Miss,
}

impl Status {
    /// The attempt is known not to have run.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::HeldUp | Self::Miss)
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, counted from 0 in the order of the request's sends.
    pub attempt: u32,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// How long ago it was sent.
    pub elapsed: Duration,
    /// The request has its final answer.
    pub finished: bool,
    /// What the answer says of its server.
    pub note: Note,
    /// The server's report on itself.
    pub report: Report,
}

/// By how much a clock was off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockOffset {
    /// It was behind: what it dated was earlier.
    Behind(Duration),
    /// It was ahead: what it dated was later.
    Ahead(Duration),
}

/// What other gateways have proven of a server: that it does not serve what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// When the latest attempt that proves it was sent: what is served of later sends outweighs it.
    pub proven: Instant,
    /// Until when it holds. Over already: the server serves others again.
    pub until: Instant,
    /// More than one of them say so: it holds for writes too.
    pub firm: bool,
    /// This router may risk one request there, for all.
    pub trial: bool,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News from the list of servers.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Something was observed of discovery. Without any, the held list is taken to be current.
    ListObserved(ListObservation),
    /// A client's request arrived.
    Request(Request),
    /// An attempt's answer began to stream to the client, which now owns it.
    Started {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left, or its answer is overdue: the request is finished.
    Gone(RequestId),
    /// Whether another process of this gateway takes writes as well, as in a replacement; this router hears nothing of those.
    OtherProcessWrites(bool),
    /// What the request wants is used up for now, whoever it would go to: it is not sent again.
    Barred(RequestId),
    /// A timer came due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// Which server.
        server: ServerId,
        /// [`Status::Good`], or why not.
        status: Status,
        /// The server's report on itself.
        report: Report,
    },
    /// A server started at this time, as has turned out later than its list came.
    Restarted {
        /// Which server.
        server: ServerId,
        /// When.
        started: Instant,
    },
    /// Whether the gateway's clock, by which it maps positions to times, agrees with a primary's. While it does not, positions of
    /// replicas prove nothing, unless servers check reads for themselves. Without this event it does.
    ClockConfirmed(bool),
    /// That clock has been corrected, and all times that come from now on are by the corrected one.
    ClockCorrected(ClockOffset),
    /// Other gateways judge a server; the newest word counts.
    Verdict {
        /// Which server.
        server: ServerId,
        /// What they hold.
        verdict: Verdict,
    },
    /// Another gateway has seen an answer of a group's primary.
    Primary {
        /// Which server.
        server: ServerId,
        /// When.
        seen: Instant,
    },
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Its class is not in the settings.
    UnlistedClass,
    /// Its group has no server that takes requests.
    NoServers,
    /// The lease of the list expired, and the list was not renewed in time.
    ListExpired,
    /// It was shed on arrival, or after a full queue, as its servers are overloaded.
    Overloaded,
    /// No server was free, or could be asked, in time.
    NoServerFree,
    /// Less time is left than an attempt takes.
    OutOfTime,
    /// It has had as many attempts as the settings allow.
    AttemptsSpent,
    /// An attempt of it may have run, and it may not be sent again.
    MayHaveRun,
    /// Two servers answered it with an error.
    Errors,
    /// The gateway barred it ([`Event::Barred`]).
    Barred,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// When it is abandoned.
        cut_at: Instant,
    },
    /// Final answer: a further try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: UnservedReason,
        /// When the client should come back.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, and nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: UnservedReason,
    },
    /// Check a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    Close(ServerId),
    /// Ask for the list's changes from now on.
    Subscribe,
    /// Set a timer.
    Timer {
        /// How long from now.
        delay: Duration,
        /// Given back when due.
        name: u64,
    },
}
