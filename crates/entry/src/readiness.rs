//! Whether callers may be sent to this entry.

/// A condition that an entry must meet before it serves callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The entry accepts connections of callers.
    ListenerOpen,
    /// A configuration is in force.
    Configuration,
    /// The entry knows the list of targets, which can be read later than the configuration.
    TargetsKnown,
    /// The entry knows which data centres are evacuated, if the deployment has evacuation.
    EvacuationKnown,
    /// The entry knows which requests are quarantined.
    QuarantineLoaded,
}

impl Requirement {
    /// All conditions.
    pub const ALL: [Self; 5] = [
        Self::ListenerOpen,
        Self::Configuration,
        Self::TargetsKnown,
        Self::EvacuationKnown,
        Self::QuarantineLoaded,
    ];
}

/// Whether an entry that meets these requirements can serve callers.
pub fn is_ready(is_met: impl Fn(Requirement) -> bool) -> bool {
    Requirement::ALL.into_iter().all(is_met)
}
