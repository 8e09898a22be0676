//! From a packet's bytes to a TCP segment.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use etherparse::defrag::{IpDefragPayloadVec, IpDefragPool};
use etherparse::{EtherType, IpNumber, LaxNetSlice, LaxSlicedPacket, SlicedPacket, TcpSlice, TransportSlice};

use crate::Segment;

/// A link type's number, as capture files have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link(pub u32);

impl Link {
    /// BSD loopback.
    pub const NULL: Self = Self(0);
    /// Ethernet.
    pub const ETHERNET: Self = Self(1);
    /// Raw IP.
    pub const RAW: Self = Self(101);
    /// BSD loopback in network order.
    pub const LOOP: Self = Self(108);
    /// Linux cooked, version 1.
    pub const SLL: Self = Self(113);
    /// Linux cooked, version 2.
    pub const SLL2: Self = Self(276);
}

/// Fragments between two looks at what is old.
const FRAGMENTS: usize = 256;
/// Fragments wait for the rest of their packet for so long.
const FRAGMENT_AGE: Duration = Duration::from_secs(30);

/// What came of a packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded<'a> {
    /// A segment.
    Segment(Segment<'a>),
    /// A fragment; the segment comes with the last one.
    Fragment,
    /// Something else than TCP.
    Other,
    /// Too short or wrong for what its headers say.
    Malformed,
}

/// Decodes packets, and keeps fragments.
#[derive(Debug)]
pub struct Decoder {
    fragments: IpDefragPool<Duration, ()>,
    /// Fragments taken since the last look.
    taken: usize,
    whole: Option<IpDefragPayloadVec>,
}

impl Default for Decoder {
    fn default() -> Self {
        Self { fragments: IpDefragPool::new(), taken: 0, whole: None }
    }
}

/// What stands before the IP header: its length, and the ether type where one is told.
fn link_header(link: Link, data: &[u8]) -> Option<(usize, Option<EtherType>)> {
    let kind = |at: usize| data.get(at..at + 2).map(|b| EtherType(u16::from_be_bytes([b[0], b[1]])));
    Some(match link {
        Link::NULL | Link::LOOP => (4, None),
        Link::SLL => (16, Some(kind(14)?)),
        Link::SLL2 => (20, Some(kind(0)?)),
        // 12 and 14 are raw IP in files of some BSDs, 228 and 229 are IPv4 and IPv6.
        Link(101 | 12 | 14 | 228 | 229) => (0, None),
        _ => return None,
    })
}

fn lax(link: Link, data: &[u8]) -> Option<LaxSlicedPacket<'_>> {
    if link == Link::ETHERNET {
        return LaxSlicedPacket::from_ethernet(data).ok();
    }
    let (len, kind) = link_header(link, data)?;
    let rest = data.get(len..)?;
    match kind {
        Some(kind) => Some(LaxSlicedPacket::from_ether_type(kind, rest)),
        None => LaxSlicedPacket::from_ip(rest).ok(),
    }
}

fn strict(link: Link, data: &[u8]) -> Option<SlicedPacket<'_>> {
    if link == Link::ETHERNET {
        return SlicedPacket::from_ethernet(data).ok();
    }
    let (len, kind) = link_header(link, data)?;
    let rest = data.get(len..)?;
    match kind {
        Some(kind) => SlicedPacket::from_ether_type(kind, rest).ok(),
        None => SlicedPacket::from_ip(rest).ok(),
    }
}

impl Decoder {
    /// Decodes a packet that was captured at `at`.
    pub fn decode<'a>(&'a mut self, at: Duration, link: Link, data: &'a [u8]) -> Decoded<'a> {
        let Some(packet) = lax(link, data) else { return Decoded::Malformed };
        let (from, to, expected) = match &packet.net {
            Some(LaxNetSlice::Ipv4(ip)) => {
                let header = ip.header();
                let from = IpAddr::V4(Ipv4Addr::from(header.source()));
                // A length of 0 is left to the network card to fill in: then all that is there belongs to it.
                let len = usize::from(header.total_len()).checked_sub(header.slice().len());
                (from, IpAddr::V4(Ipv4Addr::from(header.destination())), len)
            }
            Some(LaxNetSlice::Ipv6(ip)) => {
                let header = ip.header();
                let from = IpAddr::V6(Ipv6Addr::from(header.source()));
                let extensions = ip.extensions().slice().len();
                let len = usize::from(header.payload_length()).checked_sub(extensions);
                (from, IpAddr::V6(Ipv6Addr::from(header.destination())), len)
            }
            _ => return Decoded::Other,
        };
        let Some(payload) = packet.net.as_ref().and_then(|net| net.ip_payload_ref()) else {
            return Decoded::Other;
        };
        if payload.fragmented {
            let number = payload.ip_number;
            return self.fragment(at, link, data, from, to, number);
        }
        if payload.ip_number != IpNumber::TCP {
            return Decoded::Other;
        }
        let cut =
            if payload.incomplete { expected.unwrap_or(0).saturating_sub(payload.payload.len()) } else { 0 };
        match packet.transport {
            Some(TransportSlice::Tcp(tcp)) => Decoded::Segment(segment(at, from, to, &tcp, cut)),
            _ => Decoded::Malformed,
        }
    }

    fn fragment<'a>(
        &'a mut self,
        at: Duration,
        link: Link,
        data: &[u8],
        from: IpAddr,
        to: IpAddr,
        number: IpNumber,
    ) -> Decoded<'a> {
        // Guards against: fragments whose rest never comes, which the pool would keep for good.
        self.taken += 1;
        if self.taken >= FRAGMENTS {
            self.taken = 0;
            let kept = Cell::new(0);
            self.fragments.retain(|seen| {
                kept.set(kept.get() + 1);
                at.saturating_sub(*seen) < FRAGMENT_AGE && kept.get() <= FRAGMENTS
            });
        }
        let Some(packet) = strict(link, data) else { return Decoded::Malformed };
        match self.fragments.process_sliced_packet(&packet, at, ()) {
            Ok(Some(whole)) if number == IpNumber::TCP => {
                let whole = self.whole.insert(whole);
                match TcpSlice::from_slice(&whole.payload) {
                    Ok(tcp) => Decoded::Segment(segment(at, from, to, &tcp, 0)),
                    Err(_) => Decoded::Malformed,
                }
            }
            Ok(Some(_)) => Decoded::Other,
            Ok(None) => Decoded::Fragment,
            Err(_) => Decoded::Malformed,
        }
    }
}

fn segment<'a>(at: Duration, from: IpAddr, to: IpAddr, tcp: &TcpSlice<'a>, missing: usize) -> Segment<'a> {
    Segment {
        at,
        from: SocketAddr::new(from, tcp.source_port()),
        to: SocketAddr::new(to, tcp.destination_port()),
        seq: tcp.sequence_number(),
        ack: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload: tcp.payload(),
        missing,
    }
}
