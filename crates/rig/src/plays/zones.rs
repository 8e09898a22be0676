//! Zones under load, with the plan for all and, by `--alone`, near first by each gateway: calm, a zone lost and back, flapping,
//! cold.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use yewroute_rig::checks::{self, End, Seen};
use yewroute_rig::clients::Clients;
use yewroute_rig::tcp::Attempt;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::Setup;

use super::{Args, Stage, COLD_BUDGET};

/// A primary in a, and two replicas in each of a, b and c; a and b are one region.
const HOSTS: usize = 7;
/// The zone that is lost, and the one that is in another region.
const ILL: usize = 1;
const FAR: usize = 2;
/// How long each spell of calm is, b is lost, and it flaps, each way.
const CALM: Duration = Duration::from_secs(6);
const LOST: Duration = Duration::from_secs(12);
const BACK: Duration = Duration::from_secs(32);
const FLAPS: usize = 10;
const FLAP: Duration = Duration::from_secs(3);
const COLD: Duration = Duration::from_secs(22);

pub fn setup(args: &Args, of: Setup) -> io::Result<Setup> {
    let many = args.processes;
    Ok(Setup {
        world: Some(World::new(Shape::default(), HOSTS, many)?),
        relayed: false,
        near: true,
        federation: !args.alone,
        federation_keys: format!("connections = {}", (2 * many).clamp(64, 1_024)),
        sockets: 256 + 4 * many,
        ..of
    })
}

fn ill(host: usize) -> bool {
    host % 3 == ILL
}

/// What reads went where.
struct Reads(Vec<Attempt>);

impl Reads {
    /// Of gateways in a zone, in a span: to zones a, b and c.
    fn from(&self, zone: usize, start: Instant, span: Duration) -> [f64; 3] {
        let mut count = [0.0; 3];
        let within = |at: Instant| at >= start && at < start + span;
        for attempt in self.0.iter().filter(|a| !a.writes && a.link.0 % 3 == zone && within(a.from)) {
            count[attempt.link.1 % 3] += 1.0;
        }
        let sum: f64 = count.iter().sum();
        count.map(|count| count / sum.max(1.0))
    }

    /// The near part of the ill zone's reads in each second.
    fn near(&self, start: Instant, seconds: u32) -> Vec<f64> {
        let second = Duration::from_secs(1);
        (0..seconds).map(|n| self.from(ILL, start + second * n, second)[ILL]).collect()
    }
}

fn served(seen: &[Seen], from: Instant, span: u64) -> f64 {
    let within = |at: Instant| at >= from && at < from + Duration::from_secs(span);
    let all: Vec<_> = seen.iter().filter(|request| within(request.sent)).collect();
    let served = all.iter().filter(|request| request.end.1 == End::Served).count();
    served as f64 / all.len().max(1) as f64
}

/// When each gateway took the plan up that it acts by, after `since`; those that have none since are left out.
fn taken_up(stage: &Stage, since: Instant) -> Vec<f64> {
    let at = |n: &usize| {
        let (_, body) = stage.rig.call(*n, "GET /zones").ok()?;
        let asked = Instant::now();
        let view: serde_json::Value = serde_json::from_str(&body).ok()?;
        let plan = view["groups"][0]["lost"].as_array()?;
        let taken = asked.checked_sub(Duration::from_millis(view["since_ms"].as_u64()?))?;
        (!plan.is_empty() && taken >= since).then(|| (taken - since).as_secs_f64())
    };
    let mut all: Vec<f64> = stage.all.iter().filter_map(at).collect();
    all.sort_by(f64::total_cmp);
    all
}

/// Counts how often the near part of the ill zone's reads goes through a half.
fn moves(near: &[f64]) -> usize {
    near.windows(2).filter(|pair| (pair[0] >= 0.5) != (pair[1] >= 0.5)).count()
}

pub fn run(stage: &mut Stage) -> io::Result<()> {
    let world = Arc::clone(stage.world.as_ref().expect("set up above"));
    let front = stage.all.iter().map(|n| (*n, stage.rig.clients(*n))).collect();
    let clients = Clients::start(stage.args.processes.max(24), front, stage.args.seed);
    let stall = |on: bool| {
        if on {
            world.links().reset(|_, host| ill(host));
        }
        world.links().stall(|_, host| on && ill(host));
    };
    thread::sleep(CALM);
    let calm = Instant::now();
    thread::sleep(CALM);
    let lost = Instant::now();
    stall(true);
    thread::sleep(Duration::from_secs(5));
    let taken = taken_up(stage, lost);
    thread::sleep(LOST.saturating_sub(lost.elapsed()));
    stall(false);
    let back = Instant::now();
    thread::sleep(BACK);
    let flaps = Instant::now();
    for _ in 0..FLAPS {
        stall(true);
        thread::sleep(FLAP);
        stall(false);
        thread::sleep(FLAP);
    }
    // Long enough for a zone that was left for its longest time.
    let warm = Instant::now();
    (0..HOSTS).filter(|host| host % 3 == FAR).for_each(|host| world.restart(host));
    thread::sleep(COLD);
    let seen = clients.end();
    let reads = Reads(world.links().attempts());
    let near = |zone: usize| 100.0 * reads.from(zone, calm, CALM)[zone];
    println!("calm: near {:.1}% of a's, {:.1}% of b's, {:.1}% of c's reads", near(0), near(1), near(2));
    println!(
        "b is lost: served {:.2}% in 2 s, {:.2}% in 10 s",
        100.0 * served(&seen, lost, 2),
        100.0 * served(&seen, lost, 10)
    );
    let away = reads.from(ILL, lost + Duration::from_secs(2), LOST.saturating_sub(Duration::from_secs(2)));
    println!(
        "from b then: {:.1}% to a, {:.1}% near, {:.2}% to the other region",
        100.0 * away[0],
        100.0 * away[1],
        100.0 * away[2]
    );
    match (taken.first(), taken.last()) {
        (Some(first), Some(last)) => println!(
            "{} of {} on the new plan, the first {first:.2} s after the loss, the last {:.3} s after the first",
            taken.len(),
            stage.all.len(),
            last - first
        ),
        _ if stage.args.alone => {}
        _ => stage.broken.push("no gateway is on a plan without b".to_owned()),
    }
    let returns = reads.near(back, BACK.as_secs() as u32);
    let rises = returns.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
    let whole = returns.iter().position(|part| *part >= 0.95);
    println!("b is back: near again after {whole:?} s, at the most {:.0}% more in a second", 100.0 * rises);
    let count = |from: Instant, n: u32| {
        let start = from + Duration::from_secs(1) * n;
        let within = |at: Instant| at >= start && at < start + Duration::from_secs(1);
        reads.0.iter().filter(|a| ill(a.link.1) && within(a.from)).count() as f64
    };
    let usual = (0..CALM.as_secs() as u32).map(|n| count(calm, n)).sum::<f64>() / CALM.as_secs_f64();
    let peak = (0..BACK.as_secs() as u32).map(|n| count(back, n)).fold(0.0, f64::max);
    println!("b's hosts on its return: at the most {:.2} times what they had in calm", peak / usual.max(1.0));
    let flapping = reads.near(flaps, 2 * FLAPS as u32 * FLAP.as_secs() as u32);
    println!(
        "flapping every 3 s for a minute: {} moves, served {:.2}%",
        moves(&flapping),
        100.0 * served(&seen, flaps, 60)
    );
    let broken = world.broken(COLD_BUDGET.0, COLD_BUDGET.1, &[]);
    let cold = broken.iter().filter(|(at, _)| *at >= warm).count();
    println!(
        "c's hosts started again: {cold} times over a cold host's budget; c's near part by the second: {:?}",
        {
            let second = Duration::from_secs(1);
            let part = |n| (100.0 * reads.from(FAR, warm + second * n, second)[FAR]).round() as u32;
            (0..COLD.as_secs() as u32).map(part).collect::<Vec<_>>()
        }
    );
    stage.broken.extend(broken.into_iter().map(|(_, what)| what));
    stage.broken.extend(checks::attempts(&reads.0).into_iter().map(|(_, what)| what));
    println!(
        "served {:.3}% of {} in all",
        100.0 * seen.iter().filter(|s| s.end.1 == End::Served).count() as f64 / seen.len().max(1) as f64,
        seen.len()
    );
    Ok(())
}
