//! Requests and their answers out of recorded conversations, what they come to, and how two recordings differ.
//!
//! [`requests::Requests`] is a sink for reassembled connections; [`stats`] counts and [`diff`] compares what comes out.

mod conversation;
pub mod diff;
pub mod requests;
pub mod stats;

pub use conversation::{Counts, Outcome, Request};
pub use requests::Requests;
