//! The claim in every order of its steps, up to a depth: claims and answers that arrive or do not, time that passes, renewals, holders that
//! forget, a home that lets go. Two homes must never both have a right; each planted defect is found.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::claim::{Claim, Granted, Holder};
use super::order::most;

const HELD: Duration = Duration::from_millis(950);
const OVER: Duration = Duration::from_millis(1_050);
const DEPTH: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// A claim without most.
    One,
    /// Holders count a lease as shorter than homes do, as by a wall clock that was set.
    Clock,
    /// A holder that has started grants at once.
    Forgets,
    /// A home does not look at its lease.
    Unchecked,
}

#[derive(Clone, Debug)]
enum Do {
    Claim(usize, usize),
    /// It is granted, and the answer is lost.
    Lost(usize, usize),
    Raise(usize),
    Renew(usize),
    LetGo(usize),
    Crash(usize),
    Wait,
}

#[derive(Clone, Default)]
struct Home {
    epoch: u64,
    released: u64,
    /// Until when each holder has granted the epoch.
    granted: BTreeMap<usize, Instant>,
}

#[derive(Clone)]
struct World {
    now: Instant,
    holders: Vec<Holder>,
    homes: Vec<Home>,
    defect: Defect,
}

impl World {
    fn right(&self, home: &Home) -> bool {
        let need = if self.defect == Defect::One { 1 } else { most(self.holders.len()) };
        let runs = |until: &&Instant| self.defect == Defect::Unchecked || **until > self.now;
        home.granted.values().filter(runs).count() >= need
    }

    fn act(&mut self, action: &Do) {
        let over = if self.defect == Defect::Clock { OVER / 2 } else { OVER };
        match *action {
            Do::Claim(i, h) | Do::Lost(i, h) => {
                let home = &mut self.homes[i];
                let claim = Claim {
                    channel: b"c".to_vec(),
                    epoch: home.epoch,
                    released: home.released,
                    cursor: None,
                    first: None,
                };
                match self.holders[h].claim(self.now, &(format!("g{i}").into(), 1), claim) {
                    Granted::Yes { .. } if matches!(action, Do::Lost(..)) => {}
                    Granted::Yes { .. } => {
                        home.granted.insert(h, self.now + HELD);
                    }
                    Granted::Busy { epoch, .. } | Granted::Low(epoch) => home.epoch = home.epoch.max(epoch),
                    Granted::Unsure(_) | Granted::Full => {}
                }
            }
            Do::Raise(i) => {
                self.homes[i].epoch += 1;
                self.homes[i].granted.clear();
            }
            Do::Renew(i) => {
                let now = self.now;
                let runs: Vec<usize> = self.homes[i]
                    .granted
                    .iter()
                    .filter(|(_, until)| **until > now)
                    .map(|(h, _)| *h)
                    .collect();
                for h in runs {
                    self.holders[h].renew(now, &(format!("g{i}").into(), 1));
                    self.homes[i].granted.insert(h, now + HELD);
                }
            }
            Do::LetGo(i) => {
                let epoch = self.homes[i].epoch;
                self.homes[i].granted.clear();
                // It never uses the epoch again.
                self.homes[i].epoch += 1;
                self.homes[1 - i].released = epoch;
            }
            Do::Crash(h) => {
                let wait = if self.defect == Defect::Forgets { Duration::ZERO } else { over };
                self.holders[h] = Holder::new(self.now, wait);
            }
            Do::Wait => self.now += OVER / 2,
        }
    }
}

fn search(world: &World, depth: usize, seen: &mut u64) -> bool {
    *seen += 1;
    if world.homes.iter().all(|home| world.right(home)) {
        return true;
    }
    if depth == 0 {
        return false;
    }
    let mut all = vec![Do::Wait, Do::Crash(0)];
    for i in 0..2 {
        all.extend([Do::Raise(i), Do::Renew(i)]);
        all.extend((0..3).map(|h| Do::Claim(i, h)));
    }
    all.push(Do::LetGo(0));
    all.extend((0..3).map(|h| Do::Lost(1, h)));
    all.iter().any(|action| {
        let mut next = world.clone();
        next.act(action);
        search(&next, depth - 1, seen)
    })
}

/// Two homes have a right at a time, from a world in which the first has the channel; and how many worlds were looked at.
fn found(defect: Defect) -> (bool, u64) {
    let now = Instant::now();
    let over = if defect == Defect::Clock { OVER / 2 } else { OVER };
    let holders = (0..3).map(|_| Holder::new(now, over)).collect();
    let mut world = World { now: now + 2 * OVER, holders, homes: vec![Home::default(); 2], defect };
    for action in [Do::Raise(0), Do::Claim(0, 0), Do::Claim(0, 1), Do::Raise(1), Do::Raise(1)] {
        world.act(&action);
    }
    assert!(world.right(&world.homes[0]));
    let mut seen = 0;
    (search(&world, DEPTH, &mut seen), seen)
}

#[test]
fn two_homes_never_both_have_a_right_and_planted_defects_are_found() {
    let (broken, seen) = found(Defect::None);
    println!("{seen} worlds");
    assert!(!broken && seen > 500_000, "{seen} worlds");
    for defect in [Defect::One, Defect::Clock, Defect::Forgets, Defect::Unchecked] {
        assert!(found(defect).0, "{defect:?}");
    }
}
