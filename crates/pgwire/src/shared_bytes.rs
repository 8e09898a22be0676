//! Bytes that all sessions of a process may keep together.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
struct Account {
    limit: Cell<usize>,
    held: Cell<usize>,
}

/// So many bytes for all sessions. A clone stands for the same bytes.
#[derive(Clone, Debug)]
pub struct SharedBytes(Rc<Account>);

impl SharedBytes {
    /// So many, of which none is held.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(Account { limit: Cell::new(limit), held: Cell::new(0) }))
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
}

/// What one session holds of them, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    shared: SharedBytes,
    bytes: usize,
}

impl HeldBytes {
    pub(crate) fn none_of(shared: &SharedBytes) -> Self {
        Self { shared: shared.clone(), bytes: 0 }
    }

    pub(crate) fn get(&self) -> usize {
        self.bytes
    }

    /// So many more are there for all sessions.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.shared.held() + bytes <= self.shared.0.limit.get()
    }

    pub(crate) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.shared.0.held.set(self.shared.held() + bytes);
    }

    pub(crate) fn subtract(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.shared.0.held.set(self.shared.held() - bytes);
    }

    /// What took `before` bytes takes `after` now.
    pub(crate) fn replace(&mut self, before: usize, after: usize) {
        self.add(after);
        self.subtract(before);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.subtract(self.bytes);
    }
}
