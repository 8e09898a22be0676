//! Stand-ins and a driver for the cases of the second review: db hosts, discovery, clients, and the gateway as a process.
//! Only the standard library. All addresses are loopback addresses with ports of the system's choice.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// `TROUBLE=0` leaves the disruption out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a play: `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        let dir = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(PathBuf::from(dir).join("record.txt"))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.2} {}", text.as_ref());
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// The case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

// ---- PostgreSQL's messages

pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn read_frame(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let len = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize;
    let mut body = vec![0; len.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    frame(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Description, row and tag of a served answer.
pub fn row(tag: &str, value: &[u8]) -> Vec<u8> {
    let mut out = frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    out.extend(frame(b'D', &data));
    out.extend(frame(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// A whole served answer with what the db host says of itself.
pub fn served(tag: &str, value: &[u8], role: &str, applied_ms: u64) -> Vec<u8> {
    let mut out = row(tag, value);
    out.extend(status("role", role));
    out.extend(status("applied_ms", &applied_ms.to_string()));
    out.extend(frame(b'Z', b"I"));
    out
}

pub fn error(code: &str, role: &str, applied_ms: u64) -> Vec<u8> {
    let mut out = frame(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
    out.extend(status("role", role));
    out.extend(status("applied_ms", &applied_ms.to_string()));
    out.extend(frame(b'Z', b"I"));
    out
}

/// What the closing comment of a statement says of `name`.
pub fn named<'a>(sql: &'a str, name: &str) -> &'a str {
    let comment = sql.rfind("/*").map_or("", |at| &sql[at + 2..]);
    let comment = comment.trim_end_matches("*/").trim();
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

/// The quoted key of a statement.
pub fn key(sql: &str) -> &str {
    sql.split('\'').nth(1).unwrap_or("")
}

// ---- db hosts

/// A request at a db host.
pub struct Query {
    pub sql: String,
    /// The connection's number at this host, and the request's on that connection.
    pub conn: u64,
    pub nth: u64,
}

pub type Handler = Arc<dyn Fn(&Query, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a db host. The handler answers what is neither empty nor `SHOW load` and says whether the connection goes on.
/// `report` gives position (Unix ms) and whether it is the primary.
pub fn db_host(handler: Handler, report: Arc<dyn Fn() -> (u64, bool) + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let addr = listener.local_addr().unwrap();
    let conns = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (handler, report) = (handler.clone(), report.clone());
            let conn = conns.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || serve_db(stream, conn, handler, report));
        }
    });
    addr
}

fn serve_db(
    mut stream: TcpStream,
    conn: u64,
    handler: Handler,
    report: Arc<dyn Fn() -> (u64, bool) + Send + Sync>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(head) as usize).checked_sub(4)?];
    stream.read_exact(&mut rest).ok()?;
    let (_, primary) = report();
    let mut welcome = frame(b'R', &[0; 4]);
    welcome.extend(status("role", if primary { "primary" } else { "replica" }));
    welcome.extend(frame(b'Z', b"I"));
    stream.write_all(&welcome).ok()?;
    let mut nth = 0;
    loop {
        let (kind, body) = read_frame(&mut stream)?;
        if kind != b'Q' {
            return None;
        }
        let sql = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
        if sql.trim().is_empty() {
            let out = [frame(b'I', b""), frame(b'Z', b"I")].concat();
            stream.write_all(&out).ok()?;
            continue;
        }
        if sql.trim() == "SHOW load" {
            let (position, primary) = report();
            let text = format!("x0={:.3},x1={}", position as f64 / 1000.0, u8::from(primary));
            let mut out = row("SHOW", text.as_bytes());
            out.extend(frame(b'Z', b"I"));
            stream.write_all(&out).ok()?;
            continue;
        }
        let query = Query { sql, conn, nth };
        nth += 1;
        if !handler(&query, &mut stream) {
            return None;
        }
    }
}

// ---- discovery

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: u64,
    pub state: String,
    pub started_ms: u64,
    pub role: Option<&'static str>,
}

impl Entry {
    pub fn new(id: &str, addr: SocketAddr, cell: u64) -> Self {
        Self { id: id.to_owned(), addr, cell, state: "Ready".to_owned(), started_ms: 0, role: None }
    }

    pub fn role(mut self, role: &'static str) -> Self {
        self.role = Some(role);
        self
    }

    fn json(&self) -> String {
        let role = self.role.map_or(String::new(), |role| format!(",\"role\":\"{role}\""));
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":{},\"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}{role}}}",
            self.id, self.addr, self.cell, self.state, self.started_ms
        )
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", entries.join(","))
}

struct Listed {
    version: u64,
    /// Each entry with the version of its last change.
    entries: Vec<(u64, Entry)>,
}

/// Discovery: the whole list, and watches.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    listed: Arc<Mutex<Listed>>,
    /// While set, calls are taken and get no answer, and watches say nothing.
    pub silent: Arc<AtomicBool>,
    /// While set, the calls of other gateways before a call take so long that it waits for 2 s and ends in 503.
    pub crowded: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let addr = listener.local_addr().unwrap();
        let listed = Listed { version: 41, entries: entries.into_iter().map(|e| (41, e)).collect() };
        let off = || Arc::new(AtomicBool::new(false));
        let discovery = Self { addr, listed: Arc::new(Mutex::new(listed)), silent: off(), crowded: off() };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    pub fn version(&self) -> u64 {
        self.listed.lock().unwrap().version
    }

    pub fn known(&self) -> String {
        let listed = self.listed.lock().unwrap();
        let entries: Vec<Entry> =
            listed.entries.iter().map(|(_, e)| e.clone()).filter(|e| e.state != "Gone").collect();
        list_json(listed.version, true, &entries)
    }

    /// Changes an entry, or adds one.
    pub fn put(&self, entry: Entry) {
        let mut listed = self.listed.lock().unwrap();
        listed.version += 1;
        let version = listed.version;
        match listed.entries.iter().position(|(_, e)| e.id == entry.id) {
            Some(at) => listed.entries[at] = (version, entry),
            None => listed.entries.push((version, entry)),
        }
    }

    pub fn set_state(&self, id: &str, state: &str) {
        let entry =
            self.listed.lock().unwrap().entries.iter().find(|(_, e)| e.id == id).map(|(_, e)| e.clone());
        if let Some(mut entry) = entry {
            entry.state = state.to_owned();
            self.put(entry);
        }
    }

    fn since(&self, since: u64) -> Option<(u64, String)> {
        let listed = self.listed.lock().unwrap();
        if listed.version <= since {
            return None;
        }
        let changed: Vec<Entry> =
            listed.entries.iter().filter(|(version, _)| *version > since).map(|(_, e)| e.clone()).collect();
        Some((listed.version, list_json(listed.version, false, &changed)))
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1)?.to_owned();
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
        if self.crowded.load(Ordering::SeqCst) {
            thread::sleep(ms(2000));
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok();
        }
        if !path.contains("follow=1") {
            let body = self.known();
            let out = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return stream.write_all(out.as_bytes()).ok();
        }
        let asked: u64 = path.split("since=").nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(out.as_bytes()).ok()?;
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (mut version, first) = (self.version(), self.known());
        // The first line holds the changes, or the whole list.
        let first = if asked == version { list_json(version, false, &[]) } else { first };
        stream.write_all(chunk(&first).as_bytes()).ok()?;
        let mut last = Instant::now();
        loop {
            thread::sleep(ms(2));
            if self.silent.load(Ordering::SeqCst) {
                continue;
            }
            if let Some((next, line)) = self.since(version) {
                version = next;
                stream.write_all(chunk(&line).as_bytes()).ok()?;
                last = Instant::now();
            } else if last.elapsed() >= ms(2000) {
                stream.write_all(chunk("").as_bytes()).ok()?;
                last = Instant::now();
            }
        }
    }
}

// ---- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// No whole answer before the connection ended.
    Closed,
    /// No whole answer in time.
    Nothing,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        let mut body = (3_u32 << 16).to_be_bytes().to_vec();
        body.extend(b"user\0app\0database\0shop\0\0");
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend(body);
        stream.write_all(&out)?;
        let mut client = Self { stream };
        client.stream.set_read_timeout(Some(ms(5000)))?;
        loop {
            match read_frame(&mut client.stream) {
                Some((b'Z', _)) => return Ok(client),
                Some((b'E', _)) | None => return Err(ErrorKind::ConnectionAborted.into()),
                Some(_) => {}
            }
        }
    }

    pub fn send(&mut self, sql: &str) -> std::io::Result<()> {
        self.stream.write_all(&frame(b'Q', format!("{sql}\0").as_bytes()))
    }

    /// Reads one answer; `within` counts from now.
    pub fn answer(&mut self, within: Duration) -> Answer {
        let by = Instant::now() + within;
        let (mut value, mut failed, mut tag) = (None, None, false);
        loop {
            match self.frame(by) {
                Ok((b'D', body)) => value = Some(body.get(6..).unwrap_or_default().to_vec()),
                Ok((b'C', _)) => tag = true,
                Ok((b'I', _)) => (value, tag) = (Some(Vec::new()), true),
                Ok((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap_or("").to_owned();
                    failed = Some(code);
                }
                Ok((b'Z', _)) => {
                    return match (failed, value) {
                        (Some(code), _) if code == "53300" || code == "57P03" => Answer::Refused(code),
                        (Some(code), _) => Answer::Failed(code),
                        (None, Some(value)) if tag => Answer::Served(value),
                        _ => Answer::Closed,
                    }
                }
                Ok(_) => {}
                Err(true) => return Answer::Nothing,
                Err(false) => {
                    return match failed {
                        Some(code) if code == "53300" || code == "57P03" => Answer::Refused(code),
                        Some(code) => Answer::Failed(code),
                        None => Answer::Closed,
                    }
                }
            }
        }
    }

    /// The next message; an error of true when the time is over.
    fn frame(&mut self, by: Instant) -> Result<(u8, Vec<u8>), bool> {
        let mut head = [0; 5];
        self.exact(&mut head, by)?;
        let len = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize;
        let mut body = vec![0; len.saturating_sub(4)];
        self.exact(&mut body, by)?;
        Ok((head[0], body))
    }

    fn exact(&mut self, buffer: &mut [u8], by: Instant) -> Result<(), bool> {
        let mut at = 0;
        while at < buffer.len() {
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(true);
            }
            self.stream.set_read_timeout(Some(left.max(ms(1)))).map_err(|_| false)?;
            match self.stream.read(&mut buffer[at..]) {
                Ok(0) => return Err(false),
                Ok(n) => at += n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(true)
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(false),
            }
        }
        Ok(())
    }

    pub fn ask(&mut self, sql: &str, within: Duration) -> Answer {
        match self.send(sql) {
            Ok(()) => self.answer(within),
            Err(_) => Answer::Closed,
        }
    }
}

// ---- the gateway

/// What the deploy file says under a key.
pub fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.and_then(|value| value.split('"').nth(1))
        .map(str::to_owned)
        .unwrap_or_else(|| cannot_run("deploy file"))
}

/// A port that is free now.
pub fn free_port(ip: &str) -> SocketAddr {
    TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// A private folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("yewroute-{name}-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the gateway, ended when it is dropped.
pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// How a gateway is started.
pub struct Start<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: &'a str,
    pub sockets: u32,
    pub memory_mb: u32,
    pub console: Option<SocketAddr>,
    pub folder: &'a Folder,
    pub tag: &'a str,
    /// Behind the command of the deploy file.
    pub args: &'a str,
}

impl Start<'_> {
    pub fn config_path(&self) -> PathBuf {
        self.folder.0.join(format!("{}.json", self.name))
    }

    pub fn write_config(&self) {
        let console = self.console.map_or(String::new(), |c| format!("\"console\":\"{c}\","));
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{console}\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        );
        std::fs::write(self.config_path(), config).unwrap_or_else(|e| cannot_run(&e.to_string()));
    }

    pub fn run(&self) -> Gateway {
        self.write_config();
        let tmp = self.folder.0.join(format!("tmp-{}", self.name));
        std::fs::create_dir_all(&tmp).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(self.folder.0.join(format!("{}-{}.log", self.name, self.tag)))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {}", deploy("run"), self.args));
        command.env("EDGE_NAME", self.name).env("EDGE_LISTEN", self.listen.to_string());
        command.env("EDGE_DISCOVERY", self.discovery.to_string()).env("EDGE_CONFIG", self.config_path());
        command.env("TMPDIR", tmp).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log));
        match self.console {
            Some(console) => command.env("EDGE_CONSOLE", console.to_string()),
            None => command.env_remove("EDGE_CONSOLE"),
        };
        // It ends with the case, however that ends: the main thread starts it.
        // SAFETY: the call touches no memory and is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        Gateway { child, listen: self.listen }
    }
}

impl Gateway {
    /// Waits until it answers an empty query with a yes.
    pub fn wait_ready(&mut self, within: Duration) {
        let by = Instant::now() + within;
        loop {
            if let Ok(mut client) = Client::connect(self.listen) {
                if matches!(client.ask("", ms(1000)), Answer::Served(_)) {
                    return;
                }
            }
            if Instant::now() > by {
                cannot_run("the gateway is not ready in time");
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!("the gateway ended: {status}"));
            }
            thread::sleep(ms(20));
        }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// None while it runs.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Random numbers of a fixed seed (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub type Shared<T> = Arc<Mutex<T>>;
pub fn shared<T>(value: T) -> Shared<T> {
    Arc::new(Mutex::new(value))
}
pub type Map<K, V> = HashMap<K, V>;

// ---- the network

/// A way to `to` that holds all bytes back, both ways, while `cut` is set; nothing is lost.
pub fn way(to: SocketAddr, cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let cut = cut.clone();
            thread::spawn(move || {
                wait_for(&cut);
                let Ok(far) = TcpStream::connect(to) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else { return };
                let back = cut.clone();
                thread::spawn(move || carry(far_read, near, &back));
                carry(near_read, far, &cut);
            });
        }
    });
    addr
}

fn wait_for(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_micros(500));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        match from.read(&mut bytes) {
            Ok(0) | Err(_) => {
                wait_for(cut);
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(n) => {
                wait_for(cut);
                if to.write_all(&bytes[..n]).is_err() {
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }
}
