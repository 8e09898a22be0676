//! The operator's file: a Starlark script that calls a function for each matter it wants to settle, evaluated and
//! checked whole. What it does not name keeps its default, and without a file all of it is off.
//!
//! ```
//! let file = "postgres(extended = True)\nhosts(protocol = 'extended', statements_per_connection = 64)\n";
//! let edge = yewroute_edge::Edge::parse("edge.star", file.to_owned()).unwrap();
//! assert!(edge.postgres.extended && edge.hosts.extended);
//!
//! let fault = yewroute_edge::Edge::parse("edge.star", "postgres(extended = 3)".to_owned()).unwrap_err();
//! assert_eq!((fault.line, fault.column), (1, 1));
//! ```

mod entries;
mod federation;
mod fleet;
mod vocabulary;
mod zones;

use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::time::Duration;

use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use thiserror::Error;
use yewroute_table::{Against, Table};

pub use entries::table;
pub use federation::{Federation, Verdicts};
pub use fleet::{Fleet, Key};
pub use zones::Zones;

/// The longest file, in bytes.
const LONGEST: u64 = 64 * 1024;
/// Guards against: a script that never ends, which would stop a gateway that reads it at a reload. Calls and turns
/// of loops; what is in the limit takes a few milliseconds.
const TICKS: u64 = 100_000;
/// Guards against: a script that fills the memory.
const HEAP: usize = 4 * 1024 * 1024;
const CALLS: usize = 50;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}:{column}: {problem}")]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, counted from 1; 0 if the file could not be read.
    pub line: usize,
    /// The column, counted from 1; 0 if the file could not be read.
    pub column: usize,
    /// What is wrong, on one line.
    pub problem: String,
}

/// Extended queries of clients, set by `postgres(…)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Postgres {
    /// They are carried; otherwise they get 0A000.
    pub extended: bool,
    /// Named statements that a client may have prepared.
    pub statements_per_client: usize,
    /// Portals that a client may have open.
    pub portals_per_client: usize,
    /// Bytes of names, parameters and held-back rows of a client.
    pub client_bytes: usize,
    /// Bytes of all statements together.
    pub statement_table_bytes: usize,
    /// A pipeline that neither goes on nor gets its Sync for so long is given up.
    pub pipeline_idle: Duration,
}

impl Default for Postgres {
    fn default() -> Self {
        Self {
            extended: false,
            statements_per_client: 512,
            portals_per_client: 64,
            client_bytes: 512 * 1024,
            statement_table_bytes: 4 * 1024 * 1024,
            pipeline_idle: Duration::from_secs(10),
        }
    }
}

/// What db hosts understand, set by `hosts(…)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hosts {
    /// Extended queries too.
    pub extended: bool,
    /// Statements that a connection to a db host may have prepared.
    pub statements_per_connection: usize,
}

impl Default for Hosts {
    fn default() -> Self {
        Self { extended: false, statements_per_connection: 128 }
    }
}

/// All that the operator's file settles.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Edge {
    /// `postgres(…)`.
    pub postgres: Postgres,
    /// `hosts(…)`.
    pub hosts: Hosts,
    /// `fleet(…)`; without it no other gateway is talked to.
    pub fleet: Option<Fleet>,
    /// `zones(…)`: reads are asked near first, by the fleet's zones and regions, and by a plan where there is a federation.
    pub zones: Option<Zones>,
    /// `federation(…)`; without it no gateway acts by a table.
    pub federation: Option<Federation>,
    /// `verdicts(…)`.
    pub verdicts: Verdicts,
    /// The first table: `route(…)`, `limit(…)` and `contract(…)`. As text it says the same to [`table`].
    pub first: Table,
}

impl std::fmt::Display for Edge {
    /// Every key and its value, in the file's own form.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (postgres, hosts) = (&self.postgres, &self.hosts);
        let truth = |value| if value { "True" } else { "False" };
        writeln!(f, "postgres(\n    extended = {},", truth(postgres.extended))?;
        writeln!(f, "    statements_per_client = {},", postgres.statements_per_client)?;
        writeln!(f, "    portals_per_client = {},", postgres.portals_per_client)?;
        writeln!(f, "    client_kib = {},", postgres.client_bytes / 1024)?;
        writeln!(f, "    statement_table_kib = {},", postgres.statement_table_bytes / 1024)?;
        writeln!(f, "    pipeline_idle_ms = {},\n)", postgres.pipeline_idle.as_millis())?;
        let protocol = if hosts.extended { "extended" } else { "simple" };
        writeln!(f, "hosts(\n    protocol = \"{protocol}\",")?;
        write!(f, "    statements_per_connection = {},\n)", hosts.statements_per_connection)?;
        self.fleet.as_ref().map_or(Ok(()), |fleet| write!(f, "\n{fleet}"))?;
        self.zones.as_ref().map_or(Ok(()), |zones| write!(f, "\n{zones}"))?;
        let Some(federation) = &self.federation else { return Ok(()) };
        write!(f, "\n{federation}\n{}", self.verdicts)?;
        let first = self.first.to_string();
        write!(f, "{}{}", if first.is_empty() { "" } else { "\n" }, first.trim_end())
    }
}

impl Edge {
    /// Reads a file.
    ///
    /// # Errors
    /// Says what is wrong with it and where.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let name = path.display().to_string();
        let fault = |problem: String| Fault { file: name.clone(), line: 0, column: 0, problem };
        let size = fs::metadata(path).map_err(|e| fault(e.to_string()))?.len();
        if size > LONGEST {
            return Err(fault(format!("{size} bytes long, {LONGEST} are allowed")));
        }
        let text = fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        let mut edge = Self::parse(&name, text)?;
        if let Some(fleet) = &mut edge.fleet {
            let wrong = |problem| Fault { line: fleet.line, ..fault(format!("fleet: key_file: {problem}")) };
            let key = Key::read(&path.with_file_name(&fleet.key_file)).map_err(wrong)?;
            fleet.key = key;
        }
        Ok(edge)
    }

    /// Reads a file's text; `name` is what faults call it.
    ///
    /// # Errors
    /// Says what is wrong with it and where.
    pub fn parse(name: &str, text: String) -> Result<Self, Fault> {
        let standard = GlobalsBuilder::standard().with(vocabulary::vocabulary).with(zones::vocabulary);
        let globals = standard.with(federation::vocabulary).with(entries::vocabulary).build();
        let declared = run(name, text, &globals)?;
        let (federation, verdicts) = federation::read(&declared);
        let first = entries::read(&declared);
        let zones = zones::read(&declared);
        let edge = Self { zones, federation, verdicts, first, ..vocabulary::edge(&declared) };
        edge.consistent(&declared).map_err(|(line, problem)| Fault {
            file: name.to_owned(),
            line,
            column: 1,
            problem,
        })?;
        Ok(edge)
    }

    /// What a table is checked against as far as the file says it: the fleet's zones.
    #[must_use]
    pub fn against(&self) -> Against {
        let zones = self.fleet.iter().flat_map(|fleet| fleet.regions.values().flatten().cloned());
        Against { zones: zones.collect(), ..Against::default() }
    }

    /// What stands on a part that is not there, and in which line.
    fn consistent(&self, declared: &vocabulary::Declared) -> Result<(), (usize, String)> {
        let no_fleet = "fleet(...) says which zones there are, and is not called";
        if let Some(zones) = &self.zones {
            let fault =
                |problem: &str| Err((vocabulary::line_of(declared, "zones"), format!("zones: {problem}")));
            let Some(fleet) = &self.fleet else { return fault(no_fleet) };
            if let Some(region) = zones.prefer.iter().find(|region| !fleet.regions.contains_key(*region)) {
                return fault(&format!("prefer: {region:?} is no region of fleet(regions = ...)"));
            }
        }
        if let (Some(federation), None) = (&self.federation, &self.fleet) {
            let problem = "federation: fleet(...) says which gateways there are, and is not called";
            return Err((federation.line, problem.to_owned()));
        }
        if self.federation.is_none() {
            let first = |kind: &str| vocabulary::line_of(declared, &format!("{kind} 000000"));
            let parts =
                [("route", first("route")), ("limit", first("limit")), ("contract", first("contract"))];
            let verdicts = ("verdicts", vocabulary::line_of(declared, "verdicts"));
            let called = parts.into_iter().chain([verdicts]).filter(|(_, line)| *line != 0);
            if let Some((what, line)) = called.min_by_key(|(_, line)| *line) {
                return Err((line, format!("{what}: federation(...) turns it on, and is not called")));
            }
        }
        let len = self.first.to_string().len();
        if len > yewroute_table::LONGEST_TEXT {
            let most = yewroute_table::LONGEST_TEXT;
            return Err((
                1,
                format!("the table that the file makes is {len} bytes long, {most} are allowed"),
            ));
        }
        Ok(())
    }
}

/// What a script settles that may call these functions.
fn run(name: &str, text: String, globals: &Globals) -> Result<vocabulary::Declared, Fault> {
    // Guards against: a panic of the interpreter's, as on a text of over 4 GiB. It is the script's fault and must
    // not stop a gateway that runs.
    catch_unwind(AssertUnwindSafe(|| evaluate(name, text, globals))).unwrap_or_else(|_| {
        let problem = "the script made the interpreter panic".to_owned();
        Err(Fault { file: name.to_owned(), line: 0, column: 0, problem })
    })
}

fn evaluate(name: &str, text: String, globals: &Globals) -> Result<vocabulary::Declared, Fault> {
    let fault = |error: &starlark::Error| located(name, error);
    let ast = AstModule::parse(name, text, &Dialect::Standard).map_err(|e| fault(&e))?;
    let declared = vocabulary::Declared::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&declared);
        // They fail only on zero or a second call.
        let limits = eval.set_max_tick_count(TICKS).and(eval.set_max_heap_size(HEAP));
        limits.and(eval.set_max_callstack_size(CALLS)).map_err(starlark::Error::new_other)?;
        eval.eval_module(ast, globals).map(|_| ())
    })
    .map_err(|e| fault(&e))?;
    Ok(declared)
}

/// An error of the script's, on one line.
fn located(name: &str, error: &starlark::Error) -> Fault {
    let at = error.span().map(|span| span.resolve_span().begin);
    let problem = error.without_diagnostic().to_string();
    Fault {
        file: name.to_owned(),
        line: at.map_or(0, |at| at.line + 1),
        column: at.map_or(0, |at| at.column + 1),
        // What follows the first line are causes and, in a debugger's environment, a backtrace.
        problem: problem.lines().map(str::trim).find(|line| !line.is_empty()).unwrap_or_default().to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Edge, Fault> {
        Edge::parse("edge.star", text.to_owned())
    }

    fn fault(text: &str) -> String {
        parse(text).unwrap_err().to_string()
    }

    #[test]
    fn what_is_not_named_keeps_its_default_and_nothing_is_on_without_a_word() {
        assert_eq!(parse("").unwrap(), Edge::default());
        let edge =
            parse("def kib(mib):\n    return mib * 1024\npostgres(statement_table_kib = kib(2))\n").unwrap();
        assert!(edge.postgres.extended, "who settles it wants it");
        assert_eq!(edge.postgres.statement_table_bytes, 2 * 1024 * 1024);
        assert_eq!(edge.postgres.statements_per_client, Postgres::default().statements_per_client);
        assert_eq!(edge.hosts, Hosts::default());
    }

    #[test]
    fn a_fault_names_file_line_column_and_key() {
        for (text, wanted) in [
            ("hosts(protocol = 'extended')\npostgres(extended = \n", "edge.star:3:1: "),
            ("x = 1\nhosts(protocol = 'binary')", "edge.star:2:1: hosts: protocol: \"binary\" is neither"),
            (
                "postgres(portals_per_client = 0)",
                "edge.star:1:1: postgres: portals_per_client: 0 is not within 1 and",
            ),
            ("  \npostgres(port = 5)", "edge.star:2:1: "),
            ("hosts()\n\nhosts()", "edge.star:3:1: hosts: settled already in line 1"),
            ("fail('not today')", "edge.star:1:1: fail: not today"),
            ("postgress()", "edge.star:1:1: Variable `postgress` not found"),
            ("hosts()\nzones()", "edge.star:2:1: zones: fleet(...) says which zones there are"),
            ("zones(step = 0)", "edge.star:1:1: zones: step: 0.0 is not within 0.01 and 1"),
            ("zones(keep_s = -1)", "edge.star:1:1: zones: keep_s: -1 is not within 0 and 3600"),
            ("\nfederation()", "edge.star:2:1: federation: fleet(...) says which gateways there are"),
            ("federation(lease_s = 0)", "edge.star:1:1: federation: lease_s: 0 is not within 1 and 60"),
            ("verdicts(share = 1.5)", "edge.star:1:1: verdicts: share: 1.5 is not within 0 and 1"),
            ("\nverdicts()\nroute('x')", "edge.star:2:1: verdicts: federation(...) turns it on"),
            ("hosts()\nroute('x')\nroute('y')", "edge.star:2:1: route: federation(...) turns it on"),
            ("limit('x', floor = '1')", "edge.star:1:1: "),
        ] {
            let told = fault(text);
            assert!(told.starts_with(wanted), "{text}: {told}");
            assert!(!told.contains('\n'), "{told}");
        }
        assert!(fault("postgres(port = 5)").contains("port"));
    }

    #[test]
    fn a_script_without_an_end_is_stopped() {
        let endless = "def f():\n    for a in range(1000000000):\n        pass\nf()";
        assert!(fault(endless).contains("100000"), "{}", fault(endless));
        let deep = "def f(n):\n    return f(n + 1)\nf(0)";
        assert!(fault(deep).contains("overflow"), "{}", fault(deep));
    }

    #[test]
    fn a_file_that_is_not_there_or_too_long_is_a_fault() {
        let missing = Edge::read(Path::new("/nowhere/edge.star")).unwrap_err();
        assert_eq!((missing.line, missing.file.as_str()), (0, "/nowhere/edge.star"));
    }

    #[test]
    fn a_fleet_is_read_whole_and_what_contradicts_itself_is_refused() {
        let start = "fleet(listen = '127.0.0.1:7400', key_file = 'k', zone = 'a'";
        let edge = parse(&format!("{start}, seeds = ['127.0.0.1:7401'], regions = {{'north': ['a', 'b']}})"))
            .unwrap();
        let fleet = edge.fleet.as_ref().unwrap();
        assert_eq!(
            (fleet.listen.port(), fleet.seeds[0].port(), fleet.region_of("b")),
            (7400, 7401, Some("north"))
        );
        let again = parse(&edge.to_string()).unwrap();
        assert_eq!(again.to_string(), edge.to_string(), "what is printed says the same");
        for (more, wanted) in [
            (", regions = {'north': ['b']})", "fleet: zone: \"a\" is in no region"),
            (")", "fleet: zone: \"a\" is in no region"),
            (", regions = {'n': ['a'], 's': ['a']})", "fleet: regions: zone \"a\" is in two"),
            (", regions = {'n': ['a']}, seeds = ['here'])", "fleet: seeds: \"here\""),
            (", regions = {'n': ['a']}, advertise = 'x')", "fleet: advertise: \"x\""),
            (", regions = {'n': ['a']})\nzones(prefer = ['m'])", "zones: prefer: \"m\" is no region"),
            (", regions = {'n': ['a']}, bytes_per_second = 1)", "fleet: bytes_per_second: 1 is not within"),
        ] {
            let told = fault(&format!("{start}{more}"));
            assert!(told.starts_with("edge.star:") && told.contains(wanted), "{more}: {told}");
        }
        let zones = "zones(headroom = 0.2, step = 0.05, cold_share = 0.5, keep_s = 7, prefer = ['n'])";
        let given = parse(&format!("{start}, regions = {{'n': ['a']}})\n{zones}")).unwrap();
        let wanted = Zones {
            headroom: 0.2,
            step: 0.05,
            cold_share: 0.5,
            keep: std::time::Duration::from_secs(7),
            prefer: vec!["n".to_owned()],
        };
        assert_eq!(given.zones, Some(wanted));
        assert_eq!(parse(&given.to_string()).unwrap().zones, given.zones, "what is printed says the same");
        let port = "fleet(listen = '127.0.0.1', key_file = 'k', zone = 'a', regions = {'n': ['a']})";
        assert!(fault(port).contains("fleet: listen: \"127.0.0.1\""), "{}", fault(port));
    }

    #[test]
    fn a_key_that_is_missing_short_or_for_all_to_read_is_a_fault_with_the_file_s_line() {
        use std::os::unix::fs::PermissionsExt;
        let folder = tempfile::tempdir().unwrap();
        let (file, key) = (folder.path().join("edge.star"), folder.path().join("k"));
        let text = "\nfleet(listen = '127.0.0.1:0', key_file = 'k', zone = 'a', regions = {'n': ['a']})";
        fs::write(&file, text).unwrap();
        let told = |wanted: &str| {
            let fault = Edge::read(&file).unwrap_err();
            assert!(fault.line == 2 && fault.problem.contains(wanted), "{fault}");
        };
        told("No such file");
        for (text, mode, wanted) in [
            ("12".repeat(31), 0o600, "62 digits"),
            ("xy".repeat(32), 0o600, "not hexadecimal"),
            ("12".repeat(32), 0o644, "may be read by all"),
        ] {
            fs::write(&key, text).unwrap();
            fs::set_permissions(&key, fs::Permissions::from_mode(mode)).unwrap();
            told(wanted);
        }
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).unwrap();
        let edge = Edge::read(&file).unwrap();
        let key = &edge.fleet.as_ref().unwrap().key;
        assert!(key.0 == [0x12; 32] && !format!("{edge:?}").contains("18, 18"), "{edge:?}");
    }

    #[test]
    fn the_shipped_file_turns_extended_queries_on_both_sides() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/edge.star");
        let edge = Edge::read(&path).unwrap();
        assert!(edge.postgres.extended && edge.hosts.extended);
        assert_eq!(parse(&edge.to_string()).unwrap(), edge, "what is printed says the same");
    }
}
