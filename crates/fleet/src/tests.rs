//! Fleets in one process: each gateway's part fed by hand over a network that loses, delays and cuts.

use std::collections::BTreeSet;

use super::body::BODIES;
use super::*;

const KEY: [u8; 32] = [7; 32];

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

fn terms(n: usize, incarnation: u64) -> Terms {
    let me =
        Id { name: format!("g{n}").into(), zone: ["a", "b", "c"][n % 3].into(), addr: addr(n), incarnation };
    Terms { me, seeds: vec![addr(0), addr(1)], key: KEY, budget: 4_000, seed: n as u64 * 7 + incarnation }
}

/// A network on a clock of its own.
struct Net {
    now: Instant,
    start: Instant,
    fleets: Vec<Option<Fleet>>,
    /// They are there and do not run.
    stopped: BTreeSet<usize>,
    wire: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    sent: u64,
    rng: ChaCha8Rng,
    loss: f64,
    /// Whether a datagram from one to the other gets through.
    passes: fn(usize, usize) -> bool,
    events: Vec<(Duration, usize, Event)>,
}

impl Net {
    fn new(size: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let fleets = (0..size).map(|n| Some(Fleet::new(now, terms(n, 1_000)))).collect();
        let rng = ChaCha8Rng::seed_from_u64(3);
        let (wire, events) = (BTreeMap::new(), Vec::new());
        let stopped = BTreeSet::new();
        Self { now, start: now, fleets, stopped, wire, sent: 0, rng, loss: 0.0, passes: |_, _| true, events }
    }

    fn flush(&mut self) {
        for n in 0..self.fleets.len() {
            let Some(fleet) = &mut self.fleets[n] else { continue };
            while let Some((to, datagram)) = fleet.transmit() {
                assert!(datagram.len() <= seal::LONGEST, "{} bytes", datagram.len());
                let to = usize::from(to.port()) - 10_000;
                let delay = Duration::from_micros(self.rng.random_range(200..3_000));
                if (self.passes)(n, to) && !self.rng.random_bool(self.loss) {
                    self.sent += 1;
                    self.wire.insert((self.now + delay, self.sent), (n, to, datagram));
                }
            }
            while let Some(event) = fleet.event() {
                self.events.push((self.now - self.start, n, event));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.flush();
            let wire = self.wire.first_key_value().map(|((at, _), _)| *at);
            let running = (0..self.fleets.len()).filter(|n| !self.stopped.contains(n));
            let timer = running.filter_map(|n| self.fleets[n].as_ref()?.next()).min();
            self.now = [wire, timer].into_iter().flatten().min().unwrap_or(end).clamp(self.now, end);
            while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, datagram) = entry.remove();
                // One that is stopped takes it when it goes on.
                if self.stopped.contains(&to) {
                    self.sent += 1;
                    let later = end + Duration::from_millis(1);
                    self.wire.insert((later, self.sent), (from, to, datagram));
                } else if let Some(Some(fleet)) = self.fleets.get_mut(to) {
                    fleet.receive(self.now, &datagram);
                }
            }
            for n in (0..self.fleets.len()).filter(|n| !self.stopped.contains(n)) {
                if let Some(fleet) = &mut self.fleets[n] {
                    if fleet.next().is_some_and(|at| at <= self.now) {
                        fleet.tick(self.now);
                    }
                }
            }
        }
        self.flush();
    }

    /// Names of members by health, as one sees them.
    fn sees(&self, n: usize, health: Health) -> BTreeSet<String> {
        let members = self.fleets[n].as_ref().expect("it runs").members(self.now);
        members.into_iter().filter(|m| m.health == health).map(|m| m.id.name.into()).collect()
    }

    fn all_see(&self, health: Health, wanted: &[usize]) -> bool {
        let wanted: BTreeSet<String> = wanted.iter().map(|n| format!("g{n}")).collect();
        let running = (0..self.fleets.len()).filter(|n| self.fleets[*n].is_some());
        running.filter(|n| !self.stopped.contains(n)).all(|n| self.sees(n, health) == wanted)
    }

    /// Runs until it is so, and says how long that took.
    fn until(&mut self, most: Duration, so: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !so(self) {
            let seen = |n| {
                [Health::Alive, Health::Suspect, Health::Left, Health::Down].map(|h| self.sees(n, h).len())
            };
            let running = (0..self.fleets.len()).filter(|n| self.fleets[*n].is_some());
            let seen: Vec<_> = running.map(|n| (n, seen(n))).collect();
            assert!(self.now - start < most, "at {:?} not within {most:?}: {seen:?}", self.now - self.start);
            self.run(Duration::from_millis(50));
        }
        self.now - start
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_third_killed_at_once_is_found_dead_by_all_and_nobody_else_is() {
    let mut net = Net::new(30);
    let all: Vec<usize> = (0..30).collect();
    net.until(secs(5), |net| net.all_see(Health::Alive, &all));
    net.run(secs(20));
    assert!(!net.events.iter().any(|(_, _, event)| matches!(event, Event::Gone(..))), "calm: no alarm");
    (20..30).for_each(|n| net.fleets[n] = None);
    let took = net.until(secs(10), |net| net.all_see(Health::Down, &all[20..]));
    assert!(net.all_see(Health::Alive, &all[..20]), "after {took:?}");
    // The same names come back under new processes.
    (20..30).for_each(|n| net.fleets[n] = Some(Fleet::new(net.now, terms(n, 50_000))));
    net.until(secs(5), |net| net.all_see(Health::Alive, &all));
}

#[test]
fn one_comparison_brings_those_that_a_member_has_missed() {
    let mut net = Net::new(40);
    net.until(secs(5), |net| net.all_see(Health::Alive, &(0..40).collect::<Vec<_>>()));
    // One knows a single other and compares with it: a single round, and it knows nearly all of them.
    let mut late = Fleet::new(net.now, terms(40, 2_000));
    late.on_body(net.now, Body::Here(vec![terms(7, 1_000).me])).unwrap();
    while late.transmit().is_some() {}
    late.compare();
    let (_, asked) = late.transmit().unwrap();
    let known = net.fleets[7].as_mut().unwrap();
    known.receive(net.now, &asked);
    let mut answers = Vec::new();
    while let Some((to, datagram)) = known.transmit() {
        if to == addr(40) {
            answers.push(datagram);
        }
    }
    assert!((1..=ANSWERS).contains(&answers.len()), "{} answers", answers.len());
    answers.iter().for_each(|datagram| late.receive(net.now, datagram));
    assert_eq!(late.members(net.now).len(), 41, "itself and all forty");
    // Whoever knows the same has nothing to say.
    let (parts, from) = (known.parts(), addr(3));
    known.on_body(net.now, Body::Whom { from, parts }).unwrap();
    assert!(known.transmit().is_none());
}

#[test]
fn what_the_group_says_reaches_all_and_one_that_comes_later_asks_for_it() {
    let mut net = Net::new(8);
    let late = net.fleets.pop().flatten();
    net.until(secs(5), |net| net.all_see(Health::Alive, &(0..7).collect::<Vec<_>>()));
    let now = net.now;
    let leader = net.fleets[2].as_mut().unwrap();
    let decision = |n: u64, place: u64| {
        let value = vec![n as u8; 400].into();
        let value = Value::Decision(Box::new(Decided { key: format!("k{n}").into(), value, lease: (0, 0) }));
        (Subject::Decision(name_number(&format!("k{n}"))), (9, place), value)
    };
    // More than one datagram holds.
    for (n, place) in (0..20).map(|n| (n, n)).chain([(3, 30)]) {
        let (subject, version, value) = decision(n, place);
        leader.write_group(now, subject, version, value);
    }
    let digest = leader.facts().digest();
    let word = Word { term: 1, leader: name_number("g2"), voters: [0; MOST_VOTERS], digest };
    leader.write_group(now, Subject::Group, (9, 1), Value::Group(Box::new(word)));
    let same = |net: &Net| net.fleets.iter().flatten().all(|fleet| fleet.facts().digest() == digest);
    net.until(secs(20), same);
    // An older word changes nothing.
    let (subject, version, value) = decision(3, 3);
    net.fleets[5].as_mut().unwrap().write_group(net.now, subject, version, value);
    assert!(same(&net));
    drop(late);
    net.run(secs(30));
    net.fleets.push(Some(Fleet::new(net.now, terms(7, 2_000))));
    // The group's word comes with the first answer, whether its leader still lives or not.
    net.fleets[2] = None;
    net.until(secs(20), same);
}

#[test]
fn what_a_later_release_says_is_passed_over_and_the_rest_of_it_is_taken() {
    let mut net = Net::new(3);
    net.until(secs(5), |net| net.all_see(Health::Alive, &[0, 1, 2]));
    let row = Row {
        owner: name_number("g1"),
        subject: Subject::Host(4),
        version: (9_000, 1),
        value: Value::Host { outstanding: 1, sent: 2, answered: 1, took_us: 3 },
        age_ms: 0,
    };
    let mut longer = postcard::to_allocvec(&row).unwrap();
    longer.extend(b"a field that it adds");
    // Owner 1, a subject of number 77.
    let strange = [1, 77, 5, 5, 5, 5];
    let rows = vec![&strange[..], &longer];
    let known = postcard::to_allocvec(&Body::Rows { from: addr(1), rows }).unwrap();
    let me = net.fleets[0].as_ref().unwrap().me().clone();
    let last = postcard::to_allocvec(&Body::Whom { from: me.addr, parts: vec![0; PARTS] }).unwrap();
    assert_eq!(last[0], BODIES - 1, "the count of kinds is right");
    let mut seal = Seal::new(KEY, 99);
    // What is said, and how often each reason was counted after it.
    let said = [
        (known, [1, 0]),
        (vec![BODIES, 1, 2, 3], [2, 0]),
        (vec![200, 1, 1, 1, 1], [3, 0]),
        (vec![1, 255, 255], [3, 1]),
        (last, [3, 1]),
    ];
    for (body, wanted) in said {
        let datagram = seal.close(&body);
        let fleet = net.fleets[0].as_mut().unwrap();
        fleet.receive(net.now, &datagram);
        let count = |why| fleet.counts().dropped.get(&why).copied().unwrap_or(0);
        assert_eq!([count(Dropped::Newer), count(Dropped::Malformed)], wanted, "{body:?}");
    }
    let told = net.fleets[0].as_ref().unwrap().facts().get(net.now, row.owner, row.subject);
    assert_eq!(told.map(|(value, _)| value), Some(&row.value));
}

#[test]
fn one_that_leaves_is_told_from_one_that_dies_and_its_rows_fade() {
    let mut net = Net::new(9);
    net.until(secs(5), |net| net.all_see(Health::Alive, &(0..9).collect::<Vec<_>>()));
    let now = net.now;
    let value = Value::Host { outstanding: 2, sent: 5, answered: 3, took_us: 900 };
    net.fleets[4].as_mut().unwrap().write(now, Subject::Host(11), value.clone());
    net.fleets[4].as_mut().unwrap().say(now, Stage::Draining);
    let knows = |fleet: &Fleet, now| {
        fleet.facts().get(now, name_number("g4"), Subject::Host(11)).map(|(value, _)| value.clone())
    };
    net.until(secs(3), |net| {
        net.fleets.iter().all(|fleet| knows(fleet.as_ref().unwrap(), net.now).as_ref() == Some(&value))
    });
    net.until(secs(3), |net| {
        let drains = |m: &Member| &*m.id.name != "g4" || m.stage == Stage::Draining;
        net.fleets.iter().flatten().all(|fleet| fleet.members(net.now).iter().all(drains))
    });
    net.fleets[4].as_mut().unwrap().leave(now);
    net.run(Duration::from_millis(20));
    net.fleets[4] = None;
    net.fleets[5] = None;
    net.until(secs(8), |net| net.all_see(Health::Down, &[5]) && net.all_see(Health::Left, &[4]));
    net.run(facts::FADE + secs(1));
    assert!(net.fleets.iter().flatten().all(|fleet| knows(fleet, net.now).is_none()), "faded");
}

#[test]
fn a_zone_cut_off_for_ten_seconds_and_back_is_seen_so_by_both_sides_and_then_whole_within_three_seconds() {
    let mut net = Net::new(15);
    let all: Vec<usize> = (0..15).collect();
    net.until(secs(5), |net| net.all_see(Health::Alive, &all));
    net.passes = |from, to| (from % 3 == 0) == (to % 3 == 0);
    net.run(secs(10));
    assert_eq!(net.sees(0, Health::Alive).len(), 5);
    assert_eq!(net.sees(1, Health::Alive).len(), 10);
    net.passes = |_, _| true;
    let took = net.until(secs(3), |net| net.all_see(Health::Alive, &all));
    let returned = net.events.iter().filter(|(_, _, event)| matches!(event, Event::Returned(_))).count();
    assert!(returned > 0, "whole after {took:?}");
}

#[test]
fn one_way_cuts_and_a_third_of_all_datagrams_lost_find_nobody_dead() {
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    for seed in 0..seeds {
        let mut net = Net::new(12);
        net.rng = ChaCha8Rng::seed_from_u64(seed);
        let all: Vec<usize> = (0..12).collect();
        net.until(secs(5), |net| net.all_see(Health::Alive, &all));
        // What 3 sends to 7 is lost: others pass the question on.
        net.passes = |from, to| (from, to) != (3, 7);
        net.run(secs(30));
        net.passes = |_, _| true;
        let alarms = |net: &Net| net.events.iter().filter(|(_, _, e)| matches!(e, Event::Gone(..))).count();
        assert_eq!(alarms(&net), 0, "seed {seed}: {:?}", net.events);
        net.loss = 0.3;
        net.run(secs(60));
        net.loss = 0.0;
        // 84 were told that they are dead when refutations did not count, 4 when they went by gossip alone.
        assert_eq!(alarms(&net), 0, "seed {seed}: {:?}", net.events);
        net.until(secs(3), |net| net.all_see(Health::Alive, &all));
    }
}

// Guards against: a refutation that those who gossip have told often enough, though not to the one that suspects.
#[test]
fn refutations_reach_the_one_that_suspects_by_others_if_their_way_is_cut_and_a_third_is_lost() {
    const PLAYS: u64 = 300;
    for seed in 0..PLAYS {
        let mut net = Net::new(6);
        net.rng = ChaCha8Rng::seed_from_u64(seed);
        let all: Vec<usize> = (0..6).collect();
        net.until(secs(5), |net| net.all_see(Health::Alive, &all));
        net.passes = |from, to| (from, to) != (1, 2);
        net.loss = 0.3;
        net.run(secs(10));
        let gone = net.events.iter().find(|(_, _, event)| matches!(event, Event::Gone(..)));
        assert!(gone.is_none(), "seed {seed}: {gone:?}");
    }
}

#[test]
fn one_that_was_stopped_doubts_itself_and_accuses_nobody() {
    let mut net = Net::new(9);
    let all: Vec<usize> = (0..9).collect();
    net.until(secs(5), |net| net.all_see(Health::Alive, &all));
    net.stopped.insert(2);
    net.run(secs(5));
    assert!(net.all_see(Health::Down, &[2]));
    let now = net.now;
    net.stopped.clear();
    // It goes on: it is told the time, and only then reads what has come meanwhile.
    net.fleets[2].as_mut().unwrap().tick(now);
    assert!(!net.fleets[2].as_ref().unwrap().is_sure(), "before it has heard");
    net.until(secs(3), |net| net.all_see(Health::Alive, &all));
    net.until(secs(3), |net| net.fleets[2].as_ref().unwrap().is_sure());
    net.run(secs(5));
    let accused = |(_, n, event): &(Duration, usize, Event)| *n == 2 && matches!(event, Event::Gone(..));
    assert!(!net.events.iter().any(accused), "{:?}", net.events);
    assert!(net.events.iter().any(|(_, n, event)| *n == 2 && matches!(event, Event::Stopped(_))));
    assert!(net.events.iter().any(|(_, n, event)| *n == 2 && matches!(event, Event::Returned(1_001))));
}

#[test]
fn of_two_processes_under_one_name_the_later_one_counts_and_the_other_knows() {
    let mut net = Net::new(6);
    net.until(secs(5), |net| net.all_see(Health::Alive, &(0..6).collect::<Vec<_>>()));
    // A replacement at the same address: no gap, nobody dead.
    net.fleets[3] = Some(Fleet::new(net.now, terms(3, 60_000)));
    net.run(secs(10));
    assert!(!net.events.iter().any(|(_, _, event)| matches!(event, Event::Gone(..))), "{:?}", net.events);
    // A mistake: another address, and the older one still runs.
    let mut twin = terms(6, 70_000);
    twin.me.name = "g3".into();
    net.fleets.push(Some(Fleet::new(net.now, twin)));
    net.run(secs(4));
    let superseded =
        |(_, n, event): &(Duration, usize, Event)| *n == 3 && matches!(event, Event::Superseded(_));
    assert!(net.events.iter().any(superseded), "{:?}", net.events);
    assert!(!net.fleets[3].as_ref().unwrap().is_sure() && net.fleets[6].as_ref().unwrap().is_sure());
    let members = net.fleets[0].as_ref().unwrap().members(net.now);
    let named: Vec<_> = members.iter().filter(|m| &*m.id.name == "g3").collect();
    assert!(named.len() == 1 && named[0].id.incarnation == 70_000, "{named:?}");
}

#[test]
fn seeds_that_are_all_dead_at_a_start_are_asked_until_one_is_there() {
    let mut net = Net::new(6);
    (net.fleets[0], net.fleets[1]) = (None, None);
    net.run(secs(5));
    assert_eq!(net.sees(3, Health::Alive).len(), 1, "nobody to be found by");
    net.fleets[1] = Some(Fleet::new(net.now, terms(1, 9_000)));
    net.until(secs(5), |net| net.all_see(Health::Alive, &[1, 2, 3, 4, 5]));
}

#[test]
fn what_cannot_be_read_is_counted_and_changes_nothing() {
    let mut net = Net::new(3);
    net.until(secs(5), |net| net.all_see(Health::Alive, &[0, 1, 2]));
    let now = net.now;
    let fleet = net.fleets[0].as_mut().unwrap();
    let before = fleet.members(now);
    let mut other = Seal::new(KEY, 99);
    let long = Id { name: "x".repeat(70).into(), ..terms(5, 1).me };
    let mut swim = Foca::new(long, config(1), ChaCha8Rng::seed_from_u64(1), Codec);
    let mut outlet = Outlet::default();
    swim.announce(fleet.me().clone(), &mut outlet).unwrap();
    let announced = postcard::to_allocvec(&Body::Swim(&outlet.send[0].1)).unwrap();
    for body in [&b""[..], &[99, 9, 9], &[0, 3, 1, 2, 3], &[1, 255, 255, 255, 255, 15], &announced] {
        let datagram = other.close(body);
        fleet.receive(now, &datagram);
    }
    for junk in [&[0; 40][..], &[1; 40], &[2; 40], &[]] {
        fleet.receive(now, junk);
    }
    let dropped = &fleet.counts().dropped;
    let unread = [Dropped::Malformed, Dropped::Newer].map(|why| dropped.get(&why));
    assert_eq!(unread, [Some(&4), Some(&1)], "{dropped:?}");
    assert_eq!(dropped.get(&Dropped::Format), Some(&2), "of an older and a newer release: {dropped:?}");
    assert_eq!(
        (dropped.get(&Dropped::Forged), dropped.get(&Dropped::Size)),
        (Some(&1), Some(&1)),
        "{dropped:?}"
    );
    assert_eq!(fleet.members(now), before);
}
