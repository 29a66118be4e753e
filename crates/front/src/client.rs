//! Connections of clients: reads HTTP requests from the socket in order, and runs a coroutine for each tool call.
//!
//! Two coroutines share the connection during a call: one reads the socket and notices that the client has left,
//! the other carries out the owner's commands and writes the response. Neither decides anything about the request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use elderstage::Time;
use elderstage_core::chain::Final;
use elderstage_core::evidence::ToolEnd;
use elderstage_core::{ChainId, Event, NewRequest, RequestedToolCall, Stage};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::{Conn, NetError, spawn};
use elderstage_protocol::engine::{self, Message};
use elderstage_protocol::jsonrpc::Id;
use elderstage_protocol::{http, mcp as codec, sse};
use serde_json::Value;

use crate::engines::{self, Attempt, StreamSink};
use crate::ids::RequestIds;
use crate::mcp::{self, PostAction};
use crate::owner::{self, Command, Input, SendMail};
use crate::slot::{CancelSlot, OperationKey};
use crate::{Shared, plan, tools};

/// Interval of the pings on an open GET stream, which keep middleboxes from closing it.
const PING_INTERVAL: Duration = Duration::from_secs(15);
/// Longest `x-request-id` accepted from a client.
const MAX_REQUEST_ID_BYTES: usize = 64;
const JSON_CONTENT_TYPE: (&str, &str) = ("content-type", "application/json");

/// Serves a new connection in a coroutine of its own.
pub(crate) fn serve_connection(shared: &Arc<Shared>, mut conn: Conn) {
    conn.limits = http::Limits {
        head_bytes: shared.config.front.max_head_bytes,
        body_bytes: shared.config.front.max_body_bytes,
    };
    let shared = shared.clone();
    spawn(move || {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let mut client = ClientConnection { shared: &shared, conn, writer: None };
        client.serve();
        client.conn.socket().shutdown();
        shared.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

/// The connection of a client.
struct ClientConnection<'a> {
    shared: &'a Arc<Shared>,
    conn: Conn,
    /// A second handle on the socket, for the coroutine of a call; kept for the next call.
    writer: Option<Conn>,
}

impl ClientConnection<'_> {
    /// Reads requests from the socket and answers them, until the connection ends.
    fn serve(&mut self) {
        let front = &self.shared.config.front;
        let (idle, stall) =
            (Duration::from_micros(front.idle_timeout), Duration::from_micros(front.stall_timeout));
        self.conn.set_write_timeout(Some(stall));
        loop {
            self.conn.set_read_timeout(Some(idle));
            let received = self.conn.receive_request().and_then(|head| {
                self.conn.set_read_timeout(Some(stall));
                self.conn.send_continue(&head)?;
                let body = self.conn.receive_body(head.framing)?;
                Ok((head, body))
            });
            let (head, body) = match received {
                Ok(received) => received,
                Err(NetError::Http(error)) => {
                    let text = error.to_string();
                    // The connection is closed whether or not this write succeeds.
                    let _ = self.respond(error.status(), &[("connection", "close")], text.as_bytes());
                    return;
                }
                Err(_) => return,
            };
            match self.handle_request(&head, &body) {
                Ok(true) if head.keep_alive => {}
                _ => return,
            }
        }
    }

    fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<(), NetError> {
        let mut out = Vec::with_capacity(256 + body.len());
        http::write_response(status, headers, body, true, &mut out);
        self.conn.write(&out)
    }

    /// Answers one request. Returns `false` if the connection must close.
    fn handle_request(&mut self, head: &http::Request, body: &[u8]) -> Result<bool, NetError> {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            (method, mcp::PATH) => {
                if let Some((status, why)) = mcp::check_headers(self.shared, head) {
                    self.respond(status, &[("content-type", "text/plain")], why.as_bytes())?;
                    return Ok(true);
                }
                match method {
                    "POST" => self.handle_post(head, body),
                    "GET" => self.serve_ping_stream(head),
                    "DELETE" => self.close_session(head).map(|()| true),
                    _ => {
                        self.respond(405, &[("allow", "GET, POST, DELETE")], b"")?;
                        Ok(true)
                    }
                }
            }
            ("GET", "/health") => {
                let draining = self.shared.draining.load(Ordering::Relaxed);
                let (status, text) = if draining { (503, "draining\n") } else { (200, "ok\n") };
                self.respond(status, &[("content-type", "text/plain")], text.as_bytes())?;
                Ok(true)
            }
            ("GET", "/metrics") => {
                let text = self.collect_metrics();
                let status = if text.is_some() { 200 } else { 503 };
                self.respond(status, &[("content-type", "text/plain")], text.unwrap_or_default().as_bytes())?;
                Ok(true)
            }
            _ => {
                self.respond(404, &[("content-type", "text/plain")], b"no such path\n")?;
                Ok(true)
            }
        }
    }

    fn collect_metrics(&self) -> Option<String> {
        let (reply, status_receiver) = std::sync::mpsc::sync_channel(1);
        if !self.shared.inbox.send(Input::Status(reply)) {
            return None;
        }
        // The owner answers as soon as it reaches the request in its queue. Polling keeps the coroutine from
        // blocking its worker thread meanwhile.
        for _ in 0..200 {
            if let Ok(status) = status_receiver.try_recv() {
                return Some(owner::render_metrics(&status, self.shared));
            }
            elderstage_net::sleep(Duration::from_millis(5));
        }
        None
    }

    fn handle_post(&mut self, head: &http::Request, body: &[u8]) -> Result<bool, NetError> {
        let content_type = head.headers.get("content-type").unwrap_or("application/json");
        if !content_type.starts_with("application/json") {
            self.respond(415, &[("content-type", "text/plain")], b"expected application/json\n")?;
            return Ok(true);
        }
        match mcp::handle_message(self.shared, head, body) {
            PostAction::Respond { status, session, body } => {
                let mut headers = vec![JSON_CONTENT_TYPE];
                if let Some(session) = &session {
                    headers.push((codec::SESSION_HEADER, session));
                }
                self.respond(status, &headers, body.as_bytes())?;
                Ok(true)
            }
            PostAction::Call { id, route, prompt, session, progress_token } => {
                if let Some(accept) = head.headers.get("accept")
                    && !accept.contains("text/event-stream")
                    && !accept.contains("*/*")
                {
                    self.respond(406, &[("content-type", "text/plain")], b"expected text/event-stream\n")?;
                    return Ok(true);
                }
                self.start_call(head, id, route, prompt, session, progress_token)
            }
        }
    }

    fn close_session(&mut self, head: &http::Request) -> Result<(), NetError> {
        let session = head.headers.get(codec::SESSION_HEADER);
        match session.and_then(|session| self.shared.sessions.close(session)) {
            Some(calls) => {
                for chain in calls {
                    self.shared.inbox.send(Input::Core(Event::ClientGone { chain }));
                }
                self.respond(204, &[], b"")
            }
            None => self.respond(400, &[("content-type", "text/plain")], b"expected a session\n"),
        }
    }

    /// Serves the GET stream for messages from the server. The front sends none, so the stream carries only pings
    /// until the client leaves.
    fn serve_ping_stream(&mut self, head: &http::Request) -> Result<bool, NetError> {
        if !head.headers.get("accept").is_some_and(|accept| accept.contains("text/event-stream")) {
            self.respond(406, &[("content-type", "text/plain")], b"expected text/event-stream\n")?;
            return Ok(true);
        }
        let mut out = Vec::new();
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        self.conn.write(&out)?;
        self.conn.set_read_timeout(Some(PING_INTERVAL));
        loop {
            match self.conn.fill() {
                Err(NetError::TimedOut) => {
                    let mut out = Vec::new();
                    if self.shared.draining.load(Ordering::Relaxed) {
                        self.conn.write(http::LAST_CHUNK)?;
                        return Ok(false);
                    }
                    http::write_chunk(b": ping\n\n", &mut out);
                    self.conn.write(&out)?;
                }
                // The client sent another request on an endless stream, which is a mistake: the connection closes.
                Ok(()) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    /// Starts a tool call in a coroutine of its own and waits for its end.
    fn start_call(
        &mut self,
        head: &http::Request,
        id: Id,
        route: usize,
        prompt: String,
        session: Option<String>,
        progress_token: Option<Id>,
    ) -> Result<bool, NetError> {
        let chain = self.shared.ids.next_chain();
        let session_id = head.headers.get(codec::SESSION_HEADER).map(str::to_owned);
        if let Some(session_id) = &session_id
            && !self.shared.sessions.begin_call(session_id, id.clone(), chain)
        {
            let error = elderstage_protocol::jsonrpc::RpcError::new(
                elderstage_protocol::jsonrpc::INVALID_REQUEST,
                "the id is in use",
            );
            let body = elderstage_protocol::jsonrpc::response(Some(&id), Err(error));
            self.respond(200, &[JSON_CONTENT_TYPE], body.as_bytes())?;
            return Ok(true);
        }
        let client_rid = head.headers.get("x-request-id").filter(|rid| {
            !rid.is_empty()
                && rid.len() <= MAX_REQUEST_ID_BYTES
                && rid.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        });
        let ids = self.shared.ids.request_ids(chain, &self.shared.config.front.name, client_rid);
        let mut writer = match self.writer.take() {
            Some(writer) => writer,
            None => self.conn.try_clone_for_writing()?,
        };
        writer.set_write_timeout(Some(Duration::from_micros(self.shared.config.front.stall_timeout)));
        let (end_sender, call_ended) = channel();
        let shared = self.shared.clone();
        let guard = ActiveCallGuard::new(&shared, session_id.clone(), id.clone());
        spawn(move || {
            let _guard = guard;
            let mut request =
                ToolCallRequest::new(&shared, writer, chain, id, route, ids, prompt, progress_token);
            request.run(session);
            // The connection may have closed meanwhile.
            let _ = end_sender.send((request.writer, request.is_writable));
        });
        self.wait_for_call(chain, &call_ended)
    }

    /// Waits for the end of the call and reads the socket meanwhile, to notice when the client leaves.
    fn wait_for_call(
        &mut self,
        chain: ChainId,
        call_ended: &Receiver<(Conn, bool)>,
    ) -> Result<bool, NetError> {
        let idle = Duration::from_micros(self.shared.config.front.idle_timeout);
        self.conn.set_read_timeout(Some(idle));
        loop {
            // A client that has already sent its next request may send nothing more until this one is answered, so
            // the socket is not read again. A client that leaves is then noticed only by a failed write.
            let read_result = if self.conn.has_pending() { Ok(()) } else { self.conn.fill() };
            match read_result {
                // The next request has arrived, before the end of this call or after it.
                Ok(()) => {
                    let Ok((writer, is_writable)) = call_ended.recv() else { return Ok(false) };
                    self.writer = Some(writer);
                    return Ok(is_writable);
                }
                Err(NetError::TimedOut) => {
                    if let Ok((_, _)) = call_ended.try_recv() {
                        // The call has ended and the connection was idle for the idle timeout.
                        return Ok(false);
                    }
                }
                Err(error) => {
                    self.shared.inbox.send(Input::Core(Event::ClientGone { chain }));
                    // The shutdown makes further writes of the call's coroutine fail.
                    self.conn.socket().shutdown();
                    let _ = call_ended.recv();
                    return Err(error);
                }
            }
        }
    }
}

/// Counts a call as active, and its id as in use, while its coroutine runs, however that ends.
struct ActiveCallGuard {
    shared: Arc<Shared>,
    session: Option<String>,
    id: Id,
}

impl ActiveCallGuard {
    fn new(shared: &Arc<Shared>, session: Option<String>, id: Id) -> ActiveCallGuard {
        shared.active.fetch_add(1, Ordering::SeqCst);
        ActiveCallGuard { shared: shared.clone(), session, id }
    }
}

impl Drop for ActiveCallGuard {
    fn drop(&mut self) {
        if let Some(session) = &self.session {
            self.shared.sessions.end_call(session, &self.id);
        }
        self.shared.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One tool call of a client, over all its attempts and turns.
struct ToolCallRequest<'a> {
    shared: &'a Arc<Shared>,
    writer: Conn,
    chain: ChainId,
    id: Id,
    route: usize,
    ids: RequestIds,
    progress_token: Option<Id>,
    /// The conversation so far.
    messages: Vec<Message>,
    /// All text of the answer so far.
    answer_text: String,
    /// Length of `answer_text` when the current turn began.
    turn_start: usize,
    /// Progress notifications sent so far.
    progress_count: u64,
    /// Tool calls of the last turn, with their results.
    tool_calls: Vec<(engine::ToolCall, Option<String>)>,
    /// Transfer parameters of the KV state that a reader holds.
    kv_params: Option<Value>,
    head_written: bool,
    /// Whether writes to the client have succeeded so far.
    is_writable: bool,
    /// Output that is not written to the socket yet.
    out_buffer: Vec<u8>,
}

impl<'a> ToolCallRequest<'a> {
    #[allow(clippy::too_many_arguments)]
    fn new(
        shared: &'a Arc<Shared>,
        writer: Conn,
        chain: ChainId,
        id: Id,
        route: usize,
        ids: RequestIds,
        prompt: String,
        progress_token: Option<Id>,
    ) -> ToolCallRequest<'a> {
        let preamble = &shared.config.routes[route].preamble;
        let system = (!preamble.is_empty()).then(|| Message::text("system", preamble.as_str()));
        let messages = system.into_iter().chain([Message::text("user", prompt)]).collect();
        ToolCallRequest {
            shared,
            writer,
            chain,
            id,
            route,
            ids,
            progress_token,
            messages,
            answer_text: String::new(),
            turn_start: 0,
            progress_count: 0,
            tool_calls: Vec::new(),
            kv_params: None,
            head_written: false,
            is_writable: true,
            out_buffer: Vec::new(),
        }
    }

    /// Submits the request to the owner and carries out the owner's commands until the last one.
    fn run(&mut self, session: Option<String>) {
        let (command_sender, commands): (Sender<Command>, Receiver<Command>) = channel();
        let slot = Arc::new(CancelSlot::default());
        let route = &self.shared.config.routes[self.route];
        let bytes = self.messages.iter().filter_map(|m| m.content.as_ref()).map(String::len).sum();
        let prefix = (!route.preamble.is_empty()).then(|| (route.name.clone(), route.preamble.len()));
        let submit = NewRequest {
            chain: self.chain,
            route: self.route,
            tenant: 0,
            session,
            shared_prefix: prefix,
            prompt_bytes: bytes,
            is_repeat: false,
        };
        let submission =
            Input::NewRequest { submit, ids: self.ids.clone(), commands: command_sender, slot: slot.clone() };
        if self.shared.inbox.try_send(submission).is_err() {
            // The owner's queue is full or the owner has ended: the request was not submitted.
            let retry_after = self.shared.config.rules.max_retry_after;
            let reason = elderstage_core::Reason::FrontFull;
            return self.finish(Final::Refused { reason, retry_after });
        }
        while let Ok(command) = commands.recv() {
            match command {
                Command::Send(send) => self.run_attempt(&send, &slot),
                Command::CallTool { turn, call, tool, attempt, timeout } => {
                    self.call_tool(turn, call, tool, attempt, timeout, &slot);
                }
                Command::Last(last) => return self.finish(last),
            }
        }
        // The owner ended while this request was open: the process is shutting down.
        self.is_writable = false;
    }

    fn send_event(&self, event: Event) {
        self.shared.inbox.send(Input::Core(event));
    }

    // ---- Attempts at engines ----

    /// Appends the last turn and the results of its tool calls to the conversation, once.
    fn append_turn(&mut self) {
        if self.tool_calls.is_empty() {
            return;
        }
        let calls = std::mem::take(&mut self.tool_calls);
        let text = self.answer_text[self.turn_start..].to_owned();
        let tool_calls = calls.iter().map(|(call, _)| call.clone()).collect();
        self.messages.push(Message { tool_calls, ..Message::text("assistant", text) });
        for (call, result) in calls {
            let result = result.unwrap_or_else(|| "error: the tool gave no result".into());
            self.messages.push(Message::tool(&call.id, result));
        }
        self.turn_start = self.answer_text.len();
    }

    /// Makes an attempt at an engine and reports its result to the core.
    fn run_attempt(&mut self, send: &SendMail, slot: &CancelSlot) {
        self.append_turn();
        let route = &self.shared.config.routes[self.route];
        let stage = match send.stage {
            Stage::Read => engine::Stage::Read,
            Stage::Write => engine::Stage::Write(self.kv_params.clone().unwrap_or(Value::Null)),
            Stage::Whole => engine::Stage::Whole,
        };
        let engine_request = engine::CompletionRequest {
            model: route.model.clone(),
            messages: std::mem::take(&mut self.messages),
            tools: route.tools.clone(),
            max_tokens: u64::from(route.max_tokens),
            stage,
        };
        let body = engine::write_request_body(&engine_request);
        self.messages = engine_request.messages;
        let attempt = Attempt {
            server: &send.server,
            stage: send.stage,
            operation: OperationKey::Attempt { turn: send.turn, attempt: send.attempt },
            rid: self.ids.attempt(send.turn, send.attempt),
            idempotency_key: send.keyed.then(|| self.ids.turn_key(send.turn)),
            timeout: Duration::from_micros(send.timeout),
            is_at_most_once: send.once,
            body,
            slot,
        };
        let started_at = self.shared.clock.now();
        let shared = self.shared.clone();
        let outcome =
            engines::run_attempt(&shared, &attempt, &mut ClientStream { request: self, send, started_at });
        let took = self.shared.clock.now() - started_at;
        let load = outcome.report.as_ref().map(plan::load_values);
        if let Some(report) = outcome.report {
            self.shared.inbox.send(Input::LoadReport { server: send.server.clone(), report });
        }
        if outcome.state.is_some() {
            self.kv_params = outcome.state;
        }
        let calls = outcome.calls.iter().map(|call| RequestedToolCall {
            tool: call.function.name.clone(),
            argument_bytes: call.function.arguments.len(),
        });
        let calls = calls.collect();
        self.tool_calls = outcome.calls.into_iter().map(|call| (call, None)).collect();
        tracing::debug!(
            target: "request", rid = %attempt.rid, server = %send.server.0, stage = ?send.stage,
            evidence = ?outcome.evidence, took_us = took, "attempt ended"
        );
        self.send_event(Event::AttemptEnded {
            chain: self.chain,
            leg: send.leg,
            attempt: send.attempt,
            evidence: outcome.evidence,
            took,
            usage: outcome.usage.map(|usage| (usage.prompt, usage.completion)),
            text_bytes: self.answer_text.len() - self.turn_start,
            calls,
            load,
        });
    }

    // ---- Tool calls ----

    /// Makes one try of a tool call and reports its result to the core.
    fn call_tool(
        &mut self,
        turn: u32,
        call: usize,
        tool: usize,
        attempt: u32,
        timeout: Time,
        slot: &CancelSlot,
    ) {
        let (Some(client), Some((tool_call, _))) = (self.shared.tools.get(tool), self.tool_calls.get(call))
        else {
            return;
        };
        // A model may write arguments that are not a JSON object; the tool then gets an empty object.
        let arguments = serde_json::from_str(&tool_call.function.arguments).ok().filter(Value::is_object);
        let tool_try = tools::ToolCall {
            rid: self.ids.tool_try(turn, call, attempt),
            idempotency_key: self.ids.tool_call_key(turn, call),
            arguments: arguments.unwrap_or_else(|| serde_json::json!({})),
            slot,
            operation: OperationKey::Tool { turn, call },
            timeout: Duration::from_micros(timeout),
        };
        let (end, text) = client.call(self.shared, &tool_try);
        tracing::debug!(target: "request", rid = %tool_try.rid, tool = %client.name, ?end, "tool call ended");
        if let (ToolEnd::Result { .. }, Some((_, result))) = (&end, self.tool_calls.get_mut(call)) {
            *result = text;
        }
        self.send_event(Event::ToolEnded { chain: self.chain, call, end });
    }

    // ---- Output to the client ----

    /// Writes the buffered output to the socket. A failure is reported to the core once.
    fn flush(&mut self) {
        if self.is_writable && !self.out_buffer.is_empty() && self.writer.write(&self.out_buffer).is_err() {
            self.is_writable = false;
            self.send_event(Event::ClientGone { chain: self.chain });
        }
        self.out_buffer.clear();
    }

    /// Buffers the head of the response, once.
    fn buffer_head(&mut self) {
        if !self.head_written {
            self.head_written = true;
            let headers = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
            http::write_stream_head(200, &headers, &mut self.out_buffer);
        }
    }

    /// Buffers one server-sent event.
    fn buffer_event(&mut self, message: &str) {
        self.buffer_head();
        let mut event = Vec::with_capacity(message.len() + 32);
        sse::write_event(Some("message"), message, &mut event);
        http::write_chunk(&event, &mut self.out_buffer);
    }

    /// Writes the final response and ends the stream.
    fn finish(&mut self, last: Final) {
        if let Some(message) = mcp::final_response(&self.id, last, &self.answer_text) {
            self.buffer_event(&message);
        }
        self.buffer_head();
        self.out_buffer.extend_from_slice(http::LAST_CHUNK);
        self.flush();
    }
}

/// Passes the output of an attempt to the client as it arrives.
struct ClientStream<'a, 'b> {
    request: &'a mut ToolCallRequest<'b>,
    send: &'a SendMail,
    started_at: Time,
}

impl StreamSink for ClientStream<'_, '_> {
    fn on_first_output(&mut self) {
        let took = self.request.shared.clock.now() - self.started_at;
        self.request.send_event(Event::Streaming {
            chain: self.request.chain,
            leg: self.send.leg,
            attempt: self.send.attempt,
            took,
        });
    }

    fn on_text(&mut self, text: &str) {
        let request = &mut *self.request;
        if request.answer_text.len() + text.len() > request.shared.config.front.max_answer_bytes {
            request.send_event(Event::TooLong { chain: request.chain });
            return;
        }
        request.answer_text.push_str(text);
        if let Some(token) = request.progress_token.clone() {
            request.progress_count += 1;
            let message = codec::progress(&token, request.progress_count, text);
            request.buffer_event(&message);
            request.flush();
        }
    }
}
