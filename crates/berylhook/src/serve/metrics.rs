//! Metrics over statsd, off unless set. Sending never blocks: the sink
//! queues, drops when its queue is full, and control sends, not traffic.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, UdpMetricSink};

use super::fleet::Fleet;
use super::node::Node;

/// Time between two sends.
const SEND_EVERY: Duration = Duration::from_secs(1);

/// Metrics that wait for the socket at most.
const QUEUE: usize = 1_024;

/// Sends until the entry stops; returns at once where metrics are off.
pub(crate) async fn send(node: Arc<Node>, fleet: Arc<Fleet>) {
    let Some(address) = node.settings.metrics.statsd else {
        return;
    };
    let client = match client_to(address) {
        Ok(client) => client,
        Err(error) => {
            log::error!("no metrics: {error:#}; check `statsd` under [metrics]");
            return;
        }
    };
    let mut last = Sent::default();
    loop {
        tokio::time::sleep(SEND_EVERY).await;
        send_once(&client, &node, &fleet, &mut last);
    }
}

fn client_to(address: SocketAddr) -> anyhow::Result<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
    Ok(StatsdClient::from_sink("berylhook", queue))
}

/// Counter values at the last send.
#[derive(Default)]
struct Sent {
    dropped_frames: u64,
    retries: u64,
    resumed: u64,
    silent_links: u64,
    ended_under_requests: u64,
}

fn send_once(client: &StatsdClient, node: &Node, fleet: &Fleet, last: &mut Sent) {
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
        &quarantine.ended_under_requests,
        &mut last.ended_under_requests,
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
    for (entry, counts) in node.burn.recent(node.now_ms()) {
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
    let now = counter.load(Ordering::Relaxed);
    let fresh = i64::try_from(now - *last).unwrap_or(i64::MAX);
    *last = now;
    let _ = client.count(name, fresh);
}
