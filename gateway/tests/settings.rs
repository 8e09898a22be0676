//! Settings as a process takes them: at the start, at a reload while requests wait, and beside another deployment.

mod common;

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SETTINGS: &str = include_str!("common/settings.json");
/// What a client gets when a db host has served it.
const SERVED: &[u8] = b"TDCZ";
const PROGRAM: &str = env!("CARGO_BIN_EXE_yewroute");
/// How long a db host takes over a request, in the tests that reload meanwhile.
const WORK: Duration = Duration::from_millis(250);

/// `text` with `to` in the place of `from`, which is there.
fn with(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

/// A configuration whose discovery nobody needs.
fn config(settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},
        "known":{{"version":1,"full":true,"servers":[]}},"settings":{settings}}}"#
    )
}

/// A db host that takes its time over requests.
fn slow(primary: bool) -> Host {
    let role = if primary { "primary" } else { "replica" };
    Host::start(move |query| match query {
        "SHOW load" => well(primary, query),
        _ => Do::SayLater(WORK, served(role)),
    })
}

/// Starts the program with a configuration file, and waits for its end.
fn ended(path: &Path) -> Output {
    Command::new(PROGRAM).env_clear().env("EDGE_CONFIG", path).output().unwrap()
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_and_names_file_and_key() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let good = config(SETTINGS);
    let cases = [
        (r#""discovery":"127.0.0.1:1""#, r#""discovery":"nowhere""#, "discovery: "),
        (r#""discovery":"127.0.0.1:1","#, "", "discovery: missing"),
        (r#""limits":{"sockets":256},"#, "", "limits: missing"),
        (r#""sockets":256"#, r#""sockets":256,"memory_mb":31"#, "limits.memory_mb: "),
        (r#""MaxAttempts": 8, "#, "", "settings.Bounds.MaxAttempts: missing"),
        (r#""MaxAttempts": 8"#, r#""MaxAttempts": 0"#, "settings.Bounds.MaxAttempts: "),
        (r#""TipMultiple": 4.0"#, r#""TipMultiple": 0"#, "settings.Rules.TipMultiple: "),
        (r#""DeadlineMs": 1200.0"#, r#""DeadlineMs": 120.0"#, "settings.Classes[0].DeadlineMs: "),
        (r#""Name": "order""#, r#""Name": "view""#, "settings.Classes[1].Name: "),
        (r#""Instances": 1"#, r#""Instances": 0"#, "settings.Instances: "),
    ];
    let texts = cases.map(|(from, to, named)| (with(&good, from, to), named));
    let half = (good[..good.len() / 2].to_owned(), "");
    for (text, named) in texts.into_iter().chain([half, (String::new(), "")]) {
        std::fs::write(&path, &text).unwrap();
        let output = ended(&path);
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(78), "{text}: {said}");
        assert!(said.contains(&format!("error=\"{}: {named}", path.display())), "{named}: {said}");
    }
    std::fs::remove_file(&path).unwrap();
    let output = ended(&path);
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(78), "{said}");
    assert!(said.contains(&format!("EDGE_CONFIG: {}: ", path.display())), "{said}");
}

/// Waits for the answers of requests that were out or waiting, sees that none gets a second, and returns how many were
/// served. `within` is when the last has to be there.
fn answered_once(clients: Vec<Client>, within: Instant) -> usize {
    let mut count = 0;
    for mut client in clients {
        let answer = client.answer();
        assert_eq!(answer.last(), Some(&b'Z'), "one final answer");
        assert!(Instant::now() < within, "late");
        count += usize::from(answer == SERVED);
        // What comes next belongs to the next query.
        assert_eq!(client.ask(""), b"IZ", "a second answer");
    }
    count
}

#[test]
fn a_reload_that_changes_classes_leaves_waiting_requests_and_the_classes_in_force_as_they_are() {
    let removed = SETTINGS
        .replace(
            r#"{"AimMs": 500.0, "Credit": 2.0, "DeadlineMs": 1200.0, "Effect": "idempotent", "Name": "view"},"#,
            "",
        )
        .replace(r#""Freshness": ["bounded", "write"], "LagAllowedMs": [200.0, 0.0]"#, r#""Freshness": ["write"], "LagAllowedMs": [0.0]"#);
    assert!(!removed.contains("view"));
    let cases = [
        removed,
        with(SETTINGS, r#""Name": "view""#, r#""Name": "glance""#),
        with(SETTINGS, r#""Credit": 2.0"#, r#""Credit": 0.0"#),
        with(
            SETTINGS,
            r#""AimMs": 500.0, "Credit": 2.0, "DeadlineMs": 1200.0"#,
            r#""AimMs": 50.0, "Credit": 2.0, "DeadlineMs": 60.0"#,
        ),
        with(SETTINGS, r#""Effect": "deduplicated""#, r#""Effect": "at_most_once""#),
    ];
    let (primary, replica) = (slow(true), slow(false));
    let gateway = Gateway::pair(&primary, &replica);
    for (index, settings) in cases.iter().enumerate() {
        // More than the db hosts are sent at once: some wait here.
        let mut clients: Vec<Client> = (0..14).map(|_| gateway.client()).collect();
        let asked = Instant::now();
        for (n, client) in clients.iter_mut().enumerate() {
            let class = if n % 7 == 0 { "order" } else { "view" };
            client.send(&statement(class, 1_200, &format!(",k={index}a{n}")));
        }
        let before = primary.asked().len() + replica.asked().len();
        until(|| primary.asked().len() + replica.asked().len() > before, || gateway.log());
        gateway.reload(SETTINGS, settings);
        let read_again = "SIGHUP: a new name, listen or settings count from the next start";
        until(|| gateway.log().matches(read_again).count() > index, || gateway.log());
        let served = answered_once(clients, asked + Duration::from_millis(1_400));
        assert!(served >= 4, "case {index}: {served} served; {}", gateway.log());
        let mut client = gateway.client();
        for class in ["view", "order"] {
            assert_eq!(client.ask(&statement(class, 1_200, &format!(",k={index}b"))), SERVED, "case {index}");
        }
    }
}

/// A file at a reload, whether it can be read at all, and what the error says behind the file's name.
type Faulty = (fn(&str) -> Option<Vec<u8>>, &'static str);

/// Reloads one faulty file after the other, each of which names another discovery, and sees that nothing changes.
fn reloads_in_vain(cases: &[Faulty]) {
    let (primary, replica) = (slow(true), slow(false));
    let gateway = Gateway::pair(&primary, &replica);
    gateway.news.send(pair(&primary, &replica)).unwrap();
    let other = Discovery::start(&[]);
    let moved = with(
        gateway.config(),
        &format!(r#""discovery":"{}""#, gateway.discovery),
        &format!(r#""discovery":"{}""#, other.addr),
    );
    let mut out = gateway.client();
    out.send(&statement("order", 3_000, ",k=1"));
    until(|| !primary.asked().is_empty(), || gateway.log());
    let path = gateway.config_path();
    let kept = || gateway.log().matches("the configuration in force stays").count();
    for (index, (file, named)) in cases.iter().enumerate() {
        match file(&moved) {
            Some(text) => gateway.reload_text(&text),
            None => {
                std::fs::remove_file(&path).unwrap();
                gateway.hang_up();
            }
        }
        until(|| kept() > index, || format!("{named}: {}", gateway.log()));
        let log = gateway.log();
        let last = log.lines().rfind(|line| line.contains("the configuration in force stays")).unwrap();
        assert!(last.contains(&format!("{}: {named}", path.display())), "{named}: {last}");
    }
    assert_eq!(out.answer(), SERVED, "what was out goes on");
    assert_eq!(gateway.client().ask(&statement("view", 1_200, "")), SERVED);
    assert!(other.calls.lock().unwrap().is_empty(), "the address of a faulty file is not called");
    assert_eq!(gateway.calls.lock().unwrap().len(), 1, "the watch in force goes on");
    // The same address in a file without a fault counts.
    gateway.reload_text(moved.as_bytes());
    until(|| !other.calls.lock().unwrap().is_empty(), || gateway.log());
}

#[test]
fn a_faulty_file_at_a_reload_changes_nothing() {
    let cases: [Faulty; 11] = [
        (|text| Some(with(text, r#""discovery":""#, r#""discovery":"x"#).into()), "discovery: "),
        (|text| Some(with(text, r#""sockets":256"#, r#""sockets":31"#).into()), "limits.sockets: "),
        (|text| Some(with(text, r#""memory_mb":192"#, r#""memory_mb":1"#).into()), "limits.memory_mb: "),
        (|text| Some(with(text, r#""Credit": 2.0, "#, "").into()), "settings.Classes[0].Credit: missing"),
        (|text| Some(with(text, "1200.0", "400.0").into()), "settings.Classes[0].DeadlineMs: "),
        (
            |text| Some(with(text, r#"Multiple": 4.0"#, r#"Multiple": -1"#).into()),
            "settings.Rules.TipMultiple: ",
        ),
        (|text| Some(with(text, r#""view""#, r#""order""#).into()), "settings.Classes[1].Name: "),
        (|text| Some(text[..text.len() - 40].into()), ""),
        (|_| Some(Vec::new()), ""),
        (|_| Some(b"\xff\xfe".into()), ""),
        (|_| None, ""),
    ];
    // The log says no line more than five times in ten seconds.
    thread::scope(|scope| {
        for cases in cases.chunks(4) {
            scope.spawn(|| reloads_in_vain(cases));
        }
    });
}

#[test]
fn two_deployments_with_the_same_names_act_each_by_its_own_figures() {
    let other = with(
        SETTINGS,
        r#""AimMs": 500.0, "Credit": 2.0, "DeadlineMs": 1200.0"#,
        r#""AimMs": 200.0, "Credit": 9.0, "DeadlineMs": 300.0"#,
    );
    let other = with(&other, r#""Effect": "deduplicated""#, r#""Effect": "at_most_once""#);
    let hosts = || {
        let acts = |query: &str, primary| match query {
            "SHOW load" => well(primary, query),
            query if query.contains("c=order") => Do::Break,
            _ => Do::Nothing,
        };
        (Host::start(move |query| acts(query, true)), Host::start(move |query| acts(query, false)))
    };
    let (first, second) = (hosts(), hosts());
    let one = Gateway::start_with(&pair(&first.0, &first.1), SETTINGS);
    let two = Gateway::start_with(&pair(&second.0, &second.1), &other);
    let (mut of_one, mut of_two) = (one.client(), two.client());
    let start = Instant::now();
    of_one.send(&statement("view", 5_000, ""));
    of_two.send(&statement("view", 5_000, ""));
    of_two.answer();
    let took = start.elapsed();
    assert!(took < Duration::from_millis(400), "its deadline is 300 ms: {took:?}");
    of_one.answer();
    let took = start.elapsed();
    assert!(took > Duration::from_millis(400), "its deadline is 1200 ms: {took:?}");
    // A key's repeat is for the first alone to send; the other's order may be sent once.
    of_two.ask(&statement("order", 1_000, ",k=1"));
    of_one.ask(&statement("order", 1_000, ",k=1"));
    let orders = |host: &Host| host.asked().iter().filter(|query| query.contains("c=order")).count();
    assert_eq!(orders(&second.0) + orders(&second.1), 1);
    assert!(orders(&first.0) > 1, "{:?}", first.0.asked());
}

#[test]
fn signals_that_come_while_the_configuration_is_read_are_not_lost_and_do_not_kill() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let child =
        Command::new(PROGRAM).env_clear().env("EDGE_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let signal = |signal: &str| {
        let pid = child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    };
    // Opens once the program reads.
    let mut file = OpenOptions::new().write(true).open(&path).unwrap();
    signal("-HUP");
    signal("-TERM");
    // What it reads when it is told to read again.
    let again = folder.path().join("again.json");
    std::fs::write(&again, config(SETTINGS)).unwrap();
    std::fs::rename(&again, &path).unwrap();
    thread::sleep(Duration::from_millis(100));
    file.write_all(config(SETTINGS).as_bytes()).expect("it still reads");
    drop(file);
    let output = child.wait_with_output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{}: {said}", output.status);
    assert!(said.contains("SIGHUP: configuration read again"), "{said}");
    assert!(said.contains("SIGTERM: draining"), "{said}");
}
