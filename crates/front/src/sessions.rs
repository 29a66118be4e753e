//! Sessions of MCP clients: the running calls of each, so that a later message can cancel them.
//!
//! A session lives until its client closes it or until too many newer ones are in use. Its id cannot be guessed.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use elderstage_core::ChainId;
use elderstage_protocol::jsonrpc::Id;

/// Most sessions kept; the least recently used is removed first. One takes about 200 bytes.
const MAX_SESSIONS: usize = 100_000;

/// One session: its running calls, and the number of its last use.
#[derive(Default)]
struct Session {
    calls: HashMap<Id, ChainId>,
    last_use: u64,
}

/// All sessions, by id and in the order of their last use.
#[derive(Default)]
struct SessionTable {
    sessions: HashMap<String, Session>,
    by_use: BTreeMap<u64, String>,
    /// Number of uses so far.
    uses: u64,
}

/// The sessions of a front, shared by its coroutines.
pub(crate) struct Sessions {
    table: Mutex<SessionTable>,
    seed: u64,
    /// Its keys come from the system's random source, so that ids cannot be guessed.
    hasher: RandomState,
}

impl SessionTable {
    /// Finds a session and marks it as the most recently used.
    fn touch(&mut self, id: &str) -> Option<&mut Session> {
        let session = self.sessions.get_mut(id)?;
        self.uses += 1;
        self.by_use.remove(&session.last_use);
        session.last_use = self.uses;
        self.by_use.insert(self.uses, id.to_owned());
        Some(session)
    }
}

impl Sessions {
    /// A table without sessions. The seed is one input of the ids.
    pub fn new(seed: u64) -> Sessions {
        Sessions { table: Mutex::default(), seed, hasher: RandomState::new() }
    }

    fn lock(&self) -> MutexGuard<'_, SessionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a session and returns its id.
    pub fn open(&self) -> String {
        let mut table = self.lock();
        table.uses += 1;
        let last_use = table.uses;
        let half = |salt: u64| self.hasher.hash_one((self.seed, last_use, salt));
        let id = format!("{:016x}{:016x}", half(0), half(1));
        table.sessions.insert(id.clone(), Session { last_use, ..Session::default() });
        table.by_use.insert(last_use, id.clone());
        while table.sessions.len() > MAX_SESSIONS {
            let Some((_, oldest)) = table.by_use.pop_first() else { break };
            table.sessions.remove(&oldest);
        }
        id
    }

    /// Whether the session exists. Counts as a use.
    pub fn contains(&self, id: &str) -> bool {
        self.lock().touch(id).is_some()
    }

    /// Removes a session and returns its running calls.
    pub fn close(&self, id: &str) -> Option<Vec<ChainId>> {
        let mut table = self.lock();
        let session = table.sessions.remove(id)?;
        table.by_use.remove(&session.last_use);
        Some(session.calls.into_values().collect())
    }

    /// Records a running call. Returns `false` if the session already has a call with this id.
    pub fn begin_call(&self, session: &str, call: Id, chain: ChainId) -> bool {
        match self.lock().touch(session) {
            Some(session) if session.calls.contains_key(&call) => false,
            Some(session) => {
                session.calls.insert(call, chain);
                true
            }
            None => true,
        }
    }

    /// Removes a call that has ended.
    pub fn end_call(&self, session: &str, call: &Id) {
        if let Some(session) = self.lock().sessions.get_mut(session) {
            session.calls.remove(call);
        }
    }

    /// Finds the running call with this id.
    pub fn find_call(&self, session: &str, call: &Id) -> Option<ChainId> {
        self.lock().touch(session)?.calls.get(call).copied()
    }
}

#[cfg(test)]
mod tests;
