//! Where the event loop and the federation's tasks meet: a snapshot for what a request reads, atomics for what it spends, a
//! bounded queue with a call that wakes the loop for what must wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::{Deserialize, Serialize};
use yewroute_table::{Digest, Fault, Table};

use crate::peers::Members;
use crate::{channels, limits, road, roster, verdicts, zones};

/// What waits for the event loop at the most.
const MOST_WISHES: usize = 8_192;

/// The time, by the clock that tests may stop.
#[must_use]
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// A decision for all, as this gateway knows it: the group's generation and the place in its log, and what holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decided {
    /// Where it stands.
    pub place: (u64, u64),
    /// What holds.
    pub value: Vec<u8>,
}

/// What the event loop knows of the fleet; the newest counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// All gateways that live, this one first.
    pub members: Members,
    /// This gateway may act on what is decided in common: it was not stopped lately, and nobody else has its name.
    pub sure: bool,
    /// Who works out what is decided for all, as this gateway knows it.
    pub steward: Option<Box<str>>,
    /// This gateway is the steward until then; to be looked at right before each act.
    pub steward_until: Option<Instant>,
    /// What is decided under the table's key.
    pub table: Option<Decided>,
    /// Groups of the list.
    pub groups: Arc<Vec<u64>>,
}

/// What a gateway acts by.
#[derive(Clone, Debug, Default)]
pub struct Acting {
    /// The version; 0 before there is one.
    pub version: u64,
    /// What the table is.
    pub digest: Digest,
    /// The table.
    pub table: Arc<Table>,
    /// Until when it may be acted on, by this gateway's own count; none before the first lease.
    pub until: Option<Instant>,
    /// Nobody can act by the version before any more: entries that only one side may act on are in force.
    pub settled: bool,
}

impl Acting {
    /// It may be acted on at `now`.
    #[must_use]
    pub fn acts(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// What only one side may act on may be acted on at `now`.
    #[must_use]
    pub fn acts_alone(&self, now: Instant) -> bool {
        self.settled && self.acts(now)
    }
}

/// A version on its road, for `GET /table`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Next {
    /// The version.
    pub version: u64,
    /// What the table is.
    pub digest: String,
    /// Who has prepared.
    pub prepared: Vec<Box<str>>,
    /// Who may still act by the version before and has not.
    pub waits_for: Vec<Box<str>>,
    /// Who refuses, and why.
    pub refused: std::collections::BTreeMap<Box<str>, String>,
}

/// What `GET /table` tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The version this gateway has.
    pub version: u64,
    /// What the table is.
    pub digest: String,
    /// The next one.
    pub next: Option<Next>,
}

/// What the tasks tell and the event loop reads.
#[derive(Default)]
pub struct Shared {
    /// What this gateway acts by.
    pub acting: ArcSwap<Acting>,
    /// For `GET /table`; its state and the lease's end follow from `acting` and the time.
    pub status: ArcSwap<Status>,
    /// Who may hold what is in hand, by the steward's list; none before there is one. The channels' desk keeps it.
    pub listed: ArcSwapOption<roster::Listed>,
    /// What attempts spend.
    pub meters: ArcSwap<limits::Meters>,
    /// What limits need of the settings; the core tells it when it joins.
    pub classes: OnceLock<limits::Classes>,
    /// Where reads go first by the plan for all zones, once there is one.
    pub zones: ArcSwapOption<zones::Acting>,
    /// Texts of tables that are held, checked.
    pub texts: Arc<road::Texts>,
    /// Figures of the tasks' own, for `GET /metrics`.
    pub figures: Figures,
}

/// Counts since the start.
#[derive(Default)]
pub struct Figures {
    /// Versions acted on.
    pub switches: AtomicU64,
    /// Times that a lease ended before it was renewed.
    pub held: AtomicU64,
    /// Messages with words on db hosts, to all.
    pub told: AtomicU64,
    /// Trials that this gateway was given.
    pub trials: AtomicU64,
    /// Db hosts that are judged away here now.
    pub away: AtomicU64,
    /// Plans for all zones that were acted by.
    pub plans: AtomicU64,
    /// Wishes that had no room.
    pub dropped: AtomicU64,
}

/// What a task wants of the event loop.
#[derive(Debug)]
pub enum Wish {
    /// Ask the group for a decision under the table's key, in place of the one at a place.
    Decide {
        /// Comes back with the answer.
        ticket: u64,
        /// What is to hold.
        value: Vec<u8>,
        /// What it replaces.
        over: (u64, u64),
    },
    /// Answer an operator's call.
    Answer {
        /// The caller.
        caller: u64,
        /// HTTP's status.
        status: u16,
        /// JSON.
        body: String,
    },
    /// What all gateways hold of db hosts: the whole of it, in place of what was told before.
    Verdicts(Vec<verdicts::Held>),
    /// A request's turn has come, or never will.
    Turn(channels::Turn),
}

/// Tells the event loop what is wanted of it.
#[derive(Clone)]
pub struct Wishes {
    queue: SyncSender<Wish>,
    wake: Arc<dyn Fn() + Send + Sync>,
}

impl Wishes {
    /// A queue, and its other end; `wake` wakes the event loop.
    #[must_use]
    pub fn new(wake: Arc<dyn Fn() + Send + Sync>) -> (Self, Receiver<Wish>) {
        let (queue, wishes) = sync_channel(MOST_WISHES);
        (Self { queue, wake }, wishes)
    }

    /// Puts a wish; one that finds no room is counted and lost, as if it had come too late.
    pub fn put(&self, figures: &Figures, wish: Wish) {
        match self.queue.try_send(wish) {
            Ok(()) => (self.wake)(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                figures.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Reads a table out of a text, checked against this gateway's own settings and the groups of its list.
pub type Reader = Arc<dyn Fn(&str, &[u64]) -> Result<Table, Vec<Fault>> + Send + Sync>;
