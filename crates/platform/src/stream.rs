//! Relays an engine's stream: takes its bytes, cut anywhere, and yields complete events to forward.
//!
//! Only verified content is forwarded, unchanged: the content of chunks that ended where their size said, and of that only
//! complete events. Comments between events are for the node and are not forwarded. What is buffered is bounded. Whether a stream is whole
//! is decided in [`AnswerStream`]. The caller owns the sockets and the deadlines.

use elderstage_protocol::answer_stream::{AnswerPart, AnswerStream};
use elderstage_protocol::http::Framing;
use memchr::memmem;

pub use elderstage_protocol::answer_stream::AnswerStreamError as StreamError;

/// Largest chunk in bytes; an engine's whole answer is not longer.
const MAX_CHUNK_BYTES: u64 = 256 << 10;
/// Most bytes that are buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The state of a stream.
#[derive(Debug)]
pub struct EventStream {
    stream: AnswerStream,
    cached_tokens: u64,
    /// Number of events that were forwarded.
    forwarded_events: u64,
}

/// What a stream reported up to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamSummary {
    /// Number of cached prompt tokens.
    pub cached: u64,
    /// The value of the load report in a comment, if one came and the stream is whole.
    pub report: Option<String>,
    /// Number of events that were forwarded.
    pub events: u64,
}

impl Default for EventStream {
    fn default() -> EventStream {
        EventStream::new()
    }
}

impl EventStream {
    /// Creates the state before the first byte of a stream.
    pub fn new() -> EventStream {
        let stream =
            AnswerStream::new(Framing::Chunked, MAX_EVENT_BYTES).with_complete_chunks(MAX_CHUNK_BYTES);
        EventStream { stream, cached_tokens: 0, forwarded_events: 0 }
    }

    /// Returns whether the last chunk has come.
    pub fn is_ended(&self) -> bool {
        self.stream.is_ended()
    }

    /// Returns whether the stream is whole.
    pub fn is_complete(&self) -> bool {
        self.stream.is_whole()
    }

    /// Returns the number of bytes that are held because a chunk, an event or a line is incomplete.
    pub fn pending_bytes(&self) -> usize {
        self.stream.pending_bytes()
    }

    /// Returns what the stream reported.
    pub fn into_summary(self) -> StreamSummary {
        let report = self.stream.load_report().filter(|_| self.is_complete()).map(str::to_owned);
        StreamSummary { cached: self.cached_tokens, report, events: self.forwarded_events }
    }

    /// Takes bytes, appends complete events to `out` unchanged, and returns how many of the bytes belonged to the stream.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, StreamError> {
        let (cached_tokens, forwarded_events) = (&mut self.cached_tokens, &mut self.forwarded_events);
        self.stream.push(bytes, |part| match part {
            AnswerPart::Event { block, data } => {
                out.extend_from_slice(block.bytes());
                *forwarded_events += 1;
                if memmem::find(&data, b"\"cached_tokens\"").is_some() {
                    *cached_tokens = parse_cached_tokens(&data).unwrap_or(*cached_tokens);
                }
            }
            AnswerPart::LineFeed => out.push(b'\n'),
        })
    }
}

/// Returns the number of cached prompt tokens from the usage in an event's data.
fn parse_cached_tokens(data: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    let cached = usage.get("prompt_tokens_details").and_then(|details| details.get("cached_tokens"));
    cached.or_else(|| usage.get("cached_tokens"))?.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64)
}
