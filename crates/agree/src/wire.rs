//! What voters, seeds and askers say to each other. Raft's messages are written field by field: what comes from the network is
//! never given to the library's own decoder.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, MessageType, Snapshot,
};
use serde::{Deserialize, Serialize};

use crate::state::{Command, Outcome, Ticket};

/// Bytes of a message in one datagram.
const PART: usize = 900;
/// Parts a message may have; the largest state takes fewer.
const MOST_PARTS: usize = 160;
/// Messages of which some parts are there.
const MOST_OPEN: usize = 8;

/// One thing said.
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Does the seed support this generation? `seeds` is a hash of the asker's list, `at` the asker's own mark.
    Ask { generation: u64, seeds: u64, at: u64, from: SocketAddr },
    /// Whether it does, and the newest generation it knows of; nothing of it counts if the lists differ.
    Support { generation: u64, at: u64, granted: bool, highest: u64, differs: bool, by: SocketAddr },
    /// A part of a message between voters.
    Raft(Part),
    /// Decide this.
    Please { ticket: Ticket, from: SocketAddr, command: Command },
    /// What became of it.
    Answer { ticket: Ticket, outcome: Outcome },
}

/// A part of a message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Part {
    /// The generation of their group.
    pub generation: u64,
    /// The place in the log at which the receiver was made a voter, and the incarnation it had.
    pub seat: (u64, u64),
    /// Who sends, by its number, and from where.
    pub from: (u64, SocketAddr),
    /// Who is meant, by its number.
    pub to: u64,
    /// The sender's count of messages, which part this is, and of how many.
    pub part: (u64, u16, u16),
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Cuts a message into parts.
pub fn parts(head: &Part, bytes: &[u8]) -> Vec<Part> {
    let of = u16::try_from(bytes.len().div_ceil(PART)).unwrap_or(u16::MAX);
    let chunks = bytes.chunks(PART).zip(0..);
    chunks
        .map(|(chunk, n)| Part { part: (head.part.0, n, of), bytes: chunk.to_vec(), ..head.clone() })
        .collect()
}

/// Of how many parts a message is, and those that are there.
type Open = (u16, BTreeMap<u16, Vec<u8>>);

/// Puts parts together again.
#[derive(Debug, Default)]
pub struct Joiner {
    open: BTreeMap<(u64, u64), Open>,
}

impl Joiner {
    /// Takes a part; the whole message if it was the last that was missing.
    pub fn take(&mut self, part: &Part) -> Option<Vec<u8>> {
        let (count, n, of) = part.part;
        if of == 1 {
            return Some(part.bytes.clone());
        }
        if n >= of || usize::from(of) > MOST_PARTS || part.bytes.len() > PART {
            return None;
        }
        let key = (part.from.0, count);
        // Guards against: messages of which the rest never comes.
        if !self.open.contains_key(&key) && self.open.len() >= MOST_OPEN {
            self.open.pop_first();
        }
        let (whole, held) = self.open.entry(key).or_insert((of, BTreeMap::new()));
        if *whole != of {
            return None;
        }
        held.insert(n, part.bytes.clone());
        if held.len() < usize::from(of) {
            return None;
        }
        let (_, held) = self.open.remove(&key)?;
        Some(held.into_values().flatten().collect())
    }
}

/// What an entry of the log does.
#[derive(Serialize, Deserialize)]
enum What {
    Nothing,
    Data { context: Vec<u8>, data: Vec<u8> },
    Change { kind: u8, number: u64, context: Vec<u8> },
}

#[derive(Serialize, Deserialize)]
struct Saved {
    index: u64,
    term: u64,
    voters: Vec<u64>,
    learners: Vec<u64>,
    data: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Said {
    kind: u8,
    term: u64,
    log: (u64, u64),
    commit: (u64, u64),
    reject: Option<u64>,
    request_snapshot: u64,
    context: Vec<u8>,
    entries: Vec<(u64, u64, What)>,
    snapshot: Option<Saved>,
}

/// Kinds of messages that go between processes, by their place here.
const KINDS: [MessageType; 11] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgUnreachable,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];
const CHANGES: [ConfChangeType; 3] =
    [ConfChangeType::AddNode, ConfChangeType::RemoveNode, ConfChangeType::AddLearnerNode];

/// A change of voters out of an entry.
pub fn change_of(entry: &Entry) -> Option<ConfChange> {
    let mut change = ConfChange::default();
    change.merge_from_bytes(entry.get_data()).ok().map(|()| change)
}

fn what_of(entry: &Entry) -> Option<What> {
    if entry.get_entry_type() == EntryType::EntryNormal {
        let (context, data) = (entry.get_context().to_vec(), entry.get_data().to_vec());
        return Some(if data.is_empty() { What::Nothing } else { What::Data { context, data } });
    }
    let change = change_of(entry)?;
    let kind = CHANGES.iter().position(|kind| *kind == change.get_change_type())?;
    let kind = u8::try_from(kind).ok()?;
    Some(What::Change { kind, number: change.get_node_id(), context: change.get_context().to_vec() })
}

fn entry_of((index, term, what): (u64, u64, What)) -> Option<Entry> {
    let mut entry = Entry::default();
    (entry.index, entry.term) = (index, term);
    match what {
        What::Nothing => {}
        What::Data { context, data } => {
            entry.set_context(context.into());
            entry.set_data(data.into());
        }
        What::Change { kind, number, context } => {
            let mut change = ConfChange::default();
            change.set_change_type(*CHANGES.get(usize::from(kind))?);
            change.set_node_id(number);
            change.set_context(context.into());
            entry.set_entry_type(EntryType::EntryConfChange);
            entry.set_data(change.write_to_bytes().ok()?.into());
        }
    }
    Some(entry)
}

/// Writes a message; nothing for one that does not go between processes.
pub fn write(message: &Message) -> Option<Vec<u8>> {
    let kind = KINDS.iter().position(|kind| *kind == message.get_msg_type())?;
    let entries = message.get_entries().iter();
    let entries: Option<Vec<_>> = entries.map(|e| Some((e.index, e.term, what_of(e)?))).collect();
    let snapshot = (message.get_msg_type() == MessageType::MsgSnapshot).then(|| {
        let snapshot = message.get_snapshot();
        let meta = snapshot.get_metadata();
        Saved {
            index: meta.index,
            term: meta.term,
            voters: meta.get_conf_state().voters.clone(),
            learners: meta.get_conf_state().learners.clone(),
            data: snapshot.get_data().to_vec(),
        }
    });
    let said = Said {
        kind: u8::try_from(kind).ok()?,
        term: message.term,
        log: (message.index, message.log_term),
        commit: (message.commit, message.commit_term),
        reject: message.reject.then_some(message.reject_hint),
        request_snapshot: message.request_snapshot,
        context: message.get_context().to_vec(),
        entries: entries?,
        snapshot,
    };
    postcard::to_allocvec(&said).ok()
}

/// Reads a message from one to another.
pub fn read(from: u64, to: u64, bytes: &[u8]) -> Option<Message> {
    let said: Said = postcard::from_bytes(bytes).ok()?;
    let mut message = Message::default();
    message.set_msg_type(*KINDS.get(usize::from(said.kind))?);
    (message.from, message.to, message.term) = (from, to, said.term);
    (message.index, message.log_term) = said.log;
    (message.commit, message.commit_term) = said.commit;
    (message.reject, message.reject_hint) = (said.reject.is_some(), said.reject.unwrap_or(0));
    message.request_snapshot = said.request_snapshot;
    message.set_context(said.context.into());
    let entries: Option<Vec<Entry>> = said.entries.into_iter().map(entry_of).collect();
    message.set_entries(entries?.into());
    if (message.get_msg_type() == MessageType::MsgSnapshot) != said.snapshot.is_some() {
        return None;
    }
    if let Some(saved) = said.snapshot {
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (saved.index, saved.term);
        meta.set_conf_state(ConfState {
            voters: saved.voters,
            learners: saved.learners,
            ..ConfState::default()
        });
        snapshot.set_data(saved.data.into());
        message.set_snapshot(snapshot);
    }
    Some(message)
}
