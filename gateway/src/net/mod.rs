//! Adapters to sockets and signals, on one thread: epoll wakes it, the core says what is to be done.

mod arrivals;
mod cancel;
mod client;
mod clients;
mod console;
mod discovery;
mod eviction;
mod federation;
mod fleet;
mod handover;
mod hosts;
mod listener;
mod memory_wait;
mod operations;
pub(crate) mod poller;
mod reload;
mod replacement;
mod sent_ids;
pub(crate) mod signals;
pub(crate) mod socket_buffers;
mod startup;
mod statement;
pub(crate) mod wire;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

use thiserror::Error;
use tracing::{info, warn};
use yewroute::interface::SettingsError;
use yewroute_federation::bridge::Wish;
use yewroute_ledger::{ByteBudget, MemoryBudget};
use yewroute_lifecycle::{Lifecycle, Means, Stage};

use crate::config::Config;
use crate::core::{self, Core};
use crate::proto::console as calls;
use clients::{Admission, Clients};
use console::Console;
use discovery::{Discovery, DiscoveryContext};
use federation::FederationLink;
use fleet::FleetLink;
use handover::Handover;
use hosts::first_byte::{FirstByteLimit, Spending, HELD_UP};
use hosts::{Hosts, HostsContext};
use poller::{Poller, Ready, Token};
use sent_ids::SentIdLink;
use signals::Signals;
use startup::StartConditions;
use statement::Statement;

type Input = core::Input<Statement>;
type Effect = core::Effect<Statement>;

/// Descriptors kept for the listener, the poller, the watch, signals and the standard streams.
const RESERVED_DESCRIPTORS: usize = 16;

/// Why the gateway cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The module does not accept the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The listener.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The console.
    #[error("console: cannot listen on {0}: {1}")]
    Console(SocketAddr, io::Error),
    /// The place for datagrams of other gateways.
    #[error("fleet: cannot listen on {0}: {1}")]
    Fleet(SocketAddr, io::Error),
    /// The poller or the signals.
    #[error("{0}")]
    Io(#[from] io::Error),
}

struct Gateway {
    poller: Poller,
    clients: Clients,
    hosts: Hosts,
    discovery: Discovery,
    signals: Signals,
    console: Option<Console>,
    /// The other gateways, where the operator's file says so.
    fleet: Option<FleetLink>,
    /// What all of them do by one table, where it says so.
    federation: Option<FederationLink>,
    core: Core<Statement>,
    /// What statements may take of the memory.
    statement_memory: MemoryBudget,
    /// What answers may take of it.
    answer_memory: ByteBudget,
    life: Lifecycle,
    /// The older and the newer process of this gateway, where it can be replaced.
    handover: Option<Handover>,
    /// Where these tell each other which requests were sent.
    sent_ids: Option<SentIdLink>,
    /// While it does not serve yet: what it waits for, and until when.
    awaiting: Option<StartConditions>,
    /// The limits, and what this process may use of them while there is another one.
    limits: Means,
    means: Means,
    /// When they are looked at again.
    share_at: Option<Instant>,
    /// The lease of the list has expired, and this has been logged.
    list_expired: bool,
    /// Descriptors of the console.
    console_share: usize,
    /// As they were at the start; they stay so.
    name: String,
    listen: SocketAddr,
    edge_file: Option<PathBuf>,
    inbox: VecDeque<Input>,
    effects: Vec<Effect>,
}

/// Serves until SIGTERM has come and all is answered.
pub fn run(config: Config, signals: Signals) -> Result<(), RunError> {
    let mut gateway = Gateway::new(config, signals)?;
    let mut ready = Vec::new();
    let mut now = gateway.settle(Instant::now());
    while !gateway.life.done(now, gateway.clients.len(), || gateway.clients.owes_answers()) {
        now = gateway.wait(now, &mut ready)?;
        gateway.all_ready(now, &mut ready);
        now = gateway.tick(now);
        now = gateway.settle(now);
        gateway.start(now)?;
    }
    gateway.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
    info!("stopped: all answered");
    Ok(())
}

impl Gateway {
    /// Waits for what is ready or due, and says what time it is then.
    ///
    /// Guards against: an attempt that is given up as overdue while its answer lies unread, as this process did not run between the
    /// poller's look and this moment, or was woken by a signal and not by what has come.
    fn wait(&mut self, now: Instant, ready: &mut Vec<Ready>) -> io::Result<Instant> {
        let due = self.next(now);
        self.poller.wait(now, due, ready)?;
        let now = Instant::now();
        if due.is_some_and(|due| now.saturating_duration_since(due) >= HELD_UP) {
            self.poller.look_again(ready)?;
        }
        Ok(now)
    }

    fn next(&self, now: Instant) -> Option<Instant> {
        let next = [
            self.core.next(),
            self.hosts.next(),
            self.clients.next(),
            self.discovery.next(),
            self.console.as_ref().and_then(Console::next),
            self.life.next(now),
            self.share_at,
            self.fleet.as_ref().and_then(FleetLink::next),
            self.federation.as_ref().and_then(FederationLink::next),
            self.awaiting.as_ref().map(|awaiting| awaiting.list_by).filter(|by| *by > now),
            self.awaiting.as_ref().map(|awaiting| awaiting.listener_by).filter(|by| *by > now),
        ];
        next.into_iter().flatten().min()
    }

    /// Takes what has come, the watch's news first: the core is told in this order. Guards against: a decision by an older
    /// list in the turn in which a newer one was read. Attempts begin only when all has been told.
    fn all_ready(&mut self, now: Instant, ready: &mut Vec<Ready>) {
        ready.sort_by_key(|event| !matches!(event.token, Token::Watch(_)));
        for event in ready.drain(..) {
            self.ready(now, event);
        }
    }

    fn ready(&mut self, now: Instant, event: Ready) {
        match event.token {
            Token::Listener => drop(self.clients.accept(now, true, &self.poller)),
            Token::Signals => {
                let came = self.signals.take();
                if came.reload {
                    self.reload(now);
                }
                if came.terminate {
                    info!("SIGTERM: draining");
                    self.life.terminate(now);
                }
            }
            Token::Watch(number) => {
                let (discovery, mut context) = self.discovery(now);
                discovery.ready(number, event, &mut context);
            }
            Token::Client(number) => {
                self.clients.ready(now, number, event, &self.poller, &mut self.inbox);
            }
            Token::Console(number) => {
                self.callers(now, number);
            }
            Token::Handover(number) => self.replaced(now, number),
            Token::Fleet => self.fleet.iter_mut().for_each(|fleet| fleet.ready(now)),
            Token::SentIds => self.sent_ids.iter_mut().for_each(SentIdLink::accept),
            Token::Federation => self.federation.iter_mut().for_each(FederationLink::silence),
            Token::Host(number) => {
                let (hosts, mut around) = self.hosts(now);
                hosts.ready(number, event, &mut around);
            }
        }
    }

    /// Does what is due, and says what time it is then.
    fn tick(&mut self, now: Instant) -> Instant {
        let (hosts, mut around) = self.hosts(now);
        hosts.tick(&mut around);
        self.clients.tick(now, &self.poller, &mut self.inbox);
        let (discovery, mut context) = self.discovery(now);
        discovery.tick(&mut context);
        // What has come counts before what is overdue.
        let now = self.settle(now);
        self.core.tick(now, &mut self.effects);
        if let Some(console) = &mut self.console {
            console.tick(now, &self.poller);
        }
        if self.share_at.is_some_and(|at| at <= now) {
            self.share(now);
        }
        if let Some(fleet) = &mut self.fleet {
            let rows = self.core.say_loads(now, fleet.members());
            fleet.tick(now, self.life.stage(self.clients.len()), rows, &self.poller);
        }
        self.federate(now);
        self.attend(now);
        self.log_list_lease(now);
        now
    }

    /// Says when requests begin and cease to wait for a list.
    fn log_list_lease(&mut self, now: Instant) {
        let expired = !self.core.list_is_current(now);
        if expired == self.list_expired || self.awaiting.is_some() {
            return;
        }
        self.list_expired = expired;
        let version = self.core.directory().version();
        let waiting = self.core.outstanding();
        match expired {
            true => warn!(version, waiting, "list lease expired: nothing is sent until a list comes"),
            false => info!(version, refused = self.core.refused_without_list(), "list lease renewed"),
        }
    }

    /// Tells the federation's tasks what there is, and does what they want.
    fn federate(&mut self, now: Instant) {
        let (Some(link), Some(fleet)) = (&mut self.federation, &mut self.fleet) else { return };
        if link.tick(now, fleet, self.core.directory()) {
            self.core.join(link.shared().cloned());
            self.core.judge_by_all(link.shared().is_some() && link.judges());
            self.core.reach(link.shared().is_some() && link.plans());
        }
        while let Some(wish) = link.wish(now, fleet) {
            match wish {
                Wish::Decide { .. } => {}
                Wish::Verdicts(held) => self.core.hear_verdicts(now, &held, &mut self.effects),
                Wish::Turn(turn) => self.core.take_turn(now, turn, &mut self.effects),
                Wish::Answer { caller, status, body } => {
                    let Some(console) = &mut self.console else { continue };
                    console.answer(now, caller, &self.poller, |out| calls::put_json(out, status, &body));
                }
            }
        }
        for news in self.core.take_proofs(now) {
            link.prove(news);
        }
        for news in self.core.take_reach(now) {
            // What finds no room is as a second in which nobody asked.
            link.zones(news);
        }
    }

    /// Lets the stage that it is at have its way with the clients.
    fn attend(&mut self, now: Instant) {
        let admission = Admission {
            leaving: self.life.leaving(now),
            yes: self.life.says_yes(),
            accepts: self.life.accepts(now),
            listens: !self.life.closes_listener(now),
            ends: self.life.stage(self.clients.len()) == Stage::Stopping,
        };
        self.core.answer_by(self.life.answers_by());
        let other_process_writes =
            self.life.is_handed() || self.handover.as_ref().is_some_and(Handover::has_predecessor);
        self.core.set_other_process_writes(now, other_process_writes, &mut self.effects);
        self.clients.set_admission(now, admission, &self.poller, &mut self.inbox);
        self.clients.admit_waiting_messages(now, &self.poller, &mut self.inbox);
    }

    /// Tells the core what has come and does what it says, until there is nothing more to do. All that has
    /// come is told before anything is done, and attempts begin last, so that news of a drain and clients that have gone
    /// come before the next send. Says what time it is then.
    ///
    /// Guards against: an attempt that is over before it begins, as the turn was held up since `now`, and is decided on by that
    /// time again and again, until its request has none left.
    fn settle(&mut self, mut now: Instant) -> Instant {
        loop {
            self.hear_sent_ids(now);
            while let Some(input) = self.inbox.pop_front() {
                self.core.handle(now, input, &mut self.effects);
            }
            for effect in std::mem::take(&mut self.effects) {
                self.perform(now, effect);
            }
            if let Some(link) = &self.federation {
                self.core.hand_on_channels(|news| link.channels(news), &mut self.effects);
            }
            if !self.inbox.is_empty() || !self.effects.is_empty() {
                continue;
            }
            self.tell_sent_ids();
            let (hosts, mut around) = self.hosts(now);
            hosts.serve_waiting(&mut around);
            if self.inbox.is_empty() {
                return now;
            }
            now = Instant::now();
        }
    }

    /// Hears what another process of this gateway has sent, before a request is admitted here.
    fn hear_sent_ids(&mut self, now: Instant) {
        let Some(link) = &mut self.sent_ids else { return };
        self.core.share_ids(now, link.is_connected());
        for id in link.take() {
            self.core.remember_id(now, id);
        }
    }

    /// Tells it what is sent from here, before the first byte goes out.
    fn tell_sent_ids(&mut self) {
        let Some(link) = self.sent_ids.as_mut().filter(|link| link.is_connected()) else { return };
        let news = self.core.take_sent_ids();
        if !news.is_empty() || link.has_unsent() {
            link.tell(&news);
        }
    }

    fn perform(&mut self, now: Instant, effect: Effect) {
        let (hosts, mut around) = self.hosts(now);
        match effect {
            Effect::Start { attempt, server, body, begin_by, cut_at, permit, send_by, spent } => {
                let leave = FirstByteLimit { permit, send_by, spent: spent.map(Spending::Spent) };
                hosts.start(attempt, server, body, (begin_by, cut_at, leave));
            }
            Effect::Pass(client, bytes) => {
                self.clients.pass(now, client, &bytes, &self.poller, &mut self.inbox);
            }
            Effect::BreakOff(client) => {
                self.clients.break_off(now, client, &self.poller, &mut self.inbox);
            }
            Effect::Pause(attempt) => hosts.pause(attempt, true, &mut around),
            Effect::Resume(attempt) => hosts.pause(attempt, false, &mut around),
            Effect::Abandon(attempt) => hosts.abandon(attempt),
            Effect::Withdraw(attempt) => hosts.withdraw(attempt, &mut around),
            Effect::Probe(server) => hosts.probe(now, server),
            Effect::CloseIdle(server) => hosts.close_idle(server),
            Effect::Answer(client, answer) => {
                self.clients.answer(now, client, answer, &self.poller, &mut self.inbox);
            }
            Effect::Watch(version) => {
                let (discovery, context) = self.discovery(now);
                discovery.watch(&mut DiscoveryContext { version, ..context });
            }
        }
    }

    fn discovery(&mut self, now: Instant) -> (&mut Discovery, DiscoveryContext<'_>) {
        let context = DiscoveryContext {
            now,
            poller: &self.poller,
            inbox: &mut self.inbox,
            version: self.core.directory().version(),
            expires: self.core.list_expires().unwrap_or(now),
        };
        (&mut self.discovery, context)
    }

    fn hosts(&mut self, now: Instant) -> (&mut Hosts, HostsContext<'_>) {
        let around = HostsContext { now, poller: &self.poller, core: &self.core, inbox: &mut self.inbox };
        (&mut self.hosts, around)
    }
}
