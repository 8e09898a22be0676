//! What gateways have proven about db hosts, and what follows from it for all of them.
//!
//! The event loop keeps [`evidence`] of its own attempts; what proves something is told at once to all, who hold by [`rules`] what
//! the module takes as news. While a host is judged away one gateway at a time is given a trial there. `docs/design/verdicts.md`
//! weighs this against other ways and states the bounds.

mod clocks;
pub mod evidence;
mod measure;
pub mod rules;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tracing::info;

use crate::bridge::{now, Wish};
use crate::peers::{Incoming, Kind, Member, Question};
use crate::Context;
use measure::{Measurements, Message};
use rules::{Board, PROVEN_WITHIN};

/// Words of one zone that weigh so much together prove what they say.
pub const PROOF: u8 = 8;
/// What has come up is told together after so long.
const BATCH: Duration = Duration::from_millis(5);
/// How often a host that is judged away is tried: at first, how it grows, and at the most this part of the time that words last.
const TRY_FIRST: Duration = Duration::from_millis(500);
const TRY_LONE: Duration = Duration::from_millis(100);
const TRY_GROWS: f64 = 1.5;
const TRY_MOST: f64 = 0.6;
/// How often all is looked at though nothing has come.
const LOOK: Duration = Duration::from_millis(100);
/// Words in one message, and own words kept.
const MOST_WORDS: usize = 1_024;

/// How it is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    /// The part of a group that is judged away at once, at the most; one of two or more hosts may be in any case.
    pub share: f64,
    /// A verdict ends so long after it was last heard.
    pub expire: Duration,
}

impl Default for Settled {
    fn default() -> Self {
        Self { share: 0.34, expire: Duration::from_secs(3) }
    }
}

/// What is said of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    /// It serves.
    Well,
    /// It answers nothing.
    Hangs,
    /// It answers with errors what others serve.
    Fails,
    /// It breaks connections.
    Breaks,
    /// It takes no connection.
    Refuses,
    /// It turns requests away.
    TurnsAway,
    /// Its answers take several times as long as others'.
    Slow,
    /// It calls itself its group's primary.
    Leads,
}

impl What {
    /// Nothing is to be sent there.
    #[must_use]
    pub fn bars(self) -> bool {
        !matches!(self, Self::Well | Self::Leads)
    }
}

/// What a gateway says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// The host, by the fleet's number.
    pub host: u64,
    /// Its group.
    pub group: u64,
    /// What.
    pub what: What,
    /// How much it weighs, up to [`PROOF`].
    pub weight: u8,
    /// When the latest attempt was sent that shows it.
    pub at: Instant,
}

/// What is held of a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The host, by the fleet's number.
    pub host: u64,
    /// Its group.
    pub group: u64,
    /// What.
    pub what: What,
    /// When the latest attempt was sent that shows it.
    pub proven: Instant,
    /// When the first was.
    pub since: Instant,
    /// When it ends, if nobody says it again.
    pub until: Instant,
    /// More than one gateway says so.
    pub firm: bool,
    /// The number of this gateway's trial there; a new number is a new trial, 0 is none.
    pub trial: u64,
    /// Zones that have proven it.
    pub zones: usize,
    /// Gateways that say so.
    pub tellers: usize,
    /// Too many of its group are bad: it is asked as ever, and tried by one at a time like those judged away.
    pub spared: bool,
}

impl Held {
    fn plain(host: u64, group: u64, what: What, at: Instant) -> Self {
        Self {
            host,
            group,
            what,
            proven: at,
            since: at,
            until: at,
            firm: false,
            trial: 0,
            zones: 0,
            tellers: 0,
            spared: false,
        }
    }
}

/// What the event loop tells.
#[derive(Clone, Debug)]
pub enum News {
    /// How it is set, where that is not by default.
    Settled(Settled),
    /// The list: hosts and their groups.
    Listed(Vec<(u64, u64)>),
    /// What this gateway's requests have shown.
    Word(Word),
}

/// A word on its way: clocks differ, so it says how old it is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Said {
    host: u64,
    group: u64,
    what: What,
    weight: u8,
    ago_ms: u32,
}

/// What gateways say to each other of db hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Say {
    /// What the teller has seen, and its own time in milliseconds.
    Words(u64, Vec<Said>),
    /// The one that is told this is to try a host.
    Try(u64),
    /// What is your time?
    AskTime,
}

/// A gateway's time, by which what it says is dated.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Time {
    /// Which of its lives it is in.
    incarnation: u64,
    /// In milliseconds since its tasks began.
    now_ms: u64,
}

impl Question for Say {
    const KIND: Kind = Kind::Verdicts;
    type Answer = Time;
}

/// When a host is tried next, and by the how manieth of those in order.
struct Trial {
    at: Instant,
    pause: Duration,
    turn: usize,
    /// It serves elsewhere, so it was tried here at once.
    hurried: bool,
}

/// The task's own.
struct Judge {
    context: Context,
    settled: Settled,
    board: Board,
    /// What this gateway says itself, by host; and what of it is still to be told.
    own: BTreeMap<u64, Word>,
    fresh: Vec<Word>,
    tell_at: Option<Instant>,
    again_at: Instant,
    measurements: Measurements,
    /// Lives of members that were asked for their time.
    greeted: BTreeMap<Box<str>, u64>,
    trials: BTreeMap<u64, Trial>,
    /// Numbers of this gateway's own trials.
    tries: BTreeMap<u64, u64>,
    tried: u64,
    wished: Vec<Held>,
}

/// Tells what this gateway has proven and holds what all have, until the federation ends.
pub(crate) async fn judge(
    context: Context,
    mut news: mpsc::Receiver<News>,
    mut inbox: mpsc::Receiver<Incoming>,
) {
    let (settled, began) = (Settled::default(), now());
    let mut judge = Judge {
        context,
        settled,
        board: Board::default(),
        own: BTreeMap::new(),
        fresh: Vec::new(),
        tell_at: None,
        again_at: began + settled.expire / 3,
        measurements: Measurements::new(began),
        greeted: BTreeMap::new(),
        trials: BTreeMap::new(),
        tries: BTreeMap::new(),
        tried: 0,
        wished: Vec::new(),
    };
    let mut look_at = began + LOOK;
    let mut outlook = judge.context.outlook.clone();
    judge.greet(began);
    loop {
        // Guards against: waking for ever though nobody says anything of any host.
        let wake = judge.tell_at.into_iter().chain((!judge.rests()).then_some(look_at)).min();
        tokio::select! {
            next = news.recv() => match next {
                Some(news) => judge.learn(news),
                None => return,
            },
            said = inbox.recv() => match said {
                Some(said) => judge.hear(said),
                None => return,
            },
            Some(measured) = judge.measurements.next() => judge.measured(measured),
            Ok(()) = outlook.changed() => judge.greet(now()),
            () = sleep_until(wake.unwrap_or(look_at).into()), if wake.is_some() => look_at = now() + LOOK,
        }
        // What else has come already, so that many words are one look.
        for _ in 0..MOST_WORDS {
            if let Ok(news) = news.try_recv() {
                judge.learn(news);
            } else if let Ok(said) = inbox.try_recv() {
                judge.hear(said);
            } else {
                break;
            }
        }
        judge.turn();
    }
}

impl Judge {
    /// Nothing that is known changes with time.
    fn rests(&self) -> bool {
        self.board.is_quiet() && self.own.is_empty()
    }

    fn members(&self) -> crate::peers::Members {
        self.context.peers.members()
    }

    fn zone(&self) -> Box<str> {
        self.members().first().map_or_else(|| "".into(), |me| me.zone.clone())
    }

    fn learn(&mut self, news: News) {
        match news {
            News::Settled(settled) => self.settled = settled,
            News::Listed(hosts) => self.board.list(&hosts),
            News::Word(word) => {
                let (now, zone) = (now(), self.zone());
                let tells = match word.what {
                    What::Well => self.board.wants_well(&zone, &word),
                    What::Leads => self.board.led_by_another(&word),
                    _ => true,
                };
                self.board.hear(now, (&self.context.terms.name, &zone), word);
                if word.what != What::Leads {
                    if self.own.is_empty() {
                        self.again_at = now + self.settled.expire / 3;
                    }
                    self.own.insert(word.host, word);
                }
                if tells && self.fresh.len() < MOST_WORDS {
                    self.fresh.push(word);
                    self.tell_at = self.tell_at.or(Some(now + BATCH));
                }
            }
        }
    }

    fn hear(&mut self, said: Incoming) {
        match said.read::<Say>() {
            // Whoever asks: it may be listed here a little later.
            Some(Say::AskTime) => {
                let now_ms = self.measurements.time(now());
                said.reply::<Say>(&Time { incarnation: self.context.terms.incarnation, now_ms });
            }
            Some(Say::Words(sent_ms, words)) => {
                let own = said.from == self.context.terms.name;
                if own || words.is_empty() || !self.is_member(&said.from) {
                    return;
                }
                let message = Message { incarnation: said.incarnation, sent_ms, came: now(), said: words };
                let patience = self.settled.expire;
                let known = self.measurements.hold(&self.context, &said.from, message, patience);
                if let Some(message) = known {
                    self.take_words(&said.from, message);
                }
            }
            Some(Say::Try(host)) => {
                if !self.is_member(&said.from) {
                    return;
                }
                self.tried += 1;
                self.tries.insert(host, self.tried);
                self.context.shared.figures.trials.fetch_add(1, Ordering::Relaxed);
            }
            None => {}
        }
    }

    fn is_member(&self, name: &str) -> bool {
        self.members().iter().any(|member| *member.name == *name)
    }

    /// A gateway has told its time, or could not be asked: what waited for it is taken as far as its age is known.
    fn measured(&mut self, measured: measure::Measured) {
        let (name, waited) = self.measurements.learn(measured);
        waited.into_iter().for_each(|message| self.take_words(&name, message));
    }

    fn take_words(&mut self, name: &str, message: Message) {
        let members = self.members();
        let Some(from) = members.iter().find(|member| *member.name == *name) else { return };
        // Guards against: a word that was long on its way and passes for a new one.
        let Some(late) = self.measurements.age(name, &message).filter(|late| *late < self.settled.expire)
        else {
            return;
        };
        for said in message.said.into_iter().take(MOST_WORDS) {
            let age = late + Duration::from_millis(said.ago_ms.into());
            let Some(at) = message.came.checked_sub(age) else { continue };
            let Said { host, group, what, weight, .. } = said;
            self.board.hear(message.came, (&from.name, &from.zone), Word { host, group, what, weight, at });
        }
    }

    /// Tells what is due, holds what follows, hands out trials.
    fn turn(&mut self) {
        let now = now();
        self.board.expire(now, self.settled.expire);
        if self.tell_at.is_some_and(|at| now >= at) {
            self.tell_at = None;
            let words = std::mem::take(&mut self.fresh);
            self.tell(now, &words);
        }
        if now >= self.again_at {
            self.again_at = now + self.settled.expire / 3;
            // Nothing is told on that nobody has shown for a while, or that a served request has refuted.
            let proven = |word: &Word| self.board.proven(word.host).max(Some(word.at));
            let fresh = |at: Instant| now.saturating_duration_since(at) < self.settled.expire * PROVEN_WITHIN;
            self.own.retain(|_, word| word.what != What::Well && proven(word).is_some_and(fresh));
            let words: Vec<Word> = self.own.values().copied().collect();
            words
                .iter()
                .for_each(|word| self.board.hear(now, (&self.context.terms.name, &self.zone()), *word));
            self.tell(now, &words);
        }
        let zone = self.zone();
        let mut held = self.board.judge(now, &zone, &self.settled, self.members().len());
        self.hand_out_trials(now, &zone, &held);
        for held in held.iter_mut().filter(|held| held.what.bars()) {
            held.trial = self.tries.get(&held.host).copied().unwrap_or(0);
        }
        self.tries.retain(|host, _| held.iter().any(|held| held.host == *host && held.what.bars()));
        if held != self.wished {
            self.log_change(now, &held);
            let away = held.iter().filter(|held| held.what.bars() && !held.spared).count();
            self.context.shared.figures.away.store(away as u64, Ordering::Relaxed);
            self.wished.clone_from(&held);
            self.context.wish(Wish::Verdicts(held));
        }
    }

    /// Says which hosts begin or cease to be judged away, by how many, and how old the proof is.
    fn log_change(&self, now: Instant, held: &[Held]) {
        let away = |of: &Held| of.what.bars() && !of.spared;
        let listed = |all: &[Held], host: u64| all.iter().any(|of| of.host == host && away(of));
        for of in held.iter().filter(|of| away(of) && !listed(&self.wished, of.host)) {
            let age_ms = now.saturating_duration_since(of.proven).as_millis();
            let (host, own) = (format!("{:016x}", of.host), self.own.contains_key(&of.host));
            info!(
                host,
                zones = of.zones,
                tellers = of.tellers,
                own,
                age_ms,
                "verdicts: a db host is judged away"
            );
        }
        for of in self.wished.iter().filter(|of| away(of) && !listed(held, of.host)) {
            let host = format!("{:016x}", of.host);
            info!(host, "verdicts: a db host is not judged away any more");
        }
    }

    /// Asks each new life of a member for its time, so that its first words need not wait for it.
    fn greet(&mut self, now: Instant) {
        let members = self.members();
        let lives = |name: &str| members.iter().find(|member| *member.name == *name).map(|m| m.incarnation);
        self.measurements.forget_absent(now, |name| lives(name).is_some());
        self.greeted.retain(|name, life| lives(name) == Some(*life));
        for member in members.iter().skip(1) {
            if self.greeted.insert(member.name.clone(), member.incarnation).is_none() {
                self.measurements.ask(&self.context, &member.name, self.settled.expire);
            }
        }
    }

    fn tell(&self, now: Instant, words: &[Word]) {
        if words.is_empty() {
            return;
        }
        let said = |word: &Word| Said {
            host: word.host,
            group: word.group,
            what: word.what,
            weight: word.weight,
            ago_ms: u32::try_from(now.saturating_duration_since(word.at).as_millis()).unwrap_or(u32::MAX),
        };
        let say = Say::Words(self.measurements.time(now), words.iter().take(MOST_WORDS).map(said).collect());
        for member in self.members().iter().skip(1) {
            // Lost if too much waits there already; it is told again.
            let _ = self.context.peers.tell(&member.name, &say);
        }
        self.context.shared.figures.told.fetch_add(1, Ordering::Relaxed);
    }

    /// Where this gateway is the one that hands out a host's trials, gives the next one when it is due: one at a time in each zone
    /// that has proven it, or in the whole fleet where that is known of two.
    fn hand_out_trials(&mut self, now: Instant, zone: &str, held: &[Held]) {
        let members = self.members();
        self.trials.retain(|host, _| held.iter().any(|held| held.host == *host && held.what.bars()));
        for held in held.iter().filter(|held| held.what.bars()) {
            let serves_elsewhere = self.board.served_since(held.host, held.proven);
            let order = order(&members, held, zone, held.zones >= 2 && !serves_elsewhere);
            if order.first() != Some(&&*self.context.terms.name) {
                self.trials.remove(&held.host);
                continue;
            }
            let pause = if held.firm { TRY_FIRST } else { TRY_LONE };
            let first = Trial { at: now + pause, pause: TRY_FIRST, turn: 1, hurried: false };
            let trial = self.trials.entry(held.host).or_insert(first);
            let hurries = serves_elsewhere && !std::mem::replace(&mut trial.hurried, serves_elsewhere);
            if now < trial.at && !hurries {
                continue;
            }
            let who = order[trial.turn % order.len()];
            trial.turn += 1;
            trial.at = now + trial.pause;
            trial.pause = trial.pause.mul_f64(TRY_GROWS).min(self.settled.expire.mul_f64(TRY_MOST));
            let _ = self.context.peers.tell(who, &Say::Try(held.host));
        }
    }
}

/// Who may try a host, in an order that all agree on: of one zone, or of the whole fleet once two zones have proven it.
fn order<'a>(members: &'a [Member], held: &Held, zone: &str, whole: bool) -> Vec<&'a str> {
    let may = |member: &&Member| member.stays && (whole || *member.zone == *zone);
    let rank = |member: &&Member| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&held.host.to_le_bytes()).update(member.name.as_bytes());
        *hasher.finalize().as_bytes()
    };
    let mut able: Vec<&Member> = members.iter().filter(may).collect();
    able.sort_by_cached_key(rank);
    able.into_iter().map(|member| &*member.name).collect()
}
