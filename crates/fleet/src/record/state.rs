//! What the record comes to: a state that every keeper has alike after the same commands.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::command::{Command, MOST_REASON, Order, Proposer};
use crate::change::{BadProposal, Proposal};
use crate::name::Name;

/// Proposers whose last outcome is kept. Guards against growth without end; a proposer that comes back after so many
/// others with an old command would be taken anew.
const MOST_PROPOSERS: usize = 4096;
/// Changes that wait or are under way at most.
const MOST_OPEN: usize = 256;
/// Bytes of all proposals that are kept. Guards against a snapshot over the largest frame: a keeper far behind could never
/// be brought up again.
const MOST_BYTES: usize = 8 << 20;
/// Ended changes that are still shown.
const MOST_ENDED: usize = 64;
/// Scopes at most.
const MOST_SCOPES: usize = 1024;

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change has this number.
    Queued {
        change: u64,
        /// How many of its scope go before it.
        behind: u64,
    },
    Stopped {
        change: u64,
    },
    Rejoined,
    /// It holds not against what the record has; nothing has changed.
    Refused(BadProposal),
    /// An older command than the proposer's last: its outcome is no longer known.
    Outdated,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Waiting,
    Stopped { reason: String },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub number: u64,
    pub by: Proposer,
    pub proposal: Proposal,
    pub phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    number: u64,
    outcome: Outcome,
    /// Position of the command, to forget the oldest.
    at: u64,
}

/// The record's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    fleet: Name,
    /// Commands taken, each counted once.
    taken: u64,
    /// Commands that came again and changed nothing.
    again: u64,
    changes: BTreeMap<u64, Change>,
    next_change: u64,
    proposers: BTreeMap<Proposer, Last>,
    /// By keeper, the boot that rejoined last.
    rejoined: BTreeMap<Name, u64>,
}

impl State {
    pub fn new(fleet: Name) -> State {
        State {
            fleet,
            taken: 0,
            again: 0,
            changes: BTreeMap::new(),
            next_change: 1,
            proposers: BTreeMap::new(),
            rejoined: BTreeMap::new(),
        }
    }

    pub fn fleet(&self) -> &Name {
        &self.fleet
    }

    pub fn taken(&self) -> u64 {
        self.taken
    }

    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    /// Whether this boot of a keeper is in the record.
    pub fn has_rejoined(&self, keeper: &Name, boot: u64) -> bool {
        self.rejoined.get(keeper) == Some(&boot)
    }

    /// Takes the command at this position of the log.
    pub fn apply(&mut self, at: u64, command: &Command) -> Outcome {
        let last = self.proposers.get(&command.proposer);
        if let Some(last) = last.filter(|last| command.number <= last.number) {
            self.again += 1;
            let same = command.number == last.number;
            return if same { last.outcome.clone() } else { Outcome::Outdated };
        }
        self.taken += 1;
        let outcome = self.carry_out(command);
        if self.proposers.len() >= MOST_PROPOSERS && !self.proposers.contains_key(&command.proposer) {
            let oldest = self.proposers.iter().min_by_key(|(_, last)| last.at).map(|(of, _)| of.clone());
            oldest.and_then(|of| self.proposers.remove(&of));
        }
        let last = Last { number: command.number, outcome: outcome.clone(), at };
        self.proposers.insert(command.proposer.clone(), last);
        outcome
    }

    fn carry_out(&mut self, command: &Command) -> Outcome {
        let refused = |key: &str, reason: String| Outcome::Refused(BadProposal { key: key.into(), reason });
        match &command.order {
            Order::Propose(proposal) => {
                if let Err(error) = proposal.check() {
                    return Outcome::Refused(error);
                }
                let open = self.changes.values().filter(|change| change.phase == Phase::Waiting);
                let (mut all, mut behind, mut scopes) = (0, 0, std::collections::BTreeSet::new());
                for change in open {
                    all += 1;
                    behind += u64::from(change.proposal.scope == proposal.scope);
                    scopes.insert(&change.proposal.scope);
                }
                if all >= MOST_OPEN {
                    return refused("queue", format!("{MOST_OPEN} changes wait already"));
                }
                if scopes.len() >= MOST_SCOPES && !scopes.contains(&proposal.scope) {
                    return refused("scope", format!("{MOST_SCOPES} scopes have changes already"));
                }
                if !self.make_room(proposal) {
                    return refused(
                        "queue",
                        format!("the changes that wait hold {MOST_BYTES} bytes already"),
                    );
                }
                let change = self.next_change;
                self.next_change += 1;
                let new = Change {
                    number: change,
                    by: command.proposer.clone(),
                    proposal: (**proposal).clone(),
                    phase: Phase::Waiting,
                };
                self.changes.insert(change, new);
                Outcome::Queued { change, behind }
            }
            Order::Stop { change, reason } => {
                if reason.len() > MOST_REASON {
                    return refused("reason", format!("{} bytes, {MOST_REASON} at most", reason.len()));
                }
                let Some(of) = self.changes.get_mut(change) else {
                    return refused("change", format!("there is no change {change}"));
                };
                if of.phase != Phase::Waiting {
                    return refused("change", format!("change {change} has ended"));
                }
                of.phase = Phase::Stopped { reason: reason.clone() };
                self.forget_ended();
                Outcome::Stopped { change: *change }
            }
            Order::Rejoin { keeper, boot } => {
                self.rejoined.insert(keeper.clone(), *boot);
                Outcome::Rejoined
            }
        }
    }

    /// Whether there is room for one more, ended ones forgotten where it takes that.
    fn make_room(&mut self, new: &Proposal) -> bool {
        let size = |of: &Proposal| postcard::to_stdvec(of).map_or(MOST_BYTES, |bytes| bytes.len());
        let mut all = size(new) + self.changes.values().map(|change| size(&change.proposal)).sum::<usize>();
        while all > MOST_BYTES {
            let ended = self.changes.values().find(|change| change.phase != Phase::Waiting);
            let Some((number, bytes)) = ended.map(|change| (change.number, size(&change.proposal))) else {
                break;
            };
            self.changes.remove(&number);
            all -= bytes;
        }
        all <= MOST_BYTES
    }

    fn forget_ended(&mut self) {
        let ended = |change: &&Change| change.phase != Phase::Waiting;
        let ended: Vec<u64> = self.changes.values().filter(ended).map(|change| change.number).collect();
        for number in ended.iter().take(ended.len().saturating_sub(MOST_ENDED)) {
            self.changes.remove(number);
        }
    }

    /// A digest of all of it: equal at keepers that have taken the same commands.
    pub fn digest(&self) -> String {
        blake3::hash(&self.encode()).to_hex().to_string()
    }

    pub fn encode(&self) -> Vec<u8> {
        // Plain data of bounded size: there is nothing in it that could not be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}
