//! What all gateways of a federation do by one table: its versions are agreed on before any site switches over ([`road`]),
//! limits hold for all together ([`limits`]), what one has proven of db hosts counts for all ([`verdicts`]), and a channel's
//! requests keep their order over reconnections ([`channels`]).
//!
//! Tasks on a runtime of one thread, started only where the operator's file says so. They meet the event loop by [`bridge`],
//! and other gateways by [`peers`]. `docs/design/federation.md` weighs this against other ways and states the bounds.
#![forbid(unsafe_code)]

pub mod bridge;
pub mod channels;
pub mod error;
pub mod frame;
pub mod limits;
pub mod links;
pub mod memory;
pub mod peers;
pub mod permit;
pub mod road;
pub mod roster;
pub mod verdicts;

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, Interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use bridge::{Acting, Outlook, Reader, Shared, Wish, Wishes};
use links::{Links, Tcp};
use peers::{Inboxes, Incoming, Kind, Me, Peers};

/// How much faster or slower than another a gateway's monotonic clock may run: quartz is off by 0.0001 at the worst, a machine that
/// is slewed to the right time by 0.0005; a hundred times that is allowed for.
pub const DRIFT: f64 = 0.05;
/// News of one kind that may wait for the tasks.
const MOST_NEWS: usize = 8_192;

/// What a gateway brings.
#[derive(Clone)]
pub struct Terms {
    /// Its name.
    pub name: Box<str>,
    /// Which of its lives it is in.
    pub incarnation: u64,
    /// Where others reach it over TCP.
    pub listen: SocketAddr,
    /// The fleet's key.
    pub key: [u8; 32],
    /// How long a lease to act lasts.
    pub lease: Duration,
    /// How much faster or slower than another a gateway's clock may run.
    pub drift: f64,
    /// Gateways that hold a channel's cursor.
    pub keep: usize,
    /// Connections from others that are held at a time.
    pub connections: usize,
    /// The table's first text, out of the operator's file.
    pub first: Arc<str>,
    /// Reads tables.
    pub reader: Reader,
}

impl Terms {
    /// A lease as everybody but its holder counts it: surely over.
    #[must_use]
    pub fn lease_over(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.drift)
    }

    /// A lease as its holder counts it.
    #[must_use]
    pub fn lease_held(&self) -> Duration {
        self.lease.mul_f64(1.0 - self.drift)
    }
}

/// What each task has to work with.
#[derive(Clone)]
pub struct Context {
    /// What this gateway brings.
    pub terms: Arc<Terms>,
    /// The other gateways.
    pub peers: Peers,
    /// What the event loop knows of the fleet.
    pub outlook: watch::Receiver<Arc<Outlook>>,
    /// What this gateway acts by: the same as in `shared`, to wait for changes of.
    pub acting: watch::Receiver<Arc<Acting>>,
    /// What the event loop reads.
    pub shared: Arc<Shared>,
    /// What is wanted of it.
    pub wishes: Wishes,
    /// All ends with it.
    pub ends: CancellationToken,
    /// When the tasks began.
    pub began: Instant,
}

impl Context {
    /// Ticks that fall together with all others of this period, so that they wake the thread once.
    pub(crate) fn ticks(&self, every: Duration) -> Interval {
        let mut ticks = tokio::time::interval_at(self.began, every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        ticks
    }

    /// Puts a wish to the event loop.
    pub fn wish(&self, wish: Wish) {
        self.wishes.put(&self.shared.figures, wish);
    }
}

/// The event loop's end: tells the tasks what has come, without ever waiting for them.
pub struct Federation {
    /// What the tasks tell.
    pub shared: Arc<Shared>,
    /// What they want.
    pub wishes: Receiver<Wish>,
    outlook: watch::Sender<Arc<Outlook>>,
    table: mpsc::Sender<road::News>,
    verdicts: mpsc::Sender<verdicts::News>,
    channels: mpsc::Sender<channels::News>,
    ends: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Federation {
    /// Starts the thread. `wake` wakes the event loop when something is wanted of it.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(terms: Terms, outlook: Outlook, wake: Arc<dyn Fn() + Send + Sync>) -> io::Result<Self> {
        let (wishes, from) = Wishes::new(wake);
        let (outlook, looks) = watch::channel(Arc::new(outlook));
        let (table, table_news) = mpsc::channel(MOST_NEWS);
        let (verdicts, verdict_news) = mpsc::channel(MOST_NEWS);
        let (channels, channel_news) = mpsc::channel(MOST_NEWS);
        let (shared, ends) = (Arc::new(Shared::default()), CancellationToken::new());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (of_shared, of_ends) = (Arc::clone(&shared), ends.clone());
        let work = async move {
            let listen = terms.listen;
            let links = tokio::select! {
                () = of_ends.cancelled() => return,
                links = Tcp::listen(listen) => links,
            };
            match links {
                Ok(links) => {
                    let news = News { table: table_news, verdicts: verdict_news, channels: channel_news };
                    run(terms, Arc::new(links), looks, of_shared, wishes, news, of_ends).await;
                }
                Err(error) => {
                    tracing::error!(%listen, %error, "federation: its place cannot be had; nothing is done by a table")
                }
            }
        };
        let thread =
            std::thread::Builder::new().name("federation".into()).spawn(move || runtime.block_on(work))?;
        let thread = Some(thread);
        Ok(Self { shared, wishes: from, outlook, table, verdicts, channels, ends, thread })
    }

    /// Tells what the event loop knows of the fleet now. Guards against: every task woken ten times a second for nothing new.
    pub fn look(&self, outlook: Outlook) {
        self.outlook.send_if_modified(|held| {
            let new = **held != outlook;
            if new {
                *held = Arc::new(outlook);
            }
            new
        });
    }

    /// Hands on what has come for the table; false if there is no room.
    pub fn table(&self, news: road::News) -> bool {
        self.table.try_send(news).is_ok()
    }

    /// Hands on what requests have taught; false if there is no room.
    pub fn verdicts(&self, news: verdicts::News) -> bool {
        self.verdicts.try_send(news).is_ok()
    }

    /// Hands on what requests of channels have come to; false if there is no room.
    pub fn channels(&self, news: channels::News) -> bool {
        self.channels.try_send(news).is_ok()
    }
}

impl Drop for Federation {
    fn drop(&mut self) {
        self.ends.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic there was logged by itself.
            let _ = thread.join();
        }
    }
}

/// What comes from the event loop, for each part.
pub struct News {
    /// For the table.
    pub table: mpsc::Receiver<road::News>,
    /// For verdicts.
    pub verdicts: mpsc::Receiver<verdicts::News>,
    /// For channels.
    pub channels: mpsc::Receiver<channels::News>,
}

/// Runs all tasks of a gateway until the token ends them. The program calls it on its own thread, tests with links of memory.
pub async fn run(
    terms: Terms,
    links: Arc<dyn Links>,
    outlook: watch::Receiver<Arc<Outlook>>,
    shared: Arc<Shared>,
    wishes: Wishes,
    news: News,
    ends: CancellationToken,
) {
    let kinds = [Kind::Table, Kind::Limits, Kind::Verdicts, Kind::Channels];
    let (inboxes, [table, limits_asked, verdicts_asked, channels_inbox]) = Inboxes::new(kinds);
    let me = Me {
        name: terms.name.clone(),
        incarnation: terms.incarnation,
        key: terms.key,
        most: terms.connections,
    };
    let (members, seen) = watch::channel(outlook.borrow().members.clone());
    let peers = Peers::start(me, links, seen, inboxes, &ends);
    let (acts, acting) = watch::channel(Arc::new(Acting::default()));
    let context = Context {
        terms: Arc::new(terms),
        peers,
        outlook: outlook.clone(),
        acting,
        shared,
        wishes,
        ends: ends.clone(),
        began: Instant::now(),
    };
    let News { table: table_news, verdicts: verdict_news, channels: channel_news } = news;
    let mut tasks = JoinSet::new();
    let texts = Arc::clone(&context.shared.texts);
    let (to_holder, of_holder) = mpsc::channel(MOST_NEWS);
    let (to_steward, of_steward) = mpsc::channel(MOST_NEWS);
    let (puts, put) = mpsc::channel(MOST_NEWS);
    let (rulings, ruled) = mpsc::channel(MOST_NEWS);
    tasks.spawn(road::hold(context.clone(), Arc::clone(&texts), acts, of_holder, put));
    tasks.spawn(road::lead(context.clone(), texts, of_steward, ruled));
    tasks.spawn(channels::desk::run(context.clone(), channel_news, channels_inbox));
    tasks.spawn(limits::run(context.clone(), limits_asked));
    tasks.spawn(sort(table, to_holder, to_steward));
    tasks.spawn(hand_out(table_news, puts, rulings));
    tasks.spawn(verdicts::judge(context.clone(), verdict_news, verdicts_asked));
    let mut looks = outlook;
    loop {
        tokio::select! {
            () = ends.cancelled() => break,
            changed = looks.changed() => {
                if changed.is_err() {
                    break;
                }
                let now = looks.borrow().members.clone();
                members.send_if_modified(|held| std::mem::replace(held, now.clone()) != now);
            }
        }
    }
    // All that was started ends with this.
    ends.cancel();
    tasks.shutdown().await;
}

/// Gives the steward's questions to the steward, and the others to whom they are for.
async fn sort(
    mut asked: mpsc::Receiver<Incoming>,
    to_holder: mpsc::Sender<Incoming>,
    to_steward: mpsc::Sender<Incoming>,
) {
    while let Some(incoming) = asked.recv().await {
        let leads =
            matches!(incoming.read::<road::Ask>(), Some(road::Ask::Lease { .. } | road::Ask::Propose { .. }));
        let to = if leads { &to_steward } else { &to_holder };
        if to.send(incoming).await.is_err() {
            return;
        }
    }
}

/// Gives what comes from the event loop for the table to whom it is for.
async fn hand_out(
    mut news: mpsc::Receiver<road::News>,
    puts: mpsc::Sender<road::Put>,
    rulings: mpsc::Sender<(u64, road::Ruling)>,
) {
    while let Some(news) = news.recv().await {
        let gone = match news {
            road::News::Put { caller, text } => puts.send(road::Put { caller, text }).await.is_err(),
            road::News::Decided { ticket, ruling } => rulings.send((ticket, ruling)).await.is_err(),
        };
        if gone {
            return;
        }
    }
}
