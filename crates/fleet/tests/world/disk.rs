//! An in-memory disk that can lose its tail, corrupt blocks, fill up and be wiped.

use std::collections::BTreeMap;

use elderstage_fleet::record::{DiskWrite, StoredBlocks};

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub watermark: Option<Vec<u8>>,
    pub hard_state: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub entries: BTreeMap<u64, Vec<u8>>,
    reports: BTreeMap<u64, Vec<u8>>,
    /// Every write fails.
    pub is_full: bool,
    /// The next write stops between the log and the watermark, as after a kill.
    pub tear_next_write: bool,
}

impl Disk {
    pub fn stored(&self) -> StoredBlocks {
        StoredBlocks {
            watermark: self.watermark.clone(),
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.iter().map(|(index, block)| (*index, block.clone())).collect(),
            read_errors: Vec::new(),
        }
    }

    pub fn reports(&self) -> Vec<(u64, Vec<u8>)> {
        self.reports.iter().map(|(key, block)| (*key, block.clone())).collect()
    }

    pub fn write(&mut self, write: &DiskWrite) -> Result<(), String> {
        if self.is_full {
            return Err("no space left on device".into());
        }
        self.hard_state = write.hard_state.clone().or(self.hard_state.take());
        self.snapshot = write.snapshot.clone().or(self.snapshot.take());
        if let Some(from) = write.truncate_from {
            self.entries.split_off(&from);
        }
        if let Some(first_index) = write.first_index {
            self.entries = self.entries.split_off(&first_index);
        }
        self.entries.extend(write.entries.iter().cloned());
        if std::mem::take(&mut self.tear_next_write) {
            return Err("killed in the middle of a write".into());
        }
        self.watermark = Some(write.watermark.clone());
        Ok(())
    }

    pub fn keep(&mut self, reports: &[(u64, Vec<u8>)]) {
        if !self.is_full {
            self.reports.extend(reports.iter().cloned());
        }
    }

    /// Removes the last `n` entries, like a disk that reported writes as done but lost them.
    pub fn lose_tail(&mut self, n: usize) {
        for _ in 0..n {
            self.entries.pop_last();
        }
    }

    /// Flips a bit of the nth entry from the end.
    pub fn corrupt_entry(&mut self, nth: usize) {
        if let Some((_, block)) = self.entries.iter_mut().rev().nth(nth) {
            let middle = block.len() / 2;
            block[middle] ^= 1;
        }
    }

    pub fn wipe(&mut self) {
        *self = Disk::default();
    }
}
