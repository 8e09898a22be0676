use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};

use super::presence::CERTAIN_PRESENCE;
use super::*;
use crate::net::cancel::CancelKeys;
use crate::net::memory_wait::WaitTerms;
use yewroute_pgwire::exchange::Dialect;
use yewroute_pgwire::session::{Limits, Terms};
use yewroute_settings::Deployment;

const SHARES: BufferShares = BufferShares { read: 64 * 1024, write: 32 * 1024, unsent: 64 * 1024 };

/// A client between two requests, and its end of the connection.
fn idle_client() -> (TcpStream, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let wire = Wire::accepted(listener.accept().unwrap().0).unwrap();
    let limits = Limits { statements: 8, portals: 8, bytes: 65_536 };
    let terms = Terms { extended: false, hosts: Dialect::Simple, limits };
    let now = Instant::now();
    let mut client = Client::new(now, now, wire, Session::new(terms), (CancelKeys::default().of(1), SHARES));
    client.phase = Phase::Idle(now);
    (peer, client)
}

#[test]
fn only_a_client_that_ended_behind_an_old_request_is_doubted() {
    let (mut peer, mut client) = idle_client();
    peer.write_all(b"request").unwrap();
    assert!(!client.doubt_presence(CERTAIN_PRESENCE), "it has not ended");
    let (peer, mut client) = idle_client();
    peer.shutdown(Shutdown::Write).unwrap();
    assert!(!client.doubt_presence(CERTAIN_PRESENCE / 2), "it was read in time");
    assert!(client.doubt_presence(CERTAIN_PRESENCE));
    assert!(!client.doubt_presence(CERTAIN_PRESENCE), "it is asked once");
}

// Guards against: a process that ends while it waits to hear whether a client is still there.
#[test]
fn client_that_is_doubted_is_owed_an_answer() {
    let (peer, mut client) = idle_client();
    peer.shutdown(Shutdown::Write).unwrap();
    assert!(!client.awaits_answer());
    assert!(client.doubt_presence(CERTAIN_PRESENCE));
    assert!(client.wire.flush().unwrap());
    assert!(client.awaits_answer());
}

// Guards against: a process that ends over a statement which waits for memory, of which the last byte may have been written.
#[test]
fn client_whose_statement_waits_for_memory_is_owed_an_answer_until_it_is_refused() {
    const LEN: usize = 100_000;
    let (mut peer, mut client) = idle_client();
    let now = Instant::now();
    let deployment = Deployment::from_json(include_str!("../../../tests/common/settings.json")).unwrap();
    let head = [&b"Q"[..], &(LEN as u32 - 1).to_be_bytes(), b"INSERT"].concat();
    client.buffer.extend(&head);
    client.begin_memory_wait(now, LEN, &WaitTerms::of(&deployment.module));
    assert!(client.awaits_answer() && !client.reads());
    client.refuse_unread(now, None);
    assert!(client.reads(), "it is thrown away as it comes");
    // Guards against: its connection closed as one that rests, before its last byte has come.
    client.take_messages(now, 1, true, &mut Table::new(0), &mut VecDeque::new());
    let later = now + NEW_CONNECTION_GRACE;
    assert!(client.buffer.is_empty() && client.wire.quiet());
    assert!(!client.leaves(later, Leaving::Idle) && client.leaves(later, Leaving::Parts));
    peer.write_all(&vec![b' '; LEN - head.len()]).unwrap();
    let (mut scratch, mut table, mut inbox) = (vec![0; CHUNK], Table::new(0), VecDeque::new());
    while inbox.is_empty() {
        let _ = client.wire.read(&mut scratch, &mut client.buffer, SHARES.read);
        client.take_messages(now, 1, true, &mut table, &mut inbox);
        assert!(client.buffer.is_empty(), "nothing of it is kept");
    }
    assert!(matches!(inbox.pop_front(), Some(Input::RefusedUnread)) && inbox.is_empty());
    assert!(client.wire.flush().unwrap());
    assert!(!client.awaits_answer());
    let mut answer = [0; 5];
    std::io::Read::read_exact(&mut peer, &mut answer).unwrap();
    assert_eq!(answer[0], b'E');
}

const KIB: usize = 1024;
const SEND_BUFFER: usize = 4 * KIB * KIB;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

// Guards against: a slow reader that is given up between two reports of its system, which come once for so many bytes.
#[test]
fn a_client_that_reads_slowly_is_not_given_up_for_the_reports_of_its_system() {
    for (report, kib_per_second) in [(64, 16), (128, 16), (640, 16), (640, 50), (960, 20)] {
        let (start, report) = (Instant::now(), report * KIB);
        // It has had all that its system holds, which opens its window once a good part of that is read.
        let mut stall = WriteStall::begin(start, SEND_BUFFER + report, SEND_BUFFER);
        let gap = seconds(report as f64 / (kib_per_second * KIB) as f64);
        for number in 1..30 {
            let now = start + gap * number;
            assert!(!stall.is_over(now - seconds(0.1)), "{report} bytes at {kib_per_second} KiB/s");
            stall.moved(now, report, SEND_BUFFER);
        }
    }
}

#[test]
fn a_client_that_takes_nothing_is_given_up_in_time() {
    for (taken, timeout) in [(0, 10.0), (128 * KIB, 10.0), (640 * KIB, 40.0), (64 * KIB * KIB, 60.0)] {
        let start = Instant::now();
        let stall = WriteStall::begin(start, SEND_BUFFER + taken, SEND_BUFFER);
        assert!(!stall.is_over(start + seconds(timeout - 0.1)), "{taken}");
        assert!(stall.is_over(start + seconds(timeout)), "{taken}");
    }
}

// Guards against: a very slow reader that is given up although its window has opened again, and one that takes nothing and is kept
// because its system had room for more at first.
#[test]
fn a_client_that_has_been_seen_to_read_has_longer_than_one_that_has_not() {
    let start = Instant::now();
    let (report, sent) = (40 * KIB, 64 * KIB);
    let mut reader = WriteStall::begin(start, sent, 0);
    for number in 1..5 {
        let now = start + seconds(9.0) * number;
        reader.moved(now, report, 0);
        assert!(!reader.is_over(now + seconds(59.9)) && reader.is_over(now + seconds(60.0)));
    }
    let mut silent = WriteStall::begin(start, sent, 0);
    let settled = start + seconds(0.5);
    silent.moved(settled, report, 0);
    assert!(!silent.is_over(settled + seconds(9.9)) && silent.is_over(settled + seconds(10.0)));
    let next = WriteStall::begin(start, sent, 0).with_reader(reader.shows_reader(start));
    assert!(!next.is_over(start + seconds(59.9)));
}

// Guards against: bytes that went into a send buffer as it grew, taken for bytes that the client has taken.
#[test]
fn room_in_a_send_buffer_that_has_grown_is_nothing_that_its_client_has_taken() {
    let start = Instant::now();
    let mut stall = WriteStall::begin(start, 80 * KIB, 80 * KIB);
    stall.moved(start, SEND_BUFFER - 80 * KIB, SEND_BUFFER);
    assert!(stall.is_over(start + seconds(10.0)));
}
