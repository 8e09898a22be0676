//! The mechanism: lowest outstanding weight among eligible replicas, the primary as fallback.

mod common;

use common::*;
use yewroute::interface::*;

#[test]
fn a_read_goes_to_the_replica_with_the_fewest_outstanding_reads() {
    let mut g = Gateway::start(settings(), 3);
    let mut seen: Vec<u32> = (0..3).map(|_| sends(&g.request(ANY).1)[0].1).collect();
    seen.sort_unstable();
    assert_eq!(seen, [1, 2, 3]);
    let (first, out) = g.request(ANY);
    let loaded = sends(&out)[0].1;
    g.outcome(first, 0, loaded, Status::Good);
    // All three hold one again, so the next three spread once more.
    let mut seen: Vec<u32> = (0..3).map(|_| sends(&g.request(ANY).1)[0].1).collect();
    seen.sort_unstable();
    assert_eq!(seen, [1, 2, 3]);
}

#[test]
fn ties_are_broken_by_the_seed() {
    let pick = |seed| sends(&Gateway::seeded(settings(), 8, seed).request(ANY).1)[0].1;
    assert_eq!(pick(3), pick(3));
    assert!((0..20).any(|seed| pick(seed) != pick(3)));
}

#[test]
fn a_fresh_router_probes_the_group_and_without_an_answer_sends_bounded_reads_to_the_primary() {
    let mut g = Gateway::start(settings(), 2);
    let (id, out) = g.request(BOUNDED);
    assert_eq!(probes(&out), [0, 1, 2]);
    assert!(sends(&out).is_empty());
    assert_eq!(sends(&g.tick(ms(50))), [(id, 0)]);
}

#[test]
fn a_read_without_an_eligible_replica_waits_for_the_word_of_two() {
    let mut g = Gateway::start(settings(), 4);
    (0..5).for_each(|n| drop(g.position(n, Role::Replica, g.now - ms(3000))));
    g.position(0, Role::Primary, g.now);
    g.decided(BOUNDED, |_| {});
    (1..5).for_each(|n| drop(g.position(n, Role::Replica, g.now - ms(3000))));
    g.tick(ms(200));
    let (id, out) = g.request(BOUNDED);
    let asked = probes(&out);
    assert_eq!(asked.len(), 2);
    assert!(sends(&out).is_empty());
    assert_eq!(sends(&g.position(asked[0], Role::Replica, g.now)), [(id, asked[0])]);
}

#[test]
fn a_bounded_read_goes_only_to_a_replica_known_to_be_inside_its_bound() {
    let mut g = Gateway::start(settings(), 2);
    g.position(1, Role::Replica, g.now - ms(1001));
    g.position(2, Role::Replica, g.now - ms(900));
    for _ in 0..3 {
        assert_eq!(sends(&g.request(BOUNDED).1)[0].1, 2);
    }
    g.now += ms(150);
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 0, "both are outside by now");
}

#[test]
fn a_session_read_waits_for_nothing_when_its_session_wrote_nothing() {
    let mut g = Gateway::start(settings(), 2);
    let (_, out) = g.request_with(SESSION, |r| r.last_write_age = Some(ms(0)));
    assert_ne!(sends(&out)[0].1, 0);
}

#[test]
fn a_carried_token_needs_a_position_past_the_write() {
    let mut g = Gateway::start(settings(), 2);
    g.position(1, Role::Replica, g.now - ms(50));
    let (_, out) = g.request_with(SESSION, |r| r.last_write_age = Some(ms(60)));
    assert_eq!(sends(&out)[0].1, 1);
    let (_, out) = g.decided(SESSION, |r| r.last_write_age = Some(ms(40)));
    assert_eq!(sends(&out)[0].1, 0);
}

#[test]
fn what_a_channel_has_to_see_counts_for_any_read_and_however_tokens_are_told() {
    for (tokens, behind) in [(Tokens::Carried, WhenBehind::Refuses), (Tokens::Remembered, WhenBehind::Silent)]
    {
        for (ago, wanted) in [(60, 1), (40, 0)] {
            let mut g = Gateway::start(Settings { tokens, when_behind: behind, ..settings() }, 2);
            g.position(1, Role::Replica, g.now - ms(50));
            let (_, out) = g.decided(BOUNDED, |r| r.sees = Some(ms(ago)));
            assert_eq!(sends(&out)[0].1, wanted, "{tokens:?}, seen {ago} ms ago");
        }
    }
}

#[test]
fn a_remembered_commit_needs_a_position_past_it() {
    let mut s = settings();
    s.tokens = Tokens::Remembered;
    let mut g = Gateway::start(s, 2);
    let key = Some(SessionKey(9));
    let (id, out) = g.request_with(WRITE, |r| r.session = key);
    assert_eq!(sends(&out)[0].1, 0);
    let commit = g.now;
    g.answer(id, 0, 0, Status::Good, note(Role::Primary, commit));
    g.position(1, Role::Replica, commit - ms(1));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0);
    g.position(1, Role::Replica, commit);
    assert_eq!(sends(&g.request_with(SESSION, |r| r.session = key).1)[0].1, 1);
}

// Guards against: a session's read served from before its write, whose answer told no position that could be used.
#[test]
fn a_commit_without_a_position_is_remembered_as_of_its_answer() {
    let mut g = Gateway::start(Settings { tokens: Tokens::Remembered, ..settings() }, 1);
    let key = Some(SessionKey(9));
    let (id, _) = g.request_with(WRITE, |r| r.session = key);
    g.outcome(id, 0, 0, Status::Good);
    g.position(1, Role::Replica, g.now - ms(1));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0);
    g.position(1, Role::Replica, g.now);
    assert_eq!(sends(&g.request_with(SESSION, |r| r.session = key).1)[0].1, 1);
}

// Guards against: a session's read served from before its write, as the writer's client had left before the answer came.
#[test]
fn a_commit_is_remembered_that_comes_after_the_writer_s_client_has_left() {
    let mut g = Gateway::start(Settings { tokens: Tokens::Remembered, ..settings() }, 1);
    let key = Some(SessionKey(9));
    let (id, out) = g.request_with(WRITE, |r| r.session = key);
    assert_eq!(sends(&out)[0].1, 0);
    g.play(Event::Gone(id));
    let commit = g.now;
    g.answer(id, 0, 0, Status::Good, note(Role::Primary, commit));
    g.position(1, Role::Replica, commit - ms(1));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0);
    let another = Some(SessionKey(8));
    assert_eq!(
        sends(&g.request_with(SESSION, |r| r.session = another).1)[0].1,
        1,
        "another's read may go there"
    );
    g.position(1, Role::Replica, commit);
    assert_eq!(sends(&g.request_with(SESSION, |r| r.session = key).1)[0].1, 1);
}

// Guards against: a session's read served from before its write, which went through the other process of a replacement.
#[test]
fn while_another_process_writes_a_session_s_reads_go_where_all_commits_are_seen() {
    let mut g = Gateway::start(Settings { tokens: Tokens::Remembered, ..settings() }, 1);
    let key = Some(SessionKey(9));
    g.position(1, Role::Replica, g.now - ms(1));
    assert_eq!(sends(&g.request_with(SESSION, |r| r.session = key).1)[0].1, 1);
    g.play(Event::OtherProcessWrites(true));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0);
    // An own commit that is older than what the other process may have written.
    let (id, _) = g.request_with(WRITE, |r| r.session = key);
    g.answer(id, 0, 0, Status::Good, note(Role::Primary, g.now - ms(40)));
    let ended = g.now;
    g.play(Event::OtherProcessWrites(false));
    g.position(1, Role::Replica, ended - ms(1));
    assert_eq!(sends(&g.decided(SESSION, |r| r.session = key).1)[0].1, 0, "it wrote up to its end");
    g.position(1, Role::Replica, ended);
    assert_eq!(sends(&g.request_with(SESSION, |r| r.session = key).1)[0].1, 1);
}

#[test]
fn writes_and_fresh_reads_go_to_the_primary() {
    let mut g = Gateway::start(settings(), 2);
    g.position(1, Role::Replica, g.now);
    assert_eq!(sends(&g.request(WRITE).1)[0].1, 0);
    assert_eq!(sends(&g.request(FRESH).1)[0].1, 0);
}

#[test]
fn where_servers_check_the_most_advanced_replica_is_tried_before_the_primary() {
    let mut s = settings();
    s.when_behind = WhenBehind::Refuses;
    let mut g = Gateway::start(s, 2);
    g.position(1, Role::Replica, g.now - ms(5000));
    g.position(2, Role::Replica, g.now - ms(4000));
    let (id, out) = g.decided(BOUNDED, |_| {});
    assert_eq!(sends(&out)[0].1, 2);
    let out = g.answer(id, 0, 2, Status::Miss, note(Role::Replica, g.now - ms(4000)));
    assert_eq!(sends(&out)[0].1, 0);
}

#[test]
fn a_read_is_asked_near_first_and_farther_only_where_nearer_ones_cannot() {
    let at = |zone, region| Stand { zone, region };
    // The primary and a replica in zone 1, replicas in zone 2 of the same region and in zone 3 of another.
    let stands = [at(1, 1), at(1, 1), at(2, 1), at(3, 2)];
    let listed = |n: u32| Entry { stand: stands[n as usize], ..entry(n, n == 0) };
    let mut g = Gateway::holding(settings(), 7, (0..4).map(listed).collect());
    let mut asked = |from: Option<Stand>, gone: &[u32]| {
        let drains = |n: &u32| Entry { phase: Phase::Draining, ..listed(*n) };
        g.play(Event::List { kind: ListKind::Patch, entries: gone.iter().map(drains).collect() });
        let mut count = [0; 4];
        for _ in 0..100 {
            let (id, out) = g.request_with(ANY, |request| request.near = from);
            let (_, server) = sends(&out)[0];
            count[server as usize] += 1;
            g.now += ms(10);
            g.outcome(id, 0, server, Status::Good);
        }
        g.play(Event::List { kind: ListKind::Whole, entries: (0..4).map(listed).collect() });
        count
    };
    assert!(asked(None, &[])[1..].iter().all(|n| *n > 15), "without a place any is as good");
    let cases: [(&str, Stand, &[u32], u32); 5] = [
        ("its zone", at(1, 1), &[], 1),
        ("its region", at(1, 1), &[1], 2),
        ("anywhere", at(1, 1), &[1, 2], 3),
        ("a zone of one", at(3, 2), &[], 3),
        ("a zone without servers", at(9, 2), &[], 3),
    ];
    for (what, from, gone, wanted) in cases {
        assert_eq!(asked(Some(from), gone)[wanted as usize], 100, "{what}");
    }
    // What its replica has no room for goes on to the next.
    let busy: Vec<u32> = (0..12)
        .map(|_| sends(&g.request_with(ANY, |request| request.near = Some(at(1, 1))).1)[0].1)
        .collect();
    assert!(busy[0] == 1 && busy.contains(&2), "{busy:?}");
}
