//! The engine model: events and time in, what happens out.
//!
//! An engine works in steps. A step reads up to a chunk of prompt tokens, first come first, and adds one token to
//! every running answer; it takes longer the more it does. A request waits until a slot and memory for its prompt
//! are free. A reader keeps the state that it has read until a writer takes it. When memory runs out the newest
//! answer goes back to the queue and is read anew.

mod engine;
mod kept;

pub use engine::{Engine, Out, Why};
pub use kept::{BLOCK_TOKENS, Kept, blocks};

/// Microseconds on the host's clock.
pub type Micros = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
    Mixed,
}

/// What an engine can do when it is warm.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    pub role: Role,
    /// Requests at once, and how many more may wait.
    pub slots: usize,
    pub queue: usize,
    /// KV memory in tokens, and the part of it that kept texts may take.
    pub kv_tokens: u64,
    pub kept_tokens: u64,
    /// Prompt tokens read in a second by an engine that does nothing else.
    pub read_per_s: f64,
    /// Time of an empty step, and what each running answer adds.
    pub step: Micros,
    pub step_per_answer: Micros,
    /// Prompt tokens read in one step at most.
    pub chunk: u64,
    /// Share of its speed at a cold start, and when it is warm.
    pub cold_from: f64,
    pub cold_for: Micros,
    /// While cold, more than this multiple of what it can do, for this long, makes it fall over.
    pub fall_multiple: f64,
    pub tip_after: Micros,
}

impl Default for Spec {
    /// A small mixed engine: 20,000 prompt tokens and some 2,000 answer tokens a second.
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
    /// What a request costs, in microseconds of a warm engine with all slots in use.
    pub fn work(&self, unread: u64, answer: u64) -> f64 {
        let step = self.step as f64 + self.step_per_answer as f64 * self.slots as f64;
        unread as f64 / self.read_per_s * 1e6 + answer as f64 * step / self.slots as f64
    }
}

/// A request at an engine, as the host names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Read, and keep the state.
    Read,
    /// Fetch a state, then answer.
    Write,
    /// Read and answer.
    Whole,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: JobId,
    pub task: Task,
    pub class: String,
    /// Hashes of the prompt's blocks, each of all text up to its end.
    pub blocks: Vec<u64>,
    pub prompt: u64,
    /// Tokens that it will answer with.
    pub answer: u64,
}

/// What can be wrong with an engine's work; its sockets have faults of their own.
#[derive(Clone, Debug, PartialEq)]
pub enum Ail {
    /// Takes work and does nothing.
    Hang,
    /// So many times slower.
    Slow(f64),
    /// Does nothing for one class.
    ClassUnanswered(String),
}

/// An engine's load, as a report tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub running: usize,
    pub waiting: usize,
    /// Share of slots in use, and of KV memory held.
    pub busy: f64,
    pub kv: f64,
    /// Prompt tokens that wait to be read or fetched.
    pub pending: u64,
    /// Recent time to the end of a read or to the first token.
    pub latency: Micros,
}
