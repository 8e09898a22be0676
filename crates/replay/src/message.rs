//! A recorded request's bytes anew: as it was, but for its id and its position in time where that is wanted.

use std::borrow::Cow;
use std::time::Duration;

use yewroute_pgwire::bind::{bind, Bind};
use yewroute_pgwire::frame::{put, put_text};
use yewroute_pgwire::statement::told_at;
use yewroute_traffic::Request;

/// What is told anew.
#[derive(Clone, Debug, Default)]
pub struct Retell {
    /// Put behind each id.
    pub suffix: String,
    /// Added to positions that reads must see (`after`), so that they lie as far back as they did.
    pub later: Duration,
}

impl Retell {
    fn id(&self, id: &[u8]) -> Vec<u8> {
        [id, self.suffix.as_bytes()].concat()
    }

    fn after(&self, after: &[u8]) -> Vec<u8> {
        let moved = std::str::from_utf8(after).ok().and_then(|text| text.parse::<u64>().ok());
        match moved.and_then(|ms| ms.checked_add(u64::try_from(self.later.as_millis()).ok()?)) {
            Some(ms) => ms.to_string().into_bytes(),
            None => after.to_vec(),
        }
    }

    /// The text, with what it tells itself told anew, and which parameters tell the rest.
    fn text(&self, text: &[u8]) -> (Vec<u8>, [Option<usize>; 2]) {
        let mut text = text.to_vec();
        let mut parameters = [None; 2];
        for (n, name) in ["id", "after"].into_iter().enumerate() {
            let Some(at) = told_at(&text, name) else { continue };
            let value = &text[at.clone()];
            let reference =
                value.strip_prefix(b"$").and_then(|n| std::str::from_utf8(n).ok()?.parse::<usize>().ok());
            match reference {
                Some(number) => parameters[n] = number.checked_sub(1),
                None => {
                    let new = if n == 0 { self.id(value) } else { self.after(value) };
                    text.splice(at, new);
                }
            }
        }
        (text, parameters)
    }

    /// The messages that ask for it again: a simple query, or Parse, Bind, Execute and Sync of an unnamed statement.
    #[must_use]
    pub fn messages(&self, request: &Request) -> Vec<u8> {
        let (text, told) = self.text(&request.text);
        let mut out = Vec::with_capacity(text.len() + 64);
        let Some(body) = &request.bind else {
            put(&mut out, b'Q', |b| {
                b.extend(&text);
                b.push(0);
            });
            return out;
        };
        put(&mut out, b'P', |b| {
            put_text(b, "");
            b.extend(&text);
            b.push(0);
            put_count(b, request.types.len());
            request.types.iter().for_each(|kind| b.extend(kind.to_be_bytes()));
        });
        if let Ok(bind) = bind(body) {
            self.put_bind(&mut out, &bind, told);
        }
        put(&mut out, b'E', |b| b.extend([0; 5]));
        put(&mut out, b'S', |_| {});
        out
    }

    fn put_bind(&self, out: &mut Vec<u8>, bind: &Bind<'_>, told: [Option<usize>; 2]) {
        let formats = |b: &mut Vec<u8>, formats: &[bool]| {
            put_count(b, formats.len());
            formats.iter().for_each(|binary| b.extend(u16::from(*binary).to_be_bytes()));
        };
        put(out, b'B', |b| {
            b.extend([0, 0]);
            formats(b, &bind.formats);
            put_count(b, bind.values.len());
            for (n, value) in bind.values.iter().enumerate() {
                let value = value.map(|value| match told {
                    [Some(id), _] if id == n => Cow::Owned(self.id(value)),
                    [_, Some(after)] if after == n => Cow::Owned(self.after(value)),
                    _ => Cow::Borrowed(value),
                });
                let len = value.as_ref().map_or(-1, |value| i32::try_from(value.len()).unwrap_or(i32::MAX));
                b.extend(len.to_be_bytes());
                b.extend(value.unwrap_or_default().iter());
            }
            formats(b, &bind.results);
        });
    }
}

fn put_count(out: &mut Vec<u8>, count: usize) {
    out.extend(u16::try_from(count).unwrap_or(u16::MAX).to_be_bytes());
}
