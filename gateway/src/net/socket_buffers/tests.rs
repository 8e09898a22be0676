use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::*;
use crate::net::wire::Wire;

const KIB: usize = 1024;
const VALUE_BYTES: usize = 4 * 1024 * KIB;
/// Long enough for what is on its way on this machine.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A connection that was accepted by a listener whose segments are bounded, and its other end.
fn connection() -> (Wire, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    limit_segments_of(&listener).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Wire::accepted(listener.accept().unwrap().0).unwrap(), peer)
}

/// Writes until there has been no room for a while; says how many bytes the systems have taken in all.
fn write_until_full(wire: &mut Wire) -> usize {
    let before = wire.unwritten();
    let mut moved_at = Instant::now();
    while moved_at.elapsed() < SETTLE_TIME {
        let unwritten = wire.unwritten();
        if wire.flush().unwrap() {
            break;
        }
        if wire.unwritten() < unwritten {
            moved_at = Instant::now();
        }
    }
    before - wire.unwritten()
}

/// Bytes that have come to the other end and are not read.
fn unread(peer: &TcpStream) -> usize {
    usize::try_from(rustix::io::ioctl_fionread(peer).unwrap()).unwrap()
}

// Guards against: megabytes of a value in the send buffer of a client that does not read.
#[test]
fn the_system_takes_no_more_unsent_bytes_than_the_bound() {
    for bound in [8 * KIB, 24 * KIB, 80 * KIB] {
        let (mut wire, peer) = connection();
        wire.limit_unsent(Some(bound)).unwrap();
        wire.out().resize(VALUE_BYTES, 7);
        let taken = write_until_full(&mut wire);
        let unsent = taken - unread(&peer);
        assert!(unsent <= bound, "{unsent} of {bound}");
        wire.limit_unsent(None).unwrap();
        let all = taken + write_until_full(&mut wire);
        assert!(all > taken + bound, "{all} after {taken}: the bound was not lifted");
    }
}

// Guards against: a write that nothing wakes for, or that sends something twice, when the bound is met again and again.
#[test]
fn a_value_comes_whole_and_in_order_through_a_narrow_bound() {
    let (mut wire, mut peer) = connection();
    wire.limit_unsent(Some(8 * KIB)).unwrap();
    let value: Vec<u8> = (0..VALUE_BYTES).map(|at| (at / 3 % 251) as u8).collect();
    wire.out().extend(&value);
    let reader = std::thread::spawn(move || {
        let mut came = vec![0; VALUE_BYTES];
        peer.read_exact(&mut came).unwrap();
        came
    });
    while !wire.flush().unwrap() {
        poll(&mut [PollFd::new(&wire, PollFlags::OUT)], None).unwrap();
    }
    assert!(reader.join().unwrap() == value);
}

// Guards against: megabytes of a db host's value in the receive buffer of a connection that is not read.
#[test]
fn the_system_takes_no_more_unread_bytes_than_twice_the_bound() {
    for bound in [16 * KIB, 64 * KIB] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let wire = Wire::dial_with_limit(listener.local_addr().unwrap(), bound).unwrap();
        let mut sender = Wire::accepted(listener.accept().unwrap().0).unwrap();
        sender.out().resize(VALUE_BYTES, 7);
        write_until_full(&mut sender);
        // The system counts its own structures too, for which it doubles the bound.
        assert!((1..=2 * bound).contains(&wire.unread()), "{} of {bound}", wire.unread());
    }
}
