//! Parses clients' requests into arrivals for the router, or into a refusal with a status. It reads no socket. A
//! request is refused by its head alone wherever possible, before its body is read.

use elderstage::settings::SettingNames;
use elderstage::{Arrival, RequestId, TextKey, Time};
use elderstage_protocol::http::{Framing, Request};
use thiserror::Error;

/// Path of chat requests from clients.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path at which the platform asks whether the node can serve.
pub const READY_PATH: &str = "/-/ready";
/// Largest body in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Longest id in bytes. The id becomes part of a path.
const MAX_ID_BYTES: usize = 128;
/// Longest name of a session or a shared prefix, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Characters that are counted as one token where the client gives no prompt length.
const CHARS_PER_TOKEN: usize = 4;
/// Microseconds, the unit of the clock, in a millisecond.
const US_PER_MS: u64 = 1000;

/// Header with the id of a request.
pub const ID_HEADER: &str = "x-trace-id";
const CLASS_HEADER: &str = "x-qos";
const TENANT_HEADER: &str = "x-customer";
const SESSION_HEADER: &str = "x-object";
/// Header with the time that is left to the client, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-expires-in-ms";
const PROPS_HEADER: &str = "x-props";
const AGAIN_HEADER: &str = "x-second-try";
const HINT_HEADER: &str = "x-size-hint";

/// Why a request is refused. The text goes to the client.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The path does not exist.
    #[error("no such path")]
    Path,
    /// The path accepts this other method only.
    #[error("this path takes {0} only")]
    Method(&'static str),
    /// A required header is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header occurs more than once.
    #[error("{0} comes more than once")]
    Duplicate(&'static str),
    /// The value of a header is invalid.
    #[error("{0} can't be read")]
    Unreadable(&'static str),
    /// The class is unknown.
    #[error("class is not one of this deployment")]
    Class,
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("body over {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// The body is not a JSON object.
    #[error("body is no JSON object")]
    Body,
    /// Another request with the same id is open.
    #[error("a request with this id is open")]
    Open,
}

impl Refusal {
    /// Returns the HTTP status of the refusal (RFC 9110, section 15.5).
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Path => 404,
            Refusal::Method(_) => 405,
            Refusal::TooLarge => 413,
            Refusal::Open => 409,
            _ => 400,
        }
    }
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// Whether the node can serve.
    Ready,
}

/// A client's request: the id that the client gave it, and its arrival for the router. The number in the arrival is
/// assigned by the node.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Id that the client gave the request.
    pub request_id: Box<str>,
    /// The arrival for the router.
    pub arrival: Arrival,
}

/// Determines from the head alone what a request asks for, so that a body is refused before it is read.
pub fn classify_head(head: &Request) -> Result<RequestKind, Refusal> {
    let path = head.target.split('?').next().unwrap_or_default();
    let wanted = match path {
        CHAT_PATH if head.method == "POST" => RequestKind::Chat,
        CHAT_PATH => return Err(Refusal::Method("POST")),
        READY_PATH if head.method == "GET" => RequestKind::Ready,
        READY_PATH => return Err(Refusal::Method("GET")),
        _ => return Err(Refusal::Path),
    };
    let mut lengths = head.headers.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    // Other programs may interpret a repeated length differently, even where both values are equal here.
    if lengths.next().is_some_and(|(_, value)| value.contains(',')) || lengths.next().is_some() {
        return Err(Refusal::Duplicate("content-length"));
    }
    match head.framing {
        Framing::Length(n) if n > MAX_BODY_BYTES as u64 => Err(Refusal::TooLarge),
        _ => Ok(wanted),
    }
}

/// Returns the only value of a header. A repeated header is refused, because it is ambiguous.
fn single_value<'a>(head: &'a Request, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut values = head.headers.0.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let first = values.next().map(|(_, value)| value.trim());
    if values.next().is_some() { Err(Refusal::Duplicate(name)) } else { Ok(first) }
}

/// Parses a whole number.
fn parse_number(value: &str, name: &'static str) -> Result<u64, Refusal> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| value.parse::<u64>().ok()).flatten().ok_or(Refusal::Unreadable(name))
}

/// Parses the name of a session or a prefix; an empty name is none.
fn parse_key(value: &str, name: &'static str) -> Result<Option<TextKey>, Refusal> {
    match value {
        "" => Ok(None),
        long if long.len() > MAX_KEY_BYTES => Err(Refusal::Unreadable(name)),
        value => Ok(Some(TextKey(value.into()))),
    }
}

/// Returns whether an id can be written into a path and a head without escaping.
fn is_plain_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= MAX_ID_BYTES
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b))
}

/// Parses the time that the client still waits, in microseconds, at most `longest_wait`.
pub fn parse_time_left(head: &Request, longest_wait: Time) -> Result<Time, Refusal> {
    let value = single_value(head, DEADLINE_HEADER)?.ok_or(Refusal::Missing(DEADLINE_HEADER))?;
    Ok(parse_number(value, DEADLINE_HEADER)?.saturating_mul(US_PER_MS).min(longest_wait))
}

impl ClientRequest {
    /// Parses the head of a chat request. `body` is the length of the body in bytes. The time left is at most `longest_wait`,
    /// the longest time that any client waits.
    pub fn parse(
        head: &Request,
        body: usize,
        names: &SettingNames,
        longest_wait: Time,
    ) -> Result<ClientRequest, Refusal> {
        let trace =
            single_value(head, ID_HEADER)?.filter(|id| !id.is_empty()).ok_or(Refusal::Missing(ID_HEADER))?;
        if !is_plain_id(trace) {
            return Err(Refusal::Unreadable(ID_HEADER));
        }
        let class = single_value(head, CLASS_HEADER)?.ok_or(Refusal::Missing(CLASS_HEADER))?;
        let class = names.classes.iter().position(|name| name == class).ok_or(Refusal::Class)?;
        let time_left = parse_time_left(head, longest_wait)?;
        let tenant = match single_value(head, TENANT_HEADER)? {
            Some(name) if !names.tenants.is_empty() => names
                .tenants
                .iter()
                .position(|known| known == name)
                .ok_or(Refusal::Unreadable(TENANT_HEADER))?,
            _ => 0,
        };
        let session =
            single_value(head, SESSION_HEADER)?.map_or(Ok(None), |value| parse_key(value, SESSION_HEADER))?;
        let hint =
            single_value(head, HINT_HEADER)?.map_or(Ok(0), |value| parse_number(value, HINT_HEADER))?;
        let again = single_value(head, AGAIN_HEADER)?.unwrap_or_default();
        let mut arrival = Arrival {
            id: RequestId::default(),
            class,
            tenant,
            session,
            prefix: None,
            time_left,
            output_time_hint: hint,
            prompt_tokens: (body / CHARS_PER_TOKEN) as f64,
            shared_tokens: 0.0,
            max_output_tokens: 0.0,
            is_repeat: again == "1",
            is_resumed: again == "again",
        };
        for part in single_value(head, PROPS_HEADER)?
            .unwrap_or_default()
            .split(',')
            .filter(|part| !part.trim().is_empty())
        {
            let (name, value) = part.split_once('=').ok_or(Refusal::Unreadable(PROPS_HEADER))?;
            let value = value.trim();
            match name.trim() {
                "prefix" => arrival.prefix = parse_key(value, PROPS_HEADER)?,
                "prompt_len" => arrival.prompt_tokens = parse_number(value, PROPS_HEADER)? as f64,
                "prefix_len" => arrival.shared_tokens = parse_number(value, PROPS_HEADER)? as f64,
                "max_out" => arrival.max_output_tokens = parse_number(value, PROPS_HEADER)? as f64,
                // Later versions may add properties.
                _ => {}
            }
        }
        Ok(ClientRequest { request_id: trace.into(), arrival })
    }
}

/// Returns whether a body is one JSON object. A body that no engine can parse is refused here, because an engine's error
/// for it would count against that engine.
pub fn is_object(body: &[u8]) -> bool {
    let starts_object = body.iter().find(|b| !b.is_ascii_whitespace()) == Some(&b'{');
    starts_object && serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}
