//! What a VM allows one process, as its settings state it.

use crate::ini_file::{IniError, IniFile, Section};

const MEMORY_REMEDY: &str =
    "write the process's memory as a whole number of megabytes, at least 64, such as 256";
const DESCRIPTORS_REMEDY: &str =
    "write the process's file descriptors as a whole number, at least 300, such as 4096";

/// The least memory with which a process serves a request of any size that is allowed.
const MIN_MEMORY_MB: u64 = 64;

/// Leaves some connections beside [`RESERVED_DESCRIPTORS`].
const MIN_DESCRIPTORS: u64 = 300;

/// Descriptors that are kept for files, and are not available for connections.
pub const RESERVED_DESCRIPTORS: u64 = 200;

const BYTES_PER_MB: u64 = 1_000_000;

/// What a VM allows one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in megabytes of 10^6 bytes, with what the kernel holds for the process.
    pub memory_mb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            descriptors: 4_096,
        }
    }
}

impl ProcessLimits {
    /// Parses the optional section `[limits]`. Missing or empty values stand for the defaults.
    ///
    /// # Errors
    ///
    /// If a value is not valid; the error names the line, the setting and the remedy.
    pub fn parse(file: &IniFile) -> Result<Self, IniError> {
        let defaults = Self::default();
        let Some(section) = file.section("limits") else {
            return Ok(defaults);
        };
        section.reject_unknown_settings(&["memory_mb", "descriptors"])?;
        let memory_mb = at_least(section, "memory_mb", MIN_MEMORY_MB, MEMORY_REMEDY)?;
        let descriptors = at_least(section, "descriptors", MIN_DESCRIPTORS, DESCRIPTORS_REMEDY)?;
        Ok(Self {
            memory_mb: memory_mb.unwrap_or(defaults.memory_mb),
            descriptors: descriptors.unwrap_or(defaults.descriptors),
        })
    }

    /// The memory in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb.saturating_mul(BYTES_PER_MB)
    }

    /// The descriptors that connections may use.
    #[must_use]
    pub fn connection_descriptors(&self) -> u64 {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }
}

fn at_least(
    section: &Section,
    name: &str,
    minimum: u64,
    remedy: &str,
) -> Result<Option<u64>, IniError> {
    let Some(setting) = section.get(name).filter(|it| !it.value.is_empty()) else {
        return Ok(None);
    };
    match section.parse(name, remedy)? {
        value if value >= minimum => Ok(Some(value)),
        _ => Err(section.invalid_value(setting, remedy)),
    }
}
