//! Server-sent events (WHATWG HTML, section 9.2.6): bytes in any split to events, and back.

use thiserror::Error;

/// Most bytes of one event that is held while it is not whole.
const MOST: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `event` field; empty stands for `message`.
    pub name: String,
    pub data: String,
    pub id: Option<String>,
}

/// One event as it lies in what was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventRef<'a> {
    pub name: &'a str,
    pub data: &'a str,
    pub id: Option<&'a str>,
}

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SseError {
    #[error("an event over {MOST} bytes")]
    TooLarge,
    #[error("a line is not UTF-8")]
    Utf8,
}

/// Gathers lines into events.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    after_cr: bool,
    begun: bool,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Takes bytes and adds the events that they complete to `out`. What was complete before an error
    /// is in `out` then.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), SseError> {
        self.each(bytes, |event| {
            let id = event.id.map(str::to_owned);
            out.push(Event { name: event.name.to_owned(), data: event.data.to_owned(), id });
        })
    }

    /// Takes bytes and gives each event that they complete, without a copy for each: for streams of tokens.
    pub fn each(&mut self, bytes: &[u8], mut take: impl FnMut(EventRef<'_>)) -> Result<(), SseError> {
        let mut rest = bytes;
        if self.after_cr && !rest.is_empty() {
            // The LF of a CR LF that was split between two reads.
            self.after_cr = false;
            rest = rest.strip_prefix(b"\n").unwrap_or(rest);
        }
        while let Some(end) = memchr::memchr2(b'\n', b'\r', rest) {
            let cr = rest[end] == b'\r';
            let line = &rest[..end];
            rest = &rest[end + 1..];
            if cr {
                match rest.first() {
                    Some(b'\n') => rest = &rest[1..],
                    Some(_) => {}
                    None => self.after_cr = true,
                }
            }
            if self.line.is_empty() {
                // The usual event is one line of data with an empty line behind it, both in one read.
                if let Some(data) = line.strip_prefix(b"data: ")
                    && rest.first() == Some(&b'\n')
                    && self.begun
                    && !self.has_data
                    && self.event.name.is_empty()
                    && self.event.id.is_none()
                {
                    rest = &rest[1..];
                    let data = std::str::from_utf8(data).map_err(|_| SseError::Utf8)?;
                    take(EventRef { name: "", data, id: None });
                    continue;
                }
                self.take_line(line, &mut take)?;
            } else {
                let mut whole = std::mem::take(&mut self.line);
                whole.extend_from_slice(line);
                let done = self.take_line(&whole, &mut take);
                whole.clear();
                self.line = whole;
                done?;
            }
        }
        self.line.extend_from_slice(rest);
        if self.line.len() + self.event.data.len() > MOST {
            return Err(SseError::TooLarge);
        }
        Ok(())
    }

    fn take_line(&mut self, line: &[u8], take: &mut dyn FnMut(EventRef<'_>)) -> Result<(), SseError> {
        let mut line = std::str::from_utf8(line).map_err(|_| SseError::Utf8)?;
        if !self.begun {
            self.begun = true;
            line = line.strip_prefix('\u{feff}').unwrap_or(line);
        }
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                let Event { name, data, id } = &self.event;
                take(EventRef { name, data, id: id.as_deref() });
            }
            self.event.name.clear();
            self.event.data.clear();
            self.event.id = None;
            return Ok(());
        }
        let (field, value) = match memchr::memchr(b':', line.as_bytes()) {
            Some(at) => (&line[..at], &line[at + 1..]),
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
                if self.event.data.len() > MOST {
                    return Err(SseError::TooLarge);
                }
            }
            "event" => value.clone_into(&mut self.event.name),
            "id" if !value.contains('\0') => self.event.id = Some(value.to_owned()),
            // Comments have an empty name; `retry` and unknown fields are passed over.
            _ => {}
        }
        Ok(())
    }
}

/// Writes one event. Line ends inside the data become further `data` lines.
pub fn write(name: Option<&str>, data: &str, out: &mut Vec<u8>) {
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
