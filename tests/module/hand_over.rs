//! Which writer fetches a KV state after a read.

use elderstage::*;

use crate::harness::*;

// ---- Choice of the writer ----

#[test]
fn the_writer_is_chosen_after_the_read_by_fewest_outstanding_tokens() {
    let mut harness = Harness::new(&["r1", "w1a", "w1b"]);
    let reader = sent_to(&harness.arrive(1, 4_000.0)).unwrap();
    let one = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
    harness.first_token(1, 1, &one);
    harness.arrive(2, 1_000.0);
    let two = sent_to(&harness.end_attempt(2, 0, &reader, Outcome::Read, 0)).unwrap();
    assert_ne!(one, two);
    harness.first_token(2, 1, &two);
    harness.arrive(3, 1_000.0);
    assert_eq!(
        sent_to(&harness.end_attempt(3, 0, &reader, Outcome::Read, 0)),
        Some(two),
        "that writer has 1,000 outstanding tokens, not 4,000"
    );
}

#[test]
fn a_kv_state_stays_in_its_cell_if_the_load_is_equal() {
    let mut harness = Harness::new(&["r2", "w1", "w2"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    assert_eq!(sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).as_deref(), Some("w2"));
}

#[test]
fn a_writer_that_fails_before_the_fetch_is_replaced_by_another() {
    let mut harness = Harness::new(&["r1", "w1a", "w1b"]);
    let reader = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let one = sent_to(&harness.end_attempt(1, 0, &reader, Outcome::Read, 0)).unwrap();
    let two = sent_to(&harness.end_attempt(1, 1, &one, Outcome::NoConnection, 0)).unwrap();
    assert!(two.starts_with('w') && two != one, "{one} {two}");
}

#[test]
fn a_writer_that_reports_a_queue_counts_as_full() {
    let mut settings = example_settings();
    (settings.report_fields, settings.may_probe) =
        (vec![ReportField::MemoryShare, ReportField::PendingThousands], true);
    let mut harness = Harness::with(settings, &["r1", "w1"]);
    let mut report = |load: Vec<f64>, id| {
        let outcome = Outcome::Served;
        harness.handle(Event::Probed { server: server("w1"), outcome, took: 0, load: Some(load) });
        let idle = Event::Probed { server: server("r1"), outcome, took: 0, load: Some(vec![0.0, 0.0]) };
        harness.handle(idle);
        let sent = sent_to(&harness.arrive(id, 1_000.0));
        harness.handle(Event::ClientGone { id: RequestId(id) });
        sent
    };
    assert_eq!(report(vec![0.5, 20.0], 1), None);
    assert_eq!(report(vec![0.5, 0.0], 2).as_deref(), Some("r1"));
}

#[test]
fn an_answer_far_longer_than_its_hint_does_not_exclude_empty_writers() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.handle(Event::Arrived(Arrival { output_time_hint: 60 * MS, ..arrival(1, 1_000.0) }));
    harness.end_attempt(1, 0, "r1", Outcome::Read, 0);
    harness.first_token(1, 1, "w1");
    harness.now += 2_000 * MS;
    harness.end_attempt(1, 1, "w1", Outcome::Served, 0);
    assert_eq!(sent_to(&harness.arrive(2, 1_000.0)).as_deref(), Some("r1"));
}

#[test]
fn timed_out_remote_fetches_keep_the_next_kv_state_local() {
    let settings = example_settings();
    let mut harness = Harness::with(settings, &["r1", "w2a", "w2b"]);
    for id in 0..4 {
        harness.arrive(id, 1_000.0);
        let far = sent_to(&harness.end_attempt(id, 0, "r1", Outcome::Read, 0)).unwrap();
        harness.now += 2_000 * MS;
        harness.end_attempt(id, 1, &far, Outcome::TimedOut, 0);
        harness.handle(Event::ClientGone { id: RequestId(id) });
        for at in ["w2a", "w2b"] {
            harness.end_attempt(id, 2, at, Outcome::Cancelled, 0);
        }
        harness.now += 20_000 * MS;
    }
    // The local writer holds many tokens. Without the congested link the empty remote writer, which failed
    // nothing, would be chosen.
    let new_entries = ["w1", "w3"].map(|name| entry(name, ServerStatus::Running, 0));
    harness.update_list(ListMode::Changes, vec![new_entries[0].clone()]);
    harness.arrive(50, 80_000.0);
    assert_eq!(sent_to(&harness.end_attempt(50, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w1"));
    harness.first_token(50, 1, "w1");
    harness.update_list(ListMode::Changes, vec![new_entries[1].clone()]);
    harness.arrive(51, 1_000.0);
    assert_eq!(sent_to(&harness.end_attempt(51, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w1"));
}

#[test]
fn sixty_new_fronts_do_not_all_choose_the_same_writer() {
    let mut taken = std::collections::BTreeMap::new();
    for seed in 0..60u64 {
        let settings = Settings { front_count: 60, ..example_settings() };
        let mut harness = Harness {
            router: Router::new(settings, seed * 977 + 3),
            now: 1_000_000_000,
            actions: Vec::new(),
        };
        let names = ["r1", "w1a", "w1b", "w1c", "w1d"].map(|name| entry(name, ServerStatus::Running, 0));
        harness.update_list(ListMode::Restored, names.to_vec());
        harness.arrive(1, 1_000.0);
        let writer = sent_to(&harness.end_attempt(1, 0, "r1", Outcome::Read, 0)).unwrap();
        *taken.entry(writer).or_insert(0) += 1;
    }
    assert!(taken.len() == 4 && taken.values().all(|n| *n <= 30), "{taken:?}");
}

#[test]
fn a_kv_state_that_waits_for_its_link_keeps_the_next_one_local() {
    let mut harness = Harness::new(&["r1", "w2"]);
    harness.arrive(1, 1_000.0);
    assert_eq!(sent_to(&harness.end_attempt(1, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w2"));
    harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Running, 0)]);
    harness.arrive(2, 80_000.0);
    assert_eq!(sent_to(&harness.end_attempt(2, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w1"));
    harness.first_token(2, 1, "w1");
    harness.update_list(ListMode::Changes, vec![entry("w3", ServerStatus::Running, 0)]);
    // The first KV state has waited longer than the TTFT target of the next request; the empty w3 is behind
    // the same link.
    harness.now += 1_500 * MS;
    harness.arrive(3, 1_000.0);
    assert_eq!(sent_to(&harness.end_attempt(3, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w1"));
}

/// Fronts with nothing in flight assumed that unknown writers were empty, and sent KV states over the links
/// to them.
#[test]
fn a_writer_without_a_report_is_not_assumed_empty() {
    let mut harness = front_of_sixty(0, &["r1", "w1", "w2"]);
    for _ in 0..20 {
        harness.report_load("w1", 0.4, 0.0);
    }
    harness.report_load("r1", 0.0, 0.0);
    assert_eq!(sent_to(&harness.arrive(1, 1_000.0)).as_deref(), Some("r1"));
    assert_eq!(sent_to(&harness.end_attempt(1, 0, "r1", Outcome::Read, 0)).as_deref(), Some("w1"));
}
