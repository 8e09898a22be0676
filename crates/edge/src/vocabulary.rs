//! The functions that a script may call, and the check of each value.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use anyhow::{anyhow, bail};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;

use crate::{Edge, Hosts, Postgres};

/// What a script has settled so far: for each part its keys and their values, and its line as `line`. Plain data, as
/// a type of this crate's own would have to be declared to Starlark in an unsafe way.
pub type Declared = RefCell<BTreeMap<String, BTreeMap<String, usize>>>;

/// The script's word as a value.
pub fn edge(declared: &Declared) -> Edge {
    let declared = declared.borrow();
    let mut edge = Edge::default();
    if let Some(part) = declared.get("postgres") {
        edge.postgres = Postgres {
            extended: part["extended"] == 1,
            statements_per_client: part["statements_per_client"],
            portals_per_client: part["portals_per_client"],
            client_bytes: part["client_kib"] * 1024,
            statement_table_bytes: part["statement_table_kib"] * 1024,
            pipeline_idle: Duration::from_millis(part["pipeline_idle_ms"] as u64),
        };
    }
    if let Some(part) = declared.get("hosts") {
        edge.hosts = Hosts {
            extended: part["extended"] == 1,
            statements_per_connection: part["statements_per_connection"],
        };
    }
    edge
}

/// Sets a part, once.
///
/// Guards against: two entries that conflict, of which one would silently win.
fn settle<const N: usize>(
    eval: &Evaluator<'_, '_, '_>,
    what: &str,
    keys: [(&str, usize); N],
) -> anyhow::Result<NoneType> {
    let declared = eval.extra.and_then(|extra| extra.downcast_ref::<Declared>());
    let mut declared = declared.ok_or_else(|| anyhow!("{what}: not to be called here"))?.borrow_mut();
    if let Some(part) = declared.get(what) {
        bail!("{what}: settled already in line {}", part["line"]);
    }
    let line = eval.call_stack_top_location().map_or(0, |span| span.resolve_span().begin.line + 1);
    let keys = keys.into_iter().chain([("line", line)]).map(|(key, value)| (key.to_owned(), value));
    declared.insert(what.to_owned(), keys.collect());
    Ok(NoneType)
}

fn within(key: &str, value: i32, range: RangeInclusive<usize>) -> anyhow::Result<usize> {
    let (least, most) = (range.start(), range.end());
    usize::try_from(value)
        .ok()
        .filter(|value| range.contains(value))
        .ok_or_else(|| anyhow!("{key}: {value} is not within {least} and {most}"))
}

#[starlark_module]
pub fn vocabulary(globals: &mut GlobalsBuilder) {
    /// Extended queries of clients.
    fn postgres<'v>(
        #[starlark(require = named, default = true)] extended: bool,
        #[starlark(require = named, default = 512)] statements_per_client: i32,
        #[starlark(require = named, default = 64)] portals_per_client: i32,
        #[starlark(require = named, default = 512)] client_kib: i32,
        #[starlark(require = named, default = 4096)] statement_table_kib: i32,
        #[starlark(require = named, default = 10_000)] pipeline_idle_ms: i32,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let check = |key: &'static str, value, range| {
            anyhow::Ok((key, within(&format!("postgres: {key}"), value, range)?))
        };
        let keys = [
            ("extended", usize::from(extended)),
            check("statements_per_client", statements_per_client, 1..=100_000)?,
            check("portals_per_client", portals_per_client, 1..=10_000)?,
            check("client_kib", client_kib, 16..=16_384)?,
            check("statement_table_kib", statement_table_kib, 64..=65_536)?,
            check("pipeline_idle_ms", pipeline_idle_ms, 100..=600_000)?,
        ];
        settle(eval, "postgres", keys)
    }

    /// What db hosts understand.
    fn hosts<'v>(
        #[starlark(require = named, default = "simple")] protocol: &str,
        #[starlark(require = named, default = 128)] statements_per_connection: i32,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let extended = match protocol {
            "simple" => false,
            "extended" => true,
            other => bail!("hosts: protocol: {other:?} is neither \"simple\" nor \"extended\""),
        };
        let most = within("hosts: statements_per_connection", statements_per_connection, 1..=4096)?;
        settle(eval, "hosts", [("extended", usize::from(extended)), ("statements_per_connection", most)])
    }
}
