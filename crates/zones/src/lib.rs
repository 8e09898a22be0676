//! Where the traffic of each zone goes: shares over zones that fit what each can carry and cross as little as can be.
//!
//! [`plan`] solves the planning problem, [`Damper`] lets what follows from it happen by bounded steps. Nothing here does I/O,
//! reads a clock or draws from a source of its own; the same facts give the same plan everywhere. `docs/design/zones.md`.
#![forbid(unsafe_code)]

mod damp;
pub mod evidence;
mod flow;
pub mod planner;

use std::collections::BTreeSet;

pub use damp::{Damper, Damping};
use flow::Flow;

/// What it costs to cross into another zone of the region, and into another region; and to shed a unit of worth one, which
/// costs more than any crossing.
const ZONE: f64 = 1.0;
const REGION: f64 = 16.0;
const SHED: f64 = 1_024.0;
/// What each place in the order of regions that are preferred costs more; all of them less than a crossing into a region.
const PLACE: f64 = 0.01;

/// A zone as a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its region.
    pub region: usize,
    /// What its db hosts can carry now, in units of work per second; nothing where there are none, or it is lost.
    pub capacity: f64,
}

/// Traffic that begins in a zone and may go to any.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// The zone it begins in.
    pub zone: usize,
    /// Units of work per second.
    pub demand: f64,
    /// What a unit of it is worth; the least worth is shed first.
    pub worth: f64,
}

/// What binds a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binding {
    /// Everything stays in its own zone.
    Nothing,
    /// Some zones cannot carry their own; their regions can.
    Zone,
    /// Some regions cannot carry their own; others can.
    Region,
    /// All together cannot carry it: some is shed.
    All,
}

/// Shares of each origin over zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// For each origin, the part of it that goes to each zone; together one, or nothing where no zone has room at all.
    pub shares: Vec<Vec<f64>>,
    /// For each origin, the part of its demand that nobody can carry.
    pub shed: Vec<f64>,
    /// What binds it.
    pub binding: Binding,
}

/// What a plan is to keep to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// The part of every capacity that is kept free.
    pub headroom: f64,
    /// Regions that are crossed into before the others, in this order.
    pub prefer: Vec<usize>,
    /// Origins, by their zones, and zones that these cannot reach, though others may.
    pub barred: BTreeSet<(usize, usize)>,
}

/// The plan of least crossing that fits: `headroom` of every capacity is kept free.
///
/// # Panics
/// If an origin names a zone that is not there.
#[must_use]
pub fn plan(zones: &[Zone], origins: &[Origin], headroom: f64) -> Plan {
    plan_by(zones, origins, &Terms { headroom, ..Terms::default() })
}

/// The same by more terms. An origin that some zones are barred to has a way of its own to each other one.
///
/// # Panics
/// If an origin names a zone that is not there.
#[must_use]
pub fn plan_by(zones: &[Zone], origins: &[Origin], terms: &Terms) -> Plan {
    let headroom = terms.headroom;
    let place = |region: usize| {
        let found = terms.prefer.iter().position(|other| *other == region).unwrap_or(terms.prefer.len());
        PLACE * found as f64
    };
    let regions = zones.iter().map(|zone| zone.region + 1).max().unwrap_or(0);
    // Nodes: origins, zones, a hub for each region, source and sink.
    let (zone_at, hub_at) = (origins.len(), origins.len() + zones.len());
    let (source, sink) = (hub_at + regions, hub_at + regions + 1);
    let mut flow = Flow::new(sink + 1);
    let most_worth = origins.iter().map(|origin| origin.worth).fold(f64::MIN_POSITIVE, f64::max);
    let (mut own, mut out, mut shed, mut direct) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for (n, origin) in origins.iter().enumerate() {
        let region = zones[origin.zone].region;
        flow.edge(source, n, origin.demand.max(0.0), 0.0);
        let barred = |zone: usize| terms.barred.contains(&(origin.zone, zone));
        let free = (0..zones.len()).all(|zone| !barred(zone));
        let room = |open: bool| if open { f64::INFINITY } else { 0.0 };
        own.push(flow.edge(n, zone_at + origin.zone, room(!barred(origin.zone)), 0.0));
        out.push(flow.edge(n, hub_at + region, room(free), ZONE));
        for (to, zone) in
            zones.iter().enumerate().filter(|(to, _)| !free && *to != origin.zone && !barred(*to))
        {
            let cost = if zone.region == region { ZONE } else { REGION + place(zone.region) };
            direct.push((n, to, flow.edge(n, zone_at + to, f64::INFINITY, cost)));
        }
        let worth = (origin.worth / most_worth).clamp(0.0, 1.0);
        shed.push(flow.edge(n, sink, f64::INFINITY, SHED * (1.0 + worth)));
    }
    let mut arrives = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        let room = (zone.capacity * (1.0 - headroom)).max(0.0);
        arrives.push(flow.edge(hub_at + zone.region, zone_at + n, f64::INFINITY, 0.0));
        flow.edge(zone_at + n, sink, room, 0.0);
    }
    let mut hubs = vec![vec![None; regions]; regions];
    for (from, row) in hubs.iter_mut().enumerate() {
        for (to, hub) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
            *hub = Some(flow.edge(hub_at + from, hub_at + to, f64::INFINITY, REGION - ZONE + place(to)));
        }
    }
    flow.send(source, sink);
    // What a region's hub takes in is passed on in proportion, whoever it came from.
    let crossed = |from: usize, to: usize| hubs[from][to].map_or(0.0, |edge| flow.amount(edge));
    let amounts = |region: usize| {
        let arrives = zones.iter().zip(&arrives);
        arrives
            .map(|(zone, edge)| if zone.region == region { flow.amount(*edge) } else { 0.0 })
            .collect::<Vec<_>>()
    };
    let by_region: Vec<Vec<f64>> = (0..regions).map(amounts).collect();
    let spread = |region: usize| {
        let mut to = by_region[region].clone();
        for (other, there) in by_region.iter().enumerate() {
            let (amount, all) = (crossed(region, other), there.iter().sum::<f64>());
            if amount > 0.0 && all > 0.0 {
                to.iter_mut().zip(there).for_each(|(to, part)| *to += amount * part / all);
            }
        }
        to
    };
    let spreads: Vec<Vec<f64>> = (0..regions).map(spread).collect();
    let mut result = Plan { shares: Vec::new(), shed: Vec::new(), binding: Binding::Nothing };
    for (n, origin) in origins.iter().enumerate() {
        let (stays, leaves) = (flow.amount(own[n]), flow.amount(out[n]));
        let spread = &spreads[zones[origin.zone].region];
        let all: f64 = spread.iter().sum();
        let mut to: Vec<f64> =
            spread.iter().map(|part| if all > 0.0 { leaves * part / all } else { 0.0 }).collect();
        to[origin.zone] += stays;
        direct.iter().filter(|(of, ..)| *of == n).for_each(|(_, zone, edge)| to[*zone] += flow.amount(*edge));
        result.shares.push(shares_of(to, zones, origin, &terms.barred));
        let lost = flow.amount(shed[n]);
        result.shed.push(if origin.demand > 0.0 { (lost / origin.demand).clamp(0.0, 1.0) } else { 0.0 });
    }
    let any = |edges: &[usize]| edges.iter().any(|edge| flow.amount(*edge) > 0.0);
    let goes = |edge: &usize| flow.amount(*edge) > 0.0;
    let away = |n: usize, to: usize| zones[origins[n].zone].region != zones[to].region;
    let far = (0..regions).any(|from| (0..regions).any(|to| crossed(from, to) > 0.0))
        || direct.iter().any(|(n, to, edge)| away(*n, *to) && goes(edge));
    let near = any(&out) || direct.iter().any(|(.., edge)| goes(edge));
    result.binding = match (any(&shed), far, near) {
        (true, ..) => Binding::All,
        (_, true, _) => Binding::Region,
        (.., true) => Binding::Zone,
        _ => Binding::Nothing,
    };
    result
}

/// Amounts as parts of one. Where nothing flows, as without demand, it would stay near: in its zone, its region, anywhere.
fn shares_of(
    amounts: Vec<f64>,
    zones: &[Zone],
    origin: &Origin,
    barred: &BTreeSet<(usize, usize)>,
) -> Vec<f64> {
    let sum: f64 = amounts.iter().sum();
    if sum > 0.0 {
        return amounts.into_iter().map(|amount| amount / sum).collect();
    }
    let region = zones[origin.zone].region;
    let open = |zone: usize| !barred.contains(&(origin.zone, zone));
    // Where all that has room is out of reach, it may as well be asked.
    let near: [&dyn Fn(usize) -> bool; 4] = [
        &|zone| zone == origin.zone && open(zone),
        &|zone: usize| zones[zone].region == region && open(zone),
        &open,
        &|_| true,
    ];
    for fits in near {
        let room = |(n, zone): (usize, &Zone)| if fits(n) { zone.capacity.max(0.0) } else { 0.0 };
        let room: Vec<f64> = zones.iter().enumerate().map(room).collect();
        let sum: f64 = room.iter().sum();
        if sum > 0.0 {
            return room.into_iter().map(|room| room / sum).collect();
        }
    }
    vec![0.0; zones.len()]
}

#[cfg(test)]
mod tests;
