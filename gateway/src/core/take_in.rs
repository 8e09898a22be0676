//! Takes a request in: gives it a number and the module's form.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use yewroute::interface::{Event, GroupId, Request, RequestId, SessionKey, Stand, Status};

use super::channels::Contracted;
use super::request_ids::{self, IdDigest};
use super::unserved::TurnedAway;
use super::{Ask, ClientId, Core, Due, Effect, Ended, Held, Payload};

/// How long after its time a request that nobody answered is failed here: later than the module's own last
/// moment, sooner than the rules' slack ends.
const OVERDUE: Duration = Duration::from_millis(10);

/// Where a request belongs.
struct Placement {
    class: usize,
    group: u64,
    order: Option<Contracted>,
}

impl<B: Payload> Core<B> {
    pub(super) fn take_in(
        &mut self,
        now: Instant,
        client: ClientId,
        mut ask: Ask<B>,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Placement { class, group, order } = match self.place(now, &mut ask) {
            Ok(placement) => placement,
            Err(turned_away) => return self.turn_away(client, &ask.name, turned_away, effects),
        };
        // Clients repeat their own ids when they send once more on a new connection; ours never come twice.
        self.taken += 1;
        // Guards against: timers and db hosts' work kept for longer than any client of the class waits.
        self.count_demand(class, group);
        let whole_wait = ask.wait.min(self.deployment.module.classes[class].deadline);
        let left = whole_wait.saturating_sub(ask.waited);
        // Guards against: a request that the end of the process finds unanswered.
        let wait = self.answers_by.map_or(left, |by| left.min(by.saturating_duration_since(now)));
        let id = RequestId(self.taken);
        let request = Request {
            id,
            class,
            group: GroupId(group),
            left: wait,
            waited: whole_wait - wait,
            resent: ask.resent,
            session: self.deployment.sessions[class].then(|| session(&ask.key)),
            last_write_age: ask.after.map(|after| self.age(now, after)),
            sees: None,
            near: self.asked_first(now, class, group),
        };
        let digest = (!ask.name.is_empty()).then(|| request_ids::digest(&ask.name));
        if let Some(digest) = digest {
            self.names.insert(ask.name.clone());
            self.end_abandoned(now, digest, effects);
        }
        let held = Held {
            client,
            class,
            group,
            name: ask.name,
            digest,
            may_have_run: false,
            body: Some(Rc::new(ask.body)),
            sends: 0,
            out: None,
            reached: false,
            half_at: now + wait / 2,
            deadline: now + wait,
            passing: false,
        };
        self.held.insert(id, held);
        self.by_client.insert(client, id);
        self.timers.set(now + wait + OVERDUE, Due::Overdue(id));
        match order {
            Some(order) => self.enter(now, request, order, (ask.channel, ask.number, ask.key)),
            None => self.route(now, Event::Request(request), effects),
        }
        self.spending.give_back();
    }

    /// The class and group of a request that is let in, the order that its channel keeps, and what it spends.
    fn place(&mut self, now: Instant, ask: &mut Ask<B>) -> Result<Placement, TurnedAway> {
        let (class, group) = self.admit(now, ask)?;
        let order = self.order_of(class, ask)?;
        self.reserve(now, class, group)?;
        Ok(Placement { class, group, order })
    }

    /// Gives up the attempt of an earlier request of the same id, whose client has left. Guards against: a second copy.
    fn end_abandoned(&mut self, now: Instant, digest: IdDigest, effects: &mut Vec<Effect<B>>) {
        if let Some(attempt) = self.ids.abandoned(digest) {
            effects.push(Effect::Abandon(attempt));
            self.book(now, attempt, Ended::silent(Status::Cancelled), effects);
        }
    }

    /// Where a request is asked first: in a zone of its route, where the plan for all zones says, or near this gateway. A route
    /// counts as long as there is no newer table, under a lease or not; a plan under its lease and for a while past it.
    fn asked_first(&mut self, now: Instant, class: usize, group: u64) -> Option<Stand> {
        let Some(common) = &self.common else { return self.near };
        let acting = common.acting.load();
        let routed = self.shares.draw(&acting.table, &self.directory, &self.deployment, class, group);
        let Some(near) = self.near.filter(|_| routed.is_none()) else { return routed };
        let plan = common.zones.load();
        let plan = plan.as_ref().filter(|acting| acting.holds(now)).map(|acting| &acting.plan);
        let planned = plan.and_then(|plan| self.shares.draw_by_plan(plan, &self.directory, near.zone, group));
        Some(planned.unwrap_or(near))
    }

    /// How long ago a commit was. Commits are rounded up, so one may seem to come; it is over all the same, and
    /// an age of nothing would stand for no write.
    pub(super) fn age(&self, now: Instant, after: u64) -> Duration {
        const LEAST: Duration = Duration::from_micros(1);
        self.clock.unix(now).saturating_sub(Duration::from_millis(after)).max(LEAST)
    }
}

/// The module's name for a session.
fn session(key: &[u8]) -> SessionKey {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionKey(hasher.finish())
}
