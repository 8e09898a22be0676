//! Views of the fleet are compared by hashes, and what is missing is asked for.

use super::*;

impl Fleet {
    /// Asks one member for others: many come at once, and what is told of each reaches some too late.
    pub(super) fn ask_member(&mut self, now: Instant) {
        let ids = self.swim.iter_members().map(|member| member.id());
        let Some(id) = ids.choose(&mut self.rng).cloned() else { return };
        let mut outlet = Outlet::default();
        let _ = self.swim.announce(id, &mut outlet);
        self.take(now, outlet);
    }

    /// Hashes of those that live, itself among them.
    pub(super) fn parts(&self) -> Vec<u16> {
        let mut parts = vec![0_u16; PARTS];
        let mut add = |number: u64, incarnation: u64| {
            // Any mixture will do: what differs by chance alone is compared again with the next.
            let mixed = (number ^ incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            parts[part_of(number)] ^= (mixed >> 48) as u16;
        };
        add(self.owner, self.me().incarnation);
        for (number, ids) in &self.known {
            ids.iter().for_each(|id| add(*number, id.incarnation));
        }
        parts
    }

    /// Has one member say whom this gateway has missed. Guards against: waiting for the rows of those whose coming was told
    /// too seldom to reach this one; hundreds that start together would take a quarter of a minute.
    pub(super) fn compare(&mut self) {
        let others = self.swim.iter_members().map(|member| member.id().addr);
        if let Some(addr) = others.choose(&mut self.rng) {
            let (from, parts) = (self.me().addr, self.parts());
            self.put(addr, &Body::Whom { from, parts });
        }
    }

    /// Asks one member after another for decisions that were missed: the group's hash of all of them is another.
    pub(super) fn catch_up(&mut self, now: Instant) {
        let said = match self.facts.get(now, GROUP, Subject::Group) {
            Some((Value::Group(word), _)) => Some(word.digest),
            _ => None,
        };
        let lacks = self.newcomer > 0 || said.is_some_and(|said| said != self.facts.digest());
        let Some((after, at)) = self.missed.filter(|_| lacks) else {
            self.missed = lacks.then_some((0, now + DECIDED_ASKED));
            return;
        };
        let others = self.swim.iter_members().map(|member| member.id().addr);
        let other = others.choose(&mut self.rng).filter(|_| now >= at);
        if let Some(addr) = other {
            self.newcomer = self.newcomer.saturating_sub(u32::from(after == 0));
            let from = self.me().addr;
            self.put(addr, &Body::Decided { from, after });
            // The answer moves it on; without one all is asked for again.
            self.missed = Some((0, now + DECIDED_ASKED));
        }
    }
}
