//! Faults of all kinds, drawn from the seed, under load.

use std::io;
use std::time::Duration;

use yewroute_rig::world::{Shape, World};
use yewroute_rig::{plan, play, Setup};

use super::{Args, Stage, COLD_BUDGET};

/// Db hosts, and clients of each gateway.
const HOSTS: usize = 6;
const CLIENTS: usize = 3;

pub fn setup(args: &Args, of: Setup) -> io::Result<Setup> {
    Ok(Setup { world: Some(World::new(Shape::default(), HOSTS, args.processes)?), ..of })
}

pub fn run(stage: &mut Stage) -> io::Result<()> {
    let Some(world) = &stage.world else { return Ok(()) };
    let (processes, seed) = (stage.all.len(), stage.args.seed);
    let faults = plan::drawn(seed, (processes, HOSTS, 3), Duration::from_secs(stage.args.calm));
    let report = play::play(&mut stage.rig, world, &faults, CLIENTS * processes, COLD_BUDGET, seed)?;
    println!("{} faults; {report}", faults.len());
    stage.broken.extend(report.broken);
    Ok(())
}
