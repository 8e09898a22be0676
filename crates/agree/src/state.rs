//! What has been decided: values under keys, each at its place in the log, some held by a lease.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The longest key and value, in bytes.
pub const LONGEST_KEY: usize = 64;
/// The longest value, in bytes.
pub const LONGEST_VALUE: usize = 512;
/// Keys there may be.
pub const MOST_KEYS: usize = 128;
/// The longest lease, in milliseconds.
pub const LONGEST_LEASE: u32 = 5_000;
/// Answers that are kept, so that a request asked twice is decided once.
const MOST_ANSWERS: usize = 256;

/// Where in the order of all decisions one stands: the generation of the group, and its place in that group's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Unix milliseconds when the group was founded, or more.
    pub generation: u64,
    /// The place in its log.
    pub index: u64,
}

/// Who asks, and the asker's count of requests.
pub type Ticket = (u64, u64);

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// What it is about.
    pub key: String,
    /// What is to hold from then on.
    pub value: Vec<u8>,
    /// The decision it replaces, as its asker knows it; default where there is none.
    pub over: Place,
    /// Who holds it, and for how many milliseconds; until then nobody else can replace it.
    pub lease: Option<(u64, u32)>,
}

impl Command {
    /// Its parts are no longer than they may be.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.key.len() <= LONGEST_KEY
            && self.value.len() <= LONGEST_VALUE
            && self.lease.is_none_or(|(_, ms)| ms <= LONGEST_LEASE)
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It holds, from this place on.
    Decided(Place),
    /// Another decision stands at this place.
    Stale(Place),
    /// Another holds it, for so many milliseconds at the most.
    Held(Place, u32),
    /// There are too many keys, or the request is too long.
    Full,
    /// This gateway does not lead, or may not decide now: ask again.
    Elsewhere,
}

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// What holds.
    pub value: Vec<u8>,
    /// Where it was decided.
    pub place: Place,
    /// Who holds it, and for how many milliseconds.
    pub lease: Option<(u64, u32)>,
}

/// All decisions, the same at each voter once it has applied the same entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    decisions: BTreeMap<String, Decision>,
    answers: BTreeMap<Ticket, (u64, Outcome)>,
    /// Leases of an earlier group are over, and this one gives its own.
    open: bool,
}

impl State {
    /// A state that starts from what is known of an earlier group's.
    #[must_use]
    pub fn of(decisions: impl IntoIterator<Item = (String, Decision)>) -> Self {
        Self { decisions: decisions.into_iter().take(MOST_KEYS).collect(), ..Self::default() }
    }

    /// Applies an entry: the same for all, and without a clock.
    pub fn apply(&mut self, place: Place, ticket: Ticket, command: Command) -> Outcome {
        if command.key.is_empty() {
            self.open = true;
            return Outcome::Decided(place);
        }
        if let Some((_, answer)) = self.answers.get(&ticket) {
            return *answer;
        }
        let held = self.decisions.get(&command.key).map_or(Place::default(), |decision| decision.place);
        let outcome = if held != command.over {
            Outcome::Stale(held)
        } else if !command.is_bounded()
            || (held == Place::default() && self.decisions.len() >= MOST_KEYS && !self.make_room())
        {
            Outcome::Full
        } else {
            let decision = Decision { value: command.value, place, lease: command.lease };
            self.decisions.insert(command.key, decision);
            Outcome::Decided(place)
        };
        self.answers.insert(ticket, (place.index, outcome));
        if self.answers.len() > MOST_ANSWERS {
            let oldest = self.answers.iter().min_by_key(|(_, (index, _))| *index).map(|(ticket, _)| *ticket);
            oldest.map(|ticket| self.answers.remove(&ticket));
        }
        outcome
    }

    /// Forgets the oldest decision that says nothing and that nobody holds.
    fn make_room(&mut self) -> bool {
        let empty = self.decisions.iter().filter(|(_, d)| d.value.is_empty() && d.lease.is_none());
        let oldest = empty.min_by_key(|(_, d)| d.place).map(|(key, _)| key.clone());
        oldest.is_some_and(|key| self.decisions.remove(&key).is_some())
    }

    /// It gives leases.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// What holds under a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Decision> {
        self.decisions.get(key)
    }

    /// All keys and what holds.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Decision)> {
        self.decisions.iter().map(|(key, decision)| (key.as_str(), decision))
    }
}
