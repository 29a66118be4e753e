//! The operator's settings in the form that the core uses. All times are in microseconds.

use elderstage::{RepeatPolicy, Settings, Time};

/// Settings of a request class that the router does not need.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Whether a request may run twice.
    pub repeat: RepeatPolicy,
    /// Longest wait for a turn's first token, and the addition for each 1,000 prompt tokens.
    pub first_token_limit: Time,
    pub first_token_limit_per_1000: f64,
    /// Longest time for the whole request, tool calls included.
    pub request_limit: Time,
}

/// A tool that the front calls between two turns of the model.
#[derive(Clone, Debug)]
pub struct ToolPlan {
    pub name: String,
    /// A call may change something, so it must never run twice.
    pub has_effect: bool,
    /// Time limit of one call.
    pub timeout: Time,
    /// Most tries of one call. With an effect, a value above 1 applies only to calls that are proved not to
    /// have run.
    pub max_tries: u32,
}

/// A route: one service that clients can address.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    pub name: String,
    /// Index into [`Plan::classes`].
    pub class: usize,
    /// Indices into [`Plan::tools`].
    pub tools: Vec<usize>,
    /// Most tokens of one answer.
    pub max_tokens: f64,
    /// Most legs (turns of the model) in one request.
    pub max_legs: u32,
}

/// Limits of one front.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most requests held at once.
    pub max_requests: usize,
    /// Most tool calls in one turn.
    pub max_calls_per_turn: usize,
    /// Advice when to try again, in refusals that the front itself decides.
    pub retry_after: Time,
}

impl Default for Limits {
    fn default() -> Limits {
        // 20,000 requests take about 400 MB: each has a few tens of KiB of stack, buffers and text.
        Limits { max_requests: 20_000, max_calls_per_turn: 8, retry_after: 500_000 }
    }
}

/// The whole plan of one front.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Settings of the router.
    pub settings: Settings,
    pub classes: Vec<ClassPlan>,
    pub tools: Vec<ToolPlan>,
    pub routes: Vec<RoutePlan>,
    pub limits: Limits,
}
