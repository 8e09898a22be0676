//! What a steward has given and may do, without I/O: who may act by which version until when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use yewroute_table::Digest;

use super::Version;

/// A gateway's process: its name and which of its lives it is in.
pub type Life = (Box<str>, u64);

/// Processes there may be leases of; one over that gets none.
const MOST: usize = 16_384;

/// The leases that may still run, and what their holders have.
#[derive(Clone, Debug, Hash)]
pub struct Grants {
    /// How long a lease may run, as the steward counts it.
    lease: Duration,
    /// Leases that an earlier steward gave may run until then.
    unknown_until: Instant,
    /// For each holder the versions that it may act by, and until when.
    given: BTreeMap<Life, BTreeMap<u64, Instant>>,
    /// What each holder has said it holds.
    holds: BTreeMap<Life, BTreeSet<Digest>>,
    /// By nothing before this one anybody can act.
    settled: u64,
}

impl Grants {
    /// Those of a steward that begins now and knows nothing of the one before.
    #[must_use]
    pub fn new(now: Instant, lease: Duration) -> Self {
        Self { lease, unknown_until: now + lease, given: BTreeMap::new(), holds: BTreeMap::new(), settled: 0 }
    }

    /// Forgets what is surely over.
    fn sweep(&mut self, now: Instant) {
        self.given.retain(|_, versions| {
            versions.retain(|_, until| now < *until);
            !versions.is_empty()
        });
        // What somebody without a lease holds it will say again when it asks for one.
        if self.holds.len() > MOST / 2 {
            let given = &self.given;
            self.holds.retain(|life, _| given.contains_key(life));
        }
    }

    /// What a process says of itself: by what it acts no more, what it has seen settled, what it holds.
    pub fn heard(&mut self, now: Instant, life: &Life, acts: u64, settled: u64, holds: Vec<Digest>) {
        self.sweep(now);
        self.settled = self.settled.max(settled);
        if let Some(versions) = self.given.get_mut(life) {
            versions.retain(|version, _| *version >= acts);
        }
        if self.holds.len() < MOST || self.holds.contains_key(life) {
            self.holds.insert(life.clone(), holds.into_iter().collect());
        }
    }

    /// A process has fetched and checked a text.
    pub fn prepared(&mut self, life: &Life, digest: Digest) {
        if self.holds.len() < MOST || self.holds.contains_key(life) {
            self.holds.entry(life.clone()).or_default().insert(digest);
        }
    }

    /// Gives a lease for the version in force, counted from now on; false if the process does not hold its text.
    pub fn give(&mut self, now: Instant, life: &Life, version: Version) -> bool {
        let fits = self.given.len() < MOST || self.given.contains_key(life);
        let holds = self.holds.get(life).is_some_and(|holds| holds.contains(&version.digest));
        if fits && holds {
            self.given.entry(life.clone()).or_default().insert(version.number, now + self.lease);
        }
        fits && holds
    }

    /// A process holds a text.
    #[must_use]
    pub fn holds(&self, life: &Life, digest: Digest) -> bool {
        self.holds.get(life).is_some_and(|holds| holds.contains(&digest))
    }

    /// A process of this gateway holds a text.
    #[must_use]
    pub fn named_holds(&self, name: &str, digest: Digest) -> bool {
        self.holds.iter().any(|((other, _), holds)| **other == *name && holds.contains(&digest))
    }

    /// Those that may still act and do not hold the text.
    #[must_use]
    pub fn without(&self, now: Instant, digest: Digest) -> Vec<Life> {
        let runs = |versions: &BTreeMap<u64, Instant>| versions.values().any(|until| now < *until);
        let lacks =
            |(life, versions): &(&Life, &BTreeMap<u64, Instant>)| runs(versions) && !self.holds(life, digest);
        self.given.iter().filter(lacks).map(|(life, _)| life.clone()).collect()
    }

    /// Those that may act and hold the text.
    #[must_use]
    pub fn with(&self, now: Instant, digest: Digest) -> Vec<Life> {
        let runs = |versions: &BTreeMap<u64, Instant>| versions.values().any(|until| now < *until);
        let has =
            |(life, versions): &(&Life, &BTreeMap<u64, Instant>)| runs(versions) && self.holds(life, digest);
        self.given.iter().filter(has).map(|(life, _)| life.clone()).collect()
    }

    /// Every process that may act holds the text, and none may act that this steward does not know of.
    #[must_use]
    pub fn may_switch(&self, now: Instant, digest: Digest) -> bool {
        now >= self.unknown_until && self.without(now, digest).is_empty()
    }

    /// The newest version before which nobody can act any more, `in_force` being the one that leases are given for.
    pub fn settled(&mut self, now: Instant, in_force: u64) -> u64 {
        let older =
            |versions: &BTreeMap<u64, Instant>| versions.range(..in_force).any(|(_, until)| now < *until);
        if now >= self.unknown_until && !self.given.values().any(older) {
            self.settled = self.settled.max(in_force);
        }
        self.settled
    }

    /// When something that waits for leases to end may go on.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let ends = self.given.values().flat_map(BTreeMap::values).copied().chain([self.unknown_until]);
        ends.filter(|until| now < *until).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn version(number: u64) -> Version {
        Version { number, digest: Digest([u8::try_from(number).unwrap(); 32]) }
    }

    fn life(name: &str) -> Life {
        (name.into(), 1)
    }

    const LEASE: Duration = Duration::from_secs(3);

    #[test]
    fn a_new_steward_switches_nothing_while_leases_of_the_one_before_may_run() {
        let now = Instant::now();
        let mut grants = Grants::new(now, LEASE);
        grants.heard(now, &life("a"), 1, 0, vec![version(1).digest, version(2).digest]);
        assert!(grants.give(now, &life("a"), version(1)));
        assert!(!grants.may_switch(now + LEASE / 2, version(2).digest));
        assert_eq!(grants.settled(now + LEASE / 2, 1), 0);
        assert!(grants.may_switch(now + LEASE, version(2).digest));
        assert_eq!(grants.settled(now + LEASE, 1), 1);
        // One that has seen it settled is proof enough.
        let mut other = Grants::new(now, LEASE);
        other.heard(now, &life("a"), 1, 1, Vec::new());
        assert_eq!(other.settled(now, 1), 1);
    }

    #[test]
    fn one_that_has_not_prepared_holds_a_switch_up_for_its_lease_and_no_longer() {
        let now = Instant::now();
        let mut grants = Grants::new(now, LEASE);
        let later = now + 2 * LEASE;
        for name in ["a", "b"] {
            grants.heard(later, &life(name), 1, 1, vec![version(1).digest]);
            assert!(grants.give(later, &life(name), version(1)));
        }
        grants.prepared(&life("a"), version(2).digest);
        assert!(!grants.may_switch(later, version(2).digest));
        assert_eq!(grants.without(later, version(2).digest), [life("b")]);
        assert_eq!(grants.next(later), Some(later + LEASE));
        assert!(grants.may_switch(later + LEASE, version(2).digest));
        assert!(!grants.give(later + LEASE, &life("c"), version(2)), "no lease without the text");
    }

    #[test]
    fn a_lease_that_was_given_anew_and_not_heard_of_leaves_the_older_one_running() {
        let now = Instant::now();
        let mut grants = Grants::new(now, LEASE);
        let later = now + 2 * LEASE;
        grants.heard(later, &life("a"), 1, 1, vec![version(1).digest, version(2).digest]);
        assert!(grants.give(later, &life("a"), version(1)));
        let soon = later + LEASE / 3;
        assert!(grants.give(soon, &life("a"), version(2)));
        assert_eq!(grants.settled(soon, 2), 1, "the answer may be lost: it acts by the first");
        grants.heard(soon, &life("a"), 2, 1, vec![version(2).digest]);
        assert_eq!(grants.settled(soon, 2), 2, "it has said that it does not");
        // A later life of the same gateway says nothing of the one before.
        let mut twins = Grants::new(now, LEASE);
        twins.heard(later, &life("a"), 1, 1, vec![version(1).digest, version(2).digest]);
        twins.give(later, &life("a"), version(1));
        twins.heard(later, &("a".into(), 2), 2, 1, vec![version(2).digest]);
        assert_eq!(twins.settled(later, 2), 1);
        assert_eq!(twins.settled(later + LEASE, 2), 2);
    }
}
