//! Engines that drain or are removed while attempts and releases are on their way to them.

use crate::bed::{TestBed, host_entry, long_lived_chat};
use crate::peer::{is_complete_stream, next_request_at_any};
use crate::support::*;

/// Guards against requests to a draining engine: the engine begins to drain while an attempt waits for its
/// connection. The attempt was written to it all the same.
#[test]
fn an_attempt_is_not_written_to_an_engine_that_begins_to_drain_while_it_connects() {
    for health in ["DRAINING", "DELETED"] {
        for class in ["plain", "once"] {
            let bed = TestBed::new(1, 2);
            let node = bed.node(|_| {});
            let trace = format!("drain-{class}");
            let step = format!("attempt-connected-{trace}");
            let mut client = node.client();
            client.send(&long_lived_chat(&trace, class));
            let (mut connection, _) = bed.readers[0].next_request();
            bed.holds.hold(&step);
            connection.answer_prefill();
            bed.readers[0].keep_open(connection);
            bed.holds.wait_until_reached(&step);
            // The connection is made. Finds the writer that has it.
            let mut connected_writer = None;
            let has_connected = || {
                connected_writer = bed.writers.iter().position(|writer| {
                    let connection = writer.try_accept();
                    connection.map(|connection| writer.keep_open(connection)).is_some()
                });
                connected_writer.is_some()
            };
            assert!(Platform::wait_until(LONG, has_connected));
            let leaving_writer = connected_writer.unwrap();
            bed.holds.hold("listed-2");
            let drained =
                host_entry(&format!("writer-{leaving_writer}"), &bed.writers[leaving_writer], health);
            bed.platform.discovery.publish_change(vec![drained]);
            bed.holds.wait_until_reached("listed-2");
            bed.holds.release("listed-2");
            // The change is in the queue. Later events are processed after it.
            node.wait_until_processed();
            bed.holds.release(&step);
            let (mut connection, request) = bed.writers[1 - leaving_writer].next_request();
            assert_eq!(request.trace(), trace);
            connection.send_stream();
            assert!(is_complete_stream(&client.answer()), "{health}, {class}");
            assert!(
                bed.writers[leaving_writer].try_next_request().is_none(),
                "{health}, {class}: sent to an engine that drains or was removed"
            );
        }
    }
}

/// A first prefill attempt broke, and the state that it may have left is released. That call waits for its
/// connection while another reader reads the prompt and an attempt at a writer fetches the state. The call is
/// made all the same: engines keep state that an attempt waits for, and without the call the first reader
/// would hold its state past its time limit.
#[test]
fn a_release_that_waits_for_its_connection_is_sent_beside_an_attempt_that_fetches_state() {
    let bed = TestBed::new(2, 1);
    let node = bed.node(|_| {});
    let release = "small-connected--kv-leases-fetch-1";
    bed.holds.hold(release);
    let mut client = node.client();
    client.send(&long_lived_chat("fetch-1", "plain"));
    let (_, (connection, _)) = next_request_at_any(&bed.readers);
    connection.reset();
    let (_, (mut prefill, request)) = next_request_at_any(&bed.readers);
    assert_eq!(request.trace(), "fetch-1");
    bed.holds.wait_until_reached(release);
    prefill.answer_prefill();
    // The attempt that fetches the state is open.
    let (mut decode, request) = bed.writers[0].next_request();
    assert_eq!(request.trace(), "fetch-1");
    bed.holds.release(release);
    let mut received = None;
    let has_arrived = || {
        received = bed.readers.iter().chain(&bed.writers).find_map(|engine| engine.try_next_request());
        received.is_some()
    };
    assert!(Platform::wait_until(LONG, has_arrived), "no release arrives");
    let (_connection, request) = received.unwrap();
    assert_eq!(
        (request.head.method.as_str(), request.head.target.as_str()),
        ("DELETE", "/kv/leases/fetch-1")
    );
    decode.send_stream();
    assert!(is_complete_stream(&client.answer()));
}
