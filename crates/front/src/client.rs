//! Connections of clients: HTTP requests in their order, and the coroutine of each request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use elderstage::Time;
use elderstage_core::chain::Final;
use elderstage_core::evidence::ToolEnd;
use elderstage_core::{Call, ChainId, Event, Stage, Submit};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::{Conn, NetError, go};
use elderstage_protocol::engine::{self, Message};
use elderstage_protocol::jsonrpc::Id;
use elderstage_protocol::{http, mcp as codec, sse};
use serde_json::Value;

use crate::engines::{self, Attempt, StreamSink};
use crate::mcp::{self, Asked};
use crate::owner::{self, Input, Mail, SendMail};
use crate::slot::{CancelSlot, OperationKey};
use crate::{Shared, plan, tools};

/// How often an open GET stream is written to, so that middle boxes keep it.
const PING: Duration = Duration::from_secs(15);
/// Longest request id taken over from a client.
const MOST_RID: usize = 64;
const JSON: (&str, &str) = ("content-type", "application/json");

/// Takes a new connection.
pub(crate) fn accepted(shared: &Arc<Shared>, mut conn: Conn) {
    conn.limits = http::Limits { head: shared.config.front.head, body: shared.config.front.body };
    let shared = shared.clone();
    go(move || {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let mut client = Client { shared: &shared, conn, writer: None };
        client.serve();
        client.conn.socket().shut();
        shared.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

struct Client<'a> {
    shared: &'a Arc<Shared>,
    conn: Conn,
    /// A second handle for the coroutine of a request; kept for the next one.
    writer: Option<Conn>,
}

impl Client<'_> {
    fn serve(&mut self) {
        let front = &self.shared.config.front;
        let (idle, stall) = (Duration::from_micros(front.idle), Duration::from_micros(front.stall));
        self.conn.set_write_timeout(Some(stall));
        loop {
            self.conn.set_read_timeout(Some(idle));
            let received = self.conn.request().and_then(|head| {
                self.conn.set_read_timeout(Some(stall));
                self.conn.take_body(&head)?;
                let body = self.conn.body(head.framing)?;
                Ok((head, body))
            });
            let (head, body) = match received {
                Ok(received) => received,
                Err(NetError::Http(error)) => {
                    let text = error.to_string();
                    // The connection ends in any case.
                    let _ = self.answer(error.status(), &[("connection", "close")], text.as_bytes());
                    return;
                }
                Err(_) => return,
            };
            match self.request(&head, &body) {
                Ok(true) if head.keep_alive => {}
                _ => return,
            }
        }
    }

    fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<(), NetError> {
        let mut out = Vec::with_capacity(256 + body.len());
        http::write_response(status, headers, body, true, &mut out);
        self.conn.write(&out)
    }

    /// Answers one request; `false` ends the connection.
    fn request(&mut self, head: &http::Request, body: &[u8]) -> Result<bool, NetError> {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            (method, mcp::PATH) => {
                if let Some((status, why)) = mcp::check(self.shared, head) {
                    self.answer(status, &[("content-type", "text/plain")], why.as_bytes())?;
                    return Ok(true);
                }
                match method {
                    "POST" => self.post(head, body),
                    "GET" => self.stream(head),
                    "DELETE" => self.delete(head).map(|()| true),
                    _ => {
                        self.answer(405, &[("allow", "GET, POST, DELETE")], b"")?;
                        Ok(true)
                    }
                }
            }
            ("GET", "/health") => {
                let draining = self.shared.draining.load(Ordering::Relaxed);
                let (status, text) = if draining { (503, "draining\n") } else { (200, "ok\n") };
                self.answer(status, &[("content-type", "text/plain")], text.as_bytes())?;
                Ok(true)
            }
            ("GET", "/metrics") => {
                let text = self.metrics();
                let status = if text.is_some() { 200 } else { 503 };
                self.answer(status, &[("content-type", "text/plain")], text.unwrap_or_default().as_bytes())?;
                Ok(true)
            }
            _ => {
                self.answer(404, &[("content-type", "text/plain")], b"no such path\n")?;
                Ok(true)
            }
        }
    }

    fn metrics(&self) -> Option<String> {
        let (reply, heard) = std::sync::mpsc::sync_channel(1);
        if !self.shared.inbox.send(Input::Status(reply)) {
            return None;
        }
        // The owner answers within a turn of its queue; a coroutine must not block a worker for it.
        for _ in 0..200 {
            if let Ok(status) = heard.try_recv() {
                return Some(owner::metrics(&status, self.shared));
            }
            elderstage_net::sleep(Duration::from_millis(5));
        }
        None
    }

    fn post(&mut self, head: &http::Request, body: &[u8]) -> Result<bool, NetError> {
        let kind = head.headers.get("content-type").unwrap_or("application/json");
        if !kind.starts_with("application/json") {
            self.answer(415, &[("content-type", "text/plain")], b"expected application/json\n")?;
            return Ok(true);
        }
        match mcp::message(self.shared, head, body) {
            Asked::Now { status, session, body } => {
                let mut headers = vec![JSON];
                if let Some(session) = &session {
                    headers.push((codec::SESSION_HEADER, session));
                }
                self.answer(status, &headers, body.as_bytes())?;
                Ok(true)
            }
            Asked::Call { id, route, prompt, session, progress } => {
                if let Some(accept) = head.headers.get("accept")
                    && !accept.contains("text/event-stream")
                    && !accept.contains("*/*")
                {
                    self.answer(406, &[("content-type", "text/plain")], b"expected text/event-stream\n")?;
                    return Ok(true);
                }
                self.call(head, id, route, prompt, session, progress)
            }
        }
    }

    fn delete(&mut self, head: &http::Request) -> Result<(), NetError> {
        let session = head.headers.get(codec::SESSION_HEADER);
        match session.and_then(|session| self.shared.sessions.close(session)) {
            Some(calls) => {
                for chain in calls {
                    self.shared.inbox.send(Input::Core(Event::ClientGone { chain }));
                }
                self.answer(204, &[], b"")
            }
            None => self.answer(400, &[("content-type", "text/plain")], b"expected a session\n"),
        }
    }

    /// An open stream for messages of ours; there are none, so it only lives until the client leaves.
    fn stream(&mut self, head: &http::Request) -> Result<bool, NetError> {
        if !head.headers.get("accept").is_some_and(|accept| accept.contains("text/event-stream")) {
            self.answer(406, &[("content-type", "text/plain")], b"expected text/event-stream\n")?;
            return Ok(true);
        }
        let mut out = Vec::new();
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        self.conn.write(&out)?;
        self.conn.set_read_timeout(Some(PING));
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
                // A further request on a stream that has no end: the client did not mean it.
                Ok(()) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    fn call(
        &mut self,
        head: &http::Request,
        id: Id,
        route: usize,
        prompt: String,
        session: Option<String>,
        progress: Option<Id>,
    ) -> Result<bool, NetError> {
        let chain = ChainId(self.shared.next_chain.fetch_add(1, Ordering::Relaxed));
        let owner = head.headers.get(codec::SESSION_HEADER).map(str::to_owned);
        if let Some(owner) = &owner
            && !self.shared.sessions.begin(owner, id.clone(), chain)
        {
            let error = elderstage_protocol::jsonrpc::RpcError::new(
                elderstage_protocol::jsonrpc::INVALID_REQUEST,
                "the id is in use",
            );
            let body = elderstage_protocol::jsonrpc::response(Some(&id), Err(error));
            self.answer(200, &[JSON], body.as_bytes())?;
            return Ok(true);
        }
        let given = head.headers.get("x-request-id").filter(|rid| {
            !rid.is_empty() && rid.len() <= MOST_RID && rid.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        });
        let name = &self.shared.config.front.name;
        let rid = given.map_or_else(|| format!("{name}-{}", chain.0), str::to_owned);
        let mut writer = match self.writer.take() {
            Some(writer) => writer,
            None => self.conn.writer()?,
        };
        writer.set_write_timeout(Some(Duration::from_micros(self.shared.config.front.stall)));
        let (done, finished) = channel();
        let shared = self.shared.clone();
        let guard = Active::new(&shared, owner.clone(), id.clone());
        go(move || {
            let _guard = guard;
            let mut request = Request::new(&shared, writer, chain, id, route, rid, prompt, progress);
            request.run(session);
            // The connection may have ended meanwhile.
            let _ = done.send((request.writer, request.good));
        });
        self.watch(chain, &finished)
    }

    /// Waits for the request's end while watching whether the client is still there.
    fn watch(&mut self, chain: ChainId, finished: &Receiver<(Conn, bool)>) -> Result<bool, NetError> {
        let idle = Duration::from_micros(self.shared.config.front.idle);
        self.conn.set_read_timeout(Some(idle));
        loop {
            // Guards against waiting for more from a client that waits for us: its next request may have come with
            // this one. That it leaves is then noticed by writing only.
            let more = if self.conn.has_pending() { Ok(()) } else { self.conn.fill() };
            match more {
                // The next request has come before the end of this one, or after it.
                Ok(()) => {
                    let Ok((writer, good)) = finished.recv() else { return Ok(false) };
                    self.writer = Some(writer);
                    return Ok(good);
                }
                Err(NetError::TimedOut) => {
                    if let Ok((_, _)) = finished.try_recv() {
                        // Ended, and nothing came for so long after it.
                        return Ok(false);
                    }
                }
                Err(error) => {
                    self.shared.inbox.send(Input::Core(Event::ClientGone { chain }));
                    // The request's coroutine writes no more once this handle is shut.
                    self.conn.socket().shut();
                    let _ = finished.recv();
                    return Err(error);
                }
            }
        }
    }
}

/// Counts a request while its coroutine runs, however that ends.
struct Active {
    shared: Arc<Shared>,
    session: Option<String>,
    id: Id,
}

impl Active {
    fn new(shared: &Arc<Shared>, session: Option<String>, id: Id) -> Active {
        shared.active.fetch_add(1, Ordering::SeqCst);
        Active { shared: shared.clone(), session, id }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        if let Some(session) = &self.session {
            self.shared.sessions.end(session, &self.id);
        }
        self.shared.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One request of a client, over its legs.
struct Request<'a> {
    shared: &'a Arc<Shared>,
    writer: Conn,
    chain: ChainId,
    id: Id,
    route: usize,
    rid: String,
    progress: Option<Id>,
    messages: Vec<Message>,
    /// All text of the answer so far, and how much of it stood there when the present turn began.
    text: String,
    turn_began: usize,
    pieces: u64,
    /// Calls of the last turn, with their results.
    calls: Vec<(engine::ToolCall, Option<String>)>,
    /// Parameters of the state that waits at a reader.
    state: Option<Value>,
    head_written: bool,
    /// The client's connection still takes what is written.
    good: bool,
    out: Vec<u8>,
}

impl<'a> Request<'a> {
    #[allow(clippy::too_many_arguments)]
    fn new(
        shared: &'a Arc<Shared>,
        writer: Conn,
        chain: ChainId,
        id: Id,
        route: usize,
        rid: String,
        prompt: String,
        progress: Option<Id>,
    ) -> Request<'a> {
        let preamble = &shared.config.routes[route].preamble;
        let system = (!preamble.is_empty()).then(|| Message::text("system", preamble.as_str()));
        let messages = system.into_iter().chain([Message::text("user", prompt)]).collect();
        Request {
            shared,
            writer,
            chain,
            id,
            route,
            rid,
            progress,
            messages,
            text: String::new(),
            turn_began: 0,
            pieces: 0,
            calls: Vec::new(),
            state: None,
            head_written: false,
            good: true,
            out: Vec::new(),
        }
    }

    fn run(&mut self, session: Option<String>) {
        let (mail, told): (Sender<Mail>, Receiver<Mail>) = channel();
        let slot = Arc::new(CancelSlot::default());
        let route = &self.shared.config.routes[self.route];
        let bytes = self.messages.iter().filter_map(|m| m.content.as_ref()).map(String::len).sum();
        let prefix = (!route.preamble.is_empty()).then(|| (route.name.clone(), route.preamble.len()));
        let submit =
            Submit { chain: self.chain, route: self.route, tenant: 0, session, prefix, bytes, repeat: false };
        let open = Input::Open { submit, rid: self.rid.clone(), mail, slot: slot.clone() };
        if self.shared.inbox.offer(open).is_err() {
            // The owner cannot keep up, or has ended: nothing was taken.
            let retry_after = self.shared.config.rules.retry_after;
            let reason = elderstage_core::Reason::FrontFull;
            return self.last(Final::Refused { reason, retry_after });
        }
        while let Ok(mail) = told.recv() {
            match mail {
                Mail::Send(send) => self.send(&send, &slot),
                Mail::CallTool { turn, call, tool, attempt, timeout } => {
                    self.call_tool(turn, call, tool, attempt, timeout, &slot);
                }
                Mail::Last(last) => return self.last(last),
            }
        }
        // The owner has ended with this request open: the process is going down.
        self.good = false;
    }

    fn tell(&self, event: Event) {
        self.shared.inbox.send(Input::Core(event));
    }

    // ---- To engines ----

    /// Appends the last turn and the results of its calls to the conversation, once.
    fn take_turn(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let calls = std::mem::take(&mut self.calls);
        let said = self.text[self.turn_began..].to_owned();
        let tool_calls = calls.iter().map(|(call, _)| call.clone()).collect();
        self.messages.push(Message { tool_calls, ..Message::text("assistant", said) });
        for (call, result) in calls {
            let result = result.unwrap_or_else(|| "error: the tool gave no result".into());
            self.messages.push(Message::tool(&call.id, result));
        }
        self.turn_began = self.text.len();
    }

    fn send(&mut self, send: &SendMail, slot: &CancelSlot) {
        self.take_turn();
        let route = &self.shared.config.routes[self.route];
        let stage = match send.stage {
            Stage::Read => engine::Stage::Read,
            Stage::Write => engine::Stage::Write(self.state.clone().unwrap_or(Value::Null)),
            Stage::Whole => engine::Stage::Whole,
        };
        let ask = engine::Ask {
            model: route.model.clone(),
            messages: std::mem::take(&mut self.messages),
            tools: route.tools.clone(),
            max_tokens: u64::from(route.max_tokens),
            stage,
        };
        let body = engine::body(&ask);
        self.messages = ask.messages;
        let attempt = Attempt {
            server: &send.server,
            stage: send.stage,
            operation: OperationKey::Attempt { turn: send.turn, attempt: send.attempt },
            rid: format!("{}/{}/{}", self.rid, send.turn, send.attempt),
            idempotency_key: send.keyed.then(|| format!("{}/{}", self.rid, send.turn)),
            timeout: Duration::from_micros(send.timeout),
            is_at_most_once: send.once,
            body,
            slot,
        };
        let begun = self.shared.clock.now();
        let shared = self.shared.clone();
        let ended = engines::run_attempt(&shared, &attempt, &mut Stream { request: self, send, begun });
        let took = self.shared.clock.now() - begun;
        let load = ended.report.as_ref().map(plan::load);
        if let Some(report) = ended.report {
            self.shared.inbox.send(Input::Report { server: send.server.clone(), report });
        }
        if ended.state.is_some() {
            self.state = ended.state;
        }
        let calls = ended
            .calls
            .iter()
            .map(|c| Call { tool: c.function.name.clone(), bytes: c.function.arguments.len() });
        let calls = calls.collect();
        self.calls = ended.calls.into_iter().map(|call| (call, None)).collect();
        tracing::debug!(
            target: "request", rid = %attempt.rid, server = %send.server.0, stage = ?send.stage,
            evidence = ?ended.evidence, took_us = took, "attempt ended"
        );
        self.tell(Event::AttemptEnded {
            chain: self.chain,
            leg: send.leg,
            attempt: send.attempt,
            evidence: ended.evidence,
            took,
            usage: ended.usage.map(|usage| (usage.prompt, usage.completion)),
            text: self.text.len() - self.turn_began,
            calls,
            load,
        });
    }

    // ---- To tools ----

    fn call_tool(
        &mut self,
        turn: u32,
        call: usize,
        tool: usize,
        attempt: u32,
        timeout: Time,
        slot: &CancelSlot,
    ) {
        let (Some(client), Some((made, _))) = (self.shared.tools.get(tool), self.calls.get(call)) else {
            return;
        };
        // A model may write arguments that are no JSON; the tool is told just that.
        let arguments = serde_json::from_str(&made.function.arguments).ok().filter(Value::is_object);
        let tool_call = tools::ToolCall {
            rid: format!("{}/{turn}/t{call}.{attempt}", self.rid),
            key: format!("{}/{turn}/t{call}", self.rid),
            arguments: arguments.unwrap_or_else(|| serde_json::json!({})),
            slot,
            slot_key: OperationKey::Tool { turn, call },
            timeout: Duration::from_micros(timeout),
        };
        let (end, text) = client.call(self.shared, &tool_call);
        tracing::debug!(target: "request", rid = %tool_call.rid, tool = %client.name, ?end, "tool call ended");
        if let (ToolEnd::Result { .. }, Some((_, result))) = (&end, self.calls.get_mut(call)) {
            *result = text;
        }
        self.tell(Event::ToolEnded { chain: self.chain, call, end });
    }

    // ---- To the client ----

    fn write(&mut self) {
        if self.good && !self.out.is_empty() && self.writer.write(&self.out).is_err() {
            self.good = false;
            self.tell(Event::ClientGone { chain: self.chain });
        }
        self.out.clear();
    }

    fn head(&mut self) {
        if !self.head_written {
            self.head_written = true;
            let headers = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
            http::write_stream_head(200, &headers, &mut self.out);
        }
    }

    fn event(&mut self, message: &str) {
        self.head();
        let mut event = Vec::with_capacity(message.len() + 32);
        sse::write(Some("message"), message, &mut event);
        http::write_chunk(&event, &mut self.out);
    }

    fn last(&mut self, last: Final) {
        if let Some(message) = mcp::last(&self.id, last, &self.text) {
            self.event(&message);
        }
        self.head();
        self.out.extend_from_slice(http::LAST_CHUNK);
        self.write();
    }
}

/// A stream that goes on to the client as it comes.
struct Stream<'a, 'b> {
    request: &'a mut Request<'b>,
    send: &'a SendMail,
    begun: Time,
}

impl StreamSink for Stream<'_, '_> {
    fn on_first_output(&mut self) {
        let took = self.request.shared.clock.now() - self.begun;
        self.request.tell(Event::Streaming {
            chain: self.request.chain,
            leg: self.send.leg,
            attempt: self.send.attempt,
            took,
        });
    }

    fn on_text(&mut self, text: &str) {
        let request = &mut *self.request;
        if request.text.len() + text.len() > request.shared.config.front.answer {
            request.tell(Event::TooLong { chain: request.chain });
            return;
        }
        request.text.push_str(text);
        if let Some(token) = request.progress.clone() {
            request.pieces += 1;
            let message = codec::progress(&token, request.pieces, text);
            request.event(&message);
            request.write();
        }
    }
}
