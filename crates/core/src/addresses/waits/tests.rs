use super::*;

const MS: Time = 1_000;

#[test]
fn a_wait_is_late_once_by_what_is_usual_at_its_server() {
    let mut waits = Waits::default();
    let (server, place) = (ServerId("s".into()), Place::Unix("/s".into()));
    let one = waits.begin(&server, &place, 0, true);
    assert!(waits.late(LEAST - 1).is_empty());
    assert_eq!(waits.late(LEAST).len(), 1);
    assert!(waits.late(LEAST).is_empty());
    assert!(waits.give_up(|_| false).is_empty());
    assert_eq!(waits.give_up(|_| true), [one]);
    assert!(waits.give_up(|_| true).is_empty(), "said once");
    assert!(waits.answered(one, 400 * MS).is_some_and(|wait| wait.late) && waits.ended(one).is_none());
    // A server that usually takes 400 ms is late after 1.6 s, and what must not run twice is never given up.
    let two = waits.begin(&server, &place, 1000 * MS, false);
    assert!(waits.late(2599 * MS).is_empty());
    assert_eq!(waits.late(2600 * MS).len(), 1);
    assert!(waits.give_up(|_| true).is_empty());
    assert!(waits.ended(two).is_some());
}
