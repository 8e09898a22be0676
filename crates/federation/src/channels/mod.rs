//! Contracts on the order of a channel's requests, over reconnections.
//!
//! Each channel has a home, the gateway that sends its requests, and some gateways that hold its [`cursor`] for the time when
//! the home is gone. [`claim`] says how a gateway becomes a home, [`crate::roster`] who may hold, [`order`] whose turn is next,
//! [`home`] what one channel is at one gateway; [`desk`] is the task that owns all of it. `docs/design/channels.md` argues
//! why two homes never both send.

pub mod claim;
pub mod cursor;
pub mod desk;
pub mod home;
#[cfg(test)]
mod model;
pub mod order;
pub mod seek;
mod serve;
#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::peers::{Kind, Question};
use crate::roster::{Had, Roster};
use claim::{Claim, Copied, Granted};
use cursor::{Cursor, Rule};
use home::Permit;
use order::Wanted;

/// A request of a channel that has come to this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Enter {
    /// The event loop's name for it.
    pub ticket: u64,
    /// The channel.
    pub channel: Vec<u8>,
    /// What it is.
    pub wanted: Wanted,
    /// By which contract.
    pub rule: Rule,
    /// Channels that a gateway may hold under it.
    pub most: usize,
    /// It reads.
    pub reads: bool,
    /// When it gives up.
    pub until: Instant,
}

/// How a request that was sent, or was to be, ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served: the answer, as it went to the client; empty if it was too long to be held.
    Served(Vec<u8>),
    /// It may have run.
    Unknown,
    /// It never ran.
    NeverRan,
}

/// What requests of channels come to at this gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// One has come and waits for its turn.
    Enter(Box<Enter>),
    /// One waits no more.
    Gone(u64),
    /// One whose turn had come has ended, and nothing of it is out any more.
    Ended {
        /// Which.
        ticket: u64,
        /// How.
        outcome: Outcome,
        /// The position of its commit, as Unix time in milliseconds.
        position: Option<u64>,
    },
}

/// What a read has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct After {
    /// What was committed up to this position, as Unix time in milliseconds.
    pub position: Option<u64>,
    /// And what was committed up to so long ago.
    pub ago: Option<Duration>,
}

/// A final answer without anything being sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// It has ended before: what it was answered then.
    Kept(Vec<u8>),
    /// It may have run before and is not run again.
    Failed,
    /// A further try is harmless.
    Refused {
        /// There is no room, rather than nobody to ask.
        full: bool,
        /// Why.
        why: String,
        /// When to come back.
        retry: Option<Duration>,
    },
}

/// What comes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Send it.
    Go {
        /// Only while this runs.
        permit: Permit,
        /// What it has to see, if it reads.
        after: Option<After>,
        /// It may have run before.
        again: bool,
    },
    /// Answer it.
    Finish(Finish),
}

/// A request's turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// Which request.
    pub ticket: u64,
    /// What comes of it.
    pub what: What,
}

/// What gateways ask each other of channels.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Of the steward: who holds channels?
    Roster(Option<Had>),
    /// Of a holder: to be a channel's home, by this list.
    Claim(Box<Claim>, (u64, Box<str>)),
    /// Of a holder: a home tells how its channel stands, or lets it go.
    Put {
        /// The channel.
        channel: Vec<u8>,
        /// How it stands.
        cursor: Box<Cursor>,
        /// It is let go.
        free: bool,
    },
    /// Of a holder: a claim is given up.
    GiveUp {
        /// The channel.
        channel: Vec<u8>,
        /// Its epoch.
        epoch: u64,
    },
    /// Of a holder: a home's lease.
    Renew,
    /// Of a holder: for how long a channel's home has its lease.
    Look(Vec<u8>),
    /// Of a home: to let a channel go once this request's turn has come.
    Yield {
        /// The channel.
        channel: Vec<u8>,
        /// Which life of the home.
        life: u64,
        /// The epoch that holders told.
        epoch: u64,
        /// The request.
        wanted: Wanted,
        /// By which contract.
        rule: Rule,
        /// How long it can wait.
        wait: Duration,
    },
    /// Of a holder: records that the asker holds as well, from behind this channel on.
    Page(Option<Vec<u8>>),
}

/// The answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Said {
    /// The list, whether it is settled, and for how long it may be gone by.
    Roster(Option<(Roster, bool, Duration)>),
    /// What a holder says to a claim, and which life it is in.
    Granted(Box<Granted>, u64),
    /// Whether a home's word was taken, and which life the holder is in.
    Put(bool, u64),
    /// The lease is renewed by a holder in this life.
    Renewed(u64),
    /// For how long a home has its lease.
    Left(Duration),
    /// The channel is let go, up to this epoch.
    Yielded(u64, Option<Box<Cursor>>),
    /// The one that was asked claims it itself.
    Seeks,
    /// What comes of the request, without the channel's being let go.
    Finish(Finish),
    /// Records, and whether there are more.
    Page(Vec<Copied>, bool),
    /// It cannot be said.
    No,
}

impl Question for Ask {
    const KIND: Kind = Kind::Channels;
    type Answer = Said;
}
