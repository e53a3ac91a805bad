//! Which changes of a store the watches of its topics have delivered, and which are overdue.
//!
//! A watch that is pending has either nothing to deliver, or its connection carries nothing more.
//! The two look alike from the outside. What tells them apart is the store's own position: it is
//! read on another connection, by this process or by a peer, and every revision up to it must have
//! been delivered by one of the watches.
//!
//! A watch that returns proves more than the changes that it delivers: its topic is complete up to
//! the position that it names, and up to any position that was known when the watch was issued.
//! So a revision is accounted for if a watch has delivered it, or if all topics are complete up to
//! it. The latter also covers changes of keys that belong to no topic.
//!
//! Edge cases:
//!
//! - Revisions of another era are other changes. After a restore, all topics have to be complete in
//!   the new era before single revisions count again.
//! - Changes that arrive far ahead of a missing one are not all remembered. The missing one is then
//!   reported late by at most the time in which all topics become complete.

use std::collections::BTreeSet;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::position::Position;
use crate::time::MonoMs;

/// Most revisions that are remembered while an earlier one is missing.
const MAX_AHEAD: usize = 4_096;

/// A position that the store has reached and the watches have not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Awaited {
    /// The store's position.
    pub position: Position,
    /// When this process learnt of it.
    pub since_ms: MonoMs,
}

/// What the watches of a store have delivered.
#[derive(Clone, Debug)]
pub struct WatchProgress<T> {
    /// The position up to which each topic is complete.
    complete_topics: IndexMap<T, Position>,
    /// The position up to which all changes are accounted for.
    complete: Position,
    /// Delivered revisions after `complete`, in its era.
    ahead: BTreeSet<u64>,
    /// The newest known position of the store, and when this process learnt of it.
    newest: Awaited,
    /// The first position that was not reached yet when this process learnt of it.
    awaited: Option<Awaited>,
}

impl<T: Copy + Eq + Hash> WatchProgress<T> {
    /// Starts without any delivered change.
    #[must_use]
    pub fn new(topics: impl IntoIterator<Item = T>) -> Self {
        let topics = topics.into_iter();
        Self {
            complete_topics: topics.map(|topic| (topic, Position::default())).collect(),
            complete: Position::default(),
            ahead: BTreeSet::new(),
            newest: Awaited {
                position: Position::default(),
                since_ms: MonoMs(0),
            },
            awaited: None,
        }
    }

    /// Records changes that a watch or a read of a topic has delivered, and the position up to which
    /// the topic is complete.
    pub fn on_delivered(
        &mut self,
        topic: T,
        changes: impl IntoIterator<Item = Position>,
        complete: Position,
    ) {
        let (era, revision) = (self.complete.era, self.complete.revision);
        let ahead = changes
            .into_iter()
            .filter(|change| change.era == era && change.revision > revision);
        let room = MAX_AHEAD.saturating_sub(self.ahead.len());
        self.ahead
            .extend(ahead.take(room).map(|change| change.revision));
        let known = self.complete_topics.entry(topic).or_default();
        *known = complete.max(*known);
        self.advance();
    }

    /// Records the position that the store has reached; returns whether changes up to it are
    /// awaited that were not awaited before.
    pub fn on_store_position(&mut self, position: Position, now_ms: MonoMs) -> bool {
        if position > self.newest.position {
            self.newest = Awaited {
                position,
                since_ms: now_ms,
            };
        }
        let is_first = self.awaited.is_none();
        self.await_newest();
        is_first && self.awaited.is_some()
    }

    /// The position that is awaited for the longest time; `None` if nothing is.
    #[must_use]
    pub fn awaited(&self) -> Option<Awaited> {
        self.awaited
    }

    /// The newest known position of the store.
    #[must_use]
    pub fn newest(&self) -> Position {
        self.newest.position
    }

    /// Whether the topic may lack changes up to `position`.
    #[must_use]
    pub fn is_incomplete(&self, topic: T, position: Position) -> bool {
        let known = self.complete_topics.get(&topic);
        known.is_none_or(|known| *known < position)
    }

    fn advance(&mut self) {
        let topics = self.complete_topics.values().copied();
        let all_topics = topics.min().unwrap_or_default();
        if all_topics > self.complete {
            let is_same_era = all_topics.era == self.complete.era;
            self.complete = all_topics;
            self.ahead
                .retain(|revision| is_same_era && *revision > all_topics.revision);
        }
        while self.ahead.remove(&(self.complete.revision + 1)) {
            self.complete.revision += 1;
        }
        let complete = self.complete;
        self.awaited.take_if(|awaited| awaited.position <= complete);
        self.await_newest();
    }

    fn await_newest(&mut self) {
        if self.newest.position > self.complete {
            self.awaited.get_or_insert(self.newest);
        }
    }
}
