//! Whether callers may be sent to this entry.

/// What an entry needs before it can serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Connections of callers are taken.
    pub is_listening: bool,
    /// A configuration is in force.
    pub has_configuration: bool,
    /// The process was told to stop.
    pub is_stopping: bool,
}

impl Readiness {
    /// Whether the platform may send callers here.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self.is_listening && self.has_configuration && !self.is_stopping
    }
}
