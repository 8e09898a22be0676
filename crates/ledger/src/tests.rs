//! Permits and the queue for them.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// A budget of which long messages may take ten bytes.
const TOTAL: usize = 11;
const LONG: usize = 10;

fn queue() -> (MemoryBudget, PermitQueue) {
    let budget = MemoryBudget::new(Limits::fixed(TOTAL));
    (budget.clone(), PermitQueue::new(budget))
}

fn given(grant: Grant) -> MemoryPermit {
    match grant {
        Grant::Given(permit) => permit,
        other => panic!("{other:?}"),
    }
}

fn waits(grant: Grant) -> bool {
    matches!(grant, Grant::Waits)
}

#[test]
fn those_beyond_the_budget_wait_in_order_and_get_their_bytes_when_a_permit_is_dropped() {
    let (budget, mut queue) = queue();
    let first = given(queue.reserve(1, 8));
    assert!(waits(queue.reserve(2, 6)) && waits(queue.reserve(3, 5)));
    assert!(matches!(queue.reserve(4, LONG + 1), Grant::Never));
    assert!(queue.next_turn().is_none());
    drop(first);
    let (who, second) = queue.next_turn().expect("its turn");
    assert!(who == 2 && queue.next_turn().is_none() && budget.held() == 6);
    drop(given(second));
    assert_eq!(queue.next_turn().expect("its turn").0, 3);
}

// Guards against: a client that waits for bytes which only its own next message could give back.
#[test]
fn one_who_asks_again_waits_for_its_first_permit_and_gets_its_turn_when_that_is_dropped() {
    let (_, mut queue) = queue();
    let first = given(queue.reserve(1, 8));
    assert!(waits(queue.reserve(1, 8)));
    drop(first);
    assert_eq!(queue.next_turn().expect("its turn").0, 1);
}

// Guards against: short messages that wait behind a longer one for which there is no room.
#[test]
fn what_fits_overtakes_longer_ones_within_what_those_leave_free_in_any_case() {
    let (_, mut queue) = queue();
    let slow = given(queue.reserve(1, 7));
    assert!(waits(queue.reserve(2, 8)));
    let passing = [given(queue.reserve(3, 1)), given(queue.reserve(4, 1))];
    assert!(waits(queue.reserve(5, 1)), "it would put the second one's turn off");
    drop(slow);
    let (who, second) = queue.next_turn().expect("its turn, beside those that passed it");
    assert_eq!(who, 2);
    assert!(queue.next_turn().is_none());
    drop((second, passing));
    assert_eq!(queue.next_turn().expect("its turn").0, 5);
}

#[test]
fn one_that_leaves_the_queue_frees_those_behind_it_and_a_smaller_budget_ends_a_wait() {
    let (budget, mut queue) = queue();
    let first = given(queue.reserve(1, 5));
    assert!(waits(queue.reserve(2, 9)) && waits(queue.reserve(3, 5)));
    queue.cancel(2);
    let (who, third) = queue.next_turn().expect("its turn");
    assert_eq!(who, 3);
    assert!(waits(queue.reserve(4, 9)));
    budget.limit(Limits { total: 7, widest: TOTAL });
    assert!(queue.next_turn().is_none(), "narrowed for a while only");
    budget.limit(Limits::fixed(7));
    assert!(matches!(queue.next_turn(), Some((4, Grant::Never))));
    assert_eq!(budget.held(), 10, "what is set aside stays so");
    drop((first, third));
    assert_eq!(budget.held(), 0);
}

// Guards against: messages delayed by one that waits for the limits of a process that is about to end.
#[test]
fn one_that_only_wider_limits_can_serve_delays_nobody() {
    let (budget, mut queue) = queue();
    budget.limit(Limits { total: 6, widest: TOTAL });
    assert!(waits(queue.reserve(1, 9)));
    let second = given(queue.reserve(2, 4));
    assert!(waits(queue.reserve(3, 4)));
    drop(second);
    assert_eq!(queue.next_turn().expect("its turn").0, 3);
    budget.limit(Limits::fixed(TOTAL));
    assert_eq!(queue.next_turn().expect("its turn").0, 1);
}

#[test]
fn short_statements_have_an_eighth_whatever_long_ones_hold_and_no_more_while_one_waits() {
    let budget = MemoryBudget::new(Limits::fixed(80));
    let mut queue = PermitQueue::new(budget.clone());
    let long = given(queue.reserve(1, 70));
    let short = budget.short(10).expect("their eighth");
    assert!(budget.short(1).is_none());
    drop((long, short));
    let most = budget.short(60).expect("nobody else wants it");
    assert!(waits(queue.reserve(2, 70)));
    assert!(budget.short(1).is_none(), "the long one would wait for ever");
    drop(most);
    assert_eq!(queue.next_turn().expect("its turn").0, 2);
}

// Guards against: messages that have come whole and wait behind others that never end.
#[test]
fn a_message_that_has_come_whole_has_half_of_the_short_ones_eighth() {
    let budget = MemoryBudget::new(Limits::fixed(160));
    let mut queue = PermitQueue::new(budget.clone());
    let endless = given(queue.reserve(1, 140));
    assert!(waits(queue.reserve(2, 10)));
    let whole = budget.whole(10).expect("half of an eighth");
    assert!(budget.whole(1).is_none());
    let short = budget.short(10).expect("the other half");
    drop((endless, whole, short));
    assert_eq!(budget.held(), 0);
}

#[test]
fn bytes_that_are_held_and_taken_come_out_of_one_budget_and_go_back_when_dropped() {
    let budget = ByteBudget::new(10);
    let mut held = HeldBytes::none_of(&budget);
    held.add(6);
    held.replace(6, 4);
    assert!(held.has_room(6) && !held.has_room(7));
    let permit = budget.try_take(6).expect("all that is left");
    assert!(budget.try_take(1).is_none());
    drop((held, permit));
    assert_eq!(budget.held(), 0);
    assert!(budget.try_take(11).is_some(), "what is longer than all has its turn when nobody holds any");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default() })]

    #[test]
    fn no_byte_is_lost_and_everybody_gets_a_turn(steps in prop::collection::vec((any::<bool>(), 1_usize..13), 1..80)) {
        let (budget, mut queue) = queue();
        let (mut have, mut wait) = (BTreeMap::<u64, MemoryPermit>::new(), VecDeque::new());
        for (number, (asks, bytes)) in steps.into_iter().enumerate() {
            let who = number as u64;
            if asks {
                match queue.reserve(who, bytes) {
                    Grant::Given(permit) => drop(have.insert(who, permit)),
                    Grant::Waits => wait.push_back((who, bytes)),
                    Grant::Never => prop_assert!(bytes > LONG),
                }
            } else {
                // The one that came first leaves, whether it has its bytes or waits.
                let first = have.keys().chain(wait.iter().map(|(who, _)| who)).min().copied();
                first.into_iter().for_each(|who| {
                    have.remove(&who);
                    queue.cancel(who);
                    wait.retain(|(other, _)| *other != who);
                });
            }
            while let Some((who, grant)) = queue.next_turn() {
                have.insert(who, given(grant));
                wait.retain(|(other, _)| *other != who);
            }
            prop_assert_eq!(budget.held(), have.values().map(MemoryPermit::bytes).sum::<usize>());
            prop_assert!(budget.held() <= LONG);
            prop_assert_eq!(queue.len(), wait.len());
            prop_assert!(wait.front().is_none_or(|(_, bytes)| budget.held() + bytes > LONG), "no needless wait");
        }
        // Those that wait get their turns in order, however many have passed them: each once all that came before it in
        // the queue have given theirs back.
        while let Some((first, _)) = wait.pop_front() {
            have.retain(|who, permit| *who > first && permit.kind == Kind::Overtaking);
            let mut turns = BTreeMap::new();
            while let Some((who, grant)) = queue.next_turn() {
                turns.insert(who, given(grant));
            }
            prop_assert!(turns.contains_key(&first), "overtaken for ever");
            wait.retain(|(who, _)| !turns.contains_key(who));
            have.extend(turns.into_iter().filter(|(who, _)| *who != first));
        }
        drop(have);
        prop_assert_eq!(budget.held(), 0);
    }
}
