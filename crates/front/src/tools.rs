//! Calls to tool servers: the front as an MCP client over Streamable HTTP.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use elderstage::ServerId;
use elderstage_config::{Config, ToolConfig};
use elderstage_core::addresses::{Ask, Proof};
use elderstage_core::evidence::{ToolEnd, rpc_error, tool_status};
use elderstage_net::{Conn, Endpoint, NetError, Place, receive, send};
use elderstage_protocol::jsonrpc::{self, Id, Message};
use elderstage_protocol::{http, mcp, sse};
use serde_json::Value;

use crate::Shared;
use crate::links::{ConnectOutcome, ConnectRequest};
use crate::slot::{CancelSlot, OperationKey};

/// One tool, and the session with its server.
pub(crate) struct ToolClient {
    pub name: String,
    /// Its server among the engines': no engine's name has a space.
    pub server: ServerId,
    to: Endpoint,
    connect: u64,
    session: Mutex<Option<Session>>,
    next: AtomicI64,
}

#[derive(Clone, Default)]
struct Session {
    id: Option<String>,
    version: String,
}

/// One try of a call.
pub(crate) struct ToolCall<'a> {
    pub rid: String,
    /// The same for all tries of one call.
    pub key: String,
    pub arguments: Value,
    pub slot: &'a CancelSlot,
    pub slot_key: OperationKey,
    pub timeout: Duration,
}

enum Said {
    Text(mcp::ToolText),
    End(ToolEnd),
}

impl ToolClient {
    /// The address of its server.
    pub fn place(&self) -> Place {
        self.to.place.clone()
    }

    pub fn new(tool: &ToolConfig, config: &Config) -> ToolClient {
        ToolClient {
            name: tool.name.clone(),
            server: ServerId(format!("tool {}", tool.name).into()),
            to: Endpoint::new(tool.addr, tool.path.clone()),
            connect: config.rules.connect,
            session: Mutex::default(),
            next: AtomicI64::new(1),
        }
    }

    fn id(&self) -> Id {
        Id::Number(self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn known(&self) -> Option<Session> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn know(&self, session: Option<Session>) {
        *self.session.lock().unwrap_or_else(PoisonError::into_inner) = session;
    }

    /// Makes one try. The text is there when the end is a result.
    pub fn call(&self, shared: &Shared, call: &ToolCall<'_>) -> (ToolEnd, Option<String>) {
        if !call.slot.begin(call.slot_key) {
            call.slot.end(call.slot_key);
            return (ToolEnd::NotRun, None);
        }
        let end = Instant::now() + call.timeout;
        let said = self.once(shared, call, end);
        call.slot.end(call.slot_key);
        match said {
            Said::Text(result) => {
                let text = if result.is_error { format!("error: {}", result.text) } else { result.text };
                (ToolEnd::Result { bytes: text.len() }, Some(text))
            }
            Said::End(end) => (end, None),
        }
    }

    fn once(&self, shared: &Shared, call: &ToolCall<'_>, end: Instant) -> Said {
        let left = || end.saturating_duration_since(Instant::now());
        let time = left().as_micros() as u64;
        let ask = Ask { once: false, proof: Proof::None, connect: self.connect, time };
        let connect_request = ConnectRequest {
            server: &self.server,
            ask,
            path: &self.to.path,
            headers: &[],
            body_bytes: 0,
            slot: Some((call.slot, call.slot_key)),
        };
        let ConnectOutcome::Connected(mut pooled, _) = shared.pool.connect(&connect_request) else {
            return Said::End(ToolEnd::NotRun);
        };
        if !call.slot.set_connected(call.slot_key, pooled.conn.socket()) {
            return Said::End(ToolEnd::NotRun);
        }
        let conn = &mut pooled.conn;
        conn.set_deadline(Some(end));
        conn.set_write_timeout(Some(left()));
        let session = match self.known() {
            Some(session) => session,
            None => match self.initialize(conn) {
                Some(session) => {
                    self.know(Some(session.clone()));
                    session
                }
                // Nothing was called yet.
                None => return Said::End(ToolEnd::NotRun),
            },
        };
        let id = self.id();
        let body = mcp::call_request(&id, &self.name, &call.arguments, &call.key);
        let mut headers = headers(&session);
        headers.push(("x-request-id", call.rid.as_str()));
        headers.push(("idempotency-key", call.key.as_str()));
        headers.push(("via", shared.catalog.via.as_str()));
        if send(conn, "POST", &self.to, &headers, body.as_bytes()).is_err() {
            return Said::End(ToolEnd::Unknown);
        }
        let (said, again) = answer(conn, &id);
        if matches!(said, Said::End(ToolEnd::NotRun)) {
            // The next try opens a session anew; whether there is one is the core's to say.
            self.know(None);
        }
        if again {
            shared.pool.put_back(*pooled);
        }
        said
    }

    fn initialize(&self, conn: &mut Conn) -> Option<Session> {
        let id = self.id();
        let body = mcp::initialize_request(&id, "elderstage", env!("CARGO_PKG_VERSION"));
        send(conn, "POST", &self.to, &headers(&Session::default()), body.as_bytes()).ok()?;
        let answer = receive(conn).ok().filter(|answer| answer.head.status == 200)?;
        let Ok(Message::Response { result: Ok(result), .. }) =
            jsonrpc::parse(&message(&answer.head, &answer.body)?)
        else {
            return None;
        };
        let version = result.get("protocolVersion").and_then(Value::as_str)?.to_owned();
        let session =
            Session { id: answer.head.headers.get(mcp::SESSION_HEADER).map(str::to_owned), version };
        let told = jsonrpc::notification("notifications/initialized", serde_json::json!({}));
        send(conn, "POST", &self.to, &headers(&session), told.as_bytes()).ok()?;
        receive(conn).ok()?;
        Some(session)
    }
}

fn headers(session: &Session) -> Vec<(&str, &str)> {
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

/// The JSON-RPC message of an answer's body, whichever of the two forms it has.
fn message(head: &http::Response, body: &[u8]) -> Option<Vec<u8>> {
    if !head.headers.get("content-type")?.starts_with("text/event-stream") {
        return Some(body.to_vec());
    }
    let (mut parser, mut events) = (sse::Parser::default(), Vec::new());
    parser.push(body, &mut events).ok()?;
    // Notifications may come before the response, which is the last message.
    events.pop().map(|event| event.data.into_bytes())
}

/// Reads the answer to a call; also whether the connection can be used again.
fn answer(conn: &mut Conn, id: &Id) -> (Said, bool) {
    let answer = match receive(conn) {
        Ok(answer) => answer,
        Err(NetError::TimedOut | NetError::Closed | NetError::Io(_) | NetError::Http(_)) => {
            return (Said::End(ToolEnd::Unknown), false);
        }
    };
    let again = answer.head.keep_alive;
    if let Some(end) = tool_status(answer.head.status) {
        return (Said::End(end), again);
    }
    let said = match message(&answer.head, &answer.body).map(|bytes| jsonrpc::parse(&bytes)) {
        Some(Ok(Message::Response { id: of, result })) if of == *id => match result {
            Ok(result) => mcp::tool_text(&result).map_or(Said::End(ToolEnd::Unknown), Said::Text),
            Err(error) => Said::End(rpc_error(error.code)),
        },
        _ => Said::End(ToolEnd::Unknown),
    };
    (said, again)
}
