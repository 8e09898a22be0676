//! Attempts that failed: counted by status, and named in the log, as each is the reason of a retry or of a final answer.

use tracing::info;
use yewroute::interface::Status;

use super::{Attempt, AttemptId, Core, Payload};
use crate::label_counts::LabelCounts;

/// Bytes of an id that a line of the log shows, as clients make ids as long as they like.
const LOGGED_ID_BYTES: usize = 64;

/// An id of a client's as the log shows it.
pub(super) fn logged_id(name: &[u8]) -> impl std::fmt::Display + '_ {
    name[..name.len().min(LOGGED_ID_BYTES)].escape_ascii()
}

/// The value of the label `status`; none for one that was served.
fn label(status: Status) -> Option<&'static str> {
    match status {
        Status::Good => None,
        Status::Error => Some("error"),
        Status::Spoilt => Some("unreadable"),
        Status::Full => Some("queue_full"),
        Status::Timeout => Some("timeout"),
        Status::ConnectFailed => Some("no_connection"),
        Status::Reset => Some("reset"),
        Status::Cancelled => Some("cancelled"),
        Status::NotSent => Some("not_sent"),
        Status::HeldUp => Some("held_up"),
        Status::Miss => Some("wrong_role_or_position"),
    }
}

/// Counts of attempts that failed.
#[derive(Clone, Debug)]
pub struct FailedAttempts(LabelCounts);

impl Default for FailedAttempts {
    fn default() -> Self {
        let statuses = [
            Status::Error,
            Status::Spoilt,
            Status::Full,
            Status::Timeout,
            Status::ConnectFailed,
            Status::Reset,
            Status::Cancelled,
            Status::NotSent,
            Status::HeldUp,
            Status::Miss,
        ];
        Self(LabelCounts::new(statuses.into_iter().filter_map(label)))
    }
}

impl FailedAttempts {
    /// The labels with their counts.
    pub fn by_status(&self) -> Vec<(&'static str, u64)> {
        self.0.all()
    }
}

impl<B: Payload> Core<B> {
    /// An attempt has ended; one that was not served is counted.
    pub(super) fn note_failed_attempt(&mut self, id: AttemptId, attempt: &Attempt, status: Status) {
        let Some(status) = label(status) else { return };
        self.failed_attempts.0.count(status);
        let (request, number) = id;
        let Some(held) = self.held.get(&request) else { return };
        let addr = self.directory.member(attempt.server).map(|member| tracing::field::display(member.addr));
        let id = logged_id(&held.name);
        info!(%id, attempt = number, addr, status, "attempt failed");
    }
}
