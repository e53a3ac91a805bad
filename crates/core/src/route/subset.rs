//! Selects the targets that a process connects to in a large fleet.
//!
//! If every entry connected to every target, the number of connections and
//! heartbeats would be entries times targets. Each entry instead connects to a
//! bounded subset, selected by rendezvous hashing: when a target is added or
//! removed, an entry's subset changes by at most one target, and each target is
//! in the subsets of about equally many entries.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the `size` members of `targets` that the process named `own` connects to.
#[must_use]
pub fn subset<'a>(own: &str, targets: &[&'a str], size: usize) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(own.as_bytes(), 0);
    let mut ranked: Vec<_> = targets
        .iter()
        .map(|target| (xxh3_64_with_seed(target.as_bytes(), seed), *target))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, target)| target).collect()
}
