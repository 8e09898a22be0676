//! Clients send long values and leave: what is kept of their requests is beyond the limit of memory.

#[path = "../standins/common.rs"]
mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// "32 to 192 MB depending on language and day".
const MEMORY_MB: u64 = 32;
/// "Values as large as 4 MiB occur".
const VALUE: usize = 4 * 1024 * 1024;
/// A db host of kind std-3c has so many cores.
const CORES: u32 = 3;
/// "`check-in`: 54 to 94 ms of work".
const WORK_MS: u64 = 94;
/// Clients, each of which sends one request in each round; with the disruption and without it.
const CLIENTS: u32 = 24;
const ROUNDS: u64 = 6;
const ROUND_MS: u64 = 3_000;
/// A client that gives up early leaves so long after its request was sent.
const LEAVES_AFTER_MS: u64 = 20;

fn main() {
    let record = Record::open();
    let groups = [2_u32, 3];
    let mut entries = Vec::new();
    for group in groups {
        for (name, primary) in [("p", true), ("r", false)] {
            let host = db_host(&record, &format!("{name}{group}"), primary);
            let role = if primary { "primary" } else { "replica" };
            entries.push(entry(&format!("s-{name}{group}"), host.addr, group, "Ready", role));
        }
    }
    let known = list(41, true, &entries);
    let discovery = Discovery::start(&record, 41, entries, |_| true);
    let deployment = Deployment {
        listen: free_addr(),
        discovery: discovery.addr,
        memory_mb: MEMORY_MB,
        known,
        settings: settings("refuse", "carried"),
    };
    let mut gateway = Gateway::start(&record, &deployment, None, "gateway").ready(&record);
    let addr = gateway.addr;
    sleep_ms(500);
    record.say(&format!("platform: memory before the load: {:?} KiB", gateway.memory_kib()));

    let value = Arc::new("ab".repeat(VALUE));
    let (served, left, other) = (Arc::default(), Arc::default(), Arc::default());
    let begun = Instant::now();
    let until = begun + Duration::from_millis(ROUNDS * ROUND_MS);
    for client in 0..CLIENTS {
        let (record, value) = (record.clone(), Arc::clone(&value));
        let (served, left, other): (Arc<AtomicU64>, Arc<AtomicU64>, Arc<AtomicU64>) =
            (Arc::clone(&served), Arc::clone(&left), Arc::clone(&other));
        thread::spawn(move || {
            for number in 0..ROUNDS {
                let at = begun + Duration::from_millis(number * ROUND_MS);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("{client:08x}{number:08x}");
                let group = [2, 3][(client % 2) as usize];
                let statement = format!(
                    "INSERT INTO items (id, doc) VALUES ('{id}', '\\x{value}') RETURNING doc /* id={id},c=check-in,d=3000,k={id},cluster={group} */"
                );
                let Ok(mut connection) = Client::connect(addr) else { return };
                if connection.send(&statement).is_err() {
                    continue;
                }
                record.say(&format!("client {client}: sent {id} whole"));
                if trouble() {
                    sleep_ms(LEAVES_AFTER_MS);
                    left.fetch_add(1, Ordering::Relaxed);
                    drop(connection);
                    record.say(&format!("client {client}: left, {id}"));
                } else {
                    let answer = connection.answer();
                    let count = if matches!(answer, Answer::Served(_)) { &served } else { &other };
                    count.fetch_add(1, Ordering::Relaxed);
                    record.say(&format!("client {client}: {id} {}", short(&answer)));
                }
            }
        });
    }

    // The platform: over `memory_mb` the gateway is killed.
    let mut most = 0;
    let mut ended = None;
    while Instant::now() < until + Duration::from_secs(4) {
        match gateway.memory_kib() {
            Some(kib) => most = most.max(kib),
            None => ended = Some("ended by itself"),
        }
        if gateway.child.try_wait().ok().flatten().is_some() {
            ended = Some("ended by itself");
        }
        if most > MEMORY_MB * 1024 {
            let _ = gateway.child.kill();
            ended = Some("killed by the platform: over memory_mb");
        }
        if ended.is_some() {
            break;
        }
        sleep_ms(2);
    }
    let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
    let figures = format!(
        "most memory {most} KiB of {} KiB; served {}, left {}, refused or failed {}",
        MEMORY_MB * 1024,
        count(&served),
        count(&left),
        count(&other)
    );
    record.say(&figures);
    match ended {
        Some(how) => record.verdict(1, &format!("the gateway was {how}; {figures}")),
        None if count(&served) + count(&left) < u64::from(CLIENTS) * ROUNDS * 9 / 10 => {
            record.verdict(2, &format!("too little load; {figures}"))
        }
        None => record.verdict(0, &figures),
    }
}

fn short(answer: &Answer) -> String {
    match answer {
        Answer::Served(value) => format!("served, {} bytes", value.len()),
        other => format!("{other:?}"),
    }
}

/// A db host with its cores: each request takes one of them for its work, in the order of coming.
fn db_host(record: &Record, name: &str, primary: bool) -> Host {
    let (record, name) = (record.clone(), name.to_owned());
    let free = Arc::new((Mutex::new(CORES), Condvar::new()));
    Host::start(move |statement| {
        if statement == "SHOW load" {
            return load(primary, unix_ms());
        }
        let id = told(&statement, "id").unwrap_or_default();
        record.say(&format!("{name}: has {id}, {} bytes", statement.len()));
        let write = statement.starts_with("INSERT");
        if write && !primary {
            return error("25006", primary, unix_ms());
        }
        let (cores, told) = &*free;
        let mut core = told.wait_while(cores.lock().expect("whole"), |free| *free == 0).expect("whole");
        *core -= 1;
        drop(core);
        sleep_ms(WORK_MS);
        *cores.lock().expect("whole") += 1;
        told.notify_one();
        record.say(&format!("{name}: has run {id}"));
        served(write, b"done", primary, unix_ms())
    })
}
