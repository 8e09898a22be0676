//! Plays a plan of faults against processes of the gateway and prints what was measured.
//!
//! `cargo run --release -p yewroute-rig -- play NAME --seed N --processes N`; exit code 1 on a broken rule. The program is
//! the one beside this one, or `--program`.

mod plays;

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use yewroute_rig::soak;

#[derive(Parser)]
#[command(name = "yewroute-rig")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a plan.
    Play(plays::Args),
    /// Play seeds of the soak, one after the other.
    Soak(SoakArgs),
}

/// What the soak is.
#[derive(clap::Args)]
struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Gateways; drawn from the seed, up to 30, without it.
    #[arg(long)]
    processes: Option<usize>,
    /// Seconds of each seed.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// The gateway's program; the one beside this one without it.
    #[arg(long)]
    program: Option<PathBuf>,
    /// A library that puts the wall clocks of some gateways off.
    #[arg(long)]
    wall_clock_shim: Option<PathBuf>,
    /// Print events and logs of seeds that broke a rule.
    #[arg(long)]
    keep_logs: bool,
    /// A folder for all that was recorded of each seed, whether or not it broke a rule.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Play(args) => play(args),
        Command::Soak(args) => soak(&args),
    }
}

fn soak(args: &SoakArgs) -> ExitCode {
    let beside = || std::env::current_exe().map(|own| own.with_file_name("yewroute")).unwrap_or_default();
    let mut broken = false;
    for seed in args.seed..args.seed + args.seeds {
        let options = soak::Options {
            program: args.program.clone().unwrap_or_else(beside),
            seed,
            processes: args.processes,
            span: Duration::from_secs(args.seconds),
            wall_clock_shim: args.wall_clock_shim.clone(),
        };
        match soak::play(&options) {
            Ok(report) => {
                if let Err(error) = args.keep.as_deref().map_or(Ok(()), |folder| keep(&report, folder)) {
                    eprintln!("seed {seed} cannot be kept: {error}");
                    return ExitCode::from(2);
                }
                broken |= print_soak(&report, args.keep_logs);
            }
            Err(error) => {
                eprintln!("seed {seed} cannot be played: {error}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(broken))
}

/// Prints what came of a seed; whether a rule was broken.
fn print_soak(report: &soak::Report, keep_logs: bool) -> bool {
    println!("{}", summary(report));
    for violation in report.violations.iter().take(20) {
        println!("  {violation}");
    }
    let broken = !report.violations.is_empty();
    if keep_logs && broken {
        println!("{}", recorded(report));
    }
    broken
}

fn summary(report: &soak::Report) -> String {
    let soak::Report { seed, processes, requests, served, arrivals, peak_memory_kib, .. } = report;
    let percent = 100.0 * *served as f64 / (*requests).max(1) as f64;
    let (broken, deadline) = (report.violations.len(), report.deadline);
    format!(
        "seed {seed}: {processes} gateways, deadline {deadline:?}, {requests} requests, {percent:.1}% served, {arrivals} arrivals, {peak_memory_kib} KiB at the most, {broken} broken"
    )
}

/// Events, what counts as told, hold-ups by the machine, and logs.
fn recorded(report: &soak::Report) -> String {
    let logs = report.logs.iter().enumerate().map(|(number, log)| format!("g{number}:\n{log}"));
    let parts = report
        .events
        .iter()
        .chain(&report.told)
        .chain(&report.hold_ups)
        .map(|line| format!("  {line}"))
        .chain(logs);
    parts.collect::<Vec<_>>().join("\n")
}

/// Writes all that was recorded of a seed to a file of its own, and its requests and arrivals to another.
fn keep(report: &soak::Report, folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let violations: String = report.violations.iter().map(|violation| format!("  {violation}\n")).collect();
    let text = format!("{}\n{violations}{}\n", summary(report), recorded(report));
    fs::write(folder.join(format!("seed-{}.txt", report.seed)), text)?;
    let traffic = report.traffic.join("\n");
    fs::write(folder.join(format!("seed-{}-traffic.txt", report.seed)), traffic)
}

fn play(args: plays::Args) -> ExitCode {
    let start = Instant::now();
    let seed = args.seed;
    match plays::play(args) {
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
