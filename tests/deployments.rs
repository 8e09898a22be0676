//! Two deployments with the same names and other figures, side by side in one process.

mod common;

use common::*;
use yewroute::interface::*;

/// The same classes with other effects, costs, times and limits.
fn other_settings() -> Settings {
    let mut s = settings();
    for class in &mut s.classes {
        (class.aim, class.deadline, class.worth) = (ms(100), ms(300), 5.0);
        class.effect = match class.effect {
            Effect::Idempotent => Effect::Idempotent,
            Effect::Deduplicated { .. } => Effect::AtMostOnce,
            Effect::AtMostOnce => Effect::Deduplicated { scope: KeyScope::All, window: ms(200) },
        };
    }
    s.limits.max_attempts = 2;
    s.limits.retry_after = true;
    s.rules.cold = ms(4_000);
    s.rules.tip_multiple = 5.0;
    s
}

/// One step of a day: a request of a class, whose attempts end as `status` says, and a moment that passes.
fn step(gateway: &mut Gateway, n: u64) -> Vec<Action> {
    let class = (n % 6) as usize;
    let status = [Status::Good, Status::Error, Status::Good, Status::Timeout, Status::Miss][(n % 5) as usize];
    let (_, mut all) = gateway.request(class);
    let mut next = sends(&all);
    for attempt in 0..8 {
        let Some((id, server)) = next.first().copied() else { break };
        let actions = gateway.outcome(id, attempt, server, status);
        next = sends(&actions);
        all.extend(actions);
    }
    all.extend(gateway.tick(ms(10 + n % 3 * 20)));
    all
}

fn day(mut gateway: Gateway) -> Vec<Vec<Action>> {
    (0..400).map(|n| step(&mut gateway, n)).collect()
}

#[test]
fn each_acts_as_if_it_were_alone() {
    let one = || Gateway::seeded(settings(), 3, 5);
    let two = || Gateway::seeded(other_settings(), 3, 5);
    let (alone, other_alone) = (day(one()), day(two()));
    assert_ne!(alone, other_alone, "the figures count");
    let (mut beside, mut other_beside) = (one(), two());
    for n in 0..400 {
        assert_eq!(step(&mut beside, n), alone[n as usize], "step {n}");
        assert_eq!(step(&mut other_beside, n), other_alone[n as usize], "step {n} of the other");
    }
}
