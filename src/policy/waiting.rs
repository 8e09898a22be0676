//! Requests as they come, and those that wait for a place.

use super::*;

impl Router {
    pub(super) fn on_request(&mut self, now: Instant, request: Request, out: Out) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class) else {
            return out.push(Action::Refuse {
                request: id,
                reason: UnservedReason::UnlistedClass,
                retry_after: None,
            });
        };
        let ago = |age: Option<Duration>| age.filter(|a| !a.is_zero()).and_then(|a| now.checked_sub(a));
        let floor = match class.freshness {
            Freshness::Fresh => Some(now),
            Freshness::Session if self.settings.tokens == Tokens::Carried => ago(request.last_write_age),
            Freshness::Session => self.commits.of(now, request.session),
            _ => None,
        }
        .max(ago(request.sees));
        // Guards against: serving repeats whose aim has passed. Hurts where clients give tries of one class
        // different times for reasons of their own.
        let (left, whole) = (request.left, request.left + request.waited);
        let cut = self.tries.cut(request.class, whole, request.resent);
        let began = (now + whole).checked_sub(class.deadline).filter(|b| cut && *b < now).unwrap_or(now);
        let useful = if class.late_worth > 0.0 { class.deadline } else { class.aim };
        let group = request.group;
        let pending = Pending {
            request,
            ends: (now + left).min(began + useful),
            patient: now + left / 2,
            reached: false,
            floor,
            sends: 0,
            out: None,
            may_have_run: None,
            tried: Vec::new(),
            erred: Vec::new(),
            spoilt: 0,
            asked_at: None,
        };
        self.requests.insert(id, pending);
        if !self.checked() && self.groups.get(&group).is_some_and(|g| g.probed_at.is_none()) {
            self.search(now, group, out);
        }
        self.probe_down(now, group, out);
        self.warm_up(now, group);
        if self.sheds(now, id) {
            self.finish(now, id, UnservedReason::Overloaded, out);
        } else {
            self.dispatch(now, id, out);
        }
    }

    pub(super) fn on_tick(&mut self, now: Instant, out: Out) {
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            self.retry_waiting(now, group, usize::MAX, out);
            let g = &self.groups[&group];
            let silent = g.primary.is_none_or(|m| !self.servers[&m].answers(now));
            let due = g.probed_at.is_some_and(|at| now - at >= SEARCH_PROBE);
            if !self.checked() && silent && !g.waiting.is_empty() && due {
                self.search(now, group, out);
            }
        }
        self.commits.forget(now, self.servers.values().filter(|s| s.usable).map(|s| s.position));
    }

    /// Tries a group's waiting requests again until `patience` of them found no place: what is worth most
    /// for its work first, and the newest of those, which has the most time left.
    pub(super) fn retry_waiting(&mut self, now: Instant, id: GroupId, patience: usize, out: Out) {
        self.warm_up(now, id);
        let Some(group) = self.groups.get_mut(&id) else { return };
        let mut queue = std::mem::take(&mut group.waiting);
        queue.retain(|r| self.requests.contains_key(r));
        let rank = |r: &RequestId| (self.density(self.requests[r].request.class), self.requests[r].ends);
        queue.sort_by(|a, b| rank(b).partial_cmp(&rank(a)).unwrap_or(Ordering::Equal));
        for (index, request) in queue.iter().enumerate() {
            if self.groups[&id].waiting.len() >= patience {
                self.groups.get_mut(&id).expect("present above").waiting.extend(&queue[index..]);
                break;
            }
            self.dispatch(now, *request, out);
        }
    }
}
