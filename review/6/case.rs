//! A db host's second copy of an answer, just behind the first, taken for the answer to the next request.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::collections::VecDeque;
use std::io::Write;
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

/// How long a db host works on a read, in milliseconds: from and up to.
const WORK: (u64, u64) = (10, 40);
/// One answer in so many has a second copy just behind it.
const ONE_IN: u64 = 10;
/// How far behind the copy is written.
const BEHIND: Duration = Duration::from_micros(500);
const REQUESTS: u64 = 20_000;
/// The mean time between two requests; they come at random.
const EVERY: f64 = 0.0035;

fn main() {
    let record = Record::new();
    let folder = Folder::new("case6");
    let copies = Arc::new(AtomicU64::new(0));
    let host = |name: &'static str, role: &'static str, seed: u64| {
        let (record, copies, rng) = (record.clone(), copies.clone(), shared(Rng(seed)));
        let handler: Handler = Arc::new(move |query, stream| {
            let work = WORK.0 * 1000 + rng.lock().unwrap().below((WORK.1 - WORK.0) * 1000);
            thread::sleep(Duration::from_micros(work));
            let value = format!("value of {}", key(&query.sql));
            let out = served("SELECT 1", value.as_bytes(), role, unix_ms());
            let doubled = trouble() && rng.lock().unwrap().below(ONE_IN) == 0;
            record.say(format!(
                "{name} conn {} ran id={} key={}",
                query.conn,
                named(&query.sql, "id"),
                key(&query.sql)
            ));
            if stream.write_all(&out).is_err() {
                return false;
            }
            if doubled {
                let from = Instant::now();
                while from.elapsed() < BEHIND {
                    std::hint::spin_loop();
                }
                // Only while nothing else waits on the connection.
                stream.set_nonblocking(true).unwrap();
                let waits = stream.peek(&mut [0]).is_ok();
                stream.set_nonblocking(false).unwrap();
                if !waits {
                    copies.fetch_add(1, Ordering::SeqCst);
                    record.say(format!(
                        "{name} conn {} second copy of id={}",
                        query.conn,
                        named(&query.sql, "id")
                    ));
                    return stream.write_all(&out).is_ok();
                }
            }
            true
        });
        db_host(handler, Arc::new(move || (unix_ms(), role == "primary")))
    };
    let entries = vec![
        Entry::new("s-a", host("s-a", "primary", 1), 2).role("primary"),
        Entry::new("s-b", host("s-b", "replica", 2), 2).role("replica"),
        Entry::new("s-c", host("s-c", "replica", 3), 2).role("replica"),
    ];
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
    let idle: Shared<VecDeque<Client>> = shared(VecDeque::new());
    let results = shared((0u64, 0u64, 0u64));
    let mut threads = Vec::new();
    let start = Instant::now();
    let (mut due, mut arrivals) = (start, Rng(7));
    for n in 0..REQUESTS {
        due += Duration::from_secs_f64(-EVERY * (1.0 - arrivals.unit()).ln());
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (idle, results, record, listen) = (idle.clone(), results.clone(), record.clone(), gateway.listen);
        threads.push(thread::spawn(move || {
            let kept = idle.lock().unwrap().pop_back();
            let Some(mut client) = kept.or_else(|| Client::connect(listen).ok()) else { return };
            let (id, item) = (format!("{n:016x}"), format!("k{n:015x}"));
            let sql = format!(
                "SELECT doc FROM items WHERE id = '{item}' /* id={id},c=flight-view,d=1200,cluster=2 */"
            );
            let answer = client.ask(&sql, ms(2000));
            let mut results = results.lock().unwrap();
            match &answer {
                Answer::Served(value) if *value == format!("value of {item}").into_bytes() => results.0 += 1,
                Answer::Served(value) => {
                    results.1 += 1;
                    record.say(format!(
                        "FOREIGN: id={id} asked for {item} and got {:?}",
                        String::from_utf8_lossy(value)
                    ));
                }
                other => {
                    results.2 += 1;
                    record.say(format!("id={id} {other:?}"));
                }
            }
            if matches!(answer, Answer::Served(_)) {
                idle.lock().unwrap().push_back(client);
            }
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let (own, foreign, other) = *results.lock().unwrap();
    let text = format!(
        "{own} served with their own value, {foreign} with another's, {other} not served; {} second copies",
        copies.load(Ordering::SeqCst)
    );
    record.say(&text);
    println!("{text}");
    let alive = gateway.ended().is_none();
    drop(gateway);
    drop(folder);
    if !alive || own == 0 {
        cannot_run("the gateway ended, or nothing was served");
    }
    std::process::exit(i32::from(foreign > 0));
}
