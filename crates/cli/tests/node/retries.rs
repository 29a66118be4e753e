//! Further attempts: late answers, windows for repeats, and the time that is told to engines.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::bed::{Bed, patient_chat};
use crate::peer::{Peer, streamed, take_at_any};
use crate::support::*;

/// The first reader's answer comes after the node stopped waiting for it.
#[test]
fn a_late_answer_after_a_time_out_is_nobodys() {
    let bed = Bed::new(2, 1);
    let node = bed.node(|config| config["settings"]["services"][0]["aim-us"] = 1_000_000.into());
    let mut client = node.client();
    client.send(&patient_chat("late-1", "plain"));
    let (first, (mut late, _)) = take_at_any(&bed.readers);
    let (second, (mut line, got)) = take_at_any(&bed.readers);
    assert_eq!(
        (first + second, got.trace()),
        (1, "late-1"),
        "read again elsewhere, after the first was given up"
    );
    // It comes while the second attempt is out, and reads as an answer that says something else.
    late.write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
    assert!(!late.until_ended(), "the connection is not used again");
    line.has_read();
    let (mut line, _) = bed.writers[0].take();
    line.streams();
    assert!(streamed(&client.answer()));
    node.settle();
    assert!(bed.writers[0].take_now().is_none(), "one charge");
}

/// Whether a request other than a release has come: what is held is let go of beside attempts, at any engine.
fn attempt_has_come(engine: &Peer) -> bool {
    std::iter::from_fn(|| engine.take_now()).any(|(_, got)| got.head.method != "DELETE")
}

/// A class whose repeats its engines drop for a time: inside it a lost answer is asked for again, outside never.
#[test]
fn a_repeat_goes_out_inside_its_window_only() {
    for (window_ms, waits_ms, again) in [(20_000, 0, true), (1_500, 1_600, false), (200, 0, false)] {
        let bed = Bed::new(1, 2);
        let node = bed.node(|config| {
            let class = json!({"name": "keyed", "semantics": "token", "group": "all", "aim-us": 20_000_000,
                "memory-span-us": window_ms * 1000, "give-up-us": 30_000_000, "worth": 1.0, "streamed": true});
            config["settings"]["services"].as_array_mut().unwrap().push(class);
        });
        let mut client = node.client();
        client.send(&patient_chat("keyed-1", "keyed"));
        let (mut line, _) = bed.readers[0].take();
        line.has_read();
        let (_, (line, _)) = take_at_any(&bed.writers);
        // At least so long after the first send, the answer is lost: it may have run.
        std::thread::sleep(Duration::from_millis(waits_ms));
        line.reset();
        if again {
            let (_, (mut line, got)) = take_at_any(&bed.writers);
            assert_eq!(got.trace(), "keyed-1");
            line.streams();
            assert!(streamed(&client.answer()));
        } else {
            let answer = client.answer();
            assert!([502, 503].contains(&answer.status), "{window_ms} ms: {answer:?}");
            if waits_ms > window_ms {
                assert_eq!(answer.status, 502, "outside the window nobody may say that a repeat is harmless");
            }
        }
        node.settle();
        assert!(!bed.writers.iter().any(attempt_has_come), "{window_ms} ms: one attempt too many");
    }
}

/// What an attempt tells its engine of the time left counts from the client's last byte, however long its connection took.
#[test]
fn an_attempt_that_waited_for_its_connection_tells_what_is_left() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|_| {});
    bed.holds.hold("attempt-connected-waits-1");
    let mut client = node.client();
    client.send(&patient_chat("waits-1", "once"));
    bed.holds.until_reached("attempt-connected-waits-1");
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    bed.holds.let_go("attempt-connected-waits-1");
    let waited = sent.elapsed().as_millis().min(300);
    let (mut line, got) = bed.readers[0].take();
    assert!(got.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", got.expires_ms());
    line.has_read();
    let (mut line, got) = bed.writers[0].take();
    assert!(got.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", got.expires_ms());
    line.streams();
    assert!(streamed(&client.answer()));
}

/// A request that waits for memory has come whole before; its wait was given to engines as time of its client.
#[test]
fn a_request_that_waited_for_memory_tells_what_is_left() {
    let bed = Bed::new(3, 1);
    // Room for two large bodies.
    let node = bed.node(|config| config["limits"]["memory_mb"] = 1.into());
    let large = |trace: &str| {
        let body = format!("{{\"text\":\"{}\"}}", "x".repeat((256 << 10) - 11));
        let ask = patient_chat(trace, "once");
        let head = ask.split("Content-Length").next().unwrap().to_owned();
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    let mut lines = Vec::new();
    for (n, client) in clients.iter_mut().enumerate().take(2) {
        client.send(&large(&format!("large-{n}")));
        let (_, (line, got)) = take_at_any(&bed.readers);
        assert_eq!(got.trace(), format!("large-{n}"));
        lines.push(line);
    }
    clients[2].send(&large("waits-1"));
    // Its head, and with it the wait, comes to the node before this, which needs no memory.
    assert_eq!(node.client().get("/-/ready"), Some(200));
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    let waited = sent.elapsed().as_millis().min(600);
    let mut first = lines.remove(0);
    first.has_read();
    let (mut line, _) = bed.writers[0].take();
    line.streams();
    assert!(streamed(&clients[0].answer()));
    let (_, (mut line, got)) = take_at_any(&bed.readers);
    assert_eq!(got.trace(), "waits-1");
    line.has_read();
    // The attempt that may not be repeated is given all the time there is.
    let (_line, got) = bed.writers[0].take();
    assert_eq!(got.trace(), "waits-1");
    assert!(got.expires_ms() <= 30_000 - waited, "{} ms told after {waited}", got.expires_ms());
}

/// Every field of the client's that is not its connection's reaches the engine, with each attempt: the key by which it drops
/// repeats was left out, and a repeat would have had its effect twice.
#[test]
fn the_key_for_repeats_reaches_the_engine_with_each_attempt() {
    let bed = Bed::new(1, 2);
    let node = bed.node(|_| {});
    let mut client = node.client();
    let ask = patient_chat("key-1", "plain");
    client.send(&ask.replace("Host:", "Idempotency-Key: order-7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nHost:"));
    let keyed = |got: &crate::peer::Got| {
        assert_eq!(got.head.headers.get("idempotency-key"), Some("order-7"));
        assert_eq!(got.head.headers.get("x-hop"), None);
    };
    let (mut line, got) = bed.readers[0].take();
    keyed(&got);
    line.has_read();
    let (_, (line, got)) = take_at_any(&bed.writers);
    keyed(&got);
    line.reset();
    let (_, (mut line, got)) = take_at_any(&bed.writers);
    keyed(&got);
    line.streams();
    assert!(streamed(&client.answer()));
}
