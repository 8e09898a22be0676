//! Where a request goes, and when it gets its final answer.

use super::*;

/// An attempt at a server that is not crowded is taken for lost after this many mean latencies.
const LOST_LATENCIES: f64 = 10.0;
/// Writes may go so far over a server's limit; reads that overflow to the primary stay under a share.
const WRITE_ROOM: f64 = 2.0;
const OVERFLOW_SHARE: f64 = 0.5;

impl Router {
    /// Sends a request, keeps it waiting or gives it its final answer.
    pub(super) fn dispatch(&mut self, now: Instant, id: RequestId, out: Out) {
        let chance = self.rng.u64(..);
        let Some(p) = self.requests.get(&id).filter(|p| p.out.is_none()) else { return };
        let roll = if self.crowd(p.request.class) { self.taste } else { chance };
        let class = &self.settings.classes[p.request.class];
        let repeatable_until = self.repeatable_until(p, p.may_have_run);
        let ends = repeatable_until.map_or(p.ends, |until| until.min(p.ends));
        let barred = repeatable_until.is_some_and(|until| now >= until);
        let group = p.request.group;
        let members = self.groups.get(&group).map_or(&[][..], |g| &g.members);
        let listed = members.iter().any(|m| self.servers[m].usable);
        // Shed at once what cannot be answered in time any more.
        let least = self.least_time(p.request.class);
        let unserved = match () {
            () if barred => Some(UnservedReason::MayHaveRun),
            () if !listed => Some(UnservedReason::NoServers),
            () if now + least >= ends => Some(UnservedReason::OutOfTime),
            () if p.sends >= self.settings.limits.max_attempts => Some(UnservedReason::AttemptsSpent),
            () => None,
        };
        if let Some(reason) = unserved {
            return self.finish(now, id, reason, out);
        }
        let needs_primary = matches!(class.freshness, Freshness::Write | Freshness::Fresh);
        let (reached, patient) = (p.reached, p.patient);
        let could = |m: &&ServerId| !needs_primary || self.groups[&group].primary == Some(**m);
        let answers = |m: &ServerId| patient + 2 * least < ends && self.servers[m].answers(now);
        let answered = members.iter().filter(could).any(answers);
        let target = if !self.list_is_current(now) {
            None
        } else if needs_primary {
            self.pick_write(now, p)
        } else if self.asks_for_news(now, id, out) {
            None
        } else {
            self.pick_read(now, &self.requests[&id], roll)
        };
        match target {
            Some(server) => self.send(now, id, server, ends, out),
            // Nor held back, and answered a moment early: one that no server has seen by half of its time, if
            // little is left after that or nobody in its group answers, so that its client can come again.
            // Guards against: holding requests in vain. Hurts where the group comes back in the second half.
            None if now + 2 * TICK_EVERY >= (if reached || answered { ends } else { ends.min(patient) }) => {
                let listed = self.list_is_current(now);
                let reason = if listed { UnservedReason::NoServerFree } else { UnservedReason::ListExpired };
                self.finish(now, id, reason, out);
            }
            None => self.groups.get_mut(&group).expect("listed").waiting.push(id),
        }
    }

    fn send(&mut self, now: Instant, id: RequestId, target: ServerId, ends: Instant, out: Out) {
        let p = self.requests.get_mut(&id).expect("caller holds it");
        let class = p.request.class;
        let write = self.settings.classes[class].freshness == Freshness::Write;
        let weight = if write { WRITE_WEIGHT } else { READ_WEIGHT };
        let cost = self.latency.mean[class];
        let session = p.request.session;
        let number = p.sends;
        p.sends += 1;
        p.out = Some(number);
        p.tried.push(target);
        let server = self.servers.get_mut(&target).expect("picked from the list");
        let alone = server.out == 0;
        let idle = alone && since(now, server.heard_at) > IDLE;
        server.verdict = server.verdict.map(|v| Verdict { trial: false, ..v });
        server.weight += weight;
        server.out += 1;
        server.owed += self.latency.unloaded[class];
        let patience = cost.mul_f64(SILENT_LATENCIES).clamp(SILENT_MIN, SILENT_MAX);
        server.overdue_at = server.overdue_at.or(Some(now + patience));
        // Guards against: waiting out a request's time on a connection that has fallen silent. What may be
        // repeated is given up, at a server that is not crowded, after many mean latencies, while another try
        // is still worth it. Hurts where a class has long requests by nature: a few in a thousand run twice.
        let lost_at = now + cost.mul_f64(LOST_LATENCIES).max(SILENT_MIN);
        let again = lost_at + self.latency.unloaded[class].mul_f64(2.0 * WORTH_TRYING) < ends;
        let first = p.may_have_run.unwrap_or(now);
        let safe = match self.settings.classes[class].effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { window, .. } => lost_at < first + window / 2,
            Effect::AtMostOnce => false,
        };
        let cut_at = if safe && again && server.slowness < CROWDED { lost_at } else { ends };
        let early = cut_at < ends;
        let attempt = Attempt { server: target, weight, class, session, sent: now, alone, idle, early };
        self.attempts.insert((id, number), attempt);
        out.push(Action::Send { request: id, server: target, cut_at });
    }

    /// Final answer for a request without an attempt out: refused where a further try is harmless.
    pub(super) fn finish(&mut self, now: Instant, id: RequestId, reason: UnservedReason, out: Out) {
        let Some(p) = self.requests.remove(&id) else { return };
        self.refused_without_list += u64::from(!self.list_is_current(now));
        let effect = self.settings.classes[p.request.class].effect;
        let everywhere = matches!(effect, Effect::Deduplicated { scope: KeyScope::All, .. });
        let harmless = p.may_have_run.is_none() || effect == Effect::Idempotent || everywhere;
        let retry_after = self.settings.limits.retry_after.then_some(self.settings.limits.max_retry_after);
        out.push(match harmless {
            true => Action::Refuse { request: id, reason, retry_after },
            false => Action::Fail { request: id, reason },
        });
    }

    /// Commits up to here must be seen by a request that is sent now.
    pub(super) fn floor(&self, now: Instant, p: &Pending) -> Option<Instant> {
        match self.settings.classes[p.request.class].freshness {
            Freshness::Bounded(bound) => p.floor.max(now.checked_sub(bound)),
            _ => p.floor,
        }
    }

    /// Whether an attempt may begin that was decided on a while ago, as when its connection came up late.
    /// Guards against: a read of data that has grown too old by then, or of one that was the primary, and a
    /// list whose lease has expired meanwhile.
    pub fn may_begin(&self, now: Instant, id: RequestId, server: ServerId) -> bool {
        let Some(p) = self.requests.get(&id).filter(|_| self.list_is_current(now)) else { return false };
        self.servers.get(&server).is_some_and(|s| s.usable && self.fits(now, p, server))
    }

    /// A server may be asked: it is the primary, checks for itself, or is known to have what must be seen.
    fn fits(&self, now: Instant, p: &Pending, id: ServerId) -> bool {
        let write = self.settings.classes[p.request.class].freshness == Freshness::Write;
        let primary = self.groups[&p.request.group].primary == Some(id);
        let checked = self.checked() && p.request.sees.is_none();
        write || primary || checked || self.reaches(id, self.floor(now, p), now, false)
    }

    /// Servers turn away at once what they must not answer, and say where they stand: the request itself is
    /// the probe. Guards against: every gateway probing every server for what the next answer tells; a probe
    /// is paid for, a request turned away has lost two milliseconds. Hurts where turning away is slow.
    pub(super) fn checked(&self) -> bool {
        self.settings.when_behind == WhenBehind::Refuses
    }

    fn pick_read(&self, now: Instant, p: &Pending, roll: u64) -> Option<ServerId> {
        let group = &self.groups[&p.request.group];
        let floor = self.floor(now, p);
        let checked = self.checked() && p.request.sees.is_none();
        let mut best: Option<(u8, f64, u64, ServerId)> = None;
        let sound = |m: &ServerId| self.servers[m].answers(now) && !self.servers[m].shunned(now, false);
        let others = group.members.iter().any(sound);
        let mut crowded = false;
        let mut ahead: Option<(Instant, ServerId)> = None;
        for member in &group.members {
            let server = &self.servers[member];
            let again = p.tried.contains(member) && group.members.len() > p.tried.len();
            let passed = again || others && server.shunned(now, false);
            if !server.answers(now) || group.primary == Some(*member) || passed {
                continue;
            }
            if !self.reaches(*member, floor, now, checked) {
                // One that has just turned a read away is not asked again at once by the next.
                let advanced = server.position.filter(|p| ahead.is_none_or(|(position, _)| *p > position));
                if let (true, Some(position)) = (server.blame.get(now) == 0.0, advanced) {
                    ahead = Some((position, *member));
                }
                continue;
            }
            // Guards against: a replica that is buried by other gateways' requests and looks empty from here.
            let class = p.request.class;
            let late = server.queue.seconds(now) > READ_LATE * self.settings.classes[class].aim.as_secs_f64();
            if f64::from(server.out) >= server.limit || late && self.crowd(class) {
                crowded = true;
                continue;
            }
            // Ties by chance: the roll orders them anew for each request.
            let place = Rng::with_seed(roll ^ u64::from(member.0)).u64(..);
            let key = (server.far(now, p), server.weight + server.blame.get(now), place, *member);
            best = Some(best.filter(|best| *best <= key).unwrap_or(key));
        }
        let ahead = ahead.filter(|_| checked && p.sends == 0 && !crowded).map(|(_, member)| member);
        let share = if crowded { OVERFLOW_SHARE } else { 1.0 };
        let overflow = group.primary.filter(|m| {
            let server = &self.servers[m];
            let unloaded = self.latency.unloaded[p.request.class].as_secs_f64();
            let queue = server.queue.seconds(now);
            // Alone it takes them whatever its queue is, but where many gateways would all do so.
            let alone = group.members.iter().all(|other| other == m || !self.servers[other].usable);
            let calm = queue <= READ_QUEUE * unloaded || alone && !self.crowd(p.request.class);
            let room = f64::from(server.out) < share * server.limit && server.slowness <= JAMMED && calm;
            let sound = server.answers(now) && !(others && server.shunned(now, true));
            sound && server.role == Some(Role::Primary) && room
        });
        best.map(|(.., member)| member).or(ahead).or(overflow)
    }

    fn pick_write(&self, now: Instant, p: &Pending) -> Option<ServerId> {
        let group = &self.groups[&p.request.group];
        if let Some(primary) = group.primary.filter(|m| self.servers[m].usable && !self.servers[m].down) {
            let server = &self.servers[&primary];
            let room = f64::from(server.out) < server.limit + WRITE_ROOM;
            return (server.answers(now) && room && !server.shunned(now, true)).then_some(primary);
        }
        // No primary known: one round over the members, the most advanced first, each by one write at a time
        // and not again soon after it missed. Guards against: all waiting writes rushing a cold member, whose
        // misses cost it work. Hurts where probes tell no roles: writes behind the first wait for its round.
        let asks = |member: &&ServerId| {
            let server = &self.servers[member];
            // More weight than attempts: a write is out.
            let asked = server.weight > f64::from(server.out);
            let told = since(now, server.role_at) < REPLICA_HOLDS;
            let replica = server.role == Some(Role::Replica) && told;
            let again = server.role_at.is_some() && !told;
            let asks = server.answers(now) && !asked && !replica && (again || !p.tried.contains(member));
            asks && self.fits(now, p, **member)
        };
        group.members.iter().filter(asks).copied().max_by_key(|m| self.servers[m].position)
    }
}
