//! After a stop: whether this process may still act, as others have taken it for dead meanwhile.

use super::*;

impl Fleet {
    /// This process did not run for a while: what others seem to have missed is its own doing. All it waits for is waited
    /// for anew, and after a longer stop others are asked how they see it.
    pub(super) fn on_stop(&mut self, now: Instant, late: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, n), timer)| ((at + late, n), timer)).collect();
        self.suspects.values_mut().for_each(|(_, since)| *since += late);
        if late >= STOPPED {
            self.events.push_back(Event::Stopped(late));
            if self.swim.iter_members().next().is_some() {
                self.doubt = Some(Doubt { nonce: self.rng.random(), ask_at: now });
            }
        }
    }

    pub(super) fn ask(&mut self, now: Instant) {
        let Some(doubt) = &mut self.doubt else { return };
        doubt.ask_at = now + ASK_EVERY;
        let nonce = doubt.nonce;
        let others = self.swim.iter_members().map(|member| member.id().addr);
        for addr in others.choose_multiple(&mut self.rng, ASK) {
            let me = self.me().clone();
            self.put(addr, &Body::Ask { me, nonce });
        }
    }

    /// Announces itself to a seed that is no member, as at the start, or after a cut so long that all are forgotten.
    pub(super) fn ask_seeds(&mut self, now: Instant) {
        let known = |addr: &SocketAddr| self.swim.iter_members().any(|member| member.id().addr == *addr);
        let alone = self.swim.iter_members().next().is_none();
        let me = self.swim.identity().addr;
        let strange = self.terms.seeds.iter().copied().filter(|addr| *addr != me && !known(addr));
        let chosen = strange.choose_multiple(&mut self.rng, if alone { ASK } else { 1 });
        for addr in chosen {
            let mut outlet = Outlet::default();
            let seed = Id { name: "".into(), zone: "".into(), addr, incarnation: 0 };
            let _ = self.swim.announce(seed, &mut outlet);
            self.take(now, outlet);
        }
    }

    /// Takes those for dead whose suspicion nobody has refuted. Guards against: one that has heard of the suspicion and
    /// not of its end, as only who raised it keeps its time.
    pub(super) fn judge(&mut self, now: Instant) {
        let held = std::mem::take(&mut self.suspects);
        let suspects = self.swim.iter_members().filter(|member| member.state() == State::Suspect);
        let since = |member: &foca::Member<Id>| {
            let known = held.get(&member.id().addr).filter(|(count, _)| *count == member.incarnation());
            known.map_or(now, |(_, since)| *since)
        };
        let suspects: Vec<_> = suspects.map(|member| (member.clone(), since(member))).collect();
        let due = |since: Instant| now.saturating_duration_since(since) >= SUSPICION + SUSPICION / 2;
        let dead = suspects.iter().filter(|(_, since)| due(*since) && self.doubt.is_none());
        let dead: Vec<_> = dead
            .map(|(member, _)| foca::Member::new(member.id().clone(), member.incarnation(), State::Down))
            .collect();
        self.suspects = suspects.iter().map(|(m, since)| (m.id().addr, (m.incarnation(), *since))).collect();
        for (member, _) in suspects.iter().choose_multiple(&mut self.rng, ASK) {
            self.ask_about(member);
        }
        if !dead.is_empty() {
            let mut outlet = Outlet::default();
            let _ = self.swim.apply_many(dead.into_iter(), true, &mut outlet);
            self.take(now, outlet);
        }
    }

    /// Tells a member that it is suspected, also by way of others, who pass on its refutation if they know of one. Guards
    /// against: a refutation that gossip has not brought, where datagrams of the two do not reach each other.
    fn ask_about(&mut self, suspect: &foca::Member<Id>) {
        let (id, count, from) = (suspect.id(), suspect.incarnation(), self.me().addr);
        let alive = self.swim.iter_members().filter(|member| member.state() == State::Alive);
        let others = alive.map(|member| member.id().addr).choose_multiple(&mut self.rng, ASK);
        for addr in others.into_iter().chain([id.addr]) {
            self.put(addr, &Body::Suspected { id: id.clone(), count, from });
        }
    }

    /// A member is suspected by the one at `from`: passes on its refutation, or else the suspicion to that member.
    pub(super) fn on_suspected(
        &mut self,
        now: Instant,
        suspect: Id,
        count: u16,
        from: SocketAddr,
    ) -> Result<(), Dropped> {
        member::bounded(&suspect).map_err(|_| Dropped::Malformed)?;
        if suspect == *self.me() {
            self.apply(now, foca::Member::new(suspect.clone(), count, State::Suspect))?;
            self.refuted_to = self.refuted_to.max(count.saturating_add(1));
            self.put(from, &Body::Lives { id: suspect, count: self.refuted_to });
            return Ok(());
        }
        let known = self.swim.iter_members().find(|member| *member.id() == suspect);
        let Some((state, refuted_to)) = known.map(|member| (member.state(), member.incarnation())) else {
            return Ok(());
        };
        if state == State::Alive && refuted_to > count {
            self.put(from, &Body::Lives { id: suspect, count: refuted_to });
        } else {
            self.put(suspect.addr, &Body::Suspected { id: suspect, count, from });
        }
        Ok(())
    }
}
