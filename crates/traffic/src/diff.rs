//! How two recordings differ: requests by their id, those that share one by their order.

use std::collections::BTreeMap;

use yewroute_pgwire::lexer::shape;

use crate::conversation::Request;

/// What is compared of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Face {
    statement: Vec<u8>,
    outcome: &'static str,
    sqlstate: Option<String>,
    value: Option<u32>,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// Only the first recording has it.
    OnlyFirst,
    /// Only the second has it.
    OnlySecond,
    /// The statements differ in more than their values.
    Statement,
    /// What came of it differs: from, to.
    Outcome(String, String),
    /// The rows differ.
    Value,
}

/// A recording's requests, as they are compared.
#[derive(Debug, Default)]
pub struct Side {
    by_id: BTreeMap<Vec<u8>, Vec<Face>>,
    taken: usize,
}

impl Side {
    /// Takes a request.
    pub fn take(&mut self, request: &Request) {
        let face = Face {
            // The waiting time told differs from one run to the next, and so does the comment that holds it.
            statement: shape(&request.text),
            outcome: request.outcome.name(),
            sqlstate: request.sqlstate.clone(),
            value: request.value,
        };
        self.by_id.entry(request.id.clone()).or_default().push(face);
        self.taken += 1;
    }

    /// How many requests it has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.taken
    }

    /// It has none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.taken == 0
    }
}

/// The differences, by id.
#[must_use]
pub fn diff(first: &Side, second: &Side) -> Vec<(Vec<u8>, Difference)> {
    let mut ids: Vec<&Vec<u8>> = first.by_id.keys().chain(second.by_id.keys()).collect();
    ids.sort_unstable();
    ids.dedup();
    let mut found = Vec::new();
    let none = Vec::new();
    for id in ids {
        let (one, other) = (first.by_id.get(id).unwrap_or(&none), second.by_id.get(id).unwrap_or(&none));
        for n in 0..one.len().max(other.len()) {
            let difference = match (one.get(n), other.get(n)) {
                (Some(_), None) => Difference::OnlyFirst,
                (None, _) => Difference::OnlySecond,
                (Some(a), Some(b)) if a.statement != b.statement => Difference::Statement,
                (Some(a), Some(b)) if (a.outcome, &a.sqlstate) != (b.outcome, &b.sqlstate) => {
                    let told = |face: &Face| match &face.sqlstate {
                        Some(sqlstate) => format!("{} {sqlstate}", face.outcome),
                        None => face.outcome.to_owned(),
                    };
                    Difference::Outcome(told(a), told(b))
                }
                (Some(a), Some(b)) if a.value != b.value => Difference::Value,
                _ => continue,
            };
            found.push((id.clone(), difference));
        }
    }
    found
}
