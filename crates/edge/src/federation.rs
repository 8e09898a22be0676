//! `federation(…)` and `verdicts(…)`: what all gateways do by one table, and how.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::float::UnpackFloat;
use starlark::values::none::NoneType;

use crate::vocabulary::{settle, within, Declared};

/// What all gateways do by one table, set by `federation(…)`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Federation {
    /// How long a lease to act by a table lasts.
    pub lease: Duration,
    /// Gateways that hold a channel's cursor.
    pub keep: usize,
    /// Connections from other gateways that are held at a time.
    pub connections: usize,
    pub(crate) line: usize,
}

impl fmt::Display for Federation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { lease, keep, connections, .. } = self;
        let lease = lease.as_secs();
        write!(
            f,
            "federation(\n    lease_s = {lease},\n    keep = {keep},\n    connections = {connections},\n)"
        )
    }
}

/// What is done by what other gateways have proven of db hosts, set by `verdicts(…)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdicts {
    /// It is done at all: wherever there is a federation, unless the file says otherwise.
    pub on: bool,
    /// The part of a group that is judged away at once, at the most.
    pub share: f64,
    /// A verdict ends so long after it was last heard.
    pub expire: Duration,
}

impl Default for Verdicts {
    fn default() -> Self {
        Self { on: false, share: 0.34, expire: Duration::from_secs(3) }
    }
}

impl fmt::Display for Verdicts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (on, share, expire) =
            (if self.on { "True" } else { "False" }, self.share, self.expire.as_millis());
        write!(f, "verdicts(\n    on = {on},\n    share = {share:?},\n    expire_ms = {expire},\n)")
    }
}

/// What a script has settled of both.
pub fn read(declared: &Declared) -> (Option<Federation>, Verdicts) {
    let declared = declared.borrow();
    let number = |part: &BTreeMap<String, String>, key: &str| part[key].parse::<usize>().unwrap_or_default();
    let federation = declared.get("federation").map(|part| Federation {
        lease: Duration::from_secs(number(part, "lease_s") as u64),
        keep: number(part, "keep"),
        connections: number(part, "connections"),
        line: number(part, "line"),
    });
    let ordinary = Verdicts { on: federation.is_some(), ..Verdicts::default() };
    let verdicts = declared.get("verdicts").map_or(ordinary, |part| Verdicts {
        on: number(part, "on") == 1,
        share: part["share"].parse().unwrap_or_default(),
        expire: Duration::from_millis(number(part, "expire_ms") as u64),
    });
    (federation, verdicts)
}

#[starlark_module]
pub fn vocabulary(globals: &mut GlobalsBuilder) {
    /// All gateways of the fleet act by one table.
    fn federation<'v>(
        #[starlark(require = named, default = 3)] lease_s: i32,
        #[starlark(require = named, default = 3)] keep: i32,
        #[starlark(require = named, default = 64)] connections: i32,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let keys = [
            ("lease_s", within("federation: lease_s", lease_s, 1..=60)?),
            ("keep", within("federation: keep", keep, 1..=7)?),
            ("connections", within("federation: connections", connections, 8..=1_024)?),
        ];
        settle(eval, "federation", keys)
    }

    /// What other gateways have proven of db hosts bounds what this one risks on them.
    fn verdicts<'v>(
        #[starlark(require = named, default = true)] on: bool,
        #[starlark(require = named, default = UnpackFloat(0.34))] share: UnpackFloat,
        #[starlark(require = named, default = 3_000)] expire_ms: i32,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let share = share.0;
        if !(0.0..=1.0).contains(&share) {
            anyhow::bail!("verdicts: share: {share:?} is not within 0 and 1");
        }
        let expire = within("verdicts: expire_ms", expire_ms, 500..=60_000)?;
        let keys = [
            ("on", u8::from(on).to_string()),
            ("share", format!("{share:?}")),
            ("expire_ms", expire.to_string()),
        ];
        settle(eval, "verdicts", keys)
    }
}
