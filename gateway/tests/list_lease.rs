//! A change of the list counts as told 6 s after it was made, whether or not a list has come since. The cases of each test run
//! side by side.

mod common;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::calls::{hang, say, unanswering, Calls};
use common::pair::{read_until, Reads, RecordedPair};
use common::*;
use rustix::net::{bind, getsockname, socket, AddressFamily, SocketType};

const SETTINGS: &str = include_str!("common/settings.json");
/// From a change on.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What a drain has, with the slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How long a discovery is out of reach.
const OUTAGE: Duration = Duration::from_secs(30);
/// Of reads, for as long as it lasts.
const MIN_SERVED_PERCENT: usize = 90;
/// How long nothing may be sent in these tests.
const WITHOUT_LIST: Duration = Duration::from_millis(2_500);

/// The first half of a watch's first list.
fn half(list: &str) -> String {
    let whole = watch(&[list]);
    whole[..whole.len() - list.len() / 2].to_owned()
}

const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// A call that waits longer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long discovery is up in a test of its return, so that the first call of the outage is not delayed by the one before.
const FIRST_WATCH: Duration = Duration::from_secs(4);

/// An empty line on a watch each second.
fn say_empty_lines(stream: &mut TcpStream, until: Instant) {
    while Instant::now() < until {
        thread::sleep(until.saturating_duration_since(Instant::now()).min(Duration::from_secs(1)));
        say(stream, "1\r\n\n\r\n");
    }
}

/// Discovery whose first watch falls silent after its list; later calls are answered in a broken way until it is mended.
struct FaultyDiscovery {
    calls: Calls,
    called: Arc<AtomicBool>,
    /// From when on the change counts that it has not told.
    silent_at: Arc<Mutex<Option<Instant>>>,
    mended: Arc<AtomicBool>,
}

impl FaultyDiscovery {
    fn start(hosts: &RecordedPair, broken: fn(&mut TcpStream, &str)) -> Self {
        Self::start_late(hosts, Duration::ZERO, broken)
    }

    /// One that sends the first list so long after it was asked.
    fn start_late(hosts: &RecordedPair, wait: Duration, broken: fn(&mut TcpStream, &str)) -> Self {
        let (silent_at, mended) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
        let (first, whole) = (watch(&[&list(41, false, &[])]), hosts.list(42, false, "Terminating"));
        let (silence, now_whole) = (Arc::clone(&silent_at), Arc::clone(&mended));
        let called = Arc::new(AtomicBool::new(false));
        let has_called = Arc::clone(&called);
        let calls = Calls::start(move |_, stream| {
            has_called.store(true, Ordering::SeqCst);
            let first_call = silence.lock().unwrap().is_none();
            thread::sleep(if first_call { wait } else { Duration::ZERO });
            let begins = first_call.then(Instant::now);
            if begins.is_some() {
                say(stream, &first);
                *silence.lock().unwrap() = begins;
            } else if now_whole.load(Ordering::SeqCst) {
                say(stream, &watch(&[&whole]));
            } else {
                return broken(stream, &whole);
            }
            hang();
        });
        Self { calls, called, silent_at, mended }
    }

    /// One that goes down a while after its first list, and comes back with too many callers after so long: of the calls
    /// made then every third one is turned away at once, and all others wait in vain.
    fn start_down(hosts: &RecordedPair, outage: Duration) -> Self {
        let (first, whole) = (watch(&[&list(41, false, &[])]), hosts.list(42, false, "Terminating"));
        let down_at = Instant::now() + FIRST_WATCH;
        let back_at = down_at + outage;
        let (called, mended) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
        let (now_whole, calls_since_back) = (Arc::clone(&mended), AtomicUsize::new(0));
        let calls = Calls::start(move |number, stream| {
            if number == 0 {
                say(stream, &first);
                return say_empty_lines(stream, down_at);
            }
            if now_whole.load(Ordering::SeqCst) {
                say(stream, &watch(&[&whole]));
                return hang();
            }
            let until_back = back_at.saturating_duration_since(Instant::now());
            let back = until_back.is_zero();
            let turned_away = back && calls_since_back.fetch_add(1, Ordering::SeqCst) % 3 == 1;
            if !turned_away {
                thread::sleep(if back { CALL_TIMEOUT } else { until_back.min(CALL_TIMEOUT) });
            }
            say(stream, UNAVAILABLE);
        });
        Self { calls, called, silent_at: Arc::new(Mutex::new(Some(back_at))), mended }
    }

    /// Another address that is broken from the first call on.
    fn another(&self, hosts: &RecordedPair, broken: fn(&mut TcpStream, &str)) -> SocketAddr {
        let whole = hosts.list(42, false, "Terminating");
        let mended = Arc::clone(&self.mended);
        let calls = Calls::start(move |_, stream| match mended.load(Ordering::SeqCst) {
            true => {
                say(stream, &watch(&[&whole]));
                hang();
            }
            false => broken(stream, &whole),
        });
        calls.addr
    }

    fn silent_at(&self) -> Instant {
        until(|| self.silent_at.lock().unwrap().is_some(), || "no call".to_owned());
        self.silent_at.lock().unwrap().unwrap()
    }
}

fn break_off(stream: &mut TcpStream, list: &str) {
    say(stream, &half(list));
}

fn stall(stream: &mut TcpStream, list: &str) {
    say(stream, &half(list));
    hang();
}

/// Nothing is sent from the end of the grace on; once a list has come, requests are served again.
fn nothing_is_sent_without_a_list(hosts: &RecordedPair, discovery: &FaultyDiscovery, gateway: &Gateway) {
    let (mark, end) =
        (discovery.silent_at() + TOLD_AFTER + DRAIN_GRACE, Instant::now() + Duration::from_secs(30));
    let before = read_until(gateway, Instant::now(), mark);
    let during = read_until(gateway, mark, mark + WITHOUT_LIST);
    let arrivals = hosts.arrivals(mark, WITHOUT_LIST);
    assert!(before.served > 100, "served while the list is current: {before:?}: {}", gateway.log());
    assert!(
        arrivals.is_empty(),
        "{} requests sent past the bound, {arrivals:?}: {}",
        arrivals.len(),
        gateway.log()
    );
    assert!(during.served == 0 && during.refused > 0, "{during:?}");
    discovery.mended.store(true, Ordering::SeqCst);
    until(
        || {
            read_until(gateway, Instant::now(), (Instant::now() + Duration::from_millis(300)).min(end)).served
                > 0
        },
        || format!("served again: {}", gateway.log()),
    );
}

fn without_reload(broken: fn(&mut TcpStream, &str)) {
    let hosts = RecordedPair::new();
    let discovery = FaultyDiscovery::start(&hosts, broken);
    let gateway = hosts.gateway(discovery.calls.addr, SETTINGS);
    nothing_is_sent_without_a_list(&hosts, &discovery, &gateway);
}

fn with_reloads(broken: fn(&mut TcpStream, &str)) {
    const RELOAD_INTERVAL: Duration = Duration::from_millis(700);
    const RELOADS: u32 = 16;
    let hosts = RecordedPair::new();
    let discovery = FaultyDiscovery::start(&hosts, broken);
    let gateway = hosts.gateway(discovery.calls.addr, SETTINGS);
    let others = [discovery.another(&hosts, broken), discovery.another(&hosts, broken)];
    let first = discovery.silent_at() + Duration::from_secs(1);
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0..RELOADS {
                thread::sleep((first + RELOAD_INTERVAL * number).saturating_duration_since(Instant::now()));
                let next = others[number as usize % others.len()];
                gateway.reload(&gateway.discovery.to_string(), &next.to_string());
            }
        });
        nothing_is_sent_without_a_list(&hosts, &discovery, &gateway);
    });
}

#[test]
fn drained_servers_get_nothing_when_no_call_brings_a_list_in_time() {
    side_by_side(&[
        ("calls that break off", || without_reload(break_off)),
        ("calls that stall", || without_reload(stall)),
    ]);
}

// Guards against: a lease of the list that counts from when a starved gateway reads the list, not from when it came.
#[test]
fn drained_servers_get_nothing_after_a_list_that_was_read_late() {
    const STOPPED_AFTER_LIST: Duration = Duration::from_secs(2);
    let hosts = RecordedPair::new();
    let discovery = FaultyDiscovery::start_late(&hosts, Duration::from_secs(1), break_off);
    let gateway = hosts.gateway(discovery.calls.addr, SETTINGS);
    until(|| discovery.called.load(Ordering::SeqCst), || "no call".to_owned());
    gateway.signal("-STOP");
    let list_came = discovery.silent_at();
    thread::sleep((list_came + STOPPED_AFTER_LIST).saturating_duration_since(Instant::now()));
    gateway.signal("-CONT");
    nothing_is_sent_without_a_list(&hosts, &discovery, &gateway);
}

#[test]
fn drained_servers_get_nothing_after_reloads_in_a_row() {
    side_by_side(&[
        ("calls that break off", || with_reloads(break_off)),
        ("calls that stall", || with_reloads(stall)),
    ]);
}

/// Discovery comes back after so long.
fn back_and_crowded<const OUTAGE_MS: u64>() {
    let hosts = RecordedPair::new();
    let discovery = FaultyDiscovery::start_down(&hosts, Duration::from_millis(OUTAGE_MS));
    let gateway = hosts.gateway(discovery.calls.addr, SETTINGS);
    nothing_is_sent_without_a_list(&hosts, &discovery, &gateway);
}

// Guards against: a discovery with too many callers that passes for one that is still down.
#[test]
fn drained_servers_get_nothing_when_discovery_comes_back_crowded() {
    side_by_side(&[
        ("back after 2.4 s", back_and_crowded::<2_400>),
        ("back after 3.2 s", back_and_crowded::<3_200>),
        ("back after 4.0 s", back_and_crowded::<4_000>),
        ("back after 4.8 s", back_and_crowded::<4_800>),
        ("back after 5.6 s", back_and_crowded::<5_600>),
        ("back after 6.4 s", back_and_crowded::<6_400>),
        ("back after 7.2 s", back_and_crowded::<7_200>),
        ("back after 8.0 s", back_and_crowded::<8_000>),
    ]);
}

/// Reads are sent on in at least so many of a hundred spans of 250 ms.
fn served_without_discovery(discovery: SocketAddr, hosts: &RecordedPair, percent: usize) {
    const SPAN: Duration = Duration::from_millis(250);
    let gateway = hosts.gateway(discovery, SETTINGS);
    let start = Instant::now();
    read_until(&gateway, start, start + OUTAGE);
    let arrivals = hosts.arrivals(start, OUTAGE);
    let with_reads: BTreeSet<u128> = arrivals.iter().map(|at| at.as_millis() / SPAN.as_millis()).collect();
    let spans = OUTAGE.as_millis() / SPAN.as_millis();
    let without: Vec<u128> = (0..spans).filter(|span| !with_reads.contains(span)).collect();
    let most = spans * (100 - percent as u128) / 100;
    assert!(without.len() as u128 <= most, "no read in spans {without:?}: {}", gateway.log());
}

/// An address at which nobody listens, and the socket that keeps it from others.
fn unused_address() -> (OwnedFd, SocketAddr) {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = getsockname(&socket).unwrap().try_into().unwrap();
    (socket, addr)
}

fn connections_refused() {
    let hosts = RecordedPair::new();
    let (_kept, unused) = unused_address();
    served_without_discovery(unused, &hosts, 100);
}

/// A listener whose queue is full: connections do not come up.
fn connections_that_do_not_come_up() {
    let hosts = RecordedPair::new();
    let listener = unanswering();
    let addr = listener.local_addr().unwrap();
    let _filling: Vec<_> = (0..4).map(|_| thread::spawn(move || TcpStream::connect(addr))).collect();
    thread::sleep(Duration::from_millis(100));
    served_without_discovery(addr, &hosts, 100);
}

/// Nothing is sent between the end of the lease and the moment at which discovery is taken to be out of reach.
fn calls_that_wait_and_fail() {
    let hosts = RecordedPair::new();
    let discovery = Calls::start(|_, stream| {
        thread::sleep(CALL_TIMEOUT);
        say(stream, UNAVAILABLE);
    });
    served_without_discovery(discovery.addr, &hosts, MIN_SERVED_PERCENT);
}

/// The end of the wait of one call ends all that have been made since.
fn calls_that_end_together() {
    let hosts = RecordedPair::new();
    let made = Mutex::new(Vec::new());
    let discovery = Calls::start(move |_, stream| {
        let called = Instant::now();
        let ends = {
            let mut made = made.lock().unwrap();
            made.push(called);
            let ends = made.iter().map(|call| *call + CALL_TIMEOUT);
            ends.filter(|end| *end > called).min().unwrap()
        };
        thread::sleep(ends.saturating_duration_since(Instant::now()));
        say(stream, UNAVAILABLE);
    });
    served_without_discovery(discovery.addr, &hosts, MIN_SERVED_PERCENT);
}

#[test]
fn reads_are_served_while_discovery_is_out_of_reach() {
    side_by_side(&[
        ("connections that are refused", connections_refused),
        ("connections that do not come up", connections_that_do_not_come_up),
        ("calls that wait and fail", calls_that_wait_and_fail),
        ("calls that end together", calls_that_end_together),
    ]);
}

// Guards against: a new process that sends to a draining db host, as it knows only the list in its configuration and discovery
// turns its calls away, while the process before it has been told.
#[test]
fn a_new_process_without_a_list_of_its_own_sends_nothing_past_two_seconds_after_its_yes() {
    let (reads, log) = reads_of_a_new_process_once_it_has_a_list();
    let percent = 100 * reads.served / (reads.served + reads.refused);
    assert!(percent >= MIN_SERVED_PERCENT, "since the list has come: {reads:?} {log}");
}

// Guards against: requests of a new process that are refused after its list has come, for whatever reason.
#[test]
fn a_new_process_refuses_nothing_once_its_list_has_come() {
    let (reads, log) = reads_of_a_new_process_once_it_has_a_list();
    assert!(reads.served > 0 && reads.refused == 0, "since the list has come: {reads:?} {log}");
}

/// Replaces a process while discovery turns calls away, checks what the new one sends without a list, and reads through it
/// once it has one.
fn reads_of_a_new_process_once_it_has_a_list() -> (Reads, String) {
    /// What counts so long after the yes, with the slack on sockets.
    const BINDING_AFTER: Duration = Duration::from_millis(2_000 + 50);
    const TURNED_AWAY_FOR: Duration = Duration::from_millis(4_500);
    let hosts = Arc::new(RecordedPair::new());
    let (first, whole) = (watch(&[&list(41, false, &[])]), hosts.list(42, true, "Terminating"));
    let replaced_at = Arc::new(Mutex::new(None::<Instant>));
    let since = Arc::clone(&replaced_at);
    let calls = Calls::start(move |_, stream| {
        let since: Option<Instant> = *since.lock().unwrap();
        match since {
            None => {
                say(stream, &first);
                hang();
            }
            Some(at) if at.elapsed() < TURNED_AWAY_FOR => say(stream, UNAVAILABLE),
            Some(_) => {
                say(stream, &watch(&[&whole]));
                hang();
            }
        }
    });
    let old = hosts.operated_gateway(calls.addr);
    old.logs("list received");
    *replaced_at.lock().unwrap() = Some(Instant::now());
    let new = old.replacement();
    let yes = Instant::now();
    // Until then the old process may take a connection, and closes it behind an answer.
    old.logs("a newer process serves");
    old.terminate();
    let turned_away_until = yes + TURNED_AWAY_FOR;
    read_until(&new, turned_away_until, turned_away_until);
    assert!(!hosts.arrivals(yes, BINDING_AFTER).is_empty(), "up to then it sends");
    let sent = hosts.arrivals(yes + BINDING_AFTER, TURNED_AWAY_FOR - BINDING_AFTER - DRAIN_GRACE);
    assert!(sent.is_empty(), "{} sends, the first {:?} past it: {}", sent.len(), sent.first(), new.log());
    // When it calls discovery again is its own affair.
    new.logs("list lease renewed");
    let refused_without_list = || new.figure("svc_refused_without_list");
    let (renewed, refused_before) = (Instant::now(), refused_without_list());
    let reads = read_until(&new, renewed, renewed + Duration::from_millis(500));
    assert_eq!(refused_without_list(), refused_before, "since the list has come: {reads:?} {}", new.log());
    (reads, format!("{}\n{}", new.refusals(), new.log()))
}
