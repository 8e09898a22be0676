//! The client's side: what clients send, and what they are answered.

use std::time::Duration;

use crate::frame::{self, Malformed};
use crate::{code, statement};

const VERSION_MAJOR: i32 = 3;
const SSL_REQUEST: i32 = 80_877_103;
const GSS_REQUEST: i32 = 80_877_104;
const CANCEL_REQUEST: i32 = 80_877_102;

/// What a cancel request names, as BackendKeyData told it to the client whose query is to be cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The process ID: which connection.
    pub process: u32,
    /// The secret key.
    pub secret: u32,
}

/// What a connection opens with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Asks for encryption: answered with [`NO_ENCRYPTION`], the startup message follows.
    Encryption,
    /// Asks to cancel the query that is out on another connection: no answer, this one is closed. None if it names none.
    Cancel(Option<CancelKey>),
    /// The startup message, of this minor version.
    Startup {
        /// The minor version asked for.
        minor: i32,
    },
    /// A version that is not spoken here.
    Version(i32),
}

/// The answer to a request for encryption.
pub const NO_ENCRYPTION: u8 = b'N';

/// How many bytes the opening message has in all, once its head is there.
pub fn stated_opening(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    frame::length(bytes, frame::LONGEST_STARTUP)
}

/// Reads the opening message, if all of it is there, and its length.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some((body, len)) = frame::untyped(bytes)? else { return Ok(None) };
    let Some(head) = body.first_chunk::<4>() else { return Err(Malformed::Length(len as i32)) };
    let number = i32::from_be_bytes(*head);
    let opening = match number {
        SSL_REQUEST | GSS_REQUEST => Opening::Encryption,
        CANCEL_REQUEST => Opening::Cancel(cancel_key(&body[head.len()..])),
        n if n >> 16 == VERSION_MAJOR => Opening::Startup { minor: n & 0xffff },
        n => Opening::Version(n >> 16),
    };
    Ok(Some((opening, len)))
}

fn cancel_key(bytes: &[u8]) -> Option<CancelKey> {
    let (process, secret) = bytes.split_first_chunk::<4>()?;
    let secret = <[u8; 4]>::try_from(secret).ok()?;
    Some(CancelKey { process: u32::from_be_bytes(*process), secret: u32::from_be_bytes(secret) })
}

/// One message of a client after its startup.
#[derive(Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// A simple query, without its zero byte.
    Query(&'a [u8]),
    /// The client says goodbye.
    Terminate,
    /// The end of a run of extended-query messages.
    Sync,
    /// Part of the extended query protocol: its type and body.
    Extended(u8, &'a [u8]),
    /// A query whose text has no end.
    Unterminated,
    /// No message that a client may send here.
    Unknown(u8),
}

/// The most that the length of a message of this type may say.
fn longest(kind: u8) -> usize {
    if kind == b'Q' {
        frame::LONGEST_STATEMENT
    } else {
        frame::LONGEST_QUERY
    }
}

/// How many bytes the next message has in all, once its head is there.
pub fn stated(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some((kind, rest)) = bytes.split_first() else { return Ok(None) };
    Ok(frame::length(rest, longest(*kind))?.map(|len| 1 + len))
}

/// Reads the next message, if all of it is there, and its length.
pub fn message(bytes: &[u8]) -> Result<Option<(Message<'_>, usize)>, Malformed> {
    let longest = bytes.first().map_or(0, |kind| longest(*kind));
    let Some(frame) = frame::next(bytes, longest)? else { return Ok(None) };
    let message = match frame.kind {
        b'Q' => match frame.body.split_last() {
            Some((0, text)) if !text.contains(&0) => Message::Query(text),
            _ => Message::Unterminated,
        },
        b'X' => Message::Terminate,
        b'S' => Message::Sync,
        b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => Message::Extended(frame.kind, frame.body),
        other => Message::Unknown(other),
    };
    Ok(Some((message, frame.len)))
}

/// A statement that is answered here, without a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Local {
    /// Nothing but white space and semicolons.
    Empty,
    /// Sets or resets a parameter, which nothing here depends on; the tag of its answer.
    Parameter(&'static str),
}

/// Whether a query is answered here.
pub fn local(text: &[u8]) -> Option<Local> {
    let text = statement::trim(text);
    let word = text.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    let tags = ["SET", "RESET", "DISCARD"];
    if text.is_empty() {
        return Some(Local::Empty);
    }
    tags.iter().find(|tag| word.eq_ignore_ascii_case(tag.as_bytes())).map(|tag| {
        let discard = *tag == "DISCARD";
        Local::Parameter(if discard { "DISCARD ALL" } else { tag })
    })
}

/// Appends the welcome that follows a startup message; `key` is what cancels this connection's queries.
pub fn put_welcome(out: &mut Vec<u8>, minor: i32, key: CancelKey) {
    if minor > 0 {
        // NegotiateProtocolVersion: 3.0 is the newest here, and no option was refused.
        frame::put(out, b'v', |b| {
            b.extend((VERSION_MAJOR << 16).to_be_bytes());
            b.extend([0; 4]);
        });
    }
    frame::put(out, b'R', |b| b.extend([0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        frame::put(out, b'S', |b| {
            frame::put_text(b, name);
            frame::put_text(b, value);
        });
    }
    // BackendKeyData.
    frame::put(out, b'K', |b| {
        b.extend(key.process.to_be_bytes());
        b.extend(key.secret.to_be_bytes());
    });
    put_ready(out);
}

/// Appends ReadyForQuery, outside a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    frame::put(out, b'Z', |b| b.push(b'I'));
}

/// Appends the answer to a statement that is answered here, without ReadyForQuery.
pub fn put_local(out: &mut Vec<u8>, local: Local) {
    match local {
        Local::Empty => frame::put(out, b'I', |_| {}),
        Local::Parameter(tag) => frame::put(out, b'C', |b| frame::put_text(b, tag)),
    }
}

/// Appends a NoticeResponse, which clients pass over.
pub fn put_notice(out: &mut Vec<u8>, message: &str) {
    put_fields(out, b'N', &[(b'S', "DEBUG"), (b'V', "DEBUG"), (b'C', "00000"), (b'M', message)]);
}

/// Appends an ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, severity: &str, sqlstate: &str, message: &str, detail: Option<&str>) {
    let mut fields = vec![(b'S', severity), (b'V', severity), (b'C', sqlstate), (b'M', message)];
    fields.extend(detail.map(|detail| (b'D', detail)));
    put_fields(out, b'E', &fields);
}

fn put_fields(out: &mut Vec<u8>, kind: u8, fields: &[(u8, &str)]) {
    frame::put(out, kind, |b| {
        for (field, text) in fields {
            b.push(*field);
            frame::put_text(b, text);
        }
        b.push(0);
    });
}

/// Appends the refusal of a request, with the time after which to come again.
pub fn put_refusal(out: &mut Vec<u8>, retry_after: Option<Duration>) {
    let detail = retry_after.map(|span| span.as_millis().to_string());
    put_error(out, "ERROR", code::TOO_MANY, "refused: too busy, try again later", detail.as_deref());
}

/// Appends the refusal of a request by its channel's order.
pub fn put_out_of_turn(out: &mut Vec<u8>, full: bool, why: &str, retry_after: Option<Duration>) {
    let detail = retry_after.map(|span| span.as_millis().to_string());
    let code = if full { code::TOO_MANY } else { code::CANNOT_CONNECT_NOW };
    put_error(out, "ERROR", code, why, detail.as_deref());
}

/// Appends the answer to a request that can never be served as it is.
pub fn put_invalid(out: &mut Vec<u8>, why: &str) {
    put_error(out, "ERROR", code::INVALID_VALUE, why, None);
}

/// Appends the failure of a request.
pub fn put_failure(out: &mut Vec<u8>) {
    put_error(out, "ERROR", code::UNKNOWN_COMPLETION, "failed: whether it took effect is not known", None);
}

/// Appends the answer to a request that its client has cancelled.
pub fn put_cancelled(out: &mut Vec<u8>) {
    put_error(out, "ERROR", code::QUERY_CANCELED, "canceling statement due to user request", None);
}
