//! One JSON call over HTTP with a bound on time and size.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How a call failed, by what it proves.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The request cannot have taken effect.
    NotSent(String),
    /// The request may have taken effect.
    Unanswered(String),
    /// The service answered that it will not do this.
    Rejected(u16, String),
}

pub(crate) struct JsonClient {
    base: String,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    pub(crate) fn new(base: &str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // The pool's resend would repeat a compare-and-swap whose first copy
        // may have taken effect, and report the repeat's failure.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: base.trim_end_matches('/').to_owned(),
            timeout,
            client,
        }
    }

    pub(crate) async fn post<Q, A>(&self, path: &str, question: &Q) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(question).expect("requests serialize");
        let work = async {
            let response = self.send(Method::POST, path, Bytes::from(body)).await?;
            decode(response).await
        };
        self.bounded(work).await
    }

    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CallError> {
        let work = async {
            let response = self.send(Method::GET, path, Bytes::new()).await?;
            decode(response).await
        };
        self.bounded(work).await
    }

    /// Starts a call whose answer is a stream; only its head is bounded.
    pub(crate) async fn open<Q: Serialize>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<Response<Incoming>, CallError> {
        let body = serde_json::to_vec(question).expect("requests serialize");
        self.bounded(self.send(Method::POST, path, Bytes::from(body)))
            .await
    }

    async fn bounded<T>(
        &self,
        work: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        match timeout(self.timeout, work).await {
            Ok(result) => result,
            Err(elapsed) => Err(CallError::Unanswered(elapsed.to_string())),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let uri: Uri = format!("{}{path}", self.base)
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| CallError::NotSent(error.to_string()))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        match self.client.request(request).await {
            Ok(response) if response.status().is_success() => Ok(response),
            Ok(response) => {
                let status = response.status().as_u16();
                Err(CallError::Rejected(status, text(response).await))
            }
            Err(error) if error.is_connect() => Err(CallError::NotSent(error.to_string())),
            Err(error) => Err(CallError::Unanswered(error.to_string())),
        }
    }
}

async fn text(response: Response<Incoming>) -> String {
    match Limited::new(response.into_body(), 4096).collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(error) => error.to_string(),
    }
}

async fn decode<A: DeserializeOwned>(response: Response<Incoming>) -> Result<A, CallError> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| CallError::Unanswered(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| CallError::Unanswered(error.to_string()))
}
