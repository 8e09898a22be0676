//! What a gateway brings to what is decided, and what comes of it.

use std::net::SocketAddr;
use std::time::Instant;

use crate::state::{Decision, Outcome};
use crate::voters::Peer;

/// What a gateway brings.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Who it is.
    pub me: Peer,
    /// The seeds, as all gateways have them.
    pub seeds: Vec<SocketAddr>,
    /// Unix milliseconds at the start; a generation's number comes from them, and nothing rests on their being right.
    pub unix_ms: u64,
}

/// What its leader says of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The group's generation, then the leader's term.
    pub epoch: (u64, u64),
    /// The leader's name.
    pub leader: Box<str>,
    /// The names of those that vote.
    pub voters: Vec<Box<str>>,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This gateway's request has its answer, and its lease ends then.
    Answered(u64, Outcome, Option<Instant>),
    /// Nothing was heard of this gateway's request; it may have been decided all the same.
    Unanswered(u64),
    /// This gateway leads: the epoch.
    Leads(u64, u64),
    /// It does not any more.
    LeadsNot(u64, u64),
    /// It votes, or does not.
    Votes(bool),
    /// To be told to all: the group is there.
    Head(Head),
    /// To be told to all: a decision, and for how many milliseconds it is held.
    Tell(String, Decision, u32),
    /// A seed has another list of seeds.
    SeedsDiffer(SocketAddr),
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests of this gateway's that were decided, and milliseconds they took in all.
    pub decided: (u64, u64),
    /// Requests that had no answer.
    pub unanswered: u64,
    /// Groups founded by this gateway.
    pub founded: u64,
    /// Times that it came to lead.
    pub led: u64,
    /// Messages that did not fit what was known, and were dropped.
    pub dropped: u64,
}
