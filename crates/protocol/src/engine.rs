//! The API of the engines: streamed OpenAI-style chat completions, with the `kv_transfer_params` by which the KV
//! state of a reader is transferred to a writer.
//!
//! Both sides are here: the requests that a front writes and the responses that it parses, and the reverse for an
//! engine. The read stage is the prefill of a prompt, the write stage its decode.

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::borrow::Cow;

/// Path of chat completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path where a reader is told to release a KV state: `{"rid": "..."}`.
pub const ABORT_PATH: &str = "/abort_request";
/// Path of health probes. The response carries a load report.
pub const HEALTH_PATH: &str = "/health";
/// Error code of a writer that found no KV state to fetch (status 424). It proves that the request did not run.
pub const KV_STATE_MISSING_CODE: &str = "kv_state_missing";
/// Data of the event that ends a stream.
pub const STREAM_END_DATA: &str = "[DONE]";

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
    /// A message that is only text.
    pub fn text(role: &str, content: impl Into<String>) -> Message {
        Message {
            role: role.into(),
            content: Some(content.into()),
            tool_calls: Vec::new(),
            tool_call_id: None,
        }
    }

    /// The result of the tool call with this id.
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
    pub function: FunctionCall,
}

fn function_type() -> String {
    "function".into()
}

/// The function that a tool call names, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FunctionCall {
    pub name: String,
    /// JSON text as the model wrote it, which may be invalid.
    pub arguments: String,
}

/// The part of a request that an engine is to run.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Prefill only: the engine generates one token and keeps the KV state for a writer.
    Read,
    /// Decode: the engine fetches the KV state that these parameters from the reader's response describe.
    Write(Value),
    /// Prefill and decode at the same engine.
    Whole,
}

/// A request to an engine, as the front writes it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    pub model: String,
    pub messages: Vec<Message>,
    pub tools: Vec<String>,
    pub max_tokens: u64,
    pub stage: Stage,
}

/// Writes the body of a request to an engine.
pub fn write_request_body(ask: &CompletionRequest) -> Vec<u8> {
    let tools = ask.tools.iter();
    let tools: Vec<Value> =
        tools.map(|name| json!({"type": "function", "function": {"name": name}})).collect();
    let is_read_stage = ask.stage == Stage::Read;
    let mut object = json!({
        "model": ask.model,
        "messages": ask.messages,
        "max_tokens": if is_read_stage { 1 } else { ask.max_tokens },
        "stream": !is_read_stage,
    });
    if !is_read_stage {
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

/// A request to an engine, as the engine parses it.
#[derive(Clone, Debug, Deserialize)]
pub struct ParsedCompletionRequest {
    pub model: String,
    pub messages: Vec<Message>,
    #[serde(default)]
    pub max_tokens: Option<u64>,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    pub tools: Vec<OfferedTool>,
    #[serde(default)]
    pub kv_transfer_params: Option<KvParams>,
}

/// A tool that a request offers to the model.
#[derive(Clone, Debug, Deserialize)]
pub struct OfferedTool {
    pub function: OfferedFunction,
}

/// The function of a tool that a request offers.
#[derive(Clone, Debug, Deserialize)]
pub struct OfferedFunction {
    pub name: String,
}

/// The parameters that describe a KV state and its transfer from reader to writer.
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

/// Token counts of one turn, from the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt: u64,
    pub completion: u64,
    /// Prompt tokens found in the engine's prefix cache.
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
pub enum FinishReason {
    Stop,
    Length,
    ToolCalls,
    /// Any other reason, such as a content filter.
    Other,
}

/// The parsed content of one event of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    pub text: String,
    /// Pieces of tool calls.
    pub tool_calls: Vec<ToolCallPiece>,
    pub finish: Option<FinishReason>,
    pub usage: Option<Usage>,
    /// An error reported inside the stream.
    pub error: Option<String>,
}

/// A piece of a tool call. The first piece has the id and the name; the arguments are spread over all pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToolCallPiece {
    /// Position of the tool call in its turn.
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

/// An event that has text and nothing else, as most events of a stream are.
#[derive(Deserialize)]
struct TextChunk<'a> {
    // A tuple of length 1 deserializes from an array of length 1 without allocating a `Vec`.
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

/// Parses the events of one stream that have text and nothing else.
///
/// Such events of a stream differ only in their text, so the JSON before and after the text is learned from an
/// event that was parsed. An event with the same prefix and suffix, whose text contains nothing that JSON escapes,
/// has the same meaning apart from its text and is not parsed again.
#[derive(Clone, Debug, Default)]
pub struct TextChunkParser {
    prefix: String,
    suffix: String,
}

impl TextChunkParser {
    /// Appends the text of an event to `out`. Returns `false` if the event has more than text, in which case
    /// [`parse_chunk`] must parse it.
    pub fn parse(&mut self, data: &str, out: &mut String) -> bool {
        if !self.prefix.is_empty()
            && let Some(rest) = data.strip_prefix(self.prefix.as_str())
            && let Some(text) = rest.strip_suffix(self.suffix.as_str())
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
                // Borrowed text is a slice of `data`, so what surrounds it can be located.
                if let Cow::Borrowed(text) = content {
                    let text_start = text.as_ptr() as usize - data.as_ptr() as usize;
                    data[..text_start].clone_into(&mut self.prefix);
                    data[text_start + text.len()..].clone_into(&mut self.suffix);
                }
                true
            }
            _ => false,
        }
    }
}

/// Parses the data of one event of a stream.
pub fn parse_chunk(data: &str) -> Result<Chunk, serde_json::Error> {
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
                chunk.tool_calls.push(ToolCallPiece {
                    index: call.index,
                    id: call.id,
                    name: function.name,
                    arguments: function.arguments.unwrap_or_default(),
                });
            }
        }
        chunk.finish = match choice.finish_reason.as_deref() {
            None => chunk.finish,
            Some("stop") => Some(FinishReason::Stop),
            Some("length") => Some(FinishReason::Length),
            Some("tool_calls") => Some(FinishReason::ToolCalls),
            Some(_) => Some(FinishReason::Other),
        };
    }
    Ok(chunk)
}

/// Parses the response of a reader: its token counts, and the transfer parameters for the writer.
pub fn parse_reader_response(body: &[u8]) -> Option<(Usage, Value)> {
    #[derive(Deserialize)]
    struct RawReaderResponse {
        usage: RawUsage,
        kv_transfer_params: Value,
    }
    let raw: RawReaderResponse = serde_json::from_slice(body).ok()?;
    raw.kv_transfer_params.is_object().then(|| (raw.usage.into(), raw.kv_transfer_params))
}

/// Parses the code of an error body: `{"error": {"code": ...}}`.
pub fn parse_error_code(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(value.get("error")?.get("code")?.as_str()?.to_owned())
}

/// Writes an error body.
pub fn write_error_body(code: &str, message: &str) -> Vec<u8> {
    json!({"error": {"code": code, "message": message, "type": "server_error"}}).to_string().into_bytes()
}

/// Assembles the tool calls of a turn from their pieces.
#[derive(Clone, Debug, Default)]
pub struct ToolCallAssembler(Vec<ToolCall>);

/// Most tool calls that one turn may make.
const MAX_TOOL_CALLS_PER_TURN: usize = 16;

impl ToolCallAssembler {
    /// Adds a piece. Returns `false` if it does not fit the pieces before it.
    pub fn push(&mut self, piece: ToolCallPiece) -> bool {
        if piece.index >= MAX_TOOL_CALLS_PER_TURN || piece.index > self.0.len() {
            return false;
        }
        if piece.index == self.0.len() {
            let (Some(id), Some(name)) = (piece.id, piece.name) else { return false };
            let function = FunctionCall { name, arguments: piece.arguments };
            self.0.push(ToolCall { id, kind: function_type(), function });
        } else {
            self.0[piece.index].function.arguments.push_str(&piece.arguments);
        }
        true
    }

    /// Returns the assembled calls.
    pub fn into_tool_calls(self) -> Vec<ToolCall> {
        self.0
    }

    /// Whether any call has begun.
    pub fn has_calls(&self) -> bool {
        !self.0.is_empty()
    }

    /// Total length of the arguments so far.
    pub fn argument_bytes(&self) -> usize {
        self.0.iter().map(|call| call.function.arguments.len()).sum()
    }
}

/// Writes the data of a stream event that has text, as an engine does.
pub fn write_text_event(model: &str, text: &str) -> String {
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

/// Writes the data of a stream event that has a whole tool call.
pub fn write_tool_call_event(model: &str, call: &ToolCall) -> String {
    let call = json!({"index": 0, "id": call.id, "type": "function", "function": call.function});
    let choice = json!({"index": 0, "delta": {"tool_calls": [call]}});
    json!({"object": "chat.completion.chunk", "model": model, "choices": [choice]}).to_string()
}

/// Writes the data of the stream event that ends a turn, with the reason and the token counts.
pub fn write_end_event(model: &str, finish: FinishReason, usage: Usage) -> String {
    let reason = match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::ToolCalls => "tool_calls",
        FinishReason::Other => "content_filter",
    };
    json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": reason}],
        "usage": usage_json(usage),
    })
    .to_string()
}

/// Writes the body of a reader's response.
pub fn write_reader_response(model: &str, usage: Usage, params: &KvParams) -> Vec<u8> {
    let message = json!({"role": "assistant", "content": ""});
    json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
        "usage": usage_json(usage),
        "kv_transfer_params": params,
    })
    .to_string()
    .into_bytes()
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    })
}
