//! What a gateway brings to the fleet, and what it sees of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::facts::{Row, Stage};
use crate::member::Id;
use crate::seal::Dropped;

/// What a gateway brings to the fleet.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Its name, zone, address and incarnation.
    pub me: Id,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: [u8; 32],
    /// Bytes per second that rows may take.
    pub budget: u32,
    /// For the random choices of the protocol; differs from process to process.
    pub seed: u64,
}

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Alive,
    /// It has not answered a probe, and may say that it lives.
    Suspect,
    /// It has said that it goes.
    Left,
    /// It was found not to answer.
    Down,
}

/// A member as this gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub id: Id,
    /// How it is seen.
    pub health: Health,
    /// Where it says it stands.
    pub stage: Stage,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there.
    Up(Id),
    /// A member has left or is down.
    Gone(Id, Health),
    /// This gateway had been declared down, and is there again under a new incarnation.
    Returned(u64),
    /// Another process has this gateway's name, and started later: this one takes no part any more.
    Superseded(Id),
    /// This gateway was stopped for so long.
    Stopped(Duration),
    /// The group has said something new.
    Group(Row),
    /// A message that the fleet only carries.
    Carried(Vec<u8>),
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes taken.
    pub received: (u64, u64),
    /// Datagrams and bytes given out.
    pub sent: (u64, u64),
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<Dropped, u64>,
    /// Members found dead.
    pub deaths: u64,
    /// Times that this gateway was declared down while it lived.
    pub returned: u64,
}
