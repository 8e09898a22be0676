//! Plays a plan of faults against processes of the gateway and prints what was measured.
//!
//! `cargo run --release -p yewroute-rig -- play NAME --seed N --processes N`; exit code 1 on a broken rule. The program is
//! the one beside this one, or `--program`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use clap::{Parser, Subcommand, ValueEnum};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yewroute_rig::{Rig, Setup};

/// Settings of three classes, as the gateway's tests have them.
const SETTINGS: &str = include_str!("../../../gateway/tests/common/settings.json");
/// A list of two db hosts that nobody asks in these plans.
const KNOWN: &str = r#"{"version":1,"full":true,"servers":[
    {"id":"s-a","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":2,"state":"Ready","weight":1.0,"started_ms":0,"role":"primary"}]}"#;
/// After a fault's end all must see the same again within this.
const WHOLE_WITHIN: Duration = Duration::from_secs(3);
/// A death that nobody has noticed by then is not noticed; and how many gateways are asked whether they have.
const NOTICED_WITHIN: Duration = Duration::from_secs(20);
const WATCHED: usize = 20;
/// How often views are asked for.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Parser)]
#[command(name = "yewroute-rig")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a plan.
    Play {
        /// Which one.
        plan: Plan,
        /// What is drawn by chance follows from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Gateways.
        #[arg(long, default_value_t = 6)]
        processes: usize,
        /// Seconds before the calm is measured, in which the news of the start is passed on.
        #[arg(long, default_value_t = 0)]
        settle: u64,
        /// Seconds of calm before the faults.
        #[arg(long, default_value_t = 20)]
        calm: u64,
        /// The gateway's program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Print the logs as well.
        #[arg(long)]
        keep_logs: bool,
    },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Plan {
    /// Nothing: bytes, processor time, memory, false alarms.
    Calm,
    /// A tenth, ten at the most, is killed one after the other.
    Deaths,
    /// A third is killed at once and started again.
    Third,
    /// A zone is cut off for ten seconds.
    Zone,
    /// One is stopped for five seconds.
    Stop,
}

/// Seconds of processor time that a process has used, and its resident memory in KiB.
fn used(pid: u32) -> io::Result<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
    Ok(((ticks(11) + ticks(12)) / 100.0, kib))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn total(rig: &Rig, all: &[usize], figure: &str) -> u64 {
    all.iter().filter_map(|n| rig.figure(*n, figure)).sum()
}

/// Waits until all of `viewers` see `members` so; how long it took, or none if it was not so in time.
fn whole(rig: &Rig, viewers: &[usize], members: &[usize], state: &str, most: Duration) -> Option<f64> {
    let start = Instant::now();
    while start.elapsed() < most {
        if rig.all_see(viewers, members, state) {
            return Some(start.elapsed().as_secs_f64());
        }
        thread::sleep(LOOK);
    }
    None
}

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

fn play(
    plan: Plan,
    seed: u64,
    processes: usize,
    (settle, calm): (u64, u64),
    program: &Path,
    keep_logs: bool,
) -> io::Result<Vec<String>> {
    let setup = Setup {
        program: program.to_owned(),
        known: KNOWN.to_owned(),
        settings: SETTINGS.to_owned(),
        discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
        zones: vec!["a", "b", "c"],
        seeds: 5,
        seed,
        relayed: plan == Plan::Zone,
    };
    let (mut rig, all) = (Rig::new(setup, processes)?, (0..processes).collect::<Vec<_>>());
    let mut broken = Vec::new();
    let start = Instant::now();
    all.iter().try_for_each(|n| rig.start(*n))?;
    println!("started {processes} in {:.1} s", start.elapsed().as_secs_f64());
    match whole(&rig, &all, &all, "alive", Duration::from_secs(60)) {
        Some(took) => println!("all see all {took:.1} s after the last start"),
        None => broken.push("not all see each other 60 s after the last start".to_owned()),
    }
    let measure =
        |rig: &Rig| -> Vec<(f64, f64)> { all.iter().filter_map(|n| used(rig.pid(*n)?).ok()).collect() };
    thread::sleep(Duration::from_secs(settle));
    let (before, bytes) = (measure(&rig), total(&rig, &all, "svc_fleet_bytes{way=\"sent\"}"));
    thread::sleep(Duration::from_secs(calm));
    let after = measure(&rig);
    let bytes = total(&rig, &all, "svc_fleet_bytes{way=\"sent\"}") - bytes;
    let cpu: Vec<f64> = before.iter().zip(&after).map(|(a, b)| (b.0 - a.0) / calm as f64 * 100.0).collect();
    let kib: Vec<f64> = after.iter().map(|(_, kib)| *kib).collect();
    println!(
        "calm, each gateway: {:.0} bytes/s sent, {:.2}% of a core, {:.0} KiB resident",
        bytes as f64 / calm as f64 / processes as f64,
        mean(&cpu),
        mean(&kib)
    );
    let alarms = total(&rig, &all, "svc_fleet_deaths");
    println!("false alarms in {calm} s of calm and the start: {alarms}");
    if alarms > 0 {
        broken.push(format!("{alarms} found dead that lived"));
    }
    let mut order = all.clone();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    match plan {
        Plan::Calm => {}
        Plan::Deaths => {
            let dead: Vec<usize> = order.iter().copied().take((processes / 10).clamp(1, 10)).collect();
            let left: Vec<usize> = order.iter().copied().skip(dead.len()).collect();
            let mut times = Vec::new();
            let watched = &left[..left.len().min(WATCHED)];
            for n in &dead {
                let before: Vec<_> = watched.iter().map(|n| rig.figure(*n, "svc_fleet_deaths")).collect();
                rig.kill(*n);
                times.extend(notices(&rig, watched, &before));
            }
            if times.len() < dead.len() * watched.len() {
                broken.push(format!("{} of {} deaths noticed", times.len(), dead.len() * watched.len()));
            }
            times.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                times.get(((times.len().max(1) - 1) as f64 * q) as usize).copied().unwrap_or(f64::NAN)
            };
            println!(
                "{} deaths noticed: p50 {:.2} s, p99 {:.2} s, slowest {:.2} s",
                times.len(),
                quantile(0.5),
                quantile(0.99),
                quantile(1.0)
            );
        }
        Plan::Third => {
            let (dead, left) = order.split_at(processes / 3);
            dead.iter().for_each(|n| rig.kill(*n));
            match whole(&rig, left, dead, "down", Duration::from_secs(20)) {
                Some(took) => println!("a third killed: down for all after {took:.1} s"),
                None => broken.push("the dead are not down for all after 20 s".to_owned()),
            }
            dead.iter().try_for_each(|n| rig.start(*n))?;
            check_whole(&rig, &all, &mut broken);
        }
        Plan::Zone => {
            let (inside, outside): (Vec<usize>, Vec<usize>) = all.iter().partition(|n| rig.zone(**n) == "c");
            rig.relays.weather(|weather| {
                for (n, m) in inside.iter().flat_map(|n| outside.iter().map(move |m| (*n, *m))) {
                    weather.cuts.extend([(n, m), (m, n)]);
                }
            });
            thread::sleep(Duration::from_secs(10));
            rig.relays.weather(|weather| weather.cuts.clear());
            check_whole(&rig, &all, &mut broken);
        }
        Plan::Stop => {
            rig.signal(order[0], "STOP")?;
            thread::sleep(Duration::from_secs(5));
            rig.signal(order[0], "CONT")?;
            check_whole(&rig, &all, &mut broken);
        }
    }
    if keep_logs {
        all.iter().for_each(|n| println!("g{n}:\n{}", rig.log(*n)));
    }
    let running = rig.running();
    running.iter().try_for_each(|n| rig.signal(*n, "TERM"))?;
    let unclean = running.iter().filter(|n| !rig.ends(**n)).count();
    println!("ended cleanly: {} of {}", running.len() - unclean, running.len());
    if unclean > 0 {
        broken.push(format!("{unclean} did not end cleanly"));
    }
    Ok(broken)
}

fn check_whole(rig: &Rig, all: &[usize], broken: &mut Vec<String>) {
    match whole(rig, all, all, "alive", Duration::from_secs(30)) {
        Some(took) => {
            println!("all see all {took:.1} s after the fault's end");
            if took > WHOLE_WITHIN.as_secs_f64() {
                broken.push(format!("views the same only after {took:.1} s"));
            }
        }
        None => broken.push("views are not the same 30 s after the fault's end".to_owned()),
    }
}

fn main() -> ExitCode {
    let Command::Play { plan, seed, processes, settle, calm, program, keep_logs } = Cli::parse().command;
    let beside = std::env::current_exe().map(|path| path.with_file_name("yewroute")).unwrap_or_default();
    let start = Instant::now();
    let spans = (settle, calm.max(1));
    match play(plan, seed, processes, spans, &program.unwrap_or(beside), keep_logs) {
        Ok(broken) => {
            for rule in &broken {
                println!("BROKEN (seed {seed}, {:.0} s): {rule}", start.elapsed().as_secs_f64());
            }
            ExitCode::from(u8::from(!broken.is_empty()))
        }
        Err(error) => {
            eprintln!("it cannot be played: {error}");
            ExitCode::from(2)
        }
    }
}
