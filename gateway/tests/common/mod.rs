//! The gateway as a process, with a client, db hosts and discovery that do as a test says.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Long enough for anything that comes at all.
const PATIENCE: Duration = Duration::from_secs(10);

pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((u32::try_from(body.len()).unwrap() + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn read_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let len = u32::from_be_bytes(head[1..].try_into().unwrap());
    let mut body = vec![0; len as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Waits for something that comes soon; `told` is said when it does not.
pub fn until(come: impl Fn() -> bool, told: impl Fn() -> String) {
    let start = Instant::now();
    while !come() {
        assert!(start.elapsed() < PATIENCE, "{}", told());
        thread::sleep(Duration::from_millis(5));
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A served answer with what the db host says of itself.
pub fn served(role: &str) -> Vec<u8> {
    served_value(role, b"hi")
}

pub fn served_value(role: &str, value: &[u8]) -> Vec<u8> {
    let mut out = frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01");
    let len = u32::try_from(value.len()).unwrap().to_be_bytes();
    out.extend(frame(b'D', &[b"\0\x01", &len[..], value].concat()));
    out.extend(frame(b'C', b"SELECT 1\0"));
    out.extend(frame(b'S', format!("role\0{role}\0").as_bytes()));
    out.extend(frame(b'S', format!("applied_ms\0{}\0", unix_ms()).as_bytes()));
    out.extend(frame(b'Z', b"I"));
    out
}

/// The answer to a probe.
pub fn report(primary: bool, age_ms: u128) -> Vec<u8> {
    let seconds = (unix_ms() - age_ms) as f64 / 1000.0;
    let text = format!("x0={seconds},x1={}", u8::from(primary));
    let mut row = b"\0\x01".to_vec();
    row.extend(u32::try_from(text.len()).unwrap().to_be_bytes());
    row.extend(text.as_bytes());
    let mut out = frame(b'T', b"\0\x01load\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
    out.extend(frame(b'D', &row));
    out.extend(frame(b'C', b"SHOW\0"));
    out.extend(frame(b'Z', b"I"));
    out
}

/// What a db host does with a query.
pub enum Do {
    Say(Vec<u8>),
    SayLater(Duration, Vec<u8>),
    SayAndBreak(Vec<u8>),
    Break,
    BreakLater(Duration),
    Nothing,
}

/// A db host: answers each query as its function says, and keeps what it was asked but for probes.
pub struct Host {
    pub addr: SocketAddr,
    pub asked: Arc<Mutex<Vec<String>>>,
    /// Connections taken, and of those the ones still open.
    pub connections: Arc<AtomicU32>,
    pub open: Arc<AtomicU32>,
}

impl Host {
    pub fn start(act: impl Fn(&str) -> Do + Send + Sync + 'static) -> Self {
        Self::slow(Duration::ZERO, act)
    }

    /// A db host that lets new connections wait for their welcome.
    pub fn slow(welcome: Duration, act: impl Fn(&str) -> Do + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let host = Self { addr, asked: Arc::default(), connections: Arc::default(), open: Arc::default() };
        let (asked, connections, open) =
            (Arc::clone(&host.asked), Arc::clone(&host.connections), Arc::clone(&host.open));
        let act = Arc::new(act);
        thread::spawn(move || {
            for stream in listener.incoming() {
                connections.fetch_add(1, Ordering::SeqCst);
                open.fetch_add(1, Ordering::SeqCst);
                let (act, asked, open) = (Arc::clone(&act), Arc::clone(&asked), Arc::clone(&open));
                thread::spawn(move || {
                    serve(stream.unwrap(), welcome, &*act, &asked);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        host
    }

    /// A db host that is up to date and serves everything.
    pub fn well(primary: bool) -> Self {
        Self::start(move |query| well(primary, query))
    }

    /// The requests that have come, in order.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().unwrap().clone()
    }
}

pub fn well(primary: bool, query: &str) -> Do {
    let role = if primary { "primary" } else { "replica" };
    Do::Say(if query == "SHOW load" { report(primary, 0) } else { served(role) })
}

fn serve(
    mut stream: TcpStream,
    welcome: Duration,
    act: &dyn Fn(&str) -> Do,
    asked: &Mutex<Vec<String>>,
) -> Option<()> {
    stream.set_nodelay(true).unwrap();
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut startup = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut startup).ok()?;
    thread::sleep(welcome);
    stream.write_all(&[frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat()).ok()?;
    loop {
        let (_, body) = read_frame(&mut stream)?;
        let query = String::from_utf8(body).unwrap().trim_end_matches('\0').to_owned();
        if query != "SHOW load" {
            asked.lock().unwrap().push(query.clone());
        }
        match act(&query) {
            Do::Say(bytes) => stream.write_all(&bytes).ok()?,
            Do::SayLater(wait, bytes) => {
                thread::sleep(wait);
                stream.write_all(&bytes).ok()?;
            }
            Do::SayAndBreak(bytes) => {
                stream.write_all(&bytes).ok()?;
                return None;
            }
            Do::Break => return None,
            Do::BreakLater(wait) => {
                thread::sleep(wait);
                return None;
            }
            Do::Nothing => {}
        }
    }
}

/// A list entry.
pub fn entry(id: &str, host: &Host, role: &str, state: &str, started_ms: u128) -> String {
    let addr = host.addr;
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":2,"state":"{state}","weight":1.0,"started_ms":{started_ms},"role":"{role}"}}"#
    )
}

pub fn list(version: u32, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// The list of one primary and one replica.
pub fn pair(primary: &Host, replica: &Host) -> String {
    let entries =
        [entry("s-a", primary, "primary", "Ready", 0), entry("s-b", replica, "replica", "Ready", 0)];
    list(41, true, &entries)
}

/// Discovery, which passes on the lines it is given.
pub struct Discovery {
    pub addr: SocketAddr,
    pub news: Sender<String>,
    /// The first lines of the calls that it got.
    pub calls: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Answers the first calls as given, and closes; only then does it open a watch.
    pub fn start(first: &'static [&'static str]) -> Self {
        let (news, lines) = channel::<String>();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let kept_calls = Arc::clone(&calls);
        thread::spawn(move || {
            let call = || {
                let (mut stream, _) = listener.accept().unwrap();
                let mut line = String::new();
                BufReader::new(&mut stream).read_line(&mut line).unwrap();
                kept_calls.lock().unwrap().push(line);
                stream
            };
            for answer in first {
                let _ = call().write_all(answer.as_bytes());
            }
            let mut stream = call();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            for line in lines {
                let _ = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
            }
        });
        Self { addr, news, calls }
    }
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
    folder: tempfile::TempDir,
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
        let Discovery { addr: discovery_addr, news, calls } = Discovery::start(first);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_addr}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&path, &config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_yewroute"))
            .env_clear()
            .env("EDGE_CONFIG", path)
            .env("EDGE_DISCOVERY", discovery_addr.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let first = lines.next().unwrap().unwrap();
        let addr = first.rsplit(' ').next().unwrap().parse().expect("it says where it listens");
        let log = Arc::new(Mutex::new(String::new()));
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { child, addr, news, calls, log, discovery: discovery_addr, config, folder }
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

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts `to` in the place of `from` in the configuration it was started with, and sends SIGHUP.
    pub fn reload(&self, from: &str, to: &str) {
        assert!(self.config.contains(from), "{from}");
        std::fs::write(self.folder.path().join("config.json"), self.config.replace(from, to)).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
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

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    let mut out = (u32::try_from(body.len()).unwrap() + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub struct Client {
    pub stream: TcpStream,
    /// The body of the last ErrorResponse.
    pub error: String,
}

impl Client {
    pub fn raw(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { stream, error: String::new() }
    }

    /// The types of the messages up to ReadyForQuery or the end, but for notices and parameters.
    pub fn answer(&mut self) -> Vec<u8> {
        let mut kinds = Vec::new();
        while let Some((kind, body)) = read_frame(&mut self.stream) {
            if kind == b'E' {
                self.error = String::from_utf8_lossy(&body).replace('\0', "|");
            }
            if !b"SNKR".contains(&kind) {
                kinds.push(kind);
            }
            if kind == b'Z' {
                break;
            }
        }
        kinds
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(&frame(b'Q', &[text.as_bytes(), b"\0"].concat())).unwrap();
    }

    pub fn ask(&mut self, text: &str) -> Vec<u8> {
        self.send(text);
        self.answer()
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
