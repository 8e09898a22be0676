//! A client that reads a long value slowly and without a pause is closed in the middle of it.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{
  "Bounds": {"ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0, "MaxAttempts": 8, "MaxOpen": 20000,
    "MaxRetryAfterMs": 2000.0, "Probing": true, "RetryAfter": true},
  "Classes": [
    {"AimMs": 500.0, "Credit": 2.0, "DeadlineMs": 1200.0, "Effect": "idempotent", "Name": "flight-view"},
    {"AimMs": 600.0, "Credit": 3.0, "DeadlineMs": 3000.0, "Effect": "deduplicated", "KeyScope": "cell",
     "LateWorth": 0.3, "Name": "check-in", "RepeatWindowMs": 2000.0}],
  "Discovery": "subscribe",
  "Domain": {"BaseTimeMs": 0.0, "Freshness": ["bounded", "write"], "LagAllowedMs": [200.0, 0.0],
    "ShowsRole": "start", "Tokens": "carried", "WhenBehind": "refuse"},
  "Instances": 2,
  "Rules": {"AnswerSlackMs": 20.0, "ColdMs": 18000.0, "FallMs": 3000.0, "MustAskInMs": 10000.0, "StartCapacity": 0.17,
    "StopSendingWithinMs": 250.0, "TipMultiple": 4.0}
}"#;

/// The longest value that the pages name.
const VALUE: usize = 4 * 1024 * 1024;
/// How fast the clients read, in KiB a second: a piece each tenth of a second.
const RATES: [usize; 4] = [50, 60, 70, 80];
/// A value that is given away so soon lies in the buffers of the systems, and nothing more is to be given.
const SOON: Duration = Duration::from_secs(3);
const LONGEST: Duration = Duration::from_secs(105);

/// What a client saw: bytes, and its longest wait for the next ones.
struct Seen {
    rate: usize,
    bytes: usize,
    whole: bool,
    pause: Duration,
}

fn main() {
    let record = Record::new();
    let folder = Folder::new("case7");
    let swallowed = Arc::new(AtomicU64::new(0));
    let host = |name: &'static str, role: &'static str| {
        let (record, swallowed) = (record.clone(), swallowed.clone());
        let handler: Handler = Arc::new(move |query, stream| {
            let id = named(&query.sql, "id").to_owned();
            thread::sleep(ms(50));
            record.say(format!("{name} ran id={id} and gives {VALUE} bytes"));
            let begun = Instant::now();
            let well = stream.write_all(&served("SELECT 1", &vec![7; VALUE], role, unix_ms())).is_ok();
            swallowed.fetch_add(u64::from(well && begun.elapsed() < SOON), Ordering::SeqCst);
            record.say(format!(
                "{name} id={id}: {}",
                if well {
                    "all is written"
                } else {
                    "the gateway ended the connection while more was to come"
                }
            ));
            well
        });
        db_host(handler, Arc::new(move || (unix_ms(), role == "primary")))
    };
    let discovery = Discovery::start(vec![
        Entry::new("s-a", host("s-a", "primary"), 2).role("primary"),
        Entry::new("s-b", host("s-b", "replica"), 2).role("replica"),
    ]);
    let mut gateway = Start {
        name: "n1",
        listen: free_port("127.0.0.1"),
        discovery: discovery.addr,
        known: discovery.known(),
        settings: SETTINGS,
        sockets: 512,
        memory_mb: 128,
        console: None,
        folder: &folder,
        tag: "1",
        args: "",
    }
    .run();
    gateway.wait_ready(Duration::from_secs(20));
    let listen = gateway.listen;
    let clients: Vec<_> = RATES
        .into_iter()
        .map(|rate| {
            let record = record.clone();
            thread::spawn(move || {
                let mut client = Client::connect(listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
                let id = format!("{rate:016x}");
                let sql = format!("SELECT doc FROM items WHERE id = 'k{id}' /* id={id},c=flight-view,d=1200,cluster=2 */");
                client.send(&sql).unwrap_or_else(|e| cannot_run(&e.to_string()));
                client.stream.set_read_timeout(Some(Duration::from_secs(12))).unwrap();
                let (start, mut last, mut pause) = (Instant::now(), Instant::now(), Duration::ZERO);
                let (mut bytes, mut buffer) = (0, vec![0; if trouble() { rate * 1024 / 10 } else { 64 * 1024 }]);
                while bytes < VALUE && start.elapsed() < LONGEST {
                    match client.stream.read(&mut buffer) {
                        Ok(0) | Err(_) => break,
                        Ok(len) => {
                            bytes += len;
                            pause = pause.max(last.elapsed());
                            last = Instant::now();
                        }
                    }
                    if trouble() {
                        thread::sleep(ms(100));
                    }
                }
                let whole = bytes >= VALUE;
                let took = start.elapsed();
                record.say(format!("id={id}, {rate} KiB/s: {bytes} bytes in {took:?}, whole: {whole}, longest wait for bytes {pause:?}"));
                // A play that is over before the end of the value says nothing.
                let unknown = !whole && took >= LONGEST;
                (unknown, Seen { rate, bytes, whole, pause })
            })
        })
        .collect();
    let seen: Vec<(bool, Seen)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let cut: Vec<String> = seen
        .iter()
        .filter(|(unknown, seen)| !unknown && !seen.whole)
        .map(|(_, seen)| {
            format!(
                "at {} KiB/s after {} bytes, never without bytes for over {:?}",
                seen.rate, seen.bytes, seen.pause
            )
        })
        .collect();
    let whole = seen.iter().filter(|(_, seen)| seen.whole).count();
    let text = format!("{whole} values whole, {} cut off: {cut:?}", cut.len());
    record.say(&text);
    println!("{text}");
    let alive = gateway.ended().is_none();
    drop(gateway);
    drop(folder);
    if !alive || (whole == 0 && cut.is_empty()) {
        cannot_run("the gateway ended, or nothing was read to its end");
    }
    if trouble() && cut.is_empty() && swallowed.load(Ordering::SeqCst) > 0 {
        cannot_run("this system's buffers take a whole value");
    }
    std::process::exit(i32::from(!cut.is_empty()));
}
