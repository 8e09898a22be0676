//! A discovery that is crowded after a release passes for one that is down, and a drained db host gets requests.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
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

/// How long discovery stays crowded after the gateway has come back.
const CROWDED: Duration = Duration::from_millis(14_000);
/// A change counts as told 6 s after discovery had it and could be reached; then sends may go on for 250 ms, and each limit
/// is 50 ms longer on sockets.
const TOLD_MS: f64 = 6_000.0;
const GRACE_MS: f64 = 250.0 + 50.0;

fn main() {
    let record = Record::new();
    let folder = Folder::new("case10");
    let sent = shared(Vec::<(f64, String)>::new());
    let host = |name: &'static str, role: &'static str| {
        let (record, sent) = (record.clone(), sent.clone());
        let handler: Handler = Arc::new(move |query, stream| {
            let id = named(&query.sql, "id").to_owned();
            record.say(format!("{name} ran id={id}"));
            if name == "s-b" {
                sent.lock().unwrap().push((record.ms(), id));
            }
            thread::sleep(ms(20));
            stream.write_all(&served("SELECT 1", key(&query.sql).as_bytes(), role, unix_ms())).is_ok()
        });
        db_host(handler, Arc::new(move || (unix_ms(), role == "primary")))
    };
    let entries = vec![
        Entry::new("s-a", host("s-a", "primary"), 2).role("primary"),
        Entry::new("s-b", host("s-b", "replica"), 2).role("replica"),
        Entry::new("s-c", host("s-c", "replica"), 2).role("replica"),
    ];
    let discovery = Discovery::start(entries);
    let start = Start {
        name: "n1",
        listen: free_port("127.0.0.1"),
        discovery: discovery.addr,
        known: discovery.known(),
        settings: SETTINGS,
        sockets: 1024,
        memory_mb: 192,
        console: None,
        folder: &folder,
        tag: "1",
        args: "",
    };
    let mut gateway = start.run();
    gateway.wait_ready(Duration::from_secs(20));
    thread::sleep(ms(1000));
    // The gateways of a release are killed together; s-b begins to drain, and the calls of all crowd discovery.
    gateway.signal("KILL");
    drop(gateway);
    record.say("the gateway is killed");
    discovery.set_state("s-b", "Terminating");
    record.say("discovery has s-b as draining");
    if trouble() {
        discovery.crowded.store(true, Ordering::SeqCst);
        record.say("discovery is crowded");
    }
    thread::sleep(ms(1500));
    let begun = record.ms();
    let mut gateway = Start { tag: "2", ..start }.run();
    gateway.wait_ready(Duration::from_secs(20));
    record.say("the gateway is back with the last list it had");
    let over = Arc::new(AtomicBool::new(false));
    let listen = gateway.listen;
    let counts = shared((0u64, 0u64));
    let threads: Vec<_> = (0..4)
        .map(|n| {
            let (over, record, counts) = (over.clone(), record.clone(), counts.clone());
            thread::spawn(move || {
                let mut client = Client::connect(listen).ok();
                let mut round = 0u64;
                while !over.load(Ordering::SeqCst) {
                    thread::sleep(ms(50));
                    let Some(open) = client.as_mut() else {
                        client = Client::connect(listen).ok();
                        continue;
                    };
                    round += 1;
                    let id = format!("{n:04x}{round:012x}");
                    let sql = format!("SELECT doc FROM items WHERE id = 'k{id}' /* id={id},c=flight-view,d=500,cluster=2 */");
                    match open.ask(&sql, ms(2000)) {
                        Answer::Served(_) => counts.lock().unwrap().0 += 1,
                        other => {
                            record.say(format!("id={id} {other:?}"));
                            counts.lock().unwrap().1 += 1;
                            if !matches!(other, Answer::Refused(_) | Answer::Failed(_)) {
                                client = None;
                            }
                        }
                    }
                }
            })
        })
        .collect();
    let crowd = Instant::now();
    thread::sleep(CROWDED.saturating_sub(crowd.elapsed()));
    discovery.crowded.store(false, Ordering::SeqCst);
    record.say("discovery answers again");
    thread::sleep(ms(4000));
    over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|t| drop(t.join()));
    let by = begun + TOLD_MS + GRACE_MS;
    let late: Vec<f64> =
        sent.lock().unwrap().iter().filter(|(at, _)| *at > by).map(|(at, _)| at - begun).collect();
    let (ok, not) = *counts.lock().unwrap();
    let text = format!(
        "{ok} served, {not} not; s-b got {} requests later than {:.0} ms after the gateway's start{}",
        late.len(),
        TOLD_MS + GRACE_MS,
        match (late.first(), late.last()) {
            (Some(first), Some(last)) => format!(", from {first:.0} to {last:.0} ms"),
            _ => String::new(),
        }
    );
    record.say(&text);
    println!("{text}");
    let alive = gateway.ended().is_none();
    drop(gateway);
    drop(folder);
    if !alive || ok == 0 {
        cannot_run("the gateway ended, or nothing was served");
    }
    std::process::exit(i32::from(!late.is_empty()));
}
