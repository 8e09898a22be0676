//! What a gateway is told: the EDGE_* variables and the configuration file they name.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use yewroute::interface::Freshness;
use yewroute_edge::{Edge, Fleet};
use yewroute_settings::{parse, Deployment, Fault};
use yewroute_table::Against;

use crate::proto::catalog::Members;

/// Descriptors without which nothing can be served: listener, poller, watch, signals, standard streams, and
/// a few connections.
const LEAST_SOCKETS: usize = 32;
/// Memory under which nothing sensible can be held, in MB.
const LEAST_MEMORY: usize = 32;
/// One part in so many of the memory is the most that the statement table may have.
const STATEMENT_TABLE_PARTS: usize = 8;

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable that must be set is not.
    #[error("{0}: not set")]
    Unset(&'static str),
    /// The file cannot be read.
    #[error("EDGE_CONFIG: {0}: {1}")]
    File(String, std::io::Error),
    /// A key of the file.
    #[error("{0}: {1}")]
    Key(String, Fault),
    /// A variable that stands for a key.
    #[error("{0}")]
    Variable(#[from] Fault),
    /// The operator's file.
    #[error("{0}")]
    Edge(#[from] yewroute_edge::Fault),
    /// The operator's file wants more than the limits have.
    #[error("{0}: {1}")]
    TooMuch(String, String),
    /// The table that the operator's file makes.
    #[error("{0}:{line}: {entry}: {problem}; {remedy}", line = .1.line, entry = .1.entry, problem = .1.problem,
        remedy = .1.remedy)]
    Table(String, yewroute_table::Fault),
}

/// What a table is checked against: the settings, the operator's file and the groups of the list.
pub fn against(deployment: &Deployment, edge: &Edge, groups: &[u64]) -> Against {
    let classes = deployment.class_names.iter().cloned().zip(&deployment.module.classes);
    let reads = classes.filter(|(_, class)| class.freshness != Freshness::Write).map(|(name, _)| name);
    Against {
        classes: deployment.class_names.iter().cloned().collect(),
        reads: reads.collect(),
        groups: groups.iter().copied().collect(),
        ..edge.against()
    }
}

/// The whole configuration.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators connect, if they do.
    pub console: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that may be held.
    pub sockets: usize,
    /// KiB of memory that may be used.
    pub memory_kib: usize,
    /// The list of db hosts as last known.
    pub known: Members,
    /// The settings.
    pub deployment: Deployment,
    /// Where the operator's file is, and what it settles.
    pub edge_file: Option<PathBuf>,
    /// As without a file if there is none.
    pub edge: Edge,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    console: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    known: Members,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory")]
    memory_mb: usize,
}

fn memory() -> usize {
    192
}

fn sockets() -> usize {
    1024
}

/// The configuration file: where it is, and its text.
struct Source {
    path: String,
    text: String,
}

impl Source {
    /// Reads the file that `EDGE_CONFIG` names.
    fn read() -> Result<Self, ConfigError> {
        let path = env::var("EDGE_CONFIG").map_err(|_| ConfigError::Unset("EDGE_CONFIG"))?;
        match fs::read_to_string(&path) {
            Ok(text) => Ok(Self { path, text }),
            Err(error) => Err(ConfigError::File(path, error)),
        }
    }

    /// A fault of the file's.
    fn fault(&self, fault: Fault) -> ConfigError {
        ConfigError::Key(self.path.clone(), fault)
    }

    /// Reads the keys.
    fn keys(&self) -> Result<File, Fault> {
        let file: File = parse(&self.text)?;
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(Fault::at("limits.sockets", format!("must be at least {LEAST_SOCKETS}")));
        }
        if file.limits.memory_mb < LEAST_MEMORY {
            return Err(Fault::at("limits.memory_mb", format!("must be at least {LEAST_MEMORY}")));
        }
        Ok(file)
    }
}

/// Reads the settings. Guards against: classes that share a name, by which requests name their class.
fn deployment(settings: &RawValue) -> Result<Deployment, Fault> {
    let deployment = Deployment::from_json(settings.get())?;
    let names = &deployment.class_names;
    for (index, name) in names.iter().enumerate() {
        if let Some(first) = names[..index].iter().position(|other| other == name) {
            let problem = format!("{name:?} is the name of Classes[{first}] too");
            return Err(Fault::at(format!("Classes[{index}].Name"), problem));
        }
    }
    Ok(deployment)
}

/// The variables that still count at a reload.
fn variable_of_reload(
    name: &'static str,
    variable: impl Fn(&'static str) -> Option<String>,
) -> Option<String> {
    variable(name).filter(|_| name != "EDGE_DISCOVERY")
}

/// `EDGE_FLEET_LISTEN` and `EDGE_ZONE` outweigh the operator's file.
fn fleet_variables(fleet: &mut Fleet, variable: impl Fn(&str) -> Option<String>) -> Result<(), Fault> {
    if let Some(text) = variable("EDGE_FLEET_LISTEN") {
        fleet.listen = text.parse().map_err(|e| Fault::at("EDGE_FLEET_LISTEN", format!("{e}")))?;
    }
    if let Some(zone) = variable("EDGE_ZONE") {
        if fleet.region_of(&zone).is_none() {
            return Err(Fault::at("EDGE_ZONE", format!("{zone:?} is in no region of the operator's file")));
        }
        fleet.zone = zone;
    }
    Ok(())
}

impl Config {
    /// Reads variables and file.
    ///
    /// # Errors
    /// Names the variable or key at fault.
    pub fn read(edge: Option<PathBuf>) -> Result<Self, ConfigError> {
        Self::parse(&Source::read()?, |name| env::var(name).ok())?.with_edge(edge)
    }

    /// Reads the file again, for a reload. Guards against: `EDGE_DISCOVERY`, which is as it was at the start,
    /// outweighing the address that the new file names.
    ///
    /// # Errors
    /// Names the variable or key at fault.
    pub fn read_again(edge: Option<PathBuf>) -> Result<Self, ConfigError> {
        let variable = |name| variable_of_reload(name, |name| env::var(name).ok());
        Self::parse(&Source::read()?, variable)?.with_edge(edge)
    }

    /// Takes the operator's file, if there is one, and holds it against the limits.
    fn with_edge(mut self, file: Option<PathBuf>) -> Result<Self, ConfigError> {
        let Some(file) = file else { return Ok(self) };
        self.edge = Edge::read(&file)?;
        let table = self.edge.postgres.statement_table_bytes;
        let most = self.memory_kib.saturating_mul(1024) / STATEMENT_TABLE_PARTS;
        if self.edge.postgres.extended && table > most {
            let (table, most) = (table / 1024, most / 1024);
            let problem = format!(
                "postgres: statement_table_kib: {table} is over {most}, an eighth of limits.memory_mb"
            );
            return Err(ConfigError::TooMuch(file.display().to_string(), problem));
        }
        if let Some(fleet) = &mut self.edge.fleet {
            fleet_variables(fleet, |name| env::var(name).ok())?;
        }
        self.check_table(&file)?;
        self.edge_file = Some(file);
        Ok(self)
    }

    /// Holds the first table against the settings. The list may have other groups by the time that it counts.
    fn check_table(&self, file: &Path) -> Result<(), ConfigError> {
        let faults = self.edge.first.faults(&against(&self.deployment, &self.edge, &[]));
        let first = faults.into_iter().next();
        first.map_or(Ok(()), |fault| Err(ConfigError::Table(file.display().to_string(), fault)))
    }

    /// Reads the file's text; a variable outweighs the key it stands for.
    fn parse(
        source: &Source,
        variable: impl Fn(&'static str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let file = source.keys().map_err(|fault| source.fault(fault))?;
        let address = |name: &'static str, told: SocketAddr| match variable(name) {
            Some(text) => text.parse().map_err(|e| Fault::at(name, format!("{e}"))),
            None => Ok(told),
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|error| source.fault(Fault::at("seed", error.to_string())))?;
        let deployment =
            deployment(&file.settings).map_err(|fault| source.fault(fault.inside("settings")))?;
        Ok(Self {
            name: variable("EDGE_NAME").unwrap_or(file.name),
            listen: address("EDGE_LISTEN", file.listen)?,
            discovery: address("EDGE_DISCOVERY", file.discovery)?,
            console: match variable("EDGE_CONSOLE") {
                Some(_) => Some(address("EDGE_CONSOLE", file.listen)?),
                None => file.console,
            },
            seed,
            sockets: file.limits.sockets,
            memory_kib: file.limits.memory_mb.saturating_mul(1024),
            known: file.known,
            deployment,
            edge_file: None,
            edge: Edge::default(),
        })
    }
}

#[cfg(test)]
mod tests;
