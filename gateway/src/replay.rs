//! `yewroute pcap replay`: recorded requests sent again over sockets, on one thread round epoll.

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use indicatif::ProgressBar;
use yewroute_capture::write::{Connection, End, Writer};
use yewroute_pgwire::backend::put_startup;
use yewroute_pgwire::bodies::error_code;
use yewroute_pgwire::code;
use yewroute_pgwire::frame::{self, LONGEST_ANSWER};
use yewroute_replay::{Action, Plan, Report};
use yewroute_traffic::Outcome;

use crate::net::poller::{Interest, Poller, Token};
use crate::net::wire::{Taken, Wire, CHUNK};

/// Connections that are open at once; what would need more waits, and is late.
const MOST_OPEN: usize = 512;
/// An answer that has not come by then never will.
const PATIENCE: Duration = Duration::from_secs(10);
const SWEEP: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Connecting,
    Welcome,
    Idle,
    Busy(Instant),
}

struct Conn {
    wire: Wire,
    phase: Phase,
    /// To be sent once it is welcomed.
    waiting: Option<Vec<u8>>,
    buffer: Vec<u8>,
    interest: Interest,
    outcome: Outcome,
    crc: crc32fast::Hasher,
    rows: bool,
    tape: Option<Connection>,
}

type Tape = Writer<BufWriter<File>>;

struct Replay<'a> {
    to: SocketAddr,
    plan: Plan,
    poller: Poller,
    conns: BTreeMap<u64, Conn>,
    queue: VecDeque<(u64, Vec<u8>)>,
    tape: Option<Tape>,
    scratch: Vec<u8>,
    bar: &'a ProgressBar,
    refused: u64,
}

/// Sends all that is planned, and writes what is said to `tape`.
///
/// # Errors
/// The system's, of the poller or the tape; connections that fail are counted as unanswered.
pub fn run(to: SocketAddr, plan: Plan, tape: Option<Tape>, bar: &ProgressBar) -> io::Result<(Report, u64)> {
    let scratch = vec![0; CHUNK];
    let (conns, queue) = (BTreeMap::new(), VecDeque::new());
    let mut replay =
        Replay { to, plan, poller: Poller::new()?, conns, queue, tape, scratch, bar, refused: 0 };
    let start = Instant::now();
    let (mut ready, mut actions, mut swept) = (Vec::new(), Vec::new(), start);
    while !replay.plan.done() {
        let now = Instant::now();
        replay.plan.tick(now - start, &mut actions);
        replay.perform(now, &mut actions)?;
        if now - swept >= SWEEP {
            swept = now;
            replay.sweep(now, &mut actions)?;
        }
        if replay.plan.done() {
            break;
        }
        let next = replay.plan.next().map_or(now + SWEEP, |at| (start + at).min(now + SWEEP));
        replay.poller.wait(now, Some(next), &mut ready)?;
        let now = Instant::now();
        for event in ready.drain(..) {
            if let Token::Client(number) = event.token {
                replay.ready(now, number, &mut actions)?;
            }
        }
        replay.perform(now, &mut actions)?;
    }
    if let Some(tape) = replay.tape {
        tape.finish()?;
    }
    Ok((replay.plan.report(), replay.refused))
}

/// Now, as capture files have it.
fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Replay<'_> {
    fn perform(&mut self, now: Instant, actions: &mut Vec<Action>) -> io::Result<()> {
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(number, bytes) => self.send(now, number, bytes, actions)?,
                Action::Close(number) => {
                    if let Some(mut conn) = self.conns.remove(&number) {
                        if let (Some(tape), Some(connection)) = (&mut self.tape, &mut conn.tape) {
                            tape.close(unix(), connection, End::Client, false)?;
                            tape.close(unix(), connection, End::Server, false)?;
                        }
                    }
                    if let Some((number, bytes)) = self.queue.pop_front() {
                        self.send(now, number, bytes, actions)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        now: Instant,
        number: u64,
        bytes: Vec<u8>,
        actions: &mut Vec<Action>,
    ) -> io::Result<()> {
        self.bar.inc(1);
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.waiting = Some(bytes);
            return self.work(now, number, actions);
        }
        if self.conns.len() >= MOST_OPEN {
            self.queue.push_back((number, bytes));
            return Ok(());
        }
        let dialled = Wire::dial(self.to)
            .and_then(|wire| self.poller.add(&wire, Token::Client(number), Interest::WRITE).map(|()| wire));
        match dialled {
            Ok(wire) => {
                let conn = Conn {
                    wire,
                    phase: Phase::Connecting,
                    waiting: Some(bytes),
                    buffer: Vec::new(),
                    interest: Interest::WRITE,
                    outcome: Outcome::Unanswered,
                    crc: crc32fast::Hasher::new(),
                    rows: false,
                    tape: None,
                };
                self.conns.insert(number, conn);
            }
            Err(_) => self.broken(number, actions),
        }
        Ok(())
    }

    /// A connection that is no more: what was out on it is unanswered. The next request of it opens another.
    fn broken(&mut self, number: u64, actions: &mut Vec<Action>) {
        self.refused += 1;
        self.conns.remove(&number);
        self.plan.answered(number, Outcome::Unanswered, None, actions);
    }

    fn sweep(&mut self, now: Instant, actions: &mut Vec<Action>) -> io::Result<()> {
        let stuck = |conn: &Conn| matches!(conn.phase, Phase::Busy(since) if now - since >= PATIENCE);
        let stuck: Vec<u64> =
            self.conns.iter().filter(|(_, c)| stuck(c)).map(|(number, _)| *number).collect();
        for number in stuck {
            self.broken(number, actions);
        }
        self.perform(now, actions)
    }

    fn ready(&mut self, now: Instant, number: u64, actions: &mut Vec<Action>) -> io::Result<()> {
        let Some(conn) = self.conns.get_mut(&number) else { return Ok(()) };
        if conn.phase == Phase::Connecting {
            if conn.wire.dialled().is_err() {
                self.broken(number, actions);
                return Ok(());
            }
            conn.phase = Phase::Welcome;
            let mut hello = Vec::new();
            put_startup(&mut hello);
            if let (Some(tape), Ok(local)) = (&mut self.tape, conn.wire.local()) {
                let mut connection = tape.open(unix(), local, self.to, number as u32)?;
                tape.send(unix(), &mut connection, End::Client, &hello)?;
                conn.tape = Some(connection);
            }
            conn.wire.out().extend(hello);
        }
        let before = conn.buffer.len();
        let taken = conn.wire.read(&mut self.scratch, &mut conn.buffer, usize::MAX);
        if let (Some(tape), Some(connection)) = (&mut self.tape, &mut conn.tape) {
            tape.send(unix(), connection, End::Server, &conn.buffer[before..])?;
        }
        if !matches!(taken, Ok(Taken::Some | Taken::Nothing)) {
            self.broken(number, actions);
            return Ok(());
        }
        loop {
            let Some(conn) = self.conns.get_mut(&number) else { return Ok(()) };
            let len = match frame::next(&conn.buffer, LONGEST_ANSWER) {
                Ok(Some(frame)) => {
                    let (kind, len) = (frame.kind, frame.len);
                    match kind {
                        b'D' => {
                            conn.rows = true;
                            conn.crc.update(frame.body);
                        }
                        b'C' | b's' | b'I' => conn.outcome = Outcome::Served,
                        b'E' => {
                            let sqlstate = error_code(frame.body).unwrap_or_default();
                            let refused = [code::TOO_MANY, code::CANNOT_CONNECT_NOW];
                            let refused = refused.iter().any(|code| code.as_bytes() == sqlstate);
                            conn.outcome = if refused { Outcome::Refused } else { Outcome::Failed };
                        }
                        b'Z' => {
                            let outcome = std::mem::replace(&mut conn.outcome, Outcome::Unanswered);
                            let crc = std::mem::replace(&mut conn.crc, crc32fast::Hasher::new());
                            let rows = std::mem::take(&mut conn.rows) && outcome == Outcome::Served;
                            if matches!(std::mem::replace(&mut conn.phase, Phase::Idle), Phase::Busy(_)) {
                                let value = rows.then(|| crc.finalize());
                                self.plan.answered(number, outcome, value, actions);
                            }
                        }
                        _ => {}
                    }
                    len
                }
                Ok(None) => break,
                Err(_) => {
                    self.broken(number, actions);
                    return Ok(());
                }
            };
            if let Some(conn) = self.conns.get_mut(&number) {
                conn.buffer.drain(..len);
            }
        }
        self.work(now, number, actions)
    }

    /// Sends what waits if the connection is free, and writes what there is room for.
    fn work(&mut self, now: Instant, number: u64, actions: &mut Vec<Action>) -> io::Result<()> {
        let Some(conn) = self.conns.get_mut(&number) else { return Ok(()) };
        if conn.phase == Phase::Idle {
            if let Some(bytes) = conn.waiting.take() {
                conn.phase = Phase::Busy(now);
                if let (Some(tape), Some(connection)) = (&mut self.tape, &mut conn.tape) {
                    tape.send(unix(), connection, End::Client, &bytes)?;
                }
                conn.wire.out().extend(bytes);
            }
        }
        if conn.phase == Phase::Connecting {
            return Ok(());
        }
        let Ok(written) = conn.wire.flush() else {
            self.broken(number, actions);
            return Ok(());
        };
        let interest = Interest { read: true, write: !written };
        if interest != conn.interest {
            conn.interest = interest;
            self.poller.change(&conn.wire, Token::Client(number), interest)?;
        }
        Ok(())
    }
}
