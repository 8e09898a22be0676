//! The switch in every order of its steps, up to a depth: the shipping decisions of steward and holder, with a stop, a loss or
//! another steward at every step. Nobody may act alone by a version while another acts by an earlier one, and nobody at all
//! without the text of one that is decided. Each planted defect is found.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use yewroute_table::Digest;

use super::grants::{Grants, Life};
use super::lead::{Lead, Lease};
use super::{renewed, Entry, Ruling, Version};
use crate::bridge::Acting;

const COUNT: usize = 3;
/// Those that may be steward.
const STEWARDS: usize = 2;
const TICK: Duration = Duration::from_secs(1);
/// A stewardship, and a lease as its holder and as everybody else counts it.
const HOLD: Duration = Duration::from_secs(2);
const HELD: Duration = Duration::from_secs(2);
const OVER: Duration = Duration::from_secs(3);
/// Messages under way; the oldest is lost when there are more. Processes that stop or start anew.
const MAIL: usize = 3;
const FAULTS: u8 = 2;
const V1: Version = Version { number: 1, digest: Digest([1; 32]) };
const V2: Version = Version { number: 2, digest: Digest([2; 32]) };

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// A new steward does not wait for leases that it does not know.
    NoWait,
    /// It switches while a silent gateway's lease runs.
    Silent,
    /// It does not write the version in force anew.
    NoFence,
    /// It gives leases to all while a decision is under way.
    Generous,
    /// It calls a version settled at once.
    Settled,
    /// It does not look at its hold before it answers.
    NoCheck,
    /// A lease is counted by a clock that is set.
    WallClock,
    /// A lease is counted from its answer.
    FromAnswer,
    /// A process that was stopped acts by the lease that it saw before.
    Asleep,
}

#[derive(Clone, Copy, Debug)]
enum Do {
    Tick,
    Renew,
    Elect(usize),
    Look(usize),
    Ask(usize, usize),
    Prepare(usize, usize),
    Decide(usize),
    GiveUp(usize),
    Deliver(usize),
    Stop(usize),
    Go(usize),
    Restart(usize),
    SetBack(usize),
}

#[derive(Clone, Debug, Hash)]
enum Mail {
    Given { to: usize, life: u64, version: Version, settled: u64, asked: Instant },
    Learn { to: usize, life: u64, version: Version },
    Decide { by: Life, ticket: u64, version: Version, over: (u64, u64) },
}

#[derive(Clone, Debug)]
struct Gateway {
    life: u64,
    acting: Acting,
    /// It holds the first text, and the second.
    texts: [bool; 2],
    stopped: bool,
    /// Its wall clock has been set back.
    back: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Instant,
    log: ((u64, u64), Entry),
    steward: (usize, Instant),
    leads: [Option<(Lead, Grants, Instant)>; STEWARDS],
    all: Vec<Gateway>,
    mail: Vec<Mail>,
    faults: u8,
}

fn holds(texts: [bool; 2]) -> Vec<Digest> {
    [V1, V2].into_iter().zip(texts).filter(|(_, has)| *has).map(|(version, _)| version.digest).collect()
}

impl World {
    /// All act alone by the first version under the first steward, which has the second on its road.
    fn new(now: Instant) -> Self {
        let place = (1, 1);
        let lead = Lead { place, in_force: V1, fenced: true, new_group: false, asked: None };
        let mut grants = Grants::new(now.checked_sub(2 * OVER).unwrap(), OVER);
        let gateway = |n: usize| Gateway {
            life: 1,
            acting: Acting {
                version: 1,
                digest: V1.digest,
                table: Arc::default(),
                until: Some(now + HELD),
                settled: true,
            },
            texts: [true, n == 0],
            stopped: false,
            back: false,
        };
        let all: Vec<Gateway> = (0..COUNT).map(gateway).collect();
        let mut world = Self {
            now,
            log: (place, Entry { version: V1, by: ("g0".into(), 1) }),
            steward: (0, now + HOLD),
            leads: [None, None],
            all,
            mail: Vec::new(),
            faults: 0,
        };
        for n in 0..COUNT {
            grants.heard(now, &world.life(n), 1, 1, holds(world.all[n].texts));
            assert!(grants.give(now, &world.life(n), V1));
        }
        world.leads[0] = Some((lead, grants, now + HOLD));
        world
    }

    fn life(&self, n: usize) -> Life {
        (format!("g{n}").into(), self.all[n].life)
    }

    fn acts(&self, n: usize, defect: Defect) -> bool {
        let one = &self.all[n];
        let back = if one.back { 2 * TICK } else { Duration::ZERO };
        let asleep = defect == Defect::Asleep && one.stopped && one.acting.until.is_some();
        asleep || one.acting.acts(self.now.checked_sub(back).unwrap())
    }

    fn broken(&self, defect: Defect) -> bool {
        let acts: Vec<&Gateway> =
            (0..COUNT).filter(|n| self.acts(*n, defect)).map(|n| &self.all[n]).collect();
        let alone = |one: &&Gateway| {
            one.acting.settled && acts.iter().any(|other| other.acting.version < one.acting.version)
        };
        let lacks = |one: &&Gateway| self.log.1.version == V2 && !one.texts[1];
        acts.iter().any(|one| alone(one) || lacks(one))
    }

    fn may(&self, defect: Defect) -> Vec<Do> {
        let awake = |n: &usize| !self.all[*n].stopped;
        let leads = |s: &usize| {
            let holds =
                |(.., until): &(Lead, Grants, Instant)| self.now < *until || defect == Defect::NoCheck;
            awake(s) && self.leads[*s].as_ref().is_some_and(holds)
        };
        let mut all = vec![Do::Tick];
        let (steward, until) = self.steward;
        if self.now >= until {
            all.extend((0..STEWARDS).filter(awake).map(Do::Elect));
        } else if self.leads[steward].is_some() && awake(&steward) {
            all.push(Do::Renew);
        }
        for s in (0..STEWARDS).filter(leads) {
            let Some((lead, grants, _)) = &self.leads[s] else { continue };
            all.extend((0..COUNT).filter(awake).map(|n| Do::Ask(n, s)));
            all.extend((0..COUNT).filter(|n| awake(n) && !self.all[*n].texts[1]).map(|n| Do::Prepare(s, n)));
            let road = self.road(s);
            let hasty = defect == Defect::Silent && lead.fenced && lead.asked.is_none() && road.is_some();
            if hasty || lead.wants(self.now, grants, road).is_some() {
                all.push(Do::Decide(s));
            }
            all.extend(lead.asked.map(|_| Do::GiveUp(s)));
            all.extend((self.log.0 > lead.place).then_some(Do::Look(s)));
        }
        all.extend((0..self.mail.len()).map(Do::Deliver));
        for n in 0..COUNT {
            if !awake(&n) {
                all.push(Do::Go(n));
            } else if self.faults < FAULTS {
                all.extend([Do::Stop(n), Do::Restart(n)]);
            }
            if defect == Defect::WallClock && !self.all[n].back {
                all.push(Do::SetBack(n));
            }
        }
        all
    }

    /// The second version, while it follows the one in force and the steward has its text.
    fn road(&self, s: usize) -> Option<Version> {
        let (lead, ..) = self.leads[s].as_ref()?;
        (lead.in_force == V1 && self.all[s].texts[1]).then_some(V2)
    }

    fn post(&mut self, mail: Mail) {
        self.mail.push(mail);
        if self.mail.len() > MAIL {
            self.mail.remove(0);
        }
    }

    fn act(&mut self, action: Do, defect: Defect) {
        let now = self.now;
        match action {
            Do::Tick => self.now += TICK,
            Do::Renew => {
                let (s, until) = (self.steward.0, now + HOLD);
                self.steward.1 = until;
                self.leads[s].iter_mut().for_each(|lead| lead.2 = until);
            }
            Do::Elect(s) => {
                let until = now + HOLD;
                self.steward = (s, until);
                let began = if defect == Defect::NoWait { now.checked_sub(OVER).unwrap() } else { now };
                let mut lead = Lead::default();
                if defect == Defect::NoFence {
                    (lead.place, lead.in_force, lead.fenced) = (self.log.0, self.log.1.version, true);
                }
                self.leads[s] = Some((lead, Grants::new(began, OVER), until));
            }
            Do::Look(s) => {
                let (place, entry, me) = (self.log.0, self.log.1.clone(), self.life(s));
                if let Some((lead, ..)) = &mut self.leads[s] {
                    lead.looks(place, &entry, &me);
                    lead.fenced |= defect == Defect::NoFence;
                }
            }
            Do::Ask(n, s) => self.ask(n, s, defect),
            Do::Prepare(s, n) => {
                self.all[n].texts[1] = true;
                let life = self.life(n);
                self.leads[s].iter_mut().for_each(|(_, grants, _)| grants.prepared(&life, V2.digest));
            }
            Do::Decide(s) => {
                let (by, road) = (self.life(s), self.road(s));
                let Some((lead, grants, _)) = &mut self.leads[s] else { return };
                let wanted = lead.wants(now, grants, road).or(road);
                let Some(version) = wanted else { return };
                let ticket = 1 + lead.place.1;
                lead.asked = Some((ticket, version));
                let over = lead.place;
                self.post(Mail::Decide { by, ticket, version, over });
            }
            Do::GiveUp(s) => {
                if let Some((lead, ..)) = &mut self.leads[s] {
                    let ticket = lead.asked.map_or(0, |(ticket, _)| ticket);
                    lead.ruled(ticket, Ruling::Unknown);
                }
            }
            Do::Deliver(at) if at < self.mail.len() => {
                let mail = self.mail.remove(at);
                self.take(mail, defect);
            }
            Do::Deliver(_) => {}
            Do::Stop(n) => (self.all[n].stopped, self.faults) = (true, self.faults + 1),
            Do::Go(n) => self.all[n].stopped = false,
            Do::Restart(n) => {
                let one = &mut self.all[n];
                (one.life, one.acting, one.texts) = (one.life + 1, Acting::default(), [true, false]);
                self.faults += 1;
                self.leads.iter_mut().skip(n).take(1).for_each(|lead| *lead = None);
            }
            Do::SetBack(n) => self.all[n].back = true,
        }
    }

    fn ask(&mut self, n: usize, s: usize, defect: Defect) {
        let (now, life, texts) = (self.now, self.life(n), self.all[n].texts);
        let Acting { version: acts, settled, .. } = self.all[n].acting;
        let Some((lead, grants, _)) = &mut self.leads[s] else { return };
        grants.heard(now, &life, acts, if settled { acts } else { 0 }, holds(texts));
        let version = lead.in_force;
        let generous = defect == Defect::Generous && lead.fenced && grants.give(now, &life, version);
        let answer = if generous { Lease::Given } else { lead.lease(now, grants, &life) };
        let mut settled = grants.settled(now, version.number);
        if defect == Defect::Settled {
            settled = version.number;
        }
        let (to, life) = (n, life.1);
        match answer {
            Lease::NotNow => {}
            Lease::Learn(version) => self.post(Mail::Learn { to, life, version }),
            Lease::Given => self.post(Mail::Given { to, life, version, settled, asked: now }),
        }
    }

    fn take(&mut self, mail: Mail, defect: Defect) {
        let now = self.now;
        match mail {
            Mail::Given { to, life, version, settled, asked } => {
                let one = &mut self.all[to];
                let has = one.texts[version.number as usize - 1];
                if one.life != life || one.stopped || !has {
                    return;
                }
                let from = if defect == Defect::FromAnswer { now } else { asked };
                let next = renewed(&one.acting, (version, Arc::default()), settled, from, HELD);
                one.acting = next.unwrap_or_else(|| one.acting.clone());
            }
            Mail::Learn { to, life, version } => {
                let one = &mut self.all[to];
                if one.life == life && !one.stopped {
                    one.texts[version.number as usize - 1] = true;
                }
            }
            Mail::Decide { by, ticket, version, over } => {
                let holds = over == self.log.0;
                if holds {
                    self.log = ((1, over.1 + 1), Entry { version, by: by.clone() });
                }
                let ruling = if holds { Ruling::Holds(self.log.0) } else { Ruling::Not };
                let s = (0..STEWARDS).find(|s| self.life(*s) == by && !self.all[*s].stopped);
                if let Some((lead, ..)) = s.and_then(|s| self.leads[s].as_mut()) {
                    lead.ruled(ticket, ruling);
                }
            }
        }
    }
}

/// Where the search begins, as steps from the world in which all act alone by the first version.
fn beginnings() -> [Vec<Do>; 7] {
    use Do::{Ask, Decide, Deliver, Elect, Look, Prepare, Renew, Restart, Tick};
    let pass = |ticks: usize| [Renew, Tick].into_iter().cycle().take(2 * ticks);
    let deciding = vec![Prepare(0, 1), Prepare(0, 2), Decide(0)];
    let mut another = deciding.clone();
    another.extend([Tick, Tick, Elect(1), Restart(2)]);
    let anew = [&deciding[..], &[Restart(2)]].concat();
    let decided = [&deciding[..], &[Deliver(0)]].concat();
    // An answer to the third is under way while its lease runs out.
    let mut silent = vec![Prepare(0, 1), Ask(2, 0)];
    silent.extend(pass(3));
    let mut second = vec![Tick, Ask(2, 0), Deliver(0), Tick, Elect(1), Look(1), Decide(1), Deliver(0)];
    second.push(Prepare(1, 1));
    let mut waited = second.clone();
    waited.extend(pass(3));
    waited.extend([Decide(1), Deliver(0)]);
    [Vec::new(), another, anew, decided, silent, second, waited]
}

/// How many steps from one of the beginnings lead to a broken rule, if so few do; and how many worlds were looked at.
fn search(defect: Defect, depth: usize, most: usize) -> (Option<usize>, usize) {
    let start = Instant::now() + Duration::from_secs(1_000);
    let key = |world: &World| {
        let mut hasher = DefaultHasher::new();
        (world.now, &world.log, world.steward, &world.leads, &world.mail, world.faults).hash(&mut hasher);
        for one in &world.all {
            let acts = (one.acting.version, one.acting.until, one.acting.settled);
            (one.life, acts, one.texts, one.stopped, one.back).hash(&mut hasher);
        }
        hasher.finish()
    };
    let begun = |steps: &Vec<Do>| {
        let mut world = World::new(start);
        steps.iter().for_each(|action| world.act(*action, defect));
        world
    };
    let mut level: Vec<World> = beginnings().iter().map(begun).collect();
    let mut seen: HashSet<u64> = level.iter().map(key).collect();
    for step in 0..=depth {
        if level.iter().any(|world| world.broken(defect)) {
            return (Some(step), seen.len());
        }
        let mut next = Vec::new();
        for world in level.iter().filter(|_| step < depth) {
            for action in world.may(defect) {
                let mut after = world.clone();
                after.act(action, defect);
                if seen.len() < most && seen.insert(key(&after)) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
    (None, seen.len())
}

#[test]
fn no_order_of_steps_breaks_the_switch_and_planted_defects_are_found() {
    let number = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (depth, most) = (number("DEPTH", 3), number("WORLDS", 4_000_000));
    let (broken, seen) = search(Defect::None, depth, most);
    println!("{seen} worlds, {depth} steps deep");
    assert_eq!(broken, None);
    let all = [
        Defect::NoWait,
        Defect::Silent,
        Defect::NoFence,
        Defect::Generous,
        Defect::Settled,
        Defect::NoCheck,
        Defect::WallClock,
        Defect::FromAnswer,
        Defect::Asleep,
    ];
    for defect in all {
        let (broken, seen) = search(defect, 4, most);
        println!("{defect:?}: {broken:?} steps, {seen} worlds");
        assert!(broken.is_some(), "{defect:?}: not found in {seen} worlds");
    }
}
