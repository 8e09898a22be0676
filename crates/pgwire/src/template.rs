//! A statement read once, so that each Bind only fills it in.

use std::borrow::Cow;
use std::ops::Range;
use std::time::Duration;

use crate::frontend::{self, Local};
use crate::lexer::{lex, Lexed, Placeholder};
use crate::names;
use crate::statement::{self, Malformed};

/// Where something that the comment tells stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// In the text.
    Here(Range<u32>),
    /// In this parameter, counted from 0.
    Parameter(u16),
}

/// A statement of a request, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// It changes data.
    pub writes: bool,
    /// Where the waiting time is.
    pub wait: Told,
    id: Told,
    class: Told,
    group: Told,
    after: Option<Told>,
    resent: Option<Told>,
    key: Told,
    channel: Option<Told>,
    number: Option<Told>,
}

/// What a statement is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A db host is to run it.
    Request(Template),
    /// It is answered here.
    Local(Local),
}

/// A statement, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// What it is for.
    pub purpose: Purpose,
    /// Its references outside quotes and comments.
    pub placeholders: Vec<Placeholder>,
    /// Its references in the closing comment, whose places are in the text too.
    pub told: Vec<Placeholder>,
}

/// What the comment tells, with parameters filled in.
#[derive(Debug, PartialEq, Eq)]
pub struct Filled {
    /// `id`.
    pub id: Vec<u8>,
    /// `c`.
    pub class: String,
    /// `cluster`.
    pub group: u64,
    /// `d`.
    pub wait: Duration,
    /// `after`.
    pub after: Option<u64>,
    /// `r=1`.
    pub resent: bool,
    /// The quoted key, or the parameter in its place.
    pub key: Vec<u8>,
    /// `ch`.
    pub channel: Option<Vec<u8>>,
    /// `n`.
    pub number: Option<u64>,
}

/// Reads a statement.
///
/// # Errors
/// Says why it can never be a request.
pub fn read(text: &[u8]) -> Result<Read, Malformed> {
    if let Some(local) = frontend::local(text) {
        return Ok(Read { purpose: Purpose::Local(local), placeholders: Vec::new(), told: Vec::new() });
    }
    let Lexed { placeholders, quoted, open, several } = lex(text);
    if open || several {
        return Err(Malformed::NotOne);
    }
    let writes = statement::writes(statement::trim(text)).ok_or(Malformed::Verb)?;
    let (before, comment) = statement::closing_comment(text)?;
    // Guards against: a quote that ends in what looks like a comment.
    let end = u32::try_from(before.len()).unwrap_or(u32::MAX);
    if quoted.as_ref().is_some_and(|quoted| quoted.end > end) {
        return Err(Malformed::NoComment);
    }
    let offset = before.len() + 2;
    let mut told = Vec::new();
    let mut find = |wanted: &str| {
        // The last of several counts, as in simple queries.
        let value = statement::pairs(comment).filter(|(name, _)| *name == wanted).last()?.1;
        let start = offset + (value.as_ptr() as usize - comment.as_ptr() as usize);
        let at = narrow(start)..narrow(start + value.len());
        let parameter = value.strip_prefix('$').and_then(|number| number.parse::<u16>().ok()?.checked_sub(1));
        Some(match parameter {
            Some(parameter) => {
                told.push(Placeholder { at, parameter });
                Told::Parameter(parameter)
            }
            None => Told::Here(at),
        })
    };
    let id = find("id").ok_or(Malformed::Missing("id"))?;
    let wait = find("d").ok_or(Malformed::Missing("d"))?;
    let class = find("c").ok_or(Malformed::Missing("c"))?;
    let group = find("cluster").ok_or(Malformed::Missing("cluster"))?;
    let (after, resent) = (find("after"), find("r"));
    let (channel, number) = (find("ch"), find("n"));
    // Any other name may be told by parameter as well, such as the key by which a repeat is dropped.
    for (name, _) in statement::pairs(comment) {
        if !["id", "d", "c", "cluster", "after", "r", "ch", "n"].contains(&name) {
            find(name);
        }
    }
    told.sort_by_key(|place| place.at.start);
    told.dedup();
    let first = placeholders.first().filter(|p| quoted.as_ref().is_none_or(|q| p.at.start < q.start));
    let key = match (first, quoted) {
        (Some(first), _) => Told::Parameter(first.parameter),
        (None, Some(quoted)) => Told::Here(quoted),
        (None, None) => return Err(Malformed::NoKey),
    };
    let template = Template { writes, wait, id, class, group, after, resent, key, channel, number };
    for (name, told) in [("id", &template.id), ("d", &template.wait), ("cluster", &template.group)] {
        template.check(text, name, told)?;
    }
    if let Some(after) = &template.after {
        template.check(text, "after", after)?;
    }
    Ok(Read { purpose: Purpose::Request(template), placeholders, told })
}

fn narrow(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}

impl Template {
    /// The statement can be used again: neither its id nor the waiting time, which changes with each send, is
    /// fixed in its text.
    #[must_use]
    pub fn reusable(&self) -> bool {
        matches!((&self.id, &self.wait), (Told::Parameter(_), Told::Parameter(_)))
    }

    /// Finds at once what no parameter can mend.
    fn check(&self, text: &[u8], name: &'static str, told: &Told) -> Result<(), Malformed> {
        let Told::Here(at) = told else { return Ok(()) };
        let value = &text[at.start as usize..at.end as usize];
        match name {
            "id" if !value.is_empty() => Ok(()),
            "d" => number::<u32>(value, name).map(|_| ()),
            "cluster" | "after" => number::<u64>(value, name).map(|_| ()),
            _ => Err(Malformed::Missing(name)),
        }
    }

    /// Fills in parameters, each given as text by `parameter`.
    ///
    /// # Errors
    /// Names what has an unfitting value, or passes on why a parameter cannot be read.
    pub fn fill<'a, E: From<Malformed>>(
        &self,
        text: &'a [u8],
        parameter: impl Fn(u16) -> Result<Cow<'a, [u8]>, E>,
    ) -> Result<Filled, E> {
        let value = |told: &Told| match told {
            Told::Here(at) => Ok(Cow::Borrowed(&text[at.start as usize..at.end as usize])),
            Told::Parameter(number) => parameter(*number),
        };
        let id = names::kept(&value(&self.id)?);
        if id.is_empty() {
            return Err(Malformed::Missing("id").into());
        }
        let class = value(&self.class)?;
        let class = std::str::from_utf8(&class).map_err(|_| Malformed::Value("c"))?;
        let class = names::kept_text(class);
        let wait: u32 = number(&value(&self.wait)?, "d")?;
        let after = match &self.after {
            Some(after) => Some(number(&value(after)?, "after")?),
            None => None,
        };
        let channel = self.channel.as_ref().map(value).transpose()?;
        let number_in = self.number.as_ref().map(value).transpose()?;
        Ok(Filled {
            id,
            class,
            group: number(&value(&self.group)?, "cluster")?,
            wait: Duration::from_millis(wait.into()),
            after,
            resent: self.resent.as_ref().map(value).transpose()?.as_deref() == Some(b"1"),
            key: names::kept(&value(&self.key)?),
            channel: channel.map(Cow::into_owned).filter(|name| statement::fits(name)),
            number: number_in.and_then(|told| std::str::from_utf8(&told).ok()?.parse().ok()),
        })
    }
}

fn number<T: std::str::FromStr>(value: &[u8], name: &'static str) -> Result<T, Malformed> {
    std::str::from_utf8(value).ok().and_then(|text| text.parse().ok()).ok_or(Malformed::Value(name))
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "INSERT INTO items (id, doc) VALUES ($1, $2) RETURNING doc \
                        /* id=$3,c=check-in,d=$4,k=$5,cluster=2 */";

    fn fill(text: &str, values: &[&str]) -> Result<Filled, Malformed> {
        let Purpose::Request(template) = read(text.as_bytes())?.purpose else { panic!("a request") };
        template.fill(text.as_bytes(), |n| {
            values.get(usize::from(n)).map(|v| v.as_bytes().to_vec().into()).ok_or(Malformed::NoKey)
        })
    }

    #[test]
    fn what_the_comment_tells_is_taken_from_text_and_parameters() {
        let filled = fill(TEXT, &["7f3a", "doc", "9b1f", "480", "5c0f"]).unwrap();
        assert_eq!((filled.id, filled.class.as_str(), filled.group), (b"9b1f".to_vec(), "check-in", 2));
        assert_eq!((filled.wait, filled.key), (Duration::from_millis(480), b"7f3a".to_vec()));
        let read = read(TEXT.as_bytes()).unwrap();
        let place = |p: &Placeholder| (TEXT[p.at.start as usize..p.at.end as usize].to_owned(), p.parameter);
        let told: Vec<_> = read.told.iter().map(place).collect();
        assert_eq!(told, [("$3".to_owned(), 2), ("$4".to_owned(), 3), ("$5".to_owned(), 4)]);
        assert_eq!(read.placeholders.len(), 2);
    }

    #[test]
    fn a_simple_query_and_its_template_say_the_same() {
        let text =
            "SELECT doc FROM items WHERE id = '7f3a' /* id=9b,c=view,d=480,cluster=2,after=17,r=1 */ ;";
        let (filled, simple) = (fill(text, &[]).unwrap(), statement::request(text.as_bytes()).unwrap());
        assert_eq!(filled.id, simple.id.as_bytes());
        assert_eq!((filled.class.as_str(), filled.group), (simple.class, simple.group));
        assert_eq!(
            (filled.after, filled.resent, filled.key.as_slice()),
            (simple.after, simple.resent, simple.key)
        );
        assert_eq!(filled.wait.as_millis(), u128::from(simple.wait_ms));
    }

    #[test]
    fn what_can_never_be_a_request_is_told_apart() {
        for (text, fault) in [
            ("SELECT $1", Malformed::NoComment),
            ("SELECT '/* id=1,c=v,d=1,cluster=2 */", Malformed::NotOne),
            ("SELECT 1 FROM a WHERE b = '/* id=1,c=v,d=1,cluster=2 */'", Malformed::NoComment),
            ("BEGIN /* id=$1,c=v,d=1,cluster=2 */", Malformed::Verb),
            ("SELECT $1 /* c=v,d=1,cluster=2 */", Malformed::Missing("id")),
            ("SELECT $1 /* id=$1,c=v,d=x,cluster=2 */", Malformed::Value("d")),
            ("SELECT 1 /* id=$1,c=v,d=1,cluster=2 */", Malformed::NoKey),
            ("SELECT $1; SELECT $2 /* id=$1,c=v,d=1,cluster=2 */", Malformed::NotOne),
        ] {
            assert_eq!(read(text.as_bytes()), Err(fault), "{text}");
        }
        assert_eq!(fill(TEXT, &["7f3a", "doc", "9b1f", "soon", "5c"]), Err(Malformed::Value("d")));
        assert_eq!(fill(TEXT, &["7f3a", "doc", "", "480", "5c"]), Err(Malformed::Missing("id")));
    }
}
