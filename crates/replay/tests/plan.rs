//! What is sent when, with answers given by hand.

use std::time::Duration;

use yewroute_replay::{Action, Plan, Retell};
use yewroute_traffic::{Outcome, Request};

fn request(at_ms: u64, connection: u64, id: &str) -> Request {
    Request {
        at: Duration::from_millis(1_767_225_600_000 + at_ms),
        connection,
        client: "127.0.0.9:1".parse().unwrap(),
        server: "127.0.0.1:2".parse().unwrap(),
        id: id.as_bytes().to_vec(),
        class: "view".to_owned(),
        group: 2,
        wait: Duration::from_millis(480),
        text: format!("SELECT '7' /* id={id},c=view,d=480,cluster=2,after=1767225600000 */").into_bytes(),
        parameters: None,
        bind: None,
        types: Vec::new(),
        outcome: Outcome::Served,
        sqlstate: None,
        answered: None,
        value: Some(7),
    }
}

fn sent(actions: &mut Vec<Action>) -> Vec<(u64, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(&bytes[5..bytes.len() - 1]).into_owned();
    let id = |text: &str| text.split("id=").nth(1).unwrap().split(',').next().unwrap().to_owned();
    actions
        .drain(..)
        .filter_map(|action| match action {
            Action::Send(connection, bytes) => Some((connection, id(&text(&bytes)))),
            Action::Close(_) => None,
        })
        .collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn order_and_spacing_are_kept_and_no_request_comes_before_the_answer_before_it() {
    let mut plan = Plan::new(Some(2.0), Retell::default());
    for (at, connection, id) in [(0, 1, "a"), (100, 1, "b"), (100, 2, "c"), (3000, 1, "d")] {
        plan.add(&request(at, connection, id));
    }
    let mut actions = Vec::new();
    plan.tick(ms(0), &mut actions);
    assert_eq!(sent(&mut actions), [(1, "a".to_owned())]);
    // Twice as fast: what came 100 ms later is due after 50. The answer to `a` is not there, so `b` waits.
    plan.tick(ms(49), &mut actions);
    assert_eq!(sent(&mut actions), []);
    plan.tick(ms(50), &mut actions);
    assert_eq!(sent(&mut actions), [(2, "c".to_owned())]);
    plan.answered(1, Outcome::Served, Some(7), &mut actions);
    plan.tick(ms(90), &mut actions);
    assert_eq!(sent(&mut actions), [(1, "b".to_owned())]);
    assert_eq!((plan.report().late, plan.report().latest), (1, ms(40)));
    plan.answered(2, Outcome::Refused, None, &mut actions);
    assert_eq!(actions, [Action::Close(2)]);
    actions.clear();
    plan.answered(1, Outcome::Served, Some(8), &mut actions);
    assert!(plan.next().unwrap() <= ms(1500) && !plan.done());
    plan.tick(ms(1500), &mut actions);
    assert_eq!(sent(&mut actions), [(1, "d".to_owned())]);
    plan.answered(1, Outcome::Unanswered, None, &mut actions);
    // An answer that nobody waits for changes nothing.
    plan.answered(1, Outcome::Served, None, &mut actions);
    let report = plan.report();
    assert_eq!((report.sent, report.other_outcome, report.other_value), (4, 2, 1));
    assert!(plan.done() && plan.bytes() == 0);
}

#[test]
fn ids_and_positions_are_told_anew_and_nothing_else() {
    let retell = Retell { suffix: "-r".to_owned(), later: ms(5000) };
    let bytes = retell.messages(&request(0, 1, "a"));
    let text = String::from_utf8(bytes[5..].to_vec()).unwrap();
    assert_eq!(text, "SELECT '7' /* id=a-r,c=view,d=480,cluster=2,after=1767225605000 */\0");
    // In parameters, each in its place; the key and all else as they were.
    let body = b"portal\0statement\0\0\0\0\x03\0\0\0\x02k1\0\0\0\x02id\xff\xff\xff\xff\0\0";
    let text = b"SELECT $1 /* id=$2,c=view,d=9,k=$1,cluster=2 */".to_vec();
    let extended =
        Request { text: text.clone(), bind: Some(body.to_vec()), types: vec![25], ..request(0, 1, "id") };
    let bytes = retell.messages(&extended);
    let wanted = b"B\0\0\0\x22\0\0\0\0\0\x03\0\0\0\x02k1\0\0\0\x04id-r\xff\xff\xff\xff\0\0";
    assert!(bytes.windows(text.len()).any(|window| window == text), "the text as it was");
    assert!(bytes.windows(wanted.len() - 5).any(|window| window == &wanted[5..]), "{}", bytes.escape_ascii());
}
