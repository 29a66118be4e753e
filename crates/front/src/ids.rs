//! Ids of requests: what engines and tool servers know a request by.
//!
//! Engines release a KV state by the id of the attempt that left it, and drop repeats by an idempotency key. So none of
//! these may be given twice: not by a front that was restarted, not by two fronts of one name, and not because two
//! clients chose the same `x-request-id`. Each contains a random number of the process and the number of the request in it.

use std::sync::atomic::{AtomicU64, Ordering};

use elderstage_core::ChainId;

/// Gives the requests of a front their ids.
#[derive(Debug)]
pub(crate) struct IdSource {
    /// Random, different in each process.
    process: u128,
    next: AtomicU64,
}

impl IdSource {
    /// A source whose ids no other process gives.
    pub fn new() -> IdSource {
        IdSource { process: rand::random(), next: AtomicU64::new(1) }
    }

    /// The next number of a request, unique within this front.
    pub fn next_chain(&self) -> ChainId {
        ChainId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// The ids of a request. `label` is the client's `x-request-id`, if it sent one, and need not be unique.
    pub fn request_ids(&self, chain: ChainId, front_name: &str, label: Option<&str>) -> RequestIds {
        let label = label.map_or_else(|| format!("{front_name}-{}", chain.0), str::to_owned);
        RequestIds { label, unique: format!("{:032x}-{}", self.process, chain.0) }
    }
}

/// The ids of one request and its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestIds {
    /// What the request is called in logs; two requests may share it.
    pub label: String,
    /// Given to no other request.
    unique: String,
}

impl RequestIds {
    /// The id of an attempt at an engine. A KV state is released by it.
    pub fn attempt(&self, turn: u32, attempt: u32) -> String {
        format!("{}/{turn}/{attempt}@{}", self.label, self.unique)
    }

    /// The idempotency key of a turn, the same for all its attempts.
    pub fn turn_key(&self, turn: u32) -> String {
        format!("{}/{turn}", self.unique)
    }

    /// The id of one try of a tool call.
    pub fn tool_try(&self, turn: u32, call: usize, attempt: u32) -> String {
        format!("{}/{turn}/t{call}.{attempt}@{}", self.label, self.unique)
    }

    /// The idempotency key of a tool call, the same for all its tries.
    pub fn tool_call_key(&self, turn: u32, call: usize) -> String {
        format!("{}/{turn}/t{call}", self.unique)
    }
}

#[cfg(test)]
mod tests;
