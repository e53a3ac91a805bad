//! Requests as a caller sends them, and what came back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A caller with a bearer key.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    bearer: String,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// HTTP status; 0 if there was no answer at all.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The retry-after header, if there was one.
    pub retry_after: Option<String>,
    /// The attempt that the answer says it belongs to.
    pub attempt_id: Option<String>,
    /// Whether it bears a target's mark.
    pub has_seal: bool,
    /// What came of the body.
    pub body: String,
    /// Whether the body ended properly.
    pub is_complete: bool,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub took: Duration,
}

impl CallResult {
    /// The body as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The text of a streamed answer.
    #[must_use]
    pub fn streamed_text(&self) -> String {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    fn none(began: Instant) -> Self {
        Self {
            status: 0,
            outcome: String::new(),
            retry_after: None,
            attempt_id: None,
            has_seal: false,
            body: String::new(),
            is_complete: false,
            time_to_first_byte: began.elapsed(),
            took: began.elapsed(),
        }
    }
}

impl Caller {
    /// A caller with this key.
    #[must_use]
    pub fn new(bearer: &str) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self {
            client,
            bearer: bearer.to_owned(),
        }
    }

    /// Asks a model.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: usize,
        stream: bool,
    ) -> CallResult {
        let body = serde_json::json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        });
        self.post(entry, "/v1/completions", &body.to_string(), &[])
            .await
    }

    /// Posts a body with extra headers.
    pub async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> CallResult {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}{path}"))
            .header("content-type", "application/json");
        if !self.bearer.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.bearer));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        self.send(request.body(body).expect("the request is valid"))
            .await
    }

    /// Gets a path.
    pub async fn get(&self, entry: SocketAddr, path: &str) -> CallResult {
        let request = Request::builder()
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.bearer))
            .body(Full::default())
            .expect("the request is valid");
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> CallResult {
        let began = Instant::now();
        let Ok(response) = self.client.request(request).await else {
            return CallResult::none(began);
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let mut answered = CallResult {
            status: response.status().as_u16(),
            outcome: header("berylhook-outcome").unwrap_or_default(),
            retry_after: header("retry-after"),
            attempt_id: header("berylhook-attempt-id"),
            has_seal: header("berylhook-response-seal").is_some(),
            ..CallResult::none(began)
        };
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        answered.is_complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    if received.is_empty() {
                        answered.time_to_first_byte = began.elapsed();
                    }
                    if let Ok(data) = frame.into_data() {
                        received.extend_from_slice(&data);
                    }
                }
            }
        };
        answered.took = began.elapsed();
        answered.body = String::from_utf8_lossy(&received).into_owned();
        answered
    }
}
