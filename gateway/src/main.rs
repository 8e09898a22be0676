//! The gateway of yewroute.

mod cli;
mod clock;
mod config;
mod core;
mod demo;
mod label_counts;
mod log;
mod memory_plan;
mod net;
mod pcap;
mod proto;
mod replay;
mod timers;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use tracing::error;
use yewroute_edge::Edge;

use cli::{Cli, Command};
use config::Config;
use net::signals::Signals;

/// The configuration is at fault: starting again as it is will not help.
const EXIT_CONFIG: u8 = 78;

fn main() -> ExitCode {
    let cli = Cli::parse();
    log::start(cli.log);
    match cli.command {
        None => serve(None),
        Some(Command::Run { edge }) => serve(edge),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Pcap { command }) => pcap::run(&command),
        Some(Command::Demo) => demo::run(),
    }
}

fn serve(edge: Option<PathBuf>) -> ExitCode {
    // Guards against: a signal that comes while the configuration is read, which would kill the process.
    let signals = match Signals::new() {
        Ok(signals) => signals,
        Err(error) => {
            error!(%error, "stopped");
            return ExitCode::FAILURE;
        }
    };
    let config = match Config::read(edge) {
        Ok(config) => config,
        Err(error) => {
            error!(%error, "configuration at fault");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    match net::run(config, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "stopped");
            ExitCode::FAILURE
        }
    }
}

/// Says on standard output what a file settles, or on standard error what is wrong with it.
fn check(file: &Path) -> ExitCode {
    match Edge::read(file) {
        Ok(edge) => {
            // Classes are the settings', which are not read here.
            let faults = edge.first.faults(&edge.against());
            for fault in &faults {
                let (file, line, entry) = (file.display(), fault.line, &fault.entry);
                eprintln!("{file}:{line}: {entry}: {}; {}", fault.problem, fault.remedy);
            }
            if !faults.is_empty() {
                return ExitCode::from(EXIT_CONFIG);
            }
            println!("{}: good\n{edge}", file.display());
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(EXIT_CONFIG)
        }
    }
}
