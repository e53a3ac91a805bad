//! The parts of prompts of which this process has seen a run that its target survived.
//!
//! Such a run speaks for all parts of its request, also if a target exits later with one of them.
//! Only what is needed then is sent to other processes, so this memory costs no messages.

use berylhook_core::prompt::PromptPart;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

/// Maximum number of parts in each of the two generations, about 64 KB. The older generation is
/// dropped as a whole, so eviction takes no time per request.
const MAX_PARTS_PER_GENERATION: usize = 2_048;

/// The time of the last survived run of each part.
#[derive(Debug, Default)]
pub(crate) struct ProvenParts {
    current: IndexMap<PromptPart, MonoMs>,
    previous: IndexMap<PromptPart, MonoMs>,
}

impl ProvenParts {
    /// Records that a target has survived a run of the part.
    pub(crate) fn insert(&mut self, part: PromptPart, at_ms: MonoMs) {
        let is_full = self.current.len() >= MAX_PARTS_PER_GENERATION;
        if is_full && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, at_ms);
    }

    /// The time of the last survived run of the part, if it is remembered.
    pub(crate) fn last_survived_ms(&self, part: PromptPart) -> Option<MonoMs> {
        let current = self.current.get(&part);
        current.or_else(|| self.previous.get(&part)).copied()
    }
}
