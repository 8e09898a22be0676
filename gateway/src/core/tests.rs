//! The core, driven with values and made-up times.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use yewroute_federation::limits::meter::Grant;
use yewroute_federation::limits::Meters;
use yewroute_ledger::{Limits, MemoryBudget, MemoryPermit};

use super::*;
use crate::proto::catalog::{Member, Role as ListedRole, State};

const SETTINGS: &str = include_str!("../../tests/common/settings.json");
const UNIX_MS: u64 = 1_767_225_600_000;
const PRIMARY: ServerId = ServerId(0);
const REPLICA: ServerId = ServerId(1);

/// So many bytes of a protocol that the core does not know.
#[derive(Debug)]
struct Body(usize, Option<MemoryPermit>);

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Payload for Body {
    fn bytes(&self) -> usize {
        self.0
    }

    fn permit(&mut self) -> &mut Option<MemoryPermit> {
        &mut self.1
    }
}

type Effect = super::Effect<Body>;

struct Bench {
    core: Core<Body>,
    start: Instant,
    now: Instant,
}

fn member(id: &str, primary: bool, state: State) -> Member {
    Member {
        id: id.to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        cell: 2,
        state,
        zone: String::new(),
        started_ms: 0,
        role: Some(if primary { ListedRole::Primary } else { ListedRole::Replica }),
    }
}

fn ask(class: &str, wait_ms: u64) -> Ask<Body> {
    Ask {
        name: b"1".to_vec(),
        writes: class == "order",
        scope: Scope::Class(class.to_owned(), 2),
        wait: Duration::from_millis(wait_ms),
        waited: Duration::ZERO,
        key: b"k".to_vec(),
        after: None,
        resent: false,
        channel: None,
        number: None,
        body: Body(40, None),
    }
}

impl Bench {
    /// A core that has had its first list and its replica's word that it is up to date.
    fn new() -> (Self, Vec<Effect>) {
        let start = Instant::now();
        let clock = Clock::at(start, Duration::from_millis(UNIX_MS));
        let members = Members {
            version: 41,
            full: true,
            servers: vec![member("a", true, State::Ready), member("b", false, State::Ready)],
        };
        let deployment = Deployment::from_json(SETTINGS).unwrap();
        let mut effects = Vec::new();
        let core = Core::new(
            start,
            clock,
            deployment,
            7,
            MemoryBudget::new(Limits::fixed(1000)),
            Known { members, near: None },
            &mut effects,
        )
        .unwrap();
        (Self { core, start, now: start }, effects)
    }

    fn give(&mut self, input: Input<Body>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.handle(self.now, input, &mut effects);
        effects
    }

    /// Lets time pass, timer by timer.
    fn pass(&mut self, span: Duration) -> Vec<Effect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while let Some(next) = self.core.next().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.core.tick(self.now, &mut effects);
        }
        self.now = end;
        effects
    }

    fn ask(&mut self, client: u64, class: &str, wait_ms: u64) -> Vec<Effect> {
        let name = client.to_string().into_bytes();
        self.give(Input::Ask(ClientId(client), Ask { name, ..ask(class, wait_ms) }))
    }

    fn unix(&self) -> u64 {
        UNIX_MS + u64::try_from((self.now - self.start).as_millis()).unwrap()
    }

    fn end(&mut self, attempt: AttemptId, status: Status) -> Vec<Effect> {
        let served = if status == Status::Good { b"row".to_vec() } else { Vec::new() };
        self.give(Input::Ended(attempt, Ended { status, served, note: HostNote::default() }))
    }
}

fn starts(effects: &[Effect]) -> Vec<(AttemptId, ServerId)> {
    let start = |e: &Effect| match e {
        Effect::Start { attempt, server, .. } => Some((*attempt, *server)),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

fn answers(effects: &[Effect]) -> Vec<(u64, &Answer)> {
    let answer = |e: &'_ Effect| matches!(e, Effect::Answer(..));
    effects
        .iter()
        .filter(|e| answer(e))
        .map(|e| match e {
            Effect::Answer(ClientId(client), answer) => (*client, answer),
            _ => unreachable!("filtered"),
        })
        .collect()
}

#[test]
fn the_watch_goes_on_from_the_list_last_known() {
    let (_, effects) = Bench::new();
    assert_eq!(effects, [Effect::Watch(41)]);
}

#[test]
fn a_write_is_served_once_and_its_client_told_once() {
    let (mut b, _) = Bench::new();
    let effects = b.ask(5, "order", 3000);
    let [(attempt, PRIMARY)] = starts(&effects)[..] else { panic!("{effects:?}") };
    let effects = b.end(attempt, Status::Good);
    assert_eq!(answers(&effects), [(5, &Answer::Served(b"row".to_vec()))]);
    // The same end again, and all the time there is: nothing more comes of it.
    assert_eq!(answers(&b.end(attempt, Status::Good)), []);
    assert_eq!(answers(&b.pass(Duration::from_secs(4))), []);
}

#[test]
fn a_read_goes_to_a_replica_whose_position_is_recent_in_unix_time() {
    let (mut b, _) = Bench::new();
    let told = |b: &mut Bench, client, ago, status| {
        let effects = b.ask(client, "view", 1200);
        let [(attempt, REPLICA)] = starts(&effects)[..] else { panic!("{effects:?}") };
        let note =
            HostNote { role: Some(Role::Replica), applied_ms: Some(b.unix() - ago), ..HostNote::default() };
        b.give(Input::Ended(attempt, Ended { status, served: b"row".to_vec(), note }))
    };
    // Nothing is known of the replica yet: the read itself asks, and needs no probe.
    let effects = told(&mut b, 1, 3000, Status::Miss);
    let [(attempt, PRIMARY)] = starts(&effects)[..] else { panic!("{effects:?}") };
    b.end(attempt, Status::Good);
    let effects = b.ask(2, "view", 1200);
    let [(attempt, PRIMARY)] = starts(&effects)[..] else { panic!("3 s behind a moment ago: {effects:?}") };
    b.end(attempt, Status::Good);
    b.pass(Duration::from_secs(1));
    told(&mut b, 3, 5, Status::Good);
    told(&mut b, 4, 5, Status::Good);
}

#[test]
fn an_attempt_that_is_never_ended_still_leaves_its_client_an_answer_in_time() {
    let (mut b, _) = Bench::new();
    b.ask(1, "order", 800);
    assert_eq!(answers(&b.pass(Duration::from_millis(800))), []);
    let effects = b.pass(Duration::from_millis(20));
    assert_eq!(answers(&effects), [(1, &Answer::Failed)]);
}

#[test]
fn a_request_given_up_on_is_answered_at_once_and_told_when_to_come_back() {
    let (mut b, _) = Bench::new();
    let effects = b.give(Input::Members(Members { version: 42, full: true, servers: Vec::new() }));
    assert_eq!(answers(&effects), []);
    let effects = b.ask(1, "order", 3000);
    let retry_after = Some(Duration::from_secs(2));
    assert_eq!(answers(&effects), [(1, &Answer::Refused { retry_after })]);
}

#[test]
fn what_may_have_run_is_not_refused() {
    let (mut b, _) = Bench::new();
    let effects = b.ask(1, "order", 300);
    let (attempt, _) = starts(&effects)[0];
    b.pass(Duration::from_millis(299));
    let effects = b.end(attempt, Status::Timeout);
    assert_eq!(answers(&effects), [(1, &Answer::Failed)]);
}

#[test]
fn more_requests_than_may_be_held_are_refused() {
    let (mut b, _) = Bench::new();
    b.core.deployment.max_open = 3;
    for client in 0..3 {
        assert_eq!(answers(&b.ask(client, "order", 3000)), [], "client {client}");
    }
    let effects = b.ask(3, "order", 3000);
    assert!(matches!(answers(&effects)[..], [(3, Answer::Refused { .. })]), "{effects:?}");
}

#[test]
fn what_can_never_be_served_is_an_error_and_goes_nowhere() {
    let (mut b, _) = Bench::new();
    let effects = b.ask(4, "no such class", 3000);
    assert_eq!(answers(&effects), [(4, &Answer::Invalid("no such class"))]);
    let read = Ask { writes: false, ..ask("order", 3000) };
    let effects = b.give(Input::Ask(ClientId(4), read));
    assert!(matches!(effects[..], [Effect::Answer(_, Answer::Invalid(_))]), "{effects:?}");
    let effects = b.ask(1, "order", 3000);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    // Another client sends the open request's id: it gets an error, and the request goes on.
    let again = b.give(Input::Ask(ClientId(2), Ask { name: b"1".to_vec(), ..ask("order", 3000) }));
    assert!(matches!(answers(&again)[..], [(2, Answer::Invalid(_))]), "{again:?}");
    assert_eq!(starts(&again), []);
    assert_eq!(answers(&b.end(attempt, Status::Good)), [(1, &Answer::Served(b"row".to_vec()))]);
    assert_eq!(starts(&b.ask(1, "order", 3000)).len(), 1, "free again once it is answered");
}

#[test]
fn a_wait_beyond_the_class_leaves_no_timer_behind() {
    let (mut b, _) = Bench::new();
    let effects = b.ask(1, "order", 4_000_000_000);
    let (attempt, _) = starts(&effects)[0];
    b.end(attempt, Status::Good);
    b.pass(Duration::from_secs(4));
    assert!(b.core.next().unwrap() < b.now + Duration::from_secs(4));
}

#[test]
fn more_bytes_than_may_be_held_are_refused_until_some_are_answered() {
    let (mut b, _) = Bench::new();
    let long = |client: u64| {
        let mut ask = Ask { name: client.to_string().into_bytes(), ..ask("order", 3000) };
        ask.body = Body(600, None);
        ask
    };
    let started = b.give(Input::Ask(ClientId(1), long(1)));
    let (attempt, _) = starts(&started)[0];
    let effects = b.give(Input::Ask(ClientId(2), long(2)));
    assert!(matches!(answers(&effects)[..], [(2, Answer::Refused { .. })]), "{effects:?}");
    b.end(attempt, Status::Good);
    drop(started);
    let effects = b.give(Input::Ask(ClientId(2), long(2)));
    assert_eq!(answers(&effects), []);
}

#[test]
fn a_client_that_cancels_has_one_answer_at_once_that_tells_whether_its_request_may_have_run() {
    for (class, answer) in [("order", Answer::Failed), ("view", Answer::Cancelled)] {
        let (mut b, _) = Bench::new();
        let started = b.ask(1, class, 1000);
        let (attempt, _) = starts(&started)[0];
        let expected = [Effect::Answer(ClientId(1), answer), Effect::Withdraw(attempt)];
        assert_eq!(b.give(Input::Cancel(ClientId(1))), expected);
        assert_eq!((b.core.budget.held(), b.core.outstanding()), (40, 0), "the attempt still has it");
        drop(started);
        assert_eq!(b.core.budget.held(), 0);
        assert_eq!(b.give(Input::Cancel(ClientId(1))), [], "it has had its answer");
        let effects = b.end(attempt, Status::Reset);
        assert!(answers(&effects).is_empty() && starts(&effects).is_empty(), "{effects:?}");
        assert!(starts(&b.pass(Duration::from_secs(2))).is_empty());
    }
    // One that waits for its first attempt, behind those that are out.
    let (mut b, _) = Bench::new();
    let waits = (1..50).find(|client| b.ask(*client, "order", 1000).is_empty()).unwrap();
    assert_eq!(b.give(Input::Cancel(ClientId(waits))), [Effect::Answer(ClientId(waits), Answer::Cancelled)]);
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_room_is_free_again() {
    let (mut b, _) = Bench::new();
    let started = b.ask(1, "order", 3000);
    let (attempt, _) = starts(&started)[0];
    assert_eq!(b.give(Input::ClientGone(ClientId(1))), [Effect::Withdraw(attempt)]);
    assert_eq!(b.core.budget.held(), 40, "the attempt still has it");
    drop(started);
    assert_eq!(b.core.budget.held(), 0);
    assert_eq!(answers(&b.end(attempt, Status::Good)), []);
    assert_eq!(b.give(Input::ClientGone(ClientId(1))), []);
}

#[test]
fn a_db_host_that_drains_or_leaves_the_list_is_closed_to_sends() {
    let (mut b, _) = Bench::new();
    assert!(b.core.directory().open(REPLICA).is_some());
    let drain = vec![member("b", false, State::Terminating)];
    b.give(Input::Members(Members { version: 42, full: false, servers: drain }));
    assert_eq!(b.core.directory().open(REPLICA), None);
    assert!(b.core.directory().open(PRIMARY).is_some());
    let back = vec![member("b", false, State::Ready)];
    b.give(Input::Members(Members { version: 43, full: true, servers: back }));
    assert!(b.core.directory().open(REPLICA).is_some(), "it keeps its number");
    assert_eq!(b.core.directory().open(PRIMARY), None, "a full list leaves it out");
}

#[test]
fn a_broken_watch_is_opened_again_after_a_pause() {
    let (mut b, _) = Bench::new();
    let news = vec![member("b", false, State::Ready)];
    b.give(Input::Members(Members { version: 50, full: false, servers: news }));
    assert_eq!(b.give(Input::WatchBroken), []);
    let effects = b.pass(Duration::from_secs(4));
    assert!(effects.contains(&Effect::Watch(50)), "{effects:?}");
}

#[test]
fn what_anyone_may_answer_goes_to_a_replica_of_the_first_group_and_needs_no_name() {
    let (mut b, _) = Bench::new();
    b.ask(9, "view", 1200);
    let position = Some(b.unix() as f64 / 1000.0);
    let note =
        HostNote { report_position: position, report_role: Some(Role::Replica), ..HostNote::default() };
    b.give(Input::Probed(REPLICA, Ended { status: Status::Good, served: Vec::new(), note }));
    for client in [1, 2] {
        let ask = Ask { name: Vec::new(), scope: Scope::Anyone, wait: Duration::MAX, ..ask("view", 0) };
        let effects = b.give(Input::Ask(ClientId(client), ask));
        assert!(matches!(starts(&effects)[..], [(_, REPLICA)]), "{effects:?}");
        let Some(Effect::Start { cut_at, .. }) = effects.iter().find(|e| matches!(e, Effect::Start { .. }))
        else {
            panic!("{effects:?}")
        };
        assert!(*cut_at <= b.now + Duration::from_millis(1200), "no longer than its class waits");
    }
    let gone = vec![member("a", true, State::Gone), member("b", false, State::Gone)];
    b.give(Input::Members(Members { version: 42, full: false, servers: gone }));
    let ask = Ask { name: Vec::new(), scope: Scope::Anyone, ..ask("view", 100) };
    let effects = b.give(Input::Ask(ClientId(3), ask));
    assert!(matches!(answers(&effects)[..], [(3, Answer::Refused { .. })]), "{effects:?}");
}

#[test]
fn ejected_are_listed_hosts_that_drain_or_do_not_answer_and_none_that_has_left() {
    let (mut b, _) = Bench::new();
    assert_eq!(b.core.ejected(b.now), 0);
    b.give(Input::Probed(REPLICA, Ended::silent(Status::ConnectFailed)));
    assert_eq!(b.core.ejected(b.now), 1, "the module avoids it");
    let position = Some(b.unix() as f64 / 1000.0);
    let note =
        HostNote { report_position: position, report_role: Some(Role::Replica), ..HostNote::default() };
    b.give(Input::Probed(REPLICA, Ended { status: Status::Good, served: Vec::new(), note }));
    assert_eq!(b.core.ejected(b.now), 0, "back");
    let drains = vec![member("b", false, State::Terminating)];
    b.give(Input::Members(Members { version: 42, full: false, servers: drains }));
    assert_eq!((b.core.ejected(b.now), b.core.directory().held()), (1, 2));
    let gone = vec![member("b", false, State::Gone)];
    b.give(Input::Members(Members { version: 43, full: false, servers: gone }));
    assert_eq!((b.core.ejected(b.now), b.core.directory().held()), (0, 1));
}

/// A gateway that has sent a read, and the attempt.
fn reading() -> (Bench, AttemptId) {
    let (mut b, _) = Bench::new();
    let effects = b.ask(1, "view", 1200);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    (b, attempt)
}

#[test]
fn a_long_value_is_passed_on_as_it_comes_and_outlives_its_request_s_time() {
    let (mut b, attempt) = reading();
    let pass = |bytes: &[u8]| Effect::Pass(ClientId(1), bytes.to_vec());
    assert_eq!(b.give(Input::Began(attempt, b"head".to_vec())), [pass(b"head")]);
    assert_eq!(b.core.tally().classes()[0], Results::default(), "not over yet");
    let effects = b.pass(Duration::from_secs(9));
    assert_eq!((answers(&effects), starts(&effects)), (vec![], vec![]), "no other attempt, no time-out");
    assert_eq!(b.give(Input::Part(attempt, b"more".to_vec())), [pass(b"more")]);
    assert_eq!(b.give(Input::Full(ClientId(1))), [Effect::Pause(attempt)]);
    assert_eq!(b.give(Input::Room(ClientId(1))), [Effect::Resume(attempt)]);
    assert_eq!(answers(&b.end(attempt, Status::Good)), [(1, &Answer::Served(b"row".to_vec()))]);
    assert_eq!((b.core.tally().classes()[0].succeeded, b.core.outstanding()), (1, 0));
    assert_eq!(b.give(Input::Full(ClientId(1))), [], "nothing to pause any more");
    assert_eq!(b.core.budget.held(), 0);
}

#[test]
fn a_value_that_breaks_off_ends_its_connection_and_is_not_tried_again() {
    let (mut b, attempt) = reading();
    b.give(Input::Began(attempt, b"head".to_vec()));
    let effects = b.end(attempt, Status::Reset);
    assert_eq!(effects, [Effect::BreakOff(ClientId(1))]);
    assert_eq!(b.core.tally().classes()[0], Results { aborted: 1, ..Results::default() });
    assert_eq!((b.core.budget.held(), b.core.names.len(), b.core.attempts.len()), (0, 0, 0));
    assert_eq!(b.pass(Duration::from_secs(4)), []);
}

#[test]
fn a_client_that_leaves_within_its_value_has_it_dropped() {
    let (mut b, attempt) = reading();
    b.give(Input::Began(attempt, b"head".to_vec()));
    assert_eq!(b.give(Input::ClientGone(ClientId(1))), [Effect::Abandon(attempt)]);
    assert_eq!((b.core.attempts.len(), b.core.outstanding()), (0, 0));
    // One that left before its value began.
    let effects = b.ask(2, "view", 1200);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    b.give(Input::ClientGone(ClientId(2)));
    assert_eq!(b.give(Input::Began(attempt, b"head".to_vec())), [Effect::Abandon(attempt)]);
    assert_eq!(b.core.attempts.len(), 0);
}

/// A gateway under a limit of the fleet, of which it has so much for now.
fn limited(rate: Option<f64>, amount: f64) -> (Bench, Arc<Shared>) {
    let (mut b, _) = Bench::new();
    let limit = yewroute_table::Limit {
        name: "views".into(),
        line: 1,
        classes: vec!["view".into()],
        groups: Vec::new(),
        rate,
        burst: 9.0,
        concurrent: rate.is_none().then_some(9),
        floor: 0.0,
    };
    let (common, table) =
        (Arc::new(Shared::default()), yewroute_table::Table { limits: vec![limit], ..Default::default() });
    b.core.join(Some(Arc::clone(&common)));
    let classes = common.classes.get().expect("told as it joins");
    let meters = Meters::compile(b.now, 1, &table, classes, &Meters::default(), b.now - 2 * classes.longest);
    let until = Some(b.now + Duration::from_secs(9));
    meters.all()[0].set(b.now, Grant { allotted: amount, until, ..Grant::default() });
    common.meters.store(Arc::new(meters));
    (b, common)
}

#[test]
fn beyond_a_limit_of_the_fleet_a_request_is_refused_at_once_and_told_when_to_come_back() {
    let (mut b, common) = limited(Some(9.0), 2.0);
    b.pass(Duration::from_millis(600));
    assert_eq!(starts(&b.ask(1, "view", 1200)).len(), 1);
    let effects = b.ask(2, "view", 1200);
    let [(2, Answer::Refused { retry_after })] = answers(&effects)[..] else { panic!("{effects:?}") };
    assert!(retry_after.is_some_and(|wait| wait <= Duration::from_millis(500)), "{retry_after:?}");
    assert_eq!((starts(&effects).len(), b.core.outstanding()), (0, 1));
    assert_eq!(starts(&b.ask(3, "order", 3000)).len(), 1, "a class that the limit does not name");
    assert_eq!((common.meters.load().all()[0].spent(), common.meters.load().all()[0].wanted()[0]), (1, 2));
    b.pass(Duration::from_secs(9));
    assert!(
        matches!(answers(&b.ask(4, "view", 1200))[..], [(4, Answer::Refused { .. })]),
        "its lease has ended"
    );
}

#[test]
fn a_repeat_that_finds_nothing_left_ends_its_request_and_harms_no_account() {
    let (mut b, common) = limited(Some(9.0), 2.0);
    b.pass(Duration::from_millis(600));
    let effects = b.ask(1, "view", 1200);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    let effects = b.end(attempt, Status::Error);
    assert_eq!(starts(&effects), [], "{effects:?}");
    assert!(matches!(answers(&effects)[..], [(1, Answer::Refused { .. })]), "{effects:?}");
    assert_eq!(
        (b.core.outstanding(), b.core.attempts.len(), common.meters.load().all()[0].spent()),
        (0, 0, 1)
    );
    b.pass(Duration::from_secs(1));
    assert_eq!(starts(&b.ask(2, "view", 1200)).len(), 1);
}

#[test]
fn a_permit_is_held_until_its_attempt_ends_and_none_for_a_request_that_waits() {
    let (mut b, common) = limited(None, 1.0);
    let out = || common.meters.load().all()[0].out();
    let effects = b.ask(1, "view", 1200);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    assert!(matches!(answers(&b.ask(2, "view", 1200))[..], [(2, Answer::Refused { .. })]));
    b.give(Input::ClientGone(ClientId(1)));
    assert_eq!(out(), 1, "its db host works on");
    b.end(attempt, Status::Good);
    assert_eq!(out(), 0);
    // One that was given up still runs, and its permit comes back when it surely has ended: with the longest time of a class.
    let effects = b.ask(4, "view", 1200);
    let [(attempt, _)] = starts(&effects)[..] else { panic!("{effects:?}") };
    b.pass(Duration::from_millis(1200));
    b.end(attempt, Status::Timeout);
    assert_eq!(out(), 1, "a time-out stops nothing");
    b.pass(Duration::from_millis(1900));
    assert_eq!(out(), 1, "not yet");
    b.pass(Duration::from_millis(200));
    assert_eq!(out(), 0, "3 s and a connection's time after it was sent");
    for server in [REPLICA, PRIMARY].repeat(6) {
        b.give(Input::Probed(server, Ended::silent(Status::ConnectFailed)));
    }
    let effects = b.ask(3, "view", 1200);
    assert_eq!((starts(&effects), out(), b.core.outstanding()), (vec![], 0, 1), "{effects:?}");
}

/// What the list does next, or a client.
#[derive(Clone, Debug)]
enum Move {
    /// Entries as id, group, state and start; ids may come twice.
    News(bool, Vec<(u8, u64, u8, bool)>),
    Broken,
    /// A read or a write of a group.
    Ask(bool, u64),
    /// The oldest attempt out ends.
    End(u8),
    Probed(u8),
    Pass(u64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let entry = (0_u8..6, 0_u64..4, 0_u8..3, any::<bool>());
    let one = prop_oneof![
        4 => (any::<bool>(), prop::collection::vec(entry, 0..6)).prop_map(|(full, entries)| Move::News(full, entries)),
        1 => Just(Move::Broken),
        4 => (any::<bool>(), 0_u64..4).prop_map(|(write, group)| Move::Ask(write, group)),
        4 => (0_u8..7).prop_map(Move::End),
        1 => (0_u8..3).prop_map(Move::Probed),
        2 => (1_u64..400).prop_map(Move::Pass),
    ];
    prop::collection::vec(one, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn whatever_lists_come_each_request_is_answered_once_and_sent_to_its_own_group_alone(moves in moves()) {
        let (mut b, _) = Bench::new();
        // What a reader of the lists would hold: group, and whether it takes requests.
        let mut listed: HashMap<String, (u64, bool)> = HashMap::new();
        let (mut asked, mut answered, mut groups) = (HashMap::new(), HashMap::new(), HashMap::new());
        let (mut out, mut probes) = (VecDeque::new(), VecDeque::new());
        for (number, next) in moves.into_iter().chain([Move::Pass(9_000)]).enumerate() {
            let client = number as u64 + 100;
            let effects = match next {
                Move::News(full, entries) => {
                    let servers: Vec<Member> = entries.iter().map(|(id, cell, state, primary)| Member {
                        cell: *cell,
                        zone: String::new(),
                        started_ms: if *primary { 0 } else { b.unix() },
                        ..member(&id.to_string(), *primary, [State::Ready, State::Terminating, State::Gone][*state as usize])
                    }).collect();
                    if full {
                        listed.clear();
                    }
                    for m in &servers {
                        match m.state {
                            State::Gone => drop(listed.remove(&m.id)),
                            state => drop(listed.insert(m.id.clone(), (m.cell, state == State::Ready))),
                        }
                    }
                    let version = 42 + number as u64;
                    let effects = b.give(Input::Members(Members { version, full, servers }));
                    // The two that the bench begins with are in no news of these.
                    let most = listed.len() + 2;
                    prop_assert!(b.core.directory().held() <= most, "more held than listed");
                    effects
                }
                Move::Broken => b.give(Input::WatchBroken),
                Move::Ask(write, group) => {
                    asked.insert(client, group);
                    groups.insert(RequestId(b.core.taken + 1), group);
                    let ask = Ask { scope: Scope::Class(if write { "order" } else { "view" }.to_owned(), group),
                        name: client.to_string().into_bytes(), ..ask(if write { "order" } else { "view" }, 1200) };
                    b.give(Input::Ask(ClientId(client), ask))
                }
                Move::End(kind) => match out.pop_front() {
                    Some(attempt) => b.end(attempt, [Status::Good, Status::Miss, Status::Full, Status::Error,
                        Status::Reset, Status::ConnectFailed, Status::Timeout][kind as usize]),
                    None => Vec::new(),
                },
                Move::Probed(kind) => match probes.pop_front() {
                    Some(server) => {
                        let status = [Status::Good, Status::ConnectFailed, Status::Timeout][kind as usize];
                        b.give(Input::Probed(server, Ended::silent(status)))
                    }
                    None => Vec::new(),
                },
                Move::Pass(ms) => b.pass(Duration::from_millis(ms)),
            };
            for effect in &effects {
                match effect {
                    Effect::Start { attempt, server, .. } => {
                        let held = b.core.directory().member(*server);
                        prop_assert!(held.is_some_and(|held| held.serving), "sent to one that is not to be sent to");
                        prop_assert_eq!(held.map(|held| held.group), groups.get(&attempt.0).copied());
                        out.push_back(*attempt);
                    }
                    Effect::Answer(ClientId(client), _) => *answered.entry(*client).or_insert(0) += 1,
                    Effect::Probe(server) => probes.push_back(*server),
                    _ => {}
                }
            }
        }
        prop_assert_eq!(asked.len(), answered.len());
        prop_assert!(answered.values().all(|times| *times == 1), "{:?}", answered);
    }
}
