//! Parameters bound to a statement, and both forms in which they go on to a db host.

use std::borrow::Cow;
use std::ops::Range;
use std::time::Duration;

use thiserror::Error;

use crate::frame;
use crate::statement::Malformed;
use crate::table::{Lease, Statement};
use crate::template::{Filled, Purpose, Told};

/// PostgreSQL's numbers of types that are known here.
mod oid {
    pub const BOOL: u32 = 16;
    pub const BYTEA: u32 = 17;
    pub const INT8: u32 = 20;
    pub const INT2: u32 = 21;
    pub const INT4: u32 = 23;
    pub const TEXT: u32 = 25;
    pub const FLOAT4: u32 = 700;
    pub const FLOAT8: u32 = 701;
    pub const UNKNOWN: u32 = 705;
    pub const BPCHAR: u32 = 1042;
    pub const VARCHAR: u32 = 1043;
    pub const DATE: u32 = 1082;
    pub const TIMESTAMP: u32 = 1114;
    pub const TIMESTAMPTZ: u32 = 1184;
    pub const NUMERIC: u32 = 1700;
    pub const UUID: u32 = 2950;
    pub const JSONB: u32 = 3802;
    pub const JSON: u32 = 114;
}

/// Why parameters cannot be bound; the SQLSTATE goes with it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NotBound {
    /// The message does not hold what it says.
    #[error("{0}")]
    Message(&'static str),
    /// As many parameters as the statement has are needed.
    #[error("bind message supplies {0} parameters, but the statement requires {1}")]
    Count(usize, usize),
    /// What the comment tells cannot be taken from these parameters.
    #[error("{0}")]
    Told(#[from] Malformed),
    /// What the comment refers to is null or cannot be read as text.
    #[error("parameter {0}, to which the comment refers, {1}")]
    Parameter(usize, &'static str),
    /// It cannot be put as a simple query.
    #[error("{0} cannot be carried to db hosts that take simple queries only")]
    NotSimple(String),
}

/// A Bind message, taken apart.
#[derive(Debug, PartialEq, Eq)]
pub struct Bind<'a> {
    /// The portal's name.
    pub portal: &'a [u8],
    /// The statement's name.
    pub statement: &'a [u8],
    /// None, one for all, or one for each parameter; true is binary.
    pub formats: Vec<bool>,
    /// The parameters; none is null.
    pub values: Vec<Option<&'a [u8]>>,
    /// The same as `formats`, for the columns of the result.
    pub results: Vec<bool>,
}

fn take_u16(rest: &mut &[u8]) -> Option<u16> {
    let (head, tail) = rest.split_first_chunk::<2>()?;
    *rest = tail;
    Some(u16::from_be_bytes(*head))
}

fn take_formats(rest: &mut &[u8]) -> Option<Vec<bool>> {
    let count = take_u16(rest)?;
    (0..count)
        .map(|_| match take_u16(rest)? {
            0 => Some(false),
            1 => Some(true),
            _ => None,
        })
        .collect()
}

/// Takes a Bind message's body apart.
///
/// # Errors
/// Says what does not fit. Guards against: a length that is not there, such as 2 GB; nothing is set aside for it.
pub fn bind(body: &[u8]) -> Result<Bind<'_>, NotBound> {
    let fault = NotBound::Message;
    let mut rest = body;
    let portal = frame::take_text(&mut rest).ok_or(fault("portal name without an end"))?;
    let statement = frame::take_text(&mut rest).ok_or(fault("statement name without an end"))?;
    let formats = take_formats(&mut rest).ok_or(fault("invalid parameter formats"))?;
    let count = take_u16(&mut rest).ok_or(fault("no count of parameters"))?;
    let mut values = Vec::new();
    for _ in 0..count {
        let (head, tail) = rest.split_first_chunk::<4>().ok_or(fault("fewer parameters than it says"))?;
        let len = i32::from_be_bytes(*head);
        let value = match usize::try_from(len) {
            Ok(len) => Some(tail.get(..len).ok_or(fault("a parameter longer than its message"))?),
            Err(_) if len == -1 => None,
            Err(_) => return Err(fault("a parameter of negative length")),
        };
        rest = &tail[value.map_or(0, <[u8]>::len)..];
        values.push(value);
    }
    let results = take_formats(&mut rest).ok_or(fault("invalid result formats"))?;
    if !rest.is_empty() {
        return Err(fault("bytes behind its end"));
    }
    if formats.len() > 1 && formats.len() != values.len() {
        return Err(fault("as many parameter formats as parameters are needed"));
    }
    Ok(Bind { portal, statement, formats, values, results })
}

/// A statement with its parameters.
#[derive(Debug)]
pub struct Bound {
    /// The statement.
    pub statement: Lease,
    /// What the comment tells; a local statement has nothing to tell.
    pub filled: Option<Filled>,
    /// The parameters, one behind the other, and where each is.
    values: Vec<u8>,
    places: Vec<Option<Range<u32>>>,
    formats: Vec<bool>,
    results: Vec<bool>,
}

impl Bound {
    /// Binds parameters to a statement.
    ///
    /// # Errors
    /// Says what is missing or cannot be read.
    pub fn new(statement: Lease, bind: Bind<'_>) -> Result<Self, NotBound> {
        if bind.values.len() != statement.types.len() {
            return Err(NotBound::Count(bind.values.len(), statement.types.len()));
        }
        let mut values = Vec::with_capacity(bind.values.iter().flatten().map(|v| v.len()).sum());
        let place = |value: Option<&[u8]>| {
            let start = narrow(values.len());
            values.extend(value?);
            Some(start..narrow(values.len()))
        };
        let places: Vec<_> = bind.values.into_iter().map(place).collect();
        let mut bound =
            Self { statement, filled: None, values, places, formats: bind.formats, results: bind.results };
        if let Purpose::Request(template) = &bound.statement.purpose {
            let filled = template.fill(&bound.statement.text, |n| bound.told(n))?;
            bound.filled = Some(filled);
        }
        Ok(bound)
    }

    /// Bytes that it keeps in memory, its statement only if no other client can share it.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let shared = self.statement.number().is_some();
        let text = if shared { 0 } else { self.statement.text.len() };
        let formats = self.formats.len() + self.results.len();
        self.values.len() + self.places.len() * size_of::<Option<Range<u32>>>() + formats + text
    }

    /// Whether this column of the result is wanted in binary.
    #[must_use]
    pub fn result_binary(&self, column: usize) -> bool {
        match self.results.as_slice() {
            [all] => *all,
            each => each.get(column).copied().unwrap_or(false),
        }
    }

    fn value(&self, parameter: usize) -> Option<&[u8]> {
        let at = self.places.get(parameter)?.clone()?;
        Some(&self.values[at.start as usize..at.end as usize])
    }

    fn binary(&self, parameter: usize) -> bool {
        match self.formats.as_slice() {
            [all] => *all,
            each => each.get(parameter).copied().unwrap_or(false),
        }
    }

    /// A parameter that the comment refers to, as text.
    fn told(&self, parameter: u16) -> Result<Cow<'static, [u8]>, NotBound> {
        let n = usize::from(parameter);
        let fault = |why| NotBound::Parameter(n + 1, why);
        let value = self.value(n).ok_or(fault("is null"))?;
        if !self.binary(n) {
            return Ok(value.to_vec().into());
        }
        let kind = self.statement.type_of(parameter);
        let why = match kind {
            0 => "is binary and of unknown type: declare its type",
            _ => "is binary and cannot be read as what its type says",
        };
        text_form(kind, value).map(|text| text.into_owned().into()).ok_or(fault(why))
    }

    /// Appends the Bind message for a statement of this name at a db host, with `wait` for the waiting time
    /// where that is a parameter.
    pub fn put(&self, out: &mut Vec<u8>, statement: &str, wait: Duration) {
        let wait_in = match &self.statement.purpose {
            Purpose::Request(template) => match template.wait {
                Told::Parameter(n) => Some(usize::from(n)),
                Told::Here(_) => None,
            },
            Purpose::Local(_) => None,
        };
        let put_formats = |b: &mut Vec<u8>, formats: &[bool]| {
            put_u16(b, formats.len());
            formats.iter().for_each(|binary| put_u16(b, usize::from(*binary)));
        };
        frame::put(out, b'B', |b| {
            frame::put_text(b, "");
            frame::put_text(b, statement);
            put_formats(b, &self.formats);
            put_u16(b, self.places.len());
            for n in 0..self.places.len() {
                let waiting;
                let value = if wait_in == Some(n) {
                    waiting = self.waiting(n, wait);
                    Some(waiting.as_slice())
                } else {
                    self.value(n)
                };
                match value {
                    Some(value) => {
                        b.extend(narrow(value.len()).to_be_bytes());
                        b.extend(value);
                    }
                    None => b.extend((-1_i32).to_be_bytes()),
                }
            }
            put_formats(b, &self.results);
        });
    }

    /// The waiting time in the form of the parameter that told it.
    fn waiting(&self, parameter: usize, wait: Duration) -> Vec<u8> {
        let ms = wait.as_millis();
        let number = u16::try_from(parameter).unwrap_or(u16::MAX);
        let integer = matches!(self.statement.type_of(number), oid::INT2 | oid::INT4 | oid::INT8);
        if !(self.binary(parameter) && integer) {
            return ms.to_string().into_bytes();
        }
        match self.value(parameter).map_or(0, <[u8]>::len) {
            2 => i16::try_from(ms).unwrap_or(i16::MAX).to_be_bytes().to_vec(),
            4 => i32::try_from(ms).unwrap_or(i32::MAX).to_be_bytes().to_vec(),
            _ => i64::try_from(ms).unwrap_or(i64::MAX).to_be_bytes().to_vec(),
        }
    }

    /// Appends the statement as a simple query, with literals in place of its parameters, and with `wait` for the
    /// waiting time.
    ///
    /// # Errors
    /// Says what has no such form; then nothing has been appended.
    pub fn put_simple(&self, out: &mut Vec<u8>, wait: Duration) -> Result<(), NotBound> {
        if self.results.iter().any(|binary| *binary) {
            return Err(NotBound::NotSimple("a result in binary".to_owned()));
        }
        let (start, text) = (out.len(), &self.statement.text);
        let result = self.put_text(out, text, wait);
        if result.is_err() {
            out.truncate(start);
        }
        result
    }

    fn put_text(&self, out: &mut Vec<u8>, text: &[u8], wait: Duration) -> Result<(), NotBound> {
        let Purpose::Request(template) = &self.statement.purpose else {
            out.extend(text);
            return Ok(());
        };
        // Everything that is replaced: literals before the comment, told values in it, in the order of the text.
        let literals = self.statement.placeholders.iter().map(|p| (&p.at, Some(p.parameter), false));
        let told = self.statement.told.iter().map(|p| (&p.at, Some(p.parameter), true));
        let here = match &template.wait {
            Told::Here(at) => Some((at, None, true)),
            Told::Parameter(_) => None,
        };
        let mut places: Vec<_> = literals.chain(told).chain(here).collect();
        places.sort_by_key(|(at, ..)| at.start);
        let mut done = 0;
        for (at, parameter, in_comment) in places {
            out.extend(&text[done..at.start as usize]);
            done = at.end as usize;
            match parameter {
                Some(n) if template.wait != Told::Parameter(n) || !in_comment => {
                    if in_comment {
                        out.extend(plain(&self.told(n)?, usize::from(n))?);
                    } else {
                        self.put_literal(out, usize::from(n))?;
                    }
                }
                _ => out.extend(wait.as_millis().to_string().as_bytes()),
            }
        }
        out.extend(&text[done..]);
        Ok(())
    }

    fn put_literal(&self, out: &mut Vec<u8>, n: usize) -> Result<(), NotBound> {
        let not = |what: &str| NotBound::NotSimple(format!("parameter {}, {what},", n + 1));
        let declared = self.statement.types[n];
        let cast = match cast(declared) {
            None if declared != 0 => return Err(not("of a type that has no name here")),
            cast => cast.unwrap_or(""),
        };
        // A space before, as `=$1` must not become one operator with a quote's prefix.
        let Some(value) = self.value(n) else {
            out.extend(b" NULL");
            out.extend(cast.as_bytes());
            return Ok(());
        };
        let text = if self.binary(n) {
            text_form(declared, value).ok_or_else(|| not("in binary"))?
        } else {
            value.into()
        };
        // Guards against: a text that ends the statement early; no text of PostgreSQL's has a zero byte.
        if text.contains(&0) {
            return Err(not("with a zero byte"));
        }
        let escapes = text.contains(&b'\\');
        out.extend(if escapes { &b" E'"[..] } else { &b" '"[..] });
        for byte in text.iter() {
            if *byte == b'\'' || *byte == b'\\' {
                out.push(*byte);
            }
            out.push(*byte);
        }
        out.push(b'\'');
        out.extend(cast.as_bytes());
        Ok(())
    }
}

/// A value that may stand in a comment. Guards against: one that ends the comment, or adds a name to it.
fn plain(value: &[u8], parameter: usize) -> Result<&[u8], NotBound> {
    let fits = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if value.iter().all(fits) {
        return Ok(value);
    }
    Err(NotBound::NotSimple(format!(
        "parameter {}, told with other characters than letters and digits,",
        parameter + 1
    )))
}

/// A value in binary form as the text that PostgreSQL would write; none for types that are not known here.
#[must_use]
pub fn text_form(kind: u32, value: &[u8]) -> Option<Cow<'_, [u8]>> {
    Some(match kind {
        oid::TEXT | oid::VARCHAR | oid::BPCHAR | oid::UNKNOWN | oid::JSON => value.into(),
        oid::BOOL if value.len() == 1 => if value == [0] { &b"f"[..] } else { &b"t"[..] }.into(),
        oid::INT2 | oid::INT4 | oid::INT8 => integer(value)?.to_string().into_bytes().into(),
        oid::UUID if value.len() == 16 => uuid(value).into_bytes().into(),
        oid::BYTEA => {
            const DIGITS: &[u8; 16] = b"0123456789abcdef";
            let digits = |b: &u8| [DIGITS[usize::from(b >> 4)], DIGITS[usize::from(b & 15)]];
            let mut text = b"\\x".to_vec();
            text.extend(value.iter().flat_map(digits));
            text.into()
        }
        _ => return None,
    })
}

fn integer(value: &[u8]) -> Option<i64> {
    match value.len() {
        2 => value.try_into().ok().map(i16::from_be_bytes).map(i64::from),
        4 => value.try_into().ok().map(i32::from_be_bytes).map(i64::from),
        8 => value.try_into().ok().map(i64::from_be_bytes),
        _ => None,
    }
}

fn uuid(value: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(36);
    for (n, byte) in value.iter().enumerate() {
        if matches!(n, 4 | 6 | 8 | 10) {
            text.push('-');
        }
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// How a literal is told its type.
fn cast(declared: u32) -> Option<&'static str> {
    Some(match declared {
        oid::BOOL => "::bool",
        oid::BYTEA => "::bytea",
        oid::INT2 => "::int2",
        oid::INT4 => "::int4",
        oid::INT8 => "::int8",
        oid::TEXT => "::text",
        oid::FLOAT4 => "::float4",
        oid::FLOAT8 => "::float8",
        oid::VARCHAR => "::varchar",
        oid::BPCHAR => "::bpchar",
        oid::DATE => "::date",
        oid::TIMESTAMP => "::timestamp",
        oid::TIMESTAMPTZ => "::timestamptz",
        oid::NUMERIC => "::numeric",
        oid::UUID => "::uuid",
        oid::JSON => "::json",
        oid::JSONB => "::jsonb",
        oid::UNKNOWN => "",
        _ => return None,
    })
}

fn narrow(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}

fn put_u16(out: &mut Vec<u8>, number: usize) {
    out.extend(u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes());
}

/// Appends a Parse message for a statement under this name at a db host, with `wait` where the text tells the
/// waiting time.
pub fn put_parse(out: &mut Vec<u8>, name: &str, statement: &Statement, wait: Option<Duration>) {
    frame::put(out, b'P', |b| {
        frame::put_text(b, name);
        match (&statement.purpose, wait) {
            (Purpose::Request(template), Some(wait)) => match &template.wait {
                Told::Here(at) => {
                    b.extend(&statement.text[..at.start as usize]);
                    b.extend(wait.as_millis().to_string().as_bytes());
                    b.extend(&statement.text[at.end as usize..]);
                }
                Told::Parameter(_) => b.extend(&statement.text),
            },
            _ => b.extend(&statement.text),
        }
        b.push(0);
        put_u16(b, statement.types.len());
        statement.types_for_host().for_each(|t| b.extend(t.to_be_bytes()));
    });
}
