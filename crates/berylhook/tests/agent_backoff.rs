//! Agents whose target asks for backoff, with real entries and agents.

use berylhook_test_support::PlainService;
use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{Cluster, DESK_KEY, until};
use futures_util::future::join_all;

// Guards against an agent that sends requests to its target during a backoff that the target has
// asked for.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_sends_nothing_to_a_target_in_backoff() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    let post = async || {
        caller
            .post(entry.address, "/guide-push", "canoe 7", &[])
            .await
    };
    until("the service answers", async || post().await.status == 200).await;
    service.set_backoff(Some("8"));

    let first = post().await;
    let during_backoff = join_all((0..10).map(|_| post())).await;

    assert_eq!(first.status, 503);
    assert_eq!(service.refused_count(), 1);
    assert!(
        during_backoff
            .iter()
            .all(|response| response.outcome == "not-run")
    );
    let retry_after = during_backoff
        .iter()
        .map(|response| response.retry_after.as_deref());
    let retry_after_s = retry_after.map(|after| after.unwrap_or_default().parse().unwrap_or(0.0));
    assert!(retry_after_s.into_iter().all(|after_s: f64| after_s >= 2.0));
}

// Guards against an agent that sends its target nothing more after one backoff.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_sends_again_after_the_backoff() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    let post = async || {
        caller
            .post(entry.address, "/guide-push", "canoe 7", &[])
            .await
    };
    until("the service answers", async || post().await.status == 200).await;
    service.set_backoff(Some("0.3"));
    post().await;

    service.set_backoff(None);

    until("the service answers again", async || {
        post().await.status == 200
    })
    .await;
}
