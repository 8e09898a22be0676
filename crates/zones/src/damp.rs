//! Lets a plan happen by bounded steps: what a lost zone carried moves at once, the rest a little at a time.

/// How fast shares move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// The most that a share grows or shrinks at a step.
    pub step: f64,
    /// A plan that differs by less in every share is not worth a step.
    pub least: f64,
    /// Steps after a loss before anything returns to the zone that was lost.
    pub dwell: u32,
}

impl Default for Damping {
    fn default() -> Self {
        Self { step: 0.1, least: 0.02, dwell: 10 }
    }
}

/// Shares as they are in force, and zones that were lost lately.
#[derive(Clone, Debug)]
pub struct Damper {
    damping: Damping,
    shares: Vec<Vec<f64>>,
    /// Steps until each zone may gain again.
    waits: Vec<u32>,
}

impl Damper {
    /// With these shares in force.
    #[must_use]
    pub fn new(damping: Damping, shares: Vec<Vec<f64>>) -> Self {
        let zones = shares.first().map_or(0, Vec::len);
        Self { damping, shares, waits: vec![0; zones] }
    }

    /// The shares in force.
    #[must_use]
    pub fn shares(&self) -> &[Vec<f64>] {
        &self.shares
    }

    /// Takes a step towards these shares, of as many origins and zones; `lost` zones are left at once. True if shares moved.
    pub fn step(&mut self, target: &[Vec<f64>], lost: &[bool]) -> bool {
        for (wait, lost) in self.waits.iter_mut().zip(lost) {
            *wait = if *lost { self.damping.dwell } else { wait.saturating_sub(1) };
        }
        let before = self.shares.clone();
        for (shares, target) in self.shares.iter_mut().zip(target) {
            leave(shares, target, lost);
            let waits = &self.waits;
            let barred = |zone: usize| lost[zone] || (waits[zone] > 0 && target[zone] > shares[zone]);
            let target = allowed(target, shares, barred);
            let most = shares.iter().zip(&target).map(|(now, to)| (to - now).abs()).fold(0.0, f64::max);
            if most >= self.damping.least {
                let part = (self.damping.step / most).min(1.0);
                shares.iter_mut().zip(&target).for_each(|(now, to)| *now += (to - *now) * part);
            }
        }
        self.shares != before
    }
}

/// The target without gains of zones that may not gain: these keep what they have, and the others what is left of one, in
/// proportion.
fn allowed(target: &[f64], now: &[f64], barred: impl Fn(usize) -> bool) -> Vec<f64> {
    let kept: Vec<bool> = (0..target.len()).map(&barred).collect();
    let held: f64 = now.iter().zip(&kept).filter(|(_, kept)| **kept).map(|(now, _)| now).sum();
    let free: f64 = target.iter().zip(&kept).filter(|(_, kept)| !**kept).map(|(to, _)| to).sum();
    if free <= 0.0 {
        return now.to_vec();
    }
    let part = |zone: usize| if kept[zone] { now[zone] } else { target[zone] * (1.0 - held) / free };
    (0..target.len()).map(part).collect()
}

/// What lost zones carried goes at once where the target has it, or where the rest is.
fn leave(shares: &mut [f64], target: &[f64], lost: &[bool]) {
    let gone: f64 = shares.iter().zip(lost).filter(|(_, lost)| **lost).map(|(share, _)| share).sum();
    if gone <= 0.0 {
        return;
    }
    let weigh = |of: &[f64]| -> Vec<f64> {
        of.iter().zip(lost).map(|(part, lost)| if *lost { 0.0 } else { part.max(0.0) }).collect()
    };
    let mut weights = weigh(target);
    if weights.iter().sum::<f64>() <= 0.0 {
        weights = weigh(shares);
    }
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        // There is nowhere to go.
        return;
    }
    for ((share, weight), lost) in shares.iter_mut().zip(weights).zip(lost) {
        *share = if *lost { 0.0 } else { *share + gone * weight / sum };
    }
}
