//! Memory that is set aside for long statements: who waits for it and how long, and when it is given back.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
/// The longest value that occurs; in a statement it stands in hexadecimal, twice as long.
const LONGEST_VALUE: usize = 4 * 1024 * 1024;
/// A value whose statement is just long enough that bytes are set aside for it.
const SHORTEST_VALUE: usize = 48 * 1024;
/// What the program itself takes of the memory, a build without optimization included.
const PROGRAM_KIB: usize = 8 * 1024;
/// How long the clients of orders wait.
const ORDER_WAIT_MS: u32 = 3_000;
/// The rules' slack: an answer that comes later counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn order_wait() -> Duration {
    Duration::from_millis(ORDER_WAIT_MS.into())
}

/// The message of an order with a value of so many bytes.
fn order(value: usize, more: &str) -> Vec<u8> {
    let text = statement("order", ORDER_WAIT_MS, more).replace("9f03", &"9f".repeat(value));
    frame(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// A gateway with so much memory before a primary of this script and a replica.
fn start(memory_mb: u32, primary: &Host, replica: &Host) -> Gateway {
    let gateway = Gateway::operated(&pair(primary, replica));
    gateway.reload(r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#));
    gateway.logs("SIGHUP: configuration read again");
    gateway
}

/// Writes these messages at once, and reads an answer to each.
fn pipeline(mut client: Client, messages: Vec<Vec<u8>>) -> thread::JoinHandle<Vec<Vec<u8>>> {
    thread::spawn(move || {
        let mut stream = client.stream.try_clone().unwrap();
        let expected = messages.len();
        let writer = thread::spawn(move || drop(std::io::Write::write_all(&mut stream, &messages.concat())));
        let answers = (0..expected).map(|_| client.answer()).collect();
        writer.join().unwrap();
        answers
    })
}

// Guards against: a client whose second long statement waits for the memory of its first, which has been answered; nobody's
// long statement was read for 20 s.
#[test]
fn two_long_statements_at_once_on_a_connection_do_not_wait_for_themselves() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    for (memory_mb, clients) in [(32, 1), (64, 2)] {
        let gateway = start(memory_mb, &primary, &replica);
        let pipelines: Vec<_> = (0..clients)
            .map(|_| {
                let messages = (0..2).map(|_| order(LONGEST_VALUE, ",k=long")).collect();
                pipeline(gateway.client(), messages)
            })
            .collect();
        for answers in pipelines {
            assert_eq!(answers.join().unwrap(), [SERVED, SERVED], "{memory_mb} MB: {}", gateway.log());
        }
        let (mut client, since) = (gateway.client(), Instant::now());
        client.write(&order(SHORTEST_VALUE, ",k=behind"));
        assert_eq!(client.answer(), SERVED, "{memory_mb} MB: {}", gateway.log());
        assert!(since.elapsed() < order_wait() + ANSWER_SLACK, "{memory_mb} MB: {:?}", since.elapsed());
    }
}

// Guards against: statements of clients that have left while their attempts are out, which were counted nowhere and together
// took the memory over its limit.
#[test]
fn statements_of_clients_that_leave_stay_within_the_memory_and_are_dropped_at_once() {
    const WORK: Duration = Duration::from_millis(900);
    for memory_mb in [32, 64, 192] {
        let primary = Host::start(|query| match query {
            "SHOW load" => well(true, query),
            _ => Do::SayLater(WORK, served("primary")),
        });
        let replica = Host::well(false);
        let gateway = start(memory_mb, &primary, &replica);
        let ends = Arc::new(AtomicBool::new(false));
        let peak = watch_memory(gateway.pid(), Arc::clone(&ends));
        for turn in 0..12 {
            let mut client = gateway.client();
            // Those beyond what may be out at a db host wait in the gateway, and are dropped there.
            client.write(&order(LONGEST_VALUE, &format!(",k=turn{turn}")));
            thread::sleep(Duration::from_millis(40));
            drop(client);
        }
        let free = || gateway.figure("svc_statement_bytes") == 0;
        let since = Instant::now();
        until(free, || gateway.log());
        assert!(since.elapsed() < WORK / 2, "before their db hosts have answered: {:?}", since.elapsed());
        ends.store(true, Ordering::SeqCst);
        let peak = peak.join().unwrap() >> 10;
        let most = memory_mb as usize * 1024 - PROGRAM_KIB;
        assert!(peak < most, "{memory_mb} MB: {peak} KiB beside the program, of {most}");
    }
}

// Guards against: a long statement kept for as long as its client takes to read the value that came of it.
#[test]
fn a_statement_is_dropped_when_its_value_begins_to_be_passed_on() {
    const VALUE: usize = 8 * 1024 * 1024;
    let primary = Host::start(|query| match query.contains("k=slow") {
        true => Do::Say(served_value("primary", &vec![7; VALUE])),
        false => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = start(32, &primary, &replica);
    let mut slow = gateway.client();
    slow.write(&order(LONGEST_VALUE, ",k=slow"));
    until(|| primary.asked().iter().any(|query| query.contains("k=slow")), || gateway.log());
    let (mut client, since) = (gateway.client(), Instant::now());
    client.write(&order(LONGEST_VALUE, ",k=behind"));
    assert_eq!(client.answer(), SERVED, "{}", gateway.log());
    assert!(since.elapsed() < order_wait(), "while the value is not read: {:?}", since.elapsed());
    assert_eq!(slow.answer(), SERVED);
}

// Holds the console's figure against the memory that the process has.
#[test]
fn the_figure_of_statement_bytes_tells_what_statements_take() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::Nothing,
    });
    let replica = Host::well(false);
    let gateway = start(192, &primary, &replica);
    let beside_program = || {
        let (all, program) = resident(gateway.pid());
        all - program
    };
    let before = beside_program();
    assert_eq!(gateway.figure("svc_statement_bytes"), 0);
    let clients: Vec<_> = (0..4)
        .map(|turn| {
            let mut client = gateway.client();
            client.write(&order(LONGEST_VALUE, &format!(",k=turn{turn}")));
            client
        })
        .collect();
    until(|| gateway.figure("svc_outstanding") == 4, || gateway.log());
    let taken = beside_program() - before;
    let told = gateway.figure("svc_statement_bytes") as usize;
    assert!(told.abs_diff(taken) < 2 * 1024 * 1024, "told {told}, taken {taken}");
    drop(clients);
    until(|| gateway.figure("svc_statement_bytes") == 0, || gateway.log());
}

/// Writes a message in pieces over this time.
fn write_slowly(mut client: Client, message: Vec<u8>, over: Duration) -> thread::JoinHandle<Vec<u8>> {
    const PIECES: usize = 60;
    thread::spawn(move || {
        for piece in message.chunks(message.len() / PIECES) {
            client.write(piece);
            thread::sleep(over / PIECES as u32);
        }
        client.answer()
    })
}

// Guards against: check-ins of a usual length that wait, without a deadline, behind long statements that are written slowly.
#[test]
fn slow_writers_of_long_statements_hold_up_only_what_does_not_fit_beside_them() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    for memory_mb in [32, 64] {
        let gateway = start(memory_mb, &primary, &replica);
        let slow: Vec<_> = (0..3)
            .map(|_| write_slowly(gateway.client(), order(LONGEST_VALUE, ",k=slow"), order_wait() / 2))
            .collect();
        until(|| gateway.figure("svc_statements_waiting") > 0, || gateway.log());
        let usual: Vec<_> = (0..12)
            .map(|_| {
                let mut client = gateway.client();
                let since = Instant::now();
                client.write(&order(SHORTEST_VALUE, ",k=usual"));
                thread::spawn(move || (client.answer(), since.elapsed()))
            })
            .collect();
        for client in usual {
            let (answer, took) = client.join().unwrap();
            assert_eq!(answer, SERVED, "{memory_mb} MB: {}", gateway.log());
            assert!(took < order_wait() / 4, "{memory_mb} MB: beside them, not behind them: {took:?}");
        }
        for client in slow {
            assert_eq!(client.join().unwrap(), SERVED, "{memory_mb} MB: {}", gateway.log());
        }
    }
}

/// A gateway of 32 MB of which one client holds nearly all memory for statements with a request that is not answered.
fn start_full() -> (Gateway, Client, [Host; 2]) {
    let primary = Host::start(|query| match query.contains("k=holds") {
        true => Do::Nothing,
        false => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = start(32, &primary, &replica);
    let mut holds = gateway.client();
    holds.write(&order(LONGEST_VALUE, ",k=holds"));
    until(|| gateway.figure("svc_outstanding") == 1, || gateway.log());
    (gateway, holds, [primary, replica])
}

/// A value whose statement does not fit beside the longest, and which a client's system takes whole.
const WAITING_VALUE: usize = 3 * 1024 * 1024 / 2;

// Guards against: requests that lie unread until their clients have given up, and what lies behind them on the connection.
#[test]
fn a_statement_for_which_there_is_no_memory_is_refused_in_time_and_its_connection_goes_on() {
    let (gateway, holds, _hosts) = start_full();
    let (client, since) = (gateway.client(), Instant::now());
    let behind = frame(b'Q', &[statement("view", 1_200, "").as_bytes(), b"\0"].concat());
    let answers = pipeline(client, vec![order(WAITING_VALUE, ",k=waits"), behind]).join().unwrap();
    let took = since.elapsed();
    assert_eq!(answers, [&b"EZ"[..], SERVED], "{}", gateway.log());
    assert!(
        took > order_wait() / 3 && took < order_wait() * 3 / 4,
        "it waits for half of its time: {took:?}"
    );
    assert_eq!(gateway.figure(r#"svc_results{service="",disposition="declined"}"#), 1);
    assert_eq!(gateway.figure("svc_statements_waiting"), 0);
    drop(holds);
}

// Guards against: clients that stop within a message which is thrown away, and stay.
#[test]
fn one_that_stops_within_a_statement_that_is_refused_unread_is_told_so_and_closed() {
    let (gateway, _holds, _hosts) = start_full();
    let mut stops = gateway.client();
    stops.write(&order(WAITING_VALUE, ",k=stops")[..200_000]);
    let since = Instant::now();
    assert_eq!(stops.answer(), b"E", "{}", gateway.log());
    assert!(stops.error.contains("53300"), "{}", stops.error);
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}

// Guards against: requests that the old process of a replacement never answers, as they wait for memory that it has handed on.
#[test]
fn a_statement_beyond_the_memory_of_a_process_that_is_replaced_is_refused_at_once() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let mut old = start(64, &primary, &replica);
    let mut clients: Vec<_> = (0..6).map(|_| old.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.ask(&statement("view", 1_200, "")), SERVED));
    let new = old.replacement();
    old.logs("a newer process serves");
    old.terminate();
    old.logs("SIGTERM: draining");
    let since = Instant::now();
    let writers: Vec<_> =
        clients.into_iter().map(|client| pipeline(client, vec![order(WAITING_VALUE, ",k=late")])).collect();
    for writer in writers {
        assert_eq!(writer.join().unwrap(), [b"EZ"], "{}", old.log());
    }
    assert!(since.elapsed() < order_wait() / 3, "{:?}", since.elapsed());
    assert_eq!(pipeline(new.client(), vec![order(WAITING_VALUE, ",k=new")]).join().unwrap(), [SERVED]);
    assert!(old.wait().success(), "{}", old.log());
}

// Guards against: a process that is killed, or ends, over statements which wait for memory when SIGTERM comes.
#[test]
fn statements_that_wait_for_memory_after_sigterm_are_answered_before_the_process_may_be_killed() {
    /// The longest deadline that the platform waits for, and 0.7 s, after SIGTERM.
    const MAY_BE_KILLED_AFTER: Duration = Duration::from_millis(3_700);
    const ANSWERED_AFTER: Duration = Duration::from_secs(1);
    const PATIENT_WAIT_MS: u32 = 15_000;
    let primary = Host::start(|query| match query {
        query if query.contains("k=holds") => Do::Nothing,
        query if query.contains("k=before") => Do::SayLater(ANSWERED_AFTER, served("primary")),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let settings = include_str!("common/settings.json");
    let patient = settings.replace("\"DeadlineMs\": 3000.0", "\"DeadlineMs\": 15000.0");
    let patient = patient.replace("\"deduplicated\"", "\"at_most_once\"");
    let gateway = Gateway::start_with(&pair(&primary, &replica), &patient);
    gateway.reload(r#""memory_mb":192"#, r#""memory_mb":32"#);
    gateway.logs("SIGHUP: configuration read again");
    let long = |value: usize, more: &str| {
        let text = statement("order", PATIENT_WAIT_MS, more).replace("9f03", &"9f".repeat(value));
        frame(b'Q', &[text.as_bytes(), b"\0"].concat())
    };
    let mut holds = gateway.client();
    holds.write(&long(LONGEST_VALUE, ",k=holds"));
    until(|| primary.asked().iter().any(|query| query.contains("k=holds")), || gateway.log());
    let mut clients: Vec<_> = (0..3).map(|_| gateway.client()).collect();
    let told = Instant::now();
    gateway.terminate();
    gateway.logs("SIGTERM: draining");
    // The first is on its way at once, so that its connection stays; what waits comes behind it.
    let messages = || vec![long(1, ",k=before"), long(WAITING_VALUE, ",k=waits")];
    let waiting: Vec<_> = clients.drain(..).map(|client| pipeline(client, messages())).collect();
    for client in waiting {
        assert_eq!(client.join().unwrap(), [SERVED, b"EZ"], "{}", gateway.log());
        assert!(told.elapsed() < MAY_BE_KILLED_AFTER, "{:?}", told.elapsed());
    }
}
