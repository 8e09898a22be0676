//! The five rules.

mod common;

use std::time::Instant;

use common::*;
use yewroute::interface::*;

#[test]
fn a_waiting_request_is_answered_before_its_client_leaves() {
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(WRITE);
    g.answer(id, 0, 0, Status::Miss, note(Role::Replica, g.now));
    g.answer(id, 1, 1, Status::Miss, note(Role::Replica, g.now));
    let (late, out) = g.request_with(WRITE, |r| r.left = ms(500));
    assert!(finals(&out).is_empty());
    let start = g.now;
    let mut done = finals(&out);
    while !done.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == late)) {
        assert!(g.now < start + ms(500), "no answer in the client's time");
        done.extend(finals(&g.tick(ms(10))));
    }
}

#[test]
fn a_request_without_usable_member_or_time_is_refused_at_once() {
    let mut g = Gateway::start(settings(), 1);
    let (_, out) = g.request_with(ANY, |r| r.group = GroupId(99));
    assert_eq!(finals(&out).len(), 1);
    let (_, out) = g.request_with(ANY, |r| r.left = ms(0));
    assert_eq!(finals(&out).len(), 1);
}

#[test]
fn nothing_is_sent_after_the_client_has_left() {
    let mut g = Gateway::start(settings(), 2);
    let (id, out) = g.request(ANY);
    let server = sends(&out)[0].1;
    g.play(Event::Gone(id));
    let out = g.outcome(id, 0, server, Status::Error);
    assert!(sends(&out).is_empty() && finals(&out).is_empty());
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(ONCE);
    assert_eq!(
        finals(&g.outcome(id, 0, 0, Status::Timeout)),
        [Action::Fail { request: id, reason: UnservedReason::MayHaveRun }]
    );
}

#[test]
fn a_keyed_request_is_repeated_only_inside_its_window_and_never_refused_after_it_may_have_run() {
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(WRITE);
    g.now += ms(300);
    let out = g.outcome(id, 0, 0, Status::Error);
    assert_eq!(sends(&out), [(id, 0)]);
    g.now += ms(800);
    let out = g.outcome(id, 1, 0, Status::Error);
    assert_eq!(finals(&out), [Action::Fail { request: id, reason: UnservedReason::MayHaveRun }]);
}

#[test]
fn nothing_goes_to_a_draining_or_removed_server() {
    let mut g = Gateway::start(settings(), 3);
    let drains = Entry { phase: Phase::Draining, ..entry(1, false) };
    let gone = Entry { phase: Phase::Gone, ..entry(2, false) };
    g.play(Event::List { kind: ListKind::Patch, entries: vec![drains, gone] });
    for _ in 0..4 {
        assert_eq!(sends(&g.request(ANY).1)[0].1, 3);
    }
    g.play(Event::List { kind: ListKind::Whole, entries: vec![entry(0, true), entry(1, false)] });
    assert_eq!(sends(&g.request(ANY).1)[0].1, 1);
}

#[test]
fn with_soft_removal_only_a_listed_drain_binds() {
    let mut s = settings();
    s.rules.soft_removal = true;
    let mut g = Gateway::start(s, 1);
    g.play(Event::List { kind: ListKind::Whole, entries: vec![entry(0, true)] });
    assert_eq!(sends(&g.request(ANY).1)[0].1, 1);
    let drains = Entry { phase: Phase::Draining, ..entry(1, false) };
    g.play(Event::List { kind: ListKind::Patch, entries: vec![drains] });
    assert_eq!(sends(&g.request(ANY).1)[0].1, 0);
}

#[test]
fn a_cold_server_takes_one_at_a_time_and_less_than_its_peers() {
    let mut g = Gateway::start(settings(), 3);
    let cold = Entry { started: Some(g.now), ..entry(3, false) };
    g.play(Event::List { kind: ListKind::Patch, entries: vec![cold] });
    paces_the_third(&mut g);
}

#[test]
fn no_replica_of_unknown_position_serves_a_read_that_needs_one() {
    let mut s = settings();
    s.list_role = ListRole::Silent;
    let mut g = Gateway::start(s, 2);
    let (id, out) = g.request(BOUNDED);
    assert!(sends(&out).is_empty(), "no primary and no position is known");
    g.position(0, Role::Primary, g.now);
    assert_eq!(sends(&g.tick(ms(50))), [(id, 0)]);
}

#[test]
fn hundreds_of_gateways_do_not_send_a_cold_server_one_request_each() {
    let mut s = settings();
    s.gateways = 200;
    let mut first = 0;
    for seed in 0..200 {
        let mut g = Gateway::seeded(s.clone(), 3, seed);
        let cold = Entry { started: Some(g.now), ..entry(3, false) };
        g.play(Event::List { kind: ListKind::Patch, entries: vec![cold] });
        for _ in 0..4 {
            let (id, out) = g.request(ANY);
            for (_, server) in sends(&out) {
                first += u32::from(server == 3);
                g.now += ms(5);
                g.outcome(id, 0, server, Status::Good);
            }
        }
    }
    assert!(first < 20, "{first} sends by 200 gateways in the first moments");
}

#[test]
fn a_fresh_read_goes_to_no_member_that_is_not_known_to_be_the_primary() {
    let members = vec![entry(0, false), entry(1, false)];
    let mut g = Gateway::holding(settings(), 7, members.clone());
    let (read, out) = g.request(FRESH);
    assert_eq!(sends(&out), [], "they answer from what they have");
    let at = g.now;
    assert_eq!(sends(&g.position(1, Role::Primary, at)), [(read, 1)]);
    // Where members turn away what they are behind for, the read itself may ask them.
    let checked = Settings { when_behind: WhenBehind::Refuses, ..settings() };
    let mut g = Gateway::holding(checked, 7, members);
    assert_eq!(sends(&g.request(FRESH).1).len(), 1);
}

#[test]
fn a_read_that_waited_for_its_connection_begins_only_where_it_would_be_sent_now() {
    let mut g = Gateway::start(settings(), 1);
    let (replica, primary) = (ServerId(1), ServerId(0));
    let at = g.now;
    g.position(1, Role::Replica, at);
    let (read, out) = g.request(BOUNDED);
    assert_eq!(sends(&out), [(read, 1)]);
    g.now += ms(1000);
    assert!(g.router.may_begin(g.now, read, replica), "as old as its class allows");
    g.now += ms(1);
    assert!(!g.router.may_begin(g.now, read, replica), "its server has told of nothing newer");
    g.position(1, Role::Replica, at + ms(1));
    assert!(g.router.may_begin(g.now, read, replica));
    assert!(g.router.may_begin(g.now, read, primary));
    let now = g.now;
    g.position(0, Role::Replica, now - ms(2000));
    assert!(!g.router.may_begin(g.now, read, primary), "it is the primary no more");
    let (write, _) = g.request(WRITE);
    assert!(g.router.may_begin(g.now, write, primary), "it turns writes away itself");
    g.play(Event::Gone(read));
    assert!(!g.router.may_begin(g.now, read, replica), "nobody wants it");
}

#[test]
fn a_request_is_sent_no_more_often_than_the_settings_allow() {
    let mut s = settings();
    s.limits.max_attempts = 2;
    let mut g = Gateway::start(s, 4);
    let (id, out) = g.request(ANY);
    let first = sends(&out)[0].1;
    let second = sends(&g.outcome(id, 0, first, Status::Reset))[0].1;
    let out = g.outcome(id, 1, second, Status::Reset);
    assert!(sends(&out).is_empty(), "{out:?}");
    assert_eq!(finals(&out).len(), 1, "and it has its answer at once");
}

/// A server that did not answer, and does again, of three replicas.
fn back_from_silence() -> Gateway {
    let mut g = Gateway::start(settings(), 3);
    let probed =
        |status| Event::Probed { server: ServerId(3), status, report: Report { role: None, position: None } };
    g.play(probed(Status::Timeout));
    g.tick(ms(3_000));
    g.play(probed(Status::Good));
    g
}

/// Reads that are served 10 ms apart send the third replica something, but well less than the first.
fn paces_the_third(g: &mut Gateway) {
    let mut count = [0; 4];
    for _ in 0..300 {
        let (id, out) = g.request(ANY);
        if let [(_, server)] = sends(&out)[..] {
            count[server as usize] += 1;
            g.now += ms(10);
            g.outcome(id, 0, server, Status::Good);
        }
    }
    assert!(count[3] > 0 && count[3] * 2 < count[1], "{count:?}");
}

/// It may have restarted, whatever the list says yet.
#[test]
fn a_server_back_from_silence_is_paced_as_a_cold_one() {
    paces_the_third(&mut back_from_silence());
}

#[test]
fn a_listed_start_that_is_older_than_the_one_known_makes_a_server_no_warmer() {
    let mut g = back_from_silence();
    let long_ago = Entry { started: Some(g.now - ms(60_000)), ..entry(3, false) };
    g.play(Event::List { kind: ListKind::Patch, entries: vec![long_ago] });
    paces_the_third(&mut g);
}

#[test]
fn a_repeat_of_a_keyed_request_is_given_up_by_the_end_of_its_window() {
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(WRITE);
    let window_ends = g.now + ms(1_000);
    g.now += ms(300);
    let out = g.outcome(id, 0, 0, Status::Error);
    let cut = out.iter().find_map(|action| match action {
        Action::Send { request, cut_at, .. } if *request == id => Some(*cut_at),
        _ => None,
    });
    assert!(cut.expect("sent once more") < window_ends);
}

#[test]
fn a_report_that_is_older_than_an_answer_does_not_change_the_primary() {
    let mut g = Gateway::start(settings(), 2);
    let (id, _) = g.request(WRITE);
    g.answer(id, 0, 0, Status::Good, note(Role::Primary, g.now));
    g.now += ms(100);
    g.position(0, Role::Replica, g.now);
    let (id, out) = g.request(WRITE);
    assert_eq!(sends(&out), [(id, 0)]);
}

/// A router that has a write out at server 0, which was the primary then and has since said that it is a replica, and another
/// at server 1, its second attempt.
struct Replaced {
    g: Gateway,
    held_back: RequestId,
    /// When it was sent.
    sent: Instant,
    missed: RequestId,
}

fn with_a_replaced_primary(stamped: bool) -> Replaced {
    let mut g = Gateway::start(settings(), 1);
    let (held_back, out) = g.request(ONCE);
    assert_eq!(sends(&out), [(held_back, 0)]);
    let (missed, out) = g.request(ONCE);
    assert_eq!(sends(&out), [(missed, 0)]);
    let sent = g.now;
    g.now += ms(500);
    let replica = Note { role: Some(Role::Replica), position: stamped.then_some(sent + ms(400)) };
    assert_eq!(sends(&g.answer(missed, 0, 0, Status::Miss, replica)), [(missed, 1)]);
    Replaced { g, held_back, sent, missed }
}

// Guards against: reads at a replica that is behind, by an answer from when it was the primary, which was held back.
#[test]
fn an_answer_that_was_held_back_does_not_make_a_replica_the_primary_again() {
    for stamped in [true, false] {
        let Replaced { mut g, held_back, sent, .. } = with_a_replaced_primary(stamped);
        g.now += ms(1_100);
        let late = Note { role: Some(Role::Primary), position: stamped.then_some(sent + ms(20)) };
        g.answer(held_back, 0, 0, Status::Good, late);
        for class in [FRESH, BOUNDED] {
            let (id, out) = g.decided(class, |_| {});
            assert!(!sends(&out).contains(&(id, 0)), "stamped: {stamped}, {class}: {out:?}");
        }
    }
}

// Guards against: writes at a primary that has been replaced, by an answer from when it was one, which was held back.
#[test]
fn an_answer_that_was_held_back_does_not_take_the_place_of_the_new_primary() {
    for stamped in [true, false] {
        let Replaced { mut g, held_back, sent, missed } = with_a_replaced_primary(stamped);
        g.now += ms(100);
        let leads = Note { role: Some(Role::Primary), position: stamped.then_some(g.now) };
        g.answer(missed, 1, 1, Status::Good, leads);
        let late = Note { role: Some(Role::Primary), position: stamped.then_some(sent + ms(20)) };
        g.answer(held_back, 0, 0, Status::Good, late);
        assert_eq!(sends(&g.request(WRITE).1)[0].1, 1, "stamped: {stamped}");
    }
}

#[test]
fn a_replica_that_becomes_the_primary_is_known_by_the_position_in_its_first_answer() {
    let Replaced { mut g, held_back, sent, .. } = with_a_replaced_primary(true);
    g.now += ms(100);
    g.answer(held_back, 0, 0, Status::Good, note(Role::Primary, sent + ms(550)));
    assert_eq!(sends(&g.request(WRITE).1)[0].1, 0, "it has come further than as a replica");
}

#[test]
fn a_replica_that_becomes_the_primary_and_tells_no_position_is_known_by_what_was_asked_since() {
    let Replaced { mut g, held_back, missed, .. } = with_a_replaced_primary(false);
    let leads = Note { role: Some(Role::Primary), position: None };
    let replica = Note { role: Some(Role::Replica), position: None };
    g.answer(missed, 1, 1, Status::Miss, replica);
    g.now += ms(300);
    let (asked, out) = g.request(ANY);
    let [(_, leader)] = sends(&out)[..] else { panic!("{out:?}") };
    g.now += ms(20);
    g.answer(asked, 0, leader, Status::Good, leads);
    assert_eq!(sends(&g.request(WRITE).1)[0].1, leader);
    g.answer(held_back, 0, 0, Status::Good, leads);
    assert_eq!(sends(&g.request(WRITE).1)[0].1, leader, "what was sent before says nothing");
}
