//! The file in which an agent beside this node finds what it has counted: replaced whole once a second by the main
//! thread, at no time by the owner. Without `tally` in the configuration nothing of this is done.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use elderstage_tally::{Tally, Told};

/// What the owner has handed out last.
#[derive(Default)]
pub struct Handed(Mutex<Option<Tally>>);

impl Handed {
    pub fn put(&self, tally: Tally) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(tally);
    }

    fn take(&self) -> Option<Tally> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Writes the file.
pub struct Writer {
    boot: u64,
    version: u64,
    failed: bool,
}

impl Writer {
    /// `boot` tells this process from the one before.
    pub fn new(boot: u64) -> Writer {
        Writer { boot, version: 0, failed: false }
    }

    /// Writes what was handed out since, if anything was. A failure is said once, and tried again with the next.
    pub fn write(&mut self, handed: &Handed, file: &Path) {
        let Some(tally) = handed.take() else { return };
        self.version += 1;
        let told = Told { boot: self.boot, version: self.version, tally };
        let mut new = file.as_os_str().to_owned();
        new.push(".new");
        let written = serde_json::to_vec(&told)
            .map_err(std::io::Error::other)
            .and_then(|text| std::fs::write(&new, text))
            .and_then(|()| std::fs::rename(&new, file));
        if let Err(error) = &written
            && !self.failed
        {
            tracing::warn!(target: "node", file = %file.display(), %error, "counts not written");
        }
        self.failed = written.is_err();
    }
}
