//! Probes of targets at which callers abandoned runs, over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_quarantine::{
    LostRequest, Probe, ProbeFuture, QuarantineMetrics, SuspectTracker, TargetIncarnation,
};
use berylhook_target::probe::ProbeOutcome;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Longer than the time during which a target is probed.
const ALL_PROBES: Duration = Duration::from_millis(1_500);

/// Long enough on any machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    requests_at_exits: AtomicUsize,
}

impl QuarantineMetrics for Counts {
    fn set_request_counts(&self, _suspected: usize, _held: usize) {}

    fn add_requests_at_exit(&self, requests: usize) {
        self.requests_at_exits.fetch_add(requests, Ordering::SeqCst);
    }
}

/// A target that accepts and counts connections until it is stopped.
struct Target {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl Target {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port can be bound");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
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

    fn stop(&self) {
        self.accepting.abort();
    }

    fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            target: "i-1".into(),
            address: self.address,
            listed_revision: 1,
        }
    }
}

fn lost_request(body: &str) -> LostRequest {
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

fn tracker_and_counts() -> (Arc<SuspectTracker>, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let tracker = SuspectTracker::new(Arc::clone(&counts) as Arc<dyn QuarantineMetrics>);
    (Arc::new(tracker), counts)
}

// Guards against an exit that is attributed to no request: the target exits some time after the
// callers of its runs have disconnected, and no other request is sent to it.
#[tokio::test]
async fn a_later_exit_is_attributed_to_all_abandoned_runs() {
    let target = Target::start().await;
    let (tracker, counts) = tracker_and_counts();

    tracker.on_abandoned_run(&target.incarnation(), lost_request("first"));
    tracker.on_abandoned_run(&target.incarnation(), lost_request("second"));
    sleep(Duration::from_millis(300)).await;
    target.stop();

    let detection = async {
        while counts.requests_at_exits.load(Ordering::SeqCst) < 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let detected = tokio::time::timeout(TEST_TIMEOUT, detection).await;
    assert!(
        detected.is_ok(),
        "requests at exits: {:?}",
        counts.requests_at_exits
    );
}

// Guards against separate probes for each of many runs that are abandoned within a few
// milliseconds, as when a group stalls.
#[tokio::test]
async fn a_surviving_target_is_probed_at_most_twice() {
    let target = Target::start().await;
    let (tracker, counts) = tracker_and_counts();

    for body in ["first", "second", "third"] {
        tracker.on_abandoned_run(&target.incarnation(), lost_request(body));
        sleep(Duration::from_millis(3)).await;
    }
    while tracker.awaits_probes() {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(ALL_PROBES).await;

    assert_eq!(counts.requests_at_exits.load(Ordering::SeqCst), 0);
    let connections = target.connections.load(Ordering::SeqCst);
    assert!((1..=2).contains(&connections), "connections: {connections}");
}

// Guards against one connection for each abandoned run while other requests are served, which would
// use up the connections that these requests need.
#[tokio::test]
async fn accepted_connections_of_other_sends_replace_probes() {
    let target = Target::start().await;
    let (tracker, counts) = tracker_and_counts();

    tracker.on_abandoned_run(&target.incarnation(), lost_request("first"));
    let much_later_ms = tracker.now_ms() + 2_000;
    tracker.on_connection_accepted("i-1", much_later_ms);
    sleep(ALL_PROBES).await;

    assert_eq!(target.connections.load(Ordering::SeqCst), 0);
    assert_eq!(counts.requests_at_exits.load(Ordering::SeqCst), 0);
    assert!(!tracker.awaits_probes());
}

/// Replies with the identity of another incarnation at a target's address.
struct OtherIncarnation;

impl Probe for OtherIncarnation {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(async { ProbeOutcome::OtherIncarnation })
    }
}

// Guards against an exit that is not detected because another incarnation accepts the connections.
#[tokio::test]
async fn a_target_whose_address_is_taken_by_another_has_exited() {
    let successor = Target::start().await;
    let (tracker, counts) = tracker_and_counts();

    tracker.on_abandoned_run_with_probe(
        &successor.incarnation(),
        lost_request("first"),
        Arc::new(OtherIncarnation),
    );
    while tracker.awaits_probes() {
        sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(counts.requests_at_exits.load(Ordering::SeqCst), 1);
}
