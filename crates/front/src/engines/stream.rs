//! Reads a streamed response of an engine.

use std::time::{Duration, Instant};

use elderstage_core::evidence::Evidence;
use elderstage_net::{Conn, NetError};
use elderstage_protocol::answer_stream::{AnswerPart, AnswerStream};
use elderstage_protocol::engine::{self, FinishReason, Usage};
use elderstage_protocol::http::{Framing, Response};
use elderstage_protocol::orca;

use super::{AttemptOutcome, evidence_of};

/// Most bytes of one event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Limits on a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamLimits {
    /// Most bytes of the arguments of all tool calls together.
    pub max_call_bytes: usize,
    /// Longest time without data after the first output, and from the end mark to the end of the body.
    pub stall_timeout: Duration,
}

/// Receives the output of a stream while it runs. A sink cannot stop the stream, which is read until it ends or is
/// cancelled.
pub(crate) trait StreamSink {
    /// Called once, before the first text or tool call.
    fn on_first_output(&mut self);
    /// Called with each piece of text.
    fn on_text(&mut self, text: &str);
}

/// What was received of a stream so far.
#[derive(Default)]
struct StreamState {
    text_parser: engine::TextChunkParser,
    calls: engine::ToolCallAssembler,
    has_output: bool,
    is_garbled: bool,
    finish: Option<FinishReason>,
    usage: Option<Usage>,
}

impl StreamState {
    /// Processes the data of one event and appends its text to `text`.
    fn push_event(&mut self, data: &[u8], text: &mut String, max_call_bytes: usize) {
        if self.is_garbled {
            return;
        }
        let Ok(data) = std::str::from_utf8(data) else {
            self.is_garbled = true;
            return;
        };
        if self.text_parser.parse(data, text) || data.trim_ascii() == engine::STREAM_END_DATA {
            return;
        }
        match engine::parse_chunk(data) {
            Ok(chunk) if chunk.error.is_none() => {
                text.push_str(&chunk.text);
                for piece in chunk.tool_calls {
                    self.is_garbled |=
                        !self.calls.push(piece) || self.calls.argument_bytes() > max_call_bytes;
                }
                self.finish = chunk.finish.or(self.finish);
                self.usage = chunk.usage.or(self.usage);
            }
            _ => self.is_garbled = true,
        }
    }

    /// The outcome of a stream that was received whole.
    fn into_outcome(self) -> AttemptOutcome {
        let calls = self.calls.into_tool_calls();
        let is_consistent = match self.finish {
            None => false,
            Some(FinishReason::ToolCalls) => !calls.is_empty(),
            Some(_) => calls.is_empty(),
        };
        if !self.has_output || !is_consistent {
            return AttemptOutcome::from_evidence(Evidence::Garbled);
        }
        let cached = self.usage.map_or(0, |usage| usage.cached);
        AttemptOutcome {
            usage: self.usage,
            calls,
            ..AttemptOutcome::from_evidence(Evidence::Turn { cached })
        }
    }
}

/// Reads a streamed response from the socket and passes its output to the sink.
pub(super) fn read_stream(
    conn: &mut Conn,
    head: &Response,
    limits: StreamLimits,
    sink: &mut dyn StreamSink,
) -> AttemptOutcome {
    let mut stream = AnswerStream::new(head.framing, MAX_EVENT_BYTES);
    let (mut stream_state, mut text) = (StreamState::default(), String::new());
    loop {
        // Text that arrived in one socket read is passed on as one piece.
        text.clear();
        let had_end_mark = stream.has_end_mark();
        let pushed = stream.push(conn.pending(), |part| {
            if let AnswerPart::Event { data, .. } = part {
                stream_state.push_event(&data, &mut text, limits.max_call_bytes);
            }
        });
        if !stream_state.has_output && (!text.is_empty() || stream_state.calls.has_calls()) {
            stream_state.has_output = true;
            // The deadline for the first token no longer applies. From here on, a stream without data for the stall
            // time counts as broken.
            conn.set_deadline(None);
            conn.set_read_timeout(Some(limits.stall_timeout));
            sink.on_first_output();
        }
        if !text.is_empty() {
            sink.on_text(&text);
        }
        let Ok(consumed) = pushed else { return AttemptOutcome::from_evidence(Evidence::Garbled) };
        conn.consume(consumed);
        if stream_state.is_garbled {
            return AttemptOutcome::from_evidence(Evidence::Garbled);
        }
        if stream.is_ended() {
            if !stream.is_whole() {
                return AttemptOutcome::from_evidence(Evidence::Broke);
            }
            let report = stream.load_report().and_then(orca::parse);
            return AttemptOutcome { report, ..stream_state.into_outcome() };
        }
        if !had_end_mark && stream.has_end_mark() && stream_state.has_output {
            // Only comments may follow. However many come, the end must come within the stall time.
            conn.set_deadline(Some(Instant::now() + limits.stall_timeout));
        }
        match conn.fill() {
            Ok(()) => {}
            Err(NetError::Closed) if head.framing == Framing::UntilClose => stream.close(),
            Err(error) => return AttemptOutcome::from_evidence(evidence_of(&error)),
        }
    }
}

#[cfg(test)]
mod tests;
