//! From what many gateways have proven of db hosts to what this one holds of them.
//!
//! In each zone the words of its gateways are added up; enough make a proof. A zone's own proof holds in it, those of two zones hold
//! wherever nothing newer is known to be served. A word that a served request refutes is worth nothing for a while unless another
//! says the same, and neither is one of a gateway that says so of most hosts. Of a group no more than a share is judged away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{Held, Settled, What, Word, PROOF};

/// A teller whose word was refuted is not believed of that host for so long, unless another says the same.
const REFUTED: Duration = Duration::from_secs(30);
/// A word is told on while somebody has proven it within so many times the time that words last.
pub const PROVEN_WITHIN: u32 = 2;
/// Words are kept of so many hosts.
const MOST_HOSTS: usize = 4_096;

type Name = Box<str>;

/// A word as it was heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    word: Word,
    heard: Instant,
    since: Instant,
}

#[derive(Default)]
struct Host {
    group: u64,
    /// Who says what is wrong with it, with their zone.
    bad: BTreeMap<Name, (Name, Heard)>,
    /// When a request was sent last, by zone, that it served.
    well: BTreeMap<Name, Instant>,
    refuted: BTreeMap<Name, Instant>,
}

/// All that was heard.
#[derive(Default)]
pub struct Board {
    hosts: BTreeMap<u64, Host>,
    /// How many hosts each group has, and all have.
    groups: BTreeMap<u64, usize>,
    /// Who was seen to lead each group, and when first.
    leads: BTreeMap<u64, Word>,
    /// Hosts that this one judged away when it last looked: they stay so while others are proven too.
    away: BTreeSet<u64>,
}

impl Board {
    /// The list: hosts and their groups.
    pub fn list(&mut self, hosts: &[(u64, u64)]) {
        self.groups.clear();
        hosts.iter().for_each(|(_, group)| *self.groups.entry(*group).or_default() += 1);
        let listed: BTreeSet<u64> = hosts.iter().map(|(host, _)| *host).collect();
        self.hosts.retain(|host, _| listed.contains(host));
        self.leads.retain(|_, word| listed.contains(&word.host));
    }

    /// Another host than this one was last seen to lead the group.
    pub fn led_by_another(&self, word: &Word) -> bool {
        self.leads.get(&word.group).is_none_or(|known| known.host != word.host && known.at < word.at)
    }

    /// Takes a word of a teller in a zone.
    pub fn hear(&mut self, now: Instant, (teller, zone): (&str, &str), word: Word) {
        if word.what == What::Leads {
            // Guards against: groups that nobody has listed.
            if self.groups.contains_key(&word.group) && self.led_by_another(&word) {
                self.leads.insert(word.group, word);
            }
            return;
        }
        if !self.hosts.contains_key(&word.host) && self.hosts.len() >= MOST_HOSTS {
            return;
        }
        let host = self.hosts.entry(word.host).or_default();
        host.group = word.group;
        let (teller, zone) = (Name::from(teller), Name::from(zone));
        match word.what {
            What::Well => {
                let alone = host.bad.values().filter(|(of, _)| *of == zone).count() == 1;
                let said = |(of, heard): &(Name, Heard)| *of == zone && heard.word.at <= word.at;
                let Host { bad, refuted, .. } = &mut *host;
                bad.retain(|other, heard| {
                    let over = said(heard);
                    if over && alone && *other != teller {
                        refuted.insert(other.clone(), now);
                    }
                    !over
                });
                let at = host.well.entry(zone).or_insert(word.at);
                *at = word.at.max(*at);
            }
            _ => {
                // A word older than a request that was served in the same zone has nothing to say.
                if host.well.get(&zone).is_some_and(|at| *at >= word.at) {
                    return;
                }
                let since = host.bad.get(&teller).map_or(word.at, |(_, heard)| heard.since);
                host.bad.insert(teller, (zone, Heard { word, heard: now, since }));
            }
        }
    }

    /// Drops what has not been heard again within the time that words last, and what tells of nothing any more.
    pub fn expire(&mut self, now: Instant, last: Duration) {
        let stale = |heard: &Heard| now.saturating_duration_since(heard.heard) >= last;
        let old = |at: Instant, most: Duration| now.saturating_duration_since(at) >= most;
        for host in self.hosts.values_mut() {
            host.bad.retain(|_, (_, heard)| !stale(heard));
            host.well.retain(|_, at| !old(*at, last * PROVEN_WITHIN));
            host.refuted.retain(|_, at| !old(*at, REFUTED));
        }
        self.hosts
            .retain(|_, host| !(host.bad.is_empty() && host.well.is_empty() && host.refuted.is_empty()));
    }

    /// Nothing is said of any host but who leads.
    pub fn is_quiet(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Tellers that call most of all hosts bad: it is likelier that they cannot see.
    fn blind(&self) -> BTreeSet<Name> {
        let mut calls: BTreeMap<&Name, usize> = BTreeMap::new();
        for host in self.hosts.values() {
            host.bad.keys().for_each(|teller| *calls.entry(teller).or_default() += 1);
        }
        let all: usize = self.groups.values().sum();
        calls
            .into_iter()
            .filter(|(_, count)| *count >= 2 && count * 2 > all)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// When the host was last proven bad by anybody who sees.
    pub fn proven(&self, host: u64) -> Option<Instant> {
        self.hosts.get(&host)?.bad.values().map(|(_, heard)| heard.word.at).max()
    }

    /// Whether a request sent after this was served by the host, in whatever zone.
    pub fn served_since(&self, host: u64, at: Instant) -> bool {
        self.hosts.get(&host).is_some_and(|host| host.well.values().any(|well| *well > at))
    }

    /// Whether it is worth telling the others that this host served a request of this zone.
    pub fn wants_well(&self, zone: &str, word: &Word) -> bool {
        let Some(host) = self.hosts.get(&word.host).filter(|host| !host.bad.is_empty()) else { return false };
        let own = host.bad.values().any(|(of, heard)| **of == *zone && heard.word.at <= word.at);
        let told = host.well.get(zone).is_some_and(|at| *at + Duration::from_secs(1) > word.at);
        own || !told
    }

    /// Hosts of which anybody says that something is wrong.
    #[must_use]
    pub fn talked_of(&self) -> Vec<u64> {
        self.hosts.iter().filter(|(_, host)| !host.bad.is_empty()).map(|(host, _)| *host).collect()
    }

    /// What is held in a zone at `now`.
    pub fn judge(&mut self, now: Instant, zone: &str, settled: &Settled) -> Vec<Held> {
        let blind = self.blind();
        let proven = self.hosts.iter().filter_map(|(id, host)| host.judge(*id, zone, &blind, settled));
        let mut proven: Vec<Held> = proven.filter(|held| now < held.until).collect();
        // Guards against: more of a group judged away than the others can carry, and taking turns in being so.
        proven.sort_by_key(|held| {
            (
                held.group,
                !self.away.contains(&held.host),
                std::cmp::Reverse((held.zones, held.tellers)),
                held.host,
            )
        });
        let mut left: BTreeMap<u64, usize> =
            self.groups.iter().map(|(group, count)| (*group, most_away(*count, settled.share))).collect();
        proven.retain(|held| {
            let left = left.entry(held.group).or_default();
            let may = *left > 0;
            *left = left.saturating_sub(1);
            may
        });
        self.away = proven.iter().map(|held| held.host).collect();
        let wells = self.hosts.iter().filter(|(id, host)| !self.away.contains(id) && host.bad.is_empty());
        let wells = wells
            .filter_map(|(id, host)| Some(Held::plain(*id, host.group, What::Well, *host.well.get(zone)?)));
        let leads = self.leads.values().map(|word| Held::plain(word.host, word.group, What::Leads, word.at));
        let more: Vec<Held> = wells.chain(leads).collect();
        proven.extend(more);
        proven
    }
}

/// How many hosts of a group of so many may be judged away at once: a share, but one of two or more.
#[must_use]
pub fn most_away(count: usize, share: f64) -> usize {
    match count {
        0 | 1 => 0,
        _ => ((count as f64 * share) as usize).clamp(1, count - 1),
    }
}

impl Host {
    /// What holds in a zone, before the share of the group is looked at.
    fn judge(&self, id: u64, zone: &str, blind: &BTreeSet<Name>, settled: &Settled) -> Option<Held> {
        let mut zones: BTreeMap<&str, Vec<(&Name, &Heard)>> = BTreeMap::new();
        for (teller, (of, heard)) in &self.bad {
            if !blind.contains(teller) {
                zones.entry(of).or_default().push((teller, heard));
            }
        }
        zones.retain(|_, tellers| {
            // One whose word was refuted counts with another that was not.
            let believed = tellers.iter().any(|(teller, _)| !self.refuted.contains_key(*teller));
            let weight: u32 = tellers.iter().map(|(_, heard)| u32::from(heard.word.weight.min(PROOF))).sum();
            believed && weight >= u32::from(PROOF)
        });
        let all: Vec<&Heard> = zones.values().flatten().map(|(_, heard)| *heard).collect();
        let newest = all.iter().map(|heard| heard.word.at).max()?;
        let own = zones.get(zone).map_or(0, Vec::len);
        // What two zones have proven holds in a third, but where it serves.
        let serves = self.well.get(zone).is_some_and(|at| *at >= newest);
        if own == 0 && (zones.len() < 2 || serves) {
            return None;
        }
        let told = all.iter().max_by_key(|heard| heard.word.at)?;
        let heard = all.iter().map(|heard| heard.heard).max()?;
        Some(Held {
            until: heard + settled.expire,
            since: all.iter().map(|heard| heard.since).min()?,
            firm: own >= 2 || zones.len() >= 2,
            zones: zones.len(),
            tellers: all.len(),
            ..Held::plain(id, self.group, told.word.what, newest)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTLED: Settled = Settled { share: 0.34, expire: Duration::from_secs(3) };

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// Two groups, of hosts 1 to 6 and 11 to 13.
    fn board() -> Board {
        let mut board = Board::default();
        let hosts: Vec<(u64, u64)> =
            (1..=6).map(|host| (host, 1)).chain((11..=13).map(|host| (host, 2))).collect();
        board.list(&hosts);
        board
    }

    fn word(host: u64, what: What, weight: u8, at: Instant) -> Word {
        Word { host, group: if host > 10 { 2 } else { 1 }, what, weight, at }
    }

    fn away(board: &mut Board, now: Instant, zone: &str) -> Vec<(u64, bool)> {
        let held = board.judge(now, zone, &SETTLED);
        held.iter().filter(|held| held.what.bars()).map(|held| (held.host, held.firm)).collect()
    }

    #[test]
    fn one_zone_s_proof_holds_there_and_that_of_two_for_all_but_where_it_serves() {
        let (mut board, now) = (board(), Instant::now());
        board.hear(now, ("g1", "a"), word(1, What::Hangs, PROOF / 2, now));
        assert!(away(&mut board, now, "a").is_empty(), "doubt of one");
        board.hear(now, ("g2", "a"), word(1, What::Hangs, PROOF / 2, now));
        assert_eq!(away(&mut board, now, "a"), [(1, true)], "doubt of two");
        assert!(away(&mut board, now, "b").is_empty(), "not in another zone");
        board.hear(now, ("g3", "b"), word(1, What::Hangs, PROOF, now));
        assert_eq!(away(&mut board, now, "b"), [(1, true)]);
        assert_eq!(away(&mut board, now, "c"), [(1, true)], "proven by two");
        board.hear(now, ("g5", "c"), word(1, What::Well, PROOF, now + ms(5)));
        assert!(away(&mut board, now, "c").is_empty(), "it serves there");
        assert_eq!(away(&mut board, now, "a"), [(1, true)]);
        board.hear(now, ("g2", "a"), word(1, What::Well, PROOF, now + ms(5)));
        board.hear(now, ("g4", "b"), word(1, What::Well, PROOF, now + ms(5)));
        assert!(["a", "b", "c"].iter().all(|zone| away(&mut board, now, zone).is_empty()), "well again");
        board.hear(now + ms(9), ("g1", "a"), word(1, What::Hangs, PROOF, now + ms(4)));
        assert!(away(&mut board, now, "a").is_empty(), "older than what was served");
    }

    #[test]
    fn a_refuted_teller_and_one_that_calls_most_hosts_dead_move_nothing() {
        let (mut board, now) = (board(), Instant::now());
        board.hear(now, ("liar", "a"), word(1, What::Hangs, PROOF, now));
        assert_eq!(away(&mut board, now, "a"), [(1, false)], "held, not firmly, until somebody tries");
        board.hear(now, ("g2", "a"), word(1, What::Well, PROOF, now + ms(1)));
        board.hear(now, ("liar", "a"), word(1, What::Hangs, PROOF, now + ms(2)));
        assert!(away(&mut board, now, "a").is_empty(), "refuted once");
        board.hear(now, ("g2", "a"), word(1, What::Hangs, PROOF, now + ms(3)));
        assert_eq!(away(&mut board, now, "a"), [(1, true)], "another says so");
        for host in (1..=4).chain([11]) {
            board.hear(now, ("blind", "b"), word(host, What::Refuses, PROOF, now));
        }
        assert!(away(&mut board, now, "b").is_empty(), "five of nine");
        // Its zone does not count as one that has proven anything.
        assert!(away(&mut board, now, "c").is_empty());
    }

    #[test]
    fn of_a_group_a_share_is_judged_away_and_the_same_ones_stay_so_and_all_ends_in_silence() {
        let cases = [(0, 0), (1, 0), (2, 1), (3, 1), (6, 2), (9, 3), (100, 34)];
        assert!(cases.iter().all(|(count, most)| most_away(*count, 0.34) == *most));
        assert_eq!(most_away(3, 1.0), 2, "never all");
        let (mut board, now) = (board(), Instant::now());
        let hang = |board: &mut Board, host: u64, tellers: &[&str], at: Instant| {
            tellers.iter().for_each(|teller| {
                board.hear(at, (teller, &teller[..1]), word(host, What::Hangs, PROOF, at))
            });
        };
        // The whole second group hangs, and half of the first.
        hang(&mut board, 12, &["a1", "b1"], now);
        assert_eq!(away(&mut board, now, "a"), [(12, true)]);
        hang(&mut board, 11, &["a2", "a3", "b2", "b3"], now);
        hang(&mut board, 13, &["a4", "b4"], now);
        assert_eq!(away(&mut board, now, "a"), [(12, true)], "one of three, and the one that was");
        (3..=5).for_each(|host| hang(&mut board, host, &["a5", "b5"], now));
        assert_eq!(away(&mut board, now, "b"), [(3, true), (4, true), (12, true)]);
        let later = now + SETTLED.expire;
        board.expire(later, SETTLED.expire);
        assert!(board.judge(later, "a", &SETTLED).is_empty() && board.talked_of().is_empty());
    }

    #[test]
    fn who_leads_a_group_is_the_one_that_was_last_seen_to() {
        let (mut board, now) = (board(), Instant::now());
        let lead = |host, at| word(host, What::Leads, PROOF, at);
        board.hear(now, ("g1", "a"), lead(11, now));
        assert!(!board.led_by_another(&lead(11, now + ms(5))), "nothing new");
        board.hear(now, ("g2", "b"), lead(12, now + ms(9)));
        board.hear(now, ("g1", "a"), lead(11, now + ms(8)));
        let led: Vec<(u64, Instant)> =
            board.judge(now, "a", &SETTLED).iter().map(|h| (h.host, h.proven)).collect();
        assert_eq!(led, [(12, now + ms(9))]);
    }

    #[test]
    fn that_a_host_serves_is_told_where_somebody_doubts_it_and_not_by_all() {
        let (mut board, now) = (board(), Instant::now());
        let well = |at| word(1, What::Well, PROOF, at);
        assert!(!board.wants_well("a", &well(now)), "nobody doubts it");
        board.hear(now, ("g1", "a"), word(1, What::Hangs, PROOF, now));
        assert!(board.wants_well("a", &well(now)) && board.wants_well("b", &well(now)));
        board.hear(now, ("g9", "b"), well(now + ms(100)));
        assert!(!board.wants_well("b", &well(now + ms(200))), "said a moment ago");
        assert!(board.wants_well("b", &well(now + ms(1_200))));
    }
}
