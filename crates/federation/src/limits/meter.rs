//! What this gateway's attempts may spend now: atomics that the event loop spends from and the tasks fill.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use yewroute_table::{Limit, Table};

use super::bucket::{Bucket, ONE};
use super::keeper::Key;
use super::share::{depth, Floors};

/// A bucket that lacks less than this is full.
const NEARLY: f64 = 0.05;
/// What a class may save up while not all of what is wanted can be had, in seconds of its share.
const GATE: f64 = 0.1;

/// What is the same for all tables: the settings' classes.
#[derive(Clone, Debug)]
pub struct Classes {
    /// Their names.
    pub names: Vec<String>,
    /// What an answer to each is worth.
    pub worths: Vec<f64>,
    /// The longest that an attempt of any may run.
    pub longest: Duration,
    /// How many gateways there are.
    pub gateways: u32,
}

/// What a meter allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grant {
    /// Beyond the floor, until `until`.
    pub allotted: f64,
    /// Its end, by this gateway's own count.
    pub until: Option<Instant>,
    /// Always.
    pub floor: f64,
    /// While not all that is wanted can be had: what each class may spend, by its place in the settings.
    pub gates: Vec<f64>,
}

impl Grant {
    /// What may be spent at `now`.
    #[must_use]
    pub fn amount(&self, now: Instant) -> f64 {
        self.floor + if self.runs(now) { self.allotted } else { 0.0 }
    }

    fn runs(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// What comes in between two moments.
    fn accrued(&self, from: Instant, to: Instant) -> f64 {
        let allotted =
            self.until.map_or(Duration::ZERO, |until| until.min(to).saturating_duration_since(from));
        self.floor * (to - from).as_secs_f64() + self.allotted * allotted.as_secs_f64()
    }
}

/// What has been wanted and spent of a class, since the start.
#[derive(Debug, Default)]
struct Class {
    wanted: AtomicU64,
    gate: Bucket,
}

/// One limit at this gateway.
#[derive(Debug)]
pub struct Meter {
    /// The limit.
    pub limit: Limit,
    /// The limit by all that it says.
    pub key: Key,
    /// Its size and floors.
    pub floors: Floors,
    grant: ArcSwap<Grant>,
    base: Instant,
    bucket: Bucket,
    classes: Vec<Class>,
    spent: AtomicU64,
    /// Permits in use; those of a limit of this name in the table before still are.
    out: Arc<AtomicU32>,
    /// The largest floor that limits of this name have had in older tables.
    pub before: Option<f64>,
    /// Permits: when what an earlier life of this gateway has sent under its floor has surely ended.
    clear: Option<Instant>,
}

/// An attempt that finds nothing to spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When there may be something again.
    pub retry: Duration,
}

impl Meter {
    fn new(now: Instant, limit: &Limit, classes: &Classes, older: Option<&Self>, born: Instant) -> Self {
        let floors = Floors::of(limit, classes.gateways);
        let before = older.map(|older| older.floors.each.max(older.before.unwrap_or(0.0)));
        let clear = limit.rate.is_none().then(|| born + classes.longest);
        let mut meter = Self {
            limit: limit.clone(),
            key: Key::of(limit),
            floors,
            grant: ArcSwap::default(),
            base: now,
            bucket: Bucket::default(),
            classes: classes.names.iter().map(|_| Class::default()).collect(),
            spent: AtomicU64::new(0),
            out: older.map_or_else(Arc::default, |older| Arc::clone(&older.out)),
            before,
            clear,
        };
        let floor = meter.floor(now, false);
        meter.grant = ArcSwap::from_pointee(Grant { floor, ..Grant::default() });
        meter
    }

    /// What may be spent in any case. `settled`: nobody acts by the table before.
    pub(super) fn floor(&self, now: Instant, settled: bool) -> f64 {
        // Guards against: a gateway that is killed and started again while what it had sent under its floor still runs.
        if self.clear.is_some_and(|clear| now < clear) {
            return 0.0;
        }
        // Until nobody acts by the table before, the floors of both must fit into either limit.
        self.floors.each.min(self.before.filter(|_| !settled).unwrap_or(f64::INFINITY))
    }

    /// Whether permits are counted, and not attempts per second.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.limit.rate.is_none()
    }

    /// What it allows.
    #[must_use]
    pub fn grant(&self) -> Arc<Grant> {
        self.grant.load_full()
    }

    /// Allows something else from `now` on.
    pub fn set(&self, now: Instant, grant: Grant) {
        if **self.grant.load() == grant {
            return;
        }
        // What has come in until now did so by what was allowed before.
        self.fill(now, &self.grant.load());
        let depth = self.depth(grant.amount(now));
        self.grant.store(Arc::new(grant));
        self.bucket.fill(self.base, now, |_| 0.0, depth);
    }

    fn depth(&self, amount: f64) -> f64 {
        depth(self.limit.burst, self.floors.gateways, amount, self.floors.size)
    }

    fn fill(&self, now: Instant, grant: &Grant) {
        let accrued = |from| grant.accrued(from, now);
        self.bucket.fill(self.base, now, accrued, self.depth(grant.amount(now)));
    }

    /// Permits in use.
    #[must_use]
    pub fn out(&self) -> u32 {
        self.out.load(Ordering::Acquire)
    }

    /// Attempts that have spent, since the start.
    #[must_use]
    pub fn spent(&self) -> u64 {
        self.spent.load(Ordering::Relaxed)
    }

    /// Attempts of each class that wanted to, since the start.
    #[must_use]
    pub fn wanted(&self) -> Vec<u64> {
        self.classes.iter().map(|class| class.wanted.load(Ordering::Relaxed)).collect()
    }

    /// Nothing more can be saved up: what comes in from now on is lost.
    #[must_use]
    pub fn full(&self, now: Instant) -> bool {
        let grant = self.grant.load();
        self.fill(now, &grant);
        let depth = self.depth(grant.amount(now));
        !self.whole() && self.bucket.level() >= (depth - NEARLY) * ONE
    }

    /// Spends one; gives the end of the lease under which it did so.
    fn try_spend(&self, now: Instant, class: usize) -> Result<Option<Instant>, Refused> {
        let grant = self.grant.load();
        let Some(of_class) = self.classes.get(class) else { return Ok(None) };
        of_class.wanted.fetch_add(1, Ordering::Relaxed);
        let amount = grant.amount(now);
        let gate = grant.gates.get(class).copied();
        if let Some(share) = gate {
            let accrued = |from: Instant| share * (now - from).as_secs_f64();
            of_class.gate.fill(self.base, now, accrued, 1.0 + share * GATE);
            if !of_class.gate.take() {
                return Err(Refused { retry: of_class.gate.wait(share) });
            }
        }
        let taken = if self.whole() {
            let room = |out: u32| (f64::from(out) + 1.0 <= amount).then_some(out + 1);
            self.out.fetch_update(Ordering::AcqRel, Ordering::Acquire, room).is_ok()
        } else {
            self.fill(now, &grant);
            self.bucket.take()
        };
        if taken {
            self.spent.fetch_add(1, Ordering::Relaxed);
            return Ok(grant.until.filter(|until| grant.allotted > 0.0 && now < *until));
        }
        if gate.is_some() {
            of_class.gate.put_back();
        }
        // When a permit comes back nobody can tell: the settings' most.
        let retry = if self.whole() { Duration::MAX } else { self.bucket.wait(amount) };
        Err(Refused { retry })
    }

    fn give_back(&self, class: usize) {
        if self.whole() {
            self.end();
        } else {
            self.bucket.put_back();
        }
        if self.grant.load().gates.get(class).is_some() {
            self.classes[class].gate.put_back();
        }
        self.classes[class].wanted.fetch_sub(1, Ordering::Relaxed);
        self.spent.fetch_sub(1, Ordering::Relaxed);
    }

    fn end(&self) {
        let less = |out: u32| Some(out.saturating_sub(1));
        let _ = self.out.fetch_update(Ordering::AcqRel, Ordering::Acquire, less);
    }
}

/// What an attempt has spent: to be ended with it where permits are held.
#[derive(Clone, Debug)]
pub struct Spent {
    meters: Arc<Meters>,
    class: usize,
    group: u64,
    until: Option<Instant>,
}

impl PartialEq for Spent {
    fn eq(&self, other: &Self) -> bool {
        let key = |spent: &Self| (spent.class, spent.group, spent.until);
        Arc::ptr_eq(&self.meters, &other.meters) && key(self) == key(other)
    }
}

impl Spent {
    /// The end of the lease under which it was spent: its first byte goes out before that, if there is one.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// The attempt was not sent, at the very moment that it was to be.
    pub fn give_back(self) {
        self.meters.of(self.class, self.group).for_each(|meter| meter.give_back(self.class));
    }

    /// The attempt has ended.
    pub fn end(self) {
        self.meters.of(self.class, self.group).filter(|meter| meter.whole()).for_each(|meter| meter.end());
    }

    /// Gives back what rates counted, and keeps the permits: the attempt waits, and spends again when its first byte can go out.
    /// Guards against: attempts that spend one after the other, wait for connections, and are all sent in the moment in which
    /// those come up.
    pub fn give_back_rates(&self) {
        self.rates().for_each(|meter| meter.give_back(self.class));
    }

    /// Spends again what [`Spent::give_back_rates`] gave back: from all rates or from none. Gives the end of the lease under which
    /// it did so, as [`Spent::until`].
    ///
    /// # Errors
    /// One of them has nothing left.
    pub fn spend_rates_again(&self, now: Instant) -> Result<Option<Instant>, Refused> {
        spend_all(|| self.rates(), now, self.class)
    }

    fn rates(&self) -> impl Iterator<Item = &Meter> {
        self.meters.of(self.class, self.group).filter(|meter| !meter.whole())
    }

    /// Whether permits are held until its end.
    #[must_use]
    pub fn held(&self) -> bool {
        self.meters.of(self.class, self.group).any(|meter| meter.whole())
    }
}

/// What this gateway's attempts may spend now, by the table that it acts by.
#[derive(Debug, Default)]
pub struct Meters {
    /// The table's version.
    pub version: u64,
    all: Vec<Arc<Meter>>,
    /// For each class, the limits that its attempts spend from.
    of: Vec<Vec<usize>>,
}

impl Meters {
    /// Those of a table. A limit that was in the one before goes on as it stands.
    /// `born`: since when this process runs, or later.
    #[must_use]
    pub fn compile(
        now: Instant,
        version: u64,
        table: &Table,
        classes: &Classes,
        before: &Self,
        born: Instant,
    ) -> Self {
        let names: HashMap<&str, &Arc<Meter>> =
            before.all.iter().map(|meter| (meter.limit.name.as_str(), meter)).collect();
        let meter = |limit: &Limit| match names.get(limit.name.as_str()) {
            Some(held) if held.key == Key::of(limit) => Arc::clone(held),
            older => Arc::new(Meter::new(now, limit, classes, older.map(|older| &***older), born)),
        };
        let all = table.limits.iter().map(meter).collect();
        let spends = |name: &String| {
            let named = |limit: &Limit| limit.classes.is_empty() || limit.classes.contains(name);
            (0..table.limits.len()).filter(|&at| named(&table.limits[at])).collect()
        };
        Self { version, all, of: classes.names.iter().map(spends).collect() }
    }

    /// All limits.
    #[must_use]
    pub fn all(&self) -> &[Arc<Meter>] {
        &self.all
    }

    /// Nothing is limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    fn of(&self, class: usize, group: u64) -> impl Iterator<Item = &Meter> {
        let meters = self.of.get(class).into_iter().flatten().map(|&at| &*self.all[at]);
        meters.filter(move |meter| meter.limit.groups.is_empty() || meter.limit.groups.contains(&group))
    }

    /// Spends one attempt of a class in a group from all limits that it is under, or from none.
    ///
    /// # Errors
    /// One of them has nothing left.
    pub fn try_spend(self: &Arc<Self>, now: Instant, class: usize, group: u64) -> Result<Spent, Refused> {
        let until = spend_all(|| self.of(class, group), now, class)?;
        Ok(Spent { meters: Arc::clone(self), class, group, until })
    }
}

/// Spends one attempt from all of these, or from none; the soonest end of the leases under which it did so.
fn spend_all<'a, M>(meters: impl Fn() -> M, now: Instant, class: usize) -> Result<Option<Instant>, Refused>
where
    M: Iterator<Item = &'a Meter>,
{
    let mut until: Option<Instant> = None;
    for (taken, meter) in meters().enumerate() {
        match meter.try_spend(now, class) {
            Ok(ends) => until = until.into_iter().chain(ends).min(),
            Err(refused) => {
                meters().take(taken).for_each(|meter| meter.give_back(class));
                return Err(refused);
            }
        }
    }
    Ok(until)
}
