//! What was observed of an attempt or a tool call, and which outcome follows.
//!
//! The front reports what happened on its sockets, and this module maps it to the [`Outcome`] for the router.
//! An outcome says "proved never to have run" only in narrow cases, since a wrong proof makes an order run
//! twice: no connection was made, the request's body was not written, or the engine says so itself. The
//! engine says so by status 429 (it accepts no more requests, RFC 6585) and by status 424 with the code for a
//! missing state. A 503 is no proof: proxies return it after they have forwarded a request. Reading a prompt
//! has no side effect; the router takes that into account.

use elderstage::Outcome;

use crate::stage::Stage;

/// What the front observed of an attempt at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No connection was made; nothing was written.
    NotConnected,
    /// The time limit passed before the request was written.
    NotWritten,
    /// Connections got the request's head, but no `100 Continue` arrived: the body was not written.
    NotProven,
    /// The front's own limits allowed no connection; nothing was written.
    NoRoom,
    /// The engine answered the request's head with this final status: the body was not written.
    Unsent { status: u16 },
    /// The time limit passed after the request, or part of it, was written.
    TimedOut,
    /// The connection broke after the request, or part of it, was written.
    Broke,
    /// The front ended the attempt because the core told it to; the request, or part of it, may be written.
    Cancelled,
    /// The front ended the attempt because the core told it to, before the request's body was written.
    Withdrawn,
    /// The front abandoned the attempt because its address no longer delivers anything while another address
    /// of the server works. It says nothing about the server.
    GivenUp,
    /// The engine answered with this error status and, if its body has one, this error code.
    Status { status: u16, code: Option<String> },
    /// The answer violates the protocol: it is malformed, or has an error inside the stream.
    Garbled,
    /// The reader read the prompt, of which `cached` tokens came from its cache.
    Read { cached: u64 },
    /// The writer completed the turn.
    Turn { cached: u64 },
}

impl Evidence {
    /// The evidence of an attempt that was cancelled while this was observed of it. What proves that the body
    /// was not written, and what the engine answered in full, remains; anything else may be the work of the
    /// cancellation.
    pub fn of_cancelled(self) -> Evidence {
        match self {
            Evidence::NotConnected
            | Evidence::NotWritten
            | Evidence::NotProven
            | Evidence::NoRoom
            | Evidence::Withdrawn => Evidence::Withdrawn,
            Evidence::Unsent { .. }
            | Evidence::Status { .. }
            | Evidence::Read { .. }
            | Evidence::Turn { .. } => self,
            Evidence::TimedOut
            | Evidence::Broke
            | Evidence::Cancelled
            | Evidence::GivenUp
            | Evidence::Garbled => Evidence::Cancelled,
        }
    }
}

/// Note that goes with [`Outcome::Full`]: there was no KV state to fetch.
pub const NO_STATE_NOTE: u64 = 1;
/// Error code of an engine that found no KV state.
pub const NO_STATE_CODE: &str = "kv_state_missing";

/// The outcome for the router, and the note that goes with it.
pub fn classify(stage: Stage, evidence: &Evidence) -> (Outcome, u64) {
    match evidence {
        Evidence::NotConnected | Evidence::NotWritten | Evidence::NotProven => (Outcome::NoConnection, 0),
        // The server is fine: the router only learns that no more requests fit.
        Evidence::NoRoom => (Outcome::Full, 0),
        // The status does not matter: an engine cannot run a prompt that it did not receive.
        Evidence::Unsent { .. } => (Outcome::Full, 0),
        Evidence::TimedOut => (Outcome::TimedOut, 0),
        Evidence::Broke => (Outcome::Broken, 0),
        Evidence::Cancelled | Evidence::GivenUp => (Outcome::Cancelled, 0),
        Evidence::Withdrawn => (Outcome::NotSent, 0),
        Evidence::Status { status: 429, .. } => (Outcome::Full, 0),
        Evidence::Status { status: 424, code }
            if stage == Stage::Write && code.as_deref() == Some(NO_STATE_CODE) =>
        {
            (Outcome::Full, NO_STATE_NOTE)
        }
        Evidence::Status { .. } | Evidence::Garbled => (Outcome::Error, 0),
        // An answer that belongs to the other stage is an error: accepting it would serve nothing.
        Evidence::Read { cached } if stage == Stage::Read => (Outcome::Read, *cached),
        Evidence::Turn { cached } if stage != Stage::Read => (Outcome::Served, *cached),
        Evidence::Read { .. } | Evidence::Turn { .. } => (Outcome::Error, 0),
    }
}

/// How a tool call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolEnd {
    /// The tool returned a result, which may itself be an error message. `bytes` is the length of its text.
    Result { bytes: usize },
    /// Proved not to have run: no connection, or a JSON-RPC error that is returned before the method runs
    /// (parse error, invalid request, unknown method, invalid parameters).
    NotRun,
    /// May have run: a timeout, a broken connection, a malformed answer or any other error.
    Unknown,
}

/// Classifies a JSON-RPC error code. The codes for [`ToolEnd::NotRun`] are those that a server returns before
/// a method runs (JSON-RPC 2.0, section 5.1).
pub fn tool_end_from_rpc_error(code: i64) -> ToolEnd {
    if matches!(code, -32700 | -32602..=-32600) { ToolEnd::NotRun } else { ToolEnd::Unknown }
}

/// What a tool server's HTTP status proves by itself. 404 means that the session is unknown (MCP,
/// transports), so the call did not run. For any other status the message decides.
pub fn tool_end_from_status(status: u16) -> Option<ToolEnd> {
    (status == 404).then_some(ToolEnd::NotRun)
}

#[cfg(test)]
mod tests;
