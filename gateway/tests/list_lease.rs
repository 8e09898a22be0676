//! A change of the list counts as told 6 s after it was made, whether or not a list has come since. The cases of each test run
//! side by side.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::calls::{hang, say, Calls};
use common::pair::{read_until, RecordedPair};
use common::*;

const SETTINGS: &str = include_str!("common/settings.json");
/// From a change on.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What a drain has, with the slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How long nothing may be sent in these tests.
const WITHOUT_LIST: Duration = Duration::from_millis(2_500);

/// The first half of a watch's first list.
fn half(list: &str) -> String {
    let whole = watch(&[list]);
    whole[..whole.len() - list.len() / 2].to_owned()
}

/// Discovery whose first watch falls silent after its list; later calls are answered in a broken way until it is mended.
struct FaultyDiscovery {
    calls: Calls,
    silent_at: Arc<Mutex<Option<Instant>>>,
    mended: Arc<AtomicBool>,
}

impl FaultyDiscovery {
    fn start(hosts: &RecordedPair, broken: fn(&mut TcpStream, &str)) -> Self {
        let (silent_at, mended) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
        let (first, whole) = (watch(&[&list(41, false, &[])]), hosts.list(42, false, "Terminating"));
        let (silence, now_whole) = (Arc::clone(&silent_at), Arc::clone(&mended));
        let calls = Calls::start(move |_, stream| {
            let begins = silence.lock().unwrap().is_none().then(Instant::now);
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
        Self { calls, silent_at, mended }
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

#[test]
fn drained_servers_get_nothing_after_reloads_in_a_row() {
    side_by_side(&[
        ("calls that break off", || with_reloads(break_off)),
        ("calls that stall", || with_reloads(stall)),
    ]);
}
