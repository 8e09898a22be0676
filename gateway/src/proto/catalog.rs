//! Discovery's list of db hosts, as JSON.

use std::net::SocketAddr;

use serde::Deserialize;

/// The whole list, or what has changed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Members {
    /// Its version.
    pub version: u64,
    /// The whole list.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Member>,
}

/// One db host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Member {
    /// The same at every gateway.
    pub id: String,
    /// Where this gateway reaches it.
    pub addr: SocketAddr,
    /// The group.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: State,
    /// The zone it stands in; empty where the list shows none.
    #[serde(default)]
    pub zone: String,
    /// Its last start as Unix time in milliseconds; 0 if long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Where the list shows roles.
    #[serde(default)]
    pub role: Option<Role>,
}

/// Whether a db host takes requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It completes what it has.
    Terminating,
    /// It was taken away.
    Gone,
}

/// A role, as the list shows it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows.
    Replica,
}
