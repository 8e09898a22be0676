//! Bytes that are taken as they come, without a queue: who finds none waits on his own.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
struct Account {
    limit: Cell<usize>,
    held: Cell<usize>,
    /// Somebody waits, as there were not enough.
    short: Cell<bool>,
}

/// So many bytes for buffers of one kind. A clone stands for the same bytes.
#[derive(Clone, Debug)]
pub struct ByteBudget(Rc<Account>);

impl ByteBudget {
    /// A budget of which nothing is held.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(Account { limit: Cell::new(limit), held: Cell::new(0), short: Cell::new(false) }))
    }

    /// Another limit from now on. What is held stays so.
    pub fn limit(&self, limit: usize) {
        self.0.limit.set(limit);
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.get()
    }

    /// Somebody waits for bytes.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.0.short.get()
    }

    /// Whether somebody waits for bytes, as those know that ask for them.
    pub fn set_short(&self, short: bool) {
        self.0.short.set(short);
    }

    /// So many bytes, if there are any. What is longer than all of the budget has its turn when nobody holds any.
    #[must_use]
    pub fn try_take(&self, bytes: usize) -> Option<BytePermit> {
        let held = self.0.held.get();
        (held == 0 || held + bytes <= self.0.limit.get()).then(|| self.take(bytes))
    }

    /// So many bytes, whether there are any or not: for what another permit has paid for, which is dropped next.
    #[must_use]
    pub fn take(&self, bytes: usize) -> BytePermit {
        self.0.held.set(self.0.held.get() + bytes);
        BytePermit { account: Rc::clone(&self.0), bytes }
    }
}

/// What one holder has of a budget: it grows and shrinks, and all is given back when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: ByteBudget,
    bytes: usize,
}

impl HeldBytes {
    /// Nothing of this budget.
    #[must_use]
    pub fn none_of(budget: &ByteBudget) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    /// How many.
    #[must_use]
    pub fn get(&self) -> usize {
        self.bytes
    }

    /// There are so many more.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        self.budget.held() + bytes <= self.budget.0.limit.get()
    }

    /// Holds so many more, whether there are any or not.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.0.held.set(self.budget.held() + bytes);
    }

    /// Gives so many back.
    pub fn subtract(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.budget.0.held.set(self.budget.held() - bytes);
    }

    /// What took `before` bytes takes `after` now.
    pub fn replace(&mut self, before: usize, after: usize) {
        self.add(after);
        self.subtract(before);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.subtract(self.bytes);
    }
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct BytePermit {
    account: Rc<Account>,
    bytes: usize,
}

impl BytePermit {
    /// How many.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.account.held.set(self.account.held.get() - self.bytes);
    }
}
