//! The ends of engines' streams: what is whole at its engine is whole at its client, and nothing else is.

use std::time::Duration;

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::{PeerConnection, chunk};

/// The events of a stream; the last is the end mark.
const EVENTS: [&str; 2] = ["data: {\"text\":\"first\"}\n\n", "data: [DONE]\n\n"];
const REPORT: &str = ": Endpoint-Load-Metrics: TEXT lat_ms=12.5, x0=0.25, x1=3";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Lets the reader take the next request and returns the connection of the writer that has it then.
fn accept_at_writer(bed: &TestBed) -> PeerConnection {
    let (mut connection, _) = bed.readers[0].next_request();
    connection.answer_prefill();
    bed.readers[0].keep_open(connection);
    bed.writers[0].next_request().0
}

/// A request that asks for the rest of a stream that broke.
fn request_for_the_rest(trace: &str) -> String {
    long_lived_chat(trace, "plain").replacen("X-Qos:", "X-Second-Try: again\r\nX-Qos:", 1)
}

/// Guards against finished streams that are cut behind their end mark, since the last line is a comment without an empty
/// line (`review/9`). Streams that clients resume end alike.
#[test]
fn a_finished_stream_is_whole_however_it_ends() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    for line_end in ["\n", "\r\n", "\r"] {
        for last in ["", REPORT, &format!("{REPORT}\n"), &format!(": a note\n{REPORT}\n\n"), "\n:\n"] {
            for (kind, request) in [
                ("first", long_lived_chat as fn(&str, &str) -> String),
                ("rest", |trace, _| request_for_the_rest(trace)),
            ] {
                let case = format!("{kind}, {line_end:?}, {last:?}");
                let mut client = node.client();
                client.send(&request(&format!("ending-{}", case.len()), "plain"));
                let mut writer = accept_at_writer(&bed);
                let events = EVENTS.concat().replace('\n', line_end);
                writer.write(STREAM_HEAD);
                writer.write(&chunk(&events));
                if !last.is_empty() {
                    writer.write(&chunk(&last.replace('\n', line_end)));
                }
                writer.write(LAST_CHUNK);
                let answer = client.answer();
                assert_eq!((answer.status, answer.body.as_str()), (200, events.as_str()), "{case}");
                assert!(answer.is_complete, "{case}");
                bed.writers[0].keep_open(writer);
            }
        }
    }
}

/// Guards against broken streams that are passed on as whole: the body is cut short, or an event follows the end mark.
#[test]
fn a_stream_that_is_cut_short_is_broken_for_its_client() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    let events = chunk(&EVENTS.concat());
    for end in [
        "",
        &LAST_CHUNK[..4],
        &chunk(REPORT),
        &(chunk("data: half") + LAST_CHUNK),
        &(chunk(&format!("{REPORT}\ndata: half\n")) + LAST_CHUNK),
        &(chunk(EVENTS[0]) + LAST_CHUNK),
    ] {
        let mut client = node.client();
        client.send(&long_lived_chat(&format!("short-{}", end.len()), "plain"));
        let mut writer = accept_at_writer(&bed);
        writer.write(&format!("{STREAM_HEAD}{events}{end}"));
        drop(writer);
        let answer = client.answer();
        assert!(answer.status == 200 && answer.body.starts_with(&EVENTS.concat()), "{end:?}: {answer:?}");
        assert!(!answer.is_complete, "{end:?}: {answer:?}");
    }
}

/// Guards against events that are held back: lines that end with CR alone end at the CR.
#[test]
fn each_event_is_relayed_before_the_next_byte_is_written() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    for (number, line_end) in ["\n", "\r\n", "\r"].into_iter().enumerate() {
        let mut client = node.client();
        client.send(&long_lived_chat(&format!("prompt-{number}"), "plain"));
        let mut writer = accept_at_writer(&bed);
        writer.write(STREAM_HEAD);
        let mut received = String::new();
        for n in 0..3 {
            let event = format!("data: {{\"text\":\"event-{n}\"}}\n\n").replace('\n', line_end);
            writer.write(&chunk(&event));
            while !received.contains(&event) {
                assert!(client.receive_more(), "{line_end:?}: event {n} does not come");
                received.push_str(&String::from_utf8_lossy(&std::mem::take(&mut client.received)));
            }
        }
        writer.write(&(chunk(&EVENTS[1].replace('\n', line_end)) + LAST_CHUNK));
        while !received.ends_with(LAST_CHUNK) {
            assert!(client.receive_more(), "{line_end:?}: the stream is not whole");
            received.push_str(&String::from_utf8_lossy(&std::mem::take(&mut client.received)));
        }
    }
}

/// Guards against finished streams that are moved: at the time at which a node that shuts down cuts streams, the engine has
/// written its last chunk, with a comment before it.
#[test]
fn a_finished_stream_with_a_last_comment_is_not_moved_at_shutdown() {
    let bed = TestBed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&long_lived_chat("moved-1", "plain"));
    let mut writer = accept_at_writer(&bed);
    writer.write(&format!("{STREAM_HEAD}{}", chunk(EVENTS[0])));
    assert!(client.receive_more());
    node.signal("TERM");
    node.wait_until_unreachable();
    node.suspend();
    writer.write(&(chunk(EVENTS[1]) + &chunk(&format!("{REPORT}\n")) + LAST_CHUNK));
    // Longer than the node has after the signal (3.7 s), so all its time limits have passed when it resumes.
    std::thread::sleep(Duration::from_millis(3_800));
    node.resume();
    let answer = client.answer();
    assert!(answer.is_complete && answer.body == EVENTS.concat(), "{answer:?}");
    assert!(node.exits_successfully());
}
