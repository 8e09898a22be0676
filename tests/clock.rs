//! What the router makes of a clock that is not confirmed, or that is corrected.

mod common;

use common::*;
use yewroute::interface::*;

// Guards against: a read of old data at a replica that seems fresh by a clock that is behind.
#[test]
fn no_read_relies_on_a_replica_s_position_before_the_clock_is_confirmed() {
    let mut g = Gateway::start(settings(), 1);
    g.position(1, Role::Replica, g.now);
    g.play(Event::ClockConfirmed(false));
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 0);
    assert_eq!(sends(&g.decided(SESSION, |r| r.last_write_age = Some(ms(140))).1)[0].1, 0);
    assert_eq!(sends(&g.request(ANY).1)[0].1, 1, "it needs no position");
    g.play(Event::ClockConfirmed(true));
    assert_eq!(sends(&g.request(BOUNDED).1)[0].1, 1);
}

#[test]
fn a_read_that_waits_for_a_primary_goes_to_a_fresh_replica_once_the_clock_is_confirmed() {
    let mut g = Gateway::holding(settings(), 7, vec![entry(1, false)]);
    g.position(1, Role::Replica, g.now);
    g.play(Event::ClockConfirmed(false));
    let (id, out) = g.request(BOUNDED);
    assert_eq!(sends(&out), []);
    assert_eq!(sends(&g.play(Event::ClockConfirmed(true))), [(id, 1)]);
}

// Guards against: first reads that all go to the primary, as its word comes a moment behind a replica's.
#[test]
fn a_read_that_has_a_replica_s_word_waits_for_the_primary_s_to_confirm_the_clock() {
    let mut g = Gateway::start(settings(), 1);
    g.play(Event::ClockConfirmed(false));
    let (id, out) = g.request(BOUNDED);
    assert_eq!(probes(&out), [0, 1]);
    g.now += ms(5);
    assert_eq!(sends(&g.position(1, Role::Replica, g.now)), []);
    g.now += ms(5);
    assert_eq!(sends(&g.play(Event::ClockConfirmed(true))), [(id, 1)]);
}

// Guards against: positions that were dated by a clock which was behind and stay the greatest known.
#[test]
fn a_position_dated_by_a_clock_that_was_behind_is_taken_back() {
    let mut g = Gateway::start(settings(), 1);
    g.position(1, Role::Replica, g.now);
    g.play(Event::ClockCorrected(ClockOffset::Behind(ms(1_500))));
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 0, "1.5 s behind, bound 1 s");
    g.position(1, Role::Replica, g.now - ms(900));
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 1, "told by the corrected clock");
}

#[test]
fn a_position_dated_by_a_clock_that_was_ahead_gets_no_newer() {
    let mut g = Gateway::start(settings(), 1);
    g.position(1, Role::Replica, g.now - ms(1_100));
    g.play(Event::ClockCorrected(ClockOffset::Ahead(ms(1_500))));
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 0, "the clock may have been stepped since");
}

// Guards against: a session's read from before its write, whose commit was dated by a clock that was ahead.
#[test]
fn a_commit_dated_by_a_clock_that_was_ahead_is_looked_for_as_late_as_it_may_have_been() {
    let mut g = Gateway::start(Settings { tokens: Tokens::Remembered, ..settings() }, 1);
    let key = Some(SessionKey(9));
    let (id, _) = g.request_with(WRITE, |r| r.session = key);
    let commit = g.now - ms(1_500);
    g.answer(id, 0, 0, Status::Good, note(Role::Primary, commit));
    g.play(Event::ClockCorrected(ClockOffset::Ahead(ms(1_500))));
    g.position(1, Role::Replica, g.now - ms(1));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0);
    g.position(1, Role::Replica, g.now);
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 1);
}

/// How many of six reads go to a server.
fn reads_at(g: &mut Gateway, server: u32) -> usize {
    (0..6).flat_map(|_| sends(&g.request(ANY).1)).filter(|(_, to)| *to == server).count()
}

// Guards against: a server that is left out for long, as a clock that was behind had it start when its list came.
#[test]
fn a_server_is_no_colder_than_the_corrected_clock_has_it() {
    let listed = |g: &Gateway| {
        vec![entry(0, true), Entry { started: Some(g.now), ..entry(1, false) }, entry(2, false)]
    };
    let mut g = Gateway::start(settings(), 2);
    let entries = listed(&g);
    g.play(Event::List { kind: ListKind::Whole, entries });
    assert!(reads_at(&mut g, 1) <= 1, "it has just started, by the clock that is off");
    let mut g = Gateway::start(settings(), 2);
    let entries = listed(&g);
    g.play(Event::List { kind: ListKind::Whole, entries });
    g.play(Event::ClockCorrected(ClockOffset::Behind(ms(60_000))));
    g.play(Event::Restarted { server: ServerId(1), started: g.now - ms(60_000) });
    assert_eq!(reads_at(&mut g, 1), 3, "as many as its peer");
}
