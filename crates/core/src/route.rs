//! Which target gets a request.
//!
//! Engines report their load late, so a report is corrected by what this
//! process has dispatched since; cache events come late and with gaps, so
//! what this process itself sent where counts as known too. Only a few
//! sampled targets are compared: if every entry picked the best by the same
//! late reports, all of them would herd onto one target.
//!
//! The score is an estimate of the time to the first token: the wait in the
//! target's queue, plus the part of the prompt that is not cached, scaled by
//! how much slower than expected this target has been lately. A target that
//! has gone silent is slow by at least how overdue its oldest request is.

mod prefix;
mod score;
mod subset;

use indexmap::IndexMap;

pub use prefix::{PrefixIndex, prefix_blocks};
pub use score::TargetLoad;
pub use subset::subset;

use crate::time::MonoMs;

/// A target within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Connected, and neither it nor the platform says it is leaving.
    Up,
    /// Leaving: finishes what it has.
    Leaving,
    /// Not connected.
    Down,
}

/// How targets are compared.
#[derive(Clone, Copy, Debug)]
pub struct RouteConfig {
    /// Targets sampled at random for each request.
    pub samples: usize,
    /// Prefix blocks remembered.
    pub prefix_capacity: usize,
    /// Time to first token assumed of a target not yet measured.
    pub initial_first_token_ms: f64,
    /// Time one uncached prefix block takes to read.
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

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Chained hashes of the prompt's blocks; empty where unknown.
    pub blocks: &'a [u64],
    /// Targets that already failed this request.
    pub exclude: &'a [TargetId],
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Chained hashes of the prompt's blocks; empty where unknown.
    pub blocks: &'a [u64],
    /// Whether its answer comes token by token, or all at the end.
    pub is_stream: bool,
}

/// The targets of one catalogue entry as this process knows them.
#[derive(Debug)]
pub struct Router {
    config: RouteConfig,
    targets: IndexMap<TargetId, TargetLoad>,
    up: Vec<TargetId>,
    prefixes: PrefixIndex,
}

impl Router {
    /// A router that knows no target.
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

    /// Forgets a target.
    pub fn remove(&mut self, id: TargetId) {
        self.set_availability(id, Availability::Down);
        self.targets.swap_remove(&id);
    }

    /// Targets that may get new work.
    #[must_use]
    pub fn up_count(&self) -> usize {
        self.up.len()
    }

    /// What is known of a target.
    #[must_use]
    pub fn load(&self, id: TargetId) -> Option<&TargetLoad> {
        self.targets.get(&id)
    }

    /// Changes what is known of a target.
    pub fn load_mut(&mut self, id: TargetId) -> Option<&mut TargetLoad> {
        self.targets.get_mut(&id)
    }

    /// Picks a target; `random` gives a fresh number at each call.
    ///
    /// `None` if no target that is up is left.
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
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        };
        for id in self.prefixes.holders(query.blocks) {
            consider(id);
        }
        for id in self.sample(random) {
            consider(id);
        }
        match best {
            Some((_, id)) => Some(id),
            // Every sampled target was excluded: look at all of them.
            None => self
                .up
                .iter()
                .copied()
                .find(|id| !query.exclude.contains(id)),
        }
    }

    fn sample(&self, random: &mut dyn FnMut() -> u64) -> Vec<TargetId> {
        let count = self.up.len();
        if count <= self.config.samples {
            return self.up.clone();
        }
        let mut picked = Vec::with_capacity(self.config.samples);
        for _ in 0..self.config.samples {
            #[allow(clippy::cast_possible_truncation)] // reduced below `count` first
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

    /// Estimated time to first token of a request at `id`.
    #[must_use]
    pub fn estimate_ms(&self, id: TargetId, blocks: &[u64], now_ms: MonoMs) -> Option<f64> {
        let query = RouteQuery {
            blocks,
            exclude: &[],
        };
        self.score(id, &query, now_ms)
    }

    /// Time to read the part of a prompt that `id` does not hold.
    #[allow(clippy::cast_precision_loss)] // block counts are small
    fn reading_ms(&self, blocks: &[u64], id: TargetId) -> f64 {
        let uncached = blocks.len() - self.prefixes.cached_blocks(blocks, id);
        uncached as f64 * self.config.block_ms
    }

    /// A request was sent to `id`.
    pub fn on_dispatch(&mut self, id: TargetId, sent: &SentRequest<'_>, now_ms: MonoMs) {
        let reading_ms = self.reading_ms(sent.blocks, id);
        if let Some(target) = self.targets.get_mut(&id) {
            target.on_dispatch(reading_ms, sent.is_stream, now_ms);
        }
        self.prefixes.insert(sent.blocks, id);
    }

    /// The target has dropped these blocks, or its cache events had a gap.
    pub fn on_cache_dropped(&mut self, id: TargetId, blocks: &[u64]) {
        self.prefixes.remove(blocks, id);
    }
}
