//! The db host's side: what it is sent, and what it answers.

use std::ops::Range;

use super::code;
use super::frame::{self, Frame, Malformed};

/// Appends the startup message.
pub fn put_startup(out: &mut Vec<u8>) {
    frame::put_untyped(out, |b| {
        b.extend((3_i32 << 16).to_be_bytes());
        for text in ["user", "app", "database", "shop", ""] {
            frame::put_text(b, text);
        }
    });
}

/// Appends a simple query, written by `text`.
pub fn put_query(out: &mut Vec<u8>, text: impl FnOnce(&mut Vec<u8>)) {
    frame::put(out, b'Q', |b| {
        text(b);
        b.push(0);
    });
}

/// The query that asks for a load report.
pub const SHOW_LOAD: &[u8] = b"SHOW load";

/// How a db host took a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    /// Row and CommandComplete are here.
    Served,
    /// Turned away untouched, by role or position.
    Miss,
    /// Turned away unseen.
    TurnedAway,
    /// An error, or an answer that is none.
    #[default]
    Error,
}

/// A role, as ParameterStatus tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows.
    Replica,
}

/// A whole answer, up to ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// How the query was taken.
    pub verdict: Verdict,
    /// With [`Verdict::Served`]: RowDescription, DataRow and CommandComplete as they came.
    pub messages: Vec<u8>,
    /// Where in them the row's one value is.
    value_at: Range<usize>,
    /// `role`.
    pub role: Option<Role>,
    /// `applied_ms`: a Unix time in milliseconds.
    pub applied_ms: Option<u64>,
    /// `load`, as it came.
    pub load: Option<String>,
}

impl Reply {
    /// The row's one value, with [`Verdict::Served`].
    pub fn value(&self) -> &[u8] {
        &self.messages[self.value_at.clone()]
    }
}

/// What a fed message came to.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// More is to come.
    More,
    /// ReadyForQuery: the answer is whole.
    Ready(Reply),
}

/// Gathers one answer.
#[derive(Debug, Default)]
pub struct Gather {
    reply: Reply,
    described: bool,
    rows: usize,
    complete: bool,
    failed: Option<Verdict>,
}

impl Gather {
    /// Takes the next message of `bytes`, if all of it is there; the number is its length.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Option<(Step, usize)>, Malformed> {
        let Some(frame) = frame::next(bytes, frame::LONGEST_ANSWER)? else { return Ok(None) };
        let step = self.take(&frame, &bytes[..frame.len]);
        Ok(Some((step, frame.len)))
    }

    /// What has come, when the connection ended before ReadyForQuery: an answer if it was whole but for that.
    pub fn cut_short(&mut self) -> Option<Reply> {
        (self.complete || self.failed.is_some()).then(|| self.finish())
    }

    fn take(&mut self, frame: &Frame<'_>, raw: &[u8]) -> Step {
        match frame.kind {
            b'T' => {
                self.described = frame.body.first_chunk() == Some(&1_u16.to_be_bytes());
                self.reply.messages.extend(raw);
            }
            b'D' => {
                self.rows += 1;
                self.reply.messages.extend(raw);
                let end = self.reply.messages.len();
                match one_value(frame.body) {
                    // The value is the last thing in the row.
                    Some(value) => self.reply.value_at = end - value.len()..end,
                    None => self.failed = Some(Verdict::Error),
                }
            }
            b'C' => {
                self.complete = true;
                self.reply.messages.extend(raw);
            }
            b'E' => self.failed = Some(verdict_of(error_code(frame.body))),
            b'S' => self.parameter(frame.body),
            b'Z' => return Step::Ready(self.finish()),
            // Authentication, key data, notices: nothing to learn from.
            _ => {}
        }
        Step::More
    }

    fn parameter(&mut self, mut body: &[u8]) {
        let mut text = || frame::take_text(&mut body).and_then(|text| std::str::from_utf8(text).ok());
        let (Some(name), Some(value)) = (text(), text()) else { return };
        match name {
            "role" => {
                self.reply.role = match value {
                    "primary" => Some(Role::Primary),
                    "replica" => Some(Role::Replica),
                    _ => None,
                }
            }
            "applied_ms" => self.reply.applied_ms = value.parse().ok(),
            "load" => self.reply.load = Some(value.to_owned()),
            _ => {}
        }
    }

    fn finish(&mut self) -> Reply {
        let mut reply = std::mem::take(&mut self.reply);
        let whole = self.complete && self.described && self.rows == 1;
        reply.verdict = self.failed.unwrap_or(if whole { Verdict::Served } else { Verdict::Error });
        if reply.verdict != Verdict::Served {
            reply.messages = Vec::new();
            reply.value_at = 0..0;
        }
        *self = Self::default();
        reply
    }
}

/// The value of a row of one column that is not null.
fn one_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&1_u16.to_be_bytes())?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let len = usize::try_from(i32::from_be_bytes(*len)).ok()?;
    (value.len() == len).then_some(value)
}

/// The SQLSTATE of an ErrorResponse.
pub fn error_code(mut body: &[u8]) -> &[u8] {
    while let Some((field, mut rest)) = body.split_first() {
        let Some(text) = frame::take_text(&mut rest) else { break };
        if *field == b'C' {
            return text;
        }
        body = rest;
    }
    b""
}

fn verdict_of(sqlstate: &[u8]) -> Verdict {
    let is = |code: &str| sqlstate == code.as_bytes();
    if is(code::READ_ONLY) || is(code::BEHIND) {
        Verdict::Miss
    } else if is(code::TOO_MANY) || is(code::CANNOT_CONNECT_NOW) {
        Verdict::TurnedAway
    } else {
        Verdict::Error
    }
}

/// A field of a load report: `inflight=7,util=0.61`.
pub fn load_field(report: &str, name: &str) -> Option<f64> {
    let mut fields = report.split(',').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(key, _)| key.trim() == name)?;
    value.trim().parse().ok().filter(|value: &f64| value.is_finite())
}
