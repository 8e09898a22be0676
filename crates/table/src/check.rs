//! The check of a whole table against a gateway's own settings. All faults are found, not the first alone; what it costs is
//! bounded by [`MOST_ENTRIES`] and [`MOST_PLACES`].

use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::text::Quoted;
use crate::{Against, Contract, Fault, Limit, Order, Route, Table};

/// Entries of all kinds in a table.
pub const MOST_ENTRIES: usize = 1_000;
/// Pairs of a class and a group that all routes together may name.
pub const MOST_PLACES: usize = 65_536;
/// The longest name of an entry, in bytes.
const LONGEST_NAME: usize = 64;
/// How far a route's shares may be from one in all.
const NEAR_ONE: f64 = 1e-6;
/// What a limit may be.
const RATES: RangeInclusive<f64> = 0.001..=1e9;
/// How long a missing number may be waited for, and a channel at rest be kept.
const LONGEST_GAP: Duration = Duration::from_secs(60);
const KEEPS: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(24 * 3600);
/// Channels that a gateway may hold.
const CHANNELS: RangeInclusive<u32> = 1..=1_000_000;

/// The faults of one entry, as they are found.
struct Entry<'a> {
    line: u32,
    entry: String,
    faults: &'a mut Vec<Fault>,
}

impl Entry<'_> {
    fn fault(&mut self, problem: impl Into<String>, remedy: impl Into<String>) {
        let (problem, remedy) = (problem.into(), remedy.into());
        self.faults.push(Fault { line: self.line, entry: self.entry.clone(), problem, remedy });
    }

    fn fault_if(&mut self, so: bool, problem: impl FnOnce() -> String, remedy: &str) {
        if so {
            self.fault(problem(), remedy);
        }
    }

    /// Names that nobody knows here, each once.
    fn unknown<'n>(
        &mut self,
        what: &str,
        names: impl Iterator<Item = &'n String>,
        known: &BTreeSet<String>,
        whose: &str,
    ) {
        let strange: BTreeSet<&String> = names.filter(|name| !known.contains(*name)).collect();
        for name in strange {
            let listed: Vec<String> = known.iter().take(20).map(|name| Quoted(name).to_string()).collect();
            let remedy = match listed.is_empty() {
                true => format!("{whose} none"),
                false => format!("{whose} {}", listed.join(", ")),
            };
            self.fault(format!("{what} {} is unknown", Quoted(name)), remedy);
        }
    }

    fn classes(&mut self, classes: &[String], against: &Against) {
        if !against.classes.is_empty() {
            self.unknown("class", classes.iter(), &against.classes, "the settings' classes are");
        }
        self.twice("class", classes.iter().map(|name| Quoted(name).to_string()));
    }

    fn groups(&mut self, groups: &[u64], against: &Against) {
        // Guards against: all groups being refused while no list has come yet.
        let known = |group: &u64| against.groups.is_empty() || against.groups.contains(group);
        if let Some(group) = groups.iter().find(|group| !known(group)) {
            let problem = format!("group {group} is unknown");
            self.fault(problem, "name groups that the list of db hosts has, or leave `groups` out for all");
        }
        self.twice("group", groups.iter().map(u64::to_string));
    }

    fn twice(&mut self, what: &str, names: impl Iterator<Item = String>) {
        let mut seen = BTreeSet::new();
        let again = names.filter(|name| !seen.insert(name.clone())).collect::<BTreeSet<_>>();
        if let Some(name) = again.first() {
            self.fault(format!("{what} {name} is named twice"), "name it once");
        }
    }
}

/// What is found of each entry's name.
fn name(entry: &mut Entry<'_>, name: &str, seen: &mut HashMap<String, u32>) {
    let plain = |c: char| c.is_alphanumeric() || "-_. ".contains(c);
    let good = (1..=LONGEST_NAME).contains(&name.len()) && name.chars().all(plain);
    let remedy = "take 1 to 64 bytes of letters, digits, spaces, `-`, `_` and `.`";
    entry.fault_if(!good, || "its name is empty, too long or has other signs".to_owned(), remedy);
    if let Some(line) = seen.get(name) {
        entry.fault(format!("the name is taken by line {line}"), "give it a name of its own");
    } else {
        seen.insert(name.to_owned(), entry.line);
    }
}

fn route(entry: &mut Entry<'_>, route: &Route, against: &Against) {
    entry.classes(&route.classes, against);
    let writes = |class: &&String| against.classes.contains(*class) && !against.reads.contains(*class);
    if let Some(class) = route.classes.iter().find(writes) {
        let problem = format!("class {} writes", Quoted(class));
        entry.fault(problem, "routes are for reads; writes go to the primary wherever it is");
    }
    entry.groups(&route.groups, against);
    entry.unknown("zone", route.zones.keys(), &against.zones, "the zones of fleet(regions = ...) are");
    if route.zones.is_empty() {
        return entry.fault("it has no zone", "give zones with their shares, such as zones = {\"a\": 1}");
    }
    for (zone, share) in &route.zones {
        let bad = !share.is_finite() || *share < 0.0;
        let problem = || format!("zone {} has the share {share:?}", Quoted(zone));
        entry.fault_if(bad, problem, "a share is a number from 0 to 1");
    }
    let sum: f64 = route.zones.values().sum();
    let off = sum.is_nan() || (sum - 1.0).abs() > NEAR_ONE;
    entry.fault_if(off, || format!("its shares sum to {sum}"), "shares of all zones together are 1");
}

fn limit(entry: &mut Entry<'_>, limit: &Limit, against: &Against) {
    entry.classes(&limit.classes, against);
    entry.groups(&limit.groups, against);
    match (limit.rate, limit.concurrent) {
        (Some(rate), None) => {
            let wrong = !RATES.contains(&rate);
            entry.fault_if(wrong, || format!("rate is {rate:?}"), "a rate is 0.001 to 1e9 attempts a second");
            let wrong = !(1.0..=*RATES.end()).contains(&limit.burst);
            let problem = || format!("burst is {:?}", limit.burst);
            entry.fault_if(
                wrong,
                problem,
                "a burst is 1 to 1e9 attempts; without one it is a tenth of the rate",
            );
        }
        (None, Some(most)) => {
            entry.fault_if(most == 0, || "concurrent is 0".to_owned(), "let one attempt out at the least");
            #[allow(clippy::float_cmp)] // It is set to just this where it is left out.
            let wrong = limit.burst != 1.0;
            entry.fault_if(
                wrong,
                || "burst stands beside concurrent".to_owned(),
                "burst belongs to rate; leave it out",
            );
        }
        (Some(_), Some(_)) => entry.fault("it has both rate and concurrent", "make two limits of it"),
        (None, None) => entry.fault("it has neither rate nor concurrent", "give one of them"),
    }
    let wrong = !(0.0..=1.0).contains(&limit.floor);
    let problem = || format!("floor is {:?}", limit.floor);
    entry.fault_if(wrong, problem, "a floor is a share of the limit, 0 to 1");
}

fn contract(
    entry: &mut Entry<'_>,
    contract: &Contract,
    against: &Against,
    classes: &mut HashMap<String, String>,
) {
    entry.classes(&contract.classes, against);
    entry.fault_if(
        contract.classes.is_empty(),
        || "it has no class".to_owned(),
        "name the classes it is for",
    );
    let own: BTreeSet<&String> = contract.classes.iter().collect();
    for class in own {
        match classes.get(class) {
            Some(other) => {
                let problem = format!("class {} is in {other} too", Quoted(class));
                entry.fault(problem, "a class has one contract at the most");
            }
            None => drop(classes.insert(class.clone(), entry.entry.clone())),
        }
    }
    let (reads, writes) = contract.classes.iter().fold((false, false), |(reads, writes), class| {
        let (known, read) = (against.classes.contains(class), against.reads.contains(class));
        (reads || read, writes || known && !read)
    });
    let blind = contract.order == Order::OwnWrites && !(reads && writes) && !against.classes.is_empty();
    let remedy = "name the classes that write, and those of reads that are to see it";
    entry.fault_if(blind, || "own-writes needs a class that reads and one that writes".to_owned(), remedy);
    let wrong = contract.gap > LONGEST_GAP;
    entry.fault_if(
        wrong,
        || format!("gap_ms is {}", contract.gap.as_millis()),
        "a gap is waited for 0 to 60000 ms",
    );
    let wrong = !KEEPS.contains(&contract.keep);
    entry.fault_if(
        wrong,
        || format!("keep_s is {}", contract.keep.as_secs()),
        "channels are kept for 1 to 86400 s",
    );
    let wrong = !CHANNELS.contains(&contract.most);
    entry.fault_if(wrong, || format!("most is {}", contract.most), "a gateway holds 1 to 1000000 channels");
}

/// Routes of which neither is more specific and that both fit some class and group.
fn conflicts(routes: &[Route], faults: &mut Vec<Fault>) {
    let (mut places, mut named) = (HashMap::new(), 0usize);
    for route in routes {
        let entry = format!("route {}", Quoted(&route.name));
        let mut entry = Entry { line: route.line, entry, faults };
        let classes: BTreeSet<Option<&str>> = match route.classes.is_empty() {
            true => [None].into(),
            false => route.classes.iter().map(|class| Some(class.as_str())).collect(),
        };
        let groups: BTreeSet<Option<u64>> = match route.groups.is_empty() {
            true => [None].into(),
            false => route.groups.iter().copied().map(Some).collect(),
        };
        named = named.saturating_add(classes.len().saturating_mul(groups.len()));
        // Guards against: a short script whose table takes minutes to check.
        if named > MOST_PLACES {
            let problem = format!("with it routes name over {MOST_PLACES} pairs of a class and a group");
            return entry.fault(problem, "leave out groups or classes where a route is for all of them");
        }
        let mut with = None;
        for class in &classes {
            for group in &groups {
                let other = *places.entry((*class, *group)).or_insert(route);
                with = with.or((!std::ptr::eq(other, route)).then_some((other, class, group)));
            }
        }
        if let Some((other, class, group)) = with {
            let class = class.map_or("every class".to_owned(), |class| format!("class {}", Quoted(class)));
            let group = group.map_or("every group".to_owned(), |group| format!("group {group}"));
            let (name, line) = (Quoted(&other.name), other.line);
            let problem =
                format!("conflicts with route {name} of line {line}: both are for {class}, {group}");
            entry.fault(
                problem,
                "let one of them name less, or more: classes and groups, classes, groups, all",
            );
        }
    }
}

impl Table {
    /// How many entries there are.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.routes.len() + self.limits.len() + self.contracts.len()
    }

    /// All that is wrong with it; nothing if it may be acted on.
    #[must_use]
    pub fn faults(&self, against: &Against) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.entries() > MOST_ENTRIES {
            let (problem, remedy) =
                (format!("{} entries", self.entries()), format!("{MOST_ENTRIES} are allowed"));
            return vec![Fault { line: 0, entry: "table".to_owned(), problem, remedy }];
        }
        let mut kind =
            |kind: &str, line: u32, of: &str, seen: &mut _, check: &mut dyn FnMut(&mut Entry<'_>)| {
                let mut entry = Entry { line, entry: format!("{kind} {}", Quoted(of)), faults: &mut faults };
                name(&mut entry, of, seen);
                check(&mut entry);
            };
        let mut seen = HashMap::new();
        for each in &self.routes {
            kind("route", each.line, &each.name, &mut seen, &mut |entry| route(entry, each, against));
        }
        seen.clear();
        for each in &self.limits {
            kind("limit", each.line, &each.name, &mut seen, &mut |entry| limit(entry, each, against));
        }
        let mut classes = HashMap::new();
        seen.clear();
        for each in &self.contracts {
            let check = &mut |entry: &mut Entry<'_>| contract(entry, each, against, &mut classes);
            kind("contract", each.line, &each.name, &mut seen, check);
        }
        conflicts(&self.routes, &mut faults);
        faults.sort_by_key(|fault| fault.line);
        faults
    }
}
