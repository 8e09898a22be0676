//! A process that is killed outright: what its clients see, and how soon the next one serves at its address.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
const SETTINGS: &str = include_str!("common/settings.json");
const PROGRAM: &str = env!("CARGO_BIN_EXE_yewroute");
/// How soon a restarted process serves.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// The program, killed at the end of a test.
struct Process(Child);

impl Process {
    fn start(config: &Path) -> Self {
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("EDGE_CONFIG", config).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    fn signal(&self, signal: &str) {
        assert!(Command::new("kill").args([signal, &self.0.id().to_string()]).status().unwrap().success());
    }

    fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address that nobody listens on, of a machine that no other test uses.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.77.1:0").unwrap().local_addr().unwrap()
}

fn served(addr: SocketAddr) -> bool {
    let Ok(mut client) = Client::connect(addr) else { return false };
    let query = frame(b'Q', &[statement("view", 1_200, "").as_bytes(), b"\0"].concat());
    client.stream.write_all(&[startup(), query].concat()).is_ok()
        && client.answer().last() == Some(&b'Z')
        && client.answer() == SERVED
}

#[test]
fn a_process_killed_right_after_an_accept_tells_its_clients_and_the_next_one_serves_at_once() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::Nothing,
    });
    let (replica, listen) = (Host::well(false), unused_address());
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},
        "known":{},"settings":{SETTINGS}}}"#,
        pair(&primary, &replica)
    );
    std::fs::write(&path, config).unwrap();
    let mut process = Process::start(&path);
    until(|| served(listen), || "not served".to_owned());
    // One whose request is out, one that has just been accepted, and one that the process never gets to see.
    let order = statement("order", 3_000, ",k=1");
    let mut out = Client::raw(listen);
    out.stream.write_all(&[startup(), frame(b'Q', &[order.as_bytes(), b"\0"].concat())].concat()).unwrap();
    assert_eq!(out.answer(), b"Z", "welcomed");
    until(|| primary.asked().iter().any(|asked| asked.contains("k=1")), || "not sent".to_owned());
    let mut accepted = Client::raw(listen);
    accepted.stream.write_all(&startup()).unwrap();
    assert_eq!(accepted.answer(), b"Z", "welcomed");
    process.signal("-STOP");
    let mut unseen = Client::raw(listen);
    let query = frame(b'Q', &[statement("view", 1_200, "").as_bytes(), b"\0"].concat());
    unseen.stream.write_all(&[startup(), query].concat()).unwrap();
    let killed = Instant::now();
    process.kill();
    for mut client in [out, accepted, unseen] {
        assert_eq!(client.answer(), b"", "its connection ends, without an answer");
    }
    assert!(killed.elapsed() < Duration::from_secs(1), "{:?} until all knew", killed.elapsed());
    let _next = Process::start(&path);
    until(|| served(listen), || "not served by the next one".to_owned());
    assert!(killed.elapsed() < READY_WITHIN, "{:?}", killed.elapsed());
    let copies = primary.asked().iter().filter(|asked| asked.contains("k=1")).count();
    assert_eq!(copies, 1, "nobody repeats what the killed one had sent");
}
