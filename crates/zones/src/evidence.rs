//! What several zones say of each: whether it is lost, or only out of reach of some; and what it can carry, learnt from waits.

use std::collections::BTreeMap;

/// Attempts of one origin in a window, under which it says nothing.
const FEW: u64 = 8;
/// This part failed, or this many times the time that it takes in calm: an origin calls the zone bad.
const FAILED: f64 = 0.5;
const SLOW: f64 = 4.0;
/// How a zone's time in calm follows what is measured: up slowly, down at once.
const CALM_UP: f64 = 0.002;
/// Capacity: cut on waits over this many times calm, raised where most of it is used without.
const WAITS: f64 = 2.0;
const CUT: f64 = 0.9;
const RAISE: f64 = 1.05;
const USED: f64 = 0.8;

/// What gateways of one zone saw of another in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Attempts that were answered.
    pub answered: u64,
    /// Attempts that failed, or were never answered.
    pub failed: u64,
    /// The mean time to an answer, in seconds.
    pub took: f64,
}

/// What is to be made of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It serves those that reach it.
    Well,
    /// Most that would know find it bad: it is left.
    Lost,
    /// Some cannot reach it and others can: theirs is the trouble, and the plan stays.
    Apart,
    /// Nobody has tried enough to know.
    Unknown,
}

/// One zone as all see it.
#[derive(Clone, Copy, Debug)]
struct Known {
    calm: f64,
    capacity: f64,
}

/// What has been learnt of zones.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    zones: BTreeMap<usize, Known>,
}

impl Evidence {
    /// What a zone can carry at first, before anything was learnt.
    pub fn begin(&mut self, zone: usize, capacity: f64) {
        self.zones.entry(zone).or_insert(Known { calm: 0.0, capacity });
    }

    /// What a zone can carry.
    #[must_use]
    pub fn capacity(&self, zone: usize) -> f64 {
        self.zones.get(&zone).map_or(0.0, |known| known.capacity)
    }

    /// Judges a zone by what each origin zone saw of it in a window of so many seconds, and learns.
    ///
    /// It takes more than half of those that have tried enough to call it lost, and two where there are two: so that neither a
    /// minority that is cut off nor a single zone's own trouble moves the fleet.
    pub fn judge(&mut self, zone: usize, seen: &[(usize, Seen)], window: f64) -> Judgement {
        let Some(known) = self.zones.get_mut(&zone) else { return Judgement::Unknown };
        let tried = seen.iter().filter(|(_, seen)| seen.answered + seen.failed >= FEW);
        let (mut bad, mut well) = (0, 0);
        let (mut answered, mut took) = (0.0, 0.0);
        for (_, seen) in tried {
            let part = seen.failed as f64 / (seen.answered + seen.failed) as f64;
            let slow = known.calm > 0.0 && seen.answered > 0 && seen.took >= SLOW * known.calm;
            if part >= FAILED || slow {
                bad += 1;
            } else {
                well += 1;
                answered += seen.answered as f64;
                took += seen.took * seen.answered as f64;
            }
        }
        if answered > 0.0 {
            known.learn(took / answered, answered / window.max(f64::MIN_POSITIVE));
        }
        match (bad, well) {
            (0, 0) => Judgement::Unknown,
            (0, _) => Judgement::Well,
            (bad, well) if bad > well => Judgement::Lost,
            _ => Judgement::Apart,
        }
    }
}

impl Known {
    /// Learns from a window in which answers took so long, at such a rate.
    fn learn(&mut self, took: f64, rate: f64) {
        self.calm = if self.calm == 0.0 || took < self.calm {
            took
        } else {
            self.calm * (1.0 + CALM_UP).min(took / self.calm)
        };
        if took >= WAITS * self.calm {
            // It carries what it carries now, and no more.
            self.capacity = (self.capacity * CUT).max(rate * CUT);
        } else if rate >= USED * self.capacity {
            self.capacity = (self.capacity * RAISE).max(rate);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(answered: u64, failed: u64, ms: f64) -> Seen {
        Seen { answered, failed, took: ms / 1_000.0 }
    }

    #[test]
    fn a_zone_is_lost_when_most_that_know_say_so() {
        let well = seen(100, 2, 10.0);
        let (gone, slow, one_in_three) = (seen(0, 40, 0.0), seen(100, 0, 60.0), seen(66, 34, 10.0));
        let few = seen(2, 3, 900.0);
        let cases: [(&str, &[Seen], Judgement); 9] = [
            ("nobody tried", &[], Judgement::Unknown),
            ("too few tries", &[few, few], Judgement::Unknown),
            ("all is well", &[well, well, few], Judgement::Well),
            ("gone for all", &[gone, gone, gone], Judgement::Lost),
            ("gone for most", &[gone, gone, well], Judgement::Lost),
            ("one is cut off", &[gone, well, well], Judgement::Apart),
            ("one against one", &[gone, well], Judgement::Apart),
            ("six times as slow", &[slow, slow, well], Judgement::Lost),
            ("one in three fails", &[one_in_three, one_in_three], Judgement::Well),
        ];
        for (what, seen, wanted) in cases {
            let mut evidence = Evidence::default();
            evidence.begin(1, 100.0);
            for _ in 0..3 {
                evidence.judge(1, &[(0, well), (1, well)], 1.0);
            }
            let seen: Vec<(usize, Seen)> = seen.iter().copied().enumerate().collect();
            assert_eq!(evidence.judge(1, &seen, 1.0), wanted, "{what}");
        }
        assert_eq!(
            Evidence::default().judge(5, &[(0, gone)], 1.0),
            Judgement::Unknown,
            "a zone nobody named"
        );
    }

    #[test]
    fn capacity_follows_waits() {
        let mut evidence = Evidence::default();
        evidence.begin(0, 100.0);
        let mut judge = |rate: u64, ms: f64, times: usize| {
            (0..times).for_each(|_| {
                evidence.judge(0, &[(0, seen(rate, 0, ms)), (1, seen(rate, 0, ms))], 1.0);
            });
            evidence.capacity(0)
        };
        assert!((judge(20, 10.0, 50) - 100.0).abs() < 1e-9, "unused, nothing is learnt");
        let grown = judge(90, 10.0, 10);
        assert!(grown > 160.0, "{grown}");
        let cut = judge(90, 25.0, 20);
        assert!((160.0..=164.0).contains(&cut), "down to what it carries: {cut}");
    }
}
