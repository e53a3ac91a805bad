//! Callers of a fleet whose targets exit on one part of a prompt.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use berylhook_test_support::POISON_PART;
use berylhook_test_support::calls::{CallResult, Caller};
use futures_util::future::join_all;

use super::entry::API_KEY;
use super::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME};

/// Time between two requests with the poison part.
pub const POISON_INTERVAL: Duration = Duration::from_millis(350);

/// Sound requests that are in progress at a time.
const LANES: usize = 8;

/// The parts that all requests share, the sound ones too.
const FIRST_PART: &str = "5c1e07a2";
const SECOND_PART: &str = "91bd3f06";

/// Sends a request whose prompt has these parts; no two requests have the same body.
pub async fn send_parts(
    fleet: &Fleet,
    entry: usize,
    path: &str,
    attempt: &str,
    parts: &str,
) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", attempt),
        ("berylhook-deadline-ms", "3000"),
        ("berylhook-prefix-hash", parts),
    ];
    let entry = &fleet.entries[entry % fleet.entries.len()];
    let body = format!("the draft of {attempt}");
    let caller = Caller::new(API_KEY);
    caller
        .post(entry.caller_address, path, &body, &headers)
        .await
}

/// The parts of a request with the poison part between two that all requests share.
pub fn poison_parts(number: usize) -> String {
    format!("{FIRST_PART}:40,{POISON_PART}:20,{SECOND_PART}:60,{number:08x}:9")
}

/// The parts of a sound request.
pub fn sound_parts(number: usize) -> String {
    format!("{FIRST_PART}:40,{SECOND_PART}:60,{number:08x}:9")
}

/// What became of the sound requests.
#[derive(Debug, Default)]
pub struct SoundRequests {
    pub served: AtomicUsize,
    pub sent: AtomicUsize,
}

/// Sends sound requests in several lanes, and `poison_requests` with the poison part beside them.
/// Returns what became of the sound requests that were sent after the last poison request.
pub async fn send_poison_beside_sound(
    fleet: &Fleet,
    path: &str,
    poison_requests: usize,
) -> SoundRequests {
    let poison_time = POISON_INTERVAL * u32::try_from(poison_requests).expect("a small number");
    let poison_end = Instant::now() + poison_time;
    let end = poison_end + Duration::from_secs(1);
    let late = SoundRequests::default();
    let lanes = (0..LANES).map(|lane| {
        let late = &late;
        async move {
            let mut number = lane;
            while Instant::now() < end {
                let attempt = format!("sound-{number}");
                let is_late = Instant::now() >= poison_end;
                let parts = sound_parts(number);
                let result = send_parts(fleet, number, path, &attempt, &parts).await;
                let is_served = result.status == 200 && result.is_complete;
                late.sent.fetch_add(usize::from(is_late), Ordering::Relaxed);
                let is_late_and_served = is_late && is_served;
                late.served
                    .fetch_add(usize::from(is_late_and_served), Ordering::Relaxed);
                number += LANES;
            }
        }
    });
    let poison = async {
        let sends = (0..poison_requests).map(|number| async move {
            let delay = POISON_INTERVAL * u32::try_from(number).expect("a small number");
            tokio::time::sleep(delay).await;
            let attempt = format!("poison-{number}");
            let parts = poison_parts(1_000_000 + number);
            send_parts(fleet, number, path, &attempt, &parts).await
        });
        join_all(sends).await
    };
    let _ = tokio::join!(join_all(lanes), poison);
    late
}

/// Sends requests with the poison part until one is refused; returns how many targets have exited.
pub async fn put_part_on_hold(fleet: &Fleet) -> usize {
    for number in 0..4 {
        let attempt = format!("early-{number}");
        let sound = format!("sound-{number}");
        send_parts(fleet, number, "/unsafe/draft", &sound, &sound_parts(number)).await;
        let parts = poison_parts(1_000 + number);
        send_parts(fleet, number, "/unsafe/draft", &attempt, &parts).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
    let exits = fleet.exited_count();
    assert!((2..=MAX_EXITS).contains(&exits), "{exits} targets exited");
    exits
}
