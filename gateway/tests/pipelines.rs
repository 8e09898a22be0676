//! Requests that a client sends behind others on one connection, without waiting for their answers.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::*;

const SETTINGS: &str = include_str!("common/settings.json");
/// How long a request that its db host never answers holds up those behind it.
const FIRST_WAIT: Duration = Duration::from_millis(800);
/// What a client that sent two at once gives the second, and how late its answer may be.
const SECOND_WAIT: Duration = Duration::from_millis(1_100);
const SLACK: Duration = Duration::from_millis(50);

/// Db hosts that take requests and never answer one.
fn silent_pair() -> (Host, Host) {
    let silent = |primary| {
        Host::start(move |query| if query == "SHOW load" { well(primary, query) } else { Do::Nothing })
    };
    (silent(true), silent(false))
}

#[test]
fn a_request_behind_another_gets_its_final_answer_while_its_client_still_waits_for_it() {
    let (primary, replica) = silent_pair();
    let gateway = Gateway::start_with(&pair(&primary, &replica), SETTINGS);
    let mut client = gateway.client();
    let wait_ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap();
    let first = statement("order", wait_ms(FIRST_WAIT), ",k=1");
    let second = statement("order", wait_ms(SECOND_WAIT), ",k=2");
    let sent = Instant::now();
    let both = [&first, &second].map(|text| frame(b'Q', &[text.as_bytes(), b"\0"].concat()));
    client.stream.write_all(&both.concat()).unwrap();
    assert_eq!(client.answer(), b"EZ");
    let first_after = sent.elapsed();
    assert!(first_after >= FIRST_WAIT / 2, "the first held the second up: {first_after:?}");
    assert_eq!(client.answer(), b"EZ");
    let second_after = sent.elapsed();
    assert!(
        second_after <= SECOND_WAIT + SLACK,
        "{second_after:?}: counted from its turn, not from when it came"
    );
    // What the db host was told of the second is what was left to its client.
    let told = primary.asked().iter().find_map(|asked| {
        let told = asked.split_once(",d=")?.1.split_once(',')?;
        told.1.starts_with("cluster=2,k=2").then(|| told.0.parse::<u64>().unwrap())
    });
    let left = SECOND_WAIT.saturating_sub(first_after) + SLACK;
    assert!(told.is_none_or(|told| Duration::from_millis(told) <= left), "told {told:?} of {left:?} left");
}

#[test]
fn a_request_whose_time_ran_out_behind_another_is_answered_at_once_and_never_sent() {
    let (primary, replica) = silent_pair();
    let gateway = Gateway::start_with(&pair(&primary, &replica), SETTINGS);
    let mut client = gateway.client();
    let texts = [statement("order", 800, ",k=1"), statement("order", 300, ",k=2")];
    for text in &texts {
        client.send(text);
    }
    assert_eq!(client.answer(), b"EZ");
    let answered = Instant::now();
    assert_eq!(client.answer(), b"EZ");
    assert!(answered.elapsed() <= SLACK, "{:?}", answered.elapsed());
    assert!(client.error.contains("|C53300|"), "it never ran: {}", client.error);
    assert!(primary.asked().iter().all(|asked| !asked.contains("k=2")), "{:?}", primary.asked());
}
