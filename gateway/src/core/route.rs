//! Asks the module and sets its actions in motion.

use std::time::Instant;

use yewroute::interface::{Action, Event, ListKind};

use super::{Answer, Core, Due, Effect, Payload, Reason};
use crate::proto::catalog::Members;

impl<B: Payload> Core<B> {
    /// The module's first event: the list as it was last known.
    pub(super) fn begin(&mut self, now: Instant, known: Members, effects: &mut Vec<Effect<B>>) {
        let entries = self.directory.learn(now, &known, &self.clock);
        self.route(now, Event::List { kind: ListKind::Stale, entries }, effects);
    }

    /// Hands the module an event, and those that follow from its own actions.
    pub(super) fn route(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect<B>>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, effects);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Instant, action: Action, effects: &mut Vec<Effect<B>>) {
        match action {
            Action::Send { request, server, cut_at } => self.send(now, request, server, cut_at, effects),
            Action::Refuse { request, reason, retry_after } => {
                let retry_after = self.spending.sooner(request, retry_after);
                self.end_unserved(request, Answer::Refused { retry_after }, Reason::Decided(reason), effects);
            }
            Action::Fail { request, reason } => {
                self.end_unserved(request, Answer::Failed, Reason::Decided(reason), effects);
            }
            Action::Probe(server) => {
                self.note_probe(now, server);
                effects.push(Effect::Probe(server));
            }
            Action::Close(server) => effects.push(Effect::CloseIdle(server)),
            Action::Subscribe => effects.push(Effect::Watch(self.directory.version())),
            Action::Timer { delay, name } => self.timers.set(now + delay, Due::Module(name)),
        }
    }
}
