//! Drives the `raft` library for one keeper and lists in order what to write, send and answer. Does no I/O.
//!
//! Invariant: a write comes before every message that depends on it.

use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::command::{Command, Operation};
use super::log::Log;
use super::state::{Outcome, RecordState};
use super::stored::{BlockKind, DiskWrite, HardState, RecoveredLog, StoredBlocks, Watermark, encode_block};
use super::trust::{LogStatus, Participation};
use crate::name::Name;

/// Ticks between two heartbeats of a leader, and ticks without one before an election; a tick is [`TICK_INTERVAL`].
const HEARTBEAT_TICKS: usize = 2;
const ELECTION_TICKS: usize = 20;
/// Ticks by which the election timeouts of two keepers differ, so that two rarely stand at the same time. Fixed instead
/// of random: the library would use the thread's random numbers, which a test could not replay.
const ELECTION_STAGGER_TICKS: usize = 5;
/// Length of a tick: an election starts 1.25 to 2.25 s after the last heartbeat, far above the longest delay between
/// machines of one fleet and a pause of a busy machine.
pub const TICK_INTERVAL: crate::Micros = 50_000;
/// A snapshot is made after this many entries or bytes. The last entries before it stay for keepers slightly behind.
const COMPACT_AFTER_ENTRIES: u64 = 1024;
const COMPACT_AFTER_BYTES: usize = 4 << 20;
const ENTRIES_KEPT_BEFORE_SNAPSHOT: u64 = 128;
/// Maximum bytes of entries in one message, and messages in flight to one keeper.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// Largest command: a settings text and space for the other fields.
pub const MAX_COMMAND_BYTES: usize = crate::change::MAX_SETTINGS_TEXT_BYTES + (16 << 10);

/// Why a replica cannot go on, or why it rejects a message.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The content of the disk can't be used; the text is for the operator.
    #[error("{0}")]
    Disk(String),
    /// An error of the consensus library.
    #[error("consensus error: {0}")]
    Raft(#[from] raft::Error),
    /// A message that is malformed or not for this keeper.
    #[error("malformed consensus message")]
    MalformedMessage,
}

/// What the caller does next, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// Must be on disk before any later output is carried out.
    Write(Box<DiskWrite>),
    /// A message to the keeper with this number.
    Send { to: u64, message: Vec<u8> },
    /// A command was committed and applied.
    Applied { command: Box<Command>, outcome: Outcome },
    /// The state was replaced by another keeper's snapshot.
    Restored,
    /// This keeper again has all entries it may have acknowledged.
    Rejoined,
}

/// Role of a keeper in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The disk was blank and the other keepers have not answered yet.
    Blank,
    /// Does not vote until it has rejoined.
    Rejoining,
    Follower,
    Candidate,
    Leader,
}

/// State of the replicated log at one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub role: Role,
    /// The leader's number; 0 if no leader is known.
    pub leader: u64,
    pub term: u64,
    pub commit: u64,
    pub applied: u64,
    pub last: u64,
}

/// One keeper's replica of the record.
pub struct Replica {
    id: u64,
    keeper: Name,
    fleet: Name,
    voters: Vec<u64>,
    /// Boot ID of this start; part of this keeper's rejoin command.
    boot: u64,
    start_count: u64,
    node: RawNode<Log>,
    state: RecordState,
    participation: Participation,
    /// Faults found on the disk at start.
    disk_faults: Vec<String>,
    /// Index of the last snapshot, and bytes of entries since.
    snapshot_index: u64,
    bytes_since_snapshot: usize,
    /// The watermark must be written although the log has not changed.
    needs_watermark_write: bool,
    rejoin_ticks: u64,
}

impl Replica {
    /// Starts the keeper with number `id` among `voters` (numbered from 1) from its disk. `boot` identifies this start.
    pub fn new(
        fleet: &Name,
        keeper: &Name,
        id: u64,
        voters: &[u64],
        stored: &StoredBlocks,
        boot: u64,
    ) -> Result<Replica, RecordError> {
        let recovered = stored.recover(fleet, keeper).map_err(RecordError::Disk)?;
        let participation = match (recovered.is_blank, recovered.disk_faults.is_empty()) {
            (true, _) => Participation::Blank { empty_peers: Default::default() },
            (_, true) => Participation::Full,
            (_, false) => Participation::AwaitingTerm { min_term: recovered.hard_state.term },
        };
        let snapshot = recovered.snapshot.as_ref().map_or(0, |(snapshot, _)| snapshot.get_metadata().index);
        let state = recovered
            .snapshot
            .as_ref()
            .map_or_else(|| RecordState::new(fleet.clone()), |(_, state)| state.clone());
        let bytes = recovered.entries.iter().map(|entry| entry.data.len()).sum();
        let node = start_raw_node(id, voters, &recovered, snapshot)?;
        Ok(Replica {
            id,
            keeper: keeper.clone(),
            fleet: fleet.clone(),
            voters: voters.to_vec(),
            boot,
            start_count: recovered.start_count + 1,
            node,
            state,
            participation,
            disk_faults: recovered.disk_faults,
            snapshot_index: snapshot,
            bytes_since_snapshot: bytes,
            needs_watermark_write: true,
            rejoin_ticks: 0,
        })
    }

    /// The state after all applied commands.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    /// Faults found on the disk at start, for the operator.
    pub fn disk_faults(&self) -> &[String] {
        &self.disk_faults
    }

    /// How far this keeper takes part.
    pub fn participation(&self) -> &Participation {
        &self.participation
    }

    /// Role, leader and log indexes, for the operator.
    pub fn status(&self) -> ReplicaStatus {
        let raft = &self.node.raft;
        let role = match (&self.participation, raft.state) {
            (Participation::Blank { .. }, _) => Role::Blank,
            (Participation::AwaitingTerm { .. } | Participation::Rejoining, _) => Role::Rejoining,
            (_, StateRole::Leader) => Role::Leader,
            (_, StateRole::Follower) => Role::Follower,
            _ => Role::Candidate,
        };
        ReplicaStatus {
            role,
            leader: raft.leader_id,
            term: raft.term,
            commit: raft.raft_log.committed,
            applied: raft.raft_log.applied,
            last: raft.raft_log.last_index(),
        }
    }

    /// What this keeper reports of its log to a keeper with a blank disk.
    pub fn log_status(&self) -> LogStatus {
        let raft = &self.node.raft;
        let is_empty = matches!(self.participation, Participation::Blank { .. } | Participation::Full)
            && raft.raft_log.last_index() == 0
            && raft.term == 0;
        if is_empty { LogStatus::Empty } else { LogStatus::NonEmpty }
    }

    /// Takes the log status that another keeper reported.
    pub fn record_peer_status(&mut self, from: u64, log_status: LogStatus) {
        let before = self.participation.clone();
        self.participation.record_peer_status(from, log_status, self.voters.len() - 1);
        self.needs_watermark_write |= before != self.participation;
    }

    /// Advances the time by one tick.
    pub fn tick(&mut self) {
        if self.participation.can_vote() {
            self.node.tick();
        }
        if self.participation == Participation::Rejoining {
            self.propose_rejoin();
        }
    }

    /// Proposes the rejoin command again, every `ELECTION_TICKS` ticks, until it is applied.
    fn propose_rejoin(&mut self) {
        self.rejoin_ticks += 1;
        if self.rejoin_ticks % ELECTION_TICKS as u64 == 1 && self.node.raft.leader_id != 0 {
            let proposer = super::Proposer { name: self.keeper.clone(), run: self.boot };
            let operation = Operation::Rejoin { keeper: self.keeper.clone(), boot: self.boot };
            self.propose(&Command { proposer, number: 1, operation });
        }
    }

    /// Processes a message of another keeper.
    pub fn step(&mut self, message: &[u8]) -> Result<(), RecordError> {
        let message = Message::parse_from_bytes(message).map_err(|_| RecordError::MalformedMessage)?;
        if !self.voters.contains(&message.from) || message.to != self.id || message.from == self.id {
            return Err(RecordError::MalformedMessage);
        }
        if let Participation::AwaitingTerm { min_term } = self.participation {
            self.restart_above_term(min_term.max(message.term))?;
        }
        let requests_vote =
            matches!(message.msg_type, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        if !self.participation.can_replicate() || (requests_vote && !self.participation.can_vote()) {
            return Ok(());
        }
        if raft::raw_node::is_local_msg(message.msg_type) {
            return Err(RecordError::MalformedMessage);
        }
        match self.node.step(message) {
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Restarts in the term after `term`, so that a leader that counts on entries lost here steps down.
    fn restart_above_term(&mut self, term: u64) -> Result<(), RecordError> {
        let log = self.node.store();
        let mut hard_state = log.hard_state();
        (hard_state.term, hard_state.vote) = (term + 1, 0);
        let store = self.node.mut_store();
        store.set_hard_state(hard_state);
        // The library caches the term: create a new node over the same log.
        let applied = self.node.raft.raft_log.applied;
        let empty_log = Log::new(&self.voters, &RecoveredLog::default())?;
        let log = std::mem::replace(self.node.mut_store(), empty_log);
        self.node = new_raw_node(self.id, log, applied)?;
        self.participation = Participation::Rejoining;
        self.needs_watermark_write = true;
        Ok(())
    }

    /// Proposes a command; `false` if no leader is known. The command may still be lost: the caller proposes it again
    /// until it is applied.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else { return false };
        bytes.len() <= MAX_COMMAND_BYTES
            && self.participation.can_replicate()
            && self.node.propose(Vec::new(), bytes).is_ok()
    }

    /// Appends everything that is to be done now to `out`.
    pub fn take_outputs(&mut self, out: &mut Vec<ReplicaOutput>) -> Result<(), RecordError> {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let mut write = DiskWrite::default();
            let mut restored = false;
            let snapshot = ready.snapshot();
            if !snapshot.is_empty() {
                self.restore(snapshot.clone(), &mut write)?;
                restored = true;
            }
            let entries = ready.take_entries();
            if let Some(first) = entries.first() {
                write.truncate_from = Some(first.index);
                self.node.mut_store().append(&entries)?;
                self.bytes_since_snapshot += entries.iter().map(|entry| entry.data.len()).sum::<usize>();
                for entry in &entries {
                    let bytes = entry.write_to_bytes().map_err(|_| RecordError::MalformedMessage)?;
                    write.entries.push((entry.index, encode_block(BlockKind::Entry(entry.index), &bytes)));
                }
            }
            if let Some(hard_state) = ready.hs() {
                let hard_state =
                    HardState { term: hard_state.term, vote: hard_state.vote, commit: hard_state.commit };
                self.node.mut_store().set_hard_state(hard_state);
            }
            let must_write = ready.must_sync() || restored || self.needs_watermark_write;
            if must_write {
                self.write(write, out);
            }
            if restored {
                out.push(ReplicaOutput::Restored);
            }
            let (mut messages, after) = (ready.take_messages(), ready.take_persisted_messages());
            messages.extend(after);
            self.send(messages, out);
            let committed = ready.take_committed_entries();
            self.apply(committed, out);
            let mut light_ready = self.node.advance(ready);
            if let Some(commit) = light_ready.commit_index() {
                let hard_state = self.node.store().hard_state();
                self.node.mut_store().set_hard_state(HardState { commit, ..hard_state });
            }
            self.send(light_ready.take_messages(), out);
            let committed = light_ready.take_committed_entries();
            self.apply(committed, out);
            self.node.advance_apply();
            self.compact(out)?;
        }
        if self.needs_watermark_write {
            self.write(DiskWrite::default(), out);
        }
        self.finish_rejoin(out);
        Ok(())
    }

    /// Adds hard state and watermark to a write and emits it.
    fn write(&mut self, mut write: DiskWrite, out: &mut Vec<ReplicaOutput>) {
        let (hard_state, last) = (self.node.store().hard_state(), self.node.store().last());
        let or_empty = |value: postcard::Result<Vec<u8>>| value.unwrap_or_default();
        write.hard_state =
            Some(encode_block(BlockKind::HardState, &or_empty(postcard::to_stdvec(&hard_state))));
        let watermark = Watermark {
            fleet: self.fleet.clone(),
            keeper: self.keeper.clone(),
            start_count: self.start_count,
            term: hard_state.term,
            vote: hard_state.vote,
            last_position: last,
            is_rejoining: matches!(
                self.participation,
                Participation::AwaitingTerm { .. } | Participation::Rejoining
            ),
        };
        // A blank disk must stay blank: nothing has been acknowledged.
        if matches!(self.participation, Participation::Blank { .. }) {
            self.needs_watermark_write = false;
            return;
        }
        write.watermark = encode_block(BlockKind::Watermark, &or_empty(postcard::to_stdvec(&watermark)));
        self.needs_watermark_write = false;
        out.push(ReplicaOutput::Write(Box::new(write)));
    }

    fn send(&self, messages: Vec<Message>, out: &mut Vec<ReplicaOutput>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                out.push(ReplicaOutput::Send { to: message.to, message: bytes });
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, out: &mut Vec<ReplicaOutput>) {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            // A malformed command is the same at every keeper; all of them skip it.
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { continue };
            let outcome = self.state.apply(entry.index, &command);
            out.push(ReplicaOutput::Applied { command: Box::new(command), outcome });
        }
    }

    /// Ends the rejoin once this keeper's own command has been applied.
    fn finish_rejoin(&mut self, out: &mut Vec<ReplicaOutput>) {
        if self.participation == Participation::Rejoining && self.state.has_rejoined(&self.keeper, self.boot)
        {
            self.participation = Participation::Full;
            self.write(DiskWrite::default(), out);
            out.push(ReplicaOutput::Rejoined);
        }
    }

    /// Replaces state and log by a snapshot.
    fn restore(&mut self, snapshot: Snapshot, write: &mut DiskWrite) -> Result<(), RecordError> {
        self.state = RecordState::decode(snapshot.get_data()).ok_or(RecordError::MalformedMessage)?;
        self.snapshot_index = snapshot.get_metadata().index;
        self.bytes_since_snapshot = 0;
        let bytes = snapshot.write_to_bytes().map_err(|_| RecordError::MalformedMessage)?;
        write.snapshot = Some(encode_block(BlockKind::Snapshot, &bytes));
        // Every existing entry is older than the snapshot or does not follow it.
        write.truncate_from = Some(0);
        self.node.mut_store().apply_snapshot(&snapshot)?;
        Ok(())
    }

    /// Makes a snapshot and drops old entries once a bound is reached.
    fn compact(&mut self, out: &mut Vec<ReplicaOutput>) -> Result<(), RecordError> {
        let applied = self.node.raft.raft_log.applied;
        if applied <= self.snapshot_index + ENTRIES_KEPT_BEFORE_SNAPSHOT {
            return Ok(());
        }
        if applied < self.snapshot_index + COMPACT_AFTER_ENTRIES
            && self.bytes_since_snapshot < COMPACT_AFTER_BYTES
        {
            return Ok(());
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.state.encode().into());
        let meta = snapshot.mut_metadata();
        meta.index = applied;
        meta.term = self.node.raft.raft_log.term(applied)?;
        meta.mut_conf_state().voters = self.voters.clone();
        let bytes = snapshot.write_to_bytes().map_err(|_| RecordError::MalformedMessage)?;
        let first = applied - ENTRIES_KEPT_BEFORE_SNAPSHOT + 1;
        self.node.mut_store().compact(snapshot, first)?;
        (self.snapshot_index, self.bytes_since_snapshot) = (applied, 0);
        let snapshot = Some(encode_block(BlockKind::Snapshot, &bytes));
        self.write(DiskWrite { snapshot, first_index: Some(first), ..DiskWrite::default() }, out);
        Ok(())
    }
}

/// Creates the library's node from a recovered disk.
fn start_raw_node(
    id: u64,
    voters: &[u64],
    recovered: &RecoveredLog,
    applied: u64,
) -> Result<RawNode<Log>, RecordError> {
    Ok(new_raw_node(id, Log::new(voters, recovered)?, applied)?)
}

/// Creates the library's node over a log.
fn new_raw_node(id: u64, log: Log, applied: u64) -> raft::Result<RawNode<Log>> {
    let config = Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        // A range of one value makes the timeout fixed.
        min_election_tick: ELECTION_TICKS + ELECTION_STAGGER_TICKS * id as usize,
        max_election_tick: ELECTION_TICKS + ELECTION_STAGGER_TICKS * id as usize + 1,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    RawNode::new(&config, log, &slog::Logger::root(slog::Discard, slog::o!()))
}
