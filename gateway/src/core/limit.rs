//! Holds attempts against the limits of the whole fleet, where the federation's table has any.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yewroute::interface::{Event, RequestId, Status};
use yewroute_federation::bridge::Shared;
use yewroute_federation::limits::{Classes, Refused, Spent};

use super::unserved::TurnedAway;
use super::{Answer, AttemptId, Core, Due, Effect, Ended, Payload, Reason};

/// What attempts have spent.
#[derive(Default)]
pub(super) struct Spending {
    /// What may be spent. It stays when the tasks have ended, as in a process that has handed its place on: what was allotted
    /// ends with its lease, and the floor is left.
    common: Option<Arc<Shared>>,
    /// Taken for the request that is being taken in, unless it has been sent at once.
    reserved: Option<Spent>,
    /// Permits of attempts that are out.
    out: HashMap<AttemptId, Spent>,
    /// The request that found nothing to spend last, and when there may be something again.
    barred: Option<(RequestId, Duration)>,
}

impl Spending {
    /// Gives back what was taken for a request that was not sent at once: it spends when it is. Nothing is saved up for
    /// waiting requests, which might all be sent in the same moment.
    pub(super) fn give_back(&mut self) {
        if let Some(spent) = self.reserved.take() {
            spent.give_back();
        }
    }

    /// How many attempts hold something.
    pub(super) fn len(&self) -> usize {
        self.out.len()
    }

    /// An attempt goes out.
    pub(super) fn sent(&mut self, attempt: AttemptId, spent: Option<Spent>) {
        if let Some(spent) = spent.filter(Spent::held) {
            self.out.insert(attempt, spent);
        }
    }

    /// An attempt has ended, at its db host too.
    pub(super) fn ended(&mut self, attempt: AttemptId) {
        if self.out.is_empty() {
            return;
        }
        if let Some(spent) = self.out.remove(&attempt) {
            spent.end();
        }
    }

    /// When the client of a refused request should come back: sooner, if the limit that it hit has something sooner.
    pub(super) fn sooner(&self, request: RequestId, retry_after: Option<Duration>) -> Option<Duration> {
        let barred = self.barred.filter(|(barred, _)| *barred == request);
        retry_after.map(|most| barred.map_or(most, |(_, retry)| most.min(retry)))
    }
}

impl<B: Payload> Core<B> {
    /// Tells the federation's tasks what limits need of the settings.
    pub(super) fn tell_classes(&mut self, common: &Arc<Shared>) {
        self.spending.common = Some(Arc::clone(common));
        let module = &self.deployment.module;
        // Told once in a process's life.
        let _ = common.classes.set(Classes {
            names: self.deployment.class_names.clone(),
            worths: module.classes.iter().map(|class| class.worth).collect(),
            longest: module.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            gateways: module.gateways,
        });
    }

    /// An attempt is over here. Guards against: permits of attempts that were given up while their db hosts work on, as a
    /// time-out or a cancel stops nothing. They come back when such an attempt has surely ended.
    pub(super) fn end_spent(&mut self, id: AttemptId, sent: Instant, status: Status) {
        let known = status.never_ran() || matches!(status, Status::Good | Status::Error);
        if known || !self.spending.out.contains_key(&id) {
            self.spending.ended(id);
            return;
        }
        let module = &self.deployment.module;
        let longest = module.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.timers.set(sent + longest + self.deployment.connect_timeout, Due::Rested(id));
    }

    /// An attempt that has waited for a connection finds nothing to spend: it is not sent, and its request ends as one that found
    /// nothing at first.
    pub(super) fn end_at_limit(
        &mut self,
        now: Instant,
        id: AttemptId,
        refused: Refused,
        effects: &mut Vec<Effect<B>>,
    ) {
        let (request, _) = id;
        if self.held.get(&request).is_some_and(|held| held.out == Some(id)) {
            self.spending.barred = Some((request, refused.retry));
            self.route(now, Event::Barred(request), effects);
        }
        self.book(now, id, Ended::silent(Status::NotSent), effects);
    }

    /// Until when the first byte of an attempt may go out that has spent at `now`: while the lease runs under which it did, and
    /// before its connection could take longer than it may. Guards against: one that is sent long after, as by a process that
    /// was stopped in between, when what it spent is another's.
    pub(super) fn send_by(&self, now: Instant, spent: &Spent) -> Instant {
        let latest = now + self.deployment.connect_timeout;
        spent.until().map_or(latest, |until| until.min(latest))
    }

    /// Takes what a request's first attempt spends, or refuses it: the module never sees it.
    pub(super) fn reserve(&mut self, now: Instant, class: usize, group: u64) -> Result<(), TurnedAway> {
        let Some(common) = &self.spending.common else { return Ok(()) };
        let meters = common.meters.load();
        if meters.is_empty() {
            return Ok(());
        }
        match meters.try_spend(now, class, group) {
            Ok(spent) => {
                self.spending.reserved = Some(spent);
                Ok(())
            }
            Err(refused) => {
                let limits = &self.deployment.module.limits;
                let retry_after = limits.retry_after.then_some(limits.max_retry_after.min(refused.retry));
                let answer = Answer::Refused { retry_after };
                Err(TurnedAway { class: Some(class), answer, reason: Reason::RateLimit })
            }
        }
    }

    /// Spends an attempt; `Some(None)` if nothing limits it, none if a limit has nothing left.
    pub(super) fn spend(&mut self, now: Instant, request: RequestId) -> Option<Option<Spent>> {
        let (Some(common), Some(held)) = (&self.spending.common, self.held.get(&request)) else {
            return Some(None);
        };
        let meters = common.meters.load();
        if meters.is_empty() {
            return Some(None);
        }
        // The request that is being taken in is the newest.
        if request.0 == self.taken {
            if let Some(spent) = self.spending.reserved.take() {
                return Some(Some(spent));
            }
        }
        match meters.try_spend(now, held.class, held.group) {
            Ok(spent) => Some(Some(spent)),
            Err(refused) => {
                self.spending.barred = Some((request, refused.retry));
                None
            }
        }
    }
}
