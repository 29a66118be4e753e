//! The fields of a block of an event stream.

use std::borrow::Cow;

/// The field names that the format defines.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The lines from a first field up to an empty line, as they were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block<'a> {
    bytes: &'a [u8],
}

/// One field of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field<'a> {
    /// The text before the first colon, or the whole line.
    pub name: &'a [u8],
    /// The text after the colon, without the space that may follow it.
    pub value: &'a [u8],
}

impl<'a> Block<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Block<'a> {
        Block { bytes }
    }

    /// The block as it was received, including the empty line that ended it.
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// The fields in the order received, without the comments between them.
    pub fn fields(&self) -> impl Iterator<Item = Field<'a>> + use<'a> {
        lines(self.bytes).filter(|line| !line.starts_with(b":")).map(Field::parse)
    }

    /// The data of the event: its `data` fields, joined by LF. `None`: the block has no data and is no event.
    pub fn data(&self) -> Option<Cow<'a, [u8]>> {
        let mut values = self.fields().filter(|field| field.name == b"data").map(|field| field.value);
        let mut data = Cow::Borrowed(values.next()?);
        for value in values {
            let joined = data.to_mut();
            joined.push(b'\n');
            joined.extend_from_slice(value);
        }
        Some(data)
    }

    /// Whether the block has at least one field that the format defines. Other fields are ignored by the format, but
    /// bytes without any known field are hardly an event stream.
    pub fn has_known_field(&self) -> bool {
        self.fields().any(|field| KNOWN_FIELDS.contains(&field.name))
    }
}

impl<'a> Field<'a> {
    /// Parses a line without its end.
    fn parse(line: &'a [u8]) -> Field<'a> {
        match memchr::memchr(b':', line) {
            Some(colon) => {
                let value = &line[colon + 1..];
                Field { name: &line[..colon], value: value.strip_prefix(b" ").unwrap_or(value) }
            }
            None => Field { name: line, value: b"" },
        }
    }
}

/// The lines that are not empty, without their ends.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        loop {
            if rest.is_empty() {
                return None;
            }
            let end = memchr::memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
            let line = &rest[..end];
            rest = rest.get(end + 1..).unwrap_or_default();
            if !line.is_empty() {
                return Some(line);
            }
        }
    })
}
