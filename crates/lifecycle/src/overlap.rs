//! While one process replaces another: what they say to each other, and how they share one gateway's limits.

/// Descriptors and memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Means {
    /// Descriptors.
    pub sockets: usize,
    /// KiB of memory.
    pub kib: usize,
}

/// The older process keeps so many descriptors beyond those it holds, to send on what it has taken.
const SPARE_SOCKETS: usize = 8;

impl Means {
    /// What the older of two processes keeps of a gateway's limits, and what it leaves to the newer one, when it holds
    /// `held`. It keeps all but an eighth while it takes clients; once it has `handed` them over it keeps what it holds.
    ///
    /// Guards against: two processes that are each within the limits and together over them. What is held is never
    /// given away, and the newer one gets something in any case.
    #[must_use]
    pub fn divide(self, held: Self, handed: bool) -> (Self, Self) {
        let part = |all: usize, held: usize, spare: usize| {
            let least = if handed { all / 8 } else { all };
            (held + spare).max(least).min(all - all / 8)
        };
        let sockets = part(self.sockets, held.sockets, SPARE_SOCKETS);
        let kib = part(self.kib, held.kib, 0);
        (Self { sockets, kib }, Self { sockets: self.sockets - sockets, kib: self.kib - kib })
    }
}

/// What one process tells the other, a line each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// From the older: its own predecessor has not gone yet, the listener comes later.
    Wait,
    /// From the older: so much is left to the newer.
    Leave(Means),
    /// From the newer: it takes clients.
    Serving,
}

/// The longest line.
const LONGEST: usize = 64;

impl Word {
    /// Appends the line.
    pub fn put(self, out: &mut Vec<u8>) {
        let line = match self {
            Self::Wait => "wait\n".to_owned(),
            Self::Leave(means) => format!("leave {} {}\n", means.sockets, means.kib),
            Self::Serving => "serving\n".to_owned(),
        };
        out.extend(line.as_bytes());
    }

    /// Takes the next whole line off the front of `bytes`.
    ///
    /// # Errors
    /// What is no line that a process of this kind writes.
    pub fn take(bytes: &mut Vec<u8>) -> Result<Option<Self>, String> {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            return if bytes.len() > LONGEST { Err("a line without an end".to_owned()) } else { Ok(None) };
        };
        let line: Vec<u8> = bytes.drain(..=end).collect();
        let text = std::str::from_utf8(&line[..end]).map_err(|e| e.to_string())?;
        let mut words = text.split(' ');
        let number = |rest: &mut std::str::Split<'_, char>| rest.next().and_then(|n| n.parse().ok());
        let word = match words.next() {
            Some("wait") => Some(Self::Wait),
            Some("serving") => Some(Self::Serving),
            Some("leave") => number(&mut words)
                .and_then(|sockets| Some(Self::Leave(Means { sockets, kib: number(&mut words)? }))),
            _ => None,
        };
        word.filter(|_| words.next().is_none()).map(Some).ok_or_else(|| format!("unknown word {text:?}"))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;

    #[test]
    fn words_are_read_at_any_split_and_others_are_faults() {
        let words = [Word::Wait, Word::Leave(Means { sockets: 192, kib: 24_576 }), Word::Serving];
        let mut text = Vec::new();
        words.iter().for_each(|word| word.put(&mut text));
        for split in 0..=text.len() {
            let (mut bytes, mut seen) = (text[..split].to_vec(), Vec::new());
            while let Some(word) = Word::take(&mut bytes).unwrap() {
                seen.push(word);
            }
            bytes.extend(&text[split..]);
            while let Some(word) = Word::take(&mut bytes).unwrap() {
                seen.push(word);
            }
            assert_eq!(seen, words, "split at {split}");
        }
        for odd in ["leave 1\n", "leave x 1\n", "leave 1 2 3\n", "serving now\n", "\n", "\u{fffd}\n"] {
            assert!(Word::take(&mut odd.as_bytes().to_vec()).is_err(), "{odd:?}");
        }
        assert!(Word::take(&mut b"\xff\n".to_vec()).is_err() && Word::take(&mut vec![b'x'; 65]).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(3),
            ..ProptestConfig::default() })]

        #[test]
        fn two_processes_together_stay_within_the_limits(
            sockets in 32_usize..2_000, kib in 32_768_usize..400_000, share in 0.0_f64..0.8, handed in any::<bool>(),
        ) {
            let all = Means { sockets, kib };
            let part = |all: usize| (all as f64 * share) as usize;
            let held = Means { sockets: part(sockets), kib: part(kib) };
            let (own, left) = all.divide(held, handed);
            prop_assert_eq!((own.sockets + left.sockets, own.kib + left.kib), (sockets, kib));
            prop_assert!(own.sockets >= held.sockets && own.kib >= held.kib, "what is held is kept");
            prop_assert!(left.sockets >= sockets / 8 && left.kib >= kib / 8);
            prop_assert!(!handed || share > 0.1 || left.kib > kib / 2, "little is held: most is left");
        }
    }
}
