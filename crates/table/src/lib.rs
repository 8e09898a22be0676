//! The federation's table: routes, limits and contracts on order. Plain data; who reads it out of a script, who agrees on
//! it and who acts on it are elsewhere.
#![forbid(unsafe_code)]

mod check;
mod faults;
mod text;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use check::MOST_ENTRIES;
pub use faults::{Against, Fault};

/// The longest text of a table, in bytes.
pub const LONGEST_TEXT: usize = 256 * 1024;

/// A table's name by what it says: BLAKE3 of its text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// That of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(*blake3::hash(text.as_bytes()).as_bytes())
    }
}

impl std::fmt::Display for Digest {
    /// The first eight bytes, hexadecimal: enough to tell tables apart by eye.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Where the reads of some classes and groups are asked first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The line of its call.
    pub line: u32,
    /// The groups it is for; empty for all.
    pub groups: Vec<u64>,
    /// The classes it is for, by name; empty for all.
    pub classes: Vec<String>,
    /// Zones and their shares, which sum to one.
    pub zones: BTreeMap<String, f64>,
}

impl Route {
    /// How specific it is: the higher, the sooner it counts.
    #[must_use]
    pub fn rank(&self) -> u8 {
        2 * u8::from(!self.classes.is_empty()) + u8::from(!self.groups.is_empty())
    }
}

/// What all gateways together may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Its name.
    pub name: String,
    /// The line of its call.
    pub line: u32,
    /// The classes it is for, by name; empty for all.
    pub classes: Vec<String>,
    /// The groups it is for; empty for all.
    pub groups: Vec<u64>,
    /// Attempts each second, over the whole fleet.
    pub rate: Option<f64>,
    /// Attempts that may come at once.
    pub burst: f64,
    /// Attempts that may be out at a time, over the whole fleet.
    pub concurrent: Option<u32>,
    /// The share of the limit that all gateways together may use when each of them is alone.
    pub floor: f64,
}

/// In which order a channel's requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// At most one of them is out in the whole fleet.
    Single,
    /// By their numbers, each after the final answer of the one before.
    Numbered,
    /// A read sees the channel's own writes, wherever it arrives.
    OwnWrites,
}

/// What follows on a number whose outcome nobody can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnUnknown {
    /// The channel stands still until it is forgotten.
    Halt,
    /// The next one is sent.
    GoOn,
}

/// A contract on the order of a channel's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Its name.
    pub name: String,
    /// The line of its call.
    pub line: u32,
    /// The classes it is for, by name; never empty, and a class has one contract at the most.
    pub classes: Vec<String>,
    /// The order.
    pub order: Order,
    /// How long a missing number is waited for.
    pub gap: Duration,
    /// How long a channel at rest is remembered.
    pub keep: Duration,
    /// Channels that a gateway may hold.
    pub most: u32,
    /// What follows on a number whose outcome nobody can tell.
    pub on_unknown: OnUnknown,
}

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// `route(…)`.
    pub routes: Vec<Route>,
    /// `limit(…)`.
    pub limits: Vec<Limit>,
    /// `contract(…)`.
    pub contracts: Vec<Contract>,
}

/// An entry's classes or groups, of which none stands for all, hold this one.
fn holds<T, U>(listed: &[T], wanted: &U) -> bool
where
    T: std::borrow::Borrow<U>,
    U: PartialEq + ?Sized,
{
    listed.is_empty() || listed.iter().any(|listed| listed.borrow() == wanted)
}

impl Table {
    /// The route of a read: the most specific that fits, whatever their order. One that names classes and groups comes
    /// before one that names classes alone, then groups alone, then one for all.
    #[must_use]
    pub fn route(&self, class: &str, group: u64) -> Option<&Route> {
        let fits = |route: &&Route| holds(&route.classes, class) && holds(&route.groups, &group);
        self.routes.iter().filter(fits).max_by_key(|route| (route.rank(), std::cmp::Reverse(route.line)))
    }

    /// The limits that an attempt spends from, by their places.
    pub fn limits<'a>(&'a self, class: &'a str, group: u64) -> impl Iterator<Item = (usize, &'a Limit)> {
        let spends =
            move |(_, limit): &(usize, &Limit)| holds(&limit.classes, class) && holds(&limit.groups, &group);
        self.limits.iter().enumerate().filter(spends)
    }

    /// The contract of a class.
    #[must_use]
    pub fn contract(&self, class: &str) -> Option<&Contract> {
        self.contracts.iter().find(|contract| contract.classes.iter().any(|name| name == class))
    }
}
