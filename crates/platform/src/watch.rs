//! The watch on discovery, free of I/O: what its bytes tell, when it is held to be broken, and when it is taken up anew.
//!
//! One clock for silence. The head of an answer comes at once, since the agent is on the node's own machine, and an empty
//! line at least every [`HEARTBEAT`]; a watch that keeps to neither is broken, whatever TCP says of its connection, and what
//! it misses counts as told a few seconds later. While discovery is down its agent is silent, and what that learns at the
//! return counts at once: so a new watch is tried all the time. Tries are [`RETRY_SPACING`] from beginning to beginning, so that
//! one that is ended as soon as it is opened does not keep the node busy. At 350 nodes each talks to an agent of its own.

use elderstage::Time;
use elderstage::settings::Names;
use thiserror::Error;

use crate::list::{Directory, List, ListError};
use crate::values::{Found, NoValue, Values};

/// Wait for the head of an answer.
const HEAD_TIMEOUT: Time = 300_000;
/// An empty line comes as often, where nothing changes.
const HEARTBEAT: Time = 2_000_000;
/// What a line may be late on a busy machine. With the wait for a new head a broken watch is replaced within 3 s.
const HEARTBEAT_SLACK: Time = 500_000;
/// Least time between the beginnings of two tries.
const RETRY_SPACING: Time = 100_000;

/// A discovery that tells nothing but older versions for so long numbers them anew: half of the time after which what it
/// has counts as told. Until then it is one that has not caught up, and what it tells would undo what is known.
const RENUMBERED_AFTER: Time = 3_000_000;

/// Why a watch is of no more use.
#[derive(Debug, Error)]
pub enum Spoilt {
    #[error("version {found} after {known}: whole lists are asked for until it has caught up")]
    Older { found: u64, known: u64 },
    #[error("a list that can't be read: {0}")]
    List(#[from] ListError),
    #[error("a list that can't be read: {0}")]
    Value(#[from] NoValue),
}

/// One watch after the other.
#[derive(Debug)]
pub struct Watch {
    /// The version from which the next watch asks.
    seq: u64,
    /// The newest version that was taken.
    newest: u64,
    /// Since when nothing but older versions was told.
    older_since: Option<Time>,
    values: Values,
    begun: Time,
    deadline: Time,
}

impl Watch {
    /// `seq`: version of the list that the node knows; 0 for none.
    pub fn new(seq: u64) -> Watch {
        Watch { seq, newest: seq, older_since: None, values: Values::default(), begun: 0, deadline: 0 }
    }

    /// A watch is being opened; it is to be asked for from this version on.
    pub fn begin(&mut self, now: Time) -> u64 {
        self.values = Values::default();
        (self.begun, self.deadline) = (now, now + HEAD_TIMEOUT);
        self.seq
    }

    /// The head of its answer has come.
    pub fn answered(&mut self, now: Time) {
        self.deadline = now + HEARTBEAT + HEARTBEAT_SLACK;
    }

    /// Bytes of its body have come: the lists that are whole. After an error the next watch begins with the whole list,
    /// so that nothing is lost that this one told.
    pub fn take(&mut self, now: Time, bytes: &[u8], names: &Names) -> Result<Vec<List>, Spoilt> {
        let mut lists = Vec::new();
        self.values.push(bytes);
        let taken = self.lists(now, names, &mut lists);
        taken.inspect_err(|_| self.seq = 0)?;
        Ok(lists)
    }

    fn lists(&mut self, now: Time, names: &Names, lists: &mut Vec<List>) -> Result<(), Spoilt> {
        while let Some(found) = self.values.next_found()? {
            // Half a list that never ends is no sign of life.
            self.deadline = now + HEARTBEAT + HEARTBEAT_SLACK;
            if let Found::Object(text) = found {
                let list = Directory::parse(&text, names)?;
                self.follows(now, &list)?;
                self.seq = list.seq;
                lists.push(list);
            }
        }
        Ok(())
    }

    /// Whether a list may be taken after what is known: an older one would undo a drain that was told.
    fn follows(&mut self, now: Time, list: &List) -> Result<(), Spoilt> {
        if list.seq < self.newest {
            let since = *self.older_since.get_or_insert(now);
            if !(list.whole && now >= since + RENUMBERED_AFTER) {
                return Err(Spoilt::Older { found: list.seq, known: self.newest });
            }
        }
        self.older_since = None;
        self.newest = list.seq;
        Ok(())
    }

    /// When it is broken, if nothing whole comes before.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// It has ended or is broken: when the next one may be opened.
    pub fn retry_at(&self, now: Time) -> Time {
        now.max(self.begun + RETRY_SPACING)
    }
}
