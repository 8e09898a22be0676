//! What must hold of the federation's table at any moment, by what gateways say of it.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::Rig;

/// Looks at gateways again and again, and keeps what it saw.
#[derive(Debug, Default)]
pub struct TableRules {
    /// The newest version that any was seen to act by, before the look that goes on.
    newest: u64,
    /// The newest of them that was called settled: nobody can act by an earlier one.
    settled: u64,
    /// What a version says, by its digest.
    digests: BTreeMap<u64, String>,
    /// The newest version that a process has acted by.
    acted: BTreeMap<(usize, u32), u64>,
    broken: BTreeSet<String>,
}

impl TableRules {
    /// Looks at those that run and are not stopped.
    pub fn look(&mut self, rig: &Rig, awake: &[usize]) {
        for n in awake {
            if let Some(pid) = rig.pid(*n) {
                self.says(*n, pid, &rig.table(*n));
            }
        }
    }

    /// Takes what one gateway says, asked for after all that was taken before.
    pub fn says(&mut self, n: usize, pid: u32, table: &Value) {
        let Some(version) = table["version"].as_u64().filter(|_| table["state"] != "held") else { return };
        let digest = table["digest"].as_str().unwrap_or_default();
        let first = self.digests.entry(version).or_insert_with(|| digest.to_owned());
        if first.as_str() != digest {
            self.broken.insert(format!("version {version} says {first} and, at g{n}, {digest}"));
        }
        let acted = self.acted.entry((n, pid)).or_default();
        if version < *acted {
            self.broken.insert(format!("g{n} goes back from version {acted} to {version}"));
        }
        *acted = version.max(*acted);
        // Whoever may still act by an older one when another acts by the newest holds the newest already.
        if version < self.newest && table["next"]["version"] != self.newest {
            let what = format!(
                "g{n} acts by version {version} without holding {}, which others act by",
                self.newest
            );
            self.broken.insert(what);
        }
        if version < self.settled {
            self.broken.insert(format!("g{n} acts by version {version}, and {} is settled", self.settled));
        }
        self.newest = version.max(self.newest);
        if table["settled"] == true {
            self.settled = version.max(self.settled);
        }
    }

    /// The newest version that any has acted by.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The rules that were broken.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        self.broken.iter().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn each_rule_is_seen_to_be_broken() {
        let says = |version: u64, state: &str, digest: &str, next: Option<u64>| {
            json!({"version": version, "state": state, "digest": digest,
                   "next": next.map(|version| json!({"version": version}))})
        };
        let cases = [
            (
                "a switch",
                vec![
                    (0, says(1, "acting", "a", None)),
                    (1, says(2, "acting", "b", None)),
                    (0, says(1, "preparing", "a", Some(2))),
                    (0, says(2, "acting", "b", None)),
                ],
                None,
            ),
            ("held", vec![(0, says(2, "acting", "b", None)), (1, says(1, "held", "a", None))], None),
            (
                "settled",
                vec![
                    (0, json!({"version": 2, "state": "acting", "digest": "b", "settled": true})),
                    (1, says(1, "preparing", "a", Some(2))),
                ],
                Some("2 is settled"),
            ),
            (
                "alone",
                vec![(0, says(2, "acting", "b", None)), (1, says(1, "acting", "a", None))],
                Some("without holding 2"),
            ),
            (
                "two texts",
                vec![(0, says(2, "acting", "b", None)), (1, says(2, "acting", "c", None))],
                Some("says b and"),
            ),
            (
                "back",
                vec![(0, says(2, "acting", "b", None)), (0, says(1, "acting", "a", Some(2)))],
                Some("goes back"),
            ),
        ];
        for (what, said, wanted) in cases {
            let mut rules = TableRules::default();
            said.iter().for_each(|(n, table)| rules.says(*n, 7, table));
            let broken = rules.broken().join(", ");
            assert!(wanted.map_or(broken.is_empty(), |wanted| broken.contains(wanted)), "{what}: {broken}");
        }
    }
}
