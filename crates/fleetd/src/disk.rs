//! Storage of a keeper: a database with the record and the reports, and beside it the watermark file `mark`.
//!
//! The database is `redb`, with one commit per write; a write is on disk when it returns. The watermark is a separate
//! file, replaced as a whole after each commit, so that the loss of either is visible from the other. Every block
//! carries its own digest (`elderstage_fleet::record::encode_block`). This module does not verify the digests.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};

use elderstage_fleet::record::{DiskWrite, StoredBlocks};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use thiserror::Error;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const PARTS: TableDefinition<&str, &[u8]> = TableDefinition::new("parts");
const REPORTS: TableDefinition<u64, &[u8]> = TableDefinition::new("reports");
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
const DATABASE_FILE: &str = "record.redb";
const WATERMARK_FILE: &str = "mark";
/// Largest watermark file.
const MAX_WATERMARK_BYTES: u64 = 4096;
/// Memory for the database's page cache; the record is small.
const CACHE_BYTES: usize = 8 << 20;

/// Why a keeper's directory can't be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// A file operation failed.
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    /// The database exists but is unusable. It is refused; nothing is repaired.
    #[error(
        "{path}: {error}; move it away to start without it: the keeper then copies the record from the others"
    )]
    Database { path: PathBuf, error: redb::Error },
    /// Another process has the database open.
    #[error("{path}: another process has the database open")]
    InUse { path: PathBuf },
}

/// Storage of a keeper.
pub struct Disk {
    directory: PathBuf,
    database: Database,
}

/// Adds the path to an I/O error.
fn with_path<T>(path: &Path, result: io::Result<T>) -> Result<T, DiskError> {
    result.map_err(|error| DiskError::File { path: path.to_owned(), error })
}

impl Disk {
    /// Opens a keeper's directory and creates it if it does not exist.
    pub fn open(directory: &Path) -> Result<Disk, DiskError> {
        with_path(directory, fs::create_dir_all(directory))?;
        let path = directory.join(DATABASE_FILE);
        let database_error = |error: redb::Error| match error {
            redb::Error::DatabaseAlreadyOpen => DiskError::InUse { path: path.clone() },
            error => DiskError::Database { path: path.clone(), error },
        };
        let opened = Database::builder().set_cache_size(CACHE_BYTES).create(&path);
        let database = opened.map_err(|error| database_error(error.into()))?;
        let disk = Disk { directory: directory.to_owned(), database };
        // A read transaction needs existing tables.
        let create_tables = || -> Result<(), redb::Error> {
            let write = disk.database.begin_write()?;
            write.open_table(ENTRIES)?;
            write.open_table(PARTS)?;
            write.open_table(REPORTS)?;
            write.commit()?;
            Ok(())
        };
        create_tables().map_err(database_error)?;
        Ok(disk)
    }

    fn database_error(&self, error: redb::Error) -> DiskError {
        DiskError::Database { path: self.directory.join(DATABASE_FILE), error }
    }

    /// Reads all blocks without verifying them; a failed read is added to the result's `read_errors`.
    pub fn read_blocks(&self) -> Result<StoredBlocks, DiskError> {
        let mut blocks = StoredBlocks { watermark: self.read_watermark()?, ..StoredBlocks::default() };
        let read = self.database.begin_read().map_err(|error| self.database_error(error.into()))?;
        let mut parts = || -> Result<(), redb::Error> {
            let parts = read.open_table(PARTS)?;
            blocks.hard_state = parts.get(HARD_STATE_KEY)?.map(|block| block.value().to_vec());
            blocks.snapshot = parts.get(SNAPSHOT_KEY)?.map(|block| block.value().to_vec());
            Ok(())
        };
        let parts = parts();
        let mut entries = || -> Result<(), redb::Error> {
            for entry in read.open_table(ENTRIES)?.iter()? {
                let (index, block) = entry?;
                blocks.entries.push((index.value(), block.value().to_vec()));
            }
            Ok(())
        };
        let entries = entries();
        for (what, result) in [("term, vote and snapshot", parts), ("entries", entries)] {
            if let Err(error) = result {
                blocks.read_errors.push(format!("{what}: {error}"));
            }
        }
        Ok(blocks)
    }

    /// Reads the members' reports without verifying them. They are not part of the record, so a failed read is only
    /// logged.
    pub fn reports(&self) -> Vec<(u64, Vec<u8>)> {
        let read = || -> Result<Vec<(u64, Vec<u8>)>, redb::Error> {
            let read = self.database.begin_read()?;
            let mut reports = Vec::new();
            for report in read.open_table(REPORTS)?.iter()? {
                let (key, block) = report?;
                reports.push((key.value(), block.value().to_vec()));
            }
            Ok(reports)
        };
        read().unwrap_or_else(|error| {
            tracing::warn!(target: "fleet", %error, "failed to read reports");
            Vec::new()
        })
    }

    /// Reads the watermark file; `None` if there is none.
    fn read_watermark(&self) -> Result<Option<Vec<u8>>, DiskError> {
        let path = self.directory.join(WATERMARK_FILE);
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(from) => {
                with_path(&path, from.take(MAX_WATERMARK_BYTES).read_to_end(&mut bytes))?;
                Ok(Some(bytes))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => with_path(&path, Err(error)),
        }
    }

    /// Writes the record, then the watermark; both are on disk when this returns.
    pub fn write(&self, write: &DiskWrite) -> Result<(), DiskError> {
        self.write_record(write).map_err(|error| self.database_error(error))?;
        if write.watermark.is_empty() {
            return Ok(());
        }
        let (path, new) = (self.directory.join(WATERMARK_FILE), self.directory.join("mark.new"));
        let written = || -> io::Result<()> {
            let mut new_file = OpenOptions::new().write(true).create(true).truncate(true).open(&new)?;
            new_file.write_all(&write.watermark)?;
            new_file.sync_data()?;
            fs::rename(&new, &path)?;
            File::open(&self.directory)?.sync_all()
        };
        with_path(&path, written())
    }

    fn write_record(&self, write: &DiskWrite) -> Result<(), redb::Error> {
        if write.hard_state.is_none()
            && write.snapshot.is_none()
            && write.entries.is_empty()
            && write.truncate_from.is_none()
        {
            return Ok(());
        }
        let transaction = self.database.begin_write()?;
        {
            let mut parts = transaction.open_table(PARTS)?;
            for (name, block) in [(HARD_STATE_KEY, &write.hard_state), (SNAPSHOT_KEY, &write.snapshot)] {
                if let Some(block) = block {
                    parts.insert(name, block.as_slice())?;
                }
            }
            let mut entries = transaction.open_table(ENTRIES)?;
            if let Some(from) = write.truncate_from {
                entries.retain_in(from.., |_, _| false)?;
            }
            if let Some(first_index) = write.first_index {
                entries.retain_in(..first_index, |_, _| false)?;
            }
            for (index, block) in &write.entries {
                entries.insert(index, block.as_slice())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Writes reports by key.
    pub fn store_reports(&self, reports: &[(u64, Vec<u8>)]) -> Result<(), DiskError> {
        let store_reports = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            {
                let mut table = transaction.open_table(REPORTS)?;
                for (key, block) in reports {
                    table.insert(key, block.as_slice())?;
                }
            }
            transaction.commit()?;
            Ok(())
        };
        store_reports().map_err(|error| self.database_error(error))
    }
}

/// Counts a start in the member's directory and returns its boot ID: the start count in the upper 32 bits,
/// `random_half` in the lower, so that a wiped directory does not repeat an earlier boot ID.
pub fn next_boot_id(directory: &Path, random_half: u32) -> Result<u64, DiskError> {
    with_path(directory, fs::create_dir_all(directory))?;
    let path = directory.join("starts");
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        Err(error) => return with_path(&path, Err(error)),
    };
    // A corrupt count restarts from 1: the random half keeps boot IDs distinct.
    let start_count = text.trim().parse::<u32>().unwrap_or(0).wrapping_add(1);
    let new = directory.join("starts.new");
    with_path(&new, fs::write(&new, start_count.to_string()))?;
    with_path(&path, fs::rename(&new, &path))?;
    Ok(u64::from(start_count) << 32 | u64::from(random_half))
}
