//! The ways out of the fleet: from clients to each gateway, and from each gateway to its list. Relays pass what they are told to,
//! and see what each gateway takes and says: which requests it owes an answer, and which version of its list it has been told.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::between::{self, join, Eye, Pair, Ways};
use crate::checks::{self, Away, Drain, End, Seen};
use crate::clients::{GIVEN_UP, WAIT};
use crate::held;
use crate::hints::Hints;
use crate::plan::{Road, Trouble};
use crate::tcp::Attempt;

/// The ends of the ways that are no gateways.
const CLIENTS: usize = usize::MAX - 1;
const LIST: usize = usize::MAX - 2;
/// A request that reaches a connection that its gateway closes at the same moment has not been taken.
const CROSSED: Duration = Duration::from_millis(5);
/// A list is said again so often, so that half a line is half of the next one by then.
const SAID_EVERY: Duration = Duration::from_millis(2_200);

/// What has been seen at gateways' ends.
#[derive(Default)]
struct Notes {
    /// Requests that gateways took, and how those ended there.
    taken: Mutex<Vec<Seen>>,
    /// Requests that were out when their clients' connections were reset.
    gone: Mutex<Vec<(String, Instant)>>,
    /// When each gateway was told which version.
    told: Mutex<Vec<(usize, u64, Instant)>>,
}

/// What has befallen the ways.
#[derive(Default)]
struct Troubles {
    /// Times in which clients, and lists, were out of reach or late.
    clients: Vec<Away>,
    lists: Vec<Away>,
    /// When watches fell silent.
    silences: Vec<(usize, Instant)>,
}

/// The relays of all gateways.
pub struct Outside {
    ways: Arc<Ways>,
    /// Where clients of a gateway and gateways themselves connect, and where gateways are now.
    doors: Vec<SocketAddr>,
    lists: Vec<SocketAddr>,
    gateways: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    notes: Arc<Notes>,
    troubles: Mutex<Troubles>,
    thread: Option<JoinHandle<()>>,
}

impl Outside {
    /// Ways to so many gateways as there are lists.
    ///
    /// # Errors
    /// The system has no port.
    pub fn start(behind: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let listen = |_: &SocketAddr| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let all = || behind.iter().map(listen).collect::<io::Result<Vec<_>>>();
        let (clients, watches) = (all()?, all()?);
        let addrs = |of: &[TcpListener]| of.iter().map(TcpListener::local_addr).collect::<io::Result<_>>();
        let (doors, lists) = (addrs(&clients)?, addrs(&watches)?);
        let (ways, notes) = (Arc::new(Ways::new(seed)), Arc::<Notes>::default());
        let gateways = Arc::new(Mutex::new(vec![None; behind.len()]));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let mut taking = Vec::new();
        for (n, (listener, pair)) in (clients.into_iter().enumerate().map(|(n, at)| (n, (at, (CLIENTS, n)))))
            .chain(watches.into_iter().enumerate().map(|(n, at)| (n, (at, (n, LIST)))))
        {
            let listener = {
                let _within = runtime.enter();
                tokio::net::TcpListener::from_std(listener)?
            };
            let (ways, notes, gateways) = (Arc::clone(&ways), Arc::clone(&notes), Arc::clone(&gateways));
            let list = behind[n];
            taking.push(between::take(listener, move |near| {
                let (ways, notes) = (Arc::clone(&ways), Arc::clone(&notes));
                let addr = if pair.1 == LIST { Some(list) } else { held(&gateways)[n] };
                async move {
                    let at = Mutex::new(At::default());
                    let watch = Watch { gateway: n, list: pair.1 == LIST, notes: &notes, at };
                    join(near, Vec::new(), pair, addr, &ways, &watch).await;
                }
            }));
        }
        let thread = Some(between::run("outside", runtime, &ways, taking)?);
        Ok(Self { ways, doors, lists, gateways, notes, troubles: Mutex::default(), thread })
    }

    /// Where clients reach a gateway.
    #[must_use]
    pub fn door(&self, gateway: usize) -> SocketAddr {
        self.doors[gateway]
    }

    /// Where a gateway asks for its list.
    #[must_use]
    pub fn list(&self, gateway: usize) -> SocketAddr {
        self.lists[gateway]
    }

    /// Clients come to this place of a gateway from now on, or to none.
    pub fn leads_to(&self, gateway: usize, addr: Option<SocketAddr>) {
        held(&self.gateways)[gateway] = addr;
    }

    /// Something befalls a way.
    pub fn befalls(&self, road: Road, trouble: Trouble) {
        let (pair, gateway) = match road {
            Road::Clients(n) => ((CLIENTS, n), n),
            Road::List(n) => ((n, LIST), n),
        };
        let (back, now) = ((pair.1, pair.0), Instant::now());
        let cuts: &[Pair] = match trouble {
            Trouble::Cut => &[pair, back],
            Trouble::Unheard => &[pair],
            Trouble::Silent => &[back],
            _ => &[],
        };
        self.ways.weather.send_modify(|weather| weather.cuts.extend(cuts));
        match trouble {
            Trouble::Late(ms) => {
                let far = [pair, back].map(|way| (way, Duration::from_millis(ms)));
                self.ways.weather.send_modify(|weather| weather.far.extend(far));
            }
            Trouble::Hushed => self.ways.hush(back, false),
            Trouble::Halved => self.ways.hush(back, true),
            Trouble::Reset => self.ways.reset(pair.0, pair.1),
            Trouble::Cut | Trouble::Unheard | Trouble::Silent => {}
        }
        let mut troubles = held(&self.troubles);
        let until = |to| Away { gateway, killed: true, from: now, to };
        match (road, trouble) {
            (Road::Clients(_), Trouble::Reset) => troubles.clients.push(until(Some(now))),
            (Road::Clients(_), _) => troubles.clients.push(until(None)),
            (Road::List(_), Trouble::Hushed) => troubles.silences.push((gateway, now)),
            (Road::List(_), Trouble::Halved) => troubles.silences.push((gateway, now + SAID_EVERY)),
            (Road::List(_), Trouble::Reset) => {}
            (Road::List(_), _) => troubles.lists.push(until(None)),
        }
    }

    /// All ways pass everything again.
    pub fn heal(&self) {
        self.ways.weather.send_modify(|weather| *weather = crate::Weather::default());
        let now = Instant::now();
        let troubles = &mut *held(&self.troubles);
        troubles.lists.iter_mut().for_each(|away| *away.to.get_or_insert(now) = now);
        // A client that has waited for long gives its connection up only then.
        for away in troubles.clients.iter_mut().filter(|away| away.to.is_none()) {
            away.to = Some(now + GIVEN_UP);
        }
    }

    /// When each gateway was told which version of its list: by a whole line, or because it had the time to ask for what it
    /// missed of these drains.
    #[must_use]
    pub fn told(&self, drains: &[Drain], away: &[Away]) -> Vec<(usize, u64, Instant)> {
        let troubles = held(&self.troubles);
        let away: Vec<Away> = away.iter().chain(&troubles.lists).copied().collect();
        let mut told = held(&self.notes.told).clone();
        told.extend(checks::missed(&troubles.silences, drains, &away));
        told
    }

    /// Rules that were broken, by what gateways took and said, and by what clients saw on ways that were well.
    #[must_use]
    pub fn broken(
        &self,
        mut seen: Vec<Seen>,
        away: &[Away],
        attempts: &[Attempt],
        slack: impl Fn(Instant, Instant) -> Duration,
    ) -> Vec<(Instant, String)> {
        let taken = held(&self.notes.taken);
        let mut broken = checks::answers(&taken, away, &slack);
        broken.extend(checks::gone(&held(&self.notes.gone), attempts));
        // What was lost with a connection is the gateway's to answer for if it had taken it.
        seen.retain(|request| request.end.1 != End::Lost);
        let away: Vec<Away> = away.iter().chain(&held(&self.troubles).clients).copied().collect();
        broken.extend(checks::answers(&seen, &away, slack));
        broken
    }
}

impl Drop for Outside {
    fn drop(&mut self) {
        self.ways.end();
        self.thread.take().map(JoinHandle::join);
    }
}

/// What one connection has come to.
#[derive(Default)]
struct At {
    /// Bytes of a message, or of a line, that are not whole yet.
    forth: Vec<u8>,
    back: Vec<u8>,
    /// The startup message has gone, and the welcome has come.
    begun: bool,
    welcomed: bool,
    /// The request that is out, since when.
    out: Option<(String, Instant)>,
    /// The gateway has said that it closes the connection, or has closed it.
    farewell: bool,
}

/// Looks on at one connection of a gateway.
struct Watch<'a> {
    gateway: usize,
    list: bool,
    notes: &'a Notes,
    at: Mutex<At>,
}

/// The next whole message of these bytes, by its kind; the startup message has none.
fn message(bytes: &mut Vec<u8>, kind: bool) -> Option<(u8, Vec<u8>)> {
    let head = usize::from(kind);
    let len = u32::from_be_bytes(bytes.get(head..head + 4)?.try_into().ok()?) as usize + head;
    if bytes.len() < len {
        return None;
    }
    let rest = bytes.split_off(len);
    let message = std::mem::replace(bytes, rest);
    Some((if kind { message[0] } else { 0 }, message))
}

impl Watch<'_> {
    fn ends(&self, id: String, sent: Instant, end: End) {
        let (gateway, wait) = (self.gateway, WAIT);
        held(&self.notes.taken).push(Seen { id, gateway, sent, wait, end: (Instant::now(), end) });
    }

    fn line(&self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        let number = text.split("\"version\":").nth(1).and_then(|rest| rest.split(',').next());
        if let Some(version) = number.and_then(|number| number.trim().parse().ok()) {
            held(&self.notes.told).push((self.gateway, version, Instant::now()));
        }
    }
}

impl Eye for Watch<'_> {
    fn read(&self, (from, _): Pair, bytes: &[u8]) {
        if self.list || from == CLIENTS {
            return;
        }
        let at = &mut *held(&self.at);
        at.back.extend(bytes);
        while let Some((kind, body)) = message(&mut at.back, true) {
            match kind {
                b'E' => at.farewell |= body.windows(6).any(|code| code == b"C57P01" || code == b"C57P02"),
                b'Z' if !at.welcomed => at.welcomed = true,
                b'Z' => match at.out.take() {
                    Some((id, sent)) => self.ends(id, sent, End::Served),
                    None => self.ends("of nobody".to_owned(), Instant::now(), End::Twice),
                },
                _ => {}
            }
        }
    }

    fn written(&self, (from, to): Pair, bytes: &[u8]) {
        let at = &mut *held(&self.at);
        if from == LIST {
            at.back.extend(bytes);
            while let Some(end) = at.back.iter().position(|byte| *byte == b'\n') {
                let rest = at.back.split_off(end + 1);
                self.line(&std::mem::replace(&mut at.back, rest));
            }
        } else if to != LIST && from == CLIENTS {
            at.forth.extend(bytes);
            while let Some((kind, body)) = message(&mut at.forth, at.begun) {
                at.begun = true;
                if let (b'Q', Some(hints)) = (kind, Hints::of(&String::from_utf8_lossy(&body))) {
                    at.out = (!at.farewell).then(|| (hints.id, Instant::now()));
                }
            }
        }
    }

    fn closed(&self, (from, _): Pair) {
        if self.list {
            return;
        }
        let at = &mut *held(&self.at);
        let Some((id, sent)) = at.out.take() else {
            at.farewell |= from != CLIENTS;
            return;
        };
        if from == CLIENTS {
            // It has waited long enough, as clients do, unless it has gone.
            if sent.elapsed() > WAIT {
                self.ends(id, sent, End::Silent);
            }
        } else if !at.farewell && sent.elapsed() > CROSSED {
            self.ends(id, sent, End::Lost);
        }
        at.farewell |= from != CLIENTS;
    }

    fn reset(&self) {
        if let Some((id, _)) = held(&self.at).out.take() {
            held(&self.notes.gone).push((id, Instant::now()));
        }
    }
}
