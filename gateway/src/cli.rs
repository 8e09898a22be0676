//! The command line.

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
    /// Show the main job: a set of stand-ins, a gateway before it, and some requests, each with its answer.
    Demo,
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
