//! The in-memory log that the `raft` library reads: all entries after the snapshot. It does not write to disk. It stays
//! small because [`super::replica`] compacts it at fixed bounds.

use raft::eraftpb::{ConfState, Entry, HardState as RaftHardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use super::stored::{HardState, RecoveredLog};

/// Raft log, hard state and last snapshot of one keeper.
pub struct Log {
    storage: MemStorage,
    snapshot: Option<Snapshot>,
}

impl Log {
    /// Builds the log of a keeper of this voter set from the content of its disk.
    pub fn new(voters: &[u64], recovered: &RecoveredLog) -> raft::Result<Log> {
        let storage = MemStorage::new_with_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
        let snapshot = recovered.snapshot.as_ref().map(|(snapshot, _)| snapshot.clone());
        {
            let mut core = storage.wl();
            if let Some(snapshot) = &snapshot {
                core.apply_snapshot(snapshot.clone())?;
            }
            core.append(&recovered.entries)?;
        }
        let mut log = Log { storage, snapshot };
        log.set_hard_state(recovered.hard_state);
        Ok(log)
    }

    /// Replaces term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        let mut state = RaftHardState::default();
        (state.term, state.vote, state.commit) = (hard_state.term, hard_state.vote, hard_state.commit);
        self.storage.wl().set_hardstate(state);
    }

    /// Term, vote and commit index.
    pub fn hard_state(&self) -> HardState {
        let core = self.storage.rl();
        let state = core.hard_state();
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    /// Appends entries; they replace existing ones from the first index on.
    pub fn append(&mut self, entries: &[Entry]) -> raft::Result<()> {
        self.storage.wl().append(entries)
    }

    /// Replaces the log by a snapshot from another keeper.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> raft::Result<()> {
        self.storage.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = Some(snapshot.clone());
        Ok(())
    }

    /// Drops the entries before `first`; `snapshot` covers them and possibly later ones.
    pub fn compact(&mut self, snapshot: Snapshot, first: u64) -> raft::Result<()> {
        self.snapshot = Some(snapshot);
        self.storage.wl().compact(first)
    }

    /// Index and term of the last entry, or of the snapshot if there is no entry.
    pub fn last(&self) -> super::stored::LogPosition {
        let index = self.storage.last_index().unwrap_or(0);
        super::stored::LogPosition { index, term: self.storage.term(index).unwrap_or(0) }
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.storage.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.storage.entries(low, high, max_size, context)
    }

    fn term(&self, idx: u64) -> raft::Result<u64> {
        self.storage.term(idx)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.storage.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.storage.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        match &self.snapshot {
            Some(snapshot) if snapshot.get_metadata().index >= request_index => Ok(snapshot.clone()),
            _ => Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
