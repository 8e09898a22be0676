//! Discovery that plays a part for each call.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::until;

/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(60);

/// Discovery that plays a part for each call, each on a thread of its own. A connection ends with its part.
pub struct Calls {
    pub addr: SocketAddr,
    /// When each call came, with its first line.
    pub came: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Calls {
    /// Plays a part for each call; the part gets the call's number, from 0 on.
    pub fn start(part: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), part)
    }

    pub fn on(listener: TcpListener, part: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let addr = listener.local_addr().unwrap();
        let came = Arc::new(Mutex::new(Vec::new()));
        let (kept, part) = (Arc::clone(&came), Arc::new(part));
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut line = String::new();
                let _ = BufReader::new(&mut stream).read_line(&mut line);
                let mut calls = kept.lock().unwrap();
                calls.push((Instant::now(), line));
                let (number, part) = (calls.len() - 1, Arc::clone(&part));
                thread::spawn(move || part(number, &mut stream));
            }
        });
        Self { addr, came }
    }

    /// When the call of this number came.
    pub fn at(&self, number: usize) -> Instant {
        until(|| self.came.lock().unwrap().len() > number, || format!("no call {number}"));
        self.came.lock().unwrap()[number].0
    }
}

pub fn say(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Nothing more comes, and the connection stays open.
pub fn hang() {
    thread::sleep(FOREVER);
}

/// A listener with room for one connection that nobody has taken.
pub fn unanswering() -> TcpListener {
    use rustix::net::{bind, ipproto, listen, socket, AddressFamily, SocketType};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, Some(ipproto::TCP)).unwrap();
    bind(&socket, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    listen(&socket, 0).unwrap();
    socket.into()
}
