//! The Model Context Protocol over Streamable HTTP: revisions 2025-06-18 and 2025-11-25.
//!
//! Both sides are here: the messages that a front exchanges with clients, and those it exchanges with tool servers.

use serde_json::{Map, Value, json};

use crate::jsonrpc::{self, Id, RpcError};

/// Supported revisions, newest first.
pub const VERSIONS: [&str; 2] = ["2025-11-25", "2025-06-18"];
/// The revision assumed for a request without a version header (2025-06-18, basic/transports).
pub const ASSUMED_VERSION: &str = "2025-03-26";
/// Header with the id of the session.
pub const SESSION_HEADER: &str = "mcp-session-id";
/// Header with the protocol revision.
pub const VERSION_HEADER: &str = "mcp-protocol-version";

/// The revision in the response to `initialize`: the client's if it is supported, else the newest.
pub fn negotiate(requested: &str) -> &'static str {
    VERSIONS.into_iter().find(|version| *version == requested).unwrap_or(VERSIONS[0])
}

/// Identifies the call that a progress notification belongs to: a string or an integer.
pub type ProgressToken = Id;

/// A tool, as `tools/list` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tool {
    pub name: String,
    pub description: String,
    /// Whether calls have no lasting effect (`annotations.readOnlyHint`).
    pub read_only: bool,
}

/// The parameters of a `tools/call` from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ToolCallParams {
    pub name: String,
    pub arguments: Map<String, Value>,
    pub progress_token: Option<ProgressToken>,
}

/// Parses the parameters of `tools/call`.
pub fn parse_tool_call(mut params: Map<String, Value>) -> Result<ToolCallParams, RpcError> {
    let invalid_params = |what: &str| RpcError::new(jsonrpc::INVALID_PARAMS, what);
    let Some(Value::String(name)) = params.remove("name") else {
        return Err(invalid_params("params.name must be a string"));
    };
    let arguments = match params.remove("arguments") {
        None | Some(Value::Null) => Map::new(),
        Some(Value::Object(arguments)) => arguments,
        Some(_) => return Err(invalid_params("params.arguments must be an object")),
    };
    let token = params.get("_meta").and_then(|meta| meta.get("progressToken"));
    let progress_token = match token {
        None => None,
        Some(value) => Some(
            Id::from_value(value)
                .ok_or_else(|| invalid_params("progressToken must be a string or number"))?,
        ),
    };
    Ok(ToolCallParams { name, arguments, progress_token })
}

/// Writes the result of `initialize`.
pub fn initialize_result(version: &str, name: &str, release: &str) -> Value {
    json!({
        "protocolVersion": version,
        "capabilities": {"tools": {"listChanged": false}},
        "serverInfo": {"name": name, "version": release},
    })
}

/// Writes the result of `tools/list`, for tools that take a prompt and an optional session.
pub fn tools_result(tools: &[Tool]) -> Value {
    let describe = |tool: &Tool| {
        json!({
            "name": tool.name,
            "description": tool.description,
            "inputSchema": {
                "type": "object",
                "properties": {
                    "prompt": {"type": "string", "description": "The text to answer."},
                    "session": {"type": "string", "description": "Requests of one session share their beginning."},
                },
                "required": ["prompt"],
            },
            "annotations": {"readOnlyHint": tool.read_only},
        })
    };
    json!({"tools": tools.iter().map(describe).collect::<Vec<_>>()})
}

/// Writes a progress notification that carries a piece of the answer's text.
pub fn progress(token: &ProgressToken, progress: u64, text: &str) -> String {
    jsonrpc::notification(
        "notifications/progress",
        json!({"progressToken": token.to_value(), "progress": progress, "message": text}),
    )
}

/// Writes the result of a call as one block of text.
pub fn text_result(text: &str, is_error: bool) -> Value {
    json!({"content": [{"type": "text", "text": text}], "isError": is_error})
}

/// The id of the request that a `notifications/cancelled` cancels.
pub fn cancelled_id(params: &Map<String, Value>) -> Option<Id> {
    params.get("requestId").and_then(Id::from_value)
}

// ---- As a client of tool servers ----

/// Writes a `tools/call` to a tool server. `idempotency_key` identifies the call, so that the server can ignore
/// repeats.
pub fn call_request(id: &Id, tool: &str, arguments: &Value, idempotency_key: &str) -> String {
    let params = json!({"name": tool, "arguments": arguments, "_meta": {"idempotencyKey": idempotency_key}});
    jsonrpc::request(id, "tools/call", params)
}

/// Writes an `initialize` request.
pub fn initialize_request(id: &Id, name: &str, release: &str) -> String {
    let params = json!({
        "protocolVersion": VERSIONS[0],
        "capabilities": {},
        "clientInfo": {"name": name, "version": release},
    });
    jsonrpc::request(id, "initialize", params)
}

/// The result of a tool call: its text, and whether the tool marked it as an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolOutput {
    pub text: String,
    pub is_error: bool,
}

/// Parses the result of a tool call. A block other than text is replaced by its type in brackets, so that the model
/// sees that it was there.
pub fn parse_tool_result(result: &Value) -> Option<ToolOutput> {
    let blocks = result.get("content")?.as_array()?;
    let mut text = String::new();
    for block in blocks {
        if !text.is_empty() {
            text.push('\n');
        }
        match (block.get("type")?.as_str()?, block.get("text").and_then(Value::as_str)) {
            ("text", Some(part)) => text.push_str(part),
            (other, _) => text.push_str(&format!("[{other}]")),
        }
    }
    Some(ToolOutput { text, is_error: result.get("isError").and_then(Value::as_bool).unwrap_or(false) })
}
