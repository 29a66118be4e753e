//! One attempt at an engine: connects or reuses a connection, sends the request, reads the response and reports the
//! evidence.
//!
//! Whether the attempt is repeated is the core's decision. A connection is reused only after a response that was
//! read to its end.

use std::time::{Duration, Instant};

use elderstage::ServerId;
use elderstage_core::Stage;
use elderstage_core::addresses::{ConnectionNeeds, RaceFailure, RemainingRequest};
use elderstage_core::evidence::Evidence;
use elderstage_net::{Conn, NetError, send};
use elderstage_protocol::engine::{self, FinishReason, ToolCall, Usage};
use elderstage_protocol::{http, orca, sse};
use serde_json::Value;

use crate::Shared;
use crate::links::{ConnectOutcome, ConnectRequest};
use crate::slot::{CancelSlot, OperationKey};

/// Most bytes of comments after the last event of a stream.
const MAX_BYTES_AFTER_LAST_EVENT: usize = 64 << 10;

/// What an attempt sends, to which server, and under which limits.
pub(crate) struct Attempt<'a> {
    pub server: &'a ServerId,
    pub stage: Stage,
    pub operation: OperationKey,
    pub rid: String,
    /// Identifies the request to engines that ignore repeated requests (`idempotency-key`).
    pub idempotency_key: Option<String>,
    pub timeout: Duration,
    /// The request must not run twice.
    pub is_at_most_once: bool,
    pub body: Vec<u8>,
    pub slot: &'a CancelSlot,
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptOutcome {
    pub evidence: Evidence,
    pub usage: Option<Usage>,
    pub report: Option<orca::Report>,
    /// Transfer parameters of the KV state, from a reader for the writer.
    pub state: Option<Value>,
    pub calls: Vec<ToolCall>,
}

impl AttemptOutcome {
    fn from_evidence(evidence: Evidence) -> AttemptOutcome {
        AttemptOutcome { evidence, usage: None, report: None, state: None, calls: Vec::new() }
    }
}

/// Receives the output of a stream while it runs. A sink cannot stop the stream, which is read until it ends or is
/// cancelled.
pub(crate) trait StreamSink {
    /// Called once, before the first text or tool call.
    fn on_first_output(&mut self);
    /// Called with each piece of text.
    fn on_text(&mut self, text: &str);
}

/// Makes an attempt, unless it was cancelled before it began.
pub(crate) fn run_attempt(
    shared: &Shared,
    attempt: &Attempt<'_>,
    sink: &mut dyn StreamSink,
) -> AttemptOutcome {
    let (operation, slot) = (attempt.operation, attempt.slot);
    if !slot.begin(operation) {
        slot.end(operation);
        return AttemptOutcome::from_evidence(Evidence::Withdrawn);
    }
    let mut outcome = connect_and_send(shared, attempt, sink);
    if slot.end(operation) {
        outcome.evidence = outcome.evidence.of_cancelled();
    }
    outcome
}

/// Connects, sends the request and reads the response.
fn connect_and_send(shared: &Shared, attempt: &Attempt<'_>, sink: &mut dyn StreamSink) -> AttemptOutcome {
    let deadline = Instant::now() + attempt.timeout;
    let mut headers = vec![
        ("content-type", "application/json"),
        ("x-request-id", attempt.rid.as_str()),
        ("via", shared.catalog.via.as_str()),
        orca::REPORT_REQUEST_HEADER,
    ];
    if let Some(key) = &attempt.idempotency_key {
        headers.push(("idempotency-key", key.as_str()));
    }
    let needs = ConnectionNeeds {
        must_not_repeat: attempt.is_at_most_once,
        proof: shared.catalog.proof_for(attempt.server),
        connect_limit: shared.config.rules.connect_timeout,
        attempt_limit: attempt.timeout.as_micros() as u64,
    };
    let connect_request = ConnectRequest {
        server: attempt.server,
        needs,
        path: engine::COMPLETIONS_PATH,
        headers: &headers,
        body_bytes: attempt.body.len(),
        slot: Some((attempt.slot, attempt.operation)),
    };
    let (mut pooled, rest) = match shared.pool.connect(&connect_request) {
        ConnectOutcome::Connected(pooled, rest) => (pooled, rest),
        ConnectOutcome::Lost(RaceFailure::NotConnected) => {
            return AttemptOutcome::from_evidence(Evidence::NotConnected);
        }
        ConnectOutcome::Lost(RaceFailure::NotProven) => {
            return AttemptOutcome::from_evidence(Evidence::NotProven);
        }
        ConnectOutcome::Lost(RaceFailure::NoRoom) => return AttemptOutcome::from_evidence(Evidence::NoRoom),
        ConnectOutcome::Answered(status) => {
            return AttemptOutcome::from_evidence(Evidence::Unsent { status });
        }
        ConnectOutcome::Cancelled => return AttemptOutcome::from_evidence(Evidence::Withdrawn),
    };
    if !attempt.slot.set_connected(attempt.operation, pooled.conn.socket()) {
        return AttemptOutcome::from_evidence(Evidence::Withdrawn);
    }
    if Instant::now() >= deadline {
        return AttemptOutcome::from_evidence(Evidence::NotWritten);
    }
    pooled.conn.set_deadline(Some(deadline));
    pooled.conn.set_write_timeout(Some(deadline.saturating_duration_since(Instant::now())));
    let endpoint = pooled.endpoint_path(engine::COMPLETIONS_PATH);
    let wait_id = shared.pool.record_sent(attempt.server, &pooled, !attempt.is_at_most_once);
    let send_result = match rest {
        RemainingRequest::Body => pooled.conn.write(&attempt.body),
        RemainingRequest::Whole => send(&mut pooled.conn, "POST", &endpoint, &headers, &attempt.body),
    };
    let head = match send_result.and_then(|()| pooled.conn.receive_response()) {
        Ok(head) => head,
        Err(error) => {
            let given_up = shared.pool.record_no_answer(wait_id, pooled.reused);
            return AttemptOutcome::from_evidence(if given_up {
                Evidence::GivenUp
            } else {
                evidence_of(&error)
            });
        }
    };
    shared.pool.record_answered(wait_id);
    let conn = &mut pooled.conn;
    let report = head.headers.get(orca::REPORT_HEADER).and_then(orca::parse);
    let is_stream =
        head.headers.get("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut outcome = if head.status == 200 && is_stream && attempt.stage != Stage::Read {
        read_stream(shared, conn, &head, sink)
    } else {
        read_whole_response(conn, &head, attempt.stage)
    };
    outcome.report = report;
    // A connection is reused only after a response that was read to its end.
    if head.keep_alive
        && !matches!(outcome.evidence, Evidence::Garbled | Evidence::Broke | Evidence::TimedOut)
    {
        shared.pool.put_back(*pooled);
    }
    outcome
}

/// The evidence for a failure to send the request or to read the response.
fn evidence_of(error: &NetError) -> Evidence {
    match error {
        NetError::TimedOut => Evidence::TimedOut,
        NetError::Closed | NetError::Io(_) => Evidence::Broke,
        NetError::Http(_) => Evidence::Garbled,
    }
}

/// Reads a response that is not a stream: a reader's answer or an error.
fn read_whole_response(conn: &mut Conn, head: &http::Response, stage: Stage) -> AttemptOutcome {
    let body = match conn.receive_body(head.framing) {
        Ok(body) => body,
        Err(error) => return AttemptOutcome::from_evidence(evidence_of(&error)),
    };
    if head.status != 200 {
        return AttemptOutcome::from_evidence(Evidence::Status {
            status: head.status,
            code: engine::parse_error_code(&body),
        });
    }
    match engine::parse_reader_response(&body) {
        Some((usage, state)) if stage == Stage::Read => AttemptOutcome {
            usage: Some(usage),
            state: Some(state),
            ..AttemptOutcome::from_evidence(Evidence::Read { cached: usage.cached })
        },
        _ => AttemptOutcome::from_evidence(Evidence::Garbled),
    }
}

/// What was received of a stream so far.
#[derive(Default)]
struct StreamState {
    text_parser: engine::TextChunkParser,
    calls: engine::ToolCallAssembler,
    has_output: bool,
    is_done: bool,
    is_garbled: bool,
    finish: Option<FinishReason>,
    usage: Option<Usage>,
}

impl StreamState {
    /// Processes the data of one event and appends its text to `text`.
    fn push_event(&mut self, data: &str, text: &mut String, max_call_bytes: usize) {
        if self.is_done || self.is_garbled || self.text_parser.parse(data, text) {
            return;
        }
        if data == engine::STREAM_END_DATA {
            self.is_done = true;
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
}

/// Receives the rest of a body after the last event. Comments may come before its end, such as a load report. Returns
/// whether the end came.
fn receive_body_end(conn: &mut Conn, body: &mut http::BodyDecoder) -> bool {
    let mut rest = Vec::new();
    loop {
        match conn.receive_body_piece(body, &mut rest) {
            Ok(true) if rest.len() <= MAX_BYTES_AFTER_LAST_EVENT => {}
            Ok(false) => return true,
            Ok(true) | Err(_) => return false,
        }
    }
}

/// Reads a streamed response from the socket and passes its output to the sink.
fn read_stream(
    shared: &Shared,
    conn: &mut Conn,
    head: &http::Response,
    sink: &mut dyn StreamSink,
) -> AttemptOutcome {
    let (mut body, mut parser) = (http::BodyDecoder::new(head.framing), sse::EventParser::default());
    let (mut bytes, mut text) = (Vec::new(), String::new());
    let mut stream_state = StreamState::default();
    let max_call_bytes = shared.config.front.max_body_bytes;
    loop {
        bytes.clear();
        match conn.receive_body_piece(&mut body, &mut bytes) {
            // The body ended before the `[DONE]` event.
            Ok(false) => return AttemptOutcome::from_evidence(Evidence::Broke),
            Ok(true) => {}
            Err(error) => return AttemptOutcome::from_evidence(evidence_of(&error)),
        }
        // Text that arrived in one socket read is passed on as one piece.
        text.clear();
        let parsed = parser
            .for_each_event(&bytes, |event| stream_state.push_event(event.data, &mut text, max_call_bytes));
        if !stream_state.has_output && (!text.is_empty() || stream_state.calls.has_calls()) {
            stream_state.has_output = true;
            // The deadline for the first token no longer applies. From here on, a stream without data for the stall
            // time counts as broken.
            conn.set_deadline(None);
            conn.set_read_timeout(Some(Duration::from_micros(shared.config.front.stall_timeout)));
            sink.on_first_output();
        }
        if !text.is_empty() {
            sink.on_text(&text);
        }
        if parsed.is_err() || stream_state.is_garbled {
            return AttemptOutcome::from_evidence(Evidence::Garbled);
        }
        if stream_state.is_done {
            let is_body_whole = receive_body_end(conn, &mut body);
            let calls = stream_state.calls.into_tool_calls();
            let is_consistent = match stream_state.finish {
                None => false,
                Some(FinishReason::ToolCalls) => !calls.is_empty(),
                Some(_) => calls.is_empty(),
            };
            if !stream_state.has_output || !is_consistent || !is_body_whole {
                return AttemptOutcome::from_evidence(Evidence::Garbled);
            }
            let cached = stream_state.usage.map_or(0, |usage| usage.cached);
            return AttemptOutcome {
                usage: stream_state.usage,
                calls,
                ..AttemptOutcome::from_evidence(Evidence::Turn { cached })
            };
        }
    }
}
