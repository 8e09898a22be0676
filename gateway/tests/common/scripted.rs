//! Db hosts and a discovery of which the test does each step, so that the order is the same each time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
use yewroute_standin::{frame, is_separator, read_frame, separated, Host};

/// Longest wait for anything that comes at all, and how often it is looked for.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A db host of which the test does each step.
pub struct Scripted {
    pub listener: TcpListener,
    pub host: Host,
}

impl Scripted {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // So that the system does not take all of a long statement.
        set_socket_recv_buffer_size(&listener, 64 * 1024).unwrap();
        let mut host = Host::well(false);
        host.addr = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        Self { listener, host }
    }

    /// The next connection, from which the startup message has come and which is not welcomed.
    pub fn take(&self) -> Link {
        let start = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_nodelay(true).unwrap();
                    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
                    let mut head = [0; 4];
                    stream.read_exact(&mut head).unwrap();
                    let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
                    stream.read_exact(&mut rest).unwrap();
                    return Link { stream };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    assert!(start.elapsed() < STEP_TIMEOUT, "no connection to the db host");
                    thread::sleep(POLL_INTERVAL);
                }
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// The next connection, welcomed.
    pub fn welcome(&self) -> Link {
        let mut link = self.take();
        link.welcome();
        link
    }
}

/// A connection from the gateway to a db host.
pub struct Link {
    pub stream: TcpStream,
}

impl Link {
    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn welcome(&mut self) {
        self.say(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat());
    }

    /// The next query, once the separators before it are answered; none if the connection has ended.
    pub fn query(&mut self) -> Option<String> {
        let (query, separators) = self.unanswered_query()?;
        if separators > 0 {
            self.say(&separated(separators));
        }
        Some(query)
    }

    /// The next query, and how many separators came before it, which are not answered; none if the connection has ended.
    pub fn unanswered_query(&mut self) -> Option<(String, usize)> {
        let mut separators = 0;
        loop {
            let (kind, body) = read_frame(&mut self.stream)?;
            assert_eq!(kind, b'Q');
            if !is_separator(kind, &body) {
                return Some((
                    String::from_utf8(body).unwrap().trim_end_matches('\0').to_owned(),
                    separators,
                ));
            }
            separators += 1;
        }
    }

    /// The next query, which is to hold this.
    pub fn query_with(&mut self, part: &str) -> String {
        let query = self.query().expect("a query");
        assert!(query.contains(part), "{part} in {query}");
        query
    }

    /// Whether nothing has come since, or the connection has ended.
    pub fn is_silent(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !matches!(read, Ok(1))
    }

    /// Resets the connection; what was said before can still be read.
    pub fn reset(self) {
        set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}

/// Discovery of which the test writes each line: what is written has come when the call is over.
pub struct Watch(TcpListener);

impl Watch {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self(listener)
    }

    pub fn addr(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub fn open(&self) -> OpenWatch {
        let start = Instant::now();
        let mut stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(_) => assert!(start.elapsed() < STEP_TIMEOUT, "no call for a watch"),
            }
            thread::sleep(POLL_INTERVAL);
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            call.extend(byte);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        OpenWatch(stream)
    }
}

/// A watch that is open.
pub struct OpenWatch(TcpStream);

impl OpenWatch {
    pub fn say(&mut self, line: &str) {
        self.0.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).unwrap();
    }
}
