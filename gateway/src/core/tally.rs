//! How many requests ended how: the one place where they are counted.

/// What has come of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// Served.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served whole.
    Succeeded,
    /// Refused: a further try is harmless.
    Declined,
    /// Failed, or its client has left.
    Aborted,
}

/// All counts since the process began.
#[derive(Debug)]
pub struct Tally {
    classes: Vec<Results>,
    /// Of no listed class, or never read.
    unlisted: Results,
}

impl Tally {
    /// Nothing has ended yet, of so many classes.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![Results::default(); classes], unlisted: Results::default() }
    }

    /// A request of this class has ended.
    pub fn count(&mut self, class: Option<usize>, end: End) {
        let results = class.and_then(|class| self.classes.get_mut(class)).unwrap_or(&mut self.unlisted);
        match end {
            End::Succeeded => results.succeeded += 1,
            End::Declined => results.declined += 1,
            End::Aborted => results.aborted += 1,
        }
    }

    /// Of each class, in their order.
    pub fn classes(&self) -> &[Results] {
        &self.classes
    }

    /// Of requests without a class.
    pub fn unlisted(&self) -> Results {
        self.unlisted
    }
}
