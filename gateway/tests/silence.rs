//! One clock for silence: what a watch misses counts as told 6 s after it fell silent, and after SIGHUP 4 s later. Each
//! time a db host begins to drain meanwhile, and gets nothing new past that and the 250 ms that drains have.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
const SETTINGS: &str = include_str!("common/settings.json");
/// From the beginning of silence on, and after SIGHUP; then what a drain has, and the slack on sockets.
const TOLD: Duration = Duration::from_secs(6);
const MOVED: Duration = Duration::from_secs(4);
const DRAIN: Duration = Duration::from_millis(250 + 50);

struct Pair {
    primary: Host,
    replica: Host,
}

impl Pair {
    fn new() -> Self {
        Self { primary: Host::well(true), replica: Host::well(false) }
    }

    fn known(&self) -> String {
        pair(&self.primary, &self.replica)
    }

    fn drain(&self) -> String {
        list(42, false, &[entry("s-b", &self.replica, "replica", "Terminating", 0)])
    }

    /// The drain, as a watch.
    fn told(&self) -> Call {
        Call::Say(watch(&[&self.drain()]))
    }

    /// Reads go to the replica; from `mark` on, none does.
    fn drained_by(&self, gateway: &Gateway, mark: Instant) {
        let mut client = gateway.client();
        assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
        assert!(!self.replica.asked().is_empty(), "reads go to the replica at first");
        thread::sleep(mark.saturating_duration_since(Instant::now()));
        let before = self.replica.asked().len();
        for _ in 0..10 {
            assert_eq!(client.ask(&statement("view", 1200, "")), SERVED);
        }
        assert_eq!(self.replica.asked().len(), before, "sends past the bound: {}", gateway.log());
    }

    /// Plays calls of which the first falls silent once it has said its part.
    fn play(&self, calls: Vec<Call>, settings: &str) {
        let discovery = Script::start(calls);
        let gateway = Gateway::told_by(discovery.addr, &self.known(), settings);
        self.drained_by(&gateway, silent_from(&discovery) + TOLD + DRAIN);
    }
}

/// The settings where lists are pushed by an agent.
fn pushed() -> String {
    SETTINGS.replace("\"subscribe\"", "\"automatic\"")
}

/// Plays calls twice, side by side: where lists are asked for, and where they are pushed.
fn play_both(calls: impl Fn(&Pair) -> Vec<Call> + Sync) {
    thread::scope(|scope| {
        for settings in [SETTINGS.to_owned(), pushed()] {
            let calls = &calls;
            scope.spawn(move || {
                let hosts = Pair::new();
                hosts.play(calls(&hosts), &settings);
            });
        }
    });
}

/// When the first call had got its part.
fn silent_from(discovery: &Script) -> Instant {
    until(|| !discovery.said.lock().unwrap().is_empty(), || "no call".to_owned());
    discovery.said.lock().unwrap()[0]
}

/// A watch with its first list, which brings nothing new.
fn first() -> String {
    watch(&[&list(41, false, &[])])
}

fn unavailable() -> Call {
    Call::Close("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned())
}

#[test]
fn a_watch_that_is_silent_after_its_first_list() {
    play_both(|hosts| vec![Call::Say(first()), hosts.told()]);
}

#[test]
fn a_watch_that_is_silent_in_the_middle_of_a_line() {
    let cut_short = "80\r\n{\"version\":42,\"full\":fal";
    play_both(|hosts| vec![Call::Say(first() + cut_short), hosts.told()]);
}

#[test]
fn tries_that_hang_leave_time_for_another() {
    play_both(|hosts| vec![Call::Say(first()), Call::Hang, Call::Hang, hosts.told()]);
}

#[test]
fn a_try_that_has_a_head_and_no_list_leaves_time_for_another() {
    play_both(|hosts| vec![Call::Say(first()), Call::Say(watch(&[])), Call::Say(watch(&[""])), hosts.told()]);
}

#[test]
fn tries_that_are_turned_away_or_reset_are_followed_by_others() {
    play_both(|hosts| {
        let reset = Call::Close(String::new());
        vec![Call::Say(first()), unavailable(), reset, unavailable(), hosts.told()]
    });
}

#[test]
fn bytes_without_the_end_of_a_line_are_no_sign_of_life() {
    play_both(|hosts| vec![Call::Trickle(first()), Call::Trickle(first() + "1\r\n{\r\n"), hosts.told()]);
}

#[test]
fn a_list_comes_indented() {
    play_both(|hosts| {
        let indented = hosts.drain().replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
        assert!(indented.lines().count() > 10);
        vec![Call::Say(first()), Call::Say(watch(&[&indented]))]
    });
}

#[test]
fn discovery_is_down_when_silence_is_seen() {
    let hosts = Pair::new();
    let discovery = Script::start(vec![Call::Say(first())]);
    let gateway = Gateway::told_by(discovery.addr, &hosts.known(), SETTINGS);
    let silent = silent_from(&discovery);
    let _back = discovery.back_after(Duration::from_millis(4_200), vec![hosts.told()]);
    hosts.drained_by(&gateway, silent + TOLD + DRAIN);
}

#[test]
fn another_discovery_that_hangs_is_asked_again_in_time() {
    let hosts = Pair::new();
    let (old, new) = (Script::start(vec![Call::Say(first())]), Script::start(vec![Call::Hang, hosts.told()]));
    let gateway = Gateway::told_by(old.addr, &hosts.known(), SETTINGS);
    silent_from(&old);
    gateway.reload(&old.addr.to_string(), &new.addr.to_string());
    hosts.drained_by(&gateway, Instant::now() + MOVED + DRAIN);
}

#[test]
fn a_pushed_list_is_watched_from_the_start_and_at_once_when_discovery_is_back() {
    let hosts = Pair::new();
    let discovery = Script::start(vec![Call::Say(first())]);
    let gateway = Gateway::told_by(discovery.addr, &hosts.known(), &pushed());
    silent_from(&discovery);
    let _back = discovery.anew_after(Duration::from_millis(1_500), vec![hosts.told()]);
    hosts.drained_by(&gateway, Instant::now() + DRAIN);
}
