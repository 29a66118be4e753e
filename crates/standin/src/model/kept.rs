//! Kept texts: blocks of prompts that were read, the least lately used dropped first.

use std::collections::{BTreeMap, HashMap};

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes of one block of text, at four bytes a token.
const BLOCK_BYTES: usize = 64;

/// Hashes of a text's whole blocks, each of all text up to the block's end, so that equal hashes mean equal
/// beginnings.
pub fn blocks(text: &[u8]) -> Vec<u64> {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    text.chunks_exact(BLOCK_BYTES)
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
            hash
        })
        .collect()
}

/// Blocks kept, by when they were last used.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    most: usize,
    used: u64,
    by_hash: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl Kept {
    pub fn new(tokens: u64) -> Kept {
        Kept { most: (tokens / BLOCK_TOKENS) as usize, ..Kept::default() }
    }

    /// Tokens of the longest beginning that is kept.
    pub fn found(&self, blocks: &[u64]) -> u64 {
        blocks.iter().take_while(|hash| self.by_hash.contains_key(hash)).count() as u64 * BLOCK_TOKENS
    }

    /// Keeps a text that was read. Its beginning is used last, so that it is dropped last.
    pub fn keep(&mut self, blocks: &[u64]) {
        for hash in blocks.iter().rev() {
            self.used += 1;
            if let Some(old) = self.by_hash.insert(*hash, self.used) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.used, *hash);
        }
        while self.by_hash.len() > self.most {
            let Some((_, hash)) = self.by_use.pop_first() else { return };
            self.by_hash.remove(&hash);
        }
    }

    pub fn flush(&mut self) {
        self.by_hash.clear();
        self.by_use.clear();
    }
}

#[cfg(test)]
mod tests;
