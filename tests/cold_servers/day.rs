//! What is played: the settings that bear on a cold server, the servers and what is asked of them.

use yewroute::interface::*;

use crate::common::*;

pub const READ: usize = 0;
pub const UPDATE: usize = 1;

/// How the cold servers come to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// So many new replicas join.
    Join(u32),
    /// All members are restarted at once.
    Restart,
    /// A replica falls silent and comes back as one that was restarted.
    Return,
}

/// How servers work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// For a random time, on so many cores behind a queue.
    Queued,
    /// For the same time each, however many there are: all that is asked is served at full throughput.
    Steady,
}

/// The settings that say what a cold server may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    pub start_capacity: f64,
    pub cold_ms: u64,
    pub tip_multiple: f64,
    pub fall_ms: u64,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub ramp: Ramp,
    pub routers: usize,
    pub start: Start,
    pub work: Work,
    pub cores: usize,
    /// Mean work of a read and of an update, in milliseconds on one core, and the share of reads.
    pub work_ms: [f64; 2],
    pub reads: f64,
    /// What the cold servers can do once they are warm, against the others.
    pub cold_speed: f64,
    /// What is asked as a share of what the group can do, usually and in a burst, and when that begins.
    pub load: f64,
    pub burst: f64,
    pub burst_at_ms: u64,
    pub seed: u64,
}

impl Day {
    pub fn settings(&self) -> Settings {
        let mut settings = settings();
        let effect = Effect::Deduplicated { scope: KeyScope::Group, window: ms(2_000) };
        let read = Class { aim: ms(500), deadline: ms(1_200), ..class(Freshness::Any, Effect::Idempotent) };
        let update = Class { aim: ms(600), deadline: ms(3_000), ..class(Freshness::Write, effect) };
        settings.gateways = self.routers as u32;
        settings.when_behind = WhenBehind::Refuses;
        settings.classes = vec![read, update];
        settings.rules.start_capacity = self.ramp.start_capacity;
        settings.rules.cold = ms(self.ramp.cold_ms);
        settings.rules.tip_multiple = self.ramp.tip_multiple;
        settings.rules.fall = ms(self.ramp.fall_ms);
        settings
    }

    pub fn mean_work_ms(&self) -> f64 {
        self.work_ms[READ] * self.reads + self.work_ms[UPDATE] * (1.0 - self.reads)
    }

    /// Requests of mean work that a warm server can do in a millisecond.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.mean_work_ms()
    }

    /// The share of its capacity that a server has by the settings so long after its start.
    pub fn warmth(&self, age_ms: f64) -> f64 {
        let from = self.ramp.start_capacity;
        (from + (1.0 - from) * age_ms / self.ramp.cold_ms as f64).min(1.0)
    }

    /// N of the window that begins so long after a cold server's start.
    pub fn allowed(&self, age_ms: f64) -> f64 {
        let fall = self.ramp.fall_ms as f64;
        let warmth = self.warmth(age_ms + fall / 2.0);
        self.ramp.tip_multiple * self.capacity() * self.cold_speed * warmth * fall
    }
}
