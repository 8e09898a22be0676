//! Clients that fill the descriptors: what discovery, db hosts and the listener keep, on real sockets.

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::calls::{hang, say, Calls};
use common::*;

const SERVED: &[u8] = b"TDCZ";
const SETTINGS: &str = include_str!("common/settings.json");
const FAILED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Descriptors of the gateway, far fewer than the clients that come.
const LIMIT: usize = 64;
const IDLE_CLIENTS: usize = 300;
/// From the change of a list on: when it counts as told, and when a drain holds.
const TOLD: Duration = Duration::from_secs(6);
const DRAIN: Duration = Duration::from_millis(250 + 50);

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nobody_else_out() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let (up, drain) = (Arc::new(AtomicBool::new(false)), entry("s-b", &replica, "replica", "Terminating", 0));
    let (is_up, drained) = (Arc::clone(&up), watch(&[&list(42, false, &[drain])]));
    let discovery = Calls::on(TcpListener::bind("127.0.0.1:0").unwrap(), move |_, stream| {
        if is_up.load(Ordering::SeqCst) {
            say(stream, &drained);
            hang();
        }
        say(stream, FAILED);
    });
    let gateway = Gateway::told_by(discovery.addr, &pair(&primary, &replica), SETTINGS);
    gateway.reload(r#""sockets":256"#, &format!(r#""sockets":{LIMIT}"#));
    gateway.logs("SIGHUP: configuration read again");
    // Half say nothing at all, half no more than their startup message; they stay as long as they may.
    let idle: Vec<Client> = (0..IDLE_CLIENTS)
        .map(|n| {
            let mut client = Client::raw(gateway.addr);
            if n % 2 == 0 {
                let _ = client.stream.write_all(&startup());
            }
            client
        })
        .collect();
    until(|| descriptors(gateway.pid()) >= LIMIT / 2, || format!("{} held", descriptors(gateway.pid())));
    // They never take more than their share, while places are free for the db hosts, discovery and the listener.
    let most = (0..100).map(|_| {
        std::thread::sleep(Duration::from_millis(5));
        descriptors(gateway.pid())
    });
    let most = most.max().unwrap();
    assert!(most <= LIMIT * 3 / 4, "{most} of {LIMIT} held by idle clients");
    // A client that asks is let in, and db hosts have their share.
    let read = || {
        let mut client = Client::raw(gateway.addr);
        let query = frame(b'Q', &[statement("view", 1_200, "").as_bytes(), b"\0"].concat());
        client.stream.write_all(&[startup(), query].concat()).is_ok()
            && client.answer().last() == Some(&b'Z')
            && client.answer() == SERVED
    };
    until(read, || gateway.log());
    assert!(!replica.asked().is_empty(), "reads go to the replica");
    up.store(true, Ordering::SeqCst);
    let back = Instant::now();
    // So does the watch: a drain that came with discovery's return is obeyed in time.
    until(|| gateway.log().contains("status 503"), || gateway.log());
    std::thread::sleep((back + TOLD + DRAIN).saturating_duration_since(Instant::now()));
    let before = replica.asked().len();
    for _ in 0..5 {
        until(read, || gateway.log());
    }
    assert_eq!(replica.asked().len(), before, "sends past the bound: {}", gateway.log());
    assert!(descriptors(gateway.pid()) <= LIMIT, "{} of {LIMIT}", descriptors(gateway.pid()));
    drop(idle);
}

#[test]
fn a_limit_that_a_reload_lowers_holds_for_connections_that_rest() {
    const CLIENTS: usize = 100;
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut resting: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    // All at once, so that db hosts have many connections as well.
    resting.iter_mut().for_each(|client| client.send(&statement("view", 1_200, "")));
    resting.iter_mut().for_each(|client| assert_eq!(client.answer().last(), Some(&b'Z')));
    assert!(descriptors(gateway.pid()) > CLIENTS);
    gateway.reload(r#""sockets":256"#, &format!(r#""sockets":{LIMIT}"#));
    gateway.logs("SIGHUP: configuration read again");
    until(|| descriptors(gateway.pid()) <= LIMIT, || format!("{} held", descriptors(gateway.pid())));
    assert_eq!(gateway.client().ask(&statement("view", 1_200, "")), SERVED);
}
