//! The state machine of the record. Deterministic: all keepers have equal state after the same commands.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::command::{Command, MAX_STOP_REASON_BYTES, Operation, Proposer};
use crate::change::{BadProposal, Proposal};
use crate::name::Name;

/// Proposers whose last outcome is kept, which bounds the state. An old command of a proposer is applied again if it
/// arrives after this many other proposers.
const MAX_PROPOSERS: usize = 4096;
/// Maximum number of changes that wait or are in progress.
const MAX_WAITING_CHANGES: usize = 256;
/// Maximum size of all kept proposals. Keeps a snapshot below the largest frame; otherwise a keeper that is far behind
/// could never catch up.
const MAX_PROPOSAL_BYTES: usize = 8 << 20;
/// Ended changes that are still listed.
const MAX_ENDED_CHANGES: usize = 64;
/// Maximum number of scopes with waiting changes.
const MAX_SCOPES: usize = 1024;

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change was queued under this number.
    Queued {
        change: u64,
        /// Number of waiting changes of the same scope before it.
        behind: u64,
    },
    Stopped {
        change: u64,
    },
    Rejoined,
    /// The command conflicts with the state; nothing has changed.
    Refused(BadProposal),
    /// The proposer has since had a later command applied; the outcome of this one is no longer known.
    Outdated,
}

/// Progress of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Waiting,
    Stopped { reason: String },
}

/// A proposal in the record, with its number and phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub number: u64,
    #[serde(rename = "by")]
    pub proposer: Proposer,
    pub proposal: Proposal,
    pub phase: Phase,
}

/// A proposer's latest command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastCommand {
    number: u64,
    outcome: Outcome,
    /// Log index of the command; the proposer with the lowest one is evicted first.
    #[serde(rename = "at")]
    log_index: u64,
}

/// The replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordState {
    fleet: Name,
    /// Number of distinct commands applied.
    #[serde(rename = "taken")]
    applied_commands: u64,
    /// Number of repeated commands, which changed nothing.
    #[serde(rename = "again")]
    duplicates: u64,
    changes: BTreeMap<u64, Change>,
    next_change: u64,
    proposers: BTreeMap<Proposer, LastCommand>,
    /// By keeper: boot ID of its latest rejoin.
    rejoined: BTreeMap<Name, u64>,
}

impl RecordState {
    /// The empty state of a new record.
    pub fn new(fleet: Name) -> RecordState {
        RecordState {
            fleet,
            applied_commands: 0,
            duplicates: 0,
            changes: BTreeMap::new(),
            next_change: 1,
            proposers: BTreeMap::new(),
            rejoined: BTreeMap::new(),
        }
    }

    /// Name of the fleet.
    pub fn fleet(&self) -> &Name {
        &self.fleet
    }

    /// Number of distinct commands applied.
    pub fn applied_commands(&self) -> u64 {
        self.applied_commands
    }

    /// Changes in ascending order of their numbers.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    /// Whether this boot of a keeper is the latest that rejoined.
    pub fn has_rejoined(&self, keeper: &Name, boot: u64) -> bool {
        self.rejoined.get(keeper) == Some(&boot)
    }

    /// Applies the command at this log index. A repeated command returns its earlier outcome.
    pub fn apply(&mut self, log_index: u64, command: &Command) -> Outcome {
        let last = self.proposers.get(&command.proposer);
        if let Some(last) = last.filter(|last| command.number <= last.number) {
            self.duplicates += 1;
            let same = command.number == last.number;
            return if same { last.outcome.clone() } else { Outcome::Outdated };
        }
        self.applied_commands += 1;
        let outcome = self.execute(command);
        if self.proposers.len() >= MAX_PROPOSERS && !self.proposers.contains_key(&command.proposer) {
            let oldest = self
                .proposers
                .iter()
                .min_by_key(|(_, last)| last.log_index)
                .map(|(proposer, _)| proposer.clone());
            oldest.and_then(|proposer| self.proposers.remove(&proposer));
        }
        let last = LastCommand { number: command.number, outcome: outcome.clone(), log_index };
        self.proposers.insert(command.proposer.clone(), last);
        outcome
    }

    /// Carries out a new command. The reasons of refusals are part of the replicated state: they must be the same at
    /// all keepers.
    fn execute(&mut self, command: &Command) -> Outcome {
        let refused = |key: &str, reason: String| Outcome::Refused(BadProposal { key: key.into(), reason });
        match &command.operation {
            Operation::Propose(proposal) => {
                if let Err(error) = proposal.check() {
                    return Outcome::Refused(error);
                }
                let waiting = self.changes.values().filter(|change| change.phase == Phase::Waiting);
                let (mut total, mut behind, mut scopes) = (0, 0, std::collections::BTreeSet::new());
                for change in waiting {
                    total += 1;
                    behind += u64::from(change.proposal.scope == proposal.scope);
                    scopes.insert(&change.proposal.scope);
                }
                if total >= MAX_WAITING_CHANGES {
                    return refused("queue", format!("{MAX_WAITING_CHANGES} changes wait already"));
                }
                if scopes.len() >= MAX_SCOPES && !scopes.contains(&proposal.scope) {
                    return refused("scope", format!("{MAX_SCOPES} scopes have changes already"));
                }
                if !self.free_proposal_space(proposal) {
                    return refused(
                        "queue",
                        format!("the changes that wait hold {MAX_PROPOSAL_BYTES} bytes already"),
                    );
                }
                let change = self.next_change;
                self.next_change += 1;
                let new = Change {
                    number: change,
                    proposer: command.proposer.clone(),
                    proposal: (**proposal).clone(),
                    phase: Phase::Waiting,
                };
                self.changes.insert(change, new);
                Outcome::Queued { change, behind }
            }
            Operation::Stop { change, reason } => {
                if reason.len() > MAX_STOP_REASON_BYTES {
                    return refused(
                        "reason",
                        format!("{} bytes, {MAX_STOP_REASON_BYTES} at most", reason.len()),
                    );
                }
                let Some(existing) = self.changes.get_mut(change) else {
                    return refused("change", format!("there is no change {change}"));
                };
                if existing.phase != Phase::Waiting {
                    return refused("change", format!("change {change} has ended"));
                }
                existing.phase = Phase::Stopped { reason: reason.clone() };
                self.remove_old_ended_changes();
                Outcome::Stopped { change: *change }
            }
            Operation::Rejoin { keeper, boot } => {
                self.rejoined.insert(keeper.clone(), *boot);
                Outcome::Rejoined
            }
        }
    }

    /// Removes ended changes, oldest first, until `new` fits; `false` if it does not fit.
    fn free_proposal_space(&mut self, new: &Proposal) -> bool {
        let size = |proposal: &Proposal| {
            postcard::to_stdvec(proposal).map_or(MAX_PROPOSAL_BYTES, |bytes| bytes.len())
        };
        let mut total = size(new) + self.changes.values().map(|change| size(&change.proposal)).sum::<usize>();
        while total > MAX_PROPOSAL_BYTES {
            let ended = self.changes.values().find(|change| change.phase != Phase::Waiting);
            let Some((number, bytes)) = ended.map(|change| (change.number, size(&change.proposal))) else {
                break;
            };
            self.changes.remove(&number);
            total -= bytes;
        }
        total <= MAX_PROPOSAL_BYTES
    }

    fn remove_old_ended_changes(&mut self) {
        let ended = |change: &&Change| change.phase != Phase::Waiting;
        let ended: Vec<u64> = self.changes.values().filter(ended).map(|change| change.number).collect();
        for number in ended.iter().take(ended.len().saturating_sub(MAX_ENDED_CHANGES)) {
            self.changes.remove(number);
        }
    }

    /// Digest of the whole state: equal at keepers that applied the same commands.
    pub fn digest(&self) -> String {
        blake3::hash(&self.encode()).to_hex().to_string()
    }

    /// Serializes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data of bounded size does not fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the state of a snapshot; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<RecordState> {
        postcard::from_bytes(bytes).ok()
    }
}
