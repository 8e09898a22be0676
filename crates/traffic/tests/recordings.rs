//! Recordings written by the program, whole and damaged: what is read out of them, and what never is.

use std::net::SocketAddr;
use std::time::Duration;

use yewroute_capture::read::read;
use yewroute_capture::write::{Connection, End, Writer};
use yewroute_pgwire::frame::{put, put_text};
use yewroute_reassembly::flows::Segment;
use yewroute_reassembly::{Flows, Limits};
use yewroute_traffic::diff::{diff, Difference, Side};
use yewroute_traffic::stats::Stats;
use yewroute_traffic::{Counts, Outcome, Request, Requests};

const VIEW: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=view,d=$3,cluster=2 */";

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_767_225_600_000 + ms)
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, kind, |b| b.extend(body));
    out
}

fn texts(parts: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    parts.iter().for_each(|part| put_text(&mut out, part));
    out.extend(tail);
    out
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

fn welcome() -> Vec<u8> {
    [message(b'R', &[0; 4]), message(b'S', b"a\0b\0"), message(b'K', &[0; 8]), ready()].concat()
}

fn query(id: &str, key: &str) -> Vec<u8> {
    let text = format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c=view,d=480,cluster=2 */");
    message(b'Q', &texts(&[&text], b""))
}

fn row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[b"\0\x01", &(value.len() as u32).to_be_bytes()[..], value].concat())
}

fn served(value: &[u8]) -> Vec<u8> {
    let head = message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01");
    [head, row(value), message(b'C', b"SELECT 1\0"), message(b'S', b"role\0replica\0"), ready()].concat()
}

fn error(sqlstate: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{sqlstate}\0Mno\0\0").as_bytes())
}

fn parse(name: &str, text: &str) -> Vec<u8> {
    message(b'P', &texts(&[name, text], &[0, 0]))
}

fn bind(statement: &str, values: &[&str]) -> Vec<u8> {
    let mut body = texts(&["", statement], &[0, 0]);
    body.extend((values.len() as u16).to_be_bytes());
    for value in values {
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value.as_bytes());
    }
    body.extend([0, 0]);
    message(b'B', &body)
}

fn execute() -> Vec<u8> {
    message(b'E', &[0; 5])
}

fn sync() -> Vec<u8> {
    message(b'S', b"")
}

fn ends(port: u16) -> (SocketAddr, SocketAddr) {
    (SocketAddr::from(([127, 0, 0, 9], port)), "127.0.0.1:5432".parse().unwrap())
}

struct Tape {
    writer: Writer<Vec<u8>>,
    connection: Connection,
    now: u64,
}

impl Tape {
    fn new() -> Self {
        let mut writer = Writer::new(Vec::new()).unwrap();
        let connection = writer.open(at(0), ends(4000).0, ends(4000).1, 7).unwrap();
        Self { writer, connection, now: 0 }
    }

    fn client(&mut self, bytes: &[u8]) -> &mut Self {
        self.now += 10;
        self.writer.send(at(self.now), &mut self.connection, End::Client, bytes).unwrap();
        self
    }

    fn server(&mut self, bytes: &[u8]) -> &mut Self {
        self.now += 10;
        self.writer.send(at(self.now), &mut self.connection, End::Server, bytes).unwrap();
        self
    }

    fn file(self) -> Vec<u8> {
        self.writer.finish().unwrap()
    }
}

/// What is found in the packets of a file that `keep` says are there.
fn found(file: &[u8], keep: impl Fn(usize, &Segment<'_>) -> bool) -> (Vec<Request>, Counts) {
    let mut all = Vec::new();
    let mut flows = Flows::new(Limits::default());
    let mut requests = Requests::new(|request| all.push(request));
    let mut number = 0;
    read(file, |segment| {
        if keep(number, segment) {
            flows.push(segment, &mut requests);
        }
        number += 1;
    })
    .unwrap();
    flows.finish(&mut requests);
    let counts = requests.counts();
    drop(requests);
    (all, counts)
}

fn told(requests: &[Request]) -> Vec<(String, Outcome)> {
    requests.iter().map(|r| (String::from_utf8_lossy(&r.id).into_owned(), r.outcome)).collect()
}

/// Simple and extended requests of every outcome on one connection.
fn mixed() -> Vec<u8> {
    let mut tape = Tape::new();
    tape.client(&startup()).server(&welcome());
    tape.client(&query("s1", "a")).server(&served(b"one"));
    tape.client(&query("s2", "b")).server(&[error("53300"), ready()].concat());
    tape.client(&message(b'Q', b"\0")).server(&[message(b'I', b""), ready()].concat());
    tape.client(&[parse("v", VIEW), message(b'D', b"Sv\0"), sync()].concat());
    tape.server(&[message(b'1', b""), message(b't', b"\0\0"), message(b'n', b""), ready()].concat());
    let ask = |id: &str| [bind("v", &["k", id, "900"]), execute()].concat();
    tape.client(&[ask("e1"), ask("e2"), ask("e3"), sync()].concat());
    let good = [message(b'2', b""), row(b"two"), message(b'C', b"SELECT 1\0")].concat();
    tape.server(&[good, message(b'2', b""), error("40003"), ready()].concat());
    tape.client(&query("s3", "c"));
    tape.file()
}

#[test]
fn requests_and_their_answers_are_found_with_their_times() {
    let (requests, counts) = found(&mixed(), |_, _| true);
    let wanted = [
        ("s1", Outcome::Served),
        ("s2", Outcome::Refused),
        ("e1", Outcome::Served),
        ("e2", Outcome::Failed),
        ("e3", Outcome::Skipped),
        ("s3", Outcome::Unanswered),
    ];
    assert_eq!(told(&requests), wanted.map(|(id, outcome)| (id.to_owned(), outcome)));
    assert_eq!((counts.unreadable, counts.malformed, counts.resumed), (0, 0, 0));
    assert_eq!(counts.other_queries, 1, "the empty one");
    let first = &requests[0];
    assert_eq!(first.answered.unwrap() - first.at, Duration::from_millis(10));
    assert_eq!((first.class.as_str(), first.group, first.wait), ("view", 2, Duration::from_millis(480)));
    assert_eq!((first.client, first.server), ends(4000));
    assert_eq!(requests[2].parameters.as_ref().unwrap()[1].as_deref(), Some(&b"e1"[..]));
    assert_eq!(requests[3].sqlstate.as_deref(), Some("40003"));
    let mut stats = Stats::default();
    requests.iter().for_each(|request| stats.take(request));
    let (_, class, line) = stats.lines().next().unwrap();
    assert_eq!((class, line.outcomes), ("view", [2, 1, 1, 1, 1]));
    assert!((9_980..=10_020).contains(&line.times.value_at_quantile(0.5)), "{:?}", line.times.max());
}

#[test]
fn a_start_that_is_missing_is_taken_up_only_at_a_proven_boundary() {
    let file = mixed();
    let all = told(&found(&file, |_, _| true).0);
    for from in 1..15 {
        let (requests, counts) = found(&file, |n, _| n >= from);
        // Never one that was not there; and each as it was, or unanswered where its answer's beginning is missing.
        let mut rest = all.iter();
        for (id, outcome) in told(&requests) {
            let whole = rest.find(|(other, _)| *other == id).expect("in the order they were asked");
            assert!(whole.1 == outcome || outcome == Outcome::Unanswered, "from {from}: {id}");
        }
        assert!(counts.resumed <= 1, "from {from}");
        // Each simple query behind the cut is found, as the answer before it ends in ReadyForQuery.
        assert!(requests.iter().any(|r| r.id == b"s3"), "from {from}: {:?}", told(&requests));
    }
    // From the middle of the pipeline's client bytes on, its statement is not known.
    let (requests, counts) = found(&file, |n, _| n >= 13);
    assert!(requests.iter().all(|r| r.id == b"s3"), "{:?}", told(&requests));
    assert!(counts.unreadable > 0);
}

#[test]
fn one_direction_alone_gives_requests_without_answers_or_nothing() {
    let file = mixed();
    let (requests, _) = found(&file, |_, s| s.from.port() == 4000);
    assert_eq!(requests.len(), 6);
    assert!(requests.iter().all(|r| r.outcome == Outcome::Unanswered));
    let (requests, counts) = found(&file, |_, s| s.from.port() != 4000);
    assert!(requests.is_empty() && counts.unreadable > 0);
}

#[test]
fn a_segment_lost_inside_a_row_leaves_its_request_unanswered_and_the_next_readable() {
    let mut tape = Tape::new();
    tape.client(&startup()).server(&welcome());
    tape.client(&query("long", "a")).server(&served(&[7; 60_000]));
    tape.client(&query("after", "b")).server(&served(b"two"));
    let file = tape.file();
    // The long answer goes out in four packets; each in turn is lost for good.
    for lost in 5..9 {
        let (requests, counts) = found(&file, |n, _| n != lost);
        let mut wanted =
            vec![("long".to_owned(), Outcome::Unanswered), ("after".to_owned(), Outcome::Served)];
        // With the last one ReadyForQuery is gone, and nothing proves that the next bytes begin a message.
        wanted.truncate(if lost == 8 { 1 } else { 2 });
        assert_eq!(told(&requests), wanted, "without packet {lost}");
        assert!(counts.unreadable > 0 && counts.resumed as usize == wanted.len() - 1);
    }
}

#[test]
fn what_looks_like_a_request_in_the_middle_of_something_is_none() {
    // A value that holds the bytes of a query, split so that they begin a packet: the client has not rested.
    let mut tape = Tape::new();
    tape.client(&startup()).server(&welcome());
    let inner = query("forged", "x");
    let mut outer = texts(&["INSERT INTO items (id, doc) VALUES ('k', '"], b"");
    outer.pop();
    outer.extend(&inner);
    outer.extend(b"') /* id=real,c=order,d=480,cluster=2 */\0");
    let outer = message(b'Q', &outer);
    let at = outer.windows(inner.len()).position(|window| window == inner).unwrap();
    tape.client(&outer[..at]).client(&outer[at..]);
    let file = tape.file();
    let (requests, _) = found(&file, |_, _| true);
    assert!(requests.iter().all(|r| r.id != b"forged"), "{:?}", told(&requests));
    // Without the first part the server's last word was its welcome, so this is the one case the bytes do not tell
    // apart; with the acknowledged hole before it they do.
    let (requests, counts) = found(&file, |n, _| n != 4);
    assert!(counts.unreadable > 0);
    assert!(requests.len() <= 1);
}

#[test]
fn encrypted_connections_are_named_and_skipped() {
    let mut tape = Tape::new();
    let ssl = [0, 0, 0, 8, 4, 210, 22, 47];
    tape.client(&ssl).server(b"S").client(&[22, 3, 1, 2, 0, 1]).server(&[22, 3, 3, 0, 80, 2]);
    let (requests, counts) = found(&tape.file(), |_, _| true);
    assert_eq!((requests.len(), counts.encrypted, counts.unreadable), (0, 1, 0));
    // Turned down, it goes on in the clear.
    let mut tape = Tape::new();
    tape.client(&ssl).server(b"N").client(&startup()).server(&welcome());
    tape.client(&query("s1", "a")).server(&served(b"one"));
    let (requests, counts) = found(&tape.file(), |_, _| true);
    assert_eq!((told(&requests), counts.encrypted), (vec![("s1".to_owned(), Outcome::Served)], 0));
}

#[test]
fn recordings_are_compared_by_id_then_by_order() {
    let side = |answers: &[(&str, &str, &[u8])]| {
        let mut tape = Tape::new();
        tape.client(&startup()).server(&welcome());
        for (id, key, value) in answers {
            let answer = if value.is_empty() { [error("53300"), ready()].concat() } else { served(value) };
            tape.client(&query(id, key)).server(&answer);
        }
        let mut side = Side::default();
        found(&tape.file(), |_, _| true).0.iter().for_each(|request| side.take(request));
        side
    };
    let first =
        side(&[("a", "k", b"1"), ("b", "k", b"2"), ("c", "k", b"3"), ("d", "k", b"4"), ("d", "k", b"5")]);
    let second = side(&[
        ("c", "k", b""),
        ("b", "k", b"two"),
        ("a", "other", b"1"),
        ("d", "k", b"4"),
        ("e", "k", b"6"),
    ]);
    let id = |id: &str| id.as_bytes().to_vec();
    assert_eq!(
        diff(&first, &second),
        [
            (id("b"), Difference::Value),
            (id("c"), Difference::Outcome("served".to_owned(), "refused 53300".to_owned())),
            (id("d"), Difference::OnlyFirst),
            (id("e"), Difference::OnlySecond),
        ]
    );
    assert!(diff(&first, &first).is_empty());
}
