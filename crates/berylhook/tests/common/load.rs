//! A steady load on some entries, and how many requests reach a target in any window.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::CallResult;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::poison::Fleet;

/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(25);

/// Sends requests at a steady rate, at each entry in turn and over each path in turn, and
/// returns their answers.
pub async fn send_steadily(fleet: &Fleet, paths: &[&str], lasting: Duration) -> Vec<CallResult> {
    let mut requests = FuturesUnordered::new();
    let mut answers = Vec::new();
    let mut ticks = tokio::time::interval(PAUSE);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < lasting {
        tokio::select! {
            _ = ticks.tick() => {
                let path = paths[number / fleet.entries.len() % paths.len()];
                let attempt = format!("steady-{number}");
                requests.push(async move { fleet.send(number, path, &attempt, "hello").await });
                number += 1;
            }
            Some(answered) = requests.next() => answers.push(answered),
        }
    }
    answers.extend(requests.collect::<Vec<_>>().await);
    answers
}

/// The largest number of these moments in any window of that length, from `from` on.
pub fn most_in_window(moments: &[Instant], from: Instant, window: Duration) -> usize {
    let mut counted: Vec<Instant> = moments.iter().copied().filter(|it| *it >= from).collect();
    counted.sort_unstable();
    let in_window = |(index, last): (usize, &Instant)| {
        let first = counted.partition_point(|it| *it + window <= *last);
        index + 1 - first
    };
    counted.iter().enumerate().map(in_window).max().unwrap_or(0)
}
