//! Sessions of MCP clients: which requests of one are out, so that a later message can cancel them.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use elderstage_core::ChainId;
use elderstage_protocol::jsonrpc::Id;

/// Sessions kept; the longest unused goes first. One takes some 200 bytes.
const MOST: usize = 100_000;

#[derive(Default)]
struct Session {
    calls: HashMap<Id, ChainId>,
    used: u64,
}

#[derive(Default)]
struct Table {
    sessions: HashMap<String, Session>,
    by_use: BTreeMap<u64, String>,
    used: u64,
}

pub(crate) struct Sessions {
    table: Mutex<Table>,
    seed: u64,
    /// Keyed by the system's randomness, so that ids cannot be guessed.
    hasher: RandomState,
}

impl Table {
    fn touch(&mut self, id: &str) -> Option<&mut Session> {
        let session = self.sessions.get_mut(id)?;
        self.used += 1;
        self.by_use.remove(&session.used);
        session.used = self.used;
        self.by_use.insert(self.used, id.to_owned());
        Some(session)
    }
}

impl Sessions {
    pub fn new(seed: u64) -> Sessions {
        Sessions { table: Mutex::default(), seed, hasher: RandomState::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a session and gives its id.
    pub fn open(&self) -> String {
        let mut table = self.lock();
        table.used += 1;
        let used = table.used;
        let half = |salt: u64| self.hasher.hash_one((self.seed, used, salt));
        let id = format!("{:016x}{:016x}", half(0), half(1));
        table.sessions.insert(id.clone(), Session { used, ..Session::default() });
        table.by_use.insert(used, id.clone());
        while table.sessions.len() > MOST {
            let Some((_, oldest)) = table.by_use.pop_first() else { break };
            table.sessions.remove(&oldest);
        }
        id
    }

    pub fn known(&self, id: &str) -> bool {
        self.lock().touch(id).is_some()
    }

    pub fn close(&self, id: &str) -> Option<Vec<ChainId>> {
        let mut table = self.lock();
        let session = table.sessions.remove(id)?;
        table.by_use.remove(&session.used);
        Some(session.calls.into_values().collect())
    }

    /// Notes a call; `false` when its id is in use already.
    pub fn begin(&self, session: &str, call: Id, chain: ChainId) -> bool {
        match self.lock().touch(session) {
            Some(session) if session.calls.contains_key(&call) => false,
            Some(session) => {
                session.calls.insert(call, chain);
                true
            }
            None => true,
        }
    }

    pub fn end(&self, session: &str, call: &Id) {
        if let Some(session) = self.lock().sessions.get_mut(session) {
            session.calls.remove(call);
        }
    }

    pub fn find(&self, session: &str, call: &Id) -> Option<ChainId> {
        self.lock().touch(session)?.calls.get(call).copied()
    }
}

#[cfg(test)]
mod tests;
