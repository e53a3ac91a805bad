//! An index of the prompt prefixes that targets have probably cached.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetId;

/// Bytes of prompt text in one block.
const BLOCK_BYTES: usize = 256;

/// Blocks at the beginning of a prompt that are hashed; the rest is ignored.
const MAX_BLOCKS: usize = 32;

/// Maximum number of targets stored per block.
const MAX_HOLDERS: usize = 4;

/// Returns the chained hashes of the first blocks of `prompt`.
///
/// Each hash covers all text up to the end of its block, so two prompts have
/// equal hashes exactly as far as they share a prefix. An incomplete last block
/// is left out.
#[must_use]
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}

/// The targets that each block was last sent to, most recent first.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    blocks: IndexMap<u64, Vec<TargetId>>,
    /// Position of the next block to evict when the index is full.
    next_evicted: usize,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            blocks: IndexMap::new(),
            next_evicted: 0,
        }
    }

    /// Records that `target` will have `blocks` in its cache.
    pub fn insert(&mut self, blocks: &[u64], target: TargetId) {
        for block in blocks {
            if self.blocks.len() >= self.capacity && !self.blocks.contains_key(block) {
                self.evict();
            }
            let holders = self.blocks.entry(*block).or_default();
            holders.retain(|holder| *holder != target);
            holders.insert(0, target);
            holders.truncate(MAX_HOLDERS);
        }
    }

    /// Records that `target` no longer has `blocks` in its cache.
    pub fn remove(&mut self, blocks: &[u64], target: TargetId) {
        for block in blocks {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| *holder != target);
            }
        }
    }

    /// Records that `target` has no blocks in its cache.
    pub fn remove_target(&mut self, target: TargetId) {
        for holders in self.blocks.values_mut() {
            holders.retain(|holder| *holder != target);
        }
    }

    /// Returns the targets that have cached the longest known prefix of `blocks`.
    pub fn holders(&self, blocks: &[u64]) -> impl Iterator<Item = TargetId> {
        blocks
            .iter()
            .rev()
            .filter_map(|block| self.blocks.get(block))
            .find(|holders| !holders.is_empty())
            .into_iter()
            .flatten()
            .copied()
    }

    /// Returns how many leading blocks `target` has cached.
    #[must_use]
    pub fn cached_blocks(&self, blocks: &[u64], target: TargetId) -> usize {
        blocks
            .iter()
            .take_while(|block| {
                self.blocks
                    .get(*block)
                    .is_some_and(|holders| holders.contains(&target))
            })
            .count()
    }

    /// Evicts one block, in round-robin order.
    fn evict(&mut self) {
        if self.next_evicted >= self.blocks.len() {
            self.next_evicted = 0;
        }
        self.blocks.swap_remove_index(self.next_evicted);
        self.next_evicted += 1;
    }
}
