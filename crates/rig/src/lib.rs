//! Starts processes of the gateway and puts faults between them: relays for their datagrams, and signals to end, stop and
//! go on. It sees what the console, clients and db hosts see, and nothing of the gateway's insides.
#![forbid(unsafe_code)]

pub mod allocators;
mod between;
pub mod channel_clients;
pub mod checks;
pub mod clients;
pub mod console;
pub mod demand;
pub mod hints;
pub mod limits;
pub mod orders;
pub mod outside;
pub mod plan;
pub mod play;
mod relay;
mod rules;
pub mod soak;
mod table_rules;
pub mod tcp;
pub mod world;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fs, thread};

use serde_json::Value;

use allocators::AllocatorWatch;
pub use relay::{Relays, Weather};
pub use rules::Rules;
pub use table_rules::TableRules;
use world::World;

/// Long enough for anything that comes at all.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often something that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// The fleet's key in the rig.
const KEY: &str = "5be4c1d09a8f37e2";

pub(crate) fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How gateways are set up; all alike but for name and zone.
pub struct Setup {
    /// The shipped program.
    pub program: PathBuf,
    /// The configuration's `known` and `settings`, and where discovery is.
    pub known: String,
    /// The settings.
    pub settings: String,
    /// Discovery; nobody needs to be there.
    pub discovery: SocketAddr,
    /// Db hosts and lists of their own for each gateway, in place of `known` and `discovery`.
    pub world: Option<Arc<World>>,
    /// Zones, dealt out in turn; the first half is one region.
    pub zones: Vec<&'static str>,
    /// How many gateways are named as seeds, the first ones.
    pub seeds: usize,
    /// For the faults on the way.
    pub seed: u64,
    /// Reads are asked near first.
    pub near: bool,
    /// Each zone is a region of its own.
    pub apart: bool,
    /// What gateways say to each other goes through relays; without them nothing can be put between gateways, and they cost
    /// no time.
    pub relayed: bool,
    /// Gateways act by a common table.
    pub federation: bool,
    /// Keys of `federation(…)`, such as `"lease_s = 2"`.
    pub federation_keys: String,
    /// More of the operator's file: the first table and other calls.
    pub table: String,
    /// Settings of gateways that have others than the rest; none where it gives none.
    pub settings_of: Option<SettingsOf>,
    /// Each gateway's memory, in MB.
    pub memory_mb: usize,
    /// Each gateway's descriptors.
    pub sockets: usize,
}

/// A gateway's own settings, if it has any, by its number.
pub type SettingsOf = Box<dyn Fn(usize) -> Option<String> + Send + Sync>;

impl Setup {
    /// Gateways of this program with these settings, in zones a, b and c, with three seeds and relays between them.
    #[must_use]
    pub fn new(program: PathBuf, settings: &str) -> Self {
        Self {
            program,
            known: String::new(),
            settings: settings.to_owned(),
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            world: None,
            zones: vec!["a", "b", "c"],
            seeds: 3,
            seed: 1,
            near: false,
            apart: false,
            relayed: true,
            federation: false,
            federation_keys: String::new(),
            table: String::new(),
            settings_of: None,
            memory_mb: 64,
            sockets: 256,
        }
    }
}

/// A gateway's process.
struct Process {
    child: Child,
    clients: SocketAddr,
    console: SocketAddr,
}

/// Gateways with relays between them.
pub struct Rig {
    setup: Setup,
    folder: tempfile::TempDir,
    /// The way between them.
    pub relays: Relays,
    listens: Vec<SocketAddr>,
    processes: Vec<Option<Process>>,
}

/// An address of loopback for this rig alone. Guards against: a port that is freed for a gateway and taken by another
/// rig, or by a relay, before the gateway has it.
fn own_address() -> Ipv4Addr {
    static RIGS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 127, low, 1 + RIGS.fetch_add(1, Ordering::SeqCst) % 254)
}

/// Ports of the gateways and of their relays on an address of the rig's own, for datagrams and connections alike. They are
/// below those that the system gives out. Guards against: a gateway's connection to another that has taken the port of one
/// that is being started again.
const PORTS: u16 = 10_000;
const RELAY_PORTS: u16 = 20_000;
/// Addresses that are tried before the system is said to have none.
const TRIES: usize = 8;

/// Places that nobody has for so many gateways, and the relays before them.
fn places(setup: &Setup, count: usize) -> io::Result<(Vec<SocketAddr>, Relays)> {
    let find = || {
        let own = own_address();
        let listens: Vec<_> = (PORTS..).take(count).map(|port| SocketAddr::from((own, port))).collect();
        for at in &listens {
            drop((TcpListener::bind(at)?, UdpSocket::bind(at)?));
        }
        let relayed = if setup.relayed { &listens[..] } else { &[] };
        Relays::start(own, RELAY_PORTS, relayed, setup.seed).map(|relays| (listens, relays))
    };
    let mut found = find();
    for _ in 1..TRIES {
        if found.is_ok() {
            break;
        }
        found = find();
    }
    found
}

impl Rig {
    /// So many gateways, none of them running yet.
    ///
    /// # Errors
    /// The system has no port or no room for files.
    pub fn new(setup: Setup, count: usize) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let (listens, relays) = places(&setup, count)?;
        let key = folder.path().join("fleet.key");
        fs::write(&key, KEY.repeat(4))?;
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600))?;
        let processes = (0..count).map(|_| None).collect();
        Ok(Self { setup, folder, relays, listens, processes })
    }

    /// That zone's place among the zones.
    #[must_use]
    pub fn zone_number(&self, n: usize) -> usize {
        n % self.setup.zones.len()
    }

    /// The fleet's key, for members that the rig does not start.
    #[must_use]
    pub fn key(&self) -> [u8; 32] {
        let digit = |at: usize| u8::from_str_radix(&KEY[at..at + 2], 16).expect("hexadecimal");
        std::array::from_fn(|at| digit(2 * at % KEY.len()))
    }

    /// The zone a gateway stands in.
    #[must_use]
    pub fn zone(&self, n: usize) -> &'static str {
        self.setup.zones[n % self.setup.zones.len()]
    }

    fn write_files(
        &self,
        n: usize,
        listen: SocketAddr,
        advertise: SocketAddr,
        table: &str,
    ) -> io::Result<(PathBuf, PathBuf)> {
        let own = self.setup.settings_of.as_ref().and_then(|of| of(n));
        let settings = own.as_ref().unwrap_or(&self.setup.settings);
        let (memory_mb, sockets) = (self.setup.memory_mb, self.setup.sockets);
        let (known, discovery) = match &self.setup.world {
            Some(world) => (world.list(n), world.discovery(n)),
            None => (self.setup.known.clone(), self.setup.discovery),
        };
        let config = self.folder.path().join(format!("g{n}.json"));
        fs::write(
            &config,
            format!(
                r#"{{"name":"g{n}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{n:x}1",
                "limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
            ),
        )?;
        let zones = &self.setup.zones;
        let (north, south) = zones.split_at(zones.len().div_ceil(2));
        let regions = if self.setup.apart {
            let region = |zone: &&str| format!("\"region-{zone}\": [\"{zone}\"]");
            zones.iter().map(region).collect::<Vec<_>>().join(", ")
        } else {
            format!("\"north\": {north:?}, \"south\": {south:?}")
        };
        let seeds: Vec<String> =
            (0..self.listens.len().min(self.setup.seeds)).map(|n| self.place(n).to_string()).collect();
        let edge = self.folder.path().join(format!("g{n}.star"));
        fs::write(
            &edge,
            format!(
                "fleet(listen = \"{listen}\", advertise = \"{advertise}\", seeds = {seeds:?}, key_file = \"fleet.key\", \
                 zone = \"{}\", regions = {{{regions}}})\n{}{}{table}\n",
                self.zone(n),
                if self.setup.near { "zones()\n" } else { "" },
                if self.setup.federation {
                    format!("federation({})\n", self.setup.federation_keys)
                } else {
                    String::new()
                }
            ),
        )?;
        Ok((config, edge))
    }

    fn spawn(&self, config: &Path, edge: &Path, log: &Path) -> io::Result<Process> {
        // A process finds the one before it, and no other gateway, by this folder.
        let own = log.with_extension("tmp");
        fs::create_dir_all(&own)?;
        let log_file = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let from = fs::metadata(log)?.len() as usize;
        let child = Command::new(&self.setup.program)
            .args(["run".as_ref(), "--edge".as_ref(), edge.as_os_str()])
            .env_clear()
            .env("EDGE_CONFIG", config)
            .env("TMPDIR", &own)
            .env("EDGE_CONSOLE", "127.0.0.1:0")
            .stderr(Stdio::from(log_file))
            .spawn()?;
        let start = Instant::now();
        loop {
            let text = fs::read_to_string(log)?;
            let text = text.get(from..).unwrap_or_default();
            let place = |mark: &str| {
                let line =
                    text.lines().find(|line| line.contains(mark) && text.contains(&format!("{line}\n")))?;
                line.rsplit("addr=").next()?.parse().ok()
            };
            if let (Some(console), Some(clients)) =
                (place("msg=\"console listening\""), place("msg=listening "))
            {
                return Ok(Process { child, clients, console });
            }
            if start.elapsed() > PATIENCE {
                return Err(io::Error::other(format!("it does not say where it listens: {text}")));
            }
            thread::sleep(LOOK);
        }
    }

    /// Starts a gateway, or starts it again under its old name and at its old place.
    ///
    /// # Errors
    /// It does not come up.
    pub fn start(&mut self, n: usize) -> io::Result<()> {
        let (config, edge) = self.write_files(n, self.listens[n], self.place(n), &self.setup.table)?;
        self.processes[n] = Some(self.spawn(&config, &edge, &self.log_path(n))?);
        Ok(())
    }

    /// Kills a gateway if it runs, and starts it under its old name with another first table in its operator's file.
    ///
    /// # Errors
    /// It does not come up.
    pub fn restart_with(&mut self, n: usize, table: &str) -> io::Result<()> {
        self.kill(n);
        let (config, edge) = self.write_files(n, self.listens[n], self.place(n), table)?;
        self.processes[n] = Some(self.spawn(&config, &edge, &self.log_path(n))?);
        Ok(())
    }

    /// Starts one more process under a gateway's name, at a place of its own: a mistake. The console's address is its.
    ///
    /// # Errors
    /// It does not come up.
    pub fn start_twin(&mut self, n: usize) -> io::Result<usize> {
        let listen = UdpSocket::bind((own_address(), 0))?.local_addr()?;
        let (config, edge) = self.write_files(n, listen, listen, &self.setup.table)?;
        let twin = self.processes.len();
        let process = self.spawn(&config, &edge, &self.log_path(twin))?;
        self.processes.push(Some(process));
        Ok(twin)
    }

    /// Starts the process that replaces a gateway's, which goes on until it is ended; gives the older one's new number.
    ///
    /// # Errors
    /// It does not come up.
    pub fn replace(&mut self, n: usize) -> io::Result<usize> {
        let older = self.processes[n].take();
        let config = self.folder.path().join(format!("g{n}.json"));
        let edge = self.folder.path().join(format!("g{n}.star"));
        self.processes.push(older);
        self.processes[n] = Some(self.spawn(&config, &edge, &self.log_path(n))?);
        Ok(self.processes.len() - 1)
    }

    /// Watches who becomes the allocator of a limit, of the gateways asked for at first.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn watch_allocators(&self) -> io::Result<AllocatorWatch> {
        let paths: Vec<PathBuf> = (0..self.listens.len()).map(|n| self.log_path(n)).collect();
        AllocatorWatch::start(&paths)
    }

    fn log_path(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("g{n}.log"))
    }

    /// What a gateway has logged.
    #[must_use]
    pub fn log(&self, n: usize) -> String {
        fs::read_to_string(self.log_path(n)).unwrap_or_default()
    }

    /// Waits for the end of a process that has been told to end; true if it exits with 0.
    pub fn ends(&mut self, n: usize) -> bool {
        let process = self.processes[n].take();
        process.is_some_and(|mut process| process.child.wait().is_ok_and(|status| status.success()))
    }

    /// Those that run, of the gateways asked for at first.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.listens.len()).filter(|n| self.processes[*n].is_some()).collect()
    }

    /// Sends a signal, such as `STOP`, to a gateway's process.
    ///
    /// # Errors
    /// It does not run.
    pub fn signal(&self, n: usize, signal: &str) -> io::Result<()> {
        let process = self.processes[n].as_ref().ok_or_else(|| io::Error::other("not running"))?;
        let pid = process.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &pid]).status()?.success();
        if sent {
            Ok(())
        } else {
            Err(io::Error::other(format!("no {signal} to {pid}")))
        }
    }

    /// Kills a gateway outright.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.processes[n].take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Ends a gateway by SIGTERM; true if it exits with 0.
    ///
    /// # Errors
    /// It does not run.
    pub fn end(&mut self, n: usize) -> io::Result<bool> {
        self.signal(n, "TERM")?;
        let process = self.processes[n].take();
        process.map_or(Ok(false), |mut process| Ok(process.child.wait()?.success()))
    }

    /// Where clients connect.
    ///
    /// # Panics
    /// If it does not run.
    #[must_use]
    pub fn clients(&self, n: usize) -> SocketAddr {
        self.processes[n].as_ref().expect("it runs").clients
    }

    /// Where others reach a gateway.
    fn place(&self, n: usize) -> SocketAddr {
        if self.setup.relayed {
            self.relays.addr(n)
        } else {
            self.listens[n]
        }
    }

    /// A gateway's process.
    #[must_use]
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.processes[n].as_ref().map(|process| process.child.id())
    }

    /// Where a gateway's own datagram socket is, behind its relay.
    #[must_use]
    pub fn datagrams(&self, n: usize) -> SocketAddr {
        self.listens[n]
    }

    /// An operator's call: status and body.
    ///
    /// # Errors
    /// It does not run or does not answer.
    pub fn call(&self, n: usize, call: &str) -> io::Result<(u16, String)> {
        self.call_with(n, call, "")
    }

    /// An operator's call with a body, such as `PUT /table`: status and body.
    ///
    /// # Errors
    /// It does not run or does not answer.
    pub fn call_with(&self, n: usize, call: &str, body: &str) -> io::Result<(u16, String)> {
        console::call(self.console(n)?, call, body)
    }

    /// Where a gateway's console is.
    ///
    /// # Errors
    /// It does not run.
    pub fn console(&self, n: usize) -> io::Result<SocketAddr> {
        let process = self.processes[n].as_ref();
        process.map(|process| process.console).ok_or_else(|| io::Error::other("not running"))
    }

    /// The ways, each way, between those in a zone and all others, to be cut.
    #[must_use]
    pub fn cut_off(&self, zone: &str) -> Vec<(usize, usize)> {
        let all = || 0..self.listens.len();
        let across = |(n, m): &(usize, usize)| (self.zone(*n) == zone) != (self.zone(*m) == zone);
        all().flat_map(|n| all().map(move |m| (n, m))).filter(across).collect()
    }

    /// Proposes a table at a gateway: status, and what it says of it.
    ///
    /// # Errors
    /// It does not run or does not answer.
    pub fn put_table(&self, n: usize, text: &str) -> io::Result<(u16, Value)> {
        console::put_table(self.console(n)?, text)
    }

    /// The whole of `GET /table`; null where there is none.
    #[must_use]
    pub fn table(&self, n: usize) -> Value {
        let body = self.call(n, "GET /table").map(|(_, body)| body).unwrap_or_default();
        serde_json::from_str(&body).unwrap_or(Value::Null)
    }

    /// What a gateway says of a member, such as its `state`; empty where it does not know it.
    #[must_use]
    pub fn sees(&self, n: usize, member: usize, key: &str) -> String {
        let view: Value = self.view(n);
        let members = view["members"].as_array().cloned().unwrap_or_default();
        let name = format!("g{member}");
        let found = members.iter().find(|other| other["name"] == name.as_str());
        found.map_or(String::new(), |found| found[key].to_string().trim_matches('"').to_owned())
    }

    /// The whole of `GET /fleet`; null where there is none.
    #[must_use]
    pub fn view(&self, n: usize) -> Value {
        let body = self.call(n, "GET /fleet").map(|(_, body)| body).unwrap_or_default();
        serde_json::from_str(&body).unwrap_or(Value::Null)
    }

    /// A figure, none if it is not told.
    #[must_use]
    pub fn figure(&self, n: usize, name: &str) -> Option<u64> {
        let (_, body) = self.call(n, "GET /metrics").ok()?;
        body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// All of these say the same of the group: its epoch, leader and voters. Nothing while they differ or there is none.
    #[must_use]
    pub fn group(&self, viewers: &[usize]) -> Option<(String, usize, Vec<usize>)> {
        let number = |name: &Value| name.as_str()?.strip_prefix('g')?.parse::<usize>().ok();
        let said = |n: &usize| {
            let view = self.view(*n);
            let voters = view["voters"].as_array()?.iter().map(number).collect::<Option<Vec<_>>>()?;
            Some((view["epoch"].as_str()?.to_owned(), number(&view["leader"])?, voters))
        };
        let first = said(viewers.first()?)?;
        viewers.iter().all(|n| said(n).as_ref() == Some(&first)).then_some(first)
    }

    /// Every one of `viewers` sees every one of `members` in this state.
    #[must_use]
    pub fn all_see(&self, viewers: &[usize], members: &[usize], state: &str) -> bool {
        viewers.iter().all(|n| {
            let view = self.view(*n);
            let known = view["members"].as_array().cloned().unwrap_or_default();
            let so = |member: &usize| {
                let name = format!("g{member}");
                known.iter().any(|other| other["name"] == name.as_str() && other["state"] == state)
            };
            members.iter().all(so)
        })
    }

    /// Waits until it is so and says how long that took.
    ///
    /// # Panics
    /// If it is not so within `most`: with the seed and all logs.
    pub fn until(&self, what: &str, most: Duration, mut so: impl FnMut(&Self) -> bool) -> Duration {
        let start = Instant::now();
        while !so(self) {
            if start.elapsed() > most {
                let logs: Vec<String> =
                    self.running().iter().map(|n| format!("g{n}:\n{}", self.log(*n))).collect();
                panic!("{what}: not within {most:?}, seed {}\n{}", self.setup.seed, logs.join("\n"));
            }
            thread::sleep(LOOK);
        }
        start.elapsed()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
