//! The servers: as the list has them, and as they show themselves.
//!
//! The list says which servers there are, their role, zone and state. A server's own report says when its process
//! started. A start that the list does not know yet is news: the module must treat the server as cold and forget
//! what it kept, seconds before the list says so. The later of the two starts counts, so late news of an older
//! process changes nothing. Costs one number a server; seen as `restarts_seen` in the counters.

use std::collections::BTreeMap;

use elderstage::{Entry, ListMode, ServerId, Time};

/// Starts told within this time are the same start: clocks of list and server differ a little.
const SAME_START: Time = 1_000_000;

#[derive(Clone, Debug, Default)]
pub struct Members {
    entries: BTreeMap<ServerId, Entry>,
    seen: BTreeMap<ServerId, Time>,
}

impl Members {
    /// Takes a list and gives it back with the starts that the servers themselves have told.
    pub fn list(&mut self, mode: ListMode, mut entries: Vec<Entry>) -> Vec<Entry> {
        if matches!(mode, ListMode::Full | ListMode::Restored) {
            self.entries.clear();
        }
        for entry in &mut entries {
            if let Some(seen) = self.seen.get(&entry.server) {
                let same = entry.ready_at.abs_diff(*seen) < SAME_START;
                if same || *seen > entry.ready_at {
                    entry.ready_at = *seen;
                }
            }
            self.entries.insert(entry.server.clone(), entry.clone());
        }
        if matches!(mode, ListMode::Full | ListMode::Restored) {
            self.seen.retain(|server, _| self.entries.contains_key(server));
        }
        entries
    }

    pub fn get(&self, server: &ServerId) -> Option<&Entry> {
        self.entries.get(server)
    }

    /// Takes a start that a server has told of itself. An entry comes back when it is news. `long_ago`: starts
    /// before it are those of warm servers, which the list tells as 0.
    pub fn started(&mut self, server: &ServerId, at: Time, long_ago: Time) -> Option<Entry> {
        let entry = self.entries.get_mut(server)?;
        let known = self.seen.get(server).copied().unwrap_or(0).max(entry.ready_at);
        if at <= long_ago || at < known + SAME_START {
            return None;
        }
        self.seen.insert(server.clone(), at);
        entry.ready_at = at;
        Some(entry.clone())
    }
}

#[cfg(test)]
mod tests;
