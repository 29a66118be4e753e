//! Parses an engine's stream of server-sent events, in chunks that may be split anywhere, into complete events to forward.
//!
//! Only verified content is forwarded: the content of chunks that ended where their size said, and of that only complete
//! events. Lines end with LF, CR or CR LF, and an empty line ends an event. Comments need no empty line (HTML Living
//! Standard, "Server-sent events", 9.2.6): a stream that ends with some is whole. The buffer is bounded. The caller owns the
//! sockets and the deadlines.

use elderstage_protocol::http::{BodyDecoder, Framing, HttpError};
use memchr::{memchr2, memmem};
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

    /// Returns whether the stream ended completely: as its framing says, with the end mark, and without a partial event after
    /// it.
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
        let is_ended = taken.is_ok() && self.body.is_done();
        let buffer = std::mem::take(&mut self.buffer);
        let forwarded = self.forward_blocks(&buffer[..verified], is_ended, out);
        self.buffer = buffer;
        self.buffer.drain(..forwarded?);
        if is_ended {
            self.take_last_comments();
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok(taken?)
    }

    /// Takes the comments that follow the last block at the end of the stream. A partial event remains in the buffer.
    fn take_last_comments(&mut self) {
        if !lines(&self.buffer).all(|line| line.starts_with(b":")) {
            return;
        }
        let comments = std::mem::take(&mut self.buffer);
        for comment in lines(&comments).filter_map(|line| line.strip_prefix(b":")) {
            self.record_comment(comment);
        }
    }

    /// Takes the load report from a comment, if it is one.
    fn record_comment(&mut self, comment: &[u8]) {
        let comment = String::from_utf8_lossy(comment);
        let comment = comment.trim();
        let name = comment.get(..report::HEADER.len());
        if name.is_some_and(|name| name.eq_ignore_ascii_case(report::HEADER)) {
            self.report = Some(comment.to_owned());
        }
    }

    /// Handles all complete blocks and returns their length.
    fn forward_blocks(
        &mut self,
        bytes: &[u8],
        is_ended: bool,
        out: &mut Vec<u8>,
    ) -> Result<usize, StreamError> {
        let mut at = 0;
        while let Some(length) = find_block_end(&bytes[at..], is_ended) {
            self.forward_block(&bytes[at..at + length], out)?;
            at += length;
        }
        Ok(at)
    }

    /// Handles one block, which ends with an empty line: forwards it if it holds data, and evaluates its comments.
    fn forward_block(&mut self, block: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        let mut has_data = false;
        for line in lines(block) {
            if let Some(comment) = line.strip_prefix(b":") {
                self.record_comment(comment);
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

/// Returns the lines of a block that are not empty, without their ends.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|byte| matches!(byte, b'\n' | b'\r')).filter(|line| !line.is_empty())
}

/// Returns the length of the first block with the empty line that ends it; `None` if it is incomplete. A CR at the end of
/// the bytes may be the first half of a CR LF, unless the stream has ended.
fn find_block_end(bytes: &[u8], is_ended: bool) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = memchr2(b'\n', b'\r', &bytes[line_start..]) {
        let end = line_start + length;
        let next_line = match (bytes[end], bytes.get(end + 1)) {
            (b'\r', Some(b'\n')) => end + 2,
            (b'\r', None) if !is_ended => return None,
            _ => end + 1,
        };
        if length == 0 {
            return Some(next_line);
        }
        line_start = next_line;
    }
    None
}

/// Returns the number of cached prompt tokens from the usage in an event's data.
fn parse_cached_tokens(data: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    let cached = usage.get("prompt_tokens_details").and_then(|details| details.get("cached_tokens"));
    cached.or_else(|| usage.get("cached_tokens"))?.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64)
}
