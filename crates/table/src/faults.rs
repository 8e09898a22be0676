//! What is wrong with a table, and what to do about it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// What is wrong with one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("line {line}: {entry}: {problem}")]
pub struct Fault {
    /// The line, counted from 1.
    pub line: u32,
    /// The entry: its kind and name, such as `limit "desks"`.
    pub entry: String,
    /// What is wrong.
    pub problem: String,
    /// What an operator can do.
    #[serde(rename = "do")]
    pub remedy: String,
}

/// What a table is checked against: a gateway's own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Against {
    /// Zones of the fleet.
    pub zones: BTreeSet<String>,
    /// Classes by name; empty while no settings are known, and then none is unknown.
    pub classes: BTreeSet<String>,
    /// Those of them that read.
    pub reads: BTreeSet<String>,
    /// Groups that are listed; empty while no list is known, and then none is unknown.
    pub groups: BTreeSet<u64>,
}
