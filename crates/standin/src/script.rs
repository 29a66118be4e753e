//! Generates the answers of mock engines. Markers in the prompt control them, so that a rehearsal needs no
//! model:
//!
//! - `[words N]`: answer with N words (default 24).
//! - `[call NAME]`: after a few words, call the tool NAME if the request offers it; then use its result.
//!
//! The words depend only on the conversation, so every engine gives the same answer.

use elderstage_protocol::engine::ParsedCompletionRequest;

const WORDS: [&str; 16] = [
    "clay",
    "glaze",
    "kiln",
    "cobalt",
    "bowl",
    "caf\u{e9}",
    "wheel",
    "slip",
    "rim",
    "foot",
    "ash",
    "oxide",
    "fire",
    "cool",
    "stone",
    "ware",
];
/// Length in words of an answer without a `[words N]` marker.
const DEFAULT_WORDS: u64 = 24;
/// Most words written before a tool call.
const WORDS_BEFORE_CALL: u64 = 6;

/// The planned answer to one turn of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    seed: u64,
    /// The result of the preceding tool call; the answer starts with its words.
    tool_result_words: Vec<String>,
    /// Length of the answer in tokens; each word is one token.
    pub token_count: u64,
    /// Name and JSON arguments of the tool call that ends the turn.
    pub call: Option<(String, String)>,
}

/// Returns the value of the last marker `[name value]` in the text.
fn marker_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.rfind(&format!("[{name} "))? + name.len() + 2;
    let rest = &text[start..];
    Some(rest[..rest.find(']')?].trim())
}

/// Returns the prompt: the concatenated text of the conversation.
pub fn prompt_text(request: &ParsedCompletionRequest) -> String {
    let mut text = String::new();
    for message in &request.messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(message.content.as_deref().unwrap_or_default());
        for call in &message.tool_calls {
            text.push_str(&call.function.name);
            text.push_str(&call.function.arguments);
        }
        text.push('\n');
    }
    text
}

/// Counts the tokens of a text at four bytes per token.
pub fn count_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(4).max(1)
}

/// Plans the answer to a conversation: either a tool call or text.
pub fn plan_turn(request: &ParsedCompletionRequest) -> Turn {
    let user_message = request.messages.iter().rev().find(|m| m.role == "user");
    let user_text = user_message.and_then(|m| m.content.as_deref()).unwrap_or_default();
    let word_count = marker_value(user_text, "words").and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_WORDS);
    let max_tokens = request.max_tokens.unwrap_or(u64::MAX).max(1);
    let seed = user_text
        .bytes()
        .fold(0x9e37_79b9u64, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let last_message = request.messages.last();
    let tool_result = last_message.filter(|m| m.role == "tool").and_then(|m| m.content.clone());
    let is_offered = |name: &&str| request.tools.iter().any(|tool| tool.function.name == *name);
    match (tool_result, marker_value(user_text, "call").filter(is_offered)) {
        (None, Some(name)) => {
            let arguments =
                serde_json::json!({"text": user_text.chars().take(80).collect::<String>()}).to_string();
            let token_count = word_count.min(WORDS_BEFORE_CALL).min(max_tokens).max(1);
            Turn {
                seed,
                tool_result_words: Vec::new(),
                token_count,
                call: Some((name.to_owned(), arguments)),
            }
        }
        (tool_result, _) => {
            let tool_result_words: Vec<String> =
                tool_result.iter().flat_map(|text| text.split_whitespace()).map(str::to_owned).collect();
            let token_count = (word_count + tool_result_words.len() as u64).min(max_tokens).max(1);
            Turn { seed, tool_result_words, token_count, call: None }
        }
    }
}

impl Turn {
    /// Returns the text of the token at this index, with a trailing space.
    pub fn token_text(&self, index: u64) -> String {
        match self.tool_result_words.get(index as usize) {
            Some(word) => format!("{word} "),
            None => {
                let hash = (self.seed ^ index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                format!("{} ", WORDS[(hash >> 60) as usize])
            }
        }
    }
}
