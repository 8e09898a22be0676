//! Limits of the whole fleet: a keeper for each hands out allotments under leases, and each gateway spends only its own.
//!
//! [`share`] and [`keeper`] decide and know no clock; [`meter`] is what the event loop spends from; [`ask`] asks for this
//! gateway, one task for each limit; [`run`] is the one task that owns what this gateway keeps and, while it is the steward,
//! the seats of all keepers. `docs/design/limits.md` states the bound.

mod ask;
mod bucket;
pub mod keeper;
pub mod meter;
#[cfg(test)]
mod model;
pub mod share;
#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use yewroute_table::Table;

use crate::bridge::now;
use crate::peers::{Incoming, Kind, Members, Question};
use crate::{Context, Terms};
use keeper::{holds_until, over_after, Book, Key, Process, Report, Seat, Seats};
pub use meter::{Classes, Meters, Refused, Spent};
use share::Floors;

/// How often a task looks round.
const TICK: Duration = Duration::from_millis(100);
/// How long another gateway may take to answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// How long the steward's word on who keeps a limit is passed on.
const TOLD: Duration = Duration::from_millis(300);

/// How long an allotment lasts: longer than a seat takes to fall free and be taken again.
fn allotted(terms: &Terms) -> Duration {
    terms.lease.mul_f64(4.0 / 3.0)
}

/// How long a keeper's seat lasts.
fn seated(terms: &Terms) -> Duration {
    terms.lease / 2
}

/// What is asked about limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Of a keeper: an allotment.
    Allot(Key, Report),
    /// Of the steward: to keep a limit, or, `keeps`, to go on keeping it.
    Seat {
        /// Which.
        key: Key,
        /// The asker keeps it.
        keeps: bool,
    },
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// This much beyond the floor, in place of what was held.
    Given {
        /// Attempts per second, or permits.
        amount: f64,
        /// For how long, from before it was asked for.
        lease: Duration,
        /// Ask again soon: others have yet to give back.
        short: bool,
        /// Nothing can grow yet.
        blind: bool,
        /// The table's version that the keeper acts by.
        version: u64,
    },
    /// This gateway does not keep the limit; who does, if it has been told.
    Elsewhere(Option<Box<str>>),
    /// The steward's word, and for how long.
    Seat(Seat, Duration),
}

impl Question for Ask {
    const KIND: Kind = Kind::Limits;
    type Answer = Answer;
}

/// Gateways in the order in which they are to keep a limit: by a hash of both names, so that each limit has its own order and
/// nobody's leaving moves what another keeps. The steward comes last: with it leases to act are lost for a while, and a keeper
/// with it would be one more thing.
fn order(members: &Members, key: Key, steward: Option<&str>) -> Vec<Box<str>> {
    let mut all: Vec<(bool, [u8; 32], Box<str>)> = members
        .iter()
        .filter(|member| member.stays)
        .map(|member| {
            let hash = blake3::Hasher::new().update(&key.0).update(member.name.as_bytes()).finalize();
            (steward == Some(&*member.name), *hash.as_bytes(), member.name.clone())
        })
        .collect();
    all.sort_unstable();
    all.into_iter().map(|(.., name)| name).collect()
}

/// A limit that this gateway keeps.
struct Kept {
    book: Book,
    /// The seat's end, by this gateway's count.
    until: Instant,
    renew: Instant,
}

/// An answer of the steward's about a seat.
struct Heard {
    key: Key,
    asked: Instant,
    answer: Option<(Seat, Duration)>,
}

/// All that one gateway keeps. One task owns it.
struct Keepers {
    context: Context,
    classes: Arc<Classes>,
    /// The table of this gateway's own file, as long as it has acted by none.
    first: Arc<Table>,
    kept: HashMap<Key, Kept>,
    seats: Seats,
    /// Seats being asked for.
    asking: HashSet<Key>,
    asks: JoinSet<Heard>,
    /// Who keeps what, as the steward said a moment ago.
    told: HashMap<Key, (Option<Box<str>>, Instant)>,
    /// The tasks that ask for this gateway.
    askers: JoinSet<()>,
    asker: HashMap<Key, AbortHandle>,
    numbers: Arc<AtomicU64>,
    /// Since when this process runs, or a little later.
    born: Instant,
}

/// Keeps, asks and is the steward of seats, until the context ends.
pub async fn run(context: Context, mut inbox: mpsc::Receiver<Incoming>) {
    let mut ticks = context.ticks(TICK);
    // The core tells its classes when it joins.
    let classes = loop {
        if let Some(classes) = context.shared.classes.get() {
            break Arc::new(classes.clone());
        }
        tokio::select! {
            () = context.ends.cancelled() => return,
            _ = ticks.tick() => {}
        }
    };
    let (mut acting, mut outlook) = (context.acting.clone(), context.outlook.clone());
    let ends = context.ends.clone();
    let first = (context.terms.reader)(&context.terms.first, &[]).unwrap_or_default();
    let mut keepers = Keepers {
        context,
        first: Arc::new(first),
        classes,
        kept: HashMap::new(),
        seats: Seats::default(),
        asking: HashSet::new(),
        asks: JoinSet::new(),
        told: HashMap::new(),
        askers: JoinSet::new(),
        asker: HashMap::new(),
        numbers: Arc::default(),
        born: now(),
    };
    keepers.switch();
    loop {
        tokio::select! {
            () = ends.cancelled() => return,
            changed = acting.changed() => {
                if changed.is_err() {
                    return;
                }
                keepers.switch();
            }
            changed = outlook.changed() => {
                if changed.is_err() {
                    return;
                }
                keepers.look(now());
            }
            question = inbox.recv() => match question {
                Some(question) => keepers.answer(question),
                None => return,
            },
            Some(heard) = keepers.asks.join_next() => {
                if let Ok(heard) = heard {
                    keepers.hear(heard);
                }
            }
            _ = keepers.askers.join_next(), if !keepers.askers.is_empty() => {}
            _ = ticks.tick() => keepers.tick(),
        }
    }
}

impl Keepers {
    /// Takes the table that this gateway acts by now.
    fn switch(&mut self) {
        let (now, acting) = (now(), self.context.acting.borrow().clone());
        self.look(now);
        let limits: HashSet<Key> = acting.table.limits.iter().map(Key::of).collect();
        self.seats.switch(acting.version, acting.settled, limits.clone());
        self.kept.retain(|key, _| limits.contains(key));
        // Guards against: a gateway that starts where nobody gives it a lease, and limits nothing. It has the floors of its own
        // file's table.
        let table = if acting.version == 0 { Arc::clone(&self.first) } else { Arc::clone(&acting.table) };
        let limits: HashSet<Key> = table.limits.iter().map(Key::of).collect();
        let before = self.context.shared.meters.load_full();
        if before.version != acting.version || before.all().len() != table.limits.len() {
            let meters = Meters::compile(now, acting.version, &table, &self.classes, &before, self.born);
            self.asker.retain(|key, task| {
                let stays = limits.contains(key);
                if !stays {
                    task.abort();
                }
                stays
            });
            for meter in meters.all() {
                if !self.asker.contains_key(&meter.key) {
                    let numbers = Arc::clone(&self.numbers);
                    let asks =
                        ask::run(self.context.clone(), Arc::clone(meter), Arc::clone(&self.classes), numbers);
                    self.asker.insert(meter.key, self.askers.spawn(asks));
                }
            }
            self.context.shared.meters.store(Arc::new(meters));
        }
    }

    fn look(&mut self, now: Instant) {
        let outlook = self.context.outlook.borrow();
        self.seats.look(now, outlook.steward_until.filter(|_| outlook.sure));
    }

    fn tick(&mut self) {
        let now = now();
        self.look(now);
        self.told.retain(|_, (_, at)| now < *at + TOLD);
        self.kept.retain(|_, kept| now < kept.until);
        let due: Vec<Key> =
            self.kept.iter().filter(|(_, kept)| kept.renew <= now).map(|(key, _)| *key).collect();
        for key in due {
            self.apply(key, true);
        }
    }

    /// Asks the steward for a seat.
    fn apply(&mut self, key: Key, keeps: bool) {
        let Some(steward) = self.context.outlook.borrow().steward.clone() else { return };
        if self.asking.insert(key) {
            let peers = self.context.peers.clone();
            self.asks.spawn(async move {
                let asked = now();
                let answer = match peers.ask(&steward, &Ask::Seat { key, keeps }, PATIENCE).await {
                    Ok(Answer::Seat(seat, length)) => Some((seat, length)),
                    Ok(_) | Err(_) => None,
                };
                Heard { key, asked, answer }
            });
        }
    }

    fn hear(&mut self, Heard { key, asked, answer }: Heard) {
        self.asking.remove(&key);
        let now = now();
        let again = seated(&self.context.terms) / 3;
        let (by, first, length) = match answer {
            Some((Seat::Yours { first }, length)) => (None, first, length),
            Some((Seat::Taken(by), _)) => (Some(by), false, Duration::ZERO),
            Some((Seat::None, _)) | None => {
                if let Some(kept) = self.kept.get_mut(&key) {
                    kept.renew = now + TICK;
                }
                self.told.insert(key, (None, now));
                return;
            }
        };
        if let Some(by) = by {
            self.kept.remove(&key);
            self.told.insert(key, (Some(by), now));
            return;
        }
        let until = holds_until(asked, length.min(seated(&self.context.terms)), self.context.terms.drift);
        // Guards against: an answer that took as long as the seat lasts.
        if now >= until {
            return;
        }
        let runs = |kept: &&mut Kept| now < kept.until;
        if let Some(kept) = self.kept.get_mut(&key).filter(runs) {
            (kept.until, kept.renew) = (until, asked + again);
            return;
        }
        let acting = self.context.acting.borrow().clone();
        let limit = acting.table.limits.iter().find(|limit| Key::of(limit) == key);
        if let Some(limit) = limit.filter(|_| acting.acts_alone(now)) {
            let floors = Floors::of(limit, self.classes.gateways);
            let over = over_after(allotted(&self.context.terms), self.context.terms.drift);
            let book = Book::new(now, floors, limit.rate.is_none(), over, self.classes.longest, first);
            tracing::info!(limit = %limit.name, version = acting.version, blind = book.blind(now), "federation: this gateway keeps a limit");
            self.kept.insert(key, Kept { book, until, renew: asked + again });
            self.told.remove(&key);
        }
    }

    fn answer(&mut self, question: Incoming) {
        let by: Process = (question.from.clone(), question.incarnation);
        match question.read::<Ask>() {
            Some(Ask::Seat { key, keeps }) => {
                let (now, acting) = (now(), self.context.acting.borrow().clone());
                self.look(now);
                let free =
                    acting.acts_alone(now) && acting.table.limits.iter().any(|limit| Key::of(limit) == key);
                let length = seated(&self.context.terms);
                let over = over_after(length, self.context.terms.drift);
                let seat = self.seats.ask(now, key, by, keeps, over, free);
                question.reply::<Ask>(&Answer::Seat(seat, length));
            }
            Some(Ask::Allot(key, report)) => {
                if let Some(answer) = self.allot(key, &by, &report) {
                    question.reply::<Ask>(&answer);
                }
            }
            None => {}
        }
    }

    fn allot(&mut self, key: Key, by: &Process, report: &Report) -> Option<Answer> {
        let (now, acting) = (now(), self.context.acting.borrow().clone());
        // Guards against: handing out by a seat or under a table that has ended since.
        if let Some(kept) = self.kept.get_mut(&key).filter(|kept| now < kept.until && acting.acts(now)) {
            let given = kept.book.ask(now, by, report)?;
            let lease = allotted(&self.context.terms);
            return Some(Answer::Given {
                amount: given.amount,
                lease,
                short: given.short,
                blind: given.blind,
                version: acting.version,
            });
        }
        let told = self.told.get(&key).filter(|(_, at)| now < *at + TOLD).map(|(by, _)| by.clone());
        if told.is_none()
            && acting.acts_alone(now)
            && acting.table.limits.iter().any(|limit| Key::of(limit) == key)
        {
            self.apply(key, false);
        }
        Some(Answer::Elsewhere(told.flatten()))
    }
}
