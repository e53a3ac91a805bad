//! A stand-in for the platform's key-value service: the JSON gateway of the
//! etcd v3 protocol with ranges, transactions, leases and watches.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::sync::{broadcast, mpsc};

use crate::http::{self, NoAnswer, Response, Server};

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

#[derive(Clone)]
struct Stored {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Default)]
struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    outage: Outage,
    lose_answers: u32,
    /// The write of a key with this in it loses its answer, and an outage
    /// begins.
    doubted_key: Option<String>,
    mute_watches: bool,
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
                let path = request.uri().path().to_owned();
                let body = http::body(request).await;
                shared.answer(&path, &body).await
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
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().outage = outage;
    }

    /// The next `count` writes take effect, but their answers are lost.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().lose_answers = count;
    }

    /// The next write of a key that contains `part` takes effect, its answer is
    /// lost, and the service refuses every call until the outage is ended.
    pub fn doubt_write_of(&self, part: &str) {
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

    async fn answer(self: Arc<Self>, path: &str, body: &[u8]) -> Result<Response, NoAnswer> {
        let outage = self.lock().outage;
        match outage {
            Outage::Silent => std::future::pending().await,
            Outage::Refusing => {
                let body = json!({"message": "outage"});
                return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &body));
            }
            Outage::None => {}
        }
        let question: Value = serde_json::from_slice(body).unwrap_or_default();
        self.lock().calls += 1;
        if path == "/v3/watch" {
            return Ok(self.watch(&question));
        }
        let (answer, is_write) = self.call(path, &question);
        let _ = self.changes.send(());
        if is_write && (self.take_lost_answer() || self.take_doubt(&question)) {
            return Err(NoAnswer);
        }
        Ok(http::json(StatusCode::OK, &answer))
    }

    fn take_lost_answer(&self) -> bool {
        let mut state = self.lock();
        if state.lose_answers == 0 {
            return false;
        }
        state.lose_answers -= 1;
        true
    }

    fn take_doubt(&self, question: &Value) -> bool {
        let mut state = self.lock();
        let Some(part) = state.doubted_key.clone() else {
            return false;
        };
        let writes_it = array(&question["success"]).iter().any(|operation| {
            let key = decode(&operation["request_put"]["key"]);
            String::from_utf8_lossy(&key).contains(&part)
        });
        if writes_it {
            state.doubted_key = None;
            state.outage = Outage::Refusing;
        }
        writes_it
    }

    fn call(&self, path: &str, question: &Value) -> (Value, bool) {
        let mut state = self.lock();
        match path {
            "/v3/kv/range" => (state.range(question), false),
            "/v3/kv/txn" => (state.txn(question), true),
            "/v3/lease/grant" => (state.grant(question), true),
            "/v3/lease/keepalive" => (state.keepalive(question), true),
            "/v3/lease/revoke" => (state.revoke(question), true),
            _ => (json!({"message": format!("no such call: {path}")}), false),
        }
    }

    fn watch(self: Arc<Self>, question: &Value) -> Response {
        let (sender, receiver) = mpsc::channel(64);
        let create = &question["create_request"];
        let key = decode(&create["key"]);
        let end = decode(&create["range_end"]);
        let mut next = int(&create["start_revision"]);
        let mut changes = self.changes.subscribe();
        tokio::spawn(async move {
            loop {
                let (events, revision) = self.lock().events_since(&key, &end, next);
                next = revision + 1;
                let message = json!({"result": {
                    "header": {"revision": revision.to_string()},
                    "events": events,
                }});
                let line = Bytes::from(format!("{message}\n"));
                if sender.send(Ok(line)).await.is_err() {
                    return;
                }
                while changes.recv().await.is_ok() {
                    let state = self.lock();
                    let silent = state.mute_watches || state.outage != Outage::None;
                    if !silent && state.revision >= next {
                        break;
                    }
                }
            }
        });
        http::stream("application/json", receiver)
    }
}

impl State {
    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn range(&self, question: &Value) -> Value {
        let key = decode(&question["key"]);
        let end = decode(&question["range_end"]);
        let kvs: Vec<_> = self
            .keys
            .iter()
            .filter(|(candidate, _)| within(candidate, &key, &end))
            .map(|(key, stored)| kv_json(key, stored))
            .collect();
        json!({"header": self.header(), "kvs": kvs})
    }

    fn txn(&mut self, question: &Value) -> Value {
        let holds = array(&question["compare"])
            .iter()
            .all(|compare| self.compare_holds(compare));
        if holds {
            self.revision += 1;
            for operation in array(&question["success"]) {
                self.apply(operation);
            }
        }
        json!({"header": self.header(), "succeeded": holds})
    }

    fn compare_holds(&self, compare: &Value) -> bool {
        let stored = self.keys.get(&decode(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                stored.map_or(0, |stored| stored.create_revision)
                    == int(&compare["create_revision"])
            }
            Some("MOD") => {
                stored.map_or(0, |stored| stored.mod_revision) == int(&compare["mod_revision"])
            }
            _ => false,
        }
    }

    fn apply(&mut self, operation: &Value) {
        if let Some(put) = operation.get("request_put") {
            let lease = int(&put["lease"]);
            self.put(decode(&put["key"]), decode(&put["value"]), lease);
        }
        if let Some(delete) = operation.get("request_delete_range") {
            self.delete(&decode(&delete["key"]));
        }
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
        self.log
            .push(json!({"type": "PUT", "kv": kv_json(&key, &stored)}));
        self.keys.insert(key, stored);
    }

    fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let kv = json!({
            "key": STANDARD.encode(key),
            "mod_revision": self.revision.to_string(),
        });
        self.log.push(json!({"type": "DELETE", "kv": kv}));
    }

    fn events_since(&self, key: &[u8], end: &[u8], next: i64) -> (Vec<Value>, i64) {
        let events = self
            .log
            .iter()
            .filter(|event| int(&event["kv"]["mod_revision"]) >= next)
            .filter(|event| within(&decode(&event["kv"]["key"]), key, end))
            .cloned()
            .collect();
        (events, self.revision)
    }

    fn grant(&mut self, question: &Value) -> Value {
        let ttl_s = int(&question["TTL"]);
        self.next_lease += 1;
        self.writes += 1;
        let ttl = Duration::from_secs(u64::try_from(ttl_s).unwrap_or(1));
        self.leases.insert(
            self.next_lease,
            Lease {
                ttl,
                expires: Instant::now() + ttl,
            },
        );
        json!({"ID": self.next_lease.to_string(), "TTL": ttl_s.to_string()})
    }

    fn keepalive(&mut self, question: &Value) -> Value {
        self.writes += 1;
        let id = int(&question["ID"]);
        let ttl_s = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = Instant::now() + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        };
        json!({"result": {"ID": id.to_string(), "TTL": ttl_s.to_string()}})
    }

    fn revoke(&mut self, question: &Value) -> Value {
        self.end_lease(int(&question["ID"]));
        json!({})
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

fn kv_json(key: &[u8], stored: &Stored) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.create_revision.to_string(),
        "mod_revision": stored.mod_revision.to_string(),
    })
}

fn within(candidate: &[u8], key: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        candidate == key
    } else {
        candidate >= key && candidate < end
    }
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn int(value: &Value) -> i64 {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .or_else(|| value.as_i64())
        .unwrap_or(0)
}

fn decode(value: &Value) -> Vec<u8> {
    STANDARD
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}
