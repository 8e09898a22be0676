//! Plans of faults, drawn from seeds, against several gateways under load: requests, attempts, keys, drains, views and ends
//! hold to their rules throughout.

use std::path::PathBuf;
use std::time::Duration;

use yewroute_rig::play::play;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::{checks::End, plan, Rig, Setup};

/// As the settings have them.
const TIP: f64 = 4.0;
const FALL: Duration = Duration::from_secs(3);

#[test]
fn no_rule_is_broken_whatever_the_plan() {
    let lasts = Duration::from_secs(8);
    let (gateways, hosts, zones) = (5, 4, 3);
    let seeds = std::env::var("PLAN_SEEDS").ok().and_then(|seeds| {
        let (from, to) = seeds.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    for seed in seeds.unwrap_or(1..4_u64) {
        let world = World::new(Shape::default(), hosts, gateways).unwrap();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_yewroute"));
        let settings = include_str!("common/settings.json");
        let setup = Setup { world: Some(world.clone()), seed, ..Setup::new(program, settings) };
        let mut rig = Rig::new(setup, gateways).unwrap();
        (0..gateways).for_each(|n| rig.start(n).unwrap());
        let faults = plan::drawn(seed, (gateways, hosts, zones), lasts);
        let report = play(&mut rig, &world, &faults, 12, (TIP, FALL), seed).unwrap();
        let logs: Vec<String> = (0..gateways).map(|n| format!("g{n}:\n{}", rig.log(n))).collect();
        println!(
            "seed {seed}: {:?}, {} attempts, {} keys, whole {:?}",
            report.ends, report.attempts, report.keys, report.whole
        );
        assert!(report.broken.is_empty(), "seed {seed}: {:#?}\n{}", report.broken, logs.join("\n"));
        let served = report.ends.iter().find(|(end, _)| *end == End::Served).map_or(0, |(_, count)| *count);
        assert!(served > 500 && report.keys > 50, "seed {seed}: {report:?}");
        assert!((0..gateways).all(|n| rig.end(n).unwrap()), "seed {seed}: they end cleanly");
    }
}
