//! Who is listed, and who is the primary.

use super::*;

/// Where a server's word on itself comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// An answer to what was sent at this time; none if it is not known any more.
    Answer { sent: Option<Instant> },
    /// A load report, which is some moments old.
    Report,
}

impl Router {
    pub(super) fn on_list(&mut self, now: Instant, kind: ListKind, entries: &[Entry], out: Out) {
        if kind == ListKind::Broken {
            // Guards against: discovery out of reach. The list held stays; asking again waits with jitter,
            // so that many gateways do not ask in step, and well inside the must-ask limit.
            let pause = ASK_PAUSE.min(self.settings.rules.must_ask_in / 3);
            return out.push(Action::Timer { delay: pause.mul_f64(0.5 + self.rng.f64()), name: ASK });
        }
        if kind == ListKind::Stale {
            out.push(Action::Timer { delay: TICK_EVERY, name: TICK });
            out.extend((self.settings.discovery == Discovery::Subscribe).then_some(Action::Subscribe));
        }
        if kind != ListKind::Patch {
            for (id, server) in &mut self.servers {
                let listed = entries.iter().any(|e| e.server == *id);
                server.usable &= listed || self.settings.rules.soft_removal;
                server.gone |= !listed && !server.usable;
            }
        }
        entries.iter().for_each(|entry| self.on_entry(kind, entry));
        // Guards against: work and memory that grow with every server there ever was.
        self.servers.retain(|_, server| !(server.gone && server.out == 0));
        for group in self.groups.values_mut() {
            group.members.retain(|m| self.servers.contains_key(m));
            group.primary = group.primary.filter(|m| self.servers.contains_key(m));
        }
        self.groups.retain(|_, group| !group.members.is_empty() || !group.waiting.is_empty());
        self.on_tick(now, out);
    }

    pub(super) fn on_list_observed(&mut self, now: Instant, observation: ListObservation, out: Out) {
        let pushed = self.settings.discovery == Discovery::Automatic;
        let was_current = self.list_is_current(now);
        let lease = self.list_lease.get_or_insert_with(|| ListLease::begin(now, pushed));
        lease.observe(now, observation);
        if !was_current && self.list_is_current(now) {
            self.on_tick(now, out);
        }
    }

    /// Whether the held list may be routed by.
    #[must_use]
    pub fn list_is_current(&self, now: Instant) -> bool {
        self.list_expires().is_none_or(|expires| now < expires)
    }

    /// Until when the held list may be routed by, as things stand; none if nothing is observed of discovery.
    #[must_use]
    pub fn list_expires(&self) -> Option<Instant> {
        self.list_lease.as_ref().map(ListLease::expires)
    }

    /// Requests that were refused or failed while the list could not be routed by.
    #[must_use]
    pub fn refused_without_list(&self) -> u64 {
        self.refused_without_list
    }

    /// How many servers are held: those listed, and gone ones that an attempt is still out at.
    pub fn held(&self) -> usize {
        self.servers.len()
    }

    /// How many servers that take requests get nothing at `now`, as they do not answer or asked for rest.
    pub fn avoided(&self, now: Instant) -> usize {
        self.servers.values().filter(|s| s.usable && s.resting(now)).count()
    }

    fn on_entry(&mut self, kind: ListKind, entry: &Entry) {
        let fresh = !self.servers.contains_key(&entry.server);
        let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.group));
        match entry.phase {
            Phase::Serving => server.usable = true,
            Phase::Draining => server.usable = false,
            Phase::Gone => server.usable = self.settings.rules.soft_removal && server.usable,
        }
        server.gone = entry.phase == Phase::Gone && !server.usable;
        server.stand = entry.stand;
        server.take_start(entry.started, &self.settings);
        let group = self.groups.entry(entry.group).or_default();
        group.members.extend(fresh.then_some(entry.server));
        // The list's word on roles is the weakest evidence: it counts until anything else has spoken.
        let told = (self.settings.list_role, kind);
        let newest = matches!(told, (ListRole::Late, _) | (ListRole::Start, ListKind::Stale));
        if entry.primary && newest && server.role.is_none() && group.primary.is_none() {
            group.primary = Some(entry.server);
            server.role = Some(Role::Primary);
        }
    }

    /// Takes what a server says of itself.
    pub(super) fn learn(&mut self, now: Instant, id: ServerId, note: Note, source: Source) {
        let outdated = self.may_be_outdated(id, note, source);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.position = server.position.max(note.position);
        server.position_at = note.position.map_or(server.position_at, |_| Some(now));
        if outdated {
            return;
        }
        // Guards against: writes going back at once to one that turns them away and calls itself primary.
        let denied = since(now, server.denied_at) < REPLICA_HOLDS && note.role != Some(Role::Replica);
        server.denied_at = server.denied_at.filter(|_| denied || note.role.is_none());
        let Some(role) = (if denied { Some(Role::Replica) } else { note.role }) else { return };
        // Believe the freshest evidence: a report is some moments old, an answer is not.
        let from_report = source == Source::Report;
        if from_report && since(now, server.role_at) < REPORT_AGE && server.role.is_some_and(|r| r != role) {
            return;
        }
        server.role_at = if from_report { server.role_at } else { Some(now) };
        server.role = Some(role);
        let group = self.groups.get_mut(&server.group).expect("made with the server");
        if role == Role::Primary || group.primary == Some(id) {
            group.primary = (role == Role::Primary).then_some(id);
        }
    }

    /// Whether an answer in which a server calls itself the primary may be older than another that is known:
    /// in which it called itself a replica, or another server itself the primary. A primary's position is the
    /// present, so the greater one is the newer; else the answer counts if it was asked for since.
    ///
    /// Guards against: answers that were held back for seconds, by which a primary that has been replaced
    /// gets writes, and bounded reads though it is behind. Hurts where positions are not told: the primary is
    /// known one answer later.
    fn may_be_outdated(&self, id: ServerId, note: Note, source: Source) -> bool {
        let (Source::Answer { sent }, Some(Role::Primary)) = (source, note.role) else { return false };
        let Some(server) = self.servers.get(&id) else { return false };
        let primary = self.groups.get(&server.group).and_then(|group| group.primary);
        let other = primary.filter(|primary| *primary != id).map(|primary| &self.servers[&primary]);
        let denies = Some(server).filter(|server| server.role == Some(Role::Replica));
        [denies, other].into_iter().flatten().any(|known| {
            let newer = note.position.is_some() && known.position.is_some() && note.position > known.position;
            let asked_since = sent.is_some() && sent >= known.role_at;
            known.role_at.is_some() && !newer && !asked_since
        })
    }

    /// The word of others on who is the primary counts less than an answer of the same age.
    pub(super) fn on_primary(&mut self, id: ServerId, seen: Instant) {
        let Some(group) = self.servers.get(&id).and_then(|s| self.groups.get_mut(&s.group)) else { return };
        let known = group.primary.and_then(|m| self.servers[&m].role_at).max(self.servers[&id].role_at);
        if group.primary != Some(id) && Some(seen) > known {
            group.primary = Some(id);
            self.servers.entry(id).and_modify(|s| s.role = Some(Role::Primary));
        }
    }
}

impl Server {
    pub(super) fn new(group: GroupId) -> Self {
        Self { group, limit: FIRST_LIMIT, slowness: 1.0, ..Self::default() }
    }

    /// A known position never goes back, so it is safe as it is. Where servers check for themselves, the
    /// lag last seen is taken to hold.
    pub(super) fn reaches(&self, floor: Option<Instant>, now: Instant, checked: bool) -> bool {
        let told = since(now, self.position_at);
        let age = if checked { told } else { Duration::ZERO };
        let asks = checked && told >= BEHIND_HOLDS;
        floor.is_none() || asks || self.position.map(|position| position + age) >= floor
    }
}
