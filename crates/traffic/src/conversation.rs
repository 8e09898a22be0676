//! One connection: messages of both sides, and which answer belongs to which request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;
use yewroute_pgwire::bind::{self, Bound};
use yewroute_pgwire::bodies::{error_code, parameters};
use yewroute_pgwire::frame::{self, LONGEST_ANSWER, LONGEST_QUERY};
use yewroute_pgwire::frontend::{self, Opening};
use yewroute_pgwire::request::Wanted;
use yewroute_pgwire::table::{Lease, Table};
use yewroute_pgwire::{code, session};

/// Requests of one connection that may wait for their answers; one direction only may be in the file.
const MOST_OPEN: usize = 1024;
/// Statements and portals of one connection that are remembered.
const MOST_NAMED: usize = 4096;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// Refused: a further try is harmless.
    Refused,
    /// Any other error.
    Failed,
    /// Passed over up to Sync, after an error before it in its pipeline.
    Skipped,
    /// No answer is in the file.
    Unanswered,
}

impl Outcome {
    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Skipped => "skipped",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A request that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// When its last byte was captured, since the Unix epoch.
    pub at: Duration,
    /// Its connection's number.
    pub connection: u64,
    /// Who asked.
    pub client: SocketAddr,
    /// Who was asked; it names the side of a gateway that this is.
    pub server: SocketAddr,
    /// `id`, `c` and `cluster` of its comment.
    pub id: Vec<u8>,
    /// The class.
    pub class: String,
    /// The group.
    pub group: u64,
    /// `d`.
    pub wait: Duration,
    /// The statement as it was sent.
    pub text: Vec<u8>,
    /// The parameters of an extended query; none for a simple one.
    pub parameters: Option<Vec<Option<Vec<u8>>>>,
    /// The Bind message's body of an extended query.
    pub bind: Option<Vec<u8>>,
    /// The types that its Parse declared.
    pub types: Vec<u32>,
    /// What came of it.
    pub outcome: Outcome,
    /// The SQLSTATE of a refusal or failure.
    pub sqlstate: Option<String>,
    /// When its answer was whole.
    pub answered: Option<Duration>,
    /// CRC-32 of the rows that were answered.
    pub value: Option<u32>,
}

/// What a connection held beside requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes that no proven boundary leads to.
    pub unreadable: u64,
    /// Connections that became encrypted.
    pub encrypted: u64,
    /// Executes of statements or portals whose Parse or Bind is not in the file.
    pub unknown_statements: u64,
    /// Queries that are no requests.
    pub other_queries: u64,
    /// Times that reading went on at a proven boundary behind a gap or a missing start.
    pub resumed: u64,
    /// Messages that no protocol has there.
    pub malformed: u64,
}

impl Counts {
    /// Adds another's.
    pub fn add(&mut self, other: &Self) {
        self.unreadable += other.unreadable;
        self.encrypted += other.encrypted;
        self.unknown_statements += other.unknown_statements;
        self.other_queries += other.other_queries;
        self.resumed += other.resumed;
        self.malformed += other.malformed;
    }
}

/// What the server is to answer next.
#[derive(Debug)]
enum Expected {
    /// Up to ReadyForQuery.
    Startup,
    /// A simple query up to ReadyForQuery; none if it is no request.
    Simple(Option<Box<Open>>),
    /// One of these ends the step of an extended query.
    Step(&'static [u8]),
    /// Rows and an end; none if it is no request.
    Execute(Option<Box<Open>>),
    Sync,
}

#[derive(Debug)]
struct Open {
    request: Request,
    crc: crc32fast::Hasher,
    rows: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// Before the startup message, from a connection's first byte on.
    Opening,
    /// Whole messages follow each other.
    Messages,
    /// Where a message begins is not known.
    Lost,
    Encrypted,
}

#[derive(Debug, Default)]
struct Side {
    buffer: Vec<u8>,
    /// The last bytes that were seen, to tell whether they are a ReadyForQuery.
    tail: Vec<u8>,
    seen: bool,
}

impl Side {
    fn note(&mut self, bytes: &[u8]) {
        self.seen = true;
        self.tail.extend(&bytes[bytes.len().saturating_sub(6)..]);
        let old = self.tail.len().saturating_sub(6);
        self.tail.drain(..old);
    }

    /// Nothing of it is in the file, or its last message was ReadyForQuery.
    fn rests(&self) -> bool {
        !self.seen || matches!(self.tail.as_slice(), [b'Z', 0, 0, 0, 5, b'I' | b'T' | b'E'])
    }
}

/// Bytes of the statements of one connection.
const MOST_STATEMENTS: usize = 1024 * 1024;

/// A statement and the Bind message of a portal of it.
type Portal = (Lease, Vec<u8>);

/// What a request's comment tells.
struct Told {
    id: Vec<u8>,
    class: String,
    group: u64,
    wait: Duration,
}

/// A connection under way.
#[derive(Debug)]
pub(crate) struct Conversation {
    number: u64,
    /// Who opened it, and the other.
    ends: (SocketAddr, SocketAddr),
    /// Which of them is the client: 0 or 1; none until the bytes tell.
    client: Option<usize>,
    reading: Reading,
    /// An answer to a request for encryption is awaited.
    asked_encryption: bool,
    sides: [Side; 2],
    table: Table,
    statements: HashMap<Vec<u8>, Lease>,
    /// None for a portal that has run.
    portals: HashMap<Vec<u8>, Option<Portal>>,
    expected: VecDeque<Expected>,
    skipping: bool,
    pub(crate) counts: Counts,
}

impl Conversation {
    pub(crate) fn new(number: u64, ends: (SocketAddr, SocketAddr), whole: bool) -> Self {
        Self {
            number,
            ends,
            client: whole.then_some(0),
            reading: if whole { Reading::Opening } else { Reading::Lost },
            asked_encryption: false,
            sides: Default::default(),
            table: Table::new(MOST_STATEMENTS),
            statements: HashMap::new(),
            portals: HashMap::new(),
            expected: VecDeque::new(),
            skipping: false,
            counts: Counts::default(),
        }
    }

    /// Bytes of one direction, 0 from the end that opened the connection, and 1 from the other.
    pub(crate) fn bytes(&mut self, at: Duration, from: usize, bytes: &[u8], out: &mut impl FnMut(Request)) {
        if self.reading == Reading::Lost {
            self.resume(from, bytes, out);
        }
        self.sides[from].note(bytes);
        match self.reading {
            Reading::Encrypted => {}
            Reading::Lost => self.counts.unreadable += bytes.len() as u64,
            Reading::Opening | Reading::Messages => {
                self.sides[from].buffer.extend(bytes);
                let read = if self.client == Some(from) {
                    self.client_messages(at, from, out)
                } else {
                    self.server_messages(at, from, out)
                };
                if read.is_none() {
                    self.counts.malformed += 1;
                    self.lose(out);
                }
            }
        }
    }

    /// Bytes that are not there: where the next message begins is not known any more.
    pub(crate) fn gap(&mut self, out: &mut impl FnMut(Request)) {
        if self.reading != Reading::Encrypted {
            self.lose(out);
        }
    }

    pub(crate) fn end(&mut self, out: &mut impl FnMut(Request)) {
        self.lose(out);
    }

    /// All that is open stays unanswered; what has been read in part is unreadable.
    fn lose(&mut self, out: &mut impl FnMut(Request)) {
        for expected in self.expected.drain(..) {
            if let Expected::Simple(Some(open)) | Expected::Execute(Some(open)) = expected {
                out(open.request);
            }
        }
        for side in &mut self.sides {
            self.counts.unreadable += side.buffer.len() as u64;
            side.buffer = Vec::new();
            side.tail.clear();
        }
        self.skipping = false;
        if self.reading != Reading::Encrypted {
            self.reading = Reading::Lost;
        }
    }

    /// Goes on where the bytes prove a boundary: the other side rests, and these begin with whole messages that are a
    /// request in full. Guards against: requests that are none, read out of the middle of something.
    fn resume(&mut self, from: usize, bytes: &[u8], out: &mut impl FnMut(Request)) {
        let may_be_client = self.client.is_none_or(|client| client == from);
        if !may_be_client || !self.sides[1 - from].rests() || !begins_with_request(bytes) {
            return;
        }
        if !self.expected.is_empty() {
            self.lose(out);
        }
        self.client = Some(from);
        self.reading = Reading::Messages;
        self.counts.resumed += 1;
    }

    fn client_messages(&mut self, at: Duration, from: usize, out: &mut impl FnMut(Request)) -> Option<()> {
        loop {
            let buffer = std::mem::take(&mut self.sides[from].buffer);
            let read = if self.reading == Reading::Opening {
                self.opening(&buffer)
            } else {
                frame::next(&buffer, LONGEST_QUERY).ok().map(|frame| {
                    frame.map(|frame| {
                        self.client_message(at, frame.kind, frame.body, out);
                        frame.len
                    })
                })
            };
            self.sides[from].buffer = buffer;
            match read? {
                Some(len) => self.sides[from].buffer.drain(..len),
                None => return Some(()),
            };
            if self.reading == Reading::Encrypted {
                return Some(());
            }
        }
    }

    fn opening(&mut self, buffer: &[u8]) -> Option<Option<usize>> {
        let Some((opening, len)) = frontend::opening(buffer).ok()? else { return Some(None) };
        match opening {
            Opening::Encryption => self.asked_encryption = true,
            Opening::Startup { .. } => {
                self.reading = Reading::Messages;
                self.expected.push_back(Expected::Startup);
            }
            // Nothing more comes on a connection that cancels.
            Opening::Cancel(_) => {}
            Opening::Version(_) => return None,
        }
        Some(Some(len))
    }

    fn client_message(&mut self, at: Duration, kind: u8, body: &[u8], out: &mut impl FnMut(Request)) {
        let mut rest = body;
        let expected = match kind {
            b'Q' => {
                let text = body.strip_suffix(&[0]).unwrap_or(body);
                let wanted = Wanted::simple(text).ok();
                self.counts.other_queries += u64::from(wanted.is_none());
                let open = wanted.and_then(|wanted| {
                    let (class, group) = wanted.scope?;
                    let told = Told { id: wanted.id, class, group, wait: wanted.wait };
                    Some(self.open(at, told, text, None))
                });
                Expected::Simple(open)
            }
            b'P' => {
                if let Some((name, text, types)) = session::parse(body) {
                    // One that is no request is told from one that is not in the file by its Execute.
                    let lease = self.table.lease(text, &types).ok();
                    match lease.filter(|_| self.statements.len() < MOST_NAMED) {
                        Some(lease) => drop(self.statements.insert(name.to_vec(), lease)),
                        None => drop(self.statements.remove(name)),
                    }
                }
                Expected::Step(b"1")
            }
            b'B' => {
                if let Ok(message) = bind::bind(body) {
                    let statement = self.statements.get(message.statement).cloned();
                    let portal = statement.map(|statement| (statement, body.to_vec()));
                    match portal.filter(|_| self.portals.len() < MOST_NAMED) {
                        Some(portal) => drop(self.portals.insert(message.portal.to_vec(), Some(portal))),
                        None => drop(self.portals.remove(message.portal)),
                    }
                }
                Expected::Step(b"2")
            }
            b'D' => Expected::Step(b"Tn"),
            b'C' => {
                if let Some((b'S', name)) = body.split_first() {
                    self.statements.remove(name.strip_suffix(&[0]).unwrap_or(name));
                }
                Expected::Step(b"3")
            }
            b'E' => {
                let name = frame::take_text(&mut rest).unwrap_or_default();
                let open = self.execute(at, name);
                Expected::Execute(open)
            }
            b'S' => {
                self.portals.clear();
                Expected::Sync
            }
            // Flush, Terminate, and copied data: nothing answers them.
            _ => return,
        };
        self.expected.push_back(expected);
        if self.expected.len() > MOST_OPEN {
            if let Some(Expected::Simple(Some(open)) | Expected::Execute(Some(open))) =
                self.expected.pop_front()
            {
                out(open.request);
            }
        }
    }

    fn execute(&mut self, at: Duration, name: &[u8]) -> Option<Box<Open>> {
        let Some(portal) = self.portals.get_mut(name) else {
            self.counts.unknown_statements += 1;
            return None;
        };
        // Run already: rows behind a row limit are no new request.
        let (statement, body) = portal.take()?;
        let bind = bind::bind(&body).ok()?;
        let values = bind.values.iter().map(|value| value.map(<[u8]>::to_vec)).collect();
        // The very reading that the gateway gives it.
        let filled = Bound::new(statement.clone(), bind).ok().and_then(|bound| bound.filled);
        let Some(filled) = filled else {
            self.counts.other_queries += 1;
            return None;
        };
        let told = Told { id: filled.id, class: filled.class, group: filled.group, wait: filled.wait };
        let mut open = self.open(at, told, &statement.text, Some(values));
        open.request.types = statement.types.to_vec();
        open.request.bind = Some(body);
        Some(open)
    }

    fn open(
        &self,
        at: Duration,
        told: Told,
        text: &[u8],
        parameters: Option<Vec<Option<Vec<u8>>>>,
    ) -> Box<Open> {
        let (client, server) = match self.client {
            Some(1) => (self.ends.1, self.ends.0),
            _ => self.ends,
        };
        let request = Request {
            at,
            connection: self.number,
            client,
            server,
            id: told.id,
            class: told.class,
            group: told.group,
            wait: told.wait,
            text: text.to_vec(),
            parameters,
            bind: None,
            types: Vec::new(),
            outcome: Outcome::Unanswered,
            sqlstate: None,
            answered: None,
            value: None,
        };
        Box::new(Open { request, crc: crc32fast::Hasher::new(), rows: false })
    }

    fn server_messages(&mut self, at: Duration, from: usize, out: &mut impl FnMut(Request)) -> Option<()> {
        if std::mem::take(&mut self.asked_encryption) {
            // One byte, without a frame: S for yes.
            let answer = self.sides[from].buffer.remove(0);
            if answer != b'N' {
                self.reading = Reading::Encrypted;
                self.counts.encrypted += 1;
                self.sides.iter_mut().for_each(|side| side.buffer = Vec::new());
                return Some(());
            }
        }
        loop {
            let buffer = std::mem::take(&mut self.sides[from].buffer);
            let read = frame::next(&buffer, LONGEST_ANSWER).ok().map(|frame| {
                frame.map(|frame| self.server_message(at, frame.kind, frame.body, out).then_some(frame.len))
            });
            self.sides[from].buffer = buffer;
            match read? {
                Some(Some(len)) => self.sides[from].buffer.drain(..len),
                Some(None) => return None,
                None => return Some(()),
            };
        }
    }

    /// Takes a message of the server's; false if it has no place there.
    fn server_message(&mut self, at: Duration, kind: u8, body: &[u8], out: &mut impl FnMut(Request)) -> bool {
        if matches!(kind, b'N' | b'S' | b'A') {
            return true;
        }
        let Some(expected) = self.expected.front_mut() else {
            // A word of farewell, or of what was asked before the file begins.
            return matches!(kind, b'E' | b'Z');
        };
        match expected {
            Expected::Startup => {
                if kind == b'Z' {
                    self.expected.pop_front();
                }
                matches!(kind, b'R' | b'K' | b'v' | b'Z' | b'E' | b'p')
            }
            Expected::Simple(open) => {
                match kind {
                    b'Z' => {
                        if let Some(Expected::Simple(Some(open))) = self.expected.pop_front() {
                            out(open.request);
                        }
                    }
                    b'D' | b'C' | b'E' | b'I' => {
                        if let Some(open) = open {
                            open.take(at, kind, body);
                        }
                    }
                    b'T' | b'G' | b'H' | b'W' | b'd' | b'c' => {}
                    _ => return false,
                }
                true
            }
            _ if kind == b'E' => {
                self.fail(at, body, out);
                true
            }
            Expected::Step(ends) => {
                if ends.contains(&kind) {
                    self.expected.pop_front();
                    return true;
                }
                // ParameterDescription comes before what ends a Describe.
                kind == b't' && ends.contains(&b'T')
            }
            Expected::Execute(open) => {
                if let Some(open) = open {
                    open.take(at, kind, body);
                }
                if matches!(kind, b'C' | b's' | b'I') {
                    if let Some(Expected::Execute(Some(open))) = self.expected.pop_front() {
                        out(open.request);
                    }
                    return true;
                }
                kind == b'D'
            }
            Expected::Sync => {
                if kind == b'Z' {
                    self.expected.pop_front();
                }
                kind == b'Z'
            }
        }
    }

    /// An error in a pipeline: what it was the answer to has failed, and all up to Sync is passed over.
    fn fail(&mut self, at: Duration, body: &[u8], out: &mut impl FnMut(Request)) {
        let mut first = true;
        while !matches!(self.expected.front(), None | Some(Expected::Sync)) {
            if let Some(Expected::Execute(Some(mut open))) = self.expected.pop_front() {
                if first {
                    open.take(at, b'E', body);
                } else {
                    open.request.outcome = Outcome::Skipped;
                }
                out(open.request);
            }
            first = false;
        }
    }
}

impl Open {
    fn take(&mut self, at: Duration, kind: u8, body: &[u8]) {
        match kind {
            b'D' => {
                self.rows = true;
                self.crc.update(body);
            }
            b'E' => {
                let sqlstate = error_code(body).unwrap_or_default();
                let refused =
                    [code::TOO_MANY, code::CANNOT_CONNECT_NOW].iter().any(|c| c.as_bytes() == sqlstate);
                self.request.outcome = if refused { Outcome::Refused } else { Outcome::Failed };
                self.request.sqlstate = Some(String::from_utf8_lossy(sqlstate).into_owned());
                self.request.answered = Some(at);
            }
            b'C' | b's' | b'I' => {
                self.request.outcome = Outcome::Served;
                self.request.answered = Some(at);
                self.request.value = self.rows.then(|| self.crc.clone().finalize());
            }
            _ => {}
        }
    }
}

/// Whether bytes begin with whole messages that are a request in full: a simple query with its comment, or a Parse, a
/// Bind of it and an Execute.
fn begins_with_request(bytes: &[u8]) -> bool {
    let message = |bytes: &mut &[u8]| {
        let frame = frame::next(bytes, LONGEST_QUERY).ok()??;
        let body = frame.body.to_vec();
        *bytes = &bytes[frame.len..];
        Some((frame.kind, body))
    };
    let mut rest = bytes;
    match message(&mut rest) {
        Some((b'Q', body)) => body.strip_suffix(&[0]).is_some_and(|text| Wanted::simple(text).is_ok()),
        Some((b'P', body)) => {
            let mut body = body.as_slice();
            let text = frame::take_text(&mut body).and_then(|_| frame::take_text(&mut body));
            let request = text.is_some_and(|text| {
                yewroute_pgwire::template::read(text).is_ok() && parameters(body).is_some()
            });
            let mut kinds = Vec::new();
            while let Some((kind, _)) = message(&mut rest) {
                kinds.push(kind);
            }
            request && matches!(kinds.as_slice(), [b'B' | b'D' | b'S', ..])
        }
        _ => false,
    }
}
