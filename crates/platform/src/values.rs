//! JSON objects one after another in a stream of bytes, whole ones taken out as they come.
//!
//! Discovery writes one object a line, or spreads an object over indented lines: its end is told by its brackets, not
//! by a line's end. Home-made, since the JSON library reads a value anew from its start each time more has come, which
//! a list of a thousand servers over many reads would pay for.

use thiserror::Error;

/// Most bytes of an object: some 10,000 servers.
pub const MOST: usize = 4 << 20;

/// Why the bytes are no objects. Nothing after them can be trusted to begin where an object does.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoValue {
    #[error("something that is no object")]
    NoObject,
    #[error("an empty line inside an object")]
    Broken,
    #[error("an object over {MOST} bytes")]
    TooLarge,
}

/// What is found next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A whole object.
    Object(Vec<u8>),
    /// An empty line: the peer is alive and has nothing to tell.
    Beat,
}

/// Takes bytes and gives what is whole.
#[derive(Debug, Default)]
pub struct Values {
    held: Vec<u8>,
    /// Bytes looked at already.
    at: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Only white space since the last line's end.
    blank: bool,
}

impl Values {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Whether an object has begun and not ended.
    pub fn is_inside(&self) -> bool {
        self.depth > 0
    }

    /// The next whole thing, or `None` until more comes.
    pub fn next_found(&mut self) -> Result<Option<Found>, NoValue> {
        while let Some(byte) = self.held.get(self.at).copied() {
            self.at += 1;
            if self.in_string {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.in_string = false,
                    // RFC 8259, 7: a string holds no bare control character, so it was broken off.
                    b'\n' => return Err(NoValue::Broken),
                    _ => {}
                }
                continue;
            }
            match byte {
                b'\n' if self.depth == 0 => {
                    let empty = self.held[..self.at].trim_ascii().is_empty();
                    self.take();
                    if empty {
                        return Ok(Some(Found::Beat));
                    }
                }
                // A new empty line comes while nothing else does: the object before it will never be whole.
                b'\n' if self.blank => return Err(NoValue::Broken),
                b'\n' => self.blank = true,
                b' ' | b'\t' | b'\r' => {}
                b'{' | b'[' => {
                    if self.depth == 0 && byte == b'[' {
                        return Err(NoValue::NoObject);
                    }
                    self.depth += 1;
                    self.blank = false;
                }
                _ if self.depth == 0 => return Err(NoValue::NoObject),
                b'}' | b']' => {
                    self.depth -= 1;
                    self.blank = false;
                    if self.depth == 0 {
                        return Ok(Some(Found::Object(self.take())));
                    }
                }
                b'"' => (self.in_string, self.blank) = (true, false),
                _ => self.blank = false,
            }
        }
        if self.held.len() > MOST { Err(NoValue::TooLarge) } else { Ok(None) }
    }

    fn take(&mut self) -> Vec<u8> {
        let rest = self.held.split_off(self.at);
        (self.at, self.blank) = (0, false);
        std::mem::replace(&mut self.held, rest)
    }
}
