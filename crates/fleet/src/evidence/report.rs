//! One member's counts.

use elderstage_tally::Tally;
use serde::{Deserialize, Serialize};

use crate::members::MemberKind;
use crate::name::Name;

/// Largest report on the wire, in bytes: 1,024 groups of some 300 bytes.
pub const MAX_REPORT_BYTES: usize = 512 << 10;

/// All that a member has counted since one start of what it counts for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub member: Name,
    pub kind: MemberKind,
    pub zone: Name,
    /// The start that is counted from: of the front beside the agent, or of the agent.
    pub boot: u64,
    /// Rises with each report of one boot.
    pub version: u64,
    pub tally: Tally,
}
