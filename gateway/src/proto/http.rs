//! As much of HTTP/1.1 as a watch needs: a request, a status line with headers, and chunks.

use thiserror::Error;

/// The longest head, and the longest line of a chunked body: a whole list.
const LONGEST_HEAD: usize = 16 * 1024;
const MOST_FIELDS: usize = 64;
const LONGEST_LINE: usize = 4 * 1024 * 1024;

/// Bytes that are no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// The status line or a header.
    #[error("malformed head")]
    Head,
    /// The answer has no chunked body.
    #[error("the body is not chunked")]
    NotChunked,
    /// A chunk's size, or what follows its data.
    #[error("malformed chunk")]
    Chunk,
    /// A head or a line over the longest taken.
    #[error("too long")]
    TooLong,
    /// Any status but 200.
    #[error("status {0}")]
    Status(u16),
}

/// A request for `path`.
pub fn get(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

#[derive(Debug, Default)]
enum Expect {
    #[default]
    Head,
    Size,
    Data(usize),
    /// The line end behind a chunk's data.
    DataEnd,
    /// Behind the last chunk.
    End,
}

/// Reads a chunked answer of lines, from bytes as they come.
#[derive(Debug, Default)]
pub struct Lines {
    expect: Expect,
    /// Bytes not taken yet, and body bytes of a line whose end has not come.
    raw: Vec<u8>,
    line: Vec<u8>,
}

impl Lines {
    /// Takes bytes and appends the whole lines among them, without their ends; empty ones too.
    pub fn feed(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), Malformed> {
        self.raw.extend(bytes);
        let mut used = 0;
        while let Some(taken) = self.step(used, lines)? {
            used += taken;
        }
        self.raw.drain(..used);
        Ok(())
    }

    /// The body has ended.
    pub fn ended(&self) -> bool {
        matches!(self.expect, Expect::End)
    }

    /// Nothing of a further line has come.
    pub fn between_lines(&self) -> bool {
        self.raw.is_empty() && self.line.is_empty() && matches!(self.expect, Expect::Size)
    }

    /// Takes one element from the bytes at `from`; none if it is not all there.
    fn step(&mut self, from: usize, lines: &mut Vec<Vec<u8>>) -> Result<Option<usize>, Malformed> {
        let rest = &self.raw[from..];
        match self.expect {
            Expect::Head => {
                let head = head(rest)?;
                if head.is_some() {
                    self.expect = Expect::Size;
                } else if rest.len() > LONGEST_HEAD {
                    return Err(Malformed::TooLong);
                }
                Ok(head)
            }
            Expect::Size => {
                let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                    return if rest.len() > LONGEST_HEAD { Err(Malformed::TooLong) } else { Ok(None) };
                };
                let digits = rest[..end].split(|b| *b == b';').next().unwrap_or_default();
                let digits = std::str::from_utf8(digits.trim_ascii()).map_err(|_| Malformed::Chunk)?;
                // A sign would pass for a number here, and no size for 0 with httparse.
                let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
                let size = usize::from_str_radix(digits, 16).ok().filter(|_| plain);
                self.expect = match size.ok_or(Malformed::Chunk)? {
                    0 => Expect::End,
                    size => Expect::Data(size),
                };
                Ok(Some(end + 2))
            }
            Expect::Data(size) => {
                let taken = size.min(rest.len());
                if taken == 0 {
                    return Ok(None);
                }
                for part in rest[..taken].split_inclusive(|b| *b == b'\n') {
                    self.line.extend(part);
                    if self.line.len() > LONGEST_LINE {
                        return Err(Malformed::TooLong);
                    }
                    if self.line.last() == Some(&b'\n') {
                        let mut line = std::mem::take(&mut self.line);
                        line.truncate(line.trim_ascii_end().len());
                        lines.push(line);
                    }
                }
                self.expect = if taken == size { Expect::DataEnd } else { Expect::Data(size - taken) };
                Ok(Some(taken))
            }
            Expect::DataEnd => match rest.first_chunk::<2>() {
                None => Ok(None),
                Some(b"\r\n") => {
                    self.expect = Expect::Size;
                    Ok(Some(2))
                }
                Some(_) => Err(Malformed::Chunk),
            },
            Expect::End => Ok(None),
        }
    }
}

/// The length of a head that tells of chunks; none if it is not all there.
fn head(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut answer = httparse::Response::new(&mut fields);
    let len = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Malformed::TooLong),
        Err(_) => return Err(Malformed::Head),
    };
    match answer.code {
        Some(200) => {}
        code => return Err(code.map_or(Malformed::Head, Malformed::Status)),
    }
    let chunked = |field: &httparse::Header| {
        field.name.eq_ignore_ascii_case("transfer-encoding")
            && field.value.trim_ascii().eq_ignore_ascii_case(b"chunked")
    };
    if answer.headers.iter().any(chunked) {
        Ok(Some(len))
    } else {
        Err(Malformed::NotChunked)
    }
}
