//! How a small machine's descriptors and memory are divided.

use elderstage_platform::start::Allowed;

/// Descriptors for what is neither a client's nor an engine's connection: standard streams, the runtime's, the
/// listener, signals, discovery's old and new watch, a file that is read, some that are always left free, and clients'
/// connections that leave.
const OWN: u64 = 28 + crate::connections::EVICTING as u64;
/// Share of the rest that clients' connections may take. They hold a third of all for requests at most, each of which
/// needs one to an engine; probes and releases need a few more.
const CLIENTS: f64 = 0.56;
/// Share of memory that bodies of open requests may take: stacks, buffers of connections and the program itself need
/// the rest.
const BODIES: f64 = 0.25;
/// Stacks of coroutines that are kept for the next, as a share of descriptors.
const STACKS: f64 = 0.5;
/// Least of anything: below this no node can serve.
const LEAST: usize = 8;

/// What each part may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    pub clients: usize,
    pub engines: usize,
    /// Bytes of bodies.
    pub bodies: usize,
    pub stacks: usize,
}

impl Shares {
    pub fn of(allowed: Allowed) -> Shares {
        let rest = allowed.descriptors.saturating_sub(OWN) as f64;
        let clients = (rest * CLIENTS) as usize;
        let engines = (rest - clients as f64) as usize;
        let bodies = (allowed.memory_mb as f64 * BODIES * 1024.0 * 1024.0) as usize;
        Shares {
            clients: clients.max(LEAST),
            engines: engines.max(LEAST),
            bodies: bodies.max(elderstage_platform::ask::MOST_BODY * 2),
            stacks: ((allowed.descriptors as f64 * STACKS) as usize).max(LEAST),
        }
    }
}
