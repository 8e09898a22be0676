use super::*;

// Guards against: a reason that is counted under another's label, or is left out of the list of all.
#[test]
fn each_reason_is_counted_under_a_label_of_its_own() {
    let mut counts = UnservedCounts::default();
    Reason::ALL.iter().for_each(|reason| counts.count(*reason));
    let by_reason = counts.by_reason();
    assert_eq!(by_reason.len(), Reason::ALL.len(), "{by_reason:?}");
    assert!(by_reason.iter().all(|(_, count)| *count == 1), "{by_reason:?}");
}
