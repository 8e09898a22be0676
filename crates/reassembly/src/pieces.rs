//! Bytes that wait behind a hole, by their offset in the stream.
//!
//! Segments come nearly always in order, so a new one nearly always goes to the end, and what is taken is always at the
//! front: a deque sorted by offset, searched only for what comes late. Of overlapping bytes the first seen win.

use std::collections::VecDeque;

/// Pieces that neither overlap nor touch without being apart in what they came in.
#[derive(Clone, Debug, Default)]
pub struct Pieces {
    pieces: VecDeque<(u64, Vec<u8>)>,
    bytes: usize,
}

impl Pieces {
    /// Nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// How many pieces wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Where the first one begins.
    #[must_use]
    pub fn first(&self) -> Option<u64> {
        self.pieces.front().map(|(offset, _)| *offset)
    }

    /// Takes bytes at an offset; gives how many of them were there already, and of those how many differ.
    pub fn insert(&mut self, offset: u64, bytes: &[u8]) -> (usize, usize) {
        if bytes.is_empty() {
            return (0, 0);
        }
        let end = offset + bytes.len() as u64;
        let behind_all = self.pieces.back().is_none_or(|(last, piece)| *last + piece.len() as u64 <= offset);
        if behind_all {
            self.bytes += bytes.len();
            self.pieces.push_back((offset, bytes.to_vec()));
            return (0, 0);
        }
        // The first piece that ends behind the start of the new one.
        let mut at = self.pieces.partition_point(|(start, piece)| *start + piece.len() as u64 <= offset);
        let (mut seen, mut differ, mut from) = (0, 0, offset);
        while from < end {
            let Some((start, piece)) = self.pieces.get(at) else {
                self.put(at, from, &bytes[(from - offset) as usize..]);
                break;
            };
            let (start, stop) = (*start, *start + piece.len() as u64);
            if from < start {
                let until = start.min(end);
                self.put(at, from, &bytes[(from - offset) as usize..(until - offset) as usize]);
                (from, at) = (until, at + 1);
                continue;
            }
            let until = stop.min(end);
            let old = &piece[(from - start) as usize..(until - start) as usize];
            let new = &bytes[(from - offset) as usize..(until - offset) as usize];
            seen += new.len();
            differ += old.iter().zip(new).filter(|(old, new)| old != new).count();
            (from, at) = (until, at + 1);
        }
        (seen, differ)
    }

    fn put(&mut self, at: usize, offset: u64, bytes: &[u8]) {
        self.bytes += bytes.len();
        self.pieces.insert(at, (offset, bytes.to_vec()));
    }

    /// Takes the first piece if it begins at `offset`.
    pub fn take(&mut self, offset: u64) -> Option<Vec<u8>> {
        if self.first()? != offset {
            return None;
        }
        let (_, piece) = self.pieces.pop_front()?;
        self.bytes -= piece.len();
        Some(piece)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_seen_win_and_what_differs_is_counted() {
        let mut pieces = Pieces::default();
        assert_eq!(pieces.insert(10, b"klm"), (0, 0));
        assert_eq!(pieces.insert(16, b"qr"), (0, 0));
        // Over both and the holes round them: of "iJKlmnopqrs" at 8, five were there, and one of those differs.
        assert_eq!(pieces.insert(8, b"ijKlmnopqrs"), (5, 1));
        assert_eq!((pieces.len(), pieces.bytes()), (5, 11));
        let mut at = 8;
        let mut all = Vec::new();
        while let Some(piece) = pieces.take(at) {
            at += piece.len() as u64;
            all.extend(piece);
        }
        assert_eq!((all.as_slice(), pieces.bytes(), pieces.is_empty()), (&b"ijklmnopqrs"[..], 0, true));
    }
}
