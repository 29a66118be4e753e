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
//!
//! A discovery that is slow is no silent one. A watch without a head is replaced, and one is kept open beside its successors:
//! whichever is answered first becomes the watch. A list that arrives in pieces may take its time as long as pieces come.

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
/// How long a watch whose head is late is kept beside the next ones, in microseconds.
const LATE_HEAD_TIMEOUT: Time = 3_000_000;
/// Longest pause within a list that arrives in pieces, in microseconds.
const PIECE_INTERVAL: Time = 1_000_000;
/// Longest time for a list to arrive, in microseconds.
const LIST_TIMEOUT: Time = 5_000_000;
/// How often the two timeouts above are doubled at most while discovery stays too slow for them.
const MAX_DOUBLINGS: u32 = 4;

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
    /// Until when a watch without a head is kept beside the next ones; 0 if none is.
    kept_until: Time,
    /// How many of these have had no answer, one after the other.
    unanswered: u32,
    /// Since when the list arrives that is incomplete.
    incomplete_since: Option<Time>,
    /// How many watches in a row have ended within a list.
    incomplete_lists: u32,
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
            kept_until: 0,
            unanswered: 0,
            incomplete_since: None,
            incomplete_lists: 0,
        }
    }

    /// Starts a new watch and returns the version from which it requests changes.
    pub fn start(&mut self, now: Time) -> u64 {
        self.objects = ObjectSplitter::default();
        if self.incomplete_since.take().is_some() {
            self.incomplete_lists = (self.incomplete_lists + 1).min(MAX_DOUBLINGS);
        }
        (self.started_at, self.deadline) = (now, now + HEAD_TIMEOUT);
        self.seq
    }

    /// Records that the head of the answer has come, on the newest watch or on the one that was kept.
    pub fn record_head(&mut self, now: Time) {
        self.deadline = now + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
        (self.kept_until, self.unanswered) = (0, 0);
    }

    /// The head of the watch is late and the next one is about to be opened. Returns whether this one is to be kept open
    /// beside it, in place of one that was kept before.
    pub fn keep_unanswered(&mut self, now: Time) -> bool {
        if now < self.kept_until {
            return false;
        }
        self.kept_until = self.started_at + (LATE_HEAD_TIMEOUT << self.unanswered);
        self.unanswered = (self.unanswered + 1).min(MAX_DOUBLINGS);
        true
    }

    /// Records that the watch that was kept has ended without an answer.
    pub fn forget_unanswered(&mut self) {
        self.kept_until = 0;
    }

    /// Takes bytes of the body and returns the lists that are complete. After an error the next watch starts with the whole
    /// list, so that no change of this watch is lost.
    pub fn push(&mut self, now: Time, bytes: &[u8], names: &SettingNames) -> Result<Vec<List>, WatchError> {
        let mut lists = Vec::new();
        self.objects.push(bytes);
        let parsed = self.parse_lists(now, names, &mut lists);
        if parsed.is_err() {
            (self.seq, self.incomplete_since) = (0, None);
        }
        parsed?;
        if self.objects.is_inside() {
            let since = *self.incomplete_since.get_or_insert(now);
            let latest = since + (LIST_TIMEOUT << self.incomplete_lists);
            self.deadline = self.deadline.max(latest.min(now + PIECE_INTERVAL));
        }
        Ok(lists)
    }

    fn parse_lists(
        &mut self,
        now: Time,
        names: &SettingNames,
        lists: &mut Vec<List>,
    ) -> Result<(), WatchError> {
        while let Some(item) = self.objects.next_item()? {
            // Part of a list extends the deadline only as long as pieces come, since it may never end.
            self.deadline = now + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
            self.incomplete_since = None;
            if let Item::Object(text) = item {
                let list = Directory::parse(&text, names)?;
                if self.must_wait(now, &list) {
                    let (found, known) = (list.version, self.newest);
                    let leaving = Box::new(list.into_leaving());
                    return Err(WatchError::OlderVersion { found, known, leaving });
                }
                (self.older_since, self.incomplete_lists) = (None, 0);
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
