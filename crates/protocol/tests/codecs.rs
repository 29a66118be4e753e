//! Tests of every codec: any split of the bytes gives the same result, and arbitrary bytes never cause a panic.

use elderstage_protocol::place::Endpoint;
use elderstage_protocol::{engine, http, jsonrpc, mcp, orca, sse};
use proptest::prelude::*;

/// A fixed seed, so that every run has the same cases and the same result.
fn fixed_seed() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_201);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Splits the bytes at the given cuts, in order.
fn split_at(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<u8>> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|pair| bytes[pair[0]..pair[1]].to_vec()).collect()
}

fn parse_events(parts: &[Vec<u8>]) -> Result<Vec<sse::Event>, sse::SseError> {
    let (mut parser, mut out) = (sse::EventParser::default(), Vec::new());
    parts.iter().try_for_each(|part| parser.push(part, &mut out))?;
    Ok(out)
}

fn decode_body(framing: http::Framing, parts: &[Vec<u8>]) -> Result<(Vec<u8>, usize, bool), http::HttpError> {
    let (mut body, mut out, mut taken) = (http::BodyDecoder::new(framing), Vec::new(), 0);
    for part in parts {
        taken += body.push(part, &mut out)?;
        if body.is_done() {
            break;
        }
    }
    Ok((out, taken, body.is_done()))
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn events_parse_the_same_in_any_split(
        sent in prop::collection::vec(("[a-z]{0,6}", "[ -~\u{e9}\u{1f600}\n]{0,40}"), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
        crlf in any::<bool>(),
    ) {
        let mut bytes = Vec::new();
        for (name, data) in &sent {
            sse::write_event((!name.is_empty()).then_some(name.as_str()), data, &mut bytes);
        }
        if crlf {
            bytes = String::from_utf8(bytes).unwrap().replace('\n', "\r\n").into_bytes();
        }
        let parsed = parse_events(&split_at(&bytes, &cuts)).unwrap();
        let parsed: Vec<_> = parsed.into_iter().map(|event| (event.name, event.data)).collect();
        prop_assert_eq!(parsed, sent);
    }

    #[test]
    fn chunked_bodies_decode_the_same_in_any_split(
        data in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
        after in prop::collection::vec(any::<u8>(), 0..10),
    ) {
        let mut bytes = Vec::new();
        data.iter().for_each(|part| http::write_chunk(part, &mut bytes));
        bytes.extend_from_slice(http::LAST_CHUNK);
        let body_bytes = bytes.len();
        bytes.extend_from_slice(&after);
        let (parsed, taken, done) = decode_body(http::Framing::Chunked, &split_at(&bytes, &cuts)).unwrap();
        prop_assert!(done);
        prop_assert_eq!(taken, body_bytes);
        prop_assert_eq!(parsed, data.concat());
    }

    #[test]
    fn an_incomplete_head_is_not_parsed_and_a_complete_one_is(cut in any::<usize>(), value in "[!-~]{1,30}", length in 0u64..1000) {
        let length_text = length.to_string();
        let mut bytes = Vec::new();
        let fields = [("x-a", value.as_str()), ("content-length", length_text.as_str())];
        http::write_request("GET", "/mcp", "h", &fields, b"", &mut bytes);
        let limits = http::Limits::default();
        let cut = cut % bytes.len();
        prop_assert_eq!(http::parse_request(&bytes[..cut], limits), Ok(None));
        let (head, n) = http::parse_request(&bytes, limits).unwrap().unwrap();
        prop_assert_eq!(n, bytes.len());
        prop_assert_eq!(head.framing, http::Framing::Length(length));
        prop_assert_eq!(head.headers.get("X-A"), Some(value.as_str()));
    }

    #[test]
    fn arbitrary_bytes_never_cause_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        let parts = split_at(&bytes, &cuts);
        let limits = http::Limits { head_bytes: 128, body_bytes: 256 };
        let _ = http::parse_request(&bytes, limits);
        let _ = http::parse_response(&bytes, limits);
        let one = vec![bytes.clone()];
        prop_assert_eq!(decode_body(http::Framing::Chunked, &parts).is_ok(), decode_body(http::Framing::Chunked, &one).is_ok());
        prop_assert_eq!(parse_events(&parts).is_ok(), parse_events(&one).is_ok());
        let _ = jsonrpc::parse(&bytes);
        let _ = engine::parse_reader_response(&bytes);
        let _ = engine::parse_error_code(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = engine::parse_chunk(&text);
        let _ = orca::parse(&text);
    }

    /// Guards against a wrong result when an event matches the learned prefix and suffix without being parsed.
    #[test]
    fn text_found_by_prefix_and_suffix_equals_parsed_text(
        texts in prop::collection::vec("[ -~\u{e9}\u{1f600}\n\t]{0,12}", 1..12),
        insertions in prop::collection::vec(("[a-z\"\\\\{}:,]{0,14}", any::<usize>()), 0..4),
    ) {
        let mut events: Vec<String> = texts.iter().map(|text| engine::write_text_event("m", text)).collect();
        for (piece, at) in insertions {
            // A valid event with text inserted, which may make it malformed or change its meaning.
            let mut event = events[at % events.len()].clone();
            let mut place = at % (event.len() + 1);
            while !event.is_char_boundary(place) {
                place -= 1;
            }
            event.insert_str(place, &piece);
            events.insert(at % events.len(), event);
        }
        let mut parser = engine::TextChunkParser::default();
        for event in &events {
            let mut text = String::new();
            if parser.parse(event, &mut text) {
                let parsed = engine::parse_chunk(event).unwrap();
                prop_assert_eq!(parsed.text, text);
                prop_assert!(parsed.finish.is_none() && parsed.tool_calls.is_empty() && parsed.error.is_none());
            }
        }
    }

    #[test]
    fn malformed_messages_get_an_error_response(text in r#"\{("jsonrpc":"2\.0",)?("id":(1|"a"|null|1\.5),)?("method":("x"|3),)?("params":(\[\]|\{\}),)?"z":0\}"#) {
        let parsed = jsonrpc::parse(text.as_bytes());
        if let Err(invalid) = parsed {
            let response = jsonrpc::response(invalid.id.as_ref(), Err(invalid.error));
            prop_assert!(response.contains("-32600") || response.contains("-32602"));
        }
    }
}

#[test]
fn ambiguous_body_lengths_are_refused() {
    let parse = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\n{fields}\r\n");
        http::parse_request(text.as_bytes(), http::Limits::default()).map(|head| head.unwrap().0.framing)
    };
    assert_eq!(parse("content-length: 3\r\ncontent-length: 3\r\n"), Ok(http::Framing::Length(3)));
    assert_eq!(parse("content-length: 3\r\ncontent-length: 4\r\n"), Err(http::HttpError::Length));
    assert_eq!(parse("content-length: +3\r\n"), Err(http::HttpError::Length));
    assert_eq!(parse("content-length: 3\r\ntransfer-encoding: chunked\r\n"), Err(http::HttpError::Ambiguous));
    assert_eq!(parse("transfer-encoding: gzip, chunked\r\n"), Err(http::HttpError::Encoding));
    assert_eq!(parse("transfer-encoding: chunked\r\n"), Ok(http::Framing::Chunked));
}

#[test]
fn malformed_chunks_are_refused() {
    for bad in ["x\r\n", "5\nhello", "-1\r\n", "2\r\nabc\r\n", "ffffffffffffffffffff\r\n", "\r\n"] {
        let parts = vec![bad.as_bytes().to_vec()];
        assert_eq!(decode_body(http::Framing::Chunked, &parts), Err(http::HttpError::Chunk), "{bad:?}");
    }
}

#[test]
fn header_values_cannot_inject_a_header() {
    let mut out = Vec::new();
    http::write_response(200, &[("x", "a\r\nevil: 1")], b"", true, &mut out);
    let (head, _) = http::parse_response(&out, http::Limits::default()).unwrap().unwrap();
    assert_eq!(head.headers.get("evil"), None);
}

#[test]
fn mcp_versions_are_negotiated() {
    assert_eq!(mcp::negotiate("2025-06-18"), "2025-06-18");
    assert_eq!(mcp::negotiate("2099-01-01"), "2025-11-25");
}

#[test]
fn tool_calls_are_assembled_from_pieces() {
    let piece = |index, id: Option<&str>, arguments: &str| engine::ToolCallPiece {
        index,
        id: id.map(str::to_owned),
        name: id.map(|_| "stock".to_owned()),
        arguments: arguments.into(),
    };
    let mut calls = engine::ToolCallAssembler::default();
    assert!(calls.push(piece(0, Some("c1"), "{\"a\"")));
    assert!(calls.push(piece(0, None, ":1}")));
    assert!(!calls.push(piece(2, Some("c2"), "")), "index 1 was skipped");
    assert!(!calls.push(piece(1, None, "")), "the first piece of a call must have an id");
    assert_eq!(calls.into_tool_calls()[0].function.arguments, "{\"a\":1}");
}

#[test]
fn stream_events_and_reader_responses_round_trip() {
    let text = "caf\u{e9} \"quoted\"\n";
    assert_eq!(engine::parse_chunk(&engine::write_text_event("m", text)).unwrap().text, text);
    let usage = engine::Usage { prompt: 9, completion: 3, cached: 4 };
    let end =
        engine::parse_chunk(&engine::write_end_event("m", engine::FinishReason::ToolCalls, usage)).unwrap();
    assert_eq!((end.finish, end.usage), (Some(engine::FinishReason::ToolCalls), Some(usage)));
    let params = engine::KvParams { remote_request_id: Some("r".into()), ..Default::default() };
    let (parsed_usage, value) =
        engine::parse_reader_response(&engine::write_reader_response("m", usage, &params)).unwrap();
    assert_eq!(parsed_usage, usage);
    assert_eq!(serde_json::from_value::<engine::KvParams>(value).unwrap(), params);
}

#[test]
fn load_reports_round_trip() {
    let mut report = orca::Report { application_utilization: 0.5, ..Default::default() };
    report.named_metrics.insert(orca::KV_USAGE_METRIC.into(), 0.25);
    assert_eq!(orca::parse(&orca::format(&report)), Some(report));
    assert_eq!(orca::parse("TEXT cpu_utilization=0.3"), None);
}

/// Addresses in each of the three forms.
fn any_address() -> impl Strategy<Value = Endpoint> {
    let v4 = (1..=223u8, any::<[u8; 3]>(), 1..=u16::MAX)
        .prop_map(|(a, [b, c, d], port)| Endpoint::Tcp(([a, b, c, d], port).into()));
    let v6 = (any::<[u16; 8]>(), 1..=u16::MAX, 1..=u32::MAX).prop_filter_map("usable", |(ip, port, zone)| {
        let ip = std::net::Ipv6Addr::from(ip);
        let zone = if ip.is_unicast_link_local() { zone } else { 0 };
        let usable = !ip.is_unspecified() && !ip.is_multicast();
        usable.then(|| Endpoint::Tcp(std::net::SocketAddrV6::new(ip, port, 0, zone).into()))
    });
    let link_local = (any::<u16>(), 1..=u16::MAX, 1..=u32::MAX).prop_map(|(last, port, zone)| {
        let ip = std::net::Ipv6Addr::new(0xfe80, 0, 0, 0, 0, 0, 0, last);
        Endpoint::Tcp(std::net::SocketAddrV6::new(ip, port, 0, zone).into())
    });
    let unix = "/[a-z0-9 :.%\\[\\]-]{0,90}[a-z]".prop_map(|path: String| Endpoint::Unix(path.into()));
    prop_oneof![v4, v6, link_local, unix]
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn printed_addresses_parse_to_themselves(place in any_address()) {
        prop_assert_eq!(place.to_string().parse::<Endpoint>(), Ok(place));
    }

    /// Changes one character of an address: parsing never panics, and an accepted address prints and parses to
    /// itself.
    #[test]
    fn changed_addresses_are_refused_or_round_trip(place in any_address(), at in any::<prop::sample::Index>(), with in ".{0,2}") {
        let mut chars: Vec<char> = place.to_string().chars().collect();
        let at = at.index(chars.len());
        chars.splice(at..=at, with.chars());
        let text: String = chars.into_iter().collect();
        if let Ok(read) = text.parse::<Endpoint>() {
            prop_assert_eq!(read.to_string().parse::<Endpoint>(), Ok(read));
        }
    }
}
