//! Capture files: TCP segments out of pcap and pcapng, and TCP conversations into pcap. Never captures.

pub mod decode;
pub mod read;
pub mod write;

pub use yewroute_reassembly::flows::Segment;
