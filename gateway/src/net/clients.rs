//! Clients' connections: PostgreSQL's protocol, one request at a time on each.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use tracing::warn;
use yewroute_lifecycle::Leaving;

use super::poller::{Interest, Poller, Ready, Token};
use super::wire::{Taken, Wire, CHUNK};
use super::Input;
use crate::core::{Answer, Ask, ClientId, Scope};
use crate::proto::pg::code;
use crate::proto::pg::frame::LONGEST_QUERY;
use crate::proto::pg::frontend::{self, Local, Opening};
use crate::proto::pg::request::{Body, Wanted};
use crate::proto::pg::session::{Final, Session, Terms, Took};
use crate::proto::pg::table::Table;
use crate::timers::Timers;

/// Read ahead: a whole message and a little, or while a request is out only a little.
const MOST_BUFFERED: usize = LONGEST_QUERY + CHUNK;
/// Answers that wait to be written, beyond which no further message is taken.
const MOST_UNWRITTEN: usize = CHUNK;
/// A connection on which no query has come whole by then is closed, and so is one that leaves a message
/// unfinished for so long.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that has taken none of its answers for so long is given up.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a closed connection is given to take its last bytes.
const LINGER: Duration = Duration::from_secs(1);
/// How often those times are looked after.
const SWEEP: Duration = Duration::from_millis(200);
/// Where descriptors are short, connections give way after so long: such as have sent no request, and idle ones.
const SILENT: Duration = Duration::from_millis(50);
const IDLE: Duration = Duration::from_secs(2);
/// While clients leave, a connection is given so long to say what it came for.
const FRESH: Duration = Duration::from_millis(150);
/// How long accepting rests when it failed for want of descriptors.
const REST: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Before the startup message.
    Opening,
    /// Between requests.
    Idle(Instant),
    /// A request is with the core.
    Busy,
    /// Nothing more is taken; closed once all is written.
    Closing,
    /// All is written; waiting for the client to close.
    Lingering(Instant),
}

#[derive(Clone, Copy)]
enum Due {
    Sweep,
    Accept,
}

struct Client {
    wire: Wire,
    phase: Phase,
    /// What it has prepared and bound.
    session: Session,
    /// Something is to be written that must not wait for the next answer.
    prompt: bool,
    buffer: Vec<u8>,
    /// The client sends no more; it may still read.
    ended: bool,
    interest: Interest,
    accepted: Instant,
    /// A query has come whole; and one that was a request, not only an empty one or a parameter's.
    asked: bool,
    requested: bool,
    /// Since when a message lies unfinished, and since when the client has taken none of its answers.
    unfinished: Option<Instant>,
    stuck: Option<Instant>,
}

/// All clients' connections, and the listener.
pub struct Clients {
    listener: Option<TcpListener>,
    listening: bool,
    clients: HashMap<u64, Client>,
    timers: Timers<Due>,
    accepted: u64,
    most: usize,
    most_bytes: usize,
    welcome: Welcome,
    scratch: Vec<u8>,
    /// The statements of all clients.
    table: Table,
    rules: Rules,
}

/// What clients are told of this gateway's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Welcome {
    /// Which connections leave.
    pub leaving: Leaving,
    /// What an empty query is answered.
    pub yes: bool,
    /// New connections are taken.
    pub accepts: bool,
    /// The listener stays open.
    pub listens: bool,
}

/// How clients are served beyond simple queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How extended queries are carried.
    pub terms: Terms,
    /// Bytes of all prepared statements.
    pub table_bytes: usize,
    /// A pipeline that goes on no more and has had no Sync for so long is given up.
    pub pipeline_idle: Duration,
}

impl Clients {
    /// At most `most` connections that have read at most `most_bytes` ahead together.
    pub fn new(now: Instant, most: usize, most_bytes: usize, rules: Rules) -> Self {
        let mut timers = Timers::new();
        timers.set(now + SWEEP, Due::Sweep);
        Self {
            listener: None,
            listening: false,
            clients: HashMap::new(),
            timers,
            accepted: 0,
            most,
            most_bytes,
            welcome: Welcome { leaving: Leaving::None, yes: true, accepts: true, listens: true },
            scratch: vec![0; CHUNK],
            table: Table::new(rules.table_bytes),
            rules,
        }
    }

    /// Takes connections from this listener.
    pub fn listen(&mut self, listener: TcpListener, poller: &Poller) -> io::Result<()> {
        poller.add(&listener, Token::Listener, Interest::READ)?;
        (self.listener, self.listening) = (Some(listener), true);
        Ok(())
    }

    /// Connections that may be open, and bytes read ahead, from now on.
    pub fn limit(&mut self, most: usize, most_bytes: usize) {
        (self.most, self.most_bytes) = (most, most_bytes);
    }

    /// How clients are served from now on. Those that are connected keep the terms that they were welcomed with.
    pub fn rule(&mut self, rules: Rules) {
        self.table.limit(rules.table_bytes);
        self.rules = rules;
    }

    /// Where clients connect.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().map_or(Err(ErrorKind::NotConnected.into()), TcpListener::local_addr)
    }

    /// Takes the connections that wait.
    pub fn accept(&mut self, now: Instant, poller: &Poller) {
        while let Some(listener) = &self.listener {
            if self.clients.len() >= self.most && !evict(now, &mut self.clients) {
                warn!(open = self.clients.len(), "out of client connections, all busy");
                self.rest(now, poller);
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let number = self.accepted + 1;
                    self.accepted = number;
                    let wire = Wire::accepted(stream).and_then(|wire| {
                        poller.add(&wire, Token::Client(number), Interest::READ)?;
                        Ok(wire)
                    });
                    match wire {
                        Ok(wire) => {
                            let client = Client {
                                wire,
                                phase: Phase::Opening,
                                session: Session::new(self.rules.terms),
                                prompt: false,
                                buffer: Vec::new(),
                                ended: false,
                                interest: Interest::READ,
                                accepted: now,
                                asked: false,
                                requested: false,
                                unfinished: None,
                                stuck: None,
                            };
                            self.clients.insert(number, client);
                        }
                        Err(error) => warn!(%error, "cannot take a client's connection"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // Guards against: a busy loop when descriptors have run out (EMFILE).
                    warn!(%error, "cannot accept");
                    if !evict(now, &mut self.clients) {
                        self.rest(now, poller);
                        return;
                    }
                }
            }
        }
    }

    /// Stops listening for a moment; what waits stays in the backlog.
    fn rest(&mut self, now: Instant, poller: &Poller) {
        if let (true, Some(listener)) = (self.listening, &self.listener) {
            self.listening = poller.remove(listener).is_err();
            self.timers.set(now + REST, Due::Accept);
        }
    }

    /// Takes over what clients are told from now on. A listener that nobody will accept on again is emptied and closed.
    pub fn welcome(&mut self, now: Instant, welcome: Welcome, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if self.welcome == welcome {
            return;
        }
        let before = std::mem::replace(&mut self.welcome, welcome);
        if before.accepts && !welcome.listens {
            self.accept(now, poller);
        }
        if !welcome.listens {
            (self.listener, self.listening) = (None, false);
        } else if let Some(listener) = &self.listener {
            if self.listening && !welcome.accepts {
                self.listening = poller.remove(listener).is_err();
            } else if !self.listening && welcome.accepts {
                self.timers.set(now, Due::Accept);
            }
        }
        if welcome.leaving > before.leaving {
            self.send_away(now, poller, inbox);
        }
    }

    /// Closes the connections that are to leave without waiting for an answer.
    fn send_away(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        let leaving = self.welcome.leaving;
        let leaves = |client: &Client| client.leaves(now, leaving);
        let numbers = self.clients.iter().filter(|(_, client)| leaves(client)).map(|(number, _)| *number);
        for number in numbers.collect::<Vec<_>>() {
            let Some(client) = self.clients.get_mut(&number) else { continue };
            client.phase = Phase::Closing;
            self.work(now, number, poller, inbox);
        }
    }

    /// Connections, those that are closing included.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    pub fn next(&self) -> Option<Instant> {
        self.timers.next()
    }

    pub fn tick(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Sweep => {
                    self.sweep(now, poller, inbox);
                    self.timers.set(now + SWEEP, Due::Sweep);
                }
                Due::Accept => {
                    if let (false, true, Some(listener)) =
                        (self.listening, self.welcome.accepts, &self.listener)
                    {
                        self.listening = poller.add(listener, Token::Listener, Interest::READ).is_ok();
                        self.accept(now, poller);
                    }
                }
            }
        }
    }

    /// Guards against: connections kept open by clients that say nothing, stop within a message, or never
    /// take their answers.
    fn sweep(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if self.welcome.leaving >= Leaving::Idle {
            self.send_away(now, poller, inbox);
        }
        let pipeline_idle = self.rules.pipeline_idle;
        let overdue = |client: &Client| client.overdue(now) || client.stalled(now, pipeline_idle);
        let numbers = self.clients.iter().filter(|(_, client)| overdue(client)).map(|(number, _)| *number);
        for number in numbers.collect::<Vec<_>>() {
            match self.clients.get_mut(&number) {
                Some(client) if client.unfinished.is_some() && client.takes() && client.stuck.is_none() => {
                    client.turn_out(code::PROTOCOL_VIOLATION, "a message was not finished in time");
                    self.work(now, number, poller, inbox);
                }
                Some(client) if client.stalled(now, pipeline_idle) => {
                    client.turn_out(code::IDLE_IN_PIPELINE, "no Sync came for the pipeline in time");
                    self.work(now, number, poller, inbox);
                }
                _ => self.gone(number, inbox),
            }
        }
    }

    pub fn ready(
        &mut self,
        now: Instant,
        number: u64,
        event: Ready,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        if event.broken {
            self.gone(number, inbox);
            return;
        }
        if client.reads() {
            match client.wire.read(&mut self.scratch, &mut client.buffer) {
                Ok(Taken::Some | Taken::Nothing) => {}
                // It may have closed one direction only, and still wait for its answers; or it has gone, and
                // then the answer to these bytes is a reset.
                Ok(Taken::End) => {
                    client.ended = true;
                    if client.phase == Phase::Busy {
                        frontend::put_notice(client.wire.out(), "still waiting for the answer");
                        client.prompt = true;
                    }
                }
                Err(_) => {
                    self.gone(number, inbox);
                    return;
                }
            }
        }
        let long = client.buffer.len() > CHUNK && client.phase != Phase::Busy;
        // Guards against: long messages of many clients, all unfinished, that together fill the memory.
        if long && self.clients.values().map(|c| c.buffer.len()).sum::<usize>() > self.most_bytes {
            if let Some(client) = self.clients.get_mut(&number) {
                warn!("out of memory for clients: one connection closed");
                client.turn_out(code::OUT_OF_MEMORY, "too many bytes of clients");
            }
        }
        self.work(now, number, poller, inbox);
    }

    /// Bytes of answers that clients have not taken yet.
    fn unwritten(&self) -> usize {
        self.clients.values().map(|client| client.wire.unwritten()).sum()
    }

    /// Hands a client its answer.
    pub fn answer(
        &mut self,
        now: Instant,
        ClientId(number): ClientId,
        answer: Answer,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        // Guards against: long answers to clients that do not read them, which together fill the memory. Such
        // a request has failed; whether it took effect, only its value would tell.
        let answer = match answer {
            Answer::Served(value)
                if value.len() > CHUNK && self.unwritten() + value.len() > self.most_bytes =>
            {
                warn!("out of memory for answers: one request failed");
                Answer::Failed
            }
            answer => answer,
        };
        let Some(client) = self.clients.get_mut(&number) else { return };
        let answer = match answer {
            Answer::Served(messages) => Final::Served(messages),
            Answer::Refused { retry_after } => Final::Refused(retry_after),
            Answer::Failed => Final::Failed,
            Answer::Invalid(why) => Final::Invalid(why),
        };
        client.session.answered(answer, &mut self.table, client.wire.out());
        client.prompt = true;
        client.phase = Phase::Idle(now);
        self.work(now, number, poller, inbox);
    }

    /// Takes the messages that have come, writes what there is and sees what is next.
    fn work(&mut self, now: Instant, number: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        loop {
            let Some(client) = self.clients.get_mut(&number) else { return };
            let stalled = client.take_messages(now, number, self.welcome.yes, &mut self.table, inbox);
            let idle = client.takes() && !stalled;
            let leaves = self.welcome.leaving >= Leaving::Answered && client.answered_last();
            if (client.ended || leaves) && idle {
                client.phase = Phase::Closing;
            }
            if !self.settle(now, number, poller) {
                self.gone(number, inbox);
                return;
            }
            // Guards against: messages left lying when the answers before them could be written at once, as
            // nothing would wake for them.
            let written = self.clients.get(&number).is_some_and(|client| client.wire.unwritten() == 0);
            if !(stalled && written) {
                return;
            }
        }
    }

    /// Writes, closes if it is time, and asks to be woken for what is next; false if the connection is broken.
    fn settle(&mut self, now: Instant, number: u64, poller: &Poller) -> bool {
        let Some(client) = self.clients.get_mut(&number) else { return true };
        if client.holds_back() {
            return true;
        }
        let before = client.wire.unwritten();
        let Ok(written) = client.wire.flush() else { return false };
        client.prompt &= !written;
        client.stuck = match client.stuck {
            _ if written => None,
            Some(since) if client.wire.unwritten() == before => Some(since),
            _ => Some(now),
        };
        if client.phase == Phase::Closing && written {
            if client.ended {
                self.clients.remove(&number);
                return true;
            }
            // Guards against: an answer lost to a reset, which closing with unread bytes would cause.
            client.wire.end_sending();
            client.phase = Phase::Lingering(now);
            client.buffer = Vec::new();
        }
        if matches!(client.phase, Phase::Lingering(_)) {
            client.buffer.clear();
            if client.ended {
                self.clients.remove(&number);
                return true;
            }
        }
        let interest = Interest { read: client.reads(), write: !written };
        if interest != client.interest {
            client.interest = interest;
            return poller.change(&client.wire, Token::Client(number), interest).is_ok();
        }
        true
    }

    fn gone(&mut self, number: u64, inbox: &mut VecDeque<Input>) {
        if self.clients.remove(&number).is_some_and(|client| client.phase == Phase::Busy) {
            inbox.push_back(Input::ClientGone(ClientId(number)));
        }
    }
}

impl Client {
    /// It has kept its connection for longer than it may as things stand.
    fn overdue(&self, now: Instant) -> bool {
        let older = |since: Option<Instant>, than| since.is_some_and(|since| now - since >= than);
        let silent = !self.asked && now - self.accepted >= MESSAGE_TIMEOUT;
        older(self.stuck, STUCK_TIMEOUT)
            || match self.phase {
                Phase::Opening | Phase::Idle(_) => {
                    self.stuck.is_none() && (silent || older(self.unfinished, MESSAGE_TIMEOUT))
                }
                Phase::Busy | Phase::Closing => false,
                Phase::Lingering(since) => now - since >= LINGER,
            }
    }

    /// What is to be written can wait for the answer that is out: it only tells that a statement was parsed, bound or
    /// described, in a pipeline whose Sync or Flush is yet to come. PostgreSQL does the same; it spares a write and a
    /// wake-up for each request. A final answer never waits.
    fn holds_back(&self) -> bool {
        let little = self.wire.unwritten() < MOST_UNWRITTEN;
        self.phase == Phase::Busy && self.session.open() && !self.prompt && little && self.stuck.is_none()
    }

    /// Nothing is owed on either side.
    fn between(&self) -> bool {
        matches!(self.phase, Phase::Idle(_)) && !self.session.open()
    }

    /// It has just been answered, and nothing more of it has come.
    fn answered_last(&self) -> bool {
        self.asked && self.between() && self.buffer.is_empty() && self.wire.unwritten() > 0
    }

    /// It is to go at this stage without waiting for an answer. Guards against: a request that has come and is not
    /// read yet, and a connection that has only just been made.
    fn leaves(&self, now: Instant, leaving: Leaving) -> bool {
        let fresh = now.saturating_duration_since(self.accepted) < FRESH;
        let here = match self.phase {
            Phase::Opening => true,
            Phase::Idle(_) => !self.session.open() || leaving == Leaving::Parts,
            _ => false,
        };
        let whole = self.buffer.is_empty() || leaving == Leaving::Parts;
        leaving >= Leaving::Idle && here && whole && !fresh && self.wire.quiet()
    }

    /// It has begun a pipeline and says neither more nor Sync. Guards against: portals and their rows held for
    /// a client that will never come back to them.
    fn stalled(&self, now: Instant, than: Duration) -> bool {
        let since = if let Phase::Idle(since) = self.phase { Some(since) } else { None };
        self.session.open() && self.stuck.is_none() && since.is_some_and(|since| now - since >= than)
    }

    /// Says why, and closes once that is written.
    fn turn_out(&mut self, sqlstate: &str, why: &str) {
        frontend::put_error(self.wire.out(), "FATAL", sqlstate, why, None);
        self.buffer = Vec::new();
        self.unfinished = None;
        self.phase = Phase::Closing;
    }

    /// Nothing has come that is not read yet, or it would not be taken anyway.
    fn silent(&self) -> bool {
        matches!(self.phase, Phase::Lingering(_)) || self.wire.quiet()
    }

    /// More bytes are wanted.
    fn reads(&self) -> bool {
        let most = if self.phase == Phase::Busy { CHUNK } else { MOST_BUFFERED };
        !self.ended && self.buffer.len() < most
    }

    /// Messages are taken as they come.
    fn takes(&self) -> bool {
        matches!(self.phase, Phase::Opening | Phase::Idle(_))
    }

    /// Takes messages until one has to be waited for; true if it stopped short of that.
    fn take_messages(
        &mut self,
        now: Instant,
        number: u64,
        yes: bool,
        table: &mut Table,
        inbox: &mut VecDeque<Input>,
    ) -> bool {
        let (mut used, mut stalled) = (0, false);
        while self.takes() {
            // Guards against: answers piling up for a client that sends and never reads.
            stalled = self.wire.unwritten() >= MOST_UNWRITTEN;
            if stalled {
                break;
            }
            let step = if self.phase == Phase::Opening {
                self.open(now, used)
            } else {
                self.take_message(now, number, used, yes, table, inbox)
            };
            match step {
                Ok(Some(len)) => used += len,
                Ok(None) => break,
                Err(why) => {
                    warn!(why, "closed a client's connection");
                    self.turn_out(code::PROTOCOL_VIOLATION, &why);
                    used = 0;
                }
            }
        }
        self.buffer.drain(..used);
        let unfinished = !self.buffer.is_empty() && self.takes() && !stalled;
        self.unfinished = if used > 0 { None } else { self.unfinished }.filter(|_| unfinished);
        self.unfinished = self.unfinished.or(unfinished.then_some(now));
        if self.buffer.is_empty() && self.buffer.capacity() > 2 * CHUNK {
            self.buffer = Vec::new();
        }
        stalled
    }

    fn open(&mut self, now: Instant, from: usize) -> Result<Option<usize>, String> {
        let opening = frontend::opening(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some((opening, len)) = opening else { return Ok(None) };
        match opening {
            Opening::Encryption => self.wire.out().push(frontend::NO_ENCRYPTION),
            Opening::Cancel => self.phase = Phase::Closing,
            Opening::Startup { minor } => {
                frontend::put_welcome(self.wire.out(), minor);
                self.phase = Phase::Idle(now);
            }
            Opening::Version(major) => return Err(format!("unsupported protocol version {major}")),
        }
        Ok(Some(len))
    }

    fn take_message(
        &mut self,
        now: Instant,
        number: u64,
        from: usize,
        yes: bool,
        table: &mut Table,
        inbox: &mut VecDeque<Input>,
    ) -> Result<Option<usize>, String> {
        let message = frontend::message(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some((message, len)) = message else { return Ok(None) };
        let query = matches!(message, frontend::Message::Query(_));
        if let (false, frontend::Message::Query(text), false) = (yes, &message, self.session.open()) {
            if frontend::local(text) == Some(Local::Empty) {
                let out = self.wire.out();
                frontend::put_error(out, "ERROR", code::CANNOT_CONNECT_NOW, "this gateway drains", None);
                frontend::put_ready(out);
                self.asked = true;
                return Ok(Some(len));
            }
        }
        let took = self.session.take(&message, table, self.wire.out());
        if took.is_err() && query {
            inbox.push_back(Input::Unreadable);
        }
        match took? {
            Took::Close => self.phase = Phase::Closing,
            Took::Ask(wanted) => {
                inbox.push_back(Input::Ask(ClientId(number), ask(wanted)));
                self.phase = Phase::Busy;
                (self.asked, self.requested) = (true, true);
            }
            Took::Flush => self.prompt = true,
            Took::Done => {
                self.phase = Phase::Idle(now);
                self.asked |= query || self.session.holds();
                // A client that has prepared something is no stranger that only holds a connection.
                self.requested |= self.session.holds();
            }
        }
        Ok(Some(len))
    }
}

/// Closes a connection that nothing is owed on: one that is over, else one that has sent no request and been
/// silent for longest, else the one idle longest.
///
/// Guards against: crowds that connect and say nothing, or no more than an empty query, which would keep usual
/// clients out. One that has sent something which is not read yet is spared.
fn evict(now: Instant, clients: &mut HashMap<u64, Client>) -> bool {
    let place = |client: &Client| match client.phase {
        Phase::Lingering(since) => Some((0, since)),
        Phase::Opening | Phase::Idle(_) if !client.buffer.is_empty() || client.stuck.is_some() => None,
        Phase::Opening => Some((1, client.accepted)),
        Phase::Idle(since) if !client.requested => Some((1, since)),
        Phase::Idle(since) => Some((2, since)),
        _ => None,
    };
    let due = |(rank, since)| match rank {
        0 => true,
        1 => now - since >= SILENT,
        _ => now - since >= IDLE,
    };
    let mut places: Vec<_> = clients
        .iter()
        .filter_map(|(number, client)| Some((place(client).filter(|place| due(*place))?, *number)))
        .collect();
    places.sort_unstable();
    let spare = |number: &u64| clients.get(number).is_some_and(|client| client.silent());
    let Some(number) = places.into_iter().map(|(_, number)| number).find(spare) else { return false };
    clients.remove(&number);
    true
}

/// A request as the core has it.
fn ask(wanted: Wanted) -> Ask<Body> {
    Ask {
        name: wanted.id,
        writes: wanted.writes,
        scope: wanted.scope.map_or(Scope::Anyone, |(class, group)| Scope::Class(class, group)),
        wait: wanted.wait,
        key: wanted.key,
        after: wanted.after,
        resent: wanted.resent,
        body: wanted.body,
    }
}
