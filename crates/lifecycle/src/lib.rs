//! Whether a gateway takes clients, sends them away or ends.
//!
//! One state machine for the operators' drain, SIGTERM and the successor that takes over. It does no I/O and reads no
//! clock: it is told what happens and when, and answers what is to be done now. `docs/design/service.md` has the table
//! of what each event does at each stage.
#![forbid(unsafe_code)]

mod overlap;

use std::time::{Duration, Instant};

pub use overlap::{Means, Word};

/// How long the front may go on dealing new connections to a gateway that drains.
const NOTICE: Duration = Duration::from_millis(300);
/// Since a drain began: when connections between requests go, and when those within a message go.
const IDLE_GO: Duration = Duration::from_millis(1_500);
const PARTS_GO: Duration = Duration::from_millis(2_000);
/// Since SIGTERM: how long new connections still come, as clients hear of it only then. Connections between requests go
/// at the end of it.
const STOP_NOTICE: Duration = Duration::from_millis(500);
/// The same where a successor takes the new connections. What comes later than 0.7 s after SIGTERM must be answered.
const HANDED_IDLE_GO: Duration = Duration::from_millis(400);
/// Past the longest deadline, to let the last answers out.
const LEEWAY: Duration = Duration::from_millis(100);
/// SIGKILL comes the longest deadline and 0.7 s after SIGTERM at the earliest, and that deadline counts as this at the most.
const LONGEST_DEADLINE_WAITED_FOR: Duration = Duration::from_secs(3);
/// So long before the last answers are due no further command is read, and connections go that are within a message.
const PARTS_GO_BEFORE_LAST_ANSWERS: Duration = Duration::from_millis(300);
/// How long the process stays beyond its time for answers that are still owed: those to slow readers, and values that are
/// passed on.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(15);

/// Where a gateway stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It cannot serve yet.
    Starting,
    /// It takes clients.
    Ready,
    /// It sends clients away.
    Draining,
    /// It sends clients away, and none is left.
    Drained,
    /// It ends when all is answered.
    Stopping,
}

/// Which connections without an open request leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    /// None.
    #[default]
    None,
    /// Those that have just been answered.
    Answered,
    /// Also those between requests.
    Idle,
    /// Also those whose message has come in part.
    Parts,
}

/// Why a gateway ends, and since when.
#[derive(Clone, Copy, Debug)]
struct Stop {
    since: Instant,
    terminated: bool,
    /// A successor takes the new connections.
    handed: bool,
}

/// The state of one gateway.
#[derive(Debug)]
pub struct Lifecycle {
    longest_deadline: Duration,
    serving: bool,
    drained: Option<Instant>,
    stop: Option<Stop>,
}

impl Lifecycle {
    /// One that cannot serve yet; no client waits longer than `longest_deadline` for an answer.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        Self { longest_deadline, serving: false, drained: None, stop: None }
    }

    /// It can serve from now on.
    pub fn serves(&mut self) {
        self.serving = true;
    }

    /// Clients are to be sent away. A drain that is under way goes on by its own clock.
    pub fn drain(&mut self, now: Instant) {
        self.drained = self.drained.or(Some(now));
    }

    /// Clients are welcome again; false if it ends anyway.
    pub fn undrain(&mut self) -> bool {
        if self.stop.is_none() {
            self.drained = None;
        }
        self.stop.is_none()
    }

    /// SIGTERM.
    pub fn terminate(&mut self, now: Instant) {
        match &mut self.stop {
            Some(stop) => stop.terminated = true,
            None => self.stop = Some(Stop { since: now, terminated: true, handed: false }),
        }
    }

    /// Another process takes the new connections.
    pub fn handed(&mut self, now: Instant) {
        match &mut self.stop {
            Some(stop) => stop.handed = true,
            None => self.stop = Some(Stop { since: now, terminated: false, handed: true }),
        }
    }

    /// That process has ended. Without SIGTERM this one takes clients again.
    pub fn successor_lost(&mut self) {
        self.stop = self.stop.filter(|stop| stop.terminated).map(|stop| Stop { handed: false, ..stop });
    }

    /// A successor takes the new connections.
    #[must_use]
    pub fn is_handed(&self) -> bool {
        self.stop.is_some_and(|stop| stop.handed)
    }

    /// Where it stands with so many client connections.
    #[must_use]
    pub fn stage(&self, clients: usize) -> Stage {
        match (self.stop, self.drained) {
            (Some(_), _) => Stage::Stopping,
            (None, Some(_)) if clients == 0 => Stage::Drained,
            (None, Some(_)) => Stage::Draining,
            _ if self.serving => Stage::Ready,
            _ => Stage::Starting,
        }
    }

    /// It takes clients: what the console's question is answered.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.serving && self.drained.is_none() && self.stop.is_none()
    }

    /// An empty query gets a yes. While it ends the front is told by the signal, or dealt to by the successor; a no
    /// would speak for the successor too.
    #[must_use]
    pub fn says_yes(&self) -> bool {
        self.serving && self.drained.is_none()
    }

    /// New connections are accepted.
    #[must_use]
    pub fn accepts(&self, now: Instant) -> bool {
        self.serving && self.stop.is_none_or(|stop| !stop.handed && now < stop.since + STOP_NOTICE)
    }

    /// Nobody will accept on this listener again, or somebody else does.
    #[must_use]
    pub fn closes_listener(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| stop.terminated && now >= stop.since + STOP_NOTICE)
    }

    /// Which connections leave at `now`.
    #[must_use]
    pub fn leaving(&self, now: Instant) -> Leaving {
        let drain = self.drained.map_or(Leaving::None, |since| match now.saturating_duration_since(since) {
            past if past >= PARTS_GO => Leaving::Parts,
            past if past >= IDLE_GO => Leaving::Idle,
            past if past >= NOTICE => Leaving::Answered,
            _ => Leaving::None,
        });
        let stop = self.stop.map_or(Leaving::None, |stop| {
            let past = now.saturating_duration_since(stop.since);
            match stop.handed {
                _ if now >= self.parts_go(stop) => Leaving::Parts,
                true if past >= HANDED_IDLE_GO => Leaving::Idle,
                true => Leaving::Answered,
                false if past >= STOP_NOTICE => Leaving::Idle,
                false => Leaving::None,
            }
        });
        drain.max(stop)
    }

    /// The process may end, with so many client connections. Those that hold a connection without a request, or stopped
    /// within one, do not keep it running; one that an answer is owed to does, as ending would lose it.
    #[must_use]
    pub fn done(&self, now: Instant, clients: usize, owes_answers: impl FnOnce() -> bool) -> bool {
        let Some(stop) = self.stop.filter(|_| !self.accepts(now)) else { return false };
        let ends = self.ends(stop);
        clients == 0 || now >= ends + UNANSWERED_TIMEOUT || now >= ends && !owes_answers()
    }

    /// Once it ends: when whatever it takes in from now on must have its answer, as it may be killed then.
    #[must_use]
    pub fn answers_by(&self) -> Option<Instant> {
        self.stop.map(|stop| self.answers(stop))
    }

    fn parts_go(&self, stop: Stop) -> Instant {
        let notice = stop.since + STOP_NOTICE;
        self.answers(stop).checked_sub(PARTS_GO_BEFORE_LAST_ANSWERS).map_or(notice, |at| at.max(notice))
    }

    fn answers(&self, stop: Stop) -> Instant {
        stop.since + STOP_NOTICE + self.longest_deadline.min(LONGEST_DEADLINE_WAITED_FOR) + LEEWAY
    }

    fn ends(&self, stop: Stop) -> Instant {
        stop.since + STOP_NOTICE + self.longest_deadline + LEEWAY
    }

    /// When an answer given here changes next by time alone.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let drain = self.drained.map(|since| [since + NOTICE, since + IDLE_GO, since + PARTS_GO]);
        let stop = self.stop.map(|stop| {
            let (idle_go, notice) = (stop.since + HANDED_IDLE_GO, stop.since + STOP_NOTICE);
            let ends = self.ends(stop);
            [idle_go, notice, self.parts_go(stop), ends, ends + UNANSWERED_TIMEOUT]
        });
        drain.into_iter().flatten().chain(stop.into_iter().flatten()).filter(|at| *at > now).min()
    }
}

#[cfg(test)]
mod tests;
