//! A short part of the soak; the long one is started by hand (`docs/measured/soak.md`).

use std::path::PathBuf;
use std::time::Duration;

use yewroute_rig::soak::{play, Options, Report};

const SPAN: Duration = Duration::from_secs(25);
/// Of all requests.
const MIN_SERVED_PERCENT: usize = 75;

fn keeps_all_rules(seed: u64, processes: usize) -> Result<(), String> {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_yewroute")),
        seed,
        processes: Some(processes),
        span: SPAN,
        wall_clock_shim: None,
    };
    let Report { violations, requests, served, events, logs, .. } = play(&options).unwrap();
    println!("seed {seed}: {served} of {requests} requests served");
    if violations.is_empty() && requests > 500 && served * 100 >= requests * MIN_SERVED_PERCENT {
        return Ok(());
    }
    Err(format!(
        "seed {seed}: {served} of {requests} served, {violations:#?}\n{events:#?}\n{}",
        logs.join("\n")
    ))
}

#[test]
fn short_soak_keeps_all_rules() {
    let plays = [(1, 3), (2, 3), (3, 2)];
    let failed: Vec<String> = std::thread::scope(|scope| {
        let threads = plays.map(|(seed, processes)| scope.spawn(move || keeps_all_rules(seed, processes)));
        threads.into_iter().filter_map(|thread| thread.join().unwrap().err()).collect()
    });
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}
