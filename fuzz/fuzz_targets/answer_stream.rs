//! Streamed answers of engines: no bytes make the parser panic or hold more than its bounds, and however the bytes are split,
//! the client gets the same events and the stream is whole or not.
#![no_main]

use elderstage_protocol::answer_stream::{AnswerPart, AnswerStream};
use elderstage_protocol::http::Framing;
use libfuzzer_sys::fuzz_target;

/// Most bytes of an event, and of a chunk.
const MAX_BYTES: usize = 256;

/// What a stream came to: the bytes for the client, whether it is whole, and its load report.
#[derive(Debug, PartialEq)]
struct Received {
    forwarded: Vec<u8>,
    is_whole: bool,
    report: Option<String>,
}

/// Receives the bytes in pieces of `step`. `None`: the stream is invalid.
fn receive(mut stream: AnswerStream, bytes: &[u8], step: usize) -> Option<Received> {
    let mut forwarded = Vec::new();
    for piece in bytes.chunks(step.max(1)) {
        let taken = stream
            .push(piece, |part| match part {
                AnswerPart::Event { block, .. } => forwarded.extend_from_slice(block.bytes()),
                AnswerPart::LineFeed => forwarded.push(b'\n'),
            })
            .ok()?;
        assert!(stream.pending_bytes() <= 2 * MAX_BYTES + piece.len());
        if taken < piece.len() {
            break;
        }
    }
    stream.close();
    Some(Received { forwarded, is_whole: stream.is_whole(), report: stream.load_report().map(str::to_owned) })
}

fuzz_target!(|data: &[u8]| {
    let [framing, step, bytes @ ..] = data else { return };
    let framing = match framing % 3 {
        0 => Framing::Chunked,
        1 => Framing::Length(u64::from(*framing) * 4),
        _ => Framing::UntilClose,
    };
    let stream = || AnswerStream::new(framing, MAX_BYTES).with_complete_chunks(MAX_BYTES as u64);
    let whole = receive(stream(), bytes, bytes.len());
    // Where a limit is reached, the split may decide which bytes count; everything else is the same.
    if let (Some(whole), Some(split)) = (whole, receive(stream(), bytes, usize::from(*step))) {
        assert_eq!(whole, split);
    }
});
