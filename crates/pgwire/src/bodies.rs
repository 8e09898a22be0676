//! What the bodies of a db host's messages hold. None where an inside does not fit its type.

use crate::frame;

/// Name and value of a ParameterStatus.
pub(crate) fn parameter(mut body: &[u8]) -> Option<(&[u8], &[u8])> {
    let name = frame::take_text(&mut body)?;
    let value = frame::take_text(&mut body).filter(|_| body.is_empty())?;
    Some((name, value))
}

/// Checks a description of one column.
pub(crate) fn one_column(body: &[u8]) -> Option<()> {
    /// Table, column, type, size, modifier and format.
    const FIXED: usize = 18;
    let mut rest = body.strip_prefix(&1_u16.to_be_bytes())?;
    frame::take_text(&mut rest)?;
    (rest.len() == FIXED).then_some(())
}

/// The value of a row of one column that is not null.
pub(crate) fn one_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&1_u16.to_be_bytes())?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let len = usize::try_from(i32::from_be_bytes(*len)).ok()?;
    (value.len() == len).then_some(value)
}

/// Checks a tag: a verb, and the count of one row where the verb counts rows.
pub(crate) fn one_row(mut body: &[u8]) -> Option<()> {
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

/// The formats and types of a RowDescription's columns, each with where its format stands in the body.
pub fn columns(body: &[u8]) -> Option<Vec<Column>> {
    /// Table, column, type, size, modifier and format.
    const FIXED: usize = 18;
    let (count, mut rest) = body.split_first_chunk::<2>()?;
    let mut columns = Vec::new();
    for _ in 0..u16::from_be_bytes(*count) {
        frame::take_text(&mut rest)?;
        let (fixed, tail) = rest.split_first_chunk::<FIXED>()?;
        let format_at = body.len() - tail.len() - 2;
        let kind = u32::from_be_bytes([fixed[6], fixed[7], fixed[8], fixed[9]]);
        columns.push(Column { kind, binary: fixed[17] == 1, format_at });
        rest = tail;
    }
    rest.is_empty().then_some(columns)
}

/// A column, as RowDescription tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Column {
    /// The number of its type.
    pub kind: u32,
    /// Its values come in binary.
    pub binary: bool,
    /// Where in the body its format stands, two bytes.
    pub format_at: usize,
}

/// The values of a DataRow.
pub fn values(body: &[u8]) -> Option<Vec<Option<&[u8]>>> {
    let (count, mut rest) = body.split_first_chunk::<2>()?;
    let mut values = Vec::new();
    for _ in 0..u16::from_be_bytes(*count) {
        let (len, tail) = rest.split_first_chunk::<4>()?;
        let value = match i32::from_be_bytes(*len) {
            -1 => None,
            len => Some(tail.get(..usize::try_from(len).ok()?)?),
        };
        rest = &tail[value.map_or(0, <[u8]>::len)..];
        values.push(value);
    }
    rest.is_empty().then_some(values)
}

/// The types that a ParameterDescription tells.
pub fn parameters(body: &[u8]) -> Option<Vec<u32>> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let types: Vec<u32> =
        rest.chunks_exact(4).map(|t| u32::from_be_bytes([t[0], t[1], t[2], t[3]])).collect();
    let fits = rest.len() % 4 == 0 && types.len() == usize::from(u16::from_be_bytes(*count));
    fits.then_some(types)
}
