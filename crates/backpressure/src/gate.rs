//! What one incarnation of a target has said last.

use berylhook_core::time::MonoMs;

use crate::rate::RequestRate;
use crate::signal::LimitSignal;

/// A change of what a target has said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit until now, and how long ago the target last said so.
    pub former: Option<(RequestRate, u64)>,
    /// The limit from now on.
    pub limit: Option<RequestRate>,
}

/// One target, as an entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    limit: Option<RequestRate>,
    /// When the target last said so.
    heard_ms: MonoMs,
}

impl Gate {
    /// An answer of the target has come.
    pub fn hear(&mut self, signal: LimitSignal, now_ms: MonoMs) -> Option<LimitChange> {
        let limit = match signal {
            LimitSignal::Absent => None,
            LimitSignal::Named(rate) => Some(rate),
            // A limit that could be read before is the better guess.
            LimitSignal::Unreadable => Some(self.limit.unwrap_or(RequestRate::UNREADABLE)),
        };
        self.set(limit, now_ms)
    }

    fn set(&mut self, limit: Option<RequestRate>, heard_ms: MonoMs) -> Option<LimitChange> {
        let former = self.limit.map(|rate| (rate, heard_ms.since(self.heard_ms)));
        self.heard_ms = heard_ms;
        if self.limit == limit {
            return None;
        }
        self.limit = limit;
        Some(LimitChange { former, limit })
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }
}
