//! Db hosts that write more than their answers: no client gets what was written for another one's request.

mod common;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SETTINGS: &str = include_str!("common/settings.json");
const CLIENTS: usize = 6;
/// For each of the cases.
const SPAN: Duration = Duration::from_millis(1_500);
/// How long a db host works on a request.
const SERVICE: Duration = Duration::from_millis(2);
/// One answer in so many has something behind it.
const ONE_IN: u32 = 4;
/// The fewest surplus answers that show anything.
const MIN_SURPLUS: u32 = 20;
/// Clients pause between requests, for none to so many of these steps in turn, so that a request comes before, with and after
/// what is written behind the answer before it.
const PAUSE_STEP: Duration = Duration::from_micros(700);
const PAUSE_STEPS: u32 = 7;

/// What a db host writes behind an answer.
type Surplus = fn(&[u8]) -> Vec<u8>;

fn copy(answer: &[u8]) -> Vec<u8> {
    answer.to_vec()
}

fn copies(answer: &[u8]) -> Vec<u8> {
    answer.repeat(3)
}

fn turned_away(_: &[u8]) -> Vec<u8> {
    error("53300", "too many requests")
}

/// The quoted key of a statement.
fn key(query: &str) -> &str {
    query.split('\'').nth(1).unwrap_or_default()
}

/// A db host whose value is the key, with a surplus behind some answers.
fn host(primary: bool, delay: Duration, surplus: Surplus, written: &Arc<AtomicU32>) -> Host {
    let (written, served_so_far) = (Arc::clone(written), AtomicU32::new(0));
    Host::start(move |query| {
        if query == "SHOW load" {
            return well(primary, query);
        }
        thread::sleep(SERVICE);
        let answer = served_value(if primary { "primary" } else { "replica" }, key(query).as_bytes());
        match served_so_far.fetch_add(1, Ordering::SeqCst) % ONE_IN {
            0 => {
                Do::SayWithSurplus { surplus: surplus(&answer), answer, delay, written: Arc::clone(&written) }
            }
            _ => Do::Say(answer),
        }
    })
}

/// Reads with keys of their own for a while; says how many were served, and panics for a value of another key.
fn read(gateway: &Gateway, client: usize, end: Instant) -> u32 {
    let (mut connection, mut served) = (gateway.client(), 0);
    for request in 0.. {
        if Instant::now() >= end {
            break;
        }
        thread::sleep(PAUSE_STEP * (request % PAUSE_STEPS));
        let key = format!("{client:04x}{request:012x}");
        let text = format!("SELECT doc FROM items WHERE id = '{key}' /* id={key},c=view,d=1200,cluster=2 */");
        if connection.ask(&text) == b"TDCZ" {
            let value = &connection.rows[0][6..];
            assert_eq!(
                String::from_utf8_lossy(value),
                key,
                "the value of another request: {}",
                gateway.log()
            );
            served += 1;
        }
    }
    served
}

fn own_values_only(delay: Duration, surplus: Surplus) {
    let written = Arc::new(AtomicU32::new(0));
    let [primary, replica] = [true, false].map(|primary| host(primary, delay, surplus, &written));
    let gateway = Gateway::start_with(&pair(&primary, &replica), SETTINGS);
    let end = Instant::now() + SPAN;
    let served: u32 = thread::scope(|scope| {
        let readers: Vec<_> = (0..CLIENTS)
            .map(|client| {
                scope.spawn({
                    let gateway = &gateway;
                    move || read(gateway, client, end)
                })
            })
            .collect();
        readers.into_iter().map(|reader| reader.join().unwrap()).sum()
    });
    let written = written.load(Ordering::SeqCst);
    assert!(written >= MIN_SURPLUS && served > written, "{written} surplus answers, {served} served");
}

// Guards against: a second copy of an answer, a moment behind it, that is served as the answer to the next request.
#[test]
fn a_second_copy_behind_an_answer_is_served_to_nobody() {
    for delay in [0, 100, 300, 500, 1_000, 3_000].map(Duration::from_micros) {
        own_values_only(delay, copy);
    }
}

// Guards against: several copies, or an error, behind an answer, which keep a connection some answers behind.
#[test]
fn other_surplus_behind_an_answer_is_served_to_nobody() {
    for surplus in [copies as Surplus, turned_away] {
        for delay in [100, 500, 2_000].map(Duration::from_micros) {
            own_values_only(delay, surplus);
        }
    }
}
