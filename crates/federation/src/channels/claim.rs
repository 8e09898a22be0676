//! Claims: what holders grant, and how a gateway becomes a channel's home.
//!
//! A home may send under leases of most of the channel's holders. A holder's lease is for a gateway, so that renewing it costs
//! the same for one channel as for ten thousand; which channels it is for, the holder's records say.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cursor::{Aged, Cursor, Out};
pub use crate::roster::Life;

/// The longest name of a channel, in bytes.
pub const LONGEST_NAME: usize = 64;
/// Records that a holder keeps, and bytes of them.
const MOST_RECORDS: usize = 100_000;
const MOST_BYTES: usize = 48 * 1024 * 1024;
/// Claims of one channel whose first requests are remembered.
const MOST_FIRST: usize = 4;
/// Bytes of one page of records for a holder that has lost its own.
const PAGE: usize = 128 * 1024;

/// So long ago that no window reaches back to it.
const NEVER: Duration = Duration::from_secs(365 * 86_400);

/// What a gateway asks a holder for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The channel.
    pub channel: Vec<u8>,
    /// Higher than any that was granted.
    pub epoch: u64,
    /// The home of this epoch, or of one before it, has let the channel go.
    pub released: u64,
    /// What the home before told.
    pub cursor: Option<Cursor>,
    /// What is to be sent first.
    pub first: Option<Out>,
}

/// What the holder says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Granted {
    /// It is granted.
    Yes {
        /// What is held.
        cursor: Option<Box<Cursor>>,
        /// What the home before was to send first, with its epoch.
        first: Option<(u64, Out)>,
        /// The epoch before, if its home is lost: its lease is over and it has not let the channel go.
        lost: Option<u64>,
    },
    /// Its home's lease runs.
    Busy {
        /// The home.
        home: Life,
        /// Its epoch.
        epoch: u64,
        /// For how long.
        left: Duration,
    },
    /// As high an epoch has been granted.
    Low(u64),
    /// This gateway cannot tell: it has started lately, or has no lease to act by.
    Unsure(Duration),
    /// It has no room.
    Full,
}

#[derive(Clone)]
struct Record {
    epoch: u64,
    home: Option<Life>,
    aged: Option<Aged>,
    /// What homes since the cursor's own were to send first.
    first: Vec<(u64, Out, Instant)>,
    /// The epoch of a home that was lost and of which the cursor may know too little.
    lost: Option<u64>,
    /// When it was last touched.
    at: Instant,
}

impl Record {
    fn bytes(&self) -> usize {
        size_of::<Self>() + self.aged.as_ref().map_or(0, |aged| aged.told().bytes())
    }

    fn learn(&mut self, now: Instant, cursor: Cursor) {
        if self.aged.as_ref().is_none_or(|aged| aged.version() < cursor.version) {
            self.first.retain(|(epoch, ..)| *epoch > cursor.version.0);
            self.lost = self.lost.filter(|lost| *lost >= cursor.version.0);
            self.aged = Some(Aged::new(now, cursor));
        }
    }

    /// It is needed no more once it has been at rest for as long as its contract keeps it.
    fn useless_at(&self) -> Instant {
        self.at + self.aged.as_ref().map_or(Duration::from_secs(60), |aged| aged.told().rule.keep)
    }
}

/// What this gateway holds for others.
#[derive(Clone)]
pub struct Holder {
    /// A lease as the holder counts it.
    over: Duration,
    /// Guards against: a lease of the life before that still runs.
    from: Instant,
    records: BTreeMap<Vec<u8>, Record>,
    bytes: usize,
    leases: HashMap<Life, Instant>,
}

/// A record for another holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Copied {
    /// The channel.
    pub channel: Vec<u8>,
    epoch: u64,
    home: Option<(Life, Duration)>,
    cursor: Option<Cursor>,
    first: Option<(u64, Out)>,
    lost: Option<u64>,
}

impl Holder {
    /// One that has just started: it grants nothing until what it may have granted in a life before is over.
    #[must_use]
    pub fn new(now: Instant, over: Duration) -> Self {
        Self { over, from: now + over, records: BTreeMap::new(), bytes: 0, leases: HashMap::new() }
    }

    /// Channels held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes that the records take, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn lease(&self, now: Instant, home: Option<&Life>) -> Duration {
        let until = home.and_then(|home| self.leases.get(home));
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn change(&mut self, channel: &[u8], now: Instant, change: impl FnOnce(&mut Record)) {
        let fresh = || Record { epoch: 0, home: None, aged: None, first: Vec::new(), lost: None, at: now };
        let record = self.records.entry(channel.to_vec()).or_insert_with(fresh);
        let before = if record.epoch == 0 { 0 } else { record.bytes() };
        change(record);
        record.at = now;
        self.bytes = self.bytes + record.bytes() - before;
    }

    /// Answers a claim.
    pub fn claim(&mut self, now: Instant, from: &Life, claim: Claim) -> Granted {
        if now < self.from {
            return Granted::Unsure(self.from - now);
        }
        if claim.channel.len() > LONGEST_NAME {
            return Granted::Full;
        }
        let record = self.records.get(&claim.channel);
        let (epoch, home) = record.map_or((0, None), |record| (record.epoch, record.home.clone()));
        let left = self.lease(now, home.as_ref());
        let other = home.clone().filter(|home| home != from && !left.is_zero() && epoch > claim.released);
        if let Some(home) = other {
            return Granted::Busy { home, epoch, left };
        }
        if claim.epoch <= epoch {
            return Granted::Low(epoch);
        }
        let full = self.records.len() >= MOST_RECORDS || self.bytes >= MOST_BYTES;
        if record.is_none() && full && !self.make_room(now) {
            return Granted::Full;
        }
        let lost = home.is_some_and(|home| home != *from && epoch > claim.released).then_some(epoch);
        let mut told = None;
        self.change(&claim.channel, now, |record| {
            (record.epoch, record.home) = (claim.epoch, Some(from.clone()));
            if let Some(cursor) = claim.cursor {
                record.learn(now, cursor);
            }
            let cursor = record.aged.as_mut().map(|aged| Box::new(aged.now(now).clone()));
            let first = record.first.first();
            let first = first.map(|(epoch, out, at)| (*epoch, Out { age: out.age + (now - *at), ..*out }));
            // Guards against: a claim that is given up and takes the news of a lost home with it.
            record.lost = record.lost.max(lost);
            told = Some((cursor, first, record.lost));
            record.first.extend(claim.first.map(|out| (claim.epoch, out, now)));
            record.first.truncate(MOST_FIRST);
        });
        self.leases.insert(from.clone(), now + self.over);
        let (cursor, first, lost) = told.unwrap_or_default();
        Granted::Yes { cursor, first, lost }
    }

    /// A home tells how its channel stands; or lets it go. True if nobody has claimed it since.
    pub fn put(&mut self, now: Instant, from: &Life, channel: &[u8], cursor: Cursor, free: bool) -> bool {
        let held = self.records.get(channel).map_or(0, |record| record.epoch);
        let epoch = cursor.version.0;
        if held > epoch {
            return false;
        }
        // Guards against: one epoch with two homes.
        let other =
            |record: &Record| record.epoch == epoch && record.home.as_ref().is_some_and(|home| home != from);
        if self.records.get(channel).is_some_and(other) || (held == 0 && self.full()) {
            return false;
        }
        self.change(channel, now, |record| {
            (record.epoch, record.home) = (epoch, (!free).then(|| from.clone()));
            record.learn(now, cursor);
        });
        if !free {
            self.leases.insert(from.clone(), now + self.over);
        }
        true
    }

    /// A claim that reached too few is given up.
    pub fn give_up(&mut self, from: &Life, channel: &[u8], epoch: u64) {
        if let Some(record) = self.records.get_mut(channel) {
            if record.epoch == epoch && record.home.as_ref() == Some(from) {
                record.home = None;
                record.first.retain(|(first, ..)| *first != epoch);
            }
        }
    }

    /// A home's lease is renewed.
    pub fn renew(&mut self, now: Instant, from: &Life) {
        self.leases.insert(from.clone(), now + self.over);
    }

    /// For how long a channel's home has its lease here.
    #[must_use]
    pub fn look(&self, now: Instant, channel: &[u8]) -> Duration {
        self.lease(now, self.records.get(channel).and_then(|record| record.home.as_ref()))
    }

    fn full(&self) -> bool {
        self.records.len() >= MOST_RECORDS || self.bytes >= MOST_BYTES
    }

    /// What nobody needs any more goes; false if all is needed.
    pub fn sweep(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, until| *until > now);
        let before = self.records.len();
        let leases = &self.leases;
        let mut bytes = 0;
        self.records.retain(|_, record| {
            let homed = record.home.as_ref().is_some_and(|home| leases.contains_key(home));
            let keep = homed || record.useless_at() > now;
            bytes += if keep { record.bytes() } else { 0 };
            keep
        });
        self.bytes = bytes;
        before > self.records.len()
    }

    /// Room for another record: what is useless goes, else of those at rest the soonest useless.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.sweep(now) {
            return true;
        }
        let rests =
            |record: &&Record| record.home.as_ref().is_none_or(|home| !self.leases.contains_key(home));
        let mut ends: Vec<Instant> = self.records.values().filter(rests).map(Record::useless_at).collect();
        ends.sort_unstable();
        let Some(end) = ends.get(ends.len() / 16).copied() else { return false };
        let leases = &self.leases;
        self.records.retain(|_, record| {
            record.home.as_ref().is_some_and(|home| leases.contains_key(home)) || record.useless_at() > end
        });
        self.bytes = self.records.values().map(Record::bytes).sum();
        true
    }

    /// A page of the records that another holder needs, from this channel on; `wanted` says which.
    pub fn page(
        &mut self,
        now: Instant,
        after: Option<&[u8]>,
        wanted: impl Fn(&[u8]) -> bool,
    ) -> (Vec<Copied>, bool) {
        use std::ops::Bound::{Excluded, Unbounded};
        let (mut page, mut bytes) = (Vec::new(), 0);
        let start = after.map_or(Unbounded, Excluded);
        for (channel, record) in self.records.range_mut::<[u8], _>((start, Unbounded)) {
            if !wanted(channel) {
                continue;
            }
            if bytes > PAGE {
                return (page, true);
            }
            bytes += record.bytes() + channel.len();
            let home = record.home.clone().map(|home| {
                let until = self.leases.get(&home);
                let left = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
                (home, left)
            });
            page.push(Copied {
                channel: channel.clone(),
                epoch: record.epoch,
                home,
                cursor: record.aged.as_mut().map(|aged| aged.now(now).clone()),
                first: record
                    .first
                    .first()
                    .map(|(epoch, out, at)| (*epoch, Out { age: out.age + (now - *at), ..*out })),
                lost: record.lost,
            });
        }
        (page, false)
    }

    /// Takes over what another holder has.
    pub fn copy(&mut self, now: Instant, copied: Copied) {
        let over = self.over;
        let room = self.records.contains_key(&copied.channel) || !self.full();
        if copied.channel.len() > LONGEST_NAME || !room {
            return;
        }
        let mut lease = None;
        self.change(&copied.channel, now, |record| {
            if record.epoch < copied.epoch {
                record.epoch = copied.epoch;
                record.home = copied.home.as_ref().map(|(home, _)| home.clone());
                record.first = copied.first.map(|(epoch, out)| (epoch, out, now)).into_iter().collect();
                record.lost = record.lost.max(copied.lost);
                lease = copied.home;
            }
            if let Some(cursor) = copied.cursor {
                record.learn(now, cursor);
            }
        });
        // Guards against: this holder's taking a home for lost that others take for alive.
        if let Some((home, left)) = lease.filter(|(_, left)| !left.is_zero()) {
            let until = self.leases.entry(home).or_insert(now);
            *until = (*until).max(now + left.min(over));
        }
    }
}

/// What the claims of one round came to, all answers of one epoch.
#[derive(Debug, Default)]
pub struct Round {
    /// Who granted.
    pub granted: Vec<Box<str>>,
    /// The home whose lease runs, its epoch and for how long.
    pub busy: Option<(Life, u64, Duration)>,
    /// The highest epoch that was told of.
    pub highest: u64,
    /// When to ask again at the soonest, where somebody cannot tell.
    pub unsure: Option<Duration>,
    /// Somebody has no room.
    pub full: bool,
    cursor: Option<Box<Cursor>>,
    first: Option<(u64, Out)>,
    lost: Option<u64>,
}

impl Round {
    /// Adds what one holder says.
    pub fn add(&mut self, holder: Box<str>, said: Granted) {
        match said {
            Granted::Yes { cursor, first, lost } => {
                self.granted.push(holder);
                self.lost = self.lost.max(lost);
                if first.map(|(epoch, _)| epoch) > self.first.map(|(epoch, _)| epoch) {
                    self.first = first;
                }
                let version = |cursor: &Option<Box<Cursor>>| cursor.as_ref().map(|cursor| cursor.version);
                if version(&cursor) > version(&self.cursor) {
                    self.cursor = cursor;
                }
            }
            Granted::Busy { home, epoch, left } => {
                self.highest = self.highest.max(epoch);
                if self.busy.as_ref().is_none_or(|(_, before, _)| *before < epoch) {
                    self.busy = Some((home, epoch, left));
                }
            }
            Granted::Low(epoch) => self.highest = self.highest.max(epoch),
            Granted::Unsure(left) => self.unsure = Some(self.unsure.unwrap_or_default().max(left)),
            Granted::Full => self.full = true,
        }
    }

    /// What the new home begins with: what the home before told, or holders kept, and what a lost one may have sent.
    #[must_use]
    pub fn begins_with(&self, told: Option<&Cursor>, fresh: Cursor) -> Cursor {
        let newest = told.into_iter().chain(self.cursor.as_deref()).max_by_key(|cursor| cursor.version);
        let of = newest.map_or(0, |cursor| cursor.version.0);
        let first = self.first.filter(|(epoch, _)| *epoch > of).map(|(_, out)| out);
        let mut cursor = newest.cloned().unwrap_or(fresh);
        if self.lost.is_none_or(|lost| lost < of) {
            return cursor;
        }
        // Guards against: a window counted from now where nothing is known of the home that was lost.
        if newest.is_none() {
            cursor.age = first.map_or(NEVER, |out| out.age);
        }
        cursor.inherited(first)
    }
}
