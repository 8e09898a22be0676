//! Builds a gateway from its configuration, and lets it serve once it has what it waits for.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::info;
use yewroute::interface::ListObservation;
use yewroute_edge::Edge;
use yewroute_federation::bridge::Reader;
use yewroute_ledger::{ByteBudget, Limits as StatementLimits, MemoryBudget};
use yewroute_lifecycle::{Lifecycle, Means};
use yewroute_settings::Deployment;

use super::client::BufferShares;
use super::clients::{ClientMemory, ClientProtocol, Clients};
use super::console::{self, Console};
use super::discovery::{Discovery, DiscoveryMode};
use super::federation::FederationLink;
use super::fleet::FleetLink;
use super::handover::Handover;
use super::hosts::{HostProtocol, Hosts, ReceiveLimits};
use super::listener;
use super::memory_wait::WaitTerms;
use super::poller::{Interest, Poller, Token};
use super::sent_ids::SentIdLink;
use super::signals::Signals;
use super::{Gateway, Input, RunError, RESERVED_DESCRIPTORS};
use crate::clock::Clock;
use crate::config::{against, Config};
use crate::core::{Core, Known, Near};
use crate::memory_plan::MemoryPlan;
use crate::proto::pg::exchange::Dialect;
use crate::proto::pg::session::{Limits, Terms};

/// How long a gateway that is run by a console waits for a list before it serves without one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Where lists are pushed, what the agent has counts from the first moment of a process: how long that waits for it before it
/// serves with the list that was known.
const FIRST_PUSHED_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long it waits for the listener of the process that it replaces.
const LISTENER_HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// What a process waits for before it serves.
pub(super) struct StartConditions {
    /// A list with a db host that takes requests; and the agent's, where lists are pushed.
    pub(super) list_by: Instant,
    /// The listener of the process before it; then it binds one itself.
    pub(super) listener_by: Instant,
    pub(super) listener: Option<TcpListener>,
}

/// How clients and db hosts are spoken to, as the operator's file says.
pub(super) fn protocol_settings(edge: &Edge) -> (ClientProtocol, HostProtocol) {
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
fn table_reader(edge: Edge, deployment: Deployment) -> Reader {
    Arc::new(move |text, groups| {
        let table = yewroute_edge::table("table", text)?;
        match table.faults(&against(&deployment, &edge, groups)) {
            faults if faults.is_empty() => Ok(table),
            faults => Err(faults),
        }
    })
}

/// How many connections clients and db hosts may have, of so many descriptors.
pub(super) fn descriptor_shares(sockets: usize, console: usize) -> (usize, usize) {
    /// While two processes share a small limit.
    const MIN_USABLE: usize = 8;
    let usable = sockets.saturating_sub(RESERVED_DESCRIPTORS + console).max(MIN_USABLE);
    (usable - usable / 2, usable / 2)
}

/// What each connection of a client may take by this plan.
pub(super) fn buffer_shares(plan: &MemoryPlan) -> BufferShares {
    BufferShares { read: plan.client_read, write: plan.client_write, unsent: plan.client_unsent }
}

/// How much of a value is taken in at a time by this plan.
pub(super) fn receive_limits(plan: &MemoryPlan) -> ReceiveLimits {
    ReceiveLimits { piece: plan.client_write, unread: plan.host_unread }
}

/// The operators' console, where there is one.
fn open_console(
    now: Instant,
    addr: Option<SocketAddr>,
    descriptors: usize,
    poller: &Poller,
) -> Result<Option<Console>, RunError> {
    let Some(addr) = addr else { return Ok(None) };
    let console = Console::listen(now, addr, descriptors, poller);
    console.map(Some).map_err(|error| RunError::Console(addr, error))
}

/// Where this gateway stands, if that counts for reads.
fn location(edge: &Edge) -> Option<Near> {
    let fleet = edge.fleet.as_ref().filter(|_| edge.zones.is_some() || edge.federation.is_some())?;
    let mut zones = Vec::new();
    for (region, zones_there) in &fleet.regions {
        zones.extend(zones_there.iter().map(|zone| (zone.clone(), region.clone())));
    }
    Some(Near { zone: fleet.zone.clone(), zones, first: edge.zones.is_some() })
}

/// The link to the other gateways, where the operator's file asks for it.
fn open_fleet(now: Instant, config: &Config, poller: &Poller) -> Result<Option<FleetLink>, RunError> {
    let Some(settled) = config.edge.fleet.clone() else { return Ok(None) };
    let (listen, operated) = (settled.listen, config.console.is_some());
    let link = FleetLink::begin(now, settled, &config.name, config.seed, operated, poller);
    link.map(Some).map_err(|error| RunError::Fleet(listen, error))
}

/// The federation's tasks, where the operator's file asks for them.
fn open_federation(
    now: Instant,
    config: &Config,
    deployment: &Deployment,
    poller: &Poller,
) -> Result<Option<FederationLink>, RunError> {
    let Some(settled) = config.edge.federation.clone() else { return Ok(None) };
    let first_table = config.edge.first.to_string();
    let reader = table_reader(config.edge.clone(), deployment.clone());
    let link = FederationLink::new(now, (settled, first_table), &config.name, reader, poller)?;
    Ok(Some(link.judging(config.edge.verdicts, config.edge.zones.clone())))
}

impl Gateway {
    pub(super) fn new(mut config: Config, signals: Signals) -> Result<Self, RunError> {
        let now = Instant::now();
        let poller = Poller::new()?;
        poller.add(&signals, Token::Signals, Interest::READ)?;
        let console_share = config.console.map_or(0, |_| console::share(config.sockets));
        let limits = Means { sockets: config.sockets, kib: config.memory_kib };
        let (most_clients, most_hosts) = descriptor_shares(limits.sockets, console_share);
        let plan = MemoryPlan::of(limits.kib, most_clients);
        let (client_protocol, host_protocol) = protocol_settings(&config.edge);
        let operated = config.console.is_some();
        let statement_memory = MemoryBudget::new(StatementLimits::fixed(plan.statements));
        let answer_memory = ByteBudget::new(plan.answers);
        let memory = ClientMemory {
            statements: statement_memory.clone(),
            answers: answer_memory.clone(),
            sessions: ByteBudget::new(plan.sessions),
        };
        let memory = (memory, WaitTerms::of(&config.deployment.module));
        let clients = Clients::new(now, most_clients, buffer_shares(&plan), memory, client_protocol);
        let console = open_console(now, config.console, console_share, &poller)?;
        let deployment = config.deployment.clone();
        let discovery_mode = DiscoveryMode {
            pushed: deployment.module.discovery == yewroute::interface::Discovery::Automatic,
            must_ask_in: deployment.module.rules.must_ask_in,
        };
        let longest_deadline = deployment.module.classes.iter().map(|class| class.deadline).max();
        let longest_deadline = longest_deadline.unwrap_or_default();
        let hosts = Hosts::new(
            now,
            most_hosts,
            (answer_memory.clone(), receive_limits(&plan)),
            host_protocol,
            deployment.connect_timeout,
            deployment.keepalive,
        );
        let near = location(&config.edge);
        let mut effects = Vec::new();
        let mut core = Core::new(
            now,
            Clock::start(),
            deployment,
            config.seed,
            statement_memory.clone(),
            Known { members: std::mem::take(&mut config.known), near },
            &mut effects,
        )?;
        core.limit_ids(plan.request_ids);
        core.handle(now, Input::ListObserved(ListObservation::Began), &mut effects);
        if let Some(console) = &console {
            info!(addr = %console.addr()?, "console listening");
        }
        let folder = std::env::var_os("TMPDIR").filter(|_| operated).map(PathBuf::from);
        let sent_ids = folder.as_deref().map(|folder| SentIdLink::begin(folder, config.listen));
        let handover = folder.map(|folder| Handover::begin(folder, config.listen, &poller));
        let older = handover.as_ref().is_some_and(Handover::has_predecessor);
        let fleet = open_fleet(now, &config, &poller)?;
        if fleet.is_some() {
            core.count_loads(now);
        }
        let federation = open_federation(now, &config, core.deployment(), &poller)?;
        let pushed_wait = if discovery_mode.pushed { FIRST_PUSHED_LIST_TIMEOUT } else { Duration::ZERO };
        let awaiting = StartConditions {
            list_by: if operated { now + FIRST_LIST_TIMEOUT } else { now + pushed_wait },
            listener_by: if older { now + LISTENER_HANDOVER_TIMEOUT } else { now },
            listener: None,
        };
        let mut gateway = Self {
            poller,
            clients,
            hosts,
            discovery: Discovery::new(now, config.discovery, discovery_mode, config.seed),
            signals,
            console,
            fleet,
            federation,
            core,
            statement_memory,
            answer_memory,
            life: Lifecycle::new(longest_deadline),
            handover,
            sent_ids,
            awaiting: Some(awaiting),
            list_expired: false,
            limits,
            means: limits,
            share_at: None,
            console_share,
            name: config.name,
            listen: config.listen,
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
    pub(super) fn start(&mut self, now: Instant) -> Result<(), RunError> {
        let Some(awaiting) = &mut self.awaiting else { return Ok(()) };
        let listed = self.core.directory().first_group().is_some() && !self.discovery.lacks_pushed_list();
        if now < awaiting.list_by && !listed || now < awaiting.listener_by && awaiting.listener.is_none() {
            return Ok(());
        }
        let in_place_of_another = self.handover.as_ref().is_some_and(Handover::has_predecessor);
        let handed = awaiting.listener.take();
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
        self.awaiting = None;
        self.life.serves();
        if in_place_of_another {
            self.inbox.push_back(Input::ListObserved(ListObservation::TookOver { at: now }));
        }
        if let Some(handover) = &mut self.handover {
            handover.serve(&self.poller);
        }
        if let Some(sent_ids) = &mut self.sent_ids {
            sent_ids.serve(&self.poller);
        }
        Ok(())
    }
}
