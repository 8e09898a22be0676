//! What can go wrong between gateways, and what an operator can do about it.

use std::io;

use thiserror::Error;

/// A connection between two gateways that cannot be used.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The system's word.
    #[error("connection between gateways: {0}")]
    Io(#[from] io::Error),
    /// The other end has another key.
    #[error("the other end of a connection between gateways has not the fleet's key")]
    Forged,
    /// It speaks a format that is not understood any more.
    #[error("the other end of a connection between gateways speaks format {format}, {least} is the oldest understood")]
    Format {
        /// What it speaks.
        format: u8,
        /// The oldest that is understood.
        least: u8,
    },
    /// A part of its greeting or of a message cannot be read.
    #[error("malformed between gateways: {0}")]
    Malformed(&'static str),
    /// A message over the longest.
    #[error("a message of {0} bytes between gateways")]
    TooLong(usize),
    /// It did not greet in time.
    #[error("the other end of a connection between gateways does not greet")]
    Silent,
}

impl LinkError {
    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::Io(_) => "see whether the gateway at the other end runs and can be reached over TCP at its fleet address",
            Self::Forged => "give all gateways the same fleet.key; if they have it, somebody else connects to this port",
            Self::Format { .. } => "update the older gateway; releases may differ by one",
            Self::Malformed(_) | Self::TooLong(_) => {
                "see whether something other than a gateway connects to the fleet's port; else report it with both releases"
            }
            Self::Silent => "see whether the gateway at the other end is stopped or starved, or a firewall drops TCP",
        }
    }
}

/// A question to another gateway that got no answer.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// Nobody of that name is in the fleet.
    #[error("no gateway {0} is in the fleet")]
    Unknown(Box<str>),
    /// It cannot be reached.
    #[error("gateway {0} cannot be reached")]
    Unreachable(Box<str>),
    /// It said nothing in time.
    #[error("gateway {0} did not answer in time")]
    Late(Box<str>),
    /// Too much waits to be sent to it.
    #[error("too much waits to be sent to gateway {0}")]
    Full(Box<str>),
    /// It does not know this kind of question.
    #[error("gateway {0} is of another release and does not know this question")]
    Release(Box<str>),
    /// The federation's thread ends.
    #[error("this gateway is ending")]
    Ending,
}

impl PeerError {
    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unknown(_) => {
                "GET /fleet shows who is there; a gateway that has just started needs a moment"
            }
            Self::Unreachable(_) => "see whether TCP passes at the fleet's address and port, not UDP alone",
            Self::Late(_) => {
                "see whether that gateway is stopped, starved or cut off; it is asked again by itself"
            }
            Self::Full(_) => "see why that gateway takes nothing: it is stopped, or the way to it is slow",
            Self::Release(_) => "update the older gateway; until then this part works without it",
            Self::Ending => "nothing: it is being stopped or replaced",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_error_says_what_can_be_done_and_no_two_say_the_same_of_what_happened() {
        let links = [
            LinkError::Io(io::ErrorKind::ConnectionReset.into()),
            LinkError::Forged,
            LinkError::Format { format: 0, least: 1 },
            LinkError::Malformed("name"),
            LinkError::TooLong(9),
            LinkError::Silent,
        ];
        let name = || Box::<str>::from("g1");
        let peers = [
            PeerError::Unknown(name()),
            PeerError::Unreachable(name()),
            PeerError::Late(name()),
            PeerError::Full(name()),
            PeerError::Release(name()),
            PeerError::Ending,
        ];
        let told: Vec<(String, &str)> = links
            .iter()
            .map(|e| (e.to_string(), e.help()))
            .chain(peers.iter().map(|e| (e.to_string(), e.help())))
            .collect();
        assert!(told.iter().all(|(what, help)| !what.is_empty() && help.len() > 20), "{told:?}");
        let whats: std::collections::BTreeSet<_> = told.iter().map(|(what, _)| what).collect();
        assert_eq!(whats.len(), told.len());
    }
}
