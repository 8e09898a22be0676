//! What a client has prepared and bound, and the order of its answers.
//!
//! Messages go in one after the other; none is taken while a request is out, so answers keep the order of the
//! messages whatever db hosts do. One Execute is one request.

mod answer;
mod description;
mod fault;

use std::borrow::Cow;
use std::rc::Rc;
use std::time::Duration;

use hashbrown::HashMap;
use yewroute_ledger::{ByteBudget, HeldBytes};

use crate::bind::{self, Bind, Bound, NotBound};
use crate::bodies::parameters;
use crate::code;
use crate::exchange::Dialect;
use crate::frame;
use crate::frontend::{self, Message};
use crate::portal::{cost_of_portal, Portal, Run, ENTRY};
use crate::request::{Body, Wanted};
use crate::statement::{self, Malformed};
use crate::table::{Lease, NotTaken, Table};
use crate::template::Purpose;
use description::{known_description, put_description};
use fault::{cannot_describe, no_portal, shown, sqlstate_of, sqlstate_of_bind, Fault};

/// What extended queries may take of one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Named statements.
    pub statements: usize,
    /// Portals.
    pub portals: usize,
    /// Bytes: of names, of parameters, of rows that wait behind a row limit, and of statements used only once.
    pub bytes: usize,
}

/// How extended queries are carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// They are; else all of them get 0A000.
    pub extended: bool,
    /// What db hosts speak.
    pub hosts: Dialect,
    /// What a client may take.
    pub limits: Limits,
}

/// The final answer to a request, from elsewhere.
#[derive(Debug, PartialEq, Eq)]
pub enum Final {
    /// What a db host said.
    Served(Vec<u8>),
    /// Refused; a further try is harmless, after this time.
    Refused(Option<Duration>),
    /// Refused by its channel's order: whether for want of room, why, and when to come back.
    OutOfTurn(bool, String, Option<Duration>),
    /// Failed: it may have taken effect.
    Failed,
    /// Cancelled by its client, without an effect.
    Cancelled,
    /// It can never be served, and why.
    Invalid(&'static str),
}

/// What became of a message.
#[derive(Debug)]
pub enum Took {
    /// Answered, as far as there is anything to answer yet.
    Done,
    /// A request: nothing more is taken until it has its answer.
    Ask(Wanted),
    /// The client wants to read now what it has been answered.
    Flush,
    /// The client says goodbye.
    Close,
}

/// Whose answer is waited for.
#[derive(Debug, Default)]
enum Waiting {
    #[default]
    Nothing,
    Simple,
    /// Of this portal, up to so many rows; 0 is all. With the description before them, if it is asked for.
    Execute {
        portal: Box<[u8]>,
        limit: usize,
        describe: bool,
    },
    /// A statement's description, or a portal's.
    Describe {
        statement: Lease,
        portal: Option<Rc<Bound>>,
    },
}

/// The state of one client.
#[derive(Debug)]
pub struct Session {
    terms: Terms,
    statements: HashMap<Box<[u8]>, Lease>,
    unnamed: Option<Lease>,
    portals: HashMap<Box<[u8]>, Portal>,
    bytes: HeldBytes,
    skipping: bool,
    open: bool,
    /// A portal whose description waits for its Execute, as its db host cannot describe.
    deferred: Option<Box<[u8]>>,
    waiting: Waiting,
}

impl Session {
    /// A client that has nothing yet.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self::sharing(terms, &ByteBudget::new(usize::MAX))
    }

    /// The same, which keeps no more than there is for all sessions.
    #[must_use]
    pub fn sharing(terms: Terms, shared: &ByteBudget) -> Self {
        Self {
            terms,
            statements: HashMap::new(),
            unnamed: None,
            portals: HashMap::new(),
            bytes: HeldBytes::none_of(shared),
            skipping: false,
            open: false,
            deferred: None,
            waiting: Waiting::Nothing,
        }
    }

    /// A Sync is owed by the client.
    #[must_use]
    pub fn open(&self) -> bool {
        self.open
    }

    /// It holds something that would be lost with its connection.
    #[must_use]
    pub fn holds(&self) -> bool {
        !self.statements.is_empty()
    }

    /// Bytes that are charged to this client.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Takes a message and appends what it is answered at once.
    ///
    /// # Errors
    /// What breaks the protocol so that the connection must end.
    pub fn take(
        &mut self,
        message: &Message<'_>,
        table: &mut Table,
        out: &mut Vec<u8>,
    ) -> Result<Took, String> {
        match message {
            Message::Terminate => return Ok(Took::Close),
            Message::Unterminated => return Err("a query without an end".to_owned()),
            Message::Unknown(kind) => return Err(format!("unknown message type {kind:#04x}")),
            Message::Sync => {
                if self.deferred.take().is_some() && !self.skipping {
                    self.fail(out, cannot_describe());
                }
                self.sync(out);
            }
            _ if self.skipping => {}
            Message::Extended(..) if !self.terms.extended => {
                self.fail(out, (code::NOT_SUPPORTED, "extended queries are not supported".to_owned()));
            }
            Message::Query(text) => return self.query(Cow::Borrowed(text), out),
            Message::Extended(kind, body) => {
                self.open = true;
                let took = match kind {
                    // A description that waits is for the very next message to bring.
                    b'E' => self.execute(body, out),
                    _ if self.deferred.is_some() => Err(cannot_describe()),
                    b'P' => self.parse(body, table, out),
                    b'B' => self.bind(body, out),
                    b'D' => self.describe(body, out),
                    b'C' => self.close(body, out),
                    _ => Ok(Took::Flush),
                };
                match took {
                    Ok(took) => return Ok(took),
                    Err(fault) => self.fail(out, fault),
                }
            }
        }
        Ok(Took::Done)
    }

    /// Takes a simple query whose text is not to be copied.
    ///
    /// # Errors
    /// As [`Session::take`].
    pub fn take_query(&mut self, text: Vec<u8>, out: &mut Vec<u8>) -> Result<Took, String> {
        if self.skipping {
            return Ok(Took::Done);
        }
        self.query(Cow::Owned(text), out)
    }

    /// Refuses a message that was thrown away unread, and says whether it was a simple query.
    pub fn refuse_unread(&mut self, query: bool, retry_after: Option<Duration>, out: &mut Vec<u8>) {
        if self.skipping {
            return;
        }
        frontend::put_refusal(out, retry_after);
        self.skip();
        if query {
            self.sync(out);
        }
    }

    fn fail(&mut self, out: &mut Vec<u8>, (sqlstate, why): Fault) {
        frontend::put_error(out, "ERROR", sqlstate, &why, None);
        self.skip();
    }

    fn skip(&mut self) {
        self.skipping = true;
        self.open = true;
        self.deferred = None;
    }

    /// All portals end with the transaction, and with them what they hold.
    fn sync(&mut self, out: &mut Vec<u8>) {
        (self.skipping, self.open) = (false, false);
        for (name, portal) in std::mem::take(&mut self.portals) {
            self.bytes.subtract(cost_of_portal(&name, &portal));
        }
        frontend::put_ready(out);
    }

    fn query(&mut self, text: Cow<'_, [u8]>, out: &mut Vec<u8>) -> Result<Took, String> {
        if self.deferred.is_some() {
            self.fail(out, cannot_describe());
            return Ok(Took::Done);
        }
        if let Some(unnamed) = self.unnamed.take() {
            self.bytes.subtract(cost_of_statement(b"", &unnamed));
        }
        self.drop_portal(b"");
        if let Some(local) = frontend::local(&text) {
            frontend::put_local(out, local);
            self.sync(out);
            return Ok(Took::Done);
        }
        let verb = if self.terms.extended { statement::writes(statement::trim(&text)) } else { None };
        let wanted = match Wanted::simple(text) {
            Ok(wanted) => wanted,
            // A driver that begins a transaction is told so, and may go on with something else.
            Err(why) if self.terms.extended => {
                let why = NotTaken::Malformed(if verb.is_some() { why } else { Malformed::Verb });
                frontend::put_error(out, "ERROR", sqlstate_of(&why), &why.to_string(), None);
                self.sync(out);
                return Ok(Took::Done);
            }
            Err(why) => return Err(why.to_string()),
        };
        self.waiting = Waiting::Simple;
        Ok(Took::Ask(wanted))
    }

    fn parse(&mut self, body: &[u8], table: &mut Table, out: &mut Vec<u8>) -> Result<Took, Fault> {
        let (name, text, types) =
            parse(body).ok_or((code::PROTOCOL_VIOLATION, "malformed Parse".to_owned()))?;
        if name.is_empty() {
            if let Some(unnamed) = self.unnamed.take() {
                self.bytes.subtract(cost_of_statement(b"", &unnamed));
            }
        } else if self.statements.contains_key(name) {
            let name = shown(name);
            return Err((code::DUPLICATE_STATEMENT, format!("prepared statement \"{name}\" already exists")));
        } else if self.statements.len() >= self.terms.limits.statements {
            let most = self.terms.limits.statements;
            return Err((code::LIMIT, format!("more than {most} prepared statements of one client")));
        }
        let lease = table.lease(text, &types).map_err(|why| (sqlstate_of(&why), why.to_string()))?;
        self.charge(cost_of_statement(name, &lease))?;
        if name.is_empty() {
            self.unnamed = Some(lease);
        } else {
            self.statements.insert(name.into(), lease);
        }
        frame::put(out, b'1', |_| {});
        Ok(Took::Done)
    }

    /// Guards against: one client that fills the memory with what it prepares or binds.
    fn charge(&mut self, bytes: usize) -> Result<(), Fault> {
        if self.bytes.get() + bytes > self.terms.limits.bytes {
            let most = self.terms.limits.bytes;
            return Err((code::LIMIT, format!("statements and portals of one client over {most} bytes")));
        }
        if !self.bytes.has_room(bytes) {
            return Err((code::OUT_OF_MEMORY, "no memory for more statements and portals".to_owned()));
        }
        self.bytes.add(bytes);
        Ok(())
    }

    fn statement(&self, name: &[u8]) -> Result<&Lease, Fault> {
        let found = if name.is_empty() { self.unnamed.as_ref() } else { self.statements.get(name) };
        found.ok_or_else(|| match name {
            b"" => (code::NO_STATEMENT, "unnamed prepared statement does not exist".to_owned()),
            name => (code::NO_STATEMENT, format!("prepared statement \"{}\" does not exist", shown(name))),
        })
    }

    fn bind(&mut self, body: &[u8], out: &mut Vec<u8>) -> Result<Took, Fault> {
        let malformed = |why: NotBound| (code::PROTOCOL_VIOLATION, why.to_string());
        let bind: Bind<'_> = bind::bind(body).map_err(malformed)?;
        let statement = self.statement(bind.statement)?.clone();
        let name: Box<[u8]> = bind.portal.into();
        if name.is_empty() {
            self.drop_portal(b"");
        } else if self.portals.contains_key(&name) {
            let name = shown(&name);
            return Err((code::DUPLICATE_PORTAL, format!("portal \"{name}\" already exists")));
        }
        if self.portals.len() >= self.terms.limits.portals {
            return Err((
                code::LIMIT,
                format!("more than {} portals of one client", self.terms.limits.portals),
            ));
        }
        let bound = Bound::new(statement, bind).map_err(|why| (sqlstate_of_bind(&why), why.to_string()))?;
        if self.terms.hosts == Dialect::Simple {
            let form = bound.put_simple(&mut Vec::new(), Duration::ZERO);
            form.map_err(|why| (sqlstate_of_bind(&why), why.to_string()))?;
        }
        let portal = Portal { bound: Rc::new(bound), run: Run::Not };
        self.charge(cost_of_portal(&name, &portal))?;
        self.portals.insert(name, portal);
        frame::put(out, b'2', |_| {});
        Ok(Took::Done)
    }

    fn drop_portal(&mut self, name: &[u8]) {
        if let Some(portal) = self.portals.remove(name) {
            self.bytes.subtract(cost_of_portal(name, &portal));
        }
    }

    fn describe(&mut self, body: &[u8], out: &mut Vec<u8>) -> Result<Took, Fault> {
        let (kind, name) = named(body, "Describe")?;
        let (statement, portal) = if kind == b'S' {
            (self.statement(name)?.clone(), None)
        } else {
            let bound = &self.portals.get(name).ok_or_else(|| no_portal(name))?.bound;
            (bound.statement.clone(), Some(Rc::clone(bound)))
        };
        if let Some(known) = known_description(&statement) {
            put_description(out, &known, portal.as_deref());
        } else if self.terms.hosts == Dialect::Extended {
            let wanted = Wanted::description(statement.clone());
            self.waiting = Waiting::Describe { statement, portal };
            return Ok(Took::Ask(wanted));
        } else if portal.is_some() {
            self.deferred = Some(name.into());
        } else {
            return Err(cannot_describe());
        }
        Ok(Took::Done)
    }

    fn close(&mut self, body: &[u8], out: &mut Vec<u8>) -> Result<Took, Fault> {
        let (kind, name) = named(body, "Close")?;
        if kind == b'P' {
            self.drop_portal(name);
        } else {
            let closed = if name.is_empty() { self.unnamed.take() } else { self.statements.remove(name) };
            if let Some(closed) = closed {
                self.bytes.subtract(cost_of_statement(name, &closed));
                // Its portals go with it.
                let own = |portal: &Portal| portal.bound.statement.same(&closed);
                let gone =
                    self.portals.iter().filter(|(_, portal)| own(portal)).map(|(name, _)| name.clone());
                for name in gone.collect::<Vec<_>>() {
                    self.drop_portal(&name);
                }
            }
        }
        frame::put(out, b'3', |_| {});
        Ok(Took::Done)
    }

    fn execute(&mut self, body: &[u8], out: &mut Vec<u8>) -> Result<Took, Fault> {
        let malformed = || (code::PROTOCOL_VIOLATION, "malformed Execute".to_owned());
        let mut rest = body;
        let name = frame::take_text(&mut rest).ok_or_else(malformed)?;
        let limit = i32::from_be_bytes(rest.try_into().map_err(|_| malformed())?);
        // None or less than none is no limit.
        let limit = usize::try_from(limit).unwrap_or(0);
        let describe = match self.deferred.take() {
            Some(deferred) if *deferred != *name => return Err(cannot_describe()),
            deferred => deferred.is_some(),
        };
        let portal = self.portals.get_mut(name).ok_or_else(|| no_portal(name))?;
        let template = match &portal.bound.statement.purpose {
            Purpose::Local(local) => {
                frontend::put_local(out, *local);
                return Ok(Took::Done);
            }
            Purpose::Request(template) => template,
        };
        match &mut portal.run {
            Run::Part { .. } => {
                let before = cost_of_portal(name, portal);
                portal.serve(limit, out);
                self.bytes.replace(before, cost_of_portal(name, portal));
                return Ok(Took::Done);
            }
            Run::Done if template.writes => {
                let name = shown(name);
                return Err((code::PORTAL_DONE, format!("portal \"{name}\" cannot be run anymore")));
            }
            Run::Done => {
                frame::put(out, b'C', |b| frame::put_text(b, "SELECT 0"));
                return Ok(Took::Done);
            }
            Run::Not => {}
        }
        let Some(filled) = &portal.bound.filled else { return Err(malformed()) };
        let wanted = Wanted {
            id: filled.id.clone(),
            scope: Some((filled.class.clone(), filled.group)),
            writes: template.writes,
            wait: filled.wait,
            key: filled.key.clone(),
            after: filled.after,
            resent: filled.resent,
            channel: filled.channel.clone(),
            number: filled.number,
            body: Body::Execute(Rc::clone(&portal.bound)),
        };
        // Whatever comes of it, it has had its one answer then.
        portal.run = Run::Done;
        self.waiting = Waiting::Execute { portal: name.into(), limit, describe };
        Ok(Took::Ask(wanted))
    }
}

fn cost_of_statement(name: &[u8], lease: &Lease) -> usize {
    let own = if lease.number().is_some() { 0 } else { lease.text.len() + lease.types.len() * 4 };
    name.len() + own + ENTRY
}

/// The name, text and declared types of a Parse message; none if it does not hold what it says.
#[must_use]
pub fn parse(body: &[u8]) -> Option<(&[u8], &[u8], Vec<u32>)> {
    let mut rest = body;
    let name = frame::take_text(&mut rest)?;
    let text = frame::take_text(&mut rest)?;
    Some((name, text, parameters(rest)?))
}

/// What Describe and Close name: `S` or `P`, and the name.
fn named<'a>(body: &'a [u8], message: &str) -> Result<(u8, &'a [u8]), Fault> {
    let parts = || {
        let (kind, mut rest) = body.split_first()?;
        let name = frame::take_text(&mut rest)?;
        (matches!(kind, b'S' | b'P') && rest.is_empty()).then_some((*kind, name))
    };
    parts().ok_or_else(|| (code::PROTOCOL_VIOLATION, format!("malformed {message}")))
}
