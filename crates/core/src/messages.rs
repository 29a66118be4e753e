//! The interface of the core: what the front reports to it, and what it asks of the front.

use elderstage::{ListMode, RequestId, ServerEntry, ServerId, Time};

use crate::chain::{ChainId, Final};
use crate::evidence::{Evidence, ToolEnd};
use crate::stage::Stage;

/// A request from a client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub chain: ChainId,
    /// Index into [`Plan::routes`].
    pub route: usize,
    /// Index into the tenants of the router's settings.
    pub tenant: usize,
    /// Key of the client's session, if the client named one.
    pub session: Option<String>,
    /// Name and length in bytes of the text that the prompt begins with, if other requests share it.
    pub shared_prefix: Option<(String, usize)>,
    /// Length of the whole prompt, in bytes.
    pub prompt_bytes: usize,
    /// The client marked the request as a repeat of an earlier one.
    pub is_repeat: bool,
}

/// A tool call that the model made in a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedToolCall {
    /// Name of the tool, as the model wrote it.
    pub tool: String,
    /// Length of the arguments, in bytes.
    pub argument_bytes: usize,
}

/// An event that the front observed.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sent a request.
    Submit(NewRequest),
    /// The first token, or the first fragment of a tool call, arrived from the engine.
    Streaming { chain: ChainId, leg: RequestId, attempt: u32, took: Time },
    /// An attempt ended, after `took`.
    AttemptEnded {
        chain: ChainId,
        leg: RequestId,
        attempt: u32,
        evidence: Evidence,
        took: Time,
        /// Prompt tokens and answer tokens, as counted by the engine.
        usage: Option<(u64, u64)>,
        /// Bytes of text and the tool calls of a turn that ended normally.
        text_bytes: usize,
        calls: Vec<RequestedToolCall>,
        load: Option<Vec<f64>>,
    },
    /// A tool call ended. `call` is its position among the calls of the turn.
    ToolEnded { chain: ChainId, call: usize, end: ToolEnd },
    /// The client closed its connection or cancelled the request.
    ClientGone { chain: ChainId },
    /// The answer exceeds the size that the front may buffer.
    TooLong { chain: ChainId },
    /// The list of servers, or changes to it.
    Servers { mode: ListMode, entries: Vec<ServerEntry> },
    /// A probe ended; `evidence` is `None` if the server answered that it is healthy.
    Probed { server: ServerId, evidence: Option<Evidence>, took: Time, load: Option<Vec<f64>> },
    /// A server reported the start time of its process. A server that started before `long_ago` counts as
    /// warm.
    Started { server: ServerId, at: Time, long_ago: Time },
    /// Reject new requests from now on.
    Drain,
    /// The drain period is over: end all remaining requests.
    Stop,
}

/// An action that the front carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start an attempt.
    Send {
        chain: ChainId,
        leg: RequestId,
        /// Number of the leg within its chain, from 1.
        turn: u32,
        attempt: u32,
        server: ServerId,
        stage: Stage,
        timeout: Time,
        /// The request's class is keyed: the server drops repeats by an idempotency key.
        is_keyed: bool,
        /// The request must not run twice: its connection is proven before its body is sent.
        must_not_repeat: bool,
    },
    /// Cancel an attempt; the front still reports its end.
    Cancel { chain: ChainId, turn: u32, attempt: u32 },
    /// Tell a reader to release the KV state of this attempt, whether its read is finished or still running.
    Release { chain: ChainId, turn: u32, attempt: u32, server: ServerId },
    /// Send a health request to a server.
    Probe { server: ServerId },
    /// Call a tool. `tool` is an index into [`Plan::tools`].
    CallTool { chain: ChainId, turn: u32, call: usize, tool: usize, attempt: u32, timeout: Time },
    /// Cancel a tool call.
    CancelTool { chain: ChainId, turn: u32, call: usize },
    /// Give the client its final answer; emitted once per chain.
    Answer { chain: ChainId, final_answer: Final },
    /// Drop everything held for this chain: no further effect refers to it.
    Forget { chain: ChainId },
}
