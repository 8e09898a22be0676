//! Attempts that wait for a connection spend when they have one, and permits stay with them.

use std::sync::Arc;

use yewroute_federation::limits::{Classes, Meters};
use yewroute_table::{Limit, Table};

use super::*;

/// One class under a limit of one attempt at once that hardly fills, and another under permits.
fn meters() -> Arc<Meters> {
    let limit = |name: &str, class: &str| Limit {
        name: name.to_owned(),
        line: 1,
        classes: vec![class.to_owned()],
        groups: Vec::new(),
        rate: None,
        burst: 1.0,
        concurrent: None,
        floor: 1.0,
    };
    let rate = Limit { rate: Some(0.001), ..limit("rate", "view") };
    let permits = Limit { concurrent: Some(1), ..limit("permits", "order") };
    let table = Table { limits: vec![rate, permits], ..Table::default() };
    let classes = Classes {
        names: vec!["view".to_owned(), "order".to_owned()],
        worths: vec![1.0, 1.0],
        longest: Duration::ZERO,
        gateways: 1,
    };
    let long_ago = Instant::now() - Duration::from_secs(3_600);
    let meters = Meters::compile(long_ago, 1, &table, &classes, &Meters::default(), long_ago);
    Arc::new(meters)
}

fn attempt(meters: &Arc<Meters>, class: usize) -> Option<FirstByteLimit> {
    let spent = meters.try_spend(Instant::now(), class, 2).ok()?;
    Some(FirstByteLimit { spent: Some(Spending::Spent(spent)), ..FirstByteLimit::default() })
}

#[test]
fn of_attempts_that_waited_no_more_are_sent_at_once_than_the_limit_has() {
    let meters = meters();
    let mut waiting: Vec<FirstByteLimit> = (0..3)
        .map(|_| {
            let mut attempt = attempt(&meters, 0).expect("the one before has given back");
            attempt.wait();
            attempt.wait();
            attempt
        })
        .collect();
    let sent = waiting.iter_mut().filter_map(|attempt| attempt.spend().ok()).count();
    assert_eq!(sent, 1);
    assert!(attempt(&meters, 0).is_none(), "nothing is left");
    assert!(waiting[0].spend().is_ok(), "it has spent, and does so once");
}

#[test]
fn an_attempt_that_has_not_waited_has_spent_and_one_that_was_held_up_spends_anew() {
    let meters = meters();
    let mut first = attempt(&meters, 0).expect("one at once");
    first.wait_if_held_up(Instant::now());
    assert!(attempt(&meters, 0).is_none(), "it holds what it has spent");
    first.wait_if_held_up(Instant::now() - 2 * HELD_UP);
    let mut second = attempt(&meters, 0).expect("given back");
    assert!(second.spend().is_ok());
    assert!(first.spend().is_err(), "the other has spent it meanwhile");
}

#[test]
fn a_permit_is_held_while_its_attempt_waits() {
    let meters = meters();
    let mut first = attempt(&meters, 1).expect("one permit");
    first.wait();
    assert!(attempt(&meters, 1).is_none(), "its attempt may still be sent");
    assert!(first.spend().is_ok());
}
