//! What gateways decide once for all: small values under keys, some held by a lease, in one order.
//!
//! A few members vote, by Raft with its log in memory ([`voters`] says which); a seed's support keeps two groups of voters
//! from deciding at once ([`support`]); each decision stands at a place of its own ([`state`]). Nothing here does I/O, reads
//! a clock or draws from a source of its own. `docs/design/agree.md` argues why it is safe without a disk, and what is lost
//! when most voters go at once.
#![forbid(unsafe_code)]

mod founding;
mod leading;
mod leases;
mod node;
mod requests;
pub mod state;
pub mod support;
mod view;
pub mod voters;
mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use raft::eraftpb::{ConfChangeType, MessageType};

use node::{Applied, Node};
pub use state::{Command, Decision, Outcome, Place, Ticket};
use state::{State, LONGEST_LEASE, MOST_KEYS};
use support::{Grantor, Support};
pub use view::{Counts, Event, Head, Terms};
pub use voters::Peer;
use voters::Step;
use wire::{Body, Joiner, Part};

/// How often seeds are asked for their support.
const SUPPORT_EVERY: Duration = Duration::from_secs(1);
/// How often one that founds a group asks them, and how long it tries.
const FOUND_EVERY: Duration = Duration::from_millis(300);
const FOUND_FOR: Duration = Duration::from_secs(2);
/// No group was heard of for so long: one may be founded, by the first of those that would, then by the next.
const QUIET: Duration = Duration::from_secs(10);
const NEXT_FOUNDER: Duration = Duration::from_millis(2_500);
/// No gateway waits for more than so many others that would found one.
const MOST_WAIT: usize = 64;
/// How often the leader says that its group is there, and a lease's new end.
const HEAD_EVERY: Duration = Duration::from_secs(5);
/// So long a word of the leader counts.
const HEAD_GOOD: Duration = Duration::from_secs(12);
/// How often a request is sent again, and for how long.
const AGAIN: Duration = Duration::from_millis(300);
const ASKED_FOR: Duration = Duration::from_secs(5);
/// Requests of this gateway's own, and of others at the leader.
const MOST_ASKED: usize = 64;
const MOST_SERVED: usize = 256;
/// Where a holder's own count of its lease ends, against what all others count: clocks do not run alike.
const HOLDER: f64 = 0.9;

/// A request of this gateway's own.
struct Asked {
    command: Command,
    first: Instant,
    again_at: Instant,
}

/// A lease this gateway wants.
struct Want {
    value: Vec<u8>,
    ms: u32,
    over: Place,
    until: Option<Instant>,
    next_at: Instant,
    asked: Option<u64>,
}

/// What was told of a decision last.
struct Told {
    decision: Decision,
    at: Instant,
}

/// One gateway's part in what is decided.
pub struct Agree {
    terms: Terms,
    number: u64,
    origin: Instant,
    seeds: u64,
    grantor: Grantor,
    support: Support,
    support_at: Instant,
    founding: Option<(u64, Instant)>,
    node: Option<Node>,
    /// Seats up to here, by generation and place, are never taken again by this process.
    floor: (u64, u64),
    /// The newest generation heard of.
    highest: u64,
    head: Option<(Head, Option<SocketAddr>, Instant)>,
    quiet_since: Instant,
    /// Members that live and stay, and whether this one does.
    others: Vec<Peer>,
    /// Of those, how many would found a group before this one.
    before: u32,
    stays: bool,
    sure: bool,
    joiner: Joiner,
    sent: u64,
    led: Option<(u64, u64)>,
    led_at: Instant,
    voted: bool,
    opens_at: Instant,
    ends: BTreeMap<String, Instant>,
    known: BTreeMap<String, (Decision, Option<Instant>)>,
    told: BTreeMap<String, Told>,
    head_told: Option<(Head, Instant)>,
    asked: BTreeMap<u64, Asked>,
    count: u64,
    wants: BTreeMap<String, Want>,
    served: BTreeMap<Ticket, (SocketAddr, Instant)>,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
}

fn number(of: &[u8]) -> u64 {
    let hash = blake3::hash(of);
    // Raft's numbers begin at 1.
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default()).max(1)
}

fn seat_number(peer: &Peer, generation: u64, term: u64, index: u64) -> u64 {
    number(format!("{} {} {} {generation} {term} {index}", peer.name, peer.addr, peer.incarnation).as_bytes())
}

impl Agree {
    /// A gateway that knows of no group yet.
    #[must_use]
    pub fn new(now: Instant, terms: Terms) -> Self {
        let mut seeds = terms.seeds.clone();
        seeds.sort_unstable();
        let number_of = format!("{} {}", terms.me.name, terms.me.incarnation);
        Self {
            number: number(number_of.as_bytes()),
            origin: now,
            seeds: number(format!("{seeds:?}").as_bytes()),
            grantor: Grantor::new(now),
            support: Support::default(),
            support_at: now,
            founding: None,
            node: None,
            floor: (0, 0),
            highest: 0,
            head: None,
            // Seeds support nobody before; one that knows of no group need not wait longer.
            quiet_since: now.checked_sub(QUIET.saturating_sub(support::HELD)).unwrap_or(now),
            others: Vec::new(),
            before: 0,
            stays: false,
            sure: false,
            joiner: Joiner::default(),
            sent: 0,
            led: None,
            led_at: now,
            voted: false,
            opens_at: now,
            ends: BTreeMap::new(),
            known: BTreeMap::new(),
            told: BTreeMap::new(),
            head_told: None,
            asked: BTreeMap::new(),
            count: 0,
            wants: BTreeMap::new(),
            served: BTreeMap::new(),
            out: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            terms,
        }
    }

    /// What is known of the fleet: the others that live and stay, whether this one stays, and whether it is sure of itself.
    pub fn members(&mut self, incarnation: u64, others: Vec<Peer>, stays: bool, sure: bool) {
        self.terms.me.incarnation = incarnation;
        (self.others, self.stays, self.sure) = (others, stays, sure);
        // Seeds first: they are known to all.
        let order = |peer: &Peer| (!self.terms.seeds.contains(&peer.addr), peer.addr);
        let me = order(&self.terms.me);
        let before = self.others.iter().filter(|peer| order(peer) < me).count();
        self.before = u32::try_from(before.min(MOST_WAIT)).unwrap_or(0);
    }

    /// Takes what a leader has said of its group, told so long ago; `leader` is where it is, if it is a member.
    pub fn heard(&mut self, now: Instant, head: Head, leader: Option<SocketAddr>, age: Duration) {
        let at = now.checked_sub(age).unwrap_or(now);
        self.highest = self.highest.max(head.epoch.0);
        if self.head.as_ref().is_some_and(|(known, _, when)| (known.epoch, *when) > (head.epoch, at)) {
            return;
        }
        self.quiet_since = self.quiet_since.max(at);
        if self.node.as_ref().is_some_and(|node| node.generation < head.epoch.0) {
            self.drop_node();
        }
        self.head = Some((head, leader, at));
    }

    /// Takes a decision as it was told.
    pub fn learn(&mut self, now: Instant, key: &str, decision: Decision, left_ms: u32) {
        let until = decision.lease.map(|_| now + Duration::from_millis(left_ms.into()));
        let newer = self.known.get(key).is_none_or(|(known, _)| known.place < decision.place);
        if newer && (self.known.len() < 2 * MOST_KEYS || self.known.contains_key(key)) {
            self.known.insert(key.to_owned(), (decision, until));
        }
    }

    /// What was decided under a key, as far as this gateway knows, and when its lease ends.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<(&Decision, Option<Instant>)> {
        self.known.get(key).map(|(decision, until)| (decision, *until))
    }

    /// All that was decided, as far as this gateway knows.
    pub fn decisions(&self) -> impl Iterator<Item = (&str, &Decision, Option<Instant>)> {
        self.known.iter().map(|(key, (decision, until))| (key.as_str(), decision, *until))
    }

    /// The group as this gateway knows it; nothing if it has not been heard of lately.
    #[must_use]
    pub fn head(&self, now: Instant) -> Option<&Head> {
        let (head, _, at) = self.head.as_ref()?;
        (now.saturating_duration_since(*at) < HEAD_GOOD).then_some(head)
    }

    /// Who it is for the holders of leases.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It leads, and may decide.
    #[must_use]
    pub fn leads(&self, now: Instant) -> bool {
        let supported = || self.support.until(&self.terms.seeds).is_some_and(|until| now < until);
        self.sure && self.node.as_ref().is_some_and(Node::is_settled) && supported()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This gateway goes: another leads.
    pub fn leave(&mut self, now: Instant) {
        self.stays = false;
        if let Some(node) = self.node.as_mut().filter(|node| node.leads()) {
            node.hand_over(now);
        }
        self.pump(now);
    }

    /// The next message, for a member at an address.
    pub fn transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next thing that came of it.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When it is to be called again.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        if self.terms.seeds.is_empty() {
            return None;
        }
        let node = self.node.as_ref().map(|node| node.tick_at);
        let founding = self.founding.map(|_| self.support_at);
        let may = self.sure && self.stays && self.founding.is_none();
        let found = self.found_at().filter(|_| may);
        let asked = self.asked.values().map(|asked| asked.again_at).min();
        let wants = self.wants.values().filter(|want| want.asked.is_none()).map(|want| want.next_at).min();
        [node, founding, found, asked, wants].into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if self.terms.seeds.is_empty() {
            return;
        }
        if self.node.as_ref().is_some_and(|node| node.tick_at <= now) {
            if let Some(node) = &mut self.node {
                node.tick(now);
            }
            self.pump(now);
            self.lead(now);
        }
        let silent = |node: &Node| !node.leads() && now.saturating_duration_since(node.heard) >= QUIET;
        if self.node.as_ref().is_some_and(silent) && self.head(now).is_some() {
            // Its group goes on without it.
            self.drop_node();
        }
        self.found(now);
        self.send_asked(now);
        self.keep(now);
        self.served.retain(|_, (_, at)| now.saturating_duration_since(*at) < ASKED_FOR);
    }

    /// Takes a message; false if it is none.
    pub fn receive(&mut self, now: Instant, message: &[u8]) -> bool {
        let Ok(body) = postcard::from_bytes::<Body>(message) else {
            self.counts.dropped += 1;
            return false;
        };
        match body {
            Body::Ask { generation, seeds, at, from } => {
                let differs = seeds != self.seeds;
                let granted = !differs && generation >= self.highest && self.grantor.ask(now, generation);
                let highest = self.highest.max(self.grantor.highest());
                let by = self.terms.me.addr;
                self.put(from, &Body::Support { generation, at, granted, highest, differs, by });
            }
            Body::Support { generation, at, granted, highest, differs, by } => {
                self.highest = self.highest.max(highest);
                if differs {
                    self.events.push_back(Event::SeedsDiffer(by));
                }
                let of_node = self.node.as_ref().map(|node| node.generation);
                let own = self.founding.map(|(generation, _)| generation).or(of_node) == Some(generation);
                let asked = self.origin + Duration::from_micros(at);
                if granted && own && self.terms.seeds.contains(&by) && asked <= now {
                    self.support.granted(by, asked);
                    self.try_found(now);
                }
            }
            Body::Raft(part) => self.on_part(now, &part),
            Body::Please { ticket, from, command } => self.serve(now, ticket, from, command),
            Body::Answer { ticket, outcome } => self.on_answer(now, ticket, outcome),
        }
        true
    }

    fn on_part(&mut self, now: Instant, part: &Part) {
        let known = self.node.as_ref().map(|node| (node.generation, node.number));
        if known != Some((part.generation, part.to)) && !self.may_sit(part) {
            return;
        }
        let Some(bytes) = self.joiner.take(part) else { return };
        let Some(message) = wire::read(part.from.0, part.to, &bytes) else {
            self.counts.dropped += 1;
            return;
        };
        if known != Some((part.generation, part.to)) {
            let kind = message.get_msg_type();
            if !matches!(kind, MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot)
            {
                return;
            }
            self.drop_node();
            self.highest = self.highest.max(part.generation);
            self.floor = (part.generation, part.seat.0);
            self.founding = None;
            self.node = Node::learner(now, part.generation, part.to).ok();
            // It may have to lead before it has heard whether leases are given yet.
            self.opens_at = now + Duration::from_millis(LONGEST_LEASE.into());
        }
        if let Some(node) = &mut self.node {
            if !node.step(now, part.from, message) {
                self.counts.dropped += 1;
            }
        }
        self.pump(now);
    }

    /// Whether this process may take the seat that a leader gives it: one made for it, and none it has had before. A process
    /// that was started anew has a later incarnation than the seats of the one before it.
    fn may_sit(&self, part: &Part) -> bool {
        let mine = part.seat.1 == self.terms.me.incarnation;
        mine && part.seat.0 > 0
            && (part.generation, part.seat.0) > self.floor
            && part.generation >= self.highest
    }

    fn drop_node(&mut self) {
        if let Some(node) = self.node.take() {
            let seat = node.kept.seats.get(&node.number).map_or(0, |(_, at)| *at);
            self.floor = self.floor.max((node.generation, seat));
            self.served.clear();
        }
    }

    /// Takes over what the voter has done.
    fn pump(&mut self, now: Instant) {
        let Some(node) = &mut self.node else {
            self.say_changes();
            return;
        };
        let (messages, applied) = (node.take_messages(), node.take_applied());
        let (generation, number, leads) = (node.generation, node.number, node.leads());
        let places: Vec<_> = messages.iter().map(|message| node.place_of(message.to)).collect();
        let removed = !node.kept.seats.is_empty() && !node.kept.seats.contains_key(&number);
        for (message, place) in messages.iter().zip(places) {
            let (Some((addr, seat)), Some(bytes)) = (place, wire::write(message)) else { continue };
            self.sent += 1;
            let from = (number, self.terms.me.addr);
            let head =
                Part { generation, seat, from, to: message.to, part: (self.sent, 0, 0), bytes: Vec::new() };
            for part in wire::parts(&head, &bytes) {
                self.put(addr, &Body::Raft(part));
            }
        }
        for applied in applied {
            if let Applied::Answer(ticket, outcome) = applied {
                if let Some((to, _)) = self.served.remove(&ticket) {
                    self.answer(now, ticket, to, outcome);
                }
            }
        }
        self.take_state(now);
        let epoch = self.node.as_ref().map(|node| (node.generation, node.term()));
        if leads && self.led != epoch {
            self.served.clear();
            self.told.clear();
            (self.head_told, self.support_at, self.led_at) = (None, now, now);
        }
        if removed {
            self.drop_node();
        }
        self.say_changes();
    }

    /// Brings what is known, and when leases end, up to what the voter has applied. Each voter counts a lease from when it
    /// applied it itself, which is after its holder asked for it: whoever leads next need not know when it began.
    fn take_state(&mut self, now: Instant) {
        let Some(node) = &self.node else { return };
        for (key, decision) in node.kept.state.iter() {
            let known = self.known.get(key);
            let changed = known.is_none_or(|(known, _)| known.place < decision.place);
            let end = decision.lease.map(|(_, ms)| now + Duration::from_millis(ms.into()));
            if changed {
                self.known.insert(key.to_owned(), (decision.clone(), end));
            }
            match end {
                Some(end) if changed || !self.ends.contains_key(key) => {
                    self.ends.insert(key.to_owned(), end);
                }
                None => {
                    self.ends.remove(key);
                }
                Some(_) => {}
            }
        }
    }

    fn say_changes(&mut self) {
        let leads = self.node.as_ref().filter(|node| node.leads()).map(|node| (node.generation, node.term()));
        if leads != self.led {
            if let Some((generation, term)) = self.led {
                self.events.push_back(Event::LeadsNot(generation, term));
            }
            if let Some((generation, term)) = leads {
                self.counts.led += 1;
                self.events.push_back(Event::Leads(generation, term));
            }
            self.led = leads;
        }
        let votes = self.node.as_ref().is_some_and(Node::votes);
        if votes != std::mem::replace(&mut self.voted, votes) {
            self.events.push_back(Event::Votes(votes));
        }
    }

    fn put(&mut self, to: SocketAddr, body: &Body) {
        // It fails only for want of memory.
        if let Ok(bytes) = postcard::to_allocvec(body) {
            self.out.push_back((to, bytes));
        }
    }
}

#[cfg(test)]
mod tests;
