//! Clients' connections: PostgreSQL's protocol, one request at a time on each.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use super::poller::{Interest, Poller, Ready, Token};
use super::wire::{Taken, Wire, CHUNK};
use crate::core::{Answer, Ask, Body, ClientId, Input};
use crate::log;
use crate::proto::pg::frame::LONGEST_QUERY;
use crate::proto::pg::frontend::{self, Message, Opening};
use crate::proto::pg::{code, statement};
use crate::timers::Timers;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Read ahead: a whole message and a little, or while a request is out only a little.
const MOST_BUFFERED: usize = LONGEST_QUERY + CHUNK;
/// A connection that has not said who it is by then is closed.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a closed connection is given to take its last bytes.
const LINGER: Duration = Duration::from_secs(1);
/// How long accepting rests when it failed for want of descriptors.
const REST: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Before the startup message.
    Opening,
    /// Between requests.
    Idle(Instant),
    /// A request is with the core.
    Busy,
    /// An extended query was turned down: all is passed over up to Sync.
    Skipping,
    /// Nothing more is taken; closed once all is written.
    Closing,
    /// All is written; waiting for the client to close.
    Lingering,
}

#[derive(Clone, Copy)]
enum Due {
    Login(u64),
    Linger(u64),
    Accept,
}

struct Client {
    wire: Wire,
    phase: Phase,
    buffer: Vec<u8>,
    /// The client sends no more; it may still read.
    ended: bool,
    interest: Interest,
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
    draining: bool,
    scratch: Vec<u8>,
}

impl Clients {
    /// Listens, for at most `most` connections that have read at most `most_bytes` ahead together.
    pub fn listen(addr: SocketAddr, most: usize, most_bytes: usize, poller: &Poller) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        rustix::net::listen(&listener, BACKLOG)?;
        poller.add(&listener, Token::Listener, Interest::READ)?;
        Ok(Self {
            listener: Some(listener),
            listening: true,
            clients: HashMap::new(),
            timers: Timers::new(),
            accepted: 0,
            most,
            most_bytes,
            draining: false,
            scratch: vec![0; CHUNK],
        })
    }

    /// Connections that may be open, and bytes read ahead, from now on.
    pub fn limit(&mut self, most: usize, most_bytes: usize) {
        (self.most, self.most_bytes) = (most, most_bytes);
    }

    /// Where clients connect.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.as_ref().map_or(Err(ErrorKind::NotConnected.into()), TcpListener::local_addr)
    }

    /// Takes the connections that wait.
    pub fn accept(&mut self, now: Instant, poller: &Poller) {
        while let Some(listener) = &self.listener {
            if self.clients.len() >= self.most && !evict(&mut self.clients) {
                log!("out of client connections: {} open, all busy", self.clients.len());
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
                                buffer: Vec::new(),
                                ended: false,
                                interest: Interest::READ,
                            };
                            self.clients.insert(number, client);
                            self.timers.set(now + LOGIN_TIMEOUT, Due::Login(number));
                        }
                        Err(error) => log!("cannot take a client's connection: {error}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // Guards against: a busy loop when descriptors have run out (EMFILE).
                    log!("cannot accept: {error}");
                    if !evict(&mut self.clients) {
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

    /// Closes the listener, once all that waits is accepted, and the connections between requests; the others
    /// follow when they have their answers.
    pub fn drain(&mut self, now: Instant, poller: &Poller) {
        self.accept(now, poller);
        self.listener = None;
        self.draining = true;
        for number in self.clients.keys().copied().collect::<Vec<_>>() {
            let Some(client) = self.clients.get_mut(&number) else { continue };
            if matches!(client.phase, Phase::Idle(_)) && client.buffer.is_empty() {
                client.phase = Phase::Closing;
                self.settle(now, number, poller);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    pub fn next(&self) -> Option<Instant> {
        self.timers.next()
    }

    pub fn tick(&mut self, now: Instant, poller: &Poller) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Login(number) => {
                    if self.clients.get(&number).is_some_and(|client| client.phase == Phase::Opening) {
                        self.clients.remove(&number);
                    }
                }
                Due::Linger(number) => {
                    self.clients.remove(&number);
                }
                Due::Accept => {
                    if let (false, Some(listener)) = (self.listening, &self.listener) {
                        self.listening = poller.add(listener, Token::Listener, Interest::READ).is_ok();
                        self.accept(now, poller);
                    }
                }
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
                    }
                }
                Err(_) => {
                    self.gone(number, inbox);
                    return;
                }
            }
        }
        let long = client.buffer.len() > CHUNK && client.phase != Phase::Busy;
        if long && self.clients.values().map(|c| c.buffer.len()).sum::<usize>() > self.most_bytes {
            self.turn_out(number);
        }
        self.work(now, number, poller, inbox);
    }

    /// Guards against: long messages of many clients, all unfinished, that together fill the memory.
    fn turn_out(&mut self, number: u64) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        let text = "too many bytes of clients";
        log!("out of memory for clients: one connection closed");
        frontend::put_error(client.wire.out(), "FATAL", code::OUT_OF_MEMORY, text, None);
        client.buffer = Vec::new();
        client.phase = Phase::Closing;
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
        let Some(client) = self.clients.get_mut(&number) else { return };
        let out = client.wire.out();
        match answer {
            Answer::Served(messages) => {
                out.extend(messages);
                frontend::put_ready(out);
            }
            Answer::Refused { retry_after } => frontend::put_refusal(out, retry_after),
            Answer::Failed => frontend::put_failure(out),
        }
        client.phase = Phase::Idle(now);
        self.work(now, number, poller, inbox);
    }

    /// Takes the messages that have come, writes what there is and sees what is next.
    fn work(&mut self, now: Instant, number: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        loop {
            let Some(client) = self.clients.get_mut(&number) else { return };
            let stalled = client.take_messages(now, number, inbox);
            let idle = client.takes() && !stalled;
            if client.ended && idle || self.draining && matches!(client.phase, Phase::Idle(_)) && idle {
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
        let Ok(written) = client.wire.flush() else { return false };
        if client.phase == Phase::Closing && written {
            if client.ended {
                self.clients.remove(&number);
                return true;
            }
            // Guards against: an answer lost to a reset, which closing with unread bytes would cause.
            client.wire.end_sending();
            client.phase = Phase::Lingering;
            client.buffer = Vec::new();
            self.timers.set(now + LINGER, Due::Linger(number));
        }
        if client.phase == Phase::Lingering {
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
    /// More bytes are wanted.
    fn reads(&self) -> bool {
        let most = if self.phase == Phase::Busy { CHUNK } else { MOST_BUFFERED };
        !self.ended && self.buffer.len() < most
    }

    /// Messages are taken as they come.
    fn takes(&self) -> bool {
        matches!(self.phase, Phase::Opening | Phase::Idle(_) | Phase::Skipping)
    }

    /// Takes messages until one has to be waited for; true if it stopped short of that.
    fn take_messages(&mut self, now: Instant, number: u64, inbox: &mut VecDeque<Input>) -> bool {
        let (mut used, mut stalled) = (0, false);
        while self.takes() {
            // Guards against: answers piling up for a client that sends and never reads.
            stalled = self.wire.unwritten() >= MOST_BUFFERED;
            if stalled {
                break;
            }
            let step = if self.phase == Phase::Opening {
                self.open(now, used)
            } else {
                self.take_message(now, number, used, inbox)
            };
            match step {
                Ok(Some(len)) => used += len,
                Ok(None) => break,
                Err(why) => {
                    log!("closed a client's connection: {why}");
                    frontend::put_error(self.wire.out(), "FATAL", code::PROTOCOL_VIOLATION, &why, None);
                    self.phase = Phase::Closing;
                }
            }
        }
        self.buffer.drain(..used);
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
        inbox: &mut VecDeque<Input>,
    ) -> Result<Option<usize>, String> {
        let message = frontend::message(&self.buffer[from..]).map_err(|e| e.to_string())?;
        let Some((message, len)) = message else { return Ok(None) };
        let out = self.wire.out();
        match (message, self.phase) {
            (Message::Terminate, _) => self.phase = Phase::Closing,
            (Message::Sync, _) => {
                frontend::put_ready(out);
                self.phase = Phase::Idle(now);
            }
            (Message::Unterminated, _) => return Err("a query without an end".to_owned()),
            (Message::Unknown(kind), _) => return Err(format!("unknown message type {kind:#04x}")),
            (_, Phase::Skipping) => {}
            (Message::Extended, _) => {
                let text = "extended queries are not supported";
                frontend::put_error(out, "ERROR", code::NOT_SUPPORTED, text, None);
                self.phase = Phase::Skipping;
            }
            (Message::Query(text), _) => match frontend::local(text) {
                Some(local) => frontend::put_local(out, local),
                None => {
                    let ask = ask(text).map_err(|e| e.to_string())?;
                    inbox.push_back(Input::Ask(ClientId(number), ask));
                    self.phase = Phase::Busy;
                }
            },
        }
        Ok(Some(len))
    }
}

/// Closes the connection that has been idle longest.
fn evict(clients: &mut HashMap<u64, Client>) -> bool {
    let idle = clients.iter().filter_map(|(number, client)| match client.phase {
        Phase::Idle(since) => Some((since, *number)),
        _ => None,
    });
    let Some((_, number)) = idle.min() else { return false };
    clients.remove(&number);
    true
}

/// A request as the core has it.
fn ask(text: &[u8]) -> Result<Ask, statement::Malformed> {
    let request = statement::request(text)?;
    Ok(Ask {
        class: request.class.to_owned(),
        wait: Duration::from_millis(request.wait_ms.into()),
        group: request.group,
        key: request.key.to_vec(),
        after: request.after,
        resent: request.resent,
        body: Body { text: text.to_vec(), wait_at: request.wait_at },
    })
}
