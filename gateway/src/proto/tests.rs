//! Tables of cases for the parsers. Each case is fed whole and split at every byte, with the same result.

use std::fmt::Write;

use super::catalog::{Lists, News};
use super::http::Lines;
use super::pg::backend::{put_query, put_startup, Gather, Reply, Role, Step};
use super::pg::frame::{put, put_text, put_untyped, LONGEST_ANSWER, LONGEST_STATEMENT};
use super::pg::frontend::{self, local, message, opening};
use super::pg::load_report::{load, Load};
use super::pg::statement::request;

/// Feeds `bytes` in two parts for each place to split them at, and wants the same result from all.
fn every_split(bytes: &[u8], feed: impl Fn(&[&[u8]]) -> String) -> String {
    let whole = feed(&[bytes]);
    for at in 0..=bytes.len() {
        let (left, right) = bytes.split_at(at);
        assert_eq!(feed(&[left, right]), whole, "split at {at}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(feed(&single), whole, "byte by byte");
    whole
}

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn framed(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, kind, |b| b.extend(body));
    out
}

fn untyped(number: i32, rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put_untyped(&mut out, |b| {
        b.extend(number.to_be_bytes());
        b.extend(rest);
    });
    out
}

/// What a client's bytes come to: the opening, then messages, up to the first fault.
fn client(parts: &[&[u8]]) -> String {
    let (mut buffer, mut opened, mut seen) = (Vec::new(), false, String::new());
    for part in parts {
        buffer.extend(*part);
        loop {
            let step = if opened {
                message(&buffer).map(|m| m.map(|(m, len)| (format!("{m:?}"), len)))
            } else {
                opening(&buffer).map(|o| o.map(|(o, len)| (format!("{o:?}"), len)))
            };
            match step {
                Ok(Some((what, len))) => {
                    opened |= what.starts_with("Startup");
                    buffer.drain(..len);
                    writeln!(seen, "{what}").unwrap();
                }
                Ok(None) => break,
                Err(error) => return format!("{seen}fault: {error}\n"),
            }
        }
    }
    seen
}

#[test]
fn client_bytes() {
    let startup = untyped(3 << 16, b"user\0app\0database\0shop\0\0");
    let query = |text: &[u8]| framed(b'Q', text);
    let cases: &[(&str, Vec<u8>)] = &[
        ("startup and a query right behind", [startup.clone(), query(b"SELECT 1\0")].concat()),
        ("encryption asked for first", [untyped(80_877_103, b""), startup.clone()].concat()),
        ("cancel", untyped(80_877_102, &[0, 0, 0, 7, 0, 0, 1, 0])),
        ("cancel that names nothing", untyped(80_877_102, &[0; 7])),
        ("a later minor version", untyped(3 << 16 | 2, b"\0")),
        ("version 2", untyped(2 << 16, b"")),
        ("goodbye", [startup.clone(), framed(b'X', b"")].concat()),
        ("extended", [startup.clone(), framed(b'P', b"\0\0\0\0"), framed(b'S', b"")].concat()),
        ("a query without an end", [startup.clone(), query(b"SELECT 1")].concat()),
        ("a query with two ends", [startup.clone(), query(b"a\0b\0")].concat()),
        ("an unknown type", [startup.clone(), framed(b'!', b"")].concat()),
        ("a length below its own", [startup.clone(), b"Q\0\0\0\x03".to_vec()].concat()),
        ("a negative length", [startup.clone(), b"Q\xff\xff\xff\xff".to_vec()].concat()),
        (
            "a length over the longest",
            [&startup[..], b"Q", &(LONGEST_STATEMENT as i32 + 1).to_be_bytes()].concat(),
        ),
        ("a startup over the longest", 10_001_i32.to_be_bytes().to_vec()),
        ("a startup too short for a version", 4_i32.to_be_bytes().to_vec()),
        ("half a message", [startup, b"Q\0\0\0\x09SEL".to_vec()].concat()),
    ];
    let mut table = String::new();
    for (name, bytes) in cases {
        writeln!(table, "{name}:\n{}", every_split(bytes, client)).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn statements() {
    let cases = [
        "SELECT doc FROM items WHERE id = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */",
        "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc /* id=9b1f,c=order,d=480,k=5c0f,cluster=2,r=1 */",
        "SELECT doc FROM items WHERE id = 'a /* id=1,c=x,d=1,cluster=1 */' /* id=2,c=y,d=30,cluster=7 */ ;\n",
        "SELECT doc FROM items WHERE id = 'k' /* cluster=2 , d=480 , c=basket, id=9, novel=1, odd */",
        "SELECT doc FROM items WHERE id = 'k'",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,d=480,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,d=480 */",
        "SELECT doc FROM items WHERE id = 'k' /* c=basket,d=480,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,d=-1,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,d=99999999999,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,d=480,cluster=x */",
        "SELECT doc FROM items WHERE id = 'k' /* id=9,c=basket,d=480,cluster=2,after=soon */",
        "DROP TABLE items /* 'k' id=9,c=basket,d=480,cluster=2 */",
        "SELECT doc FROM items /* id=9,c=basket,d=480,cluster=2 */",
        "SELECT doc FROM items WHERE id = 'open /* id=9,c=basket,d=480,cluster=2 */",
        "*/",
        "/*/",
    ];
    let mut table = String::new();
    for case in cases {
        match request(case.as_bytes()) {
            Ok(r) => {
                let wait = &case[r.wait_at.clone()];
                assert_eq!(wait, r.wait_ms.to_string(), "the place of the wait");
                let key = text(r.key);
                writeln!(
                    table,
                    "{case}\n  id {} class {} writes {} wait {wait} group {} after {:?} resent {} key {key}",
                    r.id, r.class, r.writes, r.group, r.after, r.resent
                )
                .unwrap();
            }
            Err(error) => writeln!(table, "{case}\n  fault: {error}").unwrap(),
        }
    }
    assert!(request(b"SELECT 'k' /* id=\xff,c=a,d=1,cluster=1 */").is_err(), "not UTF-8");
    insta::assert_snapshot!(table);
}

#[test]
fn statements_answered_here() {
    let cases = ["", " ;\n;", "set a = 1", "RESET ALL", "discard all;", "SETTLE", "SELECT 1", "'SET'"];
    let table: String = cases.iter().map(|c| format!("{c:?}: {:?}\n", local(c.as_bytes()))).collect();
    insta::assert_snapshot!(table);
}

/// What a db host's bytes come to: answers, and what an end of the connection makes of the rest.
fn host(parts: &[&[u8]]) -> String {
    let (mut gather, mut buffer, mut seen) = (Gather::default(), Vec::new(), String::new());
    for message in [framed(b'R', &[0; 4]), framed(b'K', &[0; 8]), framed(b'Z', b"I")] {
        assert!(matches!(gather.next(&message), Ok(Some(_))), "the welcome");
    }
    let show = |reply: &Reply| {
        format!(
            "{:?} value {} messages {} role {:?} applied {:?} load {:?}",
            reply.verdict,
            text(reply.value()),
            text(&reply.messages),
            reply.role,
            reply.applied_ms,
            reply.load
        )
    };
    for part in parts {
        buffer.extend(*part);
        loop {
            match gather.next(&buffer) {
                Ok(Some((step, len))) => {
                    buffer.drain(..len);
                    if let Step::Ready(reply) = step {
                        writeln!(seen, "{}", show(&reply)).unwrap();
                    }
                }
                Ok(None) => break,
                Err(error) => return format!("{seen}fault: {error}\n"),
            }
        }
    }
    match gather.cut_short() {
        Some(reply) => writeln!(seen, "cut short: {}", show(&reply)).unwrap(),
        None => writeln!(seen, "nothing open").unwrap(),
    }
    seen
}

#[test]
fn host_bytes() {
    let described = framed(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01");
    let row = framed(b'D', b"\0\x01\0\0\0\x02hi");
    let complete = framed(b'C', b"SELECT 1\0");
    let ready = framed(b'Z', b"I");
    let error = |code: &str| framed(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
    let notice = framed(b'N', b"SNOTICE\0C00000\0Mhm\0\0");
    let status = |name: &str, value: &str| framed(b'S', format!("{name}\0{value}\0").as_bytes());
    let served = [described.clone(), row.clone(), complete.clone()].concat();
    let cases: &[(&str, Vec<u8>)] = &[
        (
            "served, with what it says of itself",
            [&served[..], &status("role", "replica"), &status("applied_ms", "1767225600123"), &ready]
                .concat(),
        ),
        ("a load report", [&status("load", "x0=3.5,x1=1")[..], &served, &ready].concat()),
        ("a notice between", [&described[..], &notice, &row, &complete, &ready].concat()),
        ("no primary", [error("25006"), status("role", "replica"), ready.clone()].concat()),
        ("too far behind", [error("72000"), ready.clone()].concat()),
        ("turned away", [error("53300"), ready.clone()].concat()),
        ("an error", [error("XX000"), ready.clone()].concat()),
        ("an error of no class known here", [error("42501"), ready.clone()].concat()),
        ("two answers", [&served[..], &ready, &error("XX000"), &ready].concat()),
        ("a row missing", [described.clone(), complete.clone(), ready.clone()].concat()),
        ("two rows", [described.clone(), row.clone(), row.clone(), complete.clone(), ready.clone()].concat()),
        (
            "a null",
            [described.clone(), framed(b'D', b"\0\x01\xff\xff\xff\xff"), complete, ready.clone()].concat(),
        ),
        (
            "a row that lies about its length",
            [&described[..], &framed(b'D', b"\0\x01\0\0\0\x09hi"), &ready].concat(),
        ),
        ("nothing but ready", ready.clone()),
        ("an end before ready", served.clone()),
        ("an end in the row", served[..served.len() / 2].to_vec()),
        ("a fatal error and the end", error("53300")),
        ("an error after the row", [&served[..], &error("53300"), &ready].concat()),
        ("a row after an error", [error("25006"), served.clone(), ready.clone()].concat()),
        ("a row before its description", [row.clone(), served.clone(), ready.clone()].concat()),
        ("a row of an unknown type", [&described[..], &framed(b'q', b"\0\x01\0\0\0\x02hi")].concat()),
        ("a tag of no row", [&described[..], &row, &framed(b'C', b"SELECT 0\0")].concat()),
        ("a tag without an end", [&described[..], &row, &framed(b'C', b"SELECT 1")].concat()),
        (
            "a description of two columns",
            framed(b'T', b"\0\x02doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01"),
        ),
        ("a description cut short", framed(b'T', b"\0\x01doc\0\0\0\0\0")),
        ("an error without an end", framed(b'E', b"SERROR\0C53300\0Mno\0")),
        ("a password asked for", framed(b'R', &[0, 0, 0, 3])),
        ("ready within a transaction", [&served[..], &framed(b'Z', b"T")].concat()),
        ("noise of a type that belongs", b"Zxxxx".to_vec()),
        ("noise of a type that does not", b"xxxx".to_vec()),
        (
            "a role that cannot be read",
            [&served[..], &status("applied_ms", "1767225600123"), &status("role", "nan"), &ready].concat(),
        ),
        (
            "two positions",
            [&served[..], &status("applied_ms", "1"), &status("applied_ms", "2"), &ready].concat(),
        ),
        ("notices without an end", notice.repeat(45_000)),
        ("a length below its own", b"T\0\0\0\0".to_vec()),
        ("a length over the longest", [&b"T"[..], &(LONGEST_ANSWER as i32 + 1).to_be_bytes()].concat()),
    ];
    let mut table = String::new();
    for (name, bytes) in cases {
        // Splitting at every byte takes long for the endless one; whole and in two it is the same.
        let seen = if bytes.len() < 10_000 { every_split(bytes, host) } else { host(&[bytes]) };
        writeln!(table, "{name}:\n{seen}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn load_reports() {
    let read = |x0, x1| Some(Load { x0, x1 });
    let cases = [
        ("x0=1767225600.5,x1=1", read(Some(1_767_225_600.5), Some(Role::Primary))),
        (" x1 = 0 , x0=2", read(Some(2.0), Some(Role::Replica))),
        ("inflight=7", read(None, None)),
        // What cannot be read whole teaches nothing, not even by its readable parts.
        ("x0=nan,x1=1", None),
        ("x0=,x1=0", None),
        ("x0=5,x1=7", None),
        ("x0=5,x0=6", None),
        ("x0=5,x1=0,%%%", None),
        ("=,=", None),
        ("", None),
    ];
    for (report, want) in cases {
        assert_eq!(load(report), want, "{report}");
    }
}

/// What discovery's bytes come to.
fn watch(parts: &[&[u8]]) -> String {
    let (mut reader, mut lines) = (Lines::default(), Vec::new());
    let fault = parts.iter().find_map(|part| reader.feed(part, &mut lines).err());
    let mut seen: String = lines.iter().map(|line| format!("[{}]\n", text(line))).collect();
    if let Some(fault) = fault {
        writeln!(seen, "fault: {fault}").unwrap();
    } else if reader.ended() {
        writeln!(seen, "ended").unwrap();
    }
    seen
}

#[test]
fn discovery_bytes() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n";
    let bodies = [
        ("two lines in a chunk", "a\r\n{\"a\":1}\n\n\n\r\n"),
        ("a line over two chunks", "2\r\nab\r\n3;x=1\r\nc\nd\r\n"),
        ("a line end of its own", "3\r\nab\r\r\n1\r\n\n\r\n"),
        ("the end", "1\r\n\n\r\n0\r\n\r\n"),
        ("a size that is none", "zz\r\n"),
        ("a signed size", "+1\r\na\r\n"),
        ("an empty size", "\r\n"),
        ("a size beyond all bounds", "fffffffffffffffff\r\n"),
        ("data longer than said", "1\r\nab\r\n"),
    ];
    let mut table = String::new();
    for (name, body) in bodies {
        writeln!(table, "{name}:\n{}", every_split(format!("{head}{body}").as_bytes(), watch)).unwrap();
    }
    let heads = [
        ("busy", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        ("not chunked", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        ("no HTTP", "SSH-2.0-x\r\n\r\n"),
        ("no status", "HTTP/1.1 fine\r\n\r\n"),
        ("a header without a colon", "HTTP/1.1 200 OK\r\nodd\r\n\r\n"),
    ];
    for (name, bytes) in heads {
        writeln!(table, "{name}:\n{}", every_split(bytes.as_bytes(), watch)).unwrap();
    }
    insta::assert_snapshot!(table);
    let endless = vec![b'x'; 32 * 1024];
    assert!(Lines::default().feed(&endless, &mut Vec::new()).is_err(), "a head without an end");
}

#[test]
fn what_is_written() {
    type Put = fn(&mut Vec<u8>);
    let cases: [(&str, Put); 10] = [
        ("startup", put_startup),
        ("query", |out| put_query(out, |b| b.extend(b"SHOW load"))),
        ("welcome", |out| frontend::put_welcome(out, 0, frontend::CancelKey::default())),
        ("welcome to a later minor version", |out| {
            frontend::put_welcome(out, 2, frontend::CancelKey::default())
        }),
        ("refusal with a time", |out| {
            frontend::put_refusal(out, Some(std::time::Duration::from_millis(2000)))
        }),
        ("refusal without", |out| frontend::put_refusal(out, None)),
        ("failure", frontend::put_failure),
        ("no request", |out| frontend::put_invalid(out, "no such class")),
        ("notice", |out| frontend::put_notice(out, "waiting")),
        ("empty query", |out| frontend::put_local(out, frontend::Local::Empty)),
    ];
    let mut table = String::new();
    for (name, write) in cases {
        let mut out = Vec::new();
        write(&mut out);
        writeln!(table, "{name}: {}", text(&out)).unwrap();
    }
    let mut named = Vec::new();
    put_text(&mut named, "x");
    assert_eq!(named, b"x\0");
    insta::assert_snapshot!(table);
}

#[test]
fn a_list_comes_on_a_line_or_indented_over_several() {
    let indented = [
        r#" {"version": 7,"#,
        r#"  "full": true,"#,
        "",
        r#"  "servers": [{"id": "}\"]{", "addr": "127.0.0.1:1","#,
        r#"    "cell": 2, "state": "Ready"}]"#,
    ];
    let mut lists = Lists::default();
    for line in indented {
        assert_eq!(lists.take(line.as_bytes()), Ok(News::Part), "{line}");
    }
    let Ok(News::List(list)) = lists.take(b"}") else { panic!("whole") };
    assert_eq!((list.version, list.full, list.servers[0].id.as_str()), (7, true, "}\"]{"));
    assert_eq!(lists.take(b"  "), Ok(News::Empty));
    for wrong in ["x", "}", "{}", r#"{"v"#, r#"{"version":7,"full":true,"servers":[]} {"#] {
        let mut lists = Lists::default();
        let taken = lists.take(wrong.as_bytes()).and_then(|_| lists.take(b"x}"));
        assert!(taken.is_err(), "{wrong}: {taken:?}");
    }
    let (mut lists, long) = (Lists::default(), [b"[".repeat(Lists::LONGEST / 2)].concat());
    assert_eq!(lists.take(&long), Ok(News::Part));
    assert!(lists.take(&long).is_err(), "an end to what is kept");
}
