//! Clients' connections: PostgreSQL's protocol, one request at a time on each.

mod answers;
mod closes;
mod leaving;
mod listener;
mod long_messages;

use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use yewroute_ledger::{ByteBudget, MemoryBudget, PermitQueue};
use yewroute_lifecycle::Leaving;
use yewroute_receive_time::Receiver;

use super::cancel::CancelKeys;
use super::client::{BufferShares, Client, LongMessage, Phase, PRESENCE_PROBE_INTERVAL, RESET_TIMEOUT};
use super::memory_wait::WaitTerms;
use super::poller::{Poller, Ready};
use super::wire::{Taken, CHUNK};
use super::Input;
use crate::core::ClientId;
use crate::proto::pg::code;
use crate::proto::pg::frontend::CancelKey;
use crate::proto::pg::session::Terms;
use crate::proto::pg::table::Table;
use crate::timers::Timers;
use closes::{CloseReason, Closes};

/// While db hosts' answers wait for memory, a client that has not taken its own for so long is given up.
const HELD_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often those times are looked after.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Where descriptors are short, connections give way that have sent no request for so long.
const UNUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(50);
/// The same beside another process of this gateway, whose idle connections go within 0.4 s and make room.
const UNUSED_CONNECTION_TIMEOUT_BESIDE_ANOTHER_PROCESS: Duration = Duration::from_millis(600);
/// How long a listener that is to close stays open for connections that there was no room for.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long accepting rests when it failed for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Copy)]
enum TimerEvent {
    Sweep,
    Accept,
    /// The listener is closed, if nobody waits there or that time has come.
    Close(Instant),
    /// A client that is not read from is asked again whether it is still there.
    Probe(u64),
    /// It is seen how long a client's message has waited for memory.
    MemoryWait(u64),
}

/// All clients' connections, and the listener.
pub struct Clients {
    listener: Option<TcpListener>,
    listening: bool,
    clients: HashMap<u64, Client>,
    timers: Timers<TimerEvent>,
    accepted: u64,
    keys: CancelKeys,
    most: usize,
    /// How long a connection may send no request where there are `most`.
    silent: Duration,
    shares: BufferShares,
    /// What all sessions may keep.
    sessions: ByteBudget,
    /// What answers may take that clients have not taken yet, and db hosts' answers under way.
    answers: ByteBudget,
    /// What statements are paid for out of, and the long messages that wait for it.
    statements: MemoryBudget,
    waiting_messages: PermitQueue,
    wait_terms: WaitTerms,
    admission: Admission,
    scratch: Vec<u8>,
    receiver: Receiver,
    /// The statements of all clients.
    table: Table,
    protocol: ClientProtocol,
    closes: Closes,
}

/// What clients' long messages and their answers are paid for out of.
pub struct ClientMemory {
    /// Statements.
    pub statements: MemoryBudget,
    /// Answers.
    pub answers: ByteBudget,
    /// What sessions keep.
    pub sessions: ByteBudget,
}

/// What clients are told of this gateway's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Which connections leave.
    pub leaving: Leaving,
    /// What an empty query is answered.
    pub yes: bool,
    /// New connections are taken.
    pub accepts: bool,
    /// The listener stays open.
    pub listens: bool,
    /// This process is about to end.
    pub ends: bool,
}

/// How clients are served beyond simple queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientProtocol {
    /// How extended queries are carried.
    pub terms: Terms,
    /// Bytes of all prepared statements.
    pub table_bytes: usize,
    /// A pipeline that goes on no more and has had no Sync for so long is given up.
    pub pipeline_idle: Duration,
}

impl Clients {
    /// At most `most` connections with these shares, whose long messages and answers are paid for out of `memory`.
    pub fn new(
        now: Instant,
        most: usize,
        shares: BufferShares,
        (memory, wait_terms): (ClientMemory, WaitTerms),
        protocol: ClientProtocol,
    ) -> Self {
        let mut timers = Timers::new();
        timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        Self {
            listener: None,
            listening: false,
            clients: HashMap::new(),
            timers,
            accepted: 0,
            keys: CancelKeys::default(),
            most,
            silent: UNUSED_CONNECTION_TIMEOUT,
            shares,
            sessions: memory.sessions,
            answers: memory.answers,
            statements: memory.statements.clone(),
            waiting_messages: PermitQueue::new(memory.statements),
            wait_terms,
            admission: Admission {
                leaving: Leaving::None,
                yes: true,
                accepts: true,
                listens: true,
                ends: false,
            },
            scratch: vec![0; CHUNK],
            receiver: Receiver::default(),
            table: Table::new(protocol.table_bytes),
            protocol,
            closes: Closes::default(),
        }
    }

    /// Connections that may be open, the share of each, and what all sessions may keep, from now on.
    pub fn limit(&mut self, most: usize, shares: BufferShares, session_bytes: usize) {
        self.most = most;
        self.sessions.limit(session_bytes);
        if self.shares != shares {
            self.shares = shares;
            self.clients.values_mut().for_each(|client| client.shares = shares);
            self.limit_unsent();
        }
    }

    /// Whether another process of this gateway holds a part of its descriptors for the moment. Guards against: closing,
    /// for want of what is about to be free, connections that clients have opened ahead and are about to use.
    pub fn beside(&mut self, another: bool) {
        self.silent = if another {
            UNUSED_CONNECTION_TIMEOUT_BESIDE_ANOTHER_PROCESS
        } else {
            UNUSED_CONNECTION_TIMEOUT
        };
    }

    /// How clients are served from now on. Those that are connected keep the terms that they were welcomed with.
    pub fn set_protocol(&mut self, protocol: ClientProtocol) {
        self.table.limit(protocol.table_bytes);
        self.protocol = protocol;
    }

    /// Bytes that are held for clients beside their statements: come ahead, or not taken yet.
    pub fn held_bytes(&self) -> usize {
        let ahead = |client: &Client| if client.long.is_none() { client.buffer.len() } else { 0 };
        self.unwritten() + self.clients.values().map(ahead).sum::<usize>()
    }

    /// Bytes that the buffers of clients take beside their statements, used or not: for what has come ahead, and for answers.
    pub fn buffer_bytes(&self) -> (usize, usize) {
        let ahead = |client: &Client| if client.long.is_none() { client.buffer.capacity() } else { 0 };
        let ahead = self.clients.values().map(ahead).sum();
        (ahead, self.clients.values().map(|client| client.wire.buffer_bytes()).sum())
    }

    /// How many connections were closed, by reason.
    pub fn closes(&self) -> Vec<(&'static str, u64)> {
        self.closes.by_reason()
    }

    /// Long messages that wait for memory.
    pub fn waiting_messages(&self) -> usize {
        self.waiting_messages.len()
    }

    /// Clients wait for an answer, or for the rest of one.
    pub fn owes_answers(&self) -> bool {
        self.clients.values().any(Client::awaits_answer)
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
                TimerEvent::Sweep => {
                    self.sweep(now, poller, inbox);
                    self.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
                }
                TimerEvent::Accept => self.accept_again(poller),
                TimerEvent::Close(by) => self.close_listener(now, by, poller),
                TimerEvent::MemoryWait(number) => self.check_memory_wait(now, number, poller, inbox),
                TimerEvent::Probe(number) => {
                    if let Some(client) = self.clients.get_mut(&number) {
                        (client.probed, client.presence_unsure) = (false, false);
                        self.work(now, number, poller, inbox);
                    }
                }
            }
        }
    }

    /// Guards against: connections kept open by clients that say nothing, stop within a message, or never
    /// take their answers.
    fn sweep(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if self.admission.leaving >= Leaving::Idle {
            self.send_away(now, poller, inbox);
        }
        self.close_surplus(now);
        self.write_on(now, poller, inbox);
        self.give_up_answers(now, inbox);
        let pipeline_idle = self.protocol.pipeline_idle;
        let overdue = |client: &Client| client.overdue(now) || client.stalled(now, pipeline_idle);
        let numbers = self.clients.iter().filter(|(_, client)| overdue(client)).map(|(number, _)| *number);
        for number in numbers.collect::<Vec<_>>() {
            match self.clients.get_mut(&number) {
                Some(client) if client.unfinished.is_some() && client.takes() && client.stall.is_none() => {
                    let (sqlstate, why) = match client.long {
                        Some(LongMessage::Discarded(_)) => {
                            (code::TOO_MANY, "no memory for so long a statement")
                        }
                        _ => (code::PROTOCOL_VIOLATION, "a message was not finished in time"),
                    };
                    self.closes.count(CloseReason::TimedOut);
                    client.close_with_error(sqlstate, why);
                    self.work(now, number, poller, inbox);
                }
                Some(client) if client.stalled(now, pipeline_idle) => {
                    client.close_with_error(code::IDLE_IN_PIPELINE, "no Sync came for the pipeline in time");
                    self.closes.count(CloseReason::TimedOut);
                    self.work(now, number, poller, inbox);
                }
                // Guards against: a request that has come and is not read yet, as when hundreds come at once.
                Some(client) if client.takes() && client.stall.is_none() && !client.silent() => {}
                Some(client) => {
                    let stalled = client.stall.is_some();
                    if !matches!(client.phase, Phase::Lingering(_)) {
                        self.closes.count(if stalled { CloseReason::Stuck } else { CloseReason::TimedOut });
                    }
                    self.remove(number, inbox);
                }
                None => {}
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
        // Both directions of one that lingers may be over while bytes of it are unread: they go first, see `Lingering`.
        if event.broken && !matches!(client.phase, Phase::Lingering(_)) {
            self.closes.count(CloseReason::Left);
            self.remove(number, inbox);
            return;
        }
        if client.reads() {
            let (before, most) = (client.buffer.len(), client.most_read());
            let unheard = client.heard == client.accepted;
            let earliest = if unheard { client.opened_after } else { poller.unread_since() };
            let (receiver, scratch) = (&mut self.receiver, &mut self.scratch);
            let buffer = (&mut client.buffer, most);
            match client.wire.read_dated(receiver, earliest, scratch, buffer) {
                Ok((Taken::Some, received)) => {
                    client.heard = now;
                    // Guards against: the time that a request lay unread, as while this process got no processor, passed on to db
                    // hosts as if its client would wait that long again.
                    client.arrivals.append(received.min(now), client.buffer.len() - before);
                    if client.doubt_presence(now.saturating_duration_since(received)) {
                        self.timers.set(now + RESET_TIMEOUT, TimerEvent::Probe(number));
                    }
                }
                Ok((Taken::Nothing, _)) => {}
                // It may have closed one direction only, and still wait for its answers; or it has gone, and
                // then the answer to these bytes is a reset.
                Ok((Taken::End, _)) => client.ended = true,
                Err(_) => {
                    self.closes.count(CloseReason::Left);
                    self.remove(number, inbox);
                    return;
                }
            }
        }
        self.work(now, number, poller, inbox);
    }

    /// Does what there is to do for a client, and for those whose turn comes by that.
    fn work(&mut self, now: Instant, number: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        while self.work_on(now, number, poller, inbox) && self.reserve(now, number) {}
        if self.waiting_messages.is_empty() {
            return;
        }
        if !self.clients.get(&number).is_some_and(Client::awaits_memory) {
            self.waiting_messages.cancel(number);
        }
        self.admit_waiting_messages(now, poller, inbox);
    }

    /// Takes the messages that have come, writes what there is and sees what is next; true if bytes are to be set aside for a
    /// long message.
    fn work_on(&mut self, now: Instant, number: u64, poller: &Poller, inbox: &mut VecDeque<Input>) -> bool {
        loop {
            let Some(client) = self.clients.get_mut(&number) else { return false };
            let before = client.phase;
            let stalled = !client.presence_unsure
                && client.take_messages(now, number, self.admission.yes, &mut self.table, inbox);
            if client.malformed && before != Phase::Closing && client.phase == Phase::Closing {
                self.closes.count(CloseReason::Malformed);
            }
            if let Some(key) = client.cancels.take() {
                self.cancel(key, inbox);
                continue;
            }
            if client.probe_presence() {
                self.timers.set(now + PRESENCE_PROBE_INTERVAL, TimerEvent::Probe(number));
            }
            let idle = client.takes() && !stalled && !client.presence_unsure;
            let leaves = self.admission.leaving >= Leaving::Answered && client.answered_last();
            if (client.ended || leaves) && idle {
                client.phase = Phase::Closing;
                self.closes.count(if leaves { CloseReason::Draining } else { CloseReason::Left });
                if leaves && self.admission.leaving == Leaving::Answered {
                    client.wire.end_with_last();
                }
            }
            let (full, announced) = (client.full, client.is_announced());
            if !self.settle(now, number, poller) {
                self.closes.count(CloseReason::Left);
                self.remove(number, inbox);
                return false;
            }
            if !stalled && !full {
                return announced;
            }
            let Some(client) = self.clients.get_mut(&number) else { return false };
            let waits = client.wire.unwritten();
            if full && waits <= self.shares.write / 2 {
                client.full = false;
                inbox.push_back(Input::Room(ClientId(number)));
            }
            // Guards against: messages left lying when the answers before them could be written at once, as
            // nothing would wake for them.
            if !(stalled && waits == 0) {
                return announced;
            }
        }
    }

    /// Cancels the request that is out on the connection with this key, if there is one.
    fn cancel(&self, key: CancelKey, inbox: &mut VecDeque<Input>) {
        let number = self.keys.number(key, self.accepted);
        let waits = |number: &u64| self.clients.get(number).is_some_and(|client| client.phase == Phase::Busy);
        if let Some(number) = number.filter(waits) {
            inbox.push_back(Input::Cancel(ClientId(number)));
        }
    }

    /// Writes, closes if it is time, and asks to be woken for what is next; false if the connection is broken.
    fn settle(&mut self, now: Instant, number: u64, poller: &Poller) -> bool {
        let Some(client) = self.clients.get_mut(&number) else { return true };
        if client.holds_back() {
            // Guards against: a busy loop over bytes that are not read now.
            return client.listen(number, false, poller);
        }
        let Ok(written) = client.flush(now) else { return false };
        if client.phase == Phase::Closing && written {
            if client.ended {
                self.clients.remove(&number);
                return true;
            }
            // Guards against: an answer lost to a reset, which closing with unread bytes would cause.
            client.wire.end_sending();
            client.phase = Phase::Lingering(now);
            client.buffer = Vec::new();
            client.end_long_message();
        }
        if matches!(client.phase, Phase::Lingering(_)) {
            client.buffer.clear();
            if client.ended {
                self.clients.remove(&number);
                return true;
            }
        }
        client.listen(number, !written, poller)
    }

    fn remove(&mut self, number: u64, inbox: &mut VecDeque<Input>) {
        self.waiting_messages.cancel(number);
        if self.clients.remove(&number).is_some_and(|client| client.phase == Phase::Busy) {
            inbox.push_back(Input::ClientGone(ClientId(number)));
        }
    }
}
