//! Which targets probably hold which prompt prefixes.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetId;

/// Bytes of prompt in one block.
const BLOCK_BYTES: usize = 256;

/// Blocks of a prompt that are looked at.
const MAX_BLOCKS: usize = 32;

/// Targets remembered for one block.
const HOLDERS: usize = 4;

/// Chained hashes of the first blocks of `prompt`.
///
/// Each hash covers all text before it, so two prompts share hashes exactly
/// as far as they share a prefix. An unfinished last block is left out.
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

/// The last targets each block was sent to, most recent first.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    blocks: IndexMap<u64, Vec<TargetId>>,
    /// Next position to overwrite when full.
    hand: usize,
}

impl PrefixIndex {
    /// An index of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            blocks: IndexMap::new(),
            hand: 0,
        }
    }

    /// Records that `target` will hold `blocks`.
    pub fn insert(&mut self, blocks: &[u64], target: TargetId) {
        for block in blocks {
            if self.blocks.len() >= self.capacity && !self.blocks.contains_key(block) {
                self.evict();
            }
            let holders = self.blocks.entry(*block).or_default();
            holders.retain(|holder| *holder != target);
            holders.insert(0, target);
            holders.truncate(HOLDERS);
        }
    }

    /// Records that `target` no longer holds `blocks`.
    pub fn remove(&mut self, blocks: &[u64], target: TargetId) {
        for block in blocks {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|holder| *holder != target);
            }
        }
    }

    /// Records that `target` holds nothing.
    pub fn remove_target(&mut self, target: TargetId) {
        for holders in self.blocks.values_mut() {
            holders.retain(|holder| *holder != target);
        }
    }

    /// Targets that hold the longest known prefix.
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

    /// How many leading blocks `target` holds.
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

    /// Drops one block, going round.
    fn evict(&mut self) {
        if self.hand >= self.blocks.len() {
            self.hand = 0;
        }
        self.blocks.swap_remove_index(self.hand);
        self.hand += 1;
    }
}
