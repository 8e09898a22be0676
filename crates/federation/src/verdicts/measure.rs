//! Asks other gateways for their time, and keeps what they say of db hosts until its age is known.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::clocks::{PeerClocks, RoundTrip};
use super::{Said, Say, Time};
use crate::bridge::now;
use crate::Context;

/// Messages of one gateway that may wait for a round trip; older ones are told again.
const MAX_WAITING: usize = 32;

/// A message whose age is to be found.
#[derive(Debug)]
pub(super) struct Message {
    pub incarnation: u64,
    /// When it was sent, by its sender's clock.
    pub sent_ms: u64,
    /// When it came.
    pub came: Instant,
    pub said: Vec<Said>,
}

/// A question for the time has ended.
pub(super) struct Measured {
    name: Box<str>,
    trip: Option<RoundTrip>,
}

/// Round trips, and what waits for them.
pub(super) struct Measurements {
    clocks: PeerClocks,
    began: Instant,
    /// Those that are being asked, and their messages that wait.
    asking: BTreeMap<Box<str>, Vec<Message>>,
    asks: JoinSet<Measured>,
}

/// Milliseconds from one moment to another.
fn milliseconds(began: Instant, at: Instant) -> u64 {
    u64::try_from(at.saturating_duration_since(began).as_millis()).unwrap_or(u64::MAX)
}

impl Measurements {
    pub fn new(began: Instant) -> Self {
        Self { clocks: PeerClocks::default(), began, asking: BTreeMap::new(), asks: JoinSet::new() }
    }

    /// A moment as this process tells it to others.
    pub fn time(&self, at: Instant) -> u64 {
        milliseconds(self.began, at)
    }

    /// Asks a gateway for its time, unless it is being asked.
    pub fn ask(&mut self, context: &Context, name: &str, patience: Duration) {
        if self.asking.contains_key(name) {
            return;
        }
        self.asking.insert(name.into(), Vec::new());
        let (peers, began, name) = (context.peers.clone(), self.began, Box::<str>::from(name));
        self.asks.spawn(async move {
            let asked_ms = milliseconds(began, now());
            let answer = peers.ask(&name, &Say::AskTime, patience).await;
            let answered_ms = milliseconds(began, now());
            let trip = answer.ok().map(|Time { incarnation, now_ms }| RoundTrip {
                incarnation,
                asked_ms,
                answered_ms,
                its_ms: now_ms,
            });
            Measured { name, trip }
        });
    }

    /// A question that has ended; never, if none is out.
    pub async fn next(&mut self) -> Option<Measured> {
        self.asks.join_next().await?.ok()
    }

    /// Takes the end of a question; gives back the messages that waited for it.
    pub fn learn(&mut self, Measured { name, trip }: Measured) -> (Box<str>, Vec<Message>) {
        if let Some(trip) = trip {
            self.clocks.learn(&name, trip);
        }
        let waited = self.asking.remove(&name).unwrap_or_default();
        (name, waited)
    }

    /// Gives a message back if its age can be told now; else keeps it, and asks its sender for its time.
    pub fn hold(
        &mut self,
        context: &Context,
        name: &str,
        message: Message,
        patience: Duration,
    ) -> Option<Message> {
        let came_ms = self.time(message.came);
        if self.clocks.is_measured(name, message.incarnation, came_ms) {
            if self.clocks.is_coarse(name, came_ms) {
                self.ask(context, name, patience);
            }
            return Some(message);
        }
        self.ask(context, name, patience);
        if let Some(waiting) = self.asking.get_mut(name).filter(|waiting| waiting.len() < MAX_WAITING) {
            waiting.push(message);
        }
        None
    }

    /// The most that a message's age was when it came; none if its sender could not be asked.
    pub fn age(&mut self, name: &str, message: &Message) -> Option<Duration> {
        let came_ms = self.time(message.came);
        let age = self.clocks.age(name, message.incarnation, message.sent_ms, came_ms);
        tracing::debug!(
            peer = name,
            incarnation = message.incarnation,
            sent_ms = message.sent_ms,
            came_ms,
            ?age,
            "verdicts: a message from another gateway"
        );
        age
    }

    /// Drops what is known of those that have been absent for long.
    pub fn forget_absent(&mut self, now: Instant, listed: impl Fn(&str) -> bool) {
        let now_ms = self.time(now);
        self.clocks.forget_absent(now_ms, listed);
    }
}
