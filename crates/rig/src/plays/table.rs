//! Switches of the federation's table: how long they take in calm, with a dead site and with one that is cut off, and what
//! holds of them among faults under load.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::{console, plan, play, Rig, Setup, TableRules};

use super::{quantile, Args, Stage, COLD_BUDGET};

/// Db hosts; clients in all.
const HOSTS: usize = 6;
const CLIENTS: usize = 30;
/// More gateways than this have no relays between them, and no cuts are played.
const MOST_RELAYED: usize = 60;
/// Switches in calm; and how often each kind of dead site is played.
const SWITCHES: usize = 50;
const ROUNDS: usize = 5;
/// Nothing takes longer than this.
const MOST: Duration = Duration::from_secs(40);
/// Between two looks at one gateway; between two switches among faults.
const LOOK: Duration = Duration::from_millis(2);
const EACH: Duration = Duration::from_millis(1_000);
/// The lease, as `federation()` has it by default, and what a dead site may add to a switch by issue and design.
const LEASE: Duration = Duration::from_secs(3);
const DEAD_SITE: Duration = Duration::from_secs(8);
/// Voters that have been the same for so long are not being replaced.
const SAME_FOR: Duration = Duration::from_secs(5);

/// The table that differs from all others by a number.
fn text(number: u64) -> String {
    format!(
        "limit(\"orders\", classes = [\"order\"], rate = {}, burst = 10000)\n\
         route(\"views\", classes = [\"view\"], zones = {{\"a\": 0.5, \"b\": 0.25, \"c\": 0.25}})\n",
        100_000 + number
    )
}

pub fn setup(args: &Args, of: Setup) -> io::Result<Setup> {
    let many = args.processes;
    Ok(Setup {
        world: Some(World::new(Shape::default(), HOSTS, many)?),
        relayed: many <= MOST_RELAYED,
        apart: true,
        federation: true,
        federation_keys: format!("connections = {}", (2 * many).clamp(64, 1_024)),
        table: text(0),
        sockets: 256 + 4 * many,
        ..of
    })
}

/// What is measured and looked at over the whole play.
struct Switches<'a> {
    rules: &'a mut TableRules,
    /// Tables put so far.
    count: u64,
    /// How long it took until each was taken, since it was put first; until they are told.
    taken: Vec<Duration>,
}

impl Switches<'_> {
    /// Puts a table at one of these until it is taken; then the time until all of them act by it.
    fn switch(&mut self, rig: &Rig, at: usize, members: &[usize]) -> Result<Duration, String> {
        let start = Instant::now();
        self.count += 1;
        let mut refused = String::new();
        while start.elapsed() < MOST {
            match rig.put_table(at, &text(self.count)) {
                Ok((200, said)) => {
                    let version = said["version"].as_u64().unwrap_or(u64::MAX);
                    self.taken.push(start.elapsed());
                    return self.all_act(rig, members, version, start);
                }
                Ok((status, said)) => refused = format!("{status} {said}"),
                Err(error) => refused = error.to_string(),
            }
            thread::sleep(10 * LOOK);
        }
        Err(format!("g{at} takes no table in {MOST:?}: {refused}"))
    }

    /// Waits until all of these act by that version or a newer one.
    fn all_act(
        &mut self,
        rig: &Rig,
        members: &[usize],
        version: u64,
        start: Instant,
    ) -> Result<Duration, String> {
        let mut open = members.to_vec();
        while start.elapsed() < MOST {
            open.retain(|n| {
                let table = rig.table(*n);
                self.rules.says(*n, rig.pid(*n).unwrap_or(0), &table);
                table["state"] == "held" || table["version"].as_u64().is_none_or(|acts| acts < version)
            });
            if open.is_empty() {
                return Ok(start.elapsed());
            }
            thread::sleep(LOOK);
        }
        let waits: Vec<String> = open.iter().map(|n| format!("g{n}: {}", rig.table(*n))).collect();
        Err(format!("version {version} is not acted on in {MOST:?}: {}", waits.join("; ")))
    }
}

fn tell(what: &str, times: &[Duration]) {
    let mut sorted: Vec<f64> = times.iter().map(Duration::as_secs_f64).collect();
    sorted.sort_by(f64::total_cmp);
    let [mid, most, last] = [0.5, 0.99, 1.0].map(|part| quantile(&sorted, part));
    println!("{what}: {} times, p50 {mid:.3} s, p99 {most:.3} s, slowest {last:.3} s", sorted.len());
}

pub fn run(stage: &mut Stage) -> io::Result<()> {
    let mut rules = TableRules::default();
    let mut switches = Switches { rules: &mut rules, count: 0, taken: Vec::new() };
    match switches.all_act(&stage.rig, &stage.all, 1, Instant::now()) {
        Ok(took) => println!("all act by a table {:.1} s after the calm began", took.as_secs_f64()),
        Err(broken) => {
            stage.broken.push(broken);
            return Ok(());
        }
    }
    let played = in_calm(stage, &mut switches)
        .and_then(|()| dead_site(stage, &mut switches))
        .and_then(|()| cut_site(stage, &mut switches))
        .and_then(|()| whole_group(&stage.rig, &stage.all));
    if let Err(broken) = played {
        stage.broken.push(broken);
        return Ok(());
    }
    among_faults(stage, &mut switches)?;
    println!("{} tables put; the newest version is {}", switches.count, switches.rules.newest());
    stage.broken.extend(rules.broken());
    Ok(())
}

fn in_calm(stage: &Stage, switches: &mut Switches<'_>) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(stage.args.seed);
    let mut times = Vec::new();
    for _ in 0..SWITCHES {
        let at = rng.random_range(0..stage.all.len());
        times.push(switches.switch(&stage.rig, at, &stage.all)?);
    }
    tell("switch in calm", &times);
    tell("  of that until the table was taken", &std::mem::take(&mut switches.taken));
    Ok(())
}

/// Waits until those that decide are whole and have been the same for a while. Guards against: a second site that is taken while
/// voters of the first are not replaced yet, so that most of them are gone at once, which is another fault.
fn whole_group(rig: &Rig, all: &[usize]) -> Result<(), String> {
    let wanted = if all.len() < 5 { 3 } else { 5 };
    let (start, mut since, mut last) = (Instant::now(), Instant::now(), None);
    while start.elapsed() < 2 * MOST {
        let group = rig.group(all).filter(|(.., voters)| voters.len() == wanted);
        if group.is_none() || group != last {
            (since, last) = (Instant::now(), group);
        } else if since.elapsed() >= SAME_FOR {
            return Ok(());
        }
        thread::sleep(50 * LOOK);
    }
    Err(format!("not the same {wanted} voters for {SAME_FOR:?} in a row within {:?}", 2 * MOST))
}

/// A site's gateways are killed at once, and a table is put at another site right then.
fn dead_site(stage: &mut Stage, switches: &mut Switches<'_>) -> Result<(), String> {
    let (mut times, mut returns) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        whole_group(&stage.rig, &stage.all)?;
        let site = ["a", "b", "c"][round % 3];
        let (dead, left): (Vec<usize>, Vec<usize>) =
            stage.all.iter().partition(|n| stage.rig.zone(**n) == site);
        dead.iter().for_each(|n| stage.rig.kill(*n));
        times.push(switches.switch(&stage.rig, left[round % left.len()], &left)?);
        for n in &dead {
            stage.rig.start(*n).map_err(|error| format!("g{n} does not come up again: {error}"))?;
        }
        let newest = switches.rules.newest();
        returns.push(switches.all_act(&stage.rig, &stage.all, newest, Instant::now())?);
    }
    tell("switch with a site that was just killed", &times);
    tell("  of that until the table was taken", &std::mem::take(&mut switches.taken));
    tell("until the dead site acts by the newest, from its last start", &returns);
    let late = times.iter().filter(|took| **took > DEAD_SITE).count();
    if late > 0 {
        stage.broken.push(format!("{late} switches with a dead site took longer than {DEAD_SITE:?}"));
    }
    Ok(())
}

/// A site is cut off from the others, and a table is put at another site right then.
fn cut_site(stage: &mut Stage, switches: &mut Switches<'_>) -> Result<(), String> {
    if stage.all.len() > MOST_RELAYED {
        return Ok(());
    }
    let (mut times, mut returns) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        whole_group(&stage.rig, &stage.all)?;
        let site = ["a", "b", "c"][round % 3];
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            stage.all.iter().partition(|n| stage.rig.zone(**n) == site);
        let cuts = stage.rig.cut_off(site);
        stage.rig.relays.weather(|weather| weather.cuts.extend(cuts));
        times.push(switches.switch(&stage.rig, outside[round % outside.len()], &outside)?);
        // Their leases are over, as all others have switched.
        switches.rules.look(&stage.rig, &inside);
        let acts = inside.iter().find(|n| stage.rig.table(**n)["state"] != "held");
        stage.broken.extend(acts.map(|n| format!("g{n} is cut off and acts after the others' switch")));
        let mended = Instant::now();
        stage.rig.relays.weather(|weather| weather.cuts.clear());
        let newest = switches.rules.newest();
        returns.push(switches.all_act(&stage.rig, &stage.all, newest, mended)?);
    }
    tell("switch with a site that was just cut off", &times);
    tell("  of that until the table was taken", &std::mem::take(&mut switches.taken));
    tell("until all act by the newest, from the mending", &returns);
    let late = times.iter().filter(|took| **took > DEAD_SITE).count();
    if late > 0 {
        stage.broken.push(format!("{late} switches with a site cut off took longer than {DEAD_SITE:?}"));
    }
    Ok(())
}

/// What came of tables that were put beside the faults.
type Put = Arc<Mutex<Vec<u16>>>;

/// Puts a table in a thread of its own, as it may take its time.
fn put(console: SocketAddr, text: String, statuses: &Put) -> JoinHandle<()> {
    let statuses = Arc::clone(statuses);
    thread::spawn(move || {
        // 0 for a gateway that went meanwhile.
        let status = console::put_table(console, &text).map_or(0, |(status, _)| status);
        statuses.lock().unwrap_or_else(PoisonError::into_inner).push(status);
    })
}

fn among_faults(stage: &mut Stage, switches: &mut Switches<'_>) -> io::Result<()> {
    let Some(world) = stage.world.clone() else { return Ok(()) };
    let (processes, seed) = (stage.all.len(), stage.args.seed);
    let faults = plan::drawn(seed, (processes, HOSTS, 3), Duration::from_secs(stage.args.calm));
    let (statuses, mut threads) = (Put::default(), Vec::new());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7ab1e);
    let (mut put_at, mut look_at) = (Instant::now(), Instant::now());
    let beside = |rig: &Rig, awake: &[usize]| {
        let now = Instant::now();
        if now >= look_at {
            switches.rules.look(rig, awake);
            look_at = now + 10 * LOOK;
        }
        if now >= put_at && !awake.is_empty() {
            put_at = now + EACH;
            switches.count += 1;
            if let Ok(console) = rig.console(awake[rng.random_range(0..awake.len())]) {
                threads.push(put(console, text(switches.count), &statuses));
            }
        }
    };
    let clients = CLIENTS.max(processes);
    let report = play::play_beside(&mut stage.rig, &world, &faults, clients, COLD_BUDGET, seed, beside)?;
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let statuses = std::mem::take(&mut *statuses.lock().unwrap_or_else(PoisonError::into_inner));
    let of = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    let [taken, other, away, gone] = [200, 409, 503, 0].map(of);
    println!(
        "{} tables put among {} faults: {taken} taken, {other} on another's road, {away} without most, {gone} \
         at a gateway that went; {report}",
        statuses.len(),
        faults.len()
    );
    if taken + other + away + gone < statuses.len() {
        stage.broken.push(format!("tables were answered otherwise: {statuses:?}"));
    }
    stage.broken.extend(report.broken);
    match switches.switch(&stage.rig, stage.order[0], &stage.all) {
        Ok(took) if took <= LEASE + DEAD_SITE => {
            println!("a table after the last fault: all act by it after {:.1} s", took.as_secs_f64());
        }
        Ok(took) => stage.broken.push(format!("a table after the last fault took {took:?}")),
        Err(broken) => stage.broken.push(broken),
    }
    Ok(())
}
