//! Connections to db hosts, as far as sockets of one process show them.

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use super::*;
use crate::net::wire::Wire;
use crate::proto::pg::bind::{Bind, Bound};
use crate::proto::pg::table::Table;

/// A connection whose system buffer for what it sends is as small as the system allows, and its other end.
fn narrow() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 1).unwrap();
    let addr = listener.local_addr().unwrap();
    let stream = TcpStream::connect(addr).unwrap();
    rustix::net::sockopt::set_socket_send_buffer_size(&stream, 1).unwrap();
    let conn = Conn::new(std::time::Instant::now(), ServerId(0), addr, Wire::accepted(stream).unwrap());
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
    let Conn { wire, gather, prepared, .. } = &mut conn;
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
