//! Coordination of the processes of a fleet: a replicated log, membership and request counts. Without I/O, clocks and
//! threads.
//!
//! - [`record`]: a small, durable, replicated log of decisions on three or five *keepers*.
//! - [`members`]: membership by SWIM.
//! - [`evidence`]: request counts, cumulative by member and boot.
//! - [`change`]: what can be proposed. Carrying a change out in stages is not implemented yet.
//! - [`wire`]: the messages between processes.
//! - [`keeper`] and [`agent`]: the state machines of the two kinds of process. They take inputs with the time and
//!   return outputs in order.
//!
//! Invariant: a write is on disk before any output after it is sent.
//!
//! The same state machines run on sockets (`crates/fleetd`) and in simulated time (`tests/`). Nothing depends on wall
//! clocks: times are microseconds of the process's own clock. Fronts do not depend on this crate's processes: they keep
//! serving without them.

pub mod agent;
pub mod change;
pub mod config;
pub mod evidence;
pub mod keeper;
pub mod members;
pub mod name;
pub mod record;
pub mod wire;

/// Microseconds of a process's own clock.
pub type Micros = u64;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// One millisecond in microseconds.
pub const MILLISECOND: Micros = 1_000;
