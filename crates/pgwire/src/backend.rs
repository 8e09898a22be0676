//! The db host's side: what it is sent, and what it answers.

use std::ops::Range;

use thiserror::Error;

use crate::code;
use crate::frame::{self, Frame};

/// The longest errors and notices, parameters and descriptions, and tags, as their lengths count; and the most
/// bytes of a whole answer.
const LONGEST_SAYING: usize = 8 * 1024;
const LONGEST_PARAMETER: usize = 1024;
const LONGEST_TAG: usize = 64;
const LONGEST_REPLY: usize = frame::LONGEST_ANSWER + 16 * 1024;

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

/// Bytes that are no answer. Nothing that follows them on the connection can be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Spoilt {
    /// A length that no message has.
    #[error("{0}")]
    Frame(#[from] frame::Malformed),
    /// A message of a type that does not belong there.
    #[error("message {0:#04x} out of place")]
    OutOfPlace(u8),
    /// A message longer than any of its type.
    #[error("message {0:#04x} of length {1}")]
    TooLong(u8, usize),
    /// A message whose inside does not fit its type.
    #[error("malformed inside of message {0:#04x}")]
    Inside(u8),
    /// More than any answer has.
    #[error("an answer without an end")]
    Endless,
}

/// What a fed message came to.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// More is to come.
    More,
    /// ReadyForQuery: the answer is whole.
    Ready(Reply),
}

/// Which messages may come next. Notices and parameters may come at any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// After the startup message: authentication, key data, then ready.
    #[default]
    Welcome,
    /// After a query: a row's description or an error.
    Description,
    Row,
    Complete,
    /// Nothing but ready is missing.
    Ready,
}

/// Gathers one answer after the other, the welcome first.
#[derive(Debug, Default)]
pub struct Gather {
    reply: Reply,
    stage: Stage,
    failed: Option<Verdict>,
    /// Something that it says of itself cannot be read.
    unreadable: bool,
    bytes: usize,
}

impl Gather {
    /// Takes the next message of `bytes`, if all of it is there; the number is its length.
    ///
    /// Guards against: waiting for a body that will never come. Type and length are checked as soon as they
    /// are there.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Option<(Step, usize)>, Spoilt> {
        let Some(kind) = bytes.first() else { return Ok(None) };
        let longest = self.longest(*kind).ok_or(Spoilt::OutOfPlace(*kind))?;
        if let Some(length) = frame::length(&bytes[1..], frame::LONGEST_ANSWER)? {
            if length > longest {
                return Err(Spoilt::TooLong(*kind, length));
            }
        }
        let Some(frame) = frame::next(bytes, frame::LONGEST_ANSWER)? else { return Ok(None) };
        self.bytes += frame.len;
        if self.bytes > LONGEST_REPLY {
            return Err(Spoilt::Endless);
        }
        let step = self.take(&frame, &bytes[..frame.len]).ok_or(Spoilt::Inside(frame.kind))?;
        Ok(Some((step, frame.len)))
    }

    /// The error that a connection ended with. A row is whole only when ReadyForQuery has come: whatever ends
    /// before that was cut short.
    pub fn cut_short(&mut self) -> Option<Reply> {
        self.failed.is_some().then(|| self.finish())
    }

    /// The longest that a message of this type may be here, as its length counts; none if it is out of place.
    fn longest(&self, kind: u8) -> Option<usize> {
        let longest = match (kind, self.stage) {
            (b'N', _) => LONGEST_SAYING,
            (b'S', _) => LONGEST_PARAMETER,
            (b'E', Stage::Welcome | Stage::Description) => LONGEST_SAYING,
            (b'R', Stage::Welcome) => 8,
            (b'K', Stage::Welcome) => 12,
            (b'v', Stage::Welcome) => LONGEST_SAYING,
            (b'T', Stage::Description) => LONGEST_PARAMETER,
            (b'D', Stage::Row) => frame::LONGEST_ANSWER,
            (b'C', Stage::Complete) => LONGEST_TAG,
            (b'Z', Stage::Welcome | Stage::Ready) => 5,
            _ => return None,
        };
        Some(longest)
    }

    /// Takes a message that is in place; none if its inside does not fit.
    fn take(&mut self, frame: &Frame<'_>, raw: &[u8]) -> Option<Step> {
        match frame.kind {
            // Anything but "ok" asks for a password, which there is none of.
            b'R' => (frame.body == [0; 4]).then_some(())?,
            b'T' => {
                one_column(frame.body)?;
                self.reply.messages.extend(raw);
                self.stage = Stage::Row;
            }
            b'D' => {
                let value = one_value(frame.body)?;
                self.reply.messages.extend(raw);
                // The value is the last thing in the row.
                let end = self.reply.messages.len();
                self.reply.value_at = end - value.len()..end;
                self.stage = Stage::Complete;
            }
            b'C' => {
                one_row(frame.body)?;
                self.reply.messages.extend(raw);
                self.stage = Stage::Ready;
            }
            b'E' => {
                self.failed = Some(verdict_of(error_code(frame.body)?));
                // In place of a welcome it is the last word.
                if self.stage == Stage::Description {
                    self.stage = Stage::Ready;
                }
            }
            b'N' => {
                error_code(frame.body)?;
            }
            b'S' => self.parameter(frame.body)?,
            b'Z' => {
                let welcome_failed = self.stage == Stage::Welcome && self.failed.is_some();
                (frame.body == b"I" && !welcome_failed).then_some(())?;
                return Some(Step::Ready(self.finish()));
            }
            // Key data and negotiation: nothing to learn from.
            _ => {}
        }
        Some(Step::More)
    }

    fn parameter(&mut self, mut body: &[u8]) -> Option<()> {
        let name = frame::take_text(&mut body)?;
        let value = frame::take_text(&mut body).filter(|_| body.is_empty())?;
        let value = std::str::from_utf8(value).ok();
        let readable = match name {
            b"role" => {
                let role = match value {
                    Some("primary") => Some(Role::Primary),
                    Some("replica") => Some(Role::Replica),
                    _ => None,
                };
                set(&mut self.reply.role, role)
            }
            b"applied_ms" => set(&mut self.reply.applied_ms, value.and_then(|text| text.parse().ok())),
            b"load" => set(&mut self.reply.load, value.map(str::to_owned)),
            _ => true,
        };
        self.unreadable |= !readable;
        Some(())
    }

    fn finish(&mut self) -> Reply {
        let mut reply = std::mem::take(&mut self.reply);
        let served = self.stage == Stage::Ready && self.failed.is_none();
        reply.verdict = self.failed.unwrap_or(if served { Verdict::Served } else { Verdict::Error });
        if reply.verdict != Verdict::Served {
            reply.messages = Vec::new();
            reply.value_at = 0..0;
        }
        if self.unreadable {
            (reply.role, reply.applied_ms, reply.load) = (None, None, None);
        }
        *self = Self { stage: Stage::Description, ..Self::default() };
        reply
    }
}

/// Whether a value could be read and does not contradict an earlier one.
fn set<T: PartialEq>(place: &mut Option<T>, value: Option<T>) -> bool {
    let fits = value.is_some() && (place.is_none() || *place == value);
    *place = value;
    fits
}

/// Checks a description of one column.
fn one_column(body: &[u8]) -> Option<()> {
    /// Table, column, type, size, modifier and format.
    const FIXED: usize = 18;
    let mut rest = body.strip_prefix(&1_u16.to_be_bytes())?;
    frame::take_text(&mut rest)?;
    (rest.len() == FIXED).then_some(())
}

/// The value of a row of one column that is not null.
fn one_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&1_u16.to_be_bytes())?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let len = usize::try_from(i32::from_be_bytes(*len)).ok()?;
    (value.len() == len).then_some(value)
}

/// Checks a tag: a verb, and the count of one row where the verb counts rows.
fn one_row(mut body: &[u8]) -> Option<()> {
    let tag = frame::take_text(&mut body).filter(|_| body.is_empty())?;
    let tag = std::str::from_utf8(tag).ok()?;
    matches!(tag, "SELECT 1" | "INSERT 0 1" | "UPDATE 1" | "DELETE 1" | "SHOW").then_some(())
}

/// The SQLSTATE of an ErrorResponse or a notice; none if it is not made of fields up to its end.
pub fn error_code(mut body: &[u8]) -> Option<&[u8]> {
    let mut code = None;
    loop {
        let (field, mut rest) = body.split_first()?;
        if *field == 0 {
            return code.filter(|_| rest.is_empty());
        }
        let text = frame::take_text(&mut rest)?;
        if *field == b'C' {
            code = Some(text);
        }
        body = rest;
    }
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

/// A load report, such as `x0=1767225600.5,x1=1`. One that cannot be read whole teaches nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// `x0`: a position, as Unix time in seconds.
    pub x0: Option<f64>,
    /// `x1`: its role.
    pub x1: Option<Role>,
}

/// Reads a load report; none if any part of it cannot be read.
pub fn load(report: &str) -> Option<Load> {
    let mut load = Load::default();
    for field in report.split(',') {
        let (name, value) = field.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        match name.trim() {
            "" => return None,
            "x0" => set(&mut load.x0, Some(value)).then_some(())?,
            "x1" if value == 0.0 => set(&mut load.x1, Some(Role::Replica)).then_some(())?,
            "x1" if value == 1.0 => set(&mut load.x1, Some(Role::Primary)).then_some(())?,
            "x1" => return None,
            _ => {}
        }
    }
    Some(load)
}
