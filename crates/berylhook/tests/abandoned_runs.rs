//! Callers that leave while their target is silent: the run has to be cancelled there at once.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use berylhook_test_support::KeyValueStandIn;
use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, until_plain_service_ready, until_serving,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

/// Time within which a run has to be cancelled after its caller has left.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// How far a response gets before the target falls silent.
#[derive(Clone, Copy)]
enum Silence {
    BeforeHead,
    AfterHead,
    AfterFirstEvent,
}

/// A target that falls silent, and counts the runs whose connection is open.
struct SilentTarget {
    address: SocketAddr,
    running: Arc<AtomicUsize>,
    server: JoinHandle<()>,
}

impl Drop for SilentTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl SilentTarget {
    async fn start(silence: Silence) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let running = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&running);
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, silence, Arc::clone(&counter)));
            }
        });
        Self {
            address,
            running,
            server,
        }
    }

    fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    async fn until_running(&self) {
        until(async || self.running() == 1).await;
    }
}

async fn serve_connection(mut stream: TcpStream, silence: Silence, running: Arc<AtomicUsize>) {
    while let Some(request) = read_request(&mut stream).await {
        if !request.contains("stay") {
            let body = r#"{"running":0,"waiting":0,"slots":8}"#;
            let length = body.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                 content-length: {length}\r\n\r\n{body}"
            );
            let _ = stream.write_all(response.as_bytes()).await;
            continue;
        }
        running.fetch_add(1, Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    berylhook-attempt-id: attempt-1\r\nberylhook-response-seal: s\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let event = "id: 1\ndata: x\n\n";
        let event = format!("{:x}\r\n{event}\r\n", event.len());
        let sent = match silence {
            Silence::BeforeHead => String::new(),
            Silence::AfterHead => head.to_owned(),
            Silence::AfterFirstEvent => format!("{head}{event}"),
        };
        let _ = stream.write_all(sent.as_bytes()).await;
        let mut rest = [0; 256];
        while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {}
        running.fetch_sub(1, Ordering::SeqCst);
        return;
    }
}

/// Reads one request with its body; `None` if the connection has closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer).await.ok().filter(|n| *n > 0)?;
        request.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&request).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let body_length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|value| value.trim().parse().ok())
            .unwrap_or(0);
        if body.len() >= body_length {
            return Some(text);
        }
    }
}

async fn start_direct(target: &SilentTarget) -> (KeyValueStandIn, Entry) {
    let store = KeyValueStandIn::start().await;
    let routes = [
        route("unsafe", "unsafe", 2, false),
        route("stream", "streaming", 3, true),
    ];
    store.put_raw("op/config", &configuration(1, &routes));
    let document = json!({
        "service": "push", "address": target.address.to_string(), "zone": "here",
        "version": "v1", "slots": 12, "phase": "ready", "cold-left-ms": 0, "seq": 1,
    });
    store.put_raw("servers/i-1", document.to_string().as_bytes());
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    (store, entry)
}

/// Sends a request on a connection that closes when dropped.
async fn send(entry: &Entry, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.caller_address)
        .await
        .expect("the entry listens");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {API_KEY}\r\n\
         berylhook-attempt-id: attempt-1\r\nberylhook-deadline-ms: 3500\r\n\
         content-length: 4\r\n\r\nstay"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    stream
}

/// The runs left at the target after the caller of `path` has left.
async fn left_at_target(silence: Silence, path: &str) -> usize {
    let target = SilentTarget::start(silence).await;
    let (_store, entry) = start_direct(&target).await;
    let caller = send(&entry, path).await;
    target.until_running().await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    drop(caller);
    tokio::time::sleep(CANCEL_TIME).await;

    target.running()
}

// Guards against a plain run that goes on after its caller has left.
#[tokio::test]
async fn a_plain_run_without_a_response_is_cancelled_when_its_caller_leaves() {
    assert_eq!(left_at_target(Silence::BeforeHead, "/unsafe/").await, 0);
}

// Guards against a plain run that goes on because its response has begun.
#[tokio::test]
async fn a_plain_run_with_a_begun_response_is_cancelled_when_its_caller_leaves() {
    assert_eq!(left_at_target(Silence::AfterHead, "/unsafe/").await, 0);
}

// Guards against a stream that goes on because it has no response head yet.
#[tokio::test]
async fn a_stream_without_a_head_is_cancelled_when_its_caller_leaves() {
    assert_eq!(left_at_target(Silence::BeforeHead, "/stream/").await, 0);
}

// Guards against a stream that goes on because it has no event yet.
#[tokio::test]
async fn a_stream_without_an_event_is_cancelled_when_its_caller_leaves() {
    assert_eq!(left_at_target(Silence::AfterHead, "/stream/").await, 0);
}

// Guards against a stream that goes on because its target is silent.
#[tokio::test]
async fn a_silent_stream_is_cancelled_when_its_caller_leaves() {
    let left = left_at_target(Silence::AfterFirstEvent, "/stream/").await;

    assert_eq!(left, 0);
}

fn complete(entry: SocketAddr, stream: bool) -> JoinHandle<()> {
    tokio::spawn(async move {
        Caller::new(DESK_KEY)
            .complete(entry, "briefing-llm", "stay", 1, stream)
            .await;
    })
}

fn confirm(entry: SocketAddr) -> JoinHandle<()> {
    tokio::spawn(async move {
        Caller::new(DESK_KEY)
            .post(entry, "/guide-push/confirm", "stay", &[])
            .await;
    })
}

// Guards against a run behind an agent that goes on after its caller has left without a response.
#[tokio::test]
async fn an_agent_cancels_a_run_when_its_caller_leaves() {
    let target = SilentTarget::start(Silence::BeforeHead).await;
    let cluster = Cluster::start().await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", target.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let call = complete(entry.address, false);
    target.until_running().await;

    call.abort();
    tokio::time::sleep(CANCEL_TIME).await;

    assert_eq!(target.running(), 0);
}

// Guards against a run that nobody waits for, because the entry that asked for it has exited.
#[tokio::test]
async fn an_agent_cancels_the_runs_of_an_entry_that_has_exited() {
    let target = SilentTarget::start(Silence::BeforeHead).await;
    let cluster = Cluster::start().await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", target.address);
    let mut entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let _call = complete(entry.address, false);
    target.until_running().await;

    entry.daemon.kill();
    tokio::time::sleep(CANCEL_TIME).await;

    assert_eq!(target.running(), 0);
}

// Guards against a keyed run whose outcome is never recorded, because the entry that asked for it
// has exited.
#[tokio::test]
async fn an_agent_continues_the_keyed_runs_of_an_entry_that_has_exited() {
    let target = SilentTarget::start(Silence::BeforeHead).await;
    let cluster = Cluster::start().await;
    let _agent = cluster.start_agent("target-1", "guide-push", target.address);
    let mut entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let _call = confirm(entry.address);
    target.until_running().await;

    entry.daemon.kill();
    tokio::time::sleep(CANCEL_TIME).await;

    assert_eq!(target.running(), 1);
}

// Guards against a stream behind an agent that goes on because its target is silent when the
// caller leaves.
#[tokio::test]
async fn an_agent_cancels_a_silent_stream_when_its_caller_leaves() {
    let target = SilentTarget::start(Silence::AfterFirstEvent).await;
    let cluster = Cluster::start().await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", target.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let call = complete(entry.address, true);
    target.until_running().await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    call.abort();
    tokio::time::sleep(CANCEL_TIME).await;

    assert_eq!(target.running(), 0);
}

// Guards against a keyed run whose outcome is never recorded, because its caller has left a silent
// stream.
#[tokio::test]
async fn an_agent_continues_a_keyed_run_when_its_caller_leaves_a_silent_stream() {
    let target = SilentTarget::start(Silence::AfterFirstEvent).await;
    let cluster = Cluster::start().await;
    let _agent = cluster.start_agent("target-1", "guide-push", target.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let call = confirm(entry.address);
    target.until_running().await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    call.abort();
    tokio::time::sleep(CANCEL_TIME).await;

    assert_eq!(target.running(), 1);
}
