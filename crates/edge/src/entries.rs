//! `route(…)`, `limit(…)` and `contract(…)`: the table's entries. The operator's file may call them, and a table that is
//! given by itself may call nothing else.

// What a script may name is an argument each.
#![allow(clippy::too_many_arguments)]

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{anyhow, bail};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::dict::UnpackDictEntries;
use starlark::values::float::UnpackFloat;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};
use yewroute_table::{Contract, Fault, Limit, OnUnknown, Order, Route, Table, LONGEST_TEXT, MOST_ENTRIES};

use crate::vocabulary::{line_now, Declared};

/// Names or numbers that an entry may list under one key.
const MOST_LISTED: usize = 10_000;
/// What all entries may take while a script runs, in bytes.
const MOST_BYTES: usize = 4 * 1024 * 1024;
/// What a key and its value take besides their own bytes.
const BESIDE: usize = 32;

/// Reads a table out of a text that holds its entries and nothing else. What the entries say is checked by
/// [`Table::faults`].
///
/// # Errors
/// Says what is wrong with the text, and in which line.
pub fn table(name: &str, text: &str) -> Result<Table, Vec<Fault>> {
    let fault = |line, problem: String, remedy: &str| {
        vec![Fault { line, entry: "text".to_owned(), problem, remedy: remedy.to_owned() }]
    };
    if text.len() > LONGEST_TEXT {
        return Err(fault(0, format!("{} bytes long, {LONGEST_TEXT} are allowed", text.len()), "shorten it"));
    }
    let globals = GlobalsBuilder::standard().with(vocabulary).build();
    let declared = crate::run(name, text.to_owned(), &globals).map_err(|wrong| {
        let line = u32::try_from(wrong.line).unwrap_or(u32::MAX);
        fault(line, wrong.problem, "a table is calls of route(...), limit(...) and contract(...) alone")
    })?;
    Ok(read(&declared))
}

/// Adds an entry.
fn add(
    eval: &Evaluator<'_, '_, '_>,
    kind: &str,
    name: &str,
    keys: impl IntoIterator<Item = (String, String)>,
) -> anyhow::Result<NoneType> {
    let declared = eval.extra.and_then(|extra| extra.downcast_ref::<Declared>());
    let mut declared = declared.ok_or_else(|| anyhow!("{kind}: not to be called here"))?.borrow_mut();
    let entries = declared.range(format!("{kind} ")..format!("{kind}!")).count();
    let keys: BTreeMap<String, String> = keys.into_iter().collect();
    let taken = declared.get("entries").and_then(|part| part["bytes"].parse::<usize>().ok()).unwrap_or(0);
    let bytes = taken + keys.iter().map(|(key, value)| key.len() + value.len() + BESIDE).sum::<usize>();
    // Guards against: a loop that fills the memory before the check of the whole table sees it.
    if entries >= MOST_ENTRIES || bytes > MOST_BYTES {
        bail!("{kind}: {MOST_ENTRIES} entries and {MOST_BYTES} bytes of what they list are allowed");
    }
    declared.insert("entries".to_owned(), [("bytes".to_owned(), bytes.to_string())].into());
    let more = [("name".to_owned(), name.to_owned()), ("line".to_owned(), line_now(eval).to_string())];
    // In the order of their calls.
    declared.insert(format!("{kind} {entries:06}"), keys.into_iter().chain(more).collect());
    Ok(NoneType)
}

/// A list under a key, in its order.
fn listed<T: ToString>(key: &str, items: UnpackList<T>) -> anyhow::Result<Vec<(String, String)>> {
    match items.items.len() {
        len if len > MOST_LISTED => bail!("{key}: {len} are listed, {MOST_LISTED} are allowed"),
        _ => {
            let item = |(n, item): (usize, T)| (format!("{key} {n:06}"), item.to_string());
            Ok(items.items.into_iter().enumerate().map(item).collect())
        }
    }
}

/// What is under a key's own names, in their order.
fn under<'a>(part: &'a BTreeMap<String, String>, key: &str) -> impl Iterator<Item = (&'a str, &'a String)> {
    let begin = format!("{key} ");
    let names = part.range(begin.clone()..format!("{key}!"));
    names.map(move |(name, value)| (&name[begin.len()..], value))
}

/// The table that a script's calls make.
pub fn read(declared: &Declared) -> Table {
    let declared = declared.borrow();
    let of =
        |kind: &'static str| declared.range(format!("{kind} ")..format!("{kind}!")).map(|(_, part)| part);
    let line = |part: &BTreeMap<String, String>| part["line"].parse().unwrap_or_default();
    let texts = |part: &BTreeMap<String, String>, key: &str| {
        under(part, key).map(|(_, value)| value.clone()).collect::<Vec<_>>()
    };
    let groups =
        |part: &BTreeMap<String, String>| under(part, "groups").filter_map(|(_, n)| n.parse().ok()).collect();
    let float =
        |part: &BTreeMap<String, String>, key: &str| part.get(key).and_then(|text| text.parse::<f64>().ok());
    let whole = |part: &BTreeMap<String, String>, key: &str| part[key].parse::<u32>().unwrap_or_default();
    Table {
        routes: of("route")
            .map(|part| Route {
                name: part["name"].clone(),
                line: line(part),
                groups: groups(part),
                classes: texts(part, "classes"),
                zones: under(part, "zones")
                    .map(|(zone, share)| (zone.to_owned(), share.parse().unwrap_or(f64::NAN)))
                    .collect(),
            })
            .collect(),
        limits: of("limit")
            .map(|part| {
                let rate = float(part, "rate");
                // A tenth of a second's worth.
                let ordinary = rate.map_or(1.0, |rate| (rate / 10.0).max(1.0));
                Limit {
                    name: part["name"].clone(),
                    line: line(part),
                    classes: texts(part, "classes"),
                    groups: groups(part),
                    rate,
                    burst: float(part, "burst").unwrap_or(ordinary),
                    concurrent: part.get("concurrent").and_then(|text| text.parse().ok()),
                    floor: float(part, "floor").unwrap_or(f64::NAN),
                }
            })
            .collect(),
        contracts: of("contract")
            .map(|part| Contract {
                name: part["name"].clone(),
                line: line(part),
                classes: texts(part, "classes"),
                order: match part["order"].as_str() {
                    "single" => Order::Single,
                    "numbered" => Order::Numbered,
                    _ => Order::OwnWrites,
                },
                gap: Duration::from_millis(whole(part, "gap_ms").into()),
                keep: Duration::from_secs(whole(part, "keep_s").into()),
                most: whole(part, "most"),
                on_unknown: match part["on_unknown"].as_str() {
                    "go on" => OnUnknown::GoOn,
                    _ => OnUnknown::Halt,
                },
            })
            .collect(),
    }
}

#[starlark_module]
pub fn vocabulary(globals: &mut GlobalsBuilder) {
    /// Where reads are asked first.
    fn route<'v>(
        name: &str,
        #[starlark(require = named, default = UnpackList::default())] groups: UnpackList<u64>,
        #[starlark(require = named, default = UnpackList::default())] classes: UnpackList<String>,
        #[starlark(require = named, default = UnpackDictEntries::default())] zones: UnpackDictEntries<
            String,
            UnpackFloat,
        >,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let shares = zones
            .entries
            .into_iter()
            .map(|(zone, share)| (format!("zones {zone}"), format!("{:?}", share.0)));
        let keys = listed("groups", groups)?.into_iter().chain(listed("classes", classes)?).chain(shares);
        add(eval, "route", name, keys)
    }

    /// What all gateways together may send.
    fn limit<'v>(
        name: &str,
        #[starlark(require = named, default = UnpackList::default())] classes: UnpackList<String>,
        #[starlark(require = named, default = UnpackList::default())] groups: UnpackList<u64>,
        #[starlark(require = named, default = NoneOr::None)] rate: NoneOr<UnpackFloat>,
        #[starlark(require = named, default = NoneOr::None)] burst: NoneOr<UnpackFloat>,
        #[starlark(require = named, default = NoneOr::None)] concurrent: NoneOr<u32>,
        #[starlark(require = named, default = UnpackFloat(0.1))] floor: UnpackFloat,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut keys = listed("groups", groups)?;
        keys.extend(listed("classes", classes)?);
        let floats = [("rate", rate), ("burst", burst), ("floor", NoneOr::Other(floor))];
        for (key, value) in floats {
            keys.extend(value.into_option().map(|value| (key.to_owned(), format!("{:?}", value.0))));
        }
        keys.extend(concurrent.into_option().map(|most| ("concurrent".to_owned(), most.to_string())));
        add(eval, "limit", name, keys)
    }

    /// In which order a channel's requests are sent.
    fn contract<'v>(
        name: &str,
        #[starlark(require = named)] classes: UnpackList<String>,
        #[starlark(require = named)] order: &str,
        #[starlark(require = named, default = 1_000)] gap_ms: u32,
        #[starlark(require = named, default = 60)] keep_s: u32,
        #[starlark(require = named, default = 10_000)] most: u32,
        #[starlark(require = named, default = "halt")] on_unknown: &str,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        if !["single", "numbered", "own-writes"].contains(&order) {
            bail!(
                "contract {name:?}: order: {order:?} is neither \"single\", \"numbered\" nor \"own-writes\""
            );
        }
        if !["halt", "go on"].contains(&on_unknown) {
            bail!("contract {name:?}: on_unknown: {on_unknown:?} is neither \"halt\" nor \"go on\"");
        }
        let mut keys = listed("classes", classes)?;
        let more = [
            ("order", order.to_owned()),
            ("gap_ms", gap_ms.to_string()),
            ("keep_s", keep_s.to_string()),
            ("most", most.to_string()),
            ("on_unknown", on_unknown.to_owned()),
        ];
        keys.extend(more.map(|(key, value)| (key.to_owned(), value)));
        add(eval, "contract", name, keys)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Edge;

    const ENTRIES: &str = "
def near(zone):
    return {zone: 0.75, 'c': 0.25}

route('north', classes = ['view'], groups = [2, 18446744073709551615], zones = near('a'))
route(\"all\", zones = {'a': 1})
limit('desks', classes = ['view', 'odd \\\\ \" class\\n'], rate = 120, floor = 0.25)
limit('slow', rate = 0.5, burst = 0.1 + 0.2)
limit('open', groups = [2], concurrent = 12)
contract('kiosk', classes = ['order', 'view'], order = 'own-writes')
[contract('feed-%d' % n, classes = ['f%d' % n], order = 'numbered', gap_ms = 5, keep_s = 7, most = 9,
          on_unknown = 'go on') for n in range(2)]
";

    fn read_alone(text: &str) -> Table {
        table("table", text).unwrap_or_else(|faults| panic!("{faults:?}: {text}"))
    }

    #[test]
    fn entries_are_read_with_their_lines_and_defaults() {
        let table = read_alone(ENTRIES);
        let lines: Vec<u32> = table.routes.iter().map(|route| route.line).collect();
        assert_eq!((lines, table.limits[0].line, table.contracts[0].line), (vec![5, 6], 7, 10));
        assert_eq!((table.routes[0].groups.clone(), table.routes[0].zones["a"]), (vec![2, u64::MAX], 0.75));
        let bursts: Vec<f64> = table.limits.iter().map(|limit| limit.burst).collect();
        assert_eq!(bursts, [12.0, 0.1 + 0.2, 1.0], "a tenth of a rate if it is left out");
        assert_eq!((table.limits[2].floor, table.limits[2].concurrent), (0.1, Some(12)));
        let of = |n: usize| {
            (&table.contracts[n].order, table.contracts[n].gap.as_millis(), table.contracts[n].most)
        };
        assert_eq!([of(0), of(2)], [(&Order::OwnWrites, 1_000, 10_000), (&Order::Numbered, 5, 9)]);
        assert_eq!(table.contracts[1].on_unknown, OnUnknown::GoOn);
    }

    #[test]
    fn a_table_s_text_reads_back_as_the_same_table() {
        let table = read_alone(ENTRIES);
        let text = table.to_string();
        let again = read_alone(&text);
        assert_eq!(again.to_string(), text);
        // But for the lines, which are those of its own text.
        let mut numbered = table;
        let lines = numbered.routes.iter_mut().map(|route| &mut route.line);
        let lines = lines.chain(numbered.limits.iter_mut().map(|limit| &mut limit.line));
        let lines = lines.chain(numbered.contracts.iter_mut().map(|contract| &mut contract.line));
        lines.zip(1..).for_each(|(line, n)| *line = n);
        assert_eq!(again, numbered);
    }

    #[test]
    fn a_table_by_itself_calls_nothing_else_and_says_where_it_is_at_fault() {
        for (text, line, wanted) in [
            ("\nhosts()", 2, "Variable `hosts` not found"),
            ("federation()", 1, "Variable `federation` not found"),
            ("route('x', zones = {'a': 'b'})", 1, "zones"),
            ("route('x', near = 1)", 1, "near"),
            ("limit('x', concurrent = -1)", 1, "concurrent"),
            (
                "\n\ncontract('x', classes = [], order = 'odd')",
                3,
                "contract \"x\": order: \"odd\" is neither",
            ),
            ("limit(", 1, "Parse error"),
            ("[limit('x') for n in range(1001)]", 1, "1000 entries"),
            (
                "n = list(range(9000))\n[route('x%d' % g, groups = n) for g in range(99)]",
                2,
                "bytes of what they list",
            ),
        ] {
            let faults = table("table", text).unwrap_err();
            let [fault] = &faults[..] else { panic!("{faults:?}") };
            assert!(fault.line == line && fault.problem.contains(wanted), "{text}: {fault:?}");
            assert!(!fault.remedy.is_empty() && !fault.problem.contains('\n'), "{fault:?}");
        }
        let long = format!("#{}", "x".repeat(LONGEST_TEXT));
        assert!(table("table", &long).unwrap_err()[0].problem.contains("262144 are allowed"));
        assert_eq!(
            table("table", &long[1..LONGEST_TEXT / 2]).unwrap_err()[0].line,
            1,
            "a name that is not there"
        );
        assert_eq!(read_alone(""), Table::default());
    }

    #[test]
    fn the_operator_s_file_makes_the_first_table_and_prints_all_of_it() {
        let fleet = "fleet(listen = '127.0.0.1:0', key_file = 'k', zone = 'a', regions = {'n': ['a', 'c']})";
        let parse = |text: &str| Edge::parse("edge.star", text.to_owned()).unwrap();
        let edge = parse(&format!("{fleet}\nfederation(lease_s = 2)\nverdicts(share = 0.5){ENTRIES}"));
        let federation = edge.federation.as_ref().unwrap();
        assert_eq!((federation.lease.as_secs(), federation.keep, federation.connections), (2, 3, 64));
        assert_eq!((edge.verdicts.on, edge.verdicts.share, edge.verdicts.expire.as_secs()), (true, 0.5, 3));
        assert_eq!(read_alone(&edge.first.to_string()).to_string(), edge.first.to_string());
        assert_eq!(parse(&edge.to_string()).to_string(), edge.to_string());
        assert!(
            edge.to_string().contains("lease_s = 2") && edge.to_string().contains("\nlimit(\"desks\""),
            "{edge}"
        );
        assert_eq!(edge.against().zones, ["a".to_owned(), "c".to_owned()].into());
        assert!(parse(&format!("{fleet}\nfederation()")).verdicts.on, "on with the federation");
        assert!(!parse(&format!("{fleet}\nfederation()\nverdicts(on = False)")).verdicts.on);
        assert!(!parse(fleet).verdicts.on && !parse(fleet).to_string().contains("verdicts"));
    }
}
