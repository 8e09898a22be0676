use super::*;

const WINDOW: Duration = Duration::from_secs(3);

fn ids(most: usize) -> RequestIds {
    let mut ids = RequestIds::default();
    ids.limit(most);
    ids
}

fn sent(digest: IdDigest) -> SentId {
    SentId { digest, window: WINDOW }
}

#[test]
fn an_id_is_known_to_the_end_of_its_last_window_unless_it_never_ran() {
    let (mut ids, now) = (ids(8), Instant::now());
    ids.sent(now, sent(1));
    ids.sent(now, sent(2));
    ids.sent(now + WINDOW / 2, sent(1));
    ids.forget(2);
    assert!(ids.may_have_run(now + WINDOW, 1) && !ids.may_have_run(now, 2));
    assert!(!ids.may_have_run(now + WINDOW * 2, 1));
    ids.sent(now + WINDOW * 2, sent(3));
    assert_eq!((ids.until.len(), ids.order.len(), ids.forgotten_early()), (1, 1, 0));
}

#[test]
fn there_are_never_more_than_the_limit_and_the_oldest_go_first() {
    let (mut ids, now) = (ids(2), Instant::now());
    (1..=3).for_each(|digest| ids.sent(now, sent(digest)));
    assert!(!ids.may_have_run(now, 1) && ids.may_have_run(now, 2) && ids.may_have_run(now, 3));
    assert_eq!(ids.forgotten_early(), 1);
    ids.limit(1);
    assert_eq!(ids.until.len(), 1);
}

#[test]
fn another_process_is_told_what_is_known_and_what_is_sent_but_not_its_own_news() {
    let (mut ids, now) = (ids(8), Instant::now());
    ids.sent(now, sent(1));
    assert!(ids.take_news().is_empty());
    ids.share(now, true);
    ids.sent(now, sent(2));
    ids.remember(now, sent(3));
    let told: Vec<_> = ids.take_news().iter().map(|id| id.digest).collect();
    assert_eq!(told, [1, 2]);
    ids.share(now, false);
    ids.sent(now, sent(4));
    assert!(ids.take_news().is_empty());
}

#[test]
fn an_abandoned_attempt_is_known_until_it_ends() {
    let mut ids = ids(8);
    let attempt = (yewroute::interface::RequestId(1), 0);
    ids.abandon(7, attempt);
    ids.ended(7, (yewroute::interface::RequestId(2), 0));
    assert_eq!(ids.abandoned(7), Some(attempt));
    ids.ended(7, attempt);
    assert_eq!(ids.abandoned(7), None);
}
