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
pub struct EngineSpec {
    pub role: Role,
    /// Requests served at once, and requests that may wait in the queue.
    pub max_running: usize,
    pub max_waiting: usize,
    /// KV memory and capacity of the prefix cache, in tokens.
    pub kv_tokens: u64,
    pub prefix_cache_tokens: u64,
    /// Prompt tokens per second that an engine reads if it does nothing else.
    pub read_tokens_per_s: f64,
    /// Fixed time of a step that writes, and the time that each running answer adds.
    pub step_time_us: Micros,
    pub step_time_per_answer_us: Micros,
    /// Most prompt tokens read in one step.
    pub max_tokens_per_step: u64,
    /// Fraction of the full speed at a cold start, and the time until the engine is warm.
    pub cold_start_share: f64,
    pub cold_duration: Micros,
    /// A cold engine crashes if the work that arrives within `tip_after` exceeds this multiple of its current
    /// capacity.
    pub overload_multiple: f64,
    pub overload_window: Micros,
}

impl Default for EngineSpec {
    /// A small mixed engine: 20,000 prompt tokens and about 2,000 answer tokens per second.
    fn default() -> EngineSpec {
        EngineSpec {
            role: Role::Mixed,
            max_running: 64,
            max_waiting: 32,
            kv_tokens: 200_000,
            prefix_cache_tokens: 60_000,
            read_tokens_per_s: 20_000.0,
            step_time_us: 8_000,
            step_time_per_answer_us: 200,
            max_tokens_per_step: 2_048,
            cold_start_share: 0.3,
            cold_duration: 12_000_000,
            overload_multiple: 4.0,
            overload_window: 2_000_000,
        }
    }
}

impl EngineSpec {
    /// Cost of a request, in microseconds of a warm engine with all slots in use.
    pub fn work(&self, unread_tokens: u64, answer_tokens: u64) -> f64 {
        let full_step =
            self.step_time_us as f64 + self.step_time_per_answer_us as f64 * self.max_running as f64;
        unread_tokens as f64 / self.read_tokens_per_s * 1e6
            + answer_tokens as f64 * full_step / self.max_running as f64
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

/// A fault in the work of an engine. Faults of its sockets are separate: [`crate::host::AddressFault`] and
/// [`crate::host::SocketFaults`].
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFault {
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
