//! What a steward may do at a moment, without I/O: what it asks the log for, and what it answers those that want a lease.

use std::time::Instant;

use super::grants::{Grants, Life};
use super::{Entry, Ruling, Version};

/// What one who asks for a lease gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// Nothing now.
    NotNow,
    /// It is to fetch this first.
    Learn(Version),
    /// A lease for the version in force.
    Given,
}

/// One stewardship's knowledge of the log.
#[derive(Clone, Debug, Default, Hash)]
pub struct Lead {
    /// Where the version in force stands in the log.
    pub place: (u64, u64),
    /// The version in force.
    pub in_force: Version,
    /// This steward wrote it there: nothing that an earlier one asked for can come to hold any more.
    pub fenced: bool,
    /// The log is another group's than the one that the version in force was written in: what was decided last may be lost.
    pub new_group: bool,
    /// A decision asked for: its ticket, and the version it writes.
    pub asked: Option<(u64, Version)>,
}

impl Lead {
    /// Takes over what the log says, where it is newer than what is known; the version in force, if that is another now.
    pub fn looks(&mut self, place: (u64, u64), entry: &Entry, me: &Life) -> Option<Version> {
        if place <= self.place {
            return None;
        }
        self.place = place;
        // Written by another, or by this one in an earlier stewardship: it is written anew before anything is done.
        self.fenced = self.fenced && entry.by == *me;
        self.comes_into_force(entry.version)
    }

    /// What came of a decision that was asked for, if it is the one; the version in force, if that is another now.
    pub fn ruled(&mut self, ticket: u64, ruling: Ruling) -> Option<Version> {
        let (_, version) = self.asked.take_if(|(asked, _)| *asked == ticket)?;
        match ruling {
            Ruling::Holds(place) => {
                self.new_group |= self.place.0 > 0 && place.0 > self.place.0;
                self.place = self.place.max(place);
                self.fenced = true;
                self.comes_into_force(version)
            }
            // It may hold, or come to: the log is looked at again, and the version in force written anew.
            Ruling::Not | Ruling::Unknown => {
                self.fenced = false;
                None
            }
        }
    }

    fn comes_into_force(&mut self, version: Version) -> Option<Version> {
        (std::mem::replace(&mut self.in_force, version) != version).then_some(version)
    }

    /// What the log is to be asked for now: the version in force, written anew, or the next one once all that may act by
    /// another have prepared.
    #[must_use]
    pub fn wants(&self, at: Instant, grants: &Grants, road: Option<Version>) -> Option<Version> {
        if self.asked.is_some() {
            return None;
        }
        if !self.fenced {
            return Some(self.in_force);
        }
        road.filter(|next| grants.may_switch(at, next.digest))
    }

    /// Answers one that wants a lease, and gives it.
    pub fn lease(&self, at: Instant, grants: &mut Grants, life: &Life) -> Lease {
        if !self.fenced || self.in_force.number == 0 {
            return Lease::NotNow;
        }
        // A version that may be decided at any moment: nobody without it gets a lease, which could outlast the decision.
        let deciding = self.asked.map(|(_, version)| version).filter(|version| *version != self.in_force);
        if let Some(next) = deciding.filter(|next| !grants.holds(life, next.digest)) {
            return Lease::Learn(next);
        }
        if grants.give(at, life, self.in_force) {
            Lease::Given
        } else {
            Lease::Learn(self.in_force)
        }
    }
}
