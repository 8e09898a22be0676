//! Asking other gateways: one task for each that is asked, which owns its connection, and one for each that asks.
//!
//! A question goes out on a connection that its asker opened, and the answer comes back on it. Parts of the federation (table,
//! limits, verdicts, channels) have a [`Kind`] each and an inbox; a gateway of another release that does not know a kind says
//! so. Nothing here is retried: who asks knows what a lost answer means.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::sync::CancellationToken;

use crate::error::{LinkError, PeerError};
use crate::frame::{greet, Hello, Reading, FORMAT};
use crate::links::{Link, Links};

/// Questions that may wait for one gateway, and for all.
const MOST_QUEUED: usize = 1_024;
/// Questions of one connection that may be worked on at a time.
const MOST_SERVED: usize = 256;
/// How long a connection may take to come up, and how long both may take to greet.
const DIAL: Duration = Duration::from_millis(800);
const GREETING: Duration = Duration::from_secs(2);
/// How long a write may take before its connection is given up.
const WRITE: Duration = Duration::from_secs(2);
/// A connection that nothing has gone over for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// How long a part may take to answer.
const LONGEST_ANSWER: Duration = Duration::from_secs(20);
/// After a connection could not be had, questions are turned away for so long.
const REST: Duration = Duration::from_millis(100);

/// A gateway, as the fleet's view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name; it outlives the process.
    pub name: Box<str>,
    /// The zone it stands in.
    pub zone: Box<str>,
    /// The zone's region: a site.
    pub region: Box<str>,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Which of its lives it is in.
    pub incarnation: u64,
    /// It is starting or ready: it does not go.
    pub stays: bool,
}

/// All gateways that live, as far as this one knows; itself first.
pub type Members = Arc<Vec<Member>>;

/// Which part of the federation a question is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Versions of the table.
    Table,
    /// Limits of the fleet.
    Limits,
    /// Verdicts on db hosts.
    Verdicts,
    /// Channels and their cursors.
    Channels,
    /// The plan for all zones.
    Zones,
}

impl Kind {
    fn number(self) -> u8 {
        match self {
            Self::Table => 1,
            Self::Limits => 2,
            Self::Verdicts => 3,
            Self::Channels => 4,
            Self::Zones => 5,
        }
    }

    fn of(number: u8) -> Option<Self> {
        let all = [Self::Table, Self::Limits, Self::Verdicts, Self::Channels, Self::Zones];
        all.into_iter().find(|kind| kind.number() == number)
    }
}

/// What one part asks, and what it is answered. Written by postcard: new variants go to the end of their enum.
pub trait Question: Serialize + DeserializeOwned + Send {
    /// The part.
    const KIND: Kind;
    /// The answer.
    type Answer: Serialize + DeserializeOwned + Send;
}

/// A question that has come.
#[derive(Debug)]
pub struct Incoming {
    /// Who asks.
    pub from: Box<str>,
    /// Which of its lives it is in.
    pub incarnation: u64,
    bytes: Vec<u8>,
    answer: Option<oneshot::Sender<Vec<u8>>>,
}

impl Incoming {
    /// The question; none if it cannot be read, as one of a later release.
    #[must_use]
    pub fn read<Q: Question>(&self) -> Option<Q> {
        postcard::from_bytes(&self.bytes).ok()
    }

    /// Answers it; a question that was only told needs none.
    pub fn reply<Q: Question>(self, answer: &Q::Answer) {
        if let (Some(to), Ok(bytes)) = (self.answer, postcard::to_allocvec(answer)) {
            // Whoever asked may be gone.
            let _ = to.send(bytes);
        }
    }
}

/// Where the questions for each part go.
#[derive(Clone)]
pub struct Inboxes(HashMap<Kind, mpsc::Sender<Incoming>>);

impl Inboxes {
    /// An inbox for each of these parts.
    #[must_use]
    pub fn new<const N: usize>(kinds: [Kind; N]) -> (Self, [mpsc::Receiver<Incoming>; N]) {
        let mut inboxes = HashMap::new();
        let receivers = kinds.map(|kind| {
            let (to, from) = mpsc::channel(MOST_QUEUED);
            inboxes.insert(kind, to);
            from
        });
        (Self(inboxes), receivers)
    }
}

/// On the wire: a question (`ask`, 0 where no answer is wanted) or an answer (`ask` of the question it belongs to).
#[derive(Serialize, Deserialize)]
struct Envelope {
    kind: u8,
    ask: u64,
    bytes: Vec<u8>,
}

/// The kind of an answer, and of one that says that the question's kind is not known.
const ANSWER: u8 = 0;
const UNKNOWN: u8 = 255;

struct Sent {
    kind: Kind,
    bytes: Vec<u8>,
    answer: Option<oneshot::Sender<Result<Vec<u8>, PeerError>>>,
}

/// Who this gateway is between gateways.
#[derive(Clone)]
pub struct Me {
    /// Its name.
    pub name: Box<str>,
    /// Which of its lives it is in.
    pub incarnation: u64,
    /// The fleet's key.
    pub key: [u8; 32],
    /// Connections from others that are held at a time.
    pub most: usize,
}

/// Asks other gateways.
#[derive(Clone)]
pub struct Peers {
    me: Box<str>,
    members: watch::Receiver<Members>,
    out: mpsc::Sender<(Box<str>, Sent)>,
    inboxes: Inboxes,
}

impl Peers {
    /// Starts the tasks that ask and answer; they end with the token.
    #[must_use]
    pub fn start(
        me: Me,
        links: Arc<dyn Links>,
        members: watch::Receiver<Members>,
        inboxes: Inboxes,
        ends: &CancellationToken,
    ) -> Self {
        let (out, queue) = mpsc::channel(MOST_QUEUED);
        let peers = Self { me: me.name.clone(), members: members.clone(), out, inboxes: inboxes.clone() };
        let (asks, serves) =
            (ask_all(me.clone(), Arc::clone(&links), members, queue), serve_all(me, links, inboxes));
        for task in [
            Box::pin(asks) as std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>>,
            Box::pin(serves),
        ] {
            let ends = ends.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = ends.cancelled() => {}
                    () = task => {}
                }
            });
        }
        peers
    }

    /// This gateway's name.
    #[must_use]
    pub fn me(&self) -> &str {
        &self.me
    }

    /// All gateways that live, this one first.
    #[must_use]
    pub fn members(&self) -> Members {
        self.members.borrow().clone()
    }

    /// The same, to wait for changes of.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Members> {
        self.members.clone()
    }

    /// Asks one gateway; this one too, without a connection.
    ///
    /// # Errors
    /// There was no answer in time. The question may have been taken all the same.
    pub async fn ask<Q: Question>(
        &self,
        to: &str,
        question: &Q,
        within: Duration,
    ) -> Result<Q::Answer, PeerError> {
        let late = || PeerError::Late(to.into());
        let answer = timeout(within, self.send(to, question)).await.map_err(|_| late())??;
        postcard::from_bytes(&answer).map_err(|_| PeerError::Release(to.into()))
    }

    /// Tells one gateway something that needs no answer and may be lost.
    ///
    /// # Errors
    /// Too much waits already.
    pub fn tell<Q: Question>(&self, to: &str, question: &Q) -> Result<(), PeerError> {
        let bytes = postcard::to_allocvec(question).unwrap_or_default();
        let full = || PeerError::Full(to.into());
        if *to == *self.me {
            let inbox = self.inboxes.0.get(&Q::KIND).ok_or(PeerError::Ending)?;
            let incarnation = self.members.borrow().first().map_or(0, |me| me.incarnation);
            let own = Incoming { from: self.me.clone(), incarnation, bytes, answer: None };
            return inbox.try_send(own).map_err(|_| full());
        }
        self.out.try_send((to.into(), Sent { kind: Q::KIND, bytes, answer: None })).map_err(|_| full())
    }

    async fn send<Q: Question>(&self, to: &str, question: &Q) -> Result<Vec<u8>, PeerError> {
        let bytes = postcard::to_allocvec(question).unwrap_or_default();
        if *to == *self.me {
            let (answer, answered) = oneshot::channel();
            let inbox = self.inboxes.0.get(&Q::KIND).ok_or(PeerError::Ending)?;
            let incarnation = self.members.borrow().first().map_or(0, |me| me.incarnation);
            let own = Incoming { from: self.me.clone(), incarnation, bytes, answer: Some(answer) };
            inbox.send(own).await.map_err(|_| PeerError::Ending)?;
            return answered.await.map_err(|_| PeerError::Late(to.into()));
        }
        let (answer, answered) = oneshot::channel();
        let sent = Sent { kind: Q::KIND, bytes, answer: Some(answer) };
        self.out.send((to.into(), sent)).await.map_err(|_| PeerError::Ending)?;
        answered.await.map_err(|_| PeerError::Unreachable(to.into()))?
    }
}

/// Hands questions to the tasks of those they are for.
async fn ask_all(
    me: Me,
    links: Arc<dyn Links>,
    members: watch::Receiver<Members>,
    mut queue: mpsc::Receiver<(Box<str>, Sent)>,
) {
    let mut tasks = JoinSet::new();
    let mut asked: HashMap<Box<str>, (SocketAddr, u64, mpsc::Sender<Sent>)> = HashMap::new();
    loop {
        let (to, sent) = tokio::select! {
            next = queue.recv() => match next { Some(next) => next, None => return },
            _ = tasks.join_next(), if !tasks.is_empty() => continue,
        };
        let member = members.borrow().iter().find(|member| member.name == to).cloned();
        let Some(member) = member else {
            asked.remove(&to);
            refuse(sent, PeerError::Unknown(to));
            continue;
        };
        let life = (member.addr, member.incarnation);
        let fits = |(addr, incarnation, outbox): &(SocketAddr, u64, mpsc::Sender<Sent>)| {
            (*addr, *incarnation) == life && !outbox.is_closed()
        };
        if !asked.get(&to).is_some_and(fits) {
            let (outbox, own) = mpsc::channel(MOST_QUEUED);
            tasks.spawn(ask_one(me.clone(), Arc::clone(&links), member, own));
            asked.insert(to.clone(), (life.0, life.1, outbox));
        }
        let Some((.., outbox)) = asked.get(&to) else { continue };
        if let Err(mpsc::error::TrySendError::Full(sent) | mpsc::error::TrySendError::Closed(sent)) =
            outbox.try_send(sent)
        {
            refuse(sent, PeerError::Full(to));
        }
    }
}

fn refuse(sent: Sent, error: PeerError) {
    if let Some(answer) = sent.answer {
        let _ = answer.send(Err(error));
    }
}

/// Owns the connection to one gateway: opens it when something is to be asked, closes it when nothing has been for a while.
async fn ask_one(me: Me, links: Arc<dyn Links>, to: Member, mut queue: mpsc::Receiver<Sent>) {
    let unreachable = || PeerError::Unreachable(to.name.clone());
    loop {
        let Ok(Some(first)) = timeout(IDLE, queue.recv()).await else { return };
        match open(&me, &*links, &to).await {
            Ok((reading, writing)) => {
                let error = converse(&to, first, &mut queue, reading, writing).await;
                tracing::debug!(peer = %to.name, ended = error.as_ref().map(ToString::to_string), "federation: connection closed");
            }
            Err(error) => {
                tracing::debug!(peer = %to.name, %error, "federation: no connection");
                refuse(first, unreachable());
                let rest = sleep(REST);
                tokio::pin!(rest);
                loop {
                    tokio::select! {
                        () = &mut rest => break,
                        sent = queue.recv() => match sent {
                            Some(sent) => refuse(sent, unreachable()),
                            None => return,
                        },
                    }
                }
            }
        }
    }
}

type Halves = (Reading<tokio::io::ReadHalf<Link>>, crate::frame::Writing<tokio::io::WriteHalf<Link>>);

fn hello(me: &Me) -> Hello {
    let nonce = rand::random();
    Hello { format: FORMAT, name: me.name.clone(), incarnation: me.incarnation, nonce }
}

async fn open(me: &Me, links: &dyn Links, to: &Member) -> Result<Halves, LinkError> {
    let link = timeout(DIAL, links.dial(to.addr)).await.map_err(|_| LinkError::Silent)??;
    let hello = hello(me);
    let greeting = greet(tokio::io::split(link), &me.key, &hello);
    let (other, reading, writing) = timeout(GREETING, greeting).await.map_err(|_| LinkError::Silent)??;
    // Guards against: an address that another gateway has by now.
    if other.name == to.name {
        Ok((reading, writing))
    } else {
        Err(LinkError::Malformed("name"))
    }
}

/// Asks and takes answers until the connection ends or is idle; then all that waits for an answer has none.
async fn converse(
    to: &Member,
    first: Sent,
    queue: &mut mpsc::Receiver<Sent>,
    mut reading: Reading<tokio::io::ReadHalf<Link>>,
    mut writing: crate::frame::Writing<tokio::io::WriteHalf<Link>>,
) -> Option<LinkError> {
    // Reading must not be given up in the middle of a frame: a task of its own.
    let (frames, mut answers) = mpsc::channel(16);
    let mut reader = JoinSet::new();
    reader.spawn(async move {
        loop {
            let next = reading.next().await;
            let more = matches!(next, Ok(Some(_)));
            if frames.send(next).await.is_err() || !more {
                return;
            }
        }
    });
    let mut open: HashMap<u64, oneshot::Sender<Result<Vec<u8>, PeerError>>> = HashMap::new();
    let (mut asked, mut next, mut used) = (0, Some(first), Instant::now());
    loop {
        if let Some(sent) = next.take() {
            used = Instant::now();
            let ask = if sent.answer.is_some() {
                asked += 1;
                asked
            } else {
                0
            };
            open.retain(|_, answer| !answer.is_closed());
            open.extend(sent.answer.map(|answer| (ask, answer)));
            let envelope = Envelope { kind: sent.kind.number(), ask, bytes: sent.bytes };
            let bytes = postcard::to_allocvec(&envelope).unwrap_or_default();
            match timeout(WRITE, writing.put(&bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return Some(error),
                Err(_) => return Some(LinkError::Silent),
            }
        }
        tokio::select! {
            sent = queue.recv() => match sent {
                Some(sent) => next = Some(sent),
                None => return None,
            },
            frame = answers.recv() => {
                let frame = match frame {
                    Some(Ok(Some(frame))) => frame,
                    Some(Err(error)) => return Some(error),
                    Some(Ok(None)) | None => return None,
                };
                let Ok(envelope) = postcard::from_bytes::<Envelope>(&frame) else {
                    return Some(LinkError::Malformed("envelope"));
                };
                if let Some(answer) = open.remove(&envelope.ask) {
                    let known = envelope.kind != UNKNOWN;
                    let _ = answer.send(if known { Ok(envelope.bytes) } else { Err(PeerError::Release(to.name.clone())) });
                }
            }
            () = tokio::time::sleep_until(used + IDLE) => return None,
        }
    }
}

/// Takes connections of other gateways.
async fn serve_all(me: Me, links: Arc<dyn Links>, inboxes: Inboxes) {
    let mut served = JoinSet::new();
    loop {
        let link = tokio::select! {
            link = links.accept() => link,
            _ = served.join_next(), if !served.is_empty() => continue,
        };
        match link {
            // Guards against: more connections than this gateway may hold.
            Ok(_) if served.len() >= me.most => {}
            Ok(link) => {
                let (me, inboxes) = (me.clone(), inboxes.clone());
                served.spawn(async move {
                    if let Err(error) = serve(&me, link, &inboxes).await {
                        tracing::debug!(%error, help = error.help(), "federation: a connection from another gateway ended");
                    }
                });
            }
            // Out of descriptors, or reset before it was taken.
            Err(_) => sleep(REST).await,
        }
    }
}

async fn serve(me: &Me, link: Link, inboxes: &Inboxes) -> Result<(), LinkError> {
    let hello = hello(me);
    let greeting = greet(tokio::io::split(link), &me.key, &hello);
    let (other, mut reading, mut writing) =
        timeout(GREETING, greeting).await.map_err(|_| LinkError::Silent)??;
    let (answers, mut ready) = mpsc::channel::<Envelope>(MOST_SERVED);
    let mut work = JoinSet::new();
    work.spawn(async move {
        while let Some(envelope) = ready.recv().await {
            let bytes = postcard::to_allocvec(&envelope).unwrap_or_default();
            if !matches!(timeout(WRITE, writing.put(&bytes)).await, Ok(Ok(()))) {
                return;
            }
        }
    });
    loop {
        let next = timeout(2 * IDLE, reading.next()).await.map_err(|_| LinkError::Silent)??;
        let Some(frame) = next else { return Ok(()) };
        let envelope: Envelope =
            postcard::from_bytes(&frame).map_err(|_| LinkError::Malformed("envelope"))?;
        while work.try_join_next().is_some() {}
        let ask = envelope.ask;
        let inbox = Kind::of(envelope.kind).and_then(|kind| inboxes.0.get(&kind));
        let (answer, answered) = oneshot::channel();
        let incoming = Incoming {
            from: other.name.clone(),
            incarnation: other.incarnation,
            bytes: envelope.bytes,
            answer: (ask != 0).then_some(answer),
        };
        let Some(inbox) = inbox else {
            if ask != 0 {
                let _ = answers.send(Envelope { kind: UNKNOWN, ask, bytes: Vec::new() }).await;
            }
            continue;
        };
        // Guards against: one that asks more than is answered; it is heard again once there is room.
        while work.len() > MOST_SERVED {
            work.join_next().await;
        }
        if inbox.send(incoming).await.is_err() {
            return Ok(());
        }
        if ask != 0 {
            let answers = answers.clone();
            work.spawn(async move {
                if let Ok(Ok(bytes)) = timeout(LONGEST_ANSWER, answered).await {
                    let _ = answers.send(Envelope { kind: ANSWER, ask, bytes }).await;
                }
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::Memory;

    #[derive(Serialize, Deserialize)]
    struct Say(u64);

    impl Question for Say {
        const KIND: Kind = Kind::Limits;
        type Answer = u64;
    }

    #[derive(Serialize, Deserialize)]
    struct Other(u64);

    impl Question for Other {
        const KIND: Kind = Kind::Channels;
        type Answer = u64;
    }

    fn addr(n: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(n).unwrap()))
    }

    fn members(count: usize, me: usize) -> Members {
        let member = |n: usize| Member {
            name: format!("g{n}").into(),
            zone: "a".into(),
            region: "north".into(),
            addr: addr(n),
            incarnation: 1,
            stays: true,
        };
        let mut all: Vec<Member> = (0..count).map(member).collect();
        all.swap(0, me);
        Arc::new(all)
    }

    /// Gateways that double what they are asked for limits, the last of them with another key.
    fn start(net: &Memory, count: usize, ends: &CancellationToken) -> Vec<Peers> {
        let one = |n: usize| {
            let (inboxes, [mut inbox]) = Inboxes::new([Kind::Limits]);
            let key = if n + 1 == count { [9; 32] } else { [1; 32] };
            let me = Me { name: format!("g{n}").into(), incarnation: 1, key, most: 8 };
            let (_, seen) = watch::channel(members(count, n));
            tokio::spawn(async move {
                while let Some(incoming) = inbox.recv().await {
                    let Some(Say(number)) = incoming.read() else { continue };
                    incoming.reply::<Say>(&(2 * number));
                }
            });
            Peers::start(me, Arc::new(net.place(addr(n))), seen, inboxes, ends)
        };
        (0..count).map(one).collect()
    }

    const SOON: Duration = Duration::from_secs(1);

    #[tokio::test(start_paused = true)]
    async fn questions_are_answered_by_others_and_by_oneself() {
        let (net, ends) = (Memory::default(), CancellationToken::new());
        let all = start(&net, 3, &ends);
        for n in 0..2_000_u64 {
            assert_eq!(all[0].ask(["g1", "g0"][(n % 2) as usize], &Say(n), SOON).await, Ok(2 * n));
        }
        let many = (0..200).map(|n| {
            let peers = all[1].clone();
            tokio::spawn(async move { peers.ask("g0", &Say(n), SOON).await })
        });
        for (n, asked) in (0..).zip(many.collect::<Vec<_>>()) {
            assert_eq!(asked.await.unwrap(), Ok(2 * n));
        }
        let stranger = all[0].ask("g7", &Say(1), SOON).await;
        assert_eq!(stranger, Err(PeerError::Unknown("g7".into())));
        let newer = all[0].ask("g1", &Other(1), SOON).await;
        assert_eq!(newer, Err(PeerError::Release("g1".into())), "a part that it does not have");
        ends.cancel();
    }

    #[tokio::test(start_paused = true)]
    async fn another_key_is_nobody_and_a_cut_link_is_silent_until_it_is_mended() {
        let (net, ends) = (Memory::default(), CancellationToken::new());
        let all = start(&net, 3, &ends);
        for (from, to) in [(0, "g2"), (2, "g0")] {
            let answer = all[from].ask(to, &Say(1), 4 * SOON).await;
            assert_eq!(answer, Err(PeerError::Unreachable(to.into())));
        }
        assert_eq!(all[0].ask("g1", &Say(4), SOON).await, Ok(8));
        net.cut(addr(1), addr(0));
        assert_eq!(all[0].ask("g1", &Say(5), SOON).await, Err(PeerError::Late("g1".into())));
        net.mend();
        assert_eq!(all[0].ask("g1", &Say(6), SOON).await, Ok(12));
        ends.cancel();
    }
}
