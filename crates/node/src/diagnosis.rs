//! A snapshot for diagnosis: what the hub holds to be in flight, beside the connections that carry attempts. They may
//! differ for as long as a connection is being made or an event waits for the event loop, and not for longer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Connections that carry an attempt now, by server address.
#[derive(Debug, Default)]
pub struct InFlightAttempts(Mutex<HashMap<SocketAddr, usize>>);

/// One of them, until dropped.
#[derive(Debug)]
pub struct InFlightAttempt {
    of: Arc<InFlightAttempts>,
    server: SocketAddr,
}

impl InFlightAttempts {
    fn by_server(&self) -> MutexGuard<'_, HashMap<SocketAddr, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt until what is returned is dropped.
    pub fn begin(self: &Arc<InFlightAttempts>, server: SocketAddr) -> InFlightAttempt {
        *self.by_server().entry(server).or_insert(0) += 1;
        InFlightAttempt { of: self.clone(), server }
    }

    /// How many there are now, by server.
    pub fn snapshot(&self) -> HashMap<SocketAddr, usize> {
        self.by_server().clone()
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut by_server = self.of.by_server();
        if let Some(count) = by_server.get_mut(&self.server) {
            *count -= 1;
            if *count == 0 {
                // Servers come and go: nothing is kept of those without an attempt.
                by_server.remove(&self.server);
            }
        }
    }
}

/// A server whose two figures differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Difference {
    pub server: SocketAddr,
    pub believed: usize,
    pub open: usize,
}

/// Compares both now and then; reports what differed in the same direction in two comparisons in a row.
#[derive(Debug, Default)]
pub struct Comparison {
    /// By server: whether more was believed than open, last time.
    more_believed: HashMap<SocketAddr, bool>,
}

impl Comparison {
    /// One comparison; gives what lasts.
    pub fn compare(
        &mut self,
        believed: &BTreeMap<SocketAddr, usize>,
        open: &HashMap<SocketAddr, usize>,
    ) -> Vec<Difference> {
        let mut now = HashMap::new();
        let mut lasting = Vec::new();
        for server in believed.keys().chain(open.keys()) {
            let believed = *believed.get(server).unwrap_or(&0);
            let open = *open.get(server).unwrap_or(&0);
            let first_seen = believed != open && now.insert(*server, believed > open).is_none();
            if first_seen && self.more_believed.get(server) == now.get(server) {
                lasting.push(Difference { server: *server, believed, open });
            }
        }
        self.more_believed = now;
        lasting.sort_unstable_by_key(|difference| difference.server);
        lasting
    }
}

#[cfg(test)]
mod tests;
