//! Sees whether a request can be held at all.

use yewroute::interface::Freshness;

use super::{Answer, Ask, Core};

impl Core {
    /// The class of a request that is let in, or the answer to one that is not.
    pub(super) fn admit(&self, ask: &Ask) -> Result<usize, Answer> {
        let (limits, classes) = (&self.deployment.module.limits, &self.deployment.module.classes);
        let retry_after = limits.retry_after.then_some(limits.max_retry_after);
        let class = self.deployment.class_names.iter().position(|name| *name == ask.class);
        // Guards against: running out of memory in a jam. Refusing is harmless, nothing has been sent.
        let full =
            self.held.len() >= self.deployment.max_open || self.bytes + ask.body.text.len() > self.most_bytes;
        match class {
            None => Err(Answer::Invalid("no such class")),
            // Guards against: attempts spent on what no db host can use.
            Some(class) if ask.writes != (classes[class].freshness == Freshness::Write) => {
                Err(Answer::Invalid("the statement does not fit its class"))
            }
            // Guards against: a client that sends another's open request once more. It would get what is not
            // its own, and a second copy would go out.
            Some(_) if self.names.contains(&ask.name) => {
                Err(Answer::Invalid("a request of this id is open already"))
            }
            Some(_) if full => Err(Answer::Refused { retry_after }),
            Some(class) => Ok(class),
        }
    }
}
