//! Until when the held list may be routed by.
//!
//! A change of the list counts as known 6 s after it was made, whether or not it has arrived. So a list is
//! good for that long after the last moment at which it was known to be current: its lease. Past it, requests
//! wait until a list has come, each within its own time. Discovery that cannot be reached starts no clock, as
//! nothing counts before it is back.
//!
//! The lease belongs to the list, not to the calls for it: a reload, a reconnection or a failed call never
//! extends it.
//!
//! Discovery that is down and one with too many callers may end calls alike. The end of a call is a sign of
//! life, unless discovery has ended the watch before, as one that goes down does, and has shown no sign of
//! life since. Silence is none: neither connections that do not come up nor calls that stay open.

use std::time::{Duration, Instant};

use crate::interface::ListObservation;

/// A change counts as known so long after it was made and discovery could be reached.
const CHANGE_VISIBLE_AFTER: Duration = Duration::from_secs(6);
/// After a move to another discovery, what that one has counts so much later.
const CHANGE_VISIBLE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// What the process before this one was told counts for this one so long after it has begun to take requests.
const CHANGE_VISIBLE_AFTER_TAKEOVER: Duration = Duration::from_secs(2);
/// Discovery that gives no sign of life for so long is taken to be out of reach: longer than the lease, as
/// one with too many callers answers nothing for a while either.
const OUT_OF_REACH_AFTER: Duration = Duration::from_millis(8_500);
/// Calls that end within this time end together, and count as one.
const SAME_END: Duration = Duration::from_millis(250);
/// So long no connection can be had before it is taken for out of reach.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// An agent on this machine answers at once, unless discovery is down and it learns nothing.
const AGENT_OUT_OF_REACH_AFTER: Duration = Duration::from_millis(500);
/// An agent that is out of reach is called more often than this; what it has on its return counts at once.
const AGENT_CALL_INTERVAL: Duration = Duration::from_millis(700);

/// The lease of the held list.
#[derive(Debug)]
pub(super) struct ListLease {
    /// Lists are pushed to an agent on this machine, and what that has counts at once.
    pushed: bool,
    expires: Instant,
    /// A list has come since this process began.
    listed: bool,
    /// When discovery gave the last sign of life, or was moved.
    alive_at: Instant,
    out_of_reach_after: Duration,
    /// Since when no connection can be had.
    unreachable_since: Option<Instant>,
    /// Discovery itself ended the watch, and has given no sign of life since.
    watch_ended: bool,
    /// When the last call ended that waited as long as discovery lets it, since the last sign of life.
    waited_out_at: Option<Instant>,
}

impl ListLease {
    /// The lease of a list that was known before this process began.
    pub(super) fn begin(now: Instant, pushed: bool) -> Self {
        let (span, out_of_reach_after) = match pushed {
            true => (Duration::ZERO, AGENT_OUT_OF_REACH_AFTER),
            false => (CHANGE_VISIBLE_AFTER, OUT_OF_REACH_AFTER),
        };
        Self {
            pushed,
            expires: now + span,
            listed: false,
            alive_at: now,
            out_of_reach_after,
            unreachable_since: None,
            watch_ended: false,
            waited_out_at: None,
        }
    }

    pub(super) fn expires(&self) -> Instant {
        self.expires
    }

    pub(super) fn observe(&mut self, now: Instant, observation: ListObservation) {
        match observation {
            ListObservation::Began => {}
            ListObservation::Current { at } => self.current(now, at),
            ListObservation::WatchEnded { at } => self.watch_ended(now, at),
            ListObservation::AnswerBegun => self.alive(now),
            ListObservation::Unreachable => self.unreachable(now),
            ListObservation::Unanswered { called } => self.unanswered(now, called),
            ListObservation::Ended { .. } | ListObservation::WaitedOut { .. } if self.ends_are_answers() => {
                self.alive(now);
            }
            ListObservation::Ended { called } => self.unanswered(now, called),
            ListObservation::WaitedOut { called } => self.waited_out(now, called),
            ListObservation::Moved => {
                self.expires = self.expires.min(now + CHANGE_VISIBLE_AFTER_MOVE);
                self.alive(now);
            }
            ListObservation::TookOver { at } => self.took_over(at),
        }
    }

    /// Guards against: requests by the list in a new process's configuration, which knows nothing of what the
    /// process before it was told.
    fn took_over(&mut self, at: Instant) {
        if !self.listed {
            self.expires = self.expires.min(at + CHANGE_VISIBLE_AFTER_TAKEOVER);
        }
    }

    fn current(&mut self, now: Instant, at: Instant) {
        self.listed = true;
        self.expires = self.expires.max(at + CHANGE_VISIBLE_AFTER);
        self.alive(now);
    }

    /// Guards against: a discovery with too many callers that passes for one that is down, as it turned a
    /// call away and lets those after it wait in vain.
    fn alive(&mut self, now: Instant) {
        self.alive_at = now;
        self.watch_ended = false;
        self.waited_out_at = None;
        self.unreachable_since = None;
    }

    /// Guards against: the end of a call taken for silence, by which a new process would go on by an old list
    /// for as long as too many callers let its calls end in vain. A local agent has no other callers.
    fn ends_are_answers(&self) -> bool {
        !self.watch_ended && !self.pushed
    }

    /// Guards against: a connection that this system refuses for a moment, taken for a discovery that is
    /// down. Once it was, calls that are taken and end in vain show that it is back.
    fn unreachable(&mut self, now: Instant) {
        let since = *self.unreachable_since.get_or_insert(now);
        if now >= since + UNREACHABLE_AFTER {
            self.watch_ended = false;
            self.out_of_reach(now, now);
        }
    }

    fn watch_ended(&mut self, now: Instant, at: Instant) {
        self.alive(now);
        self.watch_ended = true;
        if self.pushed {
            self.expires = self.expires.min(at);
        } else {
            self.expires = self.expires.max(at + CHANGE_VISIBLE_AFTER);
        }
    }

    /// A discovery that goes down ends its watches and lets calls wait for nothing; one with too many callers
    /// turns them away at once. A watch that fell silent says neither.
    fn waited_out(&mut self, now: Instant, called: Instant) {
        if self.waited_out_at.is_some_and(|ended| now < ended + SAME_END) {
            return;
        }
        if let Some(earlier) = self.waited_out_at.filter(|_| self.watch_ended) {
            self.out_of_reach(now, earlier);
        }
        self.unanswered(now, called);
        self.waited_out_at = Some(now);
    }

    /// Discovery may have come back as soon as an earlier call had ended, and this one may wait for its turn.
    fn unanswered(&mut self, now: Instant, called: Instant) {
        self.unreachable_since = None;
        if now >= self.alive_at + self.out_of_reach_after {
            let earlier = self.waited_out_at.unwrap_or(called);
            self.out_of_reach(now, earlier.min(called));
        }
    }

    /// At `now` discovery is known to have been out of reach at `until`. An agent that answers nothing learns
    /// nothing.
    fn out_of_reach(&mut self, now: Instant, until: Instant) {
        let expires = if self.pushed { now + AGENT_CALL_INTERVAL } else { until + CHANGE_VISIBLE_AFTER };
        self.expires = self.expires.max(expires);
    }
}

#[cfg(test)]
mod tests;
