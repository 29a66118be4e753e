//! Membership by SWIM, on the `foca` library.
//!
//! Each member probes one other member a second, and through three others if no answer comes. Membership updates are
//! piggybacked on the probes. A member that does not answer is suspected, and down after a timeout. At 350 members
//! that is 350 probes and answers a second in the whole fleet, two messages a second at each member, and an update
//! reaches all members within about 2 log2(350) = 17 seconds at worst. No request is routed by this membership.

mod identity;
mod swim;

pub use identity::{Identity, MemberKind};
pub use swim::{MemberStatus, Members, OutgoingMessage};
