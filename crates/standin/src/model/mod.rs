//! The engine model: takes requests and the time, returns events.
//!
//! An engine works in steps. A step reads up to a chunk of prompt tokens in arrival order and adds one token
//! to every running answer. Its length grows with the work it does. A request waits in the queue until a slot
//! and memory for its prompt are free. A reader holds the KV state of a prompt until a writer takes it. When
//! memory runs out, the newest answer returns to the queue and is read again.
//!
//! The model does no I/O and reads no clock, so the same calls give the same events.

mod engine;
mod kept;

pub use engine::{Engine, EngineEvent, RejectReason};
pub use kept::{BLOCK_TOKENS, PrefixCache, block_hashes};

/// Microseconds on the host's clock.
pub type Micros = u64;

/// The stages that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
    Mixed,
}

/// The capacity of an engine. Speeds are those of a warm engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    pub role: Role,
    /// Requests served at once, and requests that may wait in the queue.
    pub slots: usize,
    pub queue: usize,
    /// KV memory and capacity of the prefix cache, in tokens.
    pub kv_tokens: u64,
    pub kept_tokens: u64,
    /// Prompt tokens per second that an engine reads if it does nothing else.
    pub read_per_s: f64,
    /// Fixed time of a step that writes, and the time that each running answer adds.
    pub step: Micros,
    pub step_per_answer: Micros,
    /// Most prompt tokens read in one step.
    pub chunk: u64,
    /// Fraction of the full speed at a cold start, and the time until the engine is warm.
    pub cold_from: f64,
    pub cold_for: Micros,
    /// A cold engine crashes if the work that arrives within `tip_after` exceeds this multiple of its current
    /// capacity.
    pub fall_multiple: f64,
    pub tip_after: Micros,
}

impl Default for Spec {
    /// A small mixed engine: 20,000 prompt tokens and about 2,000 answer tokens per second.
    fn default() -> Spec {
        Spec {
            role: Role::Mixed,
            slots: 64,
            queue: 32,
            kv_tokens: 200_000,
            kept_tokens: 60_000,
            read_per_s: 20_000.0,
            step: 8_000,
            step_per_answer: 200,
            chunk: 2_048,
            cold_from: 0.3,
            cold_for: 12_000_000,
            fall_multiple: 4.0,
            tip_after: 2_000_000,
        }
    }
}

impl Spec {
    /// Cost of a request, in microseconds of a warm engine with all slots in use.
    pub fn work(&self, unread_tokens: u64, answer_tokens: u64) -> f64 {
        let full_step = self.step as f64 + self.step_per_answer as f64 * self.slots as f64;
        unread_tokens as f64 / self.read_per_s * 1e6 + answer_tokens as f64 * full_step / self.slots as f64
    }
}

/// Identifies a request within one engine; the host assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// What a request asks of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Read the prompt (prefill) and hold its KV state for a writer.
    Read,
    /// Fetch a KV state from a reader, then write the answer (decode).
    Write,
    /// Read the prompt and write the answer on the same engine.
    ReadAndWrite,
}

/// A request as the engine model sees it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: JobId,
    pub task: Task,
    pub class: String,
    /// Hashes of the prompt as [`block_hashes`] computes them.
    pub block_hashes: Vec<u64>,
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// A fault in the work of an engine. Faults of its sockets are separate: [`crate::host::DoorFault`] and
/// [`crate::host::Faults`].
#[derive(Clone, Debug, PartialEq)]
pub enum Ail {
    /// Accepts requests and makes no progress.
    Hang,
    /// Works slower by this factor.
    Slow(f64),
    /// Makes no progress on requests of one class.
    ClassUnanswered(String),
}

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub running: usize,
    pub waiting: usize,
    /// Fraction of the slots and of the KV memory in use.
    pub slot_usage: f64,
    pub kv_usage: f64,
    /// Prompt tokens still to be read or fetched.
    pub pending_tokens: u64,
    /// Moving average of the time to the end of a read or to the first token.
    pub recent_latency: Micros,
}
