//! How a group is founded: only with the support of most seeds, and by one gateway after the other.

use super::*;

impl Agree {
    /// When this gateway may found a group, as nobody else has.
    pub(super) fn found_at(&self) -> Option<Instant> {
        let quiet = match &self.node {
            Some(node) if node.leads() => return None,
            Some(node) => node.heard.max(self.quiet_since),
            None => self.quiet_since,
        };
        Some(quiet + QUIET + NEXT_FOUNDER * self.before)
    }

    /// Founds a group if there is none.
    pub(super) fn found(&mut self, now: Instant) {
        if self.founding.is_none() {
            let due = self.found_at().is_some_and(|at| at <= now);
            if !(due && self.sure && self.stays) {
                return;
            }
            let elapsed = u64::try_from(now.saturating_duration_since(self.origin).as_millis()).unwrap_or(0);
            let generation = (self.terms.unix_ms + elapsed).max(self.highest + 1);
            self.founding = Some((generation, now + FOUND_FOR));
            (self.support, self.support_at) = (Support::default(), now);
        }
        let Some((generation, until)) = self.founding else { return };
        if now >= until {
            self.founding = None;
            // Those that stand before it in line have their turn.
            self.quiet_since = now + Duration::from_millis(self.number % 1_500);
            return;
        }
        if now >= self.support_at {
            self.support_at = now + FOUND_EVERY;
            self.ask_support(now, generation);
        }
    }

    pub(super) fn try_found(&mut self, now: Instant) {
        let Some((generation, _)) = self.founding else { return };
        if self.support.until(&self.terms.seeds).is_none_or(|until| until <= now + SUPPORT_EVERY) {
            return;
        }
        self.founding = None;
        if self.node.is_some() {
            self.drop_node();
        }
        let me = self.terms.me.clone();
        let number = seat_number(&me, generation, 1, 1);
        let known = self.known.iter().map(|(key, (decision, _))| (key.clone(), decision.clone()));
        let state = State::of(known);
        self.highest = generation;
        self.floor = (generation, 1);
        self.node = Node::found(now, generation, number, me, state).ok();
        // Leases of the group before this one may still be held.
        self.opens_at = now + Duration::from_millis(LONGEST_LEASE.into());
        self.counts.founded += 1;
        self.pump(now);
        self.lead(now);
    }

    pub(super) fn ask_support(&mut self, now: Instant, generation: u64) {
        let at = u64::try_from(now.saturating_duration_since(self.origin).as_micros()).unwrap_or(0);
        let me = self.terms.me.addr;
        for seed in self.terms.seeds.clone() {
            if seed == me {
                if self.grantor.ask(now, generation) {
                    self.support.granted(me, now);
                }
            } else {
                self.put(seed, &Body::Ask { generation, seeds: self.seeds, at, from: me });
            }
        }
        self.try_found(now);
    }
}
