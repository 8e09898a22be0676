use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const DEADLINE: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A gateway that serves, and a time.
fn ready() -> (Lifecycle, Instant) {
    let mut life = Lifecycle::new(DEADLINE);
    life.serves();
    (life, Instant::now())
}

#[test]
fn a_drain_says_no_at_once_and_has_sent_everybody_away_two_seconds_before_the_fourth() {
    let (mut life, t) = ready();
    life.drain(t);
    assert!(!life.says_yes() && !life.ready() && life.accepts(t));
    let at = |past| life.leaving(t + ms(past));
    assert_eq!([at(0), at(299), at(300)], [Leaving::None, Leaving::None, Leaving::Answered]);
    assert_eq!([at(1_499), at(1_500), at(2_000)], [Leaving::Answered, Leaving::Idle, Leaving::Parts]);
    assert!(!life.done(t + ms(60_000), 0, || false), "the process keeps running");
}

#[test]
fn twice_the_same_call_changes_nothing_and_undrain_is_a_yes_at_once() {
    let (mut life, t) = ready();
    life.drain(t);
    life.drain(t + ms(1_000));
    assert_eq!(life.leaving(t + ms(1_500)), Leaving::Idle, "by the first drain's clock");
    assert_eq!((life.stage(3), life.stage(0)), (Stage::Draining, Stage::Drained));
    assert!(life.undrain() && life.undrain());
    assert!(life.says_yes() && life.ready());
    assert_eq!((life.leaving(t + ms(2_000)), life.stage(3)), (Leaving::None, Stage::Ready));
}

#[test]
fn a_drain_before_it_serves_holds_the_yes_back_until_the_undrain() {
    let mut life = Lifecycle::new(DEADLINE);
    assert_eq!((life.stage(0), life.accepts(Instant::now())), (Stage::Starting, false));
    life.drain(Instant::now());
    life.serves();
    assert!(!life.says_yes());
    life.undrain();
    assert!(life.says_yes());
}

#[test]
fn sigterm_within_a_drain_ends_it_and_the_front_goes_on_hearing_no() {
    let (mut life, t) = ready();
    life.drain(t);
    life.terminate(t + ms(1_000));
    assert!(!life.says_yes() && !life.undrain() && !life.says_yes());
    assert_eq!(life.stage(1), Stage::Stopping);
    assert!(!life.done(t + ms(1_499), 0, || false) && life.done(t + ms(1_500), 0, || false));
    assert!(
        !life.done(t + ms(4_599), 1, || false) && life.done(t + ms(4_600), 1, || false),
        "longest deadline and 0.6 s"
    );
}

#[test]
fn sigterm_alone_takes_connections_for_half_a_second() {
    let (mut life, t) = ready();
    life.terminate(t);
    assert!(life.says_yes() && !life.ready());
    assert!(life.accepts(t + ms(499)) && !life.accepts(t + ms(500)));
    assert!(!life.closes_listener(t + ms(499)) && life.closes_listener(t + ms(500)));
    assert_eq!(life.leaving(t + ms(499)), Leaving::None);
    assert_eq!(life.leaving(t + ms(500)), Leaving::Idle);
}

#[test]
fn a_successor_takes_over_with_or_without_sigterm_and_is_replaced_if_it_is_lost() {
    let (mut life, t) = ready();
    life.handed(t);
    assert!(!life.accepts(t) && life.says_yes() && !life.closes_listener(t + ms(5_000)));
    assert_eq!(life.leaving(t), Leaving::Answered);
    assert_eq!(life.leaving(t + ms(400)), Leaving::Idle);
    assert!(life.done(t, 0, || false) && !life.done(t, 1, || false) && life.done(t + ms(3_600), 1, || false));
    life.successor_lost();
    assert!(life.ready() && life.accepts(t + ms(9_000)) && !life.done(t + ms(9_000), 0, || false));
    life.terminate(t + ms(9_000));
    life.handed(t + ms(9_100));
    assert!(!life.accepts(t + ms(9_100)));
    life.successor_lost();
    assert!(life.accepts(t + ms(9_499)) && !life.accepts(t + ms(9_500)), "SIGTERM's clock goes on");
}

#[test]
fn what_is_taken_in_while_it_ends_is_answered_before_a_kill_and_an_owed_answer_keeps_it_running() {
    let (mut life, t) = ready();
    assert_eq!(life.answers_by(), None);
    life.terminate(t);
    life.terminate(t + ms(900));
    assert_eq!(life.answers_by(), Some(t + ms(3_600)), "by the first signal's clock");
    assert_eq!([life.leaving(t + ms(3_299)), life.leaving(t + ms(3_300))], [Leaving::Idle, Leaving::Parts]);
    let ends = |past, owes: bool| life.done(t + ms(past), 1, || owes);
    assert!(!ends(3_599, false) && ends(3_600, false), "nothing is owed");
    assert!(!ends(3_600, true) && !ends(18_599, true) && ends(18_600, true), "an answer is owed");
    // A longer deadline counts as 3 s before a kill; what was taken in before has its time all the same.
    let mut life = Lifecycle::new(ms(20_000));
    life.serves();
    life.terminate(t);
    assert_eq!(life.answers_by(), Some(t + ms(3_600)));
    assert!(!life.done(t + ms(20_599), 1, || false) && life.done(t + ms(20_600), 1, || false));
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Drain,
    Undrain,
    Terminate,
    Handed,
    Lost,
    Pass(u64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        Just(Move::Drain),
        Just(Move::Undrain),
        Just(Move::Terminate),
        Just(Move::Handed),
        Just(Move::Lost),
        (1_u64..2_500).prop_map(Move::Pass),
    ];
    prop::collection::vec(one, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_a_drained_gateway_says_no_and_a_terminated_one_ends_in_time(moves in moves()) {
        let (mut life, mut now) = ready();
        let (mut drained, mut terminated, mut handed) = (None, None, false);
        let mut stopped: Option<Instant> = None;
        for one in moves {
            match one {
                Move::Drain => {
                    life.drain(now);
                    drained = drained.or(Some(now));
                }
                Move::Undrain => {
                    let taken = life.undrain();
                    prop_assert_eq!(taken, stopped.is_none());
                    if taken {
                        drained = None;
                    }
                }
                Move::Terminate => {
                    life.terminate(now);
                    terminated = terminated.or(Some(now));
                    stopped = stopped.or(Some(now));
                }
                Move::Handed => {
                    life.handed(now);
                    handed = true;
                    stopped = stopped.or(Some(now));
                }
                Move::Lost => {
                    life.successor_lost();
                    handed = false;
                    if terminated.is_none() {
                        stopped = None;
                    }
                }
                Move::Pass(span) => {
                    // Nothing changes by time alone but at the moments that are told ahead.
                    let told = life.next(now);
                    let end = now + ms(span);
                    if told.is_none_or(|at| at > end) {
                        let before = (life.leaving(now), life.accepts(now), life.done(now, 1, || false));
                        prop_assert_eq!(before, (life.leaving(end), life.accepts(end), life.done(end, 1, || false)));
                    }
                    now = end;
                }
            }
            prop_assert_eq!(life.says_yes(), drained.is_none());
            prop_assert_eq!(life.ready(), drained.is_none() && stopped.is_none());
            prop_assert!(!(handed && life.accepts(now)), "both take connections");
            if let Some(since) = drained {
                let past = now - since;
                prop_assert!(past < ms(1_500) || life.leaving(now) >= Leaving::Idle);
                prop_assert!(past < ms(2_000) || life.leaving(now) == Leaving::Parts);
            }
            if let Some(since) = stopped {
                prop_assert!(now < since + DEADLINE + ms(600) || life.done(now, 1, || false));
                prop_assert!(now < since + ms(500) || life.leaving(now) >= Leaving::Idle);
            } else {
                prop_assert!(!life.done(now, 0, || false), "nothing tells it to end");
            }
        }
    }
}
