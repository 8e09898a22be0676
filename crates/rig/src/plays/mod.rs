//! The plays: each is a file, and a line in [`Play`] and in both of its functions.

mod channels;
mod faults;
mod fleet;
mod limits;
mod table;
mod verdicts;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use clap::ValueEnum;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yewroute_rig::world::World;
use yewroute_rig::{Rig, Setup};

/// Settings of three classes, as the gateway's tests have them, and their budget of a cold db host.
const SETTINGS: &str = include_str!("../../../../gateway/tests/common/settings.json");
pub const COLD_BUDGET: (f64, Duration) = (4.0, Duration::from_secs(3));
/// A list of one db host, for plays in which nobody asks any.
const KNOWN: &str = r#"{"version":1,"full":true,"servers":[
    {"id":"s-a","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":2,"state":"Ready","weight":1.0,"started_ms":0,"role":"primary"}]}"#;
/// After a fault's end all must see the same again within this.
const WHOLE_WITHIN: Duration = Duration::from_secs(3);
/// How often something that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// What is played.
#[derive(clap::Args)]
pub struct Args {
    /// Which one.
    pub play: Play,
    /// What is drawn by chance follows from it.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Gateways.
    #[arg(long, default_value_t = 6)]
    pub processes: usize,
    /// Seconds before the calm is measured, in which the news of the start is passed on.
    #[arg(long, default_value_t = 0)]
    pub settle: u64,
    /// Seconds of calm before the faults.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..))]
    pub calm: u64,
    /// The gateway's program.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Plays one after the other with the same processes, each with the next seed: for `channels`.
    #[arg(long, default_value_t = 1)]
    pub plays: u64,
    /// Without what is played, to compare: for `verdicts`, each gateway by itself; for `channels`, no faults, but what the
    /// order costs.
    #[arg(long)]
    pub alone: bool,
    /// Print the logs as well.
    #[arg(long)]
    pub keep_logs: bool,
}

/// Which play.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Play {
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
    /// The leader of those that decide for all is killed and started again, ten times.
    Leader,
    /// Each zone is a region, 40 ms from the others: how long a decision takes.
    Regions,
    /// Faults of all kinds drawn from the seed, under load, for as long as the calm; all rules are looked at.
    Faults,
    /// Switches of the federation's table: in calm, with a dead site, with one cut off, and among faults under load.
    Table,
    /// A limit of the whole fleet, with the federation and without.
    Limits,
    /// Contracts on channels' order: kills, stops, cuts and clients that come back elsewhere, drawn for as long as the calm.
    Channels,
    /// A db host that hangs for all, and for one zone: requests lost there, and when it has its share back.
    Verdicts,
}

impl Play {
    /// What it needs beyond what all have.
    fn setup(self, args: &Args, of: Setup) -> io::Result<Setup> {
        Ok(match self {
            Self::Calm | Self::Deaths | Self::Third | Self::Stop => Setup { relayed: false, ..of },
            Self::Zone | Self::Leader | Self::Limits | Self::Channels => of,
            Self::Regions => Setup { apart: true, ..of },
            Self::Faults => faults::setup(args, of)?,
            Self::Table => table::setup(args, of)?,
            Self::Verdicts => verdicts::setup(args, of)?,
        })
    }

    fn run(self, stage: &mut Stage) -> io::Result<()> {
        match self {
            Self::Calm | Self::Limits | Self::Channels => Ok(()),
            Self::Deaths => fleet::deaths(stage),
            Self::Third => fleet::third(stage),
            Self::Zone => fleet::zone(stage),
            Self::Stop => fleet::stop(stage),
            Self::Leader => fleet::leaders(stage),
            Self::Regions => fleet::regions(stage),
            Self::Faults => faults::run(stage),
            Self::Table => table::run(stage),
            Self::Verdicts => verdicts::run(stage),
        }
    }
}

/// What a play has to work with, once all gateways run and its calm is over.
pub struct Stage {
    pub args: Args,
    pub rig: Rig,
    /// The db hosts, where the play has set some up.
    pub world: Option<Arc<World>>,
    /// All gateways, in their order and in one drawn from the seed.
    pub all: Vec<usize>,
    pub order: Vec<usize>,
    /// The rules that were broken.
    pub broken: Vec<String>,
}

/// Plays; the rules that were broken.
///
/// # Errors
/// A gateway does not come up, or the system has no room.
pub fn play(args: Args) -> io::Result<Vec<String>> {
    let beside = std::env::current_exe().map(|path| path.with_file_name("yewroute")).unwrap_or_default();
    let program = args.program.clone().unwrap_or(beside);
    // It starts gateways twice, and clients of its own.
    if args.play == Play::Limits {
        return limits::play(&program, SETTINGS, args.seed, args.processes);
    }
    if args.play == Play::Channels {
        return channels::play(&args);
    }
    let known = KNOWN.to_owned();
    let of = Setup { known, seeds: 5, seed: args.seed, ..Setup::new(program, SETTINGS) };
    let setup = args.play.setup(&args, of)?;
    let (world, all) = (setup.world.clone(), (0..args.processes).collect::<Vec<_>>());
    let mut order = all.clone();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(args.seed));
    let rig = Rig::new(setup, args.processes)?;
    let mut stage = Stage { args, rig, world, all, order, broken: Vec::new() };
    stage.starts()?;
    stage.calm();
    stage.args.play.run(&mut stage)?;
    stage.ends()?;
    Ok(stage.broken)
}

impl Stage {
    fn starts(&mut self) -> io::Result<()> {
        let start = Instant::now();
        self.all.iter().try_for_each(|n| self.rig.start(*n))?;
        println!("started {} in {:.1} s", self.all.len(), start.elapsed().as_secs_f64());
        match whole(&self.rig, &self.all, &self.all, "alive", Duration::from_secs(60)) {
            Some(took) => println!("all see all {took:.1} s after the last start"),
            None => self.broken.push("not all see each other 60 s after the last start".to_owned()),
        }
        Ok(())
    }

    /// Measures what gateways cost while nothing happens.
    fn calm(&mut self) {
        let (rig, all, calm) = (&self.rig, &self.all, self.args.calm);
        let measure = || -> Vec<(f64, f64)> { all.iter().filter_map(|n| used(rig.pid(*n)?).ok()).collect() };
        thread::sleep(Duration::from_secs(self.args.settle));
        let (before, bytes) = (measure(), total(rig, all, "svc_fleet_bytes{way=\"sent\"}"));
        thread::sleep(Duration::from_secs(calm));
        let after = measure();
        let bytes = total(rig, all, "svc_fleet_bytes{way=\"sent\"}") - bytes;
        let cpu: Vec<f64> =
            before.iter().zip(&after).map(|(a, b)| (b.0 - a.0) / calm as f64 * 100.0).collect();
        let kib: Vec<f64> = after.iter().map(|(_, kib)| *kib).collect();
        println!(
            "calm, each gateway: {:.0} bytes/s sent, {:.2}% of a core, {:.0} KiB resident",
            bytes as f64 / calm as f64 / all.len() as f64,
            mean(&cpu),
            mean(&kib)
        );
        let alarms = total(rig, all, "svc_fleet_deaths");
        println!("false alarms in {calm} s of calm and the start: {alarms}");
        if alarms > 0 {
            self.broken.push(format!("{alarms} found dead that lived"));
        }
    }

    fn ends(&mut self) -> io::Result<()> {
        if self.args.keep_logs {
            self.all.iter().for_each(|n| println!("g{n}:\n{}", self.rig.log(*n)));
        }
        let running = self.rig.running();
        running.iter().try_for_each(|n| self.rig.signal(*n, "TERM"))?;
        let unclean = running.iter().filter(|n| !self.rig.ends(**n)).count();
        println!("ended cleanly: {} of {}", running.len() - unclean, running.len());
        if unclean > 0 {
            self.broken.push(format!("{unclean} did not end cleanly"));
        }
        Ok(())
    }

    /// All see all alive again soon after a fault's end.
    pub fn check_whole(&mut self) {
        match whole(&self.rig, &self.all, &self.all, "alive", Duration::from_secs(30)) {
            Some(took) => {
                println!("all see all {took:.1} s after the fault's end");
                if took > WHOLE_WITHIN.as_secs_f64() {
                    self.broken.push(format!("views the same only after {took:.1} s"));
                }
            }
            None => self.broken.push("views are not the same 30 s after the fault's end".to_owned()),
        }
    }
}

/// The value below which this part of sorted ones lies.
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    let at = ((sorted.len().max(1) - 1) as f64 * part) as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
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

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub fn total(rig: &Rig, all: &[usize], figure: &str) -> u64 {
    all.iter().filter_map(|n| rig.figure(*n, figure)).sum()
}

/// Waits until all of `viewers` see `members` so; how long it took, or none if it was not so in time.
pub fn whole(rig: &Rig, viewers: &[usize], members: &[usize], state: &str, most: Duration) -> Option<f64> {
    let start = Instant::now();
    // Counts are asked for first, as whole views of hundreds take seconds to read; each gateway that counts enough is done.
    let figure = format!("svc_fleet_members{{state=\"{state}\"}}");
    let mut open: Vec<usize> = viewers.to_vec();
    let mut counted = None;
    while start.elapsed() < most {
        open.retain(|n| rig.figure(*n, &figure).is_none_or(|count| count < members.len() as u64));
        if open.is_empty() {
            let took = *counted.get_or_insert_with(|| start.elapsed().as_secs_f64());
            if rig.all_see(viewers, members, state) {
                return Some(took);
            }
            // One counted others: from here on views alone tell.
            counted = Some(start.elapsed().as_secs_f64());
        }
        thread::sleep(LOOK);
    }
    None
}
