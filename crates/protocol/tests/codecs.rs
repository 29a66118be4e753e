//! Every codec: any split of the bytes gives the same result, and arbitrary bytes never panic.

use elderstage_protocol::place::Place;
use elderstage_protocol::{engine, http, jsonrpc, mcp, orca, sse};
use proptest::prelude::*;

/// The same cases on every run, so that the verdict is the same too.
fn fixed() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_201);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Splits at the given cuts, in order.
fn pieces(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<u8>> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|pair| bytes[pair[0]..pair[1]].to_vec()).collect()
}

fn events(parts: &[Vec<u8>]) -> Result<Vec<sse::Event>, sse::SseError> {
    let (mut parser, mut out) = (sse::Parser::default(), Vec::new());
    parts.iter().try_for_each(|part| parser.push(part, &mut out))?;
    Ok(out)
}

fn body(framing: http::Framing, parts: &[Vec<u8>]) -> Result<(Vec<u8>, usize, bool), http::HttpError> {
    let (mut body, mut out, mut taken) = (http::Body::new(framing), Vec::new(), 0);
    for part in parts {
        taken += body.push(part, &mut out)?;
        if body.done() {
            break;
        }
    }
    Ok((out, taken, body.done()))
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn events_survive_any_split(
        sent in prop::collection::vec(("[a-z]{0,6}", "[ -~\u{e9}\u{1f600}\n]{0,40}"), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
        crlf in any::<bool>(),
    ) {
        let mut bytes = Vec::new();
        for (name, data) in &sent {
            sse::write((!name.is_empty()).then_some(name.as_str()), data, &mut bytes);
        }
        if crlf {
            bytes = String::from_utf8(bytes).unwrap().replace('\n', "\r\n").into_bytes();
        }
        let got = events(&pieces(&bytes, &cuts)).unwrap();
        let got: Vec<_> = got.into_iter().map(|event| (event.name, event.data)).collect();
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn chunked_bodies_survive_any_split(
        data in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
        after in prop::collection::vec(any::<u8>(), 0..10),
    ) {
        let mut bytes = Vec::new();
        data.iter().for_each(|part| http::write_chunk(part, &mut bytes));
        bytes.extend_from_slice(http::LAST_CHUNK);
        let whole = bytes.len();
        bytes.extend_from_slice(&after);
        let (got, taken, done) = body(http::Framing::Chunked, &pieces(&bytes, &cuts)).unwrap();
        prop_assert!(done);
        prop_assert_eq!(taken, whole);
        prop_assert_eq!(got, data.concat());
    }

    #[test]
    fn heads_survive_any_prefix(cut in any::<usize>(), value in "[!-~]{1,30}", length in 0u64..1000) {
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
    fn arbitrary_bytes_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        let parts = pieces(&bytes, &cuts);
        let limits = http::Limits { head: 128, body: 256 };
        let _ = http::parse_request(&bytes, limits);
        let _ = http::parse_response(&bytes, limits);
        let one = vec![bytes.clone()];
        prop_assert_eq!(body(http::Framing::Chunked, &parts).is_ok(), body(http::Framing::Chunked, &one).is_ok());
        prop_assert_eq!(events(&parts).is_ok(), events(&one).is_ok());
        let _ = jsonrpc::parse(&bytes);
        let _ = engine::read_answer(&bytes);
        let _ = engine::error_code(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = engine::chunk(&text);
        let _ = orca::parse(&text);
    }

    /// The learned frame must never change what an event means.
    #[test]
    fn text_read_by_its_frame_is_what_parsing_gives(
        texts in prop::collection::vec("[ -~\u{e9}\u{1f600}\n\t]{0,12}", 1..12),
        odd in prop::collection::vec(("[a-z\"\\\\{}:,]{0,14}", any::<usize>()), 0..4),
    ) {
        let mut events: Vec<String> = texts.iter().map(|text| engine::text_chunk("m", text)).collect();
        for (piece, at) in odd {
            // A valid event with something put into it, which may be malformed or mean something else.
            let mut event = events[at % events.len()].clone();
            let mut place = at % (event.len() + 1);
            while !event.is_char_boundary(place) {
                place -= 1;
            }
            event.insert_str(place, &piece);
            events.insert(at % events.len(), event);
        }
        let mut reader = engine::TextReader::default();
        for event in &events {
            let mut text = String::new();
            if reader.read(event, &mut text) {
                let parsed = engine::chunk(event).unwrap();
                prop_assert_eq!(parsed.text, text);
                prop_assert!(parsed.finish.is_none() && parsed.calls.is_empty() && parsed.error.is_none());
            }
        }
    }

    #[test]
    fn messages_of_any_shape_get_an_answer(text in r#"\{("jsonrpc":"2\.0",)?("id":(1|"a"|null|1\.5),)?("method":("x"|3),)?("params":(\[\]|\{\}),)?"z":0\}"#) {
        let parsed = jsonrpc::parse(text.as_bytes());
        if let Err(invalid) = parsed {
            let back = jsonrpc::response(invalid.id.as_ref(), Err(invalid.error));
            prop_assert!(back.contains("-32600") || back.contains("-32602"));
        }
    }
}

#[test]
fn lengths_that_can_be_read_in_two_ways_are_refused() {
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
fn bad_chunks_are_told() {
    for bad in ["x\r\n", "5\nhello", "-1\r\n", "2\r\nabc\r\n", "ffffffffffffffffffff\r\n", "\r\n"] {
        let parts = vec![bad.as_bytes().to_vec()];
        assert_eq!(body(http::Framing::Chunked, &parts), Err(http::HttpError::Chunk), "{bad:?}");
    }
}

#[test]
fn header_values_cannot_end_their_line() {
    let mut out = Vec::new();
    http::write_response(200, &[("x", "a\r\nevil: 1")], b"", true, &mut out);
    let (head, _) = http::parse_response(&out, http::Limits::default()).unwrap().unwrap();
    assert_eq!(head.headers.get("evil"), None);
}

#[test]
fn versions_are_negotiated() {
    assert_eq!(mcp::negotiate("2025-06-18"), "2025-06-18");
    assert_eq!(mcp::negotiate("2099-01-01"), "2025-11-25");
}

#[test]
fn calls_are_put_together_from_pieces() {
    let piece = |index, id: Option<&str>, arguments: &str| engine::CallPiece {
        index,
        id: id.map(str::to_owned),
        name: id.map(|_| "stock".to_owned()),
        arguments: arguments.into(),
    };
    let mut calls = engine::Calls::default();
    assert!(calls.push(piece(0, Some("c1"), "{\"a\"")));
    assert!(calls.push(piece(0, None, ":1}")));
    assert!(!calls.push(piece(2, Some("c2"), "")), "a place was left out");
    assert!(!calls.push(piece(1, None, "")), "a first piece has an id");
    assert_eq!(calls.take()[0].function.arguments, "{\"a\":1}");
}

#[test]
fn stream_chunks_read_back() {
    let text = "caf\u{e9} \"quoted\"\n";
    assert_eq!(engine::chunk(&engine::text_chunk("m", text)).unwrap().text, text);
    let usage = engine::Usage { prompt: 9, completion: 3, cached: 4 };
    let end = engine::chunk(&engine::end_chunk("m", engine::Finish::ToolCalls, usage)).unwrap();
    assert_eq!((end.finish, end.usage), (Some(engine::Finish::ToolCalls), Some(usage)));
    let params = engine::KvParams { remote_request_id: Some("r".into()), ..Default::default() };
    let (back, value) = engine::read_answer(&engine::read_body("m", usage, &params)).unwrap();
    assert_eq!(back, usage);
    assert_eq!(serde_json::from_value::<engine::KvParams>(value).unwrap(), params);
}

#[test]
fn reports_read_back() {
    let mut report = orca::Report { application_utilization: 0.5, ..Default::default() };
    report.named_metrics.insert(orca::KV_USAGE.into(), 0.25);
    assert_eq!(orca::parse(&orca::format(&report)), Some(report));
    assert_eq!(orca::parse("TEXT cpu_utilization=0.3"), None);
}

/// Addresses as an operator may write them, in each of the three forms.
fn places() -> impl Strategy<Value = Place> {
    let v4 = (1..=223u8, any::<[u8; 3]>(), 1..=u16::MAX)
        .prop_map(|(a, [b, c, d], port)| Place::Tcp(([a, b, c, d], port).into()));
    let v6 = (any::<[u16; 8]>(), 1..=u16::MAX, 1..=u32::MAX).prop_filter_map("usable", |(ip, port, zone)| {
        let ip = std::net::Ipv6Addr::from(ip);
        let zone = if ip.is_unicast_link_local() { zone } else { 0 };
        let usable = !ip.is_unspecified() && !ip.is_multicast();
        usable.then(|| Place::Tcp(std::net::SocketAddrV6::new(ip, port, 0, zone).into()))
    });
    let link = (any::<u16>(), 1..=u16::MAX, 1..=u32::MAX).prop_map(|(last, port, zone)| {
        let ip = std::net::Ipv6Addr::new(0xfe80, 0, 0, 0, 0, 0, 0, last);
        Place::Tcp(std::net::SocketAddrV6::new(ip, port, 0, zone).into())
    });
    let unix = "/[a-z0-9 :.%\\[\\]-]{0,90}[a-z]".prop_map(|path: String| Place::Unix(path.into()));
    prop_oneof![v4, v6, link, unix]
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn addresses_read_back_as_they_are_written(place in places()) {
        prop_assert_eq!(place.to_string().parse::<Place>(), Ok(place));
    }

    /// Close to an address, and not one: a byte more, less or other never panics, and what is taken reads back.
    #[test]
    fn near_addresses_are_taken_whole_or_refused(place in places(), at in any::<prop::sample::Index>(), with in ".{0,2}") {
        let mut chars: Vec<char> = place.to_string().chars().collect();
        let at = at.index(chars.len());
        chars.splice(at..=at, with.chars());
        let text: String = chars.into_iter().collect();
        if let Ok(read) = text.parse::<Place>() {
            prop_assert_eq!(read.to_string().parse::<Place>(), Ok(read));
        }
    }
}
