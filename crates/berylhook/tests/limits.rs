//! Limits apply to the sum over all entries, and requests over a limit are refused at once.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, EntryProcess, catalogue, store_catalogue, until, until_ready, until_serving,
};
use berylhook_test_support::command::statuses;
use berylhook_test_support::{Engine, EngineConfig, Outage, Signal};

const CONCURRENCY: u32 = 10;

/// Starts two entries whose desk account may have ten concurrent requests, and an engine with its
/// agent.
async fn start_limited_cluster() -> (
    Cluster,
    Engine,
    Vec<EntryProcess>,
    berylhook_test_support::cluster::AgentProcess,
) {
    let cluster = Cluster::start().await;
    let limits = format!("[account paddle-desk]\nconcurrency = {CONCURRENCY}\n");
    let limited_catalogue = catalogue().replace("[account paddle-desk]\n", &limits);
    store_catalogue(&cluster.key_value, &limited_catalogue);
    let engine = Engine::start(EngineConfig::default()).await;
    let agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entries = vec![
        cluster.start_entry("entry-1"),
        cluster.start_entry("entry-2"),
    ];
    for entry in &entries {
        until_ready(entry).await;
    }
    (cluster, engine, entries, agent)
}

/// Waits until the entries together may use 90 % of the limit.
async fn until_shares_granted(entries: &[EntryProcess]) {
    until("the shares are granted", || async {
        let usable: f64 = statuses(&entries[0].settings)
            .iter()
            .flat_map(|status| status["limits"].as_array().cloned().unwrap_or_default())
            .filter_map(|limit| limit["usable"].as_f64())
            .sum();
        usable >= 0.9 * f64::from(CONCURRENCY)
    })
    .await;
}

/// Sends hanging requests to all entries until they have refused all for three seconds; returns the
/// number admitted.
async fn count_admitted(engine: &Engine, entries: &[EntryProcess]) -> u32 {
    let runs_before = engine.runs().len();
    let mut refused_since = Instant::now();
    while refused_since.elapsed() < Duration::from_secs(3) {
        for entry in entries {
            let address = entry.address;
            let call = tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                caller
                    .complete(address, "briefing-llm", "hangs", 1, false)
                    .await
            });
            tokio::time::sleep(Duration::from_millis(20)).await;
            if !call.is_finished() {
                refused_since = Instant::now();
            }
        }
    }
    u32::try_from(engine.runs().len() - runs_before).expect("the count fits into 32 bits")
}

/// Guards against an account that gets its limit once per entry when callers flood two entries.
/// Each entry knows only its own requests, so the shares of the entries must add up to the limit.
#[tokio::test(flavor = "multi_thread")]
async fn the_sum_over_entries_stays_within_the_limit_and_uses_most_of_it() {
    let (_cluster, engine, entries, _agent) = start_limited_cluster().await;
    until_shares_granted(&entries).await;
    engine.set_stalled(true);

    let admitted = count_admitted(&engine, &entries).await;

    assert!(admitted <= CONCURRENCY, "{admitted} concurrent requests");
    assert!(
        admitted >= CONCURRENCY / 2,
        "only {admitted} of {CONCURRENCY} admitted"
    );
}

/// Guards against an outage of the key-value service, longer than the lease of the limit's home, in
/// which every limited account is refused or none is. The home is the entry that allocates the
/// shares: as long as all entries renew with it, no other can take its place, and when it dies as
/// well, each entry still has its part of the static share.
#[tokio::test(flavor = "multi_thread")]
async fn limits_apply_during_an_outage() {
    let (cluster, engine, entries, _agent) = start_limited_cluster().await;
    until_shares_granted(&entries).await;
    until_serving(&entries[1], "briefing-llm").await;

    cluster.key_value.set_outage(Outage::Refusing);
    tokio::time::sleep(Duration::from_secs(7)).await;
    engine.set_stalled(true);
    let admitted = count_admitted(&engine, &entries).await;

    assert!(admitted <= CONCURRENCY, "{admitted} concurrent requests");
    assert!(
        admitted >= CONCURRENCY / 2,
        "only {admitted} of {CONCURRENCY} admitted"
    );
    entries[0].daemon.signal(Signal::Kill);
    engine.set_stalled(false);
    let static_share = 0.2 * f64::from(CONCURRENCY) / 2.0;
    until("the shares have expired", || async {
        let statuses = statuses(&entries[1].settings);
        let usable = statuses[0]["limits"][0]["usable"].as_f64();
        usable.is_some_and(|usable| usable <= static_share)
    })
    .await;
    until("the limited account is still served", || async {
        let caller = Caller::new(DESK_KEY);
        let response = caller
            .complete(entries[1].address, "briefing-llm", "x", 1, false)
            .await;
        response.status == 200
    })
    .await;
}

/// Guards against a caller over its rate limit that waits without knowing for how long: the refusal
/// is final, immediate and has a `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_the_rate_is_refused_with_retry_after() {
    let cluster = Cluster::start().await;
    let limited_catalogue = catalogue().replace(
        "[account paddle-desk]\n",
        "[account paddle-desk]\nrequests_per_second = 2\n",
    );
    store_catalogue(&cluster.key_value, &limited_catalogue);
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_ready(&entry).await;
    let caller = Caller::new(DESK_KEY);

    let mut refused = None;
    for _ in 0..200 {
        let response = caller
            .complete(entry.address, "briefing-llm", "x", 1, false)
            .await;
        if response.status == 429 {
            refused = Some(response);
            break;
        }
    }

    let refused = refused.expect("two hundred requests are over the rate");
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(refused.json()["error"]["code"], "rate_limit_exceeded");
    assert!(refused.retry_after.is_some());
}

/// Guards against a caller that waits for a response that comes after its deadline. The only target
/// has a long queue, so a request that cannot start before its deadline is refused at once, with a
/// `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_start_before_its_deadline_is_refused_at_once() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig {
        slots: 1,
        ..EngineConfig::default()
    })
    .await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    engine.set_stalled(true);
    let address = entry.address;
    for _ in 0..20 {
        tokio::spawn(async move {
            let caller = Caller::new(DESK_KEY);
            caller
                .complete(address, "briefing-llm", "hangs", 1, false)
                .await
        });
    }
    let runs_before = engine.runs().len();
    until("the queue is long", || async {
        engine.runs().len() >= runs_before + 19
    })
    .await;
    let queued = engine.runs().len();

    let body = r#"{"model": "briefing-llm", "prompt": "hurry"}"#;
    let headers = [("berylhook-deadline-ms", "50")];
    let caller = Caller::new(DESK_KEY);
    let refused = caller
        .post(address, "/v1/completions", body, &headers)
        .await;

    assert_eq!(refused.status, 504, "{}", refused.body);
    assert_eq!(refused.outcome, "not-run");
    assert!(refused.retry_after.is_some());
    assert!(engine.runs().len() <= queued + 1);
}
