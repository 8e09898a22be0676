//! One discovery service for all gateways, which handles calls in turn and answers them in broken ways. Each gateway has two
//! addresses of it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_standin::list;

use super::checker::{Change, Outage, Silence, Written};
use super::plan::Listed;
use crate::held;

/// A call that would wait longer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LINE_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ADDRESSES: usize = 2;
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How many calls in a hundred go wrong, and how long each is handled.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Broken off or stalled within the list.
    broken: u32,
    /// Watches that are silent after their first list.
    silent: u32,
    /// In pieces.
    pieces: u32,
    /// Turned away at once.
    refused: u32,
    handling: Duration,
}

impl Faults {
    pub const NONE: Self =
        Self { broken: 0, silent: 0, pieces: 10, refused: 0, handling: Duration::from_millis(5) };
    pub const SOME: Self =
        Self { broken: 30, silent: 30, pieces: 20, refused: 5, handling: Duration::from_millis(30) };
    pub const MANY: Self =
        Self { broken: 55, silent: 50, pieces: 20, refused: 10, handling: Duration::from_millis(100) };
}

/// How one call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Whole,
    Pieces,
    BrokenOff,
    Stalled,
    Refused,
}

struct Server {
    name: String,
    entry: String,
    listed: Listed,
    started_ms: u128,
}

struct State {
    version: u32,
    servers: Vec<Server>,
    changes: Vec<Change>,
    down_since: Option<Instant>,
    outages: Vec<Outage>,
    faults: Faults,
    free_at: Instant,
    rng: ChaCha8Rng,
    written: Vec<Written>,
    silences: Vec<Silence>,
}

/// The service.
pub struct Discovery {
    state: Arc<Mutex<State>>,
    addresses: Vec<[SocketAddr; ADDRESSES]>,
}

impl Discovery {
    /// Entries are what a list says of a server, but for state and start.
    pub fn start(
        gateways: usize,
        entries: Vec<(String, String)>,
        faults: Faults,
        seed: u64,
    ) -> io::Result<Self> {
        let server = |(name, entry)| Server { name, entry, listed: Listed::Ready, started_ms: 0 };
        let state = Arc::new(Mutex::new(State {
            version: 1,
            servers: entries.into_iter().map(server).collect(),
            changes: Vec::new(),
            down_since: None,
            outages: Vec::new(),
            faults,
            free_at: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xd15c),
            written: Vec::new(),
            silences: Vec::new(),
        }));
        let mut addresses = Vec::new();
        for gateway in 0..gateways {
            addresses.push([listen(gateway, &state)?, listen(gateway, &state)?]);
        }
        Ok(Self { state, addresses })
    }

    pub fn address(&self, gateway: usize, number: usize) -> SocketAddr {
        self.addresses[gateway][number % ADDRESSES]
    }

    /// The list as a gateway was told it last.
    pub fn known(&self, gateway: usize) -> String {
        let state = held(&self.state);
        let told = state.written.iter().filter(|written| written.gateway == gateway);
        let version = told.map(|written| written.version).max().unwrap_or(1);
        state.list_as_of(version)
    }

    pub fn change(&self, server: usize, listed: Listed, started_ms: u128) {
        let mut state = held(&self.state);
        state.version += 1;
        let change = Change { version: state.version, server, listed, at: Instant::now() };
        state.changes.push(change);
        let entry = &mut state.servers[server];
        (entry.listed, entry.started_ms) = (listed, started_ms);
    }

    pub fn set_down(&self, down: bool) {
        let (mut state, now) = (held(&self.state), Instant::now());
        match (down, state.down_since) {
            (true, None) => state.down_since = Some(now),
            (false, Some(from)) => {
                state.down_since = None;
                state.outages.push(Outage { from, to: now });
            }
            _ => {}
        }
    }

    pub fn set_faults(&self, faults: Faults) {
        held(&self.state).faults = faults;
    }

    pub fn changes(&self) -> Vec<Change> {
        held(&self.state).changes.clone()
    }

    pub fn written(&self) -> Vec<Written> {
        held(&self.state).written.clone()
    }

    pub fn silences(&self) -> Vec<Silence> {
        held(&self.state).silences.clone()
    }

    pub fn outages(&self) -> Vec<Outage> {
        held(&self.state).outages.clone()
    }
}

impl State {
    fn entry(&self, server: usize, listed: Listed) -> String {
        let Server { name, entry, started_ms, .. } = &self.servers[server];
        let state = match listed {
            Listed::Ready => "Ready",
            Listed::Draining => "Terminating",
            Listed::Gone => "Gone",
        };
        format!(r#"{{"id":"{name}",{entry},"state":"{state}","started_ms":{started_ms}}}"#)
    }

    /// What changed after a version, as a list.
    fn since(&self, version: u32) -> String {
        let changed = |server: &usize| {
            self.changes.iter().any(|change| change.server == *server && change.version > version)
        };
        let servers = (0..self.servers.len()).filter(changed);
        let entries: Vec<_> = servers.map(|server| self.entry(server, self.servers[server].listed)).collect();
        list(self.version, false, &entries)
    }

    fn list_as_of(&self, version: u32) -> String {
        let listed = |server: usize| {
            let mut changes = self.changes.iter().filter(|change| change.server == server);
            changes.rfind(|change| change.version <= version).map_or(Listed::Ready, |change| change.listed)
        };
        let servers = (0..self.servers.len()).filter(|server| listed(*server) != Listed::Gone);
        let entries: Vec<_> = servers.map(|server| self.entry(server, listed(server))).collect();
        list(version, true, &entries)
    }

    /// How long a call waits for its turn and is handled; none if it is turned away.
    fn turn(&mut self, now: Instant) -> Option<Duration> {
        let begins = self.free_at.max(now);
        if begins - now > CALL_TIMEOUT {
            return None;
        }
        self.free_at = begins + self.faults.handling;
        Some(self.free_at - now)
    }

    fn draw(&mut self) -> (Answer, bool) {
        let faults = self.faults;
        let silent = self.rng.random_ratio(faults.silent, 100);
        let roll = self.rng.random_range(0..100);
        let answer = if roll < faults.broken / 2 {
            Answer::BrokenOff
        } else if roll < faults.broken {
            Answer::Stalled
        } else if roll < faults.broken + faults.refused {
            Answer::Refused
        } else if roll < faults.broken + faults.refused + faults.pieces {
            Answer::Pieces
        } else {
            Answer::Whole
        };
        (answer, silent)
    }
}

fn listen(gateway: usize, state: &Arc<Mutex<State>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let state = Arc::clone(state);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let state = Arc::clone(&state);
            thread::spawn(move || drop(answer(gateway, stream, &state)));
        }
    });
    Ok(addr)
}

/// Answers one call, for as long as its connection lasts.
fn answer(gateway: usize, mut stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut line = String::new();
    BufReader::new(&mut stream).read_line(&mut line)?;
    let since =
        line.split("since=").nth(1).and_then(|rest| rest.split(' ').next()).and_then(|n| n.parse().ok());
    let called = Instant::now();
    if held(state).down_since.is_some() {
        return turn_away_when_down(&mut stream, called, state);
    }
    let Some(wait) = held(state).turn(called) else { return stream.write_all(UNAVAILABLE.as_bytes()) };
    thread::sleep(wait);
    if is_closed(&stream)? {
        return Ok(());
    }
    let as_of = Instant::now();
    let ((how, silent), version, text) = {
        let mut state = held(state);
        (state.draw(), state.version, state.since(since.unwrap_or(0)))
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}{}", chunk(&indented(&text, version)));
    match how {
        Answer::Refused => return stream.write_all(UNAVAILABLE.as_bytes()),
        Answer::BrokenOff => return stream.write_all(&whole.as_bytes()[..whole.len() - text.len() / 2]),
        Answer::Stalled => {
            stream.write_all(&whole.as_bytes()[..whole.len() - text.len() / 2])?;
            return hold(&mut stream, state);
        }
        Answer::Pieces => {
            for piece in whole.as_bytes().chunks(whole.len() / 3 + 1) {
                stream.write_all(piece)?;
                thread::sleep(5 * POLL_INTERVAL);
            }
        }
        Answer::Whole => stream.write_all(whole.as_bytes())?,
    }
    let at = Instant::now();
    if is_closed(&stream)? {
        return Ok(());
    }
    held(state).written.push(Written { gateway, version, as_of, at });
    if silent {
        held(state).silences.push(Silence { gateway, at });
        return hold(&mut stream, state);
    }
    follow(gateway, &mut stream, state, version)
}

/// A call to a discovery that is down waits in vain.
fn turn_away_when_down(stream: &mut TcpStream, called: Instant, state: &Mutex<State>) -> io::Result<()> {
    while called.elapsed() < CALL_TIMEOUT && held(state).down_since.is_some() {
        thread::sleep(POLL_INTERVAL);
    }
    stream.write_all(UNAVAILABLE.as_bytes())
}

/// Says nothing more until the other side closes or discovery goes down.
fn hold(stream: &mut TcpStream, state: &Mutex<State>) -> io::Result<()> {
    while held(state).down_since.is_none() && !is_closed(stream)? {
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Guards against: what is written to a connection that the other side has closed, and counted as told.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    })
}

/// Says each change, and an empty line where there is none for a while.
fn follow(gateway: usize, stream: &mut TcpStream, state: &Mutex<State>, mut version: u32) -> io::Result<()> {
    let mut said = Instant::now();
    loop {
        thread::sleep(POLL_INTERVAL);
        let as_of = Instant::now();
        let (down, newest, text) = {
            let state = held(state);
            let newer = state.version > version;
            (state.down_since.is_some(), state.version, newer.then(|| state.since(version)))
        };
        if down || is_closed(stream)? {
            return Ok(());
        }
        if text.is_none() && said.elapsed() < LINE_INTERVAL {
            continue;
        }
        stream.write_all(chunk(&text.unwrap_or_default()).as_bytes())?;
        said = Instant::now();
        if is_closed(stream)? {
            return Ok(());
        }
        version = newest;
        held(state).written.push(Written { gateway, version, as_of, at: said });
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// Every other list comes indented.
fn indented(text: &str, version: u32) -> String {
    match version % 2 {
        0 => text.replace("{\"id\"", "\n  {\"id\"").replace("]}", "\n]}"),
        _ => text.to_owned(),
    }
}

#[cfg(test)]
mod tests;
