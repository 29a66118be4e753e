//! An engine's stream: chunks in any split to whole events that may be passed on.
//!
//! Only what can't turn out to be noise is passed on: the content of chunks whose end has come where their size said,
//! and of that only whole events. Nothing is held beyond a bound.

use elderstage_protocol::http::{Body, Framing, HttpError};
use memchr::memmem;
use thiserror::Error;

use crate::report;

/// Most bytes of a chunk; an engine's whole answer is no longer.
const MOST_CHUNK: u64 = 256 << 10;
/// Most bytes of an event that is not whole yet.
const MOST_EVENT: usize = 256 << 10;

/// Why a stream is of no more use.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Spoilt {
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("an event over {MOST_EVENT} bytes")]
    TooLarge,
    #[error("a line that is no event's")]
    NoEvent,
}

/// Takes a stream's bytes.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    /// Content of chunks; the last bytes may be of a chunk that is not whole.
    held: Vec<u8>,
    /// The engine's own mark of the end has come.
    marked: bool,
    cached: u64,
    report: Option<String>,
    /// Events passed on.
    events: u64,
}

/// What a stream came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Prompt tokens found kept.
    pub cached: u64,
    /// The text of a load report.
    pub report: Option<String>,
    /// Events that were passed on.
    pub events: u64,
}

impl Default for Stream {
    fn default() -> Stream {
        Stream::new()
    }
}

impl Stream {
    pub fn new() -> Stream {
        let body = Body::new(Framing::Chunked).with_most_chunk(MOST_CHUNK);
        Stream { body, held: Vec::new(), marked: false, cached: 0, report: None, events: 0 }
    }

    /// The last chunk has come.
    pub fn done(&self) -> bool {
        self.body.done()
    }

    /// Whether it ended as a stream should: with the mark of its end, and nothing half behind it.
    pub fn whole(&self) -> bool {
        self.done() && self.marked && self.held.is_empty()
    }

    /// What its end told.
    pub fn told(self) -> Told {
        Told { cached: self.cached, report: self.report, events: self.events }
    }

    /// Takes bytes, adds whole events to `out`, unchanged, and tells how many bytes belonged to the stream.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Spoilt> {
        let taken = self.body.push(bytes, &mut self.held);
        // What came before a bad chunk is good.
        let sure = self.held.len() - self.body.unsure().min(self.held.len());
        let mut at = 0;
        while let Some(end) = memmem::find(&self.held[at..sure], b"\n\n") {
            let block = at..at + end + 2;
            at = block.end;
            self.block(block, out)?;
        }
        self.held.drain(..at);
        if self.held.len() > MOST_EVENT {
            return Err(Spoilt::TooLarge);
        }
        Ok(taken?)
    }

    fn block(&mut self, at: std::ops::Range<usize>, out: &mut Vec<u8>) -> Result<(), Spoilt> {
        let block = &self.held[at];
        let mut events = false;
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
                events = true;
                self.marked |= data.trim_ascii() == b"[DONE]";
                if memmem::find(data, b"\"cached_tokens\"").is_some() {
                    self.cached = usage(data).unwrap_or(self.cached);
                }
            } else if ![&b"event:"[..], b"id:", b"retry:"].iter().any(|name| line.starts_with(name)) {
                return Err(Spoilt::NoEvent);
            }
        }
        // Comments are the engine's word to the node.
        if events {
            out.extend_from_slice(block);
            self.events += 1;
        }
        Ok(())
    }
}

fn usage(data: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    let cached = usage.get("prompt_tokens_details").and_then(|details| details.get("cached_tokens"));
    cached.or_else(|| usage.get("cached_tokens"))?.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64)
}
