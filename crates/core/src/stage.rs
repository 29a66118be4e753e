//! The stages of serving a turn.

/// The work that an attempt does at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the prompt (prefill) and keep its KV state for a writer.
    Read,
    /// Fetch the KV state that the leg's reader keeps, and write the answer (decode).
    Write,
    /// Read and write on one server.
    Whole,
}
