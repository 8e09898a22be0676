//! What cold servers may be sent.

use super::*;

/// A cold server's budget is the multiple that tips it over, divided by this, as handshakes come on top.
const COLD_MARGIN: f64 = 1.2;

impl Router {
    /// Lets cold members earn what they may be sent: what a warm member serves for this router in the mean,
    /// times the share of capacity that they surely have. Nothing is saved up beyond one send, and one more
    /// once they serve without a queue; the first is due after a random part of what one takes to earn.
    /// Guards against: pushing over a cold server, or one back from silence, by one router or by hundreds
    /// that hear of it at once. Hurts where the server was warm all along.
    pub(super) fn warm_up(&mut self, now: Instant, group: GroupId) {
        let Some(group) = self.groups.get(&group) else { return };
        let rules = &self.settings.rules;
        let members = group.members.iter().map(|member| &self.servers[member]);
        let (warm, cold): (Vec<_>, Vec<_>) =
            members.filter(|s| s.usable && !s.down).partition(|s| Some(now) >= s.warm_at);
        if cold.is_empty() {
            return;
        }
        let served = warm.iter().map(|s| s.served.get(now, SERVED_HALF)).sum::<f64>()
            / f64::max(warm.len() as f64, 1.0);
        // At least one core's worth, shared by the gateways, so that a group of cold servers serves at all.
        let peer = f64::max(served, 1.0 / f64::from(self.settings.gateways));
        let mean = self.latency.unloaded.iter().sum::<Duration>().div_f64(self.latency.unloaded.len() as f64);
        let many = (0..self.settings.classes.len()).all(|class| self.crowd(class));
        for member in &group.members {
            let server = self.servers.get_mut(member).expect("listed");
            if Some(now) >= server.warm_at {
                continue;
            }
            if server.owed_at < server.cold_from {
                server.owed = mean.mul_f64(self.rng.f64());
                server.owed_at = server.cold_from.max(Some(now));
            }
            let warmed = since(now, server.cold_from).div_duration_f64(rules.cold);
            let warmth = rules.start_capacity + (1.0 - rules.start_capacity) * warmed;
            let rate = peer * warmth * rules.tip_multiple / COLD_MARGIN;
            server.owed = server.owed.saturating_sub(since(now, server.owed_at).mul_f64(rate));
            server.owed_at = Some(now);
            let calm = many && server.queue.seconds(now) < mean.as_secs_f64();
            let proven = calm && server.served_sent > server.cold_from;
            server.credit = if proven { mean } else { Duration::ZERO };
        }
    }
}

impl Server {
    /// The list says that it started then. Guards against: an older list that makes it warmer.
    pub(super) fn take_start(&mut self, started: Option<Instant>, settings: &Settings) {
        self.listed_start = self.listed_start.max(started);
        self.chill(settings);
    }

    /// What the list said stands for this time by a clock that has been corrected. Guards against: a server
    /// that stays cold, as a clock that was behind had it start when its list came.
    pub(super) fn redate_start(&mut self, started: Instant, settings: &Settings) {
        self.listed_start = Some(started);
        self.chill(settings);
    }

    fn chill(&mut self, settings: &Settings) {
        self.cold_from = self.listed_start.max(self.risen_at);
        self.warm_at = self.cold_from.and_then(|from| from.checked_add(settings.rules.cold));
    }

    /// Back after silence to a probe too. It may have restarted, so it is cold, whatever the list says yet.
    pub(super) fn rise(&mut self, now: Instant, settings: &Settings) {
        (self.down, self.retry_at, self.overdue_at) = (false, None, None);
        self.risen_at = Some(now);
        self.chill(settings);
    }
}
