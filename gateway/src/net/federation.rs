//! Where the event loop and the federation's thread meet: what the loop knows goes to the tasks, what they want comes back by a
//! bounded queue and an eventfd.

use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{eventfd, EventfdFlags};
use tracing::{error, info};
use yewroute_edge::{Federation as Settled, Verdicts};
use yewroute_federation::bridge::{Outlook, Reader, Shared, Wish};
use yewroute_federation::road::{News, Ruling};
use yewroute_federation::verdicts;
use yewroute_federation::{Federation, Terms, DRIFT};

use super::fleet::FleetLink;
use super::poller::{Interest, Poller, Token};
use crate::core::Directory;
use crate::proto::console::TableView;

/// Wishes taken at one wake-up, so that many of them delay no request; the rest wakes again.
const AT_ONCE: usize = 512;
/// How often all members are looked at; the steward, its hold and the table's place at every turn.
const LOOK: Duration = Duration::from_millis(100);
/// How much later it may be: the loop wakes for other things meanwhile.
const SLACK: Duration = Duration::from_millis(15);
/// Decisions asked for that have no answer yet.
const MOST_ASKED: usize = 64;

/// This gateway's part in the federation.
pub struct FederationLink {
    settled: Settled,
    /// The table's first text.
    first: Arc<str>,
    verdicts: Verdicts,
    name: String,
    reader: Reader,
    /// Rung by the tasks; and it has rung since all that they want was taken.
    bell: Arc<OwnedFd>,
    rung: bool,
    running: Option<Federation>,
    /// Tickets of decisions by the numbers they were asked under.
    asked: HashMap<u64, u64>,
    outlook: Option<Outlook>,
    look_at: Instant,
    /// Groups of the list, and the version they are of.
    groups: (u64, Arc<Vec<u64>>),
}

impl FederationLink {
    /// Settled, and started once the fleet has its place.
    ///
    /// # Errors
    /// The system has no descriptor.
    pub fn new(
        now: Instant,
        (settled, first): (Settled, String),
        name: &str,
        reader: Reader,
        poller: &Poller,
    ) -> io::Result<Self> {
        let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        poller.add(&*bell, Token::Federation, Interest::READ)?;
        Ok(Self {
            settled,
            first: first.into(),
            verdicts: Verdicts::default(),
            name: name.to_owned(),
            reader,
            bell,
            rung: false,
            running: None,
            asked: HashMap::new(),
            outlook: None,
            look_at: now,
            groups: (0, Arc::default()),
        })
    }

    /// The same, with what the operator's file says of verdicts.
    pub fn judging(self, verdicts: Verdicts) -> Self {
        Self { verdicts, ..self }
    }

    /// What other gateways have proven of db hosts counts.
    pub fn judges(&self) -> bool {
        self.verdicts.on
    }

    /// Hands on what attempts have shown of db hosts; what finds no room is shown again by others.
    pub fn prove(&self, news: verdicts::News) {
        self.running.iter().for_each(|running| {
            running.verdicts(news.clone());
        });
    }

    /// When it is to be called again at the latest: a little after it is due, as the loop wakes for other things in between.
    pub fn next(&self) -> Option<Instant> {
        Some(self.look_at + SLACK)
    }

    /// What the tasks tell, while they run.
    pub fn shared(&self) -> Option<&Arc<Shared>> {
        self.running.as_ref().map(|running| &running.shared)
    }

    /// Starts and ends with the fleet's place, tells the tasks what there is of the fleet; true if they were started or ended.
    pub fn tick(&mut self, now: Instant, fleet: &mut FleetLink, directory: &Directory) -> bool {
        // The loop turns thousands of times a second with requests: what is not due costs nothing but this look.
        if now < self.look_at && !fleet.has_answers() && (self.running.is_none() || fleet.place().is_some()) {
            return false;
        }
        for (count, ruling) in fleet.answers() {
            if let (Some(ticket), Some(running)) = (self.asked.remove(&count), &self.running) {
                running.table(News::Decided { ticket, ruling });
            }
        }
        if self.running.is_some() && fleet.place().is_none() {
            info!("federation: stands down");
            (self.running, self.outlook) = (None, None);
            self.asked.clear();
            self.look_at = now + LOOK;
            return true;
        }
        if now < self.look_at {
            return false;
        }
        self.look_at = now + LOOK;
        if directory.version() != self.groups.0 || self.groups.1.is_empty() {
            self.groups = (directory.version(), Arc::new(directory.groups()));
        }
        let Some(outlook) = fleet.outlook(now, &self.groups.1) else { return false };
        match &self.running {
            Some(running) => {
                running.look(outlook);
                false
            }
            None => self.start(fleet, outlook),
        }
    }

    fn start(&mut self, fleet: &FleetLink, outlook: Outlook) -> bool {
        let Some((listen, incarnation)) = fleet.place() else { return false };
        let terms = Terms {
            name: self.name.as_str().into(),
            incarnation,
            listen,
            key: fleet.settled().key.0,
            lease: self.settled.lease,
            drift: DRIFT,
            keep: self.settled.keep,
            connections: self.settled.connections,
            first: Arc::clone(&self.first),
            reader: Arc::clone(&self.reader),
        };
        let bell = Arc::clone(&self.bell);
        // It fails only when it has rung too often to count, and then it rings.
        let wake = move || {
            let _ = rustix::io::write(&*bell, &1_u64.to_ne_bytes());
        };
        match Federation::start(terms, outlook, Arc::new(wake)) {
            Ok(running) => {
                info!(%listen, lease_ms = self.settled.lease.as_millis(), "federation: begins");
                let Verdicts { share, expire, .. } = self.verdicts;
                running.verdicts(verdicts::News::Settled(verdicts::Settled { share, expire }));
                self.running = Some(running);
                true
            }
            Err(error) => {
                error!(%error, "federation: no thread to be had; nothing is done by a table");
                false
            }
        }
    }

    /// The next thing that the tasks want; decisions on the table are asked for here.
    pub fn wish(&mut self, now: Instant, fleet: &mut FleetLink) -> Option<Wish> {
        for _ in 0..AT_ONCE {
            let running = self.running.as_ref().filter(|_| self.rung)?;
            let Ok(wish) = running.wishes.try_recv() else {
                self.rung = false;
                return None;
            };
            match wish {
                Wish::Decide { ticket, value, over } => {
                    let asked = (self.asked.len() < MOST_ASKED)
                        .then(|| fleet.decide_table(now, value, over))
                        .flatten();
                    match asked {
                        Some(count) => {
                            self.asked.insert(count, ticket);
                        }
                        None => {
                            running.table(News::Decided { ticket, ruling: Ruling::Unknown });
                        }
                    }
                }
                wish => return Some(wish),
            }
        }
        None
    }

    /// What requests of channels have come to; false if there is no room for it, or nobody to hand it to.
    pub fn channels(&self, news: yewroute_federation::channels::News) -> bool {
        self.running.as_ref().is_some_and(|running| running.channels(news))
    }

    /// Silences the bell before wishes are taken, so that none is missed.
    pub fn silence(&mut self) {
        self.rung = true;
        let mut count = [0; 8];
        // It fails if it has not rung.
        let _ = rustix::io::read(&*self.bell, &mut count);
    }

    /// An operator puts a table; false if that cannot be handed on now.
    pub fn put(&self, caller: u64, text: String) -> bool {
        self.running.as_ref().is_some_and(|running| running.table(News::Put { caller, text }))
    }

    /// What `GET /table` tells; nothing while there is no federation.
    pub fn view(&self, now: Instant) -> Option<TableView> {
        let shared = self.shared()?;
        Some(TableView::of(&shared.status.load(), &shared.acting.load(), now))
    }

    /// Names and values for `GET /metrics`.
    pub fn figures(&self, now: Instant) -> Vec<(String, u64)> {
        let Some(shared) = self.shared() else { return Vec::new() };
        let (acting, figures) = (shared.acting.load(), &shared.figures);
        let count = |figure: &AtomicU64| figure.load(Ordering::Relaxed);
        [
            ("version", acting.version),
            ("acts", u64::from(acting.acts(now))),
            ("settled", u64::from(acting.settled)),
            ("away", count(&figures.away)),
            ("switches_total", count(&figures.switches)),
            ("held_total", count(&figures.held)),
            ("told_total", count(&figures.told)),
            ("trials_total", count(&figures.trials)),
            ("dropped_total", count(&figures.dropped)),
        ]
        .map(|(name, value)| (format!("svc_federation_{name}"), value))
        .into()
    }

    /// It is set as it was at the start.
    pub fn is_settled_by(&self, settled: Option<&Settled>, first: &str, verdicts: Verdicts) -> bool {
        settled == Some(&self.settled) && *first == *self.first && verdicts == self.verdicts
    }
}
