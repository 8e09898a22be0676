//! Who is in the fleet, and what each gateway says of itself: a common view without a centre.
//!
//! Membership is SWIM with suspicion, by foca; around it stand a keyed seal for each datagram ([`seal`]), rows that each
//! gateway writes of itself alone ([`facts`]), and what SWIM leaves open: names that outlive processes, leaving that is
//! told from death, and a gateway's doubt about itself after it was stopped. Nothing here does I/O, reads a clock or
//! draws from a global source: datagrams and the time come in, datagrams and events go out.
//! `docs/design/fleet-view.md` weighs this against other ways.
#![forbid(unsafe_code)]

mod body;
pub mod facts;
pub mod load;
mod member;
mod outlet;
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

    /// Takes a datagram.
    pub fn receive(&mut self, now: Instant, datagram: &[u8]) {
        if self.left || self.superseded {
            return;
        }
        self.counts.received.0 += 1;
        self.counts.received.1 += datagram.len() as u64;
        let body = self.seal.open(datagram);
        let taken = body.and_then(read);
        if let Err(why) = taken.and_then(|body| self.on_body(now, body)) {
            *self.counts.dropped.entry(why).or_default() += 1;
        }
    }

    fn on_body(&mut self, now: Instant, body: Body<'_>) -> Result<(), Dropped> {
        match body {
            Body::Swim(bytes) => {
                // Guards against: members without number, by one that has the key.
                if self.swim.iter_membership_state().len() >= MOST_MEMBERS {
                    return Err(Dropped::Full);
                }
                let mut outlet = Outlet::default();
                let taken = self.swim.handle_data(bytes, &mut outlet);
                self.take(now, outlet);
                taken.map_err(|_| Dropped::Malformed)
            }
            Body::Rows { from, rows } => {
                let (own, tells) = (self.owner, self.tells());
                let told = rows.len();
                let rows: Vec<Row> =
                    rows.into_iter().filter_map(|row| postcard::from_bytes(row).ok()).collect();
                if rows.len() < told {
                    *self.counts.dropped.entry(Dropped::Newer).or_default() += 1;
                }
                let mut strange = Vec::new();
                let decided = rows.iter().filter_map(|row| match row.subject {
                    Subject::Decision(key) => Some(key),
                    _ => None,
                });
                if let (Some((after, at)), Some(last)) = (&mut self.missed, decided.max()) {
                    (*after, *at) = (last.saturating_add(1), now);
                }
                for row in rows.into_iter().filter(|row| row.owner != own) {
                    if row.subject == Subject::Owner && !self.known.contains_key(&row.owner) {
                        strange.push(row.owner);
                    }
                    let group = (row.owner == GROUP).then(|| row.clone());
                    if self.facts.merge(now, row, tells) {
                        self.events.extend(group.map(Event::Group));
                    }
                }
                // What was told of a member passed this gateway by; its row did not.
                strange.truncate(WHO);
                if !strange.is_empty() {
                    let owners = strange;
                    self.put(from, &Body::Who { from: self.me().addr, owners });
                }
                Ok(())
            }
            Body::Who { from, owners } => {
                let mut ids = Vec::new();
                for owner in owners.iter().take(WHO) {
                    let known = self.known.get(owner).into_iter().flat_map(|addrs| addrs.iter());
                    ids.extend(known.cloned());
                }
                ids.truncate(WHO);
                self.put(from, &Body::Here(ids));
                Ok(())
            }
            Body::Here(ids) => {
                let own = self.me().addr;
                let fits = |id: &Id| id.addr != own && member::bounded(id).is_ok();
                let alive = ids.into_iter().take(WHO).filter(fits).map(foca::Member::alive);
                let mut outlet = Outlet::default();
                let taken = self.swim.apply_many(alive, false, &mut outlet);
                self.take(now, outlet);
                taken.map_err(|_| Dropped::Malformed)
            }
            Body::Decided { from, after } => {
                let word = self.facts.row(now, GROUP, Subject::Group).filter(|_| after == 0);
                let mut rows = self.facts.decided(now, after, seal::ROOM - ROWS_HEAD - GROUP_ROW);
                rows.extend(word);
                // None is the answer that there are no more.
                self.put_rows(from, &rows);
                Ok(())
            }
            Body::Carried(message) => {
                self.events.push_back(Event::Carried(message.to_vec()));
                Ok(())
            }
            Body::Suspected { id, count, from } => {
                if id == *self.me() {
                    let suspicion = foca::Member::new(id.clone(), count, State::Suspect);
                    self.apply(now, suspicion)?;
                    self.refuted_to = self.refuted_to.max(count.saturating_add(1));
                    self.put(from, &Body::Lives { id, count: self.refuted_to });
                }
                Ok(())
            }
            Body::Whom { from, parts } => {
                let own = self.parts();
                if parts.len() != PARTS {
                    return Err(Dropped::Malformed);
                }
                let differs = |number: u64| own[part_of(number)] != parts[part_of(number)];
                let known = self.known.iter().filter(|(number, _)| differs(**number));
                let me = Some(self.me()).filter(|_| differs(self.owner));
                let ids: Vec<Id> = known.flat_map(|(_, ids)| ids).chain(me).cloned().collect();
                for some in ids.chunks(WHO).take(ANSWERS) {
                    self.put(from, &Body::Here(some.to_vec()));
                }
                Ok(())
            }
            Body::Lives { id, count } => {
                member::bounded(&id).map_err(|_| Dropped::Malformed)?;
                let known = self.swim.iter_members().any(|member| *member.id() == id);
                if known && id != *self.me() {
                    self.apply(now, foca::Member::new(id, count, State::Alive))?;
                }
                Ok(())
            }
            Body::Ask { me, nonce } => {
                let known = self.swim.iter_members().any(|member| *member.id() == me);
                self.put(me.addr, &Body::Seen { nonce, alive: known });
                Ok(())
            }
            Body::Seen { nonce, alive } => {
                if alive && self.doubt.as_ref().is_some_and(|doubt| doubt.nonce == nonce) {
                    self.doubt = None;
                }
                Ok(())
            }
        }
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

    /// The end of a suspicion that is over already. Guards against: the library, which at that end tells the member that it
    /// was declared dead even if it has refuted the suspicion; it then takes a new incarnation for nothing.
    fn refuted(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let suspect = |member: &foca::Member<Id>| {
            member.state() == State::Suspect && member.incarnation() == *incarnation
        };
        !self.swim.iter_members().any(|member| member.id() == member_id && suspect(member))
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

    /// This process did not run for a while: what others seem to have missed is its own doing. All it waits for is waited
    /// for anew, and after a longer stop others are asked how they see it.
    fn on_stop(&mut self, now: Instant, late: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, n), timer)| ((at + late, n), timer)).collect();
        self.suspects.values_mut().for_each(|(_, since)| *since += late);
        if late >= STOPPED {
            self.events.push_back(Event::Stopped(late));
            if self.swim.iter_members().next().is_some() {
                self.doubt = Some(Doubt { nonce: self.rng.random(), ask_at: now });
            }
        }
    }

    fn ask(&mut self, now: Instant) {
        let Some(doubt) = &mut self.doubt else { return };
        doubt.ask_at = now + ASK_EVERY;
        let nonce = doubt.nonce;
        let others = self.swim.iter_members().map(|member| member.id().addr);
        for addr in others.choose_multiple(&mut self.rng, ASK) {
            let me = self.me().clone();
            self.put(addr, &Body::Ask { me, nonce });
        }
    }

    /// Announces itself to a seed that is no member, as at the start, or after a cut so long that all are forgotten.
    fn ask_seeds(&mut self, now: Instant) {
        let known = |addr: &SocketAddr| self.swim.iter_members().any(|member| member.id().addr == *addr);
        let alone = self.swim.iter_members().next().is_none();
        let me = self.swim.identity().addr;
        let strange = self.terms.seeds.iter().copied().filter(|addr| *addr != me && !known(addr));
        let chosen = strange.choose_multiple(&mut self.rng, if alone { ASK } else { 1 });
        for addr in chosen {
            let mut outlet = Outlet::default();
            let seed = Id { name: "".into(), zone: "".into(), addr, incarnation: 0 };
            let _ = self.swim.announce(seed, &mut outlet);
            self.take(now, outlet);
        }
    }

    /// Takes those for dead whose suspicion nobody has refuted. Guards against: one that has heard of the suspicion and
    /// not of its end, as only who raised it keeps its time.
    fn judge(&mut self, now: Instant) {
        let held = std::mem::take(&mut self.suspects);
        let suspects = self.swim.iter_members().filter(|member| member.state() == State::Suspect);
        let since = |member: &foca::Member<Id>| {
            let known = held.get(&member.id().addr).filter(|(count, _)| *count == member.incarnation());
            known.map_or(now, |(_, since)| *since)
        };
        let suspects: Vec<_> = suspects.map(|member| (member.clone(), since(member))).collect();
        let due = |since: Instant| now.saturating_duration_since(since) >= SUSPICION + SUSPICION / 2;
        let dead = suspects.iter().filter(|(_, since)| due(*since) && self.doubt.is_none());
        let dead: Vec<_> = dead
            .map(|(member, _)| foca::Member::new(member.id().clone(), member.incarnation(), State::Down))
            .collect();
        self.suspects = suspects.iter().map(|(m, since)| (m.id().addr, (m.incarnation(), *since))).collect();
        // Each is told so by some directly, at every beat. Guards against: a refutation that is lost on its way through others.
        let from = self.me().addr;
        for (member, _) in suspects.iter().choose_multiple(&mut self.rng, ASK) {
            let (id, count) = (member.id().clone(), member.incarnation());
            self.put(id.addr, &Body::Suspected { id: id.clone(), count, from });
        }
        if !dead.is_empty() {
            let mut outlet = Outlet::default();
            let _ = self.swim.apply_many(dead.into_iter(), true, &mut outlet);
            self.take(now, outlet);
        }
    }

    /// Asks one member for others: many come at once, and what is told of each reaches some too late.
    fn ask_member(&mut self, now: Instant) {
        let ids = self.swim.iter_members().map(|member| member.id());
        let Some(id) = ids.choose(&mut self.rng).cloned() else { return };
        let mut outlet = Outlet::default();
        let _ = self.swim.announce(id, &mut outlet);
        self.take(now, outlet);
    }

    /// Hashes of those that live, itself among them.
    fn parts(&self) -> Vec<u16> {
        let mut parts = vec![0_u16; PARTS];
        let mut add = |number: u64, incarnation: u64| {
            // Any mixture will do: what differs by chance alone is compared again with the next.
            let mixed = (number ^ incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            parts[part_of(number)] ^= (mixed >> 48) as u16;
        };
        add(self.owner, self.me().incarnation);
        for (number, ids) in &self.known {
            ids.iter().for_each(|id| add(*number, id.incarnation));
        }
        parts
    }

    /// Has one member say whom this gateway has missed. Guards against: waiting for the rows of those whose coming was told
    /// too seldom to reach this one; hundreds that start together would take a quarter of a minute.
    fn compare(&mut self) {
        let others = self.swim.iter_members().map(|member| member.id().addr);
        if let Some(addr) = others.choose(&mut self.rng) {
            let (from, parts) = (self.me().addr, self.parts());
            self.put(addr, &Body::Whom { from, parts });
        }
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

    /// Asks one member after another for decisions that were missed: the group's hash of all of them is another.
    fn catch_up(&mut self, now: Instant) {
        let said = match self.facts.get(now, GROUP, Subject::Group) {
            Some((Value::Group(word), _)) => Some(word.digest),
            _ => None,
        };
        let lacks = self.newcomer > 0 || said.is_some_and(|said| said != self.facts.digest());
        let Some((after, at)) = self.missed.filter(|_| lacks) else {
            self.missed = lacks.then_some((0, now + DECIDED_ASKED));
            return;
        };
        let others = self.swim.iter_members().map(|member| member.id().addr);
        let other = others.choose(&mut self.rng).filter(|_| now >= at);
        if let Some(addr) = other {
            self.newcomer = self.newcomer.saturating_sub(u32::from(after == 0));
            let from = self.me().addr;
            self.put(addr, &Body::Decided { from, after });
            // The answer moves it on; without one all is asked for again.
            self.missed = Some((0, now + DECIDED_ASKED));
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

    fn apply(&mut self, now: Instant, member: foca::Member<Id>) -> Result<(), Dropped> {
        let mut outlet = Outlet::default();
        let taken = self.swim.apply_many(std::iter::once(member), true, &mut outlet);
        self.take(now, outlet);
        taken.map_err(|_| Dropped::Malformed)
    }

    fn remember(&mut self, id: &Id) {
        let ids = self.known.entry(name_number(&id.name)).or_default();
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    fn forget_id(&mut self, id: &Id) {
        let owner = name_number(&id.name);
        if let Some(ids) = self.known.get_mut(&owner) {
            ids.retain(|known| known != id);
            if ids.is_empty() {
                self.known.remove(&owner);
            }
        }
    }

    /// Takes over what the library gave out.
    fn take(&mut self, now: Instant, outlet: Outlet) {
        for (to, data) in outlet.send {
            self.put(to.addr, &Body::Swim(&data));
        }
        for (timer, after) in outlet.timers {
            self.made += 1;
            self.timers.insert((self.beat(now + after), self.made), timer);
        }
        if outlet.rejoined {
            self.counts.returned += 1;
            self.refuted_to = 0;
            self.doubt = None;
            self.events.push_back(Event::Returned(self.me().incarnation));
            let stage = self.facts.get(now, self.owner, Subject::Owner);
            if let Some(value) = stage.map(|(value, _)| value.clone()) {
                self.write(now, Subject::Owner, value);
            }
        }
        let changed = !outlet.up.is_empty() || !outlet.down.is_empty();
        for (old, new) in outlet.renamed {
            self.forget_id(&old);
            if self.swim.iter_members().any(|member| *member.id() == new) {
                self.remember(&new);
            }
        }
        if !outlet.up.is_empty() {
            self.grew_at = now;
        }
        for id in outlet.up {
            self.remember(&id);
            self.fading.remove(&name_number(&id.name));
            let me = self.me();
            if id.name == me.name && (id.incarnation, id.addr) > (me.incarnation, me.addr) {
                self.superseded = true;
                self.events.push_back(Event::Superseded(id));
                continue;
            }
            self.facts.tell_again(self.owner, 4);
            self.events.push_back(Event::Up(id));
        }
        for id in outlet.down {
            self.forget_id(&id);
            let owner = name_number(&id.name);
            if self.known.contains_key(&owner) || id.name == self.me().name {
                continue;
            }
            self.fading.insert(owner, now + facts::FADE);
            let left =
                matches!(self.facts.get(now, owner, Subject::Owner), Some((Value::Stage(Stage::Left), _)));
            self.counts.deaths += u64::from(!left);
            let health = if left { Health::Left } else { Health::Down };
            self.events.push_back(Event::Gone(id, health));
        }
        if changed {
            let size = self.swim.num_members() + 1;
            if size.ilog2() != self.size.ilog2() {
                // It refuses only changes of the probe's times.
                let _ = self.swim.set_config(config(size));
            }
            self.size = size;
        }
    }
}

#[cfg(test)]
mod tests;
