//! What a stand-in answers. Clients steer it by marks in their prompt, so that a rehearsal needs no model:
//!
//! - `[words N]`: answer with N words (default 24).
//! - `[call NAME]`: after a few words, call the tool NAME, if the request offers it; with its result go on.
//!
//! The words follow from the conversation alone, so any engine would answer the same.

use elderstage_protocol::engine::Asked;

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
/// Words of an answer that names no number.
const DEFAULT_WORDS: u64 = 24;
/// Words written before a call.
const BEFORE_CALL: u64 = 6;

/// What one turn answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    seed: u64,
    /// Said first: the result of a tool call that the turn follows.
    lead: Vec<String>,
    pub tokens: u64,
    /// Name and JSON arguments of the call that ends the turn.
    pub call: Option<(String, String)>,
}

fn mark<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.rfind(&format!("[{name} "))? + name.len() + 2;
    let rest = &text[start..];
    Some(rest[..rest.find(']')?].trim())
}

/// All text of a conversation, as the engine reads it.
pub fn prompt_text(asked: &Asked) -> String {
    let mut text = String::new();
    for message in &asked.messages {
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

/// Tokens of a text: four bytes each.
pub fn tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(4).max(1)
}

/// Plans a turn.
pub fn turn(asked: &Asked) -> Turn {
    let user = asked.messages.iter().rev().find(|m| m.role == "user");
    let user = user.and_then(|m| m.content.as_deref()).unwrap_or_default();
    let words = mark(user, "words").and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_WORDS);
    let most = asked.max_tokens.unwrap_or(u64::MAX).max(1);
    let seed = user.bytes().fold(0x9e37_79b9u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let last = asked.messages.last();
    let result = last.filter(|m| m.role == "tool").and_then(|m| m.content.clone());
    let offered = |name: &&str| asked.tools.iter().any(|tool| tool.function.name == *name);
    match (result, mark(user, "call").filter(offered)) {
        (None, Some(name)) => {
            let arguments =
                serde_json::json!({"text": user.chars().take(80).collect::<String>()}).to_string();
            let tokens = words.min(BEFORE_CALL).min(most).max(1);
            Turn { seed, lead: Vec::new(), tokens, call: Some((name.to_owned(), arguments)) }
        }
        (result, _) => {
            let lead: Vec<String> =
                result.iter().flat_map(|text| text.split_whitespace()).map(str::to_owned).collect();
            let tokens = (words + lead.len() as u64).min(most).max(1);
            Turn { seed, lead, tokens, call: None }
        }
    }
}

impl Turn {
    /// The token at this place, with its space.
    pub fn token(&self, index: u64) -> String {
        match self.lead.get(index as usize) {
            Some(word) => format!("{word} "),
            None => {
                let mixed = (self.seed ^ index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                format!("{} ", WORDS[(mixed >> 60) as usize])
            }
        }
    }
}
