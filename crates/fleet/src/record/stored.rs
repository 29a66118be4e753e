//! The blocks on a keeper's disk: their format, their verification at start, and the writes that replace them.
//!
//! Every block carries a digest over its kind, its key and its bytes. Beside the log lies the watermark (file
//! `mark`): the last state that the keeper has acknowledged. It is written after the log and before any message is
//! sent, so a log that ends before its watermark has lost its tail. If log and watermark do not determine a safe
//! state, the disk is refused. This module does no I/O.

use protobuf::Message as _;
use raft::eraftpb::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

use super::state::RecordState;
use crate::name::Name;

/// Bytes of a block's digest: 128 bits detect any corruption.
const DIGEST_BYTES: usize = 16;

/// Kind and key of a block. The digest covers both, so that no block can pass for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// A log entry, by its index.
    Entry(u64),
    /// Term, vote and commit index.
    HardState,
    /// A snapshot of the state.
    Snapshot,
    /// The last acknowledged state.
    Watermark,
    /// A member's latest report; the key is a digest of member and boot.
    Report(u64),
}

fn digest(kind: BlockKind, bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    let (context, key) = match kind {
        BlockKind::Entry(index) => ("elderstage fleet record entry", index),
        BlockKind::HardState => ("elderstage fleet record hard state", 0),
        BlockKind::Snapshot => ("elderstage fleet record snapshot", 0),
        BlockKind::Watermark => ("elderstage fleet record mark", 0),
        BlockKind::Report(key) => ("elderstage fleet report", key),
    };
    let mut hasher = blake3::Hasher::new_derive_key(context);
    hasher.update(&key.to_le_bytes());
    hasher.update(bytes);
    let mut digest = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    digest
}

/// Encodes a block for the disk: the digest, then the bytes.
pub fn encode_block(kind: BlockKind, bytes: &[u8]) -> Vec<u8> {
    let mut block = Vec::with_capacity(DIGEST_BYTES + bytes.len());
    block.extend_from_slice(&digest(kind, bytes));
    block.extend_from_slice(bytes);
    block
}

/// Returns the bytes of a block, or `None` if the digest does not match.
pub fn decode_block(kind: BlockKind, block: &[u8]) -> Option<&[u8]> {
    let (stored_digest, bytes) = block.split_at_checked(DIGEST_BYTES)?;
    (stored_digest == digest(kind, bytes)).then_some(bytes)
}

/// Raft's hard state: term, vote and commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// The last state that a keeper has acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    pub fleet: Name,
    pub keeper: Name,
    /// Number of starts of this keeper.
    #[serde(rename = "starts")]
    pub start_count: u64,
    pub term: u64,
    pub vote: u64,
    /// Position of the last entry on disk.
    #[serde(rename = "last")]
    pub last_position: LogPosition,
    /// Acknowledged entries may be missing until the keeper has rejoined.
    #[serde(rename = "doubt")]
    pub is_rejoining: bool,
}

/// Position of a log entry, ordered by term, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub term: u64,
    pub index: u64,
}

/// All blocks read from a disk, not verified.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredBlocks {
    pub watermark: Option<Vec<u8>>,
    pub hard_state: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    /// By ascending index.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Errors of blocks that could not be read.
    pub read_errors: Vec<String>,
}

/// A write that must be on disk before any message after it is sent. Empty parts leave the disk unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiskWrite {
    pub hard_state: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    /// Existing entries from the first of these on are replaced.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// All entries from this index on are deleted before new ones are added.
    pub truncate_from: Option<u64>,
    /// Entries before this index are deleted.
    pub first_index: Option<u64>,
    /// Written last, to a separate file; empty: unchanged.
    pub watermark: Vec<u8>,
}

/// The verified content of a disk, as far as it is usable.
#[derive(Clone, Debug, Default)]
pub struct RecoveredLog {
    pub hard_state: HardState,
    pub snapshot: Option<(Snapshot, RecordState)>,
    pub entries: Vec<Entry>,
    pub start_count: u64,
    /// Nothing was ever written to the disk.
    pub is_blank: bool,
    /// Why acknowledged entries may be missing; empty if none are.
    pub disk_faults: Vec<String>,
}

impl RecoveredLog {
    /// Position of the last entry, or of the snapshot if there is no entry.
    pub fn last_position(&self) -> LogPosition {
        let position_of = |entry: &Entry| LogPosition { term: entry.term, index: entry.index };
        let snapshot = || {
            let meta = self.snapshot.as_ref()?.0.get_metadata();
            Some(LogPosition { term: meta.term, index: meta.index })
        };
        self.entries.last().map(position_of).or_else(snapshot).unwrap_or_default()
    }
}

impl StoredBlocks {
    fn is_blank(&self) -> bool {
        self.watermark.is_none()
            && self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.entries.is_empty()
            && self.read_errors.is_empty()
    }

    /// Verifies the content of a disk. An error says why the disk can't be used at all.
    pub fn recover(&self, fleet: &Name, keeper: &Name) -> Result<RecoveredLog, String> {
        if self.is_blank() {
            return Ok(RecoveredLog { is_blank: true, ..RecoveredLog::default() });
        }
        let mut recovered = RecoveredLog { disk_faults: self.read_errors.clone(), ..RecoveredLog::default() };
        let watermark = self.watermark.as_ref().map(|block| {
            let bytes = decode_block(BlockKind::Watermark, block)?;
            postcard::from_bytes::<Watermark>(bytes).ok()
        });
        let watermark = match watermark {
            Some(Some(watermark)) => {
                if watermark.fleet != *fleet || watermark.keeper != *keeper {
                    return Err(format!(
                        "the directory is of keeper {} of fleet {}, expected keeper {keeper} of fleet {fleet}",
                        watermark.keeper, watermark.fleet
                    ));
                }
                recovered.start_count = watermark.start_count;
                if watermark.is_rejoining {
                    recovered.disk_faults.push("the keeper had not rejoined when it last stopped".into());
                }
                Some(watermark)
            }
            Some(None) => {
                recovered.disk_faults.push("the mark file is corrupt".into());
                None
            }
            None => {
                recovered.disk_faults.push("the mark file is missing".into());
                None
            }
        };
        let hard_state = self
            .hard_state
            .as_ref()
            .and_then(|block| postcard::from_bytes(decode_block(BlockKind::HardState, block)?).ok());
        match (hard_state, &watermark) {
            (Some(hard_state), _) => recovered.hard_state = hard_state,
            (None, Some(watermark)) => {
                recovered
                    .disk_faults
                    .push("term and vote are missing or corrupt; the mark file's values are used".into());
                recovered.hard_state = HardState { term: watermark.term, vote: watermark.vote, commit: 0 };
            }
            (None, None) => return Err("neither term and vote nor the mark file can be read".into()),
        }
        let snapshot = self.snapshot.as_ref().map(|block| {
            let snapshot = Snapshot::parse_from_bytes(decode_block(BlockKind::Snapshot, block)?).ok()?;
            let state = RecordState::decode(snapshot.get_data())?;
            Some((snapshot, state))
        });
        match snapshot {
            Some(Some((_, state))) if state.fleet() != fleet => {
                return Err(format!("the snapshot is of fleet {}, expected {fleet}", state.fleet()));
            }
            Some(Some(snapshot)) => recovered.snapshot = Some(snapshot),
            Some(None) => recovered.disk_faults.push("the snapshot is corrupt".into()),
            None => {}
        }
        let from = recovered.snapshot.as_ref().map_or(0, |(snapshot, _)| snapshot.get_metadata().index);
        let after = self.entries.iter().filter(|(index, _)| *index > from);
        for (next, (index, block)) in (from + 1..).zip(after) {
            let entry = decode_block(BlockKind::Entry(*index), block)
                .and_then(|bytes| Entry::parse_from_bytes(bytes).ok());
            match entry {
                Some(entry) if *index == next && entry.index == next => recovered.entries.push(entry),
                Some(_) => {
                    recovered.disk_faults.push(format!("entry {next} is missing before {index}"));
                    break;
                }
                None => {
                    recovered.disk_faults.push(format!("entry {index} is corrupt"));
                    break;
                }
            }
        }
        if let Some(watermark) = &watermark {
            let last_position = recovered.last_position();
            if last_position < watermark.last_position {
                let (expected, found) = (watermark.last_position.index, last_position.index);
                recovered
                    .disk_faults
                    .push(format!("the log ends at entry {found}, the mark file says entry {expected}"));
            }
            if recovered.hard_state.term < watermark.term {
                recovered.disk_faults.push(format!(
                    "the term is {}, the mark file says {}",
                    recovered.hard_state.term, watermark.term
                ));
                (recovered.hard_state.term, recovered.hard_state.vote) = (watermark.term, watermark.vote);
            }
        }
        // The commit index must not lie beyond the last entry.
        let (low, high) = (from, recovered.last_position().index);
        if recovered.hard_state.commit > high {
            recovered.disk_faults.push(format!(
                "entry {} was committed, the log ends at entry {high}",
                recovered.hard_state.commit
            ));
        }
        recovered.hard_state.commit = recovered.hard_state.commit.clamp(low, high.max(low));
        Ok(recovered)
    }
}
