//! The cold period of a target, and the requests that this entry may send to it meanwhile.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;

use crate::cold::{ColdPolicy, ColdReport, ColdSource, KnownEntries};
use crate::target::Incarnation;

/// Length of the sliding window: one second, and the difference between the times that two requests
/// take to arrive, of which one may have to connect first.
const WINDOW_MS: u64 = 1_050;

/// Added to the score of a cold target, in requests. A warm target that is fuller by up to half of
/// an engine's usual ten slots is preferred. Chosen without a measurement of how slow cold targets
/// are.
const COLD_PENALTY: f64 = 5.0;

/// How this entry treats cold targets.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Rules {
    policy: ColdPolicy,
    entries: KnownEntries,
}

/// This entry's share of the requests at a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    /// Requests that this entry may send within the window.
    own: u32,
    /// Requests of all entries.
    total: u32,
}

/// The end of a cold period, and when this entry learnt of it.
#[derive(Clone, Copy, Debug, Default)]
struct ColdPeriod {
    received_ms: MonoMs,
    until_ms: MonoMs,
}

/// What one entry knows of one target's cold period.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdState {
    listed_until_ms: MonoMs,
    health_response: ColdPeriod,
    evacuation_end: ColdPeriod,
    /// `None` where cold targets are not bounded.
    share: Option<Share>,
    /// Times of the last requests that were sent. Recorded for warm targets too, as a target may
    /// have become cold before this entry learns of it.
    sent_ms: VecDeque<MonoMs>,
    /// Requests that are placed and not sent yet.
    placed: u32,
    /// The latest end and its source at the last report; `None` if the target was warm.
    reported: Option<(MonoMs, ColdSource)>,
}

impl ColdState {
    /// The latest end of all sources.
    fn end(&self) -> (MonoMs, ColdSource) {
        let ends = [
            (self.listed_until_ms, ColdSource::Listing),
            (self.health_response.until_ms, ColdSource::HealthResponse),
            (self.evacuation_end.until_ms, ColdSource::EvacuationEnd),
        ];
        let latest = ends.into_iter().max_by_key(|(until_ms, _)| *until_ms);
        latest.expect("there are three sources")
    }

    /// Whether the target is cold, and the service's cold targets are bounded.
    pub(super) fn is_cold(&self, now_ms: MonoMs) -> bool {
        self.share.is_some() && now_ms < self.end().0
    }

    /// Applies the target's own report, which has no further effect when it is applied again.
    pub(super) fn on_report(&mut self, report: ColdReport) {
        let received_ms = report.received_ms;
        if report.left_ms > 0 {
            let until_ms = received_ms + report.left_ms;
            self.listed_until_ms = self.listed_until_ms.max(until_ms);
            return;
        }
        self.listed_until_ms = self.listed_until_ms.min(received_ms);
        for period in [&mut self.health_response, &mut self.evacuation_end] {
            if received_ms > period.received_ms {
                period.until_ms = period.until_ms.min(received_ms);
            }
        }
    }

    /// Applies the time in a health response.
    pub(super) fn on_health_response(&mut self, left_ms: u64, now_ms: MonoMs) {
        if left_ms > 0 {
            extend(&mut self.health_response, left_ms, now_ms);
        }
    }

    /// Notes that the evacuation of the target's data centre has ended.
    pub(super) fn on_evacuation_end(&mut self, left_ms: u64, now_ms: MonoMs) {
        extend(&mut self.evacuation_end, left_ms, now_ms);
    }

    /// Whether a request may be sent now.
    pub(super) fn may_send(&self, now_ms: MonoMs) -> bool {
        self.has_room(self.sent_within_window(now_ms), now_ms)
    }

    /// Whether a request may be placed now; it also needs room beside those placed before.
    pub(super) fn can_place(&self, now_ms: MonoMs) -> bool {
        let used = self.sent_within_window(now_ms);
        self.has_room(used.saturating_add(self.placed), now_ms)
    }

    fn has_room(&self, used: u32, now_ms: MonoMs) -> bool {
        !self.is_cold(now_ms) || self.share.is_none_or(|share| used < share.own)
    }

    /// What is added to the target's score, in requests. Of two cold targets, the one with less of
    /// its share in use is preferred.
    pub(super) fn penalty(&self, now_ms: MonoMs) -> f64 {
        match self.share {
            Some(share) if self.is_cold(now_ms) => {
                let used = self.sent_within_window(now_ms).saturating_add(self.placed);
                COLD_PENALTY + f64::from(used) / f64::from(share.own.max(1))
            }
            _ => 0.0,
        }
    }

    fn sent_within_window(&self, now_ms: MonoMs) -> u32 {
        // At most as many times are kept as all entries together may send.
        let is_recent = |sent_ms: &&MonoMs| now_ms.since(**sent_ms) <= WINDOW_MS;
        let recent = self.sent_ms.iter().rev().take_while(is_recent);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Notes that a request was placed at the target.
    pub(super) fn place(&mut self) {
        self.placed += 1;
    }

    /// Cancels all placed requests: the target is not listed any more, so none of them is sent.
    pub(super) fn cancel_placements(&mut self) {
        self.placed = 0;
    }

    /// Whether the target is cold, or has got requests within the window.
    pub(super) fn is_restricting(&self, now_ms: MonoMs) -> bool {
        self.is_cold(now_ms) || self.sent_within_window(now_ms) > 0
    }

    /// Notes that a placed request is sent or cancelled.
    pub(super) fn remove_placed(&mut self) {
        self.placed = self.placed.saturating_sub(1);
    }

    /// Counts a request that is sent now.
    pub(super) fn record_sent(&mut self, now_ms: MonoMs) {
        let Some(share) = self.share else {
            return;
        };
        self.sent_ms.push_back(now_ms);
        while self.sent_ms.len() > share.total as usize {
            self.sent_ms.pop_front();
        }
    }

    /// The source, the remaining time and this entry's share, if the target has become cold or warm
    /// since the last call.
    pub(super) fn take_change(&mut self, now_ms: MonoMs) -> Option<(ColdSource, u64, u32)> {
        let share = self.share.map_or(0, |share| share.own);
        let current = self.is_cold(now_ms).then(|| self.end());
        let previous = std::mem::replace(&mut self.reported, current);
        match (previous, current) {
            (Some((_, source)), None) => Some((source, 0, share)),
            (None, Some((until_ms, source))) => Some((source, until_ms.since(now_ms), share)),
            _ => None,
        }
    }
}

fn extend(period: &mut ColdPeriod, left_ms: u64, now_ms: MonoMs) {
    *period = ColdPeriod {
        received_ms: now_ms,
        until_ms: period.until_ms.max(now_ms + left_ms),
    };
}

/// What the cold targets of a service have in common.
#[derive(Debug, Default)]
pub(super) struct ColdTargets {
    /// `None` where cold targets are not bounded.
    rules: Option<Rules>,
}

impl ColdTargets {
    /// Replaces the policy; returns whether the shares have changed.
    pub(super) fn set_policy(
        &mut self,
        policy: Option<ColdPolicy>,
        entries: &KnownEntries,
    ) -> bool {
        let rules = policy.map(|policy| Rules {
            policy,
            entries: entries.clone(),
        });
        let is_changed = self.rules != rules;
        self.rules = rules;
        is_changed
    }

    /// How long a target is cold after its start; `None` where cold targets are not bounded.
    pub(super) fn start_ms(&self) -> Option<u64> {
        self.rules.as_ref().map(|rules| rules.policy.start_ms)
    }

    /// Sets this entry's share at a target.
    pub(super) fn set_share(&self, state: &mut ColdState, incarnation: &Incarnation) {
        state.share = self.rules.as_ref().map(|rules| {
            let total = rules.policy.total_per_s;
            Share {
                own: rules.entries.share(total, &incarnation.id),
                total,
            }
        });
    }
}
