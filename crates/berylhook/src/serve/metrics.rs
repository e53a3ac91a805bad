//! Metrics over statsd, sent only if an address is configured. Sending never blocks: the sink
//! queues metrics and drops them when its queue is full, and the control thread sends them, not the
//! traffic threads.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, UdpMetricSink};

use super::fleet::Fleet;
use super::node::Node;

/// Time between two sends.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of metrics queued for the socket.
const MAX_QUEUED_METRICS: usize = 1_024;

/// Sends metrics until the entry stops; returns at once if metrics are turned off.
pub(crate) async fn send(node: Arc<Node>, fleet: Arc<Fleet>) {
    let Some(address) = node.settings.metrics.statsd else {
        return;
    };
    let client = match statsd_client(address) {
        Ok(client) => client,
        Err(error) => {
            log::error!("cannot send metrics: {error:#}; check `statsd` under [metrics]");
            return;
        }
    };
    let mut last = SentCounts::default();
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        send_once(&client, &node, &fleet, &mut last);
    }
}

fn statsd_client(address: SocketAddr) -> anyhow::Result<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket)?;
    let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::from_sink("berylhook", queue))
}

/// Counter values at the last send.
#[derive(Default)]
struct SentCounts {
    dropped_frames: u64,
    retries: u64,
    resumed: u64,
    silent_links: u64,
    requests_at_exit: u64,
}

fn send_once(client: &StatsdClient, node: &Node, fleet: &Fleet, last: &mut SentCounts) {
    let counters = &node.counters;
    count(
        client,
        "dropped_frames",
        &counters.dropped_frames,
        &mut last.dropped_frames,
    );
    count(client, "retries", &counters.retries, &mut last.retries);
    count(client, "resumed", &counters.resumed, &mut last.resumed);
    count(
        client,
        "silent_links",
        &counters.silent_links,
        &mut last.silent_links,
    );
    let quarantine = &node.quarantine_counts;
    count(
        client,
        "ended_under_requests",
        &quarantine.requests_at_exit,
        &mut last.requests_at_exit,
    );
    let gauge = |gauge: &AtomicU64| gauge.load(Ordering::Relaxed);
    let _ = client.gauge("suspected_requests", gauge(&quarantine.suspected));
    let _ = client.gauge("held_requests", gauge(&quarantine.held));
    let _ = client.gauge("in_flight", u64::from(node.in_flight()));
    for service in fleet.services() {
        let up = super::node::lock(&service.router).up_count() as u64;
        let _ = client
            .gauge_with_tags("targets_up", up)
            .with_tag("entry", &service.name)
            .try_send();
    }
    for (entry, counts) in node.burn.recent_counts(node.now_ms()) {
        let gauges = [
            ("requests_5m", counts.requests),
            ("failed_5m", counts.failed),
            ("slow_first_tokens_5m", counts.slow_first_tokens),
            ("slow_gaps_5m", counts.slow_gaps),
        ];
        for (name, value) in gauges {
            let _ = client
                .gauge_with_tags(name, value)
                .with_tag("entry", &entry)
                .try_send();
        }
    }
}

fn count(client: &StatsdClient, name: &str, counter: &AtomicU64, last: &mut u64) {
    let current = counter.load(Ordering::Relaxed);
    let increase = i64::try_from(current - *last).unwrap_or(i64::MAX);
    *last = current;
    let _ = client.count(name, increase);
}
