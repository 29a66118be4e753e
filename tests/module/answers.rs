//! Final answers, and which requests may be sent again.

use elderstage::*;

use crate::harness::*;

#[test]
fn a_request_without_a_server_is_refused_once_before_its_deadline_with_retry_advice() {
    let mut harness = Harness::new(&["r1"]);
    assert_eq!(harness.arrive(1, 1_000.0), []);
    let done = harness.advance(5_900 * MS);
    assert_eq!(final_answers(&done, 1), 1, "{done:?}");
    assert!(
        matches!(done[0], Action::Refuse { retry_after, .. } if retry_after > 0 && retry_after <= 500 * MS)
    );
    let waited = harness.advance(1_000 * MS);
    assert_eq!(waited, []);
}

// ---- The five rules ----

#[test]
fn one_final_answer_for_a_request_that_times_out_at_its_deadline() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    harness.now += 6_000 * MS;
    let done = harness.end_attempt(1, 0, &reader, Outcome::TimedOut, 0);
    assert_eq!((final_answers(&done, 1), sent_to(&done)), (1, None));
    assert_eq!(final_answers(&harness.advance(500 * MS), 1), 0);
}

#[test]
fn an_outcome_just_before_the_deadline_is_answered_at_once() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    harness.now += 5_980 * MS;
    assert_eq!(final_answers(&harness.end_attempt(1, 0, &reader, Outcome::TimedOut, 0), 1), 1);
}

#[test]
fn a_request_with_hardly_any_time_left_is_answered_on_arrival() {
    let mut harness = Harness::new(&["r1"]);
    let request = Arrival { time_left: 25 * MS, ..arrival(1, 1_000.0) };
    assert_eq!(final_answers(&harness.handle(Event::Arrived(request)), 1), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    for (outcome, fails) in
        [(Outcome::Error, true), (Outcome::Broken, true), (Outcome::TimedOut, true), (Outcome::Full, false)]
    {
        let mut harness = Harness::with(settings_with_repeat(RepeatPolicy::Unsafe), &["r1", "w1a", "w1b"]);
        let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
        let writer = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
        let done = harness.end_attempt(1, 1, &writer, outcome, 0);
        assert_eq!(done.contains(&Action::Fail { id: RequestId(1) }), fails, "{outcome:?} {done:?}");
        assert_eq!(sent_to(&done).is_none(), fails, "{outcome:?} {done:?}");
        assert_eq!(done.contains(&Action::Release { id: RequestId(1) }), fails, "{outcome:?} {done:?}");
    }
}

#[test]
fn an_unsafe_request_is_sent_to_a_writer_with_its_whole_remaining_time() {
    let mut harness = Harness::with(settings_with_repeat(RepeatPolicy::Unsafe), &["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let done = harness.end_attempt(1, 0, &reader, Outcome::Read, 0);
    assert!(
        done.iter().any(|a| matches!(a, Action::Send { timeout, .. } if *timeout == 6_000 * MS)),
        "{done:?}"
    );
}

#[test]
fn a_failed_read_counts_as_no_effect() {
    let mut harness = Harness::with(settings_with_repeat(RepeatPolicy::Unsafe), &["r1", "r2", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    assert!(sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Error, 0)).is_some());
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_group_and_within_the_memory() {
    for (group, second) in
        [(RepeatGroup::All, Some("w2")), (RepeatGroup::Zone, None), (RepeatGroup::Cell, None)]
    {
        let settings = settings_with_repeat(RepeatPolicy::Keyed { group, memory: 3_000 * MS });
        let mut harness = Harness::with(settings.clone(), &["r1", "w1", "w2"]);
        let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
        assert_eq!(sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).as_deref(), Some("w1"));
        harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Draining, 0)]);
        let done = harness.end_attempt(1, 1, "w1", Outcome::Error, 0);
        assert_eq!(sent_to(&done).as_deref(), second, "{group:?}");

        let mut late = Harness::with(settings, &["r1", "w1"]);
        let reader = sent_to(&late.arrive(1, 1_000.0)).unwrap();
        late.end_attempt(1, 0, &reader, Outcome::Read, 0);
        late.now += 2_950 * MS;
        let done = late.end_attempt(1, 1, "w1", Outcome::Error, 0);
        assert_eq!(sent_to(&done), None, "{group:?}: the memory for repeats has nearly expired");
        assert_eq!(final_answers(&done, 1), 1, "{group:?}");
        let refused = done.iter().any(|a| matches!(a, Action::Refuse { .. }));
        assert_eq!(refused, group == RepeatGroup::All, "{group:?} {done:?}");
    }
}

#[test]
fn attempts_are_limited() {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4", "r5", "w1", "m1"]);
    let (mut actions, mut sends) = (harness.arrive(1, 1_000.0), 0);
    while let Some(at) = sent_to(&actions) {
        actions = harness.end_attempt(1, sends, &at, Outcome::Error, 0);
        sends += 1;
        if sent_to(&actions).is_none() && final_answers(&actions, 1) == 0 {
            actions = harness.advance(5_900 * MS);
        }
    }
    assert!(sends <= 4, "{sends} sends");
    assert_eq!(final_answers(&actions, 1), 1);
}
