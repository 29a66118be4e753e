//! One keeper's part in the record: drives the library, and says what is to be written, sent and answered, in order.

use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::command::{Command, Order};
use super::log::Log;
use super::state::{Outcome, State};
use super::stored::{Found, Hard, Mark, Seal, Stored, Write, seal};
use super::trust::{Holds, Trust};
use crate::name::Name;

/// Ticks between a leader's heartbeats, and without one before an election; a tick is [`TICK`].
const HEARTBEAT: usize = 2;
const ELECTION: usize = 20;
/// Ticks by which the elections of two keepers differ, so that two rarely stand at the same time. Fixed and not
/// drawn: the library draws from the thread's random numbers, which could not be replayed.
const APART: usize = 5;
/// Time of a tick, in microseconds: a leader is missed after 1.25 to 2.25 s, far over the longest delay between machines of
/// one fleet, and a pause of a busy machine.
pub const TICK: crate::Time = 50_000;
/// A snapshot is made after so many entries or bytes; so many entries before it stay for keepers a little behind.
const COMPACT_AFTER: u64 = 1024;
const COMPACT_BYTES: usize = 4 << 20;
const KEEP: u64 = 128;
/// Largest message of entries, and entries in flight to one keeper.
const MESSAGE_BYTES: u64 = 1 << 20;
const IN_FLIGHT: usize = 64;
/// Largest command: a proposal's text and room for the rest.
pub const MOST_COMMAND: usize = crate::change::MOST_TEXT + (16 << 10);

#[derive(Debug, Error)]
pub enum RecordError {
    /// The disk can't be used; in words for the operator.
    #[error("{0}")]
    Disk(String),
    #[error("the record: {0}")]
    Raft(#[from] raft::Error),
    #[error("a message that can't be read")]
    Garbled,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// On the disk before anything after it.
    Write(Box<Write>),
    /// To the keeper with this number.
    Send { to: u64, message: Vec<u8> },
    /// A command has its place in the record.
    Applied { command: Box<Command>, outcome: Outcome },
    /// The state has come whole from another keeper.
    Restored,
    /// This keeper can be sure of its record again.
    Rejoined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Nothing is known yet.
    Blank,
    /// Has no voice until it has rejoined.
    Rejoining,
    Follower,
    Candidate,
    Leader,
}

/// How the record stands at this keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub role: Role,
    /// The leader's number; 0 where none is known.
    pub leader: u64,
    pub term: u64,
    pub commit: u64,
    pub applied: u64,
    pub last: u64,
}

pub struct Replica {
    me: u64,
    keeper: Name,
    fleet: Name,
    voters: Vec<u64>,
    /// Number of this start; part of this keeper's rejoin.
    boot: u64,
    starts: u64,
    raw: RawNode<Log>,
    state: State,
    trust: Trust,
    /// What was wrong with the disk.
    doubts: Vec<String>,
    /// Position of the last snapshot, and bytes of entries since.
    snapshot: u64,
    bytes: usize,
    /// The mark is to be written though the log has not changed.
    mark_due: bool,
    rejoins: u64,
}

impl Replica {
    /// A keeper with this number among `voters` (1 and up), from its disk. `boot` tells this start from all others.
    pub fn new(
        fleet: &Name,
        keeper: &Name,
        me: u64,
        voters: &[u64],
        stored: &Stored,
        boot: u64,
    ) -> Result<Replica, RecordError> {
        let found = stored.read(fleet, keeper).map_err(RecordError::Disk)?;
        let trust = match (found.blank, found.doubts.is_empty()) {
            (true, _) => Trust::Blank { heard: Default::default() },
            (_, true) => Trust::Sure,
            (_, false) => Trust::Waits { least_term: found.hard.term },
        };
        let snapshot = found.snapshot.as_ref().map_or(0, |(snapshot, _)| snapshot.get_metadata().index);
        let state =
            found.snapshot.as_ref().map_or_else(|| State::new(fleet.clone()), |(_, state)| state.clone());
        let bytes = found.entries.iter().map(|entry| entry.data.len()).sum();
        let raw = start(me, voters, &found, snapshot)?;
        Ok(Replica {
            me,
            keeper: keeper.clone(),
            fleet: fleet.clone(),
            voters: voters.to_vec(),
            boot,
            starts: found.starts + 1,
            raw,
            state,
            trust,
            doubts: found.doubts,
            snapshot,
            bytes,
            mark_due: true,
            rejoins: 0,
        })
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// What was wrong with the disk, for the operator.
    pub fn doubts(&self) -> &[String] {
        &self.doubts
    }

    pub fn trust(&self) -> &Trust {
        &self.trust
    }

    pub fn standing(&self) -> Standing {
        let raft = &self.raw.raft;
        let role = match (&self.trust, raft.state) {
            (Trust::Blank { .. }, _) => Role::Blank,
            (Trust::Waits { .. } | Trust::Rejoining, _) => Role::Rejoining,
            (_, StateRole::Leader) => Role::Leader,
            (_, StateRole::Follower) => Role::Follower,
            _ => Role::Candidate,
        };
        Standing {
            role,
            leader: raft.leader_id,
            term: raft.term,
            commit: raft.raft_log.committed,
            applied: raft.raft_log.applied,
            last: raft.raft_log.last_index(),
        }
    }

    /// What this keeper says of its own record to one that has nothing.
    pub fn holds(&self) -> Holds {
        let raft = &self.raw.raft;
        let nothing = matches!(self.trust, Trust::Blank { .. } | Trust::Sure)
            && raft.raft_log.last_index() == 0
            && raft.term == 0;
        if nothing { Holds::Nothing } else { Holds::Something }
    }

    /// Another keeper's word on its record.
    pub fn heard(&mut self, from: u64, holds: Holds) {
        let before = self.trust.clone();
        self.trust.heard(from, holds, self.voters.len() - 1);
        self.mark_due |= before != self.trust;
    }

    pub fn tick(&mut self) {
        if self.trust.has_voice() {
            self.raw.tick();
        }
        if self.trust == Trust::Rejoining {
            self.rejoin();
        }
    }

    /// Says again that it begins anew, until it comes back.
    fn rejoin(&mut self) {
        self.rejoins += 1;
        if self.rejoins % ELECTION as u64 == 1 && self.raw.raft.leader_id != 0 {
            let proposer = super::Proposer { name: self.keeper.clone(), run: self.boot };
            let order = Order::Rejoin { keeper: self.keeper.clone(), boot: self.boot };
            self.propose(&Command { proposer, number: 1, order });
        }
    }

    /// A message of another keeper.
    pub fn step(&mut self, message: &[u8]) -> Result<(), RecordError> {
        let message = Message::parse_from_bytes(message).map_err(|_| RecordError::Garbled)?;
        if !self.voters.contains(&message.from) || message.to != self.me || message.from == self.me {
            return Err(RecordError::Garbled);
        }
        if let Trust::Waits { least_term } = self.trust {
            self.begin_above(least_term.max(message.term))?;
        }
        let asks = matches!(message.msg_type, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        if !self.trust.takes_part() || (asks && !self.trust.has_voice()) {
            return Ok(());
        }
        if raft::raw_node::is_local_msg(message.msg_type) {
            return Err(RecordError::Garbled);
        }
        match self.raw.step(message) {
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Begins in the term after this one, so that a leader that counts on what is lost here steps down.
    fn begin_above(&mut self, term: u64) -> Result<(), RecordError> {
        let log = self.raw.store();
        let mut hard = log.hard();
        (hard.term, hard.vote) = (term + 1, 0);
        let store = self.raw.mut_store();
        store.set_hard(hard);
        // The library keeps a copy of the term: start it anew over the same log.
        let applied = self.raw.raft.raft_log.applied;
        let fresh = Log::new(&self.voters, &Found::default())?;
        let log = std::mem::replace(self.raw.mut_store(), fresh);
        self.raw = begin(self.me, log, applied)?;
        self.trust = Trust::Rejoining;
        self.mark_due = true;
        Ok(())
    }

    /// Brings a command on its way: `false` where no leader is known. It may still be lost: it is sent again until it
    /// has its place.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else { return false };
        bytes.len() <= MOST_COMMAND && self.trust.takes_part() && self.raw.propose(Vec::new(), bytes).is_ok()
    }

    /// All that is to be done now.
    pub fn steps(&mut self, out: &mut Vec<Step>) -> Result<(), RecordError> {
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            let mut write = Write::default();
            let mut restored = false;
            let snapshot = ready.snapshot();
            if !snapshot.is_empty() {
                self.restore(snapshot.clone(), &mut write)?;
                restored = true;
            }
            let entries = ready.take_entries();
            if let Some(first) = entries.first() {
                write.cut_from = Some(first.index);
                self.raw.mut_store().append(&entries)?;
                self.bytes += entries.iter().map(|entry| entry.data.len()).sum::<usize>();
                for entry in &entries {
                    let bytes = entry.write_to_bytes().map_err(|_| RecordError::Garbled)?;
                    write.entries.push((entry.index, seal(Seal::Entry(entry.index), &bytes)));
                }
            }
            if let Some(hard) = ready.hs() {
                let hard = Hard { term: hard.term, vote: hard.vote, commit: hard.commit };
                self.raw.mut_store().set_hard(hard);
            }
            let must = ready.must_sync() || restored || self.mark_due;
            if must {
                self.write(write, out);
            }
            if restored {
                out.push(Step::Restored);
            }
            let (mut messages, after) = (ready.take_messages(), ready.take_persisted_messages());
            messages.extend(after);
            self.send(messages, out);
            let committed = ready.take_committed_entries();
            self.apply(committed, out);
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                let hard = self.raw.store().hard();
                self.raw.mut_store().set_hard(Hard { commit, ..hard });
            }
            self.send(light.take_messages(), out);
            let committed = light.take_committed_entries();
            self.apply(committed, out);
            self.raw.advance_apply();
            self.compact(out)?;
        }
        if self.mark_due {
            self.write(Write::default(), out);
        }
        self.settle(out);
        Ok(())
    }

    fn write(&mut self, mut write: Write, out: &mut Vec<Step>) {
        let (hard, last) = (self.raw.store().hard(), self.raw.store().last());
        let of = |value: postcard::Result<Vec<u8>>| value.unwrap_or_default();
        write.hard = Some(seal(Seal::Hard, &of(postcard::to_stdvec(&hard))));
        let mark = Mark {
            fleet: self.fleet.clone(),
            keeper: self.keeper.clone(),
            starts: self.starts,
            term: hard.term,
            vote: hard.vote,
            last,
            doubt: matches!(self.trust, Trust::Waits { .. } | Trust::Rejoining),
        };
        // Nothing is vouched for on a blank disk: it must be found blank again.
        if matches!(self.trust, Trust::Blank { .. }) {
            self.mark_due = false;
            return;
        }
        write.mark = seal(Seal::Mark, &of(postcard::to_stdvec(&mark)));
        self.mark_due = false;
        out.push(Step::Write(Box::new(write)));
    }

    fn send(&self, messages: Vec<Message>, out: &mut Vec<Step>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                out.push(Step::Send { to: message.to, message: bytes });
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, out: &mut Vec<Step>) {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            // What does not read is the same at every keeper: it changes nothing anywhere.
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { continue };
            let outcome = self.state.apply(entry.index, &command);
            out.push(Step::Applied { command: Box::new(command), outcome });
        }
    }

    /// Whether what it may have forgotten has come back.
    fn settle(&mut self, out: &mut Vec<Step>) {
        if self.trust == Trust::Rejoining && self.state.has_rejoined(&self.keeper, self.boot) {
            self.trust = Trust::Sure;
            self.write(Write::default(), out);
            out.push(Step::Rejoined);
        }
    }

    fn restore(&mut self, snapshot: Snapshot, write: &mut Write) -> Result<(), RecordError> {
        self.state = State::decode(snapshot.get_data()).ok_or(RecordError::Garbled)?;
        self.snapshot = snapshot.get_metadata().index;
        self.bytes = 0;
        let bytes = snapshot.write_to_bytes().map_err(|_| RecordError::Garbled)?;
        write.snapshot = Some(seal(Seal::Snapshot, &bytes));
        // All entries are older than the snapshot, or do not follow it.
        write.cut_from = Some(0);
        self.raw.mut_store().apply_snapshot(&snapshot)?;
        Ok(())
    }

    fn compact(&mut self, out: &mut Vec<Step>) -> Result<(), RecordError> {
        let applied = self.raw.raft.raft_log.applied;
        if applied <= self.snapshot + KEEP {
            return Ok(());
        }
        if applied < self.snapshot + COMPACT_AFTER && self.bytes < COMPACT_BYTES {
            return Ok(());
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.state.encode().into());
        let meta = snapshot.mut_metadata();
        meta.index = applied;
        meta.term = self.raw.raft.raft_log.term(applied)?;
        meta.mut_conf_state().voters = self.voters.clone();
        let bytes = snapshot.write_to_bytes().map_err(|_| RecordError::Garbled)?;
        let first = applied - KEEP + 1;
        self.raw.mut_store().compact(snapshot, first)?;
        (self.snapshot, self.bytes) = (applied, 0);
        let snapshot = Some(seal(Seal::Snapshot, &bytes));
        self.write(Write { snapshot, first: Some(first), ..Write::default() }, out);
        Ok(())
    }
}

fn start(me: u64, voters: &[u64], found: &Found, applied: u64) -> Result<RawNode<Log>, RecordError> {
    Ok(begin(me, Log::new(voters, found)?, applied)?)
}

fn begin(me: u64, log: Log, applied: u64) -> raft::Result<RawNode<Log>> {
    let config = Config {
        id: me,
        election_tick: ELECTION,
        heartbeat_tick: HEARTBEAT,
        // Drawn from a range that holds one.
        min_election_tick: ELECTION + APART * me as usize,
        max_election_tick: ELECTION + APART * me as usize + 1,
        applied,
        max_size_per_msg: MESSAGE_BYTES,
        max_inflight_msgs: IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    RawNode::new(&config, log, &slog::Logger::root(slog::Discard, slog::o!()))
}
