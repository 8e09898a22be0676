//! Connections told apart by their ends, both directions of each, a bounded number of them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;

use crate::stream::{Oddities, Out, Stream};

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From who opened the connection, or if that was not seen, from the end that sent first in the file.
    Forth,
    /// The other way.
    Back,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Both ends said so.
    Closed,
    /// One end broke it.
    Reset,
    /// Another one began on the same ports.
    Replaced,
    /// There were too many, or too many bytes waited; it was the oldest.
    GivenUp,
    /// The file ended.
    Open,
}

/// What happens to connections, each under its number.
pub trait Sink {
    /// One begins; `whole` if its SYN was seen.
    fn opened(&mut self, number: u64, at: Duration, ends: (SocketAddr, SocketAddr), whole: bool);
    /// The next bytes of one direction.
    fn bytes(&mut self, number: u64, at: Duration, direction: Direction, bytes: &[u8]);
    /// Bytes that are not there.
    fn gap(&mut self, number: u64, at: Duration, direction: Direction, len: u64);
    /// One has ended.
    fn ended(&mut self, number: u64, at: Duration, how: Ending);
}

/// What connections may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections that are kept at once.
    pub flows: usize,
    /// Bytes that may wait behind the holes of one.
    pub flow_bytes: usize,
    /// Bytes that may wait in all.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { flows: 65_536, flow_bytes: 1024 * 1024, bytes: 16 * 1024 * 1024 }
    }
}

/// A TCP segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment<'a> {
    /// When it was captured, since the Unix epoch.
    pub at: Duration,
    /// Who sent it.
    pub from: SocketAddr,
    /// Whom it was for.
    pub to: SocketAddr,
    /// The sequence number of its first byte, or of SYN.
    pub seq: u32,
    /// The next byte that its sender awaits, if it says so.
    pub ack: Option<u32>,
    /// It opens the connection.
    pub syn: bool,
    /// Its sender sends no more.
    pub fin: bool,
    /// It breaks the connection.
    pub rst: bool,
    /// Its bytes, as far as they were captured.
    pub payload: &'a [u8],
    /// How many bytes the snap length has cut off.
    pub missing: usize,
}

#[derive(Debug)]
struct Flow {
    number: u64,
    forth: SocketAddr,
    streams: [Stream; 2],
    /// When it was used last, as a count; its place in the order of age.
    used: u64,
    at: Duration,
    waiting: usize,
    /// What one direction sent after it had seen what the other's hole still hides here: it waits, so that bytes come
    /// out in the order of cause and effect.
    held: VecDeque<Held>,
    held_bytes: usize,
    /// An end has broken it or both have closed; what comes now is late.
    over: Option<Ending>,
}

#[derive(Debug)]
struct Held {
    at: Duration,
    direction: usize,
    seq: u32,
    /// How far its sender had seen the other direction, as an offset.
    seen: u64,
    fin: bool,
    missing: usize,
    payload: Vec<u8>,
}

impl Flow {
    fn waiting(&self) -> usize {
        self.streams[0].waiting() + self.streams[1].waiting() + self.held_bytes
    }

    /// Makes what has waited longest wait no more: the hole before it is given up.
    fn force(&mut self, at: Duration, sink: &mut impl Sink) {
        let number = self.number;
        let Some((direction, seen)) = self.held.front().map(|held| (1 - held.direction, held.seen)) else {
            for direction in [0, 1] {
                self.streams[direction].skip(|out| tell(sink, number, at, direction, out));
            }
            return;
        };
        self.streams[direction].skip(|out| tell(sink, number, at, direction, out));
        // Guards against: a wait for what no hole accounts for, such as numbers that wrapped in the middle.
        if self.streams[direction].short_of(seen) && self.streams[direction].waiting() == 0 {
            self.held.iter_mut().take(1).for_each(|held| held.seen = 0);
        }
        self.release(sink);
    }

    /// Hands on what was held and need not wait any more.
    fn release(&mut self, sink: &mut impl Sink) {
        while let Some(front) = self.held.front() {
            if self.streams[1 - front.direction].short_of(front.seen) {
                return;
            }
            let Some(held) = self.held.pop_front() else { return };
            self.held_bytes -= held.payload.len() + size_of::<Held>();
            let number = self.number;
            let tell = |out: Out<'_>| tell(sink, number, held.at, held.direction, out);
            self.streams[held.direction].push(held.seq, &held.payload, held.missing, held.fin, tell);
        }
    }
}

const DIRECTIONS: [Direction; 2] = [Direction::Forth, Direction::Back];

fn tell(sink: &mut impl Sink, number: u64, at: Duration, direction: usize, out: Out<'_>) {
    match out {
        Out::Bytes(bytes) => sink.bytes(number, at, DIRECTIONS[direction], bytes),
        Out::Gap(len) => sink.gap(number, at, DIRECTIONS[direction], len),
    }
}

type Key = (SocketAddr, SocketAddr);

/// All connections.
#[derive(Debug)]
pub struct Flows {
    flows: HashMap<Key, Flow>,
    ages: BTreeMap<u64, Key>,
    limits: Limits,
    numbers: u64,
    uses: u64,
    waiting: usize,
    odd: Oddities,
    given_up: u64,
}

impl Flows {
    /// No connections yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            flows: HashMap::new(),
            ages: BTreeMap::new(),
            limits,
            numbers: 0,
            uses: 0,
            waiting: 0,
            odd: Oddities::default(),
            given_up: 0,
        }
    }

    /// Counts over all connections that have ended, and how many of them were given up.
    #[must_use]
    pub fn oddities(&self) -> (Oddities, u64) {
        (self.odd, self.given_up)
    }

    /// Connections begun so far.
    #[must_use]
    pub fn begun(&self) -> u64 {
        self.numbers
    }

    /// Takes a segment.
    pub fn push(&mut self, segment: &Segment<'_>, sink: &mut impl Sink) {
        let key =
            if segment.from < segment.to { (segment.from, segment.to) } else { (segment.to, segment.from) };
        let opens = segment.syn && segment.ack.is_none();
        if let Some(flow) = self.flows.get(&key) {
            let direction = usize::from(segment.from != flow.forth);
            // Guards against: two conversations on one pair of ports taken for one. A SYN of another number begins
            // a new one; the same again is a retransmission.
            let stream = &flow.streams[direction];
            let again = opens && stream.begun() && !stream.opened_by(segment.seq);
            if again || opens && flow.over.is_some() && !stream.opened_by(segment.seq) {
                self.end(key, segment.at, Ending::Replaced, sink);
            }
        }
        if !self.flows.contains_key(&key) {
            // Nothing is begun by an end, or by an acknowledgement alone.
            if segment.rst || segment.payload.is_empty() && !segment.syn {
                return;
            }
            if self.flows.len() >= self.limits.flows {
                self.give_up_oldest(segment.at, sink);
            }
            self.numbers += 1;
            // A SYN with an acknowledgement comes from the end that was connected to.
            let answers = segment.syn && segment.ack.is_some();
            let (forth, back) = if answers { (segment.to, segment.from) } else { (segment.from, segment.to) };
            let flow = Flow {
                number: self.numbers,
                forth,
                streams: Default::default(),
                used: 0,
                at: segment.at,
                waiting: 0,
                held: VecDeque::new(),
                held_bytes: 0,
                over: None,
            };
            sink.opened(flow.number, segment.at, (forth, back), segment.syn);
            self.flows.insert(key, flow);
        }
        self.touch(key);
        let Some(flow) = self.flows.get_mut(&key) else { return };
        flow.at = segment.at;
        if flow.over.is_some() {
            return;
        }
        let here = usize::from(segment.from != flow.forth);
        let number = flow.number;
        if segment.syn {
            flow.streams[here].open(segment.seq);
        }
        // Bytes behind a SYN begin one further.
        let seq = segment.seq.wrapping_add(u32::from(segment.syn));
        if let Some(ack) = segment.ack {
            let held = flow.held.iter().any(|held| held.direction != here);
            flow.streams[1 - here]
                .acked(segment.at, ack, held, |out| tell(sink, number, segment.at, 1 - here, out));
        }
        if !segment.payload.is_empty() || segment.missing > 0 || segment.fin {
            let other = &flow.streams[1 - here];
            let behind =
                |seen: &u64| other.short_of(*seen) || flow.held.iter().any(|held| held.direction == here);
            if let Some(seen) = segment.ack.and_then(|ack| other.acknowledged(ack)).filter(behind) {
                flow.held_bytes += segment.payload.len() + size_of::<Held>();
                flow.held.push_back(Held {
                    at: segment.at,
                    direction: here,
                    seq,
                    seen,
                    fin: segment.fin,
                    missing: segment.missing,
                    payload: segment.payload.to_vec(),
                });
            } else {
                let tell = |out: Out<'_>| tell(sink, number, segment.at, here, out);
                flow.streams[here].push(seq, segment.payload, segment.missing, segment.fin, tell);
            }
        }
        flow.release(sink);
        while flow.waiting() > self.limits.flow_bytes {
            flow.force(segment.at, sink);
        }
        let waiting = flow.waiting();
        self.waiting = self.waiting + waiting - flow.waiting;
        flow.waiting = waiting;
        let closed = flow.streams.iter().all(Stream::ended);
        if segment.rst || closed {
            let how = if segment.rst { Ending::Reset } else { Ending::Closed };
            self.close(key, segment.at, how, sink);
        }
        while self.waiting > self.limits.bytes && self.give_up_oldest(segment.at, sink) {}
    }

    /// The file has ended, and with it all that is still open.
    pub fn finish(&mut self, sink: &mut impl Sink) {
        while let Some((_, key)) = self.ages.pop_first() {
            let at = self.flows.get(&key).map_or(Duration::ZERO, |flow| flow.at);
            self.end(key, at, Ending::Open, sink);
        }
    }

    fn touch(&mut self, key: Key) {
        self.uses += 1;
        if let Some(flow) = self.flows.get_mut(&key) {
            self.ages.remove(&flow.used);
            flow.used = self.uses;
            self.ages.insert(self.uses, key);
        }
    }

    /// Tells of an end; the flow stays for a while, so that what comes late begins no new one.
    fn close(&mut self, key: Key, at: Duration, how: Ending, sink: &mut impl Sink) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if flow.over.is_some() {
            return;
        }
        flow.over = Some(how);
        let number = flow.number;
        while !flow.held.is_empty() {
            flow.force(at, sink);
        }
        for (direction, stream) in flow.streams.iter_mut().enumerate() {
            stream.finish(|out| tell(sink, number, at, direction, out));
            let odd = stream.oddities();
            self.odd.repeated += odd.repeated;
            self.odd.differing += odd.differing;
            self.odd.gaps += odd.gaps;
            self.odd.lost += odd.lost;
            self.odd.stray += odd.stray;
        }
        self.waiting -= std::mem::take(&mut flow.waiting);
        sink.ended(number, at, how);
    }

    fn end(&mut self, key: Key, at: Duration, how: Ending, sink: &mut impl Sink) {
        self.close(key, at, how, sink);
        if let Some(flow) = self.flows.remove(&key) {
            self.ages.remove(&flow.used);
        }
    }

    /// Guards against: connections without an end that fill the memory.
    fn give_up_oldest(&mut self, at: Duration, sink: &mut impl Sink) -> bool {
        let Some((_, key)) = self.ages.first_key_value().map(|(used, key)| (*used, *key)) else {
            return false;
        };
        let open = self.flows.get(&key).is_some_and(|flow| flow.over.is_none());
        self.given_up += u64::from(open);
        self.end(key, at, Ending::GivenUp, sink);
        true
    }
}
