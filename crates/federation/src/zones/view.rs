//! What `GET /zones` tells.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::{Acting, WHOLE};

/// The plan as a gateway holds it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// Which plan; none before the first.
    pub epoch: Option<String>,
    /// `acting` under a lease, `kept` past it, `near first` without a plan.
    pub state: &'static str,
    /// The steward that made it.
    pub by: Box<str>,
    /// For how many milliseconds this gateway has acted by it.
    pub since_ms: u64,
    /// For how many it may still, if the steward does not answer.
    pub until_ms: u64,
    /// Why it differs from the one before.
    pub cause: String,
    /// Zones that an operator drains.
    pub drained: Vec<String>,
    /// Each group's part.
    pub groups: Vec<Group>,
}

/// One group's part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Group {
    /// The group.
    pub group: u64,
    /// What binds it.
    pub why: String,
    /// The part of its reads that nobody can carry.
    pub shed: f64,
    /// Zones that were left because they are lost.
    pub lost: Vec<String>,
    /// Shares over zones, by origin zone.
    pub shares: BTreeMap<String, BTreeMap<String, f64>>,
}

impl View {
    /// As it is at `now`.
    #[must_use]
    pub fn of(acting: Option<&Acting>, now: Instant) -> Self {
        let Some(acting) = acting else {
            return Self {
                epoch: None,
                state: "near first",
                by: "".into(),
                since_ms: 0,
                until_ms: 0,
                cause: "there is no plan yet".to_owned(),
                drained: Vec::new(),
                groups: Vec::new(),
            };
        };
        let plan = &acting.plan;
        let ms = |span: std::time::Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let names: BTreeMap<u64, &str> = plan.names.iter().map(|(zone, name)| (*zone, &**name)).collect();
        let name = |zone: &u64| names.get(zone).map_or_else(|| zone.to_string(), |name| (*name).to_owned());
        let row = |row: &Vec<(u64, u16)>| {
            row.iter().map(|(zone, part)| (name(zone), f64::from(*part) / f64::from(WHOLE))).collect()
        };
        let group = |group: &super::GroupPlan| Group {
            group: group.group,
            why: group.why.clone(),
            shed: f64::from(group.shed) / 1_000.0,
            lost: group.lost.iter().map(|(zone, _)| name(zone)).collect(),
            shares: group.rows.iter().map(|(origin, shares)| (name(origin), row(shares))).collect(),
        };
        let state = match (now < acting.until, acting.holds(now)) {
            (true, _) => "acting",
            (false, true) => "kept",
            (false, false) => "near first",
        };
        Self {
            epoch: Some(plan.epoch.to_string()),
            state,
            by: plan.by.clone(),
            since_ms: ms(now.saturating_duration_since(acting.since)),
            until_ms: ms(acting.until.saturating_duration_since(now)),
            cause: plan.cause.clone(),
            drained: plan.drained.iter().map(name).collect(),
            groups: plan.groups.iter().map(group).collect(),
        }
    }
}
