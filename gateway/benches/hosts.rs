//! What a long list costs the gateway's process: CPU per request at 10 and at 60 listed db hosts, and CPU and memory
//! before and after 10,000 db hosts have come and gone. Stand-ins' time does not count.

#[path = "../tests/common/mod.rs"]
mod common;

use std::fs::read_to_string;
use std::thread::{sleep, spawn};
use std::time::Duration;

use common::*;

const TURNS: usize = 20;
const REQUESTS: u32 = 100;
/// Db hosts that come and go together, and how often.
const AT_ONCE: u32 = 100;
const ROUNDS: u32 = 100;

/// What the process has run so far.
fn ran(gateway: &Gateway) -> Duration {
    let text = read_to_string(format!("/proc/{}/schedstat", gateway.pid())).unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

/// Resident memory in KiB.
fn resident(gateway: &Gateway) -> u64 {
    let text = read_to_string(format!("/proc/{}/status", gateway.pid())).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// CPU per request in microseconds.
fn cost(gateway: &Gateway, client: &mut Client) -> f64 {
    let before = ran(gateway);
    for _ in 0..REQUESTS {
        client.ask(&statement("view", 1200, ""));
    }
    (ran(gateway) - before).as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// So many hosts in sets of five, one set of which is the one that is asked.
fn listed(hosts: u32, primary: &Host, replica: &Host) -> String {
    let entries: Vec<String> = (0..hosts)
        .map(|n| {
            let (host, role) = if n % 5 == 0 { (primary, "primary") } else { (replica, "replica") };
            let cell = format!(r#""cell":{}"#, 2 + n / 5);
            entry(&format!("s-{n}"), host, role, "Ready", 0).replace(r#""cell":2"#, &cell)
        })
        .collect();
    list(41, true, &entries)
}

fn main() {
    let host = |primary| {
        Host::start(move |query| match well(primary, query) {
            Do::Say(bytes) if query != "SHOW load" => Do::SayLater(Duration::from_millis(2), bytes),
            answer => answer,
        })
    };
    let (primary, replica) = (host(true), host(false));
    let few = Gateway::start(&listed(10, &primary, &replica));
    let many = Gateway::start(&listed(60, &primary, &replica));
    let mut clients = [few.client(), many.client()];
    let mut costs = [Vec::new(), Vec::new()];
    // Turn by turn, so that what else the machine does falls on both alike.
    for _ in 0..TURNS {
        for ((gateway, client), costs) in [&few, &many].into_iter().zip(&mut clients).zip(&mut costs) {
            costs.push(cost(gateway, client));
        }
    }
    let [ten, sixty] = costs.map(median);
    println!("CPU per request: 10 hosts {ten:.1} us, 60 hosts {sixty:.1} us, ratio {:.3}", sixty / ten);

    let churned = Gateway::start(&listed(10, &primary, &replica));
    let mut client = churned.client();
    let mut turns = |gateway: &Gateway| median((0..TURNS).map(|_| cost(gateway, &mut client)).collect());
    // Empty lines, as discovery sends while nothing changes.
    let beat = churned.news.clone();
    spawn(move || {
        while beat.send(String::new()).is_ok() {
            sleep(Duration::from_secs(1))
        }
    });
    let before = turns(&churned);
    println!("at first: {before:.1} us per request, {} KiB", resident(&churned));
    let mut version = 41;
    for round in 0..ROUNDS {
        for state in ["Ready", "Gone"] {
            version += 1;
            let entries: Vec<String> = (0..AT_ONCE)
                .map(|n| entry(&format!("r-{round}-{n}"), &replica, "replica", state, 0))
                .collect();
            churned.news.send(list(version, false, &entries)).unwrap();
            sleep(Duration::from_millis(10));
        }
        if round == 9 || round + 1 == ROUNDS {
            let after = turns(&churned);
            let gone = (round + 1) * AT_ONCE;
            println!(
                "{gone} gone: {after:.1} us per request ({:.3}), {} KiB",
                after / before,
                resident(&churned)
            );
        }
    }
    assert_eq!(churned.log(), "", "all news was read");
}
