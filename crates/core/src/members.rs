//! The servers on the list, with the start times that they report themselves.
//!
//! The list names the servers with their role, zone and state. A server's own load report says when its
//! process started. A restart shows there seconds before the list has it; from then on the router must treat
//! the server as cold, with nothing cached. The later of the two start times counts, so a late report of an
//! older process changes nothing. The cost is one number for each server. Restarts are counted as
//! `restarts_seen`.

use std::collections::BTreeMap;

use elderstage::{ListMode, ServerEntry, ServerId, Time};

/// Start times that differ by less than this, in microseconds, are one start: the clocks of the list and of
/// the server differ slightly.
const START_TOLERANCE: Time = 1_000_000;

/// The listed servers and their reported starts.
#[derive(Clone, Debug, Default)]
pub struct Members {
    entries: BTreeMap<ServerId, ServerEntry>,
    reported_starts: BTreeMap<ServerId, Time>,
}

impl Members {
    /// Applies a list, and returns it with the start times that the servers reported themselves.
    pub fn apply_list(&mut self, mode: ListMode, mut entries: Vec<ServerEntry>) -> Vec<ServerEntry> {
        if matches!(mode, ListMode::Full | ListMode::Restored) {
            self.entries.clear();
        }
        for entry in &mut entries {
            if let Some(reported) = self.reported_starts.get(&entry.server) {
                let is_same_start = entry.ready_at.abs_diff(*reported) < START_TOLERANCE;
                if is_same_start || *reported > entry.ready_at {
                    entry.ready_at = *reported;
                }
            }
            self.entries.insert(entry.server.clone(), entry.clone());
        }
        if matches!(mode, ListMode::Full | ListMode::Restored) {
            self.reported_starts.retain(|server, _| self.entries.contains_key(server));
        }
        entries
    }

    /// The listed entry of a server.
    pub fn get(&self, server: &ServerId) -> Option<&ServerEntry> {
        self.entries.get(server)
    }

    /// Records a start time that a server reported. Returns the changed entry if the start is new. A server
    /// that started before `long_ago` counts as warm; the list gives 0 as its start time.
    pub fn record_start(&mut self, server: &ServerId, at: Time, long_ago: Time) -> Option<ServerEntry> {
        let entry = self.entries.get_mut(server)?;
        let known = self.reported_starts.get(server).copied().unwrap_or(0).max(entry.ready_at);
        if at <= long_ago || at < known + START_TOLERANCE {
            return None;
        }
        self.reported_starts.insert(server.clone(), at);
        entry.ready_at = at;
        Some(entry.clone())
    }
}

#[cfg(test)]
mod tests;
