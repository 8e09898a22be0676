//! Frames: a type byte, a length that counts itself, a body.

use thiserror::Error;

/// The longest simple query taken from a client: a value of 4 MiB in hexadecimal, and room for the statement round it.
pub const LONGEST_STATEMENT: usize = 8 * 1024 * 1024 + 64 * 1024;
/// The longest of a client's other messages.
pub const LONGEST_QUERY: usize = 144 * 1024;
/// A value longer than this is passed on as it comes; shorter ones are held until their answer is whole.
pub const LONGEST_HELD: usize = 64 * 1024;
/// The longest row that is passed on as it comes, as its length counts.
pub const LONGEST_STREAMED: usize = 16 * 1024 * 1024;
/// The longest message from a db host that is held whole.
pub const LONGEST_ANSWER: usize = 1024 * 1024;
/// The longest startup message, as PostgreSQL has it.
pub const LONGEST_STARTUP: usize = 10_000;

/// Bytes that are no frame.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// The length is under what it counts, or over what is taken.
    #[error("invalid message length {0}")]
    Length(i32),
}

/// One whole message.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The type byte.
    pub kind: u8,
    /// What follows the length.
    pub body: &'a [u8],
    /// How many bytes it takes up.
    pub len: usize,
}

/// The length that starts `bytes`, if all of it is there.
pub fn length(bytes: &[u8], longest: usize) -> Result<Option<usize>, Malformed> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = i32::from_be_bytes(*head);
    match usize::try_from(length) {
        Ok(len) if (4..=longest).contains(&len) => Ok(Some(len)),
        _ => Err(Malformed::Length(length)),
    }
}

/// The first message of `bytes`, if all of it is there; its length counts up to `longest`.
pub fn next(bytes: &[u8], longest: usize) -> Result<Option<Frame<'_>>, Malformed> {
    let Some((kind, rest)) = bytes.split_first() else { return Ok(None) };
    let Some(len) = length(rest, longest)? else { return Ok(None) };
    Ok(rest.get(4..len).map(|body| Frame { kind: *kind, body, len: 1 + len }))
}

/// The body and length of an untyped first message of a connection, if all of it is there.
pub fn untyped(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Malformed> {
    let Some(len) = length(bytes, LONGEST_STARTUP)? else { return Ok(None) };
    Ok(bytes.get(4..len).map(|body| (body, len)))
}

/// Appends a message; `body` writes what follows the length.
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_untyped(out, body);
}

/// Appends a message without a type byte.
pub fn put_untyped(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; 4]);
    body(out);
    let len = u32::try_from(out.len() - start).expect("messages are bounded far below 4 GiB");
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a string and its zero byte.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.as_bytes());
    out.push(0);
}

/// Takes a zero-terminated string off the front.
pub fn take_text<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let end = bytes.iter().position(|b| *b == 0)?;
    let text = &bytes[..end];
    *bytes = &bytes[end + 1..];
    Some(text)
}
