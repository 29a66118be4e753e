//! The ways in which a mock engine ends its streams.

use std::borrow::Cow;

use elderstage_protocol::http;

/// Bytes of a chunk in [`StreamEnding::SmallChunks`].
const SMALL_CHUNK_BYTES: usize = 3;

/// How a stream ends, and how its lines and chunks do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamEnding {
    /// After the end mark.
    #[default]
    Plain,
    /// With a load report in a comment that has no line end.
    Comment,
    /// With a load report in a comment that has a line end.
    CommentLine,
    /// With a load report in a comment and an empty line.
    CommentBlock,
    /// Lines end with CR.
    Cr,
    /// Lines end with CR LF.
    CrLf,
    /// Lines end with CR, the last one is a comment.
    CrComment,
    /// Each chunk has a few bytes, the last line is a comment.
    SmallChunks,
    /// The last chunk is missing.
    NoLastChunk,
    /// A part of the last chunk is missing.
    HalfLastChunk,
    /// An event has begun behind the end mark.
    HalfEvent,
    /// An event follows the end mark.
    EventAfter,
}

impl StreamEnding {
    /// All endings.
    pub const ALL: [StreamEnding; 12] = [
        StreamEnding::Plain,
        StreamEnding::Comment,
        StreamEnding::CommentLine,
        StreamEnding::CommentBlock,
        StreamEnding::Cr,
        StreamEnding::CrLf,
        StreamEnding::CrComment,
        StreamEnding::SmallChunks,
        StreamEnding::NoLastChunk,
        StreamEnding::HalfLastChunk,
        StreamEnding::HalfEvent,
        StreamEnding::EventAfter,
    ];

    /// Its name in scripts and request ids.
    pub fn name(self) -> &'static str {
        match self {
            StreamEnding::Plain => "plain",
            StreamEnding::Comment => "comment",
            StreamEnding::CommentLine => "comment-line",
            StreamEnding::CommentBlock => "comment-block",
            StreamEnding::Cr => "cr",
            StreamEnding::CrLf => "crlf",
            StreamEnding::CrComment => "cr-comment",
            StreamEnding::SmallChunks => "small-chunks",
            StreamEnding::NoLastChunk => "no-last-chunk",
            StreamEnding::HalfLastChunk => "half-last-chunk",
            StreamEnding::HalfEvent => "half-event",
            StreamEnding::EventAfter => "event-after",
        }
    }

    /// The ending of this name.
    pub fn from_name(name: &str) -> Option<StreamEnding> {
        StreamEnding::ALL.into_iter().find(|ending| ending.name() == name)
    }

    /// Whether the engine finishes the stream.
    pub fn is_finished(self) -> bool {
        !matches!(
            self,
            StreamEnding::NoLastChunk
                | StreamEnding::HalfLastChunk
                | StreamEnding::HalfEvent
                | StreamEnding::EventAfter
        )
    }

    fn line_end(self) -> &'static str {
        match self {
            StreamEnding::Cr | StreamEnding::CrComment => "\r",
            StreamEnding::CrLf => "\r\n",
            _ => "\n",
        }
    }

    /// Converts events with lines that end with LF to the events of this stream.
    pub fn events(self, events: &str) -> Cow<'_, str> {
        match self.line_end() {
            "\n" => Cow::Borrowed(events),
            line_end => Cow::Owned(events.replace('\n', line_end)),
        }
    }

    /// What follows the end mark in the body.
    fn last_lines(self, report: &str) -> String {
        let comment = format!(": Endpoint-Load-Metrics: {report}");
        let lines = match self {
            StreamEnding::Comment => comment,
            StreamEnding::CommentLine | StreamEnding::CrComment | StreamEnding::SmallChunks => comment + "\n",
            StreamEnding::CommentBlock => comment + "\n\n",
            StreamEnding::HalfEvent => "data: {\"half\":".to_owned(),
            StreamEnding::EventAfter => "data: {\"after\":1}\n\n".to_owned(),
            _ => String::new(),
        };
        lines.replace('\n', self.line_end())
    }

    /// Appends these events to a chunked body.
    pub fn write_events(self, events: &str, out: &mut Vec<u8>) {
        let events = self.events(events);
        let chunk_bytes = if self == StreamEnding::SmallChunks { SMALL_CHUNK_BYTES } else { events.len() };
        events.as_bytes().chunks(chunk_bytes.max(1)).for_each(|chunk| http::write_chunk(chunk, out));
    }

    /// Appends what follows the end mark to a chunked body. `report` is the value of a load report.
    pub fn write_end(self, report: &str, out: &mut Vec<u8>) {
        http::write_chunk(self.last_lines(report).as_bytes(), out);
        let missing = match self {
            StreamEnding::NoLastChunk => http::LAST_CHUNK.len(),
            StreamEnding::HalfLastChunk => 2,
            _ => 0,
        };
        out.extend_from_slice(&http::LAST_CHUNK[..http::LAST_CHUNK.len() - missing]);
    }
}
