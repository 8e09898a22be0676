//! Discovery, which passes on the lines it is given.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::Host;

/// A list entry.
#[must_use]
pub fn entry(id: &str, host: &Host, role: &str, state: &str, started_ms: u128) -> String {
    let addr = host.addr;
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":2,"state":"{state}","weight":1.0,"started_ms":{started_ms},"role":"{role}"}}"#
    )
}

/// A list, or what has changed in it.
#[must_use]
pub fn list(version: u32, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// The list of one primary and one replica.
#[must_use]
pub fn pair(primary: &Host, replica: &Host) -> String {
    let entries =
        [entry("s-a", primary, "primary", "Ready", 0), entry("s-b", replica, "replica", "Ready", 0)];
    list(41, true, &entries)
}

/// Discovery.
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Lines for those who watch.
    pub news: Sender<String>,
    /// The first lines of the calls that it got.
    pub calls: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Answers the first calls as given, and closes; only then does it open a watch.
    ///
    /// # Panics
    /// If the system has no port.
    #[must_use]
    pub fn start(first: &'static [&'static str]) -> Self {
        let (news, lines) = channel::<String>();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let kept_calls = Arc::clone(&calls);
        thread::spawn(move || {
            let call = || {
                let (mut stream, _) = listener.accept().ok()?;
                let mut line = String::new();
                BufReader::new(&mut stream).read_line(&mut line).ok()?;
                kept_calls.lock().ok()?.push(line);
                Some(stream)
            };
            for answer in first {
                let _ = call()?.write_all(answer.as_bytes());
            }
            let mut stream = call()?;
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            for line in lines {
                let _ = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
            }
            Some(())
        });
        Self { addr, news, calls }
    }
}

/// What a call gets from a [`Script`].
#[derive(Clone, Debug)]
pub enum Call {
    /// Nothing; the connection stays open.
    Hang,
    /// These bytes; the connection stays open.
    Say(String),
    /// These bytes, and the end.
    Close(String),
    /// These bytes, and then spaces without a line's end, ten each second.
    Trickle(String),
}

/// The head of a watch and its first lines.
#[must_use]
pub fn watch(lines: &[&str]) -> String {
    let chunk = |line: &&str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let chunks: String = lines.iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}")
}

/// Discovery that treats each call as a test says. Dropped, it takes no new ones; those open stay open and silent.
pub struct Script {
    /// Where it listens.
    pub addr: SocketAddr,
    /// When it had said what there was to say to each call.
    pub said: Arc<Mutex<Vec<Instant>>>,
    down: Arc<AtomicBool>,
    taking: Option<thread::JoinHandle<Vec<TcpStream>>>,
    /// Connections of one that was here before.
    _before: Vec<TcpStream>,
}

impl Script {
    /// Begins; calls beyond the last one get the same as that.
    ///
    /// # Panics
    /// If the system has no port, or no call is given.
    #[must_use]
    pub fn start(calls: Vec<Call>) -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address"), calls, Vec::new())
    }

    /// Ends this one, and begins again at the same address after a while. Old connections stay open and silent.
    ///
    /// # Panics
    /// If the port was taken meanwhile.
    #[must_use]
    pub fn back_after(mut self, pause: Duration, calls: Vec<Call>) -> Self {
        let before = self.end();
        thread::sleep(pause);
        Self::at(self.addr, calls, before)
    }

    /// Ends this one and every connection, and begins again at the same address after a while.
    ///
    /// # Panics
    /// If the port was taken meanwhile.
    #[must_use]
    pub fn anew_after(mut self, pause: Duration, calls: Vec<Call>) -> Self {
        drop(self.end());
        thread::sleep(pause);
        Self::at(self.addr, calls, Vec::new())
    }

    fn end(&mut self) -> Vec<TcpStream> {
        self.down.store(true, Ordering::SeqCst);
        self.taking.take().map(|taking| taking.join().expect("it ends by itself")).unwrap_or_default()
    }

    fn at(addr: SocketAddr, calls: Vec<Call>, before: Vec<TcpStream>) -> Self {
        let listener = TcpListener::bind(addr).expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let addr = listener.local_addr().expect("bound");
        let (down, said) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (stop, times) = (Arc::clone(&down), Arc::clone(&said));
        let taking = thread::spawn(move || {
            let mut open = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let mut stream = match listener.accept() {
                    Ok((stream, _)) => stream,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2));
                        continue;
                    }
                    Err(_) => break,
                };
                let call = calls.get(times.lock().expect("whole").len()).or(calls.last());
                let call = call.expect("at least one call").clone();
                let _ = stream.set_nonblocking(false);
                let _ = BufReader::new(&mut stream).read_line(&mut String::new());
                let (text, trickle, keep) = match call {
                    Call::Hang => (String::new(), false, true),
                    Call::Say(text) => (text, false, true),
                    Call::Close(text) => (text, false, false),
                    Call::Trickle(text) => (text, true, true),
                };
                let _ = stream.write_all(text.as_bytes());
                times.lock().expect("whole").push(Instant::now());
                if let Ok(mut stream) = stream.try_clone() {
                    thread::spawn(move || {
                        while trickle && stream.write_all(b"1\r\n \r\n").is_ok() {
                            thread::sleep(Duration::from_millis(100));
                        }
                    });
                }
                if keep {
                    open.push(stream);
                }
            }
            open
        });
        Self { addr, said, down, taking: Some(taking), _before: before }
    }
}

impl Drop for Script {
    fn drop(&mut self) {
        self.end();
    }
}
