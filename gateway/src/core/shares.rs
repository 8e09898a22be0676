//! Routes of the federation's table: the zone in which a read is asked first, drawn by its route's shares.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use fastrand::Rng;
use yewroute::interface::{Freshness, Stand};
use yewroute_federation::zones::Plan;
use yewroute_settings::Deployment;
use yewroute_table::Table;

use super::Directory;

/// A table's routes with numbers in place of names, so that a request compares no text.
struct Routes {
    /// The table that they are of; it is kept, so that no other one can have its place in memory.
    table: Arc<Table>,
    /// Routes by class and group, by class, by group, and for all: the more specific first.
    both: HashMap<(usize, u64), usize>,
    classes: Vec<Option<usize>>,
    groups: HashMap<u64, usize>,
    all: Option<usize>,
    /// The zones of each route, with their shares.
    zones: Vec<Vec<(Stand, f64)>>,
}

impl Routes {
    fn of(table: &Arc<Table>, directory: &Directory, deployment: &Deployment) -> Self {
        let number = |name: &String| deployment.class_names.iter().position(|known| known == name);
        let mut routes = Self {
            table: Arc::clone(table),
            both: HashMap::new(),
            classes: vec![None; deployment.class_names.len()],
            groups: HashMap::new(),
            all: None,
            zones: Vec::with_capacity(table.routes.len()),
        };
        for (n, route) in table.routes.iter().enumerate() {
            let shares = route.zones.iter().map(|(zone, share)| (directory.stand(zone), *share));
            routes.zones.push(shares.collect());
            let classes: Vec<usize> = route.classes.iter().filter_map(number).collect();
            match (route.classes.is_empty(), route.groups.is_empty()) {
                (true, true) => drop(routes.all.get_or_insert(n)),
                (true, false) => {
                    for group in &route.groups {
                        routes.groups.entry(*group).or_insert(n);
                    }
                }
                (false, true) => {
                    for class in classes {
                        routes.classes[class].get_or_insert(n);
                    }
                }
                (false, false) => {
                    for place in classes.iter().flat_map(|class| route.groups.iter().map(|g| (*class, *g))) {
                        routes.both.entry(place).or_insert(n);
                    }
                }
            }
        }
        routes
    }

    fn zones(&self, class: usize, group: u64) -> Option<&[(Stand, f64)]> {
        let both = self.both.get(&(class, group)).copied();
        let found = both.or(self.classes[class]).or_else(|| self.groups.get(&group).copied()).or(self.all)?;
        Some(&self.zones[found])
    }
}

/// Zones and their shares, by group.
type Rows = HashMap<u64, Vec<(Stand, f64)>>;

/// Draws zones.
pub struct Shares {
    rng: Rng,
    routes: Option<Routes>,
    /// This gateway's rows of the plan for all zones, which is kept, so that no other one can have its place in memory.
    planned: Option<(Arc<Plan>, Rows)>,
    /// Groups and zones that have a db host which takes requests, as of so many changes of the list.
    served: HashSet<(u64, u64)>,
    changes: Option<u64>,
}

impl Shares {
    pub fn new(seed: u64) -> Self {
        Self { rng: Rng::with_seed(seed), routes: None, planned: None, served: HashSet::new(), changes: None }
    }

    /// Where a read of this class and group is asked first; none if the table has no route for it, or none of its
    /// route's zones has a db host of the group. Zones without one fall to the others by their shares.
    pub fn draw(
        &mut self,
        table: &Arc<Table>,
        directory: &Directory,
        deployment: &Deployment,
        class: usize,
        group: u64,
    ) -> Option<Stand> {
        if table.routes.is_empty() || deployment.module.classes[class].freshness == Freshness::Write {
            return None;
        }
        let same = |routes: &Routes| Arc::ptr_eq(&routes.table, table);
        if !self.routes.as_ref().is_some_and(same) {
            self.routes = Some(Routes::of(table, directory, deployment));
        }
        self.look(directory);
        let zones = self.routes.as_ref()?.zones(class, group)?;
        pick(&mut self.rng, &self.served, zones, group)
    }

    /// Where a read of this group that begins in a zone is asked first by the plan for all zones; none if it says nothing of it,
    /// or none of the zones that it names has a db host of the group any more.
    pub fn draw_by_plan(
        &mut self,
        plan: &Arc<Plan>,
        directory: &Directory,
        origin: u64,
        group: u64,
    ) -> Option<Stand> {
        if !self.planned.as_ref().is_some_and(|(held, _)| Arc::ptr_eq(held, plan)) {
            let share = |(zone, part): &(u64, u16)| (directory.stand_of(*zone), f64::from(*part));
            let rows = plan.groups.iter().filter_map(|group| {
                let (_, row) = group.rows.iter().find(|(from, _)| *from == origin)?;
                Some((group.group, row.iter().map(share).collect()))
            });
            self.planned = Some((Arc::clone(plan), rows.collect()));
        }
        self.look(directory);
        let (_, rows) = self.planned.as_ref()?;
        pick(&mut self.rng, &self.served, rows.get(&group)?, group)
    }

    /// Sees which zones have db hosts of which groups, if the list has changed.
    fn look(&mut self, directory: &Directory) {
        if self.changes != Some(directory.changes()) {
            self.changes = Some(directory.changes());
            self.served.clear();
            self.served.extend(directory.served());
        }
    }
}

/// Draws a zone by its share among those that have a db host of the group.
fn pick(rng: &mut Rng, served: &HashSet<(u64, u64)>, zones: &[(Stand, f64)], group: u64) -> Option<Stand> {
    let share =
        |(stand, share): &(Stand, f64)| if served.contains(&(group, stand.zone)) { *share } else { 0.0 };
    let sum: f64 = zones.iter().map(share).sum();
    let mut left = rng.f64() * sum;
    let mut last = None;
    for zone in zones.iter().filter(|zone| share(zone) > 0.0) {
        last = Some(zone.0);
        left -= share(zone);
        if left < 0.0 {
            break;
        }
    }
    last
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::clock::Clock;
    use crate::proto::catalog::{Member, Members, State};

    const SETTINGS: &str = include_str!("../../tests/common/settings.json");
    const VIEW: usize = 0;
    const ORDER: usize = 1;

    fn list(hosts: &[(&str, &str, u64, State)]) -> Members {
        let member = |(id, zone, cell, state): &(&str, &str, u64, State)| Member {
            id: (*id).to_owned(),
            addr: "127.0.0.1:9".parse().unwrap(),
            cell: *cell,
            state: *state,
            zone: (*zone).to_owned(),
            started_ms: 0,
            role: None,
        };
        Members { version: 1, full: true, servers: hosts.iter().map(member).collect() }
    }

    fn table(text: &str) -> Arc<Table> {
        Arc::new(yewroute_edge::table("table", text).unwrap())
    }

    struct Bench {
        shares: Shares,
        directory: Directory,
        deployment: Deployment,
    }

    impl Bench {
        fn new(hosts: &[(&str, &str, u64, State)]) -> Self {
            let deployment = Deployment::from_json(SETTINGS).unwrap();
            let mut bench = Self { shares: Shares::new(7), directory: Directory::default(), deployment };
            bench.learn(hosts);
            bench
        }

        fn learn(&mut self, hosts: &[(&str, &str, u64, State)]) {
            let clock = Clock::at(std::time::Instant::now(), std::time::Duration::ZERO);
            self.directory.learn(std::time::Instant::now(), &list(hosts), &clock);
        }

        fn draw(&mut self, table: &Arc<Table>, class: usize, group: u64) -> Option<Stand> {
            self.shares.draw(table, &self.directory, &self.deployment, class, group)
        }

        /// The parts in which zones are drawn.
        fn parts(&mut self, table: &Arc<Table>, group: u64) -> BTreeMap<&'static str, f64> {
            let named = ["a", "b", "c"].map(|zone| (self.directory.stand(zone), zone));
            let mut parts = BTreeMap::new();
            for _ in 0..10_000 {
                let drawn = self.draw(table, VIEW, group);
                let name =
                    named.iter().find(|(stand, _)| Some(*stand) == drawn).map_or("none", |(_, zone)| zone);
                *parts.entry(name).or_insert(0.0) += 1e-4;
            }
            parts
        }
    }

    #[test]
    fn zones_are_drawn_by_their_shares_and_one_without_a_db_host_falls_to_the_others() {
        let ready = State::Ready;
        let all =
            [("s0", "a", 2, ready), ("s1", "b", 2, ready), ("s2", "c", 2, ready), ("s3", "a", 3, ready)];
        let mut bench = Bench::new(&all);
        let spread = table("route('r', zones = {'a': 0.5, 'b': 0.3, 'c': 0.2, })");
        let close = |parts: &BTreeMap<&str, f64>, wanted: [f64; 3]| {
            let of = |zone: &str| parts.get(zone).copied().unwrap_or(0.0);
            let near =
                ["a", "b", "c"].iter().zip(wanted).all(|(zone, share)| (of(zone) - share).abs() < 0.02);
            assert!(near && !parts.contains_key("none"), "{parts:?}, {wanted:?}");
        };
        close(&bench.parts(&spread, 2), [0.5, 0.3, 0.2]);
        close(&bench.parts(&spread, 3), [1.0, 0.0, 0.0]);
        bench.learn(&[all[0], ("s1", "b", 2, State::Terminating), all[2]]);
        close(&bench.parts(&spread, 2), [5.0 / 7.0, 0.0, 2.0 / 7.0]);
        assert_eq!(bench.draw(&spread, VIEW, 3), None, "the group has no db host in these zones");
        assert_eq!(bench.draw(&spread, ORDER, 2), None, "writes go where the primary is");
        assert_eq!(bench.draw(&table(""), VIEW, 2), None);
        close(&bench.parts(&table("route('r', zones = {'c': 1, 'a': 0})"), 2), [0.0, 0.0, 1.0]);
    }

    #[test]
    fn a_plan_s_row_of_the_own_zone_is_drawn_by_group_and_zones_without_a_db_host_fall_to_the_others() {
        use yewroute_federation::zones::GroupPlan;
        let ready = State::Ready;
        let all = [("s0", "a", 2, ready), ("s1", "b", 2, ready), ("s2", "c", 3, ready)];
        let mut bench = Bench::new(&all);
        let [a, b, c] = ["a", "b", "c"].map(|zone| bench.directory.stand(zone));
        let row = |group, row: &[(Stand, u16)]| {
            let row = row.iter().map(|(stand, part)| (stand.zone, *part)).collect();
            GroupPlan { group, rows: vec![(a.zone, row)], ..GroupPlan::default() }
        };
        let groups = vec![row(2, &[(a, 7_500), (b, 2_500)]), row(3, &[(a, 5_000), (c, 5_000)])];
        let plan = Arc::new(Plan { groups, ..Plan::default() });
        let mut draw =
            |origin: Stand, group| bench.shares.draw_by_plan(&plan, &bench.directory, origin.zone, group);
        let near = (0..10_000).filter(|_| draw(a, 2) == Some(a)).count();
        assert!((7_300..7_700).contains(&near), "{near}");
        assert_eq!((draw(a, 3), draw(a, 4)), (Some(c), None));
        bench.shares = Shares::new(1);
        assert_eq!(
            bench.shares.draw_by_plan(&plan, &bench.directory, b.zone, 2),
            None,
            "no row of that zone"
        );
    }

    #[test]
    fn the_most_specific_route_counts_as_in_the_table_itself_and_a_new_table_at_once() {
        let ready = State::Ready;
        let mut bench = Bench::new(&[
            ("s0", "a", 2, ready),
            ("s1", "b", 2, ready),
            ("s2", "c", 2, ready),
            ("s3", "d", 2, ready),
        ]);
        let mut lines = vec![
            "route('all', zones = {'a': 1})",
            "route('group', groups = [2], zones = {'b': 1})",
            "route('class', classes = ['view'], zones = {'c': 1})",
            "route('both', classes = ['view'], groups = [2], zones = {'d': 1})",
        ];
        for _ in 0..4 {
            let given = table(&lines.join("\n"));
            let zone = given.route("view", 2).unwrap().zones.keys().next().unwrap().clone();
            assert_eq!(bench.draw(&given, VIEW, 2), Some(bench.directory.stand(&zone)), "{lines:?}");
            lines.pop();
        }
        let again = |seed: u64| {
            let mut bench = Bench::new(&[("s0", "a", 2, ready), ("s1", "b", 2, ready)]);
            bench.shares = Shares::new(seed);
            let given = table("route('r', zones = {'a': 0.5, 'b': 0.5})");
            (0..64).map(|_| bench.draw(&given, VIEW, 2)).collect::<Vec<_>>()
        };
        assert!(again(3) == again(3) && again(3) != again(4), "by the seed alone");
    }
}
