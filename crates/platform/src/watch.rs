//! The watch on discovery: parses the bytes of its answer, decides when a watch is broken and when the next one may be
//! opened. It does no I/O; the caller owns the sockets and the clock. A list that is older than the newest one is accepted
//! only if discovery may have renumbered its versions; what it says of engines that leave counts at once. What such a list may
//! change is decided in [`crate::list_history`].
//!
//! A single deadline covers silence. The head of an answer comes at once, because the agent runs on the node's own machine,
//! and an empty line comes at least every `HEARTBEAT_INTERVAL`. A watch without either is broken, whatever the state of
//! its TCP connection, and a few seconds later the platform's rules expect the node to act on what the watch missed. While discovery is down its
//! agent is silent, and what the agent learns when discovery is back counts at once, so opening a watch is retried without
//! end. Retries start at least `RETRY_SPACING` apart, so that a watch that ends as soon as it is opened does not keep the
//! node busy. With 350 nodes, each node talks to an agent of its own.

use elderstage::Time;
use elderstage::settings::SettingNames;
use thiserror::Error;

use crate::list::{Directory, List, ListError};
use crate::values::{Item, ObjectSplitter, SplitError};

/// Longest wait for the head of an answer, in microseconds.
const HEAD_TIMEOUT: Time = 300_000;
/// Interval of the empty lines that are sent when nothing changes, in microseconds.
const HEARTBEAT_INTERVAL: Time = 2_000_000;
/// How late an empty line may be on a busy machine, in microseconds. Including the wait for a new head, a broken watch is
/// replaced within 3 s.
const HEARTBEAT_SLACK: Time = 500_000;
/// Shortest time between the starts of two watches, in microseconds.
const RETRY_SPACING: Time = 100_000;

/// A discovery that sends only older versions for this time, in microseconds, may have renumbered its versions, and its lists
/// are accepted. Until then it is assumed to lag: its lists lack the newest engines. The time is half of the time after which
/// the platform's rules expect the node to act on a list.
const RENUMBERED_AFTER: Time = 3_000_000;

/// Why a watch has to be replaced.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The list is older than the newest one.
    #[error("version {found} is older than {known}: whole lists are requested until discovery has caught up")]
    OlderVersion {
        found: u64,
        known: u64,
        /// Its entries of engines that drain or are gone. They count nevertheless: discovery may have renumbered.
        leaving: Box<List>,
    },
    /// An object is not a valid list.
    #[error("unreadable list: {0}")]
    List(#[from] ListError),
    /// The bytes are not a sequence of objects.
    #[error("unreadable list: {0}")]
    Value(#[from] SplitError),
}

/// The state of the current watch and what the next one needs.
#[derive(Debug)]
pub struct Watch {
    /// The version from which the next watch requests changes; 0 for the whole list.
    seq: u64,
    /// The newest version that was accepted.
    newest: u64,
    /// Since when only older versions have come.
    older_since: Option<Time>,
    objects: ObjectSplitter,
    started_at: Time,
    deadline: Time,
}

impl Watch {
    /// Creates the state before the first watch. `seq` is the version of the list that the node knows; 0 for none.
    pub fn new(seq: u64) -> Watch {
        Watch {
            seq,
            newest: seq,
            older_since: None,
            objects: ObjectSplitter::default(),
            started_at: 0,
            deadline: 0,
        }
    }

    /// Starts a new watch and returns the version from which it requests changes.
    pub fn start(&mut self, now: Time) -> u64 {
        self.objects = ObjectSplitter::default();
        (self.started_at, self.deadline) = (now, now + HEAD_TIMEOUT);
        self.seq
    }

    /// Records that the head of the answer has come.
    pub fn record_head(&mut self, now: Time) {
        self.deadline = now + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
    }

    /// Takes bytes of the body and returns the lists that are complete. After an error the next watch starts with the whole
    /// list, so that no change of this watch is lost.
    pub fn push(&mut self, now: Time, bytes: &[u8], names: &SettingNames) -> Result<Vec<List>, WatchError> {
        let mut lists = Vec::new();
        self.objects.push(bytes);
        let parsed = self.parse_lists(now, names, &mut lists);
        parsed.inspect_err(|_| self.seq = 0)?;
        Ok(lists)
    }

    fn parse_lists(
        &mut self,
        now: Time,
        names: &SettingNames,
        lists: &mut Vec<List>,
    ) -> Result<(), WatchError> {
        while let Some(item) = self.objects.next_item()? {
            // Only a complete item extends the deadline: part of a list that never ends is no sign of life.
            self.deadline = now + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
            if let Item::Object(text) = item {
                let list = Directory::parse(&text, names)?;
                if self.must_wait(now, &list) {
                    let (found, known) = (list.version, self.newest);
                    let leaving = Box::new(list.into_leaving());
                    return Err(WatchError::OlderVersion { found, known, leaving });
                }
                self.older_since = None;
                self.newest = list.version;
                self.seq = list.version;
                lists.push(list);
            }
        }
        Ok(())
    }

    /// Returns whether a list is older than the newest one and is not accepted yet. A whole list is accepted if only older
    /// versions have come for [`RENUMBERED_AFTER`].
    fn must_wait(&mut self, now: Time, list: &List) -> bool {
        if list.version >= self.newest {
            return false;
        }
        let since = *self.older_since.get_or_insert(now);
        !(list.is_complete && now >= since + RENUMBERED_AFTER)
    }

    /// Returns when the watch counts as broken, unless a complete item comes before.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns when the next watch may be opened after this one has ended or is broken.
    pub fn retry_at(&self, now: Time) -> Time {
        now.max(self.started_at + RETRY_SPACING)
    }
}
