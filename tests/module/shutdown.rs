//! What a front that shuts down still sends, and which streams it ends.

use elderstage::*;

use crate::harness::*;

/// A front that shuts down moves the streams that it would cut, one after the other, and leaves alone those
/// that end by themselves.
#[test]
fn a_front_that_shuts_down_moves_the_streams_it_would_cut() {
    for resume in [true, false] {
        let mut harness =
            Harness::with(Settings { may_resume: resume, ..example_settings() }, &["r1", "w1", "w2"]);
        for id in 1..=8 {
            // Tokens times the TPOT target of 60 ms: about 6 s and about 300 ms at the nominal pace.
            let hint = if id <= 6 { 10_000 * MS } else { 500 * MS };
            let reader = sent_to(
                &harness.handle(Event::Arrived(Arrival { output_time_hint: hint, ..arrival(id, 800.0) })),
            )
            .unwrap();
            harness.now += 10 * MS;
            let writer = sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)).unwrap();
            harness.first_token(id, 1, &writer);
        }
        let within = 2_000 * MS;
        assert_eq!(
            harness.handle(Event::Stopping { within, late_after: 250 * MS }),
            [],
            "streams are not moved all at once"
        );
        let mut moved = Vec::new();
        for step in 1..=100 {
            harness.now += within / 100;
            let actions = harness.handle(Event::Timer { name: 1 });
            assert!(actions.len() <= 1, "more than one action in a step: {actions:?}");
            moved.extend(actions);
            // The short answers end.
            if step == 15 {
                for (id, at) in [(7, "w1"), (8, "w1"), (7, "w2"), (8, "w2")] {
                    harness.end_attempt(id, 1, at, Outcome::Served, 0);
                }
            }
        }
        let mut ids: Vec<u32> = moved
            .iter()
            .map(|action| if let Action::Move { id } = action { id.0 } else { panic!("{action:?}") })
            .collect();
        ids.sort_unstable();
        assert_eq!(
            ids,
            if resume { vec![1, 2, 3, 4, 5, 6] } else { Vec::new() },
            "each stream is moved once"
        );
    }
}

/// A request that arrived during shutdown, with all of its client's time left, was still held or in flight
/// when the platform ended the front: it got no answer.
#[test]
fn a_request_during_shutdown_is_answered_before_the_front_ends() {
    let mut harness = Harness::new(&["r0", "w0"]);
    harness.learn_latencies();
    harness.handle(Event::Stopping { within: 1_500 * MS, late_after: 1_500 * MS });
    harness.advance(500 * MS);
    let request = Arrival { time_left: 6_000 * MS, ..arrival(1, 1_000.0) };
    let reader = sent_to(&harness.handle(Event::Arrived(request))).unwrap();
    let done = harness.advance(900 * MS);
    harness.now += 50 * MS;
    let done = [done, harness.end_attempt(1, 0, &reader, Outcome::TimedOut, 0)].concat();
    assert_eq!(final_answers(&done, 1), 1, "{done:?}");
}

/// Guards against streams that the kill of their front cuts: where streams cannot be resumed, a request that
/// arrived late in a shutdown went to a server although its stream could not end in time.
#[test]
fn a_late_request_during_shutdown_goes_to_a_server_only_if_its_stream_can_end_or_move() {
    let (within, late_after) = (3_000 * MS, 250 * MS);
    // With a TPOT target of 60 ms: 48 s, and 0.24 s.
    let (long_answer, short_answer) = (800.0, 4.0);
    for (may_resume, is_late, max_output_tokens, is_sent) in [
        (false, true, long_answer, false),
        (false, true, 0.0, false),
        (false, true, short_answer, true),
        (false, false, long_answer, true),
        (true, true, long_answer, true),
    ] {
        let settings = Settings { may_resume, ..example_settings() };
        let mut harness = Harness::with(settings, &["r1", "w1"]);
        harness.handle(Event::Stopping { within, late_after });
        harness.advance(if is_late { late_after } else { late_after / 2 });
        let request = Arrival { time_left: 8_000 * MS, max_output_tokens, ..arrival(1, 800.0) };
        let actions = harness.handle(Event::Arrived(request));
        let case = format!("resume {may_resume}, late {is_late}, {max_output_tokens} tokens: {actions:?}");
        assert_eq!(sent_to(&actions).is_some(), is_sent, "{case}");
        let is_refused = actions.iter().any(|action| matches!(action, Action::Refuse { .. }));
        assert_eq!(is_refused, !is_sent, "{case}");
    }
}

/// Guards against streams that the kill of their front cuts: a request whose first token came too late for its
/// stream to end, and a stream at a writer that hangs, were still under way. Streams that can be resumed and
/// were left at the end were moved one by one, too slowly for many.
#[test]
fn no_late_request_is_under_way_after_the_end_of_a_shutdown() {
    // The platform kills the node 150 ms after the end.
    let (within, late_after) = (3_000 * MS, 250 * MS);
    for may_resume in [true, false] {
        let settings = Settings { may_resume, ..example_settings() };
        let mut harness = Harness::with(settings, &["r1", "w1"]);
        harness.handle(Event::Stopping { within, late_after });
        harness.advance(late_after);
        let end = harness.now + within - late_after;
        let mut streaming = 0;
        for id in 1..=20 {
            let request = Arrival { time_left: 8_000 * MS, max_output_tokens: 4.0, ..arrival(id, 100.0) };
            let Some(reader) = sent_to(&harness.handle(Event::Arrived(request))) else { continue };
            harness.now += MS;
            let Some(writer) = sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)) else {
                continue;
            };
            harness.first_token(id, 1, &writer);
            streaming += 1;
        }
        assert!(streaming > 5, "{streaming} streams");
        let mut actions = harness.advance(end - harness.now);
        actions.extend(harness.advance(75 * MS));
        let ended = actions.iter().filter(|action| matches!(action, Action::Move { .. })).count();
        assert_eq!(ended, streaming, "resume {may_resume}: {actions:?}");
    }
}
