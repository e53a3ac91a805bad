//! Limits hold over all entries as a sum, and a refusal comes at once.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, EntryProcess, catalogue, store_catalogue, until, until_ready, until_serving,
};
use berylhook_test_support::command::statuses;
use berylhook_test_support::{Engine, EngineConfig, Outage, Signal};

const CONCURRENCY: u32 = 10;

/// A cluster of two entries whose desk account may have ten requests at a
/// time, over an engine that never ends any.
async fn limited() -> (
    Cluster,
    Engine,
    Vec<EntryProcess>,
    berylhook_test_support::cluster::AgentProcess,
) {
    let cluster = Cluster::start().await;
    let limits = format!("[account paddle-desk]\nconcurrency = {CONCURRENCY}\n");
    let limited = catalogue().replace("[account paddle-desk]\n", &limits);
    store_catalogue(&cluster.key_value, &limited);
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

/// Waits until the entries together may use most of the limit.
async fn until_shares_granted(entries: &[EntryProcess]) {
    until("the shares have been given", || async {
        let usable: f64 = statuses(&entries[0].settings)
            .iter()
            .flat_map(|status| status["limits"].as_array().cloned().unwrap_or_default())
            .filter_map(|limit| limit["usable"].as_f64())
            .sum();
        usable >= 0.9 * f64::from(CONCURRENCY)
    })
    .await;
}

/// Fills both entries with hanging requests until both refuse; gives how many
/// were let in.
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
    u32::try_from(engine.runs().len() - runs_before).expect("few runs")
}

/// Symptom: an account gets its limit once from every entry.
/// Sequence: callers flood two entries at once.
/// Cause: each entry knows only its own requests; the shares it may use add
/// up to the limit.
#[tokio::test(flavor = "multi_thread")]
async fn the_sum_over_entries_stays_within_the_limit_and_uses_most_of_it() {
    let (_cluster, engine, entries, _agent) = limited().await;
    until_shares_granted(&entries).await;
    engine.set_stalled(true);

    let admitted = count_admitted(&engine, &entries).await;

    assert!(admitted <= CONCURRENCY, "{admitted} at a time");
    assert!(
        admitted >= CONCURRENCY / 2,
        "only {admitted} of {CONCURRENCY} are usable"
    );
}

/// Symptom: in an outage every limited account is refused, or none is.
/// Sequence: the key-value service is down for longer than the home's lease;
/// then the home itself dies.
/// Cause: while all entries keep asking one home, no other can be there; and
/// when it is gone, each entry has its piece of the static part left.
#[tokio::test(flavor = "multi_thread")]
async fn limits_go_on_in_an_outage() {
    let (cluster, engine, entries, _agent) = limited().await;
    until_shares_granted(&entries).await;
    until_serving(&entries[1], "briefing-llm").await;

    cluster.key_value.set_outage(Outage::Refusing);
    tokio::time::sleep(Duration::from_secs(7)).await;
    engine.set_stalled(true);
    let admitted = count_admitted(&engine, &entries).await;

    assert!(admitted <= CONCURRENCY, "{admitted} at a time");
    assert!(
        admitted >= CONCURRENCY / 2,
        "only {admitted} of {CONCURRENCY} are usable"
    );
    entries[0].daemon.signal(Signal::Kill);
    engine.set_stalled(false);
    let static_share = 0.2 * f64::from(CONCURRENCY) / 2.0;
    until("the shares have ended", || async {
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

/// Symptom: a caller that is over its limit waits and does not know for how
/// long.
/// Sequence: an account sends more than its rate.
/// Cause: the refusal is final, comes at once and says when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_the_rate_is_refused_with_when_to_come_back() {
    let cluster = Cluster::start().await;
    let limited = catalogue().replace(
        "[account paddle-desk]\n",
        "[account paddle-desk]\nrequests_per_second = 2\n",
    );
    store_catalogue(&cluster.key_value, &limited);
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

/// Symptom: a caller waits for an answer that comes too late to be of use.
/// Sequence: the only target has a long queue; a request with little time
/// arrives.
/// Cause: work that cannot begin before its deadline is refused at once, with
/// when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_begin_in_time_is_refused_at_once() {
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
