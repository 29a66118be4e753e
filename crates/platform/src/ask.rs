//! Clients' requests: a head and a body to what the module is told, or the status that says why not.

use elderstage::settings::Names;
use elderstage::{Arrival, ReqId, TextKey, Time};
use elderstage_protocol::http::{Framing, Request};
use thiserror::Error;

/// Where clients ask, and where the platform asks whether the node can serve.
pub const CHAT: &str = "/v1/chat/completions";
pub const READY: &str = "/-/ready";
/// Most bytes of a body.
pub const MOST_BODY: usize = 256 << 10;
/// Most bytes of an id: it becomes a part of a path.
const MOST_ID: usize = 128;
/// Most bytes of the name of a conversation or an opening.
const MOST_KEY: usize = 256;
/// Characters that stand for one token.
const TOKEN: usize = 4;
/// Milliseconds to the clock's unit.
const MS: u64 = 1000;

pub const ID: &str = "x-trace-id";
const CLASS: &str = "x-qos";
const TENANT: &str = "x-customer";
const SESSION: &str = "x-object";
pub const DEADLINE: &str = "x-expires-in-ms";
const PROPS: &str = "x-props";
const AGAIN: &str = "x-second-try";
const HINT: &str = "x-size-hint";

/// Why a request is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    #[error("no such path")]
    Path,
    #[error("this path takes {0} only")]
    Method(&'static str),
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} comes more than once")]
    Doubled(&'static str),
    #[error("{0} can't be read")]
    Unreadable(&'static str),
    #[error("class is not one of this deployment")]
    Class,
    #[error("body over {MOST_BODY} bytes")]
    TooLarge,
    #[error("body is no JSON object")]
    Body,
    #[error("a request with this id is open")]
    Open,
}

impl Refusal {
    /// RFC 9110, 15.5.
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

/// What a head asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    Chat,
    Ready,
}

/// What the module is told of a request, and the id that it goes by. The module's own number is the node's to give.
#[derive(Clone, Debug)]
pub struct Ask {
    pub trace: Box<str>,
    pub arrival: Arrival,
}

/// What is asked for, from the head alone: a body is refused before it is read.
pub fn wanted(head: &Request) -> Result<Wanted, Refusal> {
    let path = head.target.split('?').next().unwrap_or_default();
    let wanted = match path {
        CHAT if head.method == "POST" => Wanted::Chat,
        CHAT => return Err(Refusal::Method("POST")),
        READY if head.method == "GET" => Wanted::Ready,
        READY => return Err(Refusal::Method("GET")),
        _ => return Err(Refusal::Path),
    };
    let mut lengths = head.headers.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    // A doubled length is read by one program in one way and by another in the other, even where both agree here.
    if lengths.next().is_some_and(|(_, value)| value.contains(',')) || lengths.next().is_some() {
        return Err(Refusal::Doubled("content-length"));
    }
    match head.framing {
        Framing::Length(n) if n > MOST_BODY as u64 => Err(Refusal::TooLarge),
        _ => Ok(wanted),
    }
}

/// The one value of a field; a field that comes twice could be read in two ways.
fn single<'a>(head: &'a Request, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut values = head.headers.0.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let first = values.next().map(|(_, value)| value.trim());
    if values.next().is_some() { Err(Refusal::Doubled(name)) } else { Ok(first) }
}

fn whole(value: &str, name: &'static str) -> Result<u64, Refusal> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| value.parse::<u64>().ok()).flatten().ok_or(Refusal::Unreadable(name))
}

fn key(value: &str, name: &'static str) -> Result<Option<TextKey>, Refusal> {
    match value {
        "" => Ok(None),
        long if long.len() > MOST_KEY => Err(Refusal::Unreadable(name)),
        value => Ok(Some(TextKey(value.into()))),
    }
}

/// Whether an id can go into a path and a head as it is.
fn plain(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= MOST_ID
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b))
}

impl Ask {
    /// Reads the head of a chat request. `body` is its length in bytes; no client waits longer than `longest_wait`.
    pub fn read(head: &Request, body: usize, names: &Names, longest_wait: Time) -> Result<Ask, Refusal> {
        let trace = single(head, ID)?.filter(|id| !id.is_empty()).ok_or(Refusal::Missing(ID))?;
        if !plain(trace) {
            return Err(Refusal::Unreadable(ID));
        }
        let class = single(head, CLASS)?.ok_or(Refusal::Missing(CLASS))?;
        let class = names.classes.iter().position(|name| name == class).ok_or(Refusal::Class)?;
        let left = whole(single(head, DEADLINE)?.ok_or(Refusal::Missing(DEADLINE))?, DEADLINE)?;
        let time_left = left.saturating_mul(MS).min(longest_wait);
        let tenant = match single(head, TENANT)? {
            Some(name) if !names.tenants.is_empty() => {
                names.tenants.iter().position(|known| known == name).ok_or(Refusal::Unreadable(TENANT))?
            }
            _ => 0,
        };
        let session = single(head, SESSION)?.map_or(Ok(None), |value| key(value, SESSION))?;
        let hint = single(head, HINT)?.map_or(Ok(0), |value| whole(value, HINT))?;
        let again = single(head, AGAIN)?.unwrap_or_default();
        let mut arrival = Arrival {
            id: ReqId::default(),
            class,
            tenant,
            session,
            prefix: None,
            time_left,
            hint,
            prompt: (body / TOKEN) as f64,
            shared: 0.0,
            max_out: 0.0,
            repeat: again == "1",
            returned: again == "again",
        };
        for part in single(head, PROPS)?.unwrap_or_default().split(',').filter(|part| !part.trim().is_empty())
        {
            let (name, value) = part.split_once('=').ok_or(Refusal::Unreadable(PROPS))?;
            let value = value.trim();
            match name.trim() {
                "prefix" => arrival.prefix = key(value, PROPS)?,
                "prompt_len" => arrival.prompt = whole(value, PROPS)? as f64,
                "prefix_len" => arrival.shared = whole(value, PROPS)? as f64,
                "max_out" => arrival.max_out = whole(value, PROPS)? as f64,
                // Later versions may tell more.
                _ => {}
            }
        }
        Ok(Ask { trace: trace.into(), arrival })
    }
}

/// Whether a body is one JSON object. What no engine could read must not cost one of them its good name.
pub fn is_object(body: &[u8]) -> bool {
    let begun = body.iter().find(|b| !b.is_ascii_whitespace()) == Some(&b'{');
    begun && serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}
