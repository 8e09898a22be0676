//! Counts of events by a label, for the console.

use std::collections::BTreeMap;

/// Counts since the start of the process, one for each label.
#[derive(Clone, Debug, Default)]
pub struct LabelCounts(BTreeMap<&'static str, u64>);

impl LabelCounts {
    /// Nothing has been counted; these labels are shown all the same.
    pub fn new(labels: impl IntoIterator<Item = &'static str>) -> Self {
        Self(labels.into_iter().map(|label| (label, 0)).collect())
    }

    /// Counts one.
    pub fn count(&mut self, label: &'static str) {
        *self.0.entry(label).or_default() += 1;
    }

    /// The labels with their counts.
    pub fn all(&self) -> Vec<(&'static str, u64)> {
        self.0.iter().map(|(label, count)| (*label, *count)).collect()
    }
}
