//! A seeded soak: processes of the gateway among a discovery, db hosts and clients that misbehave, and what must hold throughout.
//!
//! Reloads come in series between addresses of one discovery that answers in broken ways; db hosts drain, hang, reset and come
//! back cold; gateways are told to end under traffic and are killed at the earliest moment that the protocol allows.

mod checker;
mod clients;
mod discovery;
mod gateways;
mod hold_ups;
mod plan;
mod servers;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub use checker::{Rule, Violation};
use clients::Clients;
use discovery::Discovery;
use gateways::Gateways;
use hold_ups::HoldUpWatch;
use plan::{Event, Plan};
use servers::Servers;

/// Requests end, and lists arrive, before the checker looks.
const SETTLE: Duration = Duration::from_secs(2);
/// An event that is later than this is recorded with the time for which it was planned.
const NOTABLE_LATENESS: Duration = Duration::from_millis(100);
/// Clients of each gateway.
const CLIENTS: usize = 4;

/// What is played.
pub struct Options {
    /// The shipped program.
    pub program: PathBuf,
    /// All that is drawn by chance follows from it.
    pub seed: u64,
    /// Gateways; drawn, up to 30, if there is no number.
    pub processes: Option<usize>,
    /// How long events are drawn for.
    pub span: Duration,
    /// A library that is loaded into some gateways and puts their wall clocks off, if there is one.
    pub wall_clock_shim: Option<PathBuf>,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// The seed and the number of gateways.
    pub seed: u64,
    /// Gateways.
    pub processes: usize,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Requests of clients that stayed, and those of them that were served.
    pub requests: usize,
    /// Of them.
    pub served: usize,
    /// The most memory that a process had, in KiB.
    pub peak_memory_kib: usize,
    /// Requests that reached db hosts.
    pub arrivals: usize,
    /// The longest deadline; SIGKILL comes 0.7 s later than that after SIGTERM.
    pub deadline: Duration,
    /// What befell whom, with its time in seconds, and the planned one if it was late.
    pub events: Vec<String>,
    /// What the rule on drains is judged by: changes, lists that were written, silences, outages, reloads and starts, with times.
    pub told: Vec<String>,
    /// All requests of clients and all arrivals at db hosts, with times.
    pub traffic: Vec<String>,
    /// When the machine held up the rig or a gateway.
    pub hold_ups: Vec<String>,
    /// The gateways' logs.
    pub logs: Vec<String>,
}

fn event_line(happened: Duration, planned: Duration, event: &Event) -> String {
    let (happened, late) = (happened.as_secs_f64(), happened.saturating_sub(planned));
    match late < NOTABLE_LATENESS {
        true => format!("{happened:.1} {event:?}"),
        false => format!("{happened:.1} {event:?}, planned at {:.1}", planned.as_secs_f64()),
    }
}

/// Plays one seed.
///
/// # Errors
/// If the system has no ports, files or processes.
pub fn play(options: &Options) -> io::Result<Report> {
    let plan = Plan::draw(options.seed, options.span, options.processes);
    let servers = Arc::new(Servers::start());
    let discovery = Discovery::start(plan.processes, servers.entries(), plan.faults, options.seed)?;
    let shim = options.wall_clock_shim.clone();
    let mut gateways = Gateways::start(&options.program, &discovery, &plan, options.seed, shim)?;
    let watch = HoldUpWatch::start(gateways.process_ids());
    let clients = Clients::start(gateways.front(), CLIENTS * plan.processes, plan.deadlines, options.seed);
    let (start, mut crowds, mut events) = (Instant::now(), Vec::new(), Vec::new());
    for (at, event) in &plan.events {
        thread::sleep((start + *at).saturating_duration_since(Instant::now()));
        events.push(event_line(start.elapsed(), *at, event));
        match *event {
            Event::Reload(gateway) => gateways.reload(gateway, &discovery)?,
            Event::Terminate(gateway) => gateways.terminate(gateway),
            Event::Signal(gateway, signal) => gateways.signal_again(gateway, signal),
            Event::Kill(gateway) => gateways.kill_when_allowed(gateway),
            Event::Restart { gateway, wall_clock_off_s } => {
                gateways.restart(gateway, &discovery, wall_clock_off_s)?;
            }
            Event::Server(server, state) => {
                servers.listed(server, state);
                discovery.change(server, state, servers.started_ms(server));
            }
            Event::Mode(server, mode) => servers.set_mode(server, mode),
            Event::DiscoveryDown(down) => discovery.set_down(down),
            Event::Faults(faults) => discovery.set_faults(faults),
            Event::Crowd(gateway) => crowds.push(clients::crowd(gateways.addr(gateway))),
            Event::CrowdLeaves => crowds.clear(),
        }
    }
    discovery.set_down(false);
    thread::sleep(SETTLE);
    let requests = clients.end();
    gateways.end();
    let record = checker::Record {
        changes: discovery.changes(),
        written: discovery.written(),
        silences: discovery.silences(),
        outages: discovery.outages(),
        reloads: gateways.reloads.clone(),
        starts: gateways.starts.clone(),
        arrivals: servers.arrivals(),
        cold_starts: servers.cold_starts(),
        requests,
    };
    let (told, traffic) = (record.told_lines(start), record.traffic_lines(start));
    let stayed: Vec<_> = record.requests.iter().filter(|request| request.left.is_none()).collect();
    let mut violations = checker::violations(&record, start);
    violations.extend(gateways.broken.drain(..).map(|(at, what)| {
        let at_s = at.saturating_duration_since(start).as_secs_f64();
        Violation { rule: Rule::Process, at_s, what }
    }));
    Ok(Report {
        seed: options.seed,
        processes: plan.processes,
        violations,
        peak_memory_kib: gateways.peak_memory_kib,
        requests: stayed.len(),
        served: stayed.iter().filter(|request| request.served()).count(),
        arrivals: record.arrivals.len(),
        deadline: plan.deadlines.order,
        events,
        told,
        traffic,
        hold_ups: watch.end(start),
        logs: gateways.logs(),
    })
}
