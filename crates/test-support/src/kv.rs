//! A stand-in for the platform's store: ranges, transactions, leases and
//! watches, as its published protocol spells them.
//!
//! It can come back from an older copy: see [`KeyValueStandIn::restore`].

mod question;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::sync::broadcast;

use self::question::Question;
use crate::http::{self, NoResponse, Response, Server};

/// How the service fails at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// Every call is answered with status 503 and has no effect.
    Refusing,
    /// Calls are accepted and never answered, and have no effect.
    Silent,
}

/// What the service held at one moment.
#[derive(Clone)]
pub struct StoreSnapshot {
    revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Lease>,
    log: Vec<Value>,
}

#[derive(Clone)]
struct Stored {
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
    /// How often it was restored.
    era: u64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    outage: Outage,
    lose_responses: u32,
    /// The write of a key with this in it loses its answer, and an outage
    /// begins.
    doubted_key: Option<String>,
    mute_watches: bool,
    /// Reads of keys that begin so are answered once this is taken back.
    held_reads: Option<String>,
    calls: u64,
    writes: u64,
    log: Vec<Value>,
}

struct Shared {
    state: Mutex<State>,
    changes: broadcast::Sender<()>,
}

/// The running stand-in.
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
        let server = Server::start(Arc::new(move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(async move {
                let method = request.method().clone();
                let uri = request.uri().clone();
                let body = http::body(request).await;
                let question = Question::new(&method, &uri, &body);
                let mut response = Arc::clone(&shared).answer(&question).await?;
                let era = shared.lock().era;
                response.headers_mut().insert("store-era", era.into());
                Ok(response)
            })
        }))
        .await;
        tokio::spawn(expire_leases(Arc::clone(&shared)));
        Self { shared, server }
    }

    /// Its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Starts or ends an outage.
    ///
    /// One that refuses calls also cuts the watches that wait.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
        let _ = self.shared.changes.send(());
    }

    /// The next `count` writes take effect, but their answers are lost.
    pub fn lose_responses(&self, count: u32) {
        self.shared.lock().lose_responses = count;
    }

    /// The next write of a key that contains `part` takes effect, its answer is
    /// lost, and the service refuses every call until the outage is ended.
    pub fn fail_after_write_of(&self, part: &str) {
        self.shared.lock().doubted_key = Some(part.to_owned());
    }

    /// How the service fails at present.
    #[must_use]
    pub fn outage(&self) -> Outage {
        self.shared.lock().outage
    }

    /// Watches stay open but tell nothing more.
    pub fn mute_watches(&self, mute: bool) {
        self.shared.lock().mute_watches = mute;
    }

    /// Reads of keys, or of ranges, that begin with `prefix` are answered only once
    /// [`Self::release_reads`] is called.
    pub fn hold_reads_of(&self, prefix: &str) {
        self.shared.lock().held_reads = Some(prefix.to_owned());
    }

    /// Answers the reads that were held, and holds no more.
    pub fn release_reads(&self) {
        self.shared.lock().held_reads = None;
        let _ = self.shared.changes.send(());
    }

    /// Calls answered so far, a watch counting as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Writes carried out so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.shared.lock().writes
    }

    /// Writes a key past all checks, as a careless operator might.
    pub fn put_raw(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        state.revision += 1;
        state.put(key.as_bytes().to_vec(), value.to_vec(), 0);
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// Writes a value whose text on the wire is `text`, encoded or not.
    pub fn put_text(&self, key: &str, text: &str) {
        let value = [AS_IT_IS, text.as_bytes()].concat();
        self.put_raw(key, &value);
    }

    /// Removes a key past all checks.
    pub fn remove_raw(&self, key: &str) {
        let mut state = self.shared.lock();
        state.revision += 1;
        state.delete(key.as_bytes());
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// A copy of all that it holds.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.shared.lock();
        StoreSnapshot {
            revision: state.revision,
            next_lease: state.next_lease,
            keys: state.keys.clone(),
            leases: state.leases.clone(),
            log: state.log.clone(),
        }
    }

    /// Comes back from a copy, in the next era: what was written since is gone, leases too,
    /// and revisions and the numbers of leases are given out again.
    pub fn restore(&self, copy: &StoreSnapshot) {
        let now = Instant::now();
        let mut state = self.shared.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.next_lease = copy.next_lease;
        state.keys.clone_from(&copy.keys);
        state.leases.clone_from(&copy.leases);
        for lease in state.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
        state.log.clone_from(&copy.log);
        drop(state);
        let _ = self.shared.changes.send(());
    }

    /// How often it was restored.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.shared.lock().era
    }

    /// The value of a key as text.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let stored = state.keys.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(&stored.value).into_owned())
    }

    /// Where it listens.
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

    async fn answer(self: Arc<Self>, question: &Question) -> Result<Response, NoResponse> {
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
        if question.call == "GET /-/kv-watch" {
            return self.watch(question).await;
        }
        self.until_released(question).await;
        let (status, answer) = self.call(question);
        let _ = self.changes.send(());
        let is_write = !question.call.starts_with("GET");
        if is_write && (self.take_lost_answer() || self.take_doubt(&question.body)) {
            return Err(NoResponse);
        }
        Ok(http::json(status, &answer))
    }

    async fn until_released(&self, question: &Question) {
        let mut changes = self.changes.subscribe();
        while self.is_held(question) {
            // A lagging receiver has missed notices, and looks again all the same.
            let _ = changes.recv().await;
        }
    }

    fn is_held(&self, question: &Question) -> bool {
        let state = self.lock();
        let held = state.held_reads.as_deref();
        let read = match question.call.as_str() {
            "GET /-/kv-range" => question.query("prefix"),
            "GET /-/kv-key" => question.query("key"),
            _ => return false,
        };
        held.is_some_and(|held| read.starts_with(held))
    }

    fn take_lost_answer(&self) -> bool {
        let mut state = self.lock();
        if state.lose_responses == 0 {
            return false;
        }
        state.lose_responses -= 1;
        true
    }

    fn take_doubt(&self, question: &Value) -> bool {
        let mut state = self.lock();
        let Some(part) = state.doubted_key.clone() else {
            return false;
        };
        let writes_it = array(&question["writes"])
            .iter()
            .any(|write| text(&write["key"]).contains(&part));
        if writes_it {
            state.doubted_key = None;
            state.outage = Outage::Refusing;
        }
        writes_it
    }

    fn call(&self, question: &Question) -> (StatusCode, Value) {
        let mut state = self.lock();
        match question.call.as_str() {
            "GET /-/kv-key" => state.item(&question.query("key")),
            "GET /-/kv-range" => state.range(question),
            "POST /-/kv-txn" => state.txn(&question.body),
            "POST /-/kv-lease" => state.grant(&question.body),
            "POST /-/kv-keep" => state.keep(question.id),
            "DELETE /-/kv-lease-end" => {
                state.end_lease(question.id);
                (StatusCode::OK, json!({}))
            }
            other => (
                StatusCode::NOT_FOUND,
                json!({"error": format!("no such call: {other}")}),
            ),
        }
    }

    /// Waits for events behind a revision, for as long as the call says.
    async fn watch(self: Arc<Self>, question: &Question) -> Result<Response, NoResponse> {
        let prefix = question.query("prefix");
        let after = question.number("after");
        let wait = Duration::from_millis(u64::try_from(question.number("wait-ms")).unwrap_or(0));
        let mut changes = self.changes.subscribe();
        let (era, newest) = {
            let state = self.lock();
            (state.era, state.revision)
        };
        if after > newest {
            let body = json!({"error": "no such revision"});
            return Ok(http::json(StatusCode::GONE, &body));
        }
        let waiting = async {
            loop {
                if self.lock().outage == Outage::Refusing {
                    return Ok(None);
                }
                if self.lock().era != era {
                    return Err(NoResponse);
                }
                let (events, revision) = self.lock().events_since(&prefix, after);
                if !events.is_empty() && !self.is_silent() {
                    return Ok(Some((events, revision)));
                }
                // A lagging receiver has missed notices, not events.
                let _ = changes.recv().await;
            }
        };
        let (events, revision) = match tokio::time::timeout(wait, waiting).await {
            Ok(Ok(Some(found))) => found,
            Ok(Ok(None)) => {
                let body = json!({"error": "outage"});
                return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &body));
            }
            Ok(Err(cut)) => return Err(cut),
            Err(_) => (Vec::new(), after),
        };
        let body = json!({"events": events, "as-of": revision});
        Ok(http::json(StatusCode::OK, &body))
    }

    fn is_silent(&self) -> bool {
        let state = self.lock();
        state.mute_watches || state.outage != Outage::None
    }
}

/// Items on one page of a range.
const PAGE_ITEMS: usize = 500;

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

    fn range(&self, question: &Question) -> (StatusCode, Value) {
        let prefix = question.query("prefix");
        let after = question.query("after");
        let mut items: Vec<Value> = self
            .keys
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix.as_bytes()) && key.as_slice() > after.as_bytes()
            })
            .take(PAGE_ITEMS + 1)
            .map(|(key, stored)| item_json(key, stored))
            .collect();
        let more_pages = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let answer = json!({"items": items, "more-pages": more_pages, "as-of": self.revision});
        (StatusCode::OK, answer)
    }

    fn txn(&mut self, body: &Value) -> (StatusCode, Value) {
        let holds = array(&body["expected"]).iter().all(|row| {
            let stored = self.keys.get(text(&row["key"]).as_bytes());
            stored.map_or(0, |stored| stored.mod_revision) == int(&row["revision"])
        });
        if !holds {
            return (StatusCode::PRECONDITION_FAILED, json!({"items": []}));
        }
        let leases = array(&body["writes"]).iter().map(|row| int(&row["lease"]));
        let missing = leases
            .clone()
            .any(|id| id != 0 && !self.leases.contains_key(&id));
        if missing {
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
        let stored = Stored {
            value,
            create_revision,
            mod_revision: self.revision,
            lease,
        };
        self.log.push(item_json(&key, &stored));
        self.keys.insert(key, stored);
    }

    fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let key = String::from_utf8_lossy(key);
        self.log
            .push(json!({"key": key, "revision": self.revision, "deleted": true}));
    }

    fn events_since(&self, prefix: &str, after: i64) -> (Vec<Value>, i64) {
        let events = self
            .log
            .iter()
            .filter(|event| int(&event["revision"]) > after)
            .filter(|event| text(&event["key"]).starts_with(prefix))
            .cloned()
            .collect();
        (events, self.revision)
    }

    fn grant(&mut self, body: &Value) -> (StatusCode, Value) {
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

    fn keep(&mut self, id: i64) -> (StatusCode, Value) {
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

    fn end_lease(&mut self, id: i64) {
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
            state.end_lease(*id);
        }
        drop(state);
        if !expired.is_empty() {
            let _ = shared.changes.send(());
        }
    }
}

/// What a value begins with whose text goes on the wire unencoded.
const AS_IT_IS: &[u8] = b"\0as it is:";

fn item_json(key: &[u8], stored: &Stored) -> Value {
    let value = match stored.value.strip_prefix(AS_IT_IS) {
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
