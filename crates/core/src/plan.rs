//! What the operator has set, as the core acts on it. All times are microseconds.

use elderstage::{Repeat, Settings, Time};

/// A class of requests, beyond what the module is told of it.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    pub repeat: Repeat,
    /// Longest wait for a turn's first token, and what is added for each 1,000 prompt tokens.
    pub give_up: Time,
    pub give_up_per_1000: f64,
    /// Longest time for the whole request, tool calls included.
    pub total: Time,
}

/// A tool that the front calls in the middle of a stream.
#[derive(Clone, Debug)]
pub struct ToolPlan {
    pub name: String,
    /// A call may change something: it is never made twice.
    pub effect: bool,
    pub timeout: Time,
    /// Calls of one request for one turn of the model; more than 1 only without effect.
    pub tries: u32,
}

/// What a client can ask for.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    pub name: String,
    pub class: usize,
    /// Tools, by position in [`Plan::tools`].
    pub tools: Vec<usize>,
    pub max_tokens: f64,
    /// Turns of the writer in one request.
    pub most_legs: u32,
}

/// Bounds of one front.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests held at once.
    pub requests: usize,
    /// Tool calls of one turn.
    pub calls: usize,
    /// Advice when to come back, where the front turns a request away itself.
    pub retry_after: Time,
}

impl Default for Limits {
    fn default() -> Limits {
        // 20,000 requests take some 400 MB of stacks, buffers and text at a few tens of KiB each.
        Limits { requests: 20_000, calls: 8, retry_after: 500_000 }
    }
}

/// All of it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub settings: Settings,
    pub classes: Vec<ClassPlan>,
    pub tools: Vec<ToolPlan>,
    pub routes: Vec<RoutePlan>,
    pub limits: Limits,
}
