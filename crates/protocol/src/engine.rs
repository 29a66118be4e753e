//! The engines' API: OpenAI-style chat completions, streamed, with the `kv_transfer_params` by which a
//! reader's state is handed to a writer.

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::borrow::Cow;

/// Where completions are asked for.
pub const COMPLETIONS: &str = "/v1/chat/completions";
/// Where a reader is told to let go of a state: `{"rid": "..."}`.
pub const ABORT: &str = "/abort_request";
/// Where a probe goes; the answer carries a load report.
pub const HEALTH: &str = "/health";
/// Error code of a writer that found no state to fetch; it proves that nothing ran (status 424).
pub const NO_STATE: &str = "kv_state_missing";
/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub role: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<ToolCall>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tool_call_id: Option<String>,
}

impl Message {
    pub fn text(role: &str, content: impl Into<String>) -> Message {
        Message {
            role: role.into(),
            content: Some(content.into()),
            tool_calls: Vec::new(),
            tool_call_id: None,
        }
    }

    pub fn tool(id: &str, content: impl Into<String>) -> Message {
        Message { tool_call_id: Some(id.into()), ..Message::text("tool", content) }
    }
}

/// A tool call that a model has made.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ToolCall {
    pub id: String,
    #[serde(default = "function_type", rename = "type")]
    pub kind: String,
    pub function: Function,
}

fn function_type() -> String {
    "function".into()
}

#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Function {
    pub name: String,
    /// JSON text, as the model wrote it.
    pub arguments: String,
}

/// How a request stands between reader and writer.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Read only: one token, and the state is kept for a writer.
    Read,
    /// Fetch the state that these parameters of the reader's answer name, and write.
    Write(Value),
    /// Read and write at one engine.
    Whole,
}

/// A request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub model: String,
    pub messages: Vec<Message>,
    pub tools: Vec<String>,
    pub max_tokens: u64,
    pub stage: Stage,
}

/// The body of a request to an engine.
pub fn body(ask: &Ask) -> Vec<u8> {
    let tools = ask.tools.iter();
    let tools: Vec<Value> =
        tools.map(|name| json!({"type": "function", "function": {"name": name}})).collect();
    let reads = ask.stage == Stage::Read;
    let mut object = json!({
        "model": ask.model,
        "messages": ask.messages,
        "max_tokens": if reads { 1 } else { ask.max_tokens },
        "stream": !reads,
    });
    if !reads {
        object["stream_options"] = json!({"include_usage": true});
    }
    if !tools.is_empty() {
        object["tools"] = Value::Array(tools);
    }
    match &ask.stage {
        Stage::Read => {
            object["kv_transfer_params"] = json!({
                "do_remote_decode": true, "do_remote_prefill": false, "remote_engine_id": null,
                "remote_block_ids": null, "remote_host": null, "remote_port": null,
            });
        }
        Stage::Write(params) => object["kv_transfer_params"] = params.clone(),
        Stage::Whole => {}
    }
    serde_json::to_vec(&object).unwrap_or_default()
}

/// A request as an engine reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Asked {
    pub model: String,
    pub messages: Vec<Message>,
    #[serde(default)]
    pub max_tokens: Option<u64>,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    pub tools: Vec<AskedTool>,
    #[serde(default)]
    pub kv_transfer_params: Option<KvParams>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct AskedTool {
    pub function: AskedFunction,
}

#[derive(Clone, Debug, Deserialize)]
pub struct AskedFunction {
    pub name: String,
}

/// The parameters by which a state is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvParams {
    #[serde(default)]
    pub do_remote_decode: bool,
    #[serde(default)]
    pub do_remote_prefill: bool,
    #[serde(default)]
    pub remote_engine_id: Option<String>,
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    #[serde(default)]
    pub remote_host: Option<String>,
    #[serde(default)]
    pub remote_port: Option<u16>,
    #[serde(default)]
    pub remote_request_id: Option<String>,
}

/// Tokens counted by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt: u64,
    pub completion: u64,
    /// Prompt tokens found kept.
    pub cached: u64,
}

#[derive(Deserialize)]
struct RawUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<RawDetails>,
}

#[derive(Deserialize)]
struct RawDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl From<RawUsage> for Usage {
    fn from(raw: RawUsage) -> Usage {
        let cached = raw.prompt_tokens_details.map_or(0, |details| details.cached_tokens);
        Usage { prompt: raw.prompt_tokens, completion: raw.completion_tokens, cached }
    }
}

/// Why a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    Stop,
    Length,
    ToolCalls,
    /// The engine's own end for another reason, such as a content filter.
    Other,
}

/// What one event of a stream says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    pub text: String,
    /// Pieces of tool calls, by their place in the turn.
    pub calls: Vec<CallPiece>,
    pub finish: Option<Finish>,
    pub usage: Option<Usage>,
    /// An error told inside the stream.
    pub error: Option<String>,
}

/// A piece of a tool call: the first one has the id and the name, arguments come in parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallPiece {
    pub index: usize,
    pub id: Option<String>,
    pub name: Option<String>,
    pub arguments: String,
}

#[derive(Deserialize)]
struct RawChunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<RawChoice<'a>>,
    #[serde(default)]
    usage: Option<RawUsage>,
    #[serde(default)]
    error: Option<Value>,
}

#[derive(Deserialize)]
struct RawChoice<'a> {
    #[serde(default, borrow)]
    delta: Option<RawDelta<'a>>,
    #[serde(default, borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct RawDelta<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
    #[serde(default)]
    tool_calls: Vec<RawCall>,
}

#[derive(Deserialize)]
struct RawCall {
    #[serde(default)]
    index: usize,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    function: Option<RawFunction>,
}

#[derive(Deserialize)]
struct RawFunction {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    arguments: Option<String>,
}

/// The usual event of a stream, which has text and nothing else.
#[derive(Deserialize)]
struct TextChunk<'a> {
    // A tuple of one reads an array of one without a place of its own for it.
    #[serde(borrow)]
    choices: (TextChoice<'a>,),
    #[serde(default)]
    usage: Option<IgnoredAny>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct TextChoice<'a> {
    #[serde(borrow)]
    delta: TextDelta<'a>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct TextDelta<'a> {
    #[serde(borrow)]
    content: Cow<'a, str>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
}

/// Reads the usual events of one stream: text and nothing else.
///
/// Events of a stream differ in their text alone, so the frame around it is learned from one that was parsed. An
/// event with the same frame, whose text holds nothing that JSON escapes, means the same with that text: it needs no
/// parsing of its own.
#[derive(Clone, Debug, Default)]
pub struct TextReader {
    before: String,
    after: String,
}

impl TextReader {
    /// Adds the text of a usual event to `out`; `false` for any other, which [`chunk`] reads.
    pub fn read(&mut self, data: &str, out: &mut String) -> bool {
        if !self.before.is_empty()
            && let Some(rest) = data.strip_prefix(self.before.as_str())
            && let Some(text) = rest.strip_suffix(self.after.as_str())
            && !text.bytes().any(|b| b < b' ' || b == b'"' || b == b'\\')
        {
            out.push_str(text);
            return true;
        }
        match serde_json::from_str::<TextChunk<'_>>(data) {
            Ok(TextChunk {
                choices: (TextChoice { delta: TextDelta { content, tool_calls: None }, finish_reason: None },),
                usage: None,
                error: None,
            }) => {
                out.push_str(&content);
                // Text that was not copied lies in the data itself.
                if let Cow::Borrowed(text) = content {
                    let at = text.as_ptr() as usize - data.as_ptr() as usize;
                    data[..at].clone_into(&mut self.before);
                    data[at + text.len()..].clone_into(&mut self.after);
                }
                true
            }
            _ => false,
        }
    }
}

/// Reads the data of one event of a stream.
pub fn chunk(data: &str) -> Result<Chunk, serde_json::Error> {
    let raw: RawChunk<'_> = serde_json::from_str(data)?;
    let mut chunk = Chunk { usage: raw.usage.map(Usage::from), ..Chunk::default() };
    if let Some(error) = raw.error {
        let message = error.get("message").and_then(Value::as_str);
        chunk.error = Some(message.map_or_else(|| error.to_string(), str::to_owned));
    }
    for choice in raw.choices {
        if let Some(delta) = choice.delta {
            chunk.text.push_str(delta.content.as_deref().unwrap_or_default());
            for call in delta.tool_calls {
                let function = call.function.unwrap_or(RawFunction { name: None, arguments: None });
                chunk.calls.push(CallPiece {
                    index: call.index,
                    id: call.id,
                    name: function.name,
                    arguments: function.arguments.unwrap_or_default(),
                });
            }
        }
        chunk.finish = match choice.finish_reason.as_deref() {
            None => chunk.finish,
            Some("stop") => Some(Finish::Stop),
            Some("length") => Some(Finish::Length),
            Some("tool_calls") => Some(Finish::ToolCalls),
            Some(_) => Some(Finish::Other),
        };
    }
    Ok(chunk)
}

/// What a reader answers: its usage, and the parameters for the writer.
pub fn read_answer(body: &[u8]) -> Option<(Usage, Value)> {
    #[derive(Deserialize)]
    struct Raw {
        usage: RawUsage,
        kv_transfer_params: Value,
    }
    let raw: Raw = serde_json::from_slice(body).ok()?;
    raw.kv_transfer_params.is_object().then(|| (raw.usage.into(), raw.kv_transfer_params))
}

/// The code of an error body, as `{"error": {"code": ...}}`.
pub fn error_code(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(value.get("error")?.get("code")?.as_str()?.to_owned())
}

/// An error body.
pub fn error_body(code: &str, message: &str) -> Vec<u8> {
    json!({"error": {"code": code, "message": message, "type": "server_error"}}).to_string().into_bytes()
}

/// Puts the pieces of a turn's tool calls together.
#[derive(Clone, Debug, Default)]
pub struct Calls(Vec<ToolCall>);

/// Tool calls that one turn may make.
const MOST_CALLS: usize = 16;

impl Calls {
    /// Takes a piece; false when it does not fit what came before.
    pub fn push(&mut self, piece: CallPiece) -> bool {
        if piece.index >= MOST_CALLS || piece.index > self.0.len() {
            return false;
        }
        if piece.index == self.0.len() {
            let (Some(id), Some(name)) = (piece.id, piece.name) else { return false };
            let function = Function { name, arguments: piece.arguments };
            self.0.push(ToolCall { id, kind: function_type(), function });
        } else {
            self.0[piece.index].function.arguments.push_str(&piece.arguments);
        }
        true
    }

    pub fn take(self) -> Vec<ToolCall> {
        self.0
    }

    pub fn begun(&self) -> bool {
        !self.0.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.0.iter().map(|call| call.function.arguments.len()).sum()
    }
}

/// Writes the data of one event of a stream, as an engine does.
pub fn text_chunk(model: &str, text: &str) -> String {
    #[derive(Serialize)]
    struct Out<'a> {
        object: &'a str,
        model: &'a str,
        choices: [Choice<'a>; 1],
    }
    #[derive(Serialize)]
    struct Choice<'a> {
        index: u32,
        delta: Delta<'a>,
    }
    #[derive(Serialize)]
    struct Delta<'a> {
        content: &'a str,
    }
    let choices = [Choice { index: 0, delta: Delta { content: text } }];
    serde_json::to_string(&Out { object: "chat.completion.chunk", model, choices }).unwrap_or_default()
}

/// Writes the data of an event that makes a tool call.
pub fn call_chunk(model: &str, call: &ToolCall) -> String {
    let call = json!({"index": 0, "id": call.id, "type": "function", "function": call.function});
    let choice = json!({"index": 0, "delta": {"tool_calls": [call]}});
    json!({"object": "chat.completion.chunk", "model": model, "choices": [choice]}).to_string()
}

/// Writes the data of the events that end a turn: why, and what was counted.
pub fn end_chunk(model: &str, finish: Finish, usage: Usage) -> String {
    let reason = match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
        Finish::ToolCalls => "tool_calls",
        Finish::Other => "content_filter",
    };
    json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": reason}],
        "usage": usage_value(usage),
    })
    .to_string()
}

/// Writes a reader's answer.
pub fn read_body(model: &str, usage: Usage, params: &KvParams) -> Vec<u8> {
    let message = json!({"role": "assistant", "content": ""});
    json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
        "usage": usage_value(usage),
        "kv_transfer_params": params,
    })
    .to_string()
    .into_bytes()
}

fn usage_value(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    })
}
