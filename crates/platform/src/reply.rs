//! Derives the outcome of an attempt from an engine's answer, or from the way in which the attempt ended without one. An
//! outcome says that the request did not run only where the answer proves it. Bodies of streams are parsed in `stream.rs`.

use elderstage::Outcome;
use elderstage_protocol::http::{Framing, Response};

/// Header of an engine that has not started a request.
const NEVER_RAN_HEADER: &str = "x-never-ran";

/// How far an attempt got before its connection failed or its time was up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// The last byte of the request was not written.
    NotWhole,
    /// The request was written completely: the engine may run it.
    Whole,
}

/// Why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The connection was refused, was not established, broke, or delivered an unreadable answer.
    Broken,
    /// The node stopped waiting.
    TimedOut,
    /// The node cancelled the attempt.
    Cancelled,
}

/// Returns the outcome of an attempt that ended without an answer.
pub fn outcome_without_answer(reached: WriteProgress, cut: AbortReason) -> Outcome {
    match (reached, cut) {
        (WriteProgress::NotWhole, AbortReason::Cancelled) => Outcome::NotSent,
        (WriteProgress::NotWhole, _) => Outcome::NoConnection,
        (WriteProgress::Whole, AbortReason::Broken) => Outcome::Broken,
        (WriteProgress::Whole, AbortReason::TimedOut) => Outcome::TimedOut,
        (WriteProgress::Whole, AbortReason::Cancelled) => Outcome::Cancelled,
    }
}

/// The result of the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream of events follows.
    Stream,
    /// The prompt has been read; the body gives the number of cached prompt tokens.
    Read,
    /// The attempt ended with this outcome and a note for the router.
    Ended(Outcome, u64),
}

/// Note for a writer that found no KV state to fetch.
const NO_STATE_NOTE: u64 = 1;

/// Derives the verdict from the head of an answer.
pub fn classify_answer(head: &Response) -> AnswerKind {
    let never_ran = head.headers.get(NEVER_RAN_HEADER).is_some_and(|value| value.trim() == "1");
    match head.status {
        200 if head.framing == Framing::Chunked => AnswerKind::Stream,
        202 => AnswerKind::Read,
        410 if never_ran => AnswerKind::Ended(Outcome::Full, NO_STATE_NOTE),
        503 | 504 if never_ran => AnswerKind::Ended(Outcome::Full, 0),
        // No other answer proves that the request did not run.
        _ => AnswerKind::Ended(Outcome::Error, 0),
    }
}

/// Returns the number of cached prompt tokens from the body of a reader's answer; 0 if it is unreadable.
pub fn parse_cached_tokens(body: &[u8]) -> u64 {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.and_then(|value| value.get("cached_tokens")?.as_f64()).filter(|n| *n >= 0.0).map_or(0, |n| n as u64)
}
