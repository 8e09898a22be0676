//! What counts as told: a list that was written whole to a connection that the gateway had open.

use std::io::Read;

use super::*;

const ALL_IN_PIECES: Faults = Faults { pieces: 100, ..Faults::NONE };
const LONG: Duration = Duration::from_secs(5);
/// A list comes in three pieces, 50 ms apart.
const PIECES: usize = 3;

fn call(discovery: &Discovery) -> TcpStream {
    let mut stream = TcpStream::connect(discovery.address(0, 0)).unwrap();
    stream.write_all(b"GET /catalog/members?follow=1&since=0 HTTP/1.1\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

fn start() -> Discovery {
    let entry = (String::from("s-0"), String::from(r#""addr":"127.0.0.1:9""#));
    let discovery = Discovery::start(1, vec![entry], ALL_IN_PIECES, 1).unwrap();
    discovery.change(0, Listed::Draining, 0);
    discovery
}

fn pieces(stream: &mut TcpStream, count: usize) {
    for _ in 0..count {
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
    }
}

#[test]
fn a_list_that_is_read_whole_counts_as_told() {
    let discovery = start();
    let mut stream = call(&discovery);
    pieces(&mut stream, PIECES);
    let begun = Instant::now();
    while discovery.written().is_empty() {
        assert!(begun.elapsed() < LONG);
        thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against: the last piece of a list, written to a connection that was closed after the one before, and counted as told.
#[test]
fn a_list_whose_connection_is_closed_between_two_pieces_does_not_count_as_told() {
    let discovery = start();
    let mut stream = call(&discovery);
    pieces(&mut stream, PIECES - 1);
    drop(stream);
    thread::sleep(20 * POLL_INTERVAL);
    assert!(discovery.written().is_empty(), "{:?}", discovery.written());
}
