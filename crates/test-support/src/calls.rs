//! An HTTP client that sends requests as a caller does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// An HTTP client that authenticates with a bearer key.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    bearer: String,
}

/// The result of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// The `berylhook-outcome` header; empty if it is missing.
    pub outcome: String,
    /// The `retry-after` header.
    pub retry_after: Option<String>,
    /// The `berylhook-attempt-id` header: the attempt that the response belongs to.
    pub attempt_id: Option<String>,
    /// Whether the response has a `berylhook-response-seal` header, which marks it as a target's
    /// own.
    pub has_seal: bool,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Time from sending the request to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time from sending the request to the end of the body.
    pub took: Duration,
}

impl CallResult {
    /// The body parsed as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The concatenated text of the events of a streamed completion.
    #[must_use]
    pub fn streamed_text(&self) -> String {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    fn no_response(started: Instant) -> Self {
        Self {
            status: 0,
            outcome: String::new(),
            retry_after: None,
            attempt_id: None,
            has_seal: false,
            body: String::new(),
            is_complete: false,
            time_to_first_byte: started.elapsed(),
            took: started.elapsed(),
        }
    }
}

impl Caller {
    /// Creates a client that sends `bearer` as its key. With an empty key, [`Self::post`] sends no
    /// `authorization` header.
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

    /// Requests a completion of `prompt` with at most `tokens` tokens.
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

    /// Sends a POST request with a JSON body and additional headers.
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

    /// Sends a GET request.
    pub async fn get(&self, entry: SocketAddr, path: &str) -> CallResult {
        let request = Request::builder()
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.bearer))
            .body(Full::default())
            .expect("the request is valid");
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> CallResult {
        let started = Instant::now();
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                // Shown only if the test fails; a status of 0 does not tell why there is no response.
                eprintln!("no response: {error:?}");
                return CallResult::no_response(started);
            }
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let mut result = CallResult {
            status: response.status().as_u16(),
            outcome: header("berylhook-outcome").unwrap_or_default(),
            retry_after: header("retry-after"),
            attempt_id: header("berylhook-attempt-id"),
            has_seal: header("berylhook-response-seal").is_some(),
            ..CallResult::no_response(started)
        };
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        result.is_complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    if received.is_empty() {
                        result.time_to_first_byte = started.elapsed();
                    }
                    if let Ok(data) = frame.into_data() {
                        received.extend_from_slice(&data);
                    }
                }
            }
        };
        result.took = started.elapsed();
        result.body = String::from_utf8_lossy(&received).into_owned();
        result
    }
}
