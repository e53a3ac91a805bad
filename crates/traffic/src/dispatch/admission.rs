//! Admission by urgency, for services whose requests differ in urgency.
//!
//! Queued requests are ordered by priority class: more urgent requests first, and within the same
//! urgency those that can still meet their objective before those that are late. A class may use a
//! free slot only if enough slots stay free for the better classes, which is known as trunk
//! reservation. Two conditions apply:
//!
//! - *Reserve*: some slots stay free for better requests that arrive between two releases of slots.
//! - *Shortage*: the slots in use become free as their requests end, which is expected one mean
//!   slot time after their start. Better requests that arrive before enough of them have ended
//!   need free slots. In a steady state the reserve covers this. After an outage, all slots are
//!   free at once, and requests that start together also end together. Only late requests have to
//!   leave these slots: if requests that are on time did so too, slots would be empty while their
//!   callers are refused. Nor do late requests leave slots to newcomers of their urgency while
//!   first events take longer than their objective, so that newcomers will be late as well.
//!
//! The same quantities yield the expected wait of a request, and a request that is not expected to
//! be placed within its wait limit is refused at once.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::demand::SlotDemand;

/// Reserve as a fraction of the standard deviation of the better classes' slots in use, which is
/// the square root of their mean if they arrive independently of each other.
const RESERVE_FRACTION: f64 = 0.5;

/// How long better requests can wait for a slot without becoming late: half of the time that an
/// objective of 400 ms leaves for it.
const TOLERATED_WAIT_S: f64 = 0.1;

/// Number of latest first events from which their latency is estimated: those of one or two seconds
/// at an entry with 40 slots.
const FIRST_EVENT_COUNT: usize = 32;

/// Quantile of the latest first events that counts as their latency.
const FIRST_EVENT_QUANTILE: f64 = 0.9;

/// Interval between two checks of the queued requests for those to refuse. The checks follow each
/// event of a stream, which are some 500 per second at an entry with a fraction of a processor.
const REFUSAL_CHECK_INTERVAL_MS: u64 = 20;

const MS_PER_S: f64 = 1_000.0;

/// The rank of a request among those of its service; lower values go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PriorityClass {
    /// Whether the request has not started yet. Interrupted responses are resumed first.
    pub(super) is_new: bool,
    /// 0 is the most urgent.
    pub(super) urgency: u32,
    /// Whether the request can no longer meet its objective.
    pub(super) is_late: bool,
}

impl PriorityClass {
    /// The class of the same requests once they are late.
    pub(super) fn late(self) -> Self {
        Self {
            is_late: true,
            ..self
        }
    }
}

/// The slots of an entry, which is a front-end process.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotUse {
    /// Largest number of requests that may run at once.
    pub(super) limit: f64,
    pub(super) running: usize,
}

/// Outcomes of the requests of one urgency.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LevelCounts {
    pub(super) admitted: u32,
    pub(super) refused: u32,
}

/// What is measured of the requests of one service at one entry.
pub(super) struct Admission {
    demand: SlotDemand,
    /// When the running requests started, the earliest first. An ended request is taken to be the
    /// earliest, as slot times are similar.
    started: VecDeque<MonoMs>,
    /// Latencies of the latest first events.
    first_event_ms: VecDeque<f64>,
    /// Outcomes by urgency since they were last taken.
    level_counts: IndexMap<u32, LevelCounts>,
    /// When the queued requests were last checked for those to refuse.
    refusals_checked_ms: MonoMs,
    /// The urgencies whose last newcomer could still meet its objective.
    on_time_urgencies: IndexSet<u32>,
}

impl Admission {
    /// Starts with `running` requests, whose starts are unknown.
    pub(super) fn new(expected_slot_ms: f64, running: usize, now_ms: MonoMs) -> Self {
        Self {
            demand: SlotDemand::new(expected_slot_ms),
            started: std::iter::repeat_n(now_ms, running).collect(),
            first_event_ms: VecDeque::new(),
            level_counts: IndexMap::new(),
            refusals_checked_ms: MonoMs(0),
            on_time_urgencies: IndexSet::new(),
        }
    }

    pub(super) fn mean_slot_ms(&self) -> f64 {
        self.demand.mean_slot_ms()
    }

    pub(super) fn demand(&mut self) -> &mut SlotDemand {
        &mut self.demand
    }

    /// Whether the next check of the queued requests for those to refuse is due. Calls in between
    /// change nothing.
    pub(super) fn is_refusal_check_due(&mut self, now_ms: MonoMs) -> bool {
        let is_due = now_ms.since(self.refusals_checked_ms) >= REFUSAL_CHECK_INTERVAL_MS;
        if is_due {
            self.refusals_checked_ms = now_ms;
        }
        is_due
    }

    pub(super) fn level_counts(&mut self, urgency: u32) -> &mut LevelCounts {
        self.level_counts.entry(urgency).or_default()
    }

    /// Returns the outcomes by urgency and starts new counts. Urgencies without requests stay, so
    /// that their gauges return to zero.
    pub(super) fn take_level_counts(&mut self) -> IndexMap<u32, LevelCounts> {
        let counts = self.level_counts.clone();
        self.level_counts
            .values_mut()
            .for_each(|counts| *counts = LevelCounts::default());
        counts
    }

    /// Counts a new request, and notes whether it can meet its objective if it gets a slot at once.
    pub(super) fn on_arrival(&mut self, urgency: u32, can_be_on_time: bool, now_ms: MonoMs) {
        self.demand.on_arrival(urgency, now_ms);
        if can_be_on_time {
            self.on_time_urgencies.insert(urgency);
        } else {
            self.on_time_urgencies.swap_remove(&urgency);
        }
    }

    pub(super) fn on_started(&mut self, now_ms: MonoMs) {
        self.started.push_back(now_ms);
    }

    pub(super) fn on_ended(&mut self) {
        self.started.pop_front();
    }

    pub(super) fn on_first_event(&mut self, latency_ms: f64) {
        if self.first_event_ms.len() == FIRST_EVENT_COUNT {
            self.first_event_ms.pop_front();
        }
        self.first_event_ms.push_back(latency_ms);
    }

    /// A high quantile of the time from sending a request to its first event; `None` before the
    /// first one.
    pub(super) fn first_event_latency_ms(&self) -> Option<f64> {
        let mut latencies: Vec<f64> = self.first_event_ms.iter().copied().collect();
        latencies.sort_unstable_by(f64::total_cmp);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )] // an index below the length
        let index = (latencies.len() as f64 * FIRST_EVENT_QUANTILE) as usize;
        latencies.get(index).copied()
    }

    /// Forecasts the slots that are available to each class.
    pub(super) fn outlooks(&mut self, slots: SlotUse, now_ms: MonoMs) -> Outlooks {
        Outlooks {
            slots,
            slot_s: self.demand.mean_slot_ms() / MS_PER_S,
            arrivals_per_s: self.demand.arrivals_per_s(now_ms),
            on_time_urgencies: self.on_time_urgencies.clone(),
            releases_s: self.releases_s(slots.running, now_ms),
            by_class: IndexMap::new(),
        }
    }

    /// Seconds until each of the `running` requests is expected to end, in ascending order. Requests
    /// that run for longer than expected are taken to end at the mean rate.
    ///
    /// Requests that are not among the `running` ones free no slot of this entry. They get no
    /// successors, so they are taken to be those that started first.
    fn releases_s(&self, running: usize, now_ms: MonoMs) -> Vec<f64> {
        let slot_ms = self.demand.mean_slot_ms();
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let interval_ms = slot_ms / running.max(1) as f64;
        let uncounted = self.started.len().saturating_sub(running);
        let mut overdue_ms = 0.0;
        let releases_ms = self.started.iter().skip(uncounted).map(|started_ms| {
            #[allow(clippy::cast_precision_loss)] // a few seconds
            let left_ms = slot_ms - now_ms.since(*started_ms) as f64;
            if left_ms > 0.0 {
                return left_ms;
            }
            overdue_ms += interval_ms;
            overdue_ms
        });
        let mut releases_s: Vec<f64> = releases_ms.map(|ms| ms / MS_PER_S).collect();
        releases_s.sort_unstable_by(f64::total_cmp);
        releases_s
    }
}

/// The largest number of slots within the next slot time by which the arrivals of better classes
/// exceed the releases.
fn shortage(better_per_s: f64, slot_s: f64, releases_s: &[f64]) -> f64 {
    let ends_s = releases_s.iter().map(|release_s| release_s.min(slot_s));
    let until_s = ends_s.chain([slot_s]);
    #[allow(clippy::cast_precision_loss)] // a few hundred at most
    let missing = until_s.enumerate().map(|(released, until_s)| {
        let arrived = better_per_s * (until_s - TOLERATED_WAIT_S).max(0.0);
        arrived - released as f64
    });
    missing.fold(0.0, f64::max)
}

/// The slots that are expected to be available to each class at one moment.
pub(super) struct Outlooks {
    slots: SlotUse,
    slot_s: f64,
    arrivals_per_s: IndexMap<u32, f64>,
    /// The urgencies whose last newcomer could still meet its objective.
    on_time_urgencies: IndexSet<u32>,
    /// Seconds until each of the running requests is expected to end, in ascending order.
    releases_s: Vec<f64>,
    /// Outlooks that were asked for.
    by_class: IndexMap<PriorityClass, Outlook>,
}

impl Outlooks {
    /// Requests that occupy slots of the entry.
    pub(super) fn running(&self) -> usize {
        self.slots.running
    }

    /// The outlook of a class.
    pub(super) fn of(&mut self, class: PriorityClass) -> Outlook {
        if let Some(outlook) = self.by_class.get(&class) {
            return *outlook;
        }
        let outlook = self.forecast(class);
        self.by_class.insert(class, outlook);
        outlook
    }

    /// Of the queued requests that `counts` has by class, those that get a slot before a new one of
    /// the class: those of the class and of better ones, but not of late classes that have to leave
    /// more slots than this class.
    pub(super) fn count_ahead(
        &mut self,
        counts: &IndexMap<PriorityClass, usize>,
        class: PriorityClass,
    ) -> usize {
        let margin = self.of(class).margin();
        let better = counts.iter().filter(|(better, _)| **better <= class);
        let ahead = better.filter(|(better, _)| self.of(**better).margin() <= margin);
        ahead.map(|(_, count)| count).sum()
    }

    /// Expected wait in milliseconds of a request of the class behind `ahead` others; infinite if
    /// the class gets no slots at present.
    pub(super) fn expected_wait_ms(&mut self, class: PriorityClass, ahead: usize) -> f64 {
        self.of(class).expected_wait_ms(ahead, &self.releases_s)
    }

    fn forecast(&self, class: PriorityClass) -> Outlook {
        let better_per_s = self.better_per_s(class);
        let reserve = (RESERVE_FRACTION * (better_per_s * self.slot_s).sqrt()).round();
        let limit = self.slots.limit.ceil();
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let free = limit - self.slots.running as f64;
        Outlook {
            free,
            limit,
            slot_s: self.slot_s,
            better_per_s,
            reserve,
            shortage: if class.is_late {
                shortage(better_per_s, self.slot_s, &self.releases_s)
            } else {
                0.0
            },
        }
    }

    /// Arrivals per second of better classes. Newcomers of the same urgency are better than a late
    /// request if they can be on time.
    fn better_per_s(&self, class: PriorityClass) -> f64 {
        let includes_own = class.is_late && self.on_time_urgencies.contains(&class.urgency);
        let is_better = |urgency: u32| {
            class.is_new && (urgency < class.urgency || includes_own && urgency == class.urgency)
        };
        let rates = self.arrivals_per_s.iter();
        let better = rates.filter(|(urgency, _)| is_better(**urgency));
        better.fold(0.0, |sum, (_, per_s)| sum + per_s)
    }
}

/// The slots that are expected to be available to a class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    pub(super) free: f64,
    pub(super) limit: f64,
    slot_s: f64,
    better_per_s: f64,
    /// Slots that stay free for better classes.
    pub(super) reserve: f64,
    /// Arrivals of better classes before enough slots become free; 0 for a class that is on time.
    shortage: f64,
}

impl Outlook {
    /// Free slots that the class has to leave.
    pub(super) fn margin(&self) -> f64 {
        self.reserve.max(self.shortage)
    }

    /// Whether a request of the class may use a free slot.
    pub(super) fn admits(&self) -> bool {
        self.free - 1.0 >= self.margin()
    }

    #[allow(clippy::cast_precision_loss)] // a few hundred at most
    fn expected_wait_ms(&self, ahead: usize, releases_s: &[f64]) -> f64 {
        if self.limit < 1.0 {
            return f64::INFINITY;
        }
        let needed = ahead as f64 + 1.0;
        if self.free - needed >= self.margin() {
            return 0.0;
        }
        let available = |released: usize, after_s: f64| {
            self.free + released as f64 - self.better_per_s * after_s - self.reserve
        };
        let mut releases = releases_s.iter().enumerate();
        let sufficient = releases.find(|(before, at_s)| available(before + 1, **at_s) >= needed);
        let wait_s = match sufficient {
            Some((_, release_s)) => *release_s,
            None => {
                let missing = needed - available(releases_s.len(), self.slot_s);
                let rate_per_s = self.limit / self.slot_s - self.better_per_s;
                if rate_per_s <= 0.0 {
                    return f64::INFINITY;
                }
                self.slot_s + (missing / rate_per_s).max(0.0)
            }
        };
        wait_s * MS_PER_S
    }
}
