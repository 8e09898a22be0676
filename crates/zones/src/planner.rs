//! From what gateways saw of one group's zones to shares in force: what is lost, what is tried again, what moves at this step.
//!
//! A zone that is lost is left at once and tried after a while by a small part of its own traffic; found well it gains by steps,
//! found bad it is left for twice as long. So a zone that comes and goes costs one move, then one for each longer wait.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{Evidence, Finding, Judgement, Seen};
use crate::{plan_by, Binding, Damper, Damping, Origin, Terms, Zone};

/// The part of its own traffic by which a zone is tried.
const TRIAL: f64 = 0.05;
/// Steps until a lost zone is tried: at first, and at the most.
const DWELL: u32 = 8;
const DWELL_MOST: u32 = 64;
/// A zone that was well for so many steps is as one that was never lost.
const FORGIVEN: u32 = 120;
/// A capacity that is not known is taken for so many times all demand.
const UNKNOWN: f64 = 4.0;

/// A zone with what the list has in it for the group.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Its number.
    pub zone: u64,
    /// Its region's.
    pub region: u64,
    /// Db hosts of the group that take requests.
    pub hosts: u32,
    /// How many of them are cold, each by how much: 1 that has just started.
    pub cold: f64,
    /// An operator drains it.
    pub drained: bool,
}

/// What is known of one group now.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// All zones, by number.
    pub places: Vec<Place>,
    /// For each zone, what the gateways of each origin zone saw of it.
    pub seen: BTreeMap<u64, Vec<(u64, Vec<Seen>)>>,
    /// The length of that window, in seconds.
    pub window: f64,
    /// Reads a second by origin zone, and what they are worth in the mean.
    pub demand: BTreeMap<u64, (f64, f64)>,
    /// Attempts a second in each zone that no plan moves, as writes.
    pub fixed: BTreeMap<u64, f64>,
}

/// How plans are made.
#[derive(Clone, Debug, PartialEq)]
pub struct Manner {
    /// The part of each capacity that is kept free.
    pub headroom: f64,
    /// The most that a share moves at a step.
    pub step: f64,
    /// What a cold zone may carry, as a part of what it has when warm.
    pub cold_share: f64,
    /// Regions that are crossed into first, by number.
    pub prefer: Vec<u64>,
}

impl Default for Manner {
    fn default() -> Self {
        Self { headroom: 0.1, step: 0.1, cold_share: 0.1, prefer: Vec::new() }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Well { steps: u32 },
    Lost { left: u32 },
    Tried,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    state: State,
    /// Steps that it waits when it is lost next.
    dwell: u32,
}

impl Default for Held {
    fn default() -> Self {
        Self { state: State::Well { steps: FORGIVEN }, dwell: DWELL }
    }
}

/// A zone that is lost, for whoever goes on with the plan.
pub type LostZone = (u64, u32);

/// What came of a look at the facts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Shares have moved.
    pub moved: bool,
    /// Why, in words; zones are called by `name`.
    pub causes: Vec<String>,
    /// What binds the plan, in words.
    pub binding: String,
    /// The part of all demand that nobody can carry.
    pub shed: f64,
}

/// One group's plan.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    evidence: Evidence,
    held: BTreeMap<u64, Held>,
    shares: BTreeMap<u64, BTreeMap<u64, f64>>,
    apart: BTreeMap<u64, BTreeSet<u64>>,
}

impl Planner {
    /// Goes on with shares that are in force and zones that are lost.
    #[must_use]
    pub fn resume(shares: BTreeMap<u64, BTreeMap<u64, f64>>, lost: &[LostZone]) -> Self {
        let held =
            |(zone, dwell): &LostZone| (*zone, Held { state: State::Lost { left: *dwell }, dwell: *dwell });
        Self { held: lost.iter().map(held).collect(), shares, ..Self::default() }
    }

    /// Shares in force: by origin zone, over zones.
    #[must_use]
    pub fn shares(&self) -> &BTreeMap<u64, BTreeMap<u64, f64>> {
        &self.shares
    }

    /// Zones that are left, and the steps that each waits.
    #[must_use]
    pub fn lost(&self) -> Vec<LostZone> {
        let lost = self.held.iter().filter(|(_, held)| !matches!(held.state, State::Well { .. }));
        lost.map(|(zone, held)| (*zone, held.dwell)).collect()
    }

    /// What would be shed if these zones were drained too.
    #[must_use]
    pub fn shed_without(&self, facts: &Facts, manner: &Manner) -> f64 {
        let lost =
            |zone: u64| matches!(self.held.get(&zone).map(|held| held.state), Some(State::Lost { .. }));
        let places: Vec<Place> = facts.places.clone();
        if places.iter().all(|place| place.hosts == 0 || place.drained || lost(place.zone)) {
            return 1.0;
        }
        let (zones, origins, terms) = self.problem(facts, manner);
        let solved = plan_by(&zones, &origins, &terms);
        part_shed(&solved.shed, &origins)
    }

    /// Looks at the facts; `step` where a step is due, otherwise only what a lost zone had moves.
    pub fn look(
        &mut self,
        facts: &Facts,
        manner: &Manner,
        step: bool,
        name: &dyn Fn(u64) -> String,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let listed: BTreeSet<u64> = facts.places.iter().map(|place| place.zone).collect();
        self.held.retain(|zone, _| listed.contains(zone));
        self.apart.retain(|zone, _| listed.contains(zone));
        for place in &facts.places {
            let seen = facts.seen.get(&place.zone).map_or(&[][..], Vec::as_slice);
            let asked = self.asked(facts, place.zone);
            let found = self.evidence.judge(place.zone, seen, facts.window, asked);
            self.turn(place.zone, &found, step, name, &mut outcome.causes);
        }
        let (zones, origins, terms) = self.problem(facts, manner);
        let solved = plan_by(&zones, &origins, &terms);
        outcome.shed = part_shed(&solved.shed, &origins);
        let mut target = solved.shares;
        let lost: Vec<bool> = (0..zones.len()).map(|n| self.is_left(&facts.places, n)).collect();
        self.try_out(&facts.places, &mut target);
        let before = self.shares.clone();
        let now: Vec<Vec<f64>> = (facts.places.iter().zip(&target))
            .map(|(place, target)| match self.shares.get(&place.zone) {
                Some(held) => rest_on(facts, held, target),
                None => target.clone(),
            })
            .collect();
        let damping = Damping { step: if step { manner.step } else { 0.0 }, dwell: 0, ..Damping::default() };
        let mut damper = Damper::new(damping, now);
        damper.step(&target, &lost);
        // What is out of reach of an origin alone is left by it alone, at once too.
        let mut rows = damper.shares().to_vec();
        for (n, (row, target)) in rows.iter_mut().zip(&target).enumerate() {
            let barred: Vec<bool> =
                (0..zones.len()).map(|to| lost[to] || terms.barred.contains(&(n, to))).collect();
            if barred.iter().zip(row.iter()).any(|(barred, share)| *barred && *share > 0.0) {
                let mut own =
                    Damper::new(Damping { step: 0.0, dwell: 0, ..Damping::default() }, vec![row.clone()]);
                own.step(std::slice::from_ref(target), &barred);
                row.clone_from(&own.shares()[0]);
            }
        }
        self.shares = (facts.places.iter().zip(rows))
            .map(|(place, row)| {
                let named = facts.places.iter().zip(row).filter(|(_, share)| *share > 1e-6);
                (place.zone, named.map(|(to, share)| (to.zone, share)).collect())
            })
            .collect();
        outcome.moved = differ(&before, &self.shares);
        outcome.binding = self.words(facts, solved.binding, outcome.shed, name);
        outcome
    }

    /// What is asked of a zone a second by the shares in force.
    fn asked(&self, facts: &Facts, zone: u64) -> f64 {
        let share = |origin: u64| match self.shares.get(&origin) {
            Some(row) => row.get(&zone).copied().unwrap_or(0.0),
            None => f64::from(u8::from(origin == zone)),
        };
        let reads: f64 = facts.demand.iter().map(|(origin, (reads, _))| reads * share(*origin)).sum();
        reads + facts.fixed.get(&zone).copied().unwrap_or(0.0)
    }

    /// Whether zone `n` is to be left at once. Guards against: leaving all there is.
    fn is_left(&self, places: &[Place], n: usize) -> bool {
        let lost = |place: &Place| {
            place.hosts == 0
                || matches!(self.held.get(&place.zone).map(|held| held.state), Some(State::Lost { .. }))
        };
        let all = places.iter().all(lost);
        if all {
            places[n].hosts == 0
        } else {
            lost(&places[n])
        }
    }

    fn problem(&self, facts: &Facts, manner: &Manner) -> (Vec<Zone>, Vec<Origin>, Terms) {
        let places = &facts.places;
        let regions: BTreeSet<u64> = places.iter().map(|place| place.region).collect();
        let region = |number: u64| regions.iter().position(|other| *other == number);
        let of = |zone: u64| facts.demand.get(&zone).copied().unwrap_or((0.0, 1.0));
        let all: f64 = places.iter().map(|place| of(place.zone).0).sum();
        let mean = all / places.len().max(1) as f64;
        let open = |n: usize| !self.is_left(places, n) && !places[n].drained;
        // Guards against: an operator's drain of all that is left.
        let any = (0..places.len()).any(open);
        let zones = (0..places.len()).map(|n| {
            let place = &places[n];
            let fixed = facts.fixed.get(&place.zone).copied().unwrap_or(0.0);
            // Guards against: nothing at all for a zone that may have got better since.
            let learnt = self.evidence.capacity(place.zone).map(|held| (held - fixed).max(1.0));
            let mut capacity = learnt.unwrap_or(UNKNOWN * (all + 1.0));
            let cold = (place.cold / f64::from(place.hosts.max(1))).clamp(0.0, 1.0);
            if cold > 0.0 {
                let warm = 1.0 - cold * (1.0 - manner.cold_share);
                capacity = capacity.min(warm * (of(place.zone).0.max(mean) + 1.0) / (1.0 - manner.headroom));
            }
            let shut = if any { !open(n) } else { self.is_left(places, n) };
            let tried = self.held.get(&place.zone).is_some_and(|held| held.state == State::Tried);
            Zone {
                region: region(place.region).unwrap_or(0),
                capacity: if shut || tried && self.others(places, n) { 0.0 } else { capacity },
            }
        });
        let origins = places.iter().enumerate().map(|(zone, place)| {
            let (demand, worth) = of(place.zone);
            Origin { zone, demand, worth: worth.max(1e-3) }
        });
        let at = |zone: u64| places.iter().position(|place| place.zone == zone);
        let barred = self.apart.iter().flat_map(|(zone, from)| from.iter().map(|origin| (*origin, *zone)));
        let terms = Terms {
            headroom: manner.headroom,
            prefer: manner.prefer.iter().filter_map(|number| region(*number)).collect(),
            barred: barred.filter_map(|(origin, zone)| Some((at(origin)?, at(zone)?))).collect(),
        };
        (zones.collect(), origins.collect(), terms)
    }

    /// Others than zone `n` can be asked.
    fn others(&self, places: &[Place], n: usize) -> bool {
        let fit = |m: usize| {
            let state = self.held.get(&places[m].zone).map(|held| held.state);
            m != n && places[m].hosts > 0 && matches!(state, None | Some(State::Well { .. }))
        };
        (0..places.len()).any(fit)
    }

    /// Zones that are tried get a small part of their own traffic, or of their region's where nothing begins in them.
    fn try_out(&self, places: &[Place], target: &mut [Vec<f64>]) {
        for (n, place) in places.iter().enumerate() {
            let tried = self.held.get(&place.zone).is_some_and(|held| held.state == State::Tried);
            if !tried || place.hosts == 0 || place.drained || !self.others(places, n) {
                continue;
            }
            for (m, row) in target.iter_mut().enumerate() {
                if m == n || places[m].region == place.region && !places.iter().any(|p| p.zone == place.zone)
                {
                    row.iter_mut().for_each(|share| *share *= 1.0 - TRIAL);
                    row[n] += TRIAL;
                }
            }
        }
    }

    fn turn(
        &mut self,
        zone: u64,
        found: &Finding,
        step: bool,
        name: &dyn Fn(u64) -> String,
        causes: &mut Vec<String>,
    ) {
        let held = self.held.entry(zone).or_default();
        let names = |zones: &[u64]| zones.iter().map(|zone| name(*zone)).collect::<Vec<_>>().join(", ");
        let before = held.state;
        held.state = match (before, found.judgement) {
            (State::Lost { left: 0 }, _) => State::Tried,
            (State::Lost { left }, _) => State::Lost { left: left - u32::from(step) },
            (_, Judgement::Lost) => {
                let left = held.dwell;
                held.dwell = (2 * held.dwell).min(DWELL_MOST);
                State::Lost { left }
            }
            (State::Tried, Judgement::Well | Judgement::Apart) => State::Well { steps: 0 },
            (State::Tried, Judgement::Unknown) => State::Tried,
            (State::Well { steps }, _) => State::Well { steps: (steps + u32::from(step)).min(FORGIVEN) },
        };
        if held.state == (State::Well { steps: FORGIVEN }) {
            held.dwell = DWELL;
        }
        match (before, held.state) {
            (State::Well { .. } | State::Tried, State::Lost { left }) => {
                let [answered, failed, late, full] = found.counts;
                causes.push(format!(
                    "{} is lost, as seen from {}: {answered} answered, {failed} failed, {late} late, {full} turned away; \
                     tried in {left} steps",
                    name(zone),
                    names(&found.bad)
                ));
            }
            (State::Lost { .. }, State::Tried) => causes.push(format!("{} is tried", name(zone))),
            (State::Tried, State::Well { .. }) => causes.push(format!("{} serves again", name(zone))),
            _ => {}
        }
        let apart: BTreeSet<u64> = match found.judgement {
            Judgement::Apart => found.bad.iter().copied().collect(),
            Judgement::Unknown => return,
            Judgement::Well | Judgement::Lost => BTreeSet::new(),
        };
        // A pair stays apart until the zone is judged without it: its origin asks there no more, and others may not know.
        let known = self.apart.entry(zone).or_default();
        if found.judgement == Judgement::Apart && !apart.is_subset(known) {
            let origins: Vec<u64> = apart.iter().copied().collect();
            causes.push(format!("{} is out of reach of {} alone", name(zone), names(&origins)));
        }
        *known = apart;
    }

    fn words(&self, facts: &Facts, binding: Binding, shed: f64, name: &dyn Fn(u64) -> String) -> String {
        let places = &facts.places;
        let mut parts: Vec<String> = match binding {
            Binding::Nothing => vec!["each zone carries its own".to_owned()],
            Binding::Zone => vec!["some zones cannot carry their own; their regions can".to_owned()],
            Binding::Region => vec!["some regions cannot carry their own; others can".to_owned()],
            Binding::All => vec![format!("all together cannot carry {:.1}% of the reads", shed * 100.0)],
        };
        for place in places {
            let zone = name(place.zone);
            match self.held.get(&place.zone).map(|held| held.state) {
                Some(State::Lost { left }) => parts.push(format!("{zone} is lost, tried in {left} steps")),
                Some(State::Tried) => parts.push(format!("{zone} is tried")),
                _ => {}
            }
            if place.drained {
                parts.push(format!("{zone} is drained"));
            }
            if place.cold > 0.0 {
                parts.push(format!("{zone} is cold"));
            }
            if let Some(held) = self.evidence.capacity(place.zone) {
                parts.push(format!("{zone} carries {held:.0} a second"));
            }
        }
        for (zone, from) in self.apart.iter().filter(|(_, from)| !from.is_empty()) {
            let from: Vec<String> = from.iter().map(|origin| name(*origin)).collect();
            parts.push(format!("{} is out of reach of {}", name(*zone), from.join(", ")));
        }
        parts.join("; ")
    }
}

fn part_shed(shed: &[f64], origins: &[Origin]) -> f64 {
    let all: f64 = origins.iter().map(|origin| origin.demand).sum();
    let lost: f64 = shed.iter().zip(origins).map(|(shed, origin)| shed * origin.demand).sum();
    if all > 0.0 {
        lost / all
    } else {
        0.0
    }
}

/// Shares in force over the zones that there are now; what those that are gone had goes where the target has it.
fn rest_on(facts: &Facts, held: &BTreeMap<u64, f64>, target: &[f64]) -> Vec<f64> {
    let mut row: Vec<f64> =
        facts.places.iter().map(|place| held.get(&place.zone).copied().unwrap_or(0.0)).collect();
    let missing = 1.0 - row.iter().sum::<f64>();
    if missing > 1e-9 {
        row.iter_mut().zip(target).for_each(|(share, to)| *share += missing * to);
    }
    row
}

/// A share differs by more than what is worth telling.
fn differ(one: &BTreeMap<u64, BTreeMap<u64, f64>>, other: &BTreeMap<u64, BTreeMap<u64, f64>>) -> bool {
    let far = |one: &BTreeMap<u64, f64>, other: &BTreeMap<u64, f64>| {
        let zones: BTreeSet<&u64> = one.keys().chain(other.keys()).collect();
        let of = |shares: &BTreeMap<u64, f64>, zone| shares.get(zone).copied().unwrap_or(0.0);
        zones.into_iter().any(|zone| (of(one, zone) - of(other, zone)).abs() > 1e-3)
    };
    one.len() != other.len()
        || one.iter().any(|(origin, row)| other.get(origin).is_none_or(|held| far(row, held)))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const A: u64 = 10;
    const B: u64 = 11;
    const C: u64 = 12;

    fn name(zone: u64) -> String {
        ["a", "b", "c"][(zone - A) as usize].to_owned()
    }

    fn well() -> Seen {
        Seen { answered: 30, took: 0.01, ..Seen::default() }
    }

    fn gone() -> Seen {
        Seen { failed: 30, ..Seen::default() }
    }

    /// Zones a and b are one region, c another; each asks 60 a second, and sees its own well.
    fn calm() -> Facts {
        let place = |zone: u64, region: u64| Place { zone, region, hosts: 2, cold: 0.0, drained: false };
        Facts {
            places: vec![place(A, 1), place(B, 1), place(C, 2)],
            seen: [A, B, C].map(|zone| (zone, vec![(zone, vec![well(), well()])])).into(),
            window: 1.0,
            demand: [A, B, C].map(|zone| (zone, (60.0, 1.0))).into(),
            fixed: BTreeMap::new(),
        }
    }

    fn see(facts: &mut Facts, zone: u64, origin: u64, seen: Seen) {
        facts.seen.insert(zone, vec![(origin, vec![seen, seen])]);
    }

    fn look(planner: &mut Planner, facts: &Facts, step: bool) -> Outcome {
        planner.look(facts, &Manner::default(), step, &name)
    }

    fn share(planner: &Planner, from: u64, to: u64) -> f64 {
        planner.shares()[&from].get(&to).copied().unwrap_or(0.0)
    }

    #[test]
    fn a_lost_zone_is_left_at_once_tried_after_a_while_and_comes_back_by_steps() {
        let (mut planner, mut facts) = (Planner::default(), calm());
        assert!(look(&mut planner, &facts, true).moved && share(&planner, A, A) == 1.0);
        see(&mut facts, A, A, gone());
        let lost = look(&mut planner, &facts, false);
        assert!(lost.moved && lost.causes[0].starts_with("a is lost, as seen from a"), "{lost:?}");
        assert!(share(&planner, A, B) > 0.999, "{:?}", planner.shares());
        // Nobody asks there any more.
        facts.seen.remove(&A);
        for _ in 0..DWELL {
            assert!(!look(&mut planner, &facts, true).moved);
        }
        assert!(look(&mut planner, &facts, true).causes.contains(&"a is tried".to_owned()));
        assert!((share(&planner, A, A) - TRIAL).abs() < 1e-9, "{:?}", planner.shares());
        see(&mut facts, A, A, well());
        let mut shares = vec![TRIAL];
        for _ in 0..12 {
            look(&mut planner, &facts, true);
            shares.push(share(&planner, A, A));
        }
        assert!(shares.windows(2).all(|pair| pair[1] - pair[0] <= 0.1 + 1e-9), "{shares:?}");
        assert!(shares[5] < 0.6 && shares[12] > 0.999, "{shares:?}");
    }

    #[test]
    fn one_that_flaps_every_three_seconds_moves_the_fleet_a_few_times_in_a_minute() {
        let (mut planner, mut facts, mut moves) = (Planner::default(), calm(), 0);
        for second in 0..60 {
            let asked = share_of(&planner) > 0.01;
            let ill = second / 3 % 2 == 0;
            match (asked, ill) {
                (true, true) => see(&mut facts, A, A, gone()),
                (true, false) => see(&mut facts, A, A, well()),
                _ => drop(facts.seen.remove(&A)),
            }
            let outcome = look(&mut planner, &facts, true);
            moves += outcome.causes.iter().filter(|cause| cause.starts_with("a is lost")).count();
        }
        assert!((1..=4).contains(&moves), "{moves}");
        fn share_of(planner: &Planner) -> f64 {
            planner.shares().get(&A).map_or(1.0, |row| row.get(&A).copied().unwrap_or(0.0))
        }
    }

    #[test]
    fn all_lost_is_none_lost_and_one_without_hosts_is_never_named() {
        let (mut planner, mut facts) = (Planner::default(), calm());
        look(&mut planner, &facts, true);
        [A, B, C].into_iter().for_each(|zone| see(&mut facts, zone, zone, gone()));
        look(&mut planner, &facts, false);
        assert!(
            [A, B, C].into_iter().all(|zone| share(&planner, zone, zone) > 0.9),
            "{:?}",
            planner.shares()
        );
        let (mut planner, mut facts) = (Planner::default(), calm());
        look(&mut planner, &facts, true);
        facts.places[0].hosts = 0;
        look(&mut planner, &facts, false);
        assert!(share(&planner, A, A) == 0.0 && share(&planner, A, B) > 0.999, "{:?}", planner.shares());
        facts.places[1].hosts = 0;
        look(&mut planner, &facts, false);
        assert!(share(&planner, A, C) > 0.999 && share(&planner, B, C) > 0.999, "{:?}", planner.shares());
    }

    #[test]
    fn what_one_zone_alone_cannot_reach_only_it_leaves() {
        let (mut planner, mut facts) = (Planner::default(), calm());
        look(&mut planner, &facts, true);
        facts.seen.insert(A, vec![(A, vec![gone()]), (B, vec![well()]), (C, vec![well()])]);
        let outcome = look(&mut planner, &facts, false);
        assert_eq!(outcome.causes, ["a is out of reach of a alone"]);
        assert!(share(&planner, A, B) > 0.999 && planner.lost().is_empty(), "{:?}", planner.shares());
        facts.seen.insert(A, vec![(A, vec![well()]), (B, vec![well()])]);
        look(&mut planner, &facts, true);
        assert!(share(&planner, A, A) > 0.05, "{:?}", planner.shares());
    }

    #[test]
    fn a_drain_goes_by_steps_and_says_what_would_be_shed_and_a_cold_zone_gets_its_part() {
        let (mut planner, mut facts) = (Planner::default(), calm());
        look(&mut planner, &facts, true);
        facts.places[0].drained = true;
        assert_eq!(planner.shed_without(&facts, &Manner::default()), 0.0);
        look(&mut planner, &facts, true);
        assert!((share(&planner, A, A) - 0.9).abs() < 1e-6, "{:?}", planner.shares());
        (0..12).for_each(|_| drop(look(&mut planner, &facts, true)));
        assert!(share(&planner, A, B) > 0.999, "{:?}", planner.shares());
        facts.places.iter_mut().for_each(|place| place.drained = true);
        assert_eq!(planner.shed_without(&facts, &Manner::default()), 1.0);
        let (mut planner, mut facts) = (Planner::default(), calm());
        facts.places[0].cold = 2.0;
        look(&mut planner, &facts, true);
        assert!((0.08..0.15).contains(&share(&planner, A, A)), "{:?}", planner.shares());
        facts.places[0].cold = 1.0;
        (0..12).for_each(|_| drop(look(&mut planner, &facts, true)));
        assert!((0.5..0.62).contains(&share(&planner, A, A)), "{:?}", planner.shares());
    }

    #[test]
    fn the_next_to_make_plans_goes_on_where_the_last_one_was() {
        let (mut planner, mut facts) = (Planner::default(), calm());
        look(&mut planner, &facts, true);
        see(&mut facts, A, A, gone());
        look(&mut planner, &facts, false);
        let mut next = Planner::resume(planner.shares().clone(), &planner.lost());
        facts.seen.remove(&A);
        assert!(!look(&mut next, &facts, true).moved && next.shares() == planner.shares());
        assert_eq!(next.lost().first().map(|(zone, _)| *zone), Some(A));
    }

    fn seen() -> impl Strategy<Value = Seen> {
        (0_u64..60, 0_u64..60, 0_u64..5, 1.0..90.0_f64, prop_oneof![Just(0.0), Just(1.0)]).prop_map(
            |(answered, failed, full, ms, away)| Seen {
                answered,
                failed,
                late: failed,
                full,
                took: ms / 1e3,
                away,
            },
        )
    }

    fn facts() -> impl Strategy<Value = Facts> {
        let place = (0_u64..3, 0_u32..3, 0.0..2.0_f64, any::<bool>());
        let zone = (
            place,
            0.0..150.0_f64,
            proptest::collection::vec((0_u64..5, proptest::collection::vec(seen(), 1..3)), 0..4),
        );
        proptest::collection::vec(zone, 1..6).prop_map(|zones| {
            let mut facts = Facts { window: 1.0, ..Facts::default() };
            for (zone, ((region, hosts, cold, drained), demand, seen)) in (0_u64..).zip(zones) {
                let cold = cold.min(f64::from(hosts));
                facts.places.push(Place { zone, region, hosts, cold, drained });
                facts.demand.insert(zone, (demand, 1.0));
                facts.seen.insert(zone, seen);
            }
            facts
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

        #[test]
        fn shares_sum_to_one_name_no_zone_without_hosts_and_follow_from_the_facts_alone(
            rounds in proptest::collection::vec((facts(), any::<bool>()), 1..6),
        ) {
            let number = |zone: u64| zone.to_string();
            let (mut one, mut other) = (Planner::default(), Planner::default());
            for (facts, step) in &rounds {
                let before = one.shares().clone();
                let told = one.look(facts, &Manner::default(), *step, &number);
                prop_assert_eq!(&told, &other.look(facts, &Manner::default(), *step, &number));
                prop_assert_eq!(one.shares(), other.shares());
                let hosts = |zone: u64| facts.places.iter().find(|p| p.zone == zone).map_or(0, |p| p.hosts);
                let any = facts.places.iter().any(|place| place.hosts > 0);
                for (origin, row) in one.shares() {
                    let sum: f64 = row.values().sum();
                    prop_assert!(!any || (sum - 1.0).abs() < 1e-4, "{} from {}: {:?}", sum, origin, row);
                    prop_assert!(!any || row.keys().all(|zone| hosts(*zone) > 0), "{:?}", row);
                }
                // Where no zone was lost, out of reach or gone, no share moved by more than a step.
                let calm = told.causes.is_empty() && one.lost().is_empty() && before.values().all(|row| !row.is_empty())
                    && one.apart.values().all(BTreeSet::is_empty)
                    && before.keys().copied().collect::<Vec<_>>() == facts.places.iter().map(|p| p.zone).collect::<Vec<_>>()
                    && before.values().flat_map(BTreeMap::keys).all(|zone| hosts(*zone) > 0);
                let moved = |origin: &u64, zone: u64| {
                    let of = |rows: &BTreeMap<u64, BTreeMap<u64, f64>>| rows.get(origin).and_then(|row| row.get(&zone)).copied();
                    (of(&before).unwrap_or(0.0) - of(one.shares()).unwrap_or(0.0)).abs()
                };
                let most = before.keys().flat_map(|origin| facts.places.iter().map(|p| moved(origin, p.zone))).fold(0.0, f64::max);
                prop_assert!(!calm || most <= Manner::default().step + 1e-4, "{}", most);
            }
        }
    }
}
