//! A stand-in for another entry that takes its time to reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};

use crate::http::{self, Server};

/// A running stand-in, which knows nothing that the entry under test does not know.
pub struct PeerStandIn {
    server: Server,
    waiting_queries: Arc<AtomicUsize>,
}

impl PeerStandIn {
    /// Starts a peer that replies to queries for updates after `reply_delay`.
    pub async fn start(reply_delay: Duration) -> Self {
        let waiting_queries = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&waiting_queries);
        let server = Server::start(Arc::new(move |request| {
            let count = Arc::clone(&count);
            Box::pin(async move {
                let body = http::body(request).await;
                let query: Value = serde_json::from_slice(&body).unwrap_or_default();
                if query["waits"] == json!(true) {
                    count.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(reply_delay).await;
                }
                let reply = json!({"view": null, "peers": [], "processor_share": 0.1});
                Ok(http::json(StatusCode::OK, &reply))
            })
        }))
        .await;
        Self {
            server,
            waiting_queries,
        }
    }

    /// Address at which the peer serves other entries.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Number of queries that asked to wait for an update.
    #[must_use]
    pub fn waiting_queries(&self) -> usize {
        self.waiting_queries.load(Ordering::Relaxed)
    }
}
