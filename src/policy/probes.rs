//! Asking servers how they are.

use super::list::Source;
use super::*;

/// How many replicas a read without a known eligible one has probed, and how long it waits for their word.
const NEWS_PROBES: usize = 2;
const NEWS_WAIT: Duration = Duration::from_millis(40);
/// A replica that is left out is asked again after this time, one for each read.
const REFRESH: Duration = Duration::from_millis(100);

impl Router {
    pub(super) fn on_probed(&mut self, now: Instant, id: ServerId, status: Status, report: Report, out: Out) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        let refused = status == Status::ConnectFailed && server.lately(now);
        server.broken += u32::from(refused);
        if status == Status::Good {
            server.heard_at = Some(now);
            server.broken = 0;
            server.verdict = server.verdict.map(|v| Verdict { trial: true, ..v });
            if server.down {
                server.rise(now, &self.settings);
            }
            let group = server.group;
            self.learn(now, id, Note { role: report.role, position: report.position }, Source::Report);
            self.retry_waiting(now, group, LOOK_AHEAD, out);
        } else if refused && server.broken <= BROKEN {
            // Guards against: taking a server that answers for dead, and for cold once it is back, because a
            // new connection was reset. Also asks once or twice more of one that has just died.
            self.probe(id, out);
        } else if status == Status::ConnectFailed || status == Status::Timeout {
            server.fall(now);
        }
    }

    /// Whether a read waits for the word of replicas that it had probed: two by chance, once.
    ///
    /// Guards against: reads piling up on primaries because a router with little traffic has old positions,
    /// at the cost of a probe or two for each such read. Acts where probes are allowed and no replica is
    /// known to be eligible; also just after a start. Hurts where replicas lag: the read starts later.
    pub(super) fn asks_for_news(&mut self, now: Instant, id: RequestId, out: Out) -> bool {
        let p = &self.requests[&id];
        let floor = self.floor(now, p);
        if !self.settings.limits.probes || self.checked() || floor.is_none() || p.sends > 0 {
            return false;
        }
        let group = &self.groups[&p.request.group];
        let answers = |m: &&ServerId| group.primary != Some(**m) && self.servers[m].answers(now);
        let mut asked: Vec<ServerId> = group.members.iter().filter(answers).copied().collect();
        let served = asked.iter().any(|m| self.reaches(*m, floor, now, false));
        // Nobody is asked twice within a moment.
        let old = |m: &ServerId| {
            since(now, self.servers[m].position_at) >= REFRESH && !self.reaches(*m, floor, now, false)
        };
        asked.retain(old);
        self.rng.shuffle(&mut asked);
        if served {
            // Others serve it; one that was left out is asked how far it has come.
            asked.first().into_iter().for_each(|member| self.probe(*member, out));
            return false;
        }
        if let Some(at) = p.asked_at {
            // A replica's word is of use once the primary's has confirmed the clock.
            let confirms = group.primary.filter(|_| self.clock_unconfirmed);
            let probing = |m: &ServerId| self.servers[m].probing;
            return now - at < NEWS_WAIT && asked.iter().chain(&confirms).any(probing);
        }
        self.requests.get_mut(&id).expect("looked up above").asked_at = Some(now);
        asked.sort_by_key(|m| !self.servers[m].probing);
        asked.truncate(NEWS_PROBES);
        asked.iter().for_each(|member| self.probe(*member, out));
        !asked.is_empty()
    }

    pub(super) fn probe(&mut self, id: ServerId, out: Out) {
        let server = self.servers.get_mut(&id).expect("listed");
        if self.settings.limits.probes && server.usable && !server.probing {
            server.probing = true;
            out.push(Action::Probe(id));
        }
    }

    /// Probes members that are out, when a request of their group shows that they are wanted.
    pub(super) fn probe_down(&mut self, now: Instant, group: GroupId, out: Out) {
        let Some(group) = self.groups.get(&group) else { return };
        let due = |m: &&ServerId| self.servers[m].down && Some(now) >= self.servers[m].retry_at;
        for member in group.members.iter().filter(due).copied().collect::<Vec<_>>() {
            let server = self.servers.get_mut(&member).expect("listed");
            server.retry_at = Some(now + DOWN_PROBE.mul_f64(0.5 + self.rng.f64()));
            if !self.settings.limits.probes {
                server.rise(now, &self.settings);
            }
            self.probe(member, out);
        }
    }

    /// Looks at a group: all of it at first, later the primary believed so far and two members at random.
    pub(super) fn search(&mut self, now: Instant, id: GroupId, out: Out) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let mut asked = group.members.clone();
        if group.probed_at.replace(now).is_some() {
            self.rng.shuffle(&mut asked);
            asked.truncate(NEWS_PROBES);
            asked.extend(group.primary);
        }
        asked.into_iter().for_each(|member| self.probe(member, out));
    }
}
