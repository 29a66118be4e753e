//! The Model Context Protocol over Streamable HTTP: revisions 2025-06-18 and 2025-11-25.
//!
//! Both sides stand here: what a front serves to clients, and what it says to tool servers.

use serde_json::{Map, Value, json};

use crate::jsonrpc::{self, Id, RpcError};

/// Revisions served, the newest first.
pub const VERSIONS: [&str; 2] = ["2025-11-25", "2025-06-18"];
/// The revision that a request without a version header is held to speak (2025-06-18, basic/transports).
pub const ASSUMED_VERSION: &str = "2025-03-26";
pub const SESSION_HEADER: &str = "mcp-session-id";
pub const VERSION_HEADER: &str = "mcp-protocol-version";

/// The revision to answer `initialize` with: the client's if it is served, else our newest.
pub fn negotiate(asked: &str) -> &'static str {
    VERSIONS.into_iter().find(|version| *version == asked).unwrap_or(VERSIONS[0])
}

/// A key that ties a call's progress to it: a string or a whole number.
pub type ProgressToken = Id;

/// One tool as `tools/list` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tool {
    pub name: String,
    pub description: String,
    /// Whether calls have no lasting effect (`annotations.readOnlyHint`).
    pub read_only: bool,
}

/// A `tools/call` of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub name: String,
    pub arguments: Map<String, Value>,
    pub progress: Option<ProgressToken>,
}

/// Reads the parameters of `tools/call`.
pub fn call(mut params: Map<String, Value>) -> Result<Call, RpcError> {
    let wrong = |what: &str| RpcError::new(jsonrpc::INVALID_PARAMS, what);
    let Some(Value::String(name)) = params.remove("name") else {
        return Err(wrong("params.name must be a string"));
    };
    let arguments = match params.remove("arguments") {
        None | Some(Value::Null) => Map::new(),
        Some(Value::Object(arguments)) => arguments,
        Some(_) => return Err(wrong("params.arguments must be an object")),
    };
    let token = params.get("_meta").and_then(|meta| meta.get("progressToken"));
    let progress = match token {
        None => None,
        Some(value) => {
            Some(Id::from_value(value).ok_or_else(|| wrong("progressToken must be a string or number"))?)
        }
    };
    Ok(Call { name, arguments, progress })
}

/// The result of `initialize`.
pub fn initialize_result(version: &str, name: &str, release: &str) -> Value {
    json!({
        "protocolVersion": version,
        "capabilities": {"tools": {"listChanged": false}},
        "serverInfo": {"name": name, "version": release},
    })
}

/// The result of `tools/list`, for tools that take a prompt and optionally a session.
pub fn tools_result(tools: &[Tool]) -> Value {
    let one = |tool: &Tool| {
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
    json!({"tools": tools.iter().map(one).collect::<Vec<_>>()})
}

/// A progress notification that carries a piece of the answer's text.
pub fn progress(token: &ProgressToken, progress: u64, text: &str) -> String {
    jsonrpc::notification(
        "notifications/progress",
        json!({"progressToken": token.to_value(), "progress": progress, "message": text}),
    )
}

/// The result of a call: one block of text.
pub fn text_result(text: &str, is_error: bool) -> Value {
    json!({"content": [{"type": "text", "text": text}], "isError": is_error})
}

/// The id that a `notifications/cancelled` names.
pub fn cancelled_id(params: &Map<String, Value>) -> Option<Id> {
    params.get("requestId").and_then(Id::from_value)
}

// ---- As a client of tool servers ----

/// A `tools/call` to a tool server. `key` names the call for the server's own guard against repeats.
pub fn call_request(id: &Id, tool: &str, arguments: &Value, key: &str) -> String {
    let params = json!({"name": tool, "arguments": arguments, "_meta": {"idempotencyKey": key}});
    jsonrpc::request(id, "tools/call", params)
}

pub fn initialize_request(id: &Id, name: &str, release: &str) -> String {
    let params = json!({
        "protocolVersion": VERSIONS[0],
        "capabilities": {},
        "clientInfo": {"name": name, "version": release},
    });
    jsonrpc::request(id, "initialize", params)
}

/// What a tool's result says: its text, and whether the tool calls it an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolText {
    pub text: String,
    pub is_error: bool,
}

/// Reads a tool's result. Blocks other than text are named by their type, so that the model sees that they were.
pub fn tool_text(result: &Value) -> Option<ToolText> {
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
    Some(ToolText { text, is_error: result.get("isError").and_then(Value::as_bool).unwrap_or(false) })
}
