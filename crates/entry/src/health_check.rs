//! HTTP health checks, which show which incarnation listens at a target's address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_platform::headers;
use berylhook_quarantine::{Probe, ProbeFuture};
use berylhook_target::probe::{self, ProbeOutcome};
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};
use tokio::time::timeout;

use crate::call::{self, CallError};
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// Timeout of a health check. A target responds within a few milliseconds, unless all its slots
/// are taken.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const RESPONSE_TIMEOUT_MS: u64 = 250;

/// A health check of one target.
pub(crate) struct HealthCheck {
    /// The queue of the target's service, which is told of a cold period.
    queue: Arc<ServiceQueue>,
    address: SocketAddr,
    incarnation: Incarnation,
    data_centre: Arc<str>,
    path: Uri,
    shared: Arc<Shared>,
}

impl HealthCheck {
    /// Creates a health check of `path`, the path that the operator configured for the service;
    /// `None` if it is not a valid path.
    pub(crate) fn new(
        shared: Arc<Shared>,
        queue: Arc<ServiceQueue>,
        target: &Target,
        path: &str,
    ) -> Option<Self> {
        match path.parse() {
            Ok(path) => Some(Self {
                queue,
                address: target.address,
                incarnation: target.incarnation.clone(),
                data_centre: Arc::clone(&target.data_centre),
                path,
                shared,
            }),
            Err(error) => {
                log::warn!(path, reason:% = error; "the health path of a service is not valid");
                None
            }
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.path.clone();
        let host = HeaderValue::from_str(&self.address.to_string()).expect("an address is ASCII");
        request.headers_mut().insert(HOST, host);
        headers::set_health_check_headers(
            request.headers_mut(),
            &self.incarnation.id,
            RESPONSE_TIMEOUT_MS,
        );
        request
    }

    /// A target in an evacuated data centre gets no request, so the check only connects to it. Any
    /// listener then passes for the target.
    async fn check(&self) -> ProbeOutcome {
        if self.shared.is_evacuated(&self.data_centre) {
            return probe::probe(self.address).await;
        }
        let response = call::send_unverified(self.address, self.request());
        match timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Ok((response, _))) => {
                let status = response.status().as_u16();
                let headers = response.headers();
                if headers::is_health_response_from_other_incarnation(
                    status,
                    headers,
                    &self.incarnation.id,
                ) {
                    ProbeOutcome::OtherIncarnation
                } else {
                    if let Some(left_ms) = headers::health_response_cold_left_ms(headers) {
                        self.queue
                            .on_cold_health_response(&self.incarnation, left_ms);
                    }
                    ProbeOutcome::Accepted
                }
            }
            Ok(Err(CallError::ConnectionRefused)) => ProbeOutcome::Refused,
            Ok(Err(CallError::NotConnected)) => ProbeOutcome::NoResponse,
            // The connection was accepted, but no response arrived.
            Ok(Err(_)) | Err(_) => ProbeOutcome::Accepted,
        }
    }
}

impl Probe for HealthCheck {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(self.check())
    }
}
