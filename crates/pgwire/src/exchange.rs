//! A request on a connection to a db host: what is written, and what the connection has prepared.

use std::time::Duration;

use hashbrown::HashMap;

use crate::backend::{put_query, Gather, Part, Reply, Script, Verdict};
use crate::bind::{put_parse, Bound};
use crate::frame;
use crate::request::Body;
use crate::table::Statement;

/// What db hosts speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// Simple queries only.
    #[default]
    Simple,
    /// Extended queries too.
    Extended,
}

/// A Sync message: what follows an Execute when it may have begun to run.
const SYNC: [u8; 5] = [b'S', 0, 0, 0, 4];

/// What has been written for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Bytes at its end without which it may run all the same.
    pub tail: usize,
    /// The prepared statement that it uses, by number.
    statement: Option<u64>,
    /// It was prepared along with it.
    parsing: bool,
}

/// The statements that a connection has prepared, a bounded number of them.
#[derive(Debug, Default)]
pub struct Prepared {
    /// When each was used last, counted in uses. Rarely searched, and small: when one has to go.
    used: HashMap<u64, u64>,
    uses: u64,
}

impl Prepared {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// There is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Counts a use; true if it was not there. With it comes the one that has to go, if there are `most` already.
    fn take(&mut self, number: u64, most: usize) -> (bool, Option<u64>) {
        self.uses += 1;
        if let Some(used) = self.used.get_mut(&number) {
            *used = self.uses;
            return (false, None);
        }
        let full = self.used.len() >= most.max(1);
        let oldest =
            if full { self.used.iter().min_by_key(|(_, used)| **used).map(|(n, _)| *n) } else { None };
        oldest.map(|oldest| self.used.remove(&oldest));
        self.used.insert(number, self.uses);
        (true, oldest)
    }

    /// Writes a request: `wait` is how long its answer will be waited for, `most` how many statements the
    /// connection may have prepared. Says how its answer will look to `gather`.
    pub fn put(
        &mut self,
        out: &mut Vec<u8>,
        gather: &mut Gather,
        body: &Body,
        wait: Duration,
        dialect: Dialect,
        most: usize,
    ) -> Sent {
        match (body, dialect) {
            (Body::Simple(simple), _) => {
                put_query(out, |out| simple.put(out, wait));
                Sent::default()
            }
            (Body::Execute(bound), Dialect::Simple) => {
                gather.expect_loose();
                // It was seen to have such a form when it was bound.
                put_query(out, |out| drop(bound.put_simple(out, wait)));
                Sent::default()
            }
            (Body::Execute(bound), Dialect::Extended) => self.put_execute(out, gather, bound, wait, most),
            (Body::Describe(statement), _) => self.put_describe(out, gather, statement, most),
        }
    }

    /// Writes Close and Parse as they are needed; gives the name that the statement has here.
    fn prepare(
        &mut self,
        out: &mut Vec<u8>,
        statement: &Statement,
        wait: Option<Duration>,
        most: usize,
    ) -> (String, Sent, Script) {
        let (mut sent, mut script) = (Sent { tail: SYNC.len(), ..Sent::default() }, Script::default());
        let Some(number) = statement.number() else {
            put_parse(out, "", statement, wait);
            return (String::new(), sent, script.with(Part::Parsed));
        };
        let name = name(number);
        let (new, oldest) = self.take(number, most);
        if let Some(oldest) = oldest {
            frame::put(out, b'C', |b| {
                b.push(b'S');
                frame::put_text(b, &self::name(oldest));
            });
            script = script.with(Part::Closed);
        }
        if new {
            put_parse(out, &name, statement, None);
            script = script.with(Part::Parsed);
        }
        (sent.statement, sent.parsing) = (Some(number), new);
        (name, sent, script)
    }

    fn put_execute(
        &mut self,
        out: &mut Vec<u8>,
        gather: &mut Gather,
        bound: &Bound,
        wait: Duration,
        most: usize,
    ) -> Sent {
        let (name, sent, script) = self.prepare(out, &bound.statement, Some(wait), most);
        bound.put(out, &name, wait);
        // The unnamed portal, to its end.
        frame::put(out, b'E', |b| b.extend([0; 5]));
        out.extend(SYNC);
        gather.expect(script.with(Part::Bound).with(Part::Rows));
        sent
    }

    fn put_describe(
        &mut self,
        out: &mut Vec<u8>,
        gather: &mut Gather,
        statement: &Statement,
        most: usize,
    ) -> Sent {
        let (name, sent, script) = self.prepare(out, statement, None, most);
        frame::put(out, b'D', |b| {
            b.push(b'S');
            frame::put_text(b, &name);
        });
        out.extend(SYNC);
        gather.expect(script.with(Part::Parameters).with(Part::Columns));
        sent
    }

    /// Takes what an answer tells of the statement that it used; true if the request never ran for want of it
    /// and may be written once more.
    pub fn settle(&mut self, sent: &Sent, reply: &Reply) -> bool {
        let Some(number) = sent.statement else { return false };
        let lost = reply.verdict == Verdict::Lost;
        if lost || sent.parsing && !reply.parsed {
            self.used.remove(&number);
        }
        lost && !sent.parsing
    }
}

fn name(number: u64) -> String {
    format!("y{number}")
}
