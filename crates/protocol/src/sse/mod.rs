//! Server-sent events (WHATWG HTML, section 9.2): one incremental parser for all streams, and a writer.
//!
//! - [`BlockParser`]: splits bytes that arrive in any pieces into blocks of fields and comments. All bytes are scanned
//!   once.
//! - [`Block`]: the fields of one block, and the data of the event that it stands for.
//! - [`EventParser`]: yields events as text.
//!
//! Lines end with LF, CR or CR LF. An empty line ends a block; a block with data is an event. A comment is a line of its
//! own and part of no event, so it needs no empty line. A byte order mark at the start is skipped.

mod block;
mod event;
mod parser;

use thiserror::Error;

pub use block::{Block, Field};
pub use event::{Event, EventParser};
pub use parser::{BlockParser, StreamPart};

/// The reason why a stream is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SseError {
    /// A block or a line exceeds the limit in bytes.
    #[error("event exceeds {0} bytes")]
    TooLarge(usize),
    /// A field is not valid UTF-8.
    #[error("field is not valid UTF-8")]
    Utf8,
}

/// Writes one event. Each line of the data becomes a `data` line.
pub fn write_event(name: Option<&str>, data: &str, out: &mut Vec<u8>) {
    if let Some(name) = name {
        out.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    for line in data.split('\n') {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(line.as_bytes());
        out.push(b'\n');
    }
    out.push(b'\n');
}
