//! Requests of this gateway's own for a decision, repeated until the leader answers or they are too old.

use super::*;

impl Agree {
    /// Asks for a decision; its number comes back with the answer. Nothing if there are too many already, or it is too long.
    pub fn ask(&mut self, now: Instant, command: Command) -> Option<u64> {
        if self.asked.len() >= MOST_ASKED || command.key.is_empty() || !command.is_bounded() {
            return None;
        }
        self.count += 1;
        let count = self.count;
        self.asked.insert(count, Asked { command, first: now, again_at: now });
        self.send_asked(now);
        Some(count)
    }

    /// Sends requests of this gateway's own to the leader, and gives up those too old.
    pub(super) fn send_asked(&mut self, now: Instant) {
        let late = |asked: &Asked| now.saturating_duration_since(asked.first) >= ASKED_FOR;
        let given_up: Vec<u64> =
            self.asked.iter().filter(|(_, asked)| late(asked)).map(|(n, _)| *n).collect();
        for count in given_up {
            self.asked.remove(&count);
            self.counts.unanswered += 1;
            self.events.push_back(Event::Unanswered(count));
            for want in self.wants.values_mut().filter(|want| want.asked == Some(count)) {
                (want.asked, want.next_at) = (None, now + AGAIN);
            }
        }
        let due: Vec<u64> =
            self.asked.iter().filter(|(_, asked)| asked.again_at <= now).map(|(n, _)| *n).collect();
        let leader = self.leader();
        for count in due {
            let Some(asked) = self.asked.get_mut(&count) else { continue };
            asked.again_at = now + AGAIN;
            let (ticket, command) = ((self.number, count), asked.command.clone());
            let from = self.terms.me.addr;
            match leader {
                Some(addr) if addr == from => self.serve(now, ticket, from, command),
                Some(addr) => self.put(addr, &Body::Please { ticket, from, command }),
                None => {}
            }
        }
    }

    /// Where the leader is.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        let voted = self.node.as_ref().and_then(|node| Some(node.place_of(node.leader()?)?.0));
        voted.or_else(|| self.head.as_ref().and_then(|(_, leader, _)| *leader))
    }

    pub(super) fn on_answer(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        if ticket.0 != self.number || outcome == Outcome::Elsewhere {
            return;
        }
        let Some(asked) = self.asked.remove(&ticket.1) else { return };
        let took = now.saturating_duration_since(asked.first);
        let lease = asked.command.lease.map(|(_, ms)| Duration::from_millis(ms.into()));
        let until = lease.map(|lease| asked.first + lease.mul_f64(HOLDER));
        if matches!(outcome, Outcome::Decided(_)) {
            self.counts.decided.0 += 1;
            self.counts.decided.1 += u64::try_from(took.as_millis()).unwrap_or(0);
        }
        if let Some(want) = self.wants.get_mut(&asked.command.key) {
            want.asked = None;
            match outcome {
                Outcome::Decided(place) => {
                    (want.over, want.until) = (place, until);
                    want.next_at = asked.first + Duration::from_millis(want.ms.into()) / 3;
                }
                Outcome::Stale(place) => (want.over, want.next_at) = (place, now + AGAIN / 3),
                Outcome::Held(place, ms) => {
                    let wait = Duration::from_millis(ms.into()).min(2 * SUPPORT_EVERY);
                    (want.over, want.next_at) = (place, now + wait.max(AGAIN));
                }
                Outcome::Full | Outcome::Elsewhere => want.next_at = now + SUPPORT_EVERY,
            }
        }
        let until = until.filter(|_| matches!(outcome, Outcome::Decided(_)));
        self.events.push_back(Event::Answered(ticket.1, outcome, until));
    }
}
