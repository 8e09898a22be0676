//! The gateway as a process among stand-ins that do as a test says.

// Each test program uses its own part of this.
#![allow(dead_code)]

pub mod calls;
pub mod pair;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use yewroute_standin::*;

/// Long enough for anything that comes at all.
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for something that comes soon; `told` is said when it does not.
pub fn until(come: impl Fn() -> bool, told: impl Fn() -> String) {
    let start = Instant::now();
    while !come() {
        assert!(start.elapsed() < PATIENCE, "{}", told());
        thread::sleep(Duration::from_millis(5));
    }
}

/// The build under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_yewroute");

/// One process of a gateway.
struct Process {
    child: Child,
    addr: SocketAddr,
    console: Option<SocketAddr>,
    log: Arc<Mutex<String>>,
}

impl Process {
    fn spawn(
        program: &Path,
        folder: &tempfile::TempDir,
        discovery: SocketAddr,
        edge: bool,
        operated: bool,
    ) -> Self {
        let mut command = Command::new(program);
        if edge {
            command.arg("run").arg("--edge").arg(folder.path().join("edge.star"));
        }
        let mut child = command
            .env_clear()
            .env("EDGE_CONFIG", folder.path().join("config.json"))
            .env("TMPDIR", folder.path())
            .envs(operated.then_some(("EDGE_CONSOLE", "127.0.0.1:0")))
            .env("EDGE_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        // The console's line comes first, then, once it serves, the clients'.
        let (mut addr, mut console) = (None, None);
        while addr.is_none() {
            let line = lines.next().expect("it says where it listens").unwrap();
            let place = line.rsplit("addr=").next().and_then(|addr| addr.parse::<SocketAddr>().ok());
            if line.contains("console listening") {
                console = place;
            } else {
                addr = place.filter(|_| line.contains("msg=listening"));
            }
        }
        let log = Arc::new(Mutex::new(String::new()));
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { child, addr: addr.unwrap(), console, log }
    }
}

/// What the configuration says of a process's limits.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 256 }
    }
}

/// The resident memory of a process, and the part of it that is the program's own file, in bytes.
pub fn resident(pid: u32) -> (usize, usize) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let kib = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.split_whitespace().next().unwrap().parse::<usize>().unwrap()
    };
    (kib("VmRSS:") * 1024, kib("RssFile:") * 1024)
}

/// Looks at a gateway's memory every millisecond until it is told to end, and says the most that it had beside its program.
pub fn watch_memory(pid: u32, ends: Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        let mut peak = 0;
        while !ends.load(Ordering::SeqCst) {
            let (all, program) = resident(pid);
            peak = peak.max(all - program);
            thread::sleep(Duration::from_millis(1));
        }
        peak
    })
}

/// The gateway and its discovery.
pub struct Gateway {
    child: Child,
    pub addr: SocketAddr,
    pub news: Sender<String>,
    /// The first lines of the calls that discovery got.
    pub calls: Arc<Mutex<Vec<String>>>,
    log: Arc<Mutex<String>>,
    /// Where discovery is at the start.
    pub discovery: SocketAddr,
    config: String,
    folder: Arc<tempfile::TempDir>,
    /// Where its console is, if it has one.
    pub console: Option<SocketAddr>,
}

impl Gateway {
    pub fn start(known: &str) -> Self {
        Self::start_with(known, include_str!("settings.json"))
    }

    pub fn start_with(known: &str, settings: &str) -> Self {
        Self::start_after(&[], known, settings)
    }

    /// Discovery answers the first calls as given, and closes; only then does it open a watch.
    pub fn start_after(first: &'static [&'static str], known: &str, settings: &str) -> Self {
        Self::launch(Path::new(PROGRAM), first, known, settings, None, false)
    }

    /// The gateway with a discovery that is elsewhere.
    pub fn told_by(discovery: SocketAddr, known: &str, settings: &str) -> Self {
        let (news, calls) = (channel().0, Arc::default());
        let discovery = Discovery { addr: discovery, news, calls };
        Self::launch_with(Path::new(PROGRAM), discovery, known, (settings, Limits::default()), None, false)
    }

    /// The gateway with these limits, a console, and an operator's file if there is one.
    pub fn limited(known: &str, edge: Option<&str>, limits: Limits) -> Self {
        let (program, settings) = (Path::new(PROGRAM), include_str!("settings.json"));
        Self::launch_with(program, Discovery::start(&[]), known, (settings, limits), edge, true)
    }

    /// The gateway with an operator's file.
    pub fn with_edge(known: &str, edge: &str) -> Self {
        Self::launch(Path::new(PROGRAM), &[], known, include_str!("settings.json"), Some(edge), false)
    }

    /// The gateway with a console.
    pub fn operated(known: &str) -> Self {
        Self::launch(Path::new(PROGRAM), &[], known, include_str!("settings.json"), None, true)
    }

    /// The gateway with a console and these settings.
    pub fn operated_with(known: &str, settings: &str) -> Self {
        Self::launch(Path::new(PROGRAM), &[], known, settings, None, true)
    }

    /// The same with a console.
    pub fn operated_by(discovery: SocketAddr, known: &str) -> Self {
        let (news, calls) = (channel().0, Arc::default());
        let discovery = Discovery { addr: discovery, news, calls };
        let settings = (include_str!("settings.json"), Limits::default());
        Self::launch_with(Path::new(PROGRAM), discovery, known, settings, None, true)
    }

    /// Another build of the program.
    pub fn of(program: &Path, known: &str) -> Self {
        Self::launch(program, &[], known, include_str!("settings.json"), None, false)
    }

    fn launch(
        program: &Path,
        first: &'static [&'static str],
        known: &str,
        settings: &str,
        edge: Option<&str>,
        operated: bool,
    ) -> Self {
        let settings = (settings, Limits::default());
        Self::launch_with(program, Discovery::start(first), known, settings, edge, operated)
    }

    fn launch_with(
        program: &Path,
        discovery: Discovery,
        known: &str,
        (settings, limits): (&str, Limits),
        edge: Option<&str>,
        operated: bool,
    ) -> Self {
        let Discovery { addr: discovery_addr, news, calls } = discovery;
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let Limits { memory_mb, sockets } = limits;
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_addr}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&path, &config).unwrap();
        if let Some(edge) = edge {
            std::fs::write(folder.path().join("edge.star"), edge).unwrap();
        }
        let folder = Arc::new(folder);
        let process = Process::spawn(program, &folder, discovery_addr, edge.is_some(), operated);
        let Process { child, addr, console, log } = process;
        Self { child, addr, news, calls, log, discovery: discovery_addr, config, folder, console }
    }

    /// Starts the program once more beside this process, as an operator does to replace it.
    pub fn replacement(&self) -> Self {
        let Process { child, addr, console, log } =
            Process::spawn(Path::new(PROGRAM), &self.folder, self.discovery, false, true);
        let (news, calls) = (self.news.clone(), Arc::clone(&self.calls));
        let (config, folder) = (self.config.clone(), Arc::clone(&self.folder));
        Self { child, addr, news, calls, log, discovery: self.discovery, config, folder, console }
    }

    /// One primary and one replica, both well.
    pub fn pair(primary: &Host, replica: &Host) -> Self {
        Self::start(&pair(primary, replica))
    }

    pub fn client(&self) -> Client {
        let mut client = Client::raw(self.addr);
        client.stream.write_all(&startup()).unwrap();
        assert_eq!(client.answer().last(), Some(&b'Z'), "welcomed");
        client
    }

    /// An operator's call: status and body.
    pub fn call(&self, call: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.console.expect("with a console")).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(format!("{call} HTTP/1.1\r\nHost: gateway\r\n\r\n").as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("{text:?}"));
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    /// A figure, such as `svc_outstanding`.
    pub fn figure(&self, name: &str) -> u64 {
        let (status, body) = self.call("GET /metrics");
        assert_eq!(status, 200);
        let value = body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no {name} in {body}")).parse().unwrap()
    }

    /// The figures of requests that were not served and of attempts that failed.
    pub fn refusals(&self) -> String {
        let (_, body) = self.call("GET /metrics");
        let told =
            |line: &&str| line.starts_with("svc_unserved{") || line.starts_with("svc_failed_attempts{");
        let lines = body.lines().filter(|line| told(line) && !line.ends_with(" 0"));
        lines.collect::<Vec<_>>().join("\n")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts `to` in the place of `from` in the configuration it was started with, and sends SIGHUP.
    pub fn reload(&self, from: &str, to: &str) {
        assert!(self.config.contains(from), "{from}");
        self.reload_text(self.config.replace(from, to).as_bytes());
    }

    /// Puts another configuration in place and sends SIGHUP.
    pub fn reload_text(&self, config: &[u8]) {
        std::fs::write(self.config_path(), config).unwrap();
        self.hang_up();
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// The configuration that it was started with.
    pub fn config(&self) -> &str {
        &self.config
    }

    /// Where its configuration is.
    pub fn config_path(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Puts another operator's file in place and sends SIGHUP.
    pub fn reload_edge(&self, edge: &str) {
        std::fs::write(self.folder.path().join("edge.star"), edge).unwrap();
        self.signal("-HUP");
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits until the log has `text`.
    pub fn logs(&self, text: &str) {
        until(|| self.log().contains(text), || self.log());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A statement of a class, with an id of its own; `more` goes into its comment.
pub fn statement(class: &str, wait_ms: u32, more: &str) -> String {
    static MADE: AtomicU32 = AtomicU32::new(0);
    let id = MADE.fetch_add(1, Ordering::SeqCst);
    let verb = match class {
        "order" => "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc",
        _ => "SELECT doc FROM items WHERE id = '7f3a'",
    };
    format!("{verb} /* id=9b{id},c={class},d={wait_ms},cluster=2{more} */")
}

/// Plays cases side by side, and names those that failed.
pub fn side_by_side(cases: &[(&str, fn())]) {
    let failed: Vec<&str> = thread::scope(|scope| {
        let threads: Vec<_> = cases.iter().map(|(name, case)| (*name, scope.spawn(case))).collect();
        threads.into_iter().filter_map(|(name, thread)| thread.join().is_err().then_some(name)).collect()
    });
    assert!(failed.is_empty(), "failed: {failed:?}");
}
