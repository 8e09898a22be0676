//! Plans of faults: plain data, drawn from a seed or written.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A way out of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Road {
    /// From clients to a gateway.
    Clients(usize),
    /// From a gateway to its list.
    List(usize),
}

/// What may befall such a way. All but the last three last until the ways are healed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Everything takes so many milliseconds longer, each way.
    Late(u64),
    /// Nothing passes, and new connections lead nowhere.
    Cut,
    /// What is asked does not arrive; what is said does.
    Unheard,
    /// What is asked arrives; nothing that is said does.
    Silent,
    /// Connections that are open say nothing more, and stay open; new ones do as always.
    Hushed,
    /// The same, after the first half of the next piece.
    Halved,
    /// Connections that are open are reset.
    Reset,
}

impl Trouble {
    /// All kinds.
    pub const ALL: [Self; 7] =
        [Self::Late(120), Self::Cut, Self::Unheard, Self::Silent, Self::Hushed, Self::Halved, Self::Reset];
}

/// Something that is done to the system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A gateway is killed outright.
    Kill(usize),
    /// It is started again.
    Start(usize),
    /// It is told to end (SIGTERM), and started again when it has.
    End(usize),
    /// It reads its configuration again (SIGHUP).
    Hup(usize),
    /// It is stopped (SIGSTOP).
    Stop(usize),
    /// It goes on (SIGCONT).
    Go(usize),
    /// Another db host becomes the primary.
    Promote(usize),
    /// A db host drains.
    Drain(usize),
    /// It takes requests again.
    Undrain(usize),
    /// A db host starts again, cold; its connections are reset.
    Restart(usize),
    /// A replica falls behind by so many milliseconds.
    Lag(usize, u64),
    /// All connections between a gateway and a db host are reset.
    Reset(usize, usize),
    /// Nothing passes between a gateway and a db host.
    Stall(usize, usize),
    /// Something befalls a way out of the fleet.
    On(Road, Trouble),
    /// All links pass everything again.
    Heal,
    /// Datagrams are lost in this share, of a hundred.
    Loss(u32),
    /// A zone is cut off from the others, by its place among them.
    Cut(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Faults, each with its time since the start of the plan.
pub type Plan = Vec<(Duration, Fault)>;

fn trouble(rng: &mut ChaCha8Rng) -> Trouble {
    *Trouble::ALL.choose(rng).expect("some kinds")
}

/// A plan over so many gateways, db hosts and zones that lasts so long; each fault ends within it.
#[must_use]
pub fn drawn(seed: u64, (gateways, hosts, zones): (usize, usize, usize), lasts: Duration) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = Plan::new();
    let mut at = Duration::from_millis(500);
    // One of these at a time, so that what follows from it can be told.
    while at < lasts {
        let (g, h) = (rng.random_range(0..gateways), rng.random_range(0..hosts));
        let span = Duration::from_millis(rng.random_range(400..3_000));
        let pair = match rng.random_range(0..15) {
            0 | 1 => [Some(Fault::Kill(g)), Some(Fault::Start(g))],
            2 => [Some(Fault::End(g)), None],
            3 => [Some(Fault::Hup(g)), None],
            4 => [Some(Fault::Stop(g)), Some(Fault::Go(g))],
            5 => [Some(Fault::Promote(h)), None],
            6 => [Some(Fault::Drain(h)), Some(Fault::Undrain(h))],
            7 => [Some(Fault::Restart(h)), None],
            8 => [Some(Fault::Stall(g, h)), Some(Fault::Heal)],
            9 => [Some(Fault::Loss(rng.random_range(5..40))), Some(Fault::Heal)],
            10 | 11 => [Some(Fault::On(Road::List(g), trouble(&mut rng))), Some(Fault::Heal)],
            12 | 13 => [Some(Fault::On(Road::Clients(g), trouble(&mut rng))), Some(Fault::Heal)],
            _ => [Some(Fault::Cut(rng.random_range(0..zones))), Some(Fault::Heal)],
        };
        let [first, second] = pair;
        plan.extend(first.map(|fault| (at, fault)));
        if rng.random_ratio(1, 3) {
            plan.push((
                at + span / 2,
                Fault::Reset(rng.random_range(0..gateways), rng.random_range(0..hosts)),
            ));
        }
        plan.extend(second.map(|fault| (at + span, fault)));
        at += span + Duration::from_millis(rng.random_range(100..800));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_draws_the_same_plan_and_each_fault_ends() {
        let lasts = Duration::from_secs(60);
        let plan = drawn(7, (5, 4, 3), lasts);
        assert_eq!(plan, drawn(7, (5, 4, 3), lasts));
        assert_ne!(plan, drawn(8, (5, 4, 3), lasts));
        let mut down = std::collections::BTreeSet::new();
        for (at, fault) in &plan {
            match fault {
                Fault::Kill(n) | Fault::Stop(n) => assert!(down.insert(*n), "{at:?}: {fault}"),
                Fault::Start(n) | Fault::Go(n) => assert!(down.remove(n), "{at:?}: {fault}"),
                _ => {}
            }
        }
        assert!(down.is_empty() && plan.len() > 20, "{plan:?}");
        // Each trouble comes up on each way, somewhere.
        let on = |plan: &Plan| plan.iter().filter(|(_, fault)| matches!(fault, Fault::On(..))).count();
        assert!(on(&drawn(7, (5, 4, 3), 10 * lasts)) > 40);
    }
}
