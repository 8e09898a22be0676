//! How many connections of clients were closed, and why.

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
    /// All of them, each at the place of its number.
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
#[derive(Clone, Copy, Debug, Default)]
pub struct Closes([u64; CloseReason::ALL.len()]);

impl Closes {
    /// Counts one.
    pub fn count(&mut self, reason: CloseReason) {
        self.0[reason as usize] += 1;
    }

    /// The labels with their counts.
    pub fn by_reason(&self) -> Vec<(&'static str, u64)> {
        CloseReason::ALL.iter().map(|reason| (reason.label(), self.0[*reason as usize])).collect()
    }
}
