//! Where reads of each zone are asked first, worked out once for all gateways and acted on under a lease.
//!
//! Each gateway tells the steward what it saw of zones ([`desk`]); the steward works out a plan from what all have told
//! ([`steward`], [`window`]; the sums are `yewroute-zones`) and tells it to all. An epoch is the place of the steward's own entry in
//! the log and a count, so that of two plans the later steward's counts. `docs/design/zones.md` weighs this against other ways.

pub mod desk;
mod steward;
#[cfg(test)]
mod tests;
mod view;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use yewroute_zones::planner::LostZone;

use crate::error::PeerError;
use crate::peers::{Kind, Question};

pub use desk::run;
pub use view::View;
pub use yewroute_zones::planner::Manner;

/// Rows in one report, and zones and groups in a plan.
const MOST_ROWS: usize = 1_024;
/// Shares are told as parts of this.
pub const WHOLE: u16 = 10_000;

/// How it is set, and where things stand; zones and regions are numbers, as the event loop has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settled {
    /// How plans are made.
    pub manner: Manner,
    /// For how long the last plan is kept past the lease.
    pub keep: Duration,
    /// The zone that this gateway stands in.
    pub zone: u64,
    /// Zones and their regions, by the operator's file; others are in a region of their own.
    pub regions: BTreeMap<u64, u64>,
    /// What zones are called.
    pub names: BTreeMap<u64, Box<str>>,
}

/// What the list has of a group in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// The group.
    pub group: u64,
    /// The zone.
    pub zone: u64,
    /// Db hosts that take requests.
    pub hosts: u32,
    /// How many of them are cold, each by how much.
    pub cold: f64,
}

/// What a gateway saw of a group in a zone since it told last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The group.
    pub group: u64,
    /// The zone of the db hosts.
    pub zone: u64,
    /// Attempts that were answered, of reads and of others.
    pub answered: u32,
    /// Reads among them.
    pub reads: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that are surely overdue, or were never answered.
    pub late: u32,
    /// Attempts that were turned away, as the db host was full.
    pub full: u32,
    /// Microseconds that the reads' answers took together.
    pub took_us: u64,
    /// Db hosts that are held for proven bad.
    pub away: u32,
}

/// What clients of a gateway asked of a group since it told last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The group.
    pub group: u64,
    /// Reads.
    pub reads: u32,
    /// What they are worth together.
    pub worth: f32,
}

/// What the event loop has for this part.
#[derive(Clone, Debug)]
pub enum News {
    /// How it is set; without it nothing is done.
    Settled(Box<Settled>),
    /// The list has changed: what is where, and what zones are called that the operator's file does not name.
    Listed(Vec<Cell>, BTreeMap<u64, Box<str>>),
    /// What was seen and asked since this was said last.
    Seen(Vec<Row>, Vec<Demand>),
    /// An operator moves a zone's traffic away, or back.
    Drain {
        /// Who waits for the answer.
        caller: u64,
        /// What is wanted.
        order: Order,
    },
}

/// An operator's word on a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The zone's name.
    pub zone: Box<str>,
    /// Away, or back.
    pub drains: bool,
    /// Though the rest cannot carry it.
    pub forced: bool,
}

/// Which plan: the place in the log of the steward's own entry, and a count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// The group's generation and the place in its log.
    pub place: (u64, u64),
    /// Plans of this steward.
    pub number: u64,
}

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.place.0, self.place.1, self.number)
    }
}

/// Where reads go first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Which one.
    pub epoch: Epoch,
    /// The steward that made it.
    pub by: Box<str>,
    /// Why it differs from the one before.
    pub cause: String,
    /// Zones that an operator drains.
    pub drained: Vec<u64>,
    /// What zones are called.
    pub names: Vec<(u64, Box<str>)>,
    /// Each group's part.
    pub groups: Vec<GroupPlan>,
}

/// One group's part of a plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupPlan {
    /// The group.
    pub group: u64,
    /// What binds it, in words.
    pub why: String,
    /// The part of the reads, in thousandths, that nobody can carry.
    pub shed: u16,
    /// Zones that were left because they are lost.
    pub lost: Vec<LostZone>,
    /// For each origin zone, zones and their shares in parts of [`WHOLE`]; what is nothing is left out.
    pub rows: Vec<(u64, Vec<(u64, u16)>)>,
}

/// What a gateway acts by.
#[derive(Clone, Debug)]
pub struct Acting {
    /// The plan.
    pub plan: Arc<Plan>,
    /// Since when.
    pub since: Instant,
    /// The lease's end, by this gateway's own count.
    pub until: Instant,
    /// For how long the plan is kept past it.
    pub keep: Duration,
}

impl Acting {
    /// Reads go by it at `now`: under its lease, or kept past it for a while.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until + self.keep
    }
}

/// What gateways ask each other about plans. Written by postcard: new variants go to the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// To the steward: what was seen, and a lease please.
    Report {
        /// The zone that the gateway stands in.
        zone: u64,
        /// The plan that it holds.
        epoch: Epoch,
        /// What it saw.
        rows: Vec<Row>,
        /// What it was asked.
        demand: Vec<Demand>,
    },
    /// From the steward: another plan.
    Told(Box<Plan>),
    /// The plan that you hold, please.
    Fetch,
    /// To the steward: an operator's word.
    Drain(Order),
}

/// What they are answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// A lease for the plan in force; the plan, if the asker holds another.
    Lease(Option<Box<Plan>>),
    /// The plan that is held.
    Held(Option<Box<Plan>>),
    /// The operator's word is done; the epoch of the plan that says so.
    Done(Epoch),
    /// It is not, and why.
    Refused(String),
    /// No zone of that name.
    NoZone,
    /// This gateway is not the steward, or has no plan yet.
    NotNow,
    /// It has heard.
    Heard,
}

impl Question for Ask {
    const KIND: Kind = Kind::Zones;
    type Answer = Answer;
}

/// Why there is no plan to act on, or an operator's word is not done.
#[derive(Debug, Error)]
pub enum ZonesError {
    /// Nobody works plans out, as far as is known here.
    #[error("no steward is known: most voters are out of reach, or one is being chosen")]
    NoSteward,
    /// The steward cannot be asked.
    #[error("steward: {0}")]
    Steward(#[source] PeerError),
    /// It has no plan yet.
    #[error("the steward has no plan yet")]
    NotYet,
    /// A zone that neither the operator's file nor the list names.
    #[error("no zone {0} is in the operator's file or in the list")]
    NoZone(Box<str>),
    /// The others cannot carry what the zone has.
    #[error("the other zones cannot carry what {zone} has: {why}")]
    TooMuch {
        /// The zone.
        zone: Box<str>,
        /// What is short.
        why: String,
    },
}

impl ZonesError {
    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoSteward => {
                "GET /fleet shows voters and leader; bring most seeds back, then it goes on by itself"
            }
            Self::Steward(error) => error.help(),
            Self::NotYet => "nothing: a second after it was chosen it has one",
            Self::NoZone(_) => "GET /zones lists the zones by name",
            Self::TooMuch { .. } => "wait until what is lost is back, or add ?force=1 to do it all the same",
        }
    }

    /// HTTP's status for it.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::NoZone(_) => 404,
            Self::TooMuch { .. } => 409,
            Self::NoSteward | Self::Steward(_) | Self::NotYet => 503,
        }
    }
}
