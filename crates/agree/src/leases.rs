//! Leases that this gateway wants: asked for, renewed, and counted shorter than all others count them.

use super::*;

impl Agree {
    /// Wants a lease from now on: it is asked for, and kept.
    pub fn want(&mut self, now: Instant, key: &str, value: &[u8], ms: u32) {
        let over = self.read(key).map_or(Place::default(), |(decision, _)| decision.place);
        let fresh = Want { value: value.to_vec(), ms, over, until: None, next_at: now, asked: None };
        let want = self.wants.entry(key.to_owned()).or_insert(fresh);
        (want.value, want.ms) = (value.to_vec(), ms.min(LONGEST_LEASE));
    }

    /// Wants a lease no more: it ends by itself.
    pub fn want_not(&mut self, key: &str) {
        self.wants.remove(key);
    }

    /// This gateway holds a lease, and nobody else does.
    #[must_use]
    pub fn holds(&self, now: Instant, key: &str) -> bool {
        self.holds_until(key).is_some_and(|until| now < until)
    }

    /// Until when this gateway holds a lease, by its own count; to be looked at right before each act.
    #[must_use]
    pub fn holds_until(&self, key: &str) -> Option<Instant> {
        self.wants.get(key).and_then(|want| want.until).filter(|_| self.sure)
    }

    /// Takes care of the leases this gateway wants.
    pub(super) fn keep(&mut self, now: Instant) {
        let due = |want: &Want| want.asked.is_none() && want.next_at <= now;
        let due: Vec<String> =
            self.wants.iter().filter(|(_, w)| due(w)).map(|(key, _)| key.clone()).collect();
        for key in due {
            let Some(want) = self.wants.get(&key) else { continue };
            let lease = Some((self.number, want.ms));
            let command = Command { key: key.clone(), value: want.value.clone(), over: want.over, lease };
            let asked = self.ask(now, command);
            if let Some(want) = self.wants.get_mut(&key) {
                // What could not be asked now is asked later; what was answered at once is taken care of.
                let open = asked.filter(|count| self.asked.contains_key(count));
                want.asked = open;
                if asked.is_none() {
                    want.next_at = now + AGAIN;
                }
            }
        }
    }
}
