//! Tests of the parsers for clients, engines, discovery and the configuration, without sockets.

use elderstage::settings::SettingNames;
use elderstage::{ListMode, Outcome, ReportField, ServerStatus, Time};
use elderstage_platform::ask::{self, ClientRequest, MAX_BODY_BYTES, Refusal, RequestKind};
use elderstage_platform::forward;
use elderstage_platform::list::Directory;
use elderstage_platform::reply::{self, AbortReason, AnswerKind, WriteProgress};
use elderstage_platform::report;
use elderstage_platform::start::{ConfigError, EnvironmentOverrides, NodeConfig};
use elderstage_platform::stream::{EventStream, StreamError};
use elderstage_protocol::http::{self, HttpError, Limits, Request, Response};
use proptest::prelude::*;

/// The longest time that a client of these tests waits, in microseconds.
const LONGEST_WAIT: Time = 12_000_000;

fn names() -> SettingNames {
    let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect();
    SettingNames {
        zones: words(&["east", "west"]),
        kinds: words(&["reads", "writes"]),
        classes: words(&["plain", "once"]),
        tenants: Vec::new(),
        idle_close: Some(15_000_000),
        deadlines: vec![LONGEST_WAIT],
    }
}

fn parse_configuration(text: &str) -> Result<NodeConfig, ConfigError> {
    NodeConfig::parse(text, &EnvironmentOverrides::default())
}

/// Parses the head of a request.
fn request_head(text: &str) -> Request {
    let text = text.replace('\n', "\r\n") + "\r\n\r\n";
    http::parse_request(text.as_bytes(), Limits::default()).unwrap().unwrap().0
}

/// A valid head of a chat request.
const VALID_HEAD: &str = "POST /v1/chat/completions HTTP/1.1\nHost: backend.local\nX-Trace-Id: 9b1f03aa\nX-Qos: once\n\
                    X-Object: talk-1\nX-Expires-In-Ms: 4800\nX-Size-Hint: 90000\n\
                    X-Props: prefix=opening-1,prompt_len=5120,prefix_len=2048,max_out=800\nContent-Length: 2";

/// Parses [`VALID_HEAD`] with one replacement.
fn ask_with_change(from: &str, to: &str) -> Result<ClientRequest, Refusal> {
    assert!(VALID_HEAD.contains(from));
    ClientRequest::parse(&request_head(&VALID_HEAD.replace(from, to)), 2, &names(), LONGEST_WAIT)
}

#[test]
fn a_request_becomes_an_arrival_for_the_module() {
    let head = request_head(VALID_HEAD);
    assert_eq!(ask::classify_head(&head), Ok(RequestKind::Chat));
    let read = ClientRequest::parse(&head, 2, &names(), LONGEST_WAIT).unwrap();
    let arrival = read.arrival;
    assert_eq!(
        (&*read.request_id, arrival.class, arrival.time_left, arrival.output_time_hint),
        ("9b1f03aa", 1, 4_800_000, 90_000)
    );
    assert_eq!(
        (arrival.prompt_tokens, arrival.shared_tokens, arrival.max_output_tokens),
        (5120.0, 2048.0, 800.0)
    );
    assert_eq!(arrival.session.unwrap().0.as_ref(), "talk-1");
    assert_eq!(arrival.prefix.unwrap().0.as_ref(), "opening-1");
    assert!(!arrival.is_repeat && !arrival.is_resumed);
    assert!(ask_with_change("X-Size-Hint: 90000", "X-Second-Try: again").unwrap().arrival.is_resumed);
    assert!(ask_with_change("X-Size-Hint: 90000", "X-Second-Try: 1").unwrap().arrival.is_repeat);
    // Where the client gives no prompt length, the length of the body counts: four characters for each token.
    let without_props = VALID_HEAD.split("\nX-Props").next().unwrap();
    assert_eq!(
        ClientRequest::parse(&self::request_head(without_props), 400, &names(), LONGEST_WAIT)
            .unwrap()
            .arrival
            .prompt_tokens,
        100.0
    );
}

#[test]
fn an_invalid_request_is_a_client_error_that_names_the_header() {
    for (from, to, why) in [
        ("X-Trace-Id: 9b1f03aa\n", "", Refusal::Missing("x-trace-id")),
        ("9b1f03aa", "", Refusal::Missing("x-trace-id")),
        ("9b1f03aa", "a/../b", Refusal::Unreadable("x-trace-id")),
        ("X-Qos: once", "X-Trace-Id: other", Refusal::Duplicate("x-trace-id")),
        ("X-Qos: once\n", "", Refusal::Missing("x-qos")),
        ("once", "twice", Refusal::Class),
        ("X-Expires-In-Ms: 4800\n", "", Refusal::Missing("x-expires-in-ms")),
        ("4800", "soon", Refusal::Unreadable("x-expires-in-ms")),
        ("4800", "-5", Refusal::Unreadable("x-expires-in-ms")),
        ("4800", "99999999999999999999999", Refusal::Unreadable("x-expires-in-ms")),
        ("90000", "1e9", Refusal::Unreadable("x-size-hint")),
        ("prompt_len=5120", "prompt_len=many", Refusal::Unreadable("x-props")),
        ("prompt_len=5120", "prompt_len", Refusal::Unreadable("x-props")),
    ] {
        let refusal = ask_with_change(from, to).unwrap_err();
        assert_eq!((refusal.status(), &refusal), (400, &why), "{from:?} -> {to:?}");
    }
    // A deadline beyond the longest wait of any client is limited to it.
    assert_eq!(ask_with_change("4800", "99999999999").unwrap().arrival.time_left, 12_000_000);
}

#[test]
fn a_request_is_refused_by_its_head_before_its_body_is_read() {
    let wanted_with_change =
        |from: &str, to: &str| ask::classify_head(&request_head(&VALID_HEAD.replace(from, to)));
    assert_eq!(
        wanted_with_change("Content-Length: 2", &format!("Content-Length: {}", MAX_BODY_BYTES + 1)),
        Err(Refusal::TooLarge)
    );
    assert_eq!(
        wanted_with_change("Content-Length: 2", &format!("Content-Length: {MAX_BODY_BYTES}")),
        Ok(RequestKind::Chat)
    );
    let duplicate = Err(Refusal::Duplicate("content-length"));
    assert_eq!(wanted_with_change("Content-Length: 2", "Content-Length: 2\nContent-Length: 2"), duplicate);
    assert_eq!(wanted_with_change("Content-Length: 2", "Content-Length: 2, 2"), duplicate);
    assert_eq!(wanted_with_change("POST", "PUT"), Err(Refusal::Method("POST")));
    assert_eq!(wanted_with_change("/v1/chat/completions", "/v1/other"), Err(Refusal::Path));
    let parse_error = |field: &str| {
        let text = VALID_HEAD.replace("Content-Length: 2", field).replace('\n', "\r\n") + "\r\n\r\n";
        http::parse_request(text.as_bytes(), Limits::default()).unwrap_err()
    };
    assert_eq!(parse_error("Content-Length: -2"), HttpError::Length);
    assert_eq!(parse_error("Content-Length: 18446744073709551616"), HttpError::Length);
    assert_eq!(parse_error("Content-Length: 2\nTransfer-Encoding: chunked"), HttpError::Ambiguous);
    assert!(ask::is_object(b" {\"a\":[1]}") && !ask::is_object(b"[1]") && !ask::is_object(b"{\"a\":"));
}

/// Parses the head of an answer.
fn response_head(text: &str) -> Response {
    let text = text.replace('\n', "\r\n") + "\r\n\r\n";
    http::parse_response(text.as_bytes(), Limits::default()).unwrap().unwrap().0
}

#[test]
fn the_outcome_of_an_attempt_follows_from_its_answer_or_its_end() {
    let verdict = |text: &str| reply::classify_answer(&response_head(text));
    assert_eq!(verdict("HTTP/1.1 200 OK\nTransfer-Encoding: chunked"), AnswerKind::Stream);
    assert_eq!(verdict("HTTP/1.1 202 Accepted\nContent-Length: 20"), AnswerKind::Read);
    let full = AnswerKind::Ended(Outcome::Full, 0);
    assert_eq!(verdict("HTTP/1.1 503 Busy\nX-Never-Ran: 1\nContent-Length: 0"), full);
    assert_eq!(verdict("HTTP/1.1 504 Over\nX-Never-Ran: 1\nContent-Length: 0"), full);
    assert_eq!(
        verdict("HTTP/1.1 410 Gone\nX-Never-Ran: 1\nContent-Length: 0"),
        AnswerKind::Ended(Outcome::Full, 1)
    );
    // Without the header that proves otherwise the request may have run, whatever the status.
    for status in ["500 Error", "503 Busy", "504 Over", "410 Gone", "429 Many", "400 Bad", "204 Nothing"] {
        let text = format!("HTTP/1.1 {status}\nX-Never-Ran: 0\nContent-Length: 0");
        assert_eq!(verdict(&text), AnswerKind::Ended(Outcome::Error, 0), "{status}");
    }
    assert_eq!(
        reply::outcome_without_answer(WriteProgress::NotWhole, AbortReason::Broken),
        Outcome::NoConnection
    );
    assert_eq!(
        reply::outcome_without_answer(WriteProgress::NotWhole, AbortReason::TimedOut),
        Outcome::NoConnection
    );
    assert_eq!(
        reply::outcome_without_answer(WriteProgress::NotWhole, AbortReason::Cancelled),
        Outcome::NotSent
    );
    assert_eq!(reply::outcome_without_answer(WriteProgress::Whole, AbortReason::Broken), Outcome::Broken);
    assert_eq!(reply::outcome_without_answer(WriteProgress::Whole, AbortReason::TimedOut), Outcome::TimedOut);
    assert_eq!(
        reply::outcome_without_answer(WriteProgress::Whole, AbortReason::Cancelled),
        Outcome::Cancelled
    );
    assert_eq!(
        (reply::parse_cached_tokens(b"{\"cached_tokens\":4096}"), reply::parse_cached_tokens(b"what")),
        (4096, 0)
    );
}

const EVENTS: [&str; 3] = [
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":64}}}\n\n",
    "data: [DONE]\n\n",
];

fn chunked(parts: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    parts.iter().for_each(|part| http::write_chunk(part.as_bytes(), &mut out));
    out.extend_from_slice(http::LAST_CHUNK);
    out
}

proptest! {
    /// However the bytes are split, each event is forwarded complete, unchanged and once, and bytes after the end are not
    /// taken as part of the stream.
    #[test]
    fn a_stream_is_forwarded_in_any_split(cuts in prop::collection::vec(1usize..40, 1..40)) {
        let comment = ": Endpoint-Load-Metrics: TEXT util=0.5\n\n";
        let mut bytes = chunked(&[EVENTS[0], comment, EVENTS[1], EVENTS[2]]);
        bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\n");
        let (mut stream, mut out, mut at, mut taken) = (EventStream::new(), Vec::new(), 0, 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(bytes.len());
            taken += stream.push(&bytes[at..end], &mut out).unwrap();
            at = end;
            if at == bytes.len() {
                break;
            }
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), EVENTS.concat());
        prop_assert_eq!(taken, bytes.len() - b"HTTP/1.1 200 OK\r\n".len());
        prop_assert!(stream.is_complete());
        let summary = stream.into_summary();
        prop_assert_eq!((summary.cached, summary.report.is_some()), (64, true));
    }

    /// No bytes from an engine, discovery or a configuration file make a parser panic.
    #[test]
    fn arbitrary_bytes_are_parsed_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = EventStream::new().push(&bytes, &mut Vec::new());
        let _ = Directory::parse(&bytes, &names());
        let text = String::from_utf8_lossy(&bytes);
        let _ = report::parse(&text, &[ReportField::Queue]);
        let _ = parse_configuration(&text);
        let _ = reply::parse_cached_tokens(&bytes);
    }
}

#[test]
fn nothing_of_an_invalid_chunk_is_forwarded() {
    for (bad, why) in [
        ("xyz\r\ndata: {}\n\n\r\n", "an invalid size"),
        ("5\r\ndata: {}\n\n\r\n", "a size that is too small"),
        ("12\r\ndata: {}\n\n\r\n8\r\ndata: 1\n\n\r\n0\r\n\r\n", "a size that is too large"),
        ("c0000000\r\nxxxx", "a size of 3 GB"),
    ] {
        let mut bytes = chunked(&[EVENTS[0]]);
        bytes.truncate(bytes.len() - http::LAST_CHUNK.len());
        let (mut stream, mut out) = (EventStream::new(), Vec::new());
        assert!(stream.push(&bytes, &mut out).is_ok());
        let result = stream.push(bad.as_bytes(), &mut out);
        assert!(matches!(result, Err(StreamError::Http(HttpError::Chunk))), "{why}: {result:?}");
        assert_eq!(String::from_utf8(out).unwrap(), EVENTS[0], "{why}");
    }
}

#[test]
fn a_stream_without_its_end_mark_is_incomplete() {
    let whole = |parts: &[&str]| {
        let mut stream = EventStream::new();
        let _ = stream.push(&chunked(parts), &mut Vec::new());
        (stream.is_ended(), stream.is_complete())
    };
    assert_eq!(whole(&EVENTS), (true, true));
    assert_eq!(whole(&EVENTS[..2]), (true, false), "no end mark");
    assert_eq!(
        whole(&[EVENTS[0], EVENTS[2], "data: half"]),
        (true, false),
        "a partial event after the end mark"
    );
    let mut stream = EventStream::new();
    let result = stream.push(&chunked(&["<html>no events</html>\n\n"]), &mut Vec::new());
    assert_eq!(result, Err(StreamError::NotAnEvent));
}

/// Guards against finished streams that are cut: their last line is a comment without an empty line (`review/9`), or their
/// lines end as the format allows besides LF.
#[test]
fn a_finished_stream_is_whole_however_its_lines_and_comments_end() {
    let report = ": Endpoint-Load-Metrics: TEXT util=0.5";
    for line_end in ["\n", "\r\n", "\r"] {
        let events: Vec<String> = EVENTS.iter().map(|event| event.replace('\n', line_end)).collect();
        for (last, is_complete, has_report) in [
            ("", true, false),
            (report, true, true),
            (&format!("{report}\n"), true, true),
            (&format!("{report}\n\n"), true, true),
            (&format!(": a note\n{report}\n"), true, true),
            ("\n\n: a note\n", true, false),
            ("data: half", false, false),
            ("data: half\n", false, false),
            (&format!("{report}\ndata: half\n"), false, false),
        ] {
            let last = last.replace('\n', line_end);
            let parts = [&events[0], &events[1], &events[2], &last];
            // An empty chunk would be the last one.
            let parts: Vec<&str> =
                parts.map(String::as_str).into_iter().filter(|part| !part.is_empty()).collect();
            let bytes = chunked(&parts);
            for cut in 0..bytes.len() {
                let (mut stream, mut out) = (EventStream::new(), Vec::new());
                let case = format!("{line_end:?}, {last:?}, cut at {cut}");
                let taken = stream.push(&bytes[..cut], &mut out).unwrap();
                assert_eq!((taken, stream.is_ended()), (cut, false), "{case}");
                stream.push(&bytes[cut..], &mut out).unwrap();
                assert_eq!(String::from_utf8(out).unwrap(), events.concat(), "{case}");
                assert_eq!((stream.is_ended(), stream.is_complete()), (true, is_complete), "{case}");
                assert_eq!(stream.into_summary().report.is_some(), has_report, "{case}");
            }
        }
        // Without the last chunk, or with a part of it, the stream has not ended.
        let bytes = chunked(&[&events[0], &events[1], &events[2], report]);
        for missing in 1..=http::LAST_CHUNK.len() {
            let mut stream = EventStream::new();
            stream.push(&bytes[..bytes.len() - missing], &mut Vec::new()).unwrap();
            assert!(!stream.is_complete(), "{line_end:?}, {missing} bytes of the last chunk missing");
        }
    }
}

/// Guards against streams that are cut, or take CPU time with the square of their length: an engine keeps the connection
/// alive with comments, and needs no empty line behind them.
#[test]
fn comments_without_empty_lines_are_not_held() {
    const COMMENTS: usize = 200_000;
    let comment = chunked(&[":.\n"]);
    let comment = comment.strip_suffix(http::LAST_CHUNK).unwrap();
    let (mut stream, mut out) = (EventStream::new(), Vec::new());
    for _ in 0..COMMENTS {
        for piece in comment.chunks(5) {
            stream.push(piece, &mut out).unwrap();
            assert!(stream.pending_bytes() <= comment.len());
        }
    }
    stream.push(&chunked(&EVENTS), &mut out).unwrap();
    assert_eq!((String::from_utf8(out).unwrap(), stream.is_complete()), (EVENTS.concat(), true));
}

#[test]
fn a_report_with_a_missing_or_invalid_value_is_rejected() {
    let fields = [ReportField::LatencyMs, ReportField::MemoryShare, ReportField::PendingThousands];
    let expected = Some(vec![12.5, 0.25, 3.0]);
    assert_eq!(report::parse("TEXT lat_ms=12.5, x0=0.25, x1=3", &fields), expected);
    assert_eq!(
        report::parse("Endpoint-Load-Metrics: TEXT x1=3, x0=0.25, latency_ms=12.5", &fields),
        expected
    );
    assert_eq!(
        report::parse("JSON {\"named_metrics\":{\"x0\":0.25,\"x1\":3},\"lat_ms\":12.5}", &fields),
        expected
    );
    for bad in [
        "",
        "TEXT",
        "TEXT lat_ms=12.5, x0=0.25",
        "TEXT lat_ms=?, x0=0.25, x1=3",
        "TEXT lat_ms=12.5 x0=0.25",
        "TEXT lat_ms=nan, x0=0.25, x1=3",
        "TEXT lat_ms=-1, x0=0.25, x1=3",
        "JSON {\"lat_ms\":",
        "\u{0}\u{16}",
    ] {
        assert_eq!(report::parse(bad, &fields), None, "{bad:?}");
    }
}

#[test]
fn names_become_positions_and_a_whole_list_removes_the_servers_that_it_lacks() {
    let mut directory = Directory::default();
    let parse_list = |text: &str| Directory::parse(text.as_bytes(), &names());
    let whole = parse_list(
        r#"{"seq":4,"whole":true,"hosts":[
        {"host":"a","dial":"127.0.0.1:1","site":"west","class":"writes","block":3,"health":"SERVING","share":1.0,"born_ms":7},
        {"host":"b","dial":"127.0.0.1:2","site":"east","class":"reads","block":1,"health":"DRAINING"}]}"#,
    );
    let (mode, entries) = directory.apply(whole.unwrap(), false);
    assert_eq!((mode, entries.len()), (ListMode::Full, 2));
    let a = &entries[0];
    assert_eq!((a.zone, a.kind, a.cell, a.ready_at, a.listed), (1, 1, 3, 7_000, ServerStatus::Running));
    assert_eq!((entries[1].kind, entries[1].listed), (0, ServerStatus::Draining));
    let deletion =
        parse_list(r#"{"seq":5,"whole":false,"hosts":[{"host":"a","health":"DELETED"}]}"#).unwrap();
    let (mode, entries) = directory.apply(deletion, false);
    assert_eq!((mode, entries[0].listed), (ListMode::Changes, ServerStatus::Gone));
    assert_eq!(directory.len(), 1, "a server that has left the list is forgotten");
    let replacement = parse_list(
        r#"{"seq":6,"whole":true,"hosts":[{"host":"c","dial":"127.0.0.1:3","health":"SERVING"}]}"#,
    );
    directory.apply(replacement.unwrap(), false);
    let running = directory.running_by_zone().values().map(|servers| servers.len()).sum::<usize>();
    assert_eq!((directory.len(), running), (1, 1));
    for bad in [
        "{",
        "[]x",
        r#"{"hosts":[{"dial":"127.0.0.1:1","health":"SERVING"}]}"#,
        r#"{"hosts":[{"host":"a","dial":"nowhere","health":"SERVING"}]}"#,
        r#"{"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"FINE"}]}"#,
    ] {
        assert!(parse_list(bad).is_err(), "{bad}");
    }
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_key_and_the_reason() {
    let valid = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "limits":{"cores":0.5,"memory_mb":64,"sockets":512},"settings":{"skus":["reads"],"tick-us":2000,
        "limits":{"connect-timeout-us":250000},"services":[{"name":"plain"}]}}"#;
    let start = parse_configuration(valid).unwrap();
    assert_eq!((start.seed, start.allowed.descriptors), (0x8c1f_30d2_7a5b_e964, 512));
    let environment =
        EnvironmentOverrides { discovery: Some("127.0.0.1:7".into()), ..EnvironmentOverrides::default() };
    assert_eq!(
        NodeConfig::parse(valid, &environment).unwrap().discovery.port(),
        2,
        "the file takes precedence"
    );
    let without_discovery = valid.replace("\"discovery\":\"127.0.0.1:2\",", "");
    assert_eq!(NodeConfig::parse(&without_discovery, &environment).unwrap().discovery.port(), 7);
    let needs_restart =
        |from: &str, to: &str| start.needs_restart(&parse_configuration(&valid.replace(from, to)).unwrap());
    assert_eq!(needs_restart("127.0.0.1:2", "127.0.0.1:9"), None, "the address of discovery may change");
    assert_eq!(needs_restart("127.0.0.1:1", "127.0.0.1:9"), Some("listen"));
    assert_eq!(needs_restart("512", "256"), Some("limits"));
    assert!(needs_restart("plain", "fancy").is_some());
    for (from, to, expected) in [
        ("\"listen\":\"127.0.0.1:1\",", "", "listen: is missing"),
        ("127.0.0.1:2", "there", "discovery: \"there\" is not an address and port"),
        ("8c1f30d27a5be964", "xyz", "seed: \"xyz\" is not up to 16 hexadecimal digits"),
        ("512", "-1", "sockets: -1 is not a number above 0"),
        (
            "\"limits\":{\"connect",
            "\"limits\":{\"most-tries\":-1,\"connect",
            "settings: limits.most-tries: -1",
        ),
        // A missing key without which a node cannot serve is an error and not an empty value.
        ("\"skus\":[\"reads\"],", "", "settings: skus: is empty or missing"),
        ("\"connect-timeout-us\":250000", "", "limits.connect-timeout-us: is 0 or missing"),
        ("\"tick-us\":2000,", "", "tick-us: is 0 or missing"),
        ("}]}}", "}]}", "bad JSON"),
    ] {
        let error = parse_configuration(&valid.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn the_example_of_the_readme_is_a_valid_configuration() {
    let start = parse_configuration(include_str!("../../../examples/node.json")).unwrap();
    assert_eq!((start.known.hosts.len(), start.names.classes.len()), (2, 1));
}

/// Guards against forwarding known headers only: clients of other deployments send other headers, such as the idempotency
/// key by which engines drop repeated requests.
#[test]
fn all_end_to_end_headers_are_forwarded_to_engines() {
    let head = request_head(
        "POST /v1/chat/completions HTTP/1.1\nHost: backend.local\nX-Trace-Id: a1\nX-Qos: plain\n\
         Idempotency-Key: \"k-7\"\nX-Customer: daily\nConnection: keep-alive, X-Hop\nX-Hop: 1\n\
         TE: trailers\nExpect: 100-continue\nX-Expires-In-Ms: 40\nContent-Length: 2",
    );
    let fields = String::from_utf8(forward::fields(&head)).unwrap();
    assert_eq!(fields, "X-Qos: plain\r\nIdempotency-Key: \"k-7\"\r\nX-Customer: daily\r\n");
}
