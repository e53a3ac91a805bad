//! Decodes requests to the stand-in.

use std::collections::BTreeMap;

use percent_encoding::percent_decode_str;
use serde_json::Value;

/// A request of the store's protocol.
#[derive(Clone)]
pub(super) struct StoreRequest {
    /// Method and path, without the id that may follow the call's name.
    pub(super) call: String,
    /// The id that follows the call's name in the path; 0 if there is none.
    pub(super) id: i64,
    query: BTreeMap<String, String>,
    pub(super) body: Value,
}

impl StoreRequest {
    pub(super) fn new(method: &hyper::Method, uri: &hyper::Uri, body: &[u8]) -> Self {
        let path = uri.path();
        let (name, id) = match path.rsplit_once('/') {
            Some((name, last)) if last.parse::<i64>().is_ok() => (name, last),
            _ => (path, "0"),
        };
        let parameters = uri.query().unwrap_or_default().split('&');
        Self {
            call: format!("{method} {name}"),
            id: id.parse().unwrap_or(0),
            query: parameters
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), unescaped(value)))
                .collect(),
            body: serde_json::from_slice(body).unwrap_or_default(),
        }
    }

    pub(super) fn query(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }

    pub(super) fn query_number(&self, name: &str) -> i64 {
        self.query(name).parse().unwrap_or(0)
    }
}

fn unescaped(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
