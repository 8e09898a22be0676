//! One group at a time. Groups have no disk: what keeps two of them from deciding at once is the support of most of the
//! seeds, the one list that all gateways have from their operators. A seed supports one group for a span, and a seed that
//! has just started, which cannot know what it supported before, supports none for as long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// So long a seed keeps to the group that it supports.
pub const HELD: Duration = Duration::from_secs(5);
/// So much less the group counts on, as clocks do not run alike.
const MARGIN: Duration = Duration::from_millis(500);

/// A seed's part.
#[derive(Debug)]
pub struct Grantor {
    started: Instant,
    held: Option<(u64, Instant)>,
}

impl Grantor {
    /// One that has started now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { started: now, held: None }
    }

    /// Whether it supports the group of a generation from now on.
    pub fn ask(&mut self, now: Instant, generation: u64) -> bool {
        let bound = self.held.is_some_and(|(held, until)| now < until && held != generation);
        let older = self.held.is_some_and(|(held, _)| generation < held);
        if now < self.started + HELD || bound || older {
            return false;
        }
        self.held = Some((generation, now + HELD));
        true
    }

    /// The newest generation it has supported.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.held.map_or(0, |(held, _)| held)
    }
}

/// A group's part: when each seed was asked that has agreed since.
#[derive(Debug, Default)]
pub struct Support {
    asked: BTreeMap<SocketAddr, Instant>,
}

impl Support {
    /// A seed agreed to what it was asked then.
    pub fn granted(&mut self, by: SocketAddr, asked: Instant) {
        let last = self.asked.entry(by).or_insert(asked);
        *last = asked.max(*last);
    }

    /// Until when most of the seeds support the group.
    #[must_use]
    pub fn until(&self, seeds: &[SocketAddr]) -> Option<Instant> {
        let mut asked: Vec<Instant> = seeds.iter().filter_map(|seed| self.asked.get(seed).copied()).collect();
        asked.sort_unstable_by(|one, other| other.cmp(one));
        asked.get(seeds.len() / 2).map(|asked| *asked + HELD - MARGIN)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_keeps_to_one_generation_and_a_fresh_one_supports_none() {
        let start = Instant::now();
        let mut seed = Grantor::new(start);
        // Milliseconds after the start, who asks, whether it is supported.
        let asked = [
            (0, 7, false),
            (4_999, 7, false),
            (5_000, 7, true),
            (6_000, 8, false),
            (9_000, 7, true),
            (13_999, 8, false),
            (14_000, 8, true),
            (30_000, 7, false),
            (30_000, 8, true),
        ];
        for (at, generation, wanted) in asked {
            let granted = seed.ask(start + Duration::from_millis(at), generation);
            assert_eq!(granted, wanted, "generation {generation} after {at} ms");
        }
        assert_eq!(seed.highest(), 8);
    }

    #[test]
    fn a_group_counts_on_most_seeds_from_when_they_were_asked() {
        let start = Instant::now() + HELD;
        let seeds: Vec<SocketAddr> = (1..=5).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
        let mut support = Support::default();
        for (n, wanted) in [(0, None), (1, None), (2, Some(0)), (3, Some(1)), (4, Some(2))] {
            support.granted(seeds[n], start + Duration::from_secs(n as u64));
            let until = wanted.map(|n| start + Duration::from_secs(n) + HELD - MARGIN);
            assert_eq!(support.until(&seeds), until, "with {} of five", n + 1);
        }
        // An answer to an older question moves nothing back, and one that is no seed counts for nothing.
        support.granted(seeds[4], start);
        support.granted(SocketAddr::from(([127, 0, 0, 1], 9)), start + HELD);
        assert_eq!(support.until(&seeds), Some(start + Duration::from_secs(2) + HELD - MARGIN));
    }
}
