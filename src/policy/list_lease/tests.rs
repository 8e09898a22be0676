use super::*;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn unanswered(called: Instant) -> ListObservation {
    ListObservation::Unanswered { called }
}

/// What is observed at `now` of a call that has waited as long as discovery lets it.
fn waited_out(now: Instant) -> ListObservation {
    ListObservation::WaitedOut { called: now - seconds(2.0) }
}

/// The lease of a list that was current at `start`, where discovery is asked.
fn asked(start: Instant) -> ListLease {
    let mut lease = ListLease::begin(start, false);
    lease.observe(start, ListObservation::Current { at: start });
    lease
}

#[test]
fn reloads_in_a_row_never_extend_the_lease() {
    let start = Instant::now();
    let mut lease = asked(start);
    for reload in 0..30 {
        lease.observe(start + seconds(0.4) * reload, ListObservation::Moved);
        lease.observe(start + seconds(0.4) * reload, unanswered(start + seconds(0.4) * reload));
    }
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER_MOVE);
}

// Guards against: a new process that routes by the list in its configuration, while the one before it has been told of a drain.
#[test]
fn a_process_that_takes_over_without_a_list_of_its_own_has_a_short_lease() {
    let start = Instant::now();
    let mut lease = ListLease::begin(start, false);
    let took_over = start + seconds(0.1);
    lease.observe(took_over + seconds(0.04), ListObservation::TookOver { at: took_over });
    lease.observe(took_over, ListObservation::AnswerBegun);
    assert_eq!(lease.expires(), took_over + CHANGE_VISIBLE_AFTER_TAKEOVER);
    let listed = start + seconds(4.0);
    lease.observe(listed, ListObservation::Current { at: listed });
    assert_eq!(lease.expires(), listed + CHANGE_VISIBLE_AFTER);
    let mut lease = asked(start);
    lease.observe(took_over + seconds(0.04), ListObservation::TookOver { at: took_over });
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER, "it has a list of its own");
}

#[test]
fn failed_calls_to_a_discovery_that_answers_never_extend_the_lease() {
    let start = Instant::now();
    let mut lease = asked(start);
    for call in 1..60 {
        let now = start + seconds(0.5) * call;
        lease.observe(now, ListObservation::AnswerBegun);
        lease.observe(now + seconds(0.3), unanswered(now));
    }
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
}

#[test]
fn a_discovery_out_of_reach_starts_no_clock() {
    let start = Instant::now();
    let mut lease = asked(start);
    for call in 1..20 {
        let now = start + seconds(2.0) * call;
        assert!(now < lease.expires(), "refused connections, call {call}");
        lease.observe(now, ListObservation::Unreachable);
    }
}

#[test]
fn one_connection_that_fails_between_calls_that_are_answered_extends_nothing() {
    let start = Instant::now();
    let mut lease = asked(start);
    for call in 1..20 {
        let now = start + seconds(1.5) * call;
        let observed =
            if call % 2 == 0 { ListObservation::AnswerBegun } else { ListObservation::Unreachable };
        lease.observe(now, observed);
    }
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
}

#[test]
fn one_without_any_sign_of_life_is_out_of_reach_after_the_lease_and_a_while() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start + seconds(8.4), unanswered(start + seconds(7.4)));
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
    let called = start + OUT_OF_REACH_AFTER - seconds(1.0);
    lease.observe(start + OUT_OF_REACH_AFTER, unanswered(called));
    assert_eq!(lease.expires(), called + CHANGE_VISIBLE_AFTER, "the call may have waited for its turn");
    // A reload to another discovery starts anew: nothing is known of that one.
    let moved = start + seconds(9.0);
    lease.observe(moved, ListObservation::Moved);
    lease.observe(moved + seconds(8.0), unanswered(moved + seconds(7.0)));
    assert_eq!(lease.expires(), moved + CHANGE_VISIBLE_AFTER_MOVE);
}

#[test]
fn calls_that_wait_in_vain_show_that_discovery_is_down_only_if_it_ended_the_watch() {
    let start = Instant::now();
    for ended in [true, false] {
        let mut lease = asked(start);
        if ended {
            lease.observe(start, ListObservation::WatchEnded { at: start });
        }
        lease.observe(start + seconds(2.0), waited_out(start + seconds(2.0)));
        assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER, "one call");
        lease.observe(start + seconds(4.0), waited_out(start + seconds(4.0)));
        // The first call has shown that discovery was down until it ended, the second one nothing after that.
        let from = if ended { start + seconds(2.0) } else { start };
        assert_eq!(lease.expires(), from + CHANGE_VISIBLE_AFTER, "ended: {ended}");
        // It turns a call away: it is there, and the lease runs on from what is known.
        lease.observe(start + seconds(5.0), ListObservation::AnswerBegun);
        lease.observe(start + seconds(7.0), waited_out(start + seconds(7.0)));
        assert_eq!(lease.expires(), from + CHANGE_VISIBLE_AFTER, "ended: {ended}");
    }
}

/// Guards against: a discovery with too many callers that passes for one that is down.
#[test]
fn calls_that_wait_in_vain_after_one_was_turned_away_extend_nothing() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    lease.observe(start + seconds(1.0), ListObservation::AnswerBegun);
    for call in 1..4 {
        let now = start + seconds(1.0) + seconds(2.0) * call;
        lease.observe(now, waited_out(now));
    }
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
}

/// Guards against: a discovery that came back between two calls, the second of which waited for its turn in vain.
#[test]
fn a_call_that_waits_in_vain_shows_nothing_of_the_time_after_the_one_before_it() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    lease.observe(start + seconds(2.5), waited_out(start + seconds(2.5)));
    lease.observe(start + seconds(5.5), waited_out(start + seconds(5.5)));
    assert_eq!(lease.expires(), start + seconds(2.5) + CHANGE_VISIBLE_AFTER);
}

#[test]
fn calls_that_end_together_count_as_one() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    for late in [0.0, 0.01, 0.1] {
        lease.observe(start + seconds(2.5 + late), waited_out(start + seconds(2.5 + late)));
    }
    assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
}

#[test]
fn an_agent_that_is_called_anew_has_told_all_that_it_has() {
    let start = Instant::now();
    let mut lease = ListLease::begin(start, true);
    assert_eq!(lease.expires(), start, "what an agent has counts from the start of a process");
    lease.observe(start, ListObservation::Current { at: start });
    let ended = start + seconds(1.0);
    lease.observe(ended, ListObservation::WatchEnded { at: ended });
    lease.observe(ended + seconds(0.1), unanswered(ended));
    assert_eq!(lease.expires(), ended);
    let silent = ended + AGENT_OUT_OF_REACH_AFTER;
    lease.observe(silent, unanswered(ended));
    assert_eq!(lease.expires(), silent + AGENT_CALL_INTERVAL);
    lease.observe(silent + seconds(0.2), ListObservation::Current { at: silent });
    assert_eq!(lease.expires(), silent + CHANGE_VISIBLE_AFTER);
    // Its watch falls silent and no call is answered: it learns nothing either.
    let mut now = silent + seconds(0.2);
    while now < silent + seconds(30.0) {
        assert!(now < lease.expires(), "{:?} after the last line", now - silent);
        now += seconds(0.5);
        lease.observe(now, unanswered(now - seconds(1.0)));
    }
}

/// What is observed at `now` of a call that has ended in vain at any other moment.
fn ended(now: Instant) -> ListObservation {
    ListObservation::Ended { called: now - seconds(0.5) }
}

// Guards against: a crowded discovery, all calls of which end in vain, that passes for one that is down.
#[test]
fn calls_that_end_in_vain_never_extend_the_lease_of_a_process_that_has_had_no_watch() {
    let start = Instant::now();
    for end in [ended, waited_out] {
        let mut lease = ListLease::begin(start, false);
        for call in 1..40 {
            let now = start + seconds(0.7) * call;
            lease.observe(now, unanswered(now - seconds(1.9)));
            lease.observe(now, end(now));
        }
        assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER);
        let mut lease = ListLease::begin(start, false);
        lease.observe(start + seconds(0.1), ListObservation::TookOver { at: start });
        for call in 1..40 {
            lease.observe(start + seconds(0.7) * call, end(start + seconds(0.7) * call));
        }
        assert_eq!(lease.expires(), start + CHANGE_VISIBLE_AFTER_TAKEOVER, "in the place of another process");
    }
}

// Guards against: a crowded discovery that passes for one that is still down, as it refused connections before.
#[test]
fn calls_that_end_in_vain_after_connections_were_refused_show_that_discovery_is_back() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    for refused in 1..10 {
        lease.observe(start + seconds(1.0) * refused, ListObservation::Unreachable);
    }
    let refused_last = start + seconds(9.0);
    assert_eq!(lease.expires(), refused_last + CHANGE_VISIBLE_AFTER);
    for call in 1..20 {
        let now = refused_last + seconds(2.0) * call;
        lease.observe(now, waited_out(now));
    }
    assert_eq!(lease.expires(), refused_last + CHANGE_VISIBLE_AFTER);
}

/// The outage of a discovery that ends its watch goes on being served, whichever way its calls end.
#[test]
fn calls_that_end_in_vain_after_discovery_ended_the_watch_show_that_it_is_down() {
    let start = Instant::now();
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    for call in 1..20 {
        let now = start + seconds(2.0) * call;
        assert!(now < lease.expires(), "call {call}");
        lease.observe(now, waited_out(now));
    }
    let mut lease = asked(start);
    lease.observe(start, ListObservation::WatchEnded { at: start });
    for call in 1..40 {
        let now = start + seconds(0.7) * call;
        lease.observe(now, ended(now));
        let served = now < lease.expires() || now < start + OUT_OF_REACH_AFTER + seconds(0.7);
        assert!(served, "{:?} after the watch", now - start);
    }
}
