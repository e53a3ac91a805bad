//! What the quarantine of requests under which targets end needs of this process: the way
//! to its peers and to the store, its metrics, and the names of its targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_calls::{Call, Connection, serve};
use berylhook_platform::store::Store;
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

/// Where entries are told news.
pub(crate) const NEWS_PATH: &str = "/quarantine";

/// Time for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The name of an incarnation, the same at all entries.
fn target_name(of: &Incarnation) -> Arc<str> {
    match of.started_unix_ms {
        None => Arc::clone(&of.id),
        Some(started_unix_ms) => format!("{}@{started_unix_ms}", of.id).into(),
    }
}

/// Where a request runs.
pub(crate) fn place(target: &Target) -> TargetIncarnation {
    TargetIncarnation {
        target: target_name(&target.incarnation),
        address: target.address,
        listed_revision: target.listed_revision,
    }
}

/// The store and the peers of this entry.
pub(crate) struct EntrySurroundings {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<Peers>,
}

impl ClusterAccess for EntrySurroundings {
    fn name(&self) -> Arc<str> {
        Arc::clone(&self.shared.settings().name)
    }

    fn store(&self) -> Store {
        let eras = Arc::clone(&self.shared.eras);
        Store::observed(self.shared.settings().store_address, eras)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        self.peers.candidates()
    }

    fn send_update(&self, peer: SocketAddr, news: QuarantineUpdate) -> UpdateReply<'_> {
        Box::pin(async move {
            let call = Call::post_compact(NEWS_PATH.to_owned(), &news, ANSWER_TIMEOUT);
            let told = Connection::new(peer).compact(call).await;
            told.map_err(|error| error.to_string())
        })
    }
}

impl QuarantineMetrics for Metrics {
    fn set_request_counts(&self, suspected: usize, held: usize) {
        self.set_quarantine(suspected, held);
    }

    fn add_requests_at_exit(&self, requests: usize) {
        self.ended_under_requests.inc_by(requests as u64);
    }
}

/// Takes a peer's news.
pub(crate) async fn take_news(
    keeper: &Replicator,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match serve::read_compact::<QuarantineUpdate>(request).await {
        Some(news) => serve::compact(&keeper.apply_update(news)),
        None => {
            let text = "send news in the compact form, as an entry of this version does";
            serve::plain(StatusCode::BAD_REQUEST, text)
        }
    }
}
