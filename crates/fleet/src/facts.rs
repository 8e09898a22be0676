//! What each gateway says of itself: rows that only their owner writes, spread as deltas and merged in any order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Rows held of all owners.
const MOST_ROWS: usize = 65_536;
/// Rows of an owner.
const MOST_OF_ONE: usize = 1_024;
/// Bytes that a row's length takes where rows are told.
pub(crate) const LENGTH: usize = 2;
/// So long after its owner has gone, a row is forgotten.
pub const FADE: Duration = Duration::from_secs(10);

/// What a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// Its owner.
    Owner,
    /// A db host, by [`name_number`].
    Host(u64),
    /// A group of db hosts, by its number.
    Set(u64),
    /// The group that decides for all; its owner is [`GROUP`].
    Group,
    /// A decision of the group, by its key's [`name_number`].
    Decision(u64),
}

/// Voters there are at the most.
pub const MOST_VOTERS: usize = 5;
/// The owner of what the group says; its version is the group's generation, and a place or count in it.
pub const GROUP: u64 = 0;

/// What a row says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// Where its owner stands.
    Stage(Stage),
    /// What its owner has to do with a db host.
    Host {
        /// Attempts out there now.
        outstanding: u32,
        /// Attempts sent since its owner started.
        sent: u64,
        /// Attempts answered since then.
        answered: u64,
        /// Microseconds that an answer takes there, in the mean.
        took_us: u32,
    },
    /// What its owner knows of a group of db hosts.
    Set {
        /// The db host that proved itself the primary last.
        primary: u64,
        /// The newest position proven, as Unix time in milliseconds.
        position_ms: u64,
        /// Seconds since the primary proved itself, when this was written.
        proven_s: u32,
    },
    /// What the leader says of the group.
    Group(Box<Word>),
    /// What was decided.
    Decision(Box<Decided>),
}

/// What the leader says of the group that decides for all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// The leader's term.
    pub term: u64,
    /// The leader's name, by [`name_number`].
    pub leader: u64,
    /// The names of those that vote, zero where there are less.
    pub voters: [u64; MOST_VOTERS],
    /// [`Facts::digest`] of the leader.
    pub digest: u64,
}

/// What was decided under a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Decided {
    /// The key.
    pub key: Box<str>,
    /// What holds.
    pub value: Box<[u8]>,
    /// Who holds it, and for how many milliseconds after this was written; both zero without a lease.
    pub lease: (u64, u32),
}

/// Where a gateway stands, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It does not serve yet.
    #[default]
    Starting,
    /// It takes clients.
    Ready,
    /// It sends clients away.
    Draining,
    /// It ends when all is answered.
    Stopping,
    /// It has ended and said so.
    Left,
}

/// A name as a number: the first eight bytes of its BLAKE3 hash.
#[must_use]
pub fn name_number(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// One row, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Its owner's name, by [`name_number`].
    pub owner: u64,
    /// What it is about.
    pub subject: Subject,
    /// Its owner's incarnation, and the owner's count of changes.
    pub version: (u64, u64),
    /// What it says.
    pub value: Value,
    /// Milliseconds since its owner wrote it, by the clocks of those who passed it on.
    pub age_ms: u32,
}

#[derive(Clone, Debug)]
struct Held {
    version: (u64, u64),
    value: Value,
    /// When its owner wrote it, on this clock.
    at: Instant,
    /// How often it is still told, and when it was told last.
    tells: u32,
    told: Instant,
}

impl Held {
    fn row(&self, now: Instant, (owner, subject): (u64, Subject)) -> Row {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Row { owner, subject, version: self.version, value: self.value.clone(), age_ms }
    }
}

/// All rows that are known.
#[derive(Debug, Default)]
pub struct Facts {
    rows: BTreeMap<(u64, Subject), Held>,
    of: BTreeMap<u64, usize>,
    /// Rows still to be told, those untold for longest first.
    due: BTreeSet<(Instant, u64, Subject)>,
    counter: u64,
}

impl Facts {
    /// Writes a row of this gateway's own, to be told `tells` times. Nothing happens if it says that already.
    pub fn write(
        &mut self,
        now: Instant,
        owner: u64,
        incarnation: u64,
        subject: Subject,
        value: Value,
        tells: u32,
    ) {
        let same = |held: &Held| held.value == value && held.version.0 == incarnation;
        if self.rows.get(&(owner, subject)).is_some_and(same) {
            return;
        }
        self.counter += 1;
        let row = Row { owner, subject, version: (incarnation, self.counter), value, age_ms: 0 };
        self.merge(now, row, tells);
    }

    /// Takes a row that was told; true if it is news. The later version counts; of two that claim the same version, which
    /// no honest owner writes, all gateways keep the same one.
    pub fn merge(&mut self, now: Instant, row: Row, tells: u32) -> bool {
        let key = (row.owner, row.subject);
        let known = self.rows.get(&key);
        if known.is_some_and(|held| (held.version, &held.value) >= (row.version, &row.value)) {
            return false;
        }
        // Guards against: an owner, or owners, without number.
        let own = self.of.get(&row.owner).copied().unwrap_or(0);
        if known.is_none() && (self.rows.len() >= MOST_ROWS || own >= MOST_OF_ONE) {
            return false;
        }
        if known.is_none() {
            *self.of.entry(row.owner).or_default() += 1;
        }
        let at = now.checked_sub(Duration::from_millis(row.age_ms.into())).unwrap_or(now);
        let held = Held { version: row.version, value: row.value, at, tells, told: at };
        if let Some(before) = self.rows.insert(key, held) {
            self.due.remove(&(before.told, key.0, key.1));
        }
        if tells > 0 {
            self.due.insert((at, key.0, key.1));
        }
        true
    }

    /// The rows to tell next within so many bytes: those untold for longest first.
    pub fn to_tell(&mut self, now: Instant, bytes: usize) -> Vec<Row> {
        let (mut rows, mut used, mut told) = (Vec::new(), 0, Vec::new());
        while let Some(next) = self.due.pop_first() {
            let (_, owner, subject) = next;
            let Some(held) = self.rows.get_mut(&(owner, subject)) else { continue };
            let row = held.row(now, (owner, subject));
            let size = LENGTH + postcard::experimental::serialized_size(&row).unwrap_or(bytes);
            if used + size > bytes {
                self.due.insert(next);
                break;
            }
            used += size;
            (held.tells, held.told) = (held.tells - 1, now);
            if held.tells > 0 {
                told.push((now, owner, subject));
            }
            rows.push(row);
        }
        self.due.extend(told);
        rows
    }

    /// There is something to tell.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.due.is_empty()
    }

    /// A row as it is told now.
    #[must_use]
    pub fn row(&self, now: Instant, owner: u64, subject: Subject) -> Option<Row> {
        self.rows.get(&(owner, subject)).map(|held| held.row(now, (owner, subject)))
    }

    /// What an owner says of a subject, and how old that is.
    #[must_use]
    pub fn get(&self, now: Instant, owner: u64, subject: Subject) -> Option<(&Value, Duration)> {
        let held = self.rows.get(&(owner, subject))?;
        Some((&held.value, now.saturating_duration_since(held.at)))
    }

    /// The incarnation that an owner's row about itself was written by.
    #[must_use]
    pub fn incarnation(&self, owner: u64) -> Option<u64> {
        self.rows.get(&(owner, Subject::Owner)).map(|held| held.version.0)
    }

    /// A hash of all decisions and their places: whoever has the same has missed none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for ((_, subject), held) in self.decisions(0) {
            let (Subject::Decision(key), (generation, place)) = (subject, held.version) else { continue };
            [*key, generation, place].iter().for_each(|n| {
                hasher.update(&n.to_le_bytes());
            });
        }
        u64::from_le_bytes(hasher.finalize().as_bytes()[..8].try_into().unwrap_or_default())
    }

    fn decisions(&self, from: u64) -> impl Iterator<Item = (&(u64, Subject), &Held)> {
        self.rows.range((GROUP, Subject::Decision(from))..=(GROUP, Subject::Decision(u64::MAX)))
    }

    /// Decisions from a number on, as many as fit into so many bytes.
    #[must_use]
    pub fn decided(&self, now: Instant, from: u64, bytes: usize) -> Vec<Row> {
        let mut used = 0;
        let rows = self.decisions(from).map(|(key, held)| held.row(now, *key));
        rows.take_while(|row| {
            used += LENGTH + postcard::experimental::serialized_size(row).unwrap_or(bytes);
            used <= bytes
        })
        .collect()
    }

    /// Has all of an owner's rows told again, as to one that has just come.
    pub fn tell_again(&mut self, owner: u64, tells: u32) {
        for ((_, subject), held) in
            self.rows.range_mut((owner, Subject::Owner)..=(owner, Subject::Decision(u64::MAX)))
        {
            held.tells = held.tells.max(tells);
            if held.tells > 0 {
                self.due.insert((held.told, owner, *subject));
            }
        }
    }

    /// Forgets the rows of owners that `keep` does not want.
    pub fn forget(&mut self, keep: impl Fn(u64) -> bool) {
        self.rows.retain(|(owner, _), _| keep(*owner));
        self.of.retain(|owner, _| keep(*owner));
        self.due.retain(|(_, owner, _)| keep(*owner));
    }

    /// All rows, with their age.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (Subject, &Value, Duration)> {
        let age = move |held: &Held| now.saturating_duration_since(held.at);
        self.rows.iter().map(move |((_, subject), held)| (*subject, &held.value, age(held)))
    }

    /// How many rows are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// No row is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn said(facts: &Facts) -> Vec<impl PartialEq + std::fmt::Debug> {
        facts.rows.iter().map(|(key, held)| (*key, held.version, held.value.clone())).collect::<Vec<_>>()
    }

    fn row() -> impl Strategy<Value = Row> {
        let subject = prop_oneof![Just(Subject::Owner), (0_u64..3).prop_map(Subject::Host)];
        let value = (0_u32..4, 0_u64..4, 0_u64..4).prop_map(|(outstanding, sent, answered)| Value::Host {
            outstanding,
            sent,
            answered,
            took_us: 0,
        });
        (0_u64..3, subject, (0_u64..3, 0_u64..4), value, 0_u32..5_000).prop_map(
            |(owner, subject, version, value, age_ms)| Row { owner, subject, version, value, age_ms },
        )
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn rows_told_in_any_order_and_number_leave_the_same_state(
            rows in proptest::collection::vec(row(), 0..40), seed in any::<u64>(),
        ) {
            let now = Instant::now();
            let (mut one, mut other) = (Facts::default(), Facts::default());
            rows.iter().for_each(|row| { one.merge(now, row.clone(), 3); });
            let mut mixed: Vec<_> = rows.iter().chain(&rows).collect();
            mixed.sort_by_key(|row| blake3::hash(format!("{seed}{row:?}").as_bytes()).as_bytes().to_vec());
            mixed.into_iter().for_each(|row| { other.merge(now, row.clone(), 3); });
            prop_assert_eq!(said(&one), said(&other));
            let told = other.to_tell(now, 300);
            let size: usize = told.iter().map(|row| postcard::to_allocvec(row).unwrap().len()).sum();
            prop_assert!(size <= 300 && other.len() <= 12);
        }
    }

    #[test]
    fn what_was_told_longest_ago_comes_first_and_each_row_so_often() {
        let (mut facts, start) = (Facts::default(), Instant::now());
        for host in 0..20 {
            let value = Value::Host { outstanding: 1, sent: host, answered: 0, took_us: 0 };
            facts.write(start, 7, 1, Subject::Host(host), value, 2);
        }
        let mut told = BTreeMap::new();
        for round in 1..100 {
            let now = start + Duration::from_millis(round);
            for row in facts.to_tell(now, 60) {
                *told.entry(row.subject).or_insert(0) += 1;
                let most = told.values().max().copied().unwrap_or(0);
                assert!(told.len() == 20 || most == 1, "one twice before another once");
            }
        }
        assert!(told.len() == 20 && told.values().all(|times| *times == 2) && !facts.has_news(), "{told:?}");
    }

    #[test]
    fn owners_and_rows_are_bounded_and_those_unwanted_are_forgotten() {
        let (mut facts, now) = (Facts::default(), Instant::now());
        let row = |owner, host| Row {
            owner,
            subject: Subject::Host(host),
            version: (1, 1),
            value: Value::Stage(Stage::Ready),
            age_ms: 0,
        };
        let taken = (0..2 * MOST_OF_ONE as u64).filter(|host| facts.merge(now, row(1, *host), 1)).count();
        assert_eq!(taken, MOST_OF_ONE);
        for owner in 2..2_000 {
            (0..64).for_each(|host| {
                facts.merge(now, row(owner, host), 1);
            });
        }
        assert_eq!(facts.len(), MOST_ROWS);
        facts.forget(|owner| owner == 1);
        assert_eq!(facts.len(), MOST_OF_ONE);
        assert!(facts.merge(now, row(5, 1), 1), "there is room again");
    }
}
