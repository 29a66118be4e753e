//! The file through which the fleet agent on this machine gets this node's request counts.
//!
//! The main thread replaces the whole file once a second. The event loop only hands over a copy of the counts
//! and does no file I/O. Without `tally` in the configuration no file is written.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use elderstage_tally::{Tally, TallySnapshot};

/// Holds the latest counts from the event loop until they are written.
#[derive(Default)]
pub struct TallySlot(Mutex<Option<Tally>>);

impl TallySlot {
    /// Replaces the counts.
    pub fn put(&self, tally: Tally) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(tally);
    }

    fn take(&self) -> Option<Tally> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Writes the file.
pub struct TallyWriter {
    boot: u64,
    version: u64,
    /// Whether the last write failed.
    has_failed: bool,
}

impl TallyWriter {
    /// Creates a writer. `boot` distinguishes this process from its predecessor.
    pub fn new(boot: u64) -> TallyWriter {
        TallyWriter { boot, version: 0, has_failed: false }
    }

    /// Writes the counts of the slot, if there are any since the last write. The first failure in a row is
    /// logged. The next call tries again with new counts.
    pub fn write(&mut self, slot: &TallySlot, file: &Path) {
        let Some(tally) = slot.take() else { return };
        self.version += 1;
        let report = TallySnapshot { boot: self.boot, version: self.version, tally };
        let mut temporary = file.as_os_str().to_owned();
        temporary.push(".new");
        let result = serde_json::to_vec(&report)
            .map_err(std::io::Error::other)
            .and_then(|text| std::fs::write(&temporary, text))
            .and_then(|()| std::fs::rename(&temporary, file));
        if let Err(error) = &result
            && !self.has_failed
        {
            tracing::warn!(target: "node", file = %file.display(), %error, "counts not written");
        }
        self.has_failed = result.is_err();
    }
}
