//! Servers that fail, hang or drain, and time-outs.

use elderstage::*;

use crate::harness::*;

#[test]
fn draining_and_missing_servers_get_no_new_attempts() {
    for mode in [ListMode::Changes, ListMode::Full] {
        let mut harness = Harness::new(&["r1", "r2", "w1"]);
        let entries = if mode == ListMode::Changes {
            vec![entry("r1", ServerStatus::Draining, 0)]
        } else {
            vec![entry("r2", ServerStatus::Running, 0), entry("w1", ServerStatus::Running, 0)]
        };
        harness.update_list(mode, entries);
        for id in 1..6 {
            assert_ne!(sent_to(&harness.arrive(id, 500.0)).as_deref(), Some("r1"), "{mode:?}");
        }
    }
}

// ---- Health ----

#[test]
fn a_hung_reader_gets_no_more_attempts_after_its_time_outs() {
    let mut harness = Harness::new(&["r1", "r2", "w1"]);
    harness.learn_latencies();
    let (mut to_hanging, mut hanging) = (0, String::new());
    for id in 1..40 {
        let Some(reader) = sent_to(&harness.arrive(id, 1_000.0)).filter(|to| to.starts_with('r')) else {
            continue;
        };
        harness.now += 100 * MS;
        if hanging.is_empty() {
            hanging = reader.clone();
        }
        let mut actions = if reader == hanging {
            to_hanging += 1;
            harness.now += 500 * MS;
            harness.end_attempt(id, 0, &reader, Outcome::TimedOut, 0)
        } else {
            harness.end_attempt(id, 0, &reader, Outcome::Read, 0)
        };
        let mut attempt = 1;
        while let Some(at) = sent_to(&actions).filter(|at| at.starts_with('r')) {
            harness.now += 100 * MS;
            actions = harness.end_attempt(id, attempt, &at, Outcome::Read, 0);
            attempt += 1;
        }
        harness.handle(Event::ClientGone { id: RequestId(id) });
        harness.end_attempt(id, attempt, "w1", Outcome::Cancelled, 0);
    }
    assert!((1..=5).contains(&to_hanging), "{to_hanging} of 39 went to the hanging reader");
}

#[test]
fn a_suspect_gets_one_trial_at_a_time() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.arrive(1, 1_000.0);
    assert_eq!(sent_to(&harness.end_attempt(1, 0, "r1", Outcome::Error, 0)).as_deref(), Some("w1"));
    harness.end_attempt(1, 1, "w1", Outcome::Served, 0);
    harness.now += 2_000 * MS;
    assert_eq!(sent_to(&harness.arrive(2, 1_000.0)).as_deref(), Some("r1"), "the trial");
    assert_ne!(
        sent_to(&harness.arrive(3, 1_000.0)).as_deref(),
        Some("r1"),
        "no second attempt during the trial"
    );
}

#[test]
fn a_server_that_fails_one_class_still_serves_the_other() {
    let mut settings = example_settings();
    settings.classes.push(settings.classes[0].clone());
    let mut harness = Harness::with(settings, &["r1", "r2", "w1", "w2"]);
    let of_class = |id, class| Event::Arrived(Arrival { class, ..arrival(id, 1_000.0) });
    // Both readers answer class 1; then one of them times out for class 0.
    for id in 0..8 {
        let at = sent_to(&harness.handle(of_class(id, 1))).unwrap();
        harness.now += 50 * MS;
        harness.end_attempt(id, 0, &at, Outcome::Read, 0);
        harness.handle(Event::ClientGone { id: RequestId(id) });
        for writer in ["w1", "w2"] {
            harness.end_attempt(id, 1, writer, Outcome::Cancelled, 0);
        }
    }
    let failing = sent_to(&harness.handle(of_class(20, 0))).unwrap();
    harness.now += 600 * MS;
    harness.end_attempt(20, 0, &failing, Outcome::TimedOut, 0);
    harness.handle(Event::ClientGone { id: RequestId(20) });
    for at in ["r1", "r2"] {
        harness.end_attempt(20, 1, at, Outcome::Cancelled, 0);
    }
    let other = sent_to(&harness.handle(of_class(21, 0))).unwrap();
    assert_ne!(other, failing, "class 0 avoids the failing reader");
    harness.handle(Event::ClientGone { id: RequestId(21) });
    harness.end_attempt(21, 0, &other, Outcome::Cancelled, 0);
    // An answer to class 1 after the failure clears the server for that class only.
    let again = (30..60).any(|id| {
        harness.now += 700 * MS;
        let at = sent_to(&harness.handle(of_class(id, 1))).unwrap();
        harness.end_attempt(id, 0, &at, Outcome::Read, 0);
        harness.handle(Event::ClientGone { id: RequestId(id) });
        for writer in ["w1", "w2"] {
            harness.end_attempt(id, 1, writer, Outcome::Cancelled, 0);
        }
        at == failing
    });
    assert!(again);
}

/// Latencies were recorded for answers only: where all servers were slow, time-outs stayed short, and each
/// one added another attempt.
#[test]
fn time_outs_raise_latency_predictions() {
    let mut harness = Harness::new(&["r1", "r2", "w1"]);
    harness.learn_latencies();
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let before = timeout(&harness.arrive(1, 1_000.0)).unwrap();
    harness.handle(Event::ClientGone { id: RequestId(1) });
    for at in ["r1", "r2"] {
        harness.end_attempt(1, 0, at, Outcome::Cancelled, 0);
    }
    for id in 10..12 {
        let reader = sent_to(&harness.arrive(id, 1_000.0)).unwrap();
        harness.now += 900 * MS;
        harness.handle(Event::ClientGone { id: RequestId(id) });
        harness.end_attempt(id, 0, &reader, Outcome::TimedOut, 0);
        harness.now += 9_000 * MS;
    }
    let after = timeout(&harness.arrive(20, 1_000.0)).unwrap();
    assert!(after > before, "{before} {after}");
}

/// Connection resets in the network are no fault of a server. It stays in use after one broken connection,
/// but not after a second one without an answer in between.
#[test]
fn one_broken_connection_suspends_no_server() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.learn_latencies();
    let broken = |harness: &mut Harness, id: u32| {
        assert_eq!(sent_to(&harness.arrive(id, 800.0)).as_deref(), Some("r1"), "request {id}");
        harness.now += MS;
        sent_to(&harness.end_attempt(id, 0, "r1", Outcome::Broken, 0))
    };
    for id in 1..=5 {
        assert_eq!(broken(&mut harness, id).as_deref(), Some("r1"), "retried at once");
        harness.now += 80 * MS;
        sent_to(&harness.end_attempt(id, 1, "r1", Outcome::Read, 0)).unwrap();
        harness.first_token(id, 2, "w1");
        harness.end_attempt(id, 2, "w1", Outcome::Served, 0);
    }
    assert_eq!(broken(&mut harness, 6).as_deref(), Some("r1"));
    let next = sent_to(&harness.end_attempt(6, 1, "r1", Outcome::Broken, 0));
    assert_ne!(next.as_deref(), Some("r1"), "a reader with two broken connections in a row is a suspect");
}

/// A read at a crowded reader timed out at half of its TTFT target and was started again at the next one,
/// while the first reader still worked on it.
#[test]
fn a_front_with_sparse_traffic_waits_for_a_read_past_its_ttft_target() {
    let timeout = |harness: &mut Harness| {
        let actions = harness.arrive_with_texts(1, "one".into(), None, 1_000.0);
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None })
    };
    let (mut harness, names) = sparse_front(0);
    names.iter().for_each(|name| drop(harness.report_load(name, 0.1, 0.0)));
    let aim = example_settings().classes[0].ttft_target;
    assert!(timeout(&mut harness).unwrap() >= aim);
    let mut busy = Harness::new(&["r1", "r2", "w1"]);
    busy.learn_latencies();
    assert!(timeout(&mut busy).unwrap() < aim, "a front with frequent answers does not wait for a slow read");
}
