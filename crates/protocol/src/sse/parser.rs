//! The incremental parser of event streams.

use super::{Block, SseError};

/// A byte order mark in UTF-8.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A part of a stream that the parser has recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamPart<'a> {
    /// A block that begins with a field line, ended by an empty line.
    Block(Block<'a>),
    /// A comment: the line without its colon and its end. A block has the comments between its fields, too.
    Comment(&'a [u8]),
    /// The LF of a CR LF that ended the last block. Its CR came earlier, and the block was passed on then.
    LineFeed,
}

/// The line that a CR ended as the last byte received. An LF that follows belongs to the same line end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineBeforeCr {
    /// The last byte was no CR.
    #[default]
    None,
    /// A line of the block in progress.
    InBlock,
    /// The empty line that ended a block.
    EndOfBlock,
    /// A comment or an empty line, outside of a block.
    Ignored,
}

/// Incremental parser of an event stream. It holds at most one block, and looks at each byte once.
#[derive(Clone, Debug)]
pub struct BlockParser {
    /// The lines of the block in progress, followed by the incomplete line.
    pending: Vec<u8>,
    /// Where the incomplete line starts in `pending`.
    line_start: usize,
    line_before_cr: LineBeforeCr,
    /// Whether the first line, which may begin with a byte order mark, has ended.
    has_first_line: bool,
    max_block_bytes: usize,
}

impl BlockParser {
    /// A parser that accepts blocks and comments of at most this many bytes.
    pub fn new(max_block_bytes: usize) -> BlockParser {
        BlockParser {
            pending: Vec::new(),
            line_start: 0,
            line_before_cr: LineBeforeCr::None,
            has_first_line: false,
            max_block_bytes,
        }
    }

    /// Number of bytes that are held for an incomplete block or line.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether a block has begun that no empty line has ended.
    pub fn has_unfinished_block(&self) -> bool {
        self.line_start > 0 || self.pending.first().is_some_and(|first| *first != b':')
    }

    /// At the end of the stream: takes the comment that no line end has followed, if there is one.
    pub fn take_unfinished_comment(&mut self) -> Option<Vec<u8>> {
        let is_comment = self.pending.get(self.line_start) == Some(&b':');
        is_comment.then(|| self.pending.split_off(self.line_start).split_off(1))
    }

    /// Parses bytes and passes each part that they complete to `on_part`. Stops at the first error.
    pub fn push<E: From<SseError>>(
        &mut self,
        bytes: &[u8],
        mut on_part: impl FnMut(StreamPart<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let mut rest = self.push_late_line_feed(bytes, &mut on_part)?;
        while let Some(end) = LineEnd::find(rest) {
            self.append(&rest[..end.next_line])?;
            rest = &rest[end.next_line..];
            self.end_line(end, &mut on_part)?;
        }
        self.append(rest)?;
        Ok(())
    }

    /// Handles an LF whose CR was the last byte before these. Returns the remaining bytes.
    fn push_late_line_feed<'b, E: From<SseError>>(
        &mut self,
        bytes: &'b [u8],
        on_part: &mut impl FnMut(StreamPart<'_>) -> Result<(), E>,
    ) -> Result<&'b [u8], E> {
        if bytes.is_empty() {
            return Ok(bytes);
        }
        let line_before_cr = std::mem::take(&mut self.line_before_cr);
        if line_before_cr == LineBeforeCr::None {
            return Ok(bytes);
        }
        let Some(rest) = bytes.strip_prefix(b"\n") else { return Ok(bytes) };
        match line_before_cr {
            LineBeforeCr::InBlock => {
                self.append(b"\n")?;
                self.line_start = self.pending.len();
            }
            LineBeforeCr::EndOfBlock => on_part(StreamPart::LineFeed)?,
            LineBeforeCr::None | LineBeforeCr::Ignored => {}
        }
        Ok(rest)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > self.max_block_bytes {
            return Err(SseError::TooLarge(self.max_block_bytes));
        }
        Ok(())
    }

    /// Handles the line that is complete now, with its end as the last bytes of `pending`.
    fn end_line<E>(
        &mut self,
        end: LineEnd,
        on_part: &mut impl FnMut(StreamPart<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        if !std::mem::replace(&mut self.has_first_line, true) && self.pending.starts_with(BYTE_ORDER_MARK) {
            self.pending.drain(..BYTE_ORDER_MARK.len());
        }
        let text_end = self.pending.len() - end.bytes();
        let line = &self.pending[self.line_start..text_end];
        let (line_before_cr, result) = match line.first() {
            Some(b':') if self.line_start == 0 => {
                let result = on_part(StreamPart::Comment(&line[1..]));
                self.pending.clear();
                (LineBeforeCr::Ignored, result)
            }
            Some(first) => {
                // A comment within a block stays there: without it, the line ends around it could become one.
                let result = if *first == b':' { on_part(StreamPart::Comment(&line[1..])) } else { Ok(()) };
                self.line_start = self.pending.len();
                (LineBeforeCr::InBlock, result)
            }
            None if self.line_start == 0 => {
                self.pending.clear();
                (LineBeforeCr::Ignored, Ok(()))
            }
            None => {
                let result = on_part(StreamPart::Block(Block::new(&self.pending)));
                self.pending.clear();
                self.line_start = 0;
                (LineBeforeCr::EndOfBlock, result)
            }
        };
        if end.may_continue {
            self.line_before_cr = line_before_cr;
        }
        result
    }
}

/// The end of the first line in some bytes.
#[derive(Clone, Copy, Debug)]
struct LineEnd {
    /// Length of the line without its end.
    line_bytes: usize,
    /// Where the next line starts.
    next_line: usize,
    /// The end is a CR after which no byte has come: an LF may follow.
    may_continue: bool,
}

impl LineEnd {
    fn find(bytes: &[u8]) -> Option<LineEnd> {
        let line_bytes = memchr::memchr2(b'\n', b'\r', bytes)?;
        let is_cr = bytes[line_bytes] == b'\r';
        let next_byte = bytes.get(line_bytes + 1);
        let is_cr_lf = is_cr && next_byte == Some(&b'\n');
        let next_line = line_bytes + if is_cr_lf { 2 } else { 1 };
        Some(LineEnd { line_bytes, next_line, may_continue: is_cr && next_byte.is_none() })
    }

    /// Length of the end itself.
    fn bytes(self) -> usize {
        self.next_line - self.line_bytes
    }
}
