//! A request that may have run is known by its id up to the end of its window, whether its client is there or not.

mod common;

use std::thread;
use std::time::Duration;

use common::*;

const SERVED: &[u8] = b"TDCZ";
const FAILED: &[u8] = b"EZ";

/// Settings in which orders may be sent once at the most.
fn once() -> String {
    include_str!("common/settings.json").replace("\"deduplicated\"", "\"at_most_once\"")
}

/// A primary that takes a while for each order, and a replica.
fn hosts(work: Duration) -> [Host; 2] {
    let primary = Host::start(move |query| match query {
        "SHOW load" => well(true, query),
        _ => Do::SayLater(work, served("primary")),
    });
    [primary, Host::well(false)]
}

fn order(id: &str) -> String {
    format!("INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc /* id={id},c=order,d=3000,cluster=2 */")
}

fn sent(primary: &Host, id: &str) -> usize {
    primary.asked().iter().filter(|query| query.contains(&format!("id={id},"))).count()
}

// Guards against: an order that runs twice, as its id was forgotten when its client left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_is_not_sent_again() {
    let [primary, replica] = hosts(Duration::from_millis(300));
    let gateway = Gateway::operated_with(&pair(&primary, &replica), &once());
    let mut leaves = gateway.client();
    leaves.send(&order("left"));
    until(|| sent(&primary, "left") == 1, || gateway.log());
    drop(leaves);
    until(|| gateway.figure("svc_outstanding") == 0, || gateway.log());
    for wait in [Duration::ZERO, Duration::from_millis(600)] {
        thread::sleep(wait);
        assert_eq!(gateway.client().ask(&order("left")), FAILED, "{}", gateway.log());
        assert_eq!(sent(&primary, "left"), 1);
    }
    assert_eq!(gateway.client().ask(&order("another")), SERVED);
    assert_eq!(gateway.client().ask(&order("another")), FAILED, "it has run");
    assert_eq!(sent(&primary, "another"), 1);
}

// Guards against: an order that runs twice, once through each process of a replacement.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_a_replacement_is_not_sent_again() {
    let [primary, replica] = hosts(Duration::from_millis(300));
    let old = Gateway::operated_with(&pair(&primary, &replica), &once());
    let (mut before, mut leaves) = (old.client(), old.client());
    before.send(&order("before"));
    until(|| sent(&primary, "before") == 1, || old.log());
    drop(before);
    let new = old.replacement();
    assert_eq!(new.client().ask(&order("before")), FAILED, "{}", new.log());
    leaves.send(&order("during"));
    until(|| sent(&primary, "during") == 1, || old.log());
    drop(leaves);
    assert_eq!(new.client().ask(&order("during")), FAILED, "{}", new.log());
    for id in ["before", "during"] {
        assert_eq!(sent(&primary, id), 1, "{id}");
    }
    assert_eq!(new.client().ask(&order("after")), SERVED);
}
