//! What came of attempts, and what it says of their servers.

use super::list::Source;
use super::*;

/// What a server's failures weigh.
const FAILED: f64 = 4.0;
const TURNED_AWAY: f64 = 1.0;
/// After so many failures in a row nearness does not count, for a time that doubles, to 4 s at most.
const FAILING: u32 = 2;
const FAILING_REST: Duration = Duration::from_secs(1);
/// A server with a full queue is left alone for about so long.
const FULL_REST: Duration = Duration::from_millis(200);

impl Router {
    pub(super) fn on_outcome(&mut self, now: Instant, o: &Outcome, out: Out) {
        let attempt = self.attempts.remove(&(o.request, o.attempt));
        if let Some(a) = &attempt {
            let server = self.servers.get_mut(&a.server).expect("sent there");
            server.weight -= a.weight;
            server.out -= 1;
            if o.status == Status::Good {
                self.latency.learn(a.class, o.elapsed);
                let work = self.latency.unloaded[a.class].div_duration_f64(SERVED_WINDOW);
                server.served.add(now, SERVED_HALF, work);
                server.served_sent = server.served_sent.max(Some(a.sent));
                server.verdict = server.verdict.filter(|v| server.served_sent < Some(v.proven));
            }
            // Guards against: taking a lost connection for a slow server. It was given up early, and what was
            // sent later has been served, so it was not waiting its turn.
            let lost = o.status == Status::Timeout && a.early && Some(a.sent) < server.served_sent;
            let status = if lost { Status::NotSent } else { o.status };
            let unloaded = self.latency.unloaded[a.class];
            server.pace(status, o.elapsed.div_duration_f64(unloaded));
            let aim = self.settings.classes[a.class].aim;
            server.queue.learn(now, status, o.elapsed.saturating_sub(unloaded), aim);
            let group = self.groups.get_mut(&server.group).expect("made with the server");
            let pressure = group.pressure.get(now, PRESSURE_HALF);
            let least = if o.status == Status::Timeout { CROWDED } else { JAMMED };
            let soon = o.status == Status::Good && o.elapsed <= aim.mul_f64(NO_JAM_WITHIN_AIM);
            let long = !soon && o.status != Status::HeldUp && o.elapsed > unloaded.mul_f64(least);
            let jammed = !lost && long || o.status == Status::Full;
            if group.primary != Some(a.server) && jammed && a.alone {
                group.pressure.set(now, pressure + PRESSURE_UP * (1.0 - pressure));
            } else if o.status == Status::Good {
                group.pressure.set(now, pressure * (1.0 - PRESSURE_DOWN));
            }
            self.note_status(now, a.server, status, a.weight > READ_WEIGHT, out);
            // Guards against: connections dropped unseen: sends after idleness stay unanswered more often.
            // While they are in doubt none is kept idle. Hurts where a new one is dear.
            self.doubt.learn(now, a.idle, matches!(o.status, Status::Timeout | Status::Reset));
            let idle = self.servers[&a.server].out == 0 && o.status != Status::ConnectFailed;
            out.extend((idle && self.doubt.holds(now)).then_some(Action::Close(a.server)));
        }
        // A full queue answers without a look: it may belong to a primary that hangs and has been replaced.
        let role = o.note.role.filter(|role| o.status != Status::Full || *role == Role::Replica);
        let source = Source::Answer { sent: attempt.as_ref().map(|attempt| attempt.sent) };
        self.learn(now, o.server, Note { role, ..o.note }, source);
        self.learn(now, o.server, Note { role: None, position: o.report.position }, source);
        if let Some(attempt) = attempt.as_ref().filter(|_| o.status == Status::Good) {
            self.remember_commit(now, attempt, o.note.position);
        }
        if let Some(p) = self.requests.get_mut(&o.request) {
            let write = self.settings.classes[p.request.class].freshness == Freshness::Write;
            // Guards against: requests that fail wherever they go. Errors at two servers accuse the request;
            // one counts against its server once another has served it. Hurts where two fail at once.
            match o.status {
                Status::Spoilt => p.spoilt += 1,
                Status::Error if !p.erred.contains(&o.server) => p.erred.push(o.server),
                Status::Good => p.erred.iter().for_each(|id| {
                    self.servers.entry(*id).and_modify(|s| s.blame.add(now, FAILED));
                }),
                _ => {}
            }
            if o.finished {
                self.requests.remove(&o.request);
            } else if p.out == Some(o.attempt) {
                p.out = None;
                p.reached |= !matches!(o.status, Status::ConnectFailed | Status::NotSent | Status::HeldUp);
                if o.status == Status::HeldUp {
                    // Guards against: a server that is left out though nothing was sent there.
                    p.tried.pop();
                }
                if !o.status.never_ran() {
                    p.may_have_run = p.may_have_run.or(attempt.map(|a| a.sent)).or(Some(now));
                }
                let errors = p.erred.len() >= 2;
                let full = o.status == Status::Full && write;
                if errors {
                    self.finish(now, o.request, UnservedReason::Errors, out);
                } else if full && self.sheds(now, o.request) {
                    self.finish(now, o.request, UnservedReason::Overloaded, out);
                } else {
                    self.dispatch(now, o.request, out);
                }
            }
        }
        if let Some(group) = self.servers.get(&o.server).map(|s| s.group) {
            self.retry_waiting(now, group, LOOK_AHEAD, out);
        }
    }

    /// Remembers what a session has written, where this router is to. A commit whose position is not known is
    /// over by now.
    ///
    /// Guards against: a session's read served from before its write, as the writer's client had left
    /// before the answer came, or as the answer told no position that could be used.
    fn remember_commit(&mut self, now: Instant, attempt: &Attempt, position: Option<Instant>) {
        let write = self.settings.classes[attempt.class].freshness == Freshness::Write;
        if !write || self.settings.tokens != Tokens::Remembered {
            return;
        }
        if let Some(session) = attempt.session {
            self.commits.learn(session, position.unwrap_or(now));
        }
    }

    /// Books how a server behaved: one account of blame, which fades, and one question whether it lives.
    ///
    /// Guards against: failures that draw work by shedding it at once, and dead or silent servers. Refused or
    /// broken connections may be chance or a death: a probe tells. Hurts where one failure was chance.
    fn note_status(&mut self, now: Instant, id: ServerId, status: Status, write: bool, out: Out) {
        let server = self.servers.get_mut(&id).expect("sent there");
        if matches!(status, Status::Good | Status::Miss | Status::Error | Status::Spoilt) {
            server.heard(now, &self.settings);
        }
        match status {
            Status::NotSent | Status::HeldUp | Status::Error | Status::Spoilt => {}
            Status::Good => server.blame.halve(now),
            // A write turned away says nothing against reads there.
            Status::Miss if write => server.denied_at = Some(now),
            Status::Miss => {
                server.blame.add(now, TURNED_AWAY);
                server.position_at = Some(now);
            }
            Status::Full => {
                server.blame.add(now, TURNED_AWAY);
                server.retry_at = Some(now + FULL_REST.mul_f64(0.5 + self.rng.f64()));
            }
            _ => server.blame.add(now, FAILED),
        }
        let silent = status == Status::Timeout && !server.lately(now);
        server.broken += u32::from(matches!(status, Status::ConnectFailed | Status::Reset));
        let broken = server.broken > 0 && (server.broken >= BROKEN || !server.lately(now));
        server.overdue_at = server.overdue_at.filter(|_| server.out > 0);
        if (silent || broken) && !self.settings.limits.probes {
            server.fall(now);
        } else if silent || broken {
            self.probe(id, out);
        }
    }

    /// Guards against: each of many gateways losing a request of its own to learn what others know. Hurts
    /// where the verdict is wrong: the server is passed over until a trial, here or elsewhere, is served.
    pub(super) fn on_verdict(&mut self, now: Instant, id: ServerId, verdict: Verdict, out: Out) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        // Own evidence that is fresher outweighs it. With probes one goes before the request that is risked.
        let granted = server.verdict.is_some_and(|v| v.trial);
        let trial = granted || verdict.trial && !self.settings.limits.probes;
        server.verdict = Some(Verdict { trial, ..verdict }).filter(|v| server.served_sent < Some(v.proven));
        server.blame = if verdict.until > now { server.blame } else { Blame::default() };
        if verdict.trial {
            self.probe(id, out);
        }
    }
}

impl Server {
    /// Guards against: a jam, in which more at once only makes each slower, as at a server that is slow or
    /// crowded by others. Hurts where a class has long requests by nature: a burst passes for a jam.
    fn pace(&mut self, status: Status, stretch: f64) {
        // A time-out says how long it took at the least; cut short by a late start it says little.
        if !matches!(status, Status::Good | Status::Timeout) {
            return;
        }
        self.slowness += SLOWNESS_GAIN * (stretch - self.slowness);
        if self.slowness > CROWDED {
            self.limit *= CROWDED_CUT;
        } else if f64::from(self.out) + 1.0 >= self.limit {
            self.limit += 1.0 / self.limit;
        }
        self.limit = self.limit.max(1.0);
    }

    /// How far it is asked: one that fails in a row last, and by one request after each rest; what had an
    /// error goes elsewhere. Guards against: a near zone that fails each request. Hurts if it was chance.
    pub(super) fn far(&self, now: Instant, p: &Pending) -> u8 {
        let (row, last) = self.blame.row();
        let rest = FAILING_REST * (1 << row.saturating_sub(FAILING).min(2));
        let failing = row >= FAILING && (self.out > 0 || since(now, last) < rest);
        let trial = self.verdict.is_some_and(|v| v.trial && now < v.until);
        let place = p.request.near.map_or(0, |near| near.far(self.stand));
        let place = if p.erred.is_empty() { 1 + place } else { 3 - place };
        (if failing && p.request.near.is_some() { 4 } else { place }) * u8::from(!trial)
    }

    /// Whether anything may be sent there now.
    pub(super) fn answers(&self, now: Instant) -> bool {
        let cold = Some(now) < self.warm_at;
        self.usable && !self.resting(now) && !(cold && self.owed > self.credit)
    }

    pub(super) fn resting(&self, now: Instant) -> bool {
        self.down || Some(now) < self.retry_at || self.overdue_at.is_some_and(|at| now >= at)
    }

    fn heard(&mut self, now: Instant, settings: &Settings) {
        self.heard_at = Some(now);
        self.broken = 0;
        self.overdue_at = (self.out > 0).then_some(now + SILENT_MAX);
        if self.down {
            self.rise(now, settings);
        }
    }

    /// It has answered something a moment ago.
    pub(super) fn lately(&self, now: Instant) -> bool {
        since(now, self.heard_at) < SILENT_MAX
    }

    pub(super) fn fall(&mut self, now: Instant) {
        self.down = true;
        self.retry_at = Some(now + DOWN_PROBE);
    }

    /// It is left alone by the word of others; `firm` asks for that of more than one.
    pub(super) fn shunned(&self, now: Instant, firm: bool) -> bool {
        self.verdict.is_some_and(|v| now < v.until && !v.trial && (v.firm || !firm))
    }
}
