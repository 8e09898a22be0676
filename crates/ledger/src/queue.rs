//! Who waits until bytes can be set aside for a long message.

use std::collections::VecDeque;

use crate::{long_share, Kind, MemoryBudget, MemoryPermit};

/// What became of a question for bytes.
#[derive(Debug)]
pub enum Grant {
    /// They are set aside.
    Given(MemoryPermit),
    /// They will be, in turn.
    Waits,
    /// There will never be so many.
    Never,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    who: u64,
    bytes: usize,
}

/// Those that wait before another one.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    /// Bytes that long messages may take now.
    most: usize,
    /// The longest of those that fit.
    longest: Option<usize>,
}

impl Ahead {
    /// One more. What is longer than all that there is now waits for other limits, and is delayed by nobody.
    fn add(&mut self, waiter: Waiter) {
        if waiter.bytes <= self.most {
            self.longest = self.longest.max(Some(waiter.bytes));
        }
    }
}

/// Those that wait, in the order of asking.
///
/// One that fits may overtake longer ones that do not, within what those leave free in any case. So a slow writer that
/// holds most of the bytes delays only messages that do not fit beside it, and whoever is overtaken gets its bytes as soon
/// as those before it have given theirs back, however many pass it.
#[derive(Debug)]
pub struct PermitQueue {
    budget: MemoryBudget,
    waiting: VecDeque<Waiter>,
}

impl PermitQueue {
    /// A queue in which nobody waits.
    #[must_use]
    pub fn new(budget: MemoryBudget) -> Self {
        Self { budget, waiting: VecDeque::new() }
    }

    /// Nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Asks for bytes for `who`, who does not wait yet.
    pub fn reserve(&mut self, who: u64, bytes: usize) -> Grant {
        if bytes > self.longest() {
            return Grant::Never;
        }
        let waiter = Waiter { who, bytes };
        let mut ahead = self.nobody_ahead();
        self.waiting.iter().for_each(|waiter| ahead.add(*waiter));
        if let Some(permit) = self.try_give(waiter, ahead) {
            return Grant::Given(permit);
        }
        self.waiting.push_back(waiter);
        self.note_waiting();
        Grant::Waits
    }

    /// `who` waits no more.
    pub fn cancel(&mut self, who: u64) {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.who != who);
        if self.waiting.len() < before {
            self.note_waiting();
        }
    }

    /// The next of those waiting whose turn has come; or one for which there will never be enough any more.
    pub fn next_turn(&mut self) -> Option<(u64, Grant)> {
        if self.waiting.is_empty() || !self.budget.0.changed.get() {
            return None;
        }
        let mut ahead = self.nobody_ahead();
        let turn = self.waiting.iter().enumerate().find_map(|(place, waiter)| {
            let never = (waiter.bytes > self.longest()).then_some(Grant::Never);
            let grant = never.or_else(|| self.try_give(*waiter, ahead).map(Grant::Given));
            ahead.add(*waiter);
            Some((place, waiter.who, grant?))
        });
        let Some((place, who, grant)) = turn else {
            self.budget.0.changed.set(false);
            return None;
        };
        self.waiting.remove(place);
        self.note_waiting();
        Some((who, grant))
    }

    /// The longest message that there may ever be bytes for.
    fn longest(&self) -> usize {
        long_share(self.budget.0.limits.get().widest)
    }

    fn note_waiting(&self) {
        self.budget.0.nobody_waits.set(self.waiting.is_empty());
        self.budget.0.changed.set(true);
    }

    fn nobody_ahead(&self) -> Ahead {
        Ahead { most: long_share(self.budget.0.limits.get().total), longest: None }
    }

    /// Gives one its bytes that has these others before it, if they are there and no other one's turn is put off by it.
    fn try_give(&self, Waiter { bytes, .. }: Waiter, ahead: Ahead) -> Option<MemoryPermit> {
        let account = &self.budget.0;
        if !account.long_fits(bytes) {
            return None;
        }
        let Some(longest_ahead) = ahead.longest else {
            return Some(account.give(bytes, Kind::Long));
        };
        let passes = account.overtaking.get() + bytes + longest_ahead <= ahead.most;
        passes.then(|| account.give(bytes, Kind::Overtaking))
    }
}
