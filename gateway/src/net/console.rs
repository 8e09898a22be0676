//! The operators' listener: carries calls and answers, and bounds those who call.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use tracing::warn;

use super::poller::{Interest, Poller, Token};
use super::wire::{Taken, Wire};
use crate::proto::console::{self, Call, Fault, LONGEST_HEAD};

/// A call that has not come whole by then is answered as late.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A call that waits for the federation is given up after that.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of calls that are not whole yet, over all callers.
const MOST_BYTES: usize = 1024 * 1024;
/// How long an answered caller is given to take the answer and close.
const LINGER: Duration = Duration::from_secs(1);
/// How often those times are looked after.
const SWEEP: Duration = Duration::from_millis(250);
/// Connections taken at one wake-up, so that a crowd of callers delays no request.
pub const AT_ONCE: usize = 32;

/// How far a caller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Its call comes.
    Calls,
    /// The federation works on its answer.
    Waits,
    /// It has its answer, or takes it.
    Answered,
}

struct Caller {
    wire: Wire,
    buffer: Vec<u8>,
    /// When this step began.
    since: Instant,
    step: Step,
}

/// The listener and its callers.
pub struct Console {
    listener: TcpListener,
    callers: HashMap<u64, Caller>,
    taken: u64,
    most: usize,
    sweep_at: Instant,
    scratch: Vec<u8>,
}

/// How many descriptors the console has for itself, of so many in all.
pub fn share(sockets: usize) -> usize {
    (sockets / 16).clamp(4, 24)
}

impl Console {
    /// Listens, for callers that together with the listener hold at most `share` descriptors.
    pub fn listen(now: Instant, addr: SocketAddr, share: usize, poller: &Poller) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        poller.add(&listener, Token::Console(0), Interest::READ)?;
        Ok(Self {
            listener,
            callers: HashMap::new(),
            taken: 0,
            most: share.saturating_sub(1).max(1),
            sweep_at: now + SWEEP,
            scratch: vec![0; LONGEST_HEAD],
        })
    }

    /// Where operators connect.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Callers.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// When [`Console::tick`] is due.
    pub fn next(&self) -> Option<Instant> {
        (!self.callers.is_empty()).then_some(self.sweep_at)
    }

    /// Takes one of the callers that wait; gives its number.
    pub fn accept(&mut self, now: Instant, poller: &Poller) -> Option<u64> {
        // Guards against: callers that say nothing, or take no answer, and keep out those who come after them.
        if self.callers.len() >= self.most {
            self.drop_oldest();
        }
        let stream = match self.listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                return None
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(error) => {
                // Guards against: a busy loop when descriptors have run out (EMFILE).
                warn!(%error, "cannot accept a console's call");
                self.drop_oldest();
                return None;
            }
        };
        self.taken += 1;
        let number = self.taken;
        let wire = Wire::accepted(stream).ok()?;
        poller.add(&wire, Token::Console(number), Interest::READ).ok()?;
        if self.callers.is_empty() {
            self.sweep_at = now + SWEEP;
        }
        self.callers.insert(number, Caller { wire, buffer: Vec::new(), since: now, step: Step::Calls });
        Some(number)
    }

    /// Those that have their answer go first.
    fn drop_oldest(&mut self) {
        let oldest =
            self.callers.iter().min_by_key(|(number, caller)| (caller.step != Step::Answered, **number));
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.callers.remove(&number);
        }
    }

    /// Reads what has come; gives the call once it is whole.
    pub fn read(&mut self, now: Instant, number: u64, poller: &Poller) -> Option<Call> {
        let held: usize = self.callers.values().map(|caller| caller.buffer.len()).sum();
        let caller = self.callers.get_mut(&number)?;
        // Guards against: long bodies of many callers at once that fill the memory.
        if held > MOST_BYTES && caller.step == Step::Calls {
            self.answer(now, number, poller, |out| console::put_fault(out, Fault::Busy));
            return None;
        }
        match caller.read(&mut self.scratch) {
            Ok(call) => call,
            Err(fault) => {
                match fault {
                    Some(fault) => self.answer(now, number, poller, |out| console::put_fault(out, fault)),
                    None => drop(self.callers.remove(&number)),
                }
                None
            }
        }
    }

    /// A call is answered later, by [`Console::answer`] or because its time is over.
    pub fn wait(&mut self, now: Instant, number: u64) {
        if let Some(caller) = self.callers.get_mut(&number) {
            (caller.step, caller.since, caller.buffer) = (Step::Waits, now, Vec::new());
        }
    }

    /// Answers a call, once.
    pub fn answer(&mut self, now: Instant, number: u64, poller: &Poller, put: impl FnOnce(&mut Vec<u8>)) {
        let caller = self.callers.get_mut(&number).filter(|caller| caller.step != Step::Answered);
        let Some(caller) = caller else { return };
        put(caller.wire.out());
        if !caller.ends(now, number, poller) {
            self.callers.remove(&number);
        }
    }

    /// Ends calls that have not come whole in time, and callers that do not go.
    pub fn tick(&mut self, now: Instant, poller: &Poller) {
        if self.next().is_none_or(|at| now < at) {
            return;
        }
        self.sweep_at = now + SWEEP;
        self.callers.retain(|number, caller| {
            let past = now.saturating_duration_since(caller.since);
            let (most, put): (_, fn(&mut Vec<u8>)) = match caller.step {
                Step::Calls => (CALL_TIMEOUT, |out| console::put_fault(out, Fault::Late)),
                Step::Waits => (ANSWER_TIMEOUT, console::put_unheard),
                Step::Answered => return past < LINGER,
            };
            past < most || {
                put(caller.wire.out());
                caller.ends(now, *number, poller)
            }
        });
    }
}

impl Caller {
    /// Reads what has come: a call once it is whole, or why there is none; without a fault it is over.
    fn read(&mut self, scratch: &mut [u8]) -> Result<Option<Call>, Option<Fault>> {
        // What comes behind the call is dropped. Guards against: an answer lost to the reset that closing with unread
        // bytes would cause.
        if self.step != Step::Calls {
            self.buffer.clear();
        }
        match self.wire.read(scratch, &mut self.buffer, usize::MAX) {
            Ok(Taken::Some) if self.step != Step::Calls => self.wire.flush().map(|_| None).map_err(|_| None),
            Ok(Taken::Some) => console::call(&self.buffer).map_err(Some),
            Ok(Taken::Nothing) => self.wire.flush().map(|_| None).map_err(|_| None),
            Ok(Taken::End) | Err(_) => Err(None),
        }
    }

    /// Writes the answer and ends the sending behind it; false if the connection is broken.
    fn ends(&mut self, now: Instant, number: u64, poller: &Poller) -> bool {
        if self.step != Step::Answered {
            (self.step, self.since, self.buffer) = (Step::Answered, now, Vec::new());
        }
        match self.wire.flush() {
            Ok(true) => {
                self.wire.end_sending();
                poller.change(&self.wire, Token::Console(number), Interest::READ).is_ok()
            }
            Ok(false) => {
                let both = Interest { read: true, write: true };
                poller.change(&self.wire, Token::Console(number), both).is_ok()
            }
            Err(_) => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::TcpStream;

    use super::*;

    /// A console and a caller that has connected.
    fn called(now: Instant, poller: &Poller) -> (Console, TcpStream, u64) {
        let mut console = Console::listen(now, SocketAddr::from(([127, 0, 0, 1], 0)), 8, poller).unwrap();
        let caller = TcpStream::connect(console.addr().unwrap()).unwrap();
        caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let number = soon(|| console.accept(now, poller));
        (console, caller, number)
    }

    fn soon<T>(mut so: impl FnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = so() {
                return found;
            }
            assert!(start.elapsed() < Duration::from_secs(5));
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn told(mut caller: TcpStream) -> String {
        let mut text = String::new();
        caller.read_to_string(&mut text).unwrap();
        text
    }

    #[test]
    fn a_long_body_comes_whole_in_pieces_and_its_caller_waits_for_one_answer() {
        let (now, poller) = (Instant::now(), Poller::new().unwrap());
        let (mut console, mut caller, number) = called(now, &poller);
        let text = "#".repeat(200_000);
        let head = format!("PUT /table HTTP/1.1\r\nContent-Length: {}\r\n\r\n", text.len());
        let sent = text.clone();
        let sender = std::thread::spawn(move || {
            caller.write_all(head.as_bytes()).unwrap();
            sent.as_bytes().chunks(50_000).for_each(|piece| caller.write_all(piece).unwrap());
            caller
        });
        let call = soon(|| console.read(now, number, &poller));
        assert!(call == Call::PutTable(text));
        let caller = sender.join().unwrap();
        console.wait(now, number);
        let ms = |ms| now + Duration::from_millis(ms);
        console.tick(ms(4_900), &poller);
        console.answer(ms(4_950), number, &poller, |out| console::put_json(out, 409, "{}"));
        console.answer(ms(4_960), number, &poller, |out| console::put_json(out, 200, "{}"));
        let told = told(caller);
        assert!(told.starts_with("HTTP/1.1 409 ") && told.ends_with("\r\n\r\n{}\n"), "{told}");
    }

    #[test]
    fn a_caller_that_nobody_answers_is_told_so_after_its_time() {
        let (now, poller) = (Instant::now(), Poller::new().unwrap());
        let (mut console, mut caller, number) = called(now, &poller);
        caller.write_all(b"PUT /table HTTP/1.1\r\nContent-Length: 1\r\n\r\n#").unwrap();
        assert!(soon(|| console.read(now, number, &poller)) == Call::PutTable("#".to_owned()));
        console.wait(now, number);
        console.tick(now + ANSWER_TIMEOUT, &poller);
        let told = told(caller);
        assert!(told.starts_with("HTTP/1.1 503 ") && told.contains("GET /table tells"), "{told}");
        console.answer(now, number, &poller, |out| console::put_json(out, 200, "{}"));
        console.tick(now + 2 * ANSWER_TIMEOUT, &poller);
        assert_eq!(console.len(), 0);
    }

    #[test]
    fn bodies_of_many_callers_take_no_more_than_their_share() {
        let (now, poller) = (Instant::now(), Poller::new().unwrap());
        let (mut console, caller, first) = called(now, &poller);
        let body = "#".repeat(200_000);
        let part = format!("PUT /table HTTP/1.1\r\nContent-Length: 262144\r\n\r\n{body}");
        let mut callers = vec![(caller, first)];
        for _ in 0..5 {
            let caller = TcpStream::connect(console.addr().unwrap()).unwrap();
            callers.push((caller, soon(|| console.accept(now, &poller))));
        }
        let mut held = 0;
        for (caller, number) in &callers {
            let (mut caller, part) = (caller.try_clone().unwrap(), part.clone());
            let sender = std::thread::spawn(move || caller.write_all(part.as_bytes()));
            let start = Instant::now();
            while start.elapsed() < Duration::from_secs(5) && !sender.is_finished() {
                assert!(console.read(now, *number, &poller).is_none());
            }
            let _ = sender.join().unwrap();
            (0..100).for_each(|_| drop(console.read(now, *number, &poller)));
            held = console.callers.values().map(|caller| caller.buffer.len()).sum();
        }
        assert!(held <= MOST_BYTES + LONGEST_HEAD, "{held}");
        let busy = callers.pop().unwrap().0;
        assert!(told(busy).starts_with("HTTP/1.1 503 "));
    }
}
