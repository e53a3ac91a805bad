//! What one answer of a target says of how much it takes.

use crate::rate::RequestRate;

/// What an answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// Nothing: there is none.
    #[default]
    Absent,
    /// What the target takes from all entries together.
    Named(RequestRate),
    /// It names one that can't be read.
    Unreadable,
}

/// What an answer says of how much its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackpressureSignal {
    /// The limit over all entries.
    pub limit: LimitSignal,
    /// For how long the target wants nothing from this entry; `None` if it does not say.
    pub rest_ms: Option<u64>,
    /// Whether the target is about to leave.
    pub is_leaving: bool,
}
