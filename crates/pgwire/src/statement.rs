//! The comment that closes a request's statement, and the statement as it goes on.

use std::ops::Range;

use thiserror::Error;

/// A statement that is no request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// It does not end in a comment.
    #[error("the statement has no closing comment")]
    NoComment,
    /// The comment lacks a name that every request has.
    #[error("the comment has no {0}")]
    Missing(&'static str),
    /// The comment has an unfitting value.
    #[error("the comment's {0} has an unfitting value")]
    Value(&'static str),
    /// It neither reads nor writes a row.
    #[error("the statement is neither a read nor a write")]
    Verb,
    /// The statement has no quoted key.
    #[error("the statement has no quoted key")]
    NoKey,
}

/// What the comment and the statement say.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// `id`: the client's name for the request.
    pub id: &'a str,
    /// `c`: the name of the class.
    pub class: &'a str,
    /// It changes data.
    pub writes: bool,
    /// `d`: the milliseconds the client waits.
    pub wait_ms: u32,
    /// Where in the statement that number stands.
    pub wait_at: Range<usize>,
    /// `cluster`: the group.
    pub group: u64,
    /// `after`: the position that a read must see, as a Unix time in milliseconds.
    pub after: Option<u64>,
    /// `r=1`: the client's retry.
    pub resent: bool,
    /// The quoted key.
    pub key: &'a [u8],
}

/// Without the white space and semicolons round it.
pub fn trim(text: &[u8]) -> &[u8] {
    let idle = |b: &u8| b.is_ascii_whitespace() || *b == b';';
    let start = text.iter().position(|b| !idle(b)).unwrap_or(text.len());
    let end = text.iter().rposition(|b| !idle(b)).map_or(start, |last| last + 1);
    &text[start..end]
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

/// Reads a statement.
pub fn request(text: &[u8]) -> Result<Request<'_>, Malformed> {
    let body = trim(text).strip_suffix(b"*/").ok_or(Malformed::NoComment)?;
    // The comment is the last thing in the statement: its start is sought from the end, so that nothing
    // quoted before it can pass for one, and no long value is searched.
    let start = body.windows(2).rposition(|w| w == b"/*").ok_or(Malformed::NoComment)?;
    let comment = std::str::from_utf8(&body[start + 2..]).map_err(|_| Malformed::NoComment)?;
    let offset = body.as_ptr() as usize - text.as_ptr() as usize + start + 2;

    let (mut class, mut wait, mut group, mut after, mut resent, mut id) =
        (None, None, None, None, false, None);
    for pair in comment.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let value = value.trim_end();
        match name.trim() {
            "id" => id = Some(value).filter(|value| !value.is_empty()),
            "c" => class = Some(value),
            "d" => {
                let at = offset + (value.as_ptr() as usize - comment.as_ptr() as usize);
                wait = Some((value.parse().map_err(|_| Malformed::Value("d"))?, at..at + value.len()));
            }
            "cluster" => group = Some(value.parse().map_err(|_| Malformed::Value("cluster"))?),
            "after" => after = Some(value.parse().map_err(|_| Malformed::Value("after"))?),
            "r" => resent = value == "1",
            _ => {}
        }
    }
    let id = id.ok_or(Malformed::Missing("id"))?;
    let (wait_ms, wait_at) = wait.ok_or(Malformed::Missing("d"))?;
    Ok(Request {
        id,
        writes: writes(trim(text)).ok_or(Malformed::Verb)?,
        class: class.ok_or(Malformed::Missing("c"))?,
        wait_ms,
        wait_at,
        group: group.ok_or(Malformed::Missing("cluster"))?,
        after,
        resent,
        key: quoted(&body[..start])?,
    })
}

/// Whether a statement's first word changes data; none if it is no word of a request.
fn writes(text: &[u8]) -> Option<bool> {
    let word = text.split(|b| !b.is_ascii_alphabetic()).next()?;
    let is = |verb: &&str| word.eq_ignore_ascii_case(verb.as_bytes());
    let write = ["INSERT", "UPDATE", "DELETE"].iter().any(is);
    (write || is(&"SELECT")).then_some(write)
}

/// The first quoted text, or the first after `VALUES`: both name the row.
fn quoted(text: &[u8]) -> Result<&[u8], Malformed> {
    let start = find(text, b"'").ok_or(Malformed::NoKey)? + 1;
    let end = find(&text[start..], b"'").ok_or(Malformed::NoKey)?;
    Ok(&text[start..start + end])
}
