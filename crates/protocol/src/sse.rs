//! Server-sent events (WHATWG HTML, section 9.2.6): an incremental parser, and a writer.
//!
//! The parser takes the bytes in any split. It buffers at most one event.

use thiserror::Error;

/// Most bytes of an incomplete event that are buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `event` field. Empty means `message`.
    pub name: String,
    pub data: String,
    pub id: Option<String>,
}

/// An event that borrows from the parsed bytes or from the parser's buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventRef<'a> {
    pub name: &'a str,
    pub data: &'a str,
    pub id: Option<&'a str>,
}

/// The reason why a stream is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SseError {
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    #[error("line is not valid UTF-8")]
    Utf8,
}

/// Incremental parser of an event stream.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    /// The incomplete line at the end of the bytes so far.
    line: Vec<u8>,
    /// Whether the last byte was a CR, so that an LF that follows belongs to the same line end.
    after_cr: bool,
    /// Whether the first line, which may begin with a byte order mark, was processed.
    first_line_seen: bool,
    event: Event,
    has_data: bool,
}

impl EventParser {
    /// Parses bytes and appends the events that they complete to `out`. After an error, `out` has the events
    /// completed before it.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), SseError> {
        self.for_each_event(bytes, |event| {
            let id = event.id.map(str::to_owned);
            out.push(Event { name: event.name.to_owned(), data: event.data.to_owned(), id });
        })
    }

    /// Parses bytes and passes each event that they complete to `on_event`, without copying it. Meant for token
    /// streams.
    pub fn for_each_event(
        &mut self,
        bytes: &[u8],
        mut on_event: impl FnMut(EventRef<'_>),
    ) -> Result<(), SseError> {
        let mut rest = bytes;
        if self.after_cr && !rest.is_empty() {
            // The LF of a CR LF that was split between two socket reads.
            self.after_cr = false;
            rest = rest.strip_prefix(b"\n").unwrap_or(rest);
        }
        while let Some(end) = memchr::memchr2(b'\n', b'\r', rest) {
            let is_cr = rest[end] == b'\r';
            let line = &rest[..end];
            rest = &rest[end + 1..];
            if is_cr {
                match rest.first() {
                    Some(b'\n') => rest = &rest[1..],
                    Some(_) => {}
                    None => self.after_cr = true,
                }
            }
            if self.line.is_empty() {
                // Fast path for the most common event: one `data` line and an empty line, both in the same bytes.
                if let Some(data) = line.strip_prefix(b"data: ")
                    && rest.first() == Some(&b'\n')
                    && self.first_line_seen
                    && !self.has_data
                    && self.event.name.is_empty()
                    && self.event.id.is_none()
                {
                    rest = &rest[1..];
                    let data = std::str::from_utf8(data).map_err(|_| SseError::Utf8)?;
                    on_event(EventRef { name: "", data, id: None });
                    continue;
                }
                self.process_line(line, &mut on_event)?;
            } else {
                let mut buffered = std::mem::take(&mut self.line);
                buffered.extend_from_slice(line);
                let result = self.process_line(&buffered, &mut on_event);
                buffered.clear();
                self.line = buffered;
                result?;
            }
        }
        self.line.extend_from_slice(rest);
        if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(())
    }

    /// Processes a complete line. An empty line ends the event.
    fn process_line(&mut self, line: &[u8], on_event: &mut dyn FnMut(EventRef<'_>)) -> Result<(), SseError> {
        let mut line = std::str::from_utf8(line).map_err(|_| SseError::Utf8)?;
        if !self.first_line_seen {
            self.first_line_seen = true;
            line = line.strip_prefix('\u{feff}').unwrap_or(line);
        }
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                let Event { name, data, id } = &self.event;
                on_event(EventRef { name, data, id: id.as_deref() });
            }
            self.event.name.clear();
            self.event.data.clear();
            self.event.id = None;
            return Ok(());
        }
        let (field, value) = match memchr::memchr(b':', line.as_bytes()) {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, ""),
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.has_data = true;
                self.event.data.push_str(value);
                if self.event.data.len() > MAX_EVENT_BYTES {
                    return Err(SseError::TooLarge);
                }
            }
            "event" => value.clone_into(&mut self.event.name),
            "id" if !value.contains('\0') => self.event.id = Some(value.to_owned()),
            // Ignored: comments, whose field name is empty, `retry` and unknown fields.
            _ => {}
        }
        Ok(())
    }
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
