//! Requests that are not served: counted by reason, and named in the log.

use tracing::info;
use yewroute::interface::{RequestId, UnservedReason};

use super::failed_attempts::logged_id;
use super::{Answer, ClientId, Core, Effect, End, Payload};
use crate::label_counts::LabelCounts;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The decision module's reason.
    Decided(UnservedReason),
    /// It could never be served, or could not be read.
    Invalid,
    /// A request of its id may have run, and may not be sent again.
    RepeatedId,
    /// As many requests are open as the settings allow.
    TooManyOpen,
    /// This process is about to end.
    Ending,
    /// There is no memory for its statement.
    Memory,
    /// A rate limit has nothing left.
    RateLimit,
    /// Its channel's order does not let it go.
    Order,
    /// Its client cancelled it.
    Cancelled,
    /// Its time was over, and the decision module had not ended it.
    Overdue,
}

impl Reason {
    /// All of them.
    const ALL: [Self; 19] = [
        Self::Decided(UnservedReason::UnlistedClass),
        Self::Decided(UnservedReason::NoServers),
        Self::Decided(UnservedReason::ListExpired),
        Self::Decided(UnservedReason::Overloaded),
        Self::Decided(UnservedReason::NoServerFree),
        Self::Decided(UnservedReason::OutOfTime),
        Self::Decided(UnservedReason::AttemptsSpent),
        Self::Decided(UnservedReason::MayHaveRun),
        Self::Decided(UnservedReason::Errors),
        Self::Decided(UnservedReason::Barred),
        Self::Invalid,
        Self::RepeatedId,
        Self::TooManyOpen,
        Self::Ending,
        Self::Memory,
        Self::RateLimit,
        Self::Order,
        Self::Cancelled,
        Self::Overdue,
    ];

    /// The value of the label `reason`.
    fn label(self) -> &'static str {
        match self {
            Self::Decided(UnservedReason::UnlistedClass) => "unlisted_class",
            Self::Decided(UnservedReason::NoServers) => "no_servers",
            Self::Decided(UnservedReason::ListExpired) => "list_expired",
            Self::Decided(UnservedReason::Overloaded) => "overloaded",
            Self::Decided(UnservedReason::NoServerFree) => "no_server_free",
            Self::Decided(UnservedReason::OutOfTime) => "out_of_time",
            Self::Decided(UnservedReason::AttemptsSpent) => "attempts_spent",
            Self::Decided(UnservedReason::MayHaveRun) => "may_have_run",
            Self::Decided(UnservedReason::Errors) => "errors",
            Self::Decided(UnservedReason::Barred) => "barred",
            Self::Invalid => "invalid",
            Self::RepeatedId => "repeated_id",
            Self::TooManyOpen => "too_many_open",
            Self::Ending => "ending",
            Self::Memory => "memory",
            Self::RateLimit => "rate_limit",
            Self::Order => "order",
            Self::Cancelled => "cancelled",
            Self::Overdue => "overdue",
        }
    }
}

/// Counts of requests that were not served.
#[derive(Clone, Debug)]
pub struct UnservedCounts(LabelCounts);

impl Default for UnservedCounts {
    fn default() -> Self {
        Self(LabelCounts::new(Reason::ALL.map(Reason::label)))
    }
}

impl UnservedCounts {
    /// Counts one.
    pub fn count(&mut self, reason: Reason) {
        self.0.count(reason.label());
    }

    /// The labels with their counts.
    pub fn by_reason(&self) -> Vec<(&'static str, u64)> {
        self.0.all()
    }
}

/// A request that is answered at once and never held.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct TurnedAway {
    /// Its class, if it has one.
    pub class: Option<usize>,
    /// What its client is told.
    pub answer: Answer,
    /// Why.
    pub reason: Reason,
}

impl<B: Payload> Core<B> {
    /// Answers a request that is not held.
    pub(super) fn turn_away(
        &mut self,
        client: ClientId,
        name: &[u8],
        turned_away: TurnedAway,
        effects: &mut Vec<Effect<B>>,
    ) {
        let TurnedAway { class, answer, reason } = turned_away;
        self.tally.count(class, answer.end());
        self.unserved.count(reason);
        self.log_unserved(name, class, 0, reason);
        effects.push(Effect::Answer(client, answer));
    }

    /// A request that was answered before it was read has ended.
    pub(super) fn count_unread(&mut self, end: End, reason: Reason) {
        self.tally.count(None, end);
        self.unserved.count(reason);
    }

    /// Ends a request that is held, unless its value is being passed on.
    pub(super) fn end_unserved(
        &mut self,
        id: RequestId,
        answer: Answer,
        reason: Reason,
        effects: &mut Vec<Effect<B>>,
    ) {
        let held = self.held.get(&id).filter(|held| !held.passing);
        if let Some(held) = held {
            self.log_unserved(&held.name, Some(held.class), held.sends, reason);
            self.unserved.count(reason);
        }
        self.relay(id, answer, effects);
    }

    fn log_unserved(&self, name: &[u8], class: Option<usize>, attempts: u32, reason: Reason) {
        let class = class.and_then(|class| self.deployment.class_names.get(class));
        let class = class.map_or("", String::as_str);
        let (id, reason) = (logged_id(name), reason.label());
        info!(%id, class, attempts, reason, "request not served");
    }
}

#[cfg(test)]
mod tests;
