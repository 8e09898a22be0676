//! Calls and answers of the console.

use super::*;

/// The same however a call is split: byte by byte, what is read of each beginning never changes.
fn read(text: &[u8]) -> Result<Option<Call>, Fault> {
    let whole = call(text);
    for len in 0..text.len() {
        match call(&text[..len]) {
            Ok(None) => {}
            early => assert_eq!(early, whole, "after {len} bytes of {}", text.escape_ascii()),
        }
    }
    whole
}

#[test]
fn calls_are_read_at_any_split() {
    let zone = |zone: &str, drains, forced| Ok(Some(Call::Zone(Order { zone: zone.into(), drains, forced })));
    let cases: &[(&str, Result<Option<Call>, Fault>)] = &[
        ("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", Ok(Some(Call::Ready))),
        ("GET /metrics?all=1 HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n\r\n", Ok(Some(Call::Metrics))),
        ("PUT /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", Ok(Some(Call::Drain))),
        ("PUT /undrain HTTP/1.0\r\n\r\n", Ok(Some(Call::Undrain))),
        ("GET /ready HTTP/1.1\nHost: a\n\n", Ok(Some(Call::Ready))),
        ("GET /drain HTTP/1.1\r\n\r\n", Err(Fault::Method("PUT"))),
        ("POST /drain HTTP/1.1\r\n\r\n", Err(Fault::Method("PUT"))),
        ("PUT /ready HTTP/1.1\r\n\r\n", Err(Fault::Method("GET"))),
        ("GET / HTTP/1.1\r\n\r\n", Err(Fault::UnknownPath)),
        ("GET /readyy HTTP/1.1\r\n\r\n", Err(Fault::UnknownPath)),
        ("GET /ready HTTP/2.0\r\n\r\n", Err(Fault::Malformed)),
        ("GET /ready\r\n\r\n", Err(Fault::Malformed)),
        ("\x16\x03\x01\x02", Err(Fault::Malformed)),
        ("GET /ready HTTP/1.1\r\nno colon\r\n\r\n", Err(Fault::Malformed)),
        ("GET /ready HTTP/1.1\r\nHost: a\r\n", Ok(None)),
        ("", Ok(None)),
        ("GET /table HTTP/1.1\r\n\r\n", Ok(Some(Call::Table))),
        ("GET /zones HTTP/1.1\r\n\r\n", Ok(Some(Call::Zones))),
        ("PUT /zones/drain/a%20b?force=1 HTTP/1.1\r\n\r\n", zone("a b", true, true)),
        ("PUT /zones/undrain/b HTTP/1.1\r\n\r\n", zone("b", false, false)),
        ("PUT /zones/drain/ HTTP/1.1\r\n\r\n", Err(Fault::Malformed)),
        ("PUT /zones/drain/a%2 HTTP/1.1\r\n\r\n", Err(Fault::Malformed)),
        ("GET /zones/drain/a HTTP/1.1\r\n\r\n", Err(Fault::Method("PUT"))),
        ("POST /table HTTP/1.1\r\n\r\n", Err(Fault::Method("GET, PUT"))),
        ("PUT /table HTTP/1.1\r\ncontent-length: 4\r\n\r\nabc", Ok(None)),
        (
            "PUT /table HTTP/1.1\r\nContent-Length: 4\r\n\r\na\r\nb",
            Ok(Some(Call::PutTable("a\r\nb".to_owned()))),
        ),
        ("PUT /table HTTP/1.1\r\nContent-Length: 0\r\n\r\n", Ok(Some(Call::PutTable(String::new())))),
        ("PUT /table HTTP/1.1\r\n\r\n", Err(Fault::NoLength)),
        (
            "PUT /table HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            Err(Fault::NoLength),
        ),
        ("PUT /table HTTP/1.1\r\nContent-Length: +4\r\n\r\n", Err(Fault::Malformed)),
        ("PUT /table HTTP/1.1\r\nContent-Length: 262145\r\n\r\n", Err(Fault::TooLarge)),
        ("PUT /table HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", Err(Fault::TooLarge)),
    ];
    for (text, want) in cases {
        assert_eq!(read(text.as_bytes()), *want, "{text:?}");
    }
    let long = format!("GET /ready HTTP/1.1\r\nX: {}", "x".repeat(LONGEST_HEAD));
    assert_eq!(call(long.as_bytes()), Err(Fault::TooLong));
    let many = format!("GET /ready HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(MOST_FIELDS + 1));
    assert_eq!(call(many.as_bytes()), Err(Fault::TooLong));
}

#[test]
fn answers_are_written_whole() {
    let text = |write: &dyn Fn(&mut Vec<u8>)| {
        let mut out = Vec::new();
        write(&mut out);
        String::from_utf8(out).unwrap()
    };
    assert_eq!(
        text(&|out| put_word(out, true, "ready")),
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
    );
    let starts = |write: &dyn Fn(&mut Vec<u8>), want: &str| {
        let text = text(write);
        assert!(text.starts_with(want), "{text}");
    };
    starts(&|out| put_word(out, false, "draining"), "HTTP/1.1 503 ");
    starts(&|out| put_conflict(out, "stopping"), "HTTP/1.1 409 ");
    for (fault, status) in [
        (Fault::Malformed, "400"),
        (Fault::UnknownPath, "404"),
        (Fault::Late, "408"),
        (Fault::TooLong, "431"),
    ] {
        starts(&|out| put_fault(out, fault), &format!("HTTP/1.1 {status} "));
    }
    for (fault, status) in [(Fault::NoLength, "411"), (Fault::TooLarge, "413"), (Fault::Busy, "503")] {
        starts(&|out| put_fault(out, fault), &format!("HTTP/1.1 {status} "));
    }
    for status in [200, 404, 409, 413, 422, 503] {
        let text = text(&|out| put_json(out, status, "{}"));
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")) && !text.contains(" Answer"), "{text}");
        assert!(text.ends_with("Content-Length: 3\r\nConnection: close\r\n\r\n{}\n"), "{text}");
    }
    starts(&put_unheard, "HTTP/1.1 503 ");
    starts(&|out| put_table(out, None), "HTTP/1.1 404 ");
    let method = text(&|out| put_fault(out, Fault::Method("PUT")));
    assert!(method.starts_with("HTTP/1.1 405 ") && method.contains("\r\nAllow: PUT\r\n"), "{method}");
}

#[test]
fn a_table_s_state_follows_from_the_lease_and_what_is_on_its_road() {
    let now = Instant::now();
    let second = std::time::Duration::from_secs(1);
    let next = Next { version: 8, digest: "ab".to_owned(), waits_for: vec!["g1".into()], ..Next::default() };
    let told = |until: Option<Instant>, next: Option<Next>| {
        let acting = Acting { version: 7, until, ..Acting::default() };
        let status = Status { next, ..Status::default() };
        let mut out = Vec::new();
        put_table(&mut out, Some(&TableView::of(&status, &acting, now)));
        let text = String::from_utf8(out).unwrap();
        text.split("\r\n\r\n").nth(1).unwrap().trim_end().to_owned()
    };
    let refused = Next { refused: [("g1".into(), "why".to_owned())].into(), ..next.clone() };
    assert!(
        told(Some(now + second), Some(refused)).contains(r#""state":"acting""#),
        "it is on no road any more"
    );
    assert_eq!(
        told(Some(now + second), Some(next)),
        r#"{"version":7,"digest":"0000000000000000","state":"preparing","acting_until_ms":1000,"settled":false,"next":{"version":8,"digest":"ab","prepared":[],"waits_for":["g1"],"refused":{}}}"#
    );
    assert!(told(Some(now + second), None)
        .contains(r#""state":"acting","acting_until_ms":1000,"settled":false,"next":null"#));
    for over in [None, Some(now), now.checked_sub(second)] {
        assert!(
            told(over, None).contains(r#""state":"held","acting_until_ms":0,"settled":false,"next":null"#)
        );
    }
}

#[test]
fn figures_list_every_class_and_escape_its_name() {
    let some = Results { succeeded: 812, declined: 3, aborted: 1 };
    let figures = Figures {
        results: vec![("flight-view", some), ("odd \"\\\n", Results::default())],
        forwards: 901,
        outstanding: 14,
        discovered: 8,
        ejected: 2,
        list: ListFigures { version: 41, age_ms: 350, lease_ms: 5650, refused: 6, calls: 3, calls_ended: 2 },
        statement_bytes: 8192,
        statements_waiting: 4,
        memory: MemoryFigures {
            resident: 9_000_000,
            answers: 6,
            client_read: 1,
            client_write: 2,
            host: 3,
            clients: 4,
            hosts: 5,
        },
        client_closes: vec![("left", 11)],
        unserved: vec![("overloaded", 12)],
        failed_attempts: vec![("timeout", 13)],
        ids_forgotten_early: 9,
        log_lines_dropped: 7,
        fleet: vec![("svc_fleet_members{state=\"alive\"}".to_owned(), 3)],
    };
    let mut out = Vec::new();
    put_figures(&mut out, &figures);
    let text = String::from_utf8(out).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{head}");
    let lines: Vec<_> = body.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(
        lines,
        [
            r#"svc_results{service="flight-view",disposition="succeeded"} 812"#,
            r#"svc_results{service="flight-view",disposition="declined"} 3"#,
            r#"svc_results{service="flight-view",disposition="aborted"} 1"#,
            r#"svc_results{service="odd \"\\\n",disposition="succeeded"} 0"#,
            r#"svc_results{service="odd \"\\\n",disposition="declined"} 0"#,
            r#"svc_results{service="odd \"\\\n",disposition="aborted"} 0"#,
            "svc_forwards 901",
            "svc_outstanding 14",
            "svc_discovered 8",
            "svc_ejected 2",
            "svc_statement_bytes 8192",
            "svc_statements_waiting 4",
            "svc_resident_bytes 9000000",
            "svc_answer_bytes 6",
            "svc_client_read_bytes 1",
            "svc_client_write_bytes 2",
            "svc_host_bytes 3",
            "svc_client_connections 4",
            "svc_host_connections 5",
            "svc_list_version 41",
            "svc_list_age_ms 350",
            "svc_list_lease_ms 5650",
            "svc_refused_without_list 6",
            "svc_discovery_calls 3",
            "svc_discovery_calls_ended 2",
            "svc_log_lines_dropped 7",
            "svc_ids_forgotten_early 9",
            r#"svc_client_closes{reason="left"} 11"#,
            r#"svc_unserved{reason="overloaded"} 12"#,
            r#"svc_failed_attempts{status="timeout"} 13"#,
            r#"svc_fleet_members{state="alive"} 3"#,
        ]
    );
}
