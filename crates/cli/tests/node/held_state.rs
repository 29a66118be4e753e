//! State that a reader holds for a request while the attempt that fetches it may never have arrived at a
//! writer.

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::{PeerConnection, is_complete_stream};
use crate::support::*;

/// Waits for the release of this request at any engine. The attempt must still be open then: the node cannot
/// know how long a request that never arrives stays open, so a release after its end would be too late.
fn expect_release_during(bed: &TestBed, attempt: &PeerConnection, trace: &str) {
    let mut received = None;
    let has_arrived = || {
        received = bed.readers.iter().chain(&bed.writers).find_map(|engine| engine.try_next_request());
        received.is_some() || attempt.is_closed_by_node()
    };
    assert!(Platform::wait_until(LONG, has_arrived), "{trace}: no release while an attempt is open");
    let (mut connection, request) = received.unwrap_or_else(|| panic!("{trace}: the attempt ended first"));
    assert_eq!(
        (request.head.method.as_str(), request.head.target.as_str()),
        ("DELETE", &*format!("/kv/leases/{trace}"))
    );
    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    bed.readers[0].keep_open(connection);
}

/// Guards against state that is held too long: the network path to the writer accepts the request, drops it
/// and reports no error. The node assumed that what it had written had arrived, and the reader held the state
/// for as long as the attempt was open: seconds (incident of 2026-12-02).
#[test]
fn state_is_released_while_the_attempt_that_fetches_it_may_not_have_arrived() {
    for class in ["plain", "once"] {
        let bed = TestBed::new(1, 1);
        let node = bed.node(|_| {});
        let trace = format!("silent-{class}");
        let mut client = node.client();
        client.send(&long_lived_chat(&trace, class));
        let (mut connection, _) = bed.readers[0].next_request();
        connection.answer_prefill();
        bed.readers[0].keep_open(connection);
        let (mut attempt, request) = bed.writers[0].next_request();
        assert_eq!(request.trace(), trace);
        expect_release_during(&bed, &attempt, &trace);
        // If the attempt has arrived, the engine keeps the state that it waits for. The attempt continues and
        // its stream counts.
        attempt.send_stream();
        assert!(is_complete_stream(&client.answer()), "{class}");
    }
}

/// The attempt had arrived and was refused after the release. That release had no effect, since the attempt
/// kept the state, so it is sent again.
#[test]
fn the_release_is_repeated_when_the_attempt_that_kept_the_state_is_refused() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|config| config["settings"]["limits"]["most-tries"] = 2.into());
    let mut client = node.client();
    client.send(&long_lived_chat("away-1", "plain"));
    let (mut connection, _) = bed.readers[0].next_request();
    connection.answer_prefill();
    bed.readers[0].keep_open(connection);
    let (mut attempt, _) = bed.writers[0].next_request();
    expect_release_during(&bed, &attempt, "away-1");
    attempt.write("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n");
    bed.writers[0].keep_open(attempt);
    assert_eq!(client.answer().status, 503);
    bed.readers[0].expect_release("away-1");
}
