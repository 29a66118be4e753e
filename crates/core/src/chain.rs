//! One request over its legs and tool calls, and which final answer is true to promise.
//!
//! A chain is in one of three phases: a leg is with the module, a tool call is out, or it is over. It ends in
//! exactly one [`Final`]. A refusal promises that trying again is harmless, so it is given only while that is
//! known: no tool with an effect may have run, and of a class that is not safe to repeat no earlier leg was
//! written. Everything else that does not end served is a failure, which promises nothing.

use elderstage::{Repeat, ReqId, ServerId, Time};

/// A client's request at this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChainId(pub u64);

/// Why a request ended as it did; told to the client and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The front is going out of service.
    Draining,
    /// The front holds as many requests as it may.
    FrontFull,
    /// The module found no server that could take it in time.
    NoRoom,
    /// An attempt may have run and must not be repeated.
    MayHaveRun,
    /// A stream broke after its first token.
    StreamBroke,
    /// A tool call with an effect ended without a result.
    ToolUnknown,
    /// The request's whole time is up.
    OutOfTime,
    /// More turns or calls than the route allows.
    TooManyTurns,
    /// The answer grew past the bound on one answer's text.
    TooLong,
}

impl Reason {
    pub fn text(self) -> &'static str {
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
    Served,
    /// Trying again is harmless; not before this time has passed (0: no advice).
    Refused {
        reason: Reason,
        retry_after: Time,
    },
    /// Promises nothing.
    Failed {
        reason: Reason,
    },
    /// The client has left or cancelled: no answer is owed.
    Gone,
}

/// One turn of the writer.
#[derive(Clone, Debug)]
pub struct Leg {
    pub id: ReqId,
    pub attempts: u32,
    /// The attempt that is out.
    pub out: Option<(ServerId, crate::driver::Stage)>,
    /// The reader whose state waits, and the attempt that read it.
    pub state: Option<(ServerId, u32)>,
    pub streaming: bool,
    /// A writer may have begun it.
    pub may_have_run: bool,
}

impl Leg {
    pub fn new(id: ReqId) -> Leg {
        Leg { id, attempts: 0, out: None, state: None, streaming: false, may_have_run: false }
    }
}

/// A tool call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToolOut {
    /// What was known of effects before this call was first made.
    pub effect_before: bool,
    /// Position among the turn's calls.
    pub call: usize,
    pub tool: usize,
    pub tries: u32,
}

#[derive(Clone, Debug)]
pub enum Phase {
    Leg(Leg),
    Tool(ToolOut),
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Chain {
    pub route: usize,
    pub class: usize,
    pub arrived: Time,
    pub deadline: Time,
    /// What the client waits for a turn's first token.
    pub patience: Time,
    /// Bytes of the conversation so far; grows with answers and results.
    pub bytes: usize,
    pub shared_bytes: usize,
    /// Legs begun.
    pub legs: u32,
    /// Calls of the present turn, each with its tool if the route has it.
    pub calls: Vec<Option<usize>>,
    /// Position of the next call to make.
    pub next_call: usize,
    /// A tool with an effect may have run.
    pub effect: bool,
    pub phase: Phase,
    /// The final answer has been given; what is out is still to be heard of.
    pub over: bool,
}

impl Chain {
    /// Whether trying the whole request again is known to be harmless.
    pub fn harmless(&self, repeat: Repeat) -> bool {
        let written = self.legs > 1 || matches!(&self.phase, Phase::Leg(leg) if leg.may_have_run);
        !self.effect && (repeat == Repeat::Safe || !written)
    }

    /// The module refused the present leg: the word for the whole request.
    pub fn refusal(&self, repeat: Repeat, retry_after: Time) -> Final {
        // The module knows more of the present leg than we do: a keyed one may be refused after it ran.
        if !self.effect && (repeat == Repeat::Safe || self.legs <= 1) {
            Final::Refused { reason: Reason::NoRoom, retry_after }
        } else {
            Final::Failed { reason: Reason::MayHaveRun }
        }
    }

    /// The request ends for a reason of ours: the word for it.
    pub fn ending(&self, repeat: Repeat, reason: Reason, retry_after: Time) -> Final {
        if self.harmless(repeat) { Final::Refused { reason, retry_after } } else { Final::Failed { reason } }
    }
}

#[cfg(test)]
mod tests;
