//! Reading a capture file, streamed.

use std::io::{self, Read};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pcap_parser::{create_reader, Block, PcapBlockOwned, PcapError};
use thiserror::Error;

use crate::decode::{Decoded, Decoder, Link};
use crate::Segment;

/// The buffer that a file goes through; no packet is longer than the 256 KiB that capture programs allow.
const BUFFER: usize = 320 * 1024;
/// Interfaces of a pcapng section that are kept apart.
const INTERFACES: usize = 1024;

/// Why a file cannot be read on.
#[derive(Debug, Error)]
pub enum Fault {
    /// It is no capture file.
    #[error("neither pcap nor pcapng")]
    Unknown,
    /// A block that cannot be read, from this offset on.
    #[error("offset {0}: malformed block")]
    Malformed(u64),
    /// A block longer than any packet.
    #[error("offset {0}: a block of over {BUFFER} bytes")]
    TooLong(u64),
    /// The system's word.
    #[error("offset {0}: {1}")]
    Io(u64, io::Error),
}

/// What was in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Packets, whole or cut by the snap length.
    pub packets: u64,
    /// Bytes of the file that were read.
    pub bytes: u64,
    /// Packets that hold no TCP.
    pub other: u64,
    /// Packets whose headers cannot be read.
    pub malformed: u64,
    /// Packets of link types that are not known here.
    pub unknown_link: u64,
    /// Fragments.
    pub fragments: u64,
    /// The file ends within a block that begins at this offset.
    pub cut_at: Option<u64>,
}

/// Counts what the parser's buffer has been given, to tell an end from a cut.
struct Counted<R> {
    inner: R,
    given: Arc<AtomicU64>,
    error: Arc<std::sync::Mutex<Option<io::Error>>>,
}

impl<R: Read> Read for Counted<R> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let read = loop {
            match self.inner.read(out) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            Ok(len) => {
                self.given.fetch_add(len as u64, Ordering::Relaxed);
                Ok(len)
            }
            Err(error) => {
                let kind = error.kind();
                if let Ok(mut kept) = self.error.lock() {
                    *kept = Some(error);
                }
                Err(kind.into())
            }
        }
    }
}

/// Hands each TCP segment of a file to `take`, in the file's order. A file that is cut off within a block gives all
/// before it, and the summary tells where.
///
/// # Errors
/// Names the offset from which it cannot be read on; what came before has been handed over.
pub fn read(source: impl Read + Send, mut take: impl FnMut(&Segment<'_>)) -> Result<Summary, Fault> {
    let (given, error) = (Arc::new(AtomicU64::new(0)), Arc::default());
    let counted = Counted { inner: source, given: Arc::clone(&given), error: Arc::clone(&error) };
    let failed = |offset: u64| match error.lock().ok().and_then(|mut kept| kept.take()) {
        Some(error) => Fault::Io(offset, error),
        None => Fault::Malformed(offset),
    };
    let mut summary = Summary::default();
    let mut reader = match create_reader(BUFFER, counted) {
        Ok(reader) => reader,
        // Nothing, or not even a header: cut at its start.
        Err(PcapError::Eof | PcapError::Incomplete(_)) => {
            return Ok(Summary { cut_at: Some(0), ..summary });
        }
        Err(PcapError::ReadError) => return Err(failed(0)),
        Err(_) => return Err(Fault::Unknown),
    };
    let mut decoder = Decoder::default();
    let (mut legacy, mut nanos) = (Link::ETHERNET, false);
    // Link type, units of time a second, and the offset in seconds.
    let mut interfaces: Vec<(Link, u64, i64)> = Vec::new();
    loop {
        let offset = reader.consumed() as u64;
        summary.bytes = offset;
        match reader.next() {
            Ok((len, block)) => {
                let packet = match block {
                    PcapBlockOwned::LegacyHeader(header) => {
                        legacy = Link(header.network.0.unsigned_abs() & 0xffff);
                        nanos = header.is_nanosecond_precision();
                        None
                    }
                    PcapBlockOwned::Legacy(packet) => {
                        let unit = if nanos { 1 } else { 1000 };
                        let fraction = u64::from(packet.ts_usec).saturating_mul(unit);
                        let at = Duration::from_secs(packet.ts_sec.into()) + Duration::from_nanos(fraction);
                        Some((at, legacy, packet.data))
                    }
                    PcapBlockOwned::NG(block) => match block {
                        Block::SectionHeader(_) => {
                            interfaces.clear();
                            None
                        }
                        Block::InterfaceDescription(interface) => {
                            if interfaces.len() < INTERFACES {
                                let unit = interface.ts_resolution().filter(|unit| *unit > 0);
                                let link = Link(interface.linktype.0.unsigned_abs());
                                interfaces.push((link, unit.unwrap_or(1_000_000), interface.ts_offset()));
                            }
                            None
                        }
                        Block::EnhancedPacket(packet) => {
                            let ticks = u64::from(packet.ts_high) << 32 | u64::from(packet.ts_low);
                            let data = packet.data.get(..packet.caplen as usize);
                            interfaces.get(packet.if_id as usize).zip(data).map(
                                |((link, unit, offset), data)| {
                                    let secs = (ticks / unit).saturating_add_signed(*offset);
                                    let nanos = u128::from(ticks % unit) * 1_000_000_000 / u128::from(*unit);
                                    (Duration::new(secs, u32::try_from(nanos).unwrap_or(0)), *link, data)
                                },
                            )
                        }
                        Block::SimplePacket(packet) => {
                            let link = interfaces.first().map_or(Link::ETHERNET, |(link, ..)| *link);
                            Some((Duration::ZERO, link, packet.data))
                        }
                        _ => None,
                    },
                };
                if let Some((at, link, data)) = packet {
                    summary.packets += 1;
                    match decoder.decode(at, link, data) {
                        Decoded::Segment(segment) => take(&segment),
                        Decoded::Fragment => summary.fragments += 1,
                        Decoded::Other => summary.other += 1,
                        Decoded::Malformed if known(link) => summary.malformed += 1,
                        Decoded::Malformed => summary.unknown_link += 1,
                    }
                }
                reader.consume(len);
            }
            Err(PcapError::Eof) => return Ok(summary),
            Err(PcapError::Incomplete(_)) => {
                let before = given.load(Ordering::Relaxed);
                if reader.refill().is_err() {
                    return Err(failed(offset));
                }
                if given.load(Ordering::Relaxed) == before {
                    return Ok(ended(summary, before));
                }
            }
            Err(PcapError::UnexpectedEof) => return Ok(ended(summary, given.load(Ordering::Relaxed))),
            Err(PcapError::BufferTooSmall) => return Err(Fault::TooLong(offset)),
            Err(PcapError::ReadError) => return Err(failed(offset)),
            Err(_) => return Err(Fault::Malformed(offset)),
        }
    }
}

/// The end of a file of which `given` bytes were there.
fn ended(summary: Summary, given: u64) -> Summary {
    Summary { cut_at: (given > summary.bytes).then_some(summary.bytes), ..summary }
}

fn known(link: Link) -> bool {
    matches!(link, Link(0 | 1 | 12 | 14 | 101 | 108 | 113 | 228 | 229 | 276))
}
