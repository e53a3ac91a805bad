//! A stand-in for the platform's key-value service: ranges, transactions, leases and watches of the
//! published protocol.
//!
//! [`KeyValueStandIn::restore`] resets it to an older snapshot.

mod request;
mod write_fault;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::sync::broadcast;

use self::request::StoreRequest;
use self::write_fault::PendingFault;
pub use self::write_fault::WriteFault;
use crate::http::{self, NoResponse, Response, Server};

/// Failure mode of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// The service works.
    #[default]
    None,
    /// Every call gets status 503 and has no effect.
    Refusing,
    /// Calls are accepted, but get no response and have no effect.
    Silent,
}

/// The content of the service at one moment.
#[derive(Clone)]
pub struct StoreSnapshot {
    revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<i64, Lease>,
    event_log: Vec<Value>,
}

#[derive(Clone)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    lease: i64,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Default)]
struct State {
    /// Number of restores so far.
    era: u64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    outage: Outage,
    lose_responses: u32,
    /// The next write of a key that contains this text takes effect, but its response is lost and
    /// an outage begins.
    failing_write_key: Option<String>,
    write_fault: Option<PendingFault>,
    /// Number of writes that are waiting to be released.
    held_writes: u32,
    mute_watches: bool,
    /// Reads of keys with this prefix get no response until it is cleared.
    held_read_prefix: Option<String>,
    calls: u64,
    writes: u64,
    event_log: Vec<Value>,
    /// Watches from an earlier revision fail, because the events up to it are gone.
    compacted_revision: i64,
}

struct Shared {
    state: Mutex<State>,
    changes: broadcast::Sender<()>,
}

/// Handle of a running stand-in.
pub struct KeyValueStandIn {
    shared: Arc<Shared>,
    server: Server,
}

impl KeyValueStandIn {
    /// Starts an empty service on a free port.
    pub async fn start() -> Self {
        let (changes, _) = broadcast::channel(1024);
        let shared = Arc::new(Shared {
            state: Mutex::new(State::default()),
            changes,
        });
        let handler_shared = Arc::clone(&shared);
        let server = Server::start(Arc::new(move |http_request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(async move {
                let method = http_request.method().clone();
                let uri = http_request.uri().clone();
                let body = http::body(http_request).await;
                let request = StoreRequest::new(&method, &uri, &body);
                let mut response = Arc::clone(&shared).respond(&request).await?;
                let era = shared.lock().era;
                response.headers_mut().insert("store-era", era.into());
                Ok(response)
            })
        }))
        .await;
        tokio::spawn(expire_leases(Arc::clone(&shared)));
        Self { shared, server }
    }

    /// Base URL of the service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Starts or ends an outage.
    ///
    /// An outage that refuses calls also ends the waiting watches.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
        let _ = self.shared.changes.send(());
    }

    /// The next `count` writes take effect, but their responses are lost.
    pub fn lose_responses(&self, count: u32) {
        self.shared.lock().lose_responses = count;
    }

    /// The next write of a key that contains `key_part` takes effect, but its response is lost and
    /// the service refuses every call until the outage is ended.
    pub fn fail_after_write_of(&self, key_part: &str) {
        self.shared.lock().failing_write_key = Some(key_part.to_owned());
    }

    /// The next `count` writes of keys that contain `key_part` fail.
    pub fn fail_writes_of(&self, key_part: &str, fault: WriteFault, count: u32) {
        self.shared.lock().write_fault = Some(PendingFault {
            key_part: key_part.to_owned(),
            fault,
            remaining: count,
        });
    }

    /// Number of writes that wait under [`WriteFault::Held`].
    #[must_use]
    pub fn held_writes(&self) -> u32 {
        self.shared.lock().held_writes
    }

    /// Executes the held writes; no further ones fail.
    pub fn release_writes(&self) {
        self.shared.lock().write_fault = None;
        let _ = self.shared.changes.send(());
    }

    /// The current outage.
    #[must_use]
    pub fn outage(&self) -> Outage {
        self.shared.lock().outage
    }

    /// Stops sending events on open watches, or sends them again.
    pub fn mute_watches(&self, mute: bool) {
        self.shared.lock().mute_watches = mute;
    }

    /// Reads of keys or ranges that start with `prefix` get no response until
    /// [`Self::release_reads`] is called.
    pub fn hold_reads_of(&self, prefix: &str) {
        self.shared.lock().held_read_prefix = Some(prefix.to_owned());
    }

    /// Responds to the held reads, and holds no further ones.
    pub fn release_reads(&self) {
        self.shared.lock().held_read_prefix = None;
        let _ = self.shared.changes.send(());
    }

    /// Number of calls accepted so far; a watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Number of keys written and leases granted or renewed so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.shared.lock().writes
    }

    /// Writes a key without the checks of a transaction, as a manual change by an operator might.
    pub fn put_raw(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        state.revision += 1;
        state.put(key.as_bytes().to_vec(), value.to_vec(), 0);
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// Writes a value that is sent to readers as `text`, which need not be valid Base64.
    pub fn put_text(&self, key: &str, text: &str) {
        let value = [RAW_TEXT_PREFIX, text.as_bytes()].concat();
        self.put_raw(key, &value);
    }

    /// Removes a key without the checks of a transaction.
    pub fn remove_raw(&self, key: &str) {
        let mut state = self.shared.lock();
        state.revision += 1;
        state.delete(key.as_bytes());
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// Drops the history up to now, so that watches from an earlier revision fail.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted_revision = state.revision;
        state.event_log.clear();
    }

    /// A snapshot of the current content.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.shared.lock();
        StoreSnapshot {
            revision: state.revision,
            next_lease: state.next_lease,
            keys: state.keys.clone(),
            leases: state.leases.clone(),
            event_log: state.event_log.clone(),
        }
    }

    /// Restores the content of a snapshot and starts the next era. All writes since the snapshot
    /// are lost, leases included, and the revisions and lease ids since then are issued again.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        let now = Instant::now();
        let mut state = self.shared.lock();
        state.era += 1;
        state.revision = snapshot.revision;
        state.next_lease = snapshot.next_lease;
        state.keys.clone_from(&snapshot.keys);
        state.leases.clone_from(&snapshot.leases);
        for lease in state.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
        state.event_log.clone_from(&snapshot.event_log);
        state.compacted_revision = 0;
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// Number of restores so far.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.shared.lock().era
    }

    /// The value of a key, read as UTF-8.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let stored = state.keys.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(&stored.value).into_owned())
    }

    /// Address on which the service listens.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// The keys that start with `prefix`.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        state
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix.as_bytes()))
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics")
    }

    async fn respond(self: Arc<Self>, request: &StoreRequest) -> Result<Response, NoResponse> {
        let outage = self.lock().outage;
        match outage {
            Outage::Silent => std::future::pending().await,
            Outage::Refusing => {
                let body = json!({"error": "outage"});
                return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &body));
            }
            Outage::None => {}
        }
        self.lock().calls += 1;
        if request.call == "GET /-/kv-watch" {
            return self.watch(request).await;
        }
        self.wait_until_released(request).await;
        let write_fault = self.take_write_fault(request);
        let (status, body) = match write_fault {
            Some(WriteFault::RequestLost) => return Err(NoResponse),
            Some(WriteFault::Held) => self.execute_when_released(request).await,
            Some(WriteFault::ResponseLost) | None => self.execute(request),
        };
        let _ = self.changes.send(());
        if write_fault == Some(WriteFault::ResponseLost) {
            return Err(NoResponse);
        }
        let is_write = !request.call.starts_with("GET");
        if is_write && (self.take_lost_response() || self.take_write_failure(&request.body)) {
            return Err(NoResponse);
        }
        Ok(http::json(status, &body))
    }

    async fn wait_until_released(&self, request: &StoreRequest) {
        let mut changes = self.changes.subscribe();
        while self.is_held(request) {
            // A lagging receiver has missed notifications, but checks the state again in any case.
            let _ = changes.recv().await;
        }
    }

    fn is_held(&self, request: &StoreRequest) -> bool {
        let state = self.lock();
        let prefix = state.held_read_prefix.as_deref();
        let key = match request.call.as_str() {
            "GET /-/kv-range" => request.query("prefix"),
            "GET /-/kv-key" => request.query("key"),
            _ => return false,
        };
        prefix.is_some_and(|prefix| key.starts_with(prefix))
    }

    fn take_write_fault(&self, request: &StoreRequest) -> Option<WriteFault> {
        let mut state = self.lock();
        state.write_fault.as_mut()?.take(&request.body)
    }

    /// Executes a held write in a task of its own, which goes on if the caller disconnects.
    async fn execute_when_released(
        self: &Arc<Self>,
        request: &StoreRequest,
    ) -> (StatusCode, Value) {
        let shared = Arc::clone(self);
        let request = request.clone();
        let mut changes = self.changes.subscribe();
        let execution = tokio::spawn(async move {
            shared.lock().held_writes += 1;
            while shared.lock().write_fault.is_some() {
                let _ = changes.recv().await;
            }
            shared.lock().held_writes -= 1;
            let executed = shared.execute(&request);
            let _ = shared.changes.send(());
            executed
        });
        execution.await.expect("the stand-in does not panic")
    }

    fn take_lost_response(&self) -> bool {
        let mut state = self.lock();
        if state.lose_responses == 0 {
            return false;
        }
        state.lose_responses -= 1;
        true
    }

    fn take_write_failure(&self, body: &Value) -> bool {
        let mut state = self.lock();
        let Some(key_part) = state.failing_write_key.clone() else {
            return false;
        };
        let is_matching_write = array(&body["writes"])
            .iter()
            .any(|write| text(&write["key"]).contains(&key_part));
        if is_matching_write {
            state.failing_write_key = None;
            state.outage = Outage::Refusing;
        }
        is_matching_write
    }

    fn execute(&self, request: &StoreRequest) -> (StatusCode, Value) {
        let mut state = self.lock();
        match request.call.as_str() {
            "GET /-/kv-key" => state.item(&request.query("key")),
            "GET /-/kv-range" => state.range(request),
            "POST /-/kv-txn" => state.txn(&request.body),
            "POST /-/kv-lease" => state.grant_lease(&request.body),
            "POST /-/kv-keep" => state.renew_lease(request.id),
            "DELETE /-/kv-lease-end" => {
                state.revoke_lease(request.id);
                (StatusCode::OK, json!({}))
            }
            other => (
                StatusCode::NOT_FOUND,
                json!({"error": format!("no such call: {other}")}),
            ),
        }
    }

    /// Waits for events after a revision, for at most the time that the request gives.
    async fn watch(self: Arc<Self>, request: &StoreRequest) -> Result<Response, NoResponse> {
        let prefix = request.query("prefix");
        let after = request.query_number("after");
        let wait =
            Duration::from_millis(u64::try_from(request.query_number("wait-ms")).unwrap_or(0));
        let mut changes = self.changes.subscribe();
        let (era, current_revision) = {
            let state = self.lock();
            (state.era, state.revision)
        };
        if after > current_revision || after < self.lock().compacted_revision {
            let body = json!({"error": "no such revision"});
            return Ok(http::json(StatusCode::GONE, &body));
        }
        let next_events = async {
            loop {
                if self.lock().outage == Outage::Refusing {
                    return Ok(None);
                }
                if self.lock().era != era {
                    return Err(NoResponse);
                }
                let (events, revision) = self.lock().events_since(&prefix, after);
                if !events.is_empty() && !self.are_watches_silent() {
                    return Ok(Some((events, revision)));
                }
                // A lagging receiver has missed notifications, but the events are in the log.
                let _ = changes.recv().await;
            }
        };
        let (events, revision) = match tokio::time::timeout(wait, next_events).await {
            Ok(Ok(Some(events_and_revision))) => events_and_revision,
            Ok(Ok(None)) => {
                let body = json!({"error": "outage"});
                return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &body));
            }
            Ok(Err(error)) => return Err(error),
            Err(_) => (Vec::new(), after),
        };
        let body = json!({"events": events, "as-of": revision});
        Ok(http::json(StatusCode::OK, &body))
    }

    fn are_watches_silent(&self) -> bool {
        let state = self.lock();
        state.mute_watches || state.outage != Outage::None
    }
}

/// Maximum number of items on one page of a range.
const PAGE_ITEMS: usize = 500;

/// Size of the values on one page of a range after which the page ends.
const PAGE_BYTES: usize = 1 << 20;

impl State {
    fn item(&self, key: &str) -> (StatusCode, Value) {
        match self.keys.get(key.as_bytes()) {
            Some(stored) => {
                let mut item = item_json(key.as_bytes(), stored);
                item["as-of"] = json!(self.revision);
                (StatusCode::OK, item)
            }
            None => (StatusCode::NOT_FOUND, json!({"as-of": self.revision})),
        }
    }

    fn range(&self, request: &StoreRequest) -> (StatusCode, Value) {
        let prefix = request.query("prefix");
        let after = request.query("after");
        let mut page_bytes = 0;
        let mut rest = self
            .keys
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix.as_bytes()) && key.as_slice() > after.as_bytes()
            })
            .peekable();
        let mut items = Vec::new();
        while items.len() < PAGE_ITEMS && page_bytes < PAGE_BYTES {
            let Some((key, stored)) = rest.next() else {
                break;
            };
            page_bytes += stored.value.len();
            items.push(item_json(key, stored));
        }
        let more_pages = rest.peek().is_some();
        let body = json!({"items": items, "more-pages": more_pages, "as-of": self.revision});
        (StatusCode::OK, body)
    }

    fn txn(&mut self, body: &Value) -> (StatusCode, Value) {
        let is_expected_state = array(&body["expected"]).iter().all(|row| {
            let stored = self.keys.get(text(&row["key"]).as_bytes());
            stored.map_or(0, |stored| stored.mod_revision) == int(&row["revision"])
        });
        if !is_expected_state {
            return (StatusCode::PRECONDITION_FAILED, json!({"items": []}));
        }
        let leases = array(&body["writes"]).iter().map(|row| int(&row["lease"]));
        let has_unknown_lease = leases
            .clone()
            .any(|id| id != 0 && !self.leases.contains_key(&id));
        if has_unknown_lease {
            return (StatusCode::NOT_FOUND, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for row in array(&body["writes"]) {
            let key = text(&row["key"]).as_bytes().to_vec();
            self.put(key, decode(&row["value"]), int(&row["lease"]));
        }
        for key in array(&body["remove"]) {
            self.delete(text(key).as_bytes());
        }
        (StatusCode::OK, json!({"revision": self.revision}))
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.writes += 1;
        let create_revision = self
            .keys
            .get(&key)
            .map_or(self.revision, |stored| stored.create_revision);
        let stored = StoredValue {
            value,
            create_revision,
            mod_revision: self.revision,
            lease,
        };
        self.event_log.push(item_json(&key, &stored));
        self.keys.insert(key, stored);
    }

    fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let key = String::from_utf8_lossy(key);
        self.event_log
            .push(json!({"key": key, "revision": self.revision, "deleted": true}));
    }

    fn events_since(&self, prefix: &str, after: i64) -> (Vec<Value>, i64) {
        let events = self
            .event_log
            .iter()
            .filter(|event| int(&event["revision"]) > after)
            .filter(|event| text(&event["key"]).starts_with(prefix))
            .cloned()
            .collect();
        (events, self.revision)
    }

    fn grant_lease(&mut self, body: &Value) -> (StatusCode, Value) {
        let ttl_ms = int(&body["ttl-ms"]);
        self.next_lease += 1;
        self.writes += 1;
        let ttl = Duration::from_millis(u64::try_from(ttl_ms).unwrap_or(1_000));
        let expires = Instant::now() + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        (
            StatusCode::OK,
            json!({"lease": self.next_lease, "ttl-ms": ttl_ms}),
        )
    }

    fn renew_lease(&mut self, id: i64) -> (StatusCode, Value) {
        self.writes += 1;
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = Instant::now() + lease.ttl;
                let ttl_ms = u64::try_from(lease.ttl.as_millis()).unwrap_or(u64::MAX);
                (StatusCode::OK, json!({"ttl-ms": ttl_ms}))
            }
            None => (StatusCode::NOT_FOUND, json!({"error": "no such lease"})),
        }
    }

    fn revoke_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        self.revision += 1;
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        let mut state = shared.lock();
        let expired: Vec<_> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            state.revoke_lease(*id);
        }
        drop(state);
        if !expired.is_empty() {
            let _ = shared.changes.send(());
        }
    }
}

/// Prefix of a stored value whose remaining text is sent without Base64 encoding.
const RAW_TEXT_PREFIX: &[u8] = b"\0as it is:";

fn item_json(key: &[u8], stored: &StoredValue) -> Value {
    let value = match stored.value.strip_prefix(RAW_TEXT_PREFIX) {
        Some(text) => String::from_utf8_lossy(text).into_owned(),
        None => STANDARD.encode(&stored.value),
    };
    json!({
        "key": String::from_utf8_lossy(key),
        "value": value,
        "revision": stored.mod_revision,
        "created": stored.create_revision,
        "lease": stored.lease,
    })
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn int(value: &Value) -> i64 {
    value.as_i64().unwrap_or(0)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn decode(value: &Value) -> Vec<u8> {
    STANDARD
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}
