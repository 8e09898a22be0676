//! What gateways have told lately, put together for the planner.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use yewroute_zones::evidence::{Seen, FEW};
use yewroute_zones::planner::{Facts, Place};

use super::{Cell, Demand, Row};

/// What is looked at, and what is where that is too little to say anything.
const WINDOW: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(4);
/// Reads are counted over so long.
const ASKED: Duration = Duration::from_secs(2);
/// Reports that are kept.
const MOST_REPORTS: usize = 8_192;

struct Report {
    at: Instant,
    gateway: Box<str>,
    zone: u64,
    rows: Vec<Row>,
    demand: Vec<Demand>,
}

/// By zone and origin zone, then by gateway: what was seen, reads, and the microseconds that they took.
type Sums<'a> = BTreeMap<(u64, u64), BTreeMap<&'a str, (Seen, u64, u64)>>;

/// The reports of the last seconds, in the order in which they came.
#[derive(Default)]
pub struct Window(VecDeque<Report>);

impl Window {
    /// Takes a report of a gateway in a zone.
    pub fn take(&mut self, now: Instant, (gateway, zone): (&str, u64), rows: Vec<Row>, demand: Vec<Demand>) {
        while self.0.len() >= MOST_REPORTS
            || self.0.front().is_some_and(|old| now.saturating_duration_since(old.at) > LONGEST)
        {
            self.0.pop_front();
        }
        self.0.push_back(Report { at: now, gateway: gateway.into(), zone, rows, demand });
    }

    fn since(&self, now: Instant, span: Duration) -> impl Iterator<Item = &Report> {
        self.0.iter().filter(move |report| now.saturating_duration_since(report.at) < span)
    }

    /// What each gateway of each origin zone saw of a group's zones within a span.
    fn seen(
        &self,
        now: Instant,
        span: Duration,
        group: u64,
        cells: &[Cell],
    ) -> BTreeMap<(u64, u64), BTreeMap<&str, Seen>> {
        let hosts = |zone: u64| {
            cells.iter().find(|cell| (cell.group, cell.zone) == (group, zone)).map_or(0, |cell| cell.hosts)
        };
        let mut sums: Sums<'_> = BTreeMap::new();
        for report in self.since(now, span) {
            for row in report.rows.iter().filter(|row| row.group == group) {
                let of = sums.entry((row.zone, report.zone)).or_default();
                let (seen, reads, took_us) = of.entry(&report.gateway).or_default();
                seen.answered += u64::from(row.answered);
                seen.failed += u64::from(row.failed);
                seen.late += u64::from(row.late);
                seen.full += u64::from(row.full);
                (*reads, *took_us) = (*reads + u64::from(row.reads), *took_us + row.took_us);
                // What was said last of proven ones counts.
                seen.away = match hosts(row.zone) {
                    0 => 0.0,
                    hosts => f64::from(row.away) / f64::from(hosts),
                };
            }
        }
        let mean = |(mut seen, reads, took_us): (Seen, u64, u64)| {
            seen.took = if reads > 0 { took_us as f64 / reads as f64 / 1e6 } else { 0.0 };
            seen
        };
        let each = |(pair, of): ((u64, u64), BTreeMap<_, _>)| {
            (pair, of.into_iter().map(|(gateway, sum)| (gateway, mean(sum))).collect())
        };
        sums.into_iter().map(each).collect()
    }

    /// What is known of a group now; `places` are the zones.
    pub fn facts(&self, now: Instant, group: u64, cells: &[Cell], places: Vec<Place>) -> Facts {
        let mut facts = Facts { places, window: WINDOW.as_secs_f64(), ..Facts::default() };
        let (short, long) = (self.seen(now, WINDOW, group, cells), self.seen(now, LONGEST, group, cells));
        for (pair, all) in long {
            let tried = |of: &BTreeMap<&str, Seen>| {
                of.values().map(|seen| seen.answered + seen.failed + seen.late + seen.full).sum::<u64>()
            };
            let recent =
                short.get(&pair).filter(|of| tried(of) >= FEW || of.values().any(|seen| seen.away >= 1.0));
            let gateways: Vec<Seen> = recent.unwrap_or(&all).values().copied().collect();
            facts.seen.entry(pair.0).or_default().push((pair.1, gateways));
        }
        let span = ASKED.as_secs_f64();
        for report in self.since(now, ASKED) {
            for demand in report.demand.iter().filter(|demand| demand.group == group) {
                let (reads, worth) = facts.demand.entry(report.zone).or_default();
                *reads += f64::from(demand.reads) / span;
                *worth += f64::from(demand.worth) / span;
            }
            for row in report.rows.iter().filter(|row| row.group == group) {
                let others = row.answered.saturating_sub(row.reads);
                *facts.fixed.entry(row.zone).or_default() += f64::from(others) / span;
            }
        }
        for (reads, worth) in facts.demand.values_mut() {
            *worth = if *reads > 0.0 { *worth / *reads } else { 1.0 };
        }
        facts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_told_lately_is_put_together_and_little_is_looked_at_for_longer() {
        let (mut window, start) = (Window::default(), Instant::now());
        let row = |answered, failed, away| Row {
            group: 2,
            zone: 7,
            answered,
            reads: answered,
            failed,
            took_us: 1_000 * u64::from(answered),
            away,
            ..Row::default()
        };
        let cells = [Cell { group: 2, zone: 7, hosts: 2, cold: 0.0 }];
        let at = |ms| start + Duration::from_millis(ms);
        let asked = vec![Demand { group: 2, reads: 5, worth: 10.0 }];
        window.take(at(0), ("g1", 7), vec![row(3, 0, 0)], asked.clone());
        window.take(at(3_000), ("g1", 7), vec![row(2, 1, 0)], asked);
        let facts = window.facts(at(3_100), 2, &cells, Vec::new());
        let (origin, seen) = &facts.seen[&7][0];
        assert_eq!((*origin, seen[0].answered, seen[0].failed), (7, 5, 1), "over all that is kept");
        assert!((seen[0].took - 0.001).abs() < 1e-9 && facts.demand[&7] == (2.5, 2.0), "{facts:?}");
        window.take(at(3_200), ("g2", 7), vec![row(9, 0, 2)], Vec::new());
        let facts = window.facts(at(3_300), 2, &cells, Vec::new());
        let (_, seen) = &facts.seen[&7][0];
        assert_eq!(
            seen.iter().map(|seen| (seen.answered, seen.away)).collect::<Vec<_>>(),
            [(2, 0.0), (9, 1.0)]
        );
        assert!(window.facts(at(9_000), 2, &cells, Vec::new()).seen.is_empty());
        assert!(window.facts(at(3_300), 3, &cells, Vec::new()).seen.is_empty(), "another group");
    }
}
