//! Clients that leave, flood or stop reading: what the gateway still does for them, on real sockets.

mod common;

use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use client::{bind, execute, parse, sync};
use common::*;
use rustix::net::sockopt::set_socket_linger;

const SERVED: &[u8] = b"TDCZ";
const ERROR: &[u8] = b"EZ";
/// The first copy of a request breaks after this time, so that a second one is sent for a client that is still there.
const FIRST_COPY: Duration = Duration::from_millis(300);

/// A primary that never serves anything: each copy of a request breaks after [`FIRST_COPY`].
fn breaking() -> Host {
    Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::BreakLater(FIRST_COPY),
    })
}

/// How often a db host was asked something with this text in it.
fn copies(host: &Host, text: &str) -> usize {
    host.asked().iter().filter(|query| query.contains(text)).count()
}

/// The message of a simple query.
fn query(text: &str) -> Vec<u8> {
    frame(b'Q', &[text.as_bytes(), b"\0"].concat())
}

#[test]
fn a_client_that_leaves_behind_more_commands_than_are_read_is_seen_to_be_gone() {
    let (primary, replica) = (breaking(), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut gone = gateway.client();
    gone.send(&statement("order", 1_000, ",k=gone"));
    // Far more than is read while the first is out, so that the end of the connection lies behind unread bytes.
    let behind: Vec<u8> = (0..1_500).flat_map(|_| query(&statement("order", 1_000, ",k=behind"))).collect();
    gone.write(&behind);
    until(|| copies(&primary, "k=gone") == 1, || gateway.log());
    drop(gone);
    // One that is there gets a second copy, and an answer when its time is over: the mark that all is over.
    let mut there = gateway.client();
    assert_eq!(there.ask(&statement("order", 1_000, ",k=there")), ERROR);
    assert!(copies(&primary, "k=there") > 1, "{:?}", primary.asked());
    assert_eq!((copies(&primary, "k=gone"), copies(&primary, "k=behind")), (1, 0));
}

#[test]
fn a_client_that_closes_after_it_has_ended_its_sending_is_seen_to_be_gone() {
    let (primary, replica) = (breaking(), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut gone = gateway.client();
    gone.send(&statement("order", 1_000, ",k=gone"));
    gone.stream.shutdown(Shutdown::Write).unwrap();
    // The gateway has seen the end and asked whether somebody is there. Now nobody is, which no packet tells.
    assert_eq!(read_frame(&mut gone.stream).unwrap().0, b'N');
    drop(gone);
    let mut there = gateway.client();
    there.send(&statement("order", 1_000, ",k=there"));
    there.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(there.answer(), ERROR, "one that only ended its sending is answered");
    assert!(copies(&primary, "k=there") > 1, "{:?}", primary.asked());
    assert_eq!(copies(&primary, "k=gone"), 1, "{:?}", primary.asked());
}

#[test]
fn nothing_is_sent_for_a_client_that_leaves_while_its_connection_to_a_db_host_is_made_or_within_a_request() {
    let primary = Host::slow(Duration::from_millis(200), |query| well(true, query));
    let replica = Host::well(false);
    let gateway = Gateway::operated(&pair(&primary, &replica));
    let mut half = gateway.client();
    half.write(&query(&statement("order", 1_000, ",k=half"))[..60]);
    let mut gone = gateway.client();
    gone.send(&statement("order", 1_000, ",k=gone"));
    until(|| gateway.figure("svc_outstanding") == 1, || gateway.log());
    drop((half, gone));
    until(|| gateway.figure("svc_outstanding") == 0, || gateway.log());
    // The connection that was being made for it serves the next.
    assert_eq!(gateway.client().ask(&statement("order", 2_000, ",k=there")), SERVED);
    assert_eq!((primary.asked().len(), copies(&primary, "k=there")), (1, 1), "{:?}", primary.asked());
}

#[test]
fn hundreds_of_clients_that_leave_at_once_while_they_wait_get_no_attempt() {
    const CLIENTS: usize = 300;
    let hold = Arc::new(AtomicBool::new(true));
    let slow = |primary: bool| {
        let held = Arc::clone(&hold);
        Host::start(move |query| match well(primary, query) {
            Do::Say(bytes) if query != "SHOW load" => {
                while held.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                }
                Do::SayLater(Duration::from_millis(250), bytes)
            }
            other => other,
        })
    };
    let (primary, replica) = (slow(true), slow(false));
    let gateway = Gateway::operated(&pair(&primary, &replica));
    gateway.reload(r#""sockets":256"#, r#""sockets":1024"#);
    gateway.logs("SIGHUP: configuration read again");
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&statement("view", 1_200, "")));
    let asked = || primary.asked().len() + replica.asked().len();
    // Nothing is answered yet, so all are outstanding once all have been read.
    until(|| gateway.figure("svc_outstanding") as usize == CLIENTS && asked() > 0, || gateway.log());
    let waiting = CLIENTS - asked();
    drop(clients);
    thread::sleep(Duration::from_millis(100));
    let begun = asked();
    hold.store(false, Ordering::SeqCst);
    assert!(waiting > 50, "{waiting} waited, {begun} were sent");
    until(|| gateway.figure("svc_outstanding") == 0, || gateway.log());
    thread::sleep(Duration::from_millis(600));
    assert_eq!(asked(), begun, "of {waiting} that waited");
}

/// Time on a processor that a process has used.
fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    // Fields 14 and 15 of the line, in ticks of 10 ms.
    let ticks: u64 = fields[11..13].iter().map(|field| field.parse::<u64>().unwrap()).sum();
    Duration::from_millis(10 * ticks)
}

#[test]
fn a_pipeline_longer_than_is_read_ahead_waits_without_using_the_processor() {
    const ORDER: &str =
        "INSERT INTO items (id, doc) VALUES ($1, $2) RETURNING doc /* id=$3,c=order,d=3000,k=1,cluster=2 */";
    const ASKED: usize = 2_000;
    let hold = Arc::new(AtomicBool::new(true));
    let held = Arc::clone(&hold);
    let primary = Host::start(move |query| {
        while query != "SHOW load" && held.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        well(true, query)
    });
    let replica = Host::well(false);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), "postgres()\nhosts(protocol = 'extended')");
    let mut client = gateway.client();
    let one = |n: usize| {
        let id = format!("p{n}");
        [bind("", "o", &[Some("7f3a"), Some("doc"), Some(&id)]), execute("", 0)].concat()
    };
    let asked: Vec<u8> = (0..ASKED).flat_map(one).collect();
    assert!(asked.len() > 96 * 1024, "{}", asked.len());
    client.write(&[parse("o", ORDER, &[]), asked, sync()].concat());
    until(|| !primary.asked().is_empty(), || gateway.log());
    let before = processor_time(gateway.pid());
    thread::sleep(Duration::from_millis(300));
    let used = processor_time(gateway.pid()) - before;
    hold.store(false, Ordering::SeqCst);
    assert!(used < Duration::from_millis(150), "{used:?} in 300 ms");
    assert_eq!(client.answer().iter().filter(|kind| **kind == b'C').count(), ASKED, "all are answered");
}

/// A client, and what cancels its requests.
fn cancellable(gateway: &Gateway) -> (Client, Vec<u8>) {
    let mut client = Client::raw(gateway.addr);
    client.write(&startup());
    let mut key = Vec::new();
    loop {
        match read_frame(&mut client.stream).unwrap() {
            (b'K', body) => key = body,
            (b'Z', _) => return (client, key),
            _ => {}
        }
    }
}

/// Asks on a connection of its own to cancel what this key names, and waits for the end of that.
fn cancel(gateway: &Gateway, key: &[u8]) {
    let mut asks = Client::raw(gateway.addr);
    asks.write(&[&16_u32.to_be_bytes(), &80_877_102_u32.to_be_bytes(), key].concat());
    assert_eq!(asks.answer(), b"", "closed without a word");
}

#[test]
fn a_request_that_is_cancelled_just_after_its_send_is_answered_at_once_and_not_sent_again() {
    let (primary, replica) = (breaking(), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let (mut client, key) = cancellable(&gateway);
    client.send(&statement("order", 1_000, ",k=gone"));
    until(|| copies(&primary, "k=gone") == 1, || gateway.log());
    // Neither another key nor that of a connection with nothing out cancels it.
    let (_idle, idle) = cancellable(&gateway);
    cancel(&gateway, &idle);
    cancel(&gateway, &[&key[..4], &[key[4] ^ 1], &key[5..]].concat());
    cancel(&gateway, &[0; 8]);
    cancel(&gateway, &key);
    assert_eq!(client.answer(), ERROR);
    assert!(client.error.contains("|C40003|"), "it may have run: {}", client.error);
    // The connection goes on. One that is not cancelled gets its further copies: the mark that all is over.
    client.send(&statement("order", 1_000, ",k=there"));
    assert_eq!(client.answer(), ERROR);
    assert!(copies(&primary, "k=there") > 1, "{:?}", primary.asked());
    assert_eq!(copies(&primary, "k=gone"), 1, "{:?}", primary.asked());
}

#[test]
fn a_request_that_is_cancelled_just_before_its_send_is_never_sent_and_the_one_behind_it_is() {
    let slow = |primary: bool| Host::slow(Duration::from_millis(200), move |query| well(primary, query));
    let (primary, replica) = (slow(true), slow(false));
    let gateway = Gateway::operated(&pair(&primary, &replica));
    let (mut client, key) = cancellable(&gateway);
    let ask = |more: &str| query(&statement("view", 1_000, more));
    client.write(&[ask(",k=first"), ask(",k=second")].concat());
    // Its connection is being made.
    until(|| gateway.figure("svc_outstanding") == 1, || gateway.log());
    cancel(&gateway, &key);
    assert_eq!(client.answer(), ERROR);
    assert!(client.error.contains("|C57014|"), "it has not run: {}", client.error);
    assert_eq!(client.answer(), SERVED);
    let sent = |more| copies(&primary, more) + copies(&replica, more);
    assert_eq!((sent("k=first"), sent("k=second")), (0, 1), "{}", gateway.log());
}

// Guards against: a request that comes in many pieces refused at its last byte, as if it had waited since one in its middle.
#[test]
fn a_request_written_in_many_pieces_has_all_its_time_from_its_last_byte_on() {
    const PIECES: usize = 120;
    const WAIT_MS: u32 = 900;
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let writers: Vec<_> = [1, 60_000]
        .into_iter()
        .map(|value| {
            let mut client = gateway.client();
            let text = statement("order", WAIT_MS, ",k=pieces").replace("9f03", &"9f".repeat(value));
            let message = query(&text);
            thread::spawn(move || {
                for piece in message.chunks(message.len().div_ceil(PIECES)) {
                    client.write(piece);
                    thread::sleep(Duration::from_millis(20));
                }
                client.answer()
            })
        })
        .collect();
    for writer in writers {
        assert_eq!(writer.join().unwrap(), SERVED, "{}", gateway.log());
    }
    let told = |query: &String| {
        query.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse::<u32>().unwrap()
    };
    let asked = primary.asked();
    let times: Vec<u32> = asked.iter().filter(|query| query.contains("k=pieces")).map(told).collect();
    assert!(times.len() == 2 && times.iter().all(|left| *left > WAIT_MS / 2), "{times:?}");
}

/// Half of the memory for statements is not enough for two of these.
const LONG_VALUE: usize = 4 * 1024 * 1024;

/// Longer than it takes to read a long statement on, and shorter than anything that would end the wait by itself.
const READ_ON: Duration = Duration::from_secs(5);
/// How long the first statement's client waits for an answer that does not come.
const HELD_FOR_MS: u32 = 15_000;

/// Orders may take long, and are not repeated.
fn patient_settings() -> String {
    let settings = include_str!("common/settings.json");
    let patient = settings.replace("\"DeadlineMs\": 3000.0", "\"DeadlineMs\": 15000.0");
    patient.replace("\"deduplicated\"", "\"at_most_once\"")
}

/// The message of an order in a group, with a value of [`LONG_VALUE`] bytes.
fn long_order(group: u32, key: &str) -> Vec<u8> {
    let order = statement("order", HELD_FOR_MS, &format!(",k={key}"));
    let order = order.replace("cluster=2", &format!("cluster={group}"));
    query(&order.replace("9f03", &"9f".repeat(LONG_VALUE)))
}

/// One client that holds the memory for long statements, and another whose statement waits for that.
struct Waiting {
    primary: Host,
    _others: [Host; 2],
    gateway: Gateway,
    holds: Client,
    waits: thread::JoinHandle<Vec<u8>>,
}

impl Waiting {
    /// The first client has sent its statement, or a part of it, for a group whose primary never answers.
    fn start(whole: bool) -> Self {
        let (primary, replica) = (Host::well(true), Host::well(false));
        let hangs = Host::start(|query| match query.contains("k=holds") {
            true => Do::Nothing,
            false => well(true, query),
        });
        let entries = [
            entry("s-a", &primary, "primary", "Ready", 0),
            entry("s-b", &replica, "replica", "Ready", 0),
            entry("s-c", &hangs, "primary", "Ready", 0).replace("\"cell\":2", "\"cell\":3"),
        ];
        let gateway = Gateway::start_with(&list(41, true, &entries), &patient_settings());
        gateway.reload(r#""memory_mb":192"#, r#""memory_mb":32"#);
        gateway.logs("SIGHUP: configuration read again");
        let (mut holds, mut waits, mut mark) = (gateway.client(), gateway.client(), gateway.client());
        // What is answered tells that what was written before it has been read as far as it is read.
        let mut is_read = || assert_eq!(mark.ask(&statement("view", 1_200, "")), SERVED);
        let message = long_order(3, "holds");
        holds.write(if whole { &message } else { &message[..200_000] });
        until(|| !whole || copies(&hangs, "k=holds") == 1, || "it is not sent on".to_owned());
        is_read();
        let message = long_order(2, "waits");
        waits.write(&message[..100_000]);
        is_read();
        let waits = thread::spawn(move || {
            waits.write(&message[100_000..]);
            let answer = waits.answer();
            drop(mark);
            answer
        });
        thread::sleep(Duration::from_millis(200));
        assert!(!waits.is_finished() && copies(&primary, "k=waits") == 0, "there is no room for both");
        Self { primary, _others: [replica, hangs], gateway, holds, waits }
    }

    /// The one that waits is read on soon.
    fn is_served(waits: thread::JoinHandle<Vec<u8>>, primary: &Host, gateway: &Gateway) {
        let since = Instant::now();
        assert_eq!(waits.join().unwrap(), SERVED, "{}", gateway.log());
        assert!(since.elapsed() < READ_ON, "after {:?}", since.elapsed());
        assert_eq!(copies(primary, "k=waits"), 1);
    }
}

#[test]
fn a_long_statement_that_waits_for_memory_is_read_on_at_once_when_the_one_before_it_is_reset() {
    let Waiting { primary, _others, gateway, holds, waits } = Waiting::start(false);
    set_socket_linger(&holds.stream, Some(Duration::ZERO)).unwrap();
    drop(holds);
    Waiting::is_served(waits, &primary, &gateway);
}

#[test]
fn a_long_statement_that_waits_for_memory_is_read_on_at_once_when_a_reload_gives_more() {
    let Waiting { primary, _others, gateway, holds, waits } = Waiting::start(true);
    // As it was at the start.
    gateway.reload_text(gateway.config().as_bytes());
    Waiting::is_served(waits, &primary, &gateway);
    drop(holds);
}
