//! Listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::net::{bind as bind_socket, ipproto, listen, socket_with, sockopt};
use rustix::net::{AddressFamily, SocketFlags, SocketType};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A listener; where it is `shared` another process of the same user may listen at the same address.
pub fn bind(addr: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    if shared {
        sockopt::set_socket_reuseport(&socket, true)?;
    }
    bind_socket(&socket, &addr)?;
    listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}
