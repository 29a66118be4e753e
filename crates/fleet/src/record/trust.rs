//! What a keeper may do that can't be sure of its disk.
//!
//! A keeper that has acknowledged an entry and lost it must not help to elect a leader that lacks the entry: it would
//! be forgotten though a majority had it. So it neither votes nor stands for election until it has again all it may
//! have acknowledged. It knows that when a command of its own, [`Order::Rejoin`](super::Order::Rejoin), proposed
//! after its start, comes back to it: whoever leads was elected without its vote or while it was whole, has all that
//! was decided, and puts the command behind that.
//!
//! The leader at its start may still count on entries that are lost here. So it begins in a term above that leader's:
//! the leader steps down when it hears of it, and whoever is elected then asks anew what this keeper has.
//!
//! A disk on which nothing ever was is that of a new fleet, or one that was wiped. It founds a new record only when
//! all other keepers say that theirs is as new.

use std::collections::BTreeSet;

/// Where a keeper stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Nothing was found: waits for the others. Holds who has said that it has nothing either.
    Blank {
        heard: BTreeSet<u64>,
    },
    /// Not all that was acknowledged may be here. Silent until it has heard a term to begin above.
    Waits {
        least_term: u64,
    },
    /// Takes entries, but has no voice in elections until it has rejoined.
    Rejoining,
    Sure,
}

/// What another keeper says of its own record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Holds {
    /// Nothing: blank, or founded and without a vote or an entry since.
    Nothing,
    Something,
}

impl Trust {
    /// What is heard from another keeper while nothing is here. `others`: how many keepers there are beside this one.
    pub fn heard(&mut self, from: u64, holds: Holds, others: usize) {
        let Trust::Blank { heard } = self else { return };
        match holds {
            Holds::Something => *self = Trust::Waits { least_term: 0 },
            Holds::Nothing => {
                heard.insert(from);
                if heard.len() >= others {
                    *self = Trust::Sure;
                }
            }
        }
    }

    /// May vote, and stand for election.
    pub fn has_voice(&self) -> bool {
        *self == Trust::Sure
    }

    /// Takes part in the record at all.
    pub fn takes_part(&self) -> bool {
        matches!(self, Trust::Sure | Trust::Rejoining)
    }
}

#[cfg(test)]
mod tests;
