//! Stand-ins for what surrounds a gateway: db hosts that speak simple and extended queries, discovery, and clients.
//!
//! They run on loopback, on ports that the system picks, a thread for each connection; what they do is scripted by
//! whoever starts them. They hold to the protocols' published pages and know nothing of the gateway's insides.

pub mod answers;
pub mod client;
pub mod crowd;
pub mod discovery;
pub mod host;

pub use answers::{
    error, frame, is_separator, read_frame, report, report_at, rows, rows_at, separated, served,
    served_value, unix_ms,
};
pub use client::{startup, Client};
pub use discovery::{entry, list, pair, watch, Call, Discovery, Script};
pub use host::{well, Do, Executed, Host};
