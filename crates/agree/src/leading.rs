//! What the leader does: support, voters, requests of others, and what it tells to all.

use super::*;

impl Agree {
    /// What the leader does between requests: support, voters, what is told to all.
    pub(super) fn lead(&mut self, now: Instant) {
        let Some(node) = self.node.as_mut().filter(|node| node.leads()) else { return };
        let generation = node.generation;
        if !self.stays && node.voters().len() > 1 {
            node.hand_over(now);
        } else {
            let me = self.terms.me.clone();
            let fit: Vec<Peer> = self.others.iter().cloned().chain([me]).collect();
            let next = voters::step(node.number, &node.seats(now), &fit);
            let (term, index) = (node.term(), node.last_index());
            match next.filter(|_| self.sure) {
                Some(Step::Learn(peer)) => {
                    let number = seat_number(&peer, generation, term, index);
                    node.change(now, ConfChangeType::AddLearnerNode, number, Some(&peer));
                }
                Some(Step::Vote(number)) => node.change(now, ConfChangeType::AddNode, number, None),
                Some(Step::Remove(number)) => node.change(now, ConfChangeType::RemoveNode, number, None),
                None => {}
            }
        }
        if now >= self.support_at {
            self.support_at = now + SUPPORT_EVERY;
            self.ask_support(now, generation);
        }
        let supported =
            self.support.until(&self.terms.seeds).map_or(self.led_at, |until| until.max(self.led_at));
        if now >= supported + 2 * support::HELD {
            // Most seeds support another group by now, or one that was not founded: this one is over.
            self.drop_node();
        }
        if self.leads(now) {
            let open = self.node.as_ref().is_some_and(|node| node.kept.state.is_open());
            if !open && now >= self.opens_at {
                let command =
                    Command { key: String::new(), value: Vec::new(), over: Place::default(), lease: None };
                if let Some(node) = &mut self.node {
                    node.propose(now, (0, 0), &command);
                }
            }
            self.tell(now);
        }
        self.pump(now);
    }

    /// What is to be told to all, where it changed or is due again.
    pub(super) fn tell(&mut self, now: Instant) {
        let Some(node) = &self.node else { return };
        let name = |number| node.kept.seats.get(&number).map(|(peer, _)| peer.name.clone());
        let voters = node.voters().into_iter().filter_map(name).collect();
        let epoch = (node.generation, node.term());
        let head = Head { epoch, leader: self.terms.me.name.clone(), voters };
        let due = |at: Instant| now.saturating_duration_since(at) >= HEAD_EVERY;
        if self.head_told.as_ref().is_none_or(|(told, at)| *told != head || due(*at)) {
            self.head_told = Some((head.clone(), now));
            self.head = Some((head.clone(), Some(self.terms.me.addr), now));
            self.events.push_back(Event::Head(head));
        }
        for (key, decision) in node.kept.state.iter() {
            let changed = |told: &Told| {
                let holder = |of: &Decision| of.lease.map(|(holder, _)| holder);
                let other =
                    told.decision.value != decision.value || holder(&told.decision) != holder(decision);
                told.decision.place != decision.place && (other || due(told.at))
            };
            if self.told.get(key).is_none_or(changed) {
                let left = self.ends.get(key).map_or(0, |end| end.saturating_duration_since(now).as_millis());
                let left = u32::try_from(left).unwrap_or(0);
                self.events.push_back(Event::Tell(key.to_owned(), decision.clone(), left));
                self.told.insert(key.to_owned(), Told { decision: decision.clone(), at: now });
            }
        }
        let state = &node.kept.state;
        self.told.retain(|key, _| state.get(key).is_some());
    }

    /// The leader's part in a request.
    pub(super) fn serve(&mut self, now: Instant, ticket: Ticket, from: SocketAddr, command: Command) {
        if self.served.contains_key(&ticket) {
            return;
        }
        let refusal = self.refuses(now, ticket, &command);
        if let Some(outcome) = refusal {
            self.answer(now, ticket, from, outcome);
            return;
        }
        let taken = self.node.as_mut().is_some_and(|node| node.propose(now, ticket, &command));
        if taken {
            self.served.insert(ticket, (from, now));
            self.pump(now);
        } else {
            self.answer(now, ticket, from, Outcome::Elsewhere);
        }
    }

    /// Why it does not even ask the others.
    fn refuses(&self, now: Instant, ticket: Ticket, command: &Command) -> Option<Outcome> {
        let Some(node) = self.node.as_ref().filter(|_| self.leads(now) && self.served.len() < MOST_SERVED)
        else {
            return Some(Outcome::Elsewhere);
        };
        if command.key.is_empty() || !command.is_bounded() {
            return Some(Outcome::Full);
        }
        let state = &node.kept.state;
        let known = state.get(&command.key);
        let place = known.map_or(Place::default(), |decision| decision.place);
        let left = |until: Instant| {
            u32::try_from(until.saturating_duration_since(now).as_millis()).unwrap_or(u32::MAX)
        };
        let leased = command.lease.is_some() || known.is_some_and(|decision| decision.lease.is_some());
        if leased && !state.is_open() {
            return Some(Outcome::Held(place, left(self.opens_at)));
        }
        let (holder, _) = known?.lease?;
        let own = holder == ticket.0 && command.lease.is_none_or(|(to, _)| to == holder);
        let until = *self.ends.get(&command.key)?;
        (!own && now < until).then(|| Outcome::Held(place, left(until)))
    }

    pub(super) fn answer(&mut self, now: Instant, ticket: Ticket, to: SocketAddr, outcome: Outcome) {
        if to == self.terms.me.addr {
            self.on_answer(now, ticket, outcome);
        } else {
            self.put(to, &Body::Answer { ticket, outcome });
        }
    }
}
