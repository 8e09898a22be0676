//! The processes.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process;
use yewroute_standin::Client;

use super::checker::GatewayEvent;
use super::discovery::Discovery;
use super::plan::{Deadlines, Plan, Signal};
use crate::clients::Front;
use crate::{held, own_address, PORTS};

/// The front goes on sending new connections to a gateway that was told to end for so long.
const FRONT_NOTICES_AFTER: Duration = Duration::from_millis(300);
/// The least that a gateway may be given.
const MEMORY_MB: usize = 32;
const READY_WITHIN: Duration = Duration::from_secs(10);
const SETTINGS: &str = include_str!("../../../../gateway/tests/common/settings.json");

/// The settings, with these deadlines.
fn settings(deadlines: Deadlines) -> String {
    let classes = [("1200.0", deadlines.view), ("3000.0", deadlines.order)];
    classes.into_iter().fold(SETTINGS.to_owned(), |text, (default_ms, deadline)| {
        let ms = |value: &str| format!("\"DeadlineMs\": {value}");
        text.replace(&ms(default_ms), &ms(&format!("{}.0", deadline.as_millis())))
    })
}

struct Gateway {
    addr: SocketAddr,
    child: Option<Child>,
    /// When SIGTERM had been sent to this process.
    told_to_end: Option<Instant>,
    /// Which of its two addresses of discovery it has.
    discovery: usize,
}

/// All gateways.
pub struct Gateways {
    program: PathBuf,
    folder: tempfile::TempDir,
    seed: u64,
    shim: Option<PathBuf>,
    settings: String,
    deadlines: Deadlines,
    wall_clock_step_s: i64,
    all: Vec<Gateway>,
    front: Arc<Front>,
    /// The process of each, for the watch; 0 while there is none.
    process_ids: Arc<[AtomicU32]>,
    /// When each was moved.
    pub reloads: Vec<GatewayEvent>,
    /// When each process began.
    pub starts: Vec<GatewayEvent>,
    /// Processes that ended by themselves, or had more memory than they may have.
    pub broken: Vec<(Instant, String)>,
    /// The most memory that one of them had, in KiB.
    pub peak_memory_kib: usize,
}

impl Gateways {
    pub fn start(
        program: &Path,
        discovery: &Discovery,
        plan: &Plan,
        seed: u64,
        shim: Option<PathBuf>,
    ) -> io::Result<Self> {
        let count = plan.processes;
        let own = own_address();
        let addr = |n: usize| SocketAddr::from((own, PORTS + u16::try_from(n).unwrap_or(0)));
        for n in 0..count {
            drop(TcpListener::bind(addr(n))?);
        }
        let gateway = |n: usize| Gateway { addr: addr(n), child: None, told_to_end: None, discovery: 0 };
        let mut gateways = Self {
            program: program.to_owned(),
            folder: tempfile::tempdir()?,
            seed,
            shim,
            settings: settings(plan.deadlines),
            deadlines: plan.deadlines,
            wall_clock_step_s: plan.wall_clock_step_s,
            all: (0..count).map(gateway).collect(),
            front: Arc::default(),
            process_ids: (0..count).map(|_| AtomicU32::new(0)).collect(),
            reloads: Vec::new(),
            starts: Vec::new(),
            broken: Vec::new(),
            peak_memory_kib: 0,
        };
        for n in 0..count {
            gateways.restart(n, discovery, 0)?;
        }
        Ok(gateways)
    }

    pub fn front(&self) -> Arc<Front> {
        Arc::clone(&self.front)
    }

    pub fn addr(&self, n: usize) -> SocketAddr {
        self.all[n].addr
    }

    /// The process of each gateway, 0 while there is none.
    pub fn process_ids(&self) -> Arc<[AtomicU32]> {
        Arc::clone(&self.process_ids)
    }

    fn path(&self, n: usize, what: &str) -> PathBuf {
        self.folder.path().join(format!("g{n}.{what}"))
    }

    fn configure(&self, n: usize, discovery: &Discovery, known: &str) -> io::Result<()> {
        let (listen, at) = (self.all[n].addr, discovery.address(n, self.all[n].discovery));
        let seed = self.seed.wrapping_add(n as u64);
        let settings = &self.settings;
        let text = format!(
            r#"{{"name":"n{n}","listen":"{listen}","discovery":"{at}","seed":"{seed:016x}",
            "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":256}},"known":{known},"settings":{settings}}}"#
        );
        fs::write(self.path(n, "json"), text)
    }

    /// Starts it with the list that it had last, and its wall clock so many seconds off.
    pub fn restart(&mut self, n: usize, discovery: &Discovery, wall_clock_off_s: i64) -> io::Result<()> {
        self.configure(n, discovery, &discovery.known(n))?;
        let log = File::options().create(true).append(true).open(self.path(n, "log"))?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("EDGE_CONFIG", self.path(n, "json")).stderr(log);
        let wall_clock_step_s = if n % 2 == 1 { self.wall_clock_step_s } else { 0 };
        if let Some(shim) = self.shim.as_ref().filter(|_| (wall_clock_off_s, wall_clock_step_s) != (0, 0)) {
            command.env("LD_PRELOAD", shim);
            command.env("WALL_CLOCK_OFF_S", wall_clock_off_s.to_string());
            command.env("WALL_CLOCK_STEP_S", wall_clock_step_s.to_string());
        }
        self.starts.push(GatewayEvent { gateway: n, at: Instant::now() });
        let child = command.spawn()?;
        self.process_ids[n].store(child.id(), Ordering::SeqCst);
        (self.all[n].child, self.all[n].told_to_end) = (Some(child), None);
        self.wait_until_ready(n)?;
        held(&self.front).push((n, self.all[n].addr));
        Ok(())
    }

    fn wait_until_ready(&self, n: usize) -> io::Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < READY_WITHIN {
            if Client::connect(self.all[n].addr).is_ok() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other(format!("g{n} is not ready: {}", fs::read_to_string(self.path(n, "log"))?)))
    }

    /// Guards against: a rig that falls behind its plan by starting a process for each signal.
    fn signal(&self, n: usize, signal: process::Signal) {
        if let Some(child) = &self.all[n].child {
            let _ = process::kill_process(process::Pid::from_child(child), signal);
        }
    }

    /// Moves it to its other address of discovery.
    pub fn reload(&mut self, n: usize, discovery: &Discovery) -> io::Result<()> {
        self.all[n].discovery += 1;
        self.configure(n, discovery, &discovery.known(n))?;
        self.reloads.push(GatewayEvent { gateway: n, at: Instant::now() });
        self.signal(n, process::Signal::HUP);
        Ok(())
    }

    /// A further signal.
    pub fn signal_again(&mut self, n: usize, signal: Signal) {
        match signal {
            Signal::Terminate => self.signal(n, process::Signal::TERM),
            Signal::Reload => {
                self.reloads.push(GatewayEvent { gateway: n, at: Instant::now() });
                self.signal(n, process::Signal::HUP);
            }
        }
    }

    /// Tells it to end. The front notices after a while; clients that are connected go on.
    pub fn terminate(&mut self, n: usize) {
        self.signal(n, process::Signal::TERM);
        self.all[n].told_to_end = Some(Instant::now());
        let front = self.front();
        thread::spawn(move || {
            thread::sleep(FRONT_NOTICES_AFTER);
            held(&front).retain(|(other, _)| *other != n);
        });
    }

    /// Kills it, but not before the protocol allows, however late it was told to end.
    pub fn kill_when_allowed(&mut self, n: usize) {
        if let Some(told_to_end) = self.all[n].told_to_end {
            thread::sleep(self.deadlines.until_kill(told_to_end, Instant::now()));
        }
        self.kill(n);
    }

    fn kill(&mut self, n: usize) {
        held(&self.front).retain(|(other, _)| *other != n);
        self.process_ids[n].store(0, Ordering::SeqCst);
        if let Some(mut child) = self.all[n].child.take() {
            self.look_at(n, &mut child);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sees whether a process has ended by itself, and how much memory it has had.
    fn look_at(&mut self, n: usize, child: &mut Child) {
        let now = Instant::now();
        if let Ok(Some(status)) = child.try_wait() {
            if self.all[n].told_to_end.is_none() || !status.success() {
                self.broken.push((now, format!("g{n} ended by itself: {status}")));
            }
            return;
        }
        let peak = peak_memory_kib(child.id()).unwrap_or(0);
        self.peak_memory_kib = self.peak_memory_kib.max(peak);
        if peak > MEMORY_MB * 1024 {
            self.broken.push((now, format!("g{n} had {peak} KiB, {MEMORY_MB} MB are allowed")));
        }
    }

    /// Ends all that still run.
    pub fn end(&mut self) {
        (0..self.all.len()).for_each(|n| self.kill(n));
    }

    pub fn logs(&self) -> Vec<String> {
        (0..self.all.len()).map(|n| fs::read_to_string(self.path(n, "log")).unwrap_or_default()).collect()
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        self.end();
    }
}

/// The most that a process has had in memory; of a build without optimization the program's file is larger and counts as the release's.
fn peak_memory_kib(process: u32) -> Option<usize> {
    /// What of the release's file is in memory at the most.
    const PROGRAM_KIB: usize = 8 * 1024;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<usize>().ok()
    };
    let program = kib("RssFile:")?;
    Some(kib("VmHWM:")?.saturating_sub(program.saturating_sub(PROGRAM_KIB)))
}
