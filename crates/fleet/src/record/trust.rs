//! What a keeper may do while its disk may lack entries that it acknowledged.
//!
//! A keeper that acknowledged an entry and lost it must not help to elect a leader that lacks the entry: the entry
//! would be forgotten although a majority had it. So the keeper neither votes nor stands for election until it again
//! has everything it may have acknowledged. It knows that it has when its own command
//! [`Operation::Rejoin`](super::Operation::Rejoin), proposed after its start, is applied here: the current leader was
//! elected without this keeper's vote or while its disk was complete, has all committed entries, and appends the
//! command behind them.
//!
//! The leader at the time of the start may still count on entries that are lost here. So the keeper starts in a term
//! above that leader's: the leader steps down when it learns of the term, and the next leader asks again which entries
//! this keeper has.
//!
//! A blank disk belongs either to a new fleet or to a keeper whose disk was wiped. Its keeper starts a new record only
//! when all other keepers say that theirs is empty too.

use std::collections::BTreeSet;

/// How far a keeper takes part in the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Participation {
    /// The disk was blank: waits for the other keepers. Holds the numbers of those that reported an empty log.
    Blank { empty_peers: BTreeSet<u64> },
    /// Acknowledged entries may be missing. Sends nothing until a message shows a term to start above.
    AwaitingTerm { min_term: u64 },
    /// Accepts entries, but neither votes nor stands for election until it has rejoined.
    Rejoining,
    /// Votes and stands for election.
    Full,
}

/// What a keeper reports of its own log to a keeper with a blank disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LogStatus {
    /// A blank disk, or a new record without a vote or an entry so far.
    #[serde(rename = "Nothing")]
    Empty,
    /// Any other state.
    #[serde(rename = "Something")]
    NonEmpty,
}

impl Participation {
    /// Takes the log status that keeper `from` reported; has an effect only while the disk is blank. `other_keepers` is
    /// the number of keepers besides this one.
    pub fn record_peer_status(&mut self, from: u64, status: LogStatus, other_keepers: usize) {
        let Participation::Blank { empty_peers } = self else { return };
        match status {
            LogStatus::NonEmpty => *self = Participation::AwaitingTerm { min_term: 0 },
            LogStatus::Empty => {
                empty_peers.insert(from);
                if empty_peers.len() >= other_keepers {
                    *self = Participation::Full;
                }
            }
        }
    }

    /// Whether this keeper may vote and stand for election.
    pub fn can_vote(&self) -> bool {
        *self == Participation::Full
    }

    /// Whether this keeper accepts entries and sends messages.
    pub fn can_replicate(&self) -> bool {
        matches!(self, Participation::Full | Participation::Rejoining)
    }
}

#[cfg(test)]
mod tests;
