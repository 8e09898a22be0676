//! Which requests may have run, by their ids: known from the first attempt to the end of their window, whether their clients are
//! there or not, and whichever process of this gateway sent them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use yewroute::interface::{Class, Effect};

use super::{AttemptId, Core, Payload};
use crate::proto::pg::names;

/// What stands for an id.
pub type IdDigest = u64;

/// An id to be remembered for so long, as one process tells the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentId {
    /// Whose.
    pub digest: IdDigest,
    /// How long from now.
    pub window: Duration,
}

/// Ids of requests that may not be sent again, and attempts whose clients have left.
#[derive(Debug, Default)]
pub struct RequestIds {
    most: usize,
    until: HashMap<IdDigest, Instant>,
    /// In the order of sending; an id that was sent again stands here more than once.
    order: VecDeque<(Instant, IdDigest)>,
    /// Attempts that are out though nobody waits for them.
    abandoned: HashMap<IdDigest, AttemptId>,
    /// What the other process has not been told yet, where there is one.
    news: Option<Vec<SentId>>,
    forgotten_early: u64,
}

/// What stands for this id.
pub fn digest(id: &[u8]) -> IdDigest {
    names::digest(id)
}

/// How long an id of this class is remembered after it was sent; none if it may be sent again: what repeats a deduplicated
/// request is dropped by its db hosts.
pub fn window(class: &Class) -> Option<Duration> {
    match class.effect {
        Effect::Idempotent | Effect::Deduplicated { .. } => None,
        // All tries of its client are over by then, and the last one's attempt too.
        Effect::AtMostOnce => Some(2 * class.deadline),
    }
}

impl RequestIds {
    /// At most so many are remembered from now on.
    pub fn limit(&mut self, most: usize) {
        self.most = most;
        self.make_room();
    }

    /// An attempt begins that may run.
    pub fn sent(&mut self, now: Instant, id: SentId) {
        self.remember(now, id);
        if let Some(news) = &mut self.news {
            news.push(id);
        }
    }

    /// The same, as the other process of this gateway tells.
    pub fn remember(&mut self, now: Instant, SentId { digest, window }: SentId) {
        self.forget_old(now);
        let until = now + window;
        self.until.insert(digest, until);
        self.order.push_back((until, digest));
        self.make_room();
    }

    /// It never ran.
    pub fn forget(&mut self, digest: IdDigest) {
        self.until.remove(&digest);
    }

    /// It may have run, and its window is not over.
    pub fn may_have_run(&self, now: Instant, digest: IdDigest) -> bool {
        self.until.get(&digest).is_some_and(|until| now < *until)
    }

    /// An attempt goes on though its client has left.
    pub fn abandon(&mut self, digest: IdDigest, attempt: AttemptId) {
        self.abandoned.insert(digest, attempt);
    }

    /// The attempt of this id that goes on though its client has left.
    pub fn abandoned(&self, digest: IdDigest) -> Option<AttemptId> {
        self.abandoned.get(&digest).copied()
    }

    /// An attempt has ended.
    pub fn ended(&mut self, digest: IdDigest, attempt: AttemptId) {
        if self.abandoned.get(&digest) == Some(&attempt) {
            self.abandoned.remove(&digest);
        }
    }

    /// Whether there is another process of this gateway, which is told what is sent; at first, all that is remembered.
    pub fn share(&mut self, now: Instant, shared: bool) {
        if !shared {
            self.news = None;
        } else if self.news.is_none() {
            let ids = self.until.iter().filter_map(|(digest, until)| {
                let window = until.checked_duration_since(now)?;
                Some(SentId { digest: *digest, window })
            });
            self.news = Some(ids.collect());
        }
    }

    /// What the other process is to be told now.
    pub fn take_news(&mut self) -> Vec<SentId> {
        self.news.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Ids that were forgotten before their windows were over, for want of room.
    pub fn forgotten_early(&self) -> u64 {
        self.forgotten_early
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((until, digest)) = self.order.front().copied().filter(|(until, _)| *until <= now) {
            self.order.pop_front();
            if self.until.get(&digest) == Some(&until) {
                self.until.remove(&digest);
            }
        }
    }

    fn make_room(&mut self) {
        while self.order.len() > self.most {
            let Some((until, digest)) = self.order.pop_front() else { return };
            if self.until.get(&digest) == Some(&until) {
                self.until.remove(&digest);
                self.forgotten_early += 1;
            }
        }
    }
}

impl<B: Payload> Core<B> {
    /// How many ids of requests that may have run are remembered from now on.
    pub fn limit_ids(&mut self, most: usize) {
        self.ids.limit(most);
    }

    /// Whether another process of this gateway is told of the ids that are sent from here.
    pub fn share_ids(&mut self, now: Instant, shared: bool) {
        self.ids.share(now, shared);
    }

    /// The ids that it is to be told of.
    pub fn take_sent_ids(&mut self) -> Vec<SentId> {
        self.ids.take_news()
    }

    /// The other process has sent a request of this id.
    pub fn remember_id(&mut self, now: Instant, id: SentId) {
        self.ids.remember(now, id);
    }

    /// Ids that were forgotten before their windows were over.
    pub fn ids_forgotten_early(&self) -> u64 {
        self.ids.forgotten_early()
    }
}

#[cfg(test)]
mod tests;
