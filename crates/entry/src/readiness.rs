//! Whether callers may be sent to this entry.

/// What an entry needs before it can serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// Connections of callers are taken.
    ListenerOpen,
    /// A configuration is in force.
    Configuration,
    /// It is known which requests are held back.
    QuarantineLoaded,
}

impl Requirement {
    /// All of them.
    pub const ALL: [Self; 3] = [
        Self::ListenerOpen,
        Self::Configuration,
        Self::QuarantineLoaded,
    ];
}

/// Whether an entry that meets these requirements can serve callers.
pub fn is_ready(is_met: impl Fn(Requirement) -> bool) -> bool {
    Requirement::ALL.into_iter().all(is_met)
}
