//! JSON-RPC 2.0 messages (jsonrpc.org/specification). Batches are refused, as MCP has it since 2025-06-18.

use serde_json::{Map, Value, json};

/// Error codes of the specification, section 5.1.
pub const PARSE_ERROR: i64 = -32700;
pub const INVALID_REQUEST: i64 = -32600;
pub const METHOD_NOT_FOUND: i64 = -32601;
pub const INVALID_PARAMS: i64 = -32602;
pub const INTERNAL_ERROR: i64 = -32603;

/// The id of a request: a string or a whole number (null is not allowed by MCP).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Id {
    Number(i64),
    Text(String),
}

impl Id {
    pub fn from_value(value: &Value) -> Option<Id> {
        match value {
            Value::String(text) => Some(Id::Text(text.clone())),
            Value::Number(number) => number.as_i64().map(Id::Number),
            _ => None,
        }
    }

    pub fn to_value(&self) -> Value {
        match self {
            Id::Number(number) => json!(number),
            Id::Text(text) => json!(text),
        }
    }
}

/// An error object.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    pub code: i64,
    pub message: String,
    pub data: Option<Value>,
}

impl RpcError {
    pub fn new(code: i64, message: impl Into<String>) -> RpcError {
        RpcError { code, message: message.into(), data: None }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Request { id: Id, method: String, params: Map<String, Value> },
    Notification { method: String, params: Map<String, Value> },
    Response { id: Id, result: Result<Value, RpcError> },
}

/// A message that cannot be taken: the error to answer with, and under which id where one was readable.
#[derive(Clone, Debug, PartialEq)]
pub struct Invalid {
    pub id: Option<Id>,
    pub error: RpcError,
}

fn invalid(id: Option<Id>, code: i64, message: impl Into<String>) -> Invalid {
    Invalid { id, error: RpcError::new(code, message) }
}

/// Reads one message.
pub fn parse(bytes: &[u8]) -> Result<Message, Invalid> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|error| invalid(None, PARSE_ERROR, format!("not JSON: {error}")))?;
    let Value::Object(mut object) = value else {
        let what = if value.is_array() { "batches are not served" } else { "a message is a JSON object" };
        return Err(invalid(None, INVALID_REQUEST, what));
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

/// A response as JSON text. Without an id the id is null, as section 5 has it for unreadable requests.
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

pub fn request(id: &Id, method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "id": id.to_value(), "method": method, "params": params}).to_string()
}

pub fn notification(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}
