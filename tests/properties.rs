//! Random event sequences: the rules hold whatever happens. Seeds are fixed.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use std::time::Instant;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yewroute::interface::*;

const REPLICAS: u32 = 3;

#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, left: u32, age: u32 },
    End { which: usize, status: usize, role: bool, lag: u32 },
    Probe { server: u32, role: bool, lag: u32 },
    List { server: u32, phase: usize, fresh: bool },
    Leave { which: usize },
    Wait { ms: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6usize, 5..2000u32, 0..800u32).prop_map(|(class, left, age)| Step::Arrive { class, left, age }),
        4 => (any::<usize>(), 0..9usize, any::<bool>(), 0..3000u32)
            .prop_map(|(which, status, role, lag)| Step::End { which, status, role, lag }),
        2 => (0..=REPLICAS, any::<bool>(), 0..3000u32)
            .prop_map(|(server, role, lag)| Step::Probe { server, role, lag }),
        1 => (0..=REPLICAS, 0..3usize, any::<bool>())
            .prop_map(|(server, phase, fresh)| Step::List { server, phase, fresh }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        4 => (1..120u32).prop_map(|ms| Step::Wait { ms }),
    ]
}

#[derive(Default)]
struct Model {
    open: BTreeMap<RequestId, Open>,
    out: Vec<(RequestId, u32, u32)>,
    barred: BTreeSet<u32>,
    positions: BTreeMap<u32, Instant>,
    was_primary: BTreeSet<u32>,
}

struct Open {
    class: usize,
    floor: Option<Instant>,
    deadline: Instant,
    sends: u32,
    may_have_run: Option<Instant>,
    last_sent: Instant,
}

impl Model {
    /// Checks what the router did.
    fn check(&mut self, now: Instant, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, server, cut_at } => self.check_send(now, *request, server.0, *cut_at),
                Action::Refuse { request, .. } => {
                    let open = self.open.remove(request).expect("one final answer");
                    let bound = matches!(open.class, WRITE | ONCE);
                    assert!(!(bound && open.may_have_run.is_some()), "refused though it may have run");
                    assert!(!self.out.iter().any(|o| o.0 == *request), "refused with an attempt out");
                }
                Action::Fail { request, .. } => {
                    self.open.remove(request).expect("one final answer");
                }
                _ => {}
            }
        }
        for (id, open) in &self.open {
            let out = self.out.iter().any(|o| o.0 == *id);
            assert!(out || now <= open.deadline + ms(20), "{id:?} overdue");
        }
    }

    fn check_send(&mut self, now: Instant, id: RequestId, server: u32, cut_at: Instant) {
        assert!(!self.out.iter().any(|o| o.0 == id), "two attempts out");
        assert!(!self.barred.contains(&server), "sent to a draining server");
        let open = self.open.get_mut(&id).expect("sent after its end");
        assert!(cut_at <= open.deadline);
        if let Some(since) = open.may_have_run {
            assert_ne!(open.class, ONCE, "an unsafe request may have run");
            assert!(open.class != WRITE || now <= since + ms(1000), "outside its window");
        }
        let floor = if open.class == BOUNDED { now.checked_sub(ms(1000)) } else { open.floor };
        let known = self.positions.get(&server).copied();
        let stale = matches!(open.class, BOUNDED | SESSION) && known < floor;
        assert!(!stale || self.was_primary.contains(&server), "stale");
        self.out.push((id, open.sends, server));
        open.sends += 1;
        open.last_sent = now;
    }

    fn heard(&mut self, server: u32, role: Role, position: Instant) {
        let known = self.positions.entry(server).or_insert(position);
        *known = position.max(*known);
        match role {
            Role::Primary => self.was_primary.insert(server),
            Role::Replica => self.was_primary.remove(&server),
        };
    }
}

const STATUSES: [Status; 9] = [
    Status::Good,
    Status::Error,
    Status::Full,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::Miss,
];

fn play(steps: &[Step]) -> Vec<Action> {
    let mut g = Gateway::start(settings(), REPLICAS);
    let mut m = Model { was_primary: BTreeSet::from([0]), ..Model::default() };
    let mut log = Vec::new();
    for step in steps {
        let mut actions = Vec::new();
        match *step {
            Step::Arrive { class, left, age } => {
                let now = g.now;
                let floor = (age > 0).then(|| now - ms(age.into()));
                let (id, out) = g.request_with(class, |r| {
                    r.left = ms(left.into());
                    r.last_write_age = Some(ms(age.into()));
                });
                let deadline = now + ms(left.into());
                let open = Open { class, floor, deadline, sends: 0, may_have_run: None, last_sent: now };
                m.open.insert(id, open);
                actions = out;
            }
            Step::End { which, status, role, lag } if !m.out.is_empty() => {
                let (id, attempt, server) = m.out.remove(which % m.out.len());
                let status = STATUSES[status];
                let role = if role { Role::Primary } else { Role::Replica };
                let noted = matches!(status, Status::Good | Status::Error | Status::Full | Status::Miss);
                let position = g.now - ms(lag.into());
                if noted {
                    m.heard(server, role, position);
                }
                if status == Status::Good {
                    m.open.remove(&id);
                } else if let Some(open) = m.open.get_mut(&id).filter(|_| !status.never_ran()) {
                    open.may_have_run = open.may_have_run.or(Some(open.last_sent));
                }
                let note = if noted { note(role, position) } else { Note::default() };
                actions = g.answer(id, attempt, server, status, note);
            }
            Step::Probe { server, role, lag } => {
                let role = if role { Role::Primary } else { Role::Replica };
                let position = g.now - ms(lag.into());
                // A probe's word that a server is no primary need not be taken; an answer's must.
                if role == Role::Primary {
                    m.heard(server, role, position);
                } else {
                    let known = m.positions.entry(server).or_insert(position);
                    *known = position.max(*known);
                }
                actions = g.position(server, role, position);
            }
            Step::List { server, phase, fresh } => {
                let phase = [Phase::Serving, Phase::Draining, Phase::Gone][phase];
                if phase == Phase::Serving {
                    m.barred.remove(&server);
                } else {
                    m.barred.insert(server);
                }
                let started = fresh.then_some(g.now);
                let entries = vec![Entry { phase, started, ..entry(server, false) }];
                actions = g.play(Event::List { kind: ListKind::Patch, entries });
            }
            Step::Leave { which } if !m.open.is_empty() => {
                let id = *m.open.keys().nth(which % m.open.len()).expect("in range");
                m.open.remove(&id);
                actions = g.play(Event::Gone(id));
            }
            Step::Wait { ms: wait } => {
                let end = g.now + ms(wait.into());
                while g.now < end {
                    let out = g.tick(ms(10));
                    m.check(g.now, &out);
                    log.extend(out);
                }
            }
            Step::End { .. } | Step::Leave { .. } => {}
        }
        m.check(g.now, &actions);
        log.extend(actions);
    }
    log
}

#[test]
fn the_rules_hold_and_the_same_events_give_the_same_actions() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..150);
    runner
        .run(&steps, |steps| {
            prop_assert_eq!(play(&steps), play(&steps));
            Ok(())
        })
        .unwrap();
}
