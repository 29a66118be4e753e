//! The record: the replicated log of decisions, and the state that its commands build.
//!
//! Consensus is the `raft` library's (`docs/fleet.md` says why that library); this module implements none of it.
//! - [`Command`] is an entry of the log, identified by its proposer and number. [`RecordState`] is the state machine.
//!   It is deterministic and applies each command once, however often the command is sent.
//! - [`Replica`] drives the library for one keeper and lists what to write and send.
//! - [`StoredBlocks`] is the content of a keeper's disk, which is verified before use.
//! - [`Participation`] limits what a keeper may do while its disk may lack acknowledged entries.
//!
//! Invariant: a command is acknowledged only after a majority of the keepers has it on disk. `docs/fleet.md` describes
//! what happens at each possible interruption.

mod command;
mod log;
mod replica;
mod state;
mod stored;
mod trust;

pub use command::{Command, Operation, Proposer};
pub use replica::{
    MAX_COMMAND_BYTES, RecordError, Replica, ReplicaOutput, ReplicaStatus, Role, TICK_INTERVAL,
};
pub use state::{Change, Outcome, Phase, RecordState};
pub use stored::{
    BlockKind, DiskWrite, HardState, LogPosition, RecoveredLog, StoredBlocks, Watermark, decode_block,
    encode_block,
};
pub use trust::{LogStatus, Participation};

/// Permitted numbers of keepers: three tolerate the loss of one, five the loss of two. More keepers only add cost.
pub const KEEPER_COUNTS: [usize; 2] = [3, 5];
