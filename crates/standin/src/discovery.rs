//! Discovery, which passes on the lines it is given.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

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
