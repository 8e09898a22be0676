//! Who may hold what others have in hand, such as channels: one list of gateways for all, so that no two claims can reach most
//! of two different sets.
//!
//! The steward gives it under leases, as it does with versions of the table. A list follows another only once every lease
//! for the one before is surely over; a gateway that goes is dropped late, as a gateway that restarts is the same holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::bridge::Acting;
use crate::peers::Member;

/// One life of a gateway.
pub type Life = (Box<str>, u64);

/// A gateway that has gone is a holder for so long; one that has come becomes one after so long.
const GONE_AFTER: Duration = Duration::from_secs(60);
const COME_AFTER: Duration = Duration::from_secs(1);

/// A list's number, and the steward that made it.
pub type Number = (u64, Box<str>);

/// Gateways that may hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Which list, and whose: no steward gives the number of another's list a second time.
    pub number: Number,
    /// Their names and zones.
    pub members: Vec<(Box<str>, Box<str>)>,
}

fn score(gateway: &str, name: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(gateway.as_bytes()).update(&[0]).update(name);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

impl Roster {
    /// The gateways that hold what has this name, such as a channel: by rendezvous, of as many zones as there are.
    #[must_use]
    pub fn holders(&self, name: &[u8], keep: usize) -> Vec<Box<str>> {
        let mut left: Vec<_> =
            self.members.iter().map(|(gateway, zone)| (score(gateway, name), gateway, zone)).collect();
        left.sort_unstable_by(|a, b| b.cmp(a));
        let mut taken: Vec<Box<str>> = Vec::new();
        while taken.len() < keep && !left.is_empty() {
            let mut zones = BTreeSet::new();
            left.retain(|(_, name, zone)| {
                let takes = taken.len() < keep && zones.insert(*zone);
                if takes {
                    taken.push((*name).clone());
                }
                !takes
            });
        }
        taken
    }
}

/// The list as a gateway goes by it, for all tasks: in [`crate::bridge::Shared`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The list.
    pub roster: Roster,
    /// Nobody goes by the one before any more.
    pub settled: bool,
    /// Until when it may be gone by.
    pub until: Instant,
}

impl Listed {
    /// Until when this gateway may act by the list as a holder, or for what is held: under this lease and the table's.
    #[must_use]
    pub fn acts_until(&self, acting: &Acting, now: Instant) -> Option<Instant> {
        let until = acting.until.filter(|_| acting.acts_alone(now))?;
        (self.settled && self.until > now).then(|| until.min(self.until))
    }
}

/// What a gateway has of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Had {
    /// The list.
    pub roster: Roster,
    /// Its lease runs.
    pub runs: bool,
    /// Nobody goes by the one before any more.
    pub settled: bool,
}

/// The steward's side.
pub struct Giver {
    since: Instant,
    over: Duration,
    roster: Option<Roster>,
    settled: bool,
    /// Who goes by which list, until when.
    given: BTreeMap<Life, (Number, Instant)>,
    /// Since when a gateway is there, and since when it is not.
    come: BTreeMap<Box<str>, Instant>,
    gone: BTreeMap<Box<str>, Instant>,
}

impl Giver {
    /// Of one that has just become steward; `over` is when a lease is surely over.
    #[must_use]
    pub fn new(now: Instant, over: Duration) -> Self {
        Self {
            since: now,
            over,
            roster: None,
            settled: false,
            given: BTreeMap::new(),
            come: BTreeMap::new(),
            gone: BTreeMap::new(),
        }
    }

    /// A gateway asks: the list that it goes by from now on, and whether that is settled.
    pub fn asked(
        &mut self,
        now: Instant,
        members: &[Member],
        from: (&str, u64),
        had: Option<Had>,
    ) -> Option<(Roster, bool)> {
        self.given.retain(|_, (_, until)| *until > now);
        let from = (from.0.into(), from.1);
        if let Some(had) = &had {
            let newer = self.roster.as_ref().is_none_or(|roster| roster.number < had.roster.number);
            if newer {
                (self.roster, self.settled) = (Some(had.roster.clone()), had.settled);
            }
        }
        // Until no lease of the steward before runs, what runs is renewed as it is.
        if now < self.since + self.over {
            let had = had.filter(|had| had.runs)?;
            self.given.insert(from, (had.roster.number.clone(), now + self.over));
            return Some((had.roster, had.settled));
        }
        self.follow(now, members);
        let roster = self.roster.clone()?;
        let older = self.given.iter().any(|(who, (number, _))| *number != roster.number && *who != from);
        self.settled |= !older;
        self.given.insert(from, (roster.number.clone(), now + self.over));
        Some((roster, self.settled))
    }

    /// Makes the next list if gateways have come or gone for good, and the one before is settled.
    fn follow(&mut self, now: Instant, members: &[Member]) {
        let here: BTreeMap<Box<str>, Box<str>> =
            members.iter().map(|m| (m.name.clone(), m.zone.clone())).collect();
        self.come.retain(|name, _| here.contains_key(name));
        for name in here.keys() {
            self.come.entry(name.clone()).or_insert(now);
        }
        let listed: BTreeMap<Box<str>, Box<str>> =
            self.roster.iter().flat_map(|roster| roster.members.iter().cloned()).collect();
        self.gone.retain(|name, _| listed.contains_key(name) && !here.contains_key(name));
        for name in listed.keys().filter(|name| !here.contains_key(*name)) {
            self.gone.entry(name.clone()).or_insert(now);
        }
        let mut next = listed.clone();
        next.retain(|name, _| self.gone.get(name).is_none_or(|since| now - *since < GONE_AFTER));
        let come = here.into_iter().filter(|(name, _)| now - self.come[name] >= COME_AFTER);
        next.extend(come.filter(|(name, _)| !listed.contains_key(name)));
        if next != listed && (self.settled || self.roster.is_none()) {
            let number = self.roster.as_ref().map_or(1, |roster| roster.number.0 + 1);
            let by = members.first().map(|me| me.name.clone()).unwrap_or_default();
            self.roster = Some(Roster { number: (number, by), members: next.into_iter().collect() });
            self.settled = false;
        }
    }
}
