//! Sees whether a request can be held at all.

use std::time::Instant;

use yewroute::interface::{Effect, Freshness, UnservedReason};

use super::unserved::TurnedAway;
use super::{request_ids, Answer, Ask, Core, Payload, Reason, Scope};
use crate::proto::pg::names::kept_text;

impl<B: Payload> Core<B> {
    /// The class and group of a request that is let in.
    pub(super) fn admit(&self, now: Instant, ask: &mut Ask<B>) -> Result<(usize, u64), TurnedAway> {
        let (limits, classes) = (&self.deployment.module.limits, &self.deployment.module.classes);
        let retry_after = limits.retry_after.then_some(limits.max_retry_after);
        let invalid =
            |class, why| TurnedAway { class, answer: Answer::Invalid(why), reason: Reason::Invalid };
        let placed = match &ask.scope {
            Scope::Class(class, group) => {
                let class = self.deployment.class_names.iter().position(|name| kept_text(name) == *class);
                class.map(|class| (class, *group)).ok_or_else(|| invalid(None, "no such class"))
            }
            // The least demanding reads there are, and the first group that has a server.
            Scope::Anyone => {
                let reads = |f: Freshness| matches!(f, Freshness::Any | Freshness::Bounded(_));
                let class = classes.iter().position(|c| c.effect == Effect::Idempotent && reads(c.freshness));
                let class = class.ok_or_else(|| invalid(None, "no class of reads that may be old"))?;
                let group = self.directory.first_group().ok_or(TurnedAway {
                    class: Some(class),
                    answer: Answer::Refused { retry_after },
                    reason: Reason::Decided(UnservedReason::NoServers),
                })?;
                Ok((class, group))
            }
        };
        let (class, group) = placed?;
        let full = self.held.len() >= self.deployment.max_open;
        let (answer, reason) = match () {
            // Guards against: attempts spent on what no db host can use.
            () if ask.writes != (classes[class].freshness == Freshness::Write) => {
                return Err(invalid(Some(class), "the statement does not fit its class"));
            }
            // Guards against: a client that sends another's open request once more. It would get what is not
            // its own, and a second copy would go out.
            () if self.names.contains(&ask.name) => {
                return Err(invalid(Some(class), "a request of this id is open already"));
            }
            // Guards against: a request that runs twice, as its client has left and comes again, here or at the other process.
            () if self.has_been_sent(now, class, &ask.name) => (Answer::Failed, Reason::RepeatedId),
            () if full => (Answer::Refused { retry_after }, Reason::TooManyOpen),
            // Another gateway may serve it at once.
            () if self.answers_by.is_some_and(|by| now >= by) => {
                (Answer::Refused { retry_after: None }, Reason::Ending)
            }
            // Guards against: running out of memory in a jam. Refusing is harmless, nothing has been sent.
            () if !self.pay(&mut ask.body) => (Answer::Refused { retry_after }, Reason::Memory),
            () => return Ok((class, group)),
        };
        Err(TurnedAway { class: Some(class), answer, reason })
    }

    /// A request of this id may have run, and may not be sent again.
    fn has_been_sent(&self, now: Instant, class: usize, id: &[u8]) -> bool {
        let once = request_ids::window(&self.deployment.module.classes[class]).is_some();
        once && !id.is_empty() && self.ids.may_have_run(now, request_ids::digest(id))
    }

    /// Sees that a statement has a permit; false if there are not enough bytes. A long one has had its own since its head came.
    fn pay(&self, body: &mut B) -> bool {
        let bytes = body.bytes();
        let permit = body.permit();
        if permit.is_none() {
            *permit = self.budget.short(bytes);
        }
        permit.is_some()
    }
}
