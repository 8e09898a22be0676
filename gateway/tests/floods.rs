//! One client that sends at full speed, or that leaves with much unread: what others get, what it takes, and what is sent for it.

mod common;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1_024 };
const FLOOD: Duration = Duration::from_secs(4);
/// How long an ordinary client waits at the most.
const VIEW_WAIT: Duration = Duration::from_millis(1_200);
/// What a flood may leave behind, in KiB: far less than one byte for each message that it sends.
const MOST_GROWTH_KIB: usize = 4 * 1024;
/// After a client has left, nothing more may begin for it.
const GONE_AFTER: Duration = Duration::from_millis(100);
const SERVED: &[u8] = b"TDCZ";

fn query(text: &str) -> Vec<u8> {
    frame(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Db hosts that take two milliseconds for each request.
fn hosts() -> [Host; 2] {
    [true, false].map(|primary| {
        Host::start(move |query| match query {
            "SHOW load" => well(primary, query),
            _ => Do::SayLater(Duration::from_millis(2), served(if primary { "primary" } else { "replica" })),
        })
    })
}

/// Sends what `message` makes, one after the other without a pause, and reads all that comes; says how many were sent.
fn flood(mut client: Client, message: impl Fn(u64) -> Vec<u8> + Send + 'static) -> thread::JoinHandle<u64> {
    let mut reader = client.stream.try_clone().unwrap();
    thread::spawn(move || while matches!(reader.read(&mut [0; 64 * 1024]), Ok(len) if len > 0) {});
    thread::spawn(move || {
        let (mut sent, since) = (0, Instant::now());
        while since.elapsed() < FLOOD && client.stream.write_all(&message(sent)).is_ok() {
            sent += 1;
        }
        let _ = client.stream.shutdown(Shutdown::Both);
        sent
    })
}

// Guards against: other clients that wait, or memory that grows, while one sends small or unsound requests at full speed, also
// under ever new names and groups.
#[test]
fn a_client_at_full_speed_neither_delays_others_nor_makes_memory_grow() {
    let [primary, replica] = hosts();
    type Message = fn(u64) -> Vec<u8>;
    let messages: [(&str, Message); 5] = [
        ("empty queries", |_| query(";")),
        ("unlisted classes", |n| query(&format!("SELECT 'k' /* id=u{n},c=none{n},d=900,cluster=2 */"))),
        ("new groups", |n| query(&format!("SELECT 'k' /* id=g{n},c=view,d=1200,cluster={} */", n + 100))),
        ("served reads", |n| query(&format!("SELECT 'k{n}' /* id=r{n},c=view,d=1200,cluster=2 */"))),
        ("served orders", |n| query(&format!("DELETE 'k{n}' /* id=o{n},c=order,d=3000,k={n},cluster=2 */"))),
    ];
    for (what, message) in messages {
        let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
        let ends = Arc::new(AtomicBool::new(false));
        let mut client = gateway.client();
        assert_eq!(client.ask(&statement("view", 1_200, "")), SERVED);
        let (before, program) = resident(gateway.pid());
        let peak = watch_memory(gateway.pid(), Arc::clone(&ends));
        let flood = flood(gateway.client(), message);
        let (mut asked, mut served, mut longest) = (0, 0, Duration::ZERO);
        while !flood.is_finished() {
            let since = Instant::now();
            served += usize::from(client.ask(&statement("view", 1_200, "")) == SERVED);
            asked += 1;
            longest = longest.max(since.elapsed());
            thread::sleep(Duration::from_millis(20));
        }
        ends.store(true, Ordering::SeqCst);
        let grown = (peak.join().unwrap().saturating_sub(before - program)) >> 10;
        let sent = flood.join().unwrap();
        println!("{what}: {sent} sent, {served} of {asked} served, longest {longest:?}, grown {grown} KiB");
        assert!(longest < VIEW_WAIT && served * 10 >= asked * 9, "{what}: {served} of {asked}, {longest:?}");
        assert!(grown < MOST_GROWTH_KIB, "{what}: {grown} KiB after {sent} messages");
    }
}

// Guards against: timers of requests that were over, kept up to the longest deadline of their class.
#[test]
fn clients_that_are_served_quickly_leave_nothing_behind_while_their_deadlines_run() {
    let [primary, replica] = [Host::well(true), Host::well(false)];
    let settings = include_str!("common/settings.json");
    let patient = settings.replace("\"DeadlineMs\": 1200.0", "\"DeadlineMs\": 60000.0");
    let gateway = Gateway::operated_with(&pair(&primary, &replica), &patient);
    let (before, program) = resident(gateway.pid());
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let mut client = gateway.client();
            thread::spawn(move || {
                let since = Instant::now();
                let mut asked = 0;
                while since.elapsed() < FLOOD {
                    client.ask(&statement("view", 60_000, ""));
                    asked += 1;
                }
                asked
            })
        })
        .collect();
    let asked: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let (after, program_after) = resident(gateway.pid());
    let grown = (after - program_after).saturating_sub(before - program) >> 10;
    println!("{asked} asked, grown {grown} KiB");
    assert!(grown < 1024, "{grown} KiB after {asked} requests");
}

// Guards against: requests sent on for a client that has closed its connection with much of what it sent still unread.
#[test]
fn nothing_begins_for_a_client_that_has_closed_with_much_unread() {
    let host = |primary| {
        Host::start(move |query| match query {
            "SHOW load" => well(primary, query),
            _ => Do::SayLater(Duration::from_millis(60), served(if primary { "primary" } else { "replica" })),
        })
    };
    let (primary, replica) = (host(true), host(false));
    for bytes in [2_000, 30_000, 200_000] {
        let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
        let mut leaves = gateway.client();
        let mut requests = Vec::new();
        while requests.len() < bytes {
            requests.extend(query(&statement("view", 1_200, ",k=leaves")));
        }
        leaves.stream.set_nonblocking(true).unwrap();
        let _ = leaves.stream.write(&requests);
        thread::sleep(Duration::from_millis(90));
        drop(leaves);
        thread::sleep(GONE_AFTER);
        let count = || [&primary, &replica].map(|host| host.asked().len()).iter().sum::<usize>();
        let before = count();
        thread::sleep(Duration::from_millis(800));
        assert_eq!(count(), before, "{bytes} bytes: {}", gateway.log());
    }
}

// Guards against: a long answer that is cut off while its db host still writes it slowly.
#[test]
fn a_long_answer_that_comes_slowly_is_passed_on_whole() {
    let slow = |value: usize, pieces: usize, pause: u64| {
        Host::start(move |query| match query {
            "SHOW load" => well(true, query),
            _ => {
                let answer = served_value("primary", &vec![7; value]);
                let piece = answer.len() / pieces + 1;
                Do::SayInPieces(answer, piece, Duration::from_millis(pause))
            }
        })
    };
    let replica = Host::well(false);
    for (value, pieces, pause) in [(60_000, 12, 100), (400_000, 40, 100), (2_000_000, 25, 150)] {
        let primary = slow(value, pieces, pause);
        let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
        let mut client = gateway.client();
        assert_eq!(client.ask(&statement("order", 3_000, "")), SERVED, "{value}: {}", gateway.log());
        assert!(client.rows.concat().len() > value);
    }
}

// Guards against: a long answer that is waited for in vain, as the head of its row came in two pieces.
#[test]
fn a_long_answer_whose_head_comes_in_pieces_is_passed_on_whole() {
    const VALUE: usize = 70_000;
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => {
            let answer = served_value("primary", &[7; VALUE]);
            let description = 1 + u32::from_be_bytes(answer[1..5].try_into().unwrap()) as usize;
            Do::SayInPieces(answer, description + 7, Duration::from_millis(1))
        }
    });
    let replica = Host::well(false);
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("order", 3_000, "")), SERVED, "{}", gateway.log());
    assert!(client.rows.concat().len() > VALUE);
}

// Guards against: a final answer that comes long after its time, as a db host reads a long request slowly.
#[test]
fn a_long_request_that_its_db_host_reads_slowly_is_answered_in_time() {
    use std::net::TcpListener;
    const WAIT: Duration = Duration::from_millis(3_000);
    const SLACK: Duration = Duration::from_millis(500);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut primary = Host::well(true);
    primary.addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                stream.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat()).ok()?;
                let mut bytes = [0; 1_000];
                while stream.read(&mut bytes).ok()? > 0 {
                    thread::sleep(Duration::from_millis(10));
                }
                Some(())
            });
        }
    });
    let replica = Host::well(false);
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    for value in [1_000_000, 4_000_000] {
        let mut client = gateway.client();
        let text = statement("order", 3_000, ",k=1").replace("9f03", &"9f".repeat(value));
        let since = Instant::now();
        let answer = client.ask(&text);
        assert_eq!(answer.last(), Some(&b'Z'), "{}", gateway.log());
        assert!(since.elapsed() < WAIT + SLACK, "{value}: {:?}", since.elapsed());
    }
}
