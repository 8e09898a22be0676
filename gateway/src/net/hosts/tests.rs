//! Connections to db hosts, as far as sockets of one process show them.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use yewroute_ledger::{Limits, MemoryBudget};
use yewroute_settings::Deployment;
use yewroute_standin::{error, frame, read_frame, separated, served, served_value};

use super::*;
use crate::clock::Clock;
use crate::core::{Ask, ClientId, Effect, Known, Scope};
use crate::net::poller::Token;
use crate::net::wire::Wire;
use crate::proto::catalog::{Member, Members, Role, State as Listed};
use crate::proto::pg::bind::{Bind, Bound};
use crate::proto::pg::request::{Body, Wanted};
use crate::proto::pg::table::Table;

/// A connection whose system buffer for what it sends is as small as the system allows, and its other end.
fn narrow() -> (HostConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 1).unwrap();
    let addr = listener.local_addr().unwrap();
    let stream = TcpStream::connect(addr).unwrap();
    rustix::net::sockopt::set_socket_send_buffer_size(&stream, 1).unwrap();
    let conn =
        HostConnection::new(std::time::Instant::now(), ServerId(0), addr, Wire::accepted(stream).unwrap());
    (conn, listener.accept().unwrap().0)
}

#[test]
fn an_execute_may_have_run_once_its_last_byte_is_written_and_not_before() {
    let text = "INSERT INTO t VALUES ($1) /* id=$2,c=order,d=$3,cluster=2 */";
    let statement = Table::new(1 << 20).lease(text.as_bytes(), &[]).unwrap();
    let value = vec![b'x'; 140_000];
    let values = vec![Some(&value[..]), Some(b"id"), Some(b"900")];
    let bind = Bind { portal: b"", statement: b"", formats: vec![], values, results: vec![] };
    let body = Body::Execute(Rc::new(Bound::new(statement, bind).unwrap()));
    let (mut conn, mut peer) = narrow();
    let HostConnection { wire, gather, prepared, .. } = &mut conn;
    conn.sent = prepared.put(wire.out(), gather, &body, Duration::ZERO, Dialect::Extended, 8);
    let all = conn.wire.unwritten();
    assert!(!conn.wire.flush().unwrap() && !conn.may_have_run(), "{} of {all} left", conn.wire.unwritten());
    let (mut come, mut bytes) = (Vec::<u8>::new(), vec![0; 4096]);
    while come.len() < all {
        let written = all - conn.wire.unwritten();
        // Without its Sync, which PostgreSQL waits for, it may have run all the same.
        assert_eq!(conn.may_have_run(), written >= all - 5, "{written} of {all}");
        let len = peer.read(&mut bytes).unwrap();
        come.extend(&bytes[..len]);
        conn.wire.flush().unwrap();
    }
    assert!(conn.may_have_run());
    assert_eq!(come[all - 15..], *b"E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04");
}

/// Connections to one db host, a primary of which the test does each step, with the core and times that are made up.
struct Bench {
    poller: Poller,
    core: Core<Statement>,
    hosts: Hosts,
    listener: TcpListener,
    now: Instant,
    inbox: VecDeque<Input>,
    clients: u64,
}

impl Bench {
    fn new(dialect: Dialect) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // So that the system does not take all of a long statement.
        rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 64 * 1024).unwrap();
        listener.set_nonblocking(true).unwrap();
        let member = Member {
            id: "s-a".to_owned(),
            addr: listener.local_addr().unwrap(),
            cell: 2,
            state: Listed::Ready,
            zone: String::new(),
            started_ms: 0,
            role: Some(Role::Primary),
        };
        let members = Members { version: 41, full: true, servers: vec![member] };
        let settings = include_str!("../../../tests/common/settings.json");
        let deployment = Deployment::from_json(settings).unwrap();
        let (now, known) = (Instant::now(), Known { members, near: None });
        let (clock, most_bytes) = (Clock::start(), 1 << 24);
        let core = Core::new(
            now,
            clock,
            deployment,
            7,
            MemoryBudget::new(Limits::fixed(most_bytes)),
            known,
            &mut Vec::new(),
        )
        .unwrap();
        let protocol = HostProtocol { dialect, statements: 8 };
        let timeout = Duration::from_secs(5);
        let limits = ReceiveLimits { piece: 32 * 1024, unread: 64 * 1024 };
        let answers = (ByteBudget::new(most_bytes), limits);
        let hosts = Hosts::new(now, 16, answers, protocol, timeout, Duration::from_secs(30));
        let (poller, inbox) = (Poller::new().unwrap(), VecDeque::new());
        Self { poller, core, hosts, listener, now, inbox, clients: 0 }
    }

    fn with<T>(&mut self, act: impl FnOnce(&mut Hosts, &mut HostsContext) -> T) -> T {
        let Self { poller, core, hosts, now, inbox, .. } = self;
        act(hosts, &mut HostsContext { now: *now, poller, core, inbox })
    }

    /// A write asks, and waits for its connection from then on.
    fn ask(&mut self, body: Body, wait: Duration) -> AttemptId {
        self.clients += 1;
        let ask = Ask {
            name: self.clients.to_string().into_bytes(),
            writes: true,
            scope: Scope::Class("order".to_owned(), 2),
            wait,
            waited: Duration::ZERO,
            key: b"k".to_vec(),
            after: None,
            resent: false,
            channel: None,
            number: None,
            body: Statement::new(body, None),
        };
        let mut effects = Vec::new();
        self.now = Instant::now();
        self.core.handle(self.now, Input::Ask(ClientId(self.clients), ask), &mut effects);
        let started = effects.into_iter().find_map(|effect| match effect {
            Effect::Start { attempt, server, body, begin_by, cut_at, .. } => {
                Some((attempt, server, body, (begin_by, cut_at, FirstByteLimit::default())))
            }
            _ => None,
        });
        let (attempt, server, body, times) = started.expect("an attempt");
        self.hosts.start(attempt, server, body, times);
        self.with(Hosts::serve_waiting);
        attempt
    }

    /// Takes in what has come, without giving connections.
    fn wake(&mut self) {
        let mut ready = Vec::new();
        let until = Instant::now() + Duration::from_secs(5);
        self.poller.wait(Instant::now(), Some(until), &mut ready).unwrap();
        for event in ready {
            let Token::Host(number) = event.token else { continue };
            self.with(|hosts, around| hosts.ready(number, event, around));
        }
    }

    /// Takes in what has come, until nothing more does for a moment.
    fn wake_until_quiet(&mut self) {
        let mut ready = Vec::new();
        loop {
            let now = Instant::now();
            self.poller.wait(now, Some(now + Duration::from_millis(50)), &mut ready).unwrap();
            if ready.is_empty() {
                return;
            }
            for event in ready.drain(..) {
                let Token::Host(number) = event.token else { continue };
                self.with(|hosts, around| hosts.ready(number, event, around));
            }
        }
    }

    /// The next connection, up to its startup message.
    fn accept(&mut self) -> TcpStream {
        let start = Instant::now();
        let mut peer = loop {
            match self.listener.accept() {
                Ok((peer, _)) => break peer,
                Err(_) => assert!(start.elapsed() < Duration::from_secs(5), "no connection comes"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        self.wake();
        let mut head = [0; 4];
        peer.read_exact(&mut head).unwrap();
        peer.read_exact(&mut vec![0; u32::from_be_bytes(head) as usize - 4]).unwrap();
        peer
    }

    fn ended(&mut self) -> Vec<(AttemptId, Status)> {
        let ended = self.inbox.drain(..).filter_map(|input| match input {
            Input::Ended(attempt, ended) => Some((attempt, ended.status)),
            _ => None,
        });
        ended.collect()
    }
}

/// How long the clients wait for their answers.
const WAIT: Duration = Duration::from_secs(3);

fn insert(value: &str) -> Body {
    let text = format!("INSERT INTO t VALUES ('{value}') /* id=1,c=order,d=1000,cluster=2 */");
    Wanted::simple(text.into_bytes()).unwrap().body
}

fn welcome() -> Vec<u8> {
    [frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat()
}

/// Whether nothing has come, or the connection is closed.
fn is_silent(peer: &mut TcpStream) -> bool {
    peer.set_nonblocking(true).unwrap();
    !matches!(peer.read(&mut [0]), Ok(1))
}

/// Appends what has come, until nothing more does for a moment.
fn read_what_has_come(peer: &mut TcpStream, come: &mut Vec<u8>) {
    let mut part = vec![0; 64 * 1024];
    peer.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    while let Ok(len @ 1..) = peer.read(&mut part) {
        come.extend(&part[..len]);
    }
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
}

#[test]
fn an_attempt_whose_time_ended_while_its_connection_came_up_is_not_written() {
    let mut bench = Bench::new(Dialect::Simple);
    let attempt = bench.ask(insert("a"), WAIT);
    let mut peer = bench.accept();
    peer.write_all(&welcome()).unwrap();
    bench.wake();
    // The welcome was read in time, and time went on before the attempts' turn.
    bench.now += WAIT;
    bench.with(Hosts::serve_waiting);
    assert_eq!(bench.ended(), [(attempt, Status::NotSent)]);
    assert!(is_silent(&mut peer));
}

#[test]
fn the_last_byte_of_an_attempt_is_not_written_once_its_time_is_over() {
    let mut bench = Bench::new(Dialect::Simple);
    let value = "x".repeat(7_000_000);
    let attempt = bench.ask(insert(&value), WAIT);
    let mut peer = bench.accept();
    peer.write_all(&welcome()).unwrap();
    bench.wake();
    bench.with(Hosts::serve_waiting);
    // The system takes a part of it at a time.
    let mut come = Vec::new();
    loop {
        read_what_has_come(&mut peer, &mut come);
        if come.len() >= 3_000_000 {
            break;
        }
        bench.wake();
        bench.with(Hosts::serve_waiting);
    }
    // There is room again at the very moment at which it is over.
    bench.wake();
    bench.now += WAIT;
    bench.with(Hosts::serve_waiting);
    assert_eq!(bench.ended(), [(attempt, Status::NotSent)]);
    peer.read_to_end(&mut come).unwrap();
    assert!(come.len() < value.len(), "{} of {}", come.len(), value.len());
}

/// The end of an idle connection arrives when the poller has been asked already, right before a request is written.
#[test]
fn an_idle_connection_that_its_db_host_has_closed_is_not_used_though_the_poller_has_not_told() {
    let mut bench = Bench::new(Dialect::Simple);
    let first = bench.ask(insert("first"), WAIT);
    let mut peer = bench.accept();
    peer.write_all(&welcome()).unwrap();
    bench.wake();
    bench.with(Hosts::serve_waiting);
    read_frame(&mut peer).unwrap();
    peer.write_all(&served("primary")).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(first, Status::Good)]);

    drop(peer);
    let second = bench.ask(insert("second"), WAIT);
    let mut peer = bench.accept();
    peer.write_all(&welcome()).unwrap();
    bench.wake();
    bench.with(Hosts::serve_waiting);
    let (kind, query) = read_frame(&mut peer).unwrap();
    assert!(kind == b'Q' && query.windows(6).any(|part| part == b"second"));
    peer.write_all(&served("primary")).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(second, Status::Good)], "it did not end with the connection that was closed");
}

#[test]
fn a_connection_that_was_made_for_one_that_has_gone_ends_no_other_attempt() {
    let mut bench = Bench::new(Dialect::Simple);
    let gone = bench.ask(insert("gone"), WAIT);
    let first = bench.accept();
    let there = bench.ask(insert("there"), WAIT);
    let mut second = bench.accept();
    bench.with(|hosts, around| hosts.withdraw(gone, around));
    assert_eq!(bench.ended(), [(gone, Status::NotSent)]);
    drop(first);
    bench.wake();
    bench.with(Hosts::serve_waiting);
    assert_eq!(bench.ended(), [], "it has a connection of its own that comes up");
    second.write_all(&welcome()).unwrap();
    bench.wake();
    bench.with(Hosts::serve_waiting);
    let (kind, query) = read_frame(&mut second).unwrap();
    assert!(kind == b'Q' && query.windows(5).any(|part| part == b"there"));
    second.write_all(&served("primary")).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(there, Status::Good)]);
}

#[test]
fn a_statement_that_was_not_there_is_written_again_only_for_a_client_that_is() {
    for leaves in [false, true] {
        let mut bench = Bench::new(Dialect::Extended);
        let text = "INSERT INTO t VALUES ($1) /* id=$2,c=order,d=$3,cluster=2 */";
        let mut table = Table::new(1 << 20);
        let mut execute = || {
            let statement = table.lease(text.as_bytes(), &[]).unwrap();
            let values = vec![Some(&b"x"[..]), Some(b"id"), Some(b"900")];
            let bind = Bind { portal: b"", statement: b"", formats: vec![], values, results: vec![] };
            Body::Execute(Rc::new(Bound::new(statement, bind).unwrap()))
        };
        let first = bench.ask(execute(), WAIT);
        let mut peer = bench.accept();
        peer.write_all(&welcome()).unwrap();
        bench.wake();
        bench.with(Hosts::serve_waiting);
        let kinds = |peer: &mut TcpStream, count: usize| {
            (0..count).map(|_| char::from(read_frame(peer).unwrap().0)).collect::<String>()
        };
        assert_eq!(kinds(&mut peer, 4), "PBES");
        let parsed = [frame(b'1', b""), frame(b'2', b"")].concat();
        let done = [frame(b'C', b"INSERT 0 1\0"), frame(b'Z', b"I")].concat();
        peer.write_all(&[parsed.clone(), done.clone()].concat()).unwrap();
        bench.wake();
        assert_eq!(bench.ended(), [(first, Status::Good)]);

        let second = bench.ask(execute(), WAIT);
        assert_eq!(kinds(&mut peer, 4), "QBES", "it is prepared");
        if leaves {
            bench.with(|hosts, around| hosts.withdraw(second, around));
        }
        peer.write_all(&[separated(1), error("26000", "no such statement")].concat()).unwrap();
        bench.wake();
        bench.with(Hosts::serve_waiting);
        if leaves {
            assert_eq!(bench.ended(), [(second, Status::Full)], "it never ran");
            assert!(is_silent(&mut peer));
        } else {
            assert_eq!(kinds(&mut peer, 6), "QQPBES");
            peer.write_all(&[separated(2), parsed, done].concat()).unwrap();
            bench.wake();
            assert_eq!(bench.ended(), [(second, Status::Good)]);
        }
    }
}

/// The next connection, welcomed, on which the attempt that waits has been written without separators.
fn welcomed(bench: &mut Bench) -> TcpStream {
    let mut peer = bench.accept();
    peer.write_all(&welcome()).unwrap();
    bench.wake();
    bench.with(Hosts::serve_waiting);
    let (kind, query) = read_frame(&mut peer).unwrap();
    assert!(kind == b'Q' && query.starts_with(b"INSERT"), "{query:?}");
    peer
}

// Guards against: each request on a used connection spoilt, and run twice, by a db host that runs an empty query as a statement.
#[test]
fn a_connection_to_a_db_host_that_answers_no_separators_is_used_once() {
    let mut bench = Bench::new(Dialect::Simple);
    let answer = served("primary");
    let first = bench.ask(insert("first"), WAIT);
    let mut peer = welcomed(&mut bench);
    peer.write_all(&answer).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(first, Status::Good)]);
    // It does not know separators, and answers the one before the second request with a row.
    let second = bench.ask(insert("second"), WAIT);
    let (kind, body) = read_frame(&mut peer).unwrap();
    assert!(yewroute_standin::is_separator(kind, &body));
    peer.write_all(&answer).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(second, Status::Spoilt)]);
    for later in 0..3 {
        let attempt = bench.ask(insert("later"), WAIT);
        let mut peer = welcomed(&mut bench);
        peer.write_all(&answer).unwrap();
        bench.wake();
        assert_eq!(bench.ended(), [(attempt, Status::Good)], "{later}");
        assert_eq!(bench.hosts.len(), 0, "{later}: the connection is not used again");
    }
}

#[test]
fn a_db_host_that_answers_no_separators_is_tried_again_after_a_while() {
    let (now, mut support) = (Instant::now(), SeparatorSupport::default());
    support.spoilt(now);
    assert!(!support.allows_reuse(now + Duration::from_secs(59)));
    assert!(support.allows_reuse(now + Duration::from_secs(60)));
    support.answered();
    support.spoilt(now);
    assert!(support.allows_reuse(now), "it is known to answer them");
}

// Guards against: a connection for each request to a db host that answers separators, and now and then writes something more.
#[test]
fn connections_to_a_db_host_that_has_answered_separators_are_used_again_after_a_surplus() {
    let mut bench = Bench::new(Dialect::Simple);
    let answer = served("primary");
    let mut peer = served_before(&mut bench, 2, &answer);
    let next = bench.ask(insert("next"), WAIT);
    peer.write_all(&answer).unwrap();
    bench.wake();
    assert_eq!(bench.ended(), [(next, Status::Spoilt)]);
    let _peer = served_before(&mut bench, 3, &answer);
    assert_eq!(bench.hosts.len(), 1, "one connection for three exchanges");
}

/// What a db host writes behind an exchange, which belongs to no request.
fn surplus(answer: &[u8], exchange: &[u8]) -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("a second copy", answer.to_vec()),
        ("two more copies", answer.repeat(2)),
        ("a copy of the whole exchange", exchange.to_vec()),
        ("the answer to a separator", separated(1)),
        ("an error", error("53300", "too many requests")),
        ("a copy cut short", answer[..answer.len() / 2].to_vec()),
        ("noise", vec![0xff; 40]),
    ]
}

// Guards against: a connection that is closed as one whose value has stopped, though the value was passed on whole.
#[test]
fn an_idle_connection_that_has_passed_a_long_value_on_stays_open() {
    const LONG: usize = 100 * 1024;
    let mut bench = Bench::new(Dialect::Simple);
    let attempt = bench.ask(insert("long"), WAIT);
    let mut peer = welcomed(&mut bench);
    let mut answer = served_value("primary", &vec![b'x'; LONG]);
    let rest = answer.split_off(answer.len() / 2);
    for part in [answer, rest] {
        peer.write_all(&part).unwrap();
        bench.wake_until_quiet();
    }
    assert!(bench.inbox.iter().any(|input| matches!(input, Input::Began(..))), "it is passed on as it comes");
    assert_eq!(bench.ended(), [(attempt, Status::Good)]);
    bench.now += 2 * VALUE_STALL_TIMEOUT;
    bench.with(Hosts::tick);
    assert_eq!(bench.hosts.len(), 1);
}

/// How many separators come before the first exchanges on a connection.
const SEPARATORS: [usize; 4] = [0, 1, 2, 1];

/// So many exchanges on a new connection, each served with this answer.
fn served_before(bench: &mut Bench, exchanges: usize, answer: &[u8]) -> TcpStream {
    let mut peer = None;
    for (exchange, separators) in SEPARATORS[..exchanges].iter().enumerate() {
        let attempt = bench.ask(insert("before"), WAIT);
        let peer = peer.get_or_insert_with(|| {
            let mut peer = bench.accept();
            peer.write_all(&welcome()).unwrap();
            bench.wake();
            bench.with(Hosts::serve_waiting);
            peer
        });
        for _ in 0..=*separators {
            read_frame(peer).unwrap();
        }
        peer.write_all(&[&separated(*separators), answer].concat()).unwrap();
        bench.wake();
        assert_eq!(bench.ended(), [(attempt, Status::Good)], "{exchange}");
    }
    peer.unwrap()
}

// Guards against: a db host's second copy of an answer, behind the write of the next request, that is taken for its answer.
#[test]
fn what_comes_behind_an_answer_is_never_the_answer_to_the_next_request() {
    let foreign = served_value("primary", b"foreign");
    for before in 1..SEPARATORS.len() {
        let exchange = [&separated(SEPARATORS[before - 1]), &foreign[..]].concat();
        // The db host's words on the next request come behind it, as far as the connection lasts.
        let own = [separated(SEPARATORS[before]), served_value("primary", b"own")].concat();
        for (what, surplus) in surplus(&foreign, &exchange) {
            for piece in [1, 7, 1024] {
                let mut bench = Bench::new(Dialect::Simple);
                let mut peer = served_before(&mut bench, before, &foreign);
                let next = bench.ask(insert("next"), WAIT);
                for bytes in surplus.chunks(piece).chain([&own[..]]) {
                    if bench.hosts.len() == 0 {
                        break;
                    }
                    peer.write_all(bytes).unwrap();
                    bench.wake();
                    bench.with(Hosts::serve_waiting);
                }
                assert_eq!(
                    bench.ended(),
                    [(next, Status::Spoilt)],
                    "{what} after {before}, pieces of {piece}"
                );
                assert_eq!(bench.hosts.len(), 0, "{what}: the connection is not used again");
            }
        }
    }
}
