//! Writing TCP conversations as a pcap file that common analysers read: nanoseconds, raw IP, checksums that hold.

use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use etherparse::PacketBuilder;
use pcap_parser::{LegacyPcapBlock, Linktype, PcapHeader, ToVec};

/// The most payload in one packet.
pub const MOST_PAYLOAD: usize = 16 * 1024;
const NANOSECONDS: u32 = 0xa1b2_3c4d;
const SNAP_LENGTH: u32 = 262_144;
const WINDOW: u16 = 65_535;

/// A pcap file under way.
#[derive(Debug)]
pub struct Writer<W> {
    out: W,
    written: u64,
    packet: Vec<u8>,
}

/// One TCP connection as it is written: both ends, and the next sequence number of each.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Who opened it, and whom to.
    ends: [SocketAddr; 2],
    seq: [u32; 2],
}

/// Which end sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The one that opened the connection.
    Client,
    /// The other.
    Server,
}

#[derive(Clone, Copy, Default)]
struct Flags {
    syn: bool,
    ack: bool,
    fin: bool,
    rst: bool,
}

impl<W: Write> Writer<W> {
    /// Begins a file.
    ///
    /// # Errors
    /// The system's.
    pub fn new(mut out: W) -> io::Result<Self> {
        let header = PcapHeader {
            magic_number: NANOSECONDS,
            snaplen: SNAP_LENGTH,
            network: Linktype::RAW,
            ..PcapHeader::new()
        };
        let bytes = header.to_vec_raw().map_err(|e| io::Error::other(e.to_string()))?;
        out.write_all(&bytes)?;
        Ok(Self { out, written: bytes.len() as u64, packet: Vec::new() })
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Hands back what it writes to, after all is written.
    ///
    /// # Errors
    /// The system's.
    pub fn finish(mut self) -> io::Result<W> {
        self.out.flush()?;
        Ok(self.out)
    }

    /// A connection is opened: both SYNs.
    ///
    /// # Errors
    /// The system's.
    pub fn open(
        &mut self,
        at: Duration,
        client: SocketAddr,
        server: SocketAddr,
        first: u32,
    ) -> io::Result<Connection> {
        let mut connection = Connection { ends: [client, server], seq: [first, !first] };
        self.put(at, &connection, End::Client, Flags { syn: true, ..Flags::default() }, &[])?;
        connection.seq[0] = first.wrapping_add(1);
        self.put(at, &connection, End::Server, Flags { syn: true, ack: true, ..Flags::default() }, &[])?;
        connection.seq[1] = (!first).wrapping_add(1);
        Ok(connection)
    }

    /// One end sends bytes; the other acknowledges them.
    ///
    /// # Errors
    /// The system's.
    pub fn send(
        &mut self,
        at: Duration,
        connection: &mut Connection,
        from: End,
        bytes: &[u8],
    ) -> io::Result<()> {
        for part in bytes.chunks(MOST_PAYLOAD) {
            self.put(at, connection, from, Flags { ack: true, ..Flags::default() }, part)?;
            let seq = &mut connection.seq[from as usize];
            *seq = seq.wrapping_add(part.len() as u32);
        }
        Ok(())
    }

    /// One end sends no more, or breaks the connection.
    ///
    /// # Errors
    /// The system's.
    pub fn close(
        &mut self,
        at: Duration,
        connection: &mut Connection,
        from: End,
        broken: bool,
    ) -> io::Result<()> {
        let flags = Flags { ack: true, fin: !broken, rst: broken, ..Flags::default() };
        self.put(at, connection, from, flags, &[])?;
        let seq = &mut connection.seq[from as usize];
        *seq = seq.wrapping_add(1);
        Ok(())
    }

    fn put(
        &mut self,
        at: Duration,
        connection: &Connection,
        from: End,
        flags: Flags,
        payload: &[u8],
    ) -> io::Result<()> {
        let (here, there) = (from as usize, 1 - from as usize);
        let (source, target) = (connection.ends[here], connection.ends[there]);
        let builder = match (source.ip(), target.ip()) {
            (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
            (from, to) => PacketBuilder::ipv6(six(from), six(to), 64),
        };
        let mut builder = builder.tcp(source.port(), target.port(), connection.seq[here], WINDOW);
        if flags.syn {
            builder = builder.syn();
        }
        if flags.ack {
            builder = builder.ack(connection.seq[there]);
        }
        if flags.fin {
            builder = builder.fin();
        }
        if flags.rst {
            builder = builder.rst();
        }
        if !payload.is_empty() {
            builder = builder.psh();
        }
        self.packet.clear();
        builder.write(&mut self.packet, payload).map_err(|e| io::Error::other(e.to_string()))?;
        let len = u32::try_from(self.packet.len()).map_err(io::Error::other)?;
        let mut block = LegacyPcapBlock {
            ts_sec: u32::try_from(at.as_secs()).unwrap_or(u32::MAX),
            ts_usec: at.subsec_nanos(),
            caplen: len,
            origlen: len,
            data: &self.packet,
        };
        let bytes = block.to_vec().map_err(|e| io::Error::other(e.to_string()))?;
        self.out.write_all(&bytes)?;
        self.written += bytes.len() as u64;
        Ok(())
    }
}

/// An address as IPv6 has it.
fn six(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}
