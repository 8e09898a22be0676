//! Answers that are held until they are whole, and that their db hosts write slowly or leave unfinished.

mod common;

use std::time::{Duration, Instant};

use common::*;

const SETTINGS: &str = include_str!("common/settings.json");
const SERVED: &[u8] = b"TDCZ";
const ERROR: &[u8] = b"EZ";
/// The most that is held of a value, nearly.
const VALUE: usize = 60_000;
const VIEW_WAIT: Duration = Duration::from_millis(1_200);
const ORDER_WAIT: Duration = Duration::from_millis(3_000);
/// An answer may be late by so much before its request counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A db host that writes each answer in so many pieces with such pauses.
fn slow(primary: bool, pieces: usize, pause: Duration) -> Host {
    Host::start(move |query| match query {
        "SHOW load" => well(primary, query),
        _ => {
            let answer = served_value(if primary { "primary" } else { "replica" }, &[7; VALUE]);
            let piece = answer.len() / pieces + 1;
            Do::SayInPieces(answer, piece, pause)
        }
    })
}

/// A db host that writes a half of each answer and then nothing.
fn stops(primary: bool) -> Host {
    Host::start(move |query| match query {
        "SHOW load" => well(primary, query),
        _ => {
            let mut answer = served_value(if primary { "primary" } else { "replica" }, &[7; VALUE]);
            answer.truncate(VALUE / 2);
            Do::SayInPieces(answer, VALUE, Duration::from_secs(10))
        }
    })
}

/// The settings with orders that may be sent once only.
fn sent_once() -> String {
    let settings = SETTINGS.replace("\"deduplicated\"", "\"at_most_once\"");
    assert_ne!(settings, SETTINGS);
    settings
}

/// Asks once, on a connection of its own; says what came and when.
fn ask(gateway: &Gateway, class: &str, wait: Duration) -> (Vec<u8>, Duration) {
    let (mut client, since) = (gateway.client(), Instant::now());
    let answer = client.ask(&statement(class, wait.as_millis() as u32, ""));
    (answer, since.elapsed())
}

// Guards against: an answer that is cut off while its db host still writes it, as it pauses or comes after it was aimed at.
#[test]
fn an_answer_that_is_written_slowly_is_passed_on_whole() {
    let once = sent_once();
    let cases =
        [("view", VIEW_WAIT, SETTINGS), ("order", ORDER_WAIT, SETTINGS), ("order", ORDER_WAIT, &once)];
    for (pieces, pause_ms) in [(2, 300), (2, 600), (3, 300), (4, 240), (10, 100), (40, 22)] {
        let pause = Duration::from_millis(pause_ms);
        let [primary, replica] = [true, false].map(|primary| slow(primary, pieces, pause));
        for (class, wait, settings) in cases {
            let gateway = Gateway::operated_with(&pair(&primary, &replica), settings);
            let (answer, after) = ask(&gateway, class, wait);
            let told =
                format!("{class}, {pieces} pieces, {pause:?}, after {after:?}: {}", gateway.refusals());
            assert_eq!(answer, SERVED, "{told}: {}", gateway.log());
            assert!(after < wait, "{told}");
        }
    }
}

// Guards against: a request that may be sent once only, failed at the first pause within its answer.
#[test]
fn an_attempt_that_nothing_may_follow_is_not_given_up_for_a_pause() {
    let [primary, replica] = [true, false].map(|primary| slow(primary, 2, Duration::from_millis(1_500)));
    let gateway = Gateway::operated_with(&pair(&primary, &replica), &sent_once());
    let (answer, after) = ask(&gateway, "order", ORDER_WAIT);
    assert_eq!((answer.as_slice(), primary.asked().len()), (SERVED, 1), "after {after:?}: {}", gateway.log());
}

// Guards against: an answer that never ends, awaited for longer than its client waits.
#[test]
fn an_answer_that_never_ends_is_an_error_in_time() {
    let [primary, replica] = [true, false].map(stops);
    let once = sent_once();
    for (class, wait, settings) in
        [("view", VIEW_WAIT, SETTINGS), ("order", ORDER_WAIT, SETTINGS), ("order", ORDER_WAIT, &once)]
    {
        let gateway = Gateway::operated_with(&pair(&primary, &replica), settings);
        let (answer, after) = ask(&gateway, class, wait);
        assert_eq!(answer, ERROR, "{class}: {}", gateway.log());
        assert!(after < wait + ANSWER_SLACK, "{class}: after {after:?}");
    }
}

// Guards against: a read that waits for the rest of a spoilt answer while another db host could serve it.
#[test]
fn a_read_whose_answer_stops_is_served_by_another_db_host_within_its_aim() {
    const AIM: Duration = Duration::from_millis(500);
    let [first, second] = [stops(false), Host::well(false)];
    let primary = Host::well(true);
    let entries = [
        entry("s-a", &primary, "primary", "Ready", 0),
        entry("s-b", &first, "replica", "Ready", 0),
        entry("s-c", &second, "replica", "Ready", 0),
    ];
    let gateway = Gateway::operated_with(&list(41, true, &entries), SETTINGS);
    let mut through_first = 0;
    for _ in 0..8 {
        let before = first.asked().len();
        let (answer, after) = ask(&gateway, "view", VIEW_WAIT);
        assert!(answer == SERVED && after < AIM, "after {after:?}: {}", gateway.log());
        through_first += first.asked().len() - before;
    }
    assert!(through_first > 0, "none was sent to the one that stops");
}
