//! What members say to each other, inside the seal.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::Id;
use crate::seal::Dropped;

/// The body of a datagram.
#[derive(Serialize, Deserialize)]
pub enum Body<'a> {
    /// Membership, as the library writes it.
    Swim(&'a [u8]),
    /// Rows.
    /// Each in bytes of its own, so that one which a later release has brought is passed over, and the others are read.
    Rows { from: SocketAddr, rows: Vec<&'a [u8]> },
    /// How does the receiver see this process?
    Ask { me: Id, nonce: u64 },
    /// As one that lives, or not.
    Seen { nonce: u64, alive: bool },
    /// Who are the owners of these rows? They are no members yet, by what the asker knows.
    Who { from: SocketAddr, owners: Vec<u64> },
    /// These.
    Here(Vec<Id>),
    /// What was decided, from this number on?
    Decided { from: SocketAddr, after: u64 },
    /// A message that is only carried.
    Carried(&'a [u8]),
    /// A member is suspected, by the protocol's count of its refutations: the receiver, or one whose refutation it may know.
    Suspected { id: Id, count: u16, from: SocketAddr },
    /// This member lives, and has refuted up to this count.
    Lives { id: Id, count: u16 },
    /// Hashes of the members that the sender knows, by parts of their numbers: whom does the receiver know besides?
    Whom { from: SocketAddr, parts: Vec<u16> },
}

/// Kinds of bodies that this release reads. Later ones come after them, and new fields at the end of what there is.
pub const BODIES: u8 = 11;

/// Reads one.
///
/// # Errors
/// It is of a later release, or cannot be read.
pub fn read(body: &[u8]) -> Result<Body<'_>, Dropped> {
    let later = body.first().is_some_and(|kind| *kind >= BODIES);
    let why = if later { Dropped::Newer } else { Dropped::Malformed };
    postcard::from_bytes(body).map_err(|_| why)
}
