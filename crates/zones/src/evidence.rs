//! What gateways of several zones say of each: whether it is lost, or only out of reach of some; and what it can carry, learnt
//! from waits.

use std::collections::BTreeMap;

/// Attempts of one origin zone in a window, under which it says nothing; and of one gateway.
pub const FEW: u64 = 8;
const FEW_OF_ONE: u64 = 3;
/// This part failed, or this many times the time that it takes in calm: a gateway calls the zone bad.
const FAILED: f64 = 0.25;
const SLOW: f64 = 4.0;
/// Late, or slow, while it answers so large a part of the most that it has answered without waits: it has too much to do. Below
/// that it ails.
const CARRIED_LATE: f64 = 0.8;
const CARRIED_SLOW: f64 = 0.6;
/// Asked for so large a part of what it is known to carry, it has too much to do as well.
const ASKED: f64 = 0.9;
/// How that most is forgotten with each window.
const FORGET: f64 = 0.9998;
/// How a zone's time in calm follows what is measured: up slowly, down at once.
const CALM_UP: f64 = 0.002;
/// Capacity: cut on waits over this many times calm or when so many are turned away, raised where most of it is used without.
const WAITS: f64 = 2.0;
const FULL: f64 = 0.02;
const CUT: f64 = 0.9;
const RAISE: f64 = 1.05;
const USED: f64 = 0.8;

/// What a gateway saw of a zone's db hosts in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Attempts that were answered.
    pub answered: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts that are surely overdue, or were never answered.
    pub late: u64,
    /// Attempts that were turned away, as their db host was full.
    pub full: u64,
    /// The mean time to an answer, in seconds; nothing where none was measured.
    pub took: f64,
    /// The part of the zone's db hosts that it holds for proven bad, whoever proved it.
    pub away: f64,
}

/// What is to be made of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It serves those that reach it.
    Well,
    /// Most that would know find it bad: it is left.
    Lost,
    /// Some cannot reach it and others can: theirs is the trouble, and only they leave it.
    Apart,
    /// Nobody has tried enough to know.
    Unknown,
}

/// What was made of a zone, and of whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is to be made of it.
    pub judgement: Judgement,
    /// The origin zones that find it bad.
    pub bad: Vec<u64>,
    /// What was seen, over all origin zones: attempts answered, failed, late, turned away.
    pub counts: [u64; 4],
}

/// One zone as all see it.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    calm: f64,
    /// Unknown until there were waits.
    capacity: Option<f64>,
    /// The most that it has answered without waits, in units per second.
    carried: f64,
}

/// What has been learnt of zones.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    zones: BTreeMap<u64, Known>,
}

impl Evidence {
    /// What a zone can carry, in units per second; none before it was ever short of it.
    #[must_use]
    pub fn capacity(&self, zone: u64) -> Option<f64> {
        self.zones.get(&zone)?.capacity
    }

    /// Judges a zone by what the gateways of each origin zone saw of it in a window of so many seconds, and learns. One that
    /// answers as much as it ever did is not lost for being late: it has too much to do, as after another zone's loss; nor is one
    /// of which clients ask `asked` a second, and which is known to carry no more.
    ///
    /// In an origin zone more than half of its gateways that have tried must find it bad: one gateway's trouble is its own. It
    /// takes more than half of the origin zones that know to call it lost, so that neither a minority that is cut off nor a
    /// zone's own trouble moves the fleet.
    pub fn judge(&mut self, zone: u64, seen: &[(u64, Vec<Seen>)], window: f64, asked: f64) -> Finding {
        let known = self.zones.entry(zone).or_default();
        let tried = |seen: &Seen| seen.answered + seen.failed + seen.late + seen.full;
        let served: u64 = seen.iter().flat_map(|(_, all)| all).map(|seen| seen.answered).sum();
        let served = served as f64 / window.max(f64::MIN_POSITIVE);
        let short = known.capacity.is_some_and(|capacity| asked >= capacity * ASKED);
        let busy = |part: f64| known.carried > 0.0 && served >= known.carried * part || short;
        let (busy_late, busy_slow) = (busy(CARRIED_LATE), busy(CARRIED_SLOW));
        let is_bad = |seen: &Seen| {
            let slow = !busy_slow && known.calm > 0.0 && seen.answered > 0 && seen.took >= SLOW * known.calm;
            let late = if busy_late { 0 } else { seen.late };
            let part = (seen.failed + late) as f64 / (seen.answered + seen.failed + late).max(1) as f64;
            seen.away >= 1.0 || tried(seen) >= FEW_OF_ONE && (part >= FAILED || slow)
        };
        let (mut bad, mut well) = (Vec::new(), 0);
        let (mut answered, mut timed, mut took, mut full) = (0.0, 0.0, 0.0, 0.0);
        for (origin, gateways) in seen {
            let all: u64 = gateways.iter().map(tried).sum();
            let proven = 2 * gateways.iter().filter(|seen| seen.away >= 1.0).count() > gateways.len();
            if all < FEW && !proven {
                continue;
            }
            let knows = gateways.iter().filter(|seen| seen.away >= 1.0 || tried(seen) >= FEW_OF_ONE);
            let (knows, finds) =
                knows.fold((0, 0), |(all, bad), seen| (all + 1, bad + usize::from(is_bad(seen))));
            if 2 * finds > knows {
                bad.push(*origin);
                continue;
            }
            well += 1;
            for seen in gateways.iter().filter(|seen| !is_bad(seen)) {
                answered += seen.answered as f64;
                full += seen.full as f64;
                if seen.took > 0.0 {
                    timed += seen.answered as f64;
                    took += seen.took * seen.answered as f64;
                }
            }
        }
        if timed > 0.0 {
            let part = full / (answered + full);
            known.learn(took / timed, part >= FULL, served);
        }
        let judgement = match (bad.len(), well) {
            (0, 0) => Judgement::Unknown,
            (0, _) => Judgement::Well,
            (bad, well) if bad > well => Judgement::Lost,
            _ => Judgement::Apart,
        };
        let all = seen.iter().flat_map(|(_, all)| all);
        let counts = all
            .fold([0; 4], |[a, b, c, d], one| [a + one.answered, b + one.failed, c + one.late, d + one.full]);
        Finding { judgement, bad, counts }
    }
}

impl Known {
    /// Learns from a window in which answers took so long, some were turned away, and so many were answered a second.
    fn learn(&mut self, took: f64, full: bool, served: f64) {
        self.calm = if self.calm == 0.0 || took < self.calm {
            took
        } else {
            self.calm * (1.0 + CALM_UP).min(took / self.calm)
        };
        self.carried *= FORGET;
        if full || took >= WAITS * self.calm {
            // It carries what it carries now, and no more.
            let held = self.capacity.unwrap_or(f64::INFINITY);
            self.capacity = Some((held * CUT).min(served).max(served * CUT));
        } else {
            self.carried = self.carried.max(served);
            let raised = |held: f64| if served >= USED * held { (held * RAISE).max(served) } else { held };
            self.capacity = self.capacity.map(raised);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(answered: u64, failed: u64, ms: f64) -> Seen {
        Seen { answered, failed, took: ms / 1_000.0, ..Seen::default() }
    }

    #[test]
    fn a_zone_is_lost_when_most_that_know_say_so() {
        let well = seen(100, 2, 10.0);
        let (gone, slow, one_in_three) = (seen(0, 40, 0.0), seen(30, 0, 60.0), seen(66, 34, 10.0));
        let (few, away) = (seen(2, 3, 900.0), Seen { away: 1.0, ..Seen::default() });
        let one = |seen: Seen| vec![seen];
        let cases: [(&str, Vec<Vec<Seen>>, Judgement); 14] = [
            ("nobody tried", vec![], Judgement::Unknown),
            ("too few tries", vec![one(few), one(few)], Judgement::Unknown),
            ("all is well", vec![one(well), one(well), one(few)], Judgement::Well),
            ("gone for all", vec![one(gone), one(gone), one(gone)], Judgement::Lost),
            ("gone for most", vec![one(gone), one(gone), one(well)], Judgement::Lost),
            ("gone for those that ask it", vec![one(gone)], Judgement::Lost),
            ("one is cut off", vec![one(gone), one(well), one(well)], Judgement::Apart),
            ("one against one", vec![one(gone), one(well)], Judgement::Apart),
            ("six times as slow", vec![one(slow), one(slow), one(well)], Judgement::Lost),
            ("one in three fails", vec![one(one_in_three), one(one_in_three)], Judgement::Lost),
            ("one gateway of two", vec![vec![gone, well]], Judgement::Well),
            ("one gateway of three", vec![vec![well, gone, well]], Judgement::Well),
            ("two gateways of three", vec![vec![well, gone, gone]], Judgement::Lost),
            ("proven, and nobody tries", vec![vec![away, away]], Judgement::Lost),
        ];
        for (what, seen, wanted) in cases {
            let mut evidence = Evidence::default();
            for _ in 0..3 {
                evidence.judge(1, &[(0, vec![well]), (1, vec![well]), (2, vec![well])], 1.0, 0.0);
            }
            let seen: Vec<(u64, Vec<Seen>)> = (0..).zip(seen).collect();
            assert_eq!(evidence.judge(1, &seen, 1.0, 0.0).judgement, wanted, "{what}");
        }
    }

    #[test]
    fn too_much_to_do_is_no_loss_and_capacity_follows_waits() {
        let mut evidence = Evidence::default();
        let mut judge = |rate: u64, full: u64, ms: f64, times: usize| {
            let one = vec![Seen { full, ..seen(rate, 0, ms) }];
            let judged =
                (0..times).map(|_| evidence.judge(0, &[(0, one.clone()), (1, one.clone())], 1.0, 0.0));
            let lost = judged.filter(|found| found.judgement == Judgement::Lost).count();
            (lost, evidence.capacity(0))
        };
        assert_eq!(judge(20, 0, 10.0, 50), (0, None), "unused, nothing is learnt");
        assert_eq!(judge(40, 0, 10.0, 5), (0, None));
        let (lost, cut) = judge(80, 0, 60.0, 5);
        assert!(lost == 0 && cut.is_some_and(|cut| (143.0..=161.0).contains(&cut)), "{lost}, {cut:?}");
        let (lost, cut) = judge(60, 30, 12.0, 3);
        assert!(
            lost == 0 && cut.is_some_and(|cut| (107.0..=121.0).contains(&cut)),
            "turned away: {lost}, {cut:?}"
        );
        let (_, raised) = judge(70, 0, 11.0, 10);
        assert!(raised.is_some_and(|raised| raised > 140.0), "{raised:?}");
        let (lost, _) = judge(20, 0, 60.0, 3);
        assert_eq!(lost, 3, "slow with less to do than it has carried: it ails");
        let late = |answered: u64| {
            let mut evidence = evidence.clone();
            let one = vec![Seen { late: 60, ..seen(answered, 0, 10.0) }];
            evidence.judge(0, &[(0, one)], 1.0, 0.0).judgement
        };
        assert_eq!(
            (late(30), late(150)),
            (Judgement::Lost, Judgement::Well),
            "late, and late with too much to do"
        );
    }
}
