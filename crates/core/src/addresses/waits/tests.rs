use super::*;

const MS: Time = 1_000;

#[test]
fn a_wait_is_reported_late_once_by_the_mean_of_its_server() {
    let mut waits = Waits::default();
    let (server, endpoint) = (ServerId("s".into()), Endpoint::Unix("/s".into()));
    let repeatable = waits.start(&server, &endpoint, 0, true);
    assert!(waits.take_late(MIN_LATE_WAIT - 1).is_empty());
    assert_eq!(waits.take_late(MIN_LATE_WAIT).len(), 1);
    assert!(waits.take_late(MIN_LATE_WAIT).is_empty());
    assert!(waits.take_given_up(|_| false).is_empty());
    assert_eq!(waits.take_given_up(|_| true), [repeatable]);
    assert!(waits.take_given_up(|_| true).is_empty(), "returned only once");
    assert!(
        waits.record_answer(repeatable, 400 * MS).is_some_and(|wait| wait.is_late)
            && waits.remove(repeatable).is_none()
    );
    // With a mean of 400 ms a wait is late after 1.6 s. A request that must not run twice is never given up.
    let not_repeatable = waits.start(&server, &endpoint, 1000 * MS, false);
    assert!(waits.take_late(2599 * MS).is_empty());
    assert_eq!(waits.take_late(2600 * MS).len(), 1);
    assert!(waits.take_given_up(|_| true).is_empty());
    assert!(waits.remove(not_repeatable).is_some());
}
