//! The list of db hosts: their numbers, addresses and states.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use yewroute::interface::{Entry, GroupId, Phase, ServerId, Stand};
use yewroute_federation::zones::Cell;
use yewroute_fleet::name_number;

use super::Near;
use crate::clock::Clock;
use crate::proto::catalog::{Member, Members, Role, State};

/// One db host.
pub struct Listed {
    /// Where it is.
    pub addr: SocketAddr,
    /// It takes requests.
    pub serving: bool,
    /// Its group.
    pub group: u64,
    /// Its name as a number, for other gateways.
    pub name: u64,
    /// Its zone as a number, and as it is called.
    pub zone: u64,
    pub zone_name: Box<str>,
    /// When it started, as far as the list says; and as Unix time in milliseconds, 0 if long ago.
    pub started: Option<Instant>,
    started_ms: u64,
}

/// The list as it is held. A db host keeps its number while it is listed; numbers are never used again.
#[derive(Default)]
pub struct Directory {
    numbers: HashMap<String, ServerId>,
    members: HashMap<ServerId, Listed>,
    given: u32,
    version: u64,
    /// How often news were taken.
    changes: u64,
    /// Zones and their regions, by numbers; a zone that is not among them is in a region of its own.
    regions: HashMap<u64, u64>,
}

impl Directory {
    /// The version held.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What is known of a db host.
    pub fn member(&self, server: ServerId) -> Option<&Listed> {
        self.members.get(&server)
    }

    /// The names of all db hosts, with their numbers.
    pub fn names(&self) -> impl Iterator<Item = (&str, u64)> {
        self.numbers.keys().map(|name| (name.as_str(), name_number(name)))
    }

    /// All db hosts: numbers here, among gateways, and of their groups.
    pub fn hosts(&self) -> impl Iterator<Item = (ServerId, u64, u64)> + '_ {
        self.members.iter().map(|(server, listed)| (*server, listed.name, listed.group))
    }

    /// Zones by name, each with its region's.
    pub fn settle_regions(&mut self, near: &Near) {
        let number = |(zone, region): &(String, String)| (name_number(zone), name_number(region));
        self.regions = near.zones.iter().map(number).collect();
    }

    /// Where a zone is.
    pub fn stand(&self, zone: &str) -> Stand {
        self.stand_of(name_number(zone))
    }

    /// The same by the zone's number.
    pub fn stand_of(&self, zone: u64) -> Stand {
        Stand { zone, region: self.regions.get(&zone).copied().unwrap_or(zone) }
    }

    /// How many db hosts are listed.
    pub fn held(&self) -> usize {
        self.members.len()
    }

    /// How many of them take no requests.
    pub fn draining(&self) -> usize {
        self.members.values().filter(|member| !member.serving).count()
    }

    /// All groups that have a db host.
    pub fn groups(&self) -> Vec<u64> {
        let groups: BTreeSet<u64> = self.members.values().map(|member| member.group).collect();
        groups.into_iter().collect()
    }

    /// The lowest group that has a db host which takes requests.
    pub fn first_group(&self) -> Option<u64> {
        self.members.values().filter(|member| member.serving).map(|member| member.group).min()
    }

    /// How often news were taken.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The group and zone of each db host that takes requests.
    pub fn served(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let serving = self.members.values().filter(|member| member.serving);
        serving.map(|member| (member.group, member.zone))
    }

    /// What zones are called in which db hosts stand.
    pub fn zone_names(&self) -> impl Iterator<Item = (u64, Box<str>)> + '_ {
        self.members.values().map(|member| (member.zone, member.zone_name.clone()))
    }

    /// The db hosts of each group in each zone; those that started less than `cold` ago are cold, each by what is left of it.
    pub fn cells(&self, now: Instant, cold: Duration) -> Vec<Cell> {
        let mut cells = BTreeMap::new();
        for member in self.members.values().filter(|member| member.serving) {
            let (group, zone) = (member.group, member.zone);
            let cell = cells.entry((group, zone)).or_insert(Cell { group, zone, hosts: 0, cold: 0.0 });
            let age = member.started.map_or(cold, |at| now.saturating_duration_since(at));
            cell.hosts += 1;
            cell.cold += if cold.is_zero() { 0.0 } else { 1.0 - age.div_duration_f64(cold).min(1.0) };
        }
        cells.into_values().collect()
    }

    /// Takes news and gives the entries as the module has them.
    pub fn learn(&mut self, now: Instant, news: &Members, clock: &Clock) -> Vec<Entry> {
        self.version = news.version;
        self.changes += 1;
        if news.full {
            // Who is not in a full list is gone.
            let listed: HashSet<&str> = news.servers.iter().map(|member| member.id.as_str()).collect();
            let Self { numbers, members, .. } = self;
            numbers.retain(|id, server| listed.contains(id.as_str()) || members.remove(server).is_none());
        }
        let mut entries = Vec::with_capacity(news.servers.len());
        for member in &news.servers {
            entries.extend(self.moved(now, member, clock));
            entries.extend(self.entry(now, member, clock));
        }
        entries
    }

    /// When each db host started by a clock that has been corrected; those that started long ago are left out.
    pub fn restarted(&mut self, now: Instant, clock: &Clock) -> Vec<(ServerId, Instant)> {
        let mut starts = Vec::new();
        for (server, listed) in &mut self.members {
            listed.started = started(now, listed.started_ms, clock);
            starts.extend(listed.started.map(|at| (*server, at)));
        }
        starts.sort_by_key(|(server, _)| *server);
        starts
    }

    /// Guards against: requests of a set that go to a db host which has become one of another. To the module it is
    /// another one from then on.
    fn moved(&mut self, now: Instant, member: &Member, clock: &Clock) -> Option<Entry> {
        let held = self.members.get(self.numbers.get(&member.id)?)?;
        let (cell, addr) = (held.group, held.addr);
        if cell == member.cell {
            return None;
        }
        self.entry(now, &Member { cell, addr, state: State::Gone, ..member.clone() }, clock)
    }

    /// Guards against: a table that grows with every db host there ever was. One that is gone is told of and
    /// dropped; nothing is told of one that was never listed.
    fn entry(&mut self, now: Instant, member: &Member, clock: &Clock) -> Option<Entry> {
        let gone = member.state == State::Gone;
        let server = match self.numbers.get(&member.id).copied() {
            Some(server) => server,
            None if gone => return None,
            None => {
                self.given = self.given.checked_add(1).expect("far fewer db hosts");
                let server = ServerId(self.given - 1);
                self.numbers.insert(member.id.clone(), server);
                server
            }
        };
        if gone {
            self.numbers.remove(&member.id);
            self.members.remove(&server);
        } else {
            let serving = member.state == State::Ready;
            let name = name_number(&member.id);
            let (addr, group, zone) = (member.addr, member.cell, self.stand(&member.zone).zone);
            let started_ms = member.started_ms;
            let started = started(now, started_ms, clock);
            let zone_name = member.zone.as_str().into();
            let listed = Listed { addr, serving, group, name, zone, zone_name, started, started_ms };
            self.members.insert(server, listed);
        }
        Some(Entry {
            server,
            group: GroupId(member.cell),
            started: started(now, member.started_ms, clock),
            primary: member.role == Some(Role::Primary),
            stand: self.stand(&member.zone),
            phase: match member.state {
                State::Ready => Phase::Serving,
                State::Terminating => Phase::Draining,
                State::Gone => Phase::Gone,
            },
        })
    }
}

fn started(now: Instant, started_ms: u64, clock: &Clock) -> Option<Instant> {
    Some(started_ms).filter(|ms| *ms != 0).and_then(|ms| clock.past(now, ms))
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::*;

    fn members(full: bool, ids: &[(&str, State)]) -> Members {
        let member = |(id, state): &(&str, State)| Member {
            id: (*id).to_owned(),
            addr: "127.0.0.1:9".parse().unwrap(),
            cell: 2,
            state: *state,
            zone: String::new(),
            started_ms: 0,
            role: None,
        };
        Members { version: 1, full, servers: ids.iter().map(member).collect() }
    }

    #[test]
    fn who_is_gone_or_left_out_of_a_full_list_is_dropped_and_comes_back_under_another_number() {
        let now = Instant::now();
        let clock = Clock::at(now, std::time::Duration::ZERO);
        let mut held = Directory::default();
        let first =
            held.learn(now, &members(true, &[("a", State::Ready), ("b", State::Terminating)]), &clock);
        assert_eq!(first.len(), 2);
        assert!(held.open(first[0].server).is_some() && held.open(first[1].server).is_none());
        let gone = held.learn(now, &members(false, &[("a", State::Gone), ("never", State::Gone)]), &clock);
        assert_eq!(
            gone.iter().map(|e| (e.server, e.phase)).collect::<Vec<_>>(),
            [(first[0].server, Phase::Gone)]
        );
        assert!(held.member(first[0].server).is_none());
        let again = held.learn(now, &members(true, &[("a", State::Ready)]), &clock);
        assert_ne!(again[0].server, first[0].server);
        assert!(held.member(first[1].server).is_none(), "left out of a full list");
        let mut moved = members(false, &[("a", State::Ready)]);
        moved.servers[0].cell = 3;
        let [old, new] = &held.learn(now, &moved, &clock)[..] else {
            panic!("gone from one set, new in the other")
        };
        assert_eq!((old.server, old.phase, old.group), (again[0].server, Phase::Gone, GroupId(2)));
        assert_eq!((new.phase, new.group), (Phase::Serving, GroupId(3)));
        for n in 0..1000 {
            let id = format!("r{n}");
            for state in [State::Ready, State::Gone] {
                held.learn(now, &members(false, &[(&id, state)]), &clock);
            }
        }
        assert_eq!((held.members.len(), held.numbers.len()), (1, 1));
    }
}
