//! What db hosts say.

use std::io::Read;
use std::time::{SystemTime, UNIX_EPOCH};

use yewroute_pgwire::frame as wire;

/// A whole message.
#[must_use]
pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::put(&mut out, kind, |b| b.extend(body));
    out
}

/// Reads a message; none at the end or on a broken connection.
pub fn read_frame(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let len = wire::length(&head[1..], wire::LONGEST_STREAMED).ok()??;
    let mut body = vec![0; len - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// An empty query: what sets one exchange apart from the next, without effect.
#[must_use]
pub fn is_separator(kind: u8, body: &[u8]) -> bool {
    kind == b'Q' && body == b"\0"
}

/// The answers to so many empty queries.
#[must_use]
pub fn separated(count: usize) -> Vec<u8> {
    [frame(b'I', b""), frame(b'Z', b"I")].concat().repeat(count)
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis())
}

/// A served answer with what the db host says of itself.
#[must_use]
pub fn served(role: &str) -> Vec<u8> {
    served_value(role, b"hi")
}

/// The same with this value.
#[must_use]
pub fn served_value(role: &str, value: &[u8]) -> Vec<u8> {
    rows(role, "SELECT 1", &[Some(value)])
}

/// An answer of any number of rows, each of one value or null.
#[must_use]
pub fn rows(role: &str, tag: &str, values: &[Option<&[u8]>]) -> Vec<u8> {
    rows_at(role, tag, values, unix_ms())
}

/// The same of a db host that has applied so much, as Unix time in milliseconds.
#[must_use]
pub fn rows_at(role: &str, tag: &str, values: &[Option<&[u8]>], applied_ms: u128) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend(columns());
    for value in values {
        wire::put(&mut out, b'D', |b| {
            b.extend(1_u16.to_be_bytes());
            let len = value.map_or(-1, |value| i32::try_from(value.len()).unwrap_or(i32::MAX));
            b.extend(len.to_be_bytes());
            b.extend(value.unwrap_or_default());
        });
    }
    out.extend(frame(b'C', format!("{tag}\0").as_bytes()));
    out.extend(frame(b'S', format!("role\0{role}\0").as_bytes()));
    out.extend(frame(b'S', format!("applied_ms\0{applied_ms}\0").as_bytes()));
    out.extend(frame(b'Z', b"I"));
    out
}

/// One column, `doc`, of type bytea, in binary.
#[must_use]
pub fn columns() -> Vec<u8> {
    frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01")
}

/// An error and ReadyForQuery.
#[must_use]
pub fn error(sqlstate: &str, text: &str) -> Vec<u8> {
    let error = frame(b'E', format!("SERROR\0C{sqlstate}\0M{text}\0\0").as_bytes());
    [error, frame(b'Z', b"I")].concat()
}

/// The answer to a probe, with a position of some age.
#[must_use]
pub fn report(primary: bool, age_ms: u128) -> Vec<u8> {
    report_at(primary, unix_ms() - age_ms)
}

/// The answer to a probe, with this position.
#[must_use]
pub fn report_at(primary: bool, applied_ms: u128) -> Vec<u8> {
    let seconds = applied_ms as f64 / 1000.0;
    let text = format!("x0={seconds},x1={}", u8::from(primary));
    let mut row = b"\0\x01".to_vec();
    row.extend(u32::try_from(text.len()).unwrap_or(0).to_be_bytes());
    row.extend(text.as_bytes());
    let mut out = frame(b'T', b"\0\x01load\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
    out.extend(frame(b'D', &row));
    out.extend(frame(b'C', b"SHOW\0"));
    out.extend(frame(b'Z', b"I"));
    out
}
