//! Which targets a process connects to when there are very many.
//!
//! Every entry connecting to every target costs entries times targets
//! connections and heartbeats. Each entry takes a bounded subset instead, by
//! rendezvous hash: when a target comes or goes, an entry's subset changes by
//! at most one, and targets are taken by about equally many entries.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The `size` members of `targets` that the process `own` connects to.
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
