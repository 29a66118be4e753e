//! The prefix cache of an engine: hashes of prompt blocks, evicted in least recently used order.
//!
//! It stores hashes only, no text and no KV data. It never holds more blocks than its capacity.

use std::collections::{BTreeMap, HashMap};

/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes of text in one block, at four bytes per token.
const BLOCK_BYTES: usize = 64;

/// Hashes of the complete blocks of a text. Each hash covers all text up to the end of its block, so equal
/// hashes mean equal prefixes.
pub fn block_hashes(text: &[u8]) -> Vec<u64> {
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

/// The set of cached blocks, ordered by last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    max_blocks: usize,
    /// Counter that orders uses; the value of the latest one.
    last_use: u64,
    use_by_hash: HashMap<u64, u64>,
    hash_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache for this many tokens.
    pub fn new(tokens: u64) -> PrefixCache {
        PrefixCache { max_blocks: (tokens / BLOCK_TOKENS) as usize, ..PrefixCache::default() }
    }

    /// Length in tokens of the longest cached prefix.
    pub fn cached_prefix_tokens(&self, block_hashes: &[u64]) -> u64 {
        block_hashes.iter().take_while(|hash| self.use_by_hash.contains_key(hash)).count() as u64
            * BLOCK_TOKENS
    }

    /// Caches a prompt that was read. Its first blocks count as used last, so that they are evicted last.
    pub fn insert(&mut self, block_hashes: &[u64]) {
        for hash in block_hashes.iter().rev() {
            self.last_use += 1;
            if let Some(previous_use) = self.use_by_hash.insert(*hash, self.last_use) {
                self.hash_by_use.remove(&previous_use);
            }
            self.hash_by_use.insert(self.last_use, *hash);
        }
        while self.use_by_hash.len() > self.max_blocks {
            let Some((_, hash)) = self.hash_by_use.pop_first() else { return };
            self.use_by_hash.remove(&hash);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.use_by_hash.clear();
        self.hash_by_use.clear();
    }
}

#[cfg(test)]
mod tests;
