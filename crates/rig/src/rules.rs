//! What must hold of all gateways together, at any moment, by what they say of themselves.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use crate::Rig;

/// Looks at gateways again and again, and keeps what it saw.
pub struct Rules {
    start: Instant,
    /// Who led in an epoch.
    leaders: BTreeMap<String, String>,
    /// What was decided at a place.
    decided: BTreeMap<String, String>,
    /// The newest epoch that a gateway's process has spoken of.
    epochs: BTreeMap<(usize, String), (u64, u64)>,
    stewards: Vec<usize>,
    broken: Vec<String>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            leaders: BTreeMap::new(),
            decided: BTreeMap::new(),
            epochs: BTreeMap::new(),
            stewards: Vec::new(),
            broken: Vec::new(),
        }
    }
}

fn pair(epoch: &str) -> Option<(u64, u64)> {
    let (generation, term) = epoch.split_once('.')?;
    Some((generation.parse().ok()?, term.parse().ok()?))
}

impl Rules {
    /// Looks at those that run and are not stopped.
    pub fn look(&mut self, rig: &Rig, awake: &[usize]) {
        for n in awake {
            self.view(*n, &rig.view(*n));
        }
        let holds = |n: &usize| rig.figure(*n, "svc_group_steward") == Some(1);
        let holders: Vec<usize> = awake.iter().copied().filter(holds).collect();
        // They were asked one after the other: the first may have let go meanwhile, and cannot have taken it again.
        if let [first, second, ..] = holders[..] {
            if holds(&first) {
                self.break_rule(format!("g{first} and g{second} are both steward"));
            }
        }
        for holder in holders {
            if self.stewards.last() != Some(&holder) {
                self.stewards.push(holder);
            }
        }
    }

    /// Takes what one gateway says.
    pub fn view(&mut self, n: usize, view: &Value) {
        let incarnation = view["members"][0]["incarnation"].to_string();
        if let (Some(epoch), Some(leader)) = (view["epoch"].as_str(), view["leader"].as_str()) {
            let first = self.leaders.entry(epoch.to_owned()).or_insert_with(|| leader.to_owned());
            if first.as_str() != leader {
                let broken = format!("epoch {epoch} has two leaders, {first} and {leader}");
                self.break_rule(broken);
            }
            let now = pair(epoch).unwrap_or_default();
            let newest = self.epochs.entry((n, incarnation)).or_insert(now);
            if now < *newest {
                let broken = format!("g{n} goes back from epoch {newest:?} to {now:?}");
                self.break_rule(broken);
            } else {
                *newest = now;
            }
        }
        for decided in view["decided"].as_array().into_iter().flatten() {
            let (place, what) =
                (decided["place"].to_string(), format!("{}={}", decided["key"], decided["value"]));
            let first = self.decided.entry(place.clone()).or_insert_with(|| what.clone());
            if *first != what {
                let broken = format!("two decisions at {place}: {first} and {what}");
                self.break_rule(broken);
            }
        }
    }

    fn break_rule(&mut self, what: String) {
        self.broken.push(format!("after {:.1} s: {what}", self.start.elapsed().as_secs_f64()));
    }

    /// Those that were seen to hold the lease of the steward, one after the other.
    #[must_use]
    pub fn stewards(&self) -> &[usize] {
        &self.stewards
    }

    /// The rules that were broken, with the time since the first look.
    #[must_use]
    pub fn broken(&self) -> &[String] {
        &self.broken
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn each_rule_is_seen_to_be_broken() {
        let view = |epoch: &str, leader: &str, value: &str| {
            json!({"members": [{"incarnation": 5}], "epoch": epoch, "leader": leader,
                   "decided": [{"key": "k", "value": value, "place": [7, 3]}]})
        };
        let cases = [
            ("nothing", vec![(0, view("7.2", "g0", "a")), (1, view("7.3", "g1", "a"))], None),
            ("leaders", vec![(0, view("7.2", "g0", "a")), (1, view("7.2", "g1", "a"))], Some("two leaders")),
            ("places", vec![(0, view("7.2", "g0", "a")), (1, view("7.2", "g0", "b"))], Some("two decisions")),
            ("back", vec![(0, view("7.10", "g0", "a")), (0, view("7.9", "g1", "a"))], Some("goes back")),
        ];
        for (what, views, wanted) in cases {
            let mut rules = Rules::default();
            views.iter().for_each(|(n, view)| rules.view(*n, view));
            let broken = rules.broken().join(", ");
            assert!(wanted.map_or(broken.is_empty(), |wanted| broken.contains(wanted)), "{what}: {broken}");
        }
    }
}
