//! Parses an engine's stream of server-sent events, in chunks that may be split anywhere, into complete events to forward.
//!
//! Only verified content is forwarded: the content of chunks that ended where their size said, and of that only complete
//! events. The buffer is bounded. The caller owns the sockets and the deadlines.

use elderstage_protocol::http::{BodyDecoder, Framing, HttpError};
use memchr::memmem;
use thiserror::Error;

use crate::report;

/// Largest chunk in bytes; an engine's whole answer is not longer.
const MAX_CHUNK_BYTES: u64 = 256 << 10;
/// Most bytes that are buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The chunked encoding is invalid.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// An event exceeds the bound.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// A line does not belong to an event.
    #[error("a line is not part of a server-sent event")]
    NotAnEvent,
}

/// The state of a stream.
#[derive(Debug)]
pub struct EventStream {
    body: BodyDecoder,
    /// Content of chunks; the last bytes may belong to an incomplete chunk.
    buffer: Vec<u8>,
    /// The end mark of the engine, `[DONE]`, has come.
    has_end_mark: bool,
    cached_tokens: u64,
    report: Option<String>,
    /// Number of events that were forwarded.
    forwarded_events: u64,
}

/// What a stream reported up to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamSummary {
    /// Number of cached prompt tokens.
    pub cached: u64,
    /// The text of the load report, if one came.
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
        let body = BodyDecoder::new(Framing::Chunked).with_max_chunk_bytes(MAX_CHUNK_BYTES);
        EventStream {
            body,
            buffer: Vec::new(),
            has_end_mark: false,
            cached_tokens: 0,
            report: None,
            forwarded_events: 0,
        }
    }

    /// Returns whether the last chunk has come.
    pub fn is_ended(&self) -> bool {
        self.body.is_done()
    }

    /// Returns whether the stream ended completely: with the end mark, and without a partial event after it.
    pub fn is_complete(&self) -> bool {
        self.is_ended() && self.has_end_mark && self.buffer.is_empty()
    }

    /// Returns what the stream reported.
    pub fn into_summary(self) -> StreamSummary {
        StreamSummary { cached: self.cached_tokens, report: self.report, events: self.forwarded_events }
    }

    /// Takes bytes, appends complete events to `out` unchanged, and returns how many of the bytes belonged to the stream.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, StreamError> {
        let taken = self.body.push(bytes, &mut self.buffer);
        // Content that came before an invalid chunk is valid.
        let verified = self.buffer.len() - self.body.unconfirmed_bytes().min(self.buffer.len());
        let mut at = 0;
        while let Some(end) = memmem::find(&self.buffer[at..verified], b"\n\n") {
            let block = at..at + end + 2;
            at = block.end;
            self.forward_block(block, out)?;
        }
        self.buffer.drain(..at);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok(taken?)
    }

    /// Handles one block, which ends with an empty line: forwards it if it holds data, and evaluates its comments.
    fn forward_block(&mut self, at: std::ops::Range<usize>, out: &mut Vec<u8>) -> Result<(), StreamError> {
        let block = &self.buffer[at];
        let mut has_data = false;
        for line in block.split(|b| *b == b'\n').filter(|line| !line.is_empty()) {
            if let Some(comment) = line.strip_prefix(b":") {
                let comment = String::from_utf8_lossy(comment);
                let comment = comment.trim();
                if comment
                    .get(..report::HEADER.len())
                    .is_some_and(|name| name.eq_ignore_ascii_case(report::HEADER))
                {
                    self.report = Some(comment.to_owned());
                }
            } else if let Some(data) = line.strip_prefix(b"data:") {
                has_data = true;
                self.has_end_mark |= data.trim_ascii() == b"[DONE]";
                if memmem::find(data, b"\"cached_tokens\"").is_some() {
                    self.cached_tokens = parse_cached_tokens(data).unwrap_or(self.cached_tokens);
                }
            } else if ![&b"event:"[..], b"id:", b"retry:"].iter().any(|name| line.starts_with(name)) {
                return Err(StreamError::NotAnEvent);
            }
        }
        // A block without data holds comments for the node only, so it is not forwarded.
        if has_data {
            out.extend_from_slice(block);
            self.forwarded_events += 1;
        }
        Ok(())
    }
}

/// Returns the number of cached prompt tokens from the usage in an event's data.
fn parse_cached_tokens(data: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    let cached = usage.get("prompt_tokens_details").and_then(|details| details.get("cached_tokens"));
    cached.or_else(|| usage.get("cached_tokens"))?.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64)
}
