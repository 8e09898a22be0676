//! A statement bound and on its way to being run: what is left of its rows, and the form they are passed on in.

use std::rc::Rc;

use crate::bind::{text_form, Bound};
use crate::bodies::{columns, values};
use crate::frame;

/// The book-keeping of a portal or statement, about.
pub(crate) const ENTRY: usize = 64;

/// A portal of a client's.
#[derive(Debug)]
pub(crate) struct Portal {
    /// What it was bound to.
    pub(crate) bound: Rc<Bound>,
    /// How far it has run.
    pub(crate) run: Run,
}

/// How far a portal has run.
#[derive(Debug)]
pub(crate) enum Run {
    /// Not at all.
    Not,
    /// Rows that a limit has held back, whole messages, and the tag that comes after them.
    Part { rows: Vec<u8>, from: usize, tag: Vec<u8> },
    /// All of it is passed on, or it got another answer.
    Done,
}

impl Portal {
    /// Puts rows up to the limit, then that there are more or the tag.
    pub(crate) fn serve(&mut self, limit: usize, out: &mut Vec<u8>) {
        let Run::Part { rows, from, tag } = &mut self.run else { return };
        let (start, mut count) = (*from, 0);
        while let (true, Some(len)) = (limit == 0 || count < limit, message_len(&rows[*from..])) {
            *from += len;
            count += 1;
        }
        out.extend(&rows[start..*from]);
        if limit > 0 && count == limit {
            frame::put(out, b's', |_| {});
            return;
        }
        // A SELECT's tag counts the rows of its last part; any other statement's counts all of them.
        if tag.get(5..12) == Some(b"SELECT ") {
            frame::put(out, b'C', |b| frame::put_text(b, &format!("SELECT {count}")));
        } else {
            out.extend(tag.iter());
        }
        self.run = Run::Done;
    }

    /// The rows and the tag in the formats that the client wants, and the description apart. A db host that takes
    /// simple queries only has chosen the formats itself; none if one has no text form here.
    pub(crate) fn in_form(&self, mut messages: Vec<u8>) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        if messages.first() != Some(&b'T') {
            return Some((messages, None));
        }
        let len = message_len(&messages)?;
        let rows = messages.split_off(len);
        let mut head = messages;
        let columns = columns(&head[5..])?;
        if columns.iter().enumerate().all(|(n, column)| column.binary == self.bound.result_binary(n)) {
            return Some((rows, Some(head)));
        }
        columns.iter().for_each(|column| head[5 + column.format_at..][..2].copy_from_slice(&[0, 0]));
        let (mut out, mut at) = (Vec::with_capacity(rows.len() * 2), 0);
        while let Some(len) = message_len(&rows[at..]) {
            let raw = &rows[at..at + len];
            at += len;
            if raw[0] != b'D' {
                out.extend(raw);
                continue;
            }
            let values = values(&raw[5..])?;
            let text = |(n, value): (usize, &Option<&'_ [u8]>)| {
                let column = columns.get(n)?;
                Some(match value {
                    Some(value) if column.binary => Some(text_form(column.kind, value)?.into_owned()),
                    value => value.map(<[u8]>::to_vec),
                })
            };
            let texts: Vec<_> = values.iter().enumerate().map(text).collect::<Option<_>>()?;
            frame::put(&mut out, b'D', |b| {
                b.extend(&raw[5..7]);
                for text in texts {
                    let len = text.as_ref().map_or(-1, |text| i32::try_from(text.len()).unwrap_or(i32::MAX));
                    b.extend(len.to_be_bytes());
                    b.extend(text.unwrap_or_default());
                }
            });
        }
        Some((out, Some(head)))
    }
}

/// The length of the message that begins `bytes`, which holds whole messages only.
pub(crate) fn message_len(bytes: &[u8]) -> Option<usize> {
    let length = frame::length(bytes.get(1..)?, frame::LONGEST_ANSWER).ok()??;
    (bytes.len() > length).then_some(1 + length)
}

/// Where the last message begins.
pub(crate) fn last_message(bytes: &[u8]) -> Option<usize> {
    let (mut at, mut last) = (0, None);
    while let Some(len) = message_len(&bytes[at..]) {
        last = Some(at);
        at += len;
    }
    last
}

/// What it is charged to its client.
pub(crate) fn cost_of_portal(name: &[u8], portal: &Portal) -> usize {
    let rest = match &portal.run {
        Run::Part { rows, tag, .. } => rows.len() + tag.len(),
        _ => 0,
    };
    name.len() + portal.bound.bytes() + rest + ENTRY
}
