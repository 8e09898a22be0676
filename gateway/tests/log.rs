//! A log that nobody takes any more costs lines, not service.

mod common;

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use rustix::fs::OFlags;

/// How long the log is not taken.
const STALL: Duration = Duration::from_secs(2);
const READ_INTERVAL: Duration = Duration::from_millis(10);
/// As long as the class allows: less marks a repeat, which may be refused.
const READ_WAIT_MS: u32 = 1_200;
const RELOADED: &str = "SIGHUP: configuration read again";

/// The gateway's program, its log taken by a collector of its own: a `cat` whose process id is kept in the folder.
fn program(folder: &Path) -> PathBuf {
    let script = folder.join("yewroute");
    let made = Command::new("mkfifo").arg(folder.join("log")).status().unwrap();
    assert!(made.success());
    let text = format!(
        "#!/bin/sh\ncat {0}/log >&2 &\necho $! > {0}/collector\nexec {1} \"$@\" 2> {0}/log\n",
        folder.display(),
        env!("CARGO_BIN_EXE_yewroute")
    );
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    script
}

/// The collector, which stands still for as long as this exists.
struct StoppedCollector(String);

impl StoppedCollector {
    fn of(folder: &Path) -> Self {
        let id = std::fs::read_to_string(folder.join("collector")).unwrap();
        let collector = Self(id.trim().to_owned());
        collector.signal("-STOP");
        collector
    }

    fn signal(&self, signal: &str) {
        assert!(Command::new("kill").args([signal, &self.0]).status().unwrap().success());
    }
}

impl Drop for StoppedCollector {
    fn drop(&mut self) {
        self.signal("-CONT");
    }
}

/// Fills the way to the collector.
fn fill(folder: &Path) {
    let nonblocking = i32::try_from(OFlags::NONBLOCK.bits()).unwrap();
    let mut log: File =
        File::options().write(true).custom_flags(nonblocking).open(folder.join("log")).unwrap();
    loop {
        match log.write(&[b'\n'; 4_096]) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => panic!("{error}"),
        }
    }
}

// Guards against: a collector of the log that stands still, and a gateway that waits for it in the middle of its work.
#[test]
fn requests_are_served_while_nobody_takes_the_log() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let folder = tempfile::tempdir().unwrap();
    let gateway = Gateway::of(&program(folder.path()), &pair(&primary, &replica));
    let stopped = StoppedCollector::of(folder.path());
    fill(folder.path());
    let (mut client, start, mut served) = (gateway.client(), Instant::now(), 0);
    gateway.signal("-HUP");
    while start.elapsed() < STALL {
        assert_eq!(client.ask(&statement("view", READ_WAIT_MS, "")), b"TDCZ", "after {served} requests");
        served += 1;
        thread::sleep(READ_INTERVAL);
    }
    assert!(!gateway.log().contains(RELOADED), "the log was not taken: {}", gateway.log());
    drop(stopped);
    until(
        || {
            gateway.signal("-HUP");
            thread::sleep(Duration::from_millis(100));
            gateway.log().contains(RELOADED)
        },
        || format!("taken again: {}", gateway.log()),
    );
}

// Guards against: a request that is refused or sent again, of which nobody can tell which it was and why.
#[test]
fn requests_that_are_not_served_and_attempts_that_fail_are_told_with_their_reasons() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::Break,
    });
    let gateway = Gateway::operated(&pair(&primary, &Host::well(false)));
    let mut client = gateway.client();
    let unknown_group = statement("order", 3_000, "").replace("cluster=2", "cluster=3");
    client.ask(&unknown_group);
    client.ask(&statement("order", 700, ",k=1"));
    assert_eq!(gateway.figure("svc_unserved{reason=\"no_servers\"}"), 1);
    assert!(gateway.figure("svc_failed_attempts{status=\"reset\"}") > 0);
    let id = |statement: &str| statement.split_once("id=").unwrap().1.split_once(',').unwrap().0.to_owned();
    let refused = format!(
        "msg=\"request not served\" id={} class=order attempts=0 reason=no_servers",
        id(&unknown_group)
    );
    gateway.logs(&refused);
    gateway.logs(&format!("attempt=0 addr={} status=reset", primary.addr));
}
