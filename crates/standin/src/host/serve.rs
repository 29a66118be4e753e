//! Serves one connection to an engine: receives its requests in order and sends the responses.
//!
//! "Read" and "write" alone mean the reading of prompts and the writing of answers. Reading from and writing
//! to the socket is called receiving and sending here. No more than one request is in progress on a
//! connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_net::channel::{Receiver, channel};
use elderstage_net::{Conn, EndpointPath, NetError, exchange, sleep};
use elderstage_protocol::{engine, http, orca};
use serde_json::{Value, json};

use super::door::{AddressFault, SLOW_HANDSHAKE};
use super::machine::{Command, JobUpdate};
use super::{Shared, SocketFaults, lock};
use crate::ending::StreamEnding;
use crate::model::{Job, JobId, Load, RejectReason, Task, block_hashes};
use crate::script;
use crate::traffic::TrafficEvent;

/// A connection that sends no request for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How often a connection that waits for the model checks whether its peer is still connected.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a connection that a fault holds checks whether the fault has ended.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Tokens sent before a stream stalls under [`AddressFault::StallsInBody`].
const TOKENS_BEFORE_STALL: u64 = 2;
/// Timeout of a request to another engine about a KV state.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// A front that accepts no bytes for this time counts as disconnected.
const SOCKET_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Paths by which a writer fetches a state from a reader; fronts never use them.
const CLAIM_PATH: &str = "/internal/kv/claim";
const TAKEN_PATH: &str = "/internal/kv/taken";

/// Whether the connection stays open after a request.
enum AfterRequest {
    KeepOpen,
    Close,
}

/// Receives and sends nothing until the peer closes or the fault of the listen address ends, then closes the
/// connection.
fn hold_until_fault_ends(shared: &Shared, conn: &Conn, address_index: usize, fault: AddressFault) {
    while !conn.is_closed() && lock(&shared.addresses[address_index]).fault() == fault {
        sleep(FAULT_CHECK_INTERVAL);
    }
    conn.socket().shutdown();
}

/// Serves a connection until it is closed, with the faults of its listen address and of the host.
pub(crate) fn serve_connection(
    shared: &Arc<Shared>,
    mut conn: Conn,
    address_index: usize,
    is_busy: &AtomicBool,
) {
    let fault = lock(&shared.addresses[address_index]).fault();
    match fault {
        AddressFault::Closes => return conn.socket().shutdown(),
        AddressFault::Slow => sleep(SLOW_HANDSHAKE),
        _ => {}
    }
    let faults = lock(&shared.faults).clone();
    if faults.closes_new_connections {
        conn.socket().shutdown();
        return;
    }
    if !faults.handshake_delay.is_zero() {
        sleep(faults.handshake_delay);
    }
    conn.set_write_timeout(Some(SOCKET_WRITE_TIMEOUT));
    loop {
        conn.set_read_timeout(Some(IDLE_TIMEOUT));
        let head = match conn.receive_request() {
            Ok(head) => head,
            Err(NetError::Http(error)) => {
                let _ = send_response(
                    &mut conn,
                    error.status(),
                    &[],
                    &engine::write_error_body("bad_request", &error.to_string()),
                );
                return;
            }
            Err(_) => return,
        };
        let fault = lock(&shared.addresses[address_index]).fault();
        let expects_continue = head.headers.get("expect").is_some();
        match fault {
            AddressFault::Unexpected if expects_continue => {
                if send_response(&mut conn, 417, &[], b"").is_err() {
                    return;
                }
                continue;
            }
            AddressFault::Stalls | AddressFault::Silent => {
                // A request whose body was sent is logged as received, because the rules check what was sent.
                let is_body_sent = head.target == engine::COMPLETIONS_PATH && !expects_continue;
                let body = if is_body_sent { conn.receive_body(head.framing).ok() } else { None };
                let rid = body.map(|body| shared.log_request(&head, &body));
                hold_until_fault_ends(shared, &conn, address_index, fault);
                if let Some(rid) = rid {
                    shared
                        .log
                        .record(&shared.options.name, TrafficEvent::Answered { rid, how: "stalled".into() });
                }
                return;
            }
            AddressFault::ClosesOnRequest => return conn.socket().shutdown(),
            _ => {}
        }
        if conn.send_continue(&head).is_err() {
            return;
        }
        let Ok(body) = conn.receive_body(head.framing) else { return };
        let is_completion = head.target == engine::COMPLETIONS_PATH;
        if fault == AddressFault::StallsAfterContinue && is_completion {
            // Logged as received: the body was sent, and the rules check what was sent.
            let rid = shared.log_request(&head, &body);
            hold_until_fault_ends(shared, &conn, address_index, fault);
            shared.log.record(&shared.options.name, TrafficEvent::Answered { rid, how: "stalled".into() });
            return;
        }
        if fault == AddressFault::StallsAfterHead && is_completion {
            let rid = shared.log_request(&head, &body);
            let mut out = Vec::new();
            http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
            let _ = conn.write(&out);
            hold_until_fault_ends(shared, &conn, address_index, fault);
            shared.log.record(&shared.options.name, TrafficEvent::Answered { rid, how: "stalled".into() });
            return;
        }
        let keep_alive = head.keep_alive;
        let stalls_in_body = fault == AddressFault::StallsInBody && is_completion;
        let request = EngineRequest {
            head: &head,
            body: &body,
            stall_address: stalls_in_body.then_some(address_index),
        };
        is_busy.store(true, Ordering::SeqCst);
        let outcome = serve_request(shared, &mut conn, &request);
        is_busy.store(false, Ordering::SeqCst);
        match outcome {
            Ok(AfterRequest::KeepOpen) if keep_alive => {}
            _ => {
                conn.socket().shutdown();
                return;
            }
        }
    }
}

fn send_response(
    conn: &mut Conn,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<(), NetError> {
    let mut out = Vec::with_capacity(256 + body.len());
    http::write_response(status, headers, body, true, &mut out);
    conn.write(&out)
}

/// Returns the name and zone of the requesting front, from `Via: 1.1 name (zone)`.
fn parse_via(head: &http::Request) -> (String, String) {
    let via = head.headers.get("via").unwrap_or_default();
    let mut words = via.split_whitespace().skip(1);
    let name = words.next().unwrap_or("?").to_owned();
    let zone = words.next().unwrap_or_default().trim_matches(|c| c == '(' || c == ')').to_owned();
    (name, zone)
}

/// A received request. `stall_address` is set if its stream is to stall: the index of the listen address with
/// that fault.
struct EngineRequest<'a> {
    head: &'a http::Request,
    body: &'a [u8],
    stall_address: Option<usize>,
}

/// Serves one request.
fn serve_request(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    request: &EngineRequest<'_>,
) -> Result<AfterRequest, NetError> {
    let EngineRequest { head, body, .. } = *request;
    let faults = lock(&shared.faults).clone();
    let (front, zone) = parse_via(head);
    if faults.partitioned_zones.contains(&zone) {
        // The zones are partitioned: the peer gets no response and gives up by itself. Its request is logged
        // nevertheless, because the rules check what was sent.
        let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
        match head.target.as_str() {
            engine::COMPLETIONS_PATH => drop(shared.log_request(head, body)),
            engine::ABORT_PATH => shared.log_release(body),
            _ => {}
        }
        while conn.is_idle() {
            sleep(PEER_CHECK_INTERVAL);
        }
        if head.target == engine::COMPLETIONS_PATH {
            shared.log.record(&shared.options.name, TrafficEvent::Answered { rid, how: "cut".into() });
        }
        return Ok(AfterRequest::Close);
    }
    let json_headers = [("content-type", "application/json")];
    match (head.method.as_str(), head.target.as_str()) {
        ("GET", engine::HEALTH_PATH) => {
            let report = current_report(shared, &faults);
            let headers = [(orca::REPORT_HEADER, report.as_str())];
            send_response(conn, 200, &headers, b"")?;
        }
        ("POST", engine::COMPLETIONS_PATH) => {
            return serve_completion(shared, conn, request, &front, &faults);
        }
        ("POST", engine::ABORT_PATH | CLAIM_PATH | TAKEN_PATH) => {
            let json_body: Value = serde_json::from_slice(body).unwrap_or_default();
            let Some(rid) = json_body.get("rid").and_then(Value::as_str).map(str::to_owned) else {
                send_response(
                    conn,
                    400,
                    &json_headers,
                    &engine::write_error_body("bad_request", "expected a rid"),
                )?;
                return Ok(AfterRequest::KeepOpen);
            };
            let (status, reply_body) = match head.target.as_str() {
                engine::ABORT_PATH => {
                    shared.log_release(body);
                    let (reply, replies) = channel();
                    shared.inbox.send(Command::ReleaseState { rid, reply });
                    (200, json!({"success": replies.recv().unwrap_or(false)}))
                }
                CLAIM_PATH => {
                    let (reply, replies) = channel();
                    shared.inbox.send(Command::ClaimState { rid, reply });
                    match replies.recv().unwrap_or(None) {
                        Some(tokens) => (200, json!({"tokens": tokens})),
                        None => (404, json!({})),
                    }
                }
                _ => {
                    let (reply, replies) = channel();
                    shared.inbox.send(Command::StateTaken { rid, reply });
                    (if replies.recv().unwrap_or(false) { 200 } else { 404 }, json!({}))
                }
            };
            send_response(conn, status, &json_headers, reply_body.to_string().as_bytes())?;
        }
        (_, engine::HEALTH_PATH | engine::COMPLETIONS_PATH | engine::ABORT_PATH) => {
            send_response(
                conn,
                405,
                &json_headers,
                &engine::write_error_body("method_not_allowed", "wrong method"),
            )?;
        }
        _ => send_response(conn, 404, &json_headers, &engine::write_error_body("not_found", "no such path"))?,
    }
    Ok(AfterRequest::KeepOpen)
}

/// Returns the task name for the log of a completion request that is not served.
fn task_name(body: &[u8]) -> &'static str {
    let completion_request: Option<engine::ParsedCompletionRequest> = serde_json::from_slice(body).ok();
    let is_read = completion_request
        .and_then(|completion_request| completion_request.kv_transfer_params)
        .is_some_and(|params| params.do_remote_decode);
    if is_read { "read" } else { "write" }
}

/// Returns the formatted load report: the current one, or the last one while reports are frozen.
fn current_report(shared: &Shared, faults: &SocketFaults) -> String {
    if !faults.reports_frozen {
        let (reply, replies) = channel();
        shared.inbox.send(Command::Load { reply });
        if let Ok((load, _)) = replies.recv() {
            *lock(&shared.last_report) = build_report(&load, *lock(&shared.started_at));
        }
    }
    orca::format(&lock(&shared.last_report))
}

fn build_report(load: &Load, started_at: f64) -> orca::Report {
    let metrics = [
        (orca::RUNNING_METRIC, load.running as f64),
        (orca::WAITING_METRIC, load.waiting as f64),
        (orca::KV_USAGE_METRIC, load.kv_usage),
        (orca::PENDING_TOKENS_METRIC, load.pending_tokens as f64),
        (orca::LATENCY_MS_METRIC, load.recent_latency as f64 / 1e3),
        (orca::STARTED_METRIC, started_at),
    ];
    orca::Report {
        application_utilization: load.slot_usage,
        named_metrics: metrics.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
    }
}

/// Time from the end mark to the end of a stream that does not end plainly.
const STREAM_END_DELAY: Duration = Duration::from_millis(5);

/// Serves a completion request: logs it, submits it to the model and sends what the model produces.
fn serve_completion(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    request: &EngineRequest<'_>,
    front: &str,
    faults: &SocketFaults,
) -> Result<AfterRequest, NetError> {
    let EngineRequest { head, body, stall_address } = *request;
    let json_headers = [("content-type", "application/json")];
    let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
    let completion_request: engine::ParsedCompletionRequest = match serde_json::from_slice(body) {
        Ok(completion_request) => completion_request,
        Err(error) => {
            send_response(
                conn,
                400,
                &json_headers,
                &engine::write_error_body("bad_request", &error.to_string()),
            )?;
            return Ok(AfterRequest::KeepOpen);
        }
    };
    let params = completion_request.kv_transfer_params.clone().unwrap_or_default();
    let task = match (params.do_remote_decode, params.do_remote_prefill) {
        (true, _) => Task::Read,
        (false, true) => Task::Write,
        _ => Task::ReadAndWrite,
    };
    let prompt_text = script::prompt_text(&completion_request);
    let (prompt_tokens, turn) = (script::count_tokens(&prompt_text), script::plan_turn(&completion_request));
    let work = shared.options.spec.work(
        if task == Task::Write { 0 } else { prompt_tokens },
        if task == Task::Read { 0 } else { turn.token_count },
    );
    let name = &shared.options.name;
    let task_name = match task {
        Task::Read => "read",
        Task::Write => "write",
        Task::ReadAndWrite => "whole",
    };
    shared.log.record(
        name,
        TrafficEvent::Received {
            rid: rid.clone(),
            front: front.into(),
            class: completion_request.model.clone(),
            task: task_name.into(),
            work,
        },
    );
    let log_outcome = |outcome: &str| {
        shared.log.record(name, TrafficEvent::Answered { rid: rid.clone(), how: outcome.into() })
    };
    if faults.rejects_as_full {
        log_outcome("full");
        send_response(
            conn,
            429,
            &json_headers,
            &engine::write_error_body("rate_limit", "too many requests"),
        )?;
        return Ok(AfterRequest::KeepOpen);
    }
    let id = JobId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    let (updates_sender, updates) = channel();
    let block_hashes = block_hashes(prompt_text.as_bytes());
    let job = Job {
        id,
        task,
        class: completion_request.model.clone(),
        block_hashes,
        prompt_tokens,
        answer_tokens: turn.token_count,
    };
    shared.inbox.send(Command::Submit { job, rid: rid.clone(), updates: updates_sender });
    let mut completion = Completion {
        shared,
        conn,
        updates,
        id,
        rid: &rid,
        completion_request: &completion_request,
        turn: &turn,
        prompt_tokens,
        stall_address,
    };
    let (outcome, after_request) = completion.run(&params, faults);
    log_outcome(outcome);
    if !matches!(after_request, Ok(AfterRequest::KeepOpen)) {
        shared.inbox.send(Command::Cancel { id });
    }
    after_request
}

/// A completion request in progress and the connection that waits for it.
struct Completion<'a> {
    shared: &'a Arc<Shared>,
    conn: &'a mut Conn,
    updates: Receiver<JobUpdate>,
    id: JobId,
    rid: &'a str,
    completion_request: &'a engine::ParsedCompletionRequest,
    turn: &'a script::Turn,
    prompt_tokens: u64,
    /// Index of the listen address whose fault stalls the stream.
    stall_address: Option<usize>,
}

impl Completion<'_> {
    /// Waits for the next update; `None` if the peer has disconnected or the engine has died.
    fn next_update(&mut self) -> Option<JobUpdate> {
        loop {
            match self.updates.recv_timeout(PEER_CHECK_INTERVAL) {
                Ok(update) => return Some(update),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return None,
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) if self.conn.is_idle() => {}
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => return None,
            }
        }
    }

    /// Sends the response of a rejected job.
    fn reject(&mut self, reason: RejectReason) -> (&'static str, Result<AfterRequest, NetError>) {
        let (outcome, status, code) = match reason {
            RejectReason::Full => ("full", 429, "rate_limit"),
            RejectReason::WrongRole => ("wrong-role", 400, "wrong_role"),
            RejectReason::NoState => ("no-state", 424, engine::KV_STATE_MISSING_CODE),
            RejectReason::Down => ("down", 500, "engine_dead"),
        };
        let json_headers = [("content-type", "application/json")];
        let sent = send_response(self.conn, status, &json_headers, &engine::write_error_body(code, outcome));
        (outcome, sent.map(|()| AfterRequest::KeepOpen))
    }

    fn usage(&self, written_tokens: u64, cached_tokens: u64) -> engine::Usage {
        engine::Usage { prompt: self.prompt_tokens, completion: written_tokens, cached: cached_tokens }
    }

    /// Follows the job to its end. Returns the outcome for the log and whether the connection stays open.
    fn run(
        &mut self,
        params: &engine::KvParams,
        faults: &SocketFaults,
    ) -> (&'static str, Result<AfterRequest, NetError>) {
        loop {
            match self.next_update() {
                None => return ("left", Ok(AfterRequest::Close)),
                Some(JobUpdate::Rejected(reason)) => return self.reject(reason),
                Some(JobUpdate::FetchState) => {
                    let is_available = fetch_state(self.shared, params);
                    self.shared.inbox.send(Command::StateFetched { id: self.id, is_available });
                }
                Some(JobUpdate::ReadDone { cached_tokens }) => {
                    return ("read", self.send_read_response(cached_tokens));
                }
                Some(JobUpdate::Token(index)) => return self.stream_answer(index, faults),
                Some(JobUpdate::AnswerDone { .. }) => return ("error", Ok(AfterRequest::Close)),
            }
        }
    }

    /// Sends the response of a finished prompt read: where the KV state is held.
    fn send_read_response(&mut self, cached_tokens: u64) -> Result<AfterRequest, NetError> {
        let kv = engine::KvParams {
            do_remote_prefill: true,
            remote_engine_id: Some(format!(
                "{}.{}.{}",
                self.shared.options.zone, self.shared.options.cell, self.shared.options.name
            )),
            remote_block_ids: Some(Vec::new()),
            remote_host: Some(self.shared.addr.ip().to_string()),
            remote_port: Some(self.shared.addr.port()),
            remote_request_id: Some(self.rid.to_owned()),
            ..engine::KvParams::default()
        };
        let body =
            engine::write_reader_response(&self.completion_request.model, self.usage(1, cached_tokens), &kv);
        // The faults are copied first: no lock is held while this waits for the report.
        let faults = lock(&self.shared.faults).clone();
        let report = current_report(self.shared, &faults);
        let headers = [("content-type", "application/json"), (orca::REPORT_HEADER, report.as_str())];
        send_response(self.conn, 200, &headers, &body)?;
        Ok(AfterRequest::KeepOpen)
    }

    /// Streams the answer, starting with its first token.
    fn stream_answer(
        &mut self,
        first_index: u64,
        faults: &SocketFaults,
    ) -> (&'static str, Result<AfterRequest, NetError>) {
        let break_at = {
            let mut faults = lock(&self.shared.faults);
            let breaks = faults.streams_to_break > 0;
            faults.streams_to_break = faults.streams_to_break.saturating_sub(1);
            breaks.then_some(faults.break_after_tokens)
        };
        let report = current_report(self.shared, faults);
        let (ending, mut out) = (faults.stream_ending, Vec::with_capacity(1024));
        let headers = [
            ("content-type", "text/event-stream"),
            (orca::REPORT_HEADER, report.as_str()),
            ("cache-control", "no-store"),
        ];
        http::write_stream_head(200, &headers, &mut out);
        let mut update = Some(JobUpdate::Token(first_index));
        loop {
            match update {
                Some(JobUpdate::Token(index)) => {
                    if let Some(address_index) = self.stall_address.filter(|_| index == TOKENS_BEFORE_STALL) {
                        let _ = self.conn.write(&out);
                        hold_until_fault_ends(
                            self.shared,
                            self.conn,
                            address_index,
                            AddressFault::StallsInBody,
                        );
                        return ("stalled", Ok(AfterRequest::Close));
                    }
                    if break_at == Some(index) {
                        let _ = self.conn.write(&out);
                        return ("broken", Ok(AfterRequest::Close));
                    }
                    let data = engine::write_text_event(
                        &self.completion_request.model,
                        &self.turn.token_text(index),
                    );
                    write_event(&data, ending, &mut out);
                }
                Some(JobUpdate::AnswerDone { cached_tokens }) => {
                    self.write_last_events(cached_tokens, ending, &mut out);
                    if ending != StreamEnding::Plain {
                        // The end comes in a packet of its own.
                        if let Err(error) = self.conn.write(&out) {
                            return ("left", Err(error));
                        }
                        out.clear();
                        sleep(STREAM_END_DELAY);
                    }
                    ending.write_end(&report, &mut out);
                    return match self.conn.write(&out) {
                        Ok(()) if ending.is_finished() => ("served", Ok(AfterRequest::KeepOpen)),
                        Ok(()) => ("broken", Ok(AfterRequest::Close)),
                        Err(error) => ("left", Err(error)),
                    };
                }
                Some(_) => {}
                None => {
                    let _ = self.conn.write(&out);
                    return ("left", Ok(AfterRequest::Close));
                }
            }
            // All tokens that are available are sent with one socket write.
            update = match self.updates.try_recv() {
                Ok(update) => Some(update),
                Err(_) => {
                    if let Err(error) = self.conn.write(&out) {
                        return ("left", Err(error));
                    }
                    out.clear();
                    self.next_update()
                }
            };
        }
    }

    /// Appends the tool call, if any, the usage and the end mark.
    fn write_last_events(&self, cached_tokens: u64, ending: StreamEnding, out: &mut Vec<u8>) {
        let model = &self.completion_request.model;
        let finish = match &self.turn.call {
            None => engine::FinishReason::Stop,
            Some((name, arguments)) => {
                let function = engine::FunctionCall { name: name.clone(), arguments: arguments.clone() };
                let call =
                    engine::ToolCall { id: format!("call-{}", self.id.0), kind: "function".into(), function };
                write_event(&engine::write_tool_call_event(model, &call), ending, out);
                engine::FinishReason::ToolCalls
            }
        };
        let usage = self.usage(self.turn.token_count, cached_tokens);
        write_event(&engine::write_end_event(model, finish, usage), ending, out);
        write_event(engine::STREAM_END_DATA, ending, out);
    }
}

/// Appends an event with this data to a chunked body.
fn write_event(data: &str, ending: StreamEnding, out: &mut Vec<u8>) {
    ending.write_events(&format!("data: {data}\n\n"), out);
}

/// Fetches a KV state from its reader. Takes the time that its transfer over the link would take. Returns
/// whether the state was received.
fn fetch_state(shared: &Shared, params: &engine::KvParams) -> bool {
    let (Some(host), Some(port), Some(rid)) =
        (&params.remote_host, params.remote_port, &params.remote_request_id)
    else {
        return false;
    };
    let Ok(addr) = format!("{host}:{port}").parse::<SocketAddr>() else { return false };
    let via = format!("1.1 {} ({})", shared.options.name, shared.options.zone);
    let post_to_reader = |path: &str| {
        let endpoint = EndpointPath::new(addr, path);
        exchange(
            "POST",
            &endpoint,
            &[("via", &via)],
            json!({"rid": rid}).to_string().as_bytes(),
            CLAIM_TIMEOUT,
        )
    };
    let Ok(response) = post_to_reader(CLAIM_PATH) else { return false };
    let claim: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let Some(tokens) = claim.get("tokens").and_then(Value::as_f64).filter(|_| response.head.status == 200)
    else {
        return false;
    };
    let slowdown = lock(&shared.faults).link_slowdown.max(1.0);
    let tokens_per_s = shared.link_tokens_per_s(params.remote_engine_id.as_deref().unwrap_or_default());
    sleep(Duration::from_secs_f64(tokens / tokens_per_s.max(1.0) * slowdown));
    post_to_reader(TAKEN_PATH).is_ok_and(|response| response.head.status == 200)
}

impl Shared {
    /// Logs a completion request that is received but not served. Returns its request id.
    fn log_request(&self, head: &http::Request, body: &[u8]) -> String {
        let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
        let (front, _) = parse_via(head);
        let (class, task) = ("?".into(), task_name(body).into());
        self.log.record(
            &self.options.name,
            TrafficEvent::Received { rid: rid.clone(), front, class, task, work: 0.0 },
        );
        rid
    }

    /// Logs a request to release a state.
    fn log_release(&self, body: &[u8]) {
        let json_body: Value = serde_json::from_slice(body).unwrap_or_default();
        if let Some(rid) = json_body.get("rid").and_then(Value::as_str) {
            self.log.record(&self.options.name, TrafficEvent::ReleaseAsked { rid: rid.to_owned() });
        }
    }

    /// Transfer rate in tokens per second from an engine, by the location in its id `zone.cell.name`.
    fn link_tokens_per_s(&self, reader_id: &str) -> f64 {
        let [within_cell, within_zone, between_zones] = self.options.link_tokens_per_s;
        let mut parts = reader_id.split('.');
        let same_zone = parts.next() == Some(self.options.zone.as_str());
        let same_cell = parts.next() == Some(self.options.cell.to_string().as_str());
        match (same_zone, same_cell) {
            (true, true) => within_cell,
            (true, false) => within_zone,
            (false, _) => between_zones,
        }
    }
}
