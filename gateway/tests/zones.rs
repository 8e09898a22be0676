//! Gateways and db hosts in zones: where reads go in calm, and when a zone's db hosts are lost and come back.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yewroute_rig::clients::Clients;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::{checks, Rig, Setup};

const GATEWAYS: usize = 6;
/// A primary in a, and two replicas in each of a, b and c; a and b are one region.
const HOSTS: usize = 7;
const CLIENTS: usize = 12;

fn rig(near: bool) -> (Rig, Arc<World>) {
    let world = World::new(Shape::default(), HOSTS, GATEWAYS).unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_yewroute"));
    let settings = include_str!("common/settings.json");
    let setup = Setup { world: Some(world.clone()), near, relayed: false, ..Setup::new(program, settings) };
    let mut rig = Rig::new(setup, GATEWAYS).unwrap();
    (0..GATEWAYS).for_each(|n| rig.start(n).unwrap());
    (rig, world)
}

/// The parts of reads that gateways of a zone sent to zones a, b and c since then.
fn shares(rig: &Rig, world: &World, from: &str, since: Instant) -> [f64; 3] {
    let mut count = [0.0; 3];
    for attempt in world.links().attempts() {
        let (gateway, host) = attempt.link;
        if attempt.from >= since && !attempt.writes && rig.zone(gateway) == from {
            count[host % 3] += 1.0;
        }
    }
    let sum: f64 = count.iter().sum();
    assert!(sum > 100.0, "{count:?} from {from}");
    count.map(|count| count / sum)
}

fn spell(seconds: u64) -> Instant {
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    start
}

#[test]
fn reads_stay_near_in_calm_leave_a_lost_zone_for_its_region_and_come_back() {
    let (rig, world) = rig(true);
    let front = (0..GATEWAYS).map(|n| (n, rig.clients(n))).collect();
    let clients = Clients::start(CLIENTS, front, 5);
    spell(1);
    let calm = spell(4);
    let near = ["a", "b", "c"].map(|zone| shares(&rig, &world, zone, calm));
    println!("calm: {near:?}");
    assert!((0..3).all(|zone| near[zone][zone] >= 0.97), "{near:?}");

    // The replicas of zone b are lost: nothing passes to them, and nobody is told.
    let lost = Instant::now();
    let in_b = |host: usize| World::zone(host) == "b";
    world.links().reset(|_, host| in_b(host));
    world.links().stall(|_, host| in_b(host));
    spell(3);
    let after = spell(4);
    let away = shares(&rig, &world, "b", after);
    println!("b is lost, from b: {away:?}");
    assert!(away[0] >= 0.9 && away[2] <= 0.05, "to its region: {away:?}");

    world.links().stall(|_, _| false);
    spell(4);
    let back = spell(4);
    let again = shares(&rig, &world, "b", back);
    println!("b is back, from b: {again:?}");
    assert!(again[1] >= 0.9, "{again:?}");

    let seen = clients.end();
    let part = |from: Instant, span: u64| {
        let within = |at: Instant| at >= from && at < from + Duration::from_secs(span);
        let all: Vec<_> = seen.iter().filter(|request| within(request.sent)).collect();
        let served = all.iter().filter(|request| request.end.1 == checks::End::Served).count();
        served as f64 / all.len() as f64
    };
    println!("served: 2 s after the loss {:.4}, 10 s after it {:.4}", part(lost, 2), part(lost, 10));
    assert!(part(lost, 10) >= 0.98, "{}", part(lost, 10));
    let broken = checks::attempts(&world.links().attempts());
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn without_a_word_in_the_operator_s_file_zones_are_not_looked_at() {
    let (rig, world) = rig(false);
    let front = (0..GATEWAYS).map(|n| (n, rig.clients(n))).collect();
    let clients = Clients::start(CLIENTS, front, 6);
    let calm = spell(4);
    let near = ["a", "b", "c"].map(|zone| shares(&rig, &world, zone, calm));
    println!("not looked at: {near:?}");
    assert!((0..3).all(|zone| near[zone][zone] < 0.7), "{near:?}");
    assert!(clients.end().len() > 500);
}
