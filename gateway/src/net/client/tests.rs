use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};

use super::*;
use crate::net::cancel::CancelKeys;
use yewroute_pgwire::exchange::Dialect;
use yewroute_pgwire::session::Limits;

/// A client between two requests, and its end of the connection.
fn idle_client() -> (TcpStream, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let wire = Wire::accepted(listener.accept().unwrap().0).unwrap();
    let limits = Limits { statements: 8, portals: 8, bytes: 65_536 };
    let terms = Terms { extended: false, hosts: Dialect::Simple, limits };
    let now = Instant::now();
    let mut client = Client::new(now, now, wire, terms, CancelKeys::default().of(1));
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
