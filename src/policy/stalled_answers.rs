//! When an attempt is given up whose answer has stopped in the middle.

use super::*;

/// How long the first answer to a request may stop. Each one that is spoilt doubles it.
const FIRST_STALL_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_DOUBLINGS: u32 = 4;

impl Router {
    /// How long the answer to the attempt that is out may stop in the middle before that is given up. None if
    /// no other attempt may follow: then the rest is awaited for as long as the client waits.
    ///
    /// Guards against: answers of a server that writes slowly, given up one after the other, or when nothing
    /// may follow. Hurts where several answers of one request are spoilt.
    pub fn answer_stall_timeout(&self, now: Instant, id: RequestId) -> Option<Duration> {
        let Some(p) = self.requests.get(&id) else { return Some(FIRST_STALL_TIMEOUT) };
        let sent = p.out.and_then(|number| self.attempts.get(&(id, number))).map(|attempt| attempt.sent);
        let ends =
            self.repeatable_until(p, p.may_have_run.or(sent)).map_or(p.ends, |until| until.min(p.ends));
        let in_time = now + self.least_time(p.request.class) < ends;
        let another = in_time && p.sends < self.settings.limits.max_attempts;
        another.then(|| FIRST_STALL_TIMEOUT * 2_u32.pow(p.spoilt.min(MAX_DOUBLINGS)))
    }

    /// Until when a request may be sent again that may have run since then; none if that sets no limit.
    pub(super) fn repeatable_until(&self, p: &Pending, may_have_run: Option<Instant>) -> Option<Instant> {
        match self.settings.classes[p.request.class].effect {
            Effect::Idempotent => None,
            // One tick short: the window is counted from the send, as the servers see it.
            Effect::Deduplicated { window, .. } => {
                may_have_run.map(|since| since + window.saturating_sub(TICK_EVERY))
            }
            Effect::AtMostOnce => may_have_run,
        }
    }

    /// With less time left an attempt is not worth starting.
    pub(super) fn least_time(&self, class: usize) -> Duration {
        self.latency.unloaded[class].mul_f64(WORTH_TRYING)
    }
}
