//! Calls to tool servers: the front as an MCP client over Streamable HTTP.
//!
//! A client makes one try of a call and reports whether the tool has run, has not run or may have run. Whether
//! there is another try is the core's decision.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use elderstage::ServerId;
use elderstage_config::{Config, ToolConfig};
use elderstage_core::addresses::{ConnectionNeeds, Proof};
use elderstage_core::evidence::{ToolEnd, tool_end_from_rpc_error, tool_end_from_status};
use elderstage_net::{Conn, Endpoint, EndpointPath, NetError, receive, send};
use elderstage_protocol::jsonrpc::{self, Id, Message};
use elderstage_protocol::{http, mcp, sse};
use serde_json::Value;

use crate::Shared;
use crate::links::{ConnectOutcome, ConnectRequest};
use crate::slot::{CancelSlot, OperationKey};

/// The client of one tool, with the MCP session at its server.
pub(crate) struct ToolClient {
    pub name: String,
    /// Id of its server in the connection pool. It contains a space, so that it never equals the name of an engine.
    pub server: ServerId,
    endpoint_path: EndpointPath,
    connect_timeout_us: u64,
    session: Mutex<Option<Session>>,
    next_id: AtomicI64,
}

/// An MCP session at a tool server.
#[derive(Clone, Default)]
struct Session {
    id: Option<String>,
    version: String,
}

/// One try of a call.
pub(crate) struct ToolCall<'a> {
    pub rid: String,
    /// Idempotency key, the same for all tries of one call.
    pub idempotency_key: String,
    pub arguments: Value,
    pub slot: &'a CancelSlot,
    pub operation: OperationKey,
    pub timeout: Duration,
}

/// Result of one try.
enum CallOutcome {
    Text(mcp::ToolOutput),
    End(ToolEnd),
}

impl ToolClient {
    /// The address of the tool server.
    pub fn address(&self) -> Endpoint {
        self.endpoint_path.endpoint.clone()
    }

    /// The client of a configured tool; no session is open yet.
    pub fn new(tool: &ToolConfig, config: &Config) -> ToolClient {
        ToolClient {
            name: tool.name.clone(),
            server: ServerId(format!("tool {}", tool.name).into()),
            endpoint_path: EndpointPath::new(tool.addr, tool.path.clone()),
            connect_timeout_us: config.rules.connect_timeout,
            session: Mutex::default(),
            next_id: AtomicI64::new(1),
        }
    }

    fn allocate_id(&self) -> Id {
        Id::Number(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn current_session(&self) -> Option<Session> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_session(&self, session: Option<Session>) {
        *self.session.lock().unwrap_or_else(PoisonError::into_inner) = session;
    }

    /// Makes one try, unless it was cancelled before. The text is present if the tool gave a result.
    pub fn call(&self, shared: &Shared, call: &ToolCall<'_>) -> (ToolEnd, Option<String>) {
        if !call.slot.begin(call.operation) {
            call.slot.end(call.operation);
            return (ToolEnd::NotRun, None);
        }
        let deadline = Instant::now() + call.timeout;
        let outcome = self.send_call(shared, call, deadline);
        call.slot.end(call.operation);
        match outcome {
            CallOutcome::Text(result) => {
                let text = if result.is_error { format!("error: {}", result.text) } else { result.text };
                (ToolEnd::Result { bytes: text.len() }, Some(text))
            }
            CallOutcome::End(end) => (end, None),
        }
    }

    /// Gets a connection and a session, sends the call and reads the answer.
    fn send_call(&self, shared: &Shared, call: &ToolCall<'_>, deadline: Instant) -> CallOutcome {
        let time_left = || deadline.saturating_duration_since(Instant::now());
        let time = time_left().as_micros() as u64;
        let needs = ConnectionNeeds {
            must_not_repeat: false,
            proof: Proof::None,
            connect_limit: self.connect_timeout_us,
            attempt_limit: time,
        };
        let connect_request = ConnectRequest {
            server: &self.server,
            needs,
            path: &self.endpoint_path.path,
            headers: &[],
            body_bytes: 0,
            slot: Some((call.slot, call.operation)),
        };
        let ConnectOutcome::Connected(mut pooled, _) = shared.pool.connect(&connect_request) else {
            return CallOutcome::End(ToolEnd::NotRun);
        };
        if !call.slot.set_connected(call.operation, pooled.conn.socket()) {
            return CallOutcome::End(ToolEnd::NotRun);
        }
        let conn = &mut pooled.conn;
        conn.set_deadline(Some(deadline));
        conn.set_write_timeout(Some(time_left()));
        let session = match self.current_session() {
            Some(session) => session,
            None => match self.initialize(conn) {
                Some(session) => {
                    self.set_session(Some(session.clone()));
                    session
                }
                // The call was not sent.
                None => return CallOutcome::End(ToolEnd::NotRun),
            },
        };
        let id = self.allocate_id();
        let body = mcp::call_request(&id, &self.name, &call.arguments, &call.idempotency_key);
        let mut headers = session_headers(&session);
        headers.push(("x-request-id", call.rid.as_str()));
        headers.push(("idempotency-key", call.idempotency_key.as_str()));
        headers.push(("via", shared.catalog.via.as_str()));
        if send(conn, "POST", &self.endpoint_path, &headers, body.as_bytes()).is_err() {
            return CallOutcome::End(ToolEnd::Unknown);
        }
        let (outcome, is_reusable) = read_call_answer(conn, &id);
        if matches!(outcome, CallOutcome::End(ToolEnd::NotRun)) {
            // The next try, if the core decides on one, opens a new session.
            self.set_session(None);
        }
        if is_reusable {
            shared.pool.put_back(*pooled);
        }
        outcome
    }

    /// Opens a session: `initialize`, then `notifications/initialized`.
    fn initialize(&self, conn: &mut Conn) -> Option<Session> {
        let id = self.allocate_id();
        let body = mcp::initialize_request(&id, "elderstage", env!("CARGO_PKG_VERSION"));
        send(conn, "POST", &self.endpoint_path, &session_headers(&Session::default()), body.as_bytes())
            .ok()?;
        let answer = receive(conn).ok().filter(|answer| answer.head.status == 200)?;
        let Ok(Message::Response { result: Ok(result), .. }) =
            jsonrpc::parse(&extract_message(&answer.head, &answer.body)?)
        else {
            return None;
        };
        let version = result.get("protocolVersion").and_then(Value::as_str)?.to_owned();
        let session =
            Session { id: answer.head.headers.get(mcp::SESSION_HEADER).map(str::to_owned), version };
        let notification = jsonrpc::notification("notifications/initialized", serde_json::json!({}));
        send(conn, "POST", &self.endpoint_path, &session_headers(&session), notification.as_bytes()).ok()?;
        receive(conn).ok()?;
        Some(session)
    }
}

/// Headers of every request in a session.
fn session_headers(session: &Session) -> Vec<(&str, &str)> {
    let mut headers =
        vec![("content-type", "application/json"), ("accept", "application/json, text/event-stream")];
    if let Some(id) = &session.id {
        headers.push((mcp::SESSION_HEADER, id));
    }
    if !session.version.is_empty() {
        headers.push((mcp::VERSION_HEADER, &session.version));
    }
    headers
}

/// Extracts the JSON-RPC message from the body of an answer, which is JSON or an event stream.
fn extract_message(head: &http::Response, body: &[u8]) -> Option<Vec<u8>> {
    if !head.headers.get("content-type")?.starts_with("text/event-stream") {
        return Some(body.to_vec());
    }
    let (mut parser, mut events) = (sse::EventParser::default(), Vec::new());
    parser.push(body, &mut events).ok()?;
    // Notifications may precede the response, which is the last message.
    events.pop().map(|event| event.data.into_bytes())
}

/// Reads the answer to a call from the socket. The flag tells whether the connection can be reused.
fn read_call_answer(conn: &mut Conn, id: &Id) -> (CallOutcome, bool) {
    let answer = match receive(conn) {
        Ok(answer) => answer,
        Err(NetError::TimedOut | NetError::Closed | NetError::Io(_) | NetError::Http(_)) => {
            return (CallOutcome::End(ToolEnd::Unknown), false);
        }
    };
    let is_reusable = answer.head.keep_alive;
    if let Some(end) = tool_end_from_status(answer.head.status) {
        return (CallOutcome::End(end), is_reusable);
    }
    let outcome = match extract_message(&answer.head, &answer.body).map(|bytes| jsonrpc::parse(&bytes)) {
        Some(Ok(Message::Response { id: answered_id, result })) if answered_id == *id => match result {
            Ok(result) => {
                mcp::parse_tool_result(&result).map_or(CallOutcome::End(ToolEnd::Unknown), CallOutcome::Text)
            }
            Err(error) => CallOutcome::End(tool_end_from_rpc_error(error.code)),
        },
        _ => CallOutcome::End(ToolEnd::Unknown),
    };
    (outcome, is_reusable)
}
