//! Connects the quarantine of requests under which targets exit to this process: its peers, the
//! store, its metrics and the names of its targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_calls::{Call, Connection, serve};
use berylhook_platform::store::StoreClient;
use berylhook_quarantine::{
    ClusterAccess, QuarantineMetrics, QuarantineUpdate, Replicator, TargetIncarnation, UpdateReply,
};
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::shared::Shared;

/// HTTP path of quarantine updates.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine";

/// Timeout of a peer's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// The name of an incarnation, the same at all entries.
fn target_name(incarnation: &Incarnation) -> Arc<str> {
    match incarnation.started_unix_ms {
        None => Arc::clone(&incarnation.id),
        Some(started_unix_ms) => format!("{}@{started_unix_ms}", incarnation.id).into(),
    }
}

/// The target as the quarantine identifies it.
pub(crate) fn target_incarnation(target: &Target) -> TargetIncarnation {
    TargetIncarnation {
        target: target_name(&target.incarnation),
        address: target.address,
        listed_revision: target.listed_revision,
    }
}

/// Gives the quarantine access to the store and the peers of this entry.
pub(crate) struct EntryClusterAccess {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<Peers>,
}

impl ClusterAccess for EntryClusterAccess {
    fn name(&self) -> Arc<str> {
        Arc::clone(&self.shared.settings().name)
    }

    fn store(&self) -> StoreClient {
        let eras = Arc::clone(&self.shared.eras);
        StoreClient::with_observer(self.shared.settings().store_address, eras)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        self.peers.shuffled_addresses()
    }

    fn send_update(&self, peer: SocketAddr, update: QuarantineUpdate) -> UpdateReply<'_> {
        Box::pin(async move {
            let call = Call::post_postcard(QUARANTINE_PATH.to_owned(), &update, REPLY_TIMEOUT);
            let reply = Connection::new(peer).call_postcard(call).await;
            reply.map_err(|error| error.to_string())
        })
    }
}

impl QuarantineMetrics for Metrics {
    fn set_request_counts(&self, suspected: usize, quarantined: usize) {
        self.set_quarantine(suspected, quarantined);
    }

    fn add_requests_at_exit(&self, requests: usize) {
        self.target_exit_requests.inc_by(requests as u64);
    }
}

/// Handles a quarantine update from a peer.
pub(crate) async fn handle_update(
    replicator: &Replicator,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match serve::read_postcard::<QuarantineUpdate>(request).await {
        Some(update) => serve::postcard_response(&replicator.apply_update(update)),
        None => {
            let text = "send news in the compact form, as an entry of this version does";
            serve::response(StatusCode::BAD_REQUEST, text)
        }
    }
}
