//! A voter: Raft, by the library, with its log in memory. A voter's number is of one process and one seat in the log; nobody
//! else has it, before or after.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, MessageType, Snapshot,
};
use raft::storage::MemStorage;
use raft::{
    Config, GetEntriesContext, ProgressState, RaftState, RawNode, SnapshotStatus, StateRole, Storage,
};
use serde::{Deserialize, Serialize};

use crate::state::{Command, Outcome, Place, State, Ticket};
use crate::voters::{Peer, Seat};

/// How often the library's clock goes on, and how many of its ticks a leader may be silent before another is elected: so many
/// and, so that not all stand at once, up to as many more by the voter's number and the term.
pub const TICK: Duration = Duration::from_millis(400);
const ELECTION: usize = 4;
/// The log is cut when it is longer than this, to this much less.
const LOG_LONG: u64 = 256;
const LOG_KEPT: u64 = 64;
/// After so long without an answer the state is sent again.
const STATE_AGAIN: Duration = Duration::from_secs(2);
/// A learner that has not learned by then is given up.
const LEARN: Duration = Duration::from_secs(10);
/// A voter that its leader has not heard for so long has none of this group's memory any more.
const SILENT: Duration = Duration::from_secs(8);
/// Bytes asked for and not decided yet.
const MOST_WAITING: u64 = 64 * 1024;

/// What each voter holds besides the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Kept {
    /// What was decided.
    pub state: State,
    /// Voters and learners by their numbers, and where in the log each was seated.
    pub seats: BTreeMap<u64, (Peer, u64)>,
}

/// The library's memory with the state it lacks.
#[derive(Default)]
pub struct Memory {
    log: MemStorage,
    saved: Vec<u8>,
}

impl Storage for Memory {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.log.snapshot(request_index, to)?;
        snapshot.set_data(self.saved.clone().into());
        Ok(snapshot)
    }
}

/// Something a voter applied.
pub enum Applied {
    /// A request, and what became of it.
    Answer(Ticket, Outcome),
    /// The voters are others.
    Seats,
    /// All of it is new.
    State,
}

/// A voter, or one that learns to be one.
pub struct Node {
    /// The generation of its group.
    pub generation: u64,
    /// Its number.
    pub number: u64,
    /// What it holds.
    pub kept: Kept,
    raw: RawNode<Memory>,
    /// Where those are that wrote to it before it knew their seats.
    senders: BTreeMap<u64, SocketAddr>,
    states_sent: BTreeMap<u64, Instant>,
    learns_since: Option<Instant>,
    /// When each was heard last, and since when this one leads.
    heard_of: BTreeMap<u64, Instant>,
    led_since: Instant,
    /// When its leader was heard last.
    pub heard: Instant,
    pub tick_at: Instant,
    out: Vec<Message>,
    applied: Vec<Applied>,
}

fn config(number: u64) -> Config {
    Config {
        id: number,
        election_tick: ELECTION,
        heartbeat_tick: 1,
        max_size_per_msg: 8 * 1024,
        max_inflight_msgs: 16,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MOST_WAITING,
        ..Config::default()
    }
}

fn conf_state(voters: &[u64]) -> ConfState {
    ConfState { voters: voters.to_vec(), ..ConfState::default() }
}

impl Node {
    /// The one voter of a new group.
    pub fn found(now: Instant, generation: u64, number: u64, me: Peer, state: State) -> raft::Result<Self> {
        let kept = Kept { state, seats: [(number, (me, 1))].into() };
        let memory = Memory { log: MemStorage::new(), saved: saved(&kept) };
        // Others begin with this state: without an entry before the first they would begin with an empty one.
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.set_conf_state(conf_state(&[number]));
        memory.log.wl().apply_snapshot(snapshot)?;
        let mut node = Self::with(now, generation, number, kept, memory)?;
        node.raw.campaign()?;
        node.pump(now);
        Ok(node)
    }

    /// One that learns what was decided.
    pub fn learner(now: Instant, generation: u64, number: u64) -> raft::Result<Self> {
        Self::with(now, generation, number, Kept::default(), Memory::default())
    }

    fn with(now: Instant, generation: u64, number: u64, kept: Kept, memory: Memory) -> raft::Result<Self> {
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config(number), memory, &logger)?;
        let mut node = Self {
            generation,
            number,
            kept,
            raw,
            senders: BTreeMap::new(),
            states_sent: BTreeMap::new(),
            learns_since: None,
            heard_of: BTreeMap::new(),
            led_since: now,
            heard: now,
            tick_at: now + TICK,
            out: Vec::new(),
            applied: Vec::new(),
        };
        node.set_patience();
        Ok(node)
    }

    /// The library draws its patience from a source of its own; the voter's number and the term decide instead.
    fn set_patience(&mut self) {
        let raft = &mut self.raw.raft;
        let drawn = blake3::hash(&[self.number.to_le_bytes(), raft.term.to_le_bytes()].concat());
        raft.set_randomized_election_timeout(ELECTION + usize::from(drawn.as_bytes()[0]) % ELECTION);
    }

    /// It leads its group.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The leader's number, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|leader| *leader != 0)
    }

    /// The term of its group.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// How far it has applied the log.
    pub fn index(&self) -> u64 {
        self.raw.raft.raft_log.applied
    }

    /// What it would vote with: the last entry it has.
    pub fn last_index(&self) -> u64 {
        self.raw.raft.raft_log.last_index()
    }

    /// It votes, and does not learn any more.
    pub fn votes(&self) -> bool {
        self.raw.raft.prs().conf().voters().contains(self.number)
    }

    /// As leader it has decided something itself: it knows all that was decided before.
    pub fn is_settled(&self) -> bool {
        self.leads() && self.raw.raft.commit_to_current_term()
    }

    /// Voters by their numbers.
    pub fn voters(&self) -> Vec<u64> {
        self.raw.raft.prs().conf().voters().ids().iter().collect()
    }

    /// Where a voter is.
    pub fn place_of(&self, number: u64) -> Option<(SocketAddr, (u64, u64))> {
        match self.kept.seats.get(&number) {
            Some((peer, at)) => Some((peer.addr, (*at, peer.incarnation))),
            None => self.senders.get(&number).map(|addr| (*addr, (0, 0))),
        }
    }

    /// Takes a message. One that a voter with its memory could not have caused is not taken: the library would end the process.
    pub fn step(&mut self, now: Instant, from: (u64, SocketAddr), message: Message) -> bool {
        let raft = &self.raw.raft;
        let log = &raft.raft_log;
        let known = log.last_index();
        let kind = message.get_msg_type();
        let fits = match kind {
            MessageType::MsgHeartbeat => message.commit <= known,
            // One that begins below what is decided is answered with how far that is.
            MessageType::MsgAppend if message.index < log.committed => true,
            MessageType::MsgAppend => {
                let mut follow = message.get_entries().iter().zip(message.index + 1..);
                follow.all(|(entry, at)| entry.index == at && entry.term <= message.term)
            }
            MessageType::MsgAppendResponse => message.index <= known,
            MessageType::MsgSnapshot => {
                let snapshot = message.get_snapshot();
                let conf = snapshot.get_metadata().get_conf_state();
                let apart = conf.learners.iter().all(|learner| !conf.voters.contains(learner));
                !conf.voters.is_empty() && apart && postcard::from_bytes::<Kept>(snapshot.get_data()).is_ok()
            }
            _ => true,
        };
        if !fits {
            return false;
        }
        if self.senders.len() < 64 || self.senders.contains_key(&from.0) {
            self.senders.insert(from.0, from.1);
            self.heard_of.insert(from.0, now);
        }
        if matches!(kind, MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot)
            && message.term >= self.raw.raft.term
        {
            self.heard = now;
        }
        let taken = self.raw.step(message).is_ok();
        self.pump(now);
        taken
    }

    /// Lets the library's clock go on.
    pub fn tick(&mut self, now: Instant) {
        self.tick_at = now + TICK;
        self.raw.tick();
        let again = |at: &Instant| now.saturating_duration_since(*at) >= STATE_AGAIN;
        let stuck: Vec<u64> = self.states_sent.iter().filter(|(_, at)| again(at)).map(|(n, _)| *n).collect();
        for number in stuck {
            self.states_sent.remove(&number);
            let waits = self.raw.raft.prs().get(number).is_some_and(|p| p.state == ProgressState::Snapshot);
            if waits {
                self.raw.report_snapshot(number, SnapshotStatus::Failure);
            }
        }
        self.pump(now);
    }

    /// Asks for a decision; false if this voter cannot have it decided.
    pub fn propose(&mut self, now: Instant, ticket: Ticket, command: &Command) -> bool {
        let (Ok(context), Ok(data)) = (postcard::to_allocvec(&ticket), postcard::to_allocvec(command)) else {
            return false;
        };
        let taken = self.leads() && self.raw.propose(context, data).is_ok();
        self.pump(now);
        taken
    }

    /// Voters and learners as the leader sees them.
    pub fn seats(&self, now: Instant) -> Vec<Seat> {
        let progress = self.raw.raft.prs();
        let committed = self.raw.raft.raft_log.committed;
        let late = self.learns_since.is_some_and(|since| now.saturating_duration_since(since) >= LEARN);
        let heard = |number: &u64| {
            let heard = self.heard_of.get(number).copied().unwrap_or(self.led_since);
            now.saturating_duration_since(heard.max(self.led_since))
        };
        let seat = |(number, (peer, _)): (&u64, &(Peer, u64))| {
            let learner = progress.conf().learners().contains(number);
            let learned = || progress.get(*number).is_some_and(|p| p.matched + 4 >= committed);
            let idle = if learner { late } else { heard(number) >= SILENT };
            Seat { number: *number, peer: peer.clone(), learns: learner.then(learned), idle }
        };
        self.kept.seats.iter().map(seat).collect()
    }

    /// Has voters changed, one at a time.
    pub fn change(&mut self, now: Instant, kind: ConfChangeType, number: u64, peer: Option<&Peer>) {
        if self.raw.raft.has_pending_conf() || !self.is_settled() {
            return;
        }
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.set_node_id(number);
        let context = peer.and_then(|peer| postcard::to_allocvec(peer).ok()).unwrap_or_default();
        change.set_context(context.into());
        // Refused, it is tried again at the next look at the voters.
        let _ = self.raw.propose_conf_change(Vec::new(), change);
        self.pump(now);
    }

    /// Lets another lead: the voter that has most of the log.
    pub fn hand_over(&mut self, now: Instant) {
        let progress = self.raw.raft.prs();
        let others =
            progress.iter().filter(|(n, _)| **n != self.number && progress.conf().voters().contains(**n));
        if let Some(to) = others.max_by_key(|(_, p)| (p.recent_active, p.matched)).map(|(number, _)| *number)
        {
            self.raw.transfer_leader(to);
            self.pump(now);
        }
    }

    /// Takes over what the library has got ready: the log, what is decided, and messages.
    fn pump(&mut self, now: Instant) {
        // Bounded as each round applies or sends something of what is there.
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.send(now, ready.take_messages());
            if !ready.snapshot().get_metadata().get_conf_state().voters.is_empty() {
                self.restore(now, ready.snapshot().clone());
            }
            {
                let mut log = self.raw.mut_store().log.wl();
                // The library hands out entries that follow what is there.
                let _ = log.append(ready.entries());
                if let Some(hard) = ready.hs() {
                    log.set_hardstate(hard.clone());
                }
            }
            self.apply(now, ready.take_committed_entries());
            self.send(now, ready.take_persisted_messages());
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().log.wl().mut_hard_state().commit = commit;
            }
            self.send(now, light.take_messages());
            self.apply(now, light.take_committed_entries());
            self.raw.advance_apply();
        }
        self.set_patience();
        if !self.leads() {
            self.led_since = now;
        }
        let (first, applied) = (self.raw.raft.raft_log.first_index(), self.index());
        if applied.saturating_sub(first) > LOG_LONG {
            let _ = self.raw.mut_store().log.wl().compact(applied - LOG_KEPT);
        }
    }

    fn send(&mut self, now: Instant, messages: Vec<Message>) {
        for message in &messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.states_sent.entry(message.to).or_insert(now);
            }
        }
        self.out.extend(messages);
    }

    fn restore(&mut self, _now: Instant, snapshot: Snapshot) {
        // Looked at before it was taken.
        if let Ok(kept) = postcard::from_bytes(snapshot.get_data()) {
            self.kept = kept;
        }
        let store = self.raw.mut_store();
        store.saved = snapshot.get_data().to_vec();
        let _ = store.log.wl().apply_snapshot(snapshot);
        self.applied.push(Applied::State);
    }

    fn apply(&mut self, now: Instant, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        for entry in entries {
            let place = Place { generation: self.generation, index: entry.index };
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    let asked = postcard::from_bytes::<Ticket>(entry.get_context());
                    let command = postcard::from_bytes::<Command>(entry.get_data());
                    if let (Ok(ticket), Ok(command)) = (asked, command) {
                        let outcome = self.kept.state.apply(place, ticket, command);
                        self.applied.push(Applied::Answer(ticket, outcome));
                    }
                }
                _ => self.apply_change(now, &entry),
            }
        }
        self.raw.mut_store().saved = saved(&self.kept);
    }

    fn apply_change(&mut self, now: Instant, entry: &Entry) {
        let mut change = ConfChange::default();
        if change.merge_from_bytes(entry.get_data()).is_err() {
            return;
        }
        let number = change.get_node_id();
        match change.get_change_type() {
            ConfChangeType::RemoveNode => {
                self.kept.seats.remove(&number);
            }
            ConfChangeType::AddLearnerNode => {
                if let Ok(peer) = postcard::from_bytes(change.get_context()) {
                    self.kept.seats.insert(number, (peer, entry.index));
                    self.learns_since = Some(now);
                }
            }
            ConfChangeType::AddNode => self.learns_since = None,
        }
        if let Ok(conf) = self.raw.apply_conf_change(&change) {
            self.raw.mut_store().log.wl().set_conf_state(conf);
        }
        self.applied.push(Applied::Seats);
    }

    /// Messages to others.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.out)
    }

    /// What was applied since.
    pub fn take_applied(&mut self) -> Vec<Applied> {
        std::mem::take(&mut self.applied)
    }
}

fn saved(kept: &Kept) -> Vec<u8> {
    postcard::to_allocvec(kept).unwrap_or_default()
}
