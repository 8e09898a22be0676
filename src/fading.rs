//! Arithmetic over time that decides nothing: what is forgotten, how long ago something was, running means.

use std::time::{Duration, Instant};

/// A figure of which half is forgotten in some time, the same at each use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    value: f64,
    at: Option<Instant>,
}

impl Fading {
    /// What is left of it at `now`.
    pub fn get(&self, now: Instant, half: Duration) -> f64 {
        self.value * (-since(now, self.at).div_duration_f64(half)).exp2()
    }

    /// Adds to what is left of it at `now`.
    pub fn add(&mut self, now: Instant, half: Duration, more: f64) {
        self.set(now, self.get(now, half) + more);
    }

    /// Sets what it is at `now`.
    pub fn set(&mut self, now: Instant, value: f64) {
        (self.value, self.at) = (value, Some(now));
    }
}

/// How long ago a time was; longer than anything for what has never been.
pub fn since(now: Instant, at: Option<Instant>) -> Duration {
    at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}

/// A running mean after one more sample, which has this share in it.
pub fn toward(mean: Duration, sample: Duration, share: f64) -> Duration {
    mean.mul_f64(1.0 - share) + sample.mul_f64(share)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_is_forgotten_in_the_set_time_and_nothing_is_known_of_what_never_was() {
        let (half, start) = (Duration::from_secs(2), Instant::now());
        let mut figure = Fading::default();
        assert_eq!(figure.get(start, half), 0.0);
        figure.set(start, 8.0);
        assert_eq!(figure.get(start, half), 8.0);
        assert_eq!(figure.get(start + 2 * half, half), 2.0);
        figure.set(start + half, 3.0);
        assert_eq!(figure.get(start + 2 * half, half), 1.5);
        assert_eq!(since(start, None), Duration::MAX);
        assert_eq!(toward(half, 3 * half, 0.25), 3 * half / 2);
    }
}
