//! A db host: answers each query as its script says, and holds clients to the extended query protocol.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use yewroute_pgwire::frame::take_text;
use yewroute_pgwire::lexer::lex;
use yewroute_pgwire::{bind, bodies};
use yewroute_receive_time::{self as receive_time, DatedReader};

use crate::answers::{columns, error, frame, is_separator, read_frame, report, separated, served};

/// What a db host does with a query.
pub enum Do {
    /// Says this.
    Say(Vec<u8>),
    /// Says this after a while.
    SayLater(Duration, Vec<u8>),
    /// Says this after a while, and reports when it had been written.
    SayLaterAndReport(Duration, Vec<u8>, Box<dyn FnOnce(Instant)>),
    /// Says this in pieces of so many bytes, with a pause after each.
    SayInPieces(Vec<u8>, usize, Duration),
    /// Says this, and after a while something more that was not asked for, if nothing else waits on the connection by then.
    SayWithSurplus {
        /// What was asked for.
        answer: Vec<u8>,
        /// What was not.
        surplus: Vec<u8>,
        /// From the answer to the surplus; with none, both are one write.
        delay: Duration,
        /// Counts what was written.
        written: Arc<AtomicU32>,
    },
    /// Says this and breaks the connection.
    SayAndBreak(Vec<u8>),
    /// Breaks the connection.
    Break,
    /// Breaks the connection after a while.
    BreakLater(Duration),
    /// Never answers.
    Nothing,
}

/// A statement that was executed by an extended query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// The name it was prepared under.
    pub name: String,
    /// Its text, as it was parsed.
    pub text: String,
    /// Its parameters.
    pub parameters: Vec<Option<Vec<u8>>>,
}

/// What came of the messages so far, seen from outside.
#[derive(Default)]
struct Seen {
    executed: Mutex<Vec<Executed>>,
    messages: Mutex<String>,
    /// Connections forget what they have prepared when this has moved on.
    forgotten: AtomicU32,
    /// It says at once that it has parsed and bound, and does not wait for Sync as PostgreSQL does.
    eager: AtomicBool,
}

/// A db host.
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it was asked but for probes, parameters put in place of their references.
    pub asked: Arc<Mutex<Vec<String>>>,
    /// Connections taken, and of those the ones still open.
    pub connections: Arc<AtomicU32>,
    /// Of the connections taken, the ones still open.
    pub open: Arc<AtomicU32>,
    seen: Arc<Seen>,
}

/// What is done with a query that the kernel received at a time.
type Act = dyn Fn(&str, Instant) -> Do + Send + Sync;

impl Host {
    /// A db host with this script, which is handed each query.
    pub fn start(act: impl Fn(&str) -> Do + Send + Sync + 'static) -> Self {
        Self::slow(Duration::ZERO, act)
    }

    /// The same with a script that is told as well when the kernel received the query.
    pub fn dated(act: impl Fn(&str, Instant) -> Do + Send + Sync + 'static) -> Self {
        Self::listen(Duration::ZERO, Arc::new(act))
    }

    /// A db host that says at once what others keep until a Sync or Flush.
    pub fn eager(act: impl Fn(&str) -> Do + Send + Sync + 'static) -> Self {
        let host = Self::start(act);
        host.seen.eager.store(true, Ordering::SeqCst);
        host
    }

    /// A db host that lets new connections wait for their welcome.
    ///
    /// # Panics
    /// If the system has no port.
    pub fn slow(welcome: Duration, act: impl Fn(&str) -> Do + Send + Sync + 'static) -> Self {
        Self::listen(welcome, Arc::new(move |query: &str, _| act(query)))
    }

    fn listen(welcome: Duration, act: Arc<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let host = Self {
            addr,
            asked: Arc::default(),
            connections: Arc::default(),
            open: Arc::default(),
            seen: Arc::default(),
        };
        let (connections, open) = (Arc::clone(&host.connections), Arc::clone(&host.open));
        let (asked, seen) = (Arc::clone(&host.asked), Arc::clone(&host.seen));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                open.fetch_add(1, Ordering::SeqCst);
                let (act, asked, open, seen) =
                    (Arc::clone(&act), Arc::clone(&asked), Arc::clone(&open), Arc::clone(&seen));
                thread::spawn(move || {
                    receive_time::enable(&stream);
                    let forgotten = seen.forgotten.load(Ordering::SeqCst);
                    let mut connection = Connection {
                        stream,
                        received: Instant::now(),
                        out: Vec::new(),
                        act: &*act,
                        asked: &asked,
                        seen: &seen,
                        statements: HashMap::new(),
                        portals: HashMap::new(),
                        skipping: false,
                        mute: false,
                        forgotten,
                    };
                    connection.serve(welcome);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        host
    }

    /// A db host that is up to date and serves everything.
    #[must_use]
    pub fn well(primary: bool) -> Self {
        Self::start(move |query| well(primary, query))
    }

    /// The requests that have come, in order.
    ///
    /// # Panics
    /// If a thread of it has panicked.
    #[must_use]
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("no panic").clone()
    }

    /// What was executed by extended queries, in order.
    ///
    /// # Panics
    /// If a thread of it has panicked.
    #[must_use]
    pub fn executed(&self) -> Vec<Executed> {
        self.seen.executed.lock().expect("no panic").clone()
    }

    /// The types of the messages that have come after the startup, but for probes and separators.
    ///
    /// # Panics
    /// If a thread of it has panicked.
    #[must_use]
    pub fn messages(&self) -> String {
        self.seen.messages.lock().expect("no panic").clone()
    }

    /// All connections lose what they have prepared, without a word.
    pub fn forget(&self) {
        self.seen.forgotten.fetch_add(1, Ordering::SeqCst);
    }
}

/// What a db host does that is up to date and serves everything.
#[must_use]
pub fn well(primary: bool, query: &str) -> Do {
    let role = if primary { "primary" } else { "replica" };
    Do::Say(if query == "SHOW load" { report(primary, 0) } else { served(role) })
}

struct Prepared {
    text: String,
    types: Vec<u32>,
}

struct Portal {
    statement: String,
    parameters: Vec<Option<Vec<u8>>>,
}

struct Connection<'a> {
    stream: TcpStream,
    /// When the kernel received what was read last.
    received: Instant,
    /// What is said at the next Sync, Flush or end of a simple query.
    out: Vec<u8>,
    act: &'a Act,
    asked: &'a Mutex<Vec<String>>,
    seen: &'a Seen,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    skipping: bool,
    /// It never answers anything again.
    mute: bool,
    forgotten: u32,
}

impl Connection<'_> {
    fn serve(&mut self, welcome: Duration) -> Option<()> {
        self.stream.set_nodelay(true).ok()?;
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut startup = vec![0; (u32::from_be_bytes(head) as usize).checked_sub(4)?];
        self.stream.read_exact(&mut startup).ok()?;
        thread::sleep(welcome);
        self.say(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat())?;
        self.flush()?;
        loop {
            let (kind, body) = read_frame(&mut DatedReader::new(&self.stream, &mut self.received))?;
            let forgotten = self.seen.forgotten.load(Ordering::SeqCst);
            if std::mem::replace(&mut self.forgotten, forgotten) != forgotten {
                self.statements.clear();
            }
            if !is_separator(kind, &body) && body != b"SHOW load\0" {
                self.seen.messages.lock().ok()?.push(char::from(kind));
            }
            match kind {
                _ if self.mute => {}
                b'S' => {
                    self.skipping = false;
                    self.portals.clear();
                    self.say(&frame(b'Z', b"I"))?;
                    self.flush()?;
                }
                b'H' => self.flush()?,
                _ if self.skipping => {}
                b'Q' if is_separator(kind, &body) => {
                    self.say(&separated(1))?;
                    self.flush()?;
                }
                b'Q' => {
                    let query = String::from_utf8(body).ok()?.trim_end_matches('\0').to_owned();
                    self.run(&query, false)?;
                    self.flush()?;
                }
                b'E' => self.execute(&body)?,
                _ => match self.prepare(kind, &body) {
                    Ok(answer) => self.say(&answer)?,
                    Err((sqlstate, text)) => self.refuse(sqlstate, &text)?,
                },
            }
        }
    }

    fn say(&mut self, bytes: &[u8]) -> Option<()> {
        self.out.extend(bytes);
        if self.seen.eager.load(Ordering::SeqCst) {
            self.flush()?;
        }
        Some(())
    }

    fn flush(&mut self) -> Option<()> {
        self.stream.write_all(&std::mem::take(&mut self.out)).ok()
    }

    /// Says what was not asked for, so long behind the answer, if nothing else waits by then.
    fn say_surplus(&mut self, surplus: &[u8], delay: Duration, written: &AtomicU32) -> Option<()> {
        if delay.is_zero() {
            written.fetch_add(1, Ordering::SeqCst);
            return self.say(surplus);
        }
        self.flush()?;
        thread::sleep(delay);
        self.stream.set_nonblocking(true).ok()?;
        let waits = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).ok()?;
        if !waits {
            written.fetch_add(1, Ordering::SeqCst);
            self.say(surplus)?;
        }
        Some(())
    }

    /// An error within an extended query: all is passed over up to Sync.
    fn refuse(&mut self, sqlstate: &str, text: &str) -> Option<()> {
        self.skipping = true;
        let mut answer = error(sqlstate, text);
        answer.truncate(answer.len() - 6);
        self.say(&answer)
    }

    fn prepare(&mut self, kind: u8, body: &[u8]) -> Result<Vec<u8>, (&'static str, String)> {
        let malformed = || ("08P01", format!("malformed message {:?}", char::from(kind)));
        let mut rest = body;
        let text = |rest: &mut &[u8]| {
            take_text(rest).and_then(|t| String::from_utf8(t.to_vec()).ok()).ok_or_else(malformed)
        };
        match kind {
            b'P' => {
                let (name, query) = (text(&mut rest)?, text(&mut rest)?);
                let types = bodies::parameters(rest).ok_or_else(malformed)?;
                if !name.is_empty() && self.statements.contains_key(&name) {
                    return Err(("42P05", format!("prepared statement {name} already exists")));
                }
                let used = lex(query.as_bytes()).placeholders;
                let count =
                    used.iter().map(|p| usize::from(p.parameter) + 1).max().unwrap_or(0).max(types.len());
                let kind_of = |n: usize| match types.get(n).copied().unwrap_or(0) {
                    0 if used.iter().any(|p| usize::from(p.parameter) == n) => Ok(25),
                    // What no part of the statement refers to has no type that could be found out.
                    0 => Err(("42P18", format!("could not determine data type of parameter ${}", n + 1))),
                    declared => Ok(declared),
                };
                let types = (0..count).map(kind_of).collect::<Result<_, _>>()?;
                self.statements.insert(name, Prepared { text: query, types });
                Ok(frame(b'1', b""))
            }
            b'B' => {
                let bind = bind::bind(body).map_err(|why| ("08P01", why.to_string()))?;
                let name = String::from_utf8_lossy(bind.statement).into_owned();
                let statement = self.statements.get(&name).ok_or_else(|| missing(&name))?;
                if statement.types.len() != bind.values.len() {
                    return Err(("08P01", format!("{} parameters for {name}", bind.values.len())));
                }
                let parameters = bind.values.iter().map(|value| value.map(<[u8]>::to_vec)).collect();
                let portal = String::from_utf8_lossy(bind.portal).into_owned();
                self.portals.insert(portal, Portal { statement: name, parameters });
                Ok(frame(b'2', b""))
            }
            b'D' if body.first() == Some(&b'S') => {
                rest = &body[1..];
                let name = text(&mut rest)?;
                let statement = self.statements.get(&name).ok_or_else(|| missing(&name))?;
                let mut types = u16::try_from(statement.types.len()).unwrap_or(0).to_be_bytes().to_vec();
                statement.types.iter().for_each(|kind| types.extend(kind.to_be_bytes()));
                let returns = statement.text.starts_with("SELECT") || statement.text.contains("RETURNING");
                let row = if returns { columns() } else { frame(b'n', b"") };
                Ok([frame(b't', &types), row].concat())
            }
            b'C' => {
                rest = body.get(1..).ok_or_else(malformed)?;
                self.statements.remove(&text(&mut rest)?);
                Ok(frame(b'3', b""))
            }
            _ => Err(malformed()),
        }
    }

    fn execute(&mut self, body: &[u8]) -> Option<()> {
        let mut rest = body;
        let name = String::from_utf8_lossy(take_text(&mut rest)?).into_owned();
        let Some(portal) = self.portals.get(&name) else {
            return self.refuse("34000", "portal does not exist");
        };
        let Some(statement) = self.statements.get(&portal.statement) else {
            return self.refuse("26000", "prepared statement does not exist");
        };
        let executed = Executed {
            name: portal.statement.clone(),
            text: statement.text.clone(),
            parameters: portal.parameters.clone(),
        };
        let query = executed.rendered();
        self.seen.executed.lock().ok()?.push(executed);
        self.run(&query, true)
    }

    /// Does as the script says. To an extended query only rows, tags, errors and parameters are said: it has
    /// described its rows apart, and ReadyForQuery follows a Sync.
    fn run(&mut self, query: &str, extended: bool) -> Option<()> {
        if query != "SHOW load" {
            self.asked.lock().ok()?.push(query.to_owned());
        }
        let (act, received) = (self.act, self.received);
        let mut say = |bytes: Vec<u8>| {
            if !extended {
                return self.say(&bytes);
            }
            let (mut said, mut rest) = (Vec::new(), bytes.as_slice());
            while let Some(head) = rest.first_chunk::<5>() {
                let len = 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
                let (message, tail) = rest.split_at_checked(len)?;
                match head[0] {
                    b'T' | b'Z' => {}
                    kind => {
                        self.skipping |= kind == b'E';
                        said.extend(message);
                    }
                }
                rest = tail;
            }
            said.extend(rest);
            self.say(&said)
        };
        match act(query, received) {
            Do::Say(bytes) => say(bytes),
            Do::SayLater(wait, bytes) => {
                thread::sleep(wait);
                say(bytes)
            }
            Do::SayLaterAndReport(wait, bytes, report) => {
                thread::sleep(wait);
                say(bytes)?;
                self.flush()?;
                report(Instant::now());
                Some(())
            }
            Do::SayInPieces(bytes, size, pause) => {
                for piece in bytes.chunks(size.max(1)) {
                    self.stream.write_all(piece).ok()?;
                    thread::sleep(pause);
                }
                Some(())
            }
            Do::SayWithSurplus { answer, surplus, delay, written } => {
                say(answer)?;
                self.say_surplus(&surplus, delay, &written)
            }
            Do::SayAndBreak(bytes) => {
                say(bytes)?;
                self.flush()?;
                None
            }
            Do::Break => None,
            Do::BreakLater(wait) => {
                thread::sleep(wait);
                None
            }
            Do::Nothing => {
                self.mute = extended;
                Some(())
            }
        }
    }
}

fn missing(name: &str) -> (&'static str, String) {
    ("26000", format!("prepared statement {name:?} does not exist"))
}

impl Executed {
    /// The statement with its parameters in place of their references, in its comment too, as a simple query would
    /// have it.
    #[must_use]
    pub fn rendered(&self) -> String {
        let mut text = self.text.clone();
        for (n, value) in self.parameters.iter().enumerate().rev() {
            let value = value.as_ref().map_or("NULL".into(), |value| String::from_utf8_lossy(value));
            let (code, comment) = text.split_at(text.rfind("/*").unwrap_or(text.len()));
            let reference = format!("${}", n + 1);
            text = code.replace(&reference, &format!("'{value}'")) + &comment.replace(&reference, &value);
        }
        text
    }
}
