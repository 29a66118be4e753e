//! Calls for the list, settings at run time, and determinism.

use elderstage::*;

use crate::harness::*;

#[test]
fn a_failed_call_for_the_list_is_repeated() {
    let mut settings = example_settings();
    settings.discovery = Discovery::Asked;
    let mut harness = Harness { router: Router::new(settings, 5), now: 1_000, actions: Vec::new() };
    assert_eq!(harness.update_list(ListMode::Restored, Vec::new()), [Action::Subscribe]);
    assert_eq!(harness.update_list(ListMode::Failed, Vec::new()), []);
    assert!(harness.advance(5_000 * MS).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(&["r1", "r2", "r3", "w1", "w2", "m1"]);
        let mut all = Vec::new();
        for id in 0..20 {
            all.extend(harness.arrive(id, 700.0 + f64::from(id)));
            harness.now += 30 * MS;
        }
        all.extend(harness.advance(7_000 * MS));
        all
    };
    assert_eq!(run(), run());
}

/// New values for the same classes and kinds apply while requests are open.
#[test]
fn settings_can_change_while_requests_are_open() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.learn_latencies();
    assert_eq!(sent_to(&harness.arrive(1, 800.0)).as_deref(), Some("r1"));
    harness.router.update_settings(Settings {
        writers_may_read: false,
        max_attempts: 1,
        roles: vec![Role::Decode; 3],
        ..example_settings()
    });
    let actions = harness.end_attempt(1, 0, "r1", Outcome::Full, 0);
    assert_eq!((sent_to(&actions), final_answers(&actions, 1)), (None, 1), "no more attempts: {actions:?}");
    assert_eq!(sent_to(&harness.arrive(2, 800.0)), None, "no server reads any more");
}
