//! What the hub is told, and what it tells to do.

use std::net::SocketAddr;

use elderstage::{Outcome, ReqId, ServerId, Settings, Time};

use crate::ask::Ask;
use crate::list::List;

/// What has happened.
#[derive(Debug)]
pub enum Input {
    /// A client's request was read whole. An id is never used twice.
    Arrived { id: ReqId, ask: Ask },
    /// The client has gone away.
    Gone { id: ReqId },
    /// The first event of an attempt's stream is being passed on.
    First { id: ReqId, attempt: u32 },
    /// An attempt has ended and its connection is closed or free. `events`: of its stream, passed on.
    Ended { id: ReqId, attempt: u32, outcome: Outcome, note: u64, report: Option<String>, events: u64 },
    /// A probe has ended.
    Probed { server: ServerId, outcome: Outcome, report: Option<String> },
    /// The wall clock was read: so many microseconds ahead of the node's.
    WallClock { ahead: i64 },
    /// A list came from discovery.
    Listed { list: List, restored: bool },
    /// A release was said to an engine; `heard`: it has answered.
    Said { id: ReqId, holder: ServerId, round: u32, engine: ServerId, heard: bool },
    /// The node ends, within this time.
    Stopping { within: Time },
    /// New figures for the same classes, kinds and zones.
    Settings { settings: Box<Settings> },
}

/// The final answer to a client, other than a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// Turned away; trying again is harmless. Advice in microseconds, 0 for none.
    Refused {
        retry_after: Time,
    },
    Failed,
    /// Another request with this id is open: this one was not taken.
    Open,
}

/// What is to be done on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `harmless`: it has no effect, or may be repeated.
    Send {
        id: ReqId,
        attempt: u32,
        server: ServerId,
        dial: SocketAddr,
        timeout: Time,
        harmless: bool,
    },
    /// Stops an attempt that has not been written yet: its engine drains or has left.
    Withdraw {
        id: ReqId,
        attempt: u32,
    },
    Cancel {
        id: ReqId,
        attempt: u32,
    },
    /// Ends a running stream; its client comes again.
    Move {
        id: ReqId,
    },
    Answer {
        id: ReqId,
        last: Last,
        /// Attempts that were decided, and what came of the last: why the answer is none of an engine's.
        attempts: u32,
        last_outcome: Option<Outcome>,
    },
    Release {
        id: ReqId,
        trace: Box<str>,
        holder: ServerId,
        /// Which release of the request it belongs to.
        round: u32,
        /// Who is told: every engine passes it on.
        engine: ServerId,
        dial: SocketAddr,
    },
    Probe {
        server: ServerId,
        dial: SocketAddr,
    },
    /// Nothing more will be said of it.
    Forget {
        id: ReqId,
    },
}

/// What a node has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
    pub gone: u64,
    pub attempts: u64,
    pub probes: u64,
    pub probes_unread: u64,
    pub releases: u64,
    pub releases_again: u64,
}
