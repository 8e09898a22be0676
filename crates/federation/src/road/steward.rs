//! What the steward does: gives leases, leads one version at a time along its road.
//!
//! Its hold is looked at right before each answer that gives something away. What it asks the log for names the place that it
//! replaces, and each steward begins by writing the version in force down anew: whatever an earlier one asked for and is still
//! under way then finds another place.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use yewroute_table::Digest;

use super::grants::{Grants, Life};
use super::holder::{fetch, show_prepared, take};
use super::lead::{Lead, Lease};
use super::{Answer, Ask, Entry, Ruling, Texts, Version};
use crate::bridge::{now, Next, Wish};
use crate::error::PeerError;
use crate::peers::Incoming;
use crate::Context;

/// How long a gateway may take to fetch and check a table, and how often one that did not is asked again.
const PREPARES: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_millis(300);
/// The log answers within 5 s, or says that it does not; past this nothing comes any more.
const RULED: Duration = Duration::from_secs(8);
/// A version that has not been decided by then is dropped.
const LONGEST_ROAD: Duration = Duration::from_secs(30);
/// How long news to all may take each.
const TOLD: Duration = Duration::from_millis(700);
/// After most of those that decide were lost at once: how long gateways are listened to before any gets a lease.
const HEARS: Duration = Duration::from_secs(1);
/// Names that are told in one list.
const MOST_NAMES: usize = 64;

/// A version on its road.
struct Road {
    version: Version,
    began: Instant,
    again_at: Instant,
}

/// What came of work beside the steward's own.
enum Done {
    /// One gateway was told something.
    Told,
    /// One was asked to prepare a text.
    Asked(Box<str>, Digest, Result<Answer, PeerError>),
    /// The text of a version that was prepared under an earlier steward was fetched, or is nowhere to be had.
    Fetched(Version, bool),
}

struct Steward {
    context: Context,
    texts: Arc<Texts>,
    grants: Grants,
    lead: Lead,
    road: Option<Road>,
    /// A version that was prepared under an earlier steward and whose text is being fetched, to go on with its road.
    adopting: Option<Version>,
    /// A version that was decided in a group that is lost, until it is in force again: nobody gets a lease for less.
    regained: Option<Version>,
    /// When this steward began.
    began: Instant,
    /// The last one that was refused, for all to see.
    refused: Option<Next>,
    asked_at: Instant,
    ticket: u64,
    told_settled: u64,
    /// Who is being asked to prepare.
    asking: BTreeSet<Box<str>>,
    work: JoinSet<Done>,
}

/// Works while this gateway is the steward, and turns everybody away while it is not.
pub async fn run(
    context: Context,
    texts: Arc<Texts>,
    mut asked: mpsc::Receiver<Incoming>,
    mut rulings: mpsc::Receiver<(u64, Ruling)>,
) {
    let mut outlook = context.outlook.clone();
    let mut ticket = u64::from(rand::random::<u32>()) << 16;
    loop {
        let holds = outlook.borrow_and_update().steward_until.is_some_and(|until| now() < until);
        if holds {
            tracing::info!("table: this gateway leads versions along their road");
            ticket = serve(&context, &texts, &mut asked, &mut rulings, ticket).await;
            tracing::info!("table: this gateway does not lead versions any more");
        }
        tokio::select! {
            () = context.ends.cancelled() => return,
            changed = outlook.changed() => if changed.is_err() { return },
            Some(incoming) = asked.recv() => incoming.reply::<Ask>(&Answer::NotNow),
            Some(_) = rulings.recv() => {}
        }
    }
}

/// One stewardship, from its beginning to its end; gives the last ticket used.
async fn serve(
    context: &Context,
    texts: &Arc<Texts>,
    asked: &mut mpsc::Receiver<Incoming>,
    rulings: &mut mpsc::Receiver<(u64, Ruling)>,
    ticket: u64,
) -> u64 {
    let mut steward = Steward {
        context: context.clone(),
        texts: Arc::clone(texts),
        grants: Grants::new(now(), context.terms.lease_over()),
        lead: Lead::default(),
        road: None,
        adopting: None,
        regained: None,
        began: now(),
        refused: None,
        asked_at: now(),
        ticket,
        told_settled: 0,
        asking: BTreeSet::new(),
        work: JoinSet::new(),
    };
    let mut outlook = context.outlook.clone();
    loop {
        let Some(until) = steward.holds() else { return steward.ticket };
        let at = steward.advance(now()).min(until);
        tokio::select! {
            () = context.ends.cancelled() => return steward.ticket,
            changed = outlook.changed() => if changed.is_err() { return steward.ticket },
            Some(incoming) = asked.recv() => steward.answer(incoming),
            Some((ticket, ruling)) = rulings.recv() => steward.ruled(ticket, ruling),
            Some(done) = steward.work.join_next(), if !steward.work.is_empty() => {
                match done {
                    Ok(Done::Asked(name, digest, answer)) => steward.prepared(name, digest, answer),
                    Ok(Done::Fetched(version, there)) => steward.fetched(version, there),
                    Ok(Done::Told) | Err(_) => {}
                }
            }
            () = sleep_until(at.into()) => {}
        }
    }
}

impl Steward {
    /// Until when this gateway is the steward; none once it is not.
    fn holds(&self) -> Option<Instant> {
        let outlook = self.context.outlook.borrow();
        outlook.steward_until.filter(|until| outlook.sure && now() < *until)
    }

    /// Does what can be done now; gives when there may be more.
    fn advance(&mut self, at: Instant) -> Instant {
        self.look_at_log();
        // Guards against: an answer that was lost between the loop and this task.
        let late = |_: &(u64, Version)| at.saturating_duration_since(self.asked_at) >= RULED;
        if let Some((ticket, _)) = self.lead.asked.filter(late) {
            self.ruled(ticket, Ruling::Unknown);
        }
        if !self.lead.fenced {
            self.decide(at, None);
            return at + AGAIN;
        }
        let begins = self.lead.in_force.number == 0 && self.road.is_none() && self.refused.is_none();
        if begins && self.adopting.is_none() {
            // The first table is the operator's file's.
            let first = Arc::clone(&self.context.terms.first);
            match take(&self.context, &self.texts, &first, &[]) {
                Ok(digest) => self.set_out(at, self.next_version(digest)),
                Err(faults) => {
                    let fault = faults.first().map_or_else(String::new, ToString::to_string);
                    tracing::error!(fault, "table: the operator's file's own is at fault; put another");
                }
            }
        }
        let settled = self.grants.settled(at, self.lead.in_force.number);
        if settled > self.told_settled {
            self.told_settled = settled;
            self.tell_all();
        }
        self.go_on(at);
        let next = self.grants.next(at).unwrap_or(at + AGAIN);
        // A moment later, so that what was waited for is over.
        next.min(at + AGAIN) + Duration::from_millis(1)
    }

    /// Takes over what the log says, where it is newer than what is known.
    fn look_at_log(&mut self) {
        let table = self.context.outlook.borrow().table.clone();
        let Some(decided) = table.filter(|decided| decided.place > self.lead.place) else { return };
        // Guards against: leading on by less than is decided. One of a later release is left to gateways that can read it.
        let Some(entry) = Entry::read(&decided.value) else { return };
        let changed = self.lead.looks(decided.place, &entry, &self.me());
        self.come_into_force(changed);
    }

    /// This process, as others know it.
    fn me(&self) -> Life {
        (self.context.terms.name.clone(), self.context.terms.incarnation)
    }

    /// A version is decided; all are told if it is another than before.
    fn come_into_force(&mut self, changed: Option<Version>) {
        let Some(version) = changed else { return };
        tracing::info!(version = version.number, digest = %version.digest, "table: decided");
        self.road.take_if(|road| road.version.number <= version.number);
        self.adopting = None;
        self.regained.take_if(|regained| regained.number <= version.number);
        self.tell_all();
    }

    /// Asks the log for what there is to be decided, to hold in place of what it holds.
    fn decide(&mut self, at: Instant, road: Option<Version>) {
        let Some(version) = self.lead.wants(at, &self.grants, road) else { return };
        self.ticket += 1;
        (self.lead.asked, self.asked_at) = (Some((self.ticket, version)), now());
        let value = postcard::to_allocvec(&Entry { version, by: self.me() }).unwrap_or_default();
        self.context.wish(Wish::Decide { ticket: self.ticket, value, over: self.lead.place });
    }

    fn ruled(&mut self, ticket: u64, ruling: Ruling) {
        let changed = self.lead.ruled(ticket, ruling);
        self.come_into_force(changed);
    }

    /// The version on its road is being decided.
    fn deciding(&self) -> bool {
        self.lead.asked.is_some_and(|(_, version)| version != self.lead.in_force)
    }

    fn next_version(&self, digest: Digest) -> Version {
        Version { number: self.lead.in_force.number + 1, digest }
    }

    /// Begins a version's road.
    fn set_out(&mut self, at: Instant, version: Version) {
        tracing::info!(version = version.number, digest = %version.digest, "table: proposed");
        (self.refused, self.adopting) = (None, None);
        let me = self.me();
        self.texts.pledge(version);
        self.grants.prepared(&me, version.digest);
        show_prepared(&self.context, version);
        self.road = Some(Road { version, began: at, again_at: at });
    }

    /// Leads the version that is on its road.
    fn go_on(&mut self, at: Instant) {
        let deciding = self.deciding();
        let Some(road) = self.road.as_mut().filter(|_| !deciding) else { return };
        let version = road.version;
        if at.saturating_duration_since(road.began) > LONGEST_ROAD {
            let lack = self.grants.without(at, version.digest);
            let named = |(name, _): Life| (name, "has not said whether it would act by it".to_owned());
            self.drop_road(lack.into_iter().map(named).collect());
            return;
        }
        if at >= road.again_at {
            road.again_at = at + AGAIN;
            self.ask_to_prepare(version);
        }
        if self.holds().is_some() {
            self.decide(at, Some(version));
        }
    }

    fn ask_to_prepare(&mut self, version: Version) {
        let members = self.context.peers.members();
        for member in members.iter() {
            if self.asking.contains(&member.name) || self.grants.named_holds(&member.name, version.digest) {
                continue;
            }
            let (peers, name) = (self.context.peers.clone(), member.name.clone());
            self.asking.insert(name.clone());
            self.work.spawn(async move {
                let answer = peers.ask(&name, &Ask::Prepare { version }, PREPARES).await;
                Done::Asked(name, version.digest, answer)
            });
        }
    }

    fn prepared(&mut self, name: Box<str>, digest: Digest, answer: Result<Answer, PeerError>) {
        self.asking.remove(&name);
        match answer {
            Ok(Answer::Prepared(incarnation)) => self.grants.prepared(&(name, incarnation), digest),
            Ok(Answer::Refused(fault)) => {
                if !self.deciding() && self.road.as_ref().is_some_and(|road| road.version.digest == digest) {
                    self.drop_road(BTreeMap::from([(name, fault)]));
                }
            }
            Ok(_) | Err(_) => {}
        }
    }

    fn drop_road(&mut self, refused: BTreeMap<Box<str>, String>) {
        let Some(road) = self.road.take() else { return };
        self.regained = None;
        self.texts.release(road.version);
        tracing::warn!(version = road.version.number, ?refused, "table: dropped for all");
        let (version, digest) = (road.version.number, road.version.digest.to_string());
        self.refused = Some(Next { version, digest, refused, ..Next::default() });
        self.tell_all();
    }

    /// The version on its road, or the last one refused, for `GET /table` everywhere.
    fn next(&self, at: Instant) -> Option<Next> {
        // Named as well while its text is fetched, so that nobody takes its road for ended.
        let adopting = self.adopting.map(|Version { number: version, digest }| Next {
            version,
            digest: digest.to_string(),
            ..Next::default()
        });
        let Some(road) = &self.road else { return adopting.or_else(|| self.refused.clone()) };
        let digest = road.version.digest;
        let names = |lives: Vec<Life>| {
            let mut names: Vec<Box<str>> = lives.into_iter().map(|(name, _)| name).collect();
            names.sort_unstable();
            names.truncate(MOST_NAMES);
            names
        };
        Some(Next {
            version: road.version.number,
            digest: digest.to_string(),
            prepared: names(self.grants.with(at, digest)),
            waits_for: names(self.grants.without(at, digest)),
            refused: BTreeMap::new(),
        })
    }

    /// Has all ask for their leases now.
    fn tell_all(&mut self) {
        let members = self.context.peers.members();
        for member in members.iter() {
            if self.work.len() > 4 * members.len() {
                return;
            }
            let (peers, name) = (self.context.peers.clone(), member.name.clone());
            self.work.spawn(async move {
                // One that does not hear it asks by itself soon.
                let _ = peers.ask(&name, &Ask::Look, TOLD).await;
                Done::Told
            });
        }
    }

    fn answer(&mut self, incoming: Incoming) {
        let at = now();
        let life: Life = (incoming.from.clone(), incoming.incarnation);
        let Some(ask) = incoming.read::<Ask>() else { return };
        let answer = match ask {
            Ask::Lease { acts, settled, holds, pending } => {
                self.grants.heard(at, &life, acts, settled, holds);
                self.take_up(at, pending);
                self.lease(at, &life, acts)
            }
            Ask::Newer(version) => self.newer(at, version),
            Ask::Propose { over, text } => self.propose(at, over, &text),
            _ => Answer::NotNow,
        };
        // Right before it goes out: nothing is given away by one that is the steward no more.
        let gives = self.holds().is_some();
        incoming.reply::<Ask>(if gives { &answer } else { &Answer::NotNow });
    }

    fn lease(&mut self, at: Instant, life: &Life, acts: u64) -> Answer {
        self.look_at_log();
        let version = self.lead.in_force;
        if self.lead.fenced
            && acts > version.number
            && self.regained.is_none_or(|regained| acts > regained.number)
        {
            return Answer::Behind;
        }
        let hears = self.lead.new_group && at.saturating_duration_since(self.began) < HEARS;
        if hears || self.regained.is_some() {
            return Answer::NotNow;
        }
        match self.lead.lease(at, &mut self.grants, life) {
            Lease::NotNow => Answer::NotNow,
            Lease::Learn(wanted) => {
                if wanted == version && self.texts.get(version.digest).is_none() {
                    let (context, texts) = (self.context.clone(), Arc::clone(&self.texts));
                    self.work.spawn(async move {
                        if let Err(error) = fetch(&context, &texts, version, &[]).await {
                            tracing::warn!(%error, help = error.help(), "table: the version in force");
                        }
                        Done::Told
                    });
                }
                Answer::Learn(wanted)
            }
            Lease::Given => {
                let settled = self.grants.settled(at, version.number);
                Answer::Lease { version, settled, next: self.next(at) }
            }
        }
    }

    /// Takes up the road of a version that was prepared under the steward before, if it follows the one in force.
    fn take_up(&mut self, at: Instant, pending: Option<Version>) {
        let refused =
            |digest: Digest| self.refused.as_ref().is_some_and(|last| last.digest == digest.to_string());
        let free =
            self.lead.fenced && self.road.is_none() && self.lead.asked.is_none() && self.adopting.is_none();
        let follows =
            |version: &Version| version.number == self.lead.in_force.number + 1 && !refused(version.digest);
        let Some(version) = pending.filter(|version| free && follows(version)) else { return };
        self.adopt(at, version);
    }

    /// Takes up the road of a version that is known elsewhere.
    fn adopt(&mut self, at: Instant, version: Version) {
        if self.texts.get(version.digest).is_some() {
            self.set_out(at, version);
            return;
        }
        // Guards against: a version that others have prepared, lost as this gateway was the one that had not.
        self.adopting = Some(version);
        let (context, texts, in_force) =
            (self.context.clone(), Arc::clone(&self.texts), self.lead.in_force.digest);
        self.work.spawn(async move {
            let there = match fetch(&context, &texts, version, &[in_force]).await {
                Ok(()) => true,
                Err(error) => {
                    tracing::warn!(version = version.number, %error, help = error.help(), "table: cannot prepare");
                    false
                }
            };
            Done::Fetched(version, there)
        });
    }

    fn fetched(&mut self, version: Version, there: bool) {
        let adopts = self.adopting.take_if(|adopting| *adopting == version).is_some();
        if adopts && there && self.road.is_none() && self.lead.fenced && self.lead.asked.is_none() {
            self.set_out(now(), version);
        }
        self.regained.take_if(|regained| !there && *regained == version);
    }

    /// Takes up a version that was decided and acted on, of which the log does not know any more. Guards against: gateways that go
    /// back behind a version that others have acted on, and a second table under its number.
    fn newer(&mut self, at: Instant, version: Version) -> Answer {
        let known = self.regained.map_or(self.lead.in_force.number, |regained| regained.number);
        if !self.lead.fenced || self.lead.asked.is_some() || version.number <= known {
            return Answer::NotNow;
        }
        tracing::warn!(
            version = version.number,
            digest = %version.digest,
            "table: decided and acted on, and lost with most of those that decide; it comes into force again"
        );
        self.regained = Some(version);
        if let Some(road) = self.road.take_if(|road| road.version != version) {
            self.texts.release(road.version);
        }
        if self.road.is_none() {
            self.adopt(at, version);
        }
        Answer::Heard
    }

    fn propose(&mut self, at: Instant, over: u64, text: &str) -> Answer {
        if !self.lead.fenced {
            return Answer::NotNow;
        }
        let in_force = self.lead.in_force;
        let on_road = self.road.as_ref().map(|road| road.version).or(self.adopting);
        if on_road.is_some() || self.lead.asked.is_some() || over != in_force.number {
            return Answer::Conflict(on_road.unwrap_or(in_force).number);
        }
        match take(&self.context, &self.texts, text, &[in_force.digest]) {
            Ok(digest) => {
                self.set_out(at, self.next_version(digest));
                Answer::Accepted(in_force.number + 1)
            }
            Err(faults) => Answer::Faulty(faults),
        }
    }
}
