//! A constant request rate over several entries, and the peak number of requests that a target
//! receives in any window.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::CallResult;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::poison::Fleet;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Sends requests at a constant rate for `duration`, cycling through the entries and then through
/// `paths`, and returns the responses.
pub async fn send_steadily(fleet: &Fleet, paths: &[&str], duration: Duration) -> Vec<CallResult> {
    let mut requests = FuturesUnordered::new();
    let mut responses = Vec::new();
    let mut ticker = tokio::time::interval(REQUEST_INTERVAL);
    let started_at = Instant::now();
    let mut sent_count = 0;
    while started_at.elapsed() < duration {
        tokio::select! {
            _ = ticker.tick() => {
                let path = paths[sent_count / fleet.entries.len() % paths.len()];
                let attempt = format!("steady-{sent_count}");
                requests.push(async move { fleet.send(sent_count, path, &attempt, "hello").await });
                sent_count += 1;
            }
            Some(response) = requests.next() => responses.push(response),
        }
    }
    responses.extend(requests.collect::<Vec<_>>().await);
    responses
}

/// Returns the largest number of `instants` at or after `from` that lie in any window of length
/// `window`.
pub fn max_in_window(instants: &[Instant], from: Instant, window: Duration) -> usize {
    let mut sorted: Vec<Instant> = instants
        .iter()
        .copied()
        .filter(|instant| *instant >= from)
        .collect();
    sorted.sort_unstable();
    let in_window = |(index, last): (usize, &Instant)| {
        let first = sorted.partition_point(|instant| *instant + window <= *last);
        index + 1 - first
    };
    sorted.iter().enumerate().map(in_window).max().unwrap_or(0)
}
