//! Between what the fleet sees and what its group decides: members one way, what the group says the other. No I/O.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::{info, warn};
use yewroute_agree::{Agree, Command, Decision, Event, Head, Outcome, Peer, Place, Terms};
use yewroute_edge::Fleet as Settled;
use yewroute_federation::bridge::Decided;
use yewroute_federation::road::Ruling;
use yewroute_fleet::{
    name_number, Decided as Told, Fleet, Health, Id, Member, Row, Stage, Subject, Value, Word, MOST_VOTERS,
};

use crate::proto::console;

/// How often members are looked at when none has come or gone.
const LOOK: Duration = Duration::from_secs(1);
/// What the leader holds: whoever has it works out what is to be decided for all. Its length, in milliseconds.
const STEWARD: &str = "steward";
const STEWARD_MS: u32 = 3_000;
/// Under which the federation's table in force is decided.
const TABLE: &str = "table";
/// Answers that wait to be taken.
const MOST_ANSWERS: usize = 256;

/// This gateway's part in what is decided.
pub struct Group {
    agree: Agree,
    look_at: Instant,
    /// Words of the group that this gateway has written as its leader.
    written: u64,
    told: bool,
    steward: bool,
    /// What became of decisions that this gateway asked for.
    answers: Vec<(u64, Ruling)>,
}

fn peer(settled: &Settled, id: &Id) -> Peer {
    Peer {
        name: id.name.clone(),
        region: settled.region_of(&id.zone).unwrap_or_default().into(),
        zone: id.zone.clone(),
        addr: id.addr,
        incarnation: id.incarnation,
    }
}

fn stays(stage: Stage) -> bool {
    matches!(stage, Stage::Starting | Stage::Ready)
}

impl Group {
    /// A gateway that knows of no group yet.
    pub fn new(now: Instant, settled: &Settled, me: &Id) -> Self {
        let terms = Terms { me: peer(settled, me), seeds: settled.seeds.clone(), unix_ms: me.incarnation };
        Self {
            agree: Agree::new(now, terms),
            look_at: now,
            written: 0,
            told: false,
            steward: false,
            answers: Vec::new(),
        }
    }

    /// Has members looked at again: some came or went.
    pub fn look_again(&mut self, now: Instant) {
        self.look_at = now;
    }

    /// Takes a message that was carried.
    pub fn receive(&mut self, now: Instant, message: &[u8]) {
        self.agree.receive(now, message);
    }

    /// Takes what the group has said to all.
    pub fn heard(&mut self, now: Instant, fleet: &Fleet, row: Row) {
        let age = Duration::from_millis(row.age_ms.into());
        match row.value {
            Value::Group(word) => {
                let Word { term, leader, voters, .. } = *word;
                let members = fleet.members(now);
                let find = |number: u64| members.iter().find(|member| name_number(&member.id.name) == number);
                let name = |number: &u64| find(*number).map(|member| member.id.name.clone());
                let epoch = (row.version.0, term);
                let voters = voters.iter().filter(|number| **number != 0).filter_map(name).collect();
                let head = Head { epoch, leader: name(&leader).unwrap_or_default(), voters };
                let addr: Option<SocketAddr> = find(leader).map(|member| member.id.addr);
                self.agree.heard(now, head, addr, age);
            }
            Value::Decision(decided) => {
                let Told { key, value, lease } = *decided;
                let place = Place { generation: row.version.0, index: row.version.1 };
                let lease = Some(lease).filter(|lease| *lease != (0, 0));
                let left = lease.map_or(0, |(_, ms)| ms.saturating_sub(row.age_ms));
                let decision = Decision { value: value.into(), place, lease };
                self.agree.learn(now, &key, decision, left);
            }
            Value::Stage(_) | Value::Host { .. } | Value::Set { .. } => {}
        }
    }

    /// When it is to be called again.
    pub fn next(&self) -> Option<Instant> {
        self.agree.next()
    }

    /// This gateway goes.
    pub fn leave(&mut self, now: Instant, fleet: &mut Fleet) {
        self.agree.leave(now);
        self.flush(now, fleet);
    }

    /// Does what is due, and gives the fleet what it is to carry and tell.
    pub fn tick(&mut self, now: Instant, settled: &Settled, fleet: &mut Fleet) {
        if now >= self.look_at {
            self.look_at = now + LOOK;
            let members = fleet.members(now);
            let lives = |member: &&Member| matches!(member.health, Health::Alive | Health::Suspect);
            let fit = members.iter().skip(1).filter(lives).filter(|member| stays(member.stage));
            let others = fit.map(|member| peer(settled, &member.id)).collect();
            let me = members.first().is_some_and(|member| stays(member.stage));
            self.agree.members(fleet.me().incarnation, others, me, fleet.is_sure());
        }
        if self.agree.next().is_some_and(|at| at <= now) {
            self.agree.tick(now);
        }
        self.flush(now, fleet);
        let steward = self.agree.holds(now, STEWARD);
        if steward != std::mem::replace(&mut self.steward, steward) {
            info!(steward, "group: this gateway works out what is decided for all, or not any more");
        }
    }

    fn flush(&mut self, now: Instant, fleet: &mut Fleet) {
        while let Some(event) = self.agree.event() {
            self.on_event(now, event, fleet);
        }
        while let Some((to, message)) = self.agree.transmit() {
            fleet.carry(to, &message);
        }
    }

    fn on_event(&mut self, now: Instant, event: Event, fleet: &mut Fleet) {
        match event {
            Event::Head(head) => {
                let mut voters = [0; MOST_VOTERS];
                let numbers = head.voters.iter().map(|name| name_number(name));
                voters.iter_mut().zip(numbers).for_each(|(voter, number)| *voter = number);
                self.written += 1;
                // Terms come first, so that the word of a later leader counts; a leader has no more words in a term than fit.
                let version = (head.epoch.0, (head.epoch.1 << 32) + self.written);
                let (leader, digest) = (name_number(&head.leader), fleet.facts().digest());
                let word = Word { term: head.epoch.1, leader, voters, digest };
                fleet.write_group(now, Subject::Group, version, Value::Group(Box::new(word)));
            }
            Event::Tell(key, decision, left) => {
                let subject = Subject::Decision(name_number(&key));
                let version = (decision.place.generation, decision.place.index);
                let lease = decision.lease.map_or((0, 0), |(holder, _)| (holder, left));
                let decided = Told { key: key.into(), value: decision.value.into(), lease };
                fleet.write_group(now, subject, version, Value::Decision(Box::new(decided)));
            }
            Event::Leads(generation, term) => {
                info!(generation, term, "group: this gateway leads");
                let name = fleet.me().name.as_bytes().to_vec();
                self.agree.want(now, STEWARD, &name, STEWARD_MS);
            }
            Event::LeadsNot(generation, term) => {
                info!(generation, term, "group: this gateway does not lead any more");
                self.agree.want_not(STEWARD);
            }
            Event::Votes(votes) => info!(votes, "group: whether this gateway votes"),
            Event::SeedsDiffer(seed) => {
                if !std::mem::replace(&mut self.told, true) {
                    warn!(%seed, "group: a seed has another list of seeds; its support does not count");
                }
            }
            Event::Answered(count, Outcome::Decided(place), _) => {
                self.answered(count, Ruling::Holds((place.generation, place.index)));
            }
            Event::Answered(count, ..) => self.answered(count, Ruling::Not),
            Event::Unanswered(count) => self.answered(count, Ruling::Unknown),
        }
    }

    /// Leases' answers are among them; nobody takes them where no table is led.
    fn answered(&mut self, count: u64, ruling: Ruling) {
        if self.answers.len() >= MOST_ANSWERS {
            self.answers.clear();
        }
        self.answers.push((count, ruling));
    }

    /// Asks for a decision on the table, over the one at a place; its number comes back with the answer.
    pub fn decide_table(&mut self, now: Instant, value: Vec<u8>, over: (u64, u64)) -> Option<u64> {
        let over = Place { generation: over.0, index: over.1 };
        self.agree.ask(now, Command { key: TABLE.to_owned(), value, over, lease: None })
    }

    /// Something has become of what this gateway asked for.
    pub fn has_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// What became of what this gateway asked for.
    pub fn answers(&mut self) -> Vec<(u64, Ruling)> {
        std::mem::take(&mut self.answers)
    }

    /// What is decided on the table.
    pub fn table(&self) -> Option<Decided> {
        let (decision, _) = self.agree.read(TABLE)?;
        Some(Decided {
            place: (decision.place.generation, decision.place.index),
            value: decision.value.clone(),
        })
    }

    /// Who works out what is decided for all, as this gateway knows it, and until when it is this gateway.
    pub fn steward(&self) -> (Option<Box<str>>, Option<Instant>) {
        let name =
            self.agree.read(STEWARD).map(|(decision, _)| String::from_utf8_lossy(&decision.value).into());
        (name, self.agree.holds_until(STEWARD))
    }

    /// The group as this gateway knows it, for `GET /fleet`; nothing while there is none.
    pub fn head(&self, now: Instant) -> Option<&Head> {
        self.agree.head(now)
    }

    /// What was decided, as far as this gateway knows.
    pub fn decided(&self, now: Instant) -> Vec<console::Decided> {
        let decided = |(key, decision, until): (&str, &Decision, Option<Instant>)| console::Decided {
            key: key.to_owned(),
            value: String::from_utf8_lossy(&decision.value).into_owned(),
            place: (decision.place.generation, decision.place.index),
            held_ms: until.map(|until| {
                u64::try_from(until.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
            }),
        };
        self.agree.decisions().map(decided).collect()
    }

    /// Names and values for `GET /metrics`.
    pub fn figures(&self, now: Instant) -> Vec<(String, u64)> {
        let counts = self.agree.counts();
        let generation = self.head(now).map_or(0, |head| head.epoch.0);
        [
            ("generation", generation),
            ("leads", u64::from(self.agree.leads(now))),
            ("steward", u64::from(self.agree.holds(now, STEWARD))),
            ("decided", counts.decided.0),
            ("decided_ms", counts.decided.1),
            ("unanswered", counts.unanswered),
            ("founded", counts.founded),
            ("led", counts.led),
            ("dropped", counts.dropped),
        ]
        .map(|(name, value)| (format!("svc_group_{name}"), value))
        .into()
    }
}
