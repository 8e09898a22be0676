//! One test for each failure that was found.

mod common;

use std::time::Duration;

use common::*;
use yewroute::interface::*;

#[test]
fn fast_errors_do_not_draw_work() {
    let mut g = Gateway::start(settings(), 4);
    let mut bad = 0;
    for _ in 0..200 {
        let (id, mut out) = g.request(ANY);
        let mut attempt = 0;
        while let [(_, server)] = sends(&out)[..] {
            g.now += ms(2);
            bad += u32::from(server == 1);
            let status = if server == 1 { Status::Error } else { Status::Good };
            out = g.outcome(id, attempt, server, status);
            attempt += 1;
        }
    }
    assert!(bad < 20, "{bad} of 200 went to the failing server");
}

#[test]
fn a_hung_server_is_passed_over() {
    let mut g = Gateway::start(settings(), 2);
    let (_, out) = g.request(ANY);
    let hung = sends(&out)[0].1;
    g.tick(ms(450));
    for _ in 0..3 {
        let (other, out) = g.request(ANY);
        assert_ne!(sends(&out)[0].1, hung);
        g.outcome(other, 0, 3 - hung, Status::Good);
    }
}

#[test]
fn one_broken_connection_proves_nothing_and_two_have_a_probe_tell() {
    let mut g = Gateway::start(settings(), 1);
    let (first, _) = g.request(ANY);
    let (second, out) = g.request(ANY);
    assert_eq!(sends(&out), [(second, 1)]);
    g.position(1, Role::Replica, g.now);
    let out = g.outcome(first, 0, 1, Status::ConnectFailed);
    assert!(probes(&out).is_empty(), "it answered a moment ago");
    assert_eq!(sends(&out), [(first, 0)]);
    let out = g.outcome(first, 1, 0, Status::Good);
    assert!(!out.contains(&Action::Close(ServerId(0))), "other connections are in no doubt");
    assert_eq!(probes(&g.outcome(second, 0, 1, Status::Reset)), [1]);
    // It answers: it is as it was, and not cold.
    g.position(1, Role::Replica, g.now);
    g.tick(ms(30_000));
    for _ in 0..3 {
        assert_eq!(sends(&g.request(ANY).1)[0].1, 1);
    }
}

#[test]
fn a_probe_whose_connection_breaks_is_asked_again_before_its_server_is_taken_for_dead() {
    let refused = |g: &mut Gateway| {
        let report = Report::default();
        g.play(Event::Probed { server: ServerId(1), status: Status::ConnectFailed, report })
    };
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(ANY);
    g.position(1, Role::Replica, g.now);
    g.outcome(id, 0, 1, Status::Good);
    assert_eq!(probes(&refused(&mut g)), [1]);
    assert_eq!(sends(&g.request(ANY).1)[0].1, 1, "it goes on");
    assert_eq!(probes(&refused(&mut g)), [1]);
    assert!(probes(&refused(&mut g)).is_empty());
    // Now it is out, and asked again only when a request shows that it is wanted.
    assert!(probes(&g.tick(ms(2000))).is_empty());
    let out = g.request(ANY).1;
    assert!(probes(&out).contains(&1) && sends(&out).iter().all(|(_, server)| *server == 0));
    // One that has long said nothing is taken at its word at once.
    let mut g = Gateway::start(settings(), 1);
    let (id, _) = g.request(ANY);
    g.outcome(id, 0, 1, Status::ConnectFailed);
    assert!(probes(&refused(&mut g)).is_empty(), "the group's first probe is refused too");
    assert!(sends(&g.request(ANY).1).iter().all(|(_, server)| *server == 0));
}

#[test]
fn a_write_that_misses_at_a_full_primary_waits_a_moment() {
    let mut g = Gateway::start(settings(), 2);
    let (id, out) = g.request(WRITE);
    assert_eq!(sends(&out)[0].1, 0);
    assert!(sends(&g.answer(id, 0, 0, Status::Full, note(Role::Primary, g.now))).is_empty());
    assert_eq!(sends(&g.tick(ms(400))), [(id, 0)]);
}

#[test]
fn a_full_queue_does_not_bring_a_replaced_primary_back() {
    let mut g = Gateway::start(settings(), 2);
    let (id, _) = g.request(WRITE);
    g.now += ms(600);
    g.position(2, Role::Primary, g.now);
    g.answer(id, 0, 0, Status::Full, note(Role::Primary, g.now));
    assert_eq!(sends(&g.request(WRITE).1)[0].1, 2);
}

#[test]
fn errors_at_two_servers_accuse_the_request() {
    let mut g = Gateway::start(settings(), 4);
    for _ in 0..20 {
        let (id, mut out) = g.request(ANY);
        let mut attempt = 0;
        while let [(_, server)] = sends(&out)[..] {
            out = g.outcome(id, attempt, server, Status::Error);
            attempt += 1;
        }
        assert_eq!((attempt, finals(&out).len()), (2, 1));
    }
    // None of the servers is blamed: four requests still spread over the four replicas.
    let mut seen: Vec<u32> = (0..4).map(|_| sends(&g.request(ANY).1)[0].1).collect();
    seen.sort_unstable();
    assert_eq!(seen, [1, 2, 3, 4]);
}

#[test]
fn sends_after_idleness_that_stay_unanswered_put_connections_in_doubt() {
    let mut g = Gateway::start(settings(), 3);
    let mut closed = false;
    for _ in 0..6 {
        g.tick(ms(6000));
        let (id, out) = g.request(ANY);
        if let [(_, server)] = sends(&out)[..] {
            g.now += ms(400);
            closed |= g.outcome(id, 0, server, Status::Timeout).contains(&Action::Close(ServerId(server)));
            g.play(Event::Gone(id));
            g.position(server, Role::Replica, g.now);
        }
    }
    assert!(closed);
}

#[test]
fn a_jam_made_by_others_sheds_the_reads_worth_least_for_their_work() {
    let mut s = settings();
    s.classes[SESSION].worth = 5.0;
    let mut g = Gateway::start(s, 3);
    for _ in 0..12 {
        let (id, out) = g.request_with(ANY, |r| r.left = ms(2000));
        if let [(_, server)] = sends(&out)[..] {
            g.now += ms(390);
            g.play(Event::Outcome(Outcome {
                request: id,
                attempt: 0,
                server: ServerId(server),
                status: Status::Good,
                elapsed: ms(390),
                finished: true,
                note: Note::default(),
                report: Report::default(),
            }));
        }
    }
    let mut shed = |class| (0..40).filter(|_| finals(&g.request(class).1).len() == 1).count();
    let (cheap, dear) = (shed(ANY), shed(SESSION));
    assert!(cheap > 2 * dear, "{cheap} of the cheap and {dear} of the dear were shed");
}

#[test]
fn a_write_that_misses_tries_the_members_once_and_then_waits_for_the_new_primary() {
    let mut g = Gateway::start(settings(), 2);
    let (id, out) = g.request(WRITE);
    assert_eq!(sends(&out), [(id, 0)]);
    for server in 0..3 {
        let status = Status::Good;
        g.play(Event::Probed { server: ServerId(server), status, report: Report::default() });
    }
    let out = g.answer(id, 0, 0, Status::Miss, note(Role::Replica, g.now));
    let second = sends(&out)[0].1;
    let out = g.answer(id, 1, second, Status::Miss, note(Role::Replica, g.now));
    let third = sends(&out)[0].1;
    let out = g.answer(id, 2, third, Status::Miss, note(Role::Replica, g.now));
    assert!(sends(&out).is_empty());
    assert!(!probes(&g.tick(ms(300))).is_empty());
    g.now += ms(400);
    let out = g.position(2, Role::Primary, g.now);
    assert_eq!(sends(&out), [(id, 2)]);
}

#[test]
fn a_lost_list_is_asked_for_again_after_a_pause() {
    let mut s = settings();
    s.discovery = Discovery::Subscribe;
    let mut router = yewroute::Router::new(s, 1).expect("valid");
    let mut out = Vec::new();
    router.handle(*START, Event::List { kind: ListKind::Stale, entries: vec![entry(0, true)] }, &mut out);
    assert!(out.contains(&Action::Subscribe));
    out.clear();
    router.handle(*START + ms(1), Event::List { kind: ListKind::Broken, entries: vec![] }, &mut out);
    assert!(!out.contains(&Action::Subscribe));
    router.handle(*START + ms(3100), Event::Timer(1), &mut out);
    assert!(out.contains(&Action::Subscribe));
}

#[test]
fn a_jam_shrinks_what_a_server_is_given_and_the_rest_waits() {
    let mut g = Gateway::start(settings(), 1);
    let mut out = Vec::new();
    for _ in 0..60 {
        let (id, actions) = g.request(ANY);
        for (_, server) in sends(&actions) {
            let slow = Outcome {
                request: id,
                attempt: 0,
                server: ServerId(server),
                status: Status::Good,
                elapsed: ms(390),
                finished: true,
                note: Note::default(),
                report: Report::default(),
            };
            g.play(Event::Outcome(slow));
        }
    }
    for _ in 0..20 {
        out.extend(sends(&g.request(ANY).1));
    }
    assert!(out.len() < 6, "{} sent at once to a crowded server and its primary", out.len());
}

#[test]
fn a_time_out_after_a_late_start_does_not_shrink_the_limit() {
    let mut g = Gateway::start(settings(), 1);
    for _ in 0..60 {
        let (id, out) = g.request(ANY);
        if let [(_, server)] = sends(&out)[..] {
            g.now += ms(20);
            g.outcome(id, 0, server, Status::Timeout);
            g.play(Event::Gone(id));
            g.tick(ms(1600));
            g.position(server, Role::Replica, g.now);
        }
    }
    let to_replica = (0..4).filter(|_| sends(&g.request(ANY).1).first().is_some_and(|s| s.1 == 1)).count();
    assert!(to_replica >= 3, "{to_replica} of 4");
}

#[test]
fn events_for_unknown_requests_and_servers_are_harmless() {
    let mut g = Gateway::start(settings(), 1);
    assert!(sends(&g.outcome(RequestId(77), 3, 1, Status::Good)).is_empty());
    assert!(sends(&g.outcome(RequestId(77), 3, 55, Status::Error)).is_empty());
    g.play(Event::Gone(RequestId(78)));
    g.play(Event::Started { request: RequestId(78) });
    g.play(Event::Timer(12));
    g.position(55, Role::Primary, *START);
    let (_, out) = g.request_with(99, |_| {});
    assert_eq!(finals(&out).len(), 1);
}

#[test]
fn inconsistent_settings_are_named() {
    let error = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        yewroute::Router::new(s, 0).err().map(|e| e.to_string()).unwrap_or_default()
    };
    assert!(error(|s| s.classes.clear()).contains("classes"));
    assert!(error(|s| s.gateways = 0).contains("gateways"));
    assert!(error(|s| s.limits.max_attempts = 0).contains("max_attempts"));
    assert!(error(|s| s.rules.start_capacity = 0.0).contains("start_capacity"));
    assert!(error(|s| s.classes[0].aim = std::time::Duration::ZERO).contains("aim"));
}

#[test]
fn a_replica_that_just_turned_a_read_away_is_not_asked_at_once_by_the_next() {
    let mut s = settings();
    s.when_behind = WhenBehind::Refuses;
    let mut g = Gateway::start(s, 1);
    let old = g.now - ms(5000);
    g.position(1, Role::Replica, old);
    let (id, out) = g.decided(BOUNDED, |_| {});
    assert_eq!(sends(&out)[0].1, 1);
    g.answer(id, 0, 1, Status::Miss, note(Role::Replica, old));
    assert_eq!(sends(&g.decided(BOUNDED, |_| {}).1)[0].1, 0);
}

#[test]
fn the_aim_of_a_repeat_counts_from_the_first_try() {
    let mut g = Gateway::start(settings(), 2);
    // Each try is given 1500 ms of the 2000 ms; one with 1200 ms left began 800 ms ago, past its aim of 400 ms.
    assert_eq!(sends(&g.request_with(ANY, |r| r.left = ms(1500)).1).len(), 1);
    let (_, out) = g.request_with(ANY, |r| r.left = ms(1200));
    assert!(sends(&out).is_empty() && finals(&out).len() == 1);
    // A first try that lost some time on its way is no repeat.
    assert_eq!(sends(&g.request_with(ANY, |r| r.left = ms(1400)).1).len(), 1);
}

#[test]
fn one_write_at_a_time_asks_a_member_whether_it_is_the_primary() {
    let mut s = settings();
    s.list_role = ListRole::Silent;
    let mut g = Gateway::start(s, 1);
    let asked: usize = (0..10).map(|_| sends(&g.request(WRITE).1).len()).sum();
    assert_eq!(asked, 2, "one for each member");
}

#[test]
fn a_replica_that_is_left_out_is_asked_by_the_next_reads_how_far_it_has_come() {
    let mut g = Gateway::start(settings(), 2);
    g.request(BOUNDED);
    g.position(0, Role::Primary, g.now);
    g.position(1, Role::Replica, g.now - ms(3000));
    g.position(2, Role::Replica, g.now);
    assert!(probes(&g.request(BOUNDED).1).is_empty(), "just heard of");
    assert!(probes(&g.tick(ms(200))).is_empty(), "nothing without a request");
    assert_eq!(probes(&g.request(BOUNDED).1), [1]);
    g.position(1, Role::Replica, g.now);
    assert_eq!(sends(&g.request(BOUNDED).1)[0].1, 1);
}

#[test]
fn reads_overflow_to_the_primary_only_into_half_of_its_room() {
    let mut g = Gateway::start(settings(), 1);
    let all: Vec<u32> = (0..20).flat_map(|_| sends(&g.request(ANY).1)).map(|s| s.1).collect();
    let to = |server| all.iter().filter(|s| **s == server).count();
    assert_eq!((to(1), to(0)), (4, 2));
}

#[test]
fn a_request_that_reached_no_server_of_a_silent_group_is_refused_by_half_of_its_time() {
    let mut g = Gateway::start(settings(), 0);
    let start = g.now;
    let (id, out) = g.request(WRITE);
    assert_eq!(sends(&out), [(id, 0)]);
    // It is tried once more before the probe tells that nobody is there.
    assert_eq!(sends(&g.outcome(id, 0, 0, Status::ConnectFailed)), [(id, 0)]);
    g.play(Event::Probed { server: ServerId(0), status: Status::ConnectFailed, report: Report::default() });
    assert!(sends(&g.outcome(id, 1, 0, Status::ConnectFailed)).is_empty());
    let mut done = Vec::new();
    while done.is_empty() {
        done = finals(&g.tick(ms(10)));
        assert!(g.now < start + ms(1000), "held for more than half of its 2000 ms");
    }
    assert!(matches!(done[..], [Action::Refuse { request, .. }] if request == id), "{done:?}");
}

#[test]
fn a_request_that_waits_for_room_is_refused_by_half_of_its_time_if_little_is_left_after_that() {
    let mut g = Gateway::start(settings(), 0);
    let start = g.now;
    // The first for which the primary has no room. An attempt takes 100 ms as long as none has shown what it takes.
    let mut asked = (0..100).map(|_| g.request_with(WRITE, |r| r.left = ms(400)));
    let (id, _) = asked.find(|(_, out)| sends(out).is_empty()).unwrap();
    let ended = |a: &Action| matches!(a, Action::Refuse { request, .. } if *request == id);
    while !g.tick(ms(10)).iter().any(ended) {
        assert!(g.now < start + ms(200), "held for more than half of its 400 ms");
    }
}

#[test]
fn an_attempt_lost_on_a_silent_connection_is_given_up_early_and_blames_no_server() {
    let mut g = Gateway::start(settings(), 2);
    let serve = |g: &mut Gateway| {
        let (id, out) = g.request(ANY);
        let server = sends(&out)[0].1;
        g.now += ms(1);
        g.outcome(id, 0, server, Status::Good);
        server
    };
    // Latencies of 20 ms in the mean, from 100 ms at first.
    for _ in 0..200 {
        serve(&mut g);
    }
    let cut = |out: &[Action], now| {
        let send = |a: &Action| match a {
            Action::Send { cut_at, .. } => Some(*cut_at - now),
            _ => None,
        };
        out.iter().find_map(send).unwrap()
    };
    let (lost, out) = g.request(ANY);
    let server = sends(&out)[0].1;
    assert!((ms(200)..ms(220)).contains(&cut(&out, g.now)), "{:?}", cut(&out, g.now));
    let (once, out) = g.request(ONCE);
    assert!(cut(&out, g.now) > ms(1900), "what must not run twice is waited for");
    g.outcome(once, 0, 0, Status::Good);
    // Others, sent later, are served there in the meantime: with one out at each, chance decides.
    g.now += ms(1);
    let (held, out) = g.request(ANY);
    assert_eq!(sends(&out), [(held, 3 - server)]);
    assert!((0..50).any(|_| serve(&mut g) == server));
    g.outcome(held, 0, 3 - server, Status::Good);
    g.now += ms(200);
    let out = g.outcome(lost, 0, server, Status::Timeout);
    assert_eq!(sends(&out), [(lost, 3 - server)], "once more, elsewhere");
    g.outcome(lost, 1, 3 - server, Status::Good);
    assert!((0..20).any(|_| serve(&mut g) == server), "it goes on being asked");
}

#[test]
fn a_server_that_turns_writes_away_and_calls_itself_primary_gets_one_in_a_while() {
    for role in [Some(Role::Primary), None] {
        let mut g = Gateway::start(settings(), 1);
        g.position(0, Role::Primary, g.now);
        g.position(1, Role::Replica, g.now);
        let (start, (id, mut out)) = (g.now, g.request(WRITE));
        let (mut attempt, mut asked) = (0, Vec::new());
        while finals(&out).is_empty() {
            for (_, server) in sends(&out) {
                asked.push((server, g.now - start));
                g.now += ms(2);
                let said = if server == 0 { role } else { Some(Role::Replica) };
                out = g.answer(id, attempt, server, Status::Miss, Note { role: said, position: None });
                attempt += 1;
            }
            // Reads served there say the same, and change nothing before their time.
            let (read, sent) = g.request(ANY);
            for (_, server) in sends(&sent) {
                let claim = if server == 0 { Role::Primary } else { Role::Replica };
                out.extend(g.answer(read, 0, server, Status::Good, note(claim, g.now)));
            }
            if sends(&out).is_empty() && finals(&out).is_empty() {
                out = g.tick(ms(10));
            }
            assert!(g.now - start < ms(2_000), "answered in time: {asked:?}");
        }
        let denials: Vec<_> = asked.iter().filter(|(server, _)| *server == 0).map(|(_, at)| *at).collect();
        assert!((2..=4).contains(&denials.len()), "{asked:?}");
        assert!(denials.windows(2).all(|pair| pair[1] - pair[0] >= ms(700)), "{asked:?}");
        // As soon as it says that it is a replica, the next word that it is the primary counts.
        g.position(0, Role::Replica, g.now + ms(600));
        g.now += ms(600);
        g.position(0, Role::Primary, g.now);
        assert_eq!(sends(&g.request(WRITE).1).len(), 1);
    }
}

// Guards against: reads refused as in a jam, as a server that answers within microseconds took a few milliseconds now and then.
#[test]
fn hiccups_of_quick_servers_refuse_no_reads() {
    let usual = std::time::Duration::from_micros(200);
    let hiccup = ms(8);
    let mut g = Gateway::start(settings(), 1);
    for turn in 0..400 {
        let (id, out) = g.decided(ANY, |_| {});
        assert!(finals(&out).is_empty(), "read {turn}");
        let (_, server) = sends(&out)[0];
        let elapsed = if turn > 300 { hiccup } else { usual };
        g.answer_after(elapsed, id, 0, server, Status::Good, Note::default());
        g.tick(ms(10));
    }
}

// Guards against: a server that is left out, and one that passes for jammed, though nothing was sent there.
#[test]
fn an_attempt_that_a_held_up_gateway_did_not_send_says_nothing_of_its_server() {
    const HELD_UP: Duration = ms(150);
    let mut g = Gateway::start(settings(), 1);
    for _ in 0..2_000 {
        let (id, out) = g.request(ANY);
        assert_eq!(sends(&out), [(id, 1)], "nothing is shed");
        g.now += HELD_UP;
        let out = g.answer_after(HELD_UP, id, 0, 1, Status::HeldUp, Note::default());
        assert_eq!(sends(&out), [(id, 1)], "it is tried there again");
        g.now += ms(1);
        g.answer_after(ms(1), id, 1, 1, Status::Good, Note::default());
    }
}

// Guards against: answers of a server that writes slowly, given up one after the other, or when nothing may be sent instead.
#[test]
fn an_answer_may_stop_for_longer_at_each_attempt_and_at_will_when_no_attempt_may_follow() {
    let mut g = Gateway::start(settings(), 2);
    let (once, _) = g.request(ONCE);
    assert_eq!(g.router.answer_stall_timeout(g.now, once), None, "it may not be sent again");
    let (write, _) = g.request(WRITE);
    for (attempt, timeout) in [(0, 250), (1, 500)] {
        assert_eq!(g.router.answer_stall_timeout(g.now, write), Some(ms(timeout)), "attempt {attempt}");
        g.now += ms(timeout);
        let out = g.answer_after(ms(timeout), write, attempt, 0, Status::Spoilt, Note::default());
        assert_eq!(sends(&out), [(write, 0)]);
    }
    assert_eq!(g.router.answer_stall_timeout(g.now, write), Some(ms(1_000)));
    g.now += ms(240);
    assert_eq!(g.router.answer_stall_timeout(g.now, write), None, "its window for repeats is over");
    let (read, _) = g.decided(ANY, |_| {});
    assert_eq!(g.router.answer_stall_timeout(g.now, read), Some(ms(250)));
    g.now += ms(300);
    assert_eq!(g.router.answer_stall_timeout(g.now, read), None, "no time is left for another attempt");
}
