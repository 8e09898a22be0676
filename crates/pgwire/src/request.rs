//! What a request of a client's is, and the form in which it goes on to a db host.

use std::borrow::Cow;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use crate::bind::Bound;
use crate::names;
use crate::statement::{self, Malformed};
use crate::table::Lease;

/// A simple query as it goes on to a db host.
#[derive(Debug, PartialEq, Eq)]
pub struct Simple {
    /// The text as the client sent it.
    pub text: Vec<u8>,
    /// Where in it the number of milliseconds stands that the sender will wait.
    pub wait_at: Range<usize>,
}

impl Simple {
    /// Appends the head of the whole message with `wait` in its place. What follows are the bytes of the text up to
    /// [`Simple::wait_at`], the number, those behind it, and a zero byte.
    pub fn put_head(&self, out: &mut Vec<u8>, wait: Duration) {
        let len = self.text.len() - self.wait_at.len() + wait.as_millis().to_string().len();
        out.push(b'Q');
        out.extend(u32::try_from(4 + len + 1).unwrap_or(u32::MAX).to_be_bytes());
    }

    /// Appends the number of milliseconds.
    pub fn put_wait(&self, out: &mut Vec<u8>, wait: Duration) {
        out.extend(wait.as_millis().to_string().as_bytes());
    }

    /// Appends the text with `wait` in its place; all else goes on byte for byte.
    pub fn put(&self, out: &mut Vec<u8>, wait: Duration) {
        out.extend(&self.text[..self.wait_at.start]);
        out.extend(wait.as_millis().to_string().as_bytes());
        out.extend(&self.text[self.wait_at.end..]);
    }
}

/// What goes on to a db host.
#[derive(Debug)]
pub enum Body {
    /// A simple query.
    Simple(Simple),
    /// A statement bound to parameters, to be executed.
    Execute(Rc<Bound>),
    /// A statement whose parameters and columns are asked for.
    Describe(Lease),
}

impl Body {
    /// Bytes that it keeps in memory; a statement that others share is not counted.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Simple(simple) => simple.text.len(),
            Self::Execute(bound) => bound.bytes(),
            Self::Describe(_) => 0,
        }
    }
}

/// A request of a client's, to be decided on elsewhere.
#[derive(Debug)]
pub struct Wanted {
    /// `id`: the client's name for it; empty if it has none, as a question for a description.
    pub id: Vec<u8>,
    /// `c` and `cluster`; none where any db host will do.
    pub scope: Option<(String, u64)>,
    /// It changes data.
    pub writes: bool,
    /// `d`: how long the client waits.
    pub wait: Duration,
    /// The quoted key, or the parameter in its place.
    pub key: Vec<u8>,
    /// `after`: the position that a read must see, as a Unix time in milliseconds.
    pub after: Option<u64>,
    /// `r=1`: the client's retry.
    pub resent: bool,
    /// `ch`: the channel in whose order it stands.
    pub channel: Option<Vec<u8>>,
    /// `n`: its number there.
    pub number: Option<u64>,
    /// What goes on.
    pub body: Body,
}

impl Wanted {
    /// Reads a simple query.
    ///
    /// # Errors
    /// Says why it is no request.
    pub fn simple<'a>(text: impl Into<Cow<'a, [u8]>>) -> Result<Self, Malformed> {
        let text = text.into();
        let request = statement::request(&text)?;
        let wait_at = request.wait_at.clone();
        let mut wanted = Self {
            id: names::kept(request.id.as_bytes()),
            scope: Some((names::kept_text(request.class), request.group)),
            writes: request.writes,
            wait: Duration::from_millis(request.wait_ms.into()),
            key: names::kept(request.key),
            after: request.after,
            resent: request.resent,
            channel: request.channel.map(|name| name.as_bytes().to_vec()),
            number: request.number,
            body: Body::Simple(Simple { text: Vec::new(), wait_at }),
        };
        if let Body::Simple(simple) = &mut wanted.body {
            simple.text = text.into_owned();
        }
        Ok(wanted)
    }

    /// A question for a statement's parameters and columns, which any db host answers.
    #[must_use]
    pub fn description(statement: Lease) -> Self {
        Self {
            id: Vec::new(),
            scope: None,
            writes: false,
            wait: Duration::MAX,
            key: Vec::new(),
            after: None,
            resent: false,
            channel: None,
            number: None,
            body: Body::Describe(statement),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_wait_in_a_statement_changes() {
        let wanted = Wanted::simple(b"SELECT 'k' /* id=1,c=order,d=3000,cluster=2 */").unwrap();
        let Body::Simple(simple) = wanted.body else { panic!("simple") };
        let mut out = Vec::new();
        simple.put(&mut out, Duration::from_micros(41_900));
        assert_eq!(String::from_utf8(out.clone()).unwrap(), "SELECT 'k' /* id=1,c=order,d=41,cluster=2 */");
        // The whole message in parts, of which those of the text are not copied.
        let (mut parts, wait) = (Vec::new(), Duration::from_millis(41));
        simple.put_head(&mut parts, wait);
        parts.extend(&simple.text[..simple.wait_at.start]);
        simple.put_wait(&mut parts, wait);
        parts.extend(&simple.text[simple.wait_at.end..]);
        parts.push(0);
        let mut whole = Vec::new();
        crate::backend::put_query(&mut whole, |b| b.extend(out));
        assert_eq!(parts, whole);
    }
}
