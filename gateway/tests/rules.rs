//! The rules, each on real sockets with the gateway as a process.

mod common;

use std::io::{Read, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
const ERROR: &[u8] = b"EZ";

#[test]
fn requests_are_served_byte_for_byte_however_their_bytes_come() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    // The first query right behind the startup message, all of it in single bytes.
    let mut client = Client::raw(gateway.addr);
    let order = statement("order", 3000, ",k=5c0f,novel=x'y");
    for byte in [startup(), frame(b'Q', &[order.as_bytes(), b"\0"].concat())].concat() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!(client.answer(), b"Z", "the welcome");
    assert_eq!(client.answer(), SERVED);
    // Two requests and an empty query at once, then the end of sending: all are answered, in order.
    client.send(&order);
    client.send("");
    client.send(&order);
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!([client.answer(), client.answer(), client.answer()], [SERVED, b"IZ", SERVED]);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0, "then it is closed");
    for asked in primary.asked() {
        let (before, rest) = asked.split_once(",d=").unwrap();
        let (wait, after) = rest.split_once(',').unwrap();
        assert_eq!(format!("{before},d=3000,{after}"), order);
        assert!((2000..=3000).contains(&wait.parse::<u32>().unwrap()), "{wait}");
    }
    assert_eq!(primary.asked().len(), 3);
}

#[test]
fn every_request_is_answered_though_its_db_hosts_are_in_trouble() {
    let mut dead = Host::well(false);
    dead.addr = "127.0.0.1:1".parse().unwrap();
    let garbage = Host::start(|query| match query {
        "SHOW load" => Do::Say(b"\xff\xff\xff\xff\xff\xff".to_vec()),
        _ => Do::Say(b"T\0\0\0\x01".to_vec()),
    });
    let silent = Host::start(|_| Do::Nothing);
    for (host, least) in [(&dead, 0), (&garbage, 0), (&silent, 1)] {
        let gateway = Gateway::pair(host, host);
        for class in ["order", "view"] {
            let start = Instant::now();
            let mut client = gateway.client();
            assert_eq!(client.ask(&statement(class, 700, ",k=1")), ERROR, "{class}");
            assert!(start.elapsed() < Duration::from_secs(5));
            assert!(host.asked().len() >= least);
        }
    }
}

#[test]
fn a_request_that_cannot_be_served_is_refused_at_once_with_the_time_to_come_back() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    let other_group = statement("order", 3000, "").replace("cluster=2", "cluster=3");
    assert_eq!(client.ask(&other_group), ERROR);
    assert!(client.error.contains("|C53300|") && client.error.contains("|D2000|"), "{}", client.error);
}

#[test]
fn no_effect_is_done_twice_at_a_time() {
    // The first copy breaks, the second is never answered, so the third must wait for its connection's end.
    static OUT: AtomicU32 = AtomicU32::new(0);
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => match OUT.fetch_add(1, Ordering::SeqCst) {
            0 => Do::Break,
            _ => Do::Nothing,
        },
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("order", 900, ",k=1")), ERROR);
    // It may have run, so it has failed and was not refused.
    assert!(client.error.contains("|C40003|"), "{}", client.error);
    assert!(primary.asked().len() <= 2 && replica.asked().is_empty(), "{:?}", primary.asked());
}

#[test]
fn a_draining_db_host_gets_nothing_new() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    assert_eq!((primary.asked().len(), replica.asked().len()), (0, 1));
    let drain = entry("s-b", &replica, "replica", "Terminating", 0);
    gateway.news.send(list(42, false, &[drain])).unwrap();
    // It has been heard of within the time that the rule allows.
    thread::sleep(Duration::from_millis(250));
    for _ in 0..10 {
        assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    }
    assert_eq!((primary.asked().len(), replica.asked().len()), (10, 1));
}

#[test]
fn a_broken_watch_is_opened_again_from_the_version_held() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let first = &[
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"v\"\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
         3f\r\n{\"version\":43,\"full\":true,\"servers\":[{\"id\":\"s\",\"cell\":\"two\"}]}\n\r\n",
    ];
    let settings = include_str!("common/settings.json");
    let gateway = Gateway::start_after(first, &pair(&primary, &replica), settings);
    let drain = entry("s-b", &replica, "replica", "Terminating", 0);
    gateway.news.send(list(42, false, &[drain])).unwrap();
    let start = Instant::now();
    while gateway.calls.lock().unwrap().len() < 4 {
        assert!(start.elapsed() < Duration::from_secs(30), "{}", gateway.log());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(*gateway.calls.lock().unwrap(), ["GET /catalog/members?follow=1&since=41 HTTP/1.1\r\n"; 4]);
    assert!(gateway.log().contains("status 503") && gateway.log().contains("malformed list"));
    assert!(gateway.log().contains("servers[0].cell"), "{}", gateway.log());
    thread::sleep(Duration::from_millis(250));
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    assert_eq!((primary.asked().len(), replica.asked().len()), (1, 0));
}

#[test]
fn a_db_host_that_has_just_started_is_spared() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let entries = [
        entry("s-a", &primary, "primary", "Ready", 0),
        entry("s-b", &replica, "replica", "Ready", unix_ms()),
    ];
    let gateway = Gateway::start(&list(41, true, &entries));
    let mut client = gateway.client();
    for _ in 0..40 {
        assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    }
    let (cold, warm) = (replica.asked().len(), primary.asked().len());
    assert!(cold < warm, "{cold} to the cold replica, {warm} to the warm primary");
}

#[test]
fn no_read_goes_to_a_replica_that_is_too_far_behind() {
    let primary = Host::well(true);
    let replica = Host::start(|query| match query {
        "SHOW load" => Do::Say(report(false, 60_000)),
        _ => Do::Say(
            frame(b'E', b"SERROR\0C72000\0Mbehind\0\0").into_iter().chain(frame(b'Z', b"I")).collect(),
        ),
    });
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    for _ in 0..10 {
        assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    }
    assert_eq!(primary.asked().len(), 10);
    assert!(replica.asked().len() <= 2, "{} reads were turned away", replica.asked().len());
}

#[test]
fn a_send_that_is_still_connecting_when_its_db_host_drains_is_not_written() {
    let primary = Host::slow(Duration::from_millis(200), |query| well(true, query));
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    client.send(&statement("order", 1000, ",k=1"));
    while primary.connections.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let drain = entry("s-a", &primary, "primary", "Terminating", 0);
    gateway.news.send(list(42, false, &[drain])).unwrap();
    client.answer();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(primary.asked(), [""; 0]);
}

#[test]
fn connections_to_db_hosts_are_used_again_and_a_closed_one_is_no_reset() {
    let primary = Host::start(|query| match query {
        query if query.contains("k=last") => Do::SayAndBreak(served("primary")),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&statement("order", 3000, ",k=1")), SERVED);
    }
    let connections = primary.connections.load(Ordering::SeqCst);
    assert!(connections <= 2, "one for requests, one for a probe at the same time: {connections}");
    assert_eq!(client.ask(&statement("order", 3000, ",k=last")), SERVED);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(client.ask(&statement("order", 3000, ",k=after")), SERVED);
    assert_eq!(primary.asked().len(), 22, "nothing was sent twice");
}

#[test]
fn idle_connections_are_retired_before_the_db_host_closes_them() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let settings = include_str!("common/settings.json").replace("30000.0", "1000.0");
    let gateway = Gateway::start_with(&pair(&primary, &replica), &settings);
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("order", 3000, ",k=1")), SERVED);
    assert!(primary.open.load(Ordering::SeqCst) > 0);
    let start = Instant::now();
    while primary.open.load(Ordering::SeqCst) > 0 {
        assert!(start.elapsed() < Duration::from_secs(10), "still open");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_spoilt_answer_is_passed_on_by_nobody_and_its_connection_never_used_again() {
    // The first answer is spoilt, each time in another way; the connection stays open.
    let spoilt: [Vec<u8>; 5] = [
        served("primary").iter().map(|b| if *b == b'D' { b'q' } else { *b }).collect(),
        b"xxxx\r\n".to_vec(),
        // Said to be 3 GB.
        [&served("primary")[..29], b"D\xb2\xd0\x5e\x00\x00\x01"].concat(),
        // Stops within the row: nothing more comes, and the request's time is long.
        served("primary")[..40].to_vec(),
        [&served("primary")[..29], &frame(b'E', b"SERROR\0C53300\0Mno\0\0"), &frame(b'Z', b"I")].concat(),
    ];
    for spoilt in spoilt {
        let asked = AtomicU32::new(0);
        let shown = spoilt.escape_ascii().to_string();
        let primary = Host::start(move |query| match query {
            "SHOW load" => well(true, query),
            _ if asked.fetch_add(1, Ordering::SeqCst) == 0 => Do::Say(spoilt.clone()),
            _ => well(true, query),
        });
        let replica = Host::well(false);
        let gateway = Gateway::pair(&primary, &replica);
        let mut client = gateway.client();
        assert_eq!(client.ask(&statement("order", 3000, ",k=1")), SERVED, "{shown}");
        assert_eq!(primary.asked().len(), 2, "once more, {shown}");
        assert!(primary.connections.load(Ordering::SeqCst) >= 2, "on another connection, {shown}");
        gateway.logs("spoilt answer from a db host");
    }
}

#[test]
fn a_long_value_is_passed_on_whole_and_one_beyond_all_bounds_never_begun() {
    let value = |len: usize| (0..len).map(|at| (at % 251) as u8).collect::<Vec<u8>>();
    let primary = Host::start(move |query| match query {
        query if query.contains("k=long") => Do::Say(served_value("primary", &value(400_000))),
        query if query.contains("k=endless") => Do::Say(served_value("primary", &value(17_000_000))),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    client.send(&statement("order", 3000, ",k=long"));
    let described = read_frame(&mut client.stream).unwrap();
    assert_eq!(described.0, b'T');
    let (kind, row) = read_frame(&mut client.stream).unwrap();
    assert!(kind == b'D' && row[6..] == value(400_000));
    assert_eq!(client.answer(), b"CZ");
    assert_eq!(client.ask(&statement("order", 500, ",k=endless")), ERROR);
}

#[test]
fn long_values_that_nobody_takes_or_that_stop_stay_within_the_memory() {
    let value = vec![7; 990_000];
    let primary = Host::start(move |query| match query {
        query if query.contains("k=long") => Do::Say(served_value("primary", &value)),
        query if query.contains("k=part") => Do::Say(served_value("primary", &value)[..980_000].to_vec()),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    gateway.reload(r#""memory_mb":192"#, r#""memory_mb":32"#);
    gateway.logs("SIGHUP: configuration read again");
    let mut clients: Vec<Client> = (0..6).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.send(&statement("order", 1000, ",k=part"));
    }
    // Clients ask for one long value after the other and read none: 340 MB that would wait here.
    let mut greedy: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for client in &mut greedy {
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 4096).unwrap();
        for _ in 0..17 {
            client.send(&statement("order", 3000, ",k=long"));
        }
    }
    // A value that stopped breaks off after some seconds.
    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), b"T", "a row begun and not ended"));
    gateway.logs("spoilt answer from a db host");
    assert_eq!(gateway.client().ask(&statement("order", 3000, ",k=1")), SERVED);
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.pid())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
    let peak: usize = peak.unwrap().parse().unwrap();
    assert!(peak < 32 * 1024, "{peak} KiB");
}

#[test]
fn what_comes_behind_an_answer_is_nobodys() {
    // A second copy comes in the same bytes as the answer.
    let primary = Host::start(move |query| match query {
        "SHOW load" => well(true, query),
        _ => Do::Say([served("primary"), served("primary")].concat()),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    for asked in 1..=5 {
        assert_eq!(client.ask(&statement("order", 3000, ",k=1")), SERVED);
        assert_eq!(primary.asked().len(), asked, "each was sent and answered");
    }
    let connections = primary.connections.load(Ordering::SeqCst);
    assert!(connections >= 5, "{connections} connections for five answers: one was used again");
    until(|| primary.open.load(Ordering::SeqCst) <= 2, || "the first connections are still open".to_owned());
}

#[test]
fn a_request_whose_db_host_takes_no_connection_is_refused_before_half_of_its_time() {
    // It accepts and does not welcome anybody; the settings would wait for it for longer than the client does.
    let primary = Host::slow(Duration::from_secs(10), |query| well(true, query));
    let settings = include_str!("common/settings.json");
    let settings = settings.replace("\"ConnectTimeoutMs\": 250.0", "\"ConnectTimeoutMs\": 2500.0");
    let gateway = Gateway::start_with(&pair(&primary, &Host::well(false)), &settings);
    let mut client = gateway.client();
    let start = Instant::now();
    assert_eq!(client.ask(&statement("order", 2000, ",k=1")), ERROR);
    assert!(client.error.contains("|C53300|") || client.error.contains("|C57P03|"), "{}", client.error);
    let took = start.elapsed();
    assert!((900..1000).contains(&took.as_millis()), "{took:?} of 2 s");
}

#[test]
fn malformed_clients_are_told_and_closed_and_others_served() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let query = |text: &[u8]| frame(b'Q', text);
    let cases: [Vec<u8>; 6] = [
        query(b"SELECT 1\0"),
        query(b"no end"),
        query(b"SELECT '\xff' /* id=1,c=view,d=\xff,cluster=2 */\0"),
        b"Q\xff\xff\xff\xff".to_vec(),
        b"Q\0\0\0\0".to_vec(),
        b"!\0\0\0\x04".to_vec(),
    ];
    for case in cases {
        let mut client = gateway.client();
        client.stream.write_all(&case).unwrap();
        assert_eq!(client.answer(), b"E", "{}", case.escape_ascii());
        assert!(client.error.contains("|C08P01|"), "{}", client.error);
    }
    let mut client = gateway.client();
    client.stream.write_all(&[frame(b'P', b"\0\0\0\0"), frame(b'S', b"")].concat()).unwrap();
    assert_eq!(client.answer(), ERROR, "extended queries are not taken");
    assert!(client.error.contains("|C0A000|"));
    assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
}

#[test]
fn sighup_moves_the_watch_at_once_and_a_faulty_file_changes_nothing() {
    let primary = Host::start(|query| match query {
        query if query.contains("k=1") => Do::SayLater(Duration::from_millis(600), served("primary")),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let mut gateway = Gateway::pair(&primary, &replica);
    let mut out = gateway.client();
    out.send(&statement("order", 3000, ",k=1"));
    let file = gateway.config_path().display().to_string();
    for (from, to, named) in [
        (r#""sockets":256"#, r#""sockets":"few""#, "limits.sockets: "),
        (r#""seed":"8c1f"#, r#""seed":"8c1f","#, ""),
    ] {
        gateway.reload(from, to);
        gateway.logs(&format!("the configuration in force stays\" error=\"{file}: {named}"));
    }
    // EDGE_DISCOVERY still names the old one.
    let new = Discovery::start(&[]);
    let named = format!(r#""discovery":"{}""#, gateway.discovery);
    gateway.reload(&named, &format!(r#""discovery":"{}""#, new.addr));
    until(|| !new.calls.lock().unwrap().is_empty(), || gateway.log());
    assert_eq!(*new.calls.lock().unwrap(), ["GET /catalog/members?follow=1&since=41 HTTP/1.1\r\n"]);
    new.news.send(list(42, false, &[entry("s-b", &replica, "replica", "Terminating", 0)])).unwrap();
    assert_eq!(out.answer(), SERVED, "what was out has gone on");
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
    assert_eq!((primary.asked().len(), replica.asked().len()), (2, 0), "the new one's news counts");
    gateway.terminate();
    gateway.reload(r#""seed":"8c1f"#, r#""seed":"8c20"#);
    assert!(gateway.wait().success(), "{}", gateway.log());
}

#[test]
fn sigterm_answers_all_it_has_taken_and_exits_cleanly() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::SayLater(Duration::from_millis(900), served("primary")),
    });
    let replica = Host::well(false);
    let mut gateway = Gateway::pair(&primary, &replica);
    let mut early = gateway.client();
    let mut idle = gateway.client();
    early.send(&statement("order", 3000, ",k=1"));
    gateway.terminate();
    thread::sleep(Duration::from_millis(200));
    // New connections still come for a while, and are served too.
    let mut late = gateway.client();
    late.send(&statement("order", 3000, ",k=2"));
    assert_eq!(early.answer(), SERVED);
    assert_eq!(late.answer(), SERVED);
    assert_eq!(idle.answer(), b"", "closed without a word");
    assert!(gateway.wait().success(), "{}", gateway.log());
}

#[test]
fn a_client_that_stops_within_a_message_does_not_keep_a_drain_from_ending() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let mut gateway = Gateway::pair(&primary, &replica);
    let mut stuck = gateway.client();
    stuck.stream.write_all(b"Q\0\0\0\x09SEL").unwrap();
    let _mute = Client::raw(gateway.addr);
    thread::sleep(Duration::from_millis(50));
    gateway.terminate();
    assert!(gateway.wait().success(), "{}", gateway.log());
}

#[test]
fn a_client_that_reads_late_gets_every_answer() {
    // More answers than the buffers of both ends hold.
    const QUERIES: usize = 1_500_000;
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    let mut sender = client.stream.try_clone().unwrap();
    let sending = thread::spawn(move || {
        let all = frame(b'Q', b"SET a = 1\0").repeat(QUERIES);
        sender.write_all(&all).unwrap();
        sender.shutdown(std::net::Shutdown::Write).unwrap();
    });
    thread::sleep(Duration::from_millis(1500));
    let mut answers = Vec::new();
    client.stream.read_to_end(&mut answers).unwrap();
    sending.join().unwrap();
    let one = [frame(b'C', b"SET\0"), frame(b'Z', b"I")].concat();
    assert_eq!(answers.len(), one.len() * QUERIES);
    assert!(answers.chunks(one.len()).all(|answer| answer == one));
}

#[test]
fn a_configuration_at_fault_names_its_key() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let good = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},
        "known":{{"version":1,"full":true,"servers":[]}},"settings":{}}}"#,
        include_str!("common/settings.json")
    );
    let cases = [
        (r#""sockets":256"#, r#""sockets":"many""#, "limits.sockets: "),
        (r#""sockets":256"#, r#""sockets":3"#, "limits.sockets: "),
        (r#""seed":"1""#, r#""seed":"xyz""#, "seed: "),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#, "listen: "),
        (r#""AimMs": 500.0"#, r#""AimMs": "soon""#, "settings.Classes[0].AimMs: "),
        (r#""KeepaliveMs": 30000.0"#, r#""KeepaliveMs": 0"#, "settings.Bounds.KeepaliveMs: "),
        (r#"["bounded", "write"]"#, r#"["write"]"#, "settings.Domain.Freshness: "),
    ];
    for (from, to, named) in cases {
        assert!(good.contains(from), "{from}");
        std::fs::write(&path, good.replace(from, to)).unwrap();
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_yewroute"))
            .env_clear()
            .env("EDGE_CONFIG", &path)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(78), "{text}");
        assert!(text.contains(&format!("error=\"{}: {named}", path.display())), "{text}");
    }
}

#[test]
fn a_client_that_has_gone_is_told_from_one_that_only_ended_its_sending() {
    // The first copy of each request breaks after a while; a second is sent only for a client that is there.
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::BreakLater(Duration::from_millis(300)),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let copies = |key: &str| primary.asked().iter().filter(|query| query.contains(key)).count();
    let mut gone = gateway.client();
    gone.send(&statement("order", 1000, ",k=gone"));
    while copies("k=gone") == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    drop(gone);
    let mut there = gateway.client();
    there.send(&statement("order", 1000, ",k=there"));
    there.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(there.answer(), ERROR);
    assert!(copies("k=there") > 1, "{:?}", primary.asked());
    assert_eq!(copies("k=gone"), 1, "{:?}", primary.asked());
}

#[test]
fn idle_clients_and_silent_crowds_make_room_for_new_ones_when_descriptors_are_short() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    // Of the 256 descriptors that the configuration allows, clients get 120.
    let client = |query: &str, answer: &[u8]| {
        let mut client = gateway.client();
        assert_eq!(client.ask(query), answer);
        client
    };
    let request = || client(&statement("order", 3000, ",k=1"), SERVED);
    let mut idle: Vec<Client> = (0..60).map(|_| request()).collect();
    let _crowd: Vec<Client> = (0..300).map(|_| Client::raw(gateway.addr)).collect();
    let _held: Vec<Client> = (0..300).map(|_| client("", b"IZ")).collect();
    request();
    thread::sleep(Duration::from_millis(2100));
    let _new: Vec<Client> = (0..100).map(|_| request()).collect();
    let end = idle[0].stream.read(&mut [0]);
    assert_eq!(end.unwrap(), 0, "one idle for over 2 s was closed");
}

#[test]
fn a_client_that_says_nothing_whole_is_closed_before_long() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let start = Instant::now();
    let mut mute = Client::raw(gateway.addr);
    let mut silent = gateway.client();
    let mut half = gateway.client();
    half.stream.write_all(b"Q\0\0\0\x09SEL").unwrap();
    let mut asked = gateway.client();
    assert_eq!(asked.ask(""), b"IZ");
    assert_eq!([mute.answer(), silent.answer(), half.answer()], [&b""[..], b"", b"E"]);
    assert!(half.error.contains("|C08P01|"), "{}", half.error);
    // Far under what waiting in vain would take; three seconds are what the operators ask for.
    assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
    assert_eq!(asked.ask(&statement("view", 1200, "")), SERVED, "one that has asked is kept");
}

#[test]
fn another_clients_open_request_is_not_sent_again() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::SayLater(Duration::from_millis(300), served("primary")),
    });
    let replica = Host::well(false);
    let gateway = Gateway::pair(&primary, &replica);
    let order = statement("order", 3000, ",k=1");
    let (mut owner, mut other) = (gateway.client(), gateway.client());
    owner.send(&order);
    until(|| primary.asked().len() == 1, || gateway.log());
    assert_eq!(other.ask(&order), ERROR);
    assert!(other.error.contains("|C22023|"), "{}", other.error);
    assert_eq!(other.ask(&statement("no-such", 1000, "")), ERROR);
    assert!(other.error.contains("|C22023|"), "{}", other.error);
    assert_eq!(owner.answer(), SERVED);
    assert_eq!(primary.asked().len(), 1);
}
