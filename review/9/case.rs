//! Answers that a short cut holds back pass for proof that the gateway's clock is off, and replicas that are behind for fresh.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{
  "Bounds": {"ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0, "MaxAttempts": 8, "MaxOpen": 20000,
    "MaxRetryAfterMs": 2000.0, "Probing": true, "RetryAfter": true, "SecondCopies": false},
  "Classes": [
    {"AimMs": 500.0, "Credit": 2.0, "DeadlineMs": 1200.0, "Effect": "idempotent", "Name": "flight-view"},
    {"AimMs": 600.0, "Credit": 3.0, "DeadlineMs": 3000.0, "Effect": "at_most_once", "LateWorth": 0.3, "Name": "check-in"}],
  "Discovery": "subscribe",
  "Domain": {"AnswersStamped": true, "BaseTimeMs": 0.0, "Freshness": ["bounded", "write"], "LagAllowedMs": [200.0, 0.0],
    "ShowsRole": "start", "Tokens": "carried", "WhenBehind": "silent"},
  "Instances": 2,
  "Rules": {"AnswerSlackMs": 20.0, "ColdMs": 18000.0, "FallMs": 3000.0, "MustAskInMs": 10000.0, "StartCapacity": 0.17,
    "StopSendingWithinMs": 250.0, "TipMultiple": 4.0}
}"#;

/// The bound of `flight-view`, and 50 ms as on sockets every limit is that much longer.
const BOUND_MS: u64 = 200 + 50;
/// How long the primary's room is cut off, and how often.
const CUT: Duration = Duration::from_millis(1_600);
const CUTS: u32 = 4;
/// From the end of a cut to the next.
const PAUSE: Duration = Duration::from_millis(8_000);
/// A replica that is behind applies the log this much faster than it is written.
const CATCH_UP: f64 = 1.8;
const WRITE_WORK: Duration = Duration::from_millis(90);
const READ_WORK: Duration = Duration::from_millis(60);
/// The mean time between two requests, and the share of writes.
const EVERY: f64 = 0.008;
const WRITES: f64 = 0.4;

/// Up to where a replica has applied the log.
struct Replica {
    position: f64,
    at: Instant,
}

fn main() {
    let record = Record::new();
    let folder = Folder::new("case9");
    let cut = Arc::new(AtomicBool::new(false));
    // Each replica has the log a few milliseconds later, unless the primary's room is cut off.
    let replicas: Vec<Shared<Replica>> =
        (0..2).map(|_| shared(Replica { position: unix_ms() as f64, at: Instant::now() })).collect();
    {
        let (replicas, cut) = (replicas.clone(), cut.clone());
        thread::spawn(move || loop {
            thread::sleep(ms(1));
            for replica in &replicas {
                let mut replica = replica.lock().unwrap();
                let passed = replica.at.elapsed().as_secs_f64() * 1000.0;
                replica.at = Instant::now();
                if !cut.load(Ordering::SeqCst) {
                    replica.position = (replica.position + CATCH_UP * passed).min(unix_ms() as f64 - 5.0);
                }
            }
        });
    }
    let stale = shared((0u64, 0u64));
    let primary: Handler = {
        let record = record.clone();
        Arc::new(move |query, stream| {
            let write = query.sql.starts_with("INSERT");
            thread::sleep(if write { WRITE_WORK } else { READ_WORK });
            let position = unix_ms();
            record.say(format!("primary ran id={} position={position}", named(&query.sql, "id")));
            let tag = if write { "INSERT 0 1" } else { "SELECT 1" };
            stream.write_all(&served(tag, key(&query.sql).as_bytes(), "primary", position)).is_ok()
        })
    };
    let primary = db_host(primary, Arc::new(|| (unix_ms(), true)));
    let mut entries = vec![Entry::new("s-a", way(primary, cut.clone()), 2).role("primary")];
    for (n, replica) in replicas.iter().enumerate() {
        let name = ["s-b", "s-c"][n];
        let (record, at, stale) = (record.clone(), replica.clone(), stale.clone());
        let handler: Handler = Arc::new(move |query, stream| {
            let sent = unix_ms();
            if query.sql.starts_with("INSERT") {
                return stream
                    .write_all(&error("25006", "replica", at.lock().unwrap().position as u64))
                    .is_ok();
            }
            let position = at.lock().unwrap().position as u64;
            thread::sleep(READ_WORK);
            let age = sent.saturating_sub(position);
            let mut counts = stale.lock().unwrap();
            counts.0 += 1;
            if age > BOUND_MS {
                counts.1 += 1;
                record.say(format!("STALE: {name} ran id={} on data {age} ms old", named(&query.sql, "id")));
            } else {
                record.say(format!("{name} ran id={} on data {age} ms old", named(&query.sql, "id")));
            }
            drop(counts);
            stream.write_all(&served("SELECT 1", key(&query.sql).as_bytes(), "replica", position)).is_ok()
        });
        let report = replica.clone();
        let addr = db_host(handler, Arc::new(move || (report.lock().unwrap().position as u64, false)));
        entries.push(Entry::new(name, addr, 2).role("replica"));
    }
    let discovery = Discovery::start(entries);
    let mut gateway = Start {
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
    }
    .run();
    gateway.wait_ready(Duration::from_secs(20));
    let over = Arc::new(AtomicBool::new(false));
    let cuts = {
        let (over, cut, record) = (over.clone(), cut.clone(), record.clone());
        thread::spawn(move || {
            for _ in 0..CUTS {
                thread::sleep(PAUSE);
                if trouble() {
                    record.say("the primary's room is cut off");
                    cut.store(true, Ordering::SeqCst);
                }
                thread::sleep(CUT);
                if trouble() {
                    record.say("it is back");
                    cut.store(false, Ordering::SeqCst);
                }
            }
            thread::sleep(PAUSE);
            over.store(true, Ordering::SeqCst);
        })
    };
    let idle: Shared<VecDeque<Client>> = shared(VecDeque::new());
    let results = shared((0u64, 0u64));
    let mut threads = Vec::new();
    let (mut due, mut rng) = (Instant::now(), Rng(7));
    let mut n = 0u64;
    while !over.load(Ordering::SeqCst) {
        due += Duration::from_secs_f64(-EVERY * (1.0 - rng.unit()).ln());
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let write = rng.unit() < WRITES;
        n += 1;
        let (idle, results, record, listen) = (idle.clone(), results.clone(), record.clone(), gateway.listen);
        threads.push(thread::spawn(move || {
            let kept = idle.lock().unwrap().pop_back();
            let Some(mut client) = kept.or_else(|| Client::connect(listen).ok()) else { return };
            let (id, item) = (format!("{n:016x}"), format!("k{n:015x}"));
            let sql = if write {
                format!("INSERT INTO items (id, doc) VALUES ('{item}', '\\x01') RETURNING doc /* id={id},c=check-in,d=3000,cluster=2 */")
            } else {
                format!("SELECT doc FROM items WHERE id = '{item}' /* id={id},c=flight-view,d=1200,cluster=2 */")
            };
            let answer = client.ask(&sql, ms(4000));
            let ok = matches!(answer, Answer::Served(_));
            let mut results = results.lock().unwrap();
            if ok {
                results.0 += 1;
                idle.lock().unwrap().push_back(client);
            } else {
                results.1 += 1;
                record.say(format!("id={id} {answer:?}"));
            }
        }));
    }
    let _ = cuts.join();
    threads.into_iter().for_each(|t| drop(t.join()));
    let (reads, old) = *stale.lock().unwrap();
    let (ok, not) = *results.lock().unwrap();
    let text =
        format!("{ok} served, {not} not; of {reads} reads at replicas {old} on data over {BOUND_MS} ms old");
    record.say(&text);
    println!("{text}");
    let alive = gateway.ended().is_none();
    drop(gateway);
    drop(folder);
    if !alive || ok == 0 {
        cannot_run("the gateway ended, or nothing was served");
    }
    std::process::exit(i32::from(old > 0));
}
