//! The streamed answer of an engine: server-sent events in the body of a response, of which the last is the end mark.
//!
//! A stream is whole if
//!
//! 1. its body has ended as its framing says: after the last chunk, after the stated length, or, if the connection's end
//!    ends the body, after an orderly close; and
//! 2. its last event is the end mark `[DONE]`: after it, no other event has begun.
//!
//! Comments are no events. They may follow the end mark with or without an empty line or a line end, and may carry a load
//! report. How the bytes were cut into chunks and packets makes no difference.

use std::borrow::Cow;

use thiserror::Error;

use crate::engine::STREAM_END_DATA;
use crate::http::{BodyDecoder, Framing, HttpError};
use crate::orca;
use crate::sse::{Block, BlockParser, SseError, StreamPart};

/// Why a stream is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AnswerStreamError {
    /// The body's framing is invalid.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// An event exceeds the limit.
    #[error("{0}")]
    Event(#[from] SseError),
    /// A block has no field of a server-sent event.
    #[error("a block is not part of an event stream")]
    NotAnEvent,
}

/// What a stream has for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart<'a> {
    /// A complete event, the end mark included.
    Event {
        /// The block as it was received.
        block: Block<'a>,
        /// Its data.
        data: Cow<'a, [u8]>,
    },
    /// The LF of a CR LF that ended the last event, which was passed on at the CR.
    LineFeed,
}

/// The events so far.
#[derive(Clone, Copy, Debug, Default)]
struct EventState {
    /// Whether the last event was the end mark.
    has_end_mark: bool,
    /// Whether the last block was an event and was passed on.
    is_last_block_event: bool,
}

/// Incremental parser of a streamed answer.
#[derive(Clone, Debug)]
pub struct AnswerStream {
    body: BodyDecoder,
    /// Whether the peer has closed the connection in an orderly way.
    is_closed: bool,
    /// Decoded bytes that the parser does not have yet.
    decoded: Vec<u8>,
    /// Whether the parser gets the bytes of a chunk only after the chunk has ended where its size said.
    needs_complete_chunks: bool,
    parser: BlockParser,
    events: EventState,
    load_report: Option<String>,
}

impl AnswerStream {
    /// The state before the first byte of the body. Events and comments are limited to `max_event_bytes`.
    pub fn new(framing: Framing, max_event_bytes: usize) -> AnswerStream {
        AnswerStream {
            body: BodyDecoder::new(framing),
            is_closed: false,
            decoded: Vec::new(),
            needs_complete_chunks: false,
            parser: BlockParser::new(max_event_bytes),
            events: EventState::default(),
            load_report: None,
        }
    }

    /// Yields nothing of a chunk before it has ended where its size said. A chunk that announces more than
    /// `max_chunk_bytes` is invalid.
    pub fn with_complete_chunks(self, max_chunk_bytes: u64) -> AnswerStream {
        let body = self.body.with_max_chunk_bytes(max_chunk_bytes);
        AnswerStream { body, needs_complete_chunks: true, ..self }
    }

    /// Whether the body has ended.
    pub fn is_ended(&self) -> bool {
        self.body.is_done() || self.is_closed && self.body.framing() == Framing::UntilClose
    }

    /// Whether the stream is whole: it has ended as its framing says, and its last event is the end mark.
    pub fn is_whole(&self) -> bool {
        self.is_ended() && self.has_end_mark() && !self.parser.has_unfinished_block()
    }

    /// Whether the last event so far is the end mark.
    pub fn has_end_mark(&self) -> bool {
        self.events.has_end_mark
    }

    /// The value of the last load report that came in a comment.
    pub fn load_report(&self) -> Option<&str> {
        self.load_report.as_deref()
    }

    /// Number of bytes that are held because a chunk, an event or a line is incomplete.
    pub fn pending_bytes(&self) -> usize {
        self.decoded.len() + self.parser.pending_bytes()
    }

    /// Records that the peer has closed the connection in an orderly way.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.take_last_comment();
    }

    /// Takes bytes of the body, passes what they complete to `on_part`, and returns how many of them belonged to the body.
    /// What precedes an error is passed on.
    pub fn push(
        &mut self,
        bytes: &[u8],
        mut on_part: impl FnMut(AnswerPart<'_>),
    ) -> Result<usize, AnswerStreamError> {
        let taken = self.body.push(bytes, &mut self.decoded);
        let unconfirmed = if self.needs_complete_chunks { self.body.unconfirmed_bytes() } else { 0 };
        let confirmed = self.decoded.len().saturating_sub(unconfirmed);
        let (events, load_report) = (&mut self.events, &mut self.load_report);
        let parsed = self.parser.push(&self.decoded[..confirmed], |part| {
            match part {
                StreamPart::Block(block) => {
                    if let Some(event) = events.read_block(block)? {
                        on_part(event);
                    }
                }
                StreamPart::Comment(comment) => record_comment(comment, load_report),
                StreamPart::LineFeed if events.is_last_block_event => on_part(AnswerPart::LineFeed),
                StreamPart::LineFeed => {}
            }
            Ok::<(), AnswerStreamError>(())
        });
        self.decoded.drain(..confirmed);
        parsed?;
        let taken = taken?;
        if self.is_ended() {
            self.take_last_comment();
        }
        Ok(taken)
    }

    /// Takes the comment at the end of the body that no line end has followed, if there is one.
    fn take_last_comment(&mut self) {
        if self.is_ended()
            && let Some(comment) = self.parser.take_unfinished_comment()
        {
            record_comment(&comment, &mut self.load_report);
        }
    }
}

impl EventState {
    /// Interprets a block. `None`: it has no data and is no event.
    fn read_block<'a>(&mut self, block: Block<'a>) -> Result<Option<AnswerPart<'a>>, AnswerStreamError> {
        let data = block.data();
        self.is_last_block_event = data.is_some();
        let Some(data) = data else {
            // Nothing that follows the end mark can add to the answer, so it need not be an event stream.
            let is_acceptable = block.has_known_field() || self.has_end_mark;
            return if is_acceptable { Ok(None) } else { Err(AnswerStreamError::NotAnEvent) };
        };
        self.has_end_mark = data.trim_ascii() == STREAM_END_DATA.as_bytes();
        Ok(Some(AnswerPart::Event { block, data }))
    }
}

/// Keeps the load report of a comment, if it has one.
fn record_comment(comment: &[u8], load_report: &mut Option<String>) {
    if let Some(report) = orca::report_in_comment(comment) {
        *load_report = Some(report);
    }
}
