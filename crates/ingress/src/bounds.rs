//! The bounds that follow from the limits of a process.

use berylhook_operator::ProcessLimits;

/// Memory that a process needs for itself at the largest deployments, with its targets, peers and
/// the store.
const OWN_MEMORY_BYTES: u64 = 64_000_000;

/// The largest part of a small VM's memory that the process keeps for itself, in percent.
const MAX_OWN_PERCENT: u64 = 40;

/// Memory of one connection: its task, its read and write buffers, and what the kernel queues within
/// the sizes that [`bound_kernel_buffers`](crate::bound_kernel_buffers) sets.
const CONNECTION_BYTES: u64 = 48 << 10;

/// What a process keeps for its clients at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of other processes of the system.
    pub peer_connections: usize,
    /// Connections of probes, to each of their ports.
    pub probe_connections: usize,
    /// Bytes of the bodies of callers' requests and of their responses.
    pub body_bytes: u64,
}

impl Bounds {
    /// The bounds of a process with these limits.
    ///
    /// Callers' connections get half of the descriptors that are not kept for files, since a request
    /// may take another one to its target, and half of the memory that the process does not need
    /// itself. Bodies get the other half of it.
    #[must_use]
    pub fn of(limits: &ProcessLimits) -> Self {
        let memory_bytes = limits.memory_bytes();
        let own_bytes = OWN_MEMORY_BYTES.min(memory_bytes / 100 * MAX_OWN_PERCENT);
        let shared_bytes = memory_bytes.saturating_sub(own_bytes) / 2;
        let descriptors = limits.connection_descriptors();
        let caller_connections = (shared_bytes / CONNECTION_BYTES).min(descriptors / 2);
        Self {
            caller_connections: count(caller_connections),
            peer_connections: count(descriptors / 4),
            probe_connections: count(descriptors / 16),
            body_bytes: shared_bytes,
        }
    }
}

fn count(connections: u64) -> usize {
    usize::try_from(connections).unwrap_or(usize::MAX).max(1)
}
