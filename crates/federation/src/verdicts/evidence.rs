//! From what became of a gateway's own attempts to what it can prove of db hosts. The event loop keeps it, so that only what
//! proves something crosses to the tasks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{What, Word, PROOF};

/// What one of each weighs, against [`PROOF`]: one failure may be chance; turning away and being slow is ordinary under load.
const DOUBT: u8 = PROOF / 2;
const LOAD: u8 = PROOF / 8;
/// An attempt is overdue after this many times the mean of its class, this part more than any answer took lately, and never sooner.
const OVERDUE_MEANS: f64 = 2.0;
const OVERDUE_LONGEST: f64 = 1.25;
const OVERDUE_LEAST: Duration = Duration::from_millis(20);
/// Overdue for so many times as long again it is proof by itself.
const SURELY: u32 = 2;
/// How means follow, and how the longest answer is forgotten with each that is shorter.
const GAIN: f64 = 0.05;
const FORGET: f64 = 0.998;
/// A host is slow whose answers take so many times the mean of their classes.
const SLOW: f64 = 4.0;
const SLOW_GAIN: f64 = 0.2;
/// What failed longer ago is no part of a row any more.
const ROW: Duration = Duration::from_secs(3);
/// A host that serves is said to at most so often, and so is who leads a group.
const WELL_EVERY: Duration = Duration::from_millis(200);
/// Requests with errors that are remembered until another host serves them.
const MOST_ERRED: usize = 2_048;

/// How an attempt ended, as far as it says something of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Served.
    Served,
    /// With an error.
    Error,
    /// No answer in time.
    Silent,
    /// Its connection broke.
    Broke,
    /// No connection.
    Refused,
    /// Turned away, as the host is full.
    TurnedAway,
    /// Some other way that shows no more than that the host answers.
    Otherwise,
}

/// An attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where it went, by the fleet's number.
    pub host: u64,
    /// The host's group.
    pub group: u64,
    /// Of which class it is.
    pub class: usize,
    /// Its request.
    pub request: u128,
    /// When it was sent.
    pub sent: Instant,
}

#[derive(Default)]
struct Host {
    heard: Option<Instant>,
    bad: Option<Word>,
    /// How many times the mean its answers take.
    slow: f64,
    well_told: Option<Instant>,
    led_told: Option<Instant>,
    /// Others say something of it.
    talked_of: bool,
}

/// What this gateway knows by its own attempts.
#[derive(Default)]
pub struct Evidence {
    hosts: HashMap<u64, Host>,
    /// Mean and longest, in seconds, by class.
    took: Vec<(f64, f64)>,
    erred: HashMap<u128, Vec<Attempt>>,
    words: Vec<Word>,
}

impl Evidence {
    /// After how long an attempt of a class is overdue; never before answers have told how long they take.
    #[must_use]
    pub fn patience(&self, class: usize) -> Option<Duration> {
        let (mean, longest) = *self.took.get(class)?;
        let wait = f64::max(mean * OVERDUE_MEANS, longest * OVERDUE_LONGEST);
        (mean > 0.0).then(|| Duration::from_secs_f64(wait).max(OVERDUE_LEAST))
    }

    /// An attempt is still out. True once it can prove nothing more.
    pub fn waits(&mut self, now: Instant, attempt: &Attempt, told: u8) -> u8 {
        let age = now.saturating_duration_since(attempt.sent);
        if age < OVERDUE_LEAST {
            return told;
        }
        let Some(patience) = self.patience(attempt.class) else { return told };
        let weight = if age >= patience * SURELY { PROOF } else { DOUBT };
        // Guards against: one long request that passes for a silent host. It is silent if nothing came since.
        let silent = self.hosts.get(&attempt.host).is_none_or(|host| host.heard <= Some(attempt.sent));
        if age < patience || told >= weight || !silent {
            return told;
        }
        self.add(now, attempt, What::Hangs, weight - told);
        weight
    }

    /// An attempt ended after this time; `told` is what was said of it while it was out, `primary` that its host called itself so.
    pub fn ended(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        took: Duration,
        how: How,
        (told, primary): (u8, bool),
    ) {
        let patience = self.patience(attempt.class).unwrap_or(took);
        let host = self.hosts.entry(attempt.host).or_default();
        if matches!(how, How::Served | How::Error | How::TurnedAway | How::Otherwise) {
            host.heard = Some(now);
        }
        if primary && host.led_told.is_none_or(|at| now >= at + WELL_EVERY * 5) {
            host.led_told = Some(now);
            self.words.push(word(attempt, What::Leads, PROOF));
        }
        match how {
            How::Otherwise => {}
            How::Served => self.served(now, attempt, took.as_secs_f64()),
            How::Error => {
                // Guards against: requests that fail wherever they go. It counts once another host has served this one.
                if self.erred.len() >= MOST_ERRED {
                    self.erred.clear();
                }
                self.erred.entry(attempt.request).or_default().push(*attempt);
            }
            How::Silent => {
                // Guards against: a client in a hurry, and a lost connection, that pass for a silent host.
                if took >= patience && host.heard <= Some(attempt.sent) {
                    self.add(now, attempt, What::Hangs, PROOF - told.min(PROOF));
                }
            }
            How::Broke => self.add(now, attempt, What::Breaks, DOUBT),
            How::Refused => self.add(now, attempt, What::Refuses, DOUBT),
            How::TurnedAway => self.add(now, attempt, What::TurnsAway, LOAD),
        }
    }

    fn served(&mut self, now: Instant, attempt: &Attempt, took: f64) {
        if self.took.len() <= attempt.class {
            self.took.resize(attempt.class + 1, (0.0, 0.0));
        }
        let (mean, longest) = &mut self.took[attempt.class];
        let times = if *mean > 0.0 { took / *mean } else { 1.0 };
        *mean = if *mean > 0.0 { *mean + GAIN * (took - *mean) } else { took };
        *longest = f64::max(took, *longest * FORGET);
        let erred = if self.erred.is_empty() { None } else { self.erred.remove(&attempt.request) };
        for other in erred.unwrap_or_default() {
            if other.host != attempt.host {
                self.add(now, &other, What::Fails, DOUBT);
            }
        }
        let Some(host) = self.hosts.get_mut(&attempt.host) else { return };
        host.slow += SLOW_GAIN * (times - host.slow);
        if host.slow >= SLOW && took > OVERDUE_LEAST.as_secs_f64() {
            self.add(now, attempt, What::Slow, LOAD);
            return;
        }
        // What was sent before it went bad says nothing of now.
        let over = host.bad.is_some_and(|bad| bad.at <= attempt.sent);
        let due = host.well_told.is_none_or(|at| now >= at + WELL_EVERY);
        if over || host.talked_of && due {
            host.well_told = Some(now);
            self.words.push(word(attempt, What::Well, PROOF));
        }
        if over {
            host.bad = None;
        }
    }

    fn add(&mut self, now: Instant, attempt: &Attempt, what: What, weight: u8) {
        let host = self.hosts.entry(attempt.host).or_default();
        let row = host.bad.filter(|bad| now.saturating_duration_since(bad.at) < ROW);
        let weight = row.map_or(0, |bad| bad.weight).saturating_add(weight).min(PROOF);
        let at = row.map_or(attempt.sent, |bad| bad.at.max(attempt.sent));
        let said = Word { at, ..word(attempt, what, weight) };
        host.bad = Some(said);
        if weight >= DOUBT {
            self.words.push(said);
        }
    }

    /// These are talked of by others: that one of them serves is worth saying.
    pub fn talked_of(&mut self, hosts: &[u64]) {
        self.hosts.values_mut().for_each(|host| host.talked_of = false);
        for host in hosts {
            self.hosts.entry(*host).or_default().talked_of = true;
        }
    }

    /// Forgets hosts that are not listed any more.
    pub fn keep(&mut self, listed: impl Fn(u64) -> bool) {
        self.hosts.retain(|host, _| listed(*host));
    }

    /// Nothing has been proven since it was last asked.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.words.is_empty()
    }

    /// What has been proven since it was last asked.
    pub fn take(&mut self) -> Vec<Word> {
        std::mem::take(&mut self.words)
    }
}

fn word(attempt: &Attempt, what: What, weight: u8) -> Word {
    Word { host: attempt.host, group: attempt.group, what, weight, at: attempt.sent }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn attempt(host: u64, request: u128, sent: Instant) -> Attempt {
        Attempt { host, group: 1, class: 0, request, sent }
    }

    fn ended(evidence: &mut Evidence, now: Instant, attempt: &Attempt, how: How, told: u8) {
        evidence.ended(now, attempt, now.saturating_duration_since(attempt.sent), how, (told, false));
    }

    /// Host 1 and 2 answer in 10 ms.
    fn calm(start: Instant) -> Evidence {
        let mut evidence = Evidence::default();
        for n in 0..20 {
            let sent = start + ms(n * 20);
            ended(&mut evidence, sent + ms(10), &attempt(1 + n % 2, 0, sent), How::Served, 0);
        }
        assert!(evidence.take().is_empty(), "nobody wants to know that all is well");
        evidence
    }

    fn said(evidence: &mut Evidence) -> Vec<(u64, What, u8)> {
        evidence.take().iter().map(|word| (word.host, word.what, word.weight)).collect()
    }

    #[test]
    fn an_overdue_attempt_is_doubt_and_then_proof_and_an_answer_takes_it_back() {
        let now = Instant::now() + ms(1_000);
        let mut evidence = calm(now - ms(1_000));
        assert_eq!(evidence.patience(0), Some(ms(20)));
        let out = attempt(1, 7, now);
        assert_eq!(evidence.waits(now + ms(19), &out, 0), 0);
        let told = evidence.waits(now + ms(20), &out, 0);
        assert_eq!(said(&mut evidence), [(1, What::Hangs, DOUBT)]);
        assert_eq!(evidence.waits(now + ms(30), &out, told), told, "said once");
        let told = evidence.waits(now + ms(40), &out, told);
        assert_eq!((told, said(&mut evidence)), (PROOF, vec![(1, What::Hangs, PROOF)]));
        ended(&mut evidence, now + ms(45), &out, How::Served, told);
        assert_eq!(said(&mut evidence), [(1, What::Well, PROOF)]);
        // One that is out while others are answered is a long request.
        let long = attempt(2, 8, now);
        ended(&mut evidence, now + ms(50), &attempt(2, 9, now + ms(40)), How::Served, 0);
        assert_eq!(evidence.waits(now + ms(60), &long, 0), 0);
    }

    #[test]
    fn one_broken_connection_is_doubt_two_are_proof_and_errors_count_once_others_serve_the_request() {
        let now = Instant::now() + ms(1_000);
        let mut evidence = calm(now - ms(1_000));
        for (n, weight) in [(0, DOUBT), (1, PROOF)] {
            ended(&mut evidence, now + ms(n), &attempt(1, 5, now + ms(n)), How::Broke, 0);
            assert_eq!(said(&mut evidence), [(1, What::Breaks, weight)]);
        }
        for request in [6, 7] {
            ended(&mut evidence, now, &attempt(2, request, now), How::Error, 0);
        }
        assert!(said(&mut evidence).is_empty(), "it may be the request's own");
        ended(&mut evidence, now + ms(9), &attempt(3, 6, now), How::Served, 0);
        assert_eq!(said(&mut evidence), [(2, What::Fails, DOUBT)]);
        // Sent before its errors: no word on how it is now.
        ended(&mut evidence, now + ms(9), &attempt(2, 1, now - ms(1)), How::Served, 0);
        assert!(said(&mut evidence).is_empty());
        ended(&mut evidence, now + ms(19), &attempt(2, 1, now + ms(2)), How::Served, 0);
        assert_eq!(said(&mut evidence), [(2, What::Well, PROOF)]);
    }

    #[test]
    fn a_host_that_turns_away_or_is_slow_is_proven_so_only_over_many() {
        let now = Instant::now() + ms(1_000);
        let mut evidence = calm(now - ms(1_000));
        for n in 0..3 {
            ended(&mut evidence, now + ms(n), &attempt(1, 5, now + ms(n)), How::TurnedAway, 0);
        }
        assert!(said(&mut evidence).is_empty());
        for n in 3..8 {
            ended(&mut evidence, now + ms(n), &attempt(1, 5, now + ms(n)), How::TurnedAway, 0);
        }
        assert_eq!(said(&mut evidence).last(), Some(&(1, What::TurnsAway, PROOF)));
        for n in 0..16 {
            let sent = now + ms(n);
            ended(&mut evidence, sent + ms(100 + 60 * n), &attempt(2, 5, sent), How::Served, 0);
        }
        assert!(said(&mut evidence).contains(&(2, What::Slow, PROOF)));
    }
}
