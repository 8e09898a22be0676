//! Sessions whose commits the gateway remembers: a read is served from no position before its session's write.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
/// How far the replica is behind, and how long a write takes.
const REPLICA_LAG: Duration = Duration::from_millis(1_500);
const WRITE_TAKES: Duration = Duration::from_millis(120);
/// How often the replica is read until its position is known.
const READS: usize = 20;

/// Settings in which the gateway remembers commits and db hosts check nothing; reads belong to sessions.
fn settings() -> String {
    let settings = include_str!("common/settings.json");
    settings
        .replace(r#"["bounded", "write"]"#, r#"["session", "write"]"#)
        .replace(r#""Tokens": "carried""#, r#""Tokens": "remembered""#)
        .replace(r#""WhenBehind": "refuse""#, r#""WhenBehind": "silent""#)
}

fn primary() -> Host {
    Host::start(|query| match query {
        "SHOW load" => Do::Say(report(true, 0)),
        query if query.starts_with("INSERT") => Do::SayLater(WRITE_TAKES, served("primary")),
        _ => Do::Say(served_value("primary", b"new")),
    })
}

fn replica() -> Host {
    Host::start(|query| match query {
        "SHOW load" => Do::Say(report(false, REPLICA_LAG.as_millis())),
        _ => Do::Say(rows_at("replica", "SELECT 1", &[Some(b"old")], unix_ms() - REPLICA_LAG.as_millis())),
    })
}

/// A gateway that knows where its replica is, and that sends another session's reads there.
fn start(primary: &Host, replica: &Host, operated: bool) -> Gateway {
    let known = pair(primary, replica);
    let gateway = if operated {
        Gateway::operated_with(&known, &settings())
    } else {
        Gateway::start_with(&known, &settings())
    };
    let mut other = gateway.client();
    for _ in 0..READS {
        assert_eq!(other.ask(&read("other")), SERVED);
    }
    assert!(!replica.asked().is_empty(), "reads of other sessions are served there");
    gateway
}

fn read(session: &str) -> String {
    statement("view", 1_200, "").replace("7f3a", session)
}

fn write(session: &str, key: usize) -> String {
    statement("order", 3_000, &format!(",k={key}")).replace("7f3a", session)
}

/// Whether a session's reads, one after another, see its write.
fn sees_its_write(client: &mut Client, session: &str) -> bool {
    (0..3).all(|_| {
        assert_eq!(client.ask(&read(session)), SERVED);
        client.rows.concat().ends_with(b"new")
    })
}

// Guards against: a session's read served from before its write, as the writer's client had left before the answer came.
#[test]
fn a_read_sees_its_session_s_write_though_the_writer_s_client_has_left() {
    let (primary, replica) = (primary(), replica());
    let gateway = start(&primary, &replica, false);
    let mut reader = gateway.client();
    for turn in 0..4 {
        let session = format!("left{turn}");
        let mut writer = gateway.client();
        writer.send(&write(&session, turn));
        until(|| primary.asked().iter().any(|query| query.contains(&session)), || gateway.log());
        drop(writer);
        // The answer comes now, to nobody.
        thread::sleep(WRITE_TAKES + Duration::from_millis(100));
        let since = Instant::now();
        let sees = sees_its_write(&mut reader, &session);
        assert!(sees || since.elapsed() > REPLICA_LAG / 2, "session {session}: {}", gateway.log());
    }
}

// Guards against: a session's read served from before its write, which went through the other process of a replacement.
#[test]
fn a_read_through_one_process_of_a_replacement_sees_what_its_session_wrote_through_the_other() {
    let (primary, replica) = (primary(), replica());
    let old = start(&primary, &replica, true);
    let mut through_old = old.client();
    assert_eq!(through_old.ask(&read("before")), SERVED);
    let new = old.replacement();
    old.logs("a newer process serves");
    // The new process learns where the replica is.
    let mut through_new = new.client();
    for _ in 0..READS {
        assert_eq!(through_new.ask(&read("other")), SERVED);
    }
    // The old process closes its connections behind their answers, so each is used once.
    let since = Instant::now();
    assert_eq!(through_old.ask(&write("moved", 1)), SERVED);
    let sees = sees_its_write(&mut through_new, "moved");
    assert!(sees || since.elapsed() > REPLICA_LAG, "{}{}", old.log(), new.log());
}
