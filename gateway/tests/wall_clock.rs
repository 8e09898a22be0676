//! A gateway whose wall clock is off when it starts, or is stepped while it runs: a server that has just started is neither left out nor taken for warm.

mod common;

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// How long reads are counted for.
const SPAN: Duration = Duration::from_secs(4);
const READ_INTERVAL: Duration = Duration::from_millis(8);
const HOUR_S: i64 = 3_600;

/// How a wall clock is off.
#[derive(Clone, Copy, Debug)]
struct WallClock {
    /// All the time.
    off_s: i64,
    /// And so much more in every other second.
    step_s: i64,
}

impl WallClock {
    const TRUE: Self = Self { off_s: 0, step_s: 0 };

    const fn off(off_s: i64) -> Self {
        Self { off_s, ..Self::TRUE }
    }

    const fn stepped(step_s: i64) -> Self {
        Self { step_s, ..Self::TRUE }
    }
}

/// The gateway's program behind a library that puts its wall clock off.
fn program(folder: &Path, WallClock { off_s, step_s }: WallClock) -> PathBuf {
    let (shim, script) = (folder.join("wall_clock.so"), folder.join("yewroute"));
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../crates/rig/shims/wall_clock.c");
    let built =
        Command::new("cc").args(["-shared", "-fPIC", "-o"]).arg(&shim).arg(source).arg("-ldl").status();
    assert!(built.unwrap().success());
    let text = format!(
        "#!/bin/sh\nLD_PRELOAD={} WALL_CLOCK_OFF_S={off_s} WALL_CLOCK_STEP_S={step_s} exec {} \"$@\"\n",
        shim.display(),
        env!("CARGO_BIN_EXE_yewroute")
    );
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    script
}

/// Reads in a hundred that reach a replica which has just started, beside a primary that answers all.
fn percent_at_cold_replica(wall_clock: WallClock) -> usize {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let entries = [
        entry("s-a", &primary, "primary", "Ready", 0),
        entry("s-b", &replica, "replica", "Ready", unix_ms()),
    ];
    let folder = tempfile::tempdir().unwrap();
    let gateway = Gateway::of(&program(folder.path(), wall_clock), &list(41, true, &entries));
    let (mut client, start, mut reads) = (gateway.client(), Instant::now(), 0);
    while start.elapsed() < SPAN {
        client.ask(&statement("view", 1_200, ""));
        reads += 1;
        thread::sleep(READ_INTERVAL);
    }
    let percent = 100 * replica.asked().len() / reads;
    println!("{wall_clock:?}: {percent}% of {reads} reads at the replica");
    percent
}

#[test]
fn a_server_that_has_just_started_is_cold_whatever_the_wall_clock_says() {
    let clocks = [
        WallClock::TRUE,
        WallClock::off(-5),
        WallClock::off(-HOUR_S),
        WallClock::off(HOUR_S),
        WallClock::stepped(-5),
        WallClock::stepped(HOUR_S),
    ];
    let percents: Vec<usize> = thread::scope(|scope| {
        let plays = clocks.map(|clock| scope.spawn(move || percent_at_cold_replica(clock)));
        plays.into_iter().map(|play| play.join().unwrap()).collect()
    });
    let truly = percents[0];
    assert!(truly > 10, "with the true clock: {percents:?}");
    for (clock, percent) in clocks.iter().zip(&percents) {
        let alike = truly * 9 / 10..=truly * 11 / 10;
        assert!(alike.contains(percent), "{clock:?}: {percent}%, with the true clock {truly}%");
    }
}
