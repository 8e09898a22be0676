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
    /// A quote or comment has no end, or there are several statements.
    #[error("the text is not one whole statement")]
    NotOne,
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
    /// `ch`: the channel in whose order it stands.
    pub channel: Option<&'a str>,
    /// `n`: its number there.
    pub number: Option<u64>,
}

/// The longest name of a channel, in bytes.
pub const LONGEST_CHANNEL: usize = 64;

fn idle(b: &u8) -> bool {
    b.is_ascii_whitespace() || *b == b';'
}

/// Without the white space and semicolons round it.
pub fn trim(text: &[u8]) -> &[u8] {
    let start = text.iter().position(|b| !idle(b)).unwrap_or(text.len());
    let end = text.iter().rposition(|b| !idle(b)).map_or(start, |last| last + 1);
    &text[start..end]
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

/// What stands before the closing comment, and the inside of the comment.
pub(crate) fn closing_comment(text: &[u8]) -> Result<(&[u8], &str), Malformed> {
    let start = text.iter().position(|b| !idle(b)).unwrap_or(text.len());
    let body = trim(text).strip_suffix(b"*/").ok_or(Malformed::NoComment)?;
    // The comment is the last thing in the statement: its start is sought from the end, so that nothing
    // quoted before it can pass for one, and no long value is searched.
    let at = body.windows(2).rposition(|w| w == b"/*").ok_or(Malformed::NoComment)?;
    let comment = std::str::from_utf8(&body[at + 2..]).map_err(|_| Malformed::NoComment)?;
    Ok((&text[..start + at], comment))
}

/// The names and values of a comment.
pub(crate) fn pairs(comment: &str) -> impl Iterator<Item = (&str, &str)> {
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.trim(), value.trim_end()))
}

/// Where the value of this name stands in a statement's closing comment; the last of several, as it counts.
#[must_use]
pub fn told_at(text: &[u8], name: &str) -> Option<Range<usize>> {
    let (before, comment) = closing_comment(text).ok()?;
    let value = pairs(comment).filter(|(other, _)| *other == name).last()?.1;
    let start = before.len() + 2 + (value.as_ptr() as usize - comment.as_ptr() as usize);
    Some(start..start + value.len())
}

/// Reads a statement.
pub fn request(text: &[u8]) -> Result<Request<'_>, Malformed> {
    let (before, comment) = closing_comment(text)?;
    let offset = before.len() + 2;
    let (mut class, mut wait, mut group, mut after, mut resent, mut id) =
        (None, None, None, None, false, None);
    let (mut channel, mut number) = (None, None);
    for (name, value) in pairs(comment) {
        match name {
            "id" => id = Some(value).filter(|value| !value.is_empty()),
            "c" => class = Some(value),
            "d" => {
                let at = offset + (value.as_ptr() as usize - comment.as_ptr() as usize);
                wait = Some((value.parse().map_err(|_| Malformed::Value("d"))?, at..at + value.len()));
            }
            "cluster" => group = Some(value.parse().map_err(|_| Malformed::Value("cluster"))?),
            "after" => after = Some(value.parse().map_err(|_| Malformed::Value("after"))?),
            "r" => resent = value == "1",
            "ch" => channel = Some(value),
            "n" => number = value.parse().ok(),
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
        key: quoted(before)?,
        channel: channel.filter(|name| fits(name.as_bytes())),
        number,
    })
}

/// A channel may have this name; any other is none, as in statements that use the word for something else.
pub(crate) fn fits(name: &[u8]) -> bool {
    !name.is_empty() && name.len() <= LONGEST_CHANNEL
}

/// Whether a statement's first word changes data; none if it is no word of a request.
pub(crate) fn writes(text: &[u8]) -> Option<bool> {
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
