//! What an engine's answer, or the lack of one, proves.

use elderstage::Outcome;
use elderstage_protocol::http::{Framing, Response};

/// Told by an engine that has not begun a request.
const NEVER_RAN: &str = "x-never-ran";

/// How far an attempt got before its connection failed or its time was up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// The last byte of the request was not written.
    NotWhole,
    /// It was: the engine may run it.
    Whole,
}

/// Why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The connection was refused, did not come up, broke, or brought what can't be read.
    Broken,
    /// The node stopped waiting.
    TimedOut,
    /// The node gave it up.
    Cancelled,
}

/// The outcome of an attempt that brought no answer.
pub fn without_answer(reached: Reached, cut: Cut) -> Outcome {
    match (reached, cut) {
        (Reached::NotWhole, Cut::Cancelled) => Outcome::NotSent,
        (Reached::NotWhole, _) => Outcome::NoConnection,
        (Reached::Whole, Cut::Broken) => Outcome::Broken,
        (Reached::Whole, Cut::TimedOut) => Outcome::TimedOut,
        (Reached::Whole, Cut::Cancelled) => Outcome::Cancelled,
    }
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A stream of events follows.
    Stream,
    /// The prompt has been read; the body tells what was found kept.
    Read,
    /// Ended so, with a note for the module.
    Ended(Outcome, u64),
}

/// Note of a writer that found no state to fetch.
const NO_STATE: u64 = 1;

/// Reads the head of an answer.
pub fn verdict(head: &Response) -> Verdict {
    let never = head.headers.get(NEVER_RAN).is_some_and(|value| value.trim() == "1");
    match head.status {
        200 if head.framing == Framing::Chunked => Verdict::Stream,
        202 => Verdict::Read,
        410 if never => Verdict::Ended(Outcome::Full, NO_STATE),
        503 | 504 if never => Verdict::Ended(Outcome::Full, 0),
        // Whatever else comes proves nothing.
        _ => Verdict::Ended(Outcome::Error, 0),
    }
}

/// Prompt tokens found kept, from the body of a reader's answer. What can't be read counts as none found.
pub fn cached(body: &[u8]) -> u64 {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.and_then(|value| value.get("cached_tokens")?.as_f64()).filter(|n| *n >= 0.0).map_or(0, |n| n as u64)
}
