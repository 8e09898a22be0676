//! The process before and after this one: the listener that passes between them, and the limits that both share.

use std::time::{Duration, Instant};

use tracing::{info, warn};
use yewroute_ledger::Limits;
use yewroute_lifecycle::Means;

use super::console::Console;
use super::handover::News;
use super::startup::{buffer_shares, descriptor_shares, receive_limits};
use super::{Gateway, RESERVED_DESCRIPTORS};
use crate::memory_plan::MemoryPlan;

/// How long a new process waits for the listener while the one that it replaces is itself still replacing another.
const PREDECESSOR_BUSY_TIMEOUT: Duration = Duration::from_millis(4_500);
/// An older process keeps what its statements hold so many times: its program and its buffers take memory too.
const STATEMENT_HEADROOM: usize = 2;
/// How often two processes look at who needs what.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// The same while clients move from the older to the newer.
const SHARE_INTERVAL_MOVING: Duration = Duration::from_millis(20);

impl Gateway {
    /// Takes over the limits that this process has.
    pub(super) fn use_means(&mut self, means: Means) {
        self.means = means;
        let (mut most_clients, mut most_hosts) = descriptor_shares(means.sockets, self.console_share);
        self.clients.beside(means != self.limits);
        if means != self.limits {
            // Beside another process clients come all at once, and few connections to db hosts are needed yet.
            let lent = most_hosts / 2;
            (most_clients, most_hosts) = (most_clients + lent, most_hosts - lent);
        }
        let plan = MemoryPlan::of(means.kib, most_clients);
        // Guards against: statements that wait for memory which this process has handed on for good.
        let later = if self.life.is_handed() { means } else { self.limits };
        let widest = MemoryPlan::of(later.kib, most_clients).statements;
        self.clients.limit(most_clients, buffer_shares(&plan), plan.sessions);
        self.hosts.limit(most_hosts, receive_limits(&plan));
        self.answer_memory.limit(plan.answers);
        self.core.limit_ids(plan.request_ids);
        self.statement_memory.limit(Limits { total: plan.statements, widest });
    }

    /// Shares the limits with a successor: it gets what this process does not need.
    pub(super) fn share(&mut self, now: Instant) {
        let Some(handover) = self.handover.as_mut().filter(|handover| handover.has_successor()) else {
            return;
        };
        let callers = self.console.as_ref().map_or(0, Console::len);
        let held = Means {
            sockets: self.clients.len() + self.hosts.len() + RESERVED_DESCRIPTORS + callers,
            kib: (self.clients.held_bytes() + STATEMENT_HEADROOM * self.statement_memory.held()) / 1024,
        };
        let (own, left) = self.limits.divide(held, self.life.is_handed());
        handover.leave(left);
        if own != self.means {
            self.use_means(own);
        }
        let moving = self.life.is_handed();
        self.share_at = Some(now + if moving { SHARE_INTERVAL_MOVING } else { SHARE_INTERVAL });
    }

    /// Something of another process of this gateway has come.
    pub(super) fn replaced(&mut self, now: Instant, number: u64) {
        let Some(handover) = &mut self.handover else { return };
        for news in handover.ready(number, &self.poller) {
            match news {
                News::Listener(listener) => {
                    if let Some(awaiting) = &mut self.awaiting {
                        awaiting.listener = Some(listener);
                    }
                }
                News::Left(means) => self.use_means(means),
                News::Later => {
                    if let Some(awaiting) = &mut self.awaiting {
                        awaiting.listener_by = now + PREDECESSOR_BUSY_TIMEOUT;
                    }
                }
                News::PredecessorGone => {
                    if let Some(awaiting) = &mut self.awaiting {
                        awaiting.listener_by = now;
                    }
                    self.use_means(self.limits);
                    self.hand(now);
                }
                News::Asked => self.hand(now),
                News::Serves => {
                    info!("a newer process serves: clients are sent there");
                    self.life.handed(now);
                    self.use_means(self.means);
                    self.fleet.iter_mut().for_each(|fleet| fleet.stand_down(now));
                    self.share(now);
                }
                News::SuccessorGone => self.successor_gone(now),
            }
        }
    }

    /// Hands the listener over to the process that has asked for it, once there are no more than two.
    pub(super) fn hand(&mut self, now: Instant) {
        let Some(handover) = self.handover.as_mut().filter(|handover| handover.has_successor()) else {
            return;
        };
        let listener = self.clients.listener().filter(|_| !handover.has_predecessor());
        handover.hand(listener, self.limits.divide(self.limits, false).1);
        self.share(now);
    }

    /// The newer process has gone before this one.
    pub(super) fn successor_gone(&mut self, now: Instant) {
        let served = self.life.is_handed();
        self.life.successor_lost();
        self.share_at = None;
        self.use_means(self.limits);
        if let Some(handover) = self.handover.as_mut().filter(|_| served) {
            warn!("the newer process has gone: this one goes on");
            self.fleet.iter_mut().for_each(|fleet| fleet.stand_up(now));
            handover.serve(&self.poller);
        }
    }
}
