//! How a gateway becomes a channel's home: it asks the holders, and where a live home has it, that one.

use std::time::{Duration, Instant};

use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::claim::{Claim, Life, Round};
use super::cursor::{Cursor, Out, Rule};
use super::order::{most, Wanted};
use super::{Ask, Finish, Said};
pub(super) use crate::bridge::now;
use crate::peers::Peers;

/// How long a holder may take to answer.
pub(super) const ANSWER: Duration = Duration::from_millis(400);
/// How often holders are asked whether a silent home still has its lease.
const LOOK: Duration = Duration::from_millis(150);

/// What is sought.
#[derive(Clone, Debug)]
pub struct Seek {
    /// The channel.
    pub channel: Vec<u8>,
    /// Which holders, by which list.
    pub holders: Vec<Box<str>>,
    /// The list.
    pub list: (u64, Box<str>),
    /// The request that it is for.
    pub wanted: Wanted,
    /// By which contract.
    pub rule: Rule,
    /// When it gives up.
    pub until: Instant,
    /// The highest epoch known.
    pub epoch: u64,
    /// What this gateway knows itself.
    pub cursor: Option<Cursor>,
    /// Tell holders what is to be sent first.
    pub tells: bool,
}

/// What became of it.
#[derive(Debug)]
pub enum Sought {
    /// This gateway is the home.
    Won {
        /// The epoch.
        epoch: u64,
        /// What it begins with.
        cursor: Box<Cursor>,
        /// Which holders granted, in which life, and when they were asked.
        granted: Vec<(Box<str>, u64, Instant)>,
    },
    /// What comes of the request without it.
    Finish(Finish),
    /// It cannot be had; this was the highest epoch.
    Lost {
        /// The highest epoch seen.
        epoch: u64,
        /// Why.
        why: &'static str,
        /// There is no room.
        full: bool,
        /// When to come back.
        retry: Duration,
    },
}

enum Asked {
    Let(u64, Option<Box<Cursor>>),
    Finish(Finish),
    Again,
}

type Grants = Vec<(Box<str>, u64, Instant)>;

/// Claims the channel until it has it, or the request's time is over.
pub async fn seek(peers: Peers, mut s: Seek) -> Sought {
    let (mut released, mut retry, mut full, mut rounds) = (0, Duration::from_millis(500), false, 0_u32);
    let mut why = "most of the gateways that hold this channel cannot be asked";
    loop {
        if now() >= s.until {
            return Sought::Lost { epoch: s.epoch, why, full, retry };
        }
        s.epoch = s.epoch.max(released) + 1;
        let (round, grants) = claim(&peers, &s, released).await;
        if round.granted.len() >= most(s.holders.len()) {
            let mut fresh = Cursor::new(s.rule);
            fresh.longest = s.until.saturating_duration_since(now());
            let cursor = Box::new(round.begins_with(s.cursor.as_ref(), fresh));
            return Sought::Won { epoch: s.epoch, cursor, granted: grants };
        }
        for holder in &s.holders {
            // One that does not hear it is asked for a higher epoch next.
            let _ = peers.tell(holder, &Ask::GiveUp { channel: s.channel.clone(), epoch: s.epoch });
        }
        s.epoch = s.epoch.max(round.highest);
        full = round.full;
        rounds += 1;
        if full {
            return Sought::Lost { epoch: s.epoch, why: "no room for another channel", full, retry };
        }
        let least = Duration::from_millis(rand::rng().random_range(3..=20 + 10 * u64::from(rounds.min(4))));
        let rest = match (round.busy, round.unsure) {
            (Some((home, epoch, left)), _) if epoch > released => {
                why = "another gateway has this channel and does not let it go in time";
                retry = left.max(Duration::from_millis(100));
                match ask_home(&peers, &s, &home, epoch).await {
                    Asked::Let(epoch, cursor) => {
                        released = released.max(epoch);
                        let newer = cursor.filter(|cursor| {
                            s.cursor.as_ref().is_none_or(|own| own.version < cursor.version)
                        });
                        s.cursor = newer.map(|cursor| *cursor).or(s.cursor);
                        continue;
                    }
                    Asked::Finish(finish) => return Sought::Finish(finish),
                    Asked::Again => least,
                }
            }
            (_, Some(unsure)) => {
                why = "gateways that hold this channel have only just started or cannot act";
                retry = unsure.max(Duration::from_millis(100));
                least.max(unsure.min(Duration::from_millis(100)))
            }
            _ => least,
        };
        sleep(rest.min(s.until.saturating_duration_since(now()))).await;
    }
}

/// One round: all holders are asked at once, and it is over once most have granted or cannot any more.
async fn claim(peers: &Peers, s: &Seek, released: u64) -> (Round, Grants) {
    let first =
        s.tells.then_some(Out { number: s.wanted.number, group: s.wanted.group, age: Duration::ZERO });
    let claim =
        Claim { channel: s.channel.clone(), epoch: s.epoch, released, cursor: s.cursor.clone(), first };
    let ask = Ask::Claim(Box::new(claim), s.list.clone());
    let mut asked = JoinSet::new();
    for holder in s.holders.iter().cloned() {
        let (peers, ask) = (peers.clone(), ask.clone());
        asked.spawn(async move {
            let at = now();
            let said = peers.ask(&holder, &ask, ANSWER).await;
            (holder, at, said)
        });
    }
    let (mut round, mut grants, mut left) = (Round::default(), Vec::new(), s.holders.len());
    let need = most(s.holders.len());
    while let Some(answer) = asked.join_next().await {
        left -= 1;
        if let Ok((holder, at, Ok(Said::Granted(granted, life)))) = answer {
            let before = round.granted.len();
            round.add(holder.clone(), *granted);
            if round.granted.len() > before {
                grants.push((holder, life, at));
            }
        }
        let decided = round.busy.is_some() && s.holders.len() - left >= need;
        if round.granted.len() >= need || round.granted.len() + left < need || decided {
            break;
        }
    }
    (round, grants)
}

/// Asks the home to let the channel go, for as long as holders say that it is one.
async fn ask_home(peers: &Peers, s: &Seek, home: &Life, epoch: u64) -> Asked {
    let wait = s.until.saturating_duration_since(now());
    let ask =
        Ask::Yield { channel: s.channel.clone(), life: home.1, epoch, wanted: s.wanted, rule: s.rule, wait };
    let asks = peers.ask(&home.0, &ask, wait);
    tokio::pin!(asks);
    loop {
        match timeout(LOOK, &mut asks).await {
            Ok(Ok(Said::Yielded(epoch, cursor))) => return Asked::Let(epoch, cursor),
            Ok(Ok(Said::Finish(finish))) => return Asked::Finish(finish),
            Ok(_) => return Asked::Again,
            // Guards against: waiting for one that is stopped or gone.
            Err(_) if !lives(peers, s).await => return Asked::Again,
            Err(_) => {}
        }
    }
}

/// Some holder says that the home's lease runs, or none says anything.
async fn lives(peers: &Peers, s: &Seek) -> bool {
    let mut asked = JoinSet::new();
    for holder in &s.holders {
        let (peers, ask, holder) = (peers.clone(), Ask::Look(s.channel.clone()), holder.clone());
        asked.spawn(async move { peers.ask(&holder, &ask, ANSWER).await });
    }
    let mut over = 0;
    while let Some(answer) = asked.join_next().await {
        if let Ok(Ok(Said::Left(left))) = answer {
            over += usize::from(left.is_zero());
        }
        if over >= most(s.holders.len()) {
            return false;
        }
    }
    true
}
