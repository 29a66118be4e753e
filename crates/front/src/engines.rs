//! One attempt at an engine: connects or reuses a connection, sends the request, reads the response and reports the
//! evidence.
//!
//! Whether the attempt is repeated is the core's decision. A connection is reused only after a response that was
//! read to its end.

mod stream;

use std::time::{Duration, Instant};

use elderstage::ServerId;
use elderstage_core::Stage;
use elderstage_core::addresses::{ConnectionNeeds, RaceFailure, RemainingRequest};
use elderstage_core::evidence::Evidence;
use elderstage_net::{Conn, NetError, send};
use elderstage_protocol::engine::{self, ToolCall, Usage};
use elderstage_protocol::{http, orca};
use serde_json::Value;

use stream::StreamLimits;
pub(crate) use stream::StreamSink;

use crate::Shared;
use crate::links::{ConnectOutcome, ConnectRequest};
use crate::slot::{CancelSlot, OperationKey};

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
        let front = &shared.config.front;
        let limits = StreamLimits {
            max_call_bytes: front.max_body_bytes,
            stall_timeout: Duration::from_micros(front.stall_timeout),
        };
        stream::read_stream(conn, &head, limits, sink)
    } else {
        read_whole_response(conn, &head, attempt.stage)
    };
    // A report at the end of a stream is newer than the one in its head.
    outcome.report = outcome.report.or(report);
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
