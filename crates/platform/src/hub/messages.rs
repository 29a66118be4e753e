//! The messages of the hub: inputs that report what happened on sockets, and commands for sockets.

use std::net::SocketAddr;

use elderstage::{Outcome, RequestId, ServerId, Settings, Time};

use crate::ask::ClientRequest;
use crate::list::List;

/// Something that happened and that the hub has to handle.
#[derive(Debug)]
pub enum Input {
    /// A client's request was received completely. An id is never reused.
    Arrived { id: RequestId, client_request: ClientRequest },
    /// The client disconnected.
    ClientDisconnected { id: RequestId },
    /// The first event of an attempt's stream is being forwarded to the client.
    FirstEvent { id: RequestId, attempt: u32 },
    /// An attempt ended and its connection is closed or idle. `events` counts the stream events that were forwarded.
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        note: u64,
        report: Option<String>,
        events: u64,
    },
    /// A probe ended.
    ProbeEnded { server: ServerId, outcome: Outcome, report: Option<String> },
    /// The wall clock was read; it is `ahead` microseconds ahead of the node's clock.
    WallClock { ahead: i64 },
    /// Discovery sent a list. `restored` marks the list that was known before a restart.
    ListReceived { list: List, restored: bool },
    /// A release call to an engine ended. `heard`: the engine answered it.
    ReleaseCallEnded {
        id: RequestId,
        holder: ServerId,
        release_number: u32,
        engine: ServerId,
        acknowledged: bool,
    },
    /// The node shuts down within this time. Requests that arrive `late_after` from now or later must have ended
    /// when it is killed.
    ShuttingDown { within: Time, late_after: Time },
    /// New settings with the same classes, kinds and zones.
    Settings { settings: Box<Settings> },
}

/// The final answer to a client that gets no stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request was rejected and did not run, so the client may retry.
    Refused {
        /// How long the client is advised to wait before it retries, in microseconds; 0 for no advice.
        retry_after: Time,
    },
    /// The request failed; it may have run.
    Failed,
    /// Another request with this id is open, so this one was not accepted.
    Open,
}

/// An operation to perform on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends an attempt to a server. `harmless`: the request has no effect or may be repeated.
    Send {
        id: RequestId,
        attempt: u32,
        server: ServerId,
        address: SocketAddr,
        timeout: Time,
        is_repeatable: bool,
    },
    /// Stops an attempt that has not been written yet because its engine drains or has left the list.
    WithdrawAttempt { id: RequestId, attempt: u32 },
    /// Cancels an attempt.
    Cancel { id: RequestId, attempt: u32 },
    /// Ends a running stream; the client retries elsewhere.
    EndStream { id: RequestId },
    /// Sends the final answer to a client.
    Answer {
        id: RequestId,
        last: FinalAnswer,
        /// Number of attempts. With `last_outcome` it explains why the answer is not an engine's.
        attempts: u32,
        /// Outcome of the last attempt.
        last_outcome: Option<Outcome>,
    },
    /// Tells an engine to release the KV state that the holder keeps for a request.
    Release {
        id: RequestId,
        trace: Box<str>,
        holder: ServerId,
        /// Number of the release within its request.
        release_number: u32,
        /// The engine to call. Every engine forwards a release to the holder.
        engine: ServerId,
        address: SocketAddr,
    },
    /// Probes a server.
    Probe { server: ServerId, address: SocketAddr },
    /// Drops a request; no further command names its id.
    RemoveRequest { id: RequestId },
}

/// What a node has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were accepted.
    pub taken: u64,
    /// Requests that were served completely.
    pub served: u64,
    /// Requests that were rejected without effect.
    pub refused: u64,
    /// Requests that failed without a stream.
    pub failed: u64,
    /// Requests whose stream broke off.
    pub broken: u64,
    /// Requests whose client disconnected.
    pub gone: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Probes that were requested.
    pub probes: u64,
    /// Probes without a readable load report.
    pub probes_unread: u64,
    /// Release calls to engines.
    pub releases: u64,
    /// Waves of release calls after the first wave of a release.
    pub releases_again: u64,
    /// Entries of lists that contradicted a newer list, such as one by which an engine that drains would run.
    pub overruled_entries: u64,
}
