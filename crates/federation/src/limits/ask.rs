//! Asks for this gateway: one task for each limit, which measures what is wanted and keeps the meter filled.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::keeper::{holds_until, Report};
use super::meter::{Classes, Grant, Meter};
use super::share::{by_worth, Want};
use super::{allotted, order, Answer, Ask, PATIENCE, TICK};
use crate::bridge;
use crate::Context;

/// How often a lease is renewed.
const RENEWALS: u32 = 4;
/// Demand is smoothed over so long, and over so long while it has not moved.
const FAST: f64 = 0.25;
const SLOW: f64 = 1.0;
/// What is held beyond this multiple of what is wanted is given back.
const KEPT: f64 = 1.5;
/// A gateway that did not answer as keeper is not asked again for so long.
const AVOIDED: Duration = Duration::from_secs(1);

/// What is wanted of a limit here, by class.
struct Demand {
    at: Instant,
    wanted: Vec<u64>,
    spent: u64,
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Attempts sent per second.
    sent: f64,
    /// Most permits in use at a tick of late.
    out: f64,
    /// What was told last, in all.
    told: f64,
}

impl Demand {
    fn new(now: Instant, meter: &Meter) -> Self {
        let (wanted, spent) = (meter.wanted(), meter.spent());
        let none = vec![0.0; wanted.len()];
        Self { at: now, wanted, spent, fast: none.clone(), slow: none, sent: 0.0, out: 0.0, told: 0.0 }
    }

    /// Measures; true if what is wanted has moved away from what was told last.
    fn measure(&mut self, now: Instant, meter: &Meter) -> bool {
        let span = (now - self.at).as_secs_f64();
        if span <= 0.0 {
            return false;
        }
        let weight = |over: f64| 1.0 - (-span / over).exp();
        let wanted = meter.wanted();
        for (class, (before, after)) in self.wanted.iter().zip(&wanted).enumerate() {
            let rate = after.saturating_sub(*before) as f64 / span;
            self.fast[class] += (rate - self.fast[class]) * weight(FAST);
            self.slow[class] += (rate - self.slow[class]) * weight(SLOW);
        }
        let sent = meter.spent();
        self.sent += (sent.saturating_sub(self.spent) as f64 / span - self.sent) * weight(FAST);
        self.out = f64::from(meter.out()).max(self.out * (1.0 - weight(FAST)));
        (self.at, self.wanted, self.spent) = (now, wanted, sent);
        let (fast, slow): (f64, f64) = (self.fast.iter().sum(), self.slow.iter().sum());
        // Twice what chance makes of so few, at the least.
        let far = |from: f64| (from / 4.0).max(2.0 * (from / (2.0 * FAST)).sqrt()) + 1.0;
        if (fast - slow).abs() > far(slow) {
            self.slow.clone_from(&self.fast);
        }
        (fast - self.told).abs() > far(self.told)
    }

    /// Attempts per second of each class.
    fn rates(&self, classes: &Classes) -> Vec<Want> {
        self.slow.iter().zip(&classes.worths).map(|(&amount, &worth)| Want { worth, amount }).collect()
    }

    /// What is told of it: attempts per second, or the permits that they would use.
    fn wants(&self, meter: &Meter, classes: &Classes) -> Vec<Want> {
        let mut wants = self.rates(classes);
        if meter.whole() {
            let rate: f64 = self.slow.iter().sum();
            // As many times those in use as attempts are wanted more than sent.
            let permits =
                if self.sent > 0.0 { self.out.max(1.0) * (rate / self.sent).max(1.0) } else { rate };
            let each = if rate > 0.0 { permits.max(self.out).min(meter.floors.size) / rate } else { 0.0 };
            wants.iter_mut().for_each(|want| want.amount *= each);
        }
        wants.retain(|want| want.amount > 0.0);
        wants
    }

    /// What each class may spend of `amount`, where that is less than what they want.
    fn gates(&self, amount: f64, meter: &Meter, classes: &Classes) -> Vec<f64> {
        let wants = self.rates(classes);
        let (wanted, amount): (f64, f64) =
            (wants.iter().map(|want| want.amount).sum(), if meter.whole() { self.sent } else { amount });
        if wanted <= amount || wants.iter().filter(|want| want.amount > 0.0).count() < 2 {
            return Vec::new();
        }
        let some: Vec<usize> = (0..wants.len()).filter(|&class| wants[class].amount > 0.0).collect();
        let got = by_worth(amount, &some.iter().map(|&class| wants[class]).collect::<Vec<_>>());
        // A class that wants nothing now may begin.
        let mut gates = vec![amount; wants.len()];
        for (class, got) in some.into_iter().zip(got) {
            let met = got >= wants[class].amount;
            gates[class] = if met { got * 1.1 + 1.0 } else { got };
        }
        gates
    }
}

/// Asks until the limit is no part of the table any more; then it is ended from outside.
pub(super) async fn run(context: Context, meter: Arc<Meter>, classes: Arc<Classes>, numbers: Arc<AtomicU64>) {
    let mut ticks = context.ticks(TICK);
    let every = allotted(&context.terms) / RENEWALS;
    let mut demand = Demand::new(bridge::now(), &meter);
    // What is held and its end, by this gateway's count.
    let mut held: (f64, Instant) = (0.0, bridge::now());
    let mut keeper: Option<Box<str>> = None;
    let (mut turned, mut avoided) = (0, None::<(Box<str>, Instant)>);
    // There is a keeper, and it knows all that runs.
    let mut gives = false;
    // Less was given than is wanted, when it was asked for last; how much; and whether it was of no use then.
    let (mut tight, mut fair, mut told_full) = (false, 0.0_f64, false);
    let mut due = bridge::now();
    loop {
        ticks.tick().await;
        let (now, acting) = (bridge::now(), context.acting.borrow().clone());
        let full = tight && meter.full(now);
        // Guards against: what is short lying in full buckets, where chance or demand that has moved left it.
        let moved = demand.measure(now, &meter) || full != told_full;
        let allow = |now: Instant, held: (f64, Instant), demand: &Demand, fair: f64| {
            let floor = meter.floor(now, acting.settled);
            // Guards against: spending under a table that has been replaced where this gateway does not hear of it.
            let until = acting.until.map(|until| until.min(held.1));
            let mut grant = Grant { allotted: held.0, until, floor, gates: Vec::new() };
            // What it has as a rule, though it has given it back for the moment.
            let usual = grant.amount(now).max(floor + fair);
            grant.gates = demand.gates(usual, &meter, &classes);
            meter.set(now, grant);
        };
        if now >= held.1 {
            held.0 = 0.0;
        }
        allow(now, held, &demand, fair);
        if !acting.acts(now) || now < due && !moved {
            continue;
        }
        let wants = if full { Vec::new() } else { demand.wants(&meter, &classes) };
        let wanted: f64 = wants.iter().map(|want| want.amount).sum();
        // What is not wanted is given back before the keeper is told so, if there is one that can give it again.
        if gives {
            held.0 = if full { 0.0 } else { held.0.min(wanted * KEPT + 1.0) };
        }
        if meter.whole() {
            held.0 = held.0.floor();
        }
        allow(now, held, &demand, fair);
        (demand.told, told_full) = (demand.fast.iter().sum(), full);
        let steward = context.outlook.borrow().steward.clone();
        let members = order(&context.peers.members(), meter.key, steward.as_deref());
        let Some(first) = members.get(turned % members.len().max(1)) else { continue };
        let to = keeper.clone().unwrap_or_else(|| first.clone());
        let number = numbers.fetch_add(1, Ordering::Relaxed) + 1;
        let report =
            Report { number, holds: held.0, out: meter.out(), wants, before: meter.before.unwrap_or(0.0) };
        let asked = bridge::now();
        match context.peers.ask(&to, &Ask::Allot(meter.key, report), PATIENCE).await {
            Ok(Answer::Given { amount, lease, short, blind, .. }) => {
                gives = !blind;
                let after = bridge::now();
                // Less than before: the keeper counts on it once it is told that it has arrived.
                let less = amount < held.0;
                let length = lease.min(allotted(&context.terms));
                held = (amount, holds_until(asked, length, context.terms.drift));
                if !full {
                    tight = !meter.whole() && amount + meter.floors.each < wanted;
                    fair = if tight { amount } else { 0.0 };
                }
                allow(after, held, &demand, fair);
                (keeper, turned) = (Some(to), 0);
                due = if less || short { after } else { after + every };
            }
            Ok(Answer::Elsewhere(by)) => {
                let now = bridge::now();
                let silent = |by: &str| {
                    avoided.as_ref().is_some_and(|(name, at)| **name == *by && now < *at + AVOIDED)
                };
                gives = false;
                keeper = by.filter(|by| *by != to && !silent(by));
                due = now;
            }
            Ok(Answer::Seat(..)) | Err(_) => {
                avoided = Some((to, bridge::now()));
                (keeper, turned, gives) = (None, turned + 1, false);
                due = bridge::now();
            }
        }
    }
}
