//! Who is in the fleet, and what each gateway says of itself: a common view without a centre.
//!
//! Membership is SWIM with suspicion, by foca; around it stand a keyed seal for each datagram ([`seal`]), rows that each
//! gateway writes of itself alone ([`facts`]), and what SWIM leaves open: names that outlive processes, leaving that is
//! told from death, and a gateway's doubt about itself after it was stopped. Nothing here does I/O, reads a clock or
//! draws from a global source: datagrams and the time come in, datagrams and events go out.
//! `docs/design/fleet-view.md` weighs this against other ways.
#![forbid(unsafe_code)]

mod body;
mod compare;
mod doubt;
pub mod facts;
pub mod load;
mod member;
mod membership;
mod outlet;
mod receive;
pub mod seal;
mod view;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::{Duration, Instant};

use foca::{Config, Foca, PeriodicParams, State, Timer};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use body::{read, Body};
pub use facts::{name_number, Decided, Facts, Row, Stage, Subject, Value, Word, GROUP, MOST_VOTERS};
pub use load::Loads;
use member::Codec;
pub use member::Id;
use outlet::Outlet;
pub use seal::Dropped;
use seal::Seal;
pub use view::{Counts, Event, Health, Member, Terms};

/// How often a member is probed, how long its answer may take, and how long a suspicion may be refuted.
const PROBE_EVERY: Duration = Duration::from_millis(500);
const PROBE_ANSWER: Duration = Duration::from_millis(200);
const SUSPICION: Duration = Duration::from_secs(2);
/// How long one that is down stays listed, and is told of it.
const DOWN_LISTED: Duration = Duration::from_secs(60);
/// How often changes are passed on, and to how many at a time. All timers keep to this beat, each process to one of its own:
/// a process that wakes for one thing does the others that are due as well.
const GOSSIP_EVERY: Duration = Duration::from_millis(250);
const GOSSIP_TO: usize = 3;
/// How often those that are down are asked whether they are back, and seeds that are no members.
const DOWN_ASKED: Duration = Duration::from_millis(500);
const SEED_ASKED: Duration = Duration::from_secs(1);
/// A wake-up that comes so much too late tells that this process was stopped or starved.
const STARVED: Duration = Duration::from_millis(300);
/// After so long a stop a gateway asks how others see it before it acts on what was decided in common.
const STOPPED: Duration = Duration::from_secs(1);
/// How many it asks at a time, and how often.
const ASK: usize = 3;
const ASK_EVERY: Duration = Duration::from_millis(300);
/// How often one member is asked for some of those it knows: what was told too seldom comes by this.
const MEMBERS_ASKED: Duration = Duration::from_secs(3);
/// Into so many parts members fall for a comparison, and so many datagrams answer it.
const PARTS: usize = 64;
const ANSWERS: usize = 3;
/// While members come, and so long after, one is asked at each beat.
const GROWS: Duration = Duration::from_secs(2);
/// Changes are told as often as in a fleet of so many at the least: when all start at once each still knows few.
const LEAST_SIZE: u32 = 64;
/// Members told directly when this gateway goes.
const FAREWELLS: usize = 64;
/// Owners of rows asked after at a time; as many fit into an answer.
const WHO: usize = 24;
/// Members there may be, those listed as down included.
const MOST_MEMBERS: usize = 16_384;
/// A newcomer asks so many others for what was decided before it came.
const NEWCOMER_ASKS: u32 = 4;
/// How often a gateway that has missed decisions asks another for them.
const DECIDED_ASKED: Duration = Duration::from_secs(1);
/// Room for what stands before rows.
const ROWS_HEAD: usize = 32;
/// Room for the group's word of itself.
const GROUP_ROW: usize = 112;
/// Bytes of a message that is carried.
pub const CARRIED: usize = seal::ROOM - 8;
/// Bytes that may wait to be spent on rows.
const BURST: f64 = 4.0 * seal::LONGEST as f64;

/// The part that a name's number falls into.
fn part_of(number: u64) -> usize {
    usize::try_from(number % PARTS as u64).unwrap_or(0)
}

/// The doubt of a gateway that was stopped.
struct Doubt {
    nonce: u64,
    ask_at: Instant,
}

/// One gateway's part in the fleet.
pub struct Fleet {
    swim: Foca<Id, Codec, ChaCha8Rng, foca::NoCustomBroadcast>,
    seal: Seal,
    facts: Facts,
    terms: Terms,
    /// The number of its name.
    owner: u64,
    rng: ChaCha8Rng,
    timers: BTreeMap<(Instant, u64), Timer<Id>>,
    made: u64,
    /// Where its beat began.
    origin: Instant,
    gossip_at: Instant,
    seeds_at: Instant,
    /// When a member was last seen to come.
    grew_at: Instant,
    /// When members are compared with another's next.
    compare_at: Instant,
    doubt: Option<Doubt>,
    superseded: bool,
    left: bool,
    /// Suspected members, with the protocol's count of their refutations, and since when.
    suspects: BTreeMap<SocketAddr, (u16, Instant)>,
    /// Members that live, by the numbers of their names.
    known: BTreeMap<u64, Vec<Id>>,
    /// Members that are gone, and when their rows fade.
    fading: BTreeMap<u64, Instant>,
    spent: f64,
    spent_at: Instant,
    size: usize,
    /// Suspicions against this gateway are refuted up to here.
    refuted_to: u16,
    /// Where the next question for decisions that were missed begins, and when it is asked.
    missed: Option<(u64, Instant)>,
    /// Questions for them that are asked in any case.
    newcomer: u32,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
}

/// The library's settings for so many members.
fn config(members: usize) -> Config {
    let size = u32::try_from(members).unwrap_or(u32::MAX).max(LEAST_SIZE);
    let size = NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN);
    let few = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: PROBE_EVERY,
        probe_rtt: PROBE_ANSWER,
        num_indirect_probes: few(3),
        suspect_to_down_after: SUSPICION,
        remove_down_after: DOWN_LISTED,
        max_packet_size: few(seal::ROOM - 8),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: MEMBERS_ASKED, num_members: few(1) }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: DOWN_ASKED,
            num_members: few(2),
        }),
        // Done with the rest of what is told.
        periodic_gossip: None,
        ..Config::new_lan(size)
    }
}

impl Fleet {
    /// A gateway that knows nobody yet, and asks its seeds.
    #[must_use]
    pub fn new(now: Instant, terms: Terms) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(terms.seed);
        let stream = name_number(&format!("{} {} {}", terms.me.name, terms.me.incarnation, terms.me.addr));
        let swim = Foca::new(terms.me.clone(), config(1), ChaCha8Rng::from_rng(&mut rng), Codec);
        let mut fleet = Self {
            swim,
            seal: Seal::new(terms.key, stream),
            facts: Facts::default(),
            owner: name_number(&terms.me.name),
            rng,
            timers: BTreeMap::new(),
            made: 0,
            origin: now,
            gossip_at: now,
            seeds_at: now,
            grew_at: now,
            compare_at: now,
            doubt: None,
            superseded: false,
            left: false,
            suspects: BTreeMap::new(),
            known: BTreeMap::new(),
            fading: BTreeMap::new(),
            spent: 0.0,
            spent_at: now,
            size: 1,
            refuted_to: 0,
            missed: Some((0, now)),
            newcomer: NEWCOMER_ASKS,
            out: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            terms,
        };
        fleet.origin += GOSSIP_EVERY.mul_f64(fleet.rng.random());
        fleet.say(now, Stage::Starting);
        fleet.tick(now);
        fleet
    }

    /// Who this gateway is; its incarnation grows when it returns from being declared down.
    #[must_use]
    pub fn me(&self) -> &Id {
        self.swim.identity()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How many members live, this one included.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// The rows that are known.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// It may act on what was decided in common: it has not been stopped lately without hearing since that others see it
    /// alive, and no other process has taken its name.
    #[must_use]
    pub fn is_sure(&self) -> bool {
        self.doubt.is_none() && !self.superseded && !self.left
    }

    /// Members, this gateway first, the others by name; one of each name.
    #[must_use]
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let mut named: BTreeMap<&str, Member> = BTreeMap::new();
        for known in self.swim.iter_membership_state() {
            let (id, owner) = (known.id(), name_number(&known.id().name));
            let stage = match self.facts.get(now, owner, Subject::Owner) {
                Some((Value::Stage(stage), _)) if self.facts.incarnation(owner) >= Some(id.incarnation) => {
                    *stage
                }
                _ => Stage::Starting,
            };
            let health = match known.state() {
                State::Alive => Health::Alive,
                State::Suspect => Health::Suspect,
                State::Down if stage == Stage::Left => Health::Left,
                State::Down => Health::Down,
            };
            let member = Member { id: id.clone(), health, stage };
            let newer = |held: &Member| held.id.incarnation > id.incarnation;
            if id.name != self.me().name && !named.get(&*id.name).is_some_and(newer) {
                named.insert(&id.name, member);
            }
        }
        let stage = match self.facts.get(now, self.owner, Subject::Owner) {
            Some((Value::Stage(stage), _)) => *stage,
            _ => Stage::Starting,
        };
        let me = Member { id: self.me().clone(), health: Health::Alive, stage };
        std::iter::once(me).chain(named.into_values()).collect()
    }

    /// Says where this gateway stands.
    pub fn say(&mut self, now: Instant, stage: Stage) {
        self.write(now, Subject::Owner, Value::Stage(stage));
    }

    /// Writes a row of this gateway's own.
    pub fn write(&mut self, now: Instant, subject: Subject, value: Value) {
        let (owner, incarnation) = (self.owner, self.me().incarnation);
        let tells = self.tells();
        self.facts.write(now, owner, incarnation, subject, value, tells);
    }

    /// Writes a row of the group, as its leader; the version says which is the later.
    pub fn write_group(&mut self, now: Instant, subject: Subject, version: (u64, u64), value: Value) {
        let row = Row { owner: GROUP, subject, version, value, age_ms: 0 };
        let tells = self.tells();
        self.facts.merge(now, row, tells);
    }

    /// Carries a message to a member's address, sealed; none longer than [`CARRIED`].
    pub fn carry(&mut self, to: SocketAddr, message: &[u8]) {
        if message.len() <= CARRIED && !self.left && !self.superseded {
            self.put(to, &Body::Carried(message));
        }
    }

    /// Says that it goes, and takes no part any more.
    pub fn leave(&mut self, now: Instant) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        self.say(now, Stage::Left);
        // Told to many at once and before the library's word that it is down, so that nobody takes it for a death.
        let row = self.facts.row(now, self.owner, Subject::Owner);
        let others: Vec<SocketAddr> = self.swim.iter_members().map(|member| member.id().addr).collect();
        for addr in others.into_iter().choose_multiple(&mut self.rng, FAREWELLS) {
            self.put_rows(addr, row.as_slice());
        }
        let mut outlet = Outlet::default();
        // It fails only on an identity too long to be sent, which is refused at the start.
        let _ = self.swim.leave_cluster(&mut outlet);
        self.take(now, outlet);
        self.timers.clear();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if self.left || self.superseded {
            return;
        }
        if let Some((&(due, _), _)) = self.timers.first_key_value() {
            let late = now.saturating_duration_since(due);
            if late >= STARVED {
                self.on_stop(now, late);
            }
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            if self.refuted(&timer) {
                continue;
            }
            let mut outlet = Outlet::default();
            // An error tells that the timer is of a time before this gateway was alone, or that a probe had no time.
            let _ = self.swim.handle_timer(timer, &mut outlet);
            self.take(now, outlet);
        }
        if now >= self.gossip_at {
            self.gossip_at = self.beat(now + GOSSIP_EVERY / 2);
            if now >= self.seeds_at {
                self.seeds_at = now + SEED_ASKED;
                self.ask_seeds(now);
            }
            let grows = now.saturating_duration_since(self.grew_at) < GROWS;
            if grows {
                self.ask_member(now);
            }
            if grows || now >= self.compare_at {
                self.compare_at = now + MEMBERS_ASKED;
                self.compare();
            }
            if self.swim.updates_backlog() > 0 {
                let mut outlet = Outlet::default();
                let _ = self.swim.gossip(&mut outlet);
                self.take(now, outlet);
            }
            self.tell(now);
            self.catch_up(now);
            self.judge(now);
            let faded = |owner: &u64| self.fading.get(owner).is_some_and(|at| *at <= now);
            let gone: Vec<u64> = self.fading.keys().copied().filter(|owner| faded(owner)).collect();
            if !gone.is_empty() {
                self.facts.forget(|owner| !gone.contains(&owner));
                self.fading.retain(|owner, _| !gone.contains(owner));
            }
        }
        if self.doubt.as_ref().is_some_and(|doubt| doubt.ask_at <= now) {
            self.ask(now);
        }
    }

    /// When it is to be called again at the latest.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        if self.left || self.superseded {
            return None;
        }
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let doubt = self.doubt.as_ref().map(|doubt| doubt.ask_at);
        [timer, doubt, Some(self.gossip_at)].into_iter().flatten().min()
    }

    /// The next datagram to be sent.
    pub fn transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next thing that changed.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Passes rows on within the budget.
    fn tell(&mut self, now: Instant) {
        let earned =
            now.saturating_duration_since(self.spent_at).as_secs_f64() * f64::from(self.terms.budget);
        self.spent = (self.spent - earned).max(0.0);
        self.spent_at = now;
        let others = self.swim.iter_members().map(|member| member.id().addr);
        for addr in others.choose_multiple(&mut self.rng, GOSSIP_TO) {
            if self.spent >= BURST || !self.facts.has_news() {
                return;
            }
            let rows = self.facts.to_tell(now, seal::ROOM - ROWS_HEAD);
            let before = self.counts.sent.1;
            self.put_rows(addr, &rows);
            self.spent += (self.counts.sent.1 - before) as f64;
        }
    }

    /// The first beat from then on.
    fn beat(&self, at: Instant) -> Instant {
        let beats = at.saturating_duration_since(self.origin).div_duration_f64(GOSSIP_EVERY).ceil();
        self.origin + GOSSIP_EVERY.mul_f64(beats)
    }

    /// How often a row is told by each that hears of it, so that nearly all do: some times the logarithm of their number.
    fn tells(&self) -> u32 {
        4 + 2 * self.size.max(LEAST_SIZE as usize).ilog2()
    }

    fn put(&mut self, to: SocketAddr, body: &Body<'_>) {
        // It fails only for want of memory.
        let Ok(body) = postcard::to_allocvec(body) else { return };
        let datagram = self.seal.close(&body);
        self.counts.sent.0 += 1;
        self.counts.sent.1 += datagram.len() as u64;
        self.out.push_back((to, datagram));
    }

    fn put_rows(&mut self, to: SocketAddr, rows: &[Row]) {
        // It fails only for want of memory.
        let rows: Vec<Vec<u8>> = rows.iter().filter_map(|row| postcard::to_allocvec(row).ok()).collect();
        let rows = rows.iter().map(Vec::as_slice).collect();
        self.put(to, &Body::Rows { from: self.me().addr, rows });
    }
}

#[cfg(test)]
mod tests;
