//! Stand-ins for the cases of this review: db hosts, discovery, clients, and the platform that starts gateways.
//!
//! The standard library alone, so that `build.sh` needs no package.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// `TROUBLE=0` leaves the disruption out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Written to the path in `RECORD`.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the file");
        let file = Arc::new(Mutex::new(File::create(path).expect("record")));
        let record = Self { begun: Instant::now(), file };
        record.say(&format!("unix_ms={} trouble={}", unix_ms(), trouble()));
        record
    }

    pub fn say(&self, text: &str) {
        let ms = self.begun.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().expect("whole"), "{ms:10.1} {text}");
    }

    /// Says how it ended, and ends.
    pub fn verdict(&self, code: i32, text: &str) -> ! {
        self.say(&format!("verdict: exit {code}: {text}"));
        println!("exit {code}: {text}");
        std::process::exit(code)
    }
}

// --- PostgreSQL messages ---

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Reads a message; none at the end of the connection.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; len.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

fn column(name: &str, kind: u32) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend(name.as_bytes());
    body.extend([0; 7]);
    body.extend(kind.to_be_bytes());
    body.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    message(b'T', &body)
}

fn row(value: &[u8]) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend((value.len() as u32).to_be_bytes());
    body.extend(value);
    message(b'D', &body)
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

const READY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];

/// A served answer: the value, and what the db host says of itself.
pub fn served(write: bool, value: &[u8], primary: bool, applied_ms: u64) -> Vec<u8> {
    let mut out = column("doc", 17);
    out.extend(row(value));
    out.extend(message(b'C', if write { b"INSERT 0 1\0" } else { b"SELECT 1\0" }));
    out.extend(parameter("role", if primary { "primary" } else { "replica" }));
    out.extend(parameter("applied_ms", &applied_ms.to_string()));
    out.extend(READY);
    out
}

/// An error.
pub fn error(sqlstate: &str, primary: bool, applied_ms: u64) -> Vec<u8> {
    let mut out = message(b'E', format!("SERROR\0C{sqlstate}\0Mturned away\0\0").as_bytes());
    out.extend(parameter("role", if primary { "primary" } else { "replica" }));
    out.extend(parameter("applied_ms", &applied_ms.to_string()));
    out.extend(READY);
    out
}

/// The answer to `SHOW load`.
pub fn load(primary: bool, applied_ms: u64) -> Vec<u8> {
    let text = format!("x0={:.3},x1={}", applied_ms as f64 / 1000.0, u8::from(primary));
    let mut out = column("load", 25);
    out.extend(row(text.as_bytes()));
    out.extend(message(b'C', b"SHOW\0"));
    out.extend(READY);
    out
}

/// The value of a name in a statement's closing comment.
pub fn told(statement: &str, name: &str) -> Option<String> {
    let comment = &statement[statement.rfind("/*")? + 2..];
    let comment = comment.trim_end().trim_end_matches(';').trim_end().strip_suffix("*/")?;
    let pair = comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))?;
    Some(pair.trim().to_owned())
}

/// The first quoted text of a statement.
pub fn quoted(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or_default()
}

/// A db host: `act` is handed each statement once its last byte has come, and says what is answered.
pub struct Host {
    pub addr: SocketAddr,
}

impl Host {
    pub fn start(act: impl Fn(String) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let act = Arc::new(act);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let act = Arc::clone(&act);
                thread::spawn(move || {
                    let _ = serve(stream, &*act);
                });
            }
        });
        Self { addr }
    }
}

fn serve(mut stream: TcpStream, act: &dyn Fn(String) -> Vec<u8>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut rest)?;
    let mut welcome = message(b'R', &[0; 4]);
    welcome.extend(READY);
    stream.write_all(&welcome)?;
    loop {
        let (kind, mut body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        body.pop();
        let statement = String::from_utf8(body).map_err(|_| ErrorKind::InvalidData)?;
        let answer = act(statement);
        stream.write_all(&answer)?;
    }
}

// --- Discovery ---

/// An entry of the list.
pub fn entry(id: &str, addr: SocketAddr, cell: u32, state: &str, role: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"std-3c","cell":{cell},"state":"{state}","weight":1.0,"started_ms":0,"role":"{role}"}}"#
    )
}

/// A list.
pub fn list(version: u32, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

struct Listed {
    version: u32,
    /// All entries, as they are now.
    whole: Vec<String>,
    /// What watches are told: version and text.
    changes: Vec<(u32, String)>,
}

/// Discovery: one list, and a watch for each call. `admit` is asked for each call, by its number from 1; it may keep the
/// call waiting, and turns it away with 503 if it says no.
pub struct Discovery {
    pub addr: SocketAddr,
    listed: Arc<Mutex<Listed>>,
}

impl Discovery {
    pub fn start(
        record: &Record,
        version: u32,
        whole: Vec<String>,
        admit: impl Fn(u32) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let listed = Arc::new(Mutex::new(Listed { version, whole, changes: Vec::new() }));
        let (kept, record, admit) = (Arc::clone(&listed), record.clone(), Arc::new(admit));
        thread::spawn(move || {
            for (number, stream) in (1..).zip(listener.incoming().flatten()) {
                let (listed, record, admit) = (Arc::clone(&kept), record.clone(), Arc::clone(&admit));
                thread::spawn(move || {
                    let end = watch(stream, number, &listed, &record, &*admit);
                    record.say(&format!("discovery: call {number} ended ({end:?})"));
                });
            }
        });
        Self { addr, listed }
    }

    /// Changes one entry, and tells all watches.
    pub fn change(&self, record: &Record, index: usize, entry: String) {
        let mut listed = self.listed.lock().expect("whole");
        listed.version += 1;
        listed.whole[index] = entry.clone();
        let version = listed.version;
        record.say(&format!("discovery: version {version}: {entry}"));
        listed.changes.push((version, list(version, false, &[entry])));
    }
}

fn watch(
    mut stream: TcpStream,
    number: u32,
    listed: &Mutex<Listed>,
    record: &Record,
    admit: &dyn Fn(u32) -> bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let line = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_owned();
    record.say(&format!("discovery: call {number}: {line}"));
    if !admit(number) {
        record.say(&format!("discovery: call {number} turned away with 503"));
        return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes();
    let (mut version, first) = {
        let listed = listed.lock().expect("whole");
        (listed.version, list(listed.version, true, &listed.whole))
    };
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    stream.write_all(&chunk(&first))?;
    record.say(&format!("discovery: call {number} told version {version}, whole"));
    let mut said = Instant::now();
    loop {
        sleep_ms(2);
        let news: Vec<(u32, String)> = {
            let listed = listed.lock().expect("whole");
            listed.changes.iter().filter(|(of, _)| *of > version).cloned().collect()
        };
        for (of, text) in news {
            stream.write_all(&chunk(&text))?;
            record.say(&format!("discovery: call {number} told version {of}"));
            (version, said) = (of, Instant::now());
        }
        if said.elapsed() >= Duration::from_secs(2) {
            stream.write_all(&chunk(""))?;
            said = Instant::now();
        }
    }
}

// --- Clients ---

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
    /// The connection ended without an answer.
    Closed,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend(body);
        stream.write_all(&startup)?;
        loop {
            if read_message(&mut stream)?.0 == b'Z' {
                return Ok(Self { stream });
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        let mut body = Vec::with_capacity(statement.len() + 1);
        body.extend(statement.as_bytes());
        body.push(0);
        self.stream.write_all(&message(b'Q', &body))
    }

    /// Reads the answer to one request.
    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::Closed;
        loop {
            let Ok((kind, body)) = read_message(&mut self.stream) else { return Answer::Closed };
            match kind {
                b'D' => answer = Answer::Served(body.get(6..).unwrap_or_default().to_vec()),
                b'E' => answer = error_answer(&body),
                b'I' => answer = Answer::Served(Vec::new()),
                b'Z' => return answer,
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(),
            Err(_) => Answer::Closed,
        }
    }

    /// The other side has ended the connection.
    pub fn is_ended(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let ended = matches!(self.stream.peek(&mut [0]), Ok(0))
            || matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() != ErrorKind::WouldBlock);
        let _ = self.stream.set_nonblocking(false);
        ended
    }
}

fn error_answer(body: &[u8]) -> Answer {
    let code = body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
    let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
    match code.as_str() {
        "53300" | "57P03" => Answer::Refused,
        _ => Answer::Failed(code),
    }
}

// --- The platform ---

/// A port that is free now.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

/// A folder for this run, removed at its end by `run.sh`.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").expect("FOLDER names the run's folder"))
}

/// What a gateway is told.
pub struct Deployment {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub known: String,
    pub settings: String,
}

impl Deployment {
    /// Writes the configuration file.
    pub fn write(&self) -> PathBuf {
        let path = folder().join("config.json");
        let text = format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},"known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.memory_mb,
            self.known,
            self.settings
        );
        fs::write(&path, text).expect("config");
        path
    }
}

/// A process of a gateway, started as the deploy file says; it is killed when this is dropped.
pub struct Gateway {
    pub child: Child,
    pub addr: SocketAddr,
}

impl Gateway {
    /// Starts `run`; waits until an empty query is answered with yes.
    pub fn start(record: &Record, deployment: &Deployment, console: Option<SocketAddr>, name: &str) -> Self {
        let config = deployment.write();
        let tmp = folder().join("tmp");
        fs::create_dir_all(&tmp).expect("tmp");
        let log = File::create(folder().join(format!("{name}.log"))).expect("log");
        let run = run_line(Path::new("deploy/balancer.toml"));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).env_clear().env("PATH", "/usr/bin:/bin");
        command.env("EDGE_NAME", "n1").env("EDGE_LISTEN", deployment.listen.to_string());
        command.env("EDGE_DISCOVERY", deployment.discovery.to_string()).env("EDGE_CONFIG", &config);
        command.env("TMPDIR", &tmp).stdin(Stdio::null());
        if let Some(console) = console {
            command.env("EDGE_CONSOLE", console.to_string());
        }
        command.stdout(log.try_clone().expect("log")).stderr(log);
        let child = command.spawn().expect("run");
        let _ = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder().join("pids"))
            .and_then(|mut pids| writeln!(pids, "{}", child.id()));
        record.say(&format!("platform: started {name}, pid {}: {run}", child.id()));
        Self { child, addr: deployment.listen }
    }

    /// Waits until it answers an empty query.
    pub fn ready(self, record: &Record) -> Self {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(30) {
            if let Ok(mut client) = Client::connect(self.addr) {
                if client.ask("") == Answer::Served(Vec::new()) {
                    return self;
                }
            }
            sleep_ms(20);
        }
        record.verdict(2, "the gateway was not ready within 30 s")
    }

    pub fn signal(&self, record: &Record, name: &str) {
        record.say(&format!("platform: SIG{name} to pid {}", self.child.id()));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Memory that the process holds, in KiB; none once it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The deploy file's `run` line.
fn run_line(path: &Path) -> String {
    let text = fs::read_to_string(path).expect("started from the repository's root");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a run line");
    line.trim().trim_matches('"').to_owned()
}

/// Settings of a small deployment: a bounded read, a session's read, and a write whose key its set drops for 2 s.
pub fn settings(when_behind: &str, tokens: &str) -> String {
    format!(
        r#"{{"Bounds":{{"ConnectTimeoutMs":250.0,"KeepaliveMs":30000.0,"MaxAttempts":8,"MaxOpen":20000,"MaxRetryAfterMs":2000.0,"Probing":true,"RetryAfter":true,"SecondCopies":false}},
"Classes":[{{"AimMs":500.0,"Credit":2.0,"DeadlineMs":1200.0,"Effect":"idempotent","KeyScope":"all","LateWorth":0.0,"Name":"flight-view","RepeatWindowMs":5000.0}},
{{"AimMs":600.0,"Credit":1.0,"DeadlineMs":2000.0,"Effect":"idempotent","KeyScope":"all","LateWorth":0.0,"Name":"own-booking","RepeatWindowMs":5000.0}},
{{"AimMs":600.0,"Credit":3.0,"DeadlineMs":3000.0,"Effect":"deduplicated","KeyScope":"cell","LateWorth":0.3,"Name":"check-in","RepeatWindowMs":2000.0}}],
"Discovery":"subscribe","Instances":1,
"Domain":{{"AnswersStamped":true,"BaseTimeMs":0.0,"CatchUpWaitMs":0.0,"CommitWaits":false,"Freshness":["bounded","session","write"],"LagAllowedMs":[200.0,0.0,0.0],"ShowsRole":"start","Tokens":"{tokens}","WhenBehind":"{when_behind}"}},
"Report":{{"Fields":["x0","x1"],"Source":"pull"}},
"Rules":{{"AnswerSlackMs":20.0,"ColdMs":18000.0,"FallMs":3000.0,"MustAskInMs":10000.0,"StartCapacity":0.17,"StopSendingWithinMs":250.0,"TipMultiple":4.0}}}}"#
    )
}

/// A call at a gateway's second address; the status, if there is an answer within 1 s.
pub fn call(console: SocketAddr, call: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream
        .write_all(format!("{call} HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split(' ').nth(1)?.parse().ok()
}

/// Waits until a process says at its second address that it takes clients.
pub fn says_yes(record: &Record, console: SocketAddr, name: &str) {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        if call(console, "GET /ready") == Some(200) {
            return record.say(&format!("platform: {name} says yes"));
        }
        sleep_ms(10);
    }
    record.verdict(2, "no yes within 6 s")
}
