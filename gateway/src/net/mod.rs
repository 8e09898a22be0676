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
mod host_conn;
mod hosts;
mod listener;
mod operations;
pub(crate) mod poller;
mod replacement;
pub(crate) mod signals;
pub(crate) mod wire;

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tracing::{error, info, warn};
use yewroute::interface::SettingsError;
use yewroute_edge::Edge;
use yewroute_federation::bridge::{Reader, Wish};
use yewroute_lifecycle::{Lifecycle, Means};
use yewroute_settings::Deployment;

use crate::clock::Clock;
use crate::config::{against, Budgets, Config};
use crate::core::{self, Core, Known, Near, Payload};
use crate::proto::console as calls;
use crate::proto::pg::exchange::Dialect;
use crate::proto::pg::request::Body;
use crate::proto::pg::session::{Limits, Terms};
use clients::{Admission, ClientProtocol, Clients};
use console::Console;
use discovery::{Discovery, DiscoveryMode};
use federation::FederationLink;
use fleet::FleetLink;
use handover::Handover;
use hosts::{FirstByteLimit, HostProtocol, Hosts, HostsContext};
use poller::{Interest, Poller, Ready, Token};
use signals::Signals;

type Input = core::Input<Body>;
type Effect = core::Effect<Body>;

impl wire::Shared for Body {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Simple(simple) => &simple.text,
            Self::Execute(_) | Self::Describe(_) => &[],
        }
    }
}

impl Payload for Body {
    fn bytes(&self) -> usize {
        self.bytes()
    }
}

/// Descriptors kept for the listener, the poller, the watch, signals and the standard streams.
const RESERVED_DESCRIPTORS: usize = 16;
/// How long a gateway that is run by a console waits for a list before it serves without one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Where lists are pushed, what the agent has counts from the first moment of a process: how long that waits for it before it
/// serves with the list that was known.
const FIRST_PUSHED_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long it waits for the listener of the process that it replaces; and if that one is itself still replacing another.
const LISTENER_HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
const PREDECESSOR_BUSY_TIMEOUT: Duration = Duration::from_millis(4_500);

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

/// How clients and db hosts are spoken to, as the operator's file says.
fn protocol_settings(edge: &Edge) -> (ClientProtocol, HostProtocol) {
    let dialect = if edge.hosts.extended { Dialect::Extended } else { Dialect::Simple };
    let limits = Limits {
        statements: edge.postgres.statements_per_client,
        portals: edge.postgres.portals_per_client,
        bytes: edge.postgres.client_bytes,
    };
    let clients = ClientProtocol {
        terms: Terms { extended: edge.postgres.extended, hosts: dialect, limits },
        table_bytes: edge.postgres.statement_table_bytes,
        pipeline_idle: edge.postgres.pipeline_idle,
    };
    (clients, HostProtocol { dialect, statements: edge.hosts.statements_per_connection })
}

/// Reads tables as an operator puts them, checked against this gateway's own settings and the groups of its list.
fn reader(edge: Edge, deployment: Deployment) -> Reader {
    Arc::new(move |text, groups| {
        let table = yewroute_edge::table("table", text)?;
        match table.faults(&against(&deployment, &edge, groups)) {
            faults if faults.is_empty() => Ok(table),
            faults => Err(faults),
        }
    })
}

/// How many connections clients and db hosts may have, of so many descriptors.
fn shares(sockets: usize, console: usize) -> (usize, usize) {
    /// While two processes share a small limit.
    const LEAST: usize = 8;
    let usable = sockets.saturating_sub(RESERVED_DESCRIPTORS + console).max(LEAST);
    (usable - usable / 2, usable / 2)
}

/// What a process waits for before it serves.
struct Start {
    /// A list with a db host that takes requests; and the agent's, where lists are pushed.
    list_by: Instant,
    /// The listener of the process before it; then it binds one itself.
    listener_by: Instant,
    listener: Option<TcpListener>,
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
    core: Core<Body>,
    life: Lifecycle,
    /// The older and the newer process of this gateway, where it can be replaced.
    handover: Option<Handover>,
    /// While it does not serve yet: what it waits for, and until when.
    starts: Option<Start>,
    /// The limits, and what this process may use of them while there is another one.
    limits: Means,
    means: Means,
    /// When they are looked at again.
    share_at: Option<Instant>,
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
    let mut now = Instant::now();
    gateway.settle(now);
    while !gateway.life.done(now, gateway.clients.len(), || gateway.clients.owes_answers()) {
        gateway.poller.wait(now, gateway.next(now), &mut ready)?;
        now = Instant::now();
        gateway.all_ready(now, &mut ready);
        gateway.tick(now);
        gateway.settle(now);
        gateway.start(now)?;
    }
    gateway.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
    info!("stopped: all answered");
    Ok(())
}

impl Gateway {
    fn new(config: Config, signals: Signals) -> Result<Self, RunError> {
        let now = Instant::now();
        let poller = Poller::new()?;
        poller.add(&signals, Token::Signals, Interest::READ)?;
        let console_share = config.console.map_or(0, |_| console::share(config.sockets));
        let limits = Means { sockets: config.sockets, kib: config.memory_kib };
        let (most_clients, most_hosts) = shares(limits.sockets, console_share);
        let Budgets { most_bytes, statement_bytes } = Budgets::of(limits.kib);
        let listen = config.listen;
        let (client_protocol, host_protocol) = protocol_settings(&config.edge);
        let operated = config.console.is_some();
        let clients = Clients::new(now, most_clients, most_bytes, statement_bytes, client_protocol);
        let console = config.console.map(|addr| {
            let console = Console::listen(now, addr, console_share, &poller);
            console.map_err(|error| RunError::Console(addr, error))
        });
        let console = console.transpose()?;
        let deployment = config.deployment;
        let manner = DiscoveryMode {
            pushed: deployment.module.discovery == yewroute::interface::Discovery::Automatic,
            must_ask_in: deployment.module.rules.must_ask_in,
        };
        let longest_deadline = deployment.module.classes.iter().map(|class| class.deadline).max();
        let longest_deadline = longest_deadline.unwrap_or_default();
        let hosts = Hosts::new(
            now,
            most_hosts,
            most_bytes,
            host_protocol,
            deployment.connect_timeout,
            deployment.keepalive,
        );
        let near = config
            .edge
            .fleet
            .as_ref()
            .filter(|_| config.edge.zones.is_some() || config.edge.federation.is_some());
        let near = near.map(|fleet| {
            let of = |(region, zones): (&String, &Vec<String>)| {
                zones.iter().map(|zone| (zone.clone(), region.clone())).collect::<Vec<_>>()
            };
            Near {
                zone: fleet.zone.clone(),
                zones: fleet.regions.iter().flat_map(of).collect(),
                first: config.edge.zones.is_some(),
            }
        });
        let mut effects = Vec::new();
        let mut core = Core::new(
            now,
            Clock::start(),
            deployment,
            config.seed,
            statement_bytes,
            Known { members: config.known, near },
            &mut effects,
        )?;
        if let Some(console) = &console {
            info!(addr = %console.addr()?, "console listening");
        }
        let folder = std::env::var_os("TMPDIR").filter(|_| operated).map(PathBuf::from);
        let handover = folder.map(|folder| Handover::begin(folder, listen, &poller));
        let older = handover.as_ref().is_some_and(Handover::has_predecessor);
        let fleet = config.edge.fleet.clone().map(|settled| {
            let place = settled.listen;
            let link = FleetLink::begin(now, settled, &config.name, config.seed, operated, &poller);
            link.map_err(|error| RunError::Fleet(place, error))
        });
        let fleet = fleet.transpose()?;
        if fleet.is_some() {
            core.count_loads(now);
        }
        let federation = config.edge.federation.clone().map(|settled| {
            let first = config.edge.first.to_string();
            let reader = reader(config.edge.clone(), core.deployment().clone());
            FederationLink::new(now, (settled, first), &config.name, reader, &poller)
        });
        let (verdicts, zones) = (config.edge.verdicts, config.edge.zones.clone());
        let federation = federation.transpose()?.map(|link| link.judging(verdicts, zones));
        let pushed_wait = if manner.pushed { FIRST_PUSHED_LIST_TIMEOUT } else { Duration::ZERO };
        let start = Start {
            list_by: if operated { now + FIRST_LIST_TIMEOUT } else { now + pushed_wait },
            listener_by: if older { now + LISTENER_HANDOVER_TIMEOUT } else { now },
            listener: None,
        };
        let mut gateway = Self {
            poller,
            clients,
            hosts,
            discovery: Discovery::new(now, config.discovery, manner, config.seed),
            signals,
            console,
            fleet,
            federation,
            core,
            life: Lifecycle::new(longest_deadline),
            handover,
            starts: Some(start),
            limits,
            means: limits,
            share_at: None,
            console_share,
            name: config.name,
            listen,
            edge_file: config.edge_file,
            inbox: VecDeque::new(),
            effects,
        };
        if older {
            // Until it is told more.
            gateway.use_means(limits.divide(limits, false).1);
        }
        gateway.start(now)?;
        Ok(gateway)
    }

    /// Serves once it can: with a list, or without one after a while; on the listener of the process before it, or
    /// on its own.
    fn start(&mut self, now: Instant) -> Result<(), RunError> {
        let Some(start) = &mut self.starts else { return Ok(()) };
        let listed = self.core.directory().first_group().is_some() && !self.discovery.lacks_pushed_list();
        if now < start.list_by && !listed || now < start.listener_by && start.listener.is_none() {
            return Ok(());
        }
        let handed = start.listener.take();
        let (wrong, replaced) = (|error| RunError::Listen(self.listen, error), handed.is_some());
        let listener = match handed {
            Some(listener) => listener,
            None => {
                // Guards against: a predecessor that does not answer being told to leave its queue to this one.
                self.handover.iter_mut().for_each(Handover::forget_predecessor);
                listener::bind(self.listen, self.console.is_some()).map_err(wrong)?
            }
        };
        self.clients.listen(listener, &self.poller).map_err(wrong)?;
        info!(name = self.name, handed = replaced, addr = %self.clients.addr()?, "listening");
        self.starts = None;
        self.life.serves();
        if let Some(handover) = &mut self.handover {
            handover.serve(&self.poller);
        }
        Ok(())
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
            self.starts.as_ref().map(|start| start.list_by).filter(|by| *by > now),
            self.starts.as_ref().map(|start| start.listener_by).filter(|by| *by > now),
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
                self.discovery.ready(now, number, event, &self.poller, &mut self.inbox);
            }
            Token::Client(number) => {
                self.clients.ready(now, number, event, &self.poller, &mut self.inbox);
            }
            Token::Console(number) => {
                self.callers(now, number);
            }
            Token::Handover(number) => self.replaced(now, number),
            Token::Fleet => self.fleet.iter_mut().for_each(|fleet| fleet.ready(now)),
            Token::Federation => self.federation.iter_mut().for_each(FederationLink::silence),
            Token::Host(number) => {
                let (hosts, mut around) = self.hosts(now);
                hosts.ready(number, event, &mut around);
            }
        }
    }

    /// Reads the configuration again and takes what can change under way: where discovery is, and the limits.
    /// The list held and all that is out go on. Guards against: a faulty file, which changes nothing.
    fn reload(&mut self, now: Instant) {
        let config = match Config::read_again(self.edge_file.clone()) {
            Ok(config) => config,
            Err(error) => {
                error!(%error, "SIGHUP: the configuration in force stays");
                return;
            }
        };
        info!(discovery = %config.discovery, "SIGHUP: configuration read again");
        self.limits = Means { sockets: config.sockets, kib: config.memory_kib };
        if !self.handover.as_ref().is_some_and(Handover::has_predecessor) {
            self.use_means(self.limits);
        }
        self.share(now);
        let (client_protocol, host_protocol) = protocol_settings(&config.edge);
        self.clients.set_protocol(client_protocol);
        self.hosts.set_protocol(host_protocol);
        if (&config.name, config.listen, &config.deployment)
            != (&self.name, self.listen, self.core.deployment())
        {
            warn!("SIGHUP: a new name, listen or settings count from the next start");
        }
        let fleet = config.edge.fleet.as_ref();
        let same = self.fleet.as_ref().map_or(fleet.is_none(), |link| link.is_settled_by(fleet));
        let federation = config.edge.federation.as_ref();
        let first = config.edge.first.to_string();
        let same = same
            && self.federation.as_ref().map_or(federation.is_none(), |link| {
                link.is_settled_by(federation, &first, config.edge.verdicts, config.edge.zones.as_ref())
            });
        if !same {
            warn!("SIGHUP: what the operator's file says of the fleet and of its first table counts from the next start");
        }
        let since = self.core.directory().version();
        self.discovery.move_to(now, config.discovery, since, &self.poller, &mut self.inbox);
    }

    fn tick(&mut self, now: Instant) {
        let (hosts, mut around) = self.hosts(now);
        hosts.tick(&mut around);
        self.clients.tick(now, &self.poller, &mut self.inbox);
        let since = self.core.directory().version();
        self.discovery.tick(now, since, &self.poller, &mut self.inbox);
        // What has come counts before what is overdue.
        self.settle(now);
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
        };
        self.core.answer_by(self.life.answers_by());
        self.clients.set_admission(now, admission, &self.poller, &mut self.inbox);
        self.clients.admit_waiting_messages(now, &self.poller, &mut self.inbox);
    }

    /// Tells the core what has come and does what it says, until there is nothing more to do. All that has
    /// come is told before anything is done, and attempts begin last, so that news of a drain and clients that have gone
    /// come before the next send.
    fn settle(&mut self, now: Instant) {
        loop {
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
            let (hosts, mut around) = self.hosts(now);
            hosts.serve_waiting(&mut around);
            if self.inbox.is_empty() {
                return;
            }
        }
    }

    fn perform(&mut self, now: Instant, effect: Effect) {
        let (hosts, mut around) = self.hosts(now);
        match effect {
            Effect::Start { attempt, server, body, begin_by, cut_at, permit, send_by } => {
                let leave = FirstByteLimit { permit, send_by };
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
            Effect::Watch(since) => self.discovery.watch(now, since, &self.poller, &mut self.inbox),
        }
    }

    fn hosts(&mut self, now: Instant) -> (&mut Hosts, HostsContext<'_>) {
        let around = HostsContext { now, poller: &self.poller, core: &self.core, inbox: &mut self.inbox };
        (&mut self.hosts, around)
    }
}
