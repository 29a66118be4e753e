//! MCP towards clients: turns JSON-RPC messages into actions and results into JSON-RPC responses.
//!
//! It does no I/O on sockets: `client.rs` writes the responses and runs the calls.

use elderstage_core::chain::Final;
use elderstage_protocol::http;
use elderstage_protocol::jsonrpc::{self, Id, Message, RpcError};
use elderstage_protocol::mcp;
use serde_json::{Value, json};

use crate::Shared;
use elderstage_core::Event;

/// Path of the MCP endpoint.
pub(crate) const PATH: &str = "/mcp";
/// Error codes of refused and failed requests, from the range that JSON-RPC reserves for servers.
const REFUSED_CODE: i64 = -32001;
const FAILED_CODE: i64 = -32002;

/// What the front does for a POST.
pub(crate) enum PostAction {
    /// Respond at once with this status and body, and with the id of a new session if there is one.
    Respond { status: u16, session: Option<String>, body: String },
    /// Run a tool call, whose response is a stream.
    Call { id: Id, route: usize, prompt: String, session: Option<String>, progress_token: Option<Id> },
}

/// Responds with a JSON body and status 200.
fn respond_ok(body: String) -> PostAction {
    PostAction::Respond { status: 200, session: None, body }
}

fn respond_error(id: Option<&Id>, error: RpcError) -> PostAction {
    respond_ok(jsonrpc::response(id, Err(error)))
}

/// Checks the headers that the MCP transport has rules for. Returns the status and the text of the response if they
/// forbid the request.
pub(crate) fn check_headers(shared: &Shared, head: &http::Request) -> Option<(u16, &'static str)> {
    if let Some(origin) = head.headers.get("origin")
        && !is_local_origin(origin)
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
        && !shared.sessions.contains(session)
    {
        return Some((404, "no such session"));
    }
    None
}

/// Whether an `Origin` is the local machine. This protects a front that runs on the machine of a browser from pages
/// of other sites (DNS rebinding).
fn is_local_origin(origin: &str) -> bool {
    let host = origin.split_once("://").map_or(origin, |(_, host)| host);
    let name = match host.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or_default(),
        None => host.split(':').next().unwrap_or_default(),
    };
    matches!(name, "localhost" | "127.0.0.1" | "::1")
}

/// Handles the JSON-RPC message of a POST.
pub(crate) fn handle_message(shared: &Shared, head: &http::Request, body: &[u8]) -> PostAction {
    let session = head.headers.get(mcp::SESSION_HEADER);
    match jsonrpc::parse(body) {
        Err(invalid) => {
            let status = if invalid.error.code == jsonrpc::PARSE_ERROR { 400 } else { 200 };
            let body = jsonrpc::response(invalid.id.as_ref(), Err(invalid.error));
            PostAction::Respond { status, session: None, body }
        }
        Ok(Message::Request { id, method, params }) => handle_request(shared, &id, &method, params),
        Ok(Message::Notification { method, params }) => {
            if method == "notifications/cancelled"
                && let Some(id) = mcp::cancelled_id(&params)
                && let Some(chain) = session.and_then(|session| shared.sessions.find_call(session, &id))
            {
                shared.inbox.send(crate::owner::Input::Core(Event::ClientGone { chain }));
            }
            PostAction::Respond { status: 202, session: None, body: String::new() }
        }
        // The front sends no requests to clients, so a response from one is ignored.
        Ok(Message::Response { .. }) => {
            PostAction::Respond { status: 202, session: None, body: String::new() }
        }
    }
}

/// Handles a JSON-RPC request.
fn handle_request(
    shared: &Shared,
    id: &Id,
    method: &str,
    params: serde_json::Map<String, Value>,
) -> PostAction {
    let respond_result = |result| respond_ok(jsonrpc::response(Some(id), Ok(result)));
    match method {
        "initialize" => {
            let Some(requested_version) = params.get("protocolVersion").and_then(Value::as_str) else {
                return respond_error(
                    Some(id),
                    RpcError::new(jsonrpc::INVALID_PARAMS, "expected params.protocolVersion"),
                );
            };
            let version = mcp::negotiate(requested_version);
            let result = mcp::initialize_result(version, "elderstage", env!("CARGO_PKG_VERSION"));
            let body = jsonrpc::response(Some(id), Ok(result));
            PostAction::Respond { status: 200, session: Some(shared.sessions.open()), body }
        }
        "ping" => respond_result(json!({})),
        "tools/list" => respond_result(mcp::tools_result(&shared.catalog.tools)),
        "tools/call" => parse_tool_call(shared, id, params),
        _ => respond_error(
            Some(id),
            RpcError::new(jsonrpc::METHOD_NOT_FOUND, format!("method not served: {method}")),
        ),
    }
}

/// Reads the parameters of a `tools/call`.
fn parse_tool_call(shared: &Shared, id: &Id, params: serde_json::Map<String, Value>) -> PostAction {
    let invalid_params = |what: String| respond_error(Some(id), RpcError::new(jsonrpc::INVALID_PARAMS, what));
    let mut call = match mcp::parse_tool_call(params) {
        Ok(call) => call,
        Err(invalid) => return respond_error(Some(id), invalid),
    };
    let Some(route) = shared.catalog.tools.iter().position(|tool| tool.name == call.name) else {
        return invalid_params(format!("no tool is called {}", call.name));
    };
    let Some(Value::String(prompt)) = call.arguments.remove("prompt") else {
        return invalid_params("arguments.prompt must be a string".into());
    };
    let session = match call.arguments.remove("session") {
        None | Some(Value::Null) => None,
        Some(Value::String(session)) => Some(session),
        Some(_) => return invalid_params("arguments.session must be a string".into()),
    };
    if let Some(unknown) = call.arguments.keys().next() {
        return invalid_params(format!("no argument is called {unknown}"));
    }
    PostAction::Call { id: id.clone(), route, prompt, session, progress_token: call.progress_token }
}

/// The response that ends a call. A client that has left or cancelled gets none.
pub(crate) fn final_response(id: &Id, result: Final, text: &str) -> Option<String> {
    let (code, outcome, reason, retry_after) = match result {
        Final::Gone => return None,
        Final::Served => return Some(jsonrpc::response(Some(id), Ok(mcp::text_result(text, false)))),
        Final::Refused { reason, retry_after } => (REFUSED_CODE, "refused", reason, Some(retry_after)),
        Final::Failed { reason } => (FAILED_CODE, "failed", reason, None),
    };
    let mut data = json!({"outcome": outcome});
    if let Some(retry_after) = retry_after {
        data["retryAfterMs"] = json!(retry_after / 1000);
    }
    let error = RpcError { code, message: reason.message().into(), data: Some(data) };
    Some(jsonrpc::response(Some(id), Err(error)))
}
