//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// A gateway for check-in databases.
///
/// Without a command it serves as the platform starts it: the configuration is the JSON file that EDGE_CONFIG
/// names, and nothing beyond it is on.
#[derive(Debug, Parser)]
#[command(name = "yewroute", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How log lines are written.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub log: LogForm,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve, with what an operator's file adds to the configuration that EDGE_CONFIG names.
    Run {
        /// The operator's file, such as deploy/edge.star.
        #[arg(long, value_name = "FILE")]
        edge: Option<PathBuf>,
    },
    /// Check an operator's file and print what it settles; exit code 78 if it is at fault.
    Check {
        /// The operator's file.
        file: PathBuf,
    },
    /// Read recorded traffic from capture files; nothing is captured.
    Pcap {
        /// What to do with it.
        #[command(subcommand)]
        command: Pcap,
    },
    /// Show the main job: a set of stand-ins, a gateway before it, and some requests, each with its answer.
    Demo,
}

/// What to do with recorded traffic.
#[derive(Debug, Subcommand)]
pub enum Pcap {
    /// Print each request with its answer as a line of JSON, in the order of their ends.
    Requests {
        /// A pcap or pcapng file.
        file: PathBuf,
        /// Print the statement's shape, without its values, in place of its text.
        #[arg(long)]
        shape: bool,
    },
    /// Print rates, outcomes, answer times, and what could not be read.
    Stats {
        /// A pcap or pcapng file.
        file: PathBuf,
    },
    /// Send the requests again, in their order and spacing on each connection; exit code 1 if outcomes differ.
    Replay {
        /// A pcap or pcapng file.
        file: PathBuf,
        /// Where to send them.
        #[arg(long, value_name = "ADDR")]
        to: SocketAddr,
        /// So many times as fast as recorded, or `max` for as fast as answers come.
        #[arg(long, value_name = "X", default_value = "1", value_parser = speed)]
        speed: Speed,
        /// Renew each id.
        #[arg(long)]
        map_ids: bool,
        /// Only requests to this server of the recording.
        #[arg(long, value_name = "ADDR")]
        server: Option<SocketAddr>,
        /// Write what is sent and received as a capture file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        /// The most memory that requests may take.
        #[arg(long, value_name = "N", default_value_t = 512)]
        memory_mb: usize,
    },
    /// Print the requests that differ between two files, by id and then by order; exit code 1 if there are any.
    Diff {
        /// The first file.
        first: PathBuf,
        /// The second file.
        second: PathBuf,
    },
}

/// How fast a replay goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Speed {
    /// So many times as fast as recorded.
    Times(f64),
    /// As fast as answers come.
    Max,
}

fn speed(text: &str) -> Result<Speed, String> {
    if text == "max" {
        return Ok(Speed::Max);
    }
    let times =
        text.parse::<f64>().ok().filter(|times| times.is_finite() && (0.001..=1000.0).contains(times));
    times.map(Speed::Times).ok_or_else(|| "neither a number within 0.001 and 1000 nor `max`".to_owned())
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    /// Names and values on a line.
    #[default]
    Text,
    /// A JSON object on a line.
    Json,
}
