//! Gateways in one process that agree over a network that loses, repeats, delays and cuts, on a clock of its own. Whatever is
//! done to them, these rules are looked at after each step: one group decides, one decision for one place, one
//! holder of a lease, one process for a voter's number.

use std::collections::{BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const LEASE: &str = "lease";

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

fn peer(n: usize, incarnation: u64) -> Peer {
    let (region, zone) = [("north", "a"), ("south", "c"), ("west", "e"), ("north", "b")][n % 4];
    Peer {
        name: format!("g{n}").into(),
        region: region.into(),
        zone: zone.into(),
        addr: addr(n),
        incarnation,
    }
}

struct Gateway {
    agree: Agree,
    peer: Peer,
    /// When it was started, and whether it runs, stands still or is dead.
    runs: bool,
    alive: bool,
}

struct Net {
    now: Instant,
    start: Instant,
    gateways: Vec<Gateway>,
    seeds: usize,
    wire: BTreeMap<(Instant, u64), (usize, Vec<u8>)>,
    sent: u64,
    bytes: u64,
    rng: ChaCha8Rng,
    loss: f64,
    repeat: f64,
    delay: Duration,
    /// Groups that hear only each other.
    sides: Vec<usize>,
    /// Every one of them wants the lease, for so many milliseconds.
    wanted: Option<u32>,
    decided: BTreeMap<Place, (String, Decision)>,
    holders: BTreeSet<usize>,
    events: Vec<(Duration, usize, Event)>,
    states: HashSet<u64>,
    /// Numbers of voters, with whose they were: a gateway and its incarnation.
    numbers: BTreeMap<u64, (usize, u64)>,
}

impl Net {
    fn new(size: usize, seeds: usize, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let mut net = Self {
            now,
            start: now,
            gateways: Vec::new(),
            seeds,
            wire: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            repeat: 0.0,
            delay: Duration::from_millis(2),
            sides: vec![0; size],
            wanted: None,
            decided: BTreeMap::new(),
            holders: BTreeSet::new(),
            events: Vec::new(),
            states: HashSet::new(),
            numbers: BTreeMap::new(),
        };
        net.gateways = (0..size).map(|n| net.gateway(n, 1_000 + n as u64)).collect();
        net.show();
        net
    }

    fn gateway(&self, n: usize, incarnation: u64) -> Gateway {
        let (peer, seeds) = (peer(n, incarnation), (0..self.seeds).map(addr).collect());
        let unix_ms = 1_700_000_000_000 + (self.now - self.start).as_millis() as u64;
        let agree = Agree::new(self.now, Terms { me: peer.clone(), seeds, unix_ms });
        Gateway { agree, peer, runs: true, alive: true }
    }

    /// Tells each what the fleet's view would be.
    fn show(&mut self) {
        for n in 0..self.gateways.len() {
            let near = |m: &usize| *m != n && self.gateways[*m].alive && self.sides[*m] == self.sides[n];
            let others =
                (0..self.gateways.len()).filter(near).map(|m| self.gateways[m].peer.clone()).collect();
            let gateway = &mut self.gateways[n];
            gateway.agree.members(gateway.peer.incarnation, others, true, true);
        }
    }

    fn kill(&mut self, n: usize) {
        (self.gateways[n].alive, self.gateways[n].runs) = (false, false);
        self.show();
    }

    /// Starts it again: the same name and place, and no memory.
    fn restart(&mut self, n: usize) {
        let later = self.gateways[n].peer.incarnation + 1_000;
        self.gateways[n] = self.gateway(n, later);
        if let Some(ms) = self.wanted {
            self.gateways[n].agree.want(self.now, LEASE, b"", ms);
        }
        // A newcomer asks others for what was decided before it came.
        let near = |m: &usize| *m != n && self.gateways[*m].runs && self.sides[*m] == self.sides[n];
        let known: Vec<(String, Decision)> = (0..self.gateways.len())
            .filter(near)
            .flat_map(|m| self.gateways[m].agree.decisions())
            .map(|(key, decision, _)| (key.to_owned(), decision.clone()))
            .collect();
        for (key, decision) in known {
            self.gateways[n].agree.learn(self.now, &key, decision, 0);
        }
        self.show();
    }

    fn cut(&mut self, sides: &[usize]) {
        self.sides = sides.to_vec();
        self.show();
    }

    fn want_all(&mut self, ms: u32) {
        self.wanted = Some(ms);
        for gateway in &mut self.gateways {
            gateway.agree.want(self.now, LEASE, b"", ms);
        }
    }

    fn flush(&mut self) {
        for n in 0..self.gateways.len() {
            while let Some((to, bytes)) = self.gateways[n].agree.transmit() {
                let to = usize::from(to.port()) - 10_000;
                assert!(bytes.len() <= 1_100, "{} bytes in one datagram", bytes.len());
                self.bytes += bytes.len() as u64;
                // Some tests change what is written in a message, addresses too.
                if to >= self.gateways.len()
                    || self.sides[n] != self.sides[to]
                    || self.rng.random_bool(self.loss)
                {
                    continue;
                }
                for _ in 0..1 + usize::from(self.rng.random_bool(self.repeat)) {
                    self.sent += 1;
                    let delay = self.delay.mul_f64(self.rng.random_range(0.9..1.1));
                    self.wire.insert((self.now + delay, self.sent), (to, bytes.clone()));
                }
            }
            while let Some(event) = self.gateways[n].agree.event() {
                match &event {
                    Event::Head(head) => self.tell(n, |now, agree, addr| {
                        agree.heard(now, head.clone(), Some(addr), Duration::ZERO);
                    }),
                    Event::Tell(key, decision, left) => self.tell(n, |now, agree, _| {
                        agree.learn(now, key, decision.clone(), *left);
                    }),
                    _ => {}
                }
                self.events.push((self.now - self.start, n, event));
            }
        }
        self.look();
    }

    /// What one has told to all, to those that it reaches.
    fn tell(&mut self, from: usize, each: impl Fn(Instant, &mut Agree, SocketAddr)) {
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if self.sides[to] == self.sides[from] && self.gateways[to].runs {
                each(self.now, &mut self.gateways[to].agree, addr(from));
            }
        }
    }

    /// The rules.
    fn look(&mut self) {
        let deciding = self.gateways.iter().filter(|gateway| gateway.runs && gateway.agree.leads(self.now));
        let groups: BTreeSet<_> =
            deciding.filter_map(|gateway| Some(gateway.agree.node.as_ref()?.generation)).collect();
        assert!(groups.len() <= 1, "{groups:?} decide at once, after {:?}", self.now - self.start);
        let mut holders = BTreeSet::new();
        let mut hasher = DefaultHasher::new();
        for (n, gateway) in self.gateways.iter().enumerate() {
            // One that is stopped believes nothing; what it does when it goes on is looked at then.
            if gateway.runs && gateway.agree.holds(self.now, LEASE) {
                holders.insert(n);
            }
            let Some(node) = &gateway.agree.node else { continue };
            let whose = *self.numbers.entry(node.number).or_insert((n, gateway.peer.incarnation));
            assert_eq!(whose, (n, gateway.peer.incarnation), "one voter's number for two");
            let of =
                (n, node.generation, node.number, node.term(), node.index(), node.last_index(), node.leads());
            (of, node.voters()).hash(&mut hasher);
            for (key, decision) in node.kept.state.iter() {
                let held = (key.to_owned(), decision.clone());
                let first = self.decided.entry(decision.place).or_insert_with(|| held.clone());
                assert_eq!(*first, held, "two decisions for one place, after {:?}", self.now - self.start);
            }
        }
        assert!(holders.len() <= 1, "{holders:?} hold one lease, after {:?}", self.now - self.start);
        if let Some(holder) = holders.first() {
            self.holders.insert(*holder);
        }
        holders.hash(&mut hasher);
        self.states.insert(hasher.finish());
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.flush();
            let wire = self.wire.first_key_value().map(|((at, _), _)| *at);
            let running = self.gateways.iter().filter(|gateway| gateway.runs);
            let timer = running.filter_map(|gateway| gateway.agree.next()).min();
            self.now = [wire, timer].into_iter().flatten().min().unwrap_or(end).clamp(self.now, end);
            while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (to, bytes) = entry.remove();
                let gateway = &mut self.gateways[to];
                if gateway.runs {
                    gateway.agree.receive(self.now, &bytes);
                } else if gateway.alive {
                    // It stands in the socket until the process goes on.
                    self.sent += 1;
                    self.wire.insert((end + Duration::from_millis(1), self.sent), (to, bytes));
                }
            }
            for gateway in self.gateways.iter_mut().filter(|gateway| gateway.runs) {
                if gateway.agree.next().is_some_and(|at| at <= self.now) {
                    gateway.agree.tick(self.now);
                }
            }
        }
        self.flush();
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.gateways[*n].runs && self.gateways[*n].agree.leads(self.now);
        let mut leaders: Vec<usize> = (0..self.gateways.len()).filter(leads).collect();
        // Of two in a cut the one that stands with more.
        leaders.sort_by_key(|n| self.sides.iter().filter(|side| **side == self.sides[*n]).count());
        leaders.pop()
    }

    fn voters(&self) -> Vec<usize> {
        let voters = |leader: usize| {
            let head = self.gateways[leader].agree.node.as_ref()?;
            let mut at: Vec<usize> = head
                .voters()
                .iter()
                .filter_map(|v| Some(usize::from(head.place_of(*v)?.0.port()) - 10_000))
                .collect();
            at.sort_unstable();
            Some(at)
        };
        self.leader().and_then(voters).unwrap_or_default()
    }

    fn until(&mut self, most: Duration, what: &str, so: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !so(self) {
            let told = self.events.iter().rev().filter(|(_, _, event)| !matches!(event, Event::Answered(..)));
            let events: Vec<_> = told.take(12).collect();
            assert!(
                self.now - start < most,
                "{what}: not within {most:?}; voters {:?}; {events:?}",
                self.voters()
            );
            self.run(Duration::from_millis(50));
        }
        self.now - start
    }

    /// Runs on, and says who might have decided meanwhile.
    fn run_quietly(&mut self, span: Duration) -> BTreeSet<usize> {
        // What was agreed to before runs out first.
        self.run(support::HELD);
        let end = self.now + span;
        let mut deciding = BTreeSet::new();
        while self.now < end {
            self.run(Duration::from_millis(50));
            deciding.extend(self.leader());
        }
        deciding
    }

    /// Asks one for a decision, and waits for it.
    fn decide(&mut self, n: usize, key: &str, value: &[u8]) -> (Outcome, Duration) {
        let over = self.gateways[n].agree.read(key).map_or(Place::default(), |(decision, _)| decision.place);
        let command = Command { key: key.into(), value: value.to_vec(), over, lease: None };
        let count = self.gateways[n].agree.ask(self.now, command).expect("there is room");
        let (start, before) = (self.now, self.events.len());
        loop {
            let answer = self.events.iter().skip(before).find_map(|(at, m, event)| match event {
                Event::Answered(c, outcome, _) if (*m, *c) == (n, count) => Some((*at, *outcome)),
                _ => None,
            });
            if let Some((at, outcome)) = answer {
                return (outcome, self.start + at - start);
            }
            assert!(self.now - start < ASKED_FOR, "{n} has no answer for {key}; leader {:?}", self.leader());
            self.run(Duration::from_millis(5));
        }
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn nine_agree_on_five_voters_over_all_regions_and_decide_in_one_order() {
    let mut net = Net::new(9, 3, 1);
    let took = net.until(secs(30), "five voters", |net| net.voters().len() == 5);
    let regions: BTreeSet<_> =
        net.voters().into_iter().map(|n| net.gateways[n].peer.region.clone()).collect();
    assert!(regions.len() == 3, "{regions:?}");
    println!("five voters after {took:?}");
    for n in 0..9 {
        let (outcome, _) = net.decide(n, "plan", &[n as u8]);
        net.run(secs(1));
        assert!(matches!(outcome, Outcome::Decided(_)), "{n}: {outcome:?}");
        for reader in &net.gateways {
            assert_eq!(
                reader.agree.read("plan").expect("told to all").0.value,
                [n as u8],
                "read at {}",
                reader.peer.name
            );
        }
    }
    // One that knows of nothing asks for what is decided already.
    let stale = Command { key: "plan".into(), value: vec![], over: Place::default(), lease: None };
    let count = net.gateways[7].agree.ask(net.now, stale).expect("there is room");
    net.run(secs(1));
    let answer = net.events.iter().rev().find_map(|(_, n, event)| match event {
        Event::Answered(c, outcome, _) if (*n, *c) == (7, count) => Some(*outcome),
        _ => None,
    });
    assert!(matches!(answer, Some(Outcome::Stale(_))), "{answer:?}");
}

#[test]
fn the_lease_goes_on_whatever_befalls_the_leader_and_only_one_holds_it() {
    type Fault = fn(&mut Net, usize);
    // What is done to the leader, and how long it may take until another holds the lease: a lease, and an election.
    let faults: [(&str, Fault); 4] = [
        ("killed", |net, leader| net.kill(leader)),
        ("stopped", |net, leader| net.gateways[leader].runs = false),
        ("cut off", |net, leader| {
            let sides: Vec<usize> = (0..9).map(|n| usize::from(n == leader)).collect();
            net.cut(&sides);
        }),
        ("cut off with one other", |net, leader| {
            let other = net.voters().into_iter().find(|n| *n != leader).expect("there are five");
            let sides: Vec<usize> = (0..9).map(|n| usize::from(n == leader || n == other)).collect();
            net.cut(&sides);
        }),
    ];
    for (what, fault) in faults {
        let mut net = Net::new(9, 5, 2);
        net.until(secs(30), "five voters", |net| net.voters().len() == 5);
        net.want_all(3_000);
        net.until(secs(30), "a holder", |net| net.holders.len() == 1);
        let leader = net.leader().expect("one leads");
        fault(&mut net, leader);
        let took = net.until(secs(20), what, |net| net.leader().is_some_and(|n| n != leader));
        println!("{what}: another leads after {took:?}");
        let near = (0..9).find(|n| *n != leader && net.sides[*n] == 0).expect("most are");
        let (outcome, _) = net.decide(near, "after", b"x");
        assert!(matches!(outcome, Outcome::Decided(_)), "{what}: {outcome:?}");
        net.run(secs(6));
        net.gateways[leader].runs = net.gateways[leader].alive;
        net.cut(&[0; 9]);
        if !net.gateways[leader].alive {
            net.restart(leader);
        }
        let all = |net: &Net| net.voters().len() == 5 && net.leader().is_some();
        net.until(secs(40), "five voters again", all);
        let (outcome, _) = net.decide(leader, "again", b"y");
        assert!(matches!(outcome, Outcome::Decided(_)), "{what}: {outcome:?} for the one that came back");
    }
}

#[test]
fn a_leader_that_goes_hands_over_at_once() {
    let mut net = Net::new(9, 5, 14);
    net.until(secs(30), "five voters", |net| net.voters().len() == 5);
    let leader = net.leader().expect("one leads");
    let now = net.now;
    net.gateways[leader].agree.leave(now);
    net.run(Duration::from_millis(100));
    net.kill(leader);
    let took = net.until(secs(1), "another leads", |net| net.leader().is_some());
    assert!(net.leader() != Some(leader), "after {took:?}");
}

#[test]
fn voters_that_die_one_after_another_are_replaced_and_nothing_decided_is_lost() {
    let mut net = Net::new(9, 3, 3);
    net.until(secs(30), "five voters", |net| net.voters().len() == 5);
    let (outcome, _) = net.decide(8, "plan", b"kept");
    let Outcome::Decided(place) = outcome else { panic!("{outcome:?}") };
    for n in 3..9 {
        net.kill(n);
        net.until(secs(40), "as many voters as there can be", |net| {
            let alive = net.gateways.iter().filter(|gateway| gateway.alive).count();
            net.voters().len() == voters::wanted(alive)
        });
    }
    let leader = net.leader().expect("one leads");
    let state = &net.gateways[leader].agree.node.as_ref().expect("it votes").kept.state;
    assert_eq!(state.get("plan").map(|decision| decision.place), Some(place));
    assert_eq!(
        net.gateways.iter().map(|gateway| gateway.agree.counts().founded).sum::<u64>(),
        1,
        "one group throughout"
    );
}

#[test]
fn most_voters_lost_at_once_a_later_group_begins_with_what_was_told() {
    let mut net = Net::new(9, 5, 4);
    net.until(secs(30), "five voters", |net| net.voters().len() == 5);
    let Outcome::Decided(place) = net.decide(8, "plan", b"kept").0 else { panic!("not decided") };
    net.want_all(3_000);
    net.until(secs(30), "a holder", |net| !net.holders.is_empty());
    net.run(secs(2));
    let voters = net.voters();
    voters.iter().take(3).for_each(|n| net.kill(*n));
    let two = net.run_quietly(secs(4));
    assert!(two.is_empty(), "{two:?} decide without most voters and seeds");
    voters.iter().take(3).for_each(|n| net.restart(*n));
    let took = net.until(secs(60), "another group", |net| net.leader().is_some());
    println!("another group after {took:?}");
    let (outcome, _) = net.decide(8, "plan", b"newer");
    let Outcome::Decided(later) = outcome else { panic!("{outcome:?}") };
    assert!(later.generation > place.generation, "{later:?} after {place:?}");
    let held = net.holders.clone();
    net.until(secs(60), "a holder in the new group", |net| {
        (0..9).any(|n| net.gateways[n].runs && net.gateways[n].agree.holds(net.now, LEASE))
            && !held.is_empty()
    });
}

#[test]
fn without_most_seeds_nothing_is_decided_and_with_them_again_it_is() {
    let mut net = Net::new(5, 3, 5);
    net.until(secs(30), "voters", |net| net.voters().len() == 5);
    // Three of five voters, and with them one seed of three.
    net.cut(&[0, 1, 2, 2, 2]);
    let some = net.run_quietly(secs(30));
    assert!(some.is_empty(), "{some:?} may decide without most of the seeds");
    net.cut(&[0; 5]);
    net.until(secs(60), "one leads", |net| net.leader().is_some());
    // Those with the seeds begin anew, those with most voters stop before.
    net.cut(&[0, 0, 1, 1, 1]);
    let some = net.run_quietly(secs(30));
    assert!(some.len() == 1 && some.iter().all(|n| *n < 2), "{some:?} may decide");
    net.cut(&[0; 5]);
    net.until(secs(60), "one leads", |net| net.leader().is_some());
    assert!(matches!(net.decide(4, "plan", b"x").0, Outcome::Decided(_)));
    // Seeds that are started anew support nobody for a while, whoever asks.
    (0..3).for_each(|n| net.kill(n));
    net.run(secs(1));
    (0..3).for_each(|n| net.restart(n));
    let at = net.now;
    net.until(secs(60), "one leads", |net| net.leader().is_some());
    assert!(net.now - at >= support::HELD - secs(1), "after {:?}", net.now - at);
}

#[test]
fn seeds_that_forget_whom_they_supported_do_not_let_two_groups_decide_at_once() {
    let mut net = Net::new(7, 3, 9);
    net.until(secs(30), "voters", |net| net.voters().len() == 5);
    let leader = net.leader().expect("one leads");
    let voters = net.voters();
    let strangers: Vec<usize> = (3..7).filter(|n| !voters.contains(n)).collect();
    assert_eq!(strangers.len(), 2, "{voters:?} vote");
    let mut sides: Vec<usize> = (0..7).map(|n| usize::from(strangers.contains(&n))).collect();
    net.cut(&sides);
    // Long enough to want a group of their own.
    net.run(secs(25));
    assert_eq!(net.leader(), Some(leader));
    let seeds: Vec<usize> = (0..3).filter(|n| *n != leader).take(2).collect();
    for n in seeds {
        sides[n] = 1;
        net.restart(n);
    }
    net.cut(&sides);
    net.run(secs(30));
    assert!(
        net.gateways.iter().map(|gateway| gateway.agree.counts().founded).sum::<u64>() > 1,
        "a second group"
    );
}

#[test]
fn a_process_takes_no_seat_that_it_or_the_one_before_it_had() {
    let mut net = Net::new(5, 3, 10);
    net.until(secs(30), "voters", |net| net.voters().len() == 5);
    let voter = net.voters().into_iter().find(|n| Some(*n) != net.leader()).expect("there are five");
    net.gateways[voter].runs = false;
    net.run(secs(1));
    let kept: Vec<Vec<u8>> =
        net.wire.values().filter(|(to, _)| *to == voter).map(|(_, bytes)| bytes.clone()).collect();
    assert!(!kept.is_empty(), "the leader writes to it");
    // The same process, when it has given its seat up; then another process of that name.
    net.gateways[voter].runs = true;
    net.gateways[voter].agree.drop_node();
    for round in 0..2 {
        for bytes in &kept {
            net.gateways[voter].agree.receive(net.now, bytes);
            assert!(net.gateways[voter].agree.node.is_none(), "an old seat is taken, round {round}");
        }
        net.restart(voter);
    }
    // It is seated anew, under another number.
    net.until(secs(40), "a seat again", |net| net.voters().len() == 5 && net.voters().contains(&voter));
}

#[test]
fn no_lease_is_given_while_one_of_an_earlier_group_may_run_whoever_leads() {
    let mut net = Net::new(5, 5, 11);
    net.want_all(3_000);
    net.until(secs(30), "three voters", |net| net.voters().len() >= 3);
    let founded = net.now - secs(2);
    let founder = net.leader().expect("one leads");
    net.kill(founder);
    net.until(secs(10), "another leads", |net| net.leader().is_some());
    net.until(secs(60), "a holder", |net| !net.holders.is_empty());
    let after = net.now - founded;
    assert!(after >= Duration::from_millis(LONGEST_LEASE.into()), "given {after:?} after the group began");
}

#[test]
fn support_counts_from_when_it_was_asked_for_however_late_the_answer_comes() {
    let mut net = Net::new(3, 3, 12);
    net.until(secs(30), "voters", |net| net.voters().len() == 3);
    net.delay = Duration::from_millis(500);
    net.run(secs(4));
    for gateway in &net.gateways {
        let agree = &gateway.agree;
        let until = agree.support.until(&agree.terms.seeds);
        // Asked, a second there, a second back.
        assert!(
            until.is_none_or(|until| until <= net.now + support::HELD - 2 * secs(1)),
            "{until:?} at {:?}",
            net.now
        );
    }
    assert!(net.leader().is_some(), "and it is enough to go on");
}

#[test]
fn gateways_with_other_lists_of_seeds_do_not_support_each_other() {
    let mut net = Net::new(3, 3, 6);
    net.seeds = 2;
    net.gateways[0] = net.gateway(0, 5_000);
    net.gateways[1] = net.gateway(1, 5_000);
    net.show();
    // It thinks that it is the first to found a group.
    net.gateways[2].agree.members(1_002, Vec::new(), true, true);
    net.run(secs(40));
    let told = net.events.iter().any(|(_, _, event)| matches!(event, Event::SeedsDiffer(_)));
    let two = net.gateways[2].agree.counts().founded;
    assert!(told && two == 0, "told {told}, founded by the one with three seeds: {two}");
    assert!(net.leader().is_some_and(|n| n < 2), "the two whose lists are the same agree");
}

#[test]
fn across_three_regions_a_decision_takes_few_ways_there_and_back() {
    let mut net = Net::new(9, 3, 7);
    net.delay = Duration::from_millis(40);
    net.until(secs(40), "five voters", |net| net.voters().len() == 5);
    let mut took: Vec<Duration> = Vec::new();
    for n in 0..90 {
        let (outcome, span) = net.decide(n % 9, &format!("k{}", n % 20), &[n as u8]);
        assert!(matches!(outcome, Outcome::Decided(_) | Outcome::Stale(_)), "{outcome:?}");
        took.push(span);
    }
    took.sort_unstable();
    println!("p50 {:?}, p99 {:?}", took[45], took[89]);
    assert!(took[45] < Duration::from_millis(200) && took[89] < Duration::from_millis(600), "{took:?}");
}

#[test]
fn requests_are_bounded_and_refused_by_name() {
    let mut net = Net::new(3, 1, 8);
    net.until(secs(30), "voters", |net| net.voters().len() == 3);
    let command = |key: &str, value: usize, ms| Command {
        key: key.into(),
        value: vec![0; value],
        over: Place::default(),
        lease: Some((1, ms)),
    };
    let too_long = "k".repeat(state::LONGEST_KEY + 1);
    let wrong =
        [("", 1, 1), (&*too_long, 1, 1), ("k", state::LONGEST_VALUE + 1, 1), ("k", 1, LONGEST_LEASE + 1)];
    for (key, value, ms) in wrong {
        assert_eq!(
            net.gateways[0].agree.ask(net.now, command(key, value, ms)),
            None,
            "{} {value} {ms}",
            key.len()
        );
    }
    let many = (0..2 * MOST_ASKED)
        .filter(|n| net.gateways[1].agree.ask(net.now, command(&format!("k{n}"), 1, 9)).is_some());
    assert_eq!(many.count(), MOST_ASKED);
    for n in 0..MOST_KEYS {
        net.decide(0, &format!("n{n}"), b"1");
    }
    assert_eq!(net.decide(0, "one more", b"1").0, Outcome::Full);
    // Bytes that nobody meant, cut and changed ones: dropped, and the group goes on.
    let voter = net.leader().expect("one leads");
    let bytes: Vec<Vec<u8>> = net.wire.values().map(|(_, bytes)| bytes.clone()).collect();
    for (n, mut bytes) in bytes.into_iter().cycle().take(20_000).enumerate() {
        let at = n % bytes.len();
        bytes[at] = bytes[at].wrapping_add(1 | (n / 7) as u8);
        bytes.truncate(bytes.len() - n % 3);
        net.gateways[voter].agree.receive(net.now, &bytes);
    }
    net.until(secs(60), "one leads", |net| net.leader().is_some());
}

/// Faults drawn from a seed, of any kind, one after another: the rules hold throughout, and when they end one group decides.
fn walk(seed: u64, size: usize, steps: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net = Net::new(size, size, seed);
    net.want_all(if seed % 3 == 0 { LONGEST_LEASE } else { 3_000 });
    net.run(secs(8));
    for _ in 0..steps {
        let n = rng.random_range(0..size);
        match rng.random_range(0..8) {
            0 => net.kill(n),
            1 | 2 if !net.gateways[n].alive => net.restart(n),
            1 => net.gateways[n].runs = false,
            2 | 3 => net.gateways[n].runs = net.gateways[n].alive,
            4 => {
                let sides: Vec<usize> = (0..size).map(|_| rng.random_range(0..2)).collect();
                net.cut(&sides);
            }
            5 => net.cut(&vec![0; size]),
            6 => (net.loss, net.repeat) = (rng.random_range(0.0..0.3), rng.random_range(0.0..0.3)),
            _ => net.delay = Duration::from_millis(rng.random_range(1..120)),
        }
        net.run(Duration::from_millis(rng.random_range(20..4_000)));
    }
    (net.loss, net.repeat, net.delay) = (0.0, 0.0, Duration::from_millis(2));
    for n in 0..size {
        if net.gateways[n].alive {
            net.gateways[n].runs = true;
        } else {
            net.restart(n);
        }
    }
    net.cut(&vec![0; size]);
    net.until(secs(90), &format!("seed {seed}: one group"), |net| net.leader().is_some());
    net.until(secs(90), &format!("seed {seed}: a holder"), |net| {
        (0..size).any(|n| net.gateways[n].agree.holds(net.now, LEASE))
    });
    net.states.len()
}

#[test]
fn faults_in_any_order_never_leave_two_decisions_for_one_place_or_two_holders() {
    let walks = std::env::var("AGREE_WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    let states: usize = (0..walks).map(|seed| walk(seed, 3 + 2 * (seed as usize % 2), 25)).sum();
    println!("{walks} walks, {states} states");
    assert!(states > 100 * walks as usize, "{states} states in {walks} walks are too few to say anything");
}

/// One step of a search: what happens next of all that could.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// A datagram that is on its way comes, is lost, or comes and will come again.
    Comes(usize),
    Lost(usize),
    Repeated(usize),
    /// Time goes on to the next timer.
    Time,
    /// A gateway starts again, without memory.
    Restart(usize),
}

impl Net {
    /// Three voters of which one asks for a lease, and nothing on its way.
    fn searched() -> Self {
        let mut net = Net::new(3, 3, 13);
        net.until(secs(30), "voters", |net| net.voters().len() == 3);
        net.run(secs(16));
        net.wire.clear();
        net.gateways[0].agree.want(net.now, LEASE, b"", 3_000);
        net.gateways[2].agree.want(net.now, LEASE, b"", 3_000);
        net.states.clear();
        net
    }

    fn step(&mut self, next: Next) {
        let key = |net: &Self, n: usize| net.wire.keys().nth(n).copied();
        match next {
            Next::Comes(n) | Next::Lost(n) | Next::Repeated(n) => {
                let Some((to, bytes)) = key(self, n).and_then(|key| self.wire.remove(&key)) else { return };
                if matches!(next, Next::Repeated(_)) {
                    self.sent += 1;
                    self.wire.insert((self.now, self.sent), (to, bytes.clone()));
                }
                if !matches!(next, Next::Lost(_)) {
                    self.gateways[to].agree.receive(self.now, &bytes);
                }
            }
            Next::Time => {
                let next = self.gateways.iter().filter_map(|gateway| gateway.agree.next()).min();
                self.now = next.unwrap_or(self.now).max(self.now);
                for gateway in &mut self.gateways {
                    if gateway.agree.next().is_some_and(|at| at <= self.now) {
                        gateway.agree.tick(self.now);
                    }
                }
            }
            Next::Restart(n) => self.restart(n),
        }
        self.flush();
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now - self.start).hash(&mut hasher);
        self.wire.values().for_each(|way| way.hash(&mut hasher));
        for gateway in &self.gateways {
            gateway.agree.holds(self.now, LEASE).hash(&mut hasher);
            let Some(node) = &gateway.agree.node else { continue };
            (node.generation, node.number, node.term(), node.index(), node.last_index()).hash(&mut hasher);
            (node.leads(), node.voters(), &node.kept.state).hash(&mut hasher);
        }
        hasher.finish()
    }
}

#[test]
fn no_order_of_what_can_happen_to_three_voters_breaks_a_rule() {
    let most = std::env::var("AGREE_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(120);
    let mut seen = HashSet::new();
    let mut open: VecDeque<Vec<Next>> = VecDeque::from([Vec::new()]);
    let mut deepest = 0;
    while let Some(path) = open.pop_front().filter(|_| seen.len() < most) {
        // Each state is reached anew, as the library's cannot be copied; the rules are looked at on the way.
        let mut net = Net::searched();
        path.iter().for_each(|next| net.step(*next));
        if !seen.insert(net.fingerprint()) {
            continue;
        }
        deepest = deepest.max(path.len());
        let ways =
            (0..net.wire.len().min(3)).flat_map(|n| [Next::Comes(n), Next::Lost(n), Next::Repeated(n)]);
        let restarted = path.iter().any(|next| matches!(next, Next::Restart(_)));
        let restarts = (0..3).map(Next::Restart).filter(|_| !restarted);
        for next in ways.chain([Next::Time]).chain(restarts) {
            open.push_back(path.iter().copied().chain([next]).collect());
        }
    }
    println!("{} states, up to {deepest} steps deep", seen.len());
    assert!(seen.len() >= most, "only {} states", seen.len());
}
