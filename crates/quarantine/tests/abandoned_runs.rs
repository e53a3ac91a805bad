//! Targets at which callers left runs, looked at over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_quarantine::{
    LostRequest, Probe, ProbeFuture, QuarantineMetrics, SuspectTracker, TargetIncarnation,
};
use berylhook_target::probe::Listening;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Longer than a target is looked at.
const ALL_LOOKS: Duration = Duration::from_millis(1_500);

/// Long enough for any machine to get there.
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    ended: AtomicUsize,
}

impl QuarantineMetrics for Counts {
    fn set_request_counts(&self, _suspected: usize, _held: usize) {}

    fn add_requests_at_exit(&self, requests: usize) {
        self.ended.fetch_add(requests, Ordering::SeqCst);
    }
}

/// A target that takes connections until it is ended, and counts them.
struct Target {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl Target {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&connections);
        let accepting = tokio::spawn(async move {
            while listener.accept().await.is_ok() {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
        Self {
            address,
            connections,
            accepting,
        }
    }

    fn end(&self) {
        self.accepting.abort();
    }

    fn place(&self) -> TargetIncarnation {
        TargetIncarnation {
            target: "i-1".into(),
            address: self.address,
            listed_revision: 1,
        }
    }
}

fn loss(body: &str) -> LostRequest {
    LostRequest {
        digest: RequestDigest::of(&RequestContent {
            method: "POST",
            path: "/draft",
            account: Some("harbour"),
            body: body.as_bytes(),
        }),
        ran_alone: false,
        attempt_id: "attempt".into(),
        account: "harbour".into(),
    }
}

fn suspects() -> (Arc<SuspectTracker>, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let suspects = SuspectTracker::new(Arc::clone(&counts) as Arc<dyn QuarantineMetrics>);
    (Arc::new(suspects), counts)
}

// A target ended a while after the callers of its runs had left, and no other request came
// to it: nothing was laid to anybody.
#[tokio::test]
async fn a_target_that_ends_later_is_found_and_laid_to_all_who_had_left() {
    let target = Target::start().await;
    let (suspects, counts) = suspects();

    suspects.on_abandoned_run(&target.place(), loss("first"));
    suspects.on_abandoned_run(&target.place(), loss("second"));
    sleep(Duration::from_millis(300)).await;
    target.end();

    let found = async {
        while counts.ended.load(Ordering::SeqCst) < 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, found).await;
    assert!(found.is_ok(), "{:?}", counts.ended);
}

// Many callers leave within a moment, as when a group stalls. Each run asked for looks of
// its own, a few milliseconds after those of the run before.
#[tokio::test]
async fn a_target_that_lives_on_is_looked_at_twice_and_left_in_peace() {
    let target = Target::start().await;
    let (suspects, counts) = suspects();

    for body in ["first", "second", "third"] {
        suspects.on_abandoned_run(&target.place(), loss(body));
        sleep(Duration::from_millis(3)).await;
    }
    while suspects.awaits_probes() {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(ALL_LOOKS).await;

    assert_eq!(counts.ended.load(Ordering::SeqCst), 0);
    let connections = target.connections.load(Ordering::SeqCst);
    assert!((1..=2).contains(&connections), "{connections}");
}

// Many callers leave while many others are served: a connection for each that left would
// take up the channels that the served ones need.
#[tokio::test]
async fn what_other_sends_show_takes_the_place_of_looks() {
    let target = Target::start().await;
    let (suspects, counts) = suspects();

    suspects.on_abandoned_run(&target.place(), loss("first"));
    let much_later_ms = suspects.now_ms() + 2_000;
    suspects.on_connection_accepted("i-1", much_later_ms);
    sleep(ALL_LOOKS).await;

    assert_eq!(target.connections.load(Ordering::SeqCst), 0);
    assert_eq!(counts.ended.load(Ordering::SeqCst), 0);
    assert!(!suspects.awaits_probes());
}

/// The answer of another incarnation at a target's address.
struct AnotherAnswers;

impl Probe for AnotherAnswers {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(async { Listening::Another })
    }
}

// Guards against an end that goes unnoticed since another incarnation takes the connections.
#[tokio::test]
async fn a_target_whose_address_another_has_taken_is_found_to_have_ended() {
    let successor = Target::start().await;
    let (suspects, counts) = suspects();

    suspects.on_abandoned_run_with_probe(
        &successor.place(),
        loss("first"),
        Arc::new(AnotherAnswers),
    );
    while suspects.awaits_probes() {
        sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(counts.ended.load(Ordering::SeqCst), 1);
}
