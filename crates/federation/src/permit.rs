//! What may be sent, and until when: a permit that is looked at right before the byte, and the leases that it follows from.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Instant;

static BEGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Until when something, such as a channel's request, may be sent: looked at right before its first byte.
#[derive(Clone, Debug, Default)]
pub struct Permit(Arc<AtomicU64>);

impl PartialEq for Permit {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Permit {
    /// One that runs until then.
    #[must_use]
    pub fn until(until: Option<Instant>) -> Self {
        let permit = Self::default();
        permit.set(until);
        permit
    }

    /// It runs until then, or no more.
    pub fn set(&self, until: Option<Instant>) {
        let micros = until.map_or(0, |until| until.saturating_duration_since(*BEGIN).as_micros());
        self.0.store(u64::try_from(micros).unwrap_or(u64::MAX), Ordering::Release);
    }

    /// It runs at `now`.
    #[must_use]
    pub fn runs(&self, now: Instant) -> bool {
        let now = now.saturating_duration_since(*BEGIN).as_micros();
        now < u128::from(self.0.load(Ordering::Acquire))
    }
}

/// This gateway's leases with holders, by its own count. A lease that has ended and is had again is another one: what was
/// granted under the first may have gone to somebody else.
#[derive(Debug, Default)]
pub struct Leases(BTreeMap<Box<str>, Lease>);

#[derive(Debug)]
struct Lease {
    life: u64,
    term: u64,
    until: Instant,
}

impl Leases {
    /// A holder, in one of its lives, has answered; asked at a time, for so long. Gives the lease's term.
    pub fn note(&mut self, now: Instant, holder: &str, life: u64, until: Instant) -> u64 {
        let lease = self.0.entry(holder.into()).or_insert(Lease { life, term: 0, until });
        if lease.life != life || lease.until <= now {
            (lease.life, lease.term, lease.until) = (life, lease.term + 1, until);
        }
        lease.until = lease.until.max(until);
        lease.term
    }

    /// Until when most of the holders have granted.
    #[must_use]
    pub fn until(&self, granted: &BTreeMap<Box<str>, u64>, holders: usize) -> Option<Instant> {
        let runs = |(holder, term): (_, &u64)| {
            let lease: Option<&Lease> = self.0.get::<Box<str>>(holder);
            lease.filter(|lease| lease.term == *term).map(|lease| lease.until)
        };
        let mut untils: Vec<Instant> = granted.iter().filter_map(runs).collect();
        untils.sort_unstable_by(|a, b| b.cmp(a));
        untils.get(most(holders) - 1).copied()
    }

    /// What was granted under this lease still counts.
    #[must_use]
    pub fn counts(&self, holder: &str, term: u64) -> bool {
        self.0.get(holder).is_some_and(|lease| lease.term == term)
    }
}

/// How many of so many holders are most of them.
#[must_use]
pub fn most(holders: usize) -> usize {
    holders / 2 + 1
}
