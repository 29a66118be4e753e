//! Divides the file descriptors and the memory that the node may use among its parts.
//!
//! The shares are computed once at the start. Each part enforces its own.

use elderstage_platform::start::ResourceLimits;

/// Descriptors reserved for everything but connections to clients and engines: standard streams, the
/// coroutine runtime, the listener, signals, the old and the new watch on discovery, a file being read, a few
/// that always stay free, and evicted client connections that are still closing.
const RESERVED_DESCRIPTORS: u64 = 28 + crate::connections::MAX_EVICTING as u64;
/// Share of the other descriptors that client connections may take. At most a third of all descriptors
/// belongs to client connections with a request, each of which needs a connection to an engine. Probes and
/// releases need a few more.
const CLIENT_SHARE: f64 = 0.56;
/// Share of the memory that bodies of open requests may take. Stacks, connection buffers and the program
/// itself need the rest.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// Number of coroutine stacks kept for reuse, as a share of the descriptors.
const STACK_SHARE: f64 = 0.5;
/// Minimum for each count: with less no node can serve.
const MIN_COUNT: usize = 8;

/// What each part of the node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Client connections.
    pub clients: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Bytes of request bodies.
    pub bodies: usize,
    /// Coroutine stacks kept for reuse.
    pub stacks: usize,
}

impl Shares {
    /// Divides what the configuration allows.
    pub fn from_allowed(allowed: ResourceLimits) -> Shares {
        let available = allowed.descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let clients = (available * CLIENT_SHARE) as usize;
        let engines = (available - clients as f64) as usize;
        let bodies = (allowed.memory_mb as f64 * BODY_MEMORY_SHARE * 1024.0 * 1024.0) as usize;
        Shares {
            clients: clients.max(MIN_COUNT),
            engines: engines.max(MIN_COUNT),
            bodies: bodies.max(elderstage_platform::ask::MAX_BODY_BYTES * 2),
            stacks: ((allowed.descriptors as f64 * STACK_SHARE) as usize).max(MIN_COUNT),
        }
    }
}
