//! What this gateway's attempts saw of zones, and what its clients ask: told the steward, which works out a plan for all.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use yewroute::interface::{Freshness, Status};
use yewroute_federation::verdicts::PROOF;
use yewroute_federation::zones::{Demand, News, Row};

use super::{Attempt, Core, Ended, Payload};

/// How often it is handed on.
const HAND_ON: Duration = Duration::from_millis(100);
/// How often the list is, for db hosts that get warm.
const LIST: Duration = Duration::from_secs(1);

/// Counts since they were handed on last.
#[derive(Default)]
pub(super) struct Reach {
    rows: HashMap<(u64, u64), Row>,
    demand: HashMap<u64, Demand>,
    at: Option<Instant>,
    listed: Option<(u64, Instant)>,
}

impl Reach {
    fn row(&mut self, group: u64, zone: u64) -> &mut Row {
        self.rows.entry((group, zone)).or_insert(Row { group, zone, ..Row::default() })
    }
}

impl<B: Payload> Core<B> {
    /// Counts from now on what the plan for all zones is made of, or does not.
    pub fn reach(&mut self, on: bool) {
        self.reach = on.then(Box::default);
    }

    /// A client asks for something.
    pub(super) fn count_demand(&mut self, class: usize, group: u64) {
        let class = &self.deployment.module.classes[class];
        let Some(reach) = self.reach.as_mut().filter(|_| class.freshness != Freshness::Write) else { return };
        let demand = reach.demand.entry(group).or_insert(Demand { group, ..Demand::default() });
        demand.reads = demand.reads.saturating_add(1);
        demand.worth += class.worth as f32;
    }

    /// An attempt ended.
    pub(super) fn book_reach(&mut self, now: Instant, attempt: &Attempt, ended: &Ended) {
        let listed = self.directory.member(attempt.server).map(|listed| (listed.group, listed.zone));
        let (Some(reach), Some((group, zone))) = (&mut self.reach, listed) else { return };
        // Guards against: a client in a hurry that passes for a silent host. What was surely overdue is counted already.
        let patience = self.proofs.as_ref().and_then(|proofs| proofs.patience(now, attempt.class));
        let hurried = patience.is_some_and(|patience| attempt.elapsed(now) < patience);
        let row = reach.row(group, zone);
        let one = |count: &mut u32| *count = count.saturating_add(1);
        match ended.status {
            Status::Good | Status::Miss => {
                one(&mut row.answered);
                if self.deployment.module.classes[attempt.class].freshness != Freshness::Write {
                    one(&mut row.reads);
                    let took = attempt.elapsed(now).as_micros();
                    row.took_us = row.took_us.saturating_add(u64::try_from(took).unwrap_or(u64::MAX));
                }
            }
            Status::Full => one(&mut row.full),
            Status::Timeout if hurried => {}
            Status::Timeout if attempt.told < PROOF => one(&mut row.late),
            Status::Error | Status::Reset | Status::ConnectFailed if attempt.told < PROOF => {
                one(&mut row.failed)
            }
            _ => {}
        }
    }

    /// An attempt is surely overdue.
    pub(super) fn overdue_reach(reach: &mut Option<Box<Reach>>, place: Option<(u64, u64)>) {
        if let (Some(reach), Some((group, zone))) = (reach, place) {
            let row = reach.row(group, zone);
            row.late = row.late.saturating_add(1);
        }
    }

    /// What is to be handed on; to be called at every turn of the event loop.
    pub fn take_reach(&mut self, now: Instant) -> Vec<News> {
        let Some(reach) = self.reach.as_mut().filter(|reach| reach.at.is_none_or(|at| now >= at)) else {
            return Vec::new();
        };
        reach.at = Some(now + HAND_ON);
        let mut news = Vec::new();
        let version = self.directory.version();
        if reach.listed.is_none_or(|(known, at)| known != version || now >= at) {
            reach.listed = Some((version, now + LIST));
            let cells = self.directory.cells(now, self.deployment.module.rules.cold);
            let names: BTreeMap<u64, Box<str>> = self.directory.zone_names().collect();
            news.push(News::Listed(cells, names));
        }
        // Hosts that are held for proven bad get no attempts: that is said as long as it is so.
        for server in self.proofs.iter().flat_map(|proofs| proofs.barred(now)) {
            if let Some(listed) = self.directory.member(server).filter(|listed| listed.serving) {
                reach.row(listed.group, listed.zone).away += 1;
            }
        }
        let rows: Vec<Row> = reach.rows.drain().map(|(_, row)| row).collect();
        let demand: Vec<Demand> = reach.demand.drain().map(|(_, demand)| demand).collect();
        if !rows.is_empty() || !demand.is_empty() {
            news.push(News::Seen(rows, demand));
        }
        news
    }
}
