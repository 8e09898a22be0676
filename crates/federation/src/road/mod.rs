//! The road of a table's version: proposed, fetched, prepared, decided, acted on under a lease, settled.
//!
//! Each gateway runs a [`holder`] task, which asks the steward for leases and does what it says, and a [`steward`] task, which
//! works only while this gateway is the steward. What a steward may do at a moment is worked out by [`grants`]
//! and [`lead`], and what a holder acts by by [`renewed`], without I/O.

pub mod grants;
mod holder;
pub mod lead;
#[cfg(test)]
mod model;
mod steward;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use yewroute_table::{Digest, Fault, Table};

use crate::bridge::{Acting, Next};
use crate::error::PeerError;
use crate::peers::{Kind, Question};

pub(crate) use holder::quoted;
pub use holder::{run as hold, Put};
pub use steward::run as lead;

/// Texts that are kept: the one in force, the next, and one before.
const MOST_TEXTS: usize = 4;

/// What the event loop has for the table.
#[derive(Debug)]
pub enum News {
    /// An operator gives the next table.
    Put {
        /// Who waits for the answer.
        caller: u64,
        /// The table's text.
        text: String,
    },
    /// What came of a wish for a decision.
    Decided {
        /// The wish's ticket.
        ticket: u64,
        /// What became of it.
        ruling: Ruling,
    },
}

/// What became of a wish for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It holds, from this place on.
    Holds((u64, u64)),
    /// Something else holds: it does not, and never will.
    Not,
    /// Nothing was heard: it may hold, or may come to.
    Unknown,
}

/// A version of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Counted from 1; 0 where there is none yet.
    pub number: u64,
    /// What the table is.
    pub digest: Digest,
}

/// What is decided in the log: the version in force, and which steward wrote that down, so that what an earlier one asked for
/// finds another place than it names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The version.
    pub version: Version,
    /// The steward's name and life.
    pub by: (Box<str>, u64),
}

impl Entry {
    /// Reads a decision's value; none if it is of another release.
    #[must_use]
    pub fn read(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// What a holder acts by after the steward's answer to a question that was asked at `asked_at`; none if the answer is of an
/// earlier version than the one that it acts by, as one that was under way for long. `lease` is as the holder counts it.
#[must_use]
pub fn renewed(
    held: &Acting,
    (version, table): (Version, Arc<Table>),
    settled: u64,
    asked_at: Instant,
    lease: Duration,
) -> Option<Acting> {
    let Version { number, digest } = version;
    if number < held.version {
        return None;
    }
    // Counted from before it was asked for; what comes after that only shortens it.
    let until = asked_at + lease;
    let before = held.until.filter(|_| held.version == number).unwrap_or(until);
    Some(Acting {
        version: number,
        digest,
        table,
        until: Some(until.max(before)),
        settled: settled >= number,
    })
}

/// What gateways ask each other about the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// To the steward: a lease to act, please.
    Lease {
        /// By no version before this one it acts any more, nor ever will.
        acts: u64,
        /// The newest version that it has seen settled.
        settled: u64,
        /// The texts that it holds and has checked.
        holds: Vec<Digest>,
        /// The version that it has prepared last and heard no end of: another steward takes its road up.
        pending: Option<Version>,
    },
    /// To the steward: the next table.
    Propose {
        /// The version that it follows.
        over: u64,
        /// Its text.
        text: String,
    },
    /// From the steward: fetch this and check it.
    Prepare {
        /// The version.
        version: Version,
    },
    /// The text with this digest, please.
    Fetch(Digest),
    /// From the steward: something has changed, ask for a lease now.
    Look,
    /// To the steward, which leads less: this version was decided, and acted on here.
    Newer(Version),
}

/// What they are answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// A lease for the version in force.
    Lease {
        /// The version.
        version: Version,
        /// The newest version that nobody can act before any more.
        settled: u64,
        /// The next one on its road.
        next: Option<Next>,
    },
    /// No lease before this one holds the text of the version in force, or of the next that is just being decided.
    Learn(Version),
    /// This gateway is not the steward, or may do nothing yet.
    NotNow,
    /// The proposal is on its road.
    Accepted(u64),
    /// Another is, or another version is in force.
    Conflict(u64),
    /// It holds the text and would act by it, in this life of its.
    Prepared(u64),
    /// It would not.
    Refused(String),
    /// A text.
    Text(Option<String>),
    /// It has heard.
    Heard,
    /// The proposal is at fault by the steward's own settings.
    Faulty(Vec<Fault>),
    /// The steward leads less than the version that this gateway says it acts by; which is that?
    Behind,
}

impl Question for Ask {
    const KIND: Kind = Kind::Table;
    type Answer = Answer;
}

/// Why a table is not acted on.
#[derive(Debug, Error)]
pub enum RoadError {
    /// The table contradicts this gateway's settings.
    #[error("table {digest} is refused here: {fault}")]
    Refused {
        /// Which.
        digest: Digest,
        /// The first of its faults.
        fault: String,
    },
    /// Nobody who lives has the text.
    #[error("the text of table {0} is nowhere to be had")]
    NoText(Digest),
    /// A text that is not what it was asked as.
    #[error("gateway {0} gave another text than was asked for")]
    Foreign(Box<str>),
    /// Nobody leads versions along their road, as far as is known here.
    #[error("no steward is known: most voters are out of reach, or one is being chosen")]
    NoSteward,
    /// The steward cannot be asked.
    #[error("steward: {0}")]
    Steward(#[source] PeerError),
}

impl RoadError {
    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "mend the named entry, or bring this gateway's settings up to the others', and put the table again",
            Self::NoText(_) => "PUT /table with the table to act by; it follows the version whose text is lost",
            Self::Foreign(_) => "nothing at once, others are asked; update the gateway that gave it",
            Self::NoSteward => "GET /fleet shows voters and leader; bring most seeds back, then it goes on by itself",
            Self::Steward(error) => error.help(),
        }
    }
}

/// The texts that this gateway holds and has checked, shared by its two tasks; never held over a wait.
#[derive(Default)]
pub struct Texts {
    held: Mutex<HashMap<Digest, Held>>,
    /// What the steward was told last to be prepared here, until its end is heard of: it is not let go.
    pledged: Mutex<Option<Version>>,
}

/// When it came, in order; the text, and the table that it says.
type Held = (u64, Arc<str>, Arc<Table>);

impl Texts {
    fn held(&self) -> MutexGuard<'_, HashMap<Digest, Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version that this gateway has said it would act by, until its end is heard of.
    #[must_use]
    pub fn pledged(&self) -> Option<Version> {
        *self.pledged.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This gateway says that it would act by a version, in place of the one it said so of before.
    pub fn pledge(&self, version: Version) {
        *self.pledged.lock().unwrap_or_else(PoisonError::into_inner) = Some(version);
    }

    /// The version's road has ended.
    pub fn release(&self, version: Version) {
        self.pledged.lock().unwrap_or_else(PoisonError::into_inner).take_if(|pledged| *pledged == version);
    }

    /// A text and its table.
    #[must_use]
    pub fn get(&self, digest: Digest) -> Option<(Arc<str>, Arc<Table>)> {
        self.held().get(&digest).map(|(_, text, table)| (Arc::clone(text), Arc::clone(table)))
    }

    /// All that are held.
    #[must_use]
    pub fn digests(&self) -> Vec<Digest> {
        self.held().keys().copied().collect()
    }

    /// Keeps one; the one kept first goes when there are too many, but for those that are `needed`.
    pub fn keep(&self, text: Arc<str>, table: Table, needed: &[Digest]) -> Digest {
        let digest = Digest::of(&text);
        // Guards against: one that was prepared and is pushed out by tables that operators put here in vain.
        let pledged = self.pledged().map(|version| version.digest);
        let mut held = self.held();
        let count = held.values().map(|(count, ..)| *count).max().unwrap_or(0) + 1;
        held.entry(digest).or_insert_with(|| (count, text, Arc::new(table)));
        while held.len() > MOST_TEXTS {
            let spare = held.iter().filter(|(other, _)| {
                **other != digest && Some(**other) != pledged && !needed.contains(other)
            });
            let Some(oldest) = spare.min_by_key(|(_, (count, ..))| *count).map(|(digest, _)| *digest) else {
                break;
            };
            held.remove(&oldest);
        }
        digest
    }
}
