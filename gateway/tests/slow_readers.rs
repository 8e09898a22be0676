//! Clients that read long values slowly get them whole, and those that take nothing are given up.

mod common;

use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
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

/// The longest value that the pages name: less than what two systems take of a connection if nothing bounds them.
const PAGE_VALUE: usize = 4 * 1024 * KIB;
/// A value that its db host has given away so soon lies in the systems' buffers.
const BUFFERED_WITHIN: Duration = Duration::from_secs(3);

/// A db host that gives values of so many bytes, and counts those that it has given away whole.
fn counting_host(primary: bool, bytes: usize, given: &Arc<AtomicUsize>) -> Host {
    let answer = served_value(if primary { "primary" } else { "replica" }, &vec![7; bytes]);
    let given = Arc::clone(given);
    Host::start(move |query| match query {
        "SHOW load" => well(primary, query),
        _ => {
            let given = Arc::clone(&given);
            let count = move |_| {
                given.fetch_add(1, Ordering::SeqCst);
            };
            Do::SayLaterAndReport(Duration::ZERO, answer.clone(), Box::new(count))
        }
    })
}

/// Reads answers at this rate until it is told to end.
fn read_slowly(mut client: Client, reader: Reader, ends: &AtomicBool) {
    let mut buffer = vec![0; reader.piece];
    while !ends.load(Ordering::SeqCst) && matches!(client.stream.read(&mut buffer), Ok(1..)) {
        thread::sleep(reader.pause);
    }
}

/// Bytes that the system holds for connections.
#[derive(Clone, Copy, Debug, Default)]
struct SystemQueues {
    /// Written and not acknowledged.
    unsent: usize,
    /// Come and not read.
    unread: usize,
}

/// What the system holds for the connections whose local and remote ports are chosen.
fn system_queues(chosen: impl Fn(u16, u16) -> bool) -> SystemQueues {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let number = |hex: &str| usize::from_str_radix(hex, 16).unwrap();
    let port = |address: &str| u16::from_str_radix(address.split_once(':').unwrap().1, 16).unwrap();
    let mut queues = SystemQueues::default();
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        if chosen(port(fields[1]), port(fields[2])) {
            let (send, receive) = fields[4].split_once(':').unwrap();
            queues.unsent += number(send);
            queues.unread += number(receive);
        }
    }
    queues
}

// Guards against: a long value that the systems take at once, whatever its client reads of it: its bytes lie in the send buffer of the
// gateway's system, beyond its memory plan.
#[test]
fn a_slow_reader_leaves_the_rest_of_its_value_with_its_db_host() {
    let given = Arc::default();
    let (primary, replica) =
        (counting_host(true, PAGE_VALUE, &given), counting_host(false, PAGE_VALUE, &given));
    let gateway = Gateway::limited(&pair(&primary, &replica), None, Limits { memory_mb: 128, ..LIMITS });
    let ends = AtomicBool::new(false);
    thread::scope(|scope| {
        for kib_per_second in [50, 60, 70, 80] {
            let mut client = gateway.client();
            client.send(&statement("view", 1_200, ""));
            let ends = &ends;
            scope.spawn(move || read_slowly(client, Reader::steady(kib_per_second), ends));
        }
        thread::sleep(BUFFERED_WITHIN);
        ends.store(true, Ordering::SeqCst);
        assert_eq!(
            given.load(Ordering::SeqCst),
            0,
            "values that the systems have taken whole: {}",
            gateway.log()
        );
    });
}

// Guards against: send and receive buffers of the system that clients which take nothing make grow beyond the limit of memory.
#[test]
fn what_the_system_holds_for_slow_readers_stays_within_its_part_of_the_memory() {
    const CLIENTS: usize = 160;
    const CROWD_VALUE: usize = 1024 * KIB;
    /// Four parts of 32 for bytes to clients; as much for bytes of db hosts, which the system counts twice with its own structures.
    const PART: usize = LIMITS.memory_mb as usize * KIB * KIB / 8;
    let given = Arc::default();
    let (primary, replica) =
        (counting_host(true, CROWD_VALUE, &given), counting_host(false, CROWD_VALUE, &given));
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut client = gateway.client();
            client.send(&statement("view", 1_200, ""));
            thread::sleep(Duration::from_millis(10));
            client
        })
        .collect();
    thread::sleep(BUFFERED_WITHIN);
    let begun = clients.iter().filter(|client| has_begun(client)).count();
    let unsent = system_queues(|local, _| local == gateway.addr.port()).unsent;
    let hosts = [primary.addr.port(), replica.addr.port()];
    let unread = system_queues(|_, remote| hosts.contains(&remote)).unread;
    assert!(begun > CLIENTS * 3 / 4, "{begun} begun: {}", gateway.log());
    assert!(unsent <= PART, "{unsent} bytes to {begun} clients, {PART} allowed");
    assert!(unread <= 2 * PART, "{unread} bytes of db hosts for {begun} clients, {PART} allowed twice");
}

// Guards against: ordinary clients that are refused or kept waiting because slow readers hold all other connections to db hosts.
#[test]
fn others_are_served_while_slow_readers_hold_all_other_connections() {
    /// Descriptors for twelve clients and as many connections to db hosts, beside a console's.
    const FEW: Limits = Limits { memory_mb: 32, sockets: 64 };
    const READERS: usize = 11;
    /// The list of these tests lasts 6 s.
    const ASKED_FOR: Duration = Duration::from_secs(3);
    const LONG: &str = "long";
    let answers = [true, false].map(|primary| {
        let role = if primary { "primary" } else { "replica" };
        (primary, served_value(role, &vec![7; PAGE_VALUE]))
    });
    let [primary, replica] = answers.map(|(primary, long)| {
        Host::start(move |query| match query.contains(LONG) {
            true => Do::Say(long.clone()),
            false => well(primary, query),
        })
    });
    let gateway = Gateway::limited(&pair(&primary, &replica), None, FEW);
    let mut ordinary = gateway.client();
    let ends = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..READERS {
            let mut client = gateway.client();
            client.send(&statement("view", 1_200, &format!(",key={LONG}")));
            let ends = &ends;
            scope.spawn(move || read_slowly(client, Reader::steady(60), ends));
            thread::sleep(Duration::from_millis(50));
        }
        let start = Instant::now();
        let (mut served, mut asked) = (0, 0);
        while start.elapsed() < ASKED_FOR {
            let answer = ordinary.ask(&statement("view", 1_200, ""));
            asked += 1;
            served += usize::from(answer == b"TDCZ");
            thread::sleep(Duration::from_millis(20));
        }
        let held = gateway.figure("svc_host_connections");
        ends.store(true, Ordering::SeqCst);
        assert!(held > READERS as u64, "{held} connections to db hosts: {}", gateway.log());
        assert_eq!(served, asked, "{}", gateway.refusals());
    });
}

// Guards against: a value that is cut off as the process ends, which its system would have gone on with alone.
#[test]
fn a_process_that_ends_leaves_the_rest_to_the_system() {
    /// What systems take of one connection with their usual limits.
    const BUFFERED_VALUE: usize = 256 * KIB;
    /// From SIGTERM to SIGKILL: the longest deadline and 0.7 s (protocol page).
    const KILLED_AFTER: Duration = Duration::from_millis(3_700);
    let given = Arc::default();
    let (primary, replica) =
        (counting_host(true, BUFFERED_VALUE, &given), counting_host(false, BUFFERED_VALUE, &given));
    let mut gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let mut client = gateway.client();
    client.send(&statement("view", 1_200, ""));
    let reader = thread::spawn(move || {
        let reader = Reader::steady(20);
        let (mut bytes, mut buffer) = (0, vec![0; reader.piece]);
        while bytes < BUFFERED_VALUE {
            match client.stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(len) => bytes += len,
            }
            thread::sleep(reader.pause);
        }
        bytes
    });
    thread::sleep(Duration::from_secs(1));
    gateway.terminate();
    thread::sleep(KILLED_AFTER);
    gateway.kill();
    let bytes = reader.join().unwrap();
    assert!(bytes >= BUFFERED_VALUE, "{bytes} of {BUFFERED_VALUE}: {}", gateway.log());
}

// Guards against: a very slow reader that is given up although its system has taken more again and again.
#[test]
fn a_very_slow_reader_that_has_taken_more_is_kept() {
    const KEPT_FOR: Duration = Duration::from_secs(45);
    let (primary, replica) = (host(true), host(false));
    let gateway = Gateway::limited(&pair(&primary, &replica), None, LIMITS);
    let ends = AtomicBool::new(false);
    thread::scope(|scope| {
        for kib_per_second in [8, 10, 13] {
            let mut client = gateway.client();
            client.send(&statement("view", 1_200, ""));
            let ends = &ends;
            scope.spawn(move || read_slowly(client, Reader::steady(kib_per_second), ends));
        }
        thread::sleep(KEPT_FOR);
        let closed = given_up(&gateway);
        ends.store(true, Ordering::SeqCst);
        assert_eq!(closed, 0, "{}", gateway.log());
    });
}
