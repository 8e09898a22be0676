//! `zones(…)`: reads are asked near first, and with a federation where the plan for all zones says.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::float::UnpackFloat;
use starlark::values::list::UnpackList;
use starlark::values::none::NoneType;

use crate::vocabulary::{settle, within, Declared};

/// Regions that `prefer` may name.
const MOST_PREFERRED: usize = 64;

/// How plans for all zones are made, set by `zones(…)`.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// The part of what a zone can carry that is kept free.
    pub headroom: f64,
    /// The most that a share moves in a second; a lost zone is left at once.
    pub step: f64,
    /// What a cold zone may carry, as a part of its own traffic.
    pub cold_share: f64,
    /// For how long the last plan is kept past its lease.
    pub keep: Duration,
    /// Regions that are crossed into before others, in this order.
    pub prefer: Vec<String>,
}

impl Default for Zones {
    fn default() -> Self {
        let (headroom, step, cold_share) = (0.1, 0.1, 0.1);
        Self { headroom, step, cold_share, keep: Duration::from_secs(10), prefer: Vec::new() }
    }
}

impl fmt::Display for Zones {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { headroom, step, cold_share, keep, prefer } = self;
        write!(
            f,
            "zones(\n    headroom = {headroom:?},\n    step = {step:?},\n    cold_share = {cold_share:?},\n"
        )?;
        write!(f, "    keep_s = {},\n    prefer = {prefer:?},\n)", keep.as_secs())
    }
}

/// What a script has settled of it.
pub fn read(declared: &Declared) -> Option<Zones> {
    let declared = declared.borrow();
    let part = declared.get("zones")?;
    let prefer = declared.get("zones prefer").map(|prefer| prefer.values().cloned().collect());
    Some(Zones {
        headroom: part["headroom"].parse().unwrap_or_default(),
        step: part["step"].parse().unwrap_or_default(),
        cold_share: part["cold_share"].parse().unwrap_or_default(),
        keep: Duration::from_secs(part["keep_s"].parse().unwrap_or_default()),
        prefer: prefer.unwrap_or_default(),
    })
}

fn part(key: &str, value: f64, least: f64, most: f64) -> anyhow::Result<String> {
    if (least..=most).contains(&value) {
        Ok(format!("{value:?}"))
    } else {
        anyhow::bail!("zones: {key}: {value:?} is not within {least} and {most}")
    }
}

#[starlark_module]
pub fn vocabulary(globals: &mut GlobalsBuilder) {
    /// Reads are asked near first: in the gateway's zone, then its region, then anywhere; and with a federation where the plan
    /// for all zones says.
    fn zones<'v>(
        #[starlark(require = named, default = UnpackFloat(0.1))] headroom: UnpackFloat,
        #[starlark(require = named, default = UnpackFloat(0.1))] step: UnpackFloat,
        #[starlark(require = named, default = UnpackFloat(0.1))] cold_share: UnpackFloat,
        #[starlark(require = named, default = 10)] keep_s: i32,
        #[starlark(require = named, default = UnpackList::default())] prefer: UnpackList<String>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        within(
            "zones: prefer: regions",
            i32::try_from(prefer.items.len()).unwrap_or(i32::MAX),
            0..=MOST_PREFERRED,
        )?;
        let keys = [
            ("headroom", part("headroom", headroom.0, 0.0, 0.9)?),
            ("step", part("step", step.0, 0.01, 1.0)?),
            ("cold_share", part("cold_share", cold_share.0, 0.01, 1.0)?),
            ("keep_s", within("zones: keep_s", keep_s, 0..=3_600)?.to_string()),
        ];
        settle(eval, "zones", keys)?;
        let declared = eval.extra.and_then(|extra| extra.downcast_ref::<Declared>());
        if let Some(mut declared) = declared.map(RefCell::borrow_mut) {
            let prefer = prefer.items.into_iter().enumerate().map(|(n, region)| (format!("{n:03}"), region));
            declared.insert("zones prefer".to_owned(), prefer.collect());
        }
        Ok(NoneType)
    }
}
