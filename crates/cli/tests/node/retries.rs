//! Retries: late answers, the time window for repeats, and the time left that engines are told.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::{Peer, is_complete_stream, next_request_at_any};
use crate::support::*;

/// The first reader's answer arrives after the node has stopped waiting for it.
#[test]
fn an_answer_after_a_timeout_is_ignored() {
    let bed = TestBed::new(2, 1);
    let node = bed.node(|config| config["settings"]["services"][0]["aim-us"] = 1_000_000.into());
    let mut client = node.client();
    client.send(&long_lived_chat("late-1", "plain"));
    let (first, (mut late, _)) = next_request_at_any(&bed.readers);
    let (second, (mut connection, request)) = next_request_at_any(&bed.readers);
    assert_eq!(
        (first + second, request.trace()),
        (1, "late-1"),
        "the prompt is not read at another reader after the timeout"
    );
    // It arrives while the second attempt is open, and its status differs from the second attempt's.
    late.write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
    assert!(!late.wait_until_closed(), "the connection is used again");
    connection.answer_prefill();
    let (mut connection, _) = bed.writers[0].next_request();
    connection.send_stream();
    assert!(is_complete_stream(&client.answer()));
    node.wait_until_processed();
    assert!(bed.writers[0].try_next_request().is_none(), "a second decode attempt was made");
}

/// Whether a request other than a release has arrived. Releases are sent beside attempts, to any engine.
fn attempt_has_arrived(engine: &Peer) -> bool {
    std::iter::from_fn(|| engine.try_next_request()).any(|(_, request)| request.head.method != "DELETE")
}

/// A class whose engines drop repeats for a certain time window. After a lost answer the request is sent
/// again within the window, and never outside of it.
#[test]
fn a_request_is_repeated_only_within_its_window() {
    for (window_ms, delay_ms, is_repeated) in [(20_000, 0, true), (1_500, 1_600, false), (200, 0, false)] {
        let bed = TestBed::new(1, 2);
        let node = bed.node(|config| {
            let class = json!({"name": "keyed", "semantics": "token", "group": "all", "aim-us": 20_000_000,
                "memory-span-us": window_ms * 1000, "give-up-us": 30_000_000, "worth": 1.0, "streamed": true});
            config["settings"]["services"].as_array_mut().unwrap().push(class);
        });
        let mut client = node.client();
        client.send(&long_lived_chat("keyed-1", "keyed"));
        let (mut connection, _) = bed.readers[0].next_request();
        connection.answer_prefill();
        let (_, (connection, _)) = next_request_at_any(&bed.writers);
        // The answer is lost at least this long after the first send. The request may have run.
        std::thread::sleep(Duration::from_millis(delay_ms));
        connection.reset();
        if is_repeated {
            let (_, (mut connection, request)) = next_request_at_any(&bed.writers);
            assert_eq!(request.trace(), "keyed-1");
            connection.send_stream();
            assert!(is_complete_stream(&client.answer()));
        } else {
            let answer = client.answer();
            assert!([502, 503].contains(&answer.status), "{window_ms} ms: {answer:?}");
            if delay_ms > window_ms {
                assert_eq!(
                    answer.status, 502,
                    "outside the window the answer must not say that a repeat is harmless"
                );
            }
        }
        node.wait_until_processed();
        assert!(!bed.writers.iter().any(attempt_has_arrived), "{window_ms} ms: one attempt too many");
    }
}

/// The time left that an attempt tells its engine counts from the client's last byte, however long the
/// attempt's connection takes.
#[test]
fn the_wait_for_a_connection_is_subtracted_from_the_time_left() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    bed.holds.hold("attempt-connected-waits-1");
    let mut client = node.client();
    client.send(&long_lived_chat("waits-1", "once"));
    bed.holds.wait_until_reached("attempt-connected-waits-1");
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    bed.holds.release("attempt-connected-waits-1");
    let waited = sent.elapsed().as_millis().min(300);
    let (mut connection, request) = bed.readers[0].next_request();
    assert!(request.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", request.expires_ms());
    connection.answer_prefill();
    let (mut connection, request) = bed.writers[0].next_request();
    assert!(request.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", request.expires_ms());
    connection.send_stream();
    assert!(is_complete_stream(&client.answer()));
}

/// Guards against requests that are begun after their client's time, and engines that are told more than is left: the time of
/// a request that was sent behind another ran from the end of that one's stream.
#[test]
fn the_wait_behind_another_request_is_subtracted_from_the_time_left() {
    for expires_ms in [1_000, 30_000] {
        let bed = TestBed::new(1, 1);
        let node = bed.node(|_| {});
        let mut client = node.client();
        client.send(&(long_lived_chat("first-1", "plain") + &chat("behind-1", "once", expires_ms)));
        let sent = Instant::now();
        let (mut connection, _) = bed.readers[0].next_request();
        connection.answer_prefill();
        bed.readers[0].keep_open(connection);
        let (mut connection, _) = bed.writers[0].next_request();
        connection.begin_stream();
        std::thread::sleep(Duration::from_millis(1_200));
        let waited = sent.elapsed().as_millis().min(1_200);
        connection.end_stream();
        bed.writers[0].keep_open(connection);
        assert!(is_complete_stream(&client.answer()));
        if expires_ms == 1_000 {
            assert_eq!(client.answer().status, 503, "it is over");
            node.wait_until_processed();
            assert!(
                bed.readers[0].try_next_request().is_none(),
                "a request is begun after its client's time"
            );
            continue;
        }
        let (mut connection, request) = bed.readers[0].next_request();
        assert_eq!(request.trace(), "behind-1");
        assert!(request.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", request.expires_ms());
        connection.answer_prefill();
        let (mut connection, request) = bed.writers[0].next_request();
        assert!(request.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", request.expires_ms());
        connection.send_stream();
        assert!(is_complete_stream(&client.answer()));
    }
}

/// Guards against too long a time left: a request that waits for memory may have arrived completely before.
/// Its wait was not subtracted from the time left that engines are told.
#[test]
fn the_wait_for_memory_is_subtracted_from_the_time_left() {
    let bed = TestBed::new(3, 1);
    // Room for two large bodies.
    let node = bed.node(|config| config["limits"]["memory_mb"] = 1.into());
    let large = |trace: &str| {
        let body = format!("{{\"text\":\"{}\"}}", "x".repeat((256 << 10) - 11));
        let request = long_lived_chat(trace, "once");
        let head = request.split("Content-Length").next().unwrap().to_owned();
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    let mut connections = Vec::new();
    for (n, client) in clients.iter_mut().enumerate().take(2) {
        client.send(&large(&format!("large-{n}")));
        let (_, (connection, request)) = next_request_at_any(&bed.readers);
        assert_eq!(request.trace(), format!("large-{n}"));
        connections.push(connection);
    }
    clients[2].send(&large("waits-1"));
    // This request needs no memory. The node receives it after the head of the large one, whose wait has
    // begun by then.
    assert_eq!(node.client().get("/-/ready"), Some(200));
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    let waited = sent.elapsed().as_millis().min(600);
    let mut first = connections.remove(0);
    first.answer_prefill();
    let (mut connection, _) = bed.writers[0].next_request();
    connection.send_stream();
    assert!(is_complete_stream(&clients[0].answer()));
    let (_, (mut connection, request)) = next_request_at_any(&bed.readers);
    assert_eq!(request.trace(), "waits-1");
    connection.answer_prefill();
    // The attempt that must not be repeated gets all the time that is left.
    let (_line, request) = bed.writers[0].next_request();
    assert_eq!(request.trace(), "waits-1");
    assert!(request.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", request.expires_ms());
}

/// Every header field of the client that does not belong to its connection reaches the engine with each
/// attempt. Guards against a missing idempotency key, without which a repeat would take effect twice.
#[test]
fn the_idempotency_key_reaches_the_engine_with_each_attempt() {
    let bed = TestBed::new(1, 2);
    let node = bed.node(|_| {});
    let mut client = node.client();
    let chat = long_lived_chat("key-1", "plain");
    client.send(&chat.replace("Host:", "Idempotency-Key: order-7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nHost:"));
    let check_fields = |request: &crate::peer::ReceivedRequest| {
        assert_eq!(request.head.headers.get("idempotency-key"), Some("order-7"));
        assert_eq!(request.head.headers.get("x-hop"), None);
    };
    let (mut connection, request) = bed.readers[0].next_request();
    check_fields(&request);
    connection.answer_prefill();
    let (_, (connection, request)) = next_request_at_any(&bed.writers);
    check_fields(&request);
    connection.reset();
    let (_, (mut connection, request)) = next_request_at_any(&bed.writers);
    check_fields(&request);
    connection.send_stream();
    assert!(is_complete_stream(&client.answer()));
}
