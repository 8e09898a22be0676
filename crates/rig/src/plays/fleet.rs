//! Plays of the fleet's view and of what it decides: deaths, cuts, stops, leaders.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use yewroute_rig::{Rig, Rules};

use super::{quantile, total, whole, Stage};

/// A death that nobody has noticed by then is not noticed; and how many are watched for it at a time.
const NOTICED_WITHIN: Duration = Duration::from_secs(15);
const WATCHED: usize = 30;
/// How far regions are from each other, each way.
const FAR: Duration = Duration::from_millis(40);
/// How often the leader is killed, and within what another leads, and the dead one has a successor among the voters.
const LEADERS: usize = 10;
const LED_WITHIN: Duration = Duration::from_secs(20);

/// How long each of some gateways took to find one more dead than `before`, in seconds since the call.
fn notices(rig: &Rig, watched: &[usize], before: &[Option<u64>]) -> Vec<f64> {
    let (start, mut times) = (Instant::now(), vec![None; watched.len()]);
    while start.elapsed() < NOTICED_WITHIN && times.iter().any(Option::is_none) {
        for (at, n) in watched.iter().enumerate() {
            if times[at].is_none() && rig.figure(*n, "svc_fleet_deaths") > before[at] {
                times[at] = Some(start.elapsed().as_secs_f64());
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    times.into_iter().flatten().collect()
}

/// A tenth is killed, one after the other.
pub fn deaths(stage: &mut Stage) -> io::Result<()> {
    let count = (stage.all.len() / 10).clamp(1, 10);
    let (dead, left) = stage.order.split_at(count);
    let mut times = Vec::new();
    let watched = &left[..left.len().min(WATCHED)];
    for n in dead {
        let before: Vec<_> = watched.iter().map(|n| stage.rig.figure(*n, "svc_fleet_deaths")).collect();
        stage.rig.kill(*n);
        times.extend(notices(&stage.rig, watched, &before));
    }
    if times.len() < dead.len() * watched.len() {
        stage.broken.push(format!("{} of {} deaths noticed", times.len(), dead.len() * watched.len()));
    }
    times.sort_by(f64::total_cmp);
    let [mid, most, last] = [0.5, 0.99, 1.0].map(|part| quantile(&times, part));
    println!("{} deaths noticed: p50 {mid:.2} s, p99 {most:.2} s, slowest {last:.2} s", times.len());
    Ok(())
}

/// A third is killed at once.
pub fn third(stage: &mut Stage) -> io::Result<()> {
    let (dead, left) = stage.order.split_at(stage.all.len() / 3);
    dead.iter().for_each(|n| stage.rig.kill(*n));
    match whole(&stage.rig, left, dead, "down", Duration::from_secs(20)) {
        Some(took) => println!("a third killed: down for all after {took:.1} s"),
        None => stage.broken.push("the dead are not down for all after 20 s".to_owned()),
    }
    dead.iter().try_for_each(|n| stage.rig.start(*n))?;
    stage.check_whole();
    Ok(())
}

/// A zone is cut off for a while.
pub fn zone(stage: &mut Stage) -> io::Result<()> {
    let cut = stage.rig.cut_off("c");
    stage.rig.relays.weather(|weather| weather.cuts.extend(cut));
    thread::sleep(Duration::from_secs(10));
    stage.rig.relays.weather(|weather| weather.cuts.clear());
    stage.check_whole();
    Ok(())
}

/// One is stopped for a while.
pub fn stop(stage: &mut Stage) -> io::Result<()> {
    stage.rig.signal(stage.order[0], "STOP")?;
    thread::sleep(Duration::from_secs(5));
    stage.rig.signal(stage.order[0], "CONT")?;
    stage.check_whole();
    Ok(())
}

/// Waits until all say the same of the group and it is as wanted; how long it took.
fn agreed(
    rig: &Rig,
    rules: &mut Rules,
    all: &[usize],
    so: impl Fn(usize, &[usize]) -> bool,
) -> Option<(usize, Duration)> {
    let start = Instant::now();
    while start.elapsed() < LED_WITHIN {
        rules.look(rig, all);
        if let Some((_, leader, voters)) = rig.group(all) {
            if so(leader, &voters) {
                return Some((leader, start.elapsed()));
            }
        }
    }
    None
}

/// The leader is killed again and again.
pub fn leaders(stage: &mut Stage) -> io::Result<()> {
    let Stage { rig, all, broken, .. } = stage;
    let (mut rules, mut times) = (Rules::default(), Vec::new());
    let wanted = if all.len() < 5 { 3 } else { 5 };
    for round in 0..LEADERS {
        let Some((leader, _)) = agreed(rig, &mut rules, all, |_, voters| voters.len() == wanted) else {
            broken.push(format!("no {wanted} voters before round {round}"));
            return Ok(());
        };
        rig.kill(leader);
        let left: Vec<usize> = all.iter().copied().filter(|n| *n != leader).collect();
        match agreed(rig, &mut rules, &left, |other, _| other != leader) {
            Some((_, took)) => times.push(took.as_secs_f64()),
            None => broken.push(format!("nobody leads {LED_WITHIN:?} after g{leader} died")),
        }
        rig.start(leader)?;
    }
    times.sort_by(f64::total_cmp);
    let (count, mid, last) = (times.len(), quantile(&times, 0.5), quantile(&times, 1.0));
    println!("leader killed {count} times: all follow another after p50 {mid:.2} s, slowest {last:.2} s");
    broken.extend(rules.broken().iter().cloned());
    Ok(())
}

/// Regions far from each other decide.
pub fn regions(stage: &mut Stage) -> io::Result<()> {
    let Stage { rig, all, broken, args, .. } = stage;
    rig.relays.weather(|weather| {
        for (n, m) in all.iter().flat_map(|n| all.iter().map(move |m| (*n, *m))) {
            if rig.zone(n) != rig.zone(m) {
                weather.far.insert((n, m), FAR);
            }
        }
    });
    let mut rules = Rules::default();
    if agreed(rig, &mut rules, all, |_, voters| voters.len() == 5.min(all.len())).is_none() {
        broken.push("they do not agree on voters".to_owned());
    }
    // The first lease is given some seconds after the group began, and then kept by a decision every second or so.
    thread::sleep(Duration::from_secs(15));
    let decided = || (total(rig, all, "svc_group_decided"), total(rig, all, "svc_group_decided_ms"));
    let before = decided();
    thread::sleep(Duration::from_secs(args.calm));
    let (count, ms) = (decided().0 - before.0, decided().1 - before.1);
    println!("{count} decisions of the leader's own, {:.0} ms each", ms as f64 / count.max(1) as f64);
    if count == 0 {
        broken.push("nothing was decided".to_owned());
    }
    broken.extend(rules.broken().iter().cloned());
    Ok(())
}
