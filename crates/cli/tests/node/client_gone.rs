//! Clients that disconnect, at each stage of their request.

use std::time::Duration;

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::next_request_at_any;
use crate::support::*;

/// After a client has disconnected, the state held for its request is released and its attempt ends.
#[test]
fn state_is_released_after_a_client_disconnects() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let mut client = node.client();
    client.send(&chat("reader-silent-1", "plain", 4000));
    assert!(Platform::wait_until(LONG, || !platform.traffic.held_states().is_empty()));
    drop(client);
    assert!(
        Platform::wait_until(LONG, || platform.traffic.held_states().is_empty()),
        "the state is still held"
    );
    let ended = |seen: &EngineEvent| matches!(seen, EngineEvent::Ended { how: AttemptEnd::MayHaveRun, .. });
    assert!(Platform::wait_until(LONG, || platform.traffic.events().iter().any(|seen| ended(&seen.pass))));
}

/// Guards against attempts for disconnected clients: the end of a connection comes after the bytes that the
/// client has sent meanwhile. When a client had sent a part of its next request, or had only shut down its
/// sending side after some bytes, the node did not notice its end while its request waited, and sent the
/// request to an engine.
#[test]
fn no_attempt_is_made_for_clients_that_sent_more_bytes_and_disconnected() {
    let platform = Platform::start(1, 1).unwrap();
    platform.discovery.set_silent(true);
    // No engine is known, so requests wait, and the class waits long.
    let node = start_node(&platform, |config| {
        config["known"]["hosts"] = Value::Array(Vec::new());
        config["settings"]["services"][0]["aim-us"] = 18_000_000.into();
        config["settings"]["services"][0]["give-up-us"] = 20_000_000.into();
    });
    let next_request = chat("left-next", "plain", 18_000);
    for (trace, rest) in [
        ("left-plain", String::new()),
        ("left-half", next_request[..next_request.len() / 2].to_owned()),
        ("left-noise", "x".repeat(400_000)),
    ] {
        let mut client = node.client();
        client.send(&chat(trace, "plain", 18_000));
        client.send(&rest);
    }
    let mut client = node.client();
    client.send(&chat("left-closed", "plain", 18_000));
    client.send(&next_request[..20]);
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut connected = node.client();
    connected.send(&chat("stays-1", "plain", 18_000));
    std::thread::sleep(Duration::from_millis(500));
    platform.discovery.set_silent(false);
    platform.discovery.publish_change(Platform::host_list(&platform.engines, |_| "SERVING"));
    assert!(is_served(&connected.answer()), "the connected client is not served");
    assert!(is_served(&node.request("after-1", "plain")));
    let seen = platform.traffic.events();
    let for_disconnected = seen
        .iter()
        .filter(|seen| matches!(&seen.pass, EngineEvent::Begun { trace, .. } if trace.starts_with("left-")));
    assert_eq!(for_disconnected.count(), 0);
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// It shuts down its sending side.
    ShutsDown,
    Closes,
    Resets,
}

const ALL_DISCONNECTS: [Disconnect; 3] = [Disconnect::ShutsDown, Disconnect::Closes, Disconnect::Resets];

/// Disconnects a client. Returns it where its socket must stay open.
fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    match how {
        Disconnect::ShutsDown => {
            client.shutdown_write();
            Some(client)
        }
        Disconnect::Closes => None,
        Disconnect::Resets => {
            client.reset();
            None
        }
    }
}

/// Disconnects the client of this request, and waits until the node has processed that.
fn disconnect_and_wait(
    bed: &TestBed,
    node: &Node,
    trace: &str,
    client: Client,
    how: Disconnect,
) -> Option<Client> {
    let step = format!("client-gone-{trace}");
    bed.holds.hold(&step);
    let kept = disconnect(client, how);
    bed.holds.wait_until_reached(&step);
    bed.holds.release(&step);
    // The event is in the queue. Later events are processed after it.
    node.wait_until_processed();
    kept
}

#[test]
fn no_attempt_is_made_for_a_client_that_disconnects_within_its_request() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    for how in ALL_DISCONNECTS {
        let mut client = node.client();
        let text = long_lived_chat("left-1", "plain");
        client.send(&text[..text.len() - 1]);
        let _kept = disconnect(client, how);
        node.wait_until_processed();
        bed.assert_serves(&node, &format!("stays-{how:?}"));
    }
}

/// The attempt has its connection; the client disconnects before the first byte is written.
#[test]
fn no_attempt_is_written_for_a_client_that_disconnects_while_the_attempt_connects() {
    let bed = TestBed::new(1, 1);
    for (n, how) in ALL_DISCONNECTS.into_iter().enumerate() {
        let node = bed.node(|_| {});
        let trace = format!("left-{n}");
        let step = format!("attempt-connected-{trace}");
        bed.holds.hold(&step);
        let mut client = node.client();
        client.send(&long_lived_chat(&trace, "plain"));
        bed.holds.wait_until_reached(&step);
        let _kept = disconnect_and_wait(&bed, &node, &trace, client, how);
        bed.holds.release(&step);
        bed.assert_serves(&node, &format!("stays-{n}"));
    }
}

/// The client disconnects while a reader reads the prompt: no request goes to a writer, and the reader's
/// state is released.
#[test]
fn no_decode_attempt_is_made_for_a_client_that_disconnects_during_prefill() {
    for may_cancel in [true, false] {
        let bed = TestBed::new(1, 1);
        let node = bed.node(|config| config["settings"]["limits"]["cancel"] = may_cancel.into());
        for (n, how) in ALL_DISCONNECTS.into_iter().enumerate() {
            let trace = format!("left-{n}");
            let mut client = node.client();
            client.send(&long_lived_chat(&trace, "plain"));
            let (mut connection, request) = bed.readers[0].next_request();
            assert_eq!(request.trace(), trace);
            let _kept = disconnect_and_wait(&bed, &node, &trace, client, how);
            if may_cancel {
                assert!(!connection.wait_until_closed(), "the prefill attempt is not cancelled");
            } else {
                connection.answer_prefill();
            }
            bed.readers[0].expect_release(&trace);
            assert!(bed.writers[0].try_accept().is_none(), "{how:?}: a request went to a writer");
        }
        bed.assert_serves(&node, "stays-1");
    }
}

/// The attempt fails after its client has disconnected: no further attempt is made.
#[test]
fn no_retry_is_made_for_a_client_that_disconnects_during_an_attempt() {
    for (n, how) in ALL_DISCONNECTS.into_iter().enumerate() {
        let bed = TestBed::new(2, 1);
        let node = bed.node(|config| config["settings"]["limits"]["cancel"] = false.into());
        let trace = format!("left-{n}");
        let mut client = node.client();
        client.send(&long_lived_chat(&trace, "plain"));
        let (reader, (mut connection, request)) = next_request_at_any(&bed.readers);
        assert_eq!(request.trace(), trace);
        let _kept = disconnect_and_wait(&bed, &node, &trace, client, how);
        connection.write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
        bed.readers[reader].keep_open(connection);
        // The reader may hold state. Its release is the last call for this request.
        bed.readers[reader].expect_release(&trace);
        node.wait_until_processed();
        assert!(
            bed.readers.iter().all(|reader| reader.try_next_request().is_none()),
            "{how:?}: the prompt is read again"
        );
        assert!(bed.writers[0].try_accept().is_none());
    }
}
