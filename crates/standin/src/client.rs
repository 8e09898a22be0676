//! A client that writes messages one by one and reads what comes.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use yewroute_pgwire::frame::put_text;
use yewroute_receive_time::{self as receive_time, DatedReader};

use crate::answers::{frame, read_frame};

/// Long enough for anything that comes at all.
const PATIENCE: Duration = Duration::from_secs(10);

/// The startup message.
#[must_use]
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    let mut out = (u32::try_from(body.len()).unwrap_or(0) + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A client's connection.
pub struct Client {
    /// The connection itself.
    pub stream: TcpStream,
    /// When the kernel received what was read last.
    pub received: Instant,
    /// The body of the last ErrorResponse, with bars in place of zero bytes.
    pub error: String,
    /// The bodies of the rows of the last answer.
    pub rows: Vec<Vec<u8>>,
}

impl Client {
    /// Connects and says nothing.
    ///
    /// # Errors
    /// As the system has them.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        receive_time::enable(&stream);
        Ok(Self { stream, received: Instant::now(), error: String::new(), rows: Vec::new() })
    }

    /// Connects and says nothing; for tests.
    ///
    /// # Panics
    /// If nobody listens there.
    #[must_use]
    pub fn raw(addr: SocketAddr) -> Self {
        Self::connect(addr).expect("somebody listens")
    }

    /// The types of the messages up to ReadyForQuery or the end, but for notices and parameters.
    pub fn answer(&mut self) -> Vec<u8> {
        self.rows.clear();
        let mut kinds = Vec::new();
        while let Some(kind) = self.message() {
            kinds.push(kind);
            if kind == b'Z' {
                break;
            }
        }
        kinds
    }

    /// The type of the next message that is no notice or parameter.
    pub fn message(&mut self) -> Option<u8> {
        loop {
            let (kind, body) = read_frame(&mut DatedReader::new(&self.stream, &mut self.received))?;
            match kind {
                b'E' => self.error = String::from_utf8_lossy(&body).replace('\0', "|"),
                b'D' => self.rows.push(body),
                _ => {}
            }
            if !b"SNKR".contains(&kind) {
                return Some(kind);
            }
        }
    }

    /// Writes bytes.
    ///
    /// # Panics
    /// If the connection is broken.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the connection holds");
    }

    /// Sends a simple query.
    ///
    /// # Panics
    /// If the connection is broken.
    pub fn send(&mut self, text: &str) {
        self.write(&frame(b'Q', &[text.as_bytes(), b"\0"].concat()));
    }

    /// Sends a simple query and reads its answer.
    ///
    /// # Panics
    /// If the connection is broken.
    pub fn ask(&mut self, text: &str) -> Vec<u8> {
        self.send(text);
        self.answer()
    }
}

/// Parse, with as many declared types as given.
#[must_use]
pub fn parse(name: &str, text: &str, types: &[u32]) -> Vec<u8> {
    let mut body = Vec::new();
    put_text(&mut body, name);
    put_text(&mut body, text);
    body.extend(u16::try_from(types.len()).unwrap_or(u16::MAX).to_be_bytes());
    types.iter().for_each(|kind| body.extend(kind.to_be_bytes()));
    frame(b'P', &body)
}

/// Bind of text parameters, with results in binary.
#[must_use]
pub fn bind(portal: &str, statement: &str, values: &[Option<&str>]) -> Vec<u8> {
    let mut body = Vec::new();
    put_text(&mut body, portal);
    put_text(&mut body, statement);
    body.extend(0_u16.to_be_bytes());
    body.extend(u16::try_from(values.len()).unwrap_or(u16::MAX).to_be_bytes());
    for value in values {
        let len = value.map_or(-1, |value| i32::try_from(value.len()).unwrap_or(i32::MAX));
        body.extend(len.to_be_bytes());
        body.extend(value.unwrap_or_default().as_bytes());
    }
    body.extend([0, 1, 0, 1]);
    frame(b'B', &body)
}

/// Describe or Close: `kind` is the message's, `of` is `S` or `P`.
#[must_use]
pub fn named(kind: u8, of: u8, name: &str) -> Vec<u8> {
    let mut body = vec![of];
    put_text(&mut body, name);
    frame(kind, &body)
}

/// Execute of a portal, up to so many rows; 0 is all.
#[must_use]
pub fn execute(portal: &str, limit: i32) -> Vec<u8> {
    let mut body = Vec::new();
    put_text(&mut body, portal);
    body.extend(limit.to_be_bytes());
    frame(b'E', &body)
}

/// Sync.
#[must_use]
pub fn sync() -> Vec<u8> {
    frame(b'S', b"")
}
