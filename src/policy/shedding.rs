//! What is refused on arrival.

use super::*;

impl Router {
    /// Whether a read is refused on arrival because its group is jammed; the sooner, the less it is worth.
    /// Guards against: a jam made by hundreds of gateways with a request or two each, which no limit on one
    /// of them ends. Also catches slow machines. Hurts where a class has long requests by nature.
    pub(super) fn sheds(&mut self, now: Instant, id: RequestId) -> bool {
        let p = &self.requests[&id];
        let Some(group) = self.groups.get(&p.request.group) else { return false };
        let class = &self.settings.classes[p.request.class];
        if class.freshness == Freshness::Write {
            // Guards against: the same at a primary, where the one write that each gateway may always send
            // makes a queue over the aim, late for all. Hurts where a class has long requests by nature.
            let queue = group.primary.map_or(0.0, |m| self.servers[&m].queue.seconds(now));
            let over = (queue / class.aim.as_secs_f64() - SHED_FROM) / (SHED_MOST - SHED_FROM);
            return self.crowd(p.request.class) && self.rng.f64() < over.min(1.0 - STILL_SENT);
        }
        let pressure = (group.pressure.get(now, PRESSURE_HALF) - PRESSURE_LEAST) / (1.0 - PRESSURE_LEAST);
        let classes = self.settings.classes.len();
        let mean = (0..classes).map(|class| self.density(class)).sum::<f64>() / classes as f64;
        let chance = pressure.powf(self.density(p.request.class) / mean);
        pressure > 0.0 && self.rng.f64() < chance
    }

    /// Gateways are so many that one request of each, all at one server, may take longer than the aim.
    pub(super) fn crowd(&self, class: usize) -> bool {
        self.latency.unloaded[class] * self.settings.gateways > self.settings.classes[class].aim
    }

    /// What an answer is worth for each second of work.
    pub(super) fn density(&self, class: usize) -> f64 {
        self.settings.classes[class].worth / self.latency.unloaded[class].as_secs_f64()
    }
}
