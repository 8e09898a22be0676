//! What the steward does about plans: takes reports, works each group's plan out four times a second, tells what has changed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use yewroute_zones::planner::{Facts, Place, Planner};

use super::window::Window;
use super::{Cell, Demand, Epoch, GroupPlan, Order, Plan, Row, Settled, ZonesError, MOST_ROWS, WHOLE};

/// A new steward hears what others hold before it makes a plan.
const HEARS: Duration = Duration::from_secs(1);
/// How often what is not a loss moves.
const STEP: Duration = Duration::from_secs(1);
/// The part that would be shed at which a drain is refused.
const SHED: f64 = 0.005;

/// One stewardship.
pub struct Steward {
    place: (u64, u64),
    began: Instant,
    step_at: Instant,
    window: Window,
    planners: BTreeMap<u64, Planner>,
    plan: Arc<Plan>,
    drained: BTreeSet<u64>,
    /// An operator's word, to be told with the next plan.
    orders: Vec<String>,
}

impl Steward {
    /// Begins at this place in the log, with the plan that this gateway holds.
    pub fn new(now: Instant, place: (u64, u64), held: Option<Arc<Plan>>) -> Self {
        let mut steward = Self {
            place,
            began: now,
            step_at: now,
            window: Window::default(),
            planners: BTreeMap::new(),
            plan: Arc::default(),
            drained: BTreeSet::new(),
            orders: Vec::new(),
        };
        held.into_iter().for_each(|plan| steward.go_on(plan));
        steward
    }

    /// The place in the log that this stewardship began at.
    pub fn place(&self) -> (u64, u64) {
        self.place
    }

    /// The plan in force, once there is one of this stewardship.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        Some(&self.plan).filter(|plan| plan.epoch.place == self.place)
    }

    /// A gateway holds a later plan than this steward knows, which has made none yet.
    pub fn wants(&self, held: Epoch) -> bool {
        self.plan().is_none() && held > self.plan.epoch
    }

    /// Goes on where an earlier steward was.
    pub fn go_on(&mut self, plan: Arc<Plan>) {
        if plan.epoch <= self.plan.epoch || self.plan().is_some() {
            return;
        }
        self.drained = plan.drained.iter().copied().collect();
        let share = |(zone, part): &(u64, u16)| (*zone, f64::from(*part) / f64::from(WHOLE));
        let resume = |group: &GroupPlan| {
            let rows = group.rows.iter().map(|(origin, row)| (*origin, row.iter().map(share).collect()));
            (group.group, Planner::resume(rows.collect(), &group.lost))
        };
        self.planners = plan.groups.iter().map(resume).collect();
        self.plan = plan;
    }

    /// Takes what a gateway saw.
    pub fn report(&mut self, now: Instant, from: (&str, u64), mut rows: Vec<Row>, mut demand: Vec<Demand>) {
        rows.truncate(MOST_ROWS);
        demand.truncate(MOST_ROWS);
        self.window.take(now, from, rows, demand);
    }

    fn facts(
        &self,
        now: Instant,
        group: u64,
        cells: &[Cell],
        settled: &Settled,
        drained: &BTreeSet<u64>,
    ) -> Facts {
        let of = |zone: u64| cells.iter().find(|cell| (cell.group, cell.zone) == (group, zone));
        let mut zones: BTreeSet<u64> = settled.regions.keys().copied().collect();
        zones.extend(cells.iter().filter(|cell| cell.group == group).map(|cell| cell.zone));
        let place = |zone: u64| Place {
            zone,
            region: settled.regions.get(&zone).copied().unwrap_or(zone),
            hosts: of(zone).map_or(0, |cell| cell.hosts),
            cold: of(zone).map_or(0.0, |cell| cell.cold),
            drained: drained.contains(&zone),
        };
        self.window.facts(now, group, cells, zones.into_iter().map(place).collect())
    }

    /// An operator's word; the epoch of the plan that will say so.
    ///
    /// # Errors
    /// There is no such zone, or the others cannot carry what it has.
    pub fn order(
        &mut self,
        now: Instant,
        order: &Order,
        cells: &[Cell],
        settled: &Settled,
        names: &BTreeMap<u64, Box<str>>,
    ) -> Result<Epoch, ZonesError> {
        self.plan().ok_or(ZonesError::NotYet)?;
        let zone = names.iter().find(|(_, name)| **name == order.zone).map(|(zone, _)| *zone);
        let zone = zone.ok_or_else(|| ZonesError::NoZone(order.zone.clone()))?;
        let next = Epoch { place: self.place, number: self.plan.epoch.number + 1 };
        if order.drains {
            let mut drained = self.drained.clone();
            drained.insert(zone);
            let groups: BTreeSet<u64> =
                cells.iter().filter(|cell| cell.zone == zone).map(|cell| cell.group).collect();
            for group in groups.into_iter().filter(|_| !order.forced) {
                let facts = self.facts(now, group, cells, settled, &drained);
                let shed = self
                    .planners
                    .get(&group)
                    .map_or(0.0, |planner| planner.shed_without(&facts, &settled.manner));
                if shed > SHED {
                    let why = format!("group {group} would shed {:.1}% of its reads", 100.0 * shed);
                    return Err(ZonesError::TooMuch { zone: order.zone.clone(), why });
                }
            }
            self.drained.insert(zone);
        } else {
            self.drained.remove(&zone);
        }
        let forced = if order.forced { ", forced" } else { "" };
        let way = if order.drains { "drains" } else { "has back" };
        self.orders.push(format!("an operator {way} {}{forced}", order.zone));
        Ok(next)
    }

    /// Works out what follows from what was told; another plan, if there is one.
    pub fn look(
        &mut self,
        now: Instant,
        me: &str,
        cells: &[Cell],
        settled: &Settled,
        names: &BTreeMap<u64, Box<str>>,
    ) -> Option<Arc<Plan>> {
        if now < self.began + HEARS || cells.is_empty() {
            return None;
        }
        let step = now >= self.step_at;
        if step {
            self.step_at = now + STEP;
        }
        let name = |zone: u64| names.get(&zone).map_or_else(|| zone.to_string(), ToString::to_string);
        let groups: BTreeSet<u64> = cells.iter().map(|cell| cell.group).take(MOST_ROWS).collect();
        self.planners.retain(|group, _| groups.contains(group));
        let mut causes = std::mem::take(&mut self.orders);
        let mut moved = self.plan().is_none() || !causes.is_empty();
        if self.plan().is_none() {
            causes.push(format!("{me} works out plans from now on"));
        }
        let mut parts = Vec::new();
        for group in groups {
            let facts = self.facts(now, group, cells, settled, &self.drained);
            let planner = self.planners.entry(group).or_default();
            let outcome = planner.look(&facts, &settled.manner, step, &name);
            moved |= outcome.moved || !outcome.causes.is_empty();
            causes.extend(outcome.causes);
            let rows = planner.shares().iter().map(|(origin, row)| (*origin, parts_of(row))).collect();
            let shed = (outcome.shed.clamp(0.0, 1.0) * 1_000.0).round() as u16;
            parts.push(GroupPlan { group, why: outcome.binding, shed, lost: planner.lost(), rows });
        }
        if !moved {
            return None;
        }
        let cause = if causes.is_empty() { "shares move by a step".to_owned() } else { causes.join("; ") };
        let epoch = Epoch { place: self.place, number: self.plan().map_or(1, |plan| plan.epoch.number + 1) };
        let plan = Plan {
            epoch,
            by: me.into(),
            cause,
            drained: self.drained.iter().copied().collect(),
            names: names.iter().map(|(zone, name)| (*zone, name.clone())).collect(),
            groups: parts,
        };
        self.plan = Arc::new(plan);
        Some(Arc::clone(&self.plan))
    }
}

/// Shares as whole parts that sum to [`WHOLE`]: what is lost by rounding goes to the largest.
fn parts_of(row: &BTreeMap<u64, f64>) -> Vec<(u64, u16)> {
    let part = |share: f64| (share.clamp(0.0, 1.0) * f64::from(WHOLE)).round() as u16;
    let mut parts: Vec<(u64, u16)> =
        row.iter().map(|(zone, share)| (*zone, part(*share))).filter(|(_, p)| *p > 0).collect();
    let sum: i32 = parts.iter().map(|(_, part)| i32::from(*part)).sum();
    if let Some((_, most)) = parts.iter_mut().max_by_key(|(_, part)| *part) {
        *most = u16::try_from(i32::from(*most) + i32::from(WHOLE) - sum).unwrap_or(*most);
    }
    parts
}
