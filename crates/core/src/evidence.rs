//! What was seen of an attempt or a tool call, and what it proves.
//!
//! The front reports what its sockets showed; here it becomes the [`Outcome`] that the module is told. The line
//! between "proved never to have run" and "may have run" is drawn narrowly, since a wrong proof runs an order
//! twice: only a connection that was never made, a request of which the body was not written, and an engine's own
//! word count. Its own word is status 429 (it takes no more, RFC 6585) and status 424 with the code that no
//! state was found. A 503 is no proof: proxies give it after passing a request on. Whatever a reader does has
//! no effect, which the module knows.

use elderstage::Outcome;

use crate::driver::Stage;

/// What an attempt at an engine showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No connection was made; nothing was written.
    NotConnected,
    /// The time given ran out before the request was written.
    NotWritten,
    /// Connections were made and got the request's head, and no word to go on came: its body was not written.
    NotProven,
    /// The front's own bounds on connecting left no room; nothing was written.
    NoRoom,
    /// The engine answered the head with this final status: the body was not written.
    Unsent { status: u16 },
    /// The time given ran out after the request, or part of it, was written.
    TimedOut,
    /// The connection broke after the request, or part of it, was written.
    Broke,
    /// The front gave the attempt up because it was told to.
    Cancelled,
    /// The front gave it up because nothing comes over its address any more while another one of the server works:
    /// says nothing of the server.
    GivenUp,
    /// The engine answered with this status and, in an error body, this code.
    Status { status: u16, code: Option<String> },
    /// The answer was not what the protocol has: malformed, or with an error inside the stream.
    Garbled,
    /// The reader has read the prompt, and this many tokens of it were kept.
    Read { cached: u64 },
    /// The writer's turn has ended in good order.
    Turn { cached: u64 },
}

/// Note of [`Outcome::Full`]: there was no state to fetch.
pub const NO_STATE_NOTE: u64 = 1;
/// Code of an engine's error that says so.
pub const NO_STATE_CODE: &str = "kv_state_missing";

/// What it proves, and the note that goes with it.
pub fn judge(stage: Stage, evidence: &Evidence) -> (Outcome, u64) {
    match evidence {
        Evidence::NotConnected | Evidence::NotWritten | Evidence::NotProven => (Outcome::NoConnection, 0),
        // Nothing is wrong with the server: the module is told that there is no room for more.
        Evidence::NoRoom => (Outcome::Full, 0),
        // Whatever the status: an engine cannot run a prompt that it does not have.
        Evidence::Unsent { .. } => (Outcome::Full, 0),
        Evidence::TimedOut => (Outcome::TimedOut, 0),
        Evidence::Broke => (Outcome::Broken, 0),
        Evidence::Cancelled | Evidence::GivenUp => (Outcome::Cancelled, 0),
        Evidence::Status { status: 429, .. } => (Outcome::Full, 0),
        Evidence::Status { status: 424, code }
            if stage == Stage::Write && code.as_deref() == Some(NO_STATE_CODE) =>
        {
            (Outcome::Full, NO_STATE_NOTE)
        }
        Evidence::Status { .. } | Evidence::Garbled => (Outcome::Error, 0),
        // Guards against an engine that answers the other stage's answer: taking it would serve nothing.
        Evidence::Read { cached } if stage == Stage::Read => (Outcome::Read, *cached),
        Evidence::Turn { cached } if stage != Stage::Read => (Outcome::Served, *cached),
        Evidence::Read { .. } | Evidence::Turn { .. } => (Outcome::Error, 0),
    }
}

/// How a call to a tool server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolEnd {
    /// A result, with the bytes of its text; the tool itself may call it an error.
    Result { bytes: usize },
    /// Proved not to have run: no connection, or a JSON-RPC error that says that the call was not taken
    /// (parse error, invalid request, unknown method, invalid parameters).
    NotRun,
    /// May have run: time ran out, the connection broke, the answer was garbled, or any other error.
    Unknown,
}

/// JSON-RPC 2.0, section 5.1: these are given before a method runs.
pub fn rpc_error(code: i64) -> ToolEnd {
    if matches!(code, -32700 | -32602..=-32600) { ToolEnd::NotRun } else { ToolEnd::Unknown }
}

/// What a tool server's HTTP status proves by itself. 404 says that the session is not known (MCP, transports):
/// the call was not taken. All others are read from the message.
pub fn tool_status(status: u16) -> Option<ToolEnd> {
    (status == 404).then_some(ToolEnd::NotRun)
}

#[cfg(test)]
mod tests;
