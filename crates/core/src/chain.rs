//! The state of one client request over its legs and tool calls, and the rule which final answer it may get.
//!
//! A chain is in one of three phases: a leg is with the router, a tool call is in flight, or the chain has
//! its final answer. It ends in exactly one [`Final`]. A refusal promises that trying again is harmless. It
//! is given only with a proof of that: no tool with an effect may have run, and in a class that is not safe to
//! repeat each attempt at a writer is proved not to have run. An attempt in flight proves nothing yet. Any
//! other end that is not served is a failure, which promises nothing.

use elderstage::{RepeatPolicy, RequestId, ServerId, Time};

use crate::stage::Stage;

/// Identifies a client's request within one front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChainId(pub u64);

/// Why a request ended as it did. It is reported to the client and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The front is draining.
    Draining,
    /// The front already holds the maximum number of requests.
    FrontFull,
    /// The router found no server that could take the request in time.
    NoRoom,
    /// An attempt may have run and must not be repeated.
    MayHaveRun,
    /// A stream broke after its first token.
    StreamBroke,
    /// A tool call that may have had an effect ended without a result.
    ToolUnknown,
    /// The time limit of the whole request has passed.
    OutOfTime,
    /// More turns or calls than the route allows.
    TooManyTurns,
    /// The answer exceeds the limit on one answer's text.
    TooLong,
}

impl Reason {
    /// The sentence that the client gets.
    pub fn message(self) -> &'static str {
        match self {
            Reason::Draining => "the front is going out of service",
            Reason::FrontFull => "the front holds as many requests as it may",
            Reason::NoRoom => "no server can take the request in time",
            Reason::MayHaveRun => "an attempt may have run and must not be repeated",
            Reason::StreamBroke => "the stream broke before its end",
            Reason::ToolUnknown => "a tool call may have run and gave no result",
            Reason::OutOfTime => "the time for the whole request is up",
            Reason::TooManyTurns => "more turns than the route allows",
            Reason::TooLong => "the answer is longer than the front may hold",
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The client got its whole answer.
    Served,
    /// Trying again is harmless, but not before `retry_after` has passed (0: no advice).
    Refused { reason: Reason, retry_after: Time },
    /// The request may or may not have run; nothing is promised.
    Failed { reason: Reason },
    /// The client left or cancelled, so it gets no answer.
    Gone,
}

/// One turn of the model: a request of its own to the router.
#[derive(Clone, Debug)]
pub struct Leg {
    /// Number of the leg, as the router knows it.
    pub id: RequestId,
    /// Attempts started; the next attempt gets this number.
    pub attempts: u32,
    /// Server and stage of the attempt in flight.
    pub in_flight: Option<(ServerId, Stage)>,
    /// The reader that keeps the KV state for a writer, and the attempt that read it.
    pub kept_state: Option<(ServerId, u32)>,
    /// The first token has arrived.
    pub is_streaming: bool,
}

impl Leg {
    /// A leg without attempts.
    pub fn new(id: RequestId) -> Leg {
        Leg { id, attempts: 0, in_flight: None, kept_state: None, is_streaming: false }
    }

    /// Whether an attempt is in flight that may run the request. Reading a prompt has no side effect.
    fn is_at_writer(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|(_, stage)| *stage != Stage::Read)
    }
}

/// A tool call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingToolCall {
    /// Value of [`Chain::may_have_had_effect`] before the current try; restored if the call did not run.
    pub had_effect_before: bool,
    /// Position among the calls of the turn.
    pub call: usize,
    /// Index into the plan's tools.
    pub tool: usize,
    /// Tries so far.
    pub tries: u32,
}

/// What a chain waits for.
#[derive(Clone, Debug)]
pub enum Phase {
    Leg(Leg),
    Tool(PendingToolCall),
}

/// What is known about a repeat of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Proved to be harmless.
    Harmless,
    /// A repeat may have an effect for the second time.
    MayRepeatEffect,
    /// The attempt in flight decides it by its end: it may run, and nothing else has.
    Undecided,
}

/// The state of one client request.
#[derive(Clone, Debug)]
pub struct Chain {
    /// Index into the plan's routes.
    pub route: usize,
    /// Index into the plan's classes.
    pub class: usize,
    /// When the request was submitted.
    pub arrived: Time,
    /// When the time limit of the whole request ends.
    pub deadline: Time,
    /// How long the client waits for the first token of a turn.
    pub first_token_limit: Time,
    /// Bytes of the conversation so far, with answers and tool results.
    pub bytes: usize,
    /// Length of the shared prefix of the prompt, in bytes; 0 without one.
    pub shared_bytes: usize,
    /// Legs started.
    pub legs: u32,
    /// Tool calls of the current turn: the index of the tool, or `None` if the route does not have it.
    pub calls: Vec<Option<usize>>,
    /// Position of the next call to start.
    pub next_call: usize,
    /// A tool with an effect may have run.
    pub may_have_had_effect: bool,
    /// A writer may have run an attempt of any leg. An attempt in flight counts from its first token on.
    pub may_have_run: bool,
    /// What the chain waits for.
    pub phase: Phase,
    /// Why the request was given up, if its final answer depends on the end of the attempt in flight.
    pub given_up_for: Option<Reason>,
    /// The final answer has been given; the end of an attempt in flight may still be outstanding.
    pub is_answered: bool,
}

impl Chain {
    /// What is known about a repeat of the whole request.
    pub fn repeat_safety(&self, repeat: RepeatPolicy) -> RepeatSafety {
        if self.may_have_had_effect {
            return RepeatSafety::MayRepeatEffect;
        }
        if repeat == RepeatPolicy::Safe {
            return RepeatSafety::Harmless;
        }
        // A keyed request counts like an unsafe one: the key is this front's own, and the client's next try
        // gets another one.
        if self.may_have_run {
            return RepeatSafety::MayRepeatEffect;
        }
        match &self.phase {
            Phase::Leg(leg) if leg.is_at_writer() => RepeatSafety::Undecided,
            _ => RepeatSafety::Harmless,
        }
    }

    /// The final answer of the request after the router refused its current leg.
    pub fn final_for_refusal(&self, repeat: RepeatPolicy, retry_after: Time) -> Final {
        match self.repeat_safety(repeat) {
            RepeatSafety::Harmless => Final::Refused { reason: Reason::NoRoom, retry_after },
            _ => Final::Failed { reason: Reason::MayHaveRun },
        }
    }

    /// The final answer of a request that the core ends for `reason`.
    pub fn final_for_end(&self, repeat: RepeatPolicy, reason: Reason, retry_after: Time) -> Final {
        match self.repeat_safety(repeat) {
            RepeatSafety::Harmless => Final::Refused { reason, retry_after },
            _ => Final::Failed { reason },
        }
    }
}

#[cfg(test)]
mod tests;
