//! Clients that read long values slowly get them whole, and those that take nothing are given up.

mod common;

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// More than the systems' buffers take of one connection.
const VALUE: usize = 8 * 1024 * 1024;
const KIB: usize = 1024;
/// A client that has taken none of its answers for so long is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after that it is closed at the latest, on a busy machine.
const CLOSE_SLACK: Duration = Duration::from_secs(3);
/// How long clients read slowly, before they take the rest at once: longer than one that takes nothing is kept.
const SLOW_FOR: Duration = Duration::from_secs(18);
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 512 };

/// How a client reads.
#[derive(Clone, Copy, Debug)]
struct Reader {
    /// Taken at full speed first.
    at_once: usize,
    /// Then so much at a time, with such pauses.
    piece: usize,
    pause: Duration,
}

impl Reader {
    /// One that reads so many KiB a second, a piece each tenth of a second.
    const fn steady(kib_per_second: usize) -> Self {
        Self { at_once: 0, piece: kib_per_second * KIB / 10, pause: Duration::from_millis(100) }
    }
}

fn host(primary: bool) -> Host {
    let answer = served_value(if primary { "primary" } else { "replica" }, &vec![7; VALUE]);
    Host::start(move |query| match query {
        "SHOW load" => well(primary, query),
        _ => Do::Say(answer.clone()),
    })
}

/// Bytes that come up to the end of the value, read like this for a while and then at full speed.
fn read(gateway: &Gateway, reader: Reader) -> usize {
    let mut client = gateway.client();
    client.send(&statement("view", 1_200, ""));
    let (start, mut bytes) = (Instant::now(), 0);
    let mut buffer = vec![0; 64 * KIB];
    while bytes < VALUE {
        let slow = start.elapsed() < SLOW_FOR;
        let most =
            if slow && bytes >= reader.at_once { reader.piece.min(buffer.len()) } else { buffer.len() };
        match client.stream.read(&mut buffer[..most]) {
            Ok(0) | Err(_) => break,
            Ok(len) => bytes += len,
        }
        if slow && bytes >= reader.at_once {
            thread::sleep(reader.pause);
        }
    }
    bytes
}

// Guards against: a long value that is cut off for a client which reads it slowly, as one write that moves nothing for a while
// passes for a client that takes nothing.
#[test]
fn a_long_value_that_is_read_slowly_comes_whole() {
    let (primary, replica) = (host(true), host(false));
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let readers = [
        Reader::steady(20),
        Reader::steady(35),
        Reader::steady(60),
        Reader::steady(90),
        Reader::steady(130),
        Reader { at_once: KIB * KIB, ..Reader::steady(50) },
        Reader { at_once: 3 * KIB * KIB, ..Reader::steady(20) },
        // Rarely, and much at a time.
        Reader { at_once: 0, piece: 64 * KIB, pause: Duration::from_secs(2) },
        Reader { at_once: 0, piece: 1_000, pause: Duration::from_millis(20) },
    ];
    let cut: Vec<_> = thread::scope(|scope| {
        let reads = readers.map(|reader| {
            (
                reader,
                scope.spawn({
                    let gateway = &gateway;
                    move || read(gateway, reader)
                }),
            )
        });
        let came = reads.into_iter().map(|(reader, read)| (reader, read.join().unwrap()));
        came.filter(|(_, bytes)| *bytes < VALUE).collect()
    });
    assert!(cut.is_empty(), "cut off: {cut:?}: {}", gateway.log());
}

/// How often a connection was closed because its client took nothing.
fn given_up(gateway: &Gateway) -> u64 {
    gateway.figure("svc_client_closes{reason=\"stuck\"}")
}

// Guards against: clients that take nothing and are kept for good, with the connections and the memory of their values.
#[test]
fn clients_that_take_nothing_are_given_up_in_time() {
    const CLIENTS: usize = 12;
    let (primary, replica) = (host(true), host(false));
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut client = gateway.client();
            client.send(&statement("view", 1_200, ""));
            client
        })
        .collect();
    let start = Instant::now();
    thread::sleep(STALL_TIMEOUT / 2);
    assert_eq!(given_up(&gateway), 0, "{}", gateway.log());
    // One may have been refused, as its db host had enough to do.
    let begun = clients.iter().filter(|client| has_begun(client)).count() as u64;
    thread::sleep((STALL_TIMEOUT + CLOSE_SLACK).saturating_sub(start.elapsed()));
    let closed = given_up(&gateway);
    assert!(begun > 0 && closed == begun, "{closed} closed of {begun}: {}", gateway.log());
}

/// A value has begun to come, and not been read.
fn has_begun(client: &Client) -> bool {
    let mut first = [0];
    matches!(client.stream.peek(&mut first), Ok(1)) && first != *b"E"
}
