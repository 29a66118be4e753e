//! When KV states are released.

use elderstage::*;

use crate::harness::*;

#[test]
fn a_missing_kv_state_is_released_and_the_prompt_read_again() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    harness.end_attempt(1, 0, &reader, Outcome::Read, 0);
    let done = harness.end_attempt(1, 1, "w1", Outcome::Full, 1);
    assert!(done.contains(&Action::Release { id: RequestId(1) }), "{done:?}");
    assert_eq!(sent_to(&done).as_deref(), Some("r1"));
}

/// Failed connections do not restart the release clock: the KV state is released when its time is up, before
/// a third writer is tried. Guards against a partitioned zone, where each attempt takes a whole connection
/// time-out.
#[test]
fn a_kv_state_is_released_after_repeated_connection_failures() {
    let mut harness = Harness::new(&["r1", "w1a", "w1b", "w1c", "w1d"]);
    let settings = example_settings();
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    harness.now += 100 * MS;
    let read = harness.now;
    let mut writer = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
    let mut released = None;
    for attempt in 1..3 {
        harness.now += settings.connect_timeout;
        let done = harness.end_attempt(1, attempt, &writer, Outcome::NoConnection, 0);
        let release = done.iter().position(|action| *action == Action::Release { id: RequestId(1) });
        let send = done.iter().position(|action| matches!(action, Action::Send { .. }));
        released = released.or(release.map(|_| harness.now));
        assert!(release.is_none_or(|at| send.is_none_or(|send| at < send)), "{done:?}");
        let Some(next) = sent_to(&done) else { break };
        writer = next;
    }
    let waited = released.expect("the KV state is released") - read;
    assert!(waited <= 2 * settings.connect_timeout && waited > settings.release_time_limit, "{waited} us");
    // An attempt that reached its server restarts the release clock.
    let mut harness = Harness::new(&["r1", "w1a", "w1b", "w1c"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let writer = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
    harness.now += settings.release_time_limit + MS;
    let done = harness.end_attempt(1, 1, &writer, Outcome::Full, 0);
    assert!(sent_to(&done).is_some() && !done.contains(&Action::Release { id: RequestId(1) }), "{done:?}");
}

#[test]
fn a_kv_state_that_no_writer_takes_is_released_in_time() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Draining, 0)]);
    assert_eq!(sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)), None);
    let done = harness.advance(280 * MS);
    assert!(done.contains(&Action::Release { id: RequestId(1) }), "{done:?}");
}

#[test]
fn a_kv_state_is_released_if_the_client_disconnected_during_the_read() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let done = harness.handle(Event::ClientGone { id: RequestId(1) });
    assert!(done.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }), "{done:?}");
    let done = harness.end_attempt(1, 0, &reader, Outcome::Read, 0);
    assert_eq!(done, [Action::Release { id: RequestId(1) }]);
}

/// A read that ends without a clear outcome may have left its KV state at the reader: it is released before
/// anything else.
#[test]
fn a_read_with_unclear_outcome_is_released() {
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Cancelled, Outcome::Error] {
        let mut harness = Harness::new(&["r1", "r2", "w1"]);
        let reader = sent_to(&harness.arrive(1, 800.0)).unwrap();
        let actions = harness.end_attempt(1, 0, &reader, outcome, 0);
        assert_eq!(actions.first(), Some(&Action::Release { id: RequestId(1) }), "{outcome:?}");
    }
}

/// An attempt that was written may never have arrived: the release clock runs until the stream begins.
#[test]
fn a_kv_state_is_released_although_an_attempt_is_in_flight() {
    let mut harness = Harness::new(&["r1", "w1", "w2"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    assert!(sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).is_some());
    let done = harness.advance(400 * MS);
    assert_eq!(done, [Action::Release { id: RequestId(1) }], "released once, and the attempt continues");
}

/// A timed-out attempt may never have arrived, and then it did not stop the clock: the time counts from the
/// read.
#[test]
fn a_timed_out_attempt_does_not_restart_the_release_clock_of_a_kv_state() {
    let mut harness = Harness::new(&["r1", "w1", "w2"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let first = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
    harness.now += 150 * MS;
    assert!(sent_to(&harness.end_attempt(1, 1, &first, Outcome::TimedOut, 0)).is_some());
    let done = harness.advance(140 * MS);
    assert_eq!(done, [Action::Release { id: RequestId(1) }]);
}
