//! What is sent when: in the recorded order and spacing on each connection, and never before the answer that came
//! before it in the recording has come again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use yewroute_traffic::{Outcome, Request};

use crate::message::Retell;
use crate::wheel::Wheel;

/// A request that goes out this much after its time is late.
const LATE: Duration = Duration::from_millis(20);

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send these bytes on the connection of this number, opened for its first ones.
    Send(u64, Vec<u8>),
    /// All of this connection is done.
    Close(u64),
}

/// What a replay came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were sent.
    pub sent: u64,
    /// Outcomes, in the order of [`Outcome`].
    pub outcomes: [u64; 5],
    /// Answers whose outcome is not the recorded one.
    pub other_outcome: u64,
    /// Served ones whose rows are not the recorded ones.
    pub other_value: u64,
    /// Sent late, as the answer before had not come, and the most that one was late.
    pub late: u64,
    /// The most that one was late.
    pub latest: Duration,
}

struct Item {
    due: u64,
    bytes: Vec<u8>,
    outcome: Outcome,
    value: Option<u32>,
}

#[derive(Default)]
struct Line {
    items: VecDeque<Item>,
    out: Option<(Outcome, Option<u32>)>,
}

/// A replay under way; its time is counted from its start.
#[derive(Default)]
pub struct Plan {
    lines: BTreeMap<u64, Line>,
    wheel: Wheel<u64>,
    first: Option<Duration>,
    speed: Option<f64>,
    retell: Retell,
    bytes: usize,
    report: Report,
}

impl Plan {
    /// An empty one; at a speed, or as fast as answers come.
    #[must_use]
    pub fn new(speed: Option<f64>, retell: Retell) -> Self {
        Self { speed, retell, ..Self::default() }
    }

    /// Bytes of what is still to be sent.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a request; those of a connection in their recorded order, the first of all first.
    pub fn add(&mut self, request: &Request) {
        let first = *self.first.get_or_insert(request.at);
        let after = request.at.saturating_sub(first);
        let due = self.speed.map_or(0, |speed| (after.as_secs_f64() * 1000.0 / speed) as u64);
        let bytes = self.retell.messages(request);
        self.bytes += bytes.len();
        let line = self.lines.entry(request.connection).or_default();
        if line.items.is_empty() {
            self.wheel.set(due, request.connection);
        }
        line.items.push_back(Item { due, bytes, outcome: request.outcome, value: request.value });
    }

    /// When something is due next, at the earliest.
    #[must_use]
    pub fn next(&self) -> Option<Duration> {
        self.wheel.next().map(Duration::from_millis)
    }

    /// All is sent and answered.
    #[must_use]
    pub fn done(&self) -> bool {
        self.lines.is_empty()
    }

    /// Appends what is due at `now`.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        while let Some((_, connection)) = self.wheel.due(now_ms) {
            let Some(line) = self.lines.get_mut(&connection) else { continue };
            let Some(item) = line.items.pop_front() else { continue };
            let late = now.saturating_sub(Duration::from_millis(item.due));
            if self.speed.is_some() && late >= LATE {
                self.report.late += 1;
                self.report.latest = self.report.latest.max(late);
            }
            line.out = Some((item.outcome, item.value));
            self.bytes -= item.bytes.len();
            self.report.sent += 1;
            actions.push(Action::Send(connection, item.bytes));
        }
    }

    /// The answer to what is out on a connection has come, or its connection broke without one.
    pub fn answered(
        &mut self,
        connection: u64,
        outcome: Outcome,
        value: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        let Some((recorded, recorded_value)) = line.out.take() else { return };
        self.report.outcomes[outcome as usize] += 1;
        if recorded != outcome {
            self.report.other_outcome += 1;
        } else if recorded_value != value {
            self.report.other_value += 1;
        }
        match line.items.front() {
            Some(next) => self.wheel.set(next.due, connection),
            None => {
                self.lines.remove(&connection);
                actions.push(Action::Close(connection));
            }
        }
    }

    /// What it has come to so far.
    #[must_use]
    pub fn report(&self) -> Report {
        self.report
    }
}
