//! The client's side of MCP: JSON-RPC messages to what is done about them, and answers back.

use elderstage_core::chain::Final;
use elderstage_protocol::http;
use elderstage_protocol::jsonrpc::{self, Id, Message, RpcError};
use elderstage_protocol::mcp;
use serde_json::{Value, json};

use crate::Shared;
use elderstage_core::Event;

/// Path of the endpoint.
pub(crate) const PATH: &str = "/mcp";
/// Error codes for requests that are not served, from the range that JSON-RPC leaves to servers.
const REFUSED: i64 = -32001;
const FAILED: i64 = -32002;

/// What a POST asks for.
pub(crate) enum Asked {
    /// Answered at once, with this status, headers and body.
    Now { status: u16, session: Option<String>, body: String },
    /// A tool call, to be answered by a stream.
    Call { id: Id, route: usize, prompt: String, session: Option<String>, progress: Option<Id> },
}

fn now(body: String) -> Asked {
    Asked::Now { status: 200, session: None, body }
}

fn error(id: Option<&Id>, error: RpcError) -> Asked {
    now(jsonrpc::response(id, Err(error)))
}

/// Headers that the transport rules on; the answer where they forbid the request.
pub(crate) fn check(shared: &Shared, head: &http::Request) -> Option<(u16, &'static str)> {
    if let Some(origin) = head.headers.get("origin")
        && !local(origin)
    {
        return Some((403, "origin not allowed"));
    }
    if let Some(version) = head.headers.get(mcp::VERSION_HEADER)
        && !mcp::VERSIONS.contains(&version)
        && version != mcp::ASSUMED_VERSION
    {
        return Some((400, "protocol version not served"));
    }
    if let Some(session) = head.headers.get(mcp::SESSION_HEADER)
        && !shared.sessions.known(session)
    {
        return Some((404, "no such session"));
    }
    None
}

/// Guards against pages of other sites that reach a front on the browser's own machine (DNS rebinding).
fn local(origin: &str) -> bool {
    let host = origin.split_once("://").map_or(origin, |(_, host)| host);
    let name = match host.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or_default(),
        None => host.split(':').next().unwrap_or_default(),
    };
    matches!(name, "localhost" | "127.0.0.1" | "::1")
}

/// Reads a POST's message.
pub(crate) fn message(shared: &Shared, head: &http::Request, body: &[u8]) -> Asked {
    let session = head.headers.get(mcp::SESSION_HEADER);
    match jsonrpc::parse(body) {
        Err(invalid) => {
            let status = if invalid.error.code == jsonrpc::PARSE_ERROR { 400 } else { 200 };
            let body = jsonrpc::response(invalid.id.as_ref(), Err(invalid.error));
            Asked::Now { status, session: None, body }
        }
        Ok(Message::Request { id, method, params }) => request(shared, &id, &method, params),
        Ok(Message::Notification { method, params }) => {
            if method == "notifications/cancelled"
                && let Some(id) = mcp::cancelled_id(&params)
                && let Some(chain) = session.and_then(|session| shared.sessions.find(session, &id))
            {
                shared.inbox.send(crate::owner::Input::Core(Event::ClientGone { chain }));
            }
            Asked::Now { status: 202, session: None, body: String::new() }
        }
        // Nothing was asked of the client, so there is nothing to answer.
        Ok(Message::Response { .. }) => Asked::Now { status: 202, session: None, body: String::new() },
    }
}

fn request(shared: &Shared, id: &Id, method: &str, params: serde_json::Map<String, Value>) -> Asked {
    let good = |result| now(jsonrpc::response(Some(id), Ok(result)));
    match method {
        "initialize" => {
            let Some(asked) = params.get("protocolVersion").and_then(Value::as_str) else {
                return error(
                    Some(id),
                    RpcError::new(jsonrpc::INVALID_PARAMS, "expected params.protocolVersion"),
                );
            };
            let version = mcp::negotiate(asked);
            let result = mcp::initialize_result(version, "elderstage", env!("CARGO_PKG_VERSION"));
            let body = jsonrpc::response(Some(id), Ok(result));
            Asked::Now { status: 200, session: Some(shared.sessions.open()), body }
        }
        "ping" => good(json!({})),
        "tools/list" => good(mcp::tools_result(&shared.site.tools)),
        "tools/call" => call(shared, id, params),
        _ => {
            error(Some(id), RpcError::new(jsonrpc::METHOD_NOT_FOUND, format!("method not served: {method}")))
        }
    }
}

fn call(shared: &Shared, id: &Id, params: serde_json::Map<String, Value>) -> Asked {
    let wrong = |what: String| error(Some(id), RpcError::new(jsonrpc::INVALID_PARAMS, what));
    let mut call = match mcp::call(params) {
        Ok(call) => call,
        Err(invalid) => return error(Some(id), invalid),
    };
    let Some(route) = shared.site.tools.iter().position(|tool| tool.name == call.name) else {
        return wrong(format!("no tool is called {}", call.name));
    };
    let Some(Value::String(prompt)) = call.arguments.remove("prompt") else {
        return wrong("arguments.prompt must be a string".into());
    };
    let session = match call.arguments.remove("session") {
        None | Some(Value::Null) => None,
        Some(Value::String(session)) => Some(session),
        Some(_) => return wrong("arguments.session must be a string".into()),
    };
    if let Some(other) = call.arguments.keys().next() {
        return wrong(format!("no argument is called {other}"));
    }
    Asked::Call { id: id.clone(), route, prompt, session, progress: call.progress }
}

/// The response that ends a call; none for a client that has left or cancelled.
pub(crate) fn last(id: &Id, last: Final, text: &str) -> Option<String> {
    let (code, outcome, reason, retry_after) = match last {
        Final::Gone => return None,
        Final::Served => return Some(jsonrpc::response(Some(id), Ok(mcp::text_result(text, false)))),
        Final::Refused { reason, retry_after } => (REFUSED, "refused", reason, Some(retry_after)),
        Final::Failed { reason } => (FAILED, "failed", reason, None),
    };
    let mut data = json!({"outcome": outcome});
    if let Some(retry_after) = retry_after {
        data["retryAfterMs"] = json!(retry_after / 1000);
    }
    let error = RpcError { code, message: reason.text().into(), data: Some(data) };
    Some(jsonrpc::response(Some(id), Err(error)))
}
