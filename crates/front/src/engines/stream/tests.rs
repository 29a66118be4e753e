use std::io::{Read, Write};
use std::net::TcpListener;

use elderstage_net::connect;
use elderstage_protocol::http;

use super::*;

/// Longest wait in a test.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time for which a stream may stand still here.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

const EVENTS: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a bowl\"}}]}\n\n\
    data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
const REPORT: &str = ": Endpoint-Load-Metrics: JSON {\"application_utilization\":0.5}";

/// Collects the text of a stream.
#[derive(Default)]
struct TextSink(String);

impl StreamSink for TextSink {
    fn on_first_output(&mut self) {}

    fn on_text(&mut self, text: &str) {
        self.0.push_str(text);
    }
}

/// The response of an engine: head and body with this framing.
fn response(framing: Framing, body: &str) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n".to_vec();
    match framing {
        Framing::Chunked => {
            bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            // Chunks end anywhere in events and lines.
            body.as_bytes().chunks(7).for_each(|piece| http::write_chunk(piece, &mut bytes));
            bytes.extend_from_slice(http::LAST_CHUNK);
        }
        Framing::Length(length) => {
            bytes.extend_from_slice(format!("content-length: {length}\r\n\r\n{body}").as_bytes());
        }
        Framing::UntilClose => bytes.extend_from_slice(format!("\r\n{body}").as_bytes()),
    }
    bytes
}

/// Reads the stream of an engine that `write` plays. Returns the result and the text.
fn read_from(write: impl FnOnce(&mut std::net::TcpStream) + Send + 'static) -> (AttemptOutcome, String) {
    elderstage_net::init(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let engine = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        stream.set_nodelay(true).unwrap();
        write(&mut stream);
    });
    let mut conn = connect(addr, MAX_WAIT).unwrap();
    conn.set_deadline(Some(Instant::now() + MAX_WAIT));
    let head = conn.receive_response().unwrap();
    let mut sink = TextSink::default();
    let limits = StreamLimits { max_call_bytes: 1 << 10, stall_timeout: STALL_TIMEOUT };
    let outcome = read_stream(&mut conn, &head, limits, &mut sink);
    drop(conn);
    engine.join().unwrap();
    (outcome, sink.0)
}

/// Guards against finished answers that fail and load reports that are lost, since the last line of the stream is a
/// comment, and against answers that count as whole although their body was cut short (`review/9`).
#[test]
fn an_answer_is_whole_by_its_framing_and_its_last_event() {
    for line_end in ["\n", "\r\n", "\r"] {
        for (last, is_whole, has_report) in [
            ("", true, false),
            (REPORT, true, true),
            (&format!("{REPORT}\n"), true, true),
            (&format!("{REPORT}\n\n"), true, true),
            (&format!(": a note\n{REPORT}\n: another\n"), true, true),
            ("\n: \n", true, false),
            ("retry: 10\n\n", true, false),
            ("data: [DONE]\n\n", true, false),
            ("data: half", false, false),
            ("data: {}\n\n", false, false),
        ] {
            let body = (EVENTS.to_owned() + last).replace('\n', line_end);
            let length = Framing::Length(body.len() as u64);
            let too_long = Framing::Length(body.len() as u64 + 1);
            for (framing, is_body_whole) in
                [(Framing::Chunked, true), (length, true), (Framing::UntilClose, true), (too_long, false)]
            {
                let bytes = response(framing, &body);
                let (outcome, text) = read_from(move |stream| stream.write_all(&bytes).unwrap());
                let case = format!("{line_end:?}, {last:?}, {framing:?}: {outcome:?}");
                assert_eq!(text, "a bowl", "{case}");
                if is_whole && is_body_whole {
                    assert_eq!(outcome.evidence, Evidence::Turn { cached: 0 }, "{case}");
                    assert_eq!(outcome.report.is_some(), has_report, "{case}");
                } else {
                    assert_eq!(outcome.evidence, Evidence::Broke, "{case}");
                    assert!(outcome.report.is_none(), "{case}");
                }
            }
        }
        // A last chunk that is missing, or a part of it.
        let bytes = response(Framing::Chunked, &EVENTS.replace('\n', line_end));
        for missing in 1..=http::LAST_CHUNK.len() {
            let part = bytes[..bytes.len() - missing].to_vec();
            let (outcome, _) = read_from(move |stream| stream.write_all(&part).unwrap());
            assert_eq!(outcome.evidence, Evidence::Broke, "{line_end:?}, {missing} bytes missing");
        }
    }
}

/// A reset is no orderly end of a body that ends with its connection.
#[test]
fn an_answer_whose_connection_is_reset_is_not_whole() {
    let (outcome, _) = read_from(|stream| {
        stream.write_all(&response(Framing::UntilClose, EVENTS)).unwrap();
        std::thread::sleep(STALL_TIMEOUT / 10);
        socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    assert_eq!(outcome.evidence, Evidence::Broke);
}

/// Guards against clients that wait for nothing: comments after the end mark do not extend the stall time.
#[test]
fn comments_after_the_end_mark_do_not_hold_an_answer_open() {
    let (outcome, text) = read_from(|stream| {
        let bytes = response(Framing::Chunked, EVENTS);
        stream.write_all(&bytes[..bytes.len() - http::LAST_CHUNK.len()]).unwrap();
        stream.set_read_timeout(Some(STALL_TIMEOUT / 10)).unwrap();
        let deadline = Instant::now() + MAX_WAIT;
        // Until the front closes the connection.
        while stream.write_all(b"3\r\n:.\n\r\n").is_ok() && !matches!(stream.read(&mut [0]), Ok(0)) {
            assert!(Instant::now() < deadline, "the front still waits for the end of the body");
        }
    });
    assert_eq!((outcome.evidence, text.as_str()), (Evidence::TimedOut, "a bowl"));
}
