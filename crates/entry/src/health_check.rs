//! Asks a target for its health, to learn which incarnation listens at its address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_platform::headers;
use berylhook_quarantine::{Probe, ProbeFuture};
use berylhook_target::probe::Listening;
use berylhook_traffic::target::Target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};
use tokio::time::timeout;

use crate::call::{self, CallError};

/// Time for the answer. A target answers in some milliseconds, unless all its slots are taken.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
const ANSWER_TIMEOUT_MS: u64 = 250;

/// A question for one target's health.
pub(crate) struct HealthCheck {
    address: SocketAddr,
    target_id: Arc<str>,
    path: Uri,
}

impl HealthCheck {
    /// `path` is what the operator names for the target's service; `None` if it cannot be asked
    /// for.
    pub(crate) fn new(target: &Target, path: &str) -> Option<Self> {
        match path.parse() {
            Ok(path) => Some(Self {
                address: target.address,
                target_id: Arc::clone(target.id()),
                path,
            }),
            Err(error) => {
                log::warn!(path, reason:% = error; "the health path of a service cannot be used");
                None
            }
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.path.clone();
        let host = HeaderValue::from_str(&self.address.to_string()).expect("an address is ASCII");
        request.headers_mut().insert(HOST, host);
        headers::set_health_check(request.headers_mut(), &self.target_id, ANSWER_TIMEOUT_MS);
        request
    }

    async fn listening(&self) -> Listening {
        let asked = call::ask(self.address, self.request());
        match timeout(ANSWER_TIMEOUT, asked).await {
            Ok(Ok((answer, _))) => {
                let status = answer.status().as_u16();
                let headers = answer.headers();
                if headers::is_health_of_another(status, headers, &self.target_id) {
                    Listening::Another
                } else {
                    Listening::Accepted
                }
            }
            Ok(Err(CallError::Refused)) => Listening::Refused,
            Ok(Err(CallError::NotConnected)) => Listening::Silent,
            // Somebody listens and has not answered.
            Ok(Err(_)) | Err(_) => Listening::Accepted,
        }
    }
}

impl Probe for HealthCheck {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(self.listening())
    }
}
