//! The decisions. The interface (settings, events, actions, ids) is in `src/interface.rs`.
//!
//! The ordinary path: a read goes to the eligible replica with the lowest sum of type weights that this
//! router has outstanding there; eligibility is by known log position; the primary is the fallback.
//! Everything else here is an exception, and its comment states the condition under which it acts.

mod blame;
mod clock;
mod list;
mod list_lease;
mod pick;
mod probes;
mod shedding;
mod stalled_answers;
mod waiting;
mod warmth;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::fading::{since, Fading};
use crate::interface::*;
use crate::measured::{Blame, Commits, Doubt, Latencies, Queue, Tries};
use crate::pending::{Attempt, Pending};
use list_lease::ListLease;

type Out<'a> = &'a mut Vec<Action>;

/// Type weights of the mechanism. An update (weight 3) is a write as far as a request can tell.
const READ_WEIGHT: f64 = 1.0;
const WRITE_WEIGHT: f64 = 2.0;
/// An answer is overdue after this many mean latencies of its class, within the two limits.
const SILENT_LATENCIES: f64 = 4.0;
const SILENT_MIN: Duration = Duration::from_millis(100);
const SILENT_MAX: Duration = Duration::from_millis(800);
/// A server that answered lately is asked whether it lives after so many broken connections.
const BROKEN: u32 = 2;
/// Housekeeping period: well under the shortest deadline, so that a waiting request is answered in time.
const TICK_EVERY: Duration = Duration::from_millis(10);
const TICK: u64 = 0;
const ASK: u64 = 1;
/// Probing of a group without a primary, and of servers that do not answer: never without a request.
const SEARCH_PROBE: Duration = Duration::from_millis(200);
const DOWN_PROBE: Duration = Duration::from_secs(1);
/// Where servers check reads for themselves, so long one that was too far behind is taken for it still; and
/// so long one that turned a write away is taken for a replica.
const BEHIND_HOLDS: Duration = Duration::from_millis(500);
const REPLICA_HOLDS: Duration = Duration::from_millis(800);
/// A server is crowded when it takes this multiple of the unloaded latency: half as many again as cores.
const CROWDED: f64 = 1.5;
const SLOWNESS_GAIN: f64 = 0.1;
/// Requests kept at one server: at first, and the factor on crowding.
const FIRST_LIMIT: f64 = 4.0;
const CROWDED_CUT: f64 = 0.96;
/// Waiting requests looked at after each event, so that a long queue costs little.
const LOOK_AHEAD: usize = 4;
/// The time over which served work is counted.
const SERVED_WINDOW: Duration = Duration::from_secs(4);
const SERVED_HALF: Duration = Duration::from_millis(2_773);
/// The mean pause before discovery is asked again.
const ASK_PAUSE: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_millis(250); // unheard of
/// Reads taking this multiple of the unloaded latency raise the pressure, others lower it; last, chance.
const JAMMED: f64 = 3.5;
/// An answer within this share of its aim shows no jam, however much sooner others came.
const NO_JAM_WITHIN_AIM: f64 = 0.05;
const PRESSURE_UP: f64 = 0.2;
const PRESSURE_DOWN: f64 = 0.12;
const PRESSURE_LEAST: f64 = 0.2;
const PRESSURE_HALF: Duration = Duration::from_secs(4);
/// Writes are shed by the queue of their primary: from the first share of their aim on, all but a few from
/// the second. Reads that overflow to the primary find room under this multiple of their latency.
const SHED_FROM: f64 = 0.4;
const SHED_MOST: f64 = 1.2;
const STILL_SENT: f64 = 0.1;
const READ_QUEUE: f64 = 2.0;
/// Where gateways are many no read goes to a replica whose queue takes this share of the aim.
const READ_LATE: f64 = 0.3;
/// An attempt is worth starting with this many unloaded latencies left; one request in five takes longer.
const WORTH_TRYING: f64 = 1.5;
const REPORT_AGE: Duration = Duration::from_millis(500); // of role claims, against answers' at the most

#[derive(Default)]
struct Server {
    group: GroupId,
    stand: Stand,
    usable: bool,
    /// Removed from the list: dropped once nothing is out there.
    gone: bool,
    /// When it started as far as the list says, and when it was back from silence; it is cold from the later.
    listed_start: Option<Instant>,
    risen_at: Option<Instant>,
    cold_from: Option<Instant>,
    warm_at: Option<Instant>,
    weight: f64,
    verdict: Option<Verdict>,
    /// What its failures weigh; when it last answered anything.
    blame: Blame,
    heard_at: Option<Instant>,
    out: u32,
    limit: f64,
    slowness: f64,
    position: Option<Instant>,
    position_at: Option<Instant>,
    role: Option<Role>,
    role_at: Option<Instant>,
    denied_at: Option<Instant>, // a write turned away by one that does not call itself a replica
    overdue_at: Option<Instant>,
    /// Nothing is sent until a probe (or, without probes, time) clears it, nor before `retry_at`.
    down: bool,
    /// Connections refused or broken since it last answered anything.
    broken: u32,
    retry_at: Option<Instant>,
    probing: bool,
    /// Work served lately, in unloaded latency for the time it was served in.
    served: Fading,
    /// When the latest of the attempts that it has served was sent.
    served_sent: Option<Instant>,
    /// How long the requests served last had to wait there, in seconds.
    queue: Queue,
    /// Work that a cold server has yet to earn before the next send there is due.
    owed: Duration,
    credit: Duration,
    owed_at: Option<Instant>,
}

#[derive(Default)]
struct Group {
    members: Vec<ServerId>,
    primary: Option<ServerId>,
    waiting: Vec<RequestId>,
    probed_at: Option<Instant>,
    pressure: Fading,
}

/// Decides where one gateway's requests go.
pub struct Router {
    settings: Settings,
    rng: Rng,
    /// Its own order of servers among equals.
    taste: u64,
    servers: BTreeMap<ServerId, Server>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Pending>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    commits: Commits,
    latency: Latencies,
    tries: Tries,
    doubt: Doubt,
    /// None where nothing is observed of discovery.
    list_lease: Option<ListLease>,
    refused_without_list: u64,
    /// The gateway's clock has not been found to agree with a primary's.
    clock_unconfirmed: bool,
}

impl Router {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// Names the settings field that is inconsistent.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = Rng::with_seed(seed);
        Ok(Self {
            taste: rng.u64(..),
            rng,
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            commits: Commits::default(),
            tries: Tries::new(settings.classes.len()),
            latency: Latencies::new(settings.classes.iter().map(|c| c.aim / 4)),
            doubt: Doubt::default(),
            list_lease: None,
            refused_without_list: 0,
            clock_unconfirmed: false,
            settings,
        })
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, &entries, out),
            Event::ListObserved(observation) => self.on_list_observed(now, observation, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Outcome(outcome) => self.on_outcome(now, &outcome, out),
            Event::Gone(id) => drop(self.requests.remove(&id)),
            Event::Timer(TICK) => {
                out.push(Action::Timer { delay: TICK_EVERY, name: TICK });
                self.on_tick(now, out);
            }
            // A stream that has started is an attempt still out.
            Event::Timer(ASK) => out.push(Action::Subscribe),
            Event::Restarted { server, started } => {
                let settings = &self.settings;
                self.servers.entry(server).and_modify(|s| s.redate_start(started, settings));
            }
            Event::OtherProcessWrites(writes) => self.commits.set_incomplete(now, writes),
            Event::Barred(id) => self.finish(now, id, UnservedReason::Barred, out),
            Event::Timer(_) | Event::Started { .. } => {}
            Event::ClockConfirmed(confirmed) => self.on_clock_confirmed(now, confirmed, out),
            Event::ClockCorrected(offset) => self.on_clock_corrected(now, offset),
            Event::Verdict { server, verdict } => self.on_verdict(now, server, verdict, out),
            Event::Primary { server, seen } => self.on_primary(server, seen),
            Event::Probed { server, status, report } => self.on_probed(now, server, status, report, out),
        }
    }
}
