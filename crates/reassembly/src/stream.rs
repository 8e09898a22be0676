//! One direction of a connection.

use std::time::Duration;

use crate::pieces::Pieces;

/// What a hole is given, in the capture's time, once its receiver has acknowledged past it.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// What comes out of a stream, in order.
#[derive(Debug, PartialEq, Eq)]
pub enum Out<'a> {
    /// The next bytes.
    Bytes(&'a [u8]),
    /// So many bytes are not there.
    Gap(u64),
}

/// Counts of what was not as it should be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Oddities {
    /// Bytes that came more than once.
    pub repeated: u64,
    /// Of those, bytes that were not the same; the first seen counted.
    pub differing: u64,
    /// Gaps, and the bytes they took.
    pub gaps: u64,
    /// Bytes in gaps.
    pub lost: u64,
    /// Segments too far from where the stream is to belong to it.
    pub stray: u64,
}

/// One direction of a connection: offsets count from its first byte.
#[derive(Debug, Default)]
pub struct Stream {
    /// The sequence number of offset 0; none before anything was seen.
    base: Option<u32>,
    next: u64,
    pieces: Pieces,
    /// The offset that the receiver has acknowledged, and since when it lies past the hole.
    acked: u64,
    hole_since: Option<Duration>,
    /// The offset behind the last byte, once FIN was seen.
    end: Option<u64>,
    odd: Oddities,
}

impl Stream {
    /// It was seen from a SYN, or from some segment on.
    #[must_use]
    pub fn begun(&self) -> bool {
        self.base.is_some()
    }

    /// The SYN's sequence number.
    pub fn open(&mut self, seq: u32) {
        if self.base.is_none() {
            self.base = Some(seq.wrapping_add(1));
        }
    }

    /// Whether a SYN of this number is the one that opened the stream.
    #[must_use]
    pub fn opened_by(&self, seq: u32) -> bool {
        self.base == Some(seq.wrapping_add(1))
    }

    /// Bytes that wait behind a hole.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pieces.bytes() + self.pieces.len() * 64
    }

    /// What was not as it should be.
    #[must_use]
    pub fn oddities(&self) -> Oddities {
        self.odd
    }

    /// All up to its end has come out.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.end.is_some_and(|end| self.next >= end)
    }

    /// The offset of a sequence number; none if it is over a GiB from where the stream is. Sequence numbers wrap, so
    /// it is the one nearest to the next.
    fn offset(&self, seq: u32) -> Option<i64> {
        const FAR: i64 = 1 << 30;
        let near = seq.wrapping_sub(self.base?).wrapping_sub(self.next as u32) as i32;
        (i64::from(near).abs() < FAR).then(|| self.next as i64 + i64::from(near))
    }

    /// Takes a segment's bytes, of which `missing` more were cut off, and hands on what is next in order.
    pub fn push(&mut self, seq: u32, bytes: &[u8], missing: usize, fin: bool, mut out: impl FnMut(Out<'_>)) {
        if self.base.is_none() {
            self.base = Some(seq);
        }
        let Some(offset) = self.offset(seq) else {
            self.odd.stray += 1;
            return;
        };
        let end = offset + bytes.len() as i64 + missing as i64;
        if fin {
            self.end = self.end.or(u64::try_from(end).ok());
        }
        // What lies before the next byte has come out already.
        let old = usize::try_from(self.next as i64 - offset).unwrap_or(0).min(bytes.len());
        self.odd.repeated += old as u64;
        let (offset, bytes) = ((offset + old as i64) as u64, &bytes[old..]);
        if bytes.is_empty() {
            return;
        }
        if offset == self.next && self.pieces.first().is_none_or(|first| first >= offset + bytes.len() as u64)
        {
            self.next += bytes.len() as u64;
            out(Out::Bytes(bytes));
        } else {
            let (seen, differ) = self.pieces.insert(offset, bytes);
            self.odd.repeated += seen as u64;
            self.odd.differing += differ as u64;
        }
        self.drain(&mut out);
    }

    fn drain(&mut self, out: &mut impl FnMut(Out<'_>)) {
        while let Some(piece) = self.pieces.take(self.next) {
            self.next += piece.len() as u64;
            out(Out::Bytes(&piece));
        }
        if self.pieces.is_empty() && self.next >= self.acked {
            self.hole_since = None;
        }
    }

    /// The offset that an acknowledgement names; none if it is none of this stream's.
    #[must_use]
    pub fn acknowledged(&self, seq: u32) -> Option<u64> {
        self.offset(seq).and_then(|offset| u64::try_from(offset).ok())
    }

    /// Whether not all up to this offset has come out.
    #[must_use]
    pub fn short_of(&self, offset: u64) -> bool {
        // A FIN takes a number of its own, which an acknowledgement counts.
        let over = self.end.is_some_and(|end| self.next >= end);
        !over && offset > self.next
    }

    /// The receiver has all up to this sequence number. A hole before it will never be filled, unless segments are
    /// merely late in the capture, or `held` elsewhere for now.
    pub fn acked(&mut self, at: Duration, seq: u32, held: bool, mut out: impl FnMut(Out<'_>)) {
        let Some(offset) = self.acknowledged(seq) else { return };
        self.acked = self.acked.max(offset);
        if held || !self.short_of(offset) {
            return;
        }
        match self.hole_since {
            None => self.hole_since = Some(at),
            Some(since) if at.saturating_sub(since) >= PATIENCE => self.skip(&mut out),
            Some(_) => {}
        }
    }

    /// Gives up the hole that all waits for, or what was acknowledged and is not there.
    pub fn skip(&mut self, mut out: impl FnMut(Out<'_>)) {
        let acked = self.acked.min(self.end.unwrap_or(self.acked));
        let target = self.pieces.first().unwrap_or(acked);
        let Some(lost) = target.checked_sub(self.next).filter(|lost| *lost > 0 && self.begun()) else {
            return;
        };
        self.odd.gaps += 1;
        self.odd.lost += lost;
        out(Out::Gap(lost));
        self.next = target;
        self.drain(&mut out);
    }

    /// Nothing more comes: what waits comes out, with the gaps before it.
    pub fn finish(&mut self, mut out: impl FnMut(Out<'_>)) {
        while !self.pieces.is_empty() {
            self.skip(&mut out);
        }
        self.acked = self.acked.max(self.end.unwrap_or(0));
        self.skip(&mut out);
    }
}
