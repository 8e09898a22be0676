//! The commands on recorded traffic, as processes: what a client and the gateway said to each other is written to a
//! capture file, read back and compared.

mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use client::{bind, execute, parse, sync};
use common::*;
use yewroute_capture::write::{End, Writer};

const EDGE: &str = "postgres()\nhosts(protocol = 'extended')";
const VIEW: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=view,d=$3,cluster=2 */";

fn pcap(arguments: &[&str], files: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yewroute"));
    command.arg("pcap").args(arguments).args(files).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Asks on a new connection, and gives the bytes that came until the connection was closed.
fn talk(addr: SocketAddr, asked: &[u8]) -> Vec<u8> {
    let mut client = Client::raw(addr);
    client.write(asked);
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut came = Vec::new();
    client.stream.read_to_end(&mut came).unwrap();
    came
}

/// A real conversation with the gateway, as a capture file: simple and extended requests, one of them refused.
fn recorded(gateway: &Gateway, port: u16) -> Vec<u8> {
    let simple = |id: &str, group: u32| {
        let text =
            format!("SELECT doc FROM items WHERE id = '7f3a' /* id={id},c=view,d=900,cluster={group} */\0");
        frame(b'Q', text.as_bytes())
    };
    let run = |id: &str| [bind("", "v", &[Some("7f3a"), Some(id), Some("900")]), execute("", 0)].concat();
    let asked =
        [simple("s1", 2), simple("s2", 77), [parse("v", VIEW, &[]), run("e1"), run("e2"), sync()].concat()]
            .concat();
    let came = talk(gateway.addr, &[startup(), asked.clone()].concat());
    let welcome = came.windows(6).position(|w| w == b"Z\0\0\0\x05I").unwrap() + 6;
    let mut writer = Writer::new(Vec::new()).unwrap();
    let at = |ms: u64| Duration::from_millis(1_767_225_600_000 + ms);
    let client = SocketAddr::from(([127, 0, 0, 9], port));
    let mut connection = writer.open(at(0), client, gateway.addr, 77).unwrap();
    writer.send(at(1), &mut connection, End::Client, &startup()).unwrap();
    writer.send(at(2), &mut connection, End::Server, &came[..welcome]).unwrap();
    writer.send(at(3), &mut connection, End::Client, &asked).unwrap();
    writer.send(at(13), &mut connection, End::Server, &came[welcome..]).unwrap();
    writer.close(at(14), &mut connection, End::Client, false).unwrap();
    writer.close(at(14), &mut connection, End::Server, false).unwrap();
    writer.finish().unwrap()
}

#[test]
fn what_was_said_is_read_back_counted_and_compared() {
    let host = |value: &'static [u8]| {
        Host::start(move |query| match query {
            "SHOW load" => well(false, query),
            _ => Do::Say(rows("replica", "SELECT 1", &[Some(value)])),
        })
    };
    let primary = Host::well(true);
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, bytes: &[u8]| {
        let path = folder.path().join(name);
        std::fs::File::create(&path).unwrap().write_all(bytes).unwrap();
        path
    };
    let gateway = Gateway::with_edge(&pair(&primary, &host(b"one")), EDGE);
    let bytes = recorded(&gateway, 4000);
    let first = file("first.pcap", &bytes);
    let same = file("same.pcap", &recorded(&gateway, 4001));
    let other = Gateway::with_edge(&pair(&primary, &host(b"other")), EDGE);
    let other = file("other.pcap", &recorded(&other, 4000));

    let output = pcap(&["requests"], &[&first]);
    assert!(output.status.success() && output.stderr.is_empty(), "{}", text(&output.stderr));
    let lines: Vec<serde_json::Value> =
        text(&output.stdout).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let told: Vec<_> =
        lines.iter().map(|l| (l["id"].as_str().unwrap(), l["outcome"].as_str().unwrap())).collect();
    assert_eq!(told, [("s1", "served"), ("s2", "refused"), ("e1", "served"), ("e2", "served")]);
    assert_eq!((lines[0]["answer_ms"].as_f64(), lines[1]["sqlstate"].as_str()), (Some(10.0), Some("53300")));
    assert_eq!((lines[2]["parameters"][1].as_str(), lines[2]["class"].as_str()), (Some("e1"), Some("view")));
    let shaped = text(&pcap(&["requests", "--shape"], &[&first]).stdout);
    assert!(shaped.contains("SELECT doc FROM items WHERE id = ?") && !shaped.contains("7f3a"), "{shaped}");

    let output = text(&pcap(&["stats"], &[&first]).stdout);
    assert!(output.starts_with("requests 4 in 0.000 s"), "{output}");
    assert!(
        output.contains("view: served 3 refused 1 failed 0 skipped 0 unanswered 0; ms p50 10.0"),
        "{output}"
    );
    assert!(output.contains("unreadable bytes 0,"), "{output}");

    assert_eq!(pcap(&["diff"], &[&first, &same]).status.code(), Some(0));
    let output = pcap(&["diff"], &[&first, &other]);
    assert_eq!(output.status.code(), Some(1));
    let lines = text(&output.stdout);
    assert_eq!(lines.lines().count(), 3, "each served one has another value: {lines}");
    assert!(lines.lines().all(|line| line.contains(r#""differs":"value""#)), "{lines}");

    // Cut in the middle of the last answer's packet: what was answered before it is there.
    let cut = file("cut.pcap", &bytes[..bytes.len() - 300]);
    let output = pcap(&["requests"], &[&cut]);
    assert!(output.status.success());
    assert!(text(&output.stderr).contains("cut.pcap: offset "), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout).lines().count(), 4);

    for (path, said) in [
        (file("none.pcap", b"this is no capture file, whatever its name"), "neither pcap nor pcapng"),
        (folder.path().join("missing.pcap"), "missing.pcap: "),
    ] {
        let output = pcap(&["stats"], &[&path]);
        assert_eq!(output.status.code(), Some(65));
        assert!(text(&output.stderr).contains(said), "{}", text(&output.stderr));
    }
}

#[test]
fn a_recording_is_replayed_written_and_gives_the_same_requests_and_answers() {
    let replica = Host::start(|query| match query {
        "SHOW load" => well(false, query),
        // What came out for a row is made of the row's key and of nothing that changes from run to run.
        query => Do::Say(rows("replica", "SELECT 1", &[Some(query.split('\'').nth(1).unwrap().as_bytes())])),
    });
    let primary = Host::well(true);
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    std::fs::write(path("first.pcap"), recorded(&gateway, 4000)).unwrap();
    let replay = |to: SocketAddr, more: &[&str]| {
        let to = to.to_string();
        pcap(&[&["replay", "--to", &to, "--speed", "max"], more].concat(), &[&path("first.pcap")])
    };
    let again = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let before = replica.asked().len();
    let output = replay(again.addr, &["--write", path("second.pcap").to_str().unwrap()]);
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(
        out, "sent 4: served 3 refused 1; other outcomes 0, other values 0, broken connections 0\n",
        "{err}"
    );
    assert!(output.status.success());
    let asked = replica.asked();
    assert_eq!(asked.len() - before, 3);
    // Read back: the same sequence of requests and answers.
    let ids = |name: &str| {
        let lines = text(&pcap(&["requests"], &[&path(name)]).stdout);
        let line = |line: &str| serde_json::from_str::<serde_json::Value>(line).unwrap();
        let told = |l: serde_json::Value| {
            [l["id"].to_string(), l["outcome"].to_string(), l["value_crc32"].to_string()]
        };
        lines.lines().map(|l| told(line(l))).collect::<Vec<_>>()
    };
    assert_eq!(ids("second.pcap"), ids("first.pcap"));
    assert_eq!(pcap(&["diff"], &[&path("first.pcap"), &path("second.pcap")]).status.code(), Some(0));

    // Ids renewed; another server of the recording alone; nobody there; and more than the memory allowed.
    replay(again.addr, &["--map-ids"]);
    assert!(replica.asked().iter().any(|asked| asked.contains("id=e2-")), "{:?}", replica.asked());
    let output = replay(again.addr, &["--server", "127.0.0.77:1"]);
    assert!(text(&output.stdout).starts_with("sent 0:"));
    let output = replay("127.0.0.1:1".parse().unwrap(), &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("unanswered 4; other outcomes 4"), "{}", text(&output.stdout));
    let output = replay(again.addr, &["--memory-mb", "0"]);
    assert_eq!(output.status.code(), Some(65));
    assert!(text(&output.stderr).contains("--memory-mb"), "{}", text(&output.stderr));
    assert_eq!(replay(again.addr, &["--speed", "0"]).status.code(), Some(2));
}
