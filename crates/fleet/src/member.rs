//! Who a member is, and how that is written.

use std::net::SocketAddr;

use bytes::{Buf, BufMut};
use foca::{Header, Identity, PostcardCodec};
use serde::{Deserialize, Serialize};

/// The longest names of members and zones, in bytes.
pub const LONGEST_NAME: usize = 64;

/// A process of a gateway. The address is what the protocol knows it by; of two at one address, one after the other, the
/// later incarnation counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The gateway's name; it outlives the process.
    pub name: Box<str>,
    /// The zone it stands in.
    pub zone: Box<str>,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Unix milliseconds when the process started, and one more each time that it returns from being declared down.
    pub incarnation: u64,
}

impl Identity for Id {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, &self.name, &self.zone) > (other.incarnation, &other.name, &other.zone)
    }
}

/// Postcard, with bounded names.
pub struct Codec;

/// Why something cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// As the library has it.
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    /// A name is too long.
    #[error("a name of over {LONGEST_NAME} bytes")]
    Name,
}

/// Its names are short enough.
pub fn bounded(id: &Id) -> Result<(), CodecError> {
    let fits = id.name.len() <= LONGEST_NAME && id.zone.len() <= LONGEST_NAME;
    if fits {
        Ok(())
    } else {
        Err(CodecError::Name)
    }
}

impl foca::Codec<Id> for Codec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, CodecError> {
        let header: Header<Id> = PostcardCodec.decode_header(buf)?;
        bounded(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<Id>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Id>, CodecError> {
        let member: foca::Member<Id> = PostcardCodec.decode_member(buf)?;
        bounded(member.id())?;
        Ok(member)
    }
}
