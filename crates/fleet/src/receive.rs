//! What a datagram of another gateway says.

use super::*;

impl Fleet {
    /// Takes a datagram.
    pub fn receive(&mut self, now: Instant, datagram: &[u8]) {
        if self.left || self.superseded {
            return;
        }
        self.counts.received.0 += 1;
        self.counts.received.1 += datagram.len() as u64;
        let body = self.seal.open(datagram);
        let taken = body.and_then(read);
        if let Err(why) = taken.and_then(|body| self.on_body(now, body)) {
            *self.counts.dropped.entry(why).or_default() += 1;
        }
    }

    pub(super) fn on_body(&mut self, now: Instant, body: Body<'_>) -> Result<(), Dropped> {
        match body {
            Body::Swim(bytes) => {
                // Guards against: members without number, by one that has the key.
                if self.swim.iter_membership_state().len() >= MOST_MEMBERS {
                    return Err(Dropped::Full);
                }
                let mut outlet = Outlet::default();
                let taken = self.swim.handle_data(bytes, &mut outlet);
                self.take(now, outlet);
                taken.map_err(|_| Dropped::Malformed)
            }
            Body::Rows { from, rows } => {
                let (own, tells) = (self.owner, self.tells());
                let told = rows.len();
                let rows: Vec<Row> =
                    rows.into_iter().filter_map(|row| postcard::from_bytes(row).ok()).collect();
                if rows.len() < told {
                    *self.counts.dropped.entry(Dropped::Newer).or_default() += 1;
                }
                let mut strange = Vec::new();
                let decided = rows.iter().filter_map(|row| match row.subject {
                    Subject::Decision(key) => Some(key),
                    _ => None,
                });
                if let (Some((after, at)), Some(last)) = (&mut self.missed, decided.max()) {
                    (*after, *at) = (last.saturating_add(1), now);
                }
                for row in rows.into_iter().filter(|row| row.owner != own) {
                    if row.subject == Subject::Owner && !self.known.contains_key(&row.owner) {
                        strange.push(row.owner);
                    }
                    let group = (row.owner == GROUP).then(|| row.clone());
                    if self.facts.merge(now, row, tells) {
                        self.events.extend(group.map(Event::Group));
                    }
                }
                // What was told of a member passed this gateway by; its row did not.
                strange.truncate(WHO);
                if !strange.is_empty() {
                    let owners = strange;
                    self.put(from, &Body::Who { from: self.me().addr, owners });
                }
                Ok(())
            }
            Body::Who { from, owners } => {
                let mut ids = Vec::new();
                for owner in owners.iter().take(WHO) {
                    let known = self.known.get(owner).into_iter().flat_map(|addrs| addrs.iter());
                    ids.extend(known.cloned());
                }
                ids.truncate(WHO);
                self.put(from, &Body::Here(ids));
                Ok(())
            }
            Body::Here(ids) => {
                let own = self.me().addr;
                let fits = |id: &Id| id.addr != own && member::bounded(id).is_ok();
                let alive = ids.into_iter().take(WHO).filter(fits).map(foca::Member::alive);
                let mut outlet = Outlet::default();
                let taken = self.swim.apply_many(alive, false, &mut outlet);
                self.take(now, outlet);
                taken.map_err(|_| Dropped::Malformed)
            }
            Body::Decided { from, after } => {
                let word = self.facts.row(now, GROUP, Subject::Group).filter(|_| after == 0);
                let mut rows = self.facts.decided(now, after, seal::ROOM - ROWS_HEAD - GROUP_ROW);
                rows.extend(word);
                // None is the answer that there are no more.
                self.put_rows(from, &rows);
                Ok(())
            }
            Body::Carried(message) => {
                self.events.push_back(Event::Carried(message.to_vec()));
                Ok(())
            }
            Body::Suspected { id, count, from } => self.on_suspected(now, id, count, from),
            Body::Whom { from, parts } => {
                let own = self.parts();
                if parts.len() != PARTS {
                    return Err(Dropped::Malformed);
                }
                let differs = |number: u64| own[part_of(number)] != parts[part_of(number)];
                let known = self.known.iter().filter(|(number, _)| differs(**number));
                let me = Some(self.me()).filter(|_| differs(self.owner));
                let ids: Vec<Id> = known.flat_map(|(_, ids)| ids).chain(me).cloned().collect();
                for some in ids.chunks(WHO).take(ANSWERS) {
                    self.put(from, &Body::Here(some.to_vec()));
                }
                Ok(())
            }
            Body::Lives { id, count } => {
                member::bounded(&id).map_err(|_| Dropped::Malformed)?;
                let known = self.swim.iter_members().any(|member| *member.id() == id);
                if known && id != *self.me() {
                    self.apply(now, foca::Member::new(id, count, State::Alive))?;
                }
                Ok(())
            }
            Body::Ask { me, nonce } => {
                let known = self.swim.iter_members().any(|member| *member.id() == me);
                self.put(me.addr, &Body::Seen { nonce, alive: known });
                Ok(())
            }
            Body::Seen { nonce, alive } => {
                if alive && self.doubt.as_ref().is_some_and(|doubt| doubt.nonce == nonce) {
                    self.doubt = None;
                }
                Ok(())
            }
        }
    }
}
