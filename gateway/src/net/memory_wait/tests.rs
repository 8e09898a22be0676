//! Waits for memory with made-up times.

use yewroute_settings::Deployment;

use super::*;

const INSERT: &[u8] = b"Q\0\x10\0\0 INSERT INTO items";
const SELECT: &[u8] = b"Q\0\x10\0\0select doc";
/// A message that its client's system may have taken whole.
const SHORT: usize = 3_000_000;
/// One that it cannot have.
const LONG: usize = 8_000_000;

fn terms() -> WaitTerms {
    let deployment = Deployment::from_json(include_str!("../../../tests/common/settings.json")).unwrap();
    WaitTerms::of(&deployment.module)
}

/// How long a wait lasts for which so many bytes lie unread at each time.
fn lasts(head: &[u8], missing: usize, unread: impl Fn(Duration) -> usize) -> Duration {
    let began = Instant::now();
    let mut wait = MemoryWait::begin(began, &terms(), head);
    let mut now = began;
    loop {
        match wait.check(now, missing, unread(now - began)) {
            Step::CheckAt(at) => now = at,
            Step::Refuse => return wait.age(now),
            Step::NotDue => panic!("it is looked at when it asks for it"),
        }
    }
}

// Guards against: requests that wait unread until their clients have given up.
#[test]
fn what_may_have_come_whole_waits_for_half_of_the_shortest_time_of_its_kind() {
    assert_eq!(lasts(INSERT, SHORT, |_| 0), Duration::from_millis(1_500));
    assert_eq!(lasts(SELECT, SHORT, |_| 0), Duration::from_millis(600));
    assert_eq!(lasts(b"P\0\x10\0\0", SHORT, |_| 0), Duration::from_millis(600), "it may be of either kind");
}

// Guards against: refusing clients whose time does not run yet, as they are still writing.
#[test]
fn what_cannot_have_come_whole_waits_for_longer() {
    assert_eq!(lasts(INSERT, LONG, |_| 60_000), BLOCKED_WRITER_TIMEOUT);
    let grows = |past: Duration| past.as_millis().min(4_000) as usize * 10;
    let lasts_while_it_grows = lasts(INSERT, SHORT, grows);
    assert!(lasts_while_it_grows >= Duration::from_millis(5_400), "{lasts_while_it_grows:?}");
    assert!(lasts_while_it_grows <= Duration::from_millis(5_500), "{lasts_while_it_grows:?}");
    // From when the rest may be in the client's system.
    assert_eq!(lasts(INSERT, LONG, |past| past.as_millis() as usize * 500), BLOCKED_WRITER_TIMEOUT);
}

#[test]
fn a_look_before_its_time_asks_for_no_further_one() {
    let began = Instant::now();
    let mut wait = MemoryWait::begin(began, &terms(), INSERT);
    assert_eq!(wait.check(began, SHORT, 0), Step::CheckAt(began + CHECK_INTERVAL));
    assert_eq!(wait.check(began + CHECK_INTERVAL / 2, SHORT, 0), Step::NotDue);
    assert_eq!(wait.check(began + CHECK_INTERVAL, SHORT, 0), Step::CheckAt(began + 2 * CHECK_INTERVAL));
}
