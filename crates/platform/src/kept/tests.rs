use super::*;

#[test]
fn one_reset_stops_reuse_for_requests_that_must_not_be_lost_until_trials_succeed() {
    let mut kept = ReuseMonitor::default();
    assert!((0..100).all(|_| kept.should_reuse(false)));
    (0..100).for_each(|_| kept.record_reuse(false));
    kept.record_reuse(true);
    assert!(!kept.should_reuse(false), "one reset stops reuse for requests that must not be lost");
    let trials = (0..160).filter(|_| kept.should_reuse(true)).count();
    assert_eq!(trials, 10, "one harmless request in sixteen is a trial");
    (0..200).for_each(|_| kept.record_reuse(false));
    assert!(kept.should_reuse(false), "successful trials restore reuse");
}

#[test]
fn connections_that_always_break_are_rarely_reused() {
    let mut kept = ReuseMonitor::default();
    let mut reuses = 0;
    for _ in 0..1_600 {
        if kept.should_reuse(true) {
            reuses += 1;
            kept.record_reuse(true);
        }
    }
    assert!(reuses <= 102, "{reuses} reuses");
}
