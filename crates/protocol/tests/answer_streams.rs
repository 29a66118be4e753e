//! Tests of the streamed answers of engines: when one is whole, and what its client gets, however its bytes are cut.

use elderstage_protocol::answer_stream::{AnswerPart, AnswerStream, AnswerStreamError};
use elderstage_protocol::http::{self, Framing, HttpError};
use elderstage_protocol::sse::{BlockParser, SseError, StreamPart};
use proptest::prelude::*;

/// Most bytes of an event in these tests.
const MAX_EVENT_BYTES: usize = 4 << 10;

const EVENTS: &str = "data: {\"n\":1}\n\nevent: more\ndata: {\"n\":2}\ndata: second line\n\ndata: [DONE]\n\n";
const REPORT: &str = ": Endpoint-Load-Metrics: TEXT util=0.5, queue=2";

/// A fixed seed, so that every run has the same cases and the same result.
fn fixed_seed() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// What was received of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct Received {
    /// The bytes for the client.
    bytes: Vec<u8>,
    is_whole: bool,
    report: Option<String>,
}

/// Receives the pieces of a body.
fn receive<'a>(
    mut stream: AnswerStream,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Received, AnswerStreamError> {
    let mut bytes = Vec::new();
    for piece in pieces {
        let taken = stream.push(piece, |part| match part {
            AnswerPart::Event { block, .. } => bytes.extend_from_slice(block.bytes()),
            AnswerPart::LineFeed => bytes.push(b'\n'),
        })?;
        assert_eq!(taken, piece.len());
    }
    stream.close();
    let report = stream.load_report().map(str::to_owned);
    Ok(Received { bytes, is_whole: stream.is_whole(), report })
}

/// The text as a chunked body of these chunks.
fn chunked<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut bytes = Vec::new();
    pieces.into_iter().for_each(|piece| http::write_chunk(piece, &mut bytes));
    bytes.extend_from_slice(http::LAST_CHUNK);
    bytes
}

/// What may follow the end mark, whether the stream is whole then, and whether it has a load report.
fn endings() -> Vec<(String, bool, bool)> {
    let ending = |last: &str, is_whole, has_report| (last.to_owned(), is_whole, has_report);
    vec![
        ending("", true, false),
        ending(REPORT, true, true),
        ending(&format!("{REPORT}\n"), true, true),
        ending(&format!("{REPORT}\n\n"), true, true),
        ending(&format!(": a note\n{REPORT}\n:\n"), true, true),
        ending("\n\n: a note", true, false),
        ending("id: 7\n\n", true, false),
        ending("no field of an event\n\n", true, false),
        ending("data: [DONE]\n\n", true, false),
        ending("data: half", false, false),
        ending("data: half\n", false, false),
        ending("id: 7\n", false, false),
        ending(&format!("{REPORT}\ndata: half\n"), false, true),
        ending("data: {\"n\":3}\n\n", false, false),
        ending(&format!("data: {{\"n\":3}}\n\n{REPORT}\n"), false, true),
    ]
}

/// Guards against finished streams that are cut, since their last line is a comment (`review/9`): the same rule for each
/// framing, each line end and each place at which the bytes are cut into chunks or packets.
#[test]
fn a_stream_is_whole_by_its_framing_and_its_last_event() {
    for line_end in ["\n", "\r\n", "\r"] {
        for (last, is_whole, has_report) in endings() {
            let events = EVENTS.replace('\n', line_end);
            let last_event = if last.starts_with("data:") && last.contains("\n\n") {
                last.split_inclusive("\n\n").next()
            } else {
                None
            };
            let wanted = events.clone() + &last_event.unwrap_or_default().replace('\n', line_end);
            let body = (events + &last.replace('\n', line_end)).into_bytes();
            for cut in 0..=body.len() {
                let case = format!("{line_end:?}, {last:?}, cut at {cut}");
                let check = |received: Received, is_body_whole: bool| {
                    assert_eq!(String::from_utf8(received.bytes).unwrap(), wanted, "{case}");
                    assert_eq!(received.is_whole, is_whole && is_body_whole, "{case}");
                    assert_eq!(received.report.is_some(), has_report, "{case}");
                };
                let pieces = || [&body[..cut], &body[cut..]];
                let length = body.len() as u64;
                check(
                    receive(AnswerStream::new(Framing::Length(length), MAX_EVENT_BYTES), pieces()).unwrap(),
                    true,
                );
                check(
                    receive(AnswerStream::new(Framing::UntilClose, MAX_EVENT_BYTES), pieces()).unwrap(),
                    true,
                );
                // A cut between two chunks, and the packets cut anywhere.
                let chunks = chunked(pieces());
                for packet in [1, 2, 3, 5, chunks.len()] {
                    for needs_complete_chunks in [false, true] {
                        let stream = AnswerStream::new(Framing::Chunked, MAX_EVENT_BYTES);
                        let stream =
                            if needs_complete_chunks { stream.with_complete_chunks(1 << 10) } else { stream };
                        check(receive(stream, chunks.chunks(packet)).unwrap(), true);
                    }
                }
            }
        }
    }
}

/// Guards against broken answers that are served as whole: a body that is cut short is not whole, whatever its events are.
#[test]
fn a_body_that_is_cut_short_is_not_whole() {
    for last in ["", REPORT, &format!("{REPORT}\n\n")] {
        let body = EVENTS.to_owned() + last;
        let too_long = Framing::Length(body.len() as u64 + 1);
        let received = receive(AnswerStream::new(too_long, MAX_EVENT_BYTES), [body.as_bytes()]).unwrap();
        assert!(!received.is_whole && received.bytes == EVENTS.as_bytes(), "{received:?}");
        let chunks = chunked([body.as_bytes()]);
        for missing in 1..=http::LAST_CHUNK.len() {
            let part = &chunks[..chunks.len() - missing];
            let received = receive(AnswerStream::new(Framing::Chunked, MAX_EVENT_BYTES), [part]).unwrap();
            assert!(
                !received.is_whole && received.bytes == EVENTS.as_bytes(),
                "{missing} missing: {received:?}"
            );
        }
    }
    // Without an orderly close, the end of a body that ends with its connection is not known.
    let mut stream = AnswerStream::new(Framing::UntilClose, MAX_EVENT_BYTES);
    stream.push(EVENTS.as_bytes(), |_| {}).unwrap();
    assert!(!stream.is_whole());
    stream.close();
    assert!(stream.is_whole());
}

/// Guards against events that arrive late: one whose lines end with CR alone is yielded at its empty line, not at the byte
/// after it.
#[test]
fn an_event_is_yielded_as_soon_as_its_empty_line_has_come() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = "data: 1\n\n".replace('\n', line_end);
        let mut stream = AnswerStream::new(Framing::Chunked, MAX_EVENT_BYTES).with_complete_chunks(1 << 10);
        for n in 1..=3 {
            let chunks = chunked([event.as_bytes()]);
            let mut events = 0;
            stream
                .push(&chunks[..chunks.len() - http::LAST_CHUNK.len()], |part| {
                    events += usize::from(matches!(part, AnswerPart::Event { .. }));
                })
                .unwrap();
            assert_eq!(events, 1, "{line_end:?}, event {n}");
        }
    }
}

/// Guards against CPU time that grows with the square of the bytes: nothing is held, and looked at again, but one event
/// and one line.
#[test]
fn comments_are_not_held() {
    for framing in [Framing::UntilClose, Framing::Chunked] {
        let mut stream = AnswerStream::new(framing, MAX_EVENT_BYTES);
        let comment = if framing == Framing::Chunked { chunked([&b":.\n"[..]]) } else { b":.\n".to_vec() };
        let comment = comment.strip_suffix(http::LAST_CHUNK).unwrap_or(&comment);
        for _ in 0..4 * MAX_EVENT_BYTES {
            for byte in comment {
                stream.push(&[*byte], |_| panic!("a comment is no event")).unwrap();
                assert!(stream.pending_bytes() < 4);
            }
        }
    }
}

#[test]
fn what_is_no_event_stream_or_too_large_is_an_error() {
    let stream = || AnswerStream::new(Framing::UntilClose, MAX_EVENT_BYTES);
    let mut forwarded = Vec::new();
    let mut keep = |part: AnswerPart<'_>| {
        if let AnswerPart::Event { data, .. } = part {
            forwarded.push(data.into_owned());
        }
    };
    assert_eq!(stream().push(b"<html>no event</html>\n\n", &mut keep), Err(AnswerStreamError::NotAnEvent));
    let unknown_field = b"vendor: x\ndata: 1\n\n";
    assert_eq!(stream().push(unknown_field, &mut keep), Ok(unknown_field.len()));
    let too_large = Err(AnswerStreamError::Event(SseError::TooLarge(MAX_EVENT_BYTES)));
    for large in ["data: ", ": "].map(|start| start.to_owned() + &"x".repeat(MAX_EVENT_BYTES)) {
        assert_eq!(stream().push(large.as_bytes(), &mut keep), too_large);
        assert_eq!(stream().push((large + "\n\n").as_bytes(), &mut keep), too_large);
    }
    // What precedes an invalid chunk is passed on.
    let mut chunked_stream = AnswerStream::new(Framing::Chunked, MAX_EVENT_BYTES);
    let result = chunked_stream.push(b"9\r\ndata: 2\n\n\r\nxyz\r\n", &mut keep);
    assert_eq!(result, Err(AnswerStreamError::Http(HttpError::Chunk)));
    assert_eq!(forwarded, [b"1", b"2"]);
}

/// A part of a stream, as a value.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OwnedPart {
    Block(Vec<u8>),
    Comment(Vec<u8>),
}

/// Splits a whole stream without an incremental parser: the definition that the parser is compared with.
fn split_whole(text: &str) -> Vec<OwnedPart> {
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let (mut parts, mut block) = (Vec::new(), String::new());
    // What follows the last line end is no complete line.
    for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
        if let Some(comment) = line.strip_prefix(':') {
            parts.push(OwnedPart::Comment(comment.trim_end_matches('\n').as_bytes().to_vec()));
        }
        match line.as_bytes()[0] {
            b':' | b'\n' if block.is_empty() => {}
            b'\n' => parts.push(OwnedPart::Block((std::mem::take(&mut block) + "\n").into_bytes())),
            _ => block.push_str(line),
        }
    }
    parts
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// The parser finds the same blocks and comments as a split of the whole text, and holds no byte back or twice.
    #[test]
    fn blocks_and_comments_are_those_of_the_whole_text(
        lines in prop::collection::vec(("(|:|: c|data: x|data|id: 1|[a-z:]{0,5})", "(\n|\r\n|\r)"), 0..24),
        last in "(|:|data|: c)",
        cuts in prop::collection::vec(1usize..9, 1..20),
    ) {
        let text: String = lines.iter().flat_map(|(line, end)| [line.as_str(), end]).chain([last.as_str()]).collect();
        let (mut parser, mut parts) = (BlockParser::new(MAX_EVENT_BYTES), Vec::new());
        let (mut block_bytes, mut at) = (0, 0);
        for cut in cuts.iter().cycle() {
            if at >= text.len() {
                break;
            }
            let end = (at + cut).min(text.len());
            parser.push(&text.as_bytes()[at..end], |part| {
                match part {
                    StreamPart::Block(block) => {
                        block_bytes += block.bytes().len();
                        let normal = String::from_utf8_lossy(block.bytes()).replace("\r\n", "\n").replace('\r', "\n");
                        parts.push(OwnedPart::Block(normal.into_bytes()));
                    }
                    StreamPart::Comment(comment) => parts.push(OwnedPart::Comment(comment.to_vec())),
                    StreamPart::LineFeed => block_bytes += 1,
                }
                Ok::<(), SseError>(())
            }).unwrap();
            at = end;
        }
        prop_assert_eq!(parts, split_whole(&text));
        prop_assert!(block_bytes <= text.len());
    }
}
