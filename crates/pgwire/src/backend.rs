//! The db host's side: what it is sent, and what it answers.

use std::ops::Range;

use thiserror::Error;

use crate::bodies::{columns, error_code, one_column, one_row, one_value, parameter, parameters, values};
use crate::code;
use crate::frame::{self, Frame};
use crate::separator::PendingSeparators;

/// The longest errors and notices, parameters and descriptions, and tags, as their lengths count; and the most
/// bytes of a whole answer.
const LONGEST_SAYING: usize = 8 * 1024;
const LONGEST_PARAMETER: usize = 1024;
const LONGEST_TAG: usize = 64;
/// Length, count of columns and length of the value of a row of one column.
const ROW_HEAD: usize = 4 + 2 + 4;
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
    /// The statement of an extended query is at fault, on any db host: the error is here, as it came.
    Rejected,
    /// The prepared statement is not there: it never ran.
    Lost,
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
    /// With [`Verdict::Served`]: RowDescription, DataRow and CommandComplete as they came, or what describes a
    /// statement; with [`Verdict::Rejected`]: ErrorResponse.
    pub messages: Vec<u8>,
    /// ParseComplete has come.
    pub parsed: bool,
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
    /// The separators before the request are answered: its own answer is next.
    Separated,
    /// A value begins that is too long to be held: the description, and the head of its row. What follows are its
    /// parts, the messages behind it, and ReadyForQuery with those messages alone.
    Begins(Vec<u8>),
    /// The next bytes of that value, as many as were taken.
    Part,
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
    /// So many bytes of a value that has begun are yet to come.
    Value(usize),
    Complete,
    /// In answer to an extended query: what [`Script`] says.
    Extended(Part),
    /// A simple query in place of an extended one: as many rows and columns as there are.
    Loose,
    /// Nothing but ready is missing.
    Ready,
}

/// What the answer to an extended query is made of, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Part {
    /// CloseComplete.
    Closed = 1,
    /// ParseComplete.
    Parsed = 2,
    /// ParameterDescription.
    Parameters = 4,
    /// RowDescription or NoData.
    Columns = 8,
    /// BindComplete.
    Bound = 16,
    /// Rows and CommandComplete.
    Rows = 32,
}

/// Which parts are to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Script(u8);

impl Script {
    /// The same with one part more.
    #[must_use]
    pub fn with(self, part: Part) -> Self {
        Self(self.0 | part as u8)
    }

    /// Takes the next part off.
    fn next(&mut self) -> Stage {
        use Part::{Bound, Closed, Columns, Parameters, Parsed, Rows};
        let next =
            [Closed, Parsed, Parameters, Columns, Bound, Rows].into_iter().find(|p| self.0 & *p as u8 != 0);
        let Some(part) = next else { return Stage::Ready };
        self.0 &= !(part as u8);
        Stage::Extended(part)
    }
}

/// Gathers one answer after the other, the welcome first.
#[derive(Debug, Default)]
pub struct Gather {
    reply: Reply,
    /// Separators whose answers come before the answer.
    separators: PendingSeparators,
    stage: Stage,
    script: Script,
    failed: Option<Verdict>,
    /// Its role or position cannot be read; and the same of its load report.
    unreadable: bool,
    unreadable_load: bool,
    bytes: usize,
}

impl Gather {
    /// So many separators were written before the request.
    pub fn expect_separators(&mut self, count: u8) {
        self.separators = PendingSeparators::new(count);
    }

    /// Separators are not answered yet.
    #[must_use]
    pub fn awaits_separators(&self) -> bool {
        !self.separators.is_empty()
    }

    /// What was sent is an extended query; its answer has these parts.
    pub fn expect(&mut self, mut script: Script) {
        self.stage = script.next();
        self.script = script;
    }

    /// What was sent is a simple query with any number of rows and columns.
    pub fn expect_loose(&mut self) {
        self.stage = Stage::Loose;
    }

    /// Bytes that the answer takes so far, used or not.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.reply.messages.capacity()
    }

    /// How many bytes the next message of `bytes` has in all, once its head is there; a value that is passed on as it comes
    /// has none.
    #[must_use]
    pub fn stated(&self, bytes: &[u8]) -> Option<usize> {
        let (kind, rest) = bytes.split_first()?;
        let len = frame::length(rest, frame::LONGEST_STREAMED).ok()??;
        let long_row = self.stage == Stage::Row && *kind == b'D' && len > frame::LONGEST_HELD + ROW_HEAD;
        let streamed = matches!(self.stage, Stage::Value(_)) || long_row;
        let whole = self.longest(*kind).is_some_and(|longest| len <= longest);
        (whole && !streamed).then_some(1 + len)
    }

    /// What is waited for has begun to come; `rest` is what is there and not taken yet. That a statement was parsed
    /// and bound may be told long before it has run.
    pub fn under_way(&self, rest: &[u8]) -> bool {
        match self.stage {
            _ if !self.separators.is_empty() => false,
            Stage::Extended(Part::Rows) => !self.reply.messages.is_empty() || !rest.is_empty(),
            Stage::Extended(_) => false,
            _ => true,
        }
    }

    /// Takes the next message of `bytes`, if all of it is there; the number is its length.
    ///
    /// Guards against: waiting for a body that will never come. Type and length are checked as soon as they
    /// are there.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Option<(Step, usize)>, Spoilt> {
        let Some(kind) = bytes.first() else { return Ok(None) };
        if let Stage::Value(left) = self.stage {
            let len = left.min(bytes.len());
            self.stage = if len == left { Stage::Complete } else { Stage::Value(left - len) };
            return Ok(Some((Step::Part, len)));
        }
        let longest = self.longest(*kind).ok_or(Spoilt::OutOfPlace(*kind))?;
        if let Some(length) = frame::length(&bytes[1..], frame::LONGEST_STREAMED)? {
            if length > longest {
                return Err(Spoilt::TooLong(*kind, length));
            }
            if (self.stage, *kind) == (Stage::Row, b'D') && length > frame::LONGEST_HELD + ROW_HEAD {
                return self.begin(bytes, length);
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
            _ if !self.separators.is_empty() => return self.separators.longest(kind),
            (b'E', Stage::Welcome | Stage::Description | Stage::Loose | Stage::Extended(_)) => LONGEST_SAYING,
            (b'3', Stage::Extended(Part::Closed))
            | (b'1', Stage::Extended(Part::Parsed))
            | (b'2', Stage::Extended(Part::Bound))
            | (b'n', Stage::Extended(Part::Columns)) => 4,
            (b't', Stage::Extended(Part::Parameters)) => LONGEST_SAYING,
            (b'T', Stage::Extended(Part::Columns) | Stage::Loose) => LONGEST_SAYING,
            (b'D', Stage::Extended(Part::Rows)) => frame::LONGEST_ANSWER,
            (b'C', Stage::Extended(Part::Rows) | Stage::Loose) => LONGEST_TAG,
            (b'R', Stage::Welcome) => 8,
            (b'K', Stage::Welcome) => 12,
            (b'v', Stage::Welcome) => LONGEST_SAYING,
            (b'T', Stage::Description) => LONGEST_PARAMETER,
            (b'D', Stage::Row) => frame::LONGEST_STREAMED,
            (b'C', Stage::Complete) => LONGEST_TAG,
            (b'Z', Stage::Welcome | Stage::Ready) => 5,
            _ => return None,
        };
        Some(longest)
    }

    /// Takes the head of a row whose value is passed on as it comes. Guards against: beginning a row that lies about
    /// its length, which could not be taken back.
    fn begin(&mut self, bytes: &[u8], length: usize) -> Result<Option<(Step, usize)>, Spoilt> {
        /// Type, length, count of columns, length of the value.
        const HEAD: usize = 1 + ROW_HEAD;
        let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
        let value = u32::from_be_bytes([head[7], head[8], head[9], head[10]]) as usize;
        if head[5..7] != [0, 1] || value + ROW_HEAD != length {
            return Err(Spoilt::Inside(b'D'));
        }
        let mut begun = std::mem::take(&mut self.reply.messages);
        begun.extend(head);
        self.stage = Stage::Value(value);
        Ok(Some((Step::Begins(begun), HEAD)))
    }

    /// Takes a message that is in place; none if its inside does not fit.
    fn take(&mut self, frame: &Frame<'_>, raw: &[u8]) -> Option<Step> {
        if !self.separators.is_empty() {
            return self.take_before_answer(frame);
        }
        match frame.kind {
            b'E' if matches!(self.stage, Stage::Extended(_) | Stage::Loose) => {
                let verdict = rejection(error_code(frame.body)?, self.stage);
                self.failed = Some(verdict);
                self.reply.messages.clear();
                if verdict == Verdict::Rejected {
                    self.reply.messages.extend(raw);
                }
                self.stage = Stage::Ready;
            }
            b'T' | b'D' | b'C' | b't' | b'n' | b'1' | b'2' | b'3'
                if matches!(self.stage, Stage::Extended(_) | Stage::Loose) =>
            {
                self.take_part(frame, raw)?;
            }
            // Anything but "ok" asks for a password, which there is none of.
            b'R' => (frame.body == [0; 4]).then_some(())?,
            b'T' => {
                one_column(frame.body)?;
                self.reply.messages.extend(raw);
                self.stage = Stage::Row;
            }
            b'D' => {
                let value = one_value(frame.body)?;
                // With room for the tag, so that what follows does not double the buffer.
                self.reply.messages.reserve_exact(raw.len() + 1 + LONGEST_TAG);
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

    /// Takes a message that comes ahead of the answer. What it tells is no part of that, and teaches nothing.
    fn take_before_answer(&mut self, frame: &Frame<'_>) -> Option<Step> {
        match frame.kind {
            b'N' => drop(error_code(frame.body)?),
            b'S' => drop(parameter(frame.body)?),
            _ => self.separators.take(frame)?,
        }
        Some(if self.separators.is_empty() && frame.kind == b'Z' { Step::Separated } else { Step::More })
    }

    /// Takes a part of the answer to an extended query.
    fn take_part(&mut self, frame: &Frame<'_>, raw: &[u8]) -> Option<()> {
        let keep = match frame.kind {
            b'T' => columns(frame.body).map(|_| true)?,
            b'D' => values(frame.body).map(|_| true)?,
            b'C' => {
                let mut body = frame.body;
                let tag = frame::take_text(&mut body).filter(|_| body.is_empty())?;
                std::str::from_utf8(tag).ok()?;
                true
            }
            b't' => parameters(frame.body).map(|_| true)?,
            b'n' => true,
            _ => frame.body.is_empty().then_some(false)?,
        };
        self.reply.parsed |= frame.kind == b'1';
        if keep {
            self.reply.messages.extend(raw);
        }
        self.stage = match (frame.kind, self.stage) {
            (b'D', stage) => stage,
            (b'T', Stage::Loose) => Stage::Extended(Part::Rows),
            _ => self.script.next(),
        };
        Some(())
    }

    fn parameter(&mut self, body: &[u8]) -> Option<()> {
        let (name, value) = parameter(body)?;
        let value = std::str::from_utf8(value).ok();
        match name {
            b"role" => {
                let role = match value {
                    Some("primary") => Some(Role::Primary),
                    Some("replica") => Some(Role::Replica),
                    _ => None,
                };
                self.unreadable |= !set(&mut self.reply.role, role);
            }
            b"applied_ms" => {
                let position = value.and_then(|text| text.parse().ok());
                self.unreadable |= !set(&mut self.reply.applied_ms, position);
            }
            b"load" => self.unreadable_load |= !set(&mut self.reply.load, value.map(str::to_owned)),
            _ => {}
        }
        Some(())
    }

    fn finish(&mut self) -> Reply {
        let mut reply = std::mem::take(&mut self.reply);
        let served = self.stage == Stage::Ready && self.failed.is_none();
        reply.verdict = self.failed.unwrap_or(if served { Verdict::Served } else { Verdict::Error });
        if !matches!(reply.verdict, Verdict::Served | Verdict::Rejected) {
            reply.messages = Vec::new();
            reply.value_at = 0..0;
        }
        if self.unreadable {
            (reply.role, reply.applied_ms) = (None, None);
        }
        if self.unreadable || self.unreadable_load {
            reply.load = None;
        }
        *self = Self { stage: Stage::Description, ..Self::default() };
        reply
    }
}

/// Whether a value could be read and does not contradict an earlier one.
pub(crate) fn set<T: PartialEq>(place: &mut Option<T>, value: Option<T>) -> bool {
    let fits = value.is_some() && (place.is_none() || *place == value);
    *place = value;
    fits
}

/// How an extended query was taken that got an error while this stage was waited for.
fn rejection(sqlstate: &[u8], stage: Stage) -> Verdict {
    /// Classes of errors that lie in the statement or its values: any db host would say the same, and nothing
    /// has taken effect.
    const OWN: [&[u8]; 5] = [b"0A", b"22", b"23", b"42", b"44"];
    match verdict_of(sqlstate) {
        Verdict::Error
            if sqlstate == code::NO_STATEMENT.as_bytes()
                && matches!(stage, Stage::Extended(Part::Bound | Part::Parameters)) =>
        {
            Verdict::Lost
        }
        Verdict::Error if sqlstate.get(..2).is_some_and(|class| OWN.contains(&class)) => Verdict::Rejected,
        verdict => verdict,
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
