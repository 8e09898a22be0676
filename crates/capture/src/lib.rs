//! Capture files: TCP segments out of pcap and pcapng, and TCP conversations into pcap. Never captures.

pub mod decode;
pub mod read;
pub mod write;

use std::net::SocketAddr;
use std::time::Duration;

/// A TCP segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment<'a> {
    /// When it was captured, since the Unix epoch.
    pub at: Duration,
    /// Who sent it.
    pub from: SocketAddr,
    /// Whom it was for.
    pub to: SocketAddr,
    /// The sequence number of its first byte, or of SYN.
    pub seq: u32,
    /// The next byte that its sender awaits, if it says so.
    pub ack: Option<u32>,
    /// It opens the connection.
    pub syn: bool,
    /// Its sender sends no more.
    pub fin: bool,
    /// It breaks the connection.
    pub rst: bool,
    /// Its bytes, as far as they were captured.
    pub payload: &'a [u8],
    /// How many bytes the snap length has cut off.
    pub missing: usize,
}
