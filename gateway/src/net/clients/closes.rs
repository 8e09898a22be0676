//! How many connections of clients were closed, and why.

use crate::label_counts::LabelCounts;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client closed it, or it broke.
    Left,
    /// Its client broke the protocol.
    Malformed,
    /// No request, or the rest of a message, came in time.
    TimedOut,
    /// Its client took none of its answers.
    Stuck,
    /// It gave way to a new one.
    Evicted,
    /// There was no memory for what its client sent.
    Memory,
    /// This process drains or ends.
    Draining,
}

impl CloseReason {
    /// All of them.
    const ALL: [Self; 7] = [
        Self::Left,
        Self::Malformed,
        Self::TimedOut,
        Self::Stuck,
        Self::Evicted,
        Self::Memory,
        Self::Draining,
    ];

    /// The value of the label `reason`.
    fn label(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Malformed => "malformed",
            Self::TimedOut => "timed_out",
            Self::Stuck => "stuck",
            Self::Evicted => "evicted",
            Self::Memory => "memory",
            Self::Draining => "draining",
        }
    }
}

/// Counts since the start of the process.
#[derive(Clone, Debug)]
pub struct Closes(LabelCounts);

impl Default for Closes {
    fn default() -> Self {
        Self(LabelCounts::new(CloseReason::ALL.map(CloseReason::label)))
    }
}

impl Closes {
    /// Counts one.
    pub fn count(&mut self, reason: CloseReason) {
        self.0.count(reason.label());
    }

    /// The labels with their counts.
    pub fn by_reason(&self) -> Vec<(&'static str, u64)> {
        self.0.all()
    }
}
