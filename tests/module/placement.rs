//! Where prompts are read: rules 1 to 3, held requests, sessions and shared prefixes.

use elderstage::*;

use crate::harness::*;

// ---- Rules of placement and their order ----

#[test]
fn rule_1_prefers_an_idle_reader() {
    let mut harness = Harness::new(&["r1", "r2", "w1"]);
    harness.learn_latencies();
    let one = sent_to(&harness.arrive(1, 1_000.0)).unwrap();
    let two = sent_to(&harness.arrive(2, 1_000.0)).unwrap();
    assert!(one.starts_with('r') && two.starts_with('r') && one != two, "{one} {two}");
}

#[test]
fn rule_2_uses_a_reading_reader_with_nothing_waiting_that_will_be_in_time() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.learn_latencies();
    assert_eq!(sent_to(&harness.arrive(1, 2_000.0)).as_deref(), Some("r1"));
    assert_eq!(sent_to(&harness.arrive(2, 2_000.0)).as_deref(), Some("r1"));
    // One read runs and one waits: the third request does not go there.
    assert_ne!(sent_to(&harness.arrive(3, 2_000.0)).as_deref(), Some("r1"));
}

#[test]
fn rule_2_skips_a_reader_that_would_be_late() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.learn_latencies();
    assert_eq!(sent_to(&harness.arrive(1, 9_000.0)).as_deref(), Some("r1"));
    assert_ne!(sent_to(&harness.arrive(2, 9_000.0)).as_deref(), Some("r1"));
}

#[test]
fn rule_2_skips_a_reader_whose_predicted_end_has_passed() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.learn_latencies();
    harness.arrive(1, 1_000.0);
    harness.now += 150 * MS;
    assert_ne!(sent_to(&harness.arrive(2, 1_000.0)).as_deref(), Some("r1"));
}

#[test]
fn rule_3_uses_a_writer_only_if_its_streams_have_slack() {
    let mut harness = Harness::new(&["w1"]);
    assert_eq!(sent_to(&harness.arrive(1, 1_000.0)).as_deref(), Some("w1"));
    harness.now += 300 * MS;
    harness.first_token(1, 0, "w1");
    harness.now += 10 * MS;
    assert_eq!(sent_to(&harness.arrive(2, 1_000.0)), None, "a stream that has just begun has no slack");
    harness.handle(Event::ClientGone { id: RequestId(2) });
    harness.now += 4_000 * MS;
    assert_eq!(sent_to(&harness.arrive(3, 1_000.0)).as_deref(), Some("w1"));
}

#[test]
fn rule_3_needs_a_mixed_server_if_writers_cannot_read() {
    let mut settings = example_settings();
    settings.writers_may_read = false;
    assert_eq!(sent_to(&Harness::with(settings.clone(), &["w1"]).arrive(1, 1_000.0)), None);
    assert_eq!(sent_to(&Harness::with(settings, &["m1", "w1"]).arrive(1, 1_000.0)).as_deref(), Some("m1"));
}

#[test]
fn no_read_starts_while_every_writer_is_above_its_memory_limit() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let reader = sent_to(&harness.arrive(1, 95_000.0)).unwrap();
    harness.end_attempt(1, 0, &reader, Outcome::Read, 0);
    harness.first_token(1, 1, "w1");
    assert_eq!(sent_to(&harness.arrive(2, 1_000.0)), None);
    let done = harness.end_attempt(1, 1, "w1", Outcome::Served, 0);
    assert_eq!(sent_to(&done).as_deref(), Some("r1"), "free memory at the writer releases the held request");
}

#[test]
fn a_request_is_held_for_less_than_its_ttft_target() {
    let mut harness = Harness::new(&["r1"]);
    harness.arrive(1, 1_000.0);
    assert_eq!(final_answers(&harness.advance(300 * MS), 1), 0);
    assert_eq!(final_answers(&harness.advance(500 * MS), 1), 1);
}

#[test]
fn held_requests_with_fewer_uncached_tokens_go_first() {
    let mut harness = Harness::new(&["r1", "w1"]);
    let of_session =
        |id, session: &str| Arrival { session: Some(TextKey(session.into())), ..arrival(id, 4_000.0) };
    harness.handle(Event::Arrived(of_session(1, "known")));
    harness.end_attempt(1, 0, "r1", Outcome::Read, 0);
    harness.end_attempt(1, 1, "w1", Outcome::Served, 0);
    harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Draining, 0)]);
    assert_eq!(sent_to(&harness.handle(Event::Arrived(of_session(2, "new")))), None);
    assert_eq!(sent_to(&harness.handle(Event::Arrived(of_session(3, "known")))), None);
    let done = harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Running, 0)]);
    assert!(matches!(&done[0], Action::Send { id: RequestId(3), .. }), "{done:?}");
}

#[test]
fn reads_are_distributed_by_the_writers_of_each_cell() {
    let reads = (0..200).filter(|id| {
        let mut harness = Harness::new(&["r1", "r2", "w1a", "w1b", "w1c", "w1d", "w2"]);
        sent_to(&harness.arrive(*id, 1_000.0)).as_deref() == Some("r1")
    });
    // Four of five writers are in that cell: its share is proportional to the square root, two of three.
    assert!((115..=155).contains(&reads.count()));
}

#[test]
fn a_reader_that_reports_waiting_work_is_skipped_for_an_idle_one() {
    let mut settings = example_settings();
    (settings.report_fields, settings.may_probe) = (vec![ReportField::PendingThousands], true);
    settings.front_count = 100;
    let mut harness = Harness::with(settings, &["r1a", "r1b", "w1"]);
    harness.arrive(1, 1_000.0);
    let probed_server = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Probe { server } => Some(server.clone()),
            _ => None,
        })
    };
    let first = probed_server(&harness.actions).expect("the first reader is probed");
    let load = |server: ServerId, thousands: f64| Event::Probed {
        server,
        outcome: Outcome::Served,
        took: 0,
        load: Some(vec![thousands]),
    };
    assert_eq!(sent_to(&harness.handle(load(first.clone(), 50.0))), None);
    let second = probed_server(&harness.actions).expect("then the other reader is probed");
    assert_ne!(first, second);
    assert_eq!(sent_to(&harness.handle(load(second.clone(), 0.0))), Some(second.0.to_string()));
}

/// All fronts see the same old report: they must not all choose the one reader that it shows as idle.
#[test]
fn sixty_fronts_do_not_all_choose_the_reader_that_reports_idle() {
    let names = ["r1a", "r1b", "r1c", "w1"];
    let mut taken = std::collections::BTreeMap::new();
    for me in 0..60 {
        let mut harness = front_of_sixty(me, &names);
        for id in 0..3 {
            names.iter().for_each(|name| drop(harness.report_load(name, 0.1, 0.0)));
            let reader = sent_to(&harness.arrive(id, 1_000.0 * f64::from(id + 1))).unwrap();
            harness.now += 100 * MS * Time::from(id + 1);
            let writer = sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)).unwrap();
            harness.first_token(id, 1, &writer);
            harness.end_attempt(id, 1, &writer, Outcome::Served, 0);
            harness.now += 400 * MS;
        }
        for (name, thousands) in [("r1a", 0.0), ("r1b", 3.0), ("r1c", 3.0), ("w1", 0.0)] {
            harness.report_load(name, 0.1, thousands);
        }
        let reader = sent_to(&harness.arrive_with_texts(9, format!("s{me}"), None, 1_000.0)).unwrap();
        *taken.entry(reader).or_insert(0) += 1;
    }
    assert!(taken.len() == 3 && taken.values().all(|n| *n <= 35), "{taken:?}");
}

/// Each text was cached at every reader. Where memory is too small for that, no text is found again.
#[test]
fn a_shared_prefix_is_read_at_a_few_readers_and_other_sessions_use_all() {
    let mut names: Vec<String> = (0..24).map(|n| format!("r1{n}")).collect();
    names.push("w1".to_string());
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let readers = |prefix: Option<&str>| {
        let reader_of_front = |n: u32| {
            let mut harness = front_of_sixty(n, &names);
            names.iter().for_each(|name| drop(harness.report_load(name, 0.1, 0.0)));
            sent_to(&harness.arrive_with_texts(1, format!("s{n}"), prefix, 1_000.0)).unwrap()
        };
        (0..60).map(reader_of_front).collect::<std::collections::BTreeSet<_>>().len()
    };
    let (shared, own) = (readers(Some("shared")), readers(None));
    assert!((2..=10).contains(&shared) && own >= 16, "shared {shared} own {own}");
}

/// A prefix of which all but the last block was found is still cached, and so are the other texts.
#[test]
fn a_cached_prefix_found_except_its_last_block_is_kept() {
    let mut harness = Harness::new(&["r1", "w1"]);
    harness.arrive_with_texts(1, "known".into(), Some("shared"), 4_000.0);
    harness.end_attempt(1, 0, "r1", Outcome::Read, 0);
    harness.end_attempt(1, 1, "w1", Outcome::Served, 0);
    harness.now += 100 * MS;
    harness.arrive_with_texts(2, "next".into(), Some("shared"), 4_000.0);
    harness.end_attempt(2, 0, "r1", Outcome::Read, 3_100);
    harness.end_attempt(2, 1, "w1", Outcome::Served, 0);
    harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Draining, 0)]);
    let text = |id, session: &str| Arrival { session: Some(TextKey(session.into())), ..arrival(id, 4_000.0) };
    harness.handle(Event::Arrived(text(3, "new")));
    harness.handle(Event::Arrived(text(4, "known")));
    let done = harness.update_list(ListMode::Changes, vec![entry("w1", ServerStatus::Running, 0)]);
    assert!(matches!(&done[0], Action::Send { id: RequestId(4), .. }), "{done:?}");
}

/// Each front sent its own first combined attempt to a writer: sixty at once overloaded it.
#[test]
fn sixty_fronts_take_turns_with_combined_attempts_at_a_writer() {
    let sent = |slot: u64| {
        let sends_attempt = |me: &u32| {
            let mut harness = front_of_sixty(*me, &["r1", "w1"]);
            harness.now += slot * 5_000 * MS;
            harness.report_load("r1", 0.1, 900.0);
            harness.report_load("w1", 0.1, 0.0);
            sent_to(&harness.arrive(1, 1_000.0)).is_some()
        };
        (0..60).filter(sends_attempt).count()
    };
    let sent: Vec<usize> = (0..20).map(sent).collect();
    assert!(sent.iter().all(|n| *n <= 12) && sent.iter().sum::<usize>() >= 10, "{sent:?}");
}

/// A late request is worth little: it leaves nearly full servers to requests that can still be in time.
#[test]
fn late_requests_use_only_free_capacity() {
    for (late, memory, is_expected) in [(false, 0.8, true), (true, 0.8, false), (true, 0.3, true)] {
        let mut harness = front_of_sixty(0, &["r1", "w1"]);
        harness.report_load("r1", 0.1, 0.0);
        harness.report_load("w1", 0.1, 0.0);
        assert_eq!(sent_to(&harness.arrive(1, 1_000.0)).as_deref(), Some("r1"));
        harness.now += if late { 1_500 } else { 100 } * MS;
        harness.report_load("w1", memory, 0.0);
        let sent = sent_to(&harness.end_attempt(1, 0, "r1", Outcome::Read, 0));
        assert_eq!(sent.is_some(), is_expected, "late {late} memory {memory}");
    }
}

/// Reports lag: with many fronts, a predicted end just inside the TTFT target is too late.
#[test]
fn with_many_fronts_a_read_leaves_time_for_unreported_reads() {
    let mut harness = front_of_sixty(0, &["r1", "w1"]);
    for id in 0..6 {
        harness.report_load("r1", 0.1, 0.0);
        harness.report_load("w1", 0.1, 0.0);
        let prompt = 1_000.0 + 500.0 * f64::from(id % 3);
        sent_to(&harness.arrive(id, prompt)).unwrap();
        harness.now += (prompt / 10.0) as Time * MS;
        harness.end_attempt(id, 0, "r1", Outcome::Read, 0);
        harness.first_token(id, 1, "w1");
        harness.end_attempt(id, 1, "w1", Outcome::Served, 0);
        harness.now += 500 * MS;
    }
    // A read of 100 ms behind 300 ms of work fits a TTFT target of one second; behind 600 ms it no longer
    // does.
    for (id, thousands, is_expected) in [(11, 3.0, true), (12, 6.0, false)] {
        harness.report_load("r1", 0.1, thousands);
        harness.report_load("w1", 0.9, 0.0);
        harness.report_load("w1", 0.1, 0.0);
        let sent = sent_to(&harness.arrive(id, 1_000.0)).is_some_and(|at| at == "r1");
        assert_eq!(sent, is_expected, "{thousands}");
        harness.handle(Event::ClientGone { id: RequestId(id) });
        for at in ["r1", "w1"] {
            harness.end_attempt(id, 0, at, Outcome::Cancelled, 0);
        }
    }
}

/// The turns of a session arrive at different fronts, and its text is cached at one reader only.
#[test]
fn fronts_with_different_knowledge_of_writers_send_a_session_to_the_same_reader() {
    let names = ["r1", "r2", "w1", "w2"];
    let taken = |session: u32, full: bool| {
        let mut harness = front_of_sixty(session % 60, &names);
        names.iter().for_each(|name| drop(harness.report_load(name, 0.1, 0.0)));
        harness.report_load("w1", if full { 0.95 } else { 0.1 }, 0.0);
        sent_to(&harness.arrive_with_texts(1, format!("s{session}"), None, 1_000.0)).unwrap()
    };
    for session in 0..40 {
        assert_eq!(taken(session, false), taken(session, true), "session {session}");
    }
}

/// A session left its home reader for any reader that reported less work, and its text was read again there:
/// the work of all readers rose threefold and stayed so. Only a home reader that does not answer probes is
/// left.
#[test]
fn a_session_waits_for_its_home_reader_unless_that_is_silent() {
    let (mut harness, names) = sparse_front(7);
    let home = harness.arrive_with_idle_servers(&names, 1, "talk".into()).unwrap();
    harness.serve_after_read(1, &home);
    harness.now += 1_300 * MS;
    names
        .iter()
        .for_each(|name| drop(harness.report_load(name, 0.1, if *name == home { 90.0 } else { 0.0 })));
    let to = sent_to(&harness.arrive_with_texts(2, "talk".into(), None, 1_000.0));
    assert!(to.is_none_or(|to| to.starts_with('w')), "the session went to another reader");
    harness.advance(1_500 * MS);
    harness.arrive_with_texts(3, "talk".into(), None, 1_000.0);
    harness.advance(80 * MS);
    let others = names.iter().filter(|name| **name != home);
    let to = others.filter_map(|name| sent_to(&harness.report_load(name, 0.1, 0.0))).next();
    assert!(to.is_some_and(|to| to.starts_with('r')), "a silent home reader is left");
}

/// From a few reads during congestion, a front with sparse traffic learned that all reads take seconds. It
/// then skipped readers that reported idle and, as it sent nothing, never corrected the prediction.
#[test]
fn an_idle_reader_is_used_even_after_slow_reads() {
    let (mut harness, names) = sparse_front(7);
    for id in 1..4 {
        let reader = harness.arrive_with_idle_servers(&names, id, format!("jam{id}")).unwrap();
        harness.now += 3_000 * MS;
        harness.serve_after_read(id, &reader);
    }
    let to = harness.arrive_with_idle_servers(&names, 9, "after".into());
    assert!(to.is_some_and(|to| to.starts_with('r')));
}
