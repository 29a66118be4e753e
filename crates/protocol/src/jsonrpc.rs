//! JSON-RPC 2.0 messages (jsonrpc.org/specification). Batches are refused, as MCP requires since 2025-06-18.

use serde_json::{Map, Value, json};

/// The message is not JSON. This and the following codes are those of the specification, section 5.1.
pub const PARSE_ERROR: i64 = -32700;
/// The message is JSON, but not a valid message.
pub const INVALID_REQUEST: i64 = -32600;
/// The method does not exist.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The parameters of the method are invalid.
pub const INVALID_PARAMS: i64 = -32602;
/// The method failed for a reason inside the server.
pub const INTERNAL_ERROR: i64 = -32603;

/// The id of a request: a string or an integer (MCP does not allow null).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Id {
    Number(i64),
    Text(String),
}

impl Id {
    /// Reads an id from JSON. Returns `None` for any other type of value.
    pub fn from_value(value: &Value) -> Option<Id> {
        match value {
            Value::String(text) => Some(Id::Text(text.clone())),
            Value::Number(number) => number.as_i64().map(Id::Number),
            _ => None,
        }
    }

    /// The id as JSON.
    pub fn to_value(&self) -> Value {
        match self {
            Id::Number(number) => json!(number),
            Id::Text(text) => json!(text),
        }
    }
}

/// The error object of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    pub code: i64,
    pub message: String,
    pub data: Option<Value>,
}

impl RpcError {
    /// An error without data.
    pub fn new(code: i64, message: impl Into<String>) -> RpcError {
        RpcError { code, message: message.into(), data: None }
    }
}

/// A JSON-RPC message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Request { id: Id, method: String, params: Map<String, Value> },
    Notification { method: String, params: Map<String, Value> },
    Response { id: Id, result: Result<Value, RpcError> },
}

/// An invalid message: the error to respond with, and the id of the message if it has a valid one.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidMessage {
    pub id: Option<Id>,
    pub error: RpcError,
}

fn invalid(id: Option<Id>, code: i64, message: impl Into<String>) -> InvalidMessage {
    InvalidMessage { id, error: RpcError::new(code, message) }
}

/// Parses one message.
pub fn parse(bytes: &[u8]) -> Result<Message, InvalidMessage> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|error| invalid(None, PARSE_ERROR, format!("not JSON: {error}")))?;
    let Value::Object(mut object) = value else {
        let reason = if value.is_array() { "batches are not served" } else { "a message is a JSON object" };
        return Err(invalid(None, INVALID_REQUEST, reason));
    };
    let id = match object.get("id") {
        None => None,
        Some(value) => match Id::from_value(value) {
            Some(id) => Some(id),
            None => return Err(invalid(None, INVALID_REQUEST, "id must be a string or a whole number")),
        },
    };
    if object.get("jsonrpc") != Some(&json!("2.0")) {
        return Err(invalid(id, INVALID_REQUEST, "jsonrpc must be \"2.0\""));
    }
    if let Some(method) = object.remove("method") {
        let Value::String(method) = method else {
            return Err(invalid(id, INVALID_REQUEST, "method must be a string"));
        };
        let params = match object.remove("params") {
            None => Map::new(),
            Some(Value::Object(params)) => params,
            Some(_) => return Err(invalid(id, INVALID_PARAMS, "params must be an object")),
        };
        return Ok(match id {
            Some(id) => Message::Request { id, method, params },
            None => Message::Notification { method, params },
        });
    }
    let Some(id) = id else { return Err(invalid(None, INVALID_REQUEST, "neither a method nor an id")) };
    let result = match (object.remove("result"), object.remove("error")) {
        (Some(result), None) => Ok(result),
        (None, Some(error)) => {
            let code = error.get("code").and_then(Value::as_i64);
            let message = error.get("message").and_then(Value::as_str);
            let (Some(code), Some(message)) = (code, message) else {
                return Err(invalid(Some(id), INVALID_REQUEST, "an error has a code and a message"));
            };
            Err(RpcError { code, message: message.to_owned(), data: error.get("data").cloned() })
        }
        _ => return Err(invalid(Some(id), INVALID_REQUEST, "a response has either a result or an error")),
    };
    Ok(Message::Response { id, result })
}

/// Writes a response. Without an id it has the id null, as section 5 requires for unreadable requests.
pub fn response(id: Option<&Id>, result: Result<Value, RpcError>) -> String {
    let id = id.map_or(Value::Null, Id::to_value);
    match result {
        Ok(result) => json!({"jsonrpc": "2.0", "id": id, "result": result}).to_string(),
        Err(error) => {
            let mut object = json!({"code": error.code, "message": error.message});
            if let Some(data) = error.data {
                object["data"] = data;
            }
            json!({"jsonrpc": "2.0", "id": id, "error": object}).to_string()
        }
    }
}

/// Writes a request.
pub fn request(id: &Id, method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "id": id.to_value(), "method": method, "params": params}).to_string()
}

/// Writes a notification.
pub fn notification(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}
