//! The identity by which members know each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    Keeper,
    /// An agent beside a front.
    Front,
    /// An agent beside an engine.
    Engine,
}

/// A member, identified by its name. Of two identities with the same name the later start prevails.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    pub name: Name,
    pub kind: MemberKind,
    pub zone: Name,
    /// Listen address.
    pub at: SocketAddr,
    /// Boot ID: a start count in the upper 32 bits, a random number in the lower 32.
    pub boot: u64,
    /// SWIM incarnation: increases each time the member refutes that it is down.
    #[serde(rename = "turn")]
    pub incarnation: u32,
}

impl foca::Identity for Identity {
    type Addr = Name;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { incarnation: self.incarnation.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.boot, self.incarnation) > (other.boot, other.incarnation)
    }
}
