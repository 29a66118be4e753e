//! Splits a stream of bytes into complete JSON objects. It does not parse their content. An object that exceeds [`MAX_OBJECT_BYTES`] bytes
//! is rejected, so that the buffer stays bounded.
//!
//! Discovery writes one object per line or spreads an object over indented lines, so the end of an object is found by its
//! brackets and not by the end of a line. The JSON library is not used for this, because it parses a value again from
//! its start each time more bytes have come, which is expensive for a list of a thousand servers over many reads.

use thiserror::Error;

/// Largest object in bytes: a list of about 10,000 servers.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why the bytes cannot be split into objects. The start of the next object cannot be found after such an error.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SplitError {
    /// The bytes do not start an object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// An object was broken off.
    #[error("an object is incomplete: a line break in a string or an empty line inside the object")]
    Incomplete,
    /// An object exceeds the bound.
    #[error("an object is larger than {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// An item of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The bytes of a complete object.
    Object(Vec<u8>),
    /// An empty line: the peer is alive and has nothing to report.
    Heartbeat,
}

/// Takes bytes and returns the complete items.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    buffer: Vec<u8>,
    /// Number of buffered bytes that were already scanned.
    scanned: usize,
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// Only white space has come since the last line break.
    is_line_blank: bool,
}

impl ObjectSplitter {
    /// Adds bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether an object has started and not ended.
    pub fn is_inside(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next complete item, or `None` if more bytes are needed.
    pub fn next_item(&mut self) -> Result<Option<Item>, SplitError> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.is_in_string {
                match byte {
                    _ if self.is_escaped => self.is_escaped = false,
                    b'\\' => self.is_escaped = true,
                    b'"' => self.is_in_string = false,
                    // RFC 8259, section 7: a string contains no unescaped control character, so it was broken off.
                    b'\n' => return Err(SplitError::Incomplete),
                    _ => {}
                }
                continue;
            }
            match byte {
                b'\n' if self.depth == 0 => {
                    let is_empty = self.buffer[..self.scanned].trim_ascii().is_empty();
                    self.take_scanned();
                    if is_empty {
                        return Ok(Some(Item::Heartbeat));
                    }
                }
                // An empty line is sent only between objects, so the current object will never be complete.
                b'\n' if self.is_line_blank => return Err(SplitError::Incomplete),
                b'\n' => self.is_line_blank = true,
                b' ' | b'\t' | b'\r' => {}
                b'{' | b'[' => {
                    if self.depth == 0 && byte == b'[' {
                        return Err(SplitError::NotAnObject);
                    }
                    self.depth += 1;
                    self.is_line_blank = false;
                }
                _ if self.depth == 0 => return Err(SplitError::NotAnObject),
                b'}' | b']' => {
                    self.depth -= 1;
                    self.is_line_blank = false;
                    if self.depth == 0 {
                        return Ok(Some(Item::Object(self.take_scanned())));
                    }
                }
                b'"' => (self.is_in_string, self.is_line_blank) = (true, false),
                _ => self.is_line_blank = false,
            }
        }
        if self.buffer.len() > MAX_OBJECT_BYTES { Err(SplitError::TooLarge) } else { Ok(None) }
    }

    /// Removes the scanned bytes from the buffer and returns them.
    fn take_scanned(&mut self) -> Vec<u8> {
        let rest = self.buffer.split_off(self.scanned);
        (self.scanned, self.is_line_blank) = (0, false);
        std::mem::replace(&mut self.buffer, rest)
    }
}
