//! Where `$N` stands in a statement, and where it only seems to: in quotes, quoted names and comments.

use std::ops::Range;

/// A reference to a parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placeholder {
    /// Where it stands, its dollar sign included.
    pub at: Range<u32>,
    /// Which parameter, counted from 0.
    pub parameter: u16,
}

/// What a statement is made of, as far as it matters here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lexed {
    /// The references outside quotes and comments, in order.
    pub placeholders: Vec<Placeholder>,
    /// Where the inside of the first quoted text is.
    pub quoted: Option<Range<u32>>,
    /// A quote, a name or a comment has no end.
    pub open: bool,
    /// A semicolon stands before more than white space and comments: there are several statements.
    pub several: bool,
}

/// Reads a statement. One longer than 4 GiB cannot come.
#[must_use]
pub fn lex(text: &[u8]) -> Lexed {
    let mut lexed = Lexed::default();
    let (mut at, mut ended) = (0, false);
    while let Some(byte) = text.get(at) {
        let start = at;
        let end = match byte {
            b'\'' => quoted(text, at + 1, escapes(text, at)),
            b'"' => quoted(text, at + 1, false),
            b'-' if text.get(at + 1) == Some(&b'-') => Some(line_end(text, at)),
            b'/' if text.get(at + 1) == Some(&b'*') => comment_end(text, at + 2),
            b'$' if !part_of_name(text, at) => match dollar(text, at) {
                Dollar::Placeholder(parameter, end) => {
                    lexed.placeholders.push(Placeholder { at: range(at, end), parameter });
                    Some(end)
                }
                Dollar::Quoted(end) => end,
                Dollar::Lone => Some(at + 1),
            },
            _ => Some(at + 1),
        };
        let Some(end) = end else {
            lexed.open = true;
            return lexed;
        };
        if *byte == b'\'' && lexed.quoted.is_none() {
            lexed.quoted = Some(range(start + 1, end - 1));
        }
        let comment = matches!(byte, b'-' | b'/') && end > start + 1;
        lexed.several |= ended && !comment && !byte.is_ascii_whitespace() && *byte != b';';
        ended |= *byte == b';';
        at = end;
    }
    lexed
}

/// A statement without what differs from one use to the next: quoted texts and numbers become `?`, comments go, white
/// space becomes one space. Two statements of one shape differ in their values only.
#[must_use]
pub fn shape(text: &[u8]) -> Vec<u8> {
    let (mut out, mut at) = (Vec::with_capacity(text.len()), 0);
    while let Some(byte) = text.get(at) {
        let comment = matches!((byte, text.get(at + 1)), (b'-', Some(b'-')) | (b'/', Some(b'*')));
        let number = byte.is_ascii_digit() && !part_of_name(text, at);
        let end = match byte {
            b'\'' => quoted(text, at + 1, escapes(text, at)),
            b'"' => quoted(text, at + 1, false),
            b'-' if comment => Some(line_end(text, at)),
            b'/' if comment => comment_end(text, at + 2),
            _ if number => {
                Some(at + text[at..].iter().take_while(|b| b.is_ascii_alphanumeric() || **b == b'.').count())
            }
            _ => Some(at + 1),
        }
        .unwrap_or(text.len());
        match byte {
            _ if comment || byte.is_ascii_whitespace() => {
                if !matches!(out.last(), None | Some(b' ')) {
                    out.push(b' ');
                }
            }
            b'\'' => out.push(b'?'),
            _ if number => out.push(b'?'),
            _ => out.extend(&text[at..end]),
        }
        at = end.max(at + 1);
    }
    while matches!(out.last(), Some(b' ' | b';')) {
        out.pop();
    }
    out
}

fn range(start: usize, end: usize) -> Range<u32> {
    let narrow = |at: usize| u32::try_from(at).unwrap_or(u32::MAX);
    narrow(start)..narrow(end)
}

/// A quote behind a lone `E` takes backslashes as escapes.
fn escapes(text: &[u8], quote: usize) -> bool {
    quote > 0 && matches!(text[quote - 1], b'e' | b'E') && !part_of_name(text, quote - 1)
}

/// The byte before belongs to a name or a number, so what stands here goes on with it.
fn part_of_name(text: &[u8], at: usize) -> bool {
    at > 0 && (text[at - 1].is_ascii_alphanumeric() || matches!(text[at - 1], b'_' | b'$' | 0x80..))
}

/// Past the closing quote of what was opened by the byte before `at`; doubled ones are part of the text.
fn quoted(text: &[u8], mut at: usize, escapes: bool) -> Option<usize> {
    let quote = text[at - 1];
    loop {
        match text.get(at)? {
            b'\\' if escapes => at += 2,
            byte if *byte == quote && text.get(at + 1) == Some(&quote) => at += 2,
            byte if *byte == quote => return Some(at + 1),
            _ => at += 1,
        }
    }
}

fn line_end(text: &[u8], at: usize) -> usize {
    text[at..].iter().position(|b| *b == b'\n').map_or(text.len(), |len| at + len + 1)
}

/// Past the end of a comment; PostgreSQL's nest.
fn comment_end(text: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 1;
    while depth > 0 {
        match text.get(at..at + 2)? {
            b"/*" => (depth, at) = (depth + 1, at + 2),
            b"*/" => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    Some(at)
}

enum Dollar {
    Placeholder(u16, usize),
    /// Past the end of a text in dollar quotes, if it has one.
    Quoted(Option<usize>),
    Lone,
}

fn dollar(text: &[u8], at: usize) -> Dollar {
    let rest = &text[at + 1..];
    let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    if digits > 0 {
        let number = std::str::from_utf8(&rest[..digits]).ok().and_then(|text| text.parse::<u16>().ok());
        return match number.and_then(|number| number.checked_sub(1)) {
            Some(parameter) => Dollar::Placeholder(parameter, at + 1 + digits),
            None => Dollar::Lone,
        };
    }
    let name = rest.iter().take_while(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | 0x80..)).count();
    if rest.get(name) != Some(&b'$') {
        return Dollar::Lone;
    }
    let tag = &text[at..at + name + 2];
    let inside = at + tag.len();
    let end = text[inside..].windows(tag.len()).position(|window| window == tag);
    Dollar::Quoted(end.map(|len| inside + len + tag.len()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn found(text: &str) -> Vec<(&str, u16)> {
        let lexed = lex(text.as_bytes());
        assert!(!lexed.open, "{text}");
        let place = |p: &Placeholder| (&text[p.at.start as usize..p.at.end as usize], p.parameter);
        lexed.placeholders.iter().map(place).collect()
    }

    #[test]
    fn references_are_told_from_what_only_looks_like_them() {
        for (text, wanted) in [
            ("select $1, $12", &[("$1", 0), ("$12", 11)][..]),
            ("select '$1', '''$1', \"$1\", $2", &[("$2", 1)]),
            ("select E'\\'$1', $2", &[("$2", 1)]),
            ("select like'\\', $2", &[("$2", 1)]),
            ("select $$ $1 $$, $q$ $1 $$ $q$, $3", &[("$3", 2)]),
            ("select a$1, $1 -- $2\n, $3 /* $4 /* $5 */ */", &[("$1", 0), ("$3", 2)]),
            ("select $0, $99999, $", &[]),
        ] {
            assert_eq!(found(text), wanted, "{text}");
        }
    }

    #[test]
    fn statements_that_differ_in_values_only_have_one_shape() {
        let one = shape(b"SELECT  doc FROM t2 WHERE id = 'a''b' AND n=12.5 /* id=1,c=v */;");
        assert_eq!(String::from_utf8(one.clone()).unwrap(), "SELECT doc FROM t2 WHERE id = ? AND n=?");
        assert_eq!(shape(b"SELECT doc FROM t2 WHERE id = 'c' AND n=7 /* id=2,c=v */"), one);
        assert_ne!(shape(b"SELECT doc FROM t3 WHERE id = 'c' AND n=7"), one);
    }

    #[test]
    fn what_has_no_end_and_what_is_more_than_one_statement() {
        for text in ["select 'a", "select \"a", "select /* a /* b */", "select $a$ x $b$", "select E'a\\'"] {
            assert!(lex(text.as_bytes()).open, "{text}");
        }
        assert!(lex(b"select 1; select 2").several);
        assert!(!lex(b"select ';' ; ; /* end */ -- all\n").several);
        assert_eq!(lex(b"select x'', 'b'").quoted, Some(9..9));
    }
}
