//! Whether a db host answers separators, without which a connection can be used for one exchange only.
//!
//! Db hosts answer an empty query at once and without effect (protocol page, "Gateways to db hosts"). One that runs it as a statement
//! in its place answers out of place: each request on a used connection is spoilt and sent again. Connections to such a db host are
//! used once, which is as safe and needs no separators.

use std::time::{Duration, Instant};

/// Connections to a db host that has answered no separator are used again after so long, to see whether it does now.
const RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// What is known of one db host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SeparatorSupport {
    /// Nothing yet.
    #[default]
    Unknown,
    /// It has answered separators as the protocol says; what comes out of place since is surplus.
    Answers,
    /// It has not answered the first ones, since then.
    Lacking(Instant),
}

impl SeparatorSupport {
    /// It has answered separators.
    pub(super) fn answered(&mut self) {
        *self = Self::Answers;
    }

    /// Something else came in place of their answer.
    pub(super) fn spoilt(&mut self, now: Instant) {
        if *self != Self::Answers {
            *self = Self::Lacking(now);
        }
    }

    /// A connection may be used for another exchange.
    pub(super) fn allows_reuse(self, now: Instant) -> bool {
        match self {
            Self::Unknown | Self::Answers => true,
            Self::Lacking(since) => now.saturating_duration_since(since) >= RETRY_INTERVAL,
        }
    }
}
