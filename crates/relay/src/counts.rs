//! Counts as an agent tells them to a leader: what was added since the last
//! time, where both know it.
//!
//! Counts only grow, and hardly any number of a group of many ranks changes by
//! more than a few between two readings. Told whole, they were most of what
//! went between data centres.
//!
//! Each telling has a number. A leader says which one it has; the agent tells
//! the difference if that is the last one it told, and the whole otherwise: to
//! another leader, after an answer that was lost, after either has started
//! anew, and when the engine has, since its counts then begin at zero.

use berylhook_experts::demand::RankCounts;
use berylhook_experts::switching::{Epoch, Pass};
use serde::{Deserialize, Serialize};

/// The number of one telling.
///
/// An agent's first one is random: one that starts anew must not take another
/// telling for one of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Telling(pub u64);

/// Which counts a leader wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CountsWish {
    /// None.
    #[default]
    Nothing,
    /// The whole.
    Whole,
    /// What was added since this telling, or else the whole.
    Since(Telling),
}

/// Counts as they are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldCounts {
    /// This telling.
    pub telling: Telling,
    /// The telling to which `counts` have to be added; `None` if they are whole.
    pub base: Option<Telling>,
    /// The last pass counted.
    pub pass: Pass,
    /// The group's life.
    pub epoch: Epoch,
    /// Choices by expert, set after set.
    pub counts: Vec<u64>,
}

/// The agent's side: remembers what it told last.
#[derive(Debug)]
pub struct CountsTeller {
    next: Telling,
    last: Option<(Telling, RankCounts)>,
}

impl CountsTeller {
    /// Nothing told yet; the first telling has the number `first`.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self {
            next: Telling(first),
            last: None,
        }
    }

    /// Tells `now` as it is wished; `None` if no counts are.
    pub fn tell(&mut self, now: RankCounts, wish: CountsWish) -> Option<ToldCounts> {
        let telling = self.next;
        let difference = match wish {
            CountsWish::Nothing => return None,
            CountsWish::Whole => None,
            CountsWish::Since(base) => self.difference(base, &now),
        };
        let told = ToldCounts {
            telling,
            base: difference.as_ref().map(|(base, _)| *base),
            pass: now.pass,
            epoch: now.epoch,
            counts: difference.map_or_else(|| now.counts.clone(), |(_, counts)| counts),
        };
        self.next = Telling(telling.0.wrapping_add(1));
        self.last = Some((telling, now));
        Some(told)
    }

    fn difference(&self, base: Telling, now: &RankCounts) -> Option<(Telling, Vec<u64>)> {
        let (_, last) = self.last.as_ref().filter(|(told, _)| *told == base)?;
        if last.epoch != now.epoch || last.counts.len() != now.counts.len() {
            return None;
        }
        let pairs = now.counts.iter().zip(&last.counts);
        let added: Option<Vec<u64>> = pairs.map(|(now, last)| now.checked_sub(*last)).collect();
        Some((base, added?))
    }
}

/// The leader's side: what one agent told last, as a whole.
#[derive(Debug, Default)]
pub struct CountsCopy {
    last: Option<(Telling, RankCounts)>,
}

impl CountsCopy {
    /// What to ask for.
    #[must_use]
    pub fn wish(&self) -> CountsWish {
        let known = self.last.as_ref();
        known.map_or(CountsWish::Whole, |(telling, _)| {
            CountsWish::Since(*telling)
        })
    }

    /// Takes in what was told and gives the whole; `None` if it goes on from a
    /// telling that is not known here, so that the whole is asked for next.
    pub fn take(&mut self, told: ToldCounts) -> Option<RankCounts> {
        let before = self.last.take();
        let counts = match (told.base, before) {
            (None, _) => told.counts,
            (Some(base), Some((known, last))) if base == known => sum(&last.counts, &told.counts),
            (Some(_), _) => return None,
        };
        let whole = RankCounts {
            pass: told.pass,
            epoch: told.epoch,
            counts,
        };
        self.last = Some((told.telling, whole.clone()));
        Some(whole)
    }
}

fn sum(last: &[u64], added: &[u64]) -> Vec<u64> {
    let pairs = last.iter().zip(added);
    pairs.map(|(last, added)| last + added).collect()
}
