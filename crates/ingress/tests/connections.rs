//! Which connection is closed for a new one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_ingress::{CloseCause, ConnectionGuard, ConnectionTable, Phase};

const MAX_CONNECTIONS: usize = 3;

/// Longer than a new client is given to send a request.
const LONG: Duration = Duration::from_secs(2);

fn open(table: &Arc<ConnectionTable>, phase: Phase, now: Instant) -> ConnectionGuard {
    let guard = table.open(now).expect("there is a place");
    guard.set_phase(phase, now);
    guard
}

fn open_answered(table: &Arc<ConnectionTable>, now: Instant) -> ConnectionGuard {
    let guard = open(table, Phase::Request, now);
    guard.on_response_end(now);
    guard
}

async fn is_closed(guard: &ConnectionGuard) -> bool {
    let closed = tokio::time::timeout(Duration::ZERO, guard.until_closed());
    closed.await.is_ok()
}

// Guards against silent connections that keep ordinary callers out.
#[tokio::test]
async fn the_connection_without_progress_for_longest_is_closed() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let head = open(&table, Phase::Head, start);
    let silent = open(&table, Phase::Idle, start + LONG);
    let body = open(&table, Phase::Body, start + LONG);

    let newcomer = table.open(start + 2 * LONG);

    assert!(newcomer.is_ok());
    assert!(is_closed(&head).await);
    assert!(!is_closed(&silent).await);
    assert!(!is_closed(&body).await);
}

// Guards against a large body on a slow link that is closed although it makes progress.
#[tokio::test]
async fn progress_of_a_body_keeps_its_connection() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let uploading = open(&table, Phase::Body, start);
    let stalled = open(&table, Phase::Body, start);
    let _request = open(&table, Phase::Request, start);
    uploading.on_progress(start + LONG);

    let newcomer = table.open(start + 2 * LONG);

    assert!(newcomer.is_ok());
    assert!(!is_closed(&uploading).await);
    assert!(is_closed(&stalled).await);
}

// Guards against callers that lose their kept connections to clients that never send a request.
#[tokio::test]
async fn a_client_that_has_had_a_response_is_kept_before_others() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let answered = open_answered(&table, start);
    let _request = open(&table, Phase::Request, start);
    let silent = open(&table, Phase::Idle, start + LONG);

    let newcomer = table.open(start + 2 * LONG);

    assert!(newcomer.is_ok());
    assert!(!is_closed(&answered).await);
    assert!(is_closed(&silent).await);
}

// Guards against a caller whose new connection is closed before it could send its request.
#[tokio::test]
async fn a_new_client_has_time_for_its_first_request() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let answered = open_answered(&table, start);
    let _request = open(&table, Phase::Request, start);
    let new = open(&table, Phase::Idle, start + LONG);

    let newcomer = table.open(start + LONG);

    assert!(newcomer.is_ok());
    assert!(is_closed(&answered).await);
    assert!(!is_closed(&new).await);
}

// Guards against a request that is read whole and ends without an answer.
#[tokio::test]
async fn connections_with_complete_requests_are_kept_and_a_new_one_is_rejected() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let requests: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| open(&table, Phase::Request, start))
        .collect();

    let newcomer = table.open(start + LONG);

    assert_eq!(newcomer.err(), Some(CloseCause::NoPlace));
    for request in &requests {
        assert!(!is_closed(request).await);
    }
}

// Guards against places that are lost with the connections that were closed.
#[tokio::test]
async fn places_are_returned() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    for _ in 0..3 * MAX_CONNECTIONS {
        let _silent = open(&table, Phase::Idle, start);
    }
    let kept: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| open(&table, Phase::Request, start))
        .collect();

    let newcomer = table.open(start);

    assert!(newcomer.is_err());
    assert_eq!(table.counts().request, kept.len());
}

// Guards against connections over a bound that was lowered, and that nothing closes.
#[tokio::test]
async fn a_lower_bound_closes_connections_without_a_request() {
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let start = Instant::now();
    let request = open(&table, Phase::Request, start);
    let silent = open(&table, Phase::Idle, start);
    let head = open(&table, Phase::Head, start);

    table.set_max_connections(1, start + LONG);

    assert!(!is_closed(&request).await);
    assert!(is_closed(&silent).await);
    assert!(is_closed(&head).await);
}

// Guards against a request that has arrived whole while its connection was about to be closed.
#[tokio::test]
async fn a_connection_whose_request_has_become_complete_is_kept() {
    let table = ConnectionTable::new(1);
    let start = Instant::now();
    let idle = open(&table, Phase::Idle, start);
    let newcomer = table.open(start + LONG).expect("it takes the place");

    idle.set_phase(Phase::Request, start + LONG);

    assert!(!is_closed(&idle).await);
    drop(newcomer);
    assert!(table.open(start + LONG).is_err());
    drop(idle);
    assert!(table.open(start + LONG).is_ok());
}
