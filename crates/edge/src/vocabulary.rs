//! The functions that a script may call, and the check of each value.

// What a script may name is an argument each.
#![allow(clippy::too_many_arguments)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use anyhow::{anyhow, bail};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::dict::UnpackDictEntries;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};

use crate::{Edge, Fleet, Hosts, Key, Postgres};

/// The longest names of zones and regions, in bytes; the most seeds and zones.
const LONGEST_NAME: usize = 64;
const MOST_LISTED: usize = 256;

/// What a script has settled so far: for each part its keys and their values, and its line as `line`; the fleet's seeds
/// and zones are parts of their own. Plain data, as a type of this crate's own would have to be declared to Starlark in an
/// unsafe way.
pub type Declared = RefCell<BTreeMap<String, BTreeMap<String, String>>>;

/// The script's word as a value. What it holds has been checked.
pub fn edge(declared: &Declared) -> Edge {
    let declared = declared.borrow();
    let number = |part: &BTreeMap<String, String>, key: &str| part[key].parse::<usize>().unwrap_or_default();
    let mut edge = Edge::default();
    if let Some(part) = declared.get("postgres") {
        edge.postgres = Postgres {
            extended: number(part, "extended") == 1,
            statements_per_client: number(part, "statements_per_client"),
            portals_per_client: number(part, "portals_per_client"),
            client_bytes: number(part, "client_kib") * 1024,
            statement_table_bytes: number(part, "statement_table_kib") * 1024,
            pipeline_idle: Duration::from_millis(number(part, "pipeline_idle_ms") as u64),
        };
    }
    if let Some(part) = declared.get("hosts") {
        edge.hosts = Hosts {
            extended: number(part, "extended") == 1,
            statements_per_connection: number(part, "statements_per_connection"),
        };
    }
    if let (Some(part), Some(seeds), Some(zones)) =
        (declared.get("fleet"), declared.get("fleet seeds"), declared.get("fleet zones"))
    {
        let mut regions: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (zone, region) in zones {
            regions.entry(region.clone()).or_default().push(zone.clone());
        }
        edge.fleet = part["listen"].parse().ok().map(|listen| Fleet {
            listen,
            advertise: part.get("advertise").and_then(|text| text.parse().ok()),
            seeds: seeds.values().filter_map(|seed| seed.parse().ok()).collect(),
            key_file: part["key_file"].clone(),
            zone: part["zone"].clone(),
            regions,
            bytes_per_second: number(part, "bytes_per_second"),
            key: Key::default(),
            line: number(part, "line"),
        });
    }
    edge
}

/// The line in which a part was settled; 0 if it was not.
pub fn line_of(declared: &Declared, what: &str) -> usize {
    let declared = declared.borrow();
    declared.get(what).and_then(|part| part["line"].parse().ok()).unwrap_or(0)
}

/// The line of the call that is being evaluated.
pub fn line_now(eval: &Evaluator<'_, '_, '_>) -> usize {
    eval.call_stack_top_location().map_or(0, |span| span.resolve_span().begin.line + 1)
}

/// Sets a part, once.
///
/// Guards against: two entries that conflict, of which one would silently win.
pub fn settle<T: ToString>(
    eval: &Evaluator<'_, '_, '_>,
    what: &str,
    keys: impl IntoIterator<Item = (&'static str, T)>,
) -> anyhow::Result<NoneType> {
    let declared = eval.extra.and_then(|extra| extra.downcast_ref::<Declared>());
    let mut declared = declared.ok_or_else(|| anyhow!("{what}: not to be called here"))?.borrow_mut();
    if let Some(part) = declared.get(what) {
        bail!("{what}: settled already in line {}", part["line"]);
    }
    let line = line_now(eval);
    let keys = keys.into_iter().map(|(key, value)| (key.to_owned(), value.to_string()));
    declared.insert(what.to_owned(), keys.chain([("line".to_owned(), line.to_string())]).collect());
    Ok(NoneType)
}

pub fn within(key: &str, value: i32, range: RangeInclusive<usize>) -> anyhow::Result<usize> {
    let (least, most) = (range.start(), range.end());
    usize::try_from(value)
        .ok()
        .filter(|value| range.contains(value))
        .ok_or_else(|| anyhow!("{key}: {value} is not within {least} and {most}"))
}

fn address(key: &str, text: &str) -> anyhow::Result<SocketAddr> {
    text.parse()
        .map_err(|_| anyhow!("fleet: {key}: {text:?} is no address with a port, such as \"127.0.0.1:7400\""))
}

fn name(key: &str, text: String) -> anyhow::Result<String> {
    match text.len() {
        1..=LONGEST_NAME => Ok(text),
        len => bail!("fleet: {key}: a name of {len} bytes, 1 to {LONGEST_NAME} are allowed"),
    }
}

/// Zones and the region of each, which is one alone.
fn zones(regions: Vec<(String, UnpackList<String>)>) -> anyhow::Result<BTreeMap<String, String>> {
    let mut zones = BTreeMap::new();
    for (region, listed) in regions {
        let region = name("regions", region)?;
        for zone in listed.items {
            if zones.insert(name("regions", zone.clone())?, region.clone()).is_some() {
                bail!("fleet: regions: zone {zone:?} is in two");
            }
        }
    }
    count("fleet: regions: zones", zones.len())?;
    Ok(zones)
}

fn count(what: &str, many: usize) -> anyhow::Result<usize> {
    within(what, i32::try_from(many).unwrap_or(i32::MAX), 0..=MOST_LISTED)
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

    /// Where this gateway meets the others of its fleet.
    fn fleet<'v>(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named)] key_file: String,
        #[starlark(require = named)] zone: String,
        #[starlark(require = named, default = NoneOr::None)] advertise: NoneOr<String>,
        #[starlark(require = named, default = UnpackList::default())] seeds: UnpackList<String>,
        #[starlark(require = named, default = UnpackDictEntries::default())] regions: UnpackDictEntries<
            String,
            UnpackList<String>,
        >,
        #[starlark(require = named, default = 1_000)] bytes_per_second: i32,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        count("fleet: seeds", seeds.items.len())?;
        for seed in &seeds.items {
            address("seeds", seed)?;
        }
        let zones = zones(regions.entries)?;
        if !zones.contains_key(&zone) {
            bail!("fleet: zone: {zone:?} is in no region");
        }
        let bytes = within("fleet: bytes_per_second", bytes_per_second, 200..=1_000_000)?;
        let mut keys = vec![
            ("listen", address("listen", listen)?.to_string()),
            ("key_file", key_file),
            ("zone", name("zone", zone)?),
            ("bytes_per_second", bytes.to_string()),
        ];
        if let NoneOr::Other(text) = advertise {
            keys.push(("advertise", address("advertise", &text)?.to_string()));
        }
        settle(eval, "fleet", keys)?;
        let declared = eval.extra.and_then(|extra| extra.downcast_ref::<Declared>());
        if let Some(mut declared) = declared.map(RefCell::borrow_mut) {
            let seeds = seeds.items.into_iter().enumerate().map(|(n, seed)| (format!("{n:03}"), seed));
            declared.insert("fleet seeds".to_owned(), seeds.collect());
            declared.insert("fleet zones".to_owned(), zones);
        }
        Ok(NoneType)
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
