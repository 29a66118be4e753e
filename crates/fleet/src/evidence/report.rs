//! The report of one member's counts.

use elderstage_tally::Tally;
use serde::{Deserialize, Serialize};

use crate::members::MemberKind;
use crate::name::Name;

/// Largest report on the wire: 1,024 groups of about 300 bytes.
pub const MAX_REPORT_BYTES: usize = 512 << 10;

/// Everything that a member has counted since one start of its front, or of itself if it has no front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub member: Name,
    pub kind: MemberKind,
    pub zone: Name,
    /// Boot ID of the start from which the counts run: that of the front beside the agent, or of the agent.
    pub boot: u64,
    /// Increases with each report of one boot.
    pub version: u64,
    pub tally: Tally,
}
