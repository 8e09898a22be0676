//! What the failure detector finds out of members.

use super::*;

impl Fleet {
    pub(super) fn apply(&mut self, now: Instant, member: foca::Member<Id>) -> Result<(), Dropped> {
        let mut outlet = Outlet::default();
        let taken = self.swim.apply_many(std::iter::once(member), true, &mut outlet);
        self.take(now, outlet);
        taken.map_err(|_| Dropped::Malformed)
    }

    pub(super) fn remember(&mut self, id: &Id) {
        let ids = self.known.entry(name_number(&id.name)).or_default();
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    pub(super) fn forget_id(&mut self, id: &Id) {
        let owner = name_number(&id.name);
        if let Some(ids) = self.known.get_mut(&owner) {
            ids.retain(|known| known != id);
            if ids.is_empty() {
                self.known.remove(&owner);
            }
        }
    }

    /// Takes over what the library gave out.
    pub(super) fn take(&mut self, now: Instant, outlet: Outlet) {
        for (to, data) in outlet.send {
            self.put(to.addr, &Body::Swim(&data));
        }
        for (timer, after) in outlet.timers {
            self.made += 1;
            self.timers.insert((self.beat(now + after), self.made), timer);
        }
        if outlet.rejoined {
            self.counts.returned += 1;
            self.refuted_to = 0;
            self.doubt = None;
            self.events.push_back(Event::Returned(self.me().incarnation));
            let stage = self.facts.get(now, self.owner, Subject::Owner);
            if let Some(value) = stage.map(|(value, _)| value.clone()) {
                self.write(now, Subject::Owner, value);
            }
        }
        let changed = !outlet.up.is_empty() || !outlet.down.is_empty();
        for (old, new) in outlet.renamed {
            self.forget_id(&old);
            if self.swim.iter_members().any(|member| *member.id() == new) {
                self.remember(&new);
            }
        }
        if !outlet.up.is_empty() {
            self.grew_at = now;
        }
        for id in outlet.up {
            self.remember(&id);
            self.fading.remove(&name_number(&id.name));
            let me = self.me();
            if id.name == me.name && (id.incarnation, id.addr) > (me.incarnation, me.addr) {
                self.superseded = true;
                self.events.push_back(Event::Superseded(id));
                continue;
            }
            self.facts.tell_again(self.owner, 4);
            self.events.push_back(Event::Up(id));
        }
        for id in outlet.down {
            self.forget_id(&id);
            let owner = name_number(&id.name);
            if self.known.contains_key(&owner) || id.name == self.me().name {
                continue;
            }
            self.fading.insert(owner, now + facts::FADE);
            let left =
                matches!(self.facts.get(now, owner, Subject::Owner), Some((Value::Stage(Stage::Left), _)));
            self.counts.deaths += u64::from(!left);
            let health = if left { Health::Left } else { Health::Down };
            self.events.push_back(Event::Gone(id, health));
        }
        if changed {
            let size = self.swim.num_members() + 1;
            if size.ilog2() != self.size.ilog2() {
                // It refuses only changes of the probe's times.
                let _ = self.swim.set_config(config(size));
            }
            self.size = size;
        }
    }

    /// The end of a suspicion that is over already. Guards against: the library, which at that end tells the member that it
    /// was declared dead even if it has refuted the suspicion; it then takes a new incarnation for nothing.
    pub(super) fn refuted(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let suspect = |member: &foca::Member<Id>| {
            member.state() == State::Suspect && member.incarnation() == *incarnation
        };
        !self.swim.iter_members().any(|member| member.id() == member_id && suspect(member))
    }
}
