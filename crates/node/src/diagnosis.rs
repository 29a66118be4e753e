//! Diagnosis of lost attempts: compares the hub's count of attempts in flight with the connections that carry
//! attempts. The two may differ while a connection is being made or an event waits for the event loop, but no
//! longer. This module only reports differences; it corrects nothing.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of connections that carry an attempt at present, by server address.
#[derive(Debug, Default)]
pub struct InFlightAttempts(Mutex<HashMap<SocketAddr, usize>>);

/// One counted attempt. Dropping it ends the count.
#[derive(Debug)]
pub struct InFlightAttempt {
    all: Arc<InFlightAttempts>,
    server: SocketAddr,
}

impl InFlightAttempts {
    fn by_server(&self) -> MutexGuard<'_, HashMap<SocketAddr, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt until the returned value is dropped.
    pub fn begin(self: &Arc<InFlightAttempts>, server: SocketAddr) -> InFlightAttempt {
        *self.by_server().entry(server).or_insert(0) += 1;
        InFlightAttempt { all: self.clone(), server }
    }

    /// The current counts by server.
    pub fn snapshot(&self) -> HashMap<SocketAddr, usize> {
        self.by_server().clone()
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut by_server = self.all.by_server();
        if let Some(count) = by_server.get_mut(&self.server) {
            *count -= 1;
            if *count == 0 {
                // Servers come and go, so entries without an attempt would accumulate.
                by_server.remove(&self.server);
            }
        }
    }
}

/// A server whose two counts differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Difference {
    pub server: SocketAddr,
    /// Attempts in flight according to the hub.
    pub believed: usize,
    /// Connections that carry an attempt.
    pub open: usize,
}

/// Compares the counts at intervals. Reports a server whose counts differed in the same direction in two
/// comparisons in a row.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Servers that differed last time: whether the hub's count was the higher one.
    hub_was_higher: HashMap<SocketAddr, bool>,
}

impl Comparison {
    /// Makes one comparison and returns the differences that persist.
    pub fn compare(
        &mut self,
        believed: &BTreeMap<SocketAddr, usize>,
        open: &HashMap<SocketAddr, usize>,
    ) -> Vec<Difference> {
        let mut now = HashMap::new();
        let mut persistent = Vec::new();
        for server in believed.keys().chain(open.keys()) {
            let believed = *believed.get(server).unwrap_or(&0);
            let open = *open.get(server).unwrap_or(&0);
            let is_new_difference = believed != open && now.insert(*server, believed > open).is_none();
            if is_new_difference && self.hub_was_higher.get(server) == now.get(server) {
                persistent.push(Difference { server: *server, believed, open });
            }
        }
        self.hub_was_higher = now;
        persistent.sort_unstable_by_key(|difference| difference.server);
        persistent
    }
}

#[cfg(test)]
mod tests;
