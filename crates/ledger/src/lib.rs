//! Memory that is set aside for statements: permits that live with the bytes they pay for, and the queue for them.
//!
//! A [`MemoryPermit`] is owned by what it pays for and gives its bytes back when that is dropped, whoever holds it by then: a
//! client's buffer, a request, or an attempt whose client has left. Nothing is released by hand, so no end of a request
//! can forget it, and nobody waits for bytes that only he could give back.
//!
//! A long message is read on only once all its bytes are set aside ([`PermitQueue`]), so nobody waits while holding a part and
//! there is no circle of half-read messages that wait for each other.
#![forbid(unsafe_code)]

mod bytes;
mod queue;

use std::cell::Cell;
use std::rc::Rc;

pub use bytes::{ByteBudget, BytePermit, HeldBytes};
pub use queue::{Grant, PermitQueue};

/// One part in so many of the whole budget is left to short statements, whatever long ones take.
const SHORT_PARTS: usize = 8;

/// How many bytes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all statements from now on.
    pub total: usize,
    /// Bytes of all statements that there may be again, where `total` is narrowed for a while.
    pub widest: usize,
}

impl Limits {
    /// So many bytes, now and later.
    #[must_use]
    pub fn fixed(total: usize) -> Self {
        Self { total, widest: total }
    }
}

/// Bytes that long messages may take, of so many for all statements.
fn long_share(total: usize) -> usize {
    total - total / SHORT_PARTS
}

/// What a permit was given for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A short statement.
    Short,
    /// A long message, in its turn.
    Long,
    /// A long message that was let in before a longer one.
    Overtaking,
}

#[derive(Debug)]
struct Account {
    limits: Cell<Limits>,
    /// Bytes of all permits; those of long messages, and of them those that were let in before longer ones.
    held: Cell<usize>,
    long: Cell<usize>,
    overtaking: Cell<usize>,
    /// Something was given back, or the limits were changed, since the queue was looked at last.
    changed: Cell<bool>,
    /// Nobody waits for a long message.
    nobody_waits: Cell<bool>,
}

fn add(cell: &Cell<usize>, bytes: usize) {
    cell.set(cell.get() + bytes);
}

fn subtract(cell: &Cell<usize>, bytes: usize) {
    cell.set(cell.get() - bytes);
}

impl Account {
    /// The totals that count permits of this kind.
    fn totals(&self, kind: Kind) -> impl Iterator<Item = &Cell<usize>> {
        let long = (kind != Kind::Short).then_some(&self.long);
        let overtaking = (kind == Kind::Overtaking).then_some(&self.overtaking);
        [Some(&self.held), long, overtaking].into_iter().flatten()
    }

    fn give(self: &Rc<Self>, bytes: usize, kind: Kind) -> MemoryPermit {
        self.totals(kind).for_each(|total| add(total, bytes));
        MemoryPermit { account: Rc::clone(self), bytes, kind }
    }

    fn long_fits(&self, bytes: usize) -> bool {
        let limits = self.limits.get();
        self.long.get() + bytes <= long_share(limits.total) && self.held.get() + bytes <= limits.total
    }
}

/// Bytes for the statements of one process. A clone stands for the same bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<Account>);

impl MemoryBudget {
    /// A budget of which nothing is set aside.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Rc::new(Account {
            limits: Cell::new(limits),
            held: Cell::new(0),
            long: Cell::new(0),
            overtaking: Cell::new(0),
            changed: Cell::new(false),
            nobody_waits: Cell::new(true),
        }))
    }

    /// Other limits from now on. What is set aside stays so; what fits only later waits.
    pub fn limit(&self, limits: Limits) {
        self.0.limits.set(limits);
        self.0.changed.set(true);
    }

    /// Bytes set aside: of statements that are read, held, under way, or abandoned and not gone yet.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.get()
    }

    /// Bytes for a message that has come whole and waits only to be read, if half of the short statements' eighth has them. So
    /// messages that never end do not keep out those that do.
    #[must_use]
    pub fn whole(&self, bytes: usize) -> Option<MemoryPermit> {
        let Account { limits, held, long, .. } = &*self.0;
        let (total, short) = (limits.get().total, held.get() - long.get());
        (short + bytes <= total / SHORT_PARTS / 2).then(|| self.0.give(bytes, Kind::Short))
    }

    /// Bytes for a short statement, if there are any. An eighth is left to short ones whatever long ones take, and no more
    /// than that while a long one waits.
    #[must_use]
    pub fn short(&self, bytes: usize) -> Option<MemoryPermit> {
        let Account { limits, held, long, nobody_waits, .. } = &*self.0;
        let (total, short) = (limits.get().total, held.get() - long.get());
        let in_share = short + bytes <= total / SHORT_PARTS;
        let in_total = nobody_waits.get() && held.get() + bytes <= total;
        (in_share || in_total).then(|| self.0.give(bytes, Kind::Short))
    }
}

/// Bytes that are set aside until this is dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    account: Rc<Account>,
    bytes: usize,
    kind: Kind,
}

impl MemoryPermit {
    /// How many.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.account.totals(self.kind).for_each(|total| subtract(total, self.bytes));
        self.account.changed.set(true);
    }
}

#[cfg(test)]
mod tests;
