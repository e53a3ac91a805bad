//! Selects the target for a request.
//!
//! Load reports of model engines arrive late, so a report is corrected by the
//! requests that this process has dispatched since. Cache events arrive late
//! and with gaps, so the prompts that this process sent to a target also count
//! as cached there. Only a few sampled targets are compared: if every entry
//! picked the best target by the same late reports, all entries would send
//! their requests to one target (the herd effect).
//!
//! The score is an estimate of the time to first token: the wait in the target's
//! queue plus the time to read the uncached part of the prompt, multiplied by
//! the target's slowdown, the recent ratio of measured to estimated times. If the
//! target's oldest pending request is overdue, the multiplier is at least the ratio
//! of its waiting time to its estimated time, so that silent targets are avoided.

mod prefix;
mod score;
mod subset;

use indexmap::IndexMap;

pub use prefix::{PrefixIndex, prefix_blocks};
pub use score::TargetLoad;
pub use subset::subset;

use crate::time::MonoMs;

/// Identifies a target within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// Whether a target may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Connected, and neither the target nor the platform has announced that it stops.
    Up,
    /// Draining: finishes its running requests and gets no new ones.
    Leaving,
    /// Not connected.
    Down,
}

/// Parameters of the target selection.
#[derive(Clone, Copy, Debug)]
pub struct RouteConfig {
    /// Number of targets sampled at random for each request.
    pub samples: usize,
    /// Maximum number of blocks in the prefix index.
    pub prefix_capacity: usize,
    /// Time to first token assumed for a target without measurements.
    pub initial_first_token_ms: f64,
    /// Time that a target takes to read one uncached prompt block.
    pub block_ms: f64,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            samples: 3,
            prefix_capacity: 65_536,
            initial_first_token_ms: 50.0,
            block_ms: 5.0,
        }
    }
}

/// A request for which a target is selected.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Chained hashes of the prompt's blocks; empty if unknown.
    pub blocks: &'a [u64],
    /// Targets at which this request has already failed.
    pub exclude: &'a [TargetId],
}

/// A request that was sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Chained hashes of the prompt's blocks; empty if unknown.
    pub blocks: &'a [u64],
    /// Whether the response is streamed token by token instead of sent as a whole at the end.
    pub is_stream: bool,
}

/// The targets of one service and their load, as known to this process.
#[derive(Debug)]
pub struct Router {
    config: RouteConfig,
    targets: IndexMap<TargetId, TargetLoad>,
    up: Vec<TargetId>,
    prefixes: PrefixIndex,
}

impl Router {
    /// Creates a router without targets.
    #[must_use]
    pub fn new(config: RouteConfig) -> Self {
        Self {
            config,
            targets: IndexMap::new(),
            up: Vec::new(),
            prefixes: PrefixIndex::new(config.prefix_capacity),
        }
    }

    /// Adds a target or changes its availability.
    pub fn set_availability(&mut self, id: TargetId, availability: Availability) {
        let initial_ms = self.config.initial_first_token_ms;
        let target = self
            .targets
            .entry(id)
            .or_insert_with(|| TargetLoad::new(initial_ms));
        let was_up = target.availability == Availability::Up;
        target.availability = availability;
        match availability {
            Availability::Up if !was_up => self.up.push(id),
            Availability::Up => {}
            _ => self.up.retain(|up| *up != id),
        }
        if availability == Availability::Down {
            self.prefixes.remove_target(id);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, id: TargetId) {
        self.set_availability(id, Availability::Down);
        self.targets.swap_remove(&id);
    }

    /// Number of targets that may get new requests.
    #[must_use]
    pub fn up_count(&self) -> usize {
        self.up.len()
    }

    /// Returns the known load of a target.
    #[must_use]
    pub fn load(&self, id: TargetId) -> Option<&TargetLoad> {
        self.targets.get(&id)
    }

    /// Returns the known load of a target, to be updated.
    pub fn load_mut(&mut self, id: TargetId) -> Option<&mut TargetLoad> {
        self.targets.get_mut(&id)
    }

    /// Picks a target; `random` returns a new random number at each call.
    ///
    /// Returns `None` if no target is up or all targets that are up are excluded.
    pub fn pick(
        &self,
        query: &RouteQuery<'_>,
        now_ms: MonoMs,
        random: &mut dyn FnMut() -> u64,
    ) -> Option<TargetId> {
        let mut best: Option<(f64, TargetId)> = None;
        let mut consider = |id: TargetId| {
            let Some(score) = self.score(id, query, now_ms) else {
                return;
            };
            if best.is_none_or(|(min_score, _)| score < min_score) {
                best = Some((score, id));
            }
        };
        for id in self.prefixes.holders(query.blocks) {
            consider(id);
        }
        for id in self.sample_targets(random) {
            consider(id);
        }
        match best {
            Some((_, id)) => Some(id),
            // All sampled targets were excluded: take the first other target.
            None => self
                .up
                .iter()
                .copied()
                .find(|id| !query.exclude.contains(id)),
        }
    }

    fn sample_targets(&self, random: &mut dyn FnMut() -> u64) -> Vec<TargetId> {
        let count = self.up.len();
        if count <= self.config.samples {
            return self.up.clone();
        }
        let mut picked = Vec::with_capacity(self.config.samples);
        for _ in 0..self.config.samples {
            #[allow(clippy::cast_possible_truncation)] // the remainder is below `count`
            let index = (random() % count as u64) as usize;
            picked.push(self.up[index]);
        }
        picked
    }

    fn score(&self, id: TargetId, query: &RouteQuery<'_>, now_ms: MonoMs) -> Option<f64> {
        let target = self.targets.get(&id)?;
        if target.availability != Availability::Up || query.exclude.contains(&id) {
            return None;
        }
        Some(target.estimate_ms(self.reading_ms(query.blocks, id), now_ms))
    }

    /// Estimates the time to first token of a request sent to target `id`; `None` if the
    /// target is unknown or not up.
    #[must_use]
    pub fn estimate_ms(&self, id: TargetId, blocks: &[u64], now_ms: MonoMs) -> Option<f64> {
        let query = RouteQuery {
            blocks,
            exclude: &[],
        };
        self.score(id, &query, now_ms)
    }

    /// Estimates the time to read the part of a prompt that target `id` has not cached.
    #[allow(clippy::cast_precision_loss)] // block counts are exact in an f64
    fn reading_ms(&self, blocks: &[u64], id: TargetId) -> f64 {
        let uncached = blocks.len() - self.prefixes.cached_blocks(blocks, id);
        uncached as f64 * self.config.block_ms
    }

    /// Records that a request was sent to target `id`.
    pub fn on_dispatch(&mut self, id: TargetId, sent: &SentRequest<'_>, now_ms: MonoMs) {
        let reading_ms = self.reading_ms(sent.blocks, id);
        if let Some(target) = self.targets.get_mut(&id) {
            target.on_dispatch(reading_ms, sent.is_stream, now_ms);
        }
        self.prefixes.insert(sent.blocks, id);
    }

    /// Records that the target no longer caches these blocks, or that its cache events had
    /// a gap and it may have dropped them.
    pub fn on_cache_dropped(&mut self, id: TargetId, blocks: &[u64]) {
        self.prefixes.remove(blocks, id);
    }
}
