//! What this gateway has to do with db hosts and groups, as it tells the others: counted as it happens, told now and then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::facts::{Facts, Subject, Value};

/// How often rows are written.
const SAID_EVERY: Duration = Duration::from_secs(2);
/// How often that of a group is whose primary is the same.
const SET_SAID_EVERY: Duration = Duration::from_secs(10);
/// Rows of hosts in the whole fleet that are aimed at, and those of one gateway at the least and the most: the larger the
/// fleet, the fewer each tells, those first that it has sent most to.
const OF_ALL: usize = 8_192;
const OF_ONE: (usize, usize) = (4, 512);
/// Weight of the newest answer in the mean time.
const NEWEST: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    sent: u64,
    ended: u64,
    answered: u64,
    took_us: f64,
    /// Sent when its row was written last.
    said: u64,
}

#[derive(Clone, Copy, Debug)]
struct Set {
    primary: u64,
    position_ms: u64,
    at: Instant,
    /// Which primary was told last, and when.
    said: Option<(u64, Instant)>,
}

/// What an attempt at a db host came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct End {
    /// The db host, by [`name_number`](crate::name_number).
    pub host: u64,
    /// Its group.
    pub group: u64,
    /// How long it took, if there was an answer.
    pub answered: Option<Duration>,
    /// It proved itself the primary.
    pub primary: bool,
    /// The newest position it proved, as Unix time in milliseconds.
    pub position_ms: Option<u64>,
}

/// Counts of this gateway's own.
#[derive(Debug)]
pub struct Loads {
    hosts: BTreeMap<u64, Host>,
    sets: BTreeMap<u64, Set>,
    say_at: Instant,
}

impl Loads {
    /// Nothing has been sent yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { hosts: BTreeMap::new(), sets: BTreeMap::new(), say_at: now + SAID_EVERY }
    }

    /// An attempt goes out.
    pub fn sent(&mut self, host: u64) {
        self.hosts.entry(host).or_default().sent += 1;
    }

    /// An attempt, or a probe that was not counted as sent, has come to its end.
    pub fn ended(&mut self, now: Instant, end: &End, counted: bool) {
        if counted {
            let host = self.hosts.entry(end.host).or_default();
            host.ended += 1;
            if let Some(took) = end.answered {
                host.answered += 1;
                let took = took.as_secs_f64() * 1e6;
                let weight = if host.answered == 1 { 1.0 } else { NEWEST };
                host.took_us += (took - host.took_us) * weight;
            }
        }
        let known = self.sets.get(&end.group);
        let position_ms = end.position_ms.unwrap_or(0).max(known.map_or(0, |set| set.position_ms));
        let said = known.and_then(|set| set.said);
        // Guards against: an answer that was held back since before its db host was replaced.
        let newest = end.position_ms.is_none_or(|at| known.is_none_or(|set| at >= set.position_ms));
        if end.primary && newest {
            self.sets.insert(end.group, Set { primary: end.host, position_ms, at: now, said });
        } else if let Some(set) = self.sets.get_mut(&end.group) {
            set.position_ms = position_ms;
        }
    }

    /// Forgets db hosts and groups that are not listed any more.
    pub fn keep(&mut self, listed: impl Fn(u64) -> bool) {
        self.hosts.retain(|host, _| listed(*host));
        self.sets.retain(|_, set| listed(set.primary));
    }

    /// When rows are written next.
    #[must_use]
    pub fn next(&self) -> Instant {
        self.say_at
    }

    /// The rows that are due, in a fleet of so many.
    pub fn say(&mut self, now: Instant, members: usize) -> Vec<(Subject, Value)> {
        if now < self.say_at {
            return Vec::new();
        }
        self.say_at = now + SAID_EVERY;
        let room = (OF_ALL / members.max(1)).clamp(OF_ONE.0, OF_ONE.1);
        let mut busy: Vec<(u64, u64)> =
            self.hosts.iter().map(|(number, host)| (host.sent - host.said, *number)).collect();
        busy.sort_unstable_by(|one, other| other.cmp(one));
        let mut rows = Vec::new();
        for (_, number) in busy.into_iter().take(room) {
            let Some(host) = self.hosts.get_mut(&number) else { continue };
            host.said = host.sent;
            let outstanding = u32::try_from(host.sent - host.ended.min(host.sent)).unwrap_or(u32::MAX);
            let value = Value::Host {
                outstanding,
                sent: host.sent,
                answered: host.answered,
                // Coarse enough that one which stays as it was is not told anew.
                took_us: (host.took_us / 100.0).round() as u32 * 100,
            };
            rows.push((Subject::Host(number), value));
        }
        for (group, set) in &mut self.sets {
            let told = |(primary, at): (u64, Instant)| primary == set.primary && now < at + SET_SAID_EVERY;
            if set.said.is_some_and(told) {
                continue;
            }
            set.said = Some((set.primary, now));
            let age_ms = u32::try_from(now.saturating_duration_since(set.at).as_millis()).unwrap_or(u32::MAX);
            let value =
                Value::Set { primary: set.primary, position_ms: set.position_ms, proven_s: age_ms / 1_000 };
            rows.push((Subject::Set(*group), value));
        }
        rows
    }
}

/// What all that have told of a db host have to do with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// How many have told.
    pub tellers: u64,
    /// Attempts out there.
    pub outstanding: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Answers.
    pub answered: u64,
    /// Microseconds to an answer: the mean, by answers.
    pub took_us: u64,
}

/// What is known of a group of db hosts by all together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The db host that proved itself the primary last.
    pub primary: u64,
    /// The newest position that anybody has proven.
    pub position_ms: u64,
    /// How long ago the primary proved itself.
    pub age_ms: u64,
}

/// All rows about db hosts and groups put together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// By db host.
    pub hosts: BTreeMap<u64, Load>,
    /// By group.
    pub sets: BTreeMap<u64, Known>,
}

/// Puts together what all gateways have told.
#[must_use]
pub fn sum(facts: &Facts, now: Instant) -> Sums {
    let mut sums = Sums::default();
    for (subject, value, age) in facts.iter(now) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        match (subject, value) {
            (Subject::Host(number), Value::Host { outstanding, sent, answered, took_us }) => {
                let load = sums.hosts.entry(number).or_default();
                let answers = load.answered.saturating_add(*answered).max(1);
                let took = u128::from(load.took_us) * u128::from(load.answered)
                    + u128::from(*took_us) * u128::from(*answered);
                load.took_us = u64::try_from(took / u128::from(answers)).unwrap_or(u64::MAX);
                load.tellers += 1;
                load.outstanding += u64::from(*outstanding);
                load.sent = load.sent.saturating_add(*sent);
                load.answered = load.answered.saturating_add(*answered);
            }
            (Subject::Set(group), Value::Set { primary, position_ms, proven_s }) => {
                let age_ms = age_ms.saturating_add(u64::from(*proven_s) * 1_000);
                let known = Known { primary: *primary, position_ms: *position_ms, age_ms };
                let held = sums.sets.entry(group).or_insert(known);
                let position_ms = held.position_ms.max(*position_ms);
                if known.age_ms < held.age_ms {
                    *held = known;
                }
                held.position_ms = position_ms;
            }
            _ => {}
        }
    }
    sums
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_are_told_busiest_first_and_the_fewer_the_larger_the_fleet() {
        let start = Instant::now();
        let mut loads = Loads::new(start);
        for host in 1..=100_u64 {
            (0..host).for_each(|_| loads.sent(host));
            let end = End { host, group: 3, answered: Some(Duration::from_millis(2)), ..End::default() };
            loads.ended(start, &end, true);
        }
        assert!(loads.say(start, 1).is_empty(), "not due yet");
        let due = start + SAID_EVERY;
        let rows = loads.say(due, 2_000);
        let value = Value::Host { outstanding: 99, sent: 100, answered: 1, took_us: 2_000 };
        assert_eq!((rows.len(), &rows[0]), (OF_ONE.0, &(Subject::Host(100), value)));
        // Then those that were left out.
        let rows = loads.say(due + SAID_EVERY, 2_000);
        assert_eq!(rows[0].0, Subject::Host(96));
        assert_eq!(loads.say(due + 3 * SAID_EVERY, 1).len(), 100);
        loads.keep(|host| host <= 10);
        assert_eq!(loads.say(due + 5 * SAID_EVERY, 1).len(), 10);
    }

    #[test]
    fn what_all_tell_is_put_together() {
        let (mut facts, start) = (Facts::default(), Instant::now());
        let later = start + Duration::from_secs(4);
        let host =
            |outstanding, sent, answered, took_us| Value::Host { outstanding, sent, answered, took_us };
        let set = |primary, position_ms, proven_s| Value::Set { primary, position_ms, proven_s };
        // The owner, what about, what it says, and when.
        let rows = [
            (1, Subject::Host(8), host(2, 10, 8, 1_000), start),
            (2, Subject::Host(8), host(1, 3, 2, 6_000), start),
            (2, Subject::Host(9), host(0, 4, 0, 0), start),
            (1, Subject::Set(3), set(8, 500, 1), start),
            (2, Subject::Set(3), set(9, 400, 0), later),
        ];
        for (owner, subject, value, at) in rows {
            facts.write(at, owner, 1, subject, value, 1);
        }
        let sums = sum(&facts, later);
        let load = |tellers, outstanding, sent, answered, took_us| Load {
            tellers,
            outstanding,
            sent,
            answered,
            took_us,
        };
        assert_eq!(sums.hosts, [(8, load(2, 3, 13, 10, 2_000)), (9, load(1, 0, 4, 0, 0))].into());
        assert_eq!(sums.sets, [(3, Known { primary: 9, position_ms: 500, age_ms: 0 })].into());
    }

    #[test]
    fn a_group_s_primary_is_the_last_that_proved_it_and_its_position_never_goes_back() {
        let start = Instant::now();
        let mut loads = Loads::new(start);
        let told = |loads: &mut Loads, at: u64| {
            let rows = loads.say(start + SAID_EVERY + Duration::from_secs(at), 1);
            rows.into_iter().find(|(subject, _)| *subject == Subject::Set(3)).map(|(_, value)| value)
        };
        // Which host says what, and what is told then: primary, position, age in seconds.
        let steps = [
            ((1, false, Some(5_000)), None),
            ((2, true, Some(9_000)), Some((2, 9_000, 12))),
            ((1, false, Some(8_000)), Some((2, 9_000, 22))),
            ((4, true, None), Some((4, 9_000, 12))),
            ((2, true, Some(8_900)), Some((4, 9_000, 22))),
        ];
        let mut at = 0;
        for ((host, primary, position_ms), wanted) in steps {
            let now = start + Duration::from_secs(at);
            loads.ended(now, &End { host, group: 3, primary, position_ms, answered: None }, false);
            at += 10;
            let wanted =
                wanted.map(|(primary, position_ms, proven_s)| Value::Set { primary, position_ms, proven_s });
            assert_eq!(told(&mut loads, at), wanted, "after {at} s");
        }
    }
}
