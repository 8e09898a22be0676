//! TCP streams from segments, without I/O: bytes in order, gaps of known length, bounded memory.
//!
//! [`Pieces`] keeps what waits behind a hole, [`stream::Stream`] is one direction of a connection, and
//! [`flows::Flows`] tells connections apart, joins their directions and gives up the oldest when there are too many.

pub mod flows;
pub mod pieces;
pub mod stream;

pub use flows::{Direction, Ending, Flows, Limits, Sink};
pub use pieces::Pieces;
pub use stream::{Out, Stream};
