//! Calls at a gateway's console.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use crate::PATIENCE;

/// An operator's call with a body, none if it is empty: status and body.
///
/// # Errors
/// Nobody is there, or nothing is answered for long.
pub fn call(console: SocketAddr, call: &str, body: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(console)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = match body.len() {
        0 => String::new(),
        len => format!("Content-Length: {len}\r\n"),
    };
    let head = format!("{call} HTTP/1.1\r\nHost: gateway\r\n{length}\r\n");
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| io::Error::other("half an answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(|| io::Error::other("no status"))?, body.to_owned()))
}

/// Proposes a table: status, and what the gateway says of it.
///
/// # Errors
/// Nobody is there, or nothing is answered for long.
pub fn put_table(console: SocketAddr, text: &str) -> io::Result<(u16, Value)> {
    let (status, body) = call(console, "PUT /table", text)?;
    Ok((status, serde_json::from_str(&body).unwrap_or(Value::Null)))
}
