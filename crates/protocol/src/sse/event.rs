//! Events as text, for streams whose consumer needs nothing else.

use super::{Block, BlockParser, SseError, StreamPart};

/// Most bytes of an incomplete event that are buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `event` field. Empty means `message`.
    pub name: String,
    /// The `data` fields, joined by LF.
    pub data: String,
    /// The `id` field.
    pub id: Option<String>,
}

impl Event {
    /// The event that a block stands for. `None`: it has no data.
    fn from_block(block: Block<'_>) -> Result<Option<Event>, SseError> {
        let text = |bytes: &[u8]| match std::str::from_utf8(bytes) {
            Ok(text) => Ok(text.to_owned()),
            Err(_) => Err(SseError::Utf8),
        };
        let Some(data) = block.data() else { return Ok(None) };
        let mut event = Event { data: text(&data)?, ..Event::default() };
        for field in block.fields() {
            match field.name {
                b"event" => event.name = text(field.value)?,
                b"id" if !field.value.contains(&0) => event.id = Some(text(field.value)?),
                _ => {}
            }
        }
        Ok(Some(event))
    }
}

/// Incremental parser of an event stream that yields events as text.
#[derive(Clone, Debug)]
pub struct EventParser(BlockParser);

impl Default for EventParser {
    fn default() -> EventParser {
        EventParser(BlockParser::new(MAX_EVENT_BYTES))
    }
}

impl EventParser {
    /// Parses bytes and appends the events that they complete to `out`. After an error, `out` has the events
    /// completed before it.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), SseError> {
        self.0.push(bytes, |part| {
            if let StreamPart::Block(block) = part {
                out.extend(Event::from_block(block)?);
            }
            Ok(())
        })
    }
}
