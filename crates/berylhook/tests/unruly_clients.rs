//! Clients of `berylhook entry` that keep to no limit. Each test checks that the process lives, stays
//! within the memory and descriptors of its settings, and serves an ordinary request.

mod common;

use std::time::Duration;

use berylhook_test_support::{Behaviour, KeyValueStandIn, PlatformTarget, Signal};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::MutexGuard;
use tokio::time::{sleep, timeout};

use crate::common::crowd::{
    Crowd, Footprint, Script, body_pieces, head, head_with_length, one_byte_short, take_turn,
    until_served, without_last_chunk,
};
use crate::common::entry::{
    Entry, configuration_with_body_limit, route, start_entry_with_descriptors, until, until_ready,
};
use crate::common::raw_calls::{connect, read_until, request_bytes, write};

/// Memory that the settings of the entry state.
const MEMORY_MB: u64 = 96;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;

/// Descriptors that the settings of the entry state: many, or few.
const MANY_DESCRIPTORS: u64 = 4_000;
const FEW_DESCRIPTORS: u64 = 400;

/// Descriptors that are kept for files; sockets and pipes may use the others.
const DESCRIPTORS_FOR_FILES: u64 = 200;

const MAX_BODY_BYTES: usize = 1_000_000;

/// Clients of a crowd that sends bodies.
const CROWD: u64 = 120;

/// Clients of a crowd that only keeps connections, more than there are descriptors.
const CONNECTION_CROWD: u64 = 500;

/// Clients of a crowd that sends bytes behind a request.
const PIPELINING_CROWD: u64 = 1_000;

/// Time for the entry to read what the kernel has taken from clients.
const STANDING_TIME: Duration = Duration::from_secs(8);

/// Longer than the timeout of any body or head.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

const PATH: &str = "/unsafe/";

/// An entry between one target and the crowd.
struct Setting {
    store: KeyValueStandIn,
    target: PlatformTarget,
    entry: Entry,
    footprint: Footprint,
    max_connections: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Setting {
    async fn start() -> Self {
        Self::start_with_descriptors(MANY_DESCRIPTORS).await
    }

    async fn start_with_few_descriptors() -> Self {
        Self::start_with_descriptors(FEW_DESCRIPTORS).await
    }

    async fn start_with_descriptors(descriptors: u64) -> Self {
        let turn = take_turn().await;
        let store = KeyValueStandIn::start().await;
        put_configuration(&store, 1, MAX_BODY_BYTES);
        let target = PlatformTarget::start("i-1").await;
        target.register(&store, "push", "ready");
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n");
        let entry = start_entry_with_descriptors(&store, descriptors, &limits);
        until_ready(&entry).await;
        let footprint = Footprint::watch(&entry.daemon, entry.caller_address);
        Self {
            store,
            target,
            entry,
            footprint,
            max_connections: descriptors - DESCRIPTORS_FOR_FILES,
            _turn: turn,
        }
    }

    fn crowd(&self, size: u64, script: &Script) -> Crowd {
        Crowd::start(size, self.entry.caller_address, script)
    }

    async fn until_ordinary_request_is_served(&self) {
        until_served(self.entry.caller_address, PATH, "draft").await;
    }

    fn assert_within_limits(&mut self) {
        assert!(!self.entry.daemon.has_exited(), "the entry has exited");
        let peak_bytes = self.footprint.peak_bytes();
        assert!(
            peak_bytes <= MEMORY_BYTES,
            "held {peak_bytes} bytes of {MEMORY_BYTES}"
        );
        let connections = self.footprint.peak_connections();
        assert!(
            connections <= self.max_connections,
            "had {connections} sockets and pipes of {}",
            self.max_connections
        );
    }

    /// Plays a crowd, and checks all that must hold while it stands and after it has gone.
    async fn withstands(mut self, size: u64, script: &Script) {
        let crowd = self.crowd(size, script);
        crowd.until_sent().await;
        self.until_ordinary_request_is_served().await;
        crowd.close().await;
        self.until_ordinary_request_is_served().await;
        self.assert_within_limits();
    }
}

fn put_configuration(store: &KeyValueStandIn, version: u64, max_body_bytes: usize) {
    let routes = [
        route("unsafe", "unsafe", 2, false),
        route("stream", "streaming", 3, true),
    ];
    let configuration = configuration_with_body_limit(version, &routes, max_body_bytes);
    store.put_raw("op/config", &configuration);
}

/// Sends a request over a connection of its own, and returns what was received up to `end`.
async fn answer_to(setting: &Setting, pieces: &[Bytes], end: &str) -> String {
    let connection = connect(setting.entry.caller_address).await;
    let (mut reader, mut writer) = connection.into_split();
    let pieces = pieces.to_vec();
    let sending = tokio::spawn(async move {
        for piece in pieces {
            if writer.write_all(&piece).await.is_err() {
                break;
            }
        }
        writer
    });
    let mut received = Vec::new();
    let reading = async {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length) = reader.read(&mut buffer).await {
            received.extend_from_slice(&buffer[..length]);
            if length == 0 || String::from_utf8_lossy(&received).contains(end) {
                break;
            }
        }
    };
    // Without an answer, the test fails on the empty text.
    let _ = timeout(ANSWER_TIMEOUT, reading).await;
    sending.abort();
    String::from_utf8_lossy(&received).into_owned()
}

// Guards against memory that grows with the bodies that are not complete, up to the timeout of a body.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short() {
    let setting = Setting::start().await;
    setting
        .withstands(CROWD, &one_byte_short(PATH, MAX_BODY_BYTES))
        .await;
}

// Guards against memory for chunks of bodies that never end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_without_an_end() {
    let setting = Setting::start().await;
    let script = without_last_chunk(PATH, 60, 16 << 10);
    setting.withstands(CROWD, &script).await;
}

// Guards against a buffer that each of many small chunks keeps.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_without_an_end() {
    let mut setting = Setting::start().await;
    let crowd = setting.crowd(CROWD / 2, &without_last_chunk(PATH, 64 << 10, 1));
    crowd.until_sent().await;
    sleep(STANDING_TIME).await;

    setting.until_ordinary_request_is_served().await;
    crowd.close().await;

    setting.assert_within_limits();
}

// Guards against a buffer that each of many small reads keeps.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_arrive_byte_by_byte() {
    let setting = Setting::start().await;
    let mut pieces = vec![head_with_length(PATH, 200_000)];
    pieces.extend(body_pieces(400, 1));
    let script = Script::new(pieces).with_interval(Duration::from_millis(10));
    setting.withstands(CROWD, &script).await;
}

// Guards against bodies that are read up to the limit although their announced length exceeds it.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_with_a_length() {
    let setting = Setting::start().await;
    let mut pieces = vec![head_with_length(PATH, 64_000_000)];
    pieces.extend(body_pieces(64_000_000, 16 << 10));
    setting.withstands(CROWD, &Script::new(pieces)).await;
}

// Guards against chunked bodies over the limit that are all kept until they reach it.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_in_chunks() {
    let setting = Setting::start().await;
    let script = without_last_chunk(PATH, 1_000, 64 << 10);
    setting.withstands(CROWD, &script).await;
}

// Guards against a request that waits for a body that is known to be too long.
#[tokio::test(flavor = "multi_thread")]
async fn an_announced_length_over_the_limit_is_refused_without_the_body() {
    let setting = Setting::start().await;
    let request = [head_with_length(PATH, 400_000_000)];

    let answer = answer_to(&setting, &request, "\r\n\r\n").await;

    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    setting.until_ordinary_request_is_served().await;
}

// Guards against a refusal that is lost to the reset of a connection whose body is not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_reads_only_behind_its_body_gets_its_refusal() {
    let setting = Setting::start().await;
    let total_bytes = 2 * MAX_BODY_BYTES;
    let mut with_length = vec![head_with_length(PATH, total_bytes)];
    with_length.extend(body_pieces(total_bytes, 16 << 10));
    let mut in_chunks = vec![head(PATH, "transfer-encoding: chunked\r\n")];
    in_chunks.extend(common::crowd::chunks(total_bytes / 10_000, 10_000));
    in_chunks.push(Bytes::from_static(b"0\r\n\r\n"));

    for request in [with_length, in_chunks] {
        for _ in 0..10 {
            let mut connection = connect(setting.entry.caller_address).await;
            for piece in &request {
                // A failed write is no reason not to read.
                let _ = connection.write_all(piece).await;
            }

            let answer = read_until(&mut connection, |text| text.contains("\r\n\r\n")).await;

            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        }
    }
}

// Guards against a client that keeps its connection by sending on behind its refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_sends_on_behind_its_refusal_is_closed() {
    let setting = Setting::start().await;
    let mut connection = connect(setting.entry.caller_address).await;
    let total_bytes = 400_000_000;
    let head = head_with_length(PATH, total_bytes);
    connection.write_all(&head).await.expect("it is connected");

    let mut sent_bytes = 0;
    for piece in body_pieces(total_bytes, 64 << 10) {
        if connection.write_all(&piece).await.is_err() {
            break;
        }
        sent_bytes += piece.len();
    }

    assert!(sent_bytes < total_bytes, "the whole body was taken");
}

// Guards against 100 responses that invite more bodies than there is memory for.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_wait_for_100_continue_and_stop_short() {
    let setting = Setting::start().await;
    let lines = format!("expect: 100-continue\r\ncontent-length: {MAX_BODY_BYTES}\r\n");
    let mut pieces = vec![head(PATH, &lines)];
    pieces.extend(body_pieces(MAX_BODY_BYTES - 1, 16 << 10));
    setting.withstands(CROWD, &Script::new(pieces)).await;
}

// Guards against whole bodies that wait for a slot without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_for_a_slot() {
    let mut setting = Setting::start().await;
    setting.target.set_behaviour(Behaviour::Hangs);
    let mut pieces = vec![head_with_length(PATH, MAX_BODY_BYTES)];
    pieces.extend(body_pieces(MAX_BODY_BYTES, 16 << 10));
    let crowd = setting.crowd(CROWD, &Script::new(pieces));
    crowd.until_sent().await;
    setting.target.set_behaviour(Behaviour::Responds);
    crowd.close().await;

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against whole bodies that are kept for clients that have left.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_clients_that_close_at_once() {
    let mut setting = Setting::start().await;
    setting.target.set_behaviour(Behaviour::Hangs);
    let mut pieces = vec![head_with_length(PATH, MAX_BODY_BYTES)];
    pieces.extend(body_pieces(MAX_BODY_BYTES, 16 << 10));
    let crowd = setting.crowd(CROWD, &Script::new(pieces).closing().returning());
    crowd.until_sent().await;
    sleep(Duration::from_secs(1)).await;
    setting.target.set_behaviour(Behaviour::Responds);
    crowd.close().await;

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against an entry without descriptors for ordinary callers, the store and targets.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_half_a_head() {
    let setting = Setting::start_with_few_descriptors().await;
    let half_head = format!("POST {PATH} HTTP/1.1\r\nhost: desk.example\r\n");
    let script = Script::new(vec![Bytes::from(half_head)]).returning();
    setting.withstands(CONNECTION_CROWD, &script).await;
}

// The same, with heads that come as slowly as the timeout of a read allows.
#[tokio::test(flavor = "multi_thread")]
async fn connections_whose_heads_arrive_byte_by_byte() {
    let setting = Setting::start_with_few_descriptors().await;
    let slow_head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\npadding: {}",
        "x".repeat(200)
    );
    let pieces = slow_head.as_bytes().chunks(1).map(Bytes::copy_from_slice);
    let script = Script::new(pieces.collect())
        .with_interval(Duration::from_millis(10))
        .returning();
    setting.withstands(CONNECTION_CROWD, &script).await;
}

// Guards against connections without a request that keep ordinary callers out.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_byte() {
    let setting = Setting::start_with_few_descriptors().await;
    setting
        .withstands(CONNECTION_CROWD, &Script::new(Vec::new()).returning())
        .await;
}

// Guards against connections that are kept by small bodies, each within the limits.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_half_a_small_body() {
    let setting = Setting::start_with_few_descriptors().await;
    let pieces = vec![head_with_length(PATH, 1_000), Bytes::from_static(b"half")];
    setting
        .withstands(CONNECTION_CROWD, &Script::new(pieces).returning())
        .await;
}

// Guards against heads of the largest size, one byte short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_large_heads_without_an_end() {
    let setting = Setting::start_with_few_descriptors().await;
    let text = format!(
        "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\npadding: {}",
        "x".repeat(15_000)
    );
    let script = Script::new(vec![Bytes::from(text)]).returning();
    setting.withstands(CONNECTION_CROWD, &script).await;
}

// Guards against responses that are kept without a bound for callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn large_responses_that_are_not_read() {
    let mut setting = Setting::start().await;
    setting
        .target
        .set_behaviour(Behaviour::RespondsAtLength(4_000_000));
    let request = Bytes::from(request_bytes(PATH, "attempt-1"));
    let crowd = setting.crowd(CROWD, &Script::new(vec![request]));
    crowd.until_sent().await;
    sleep(Duration::from_secs(3)).await;
    setting.target.set_behaviour(Behaviour::Responds);

    setting.until_ordinary_request_is_served().await;
    crowd.close().await;
    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against bytes behind a request in progress, which the kernel keeps for the process.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_a_request_that_is_in_progress() {
    let mut setting = Setting::start().await;
    setting.target.set_behaviour(Behaviour::Hangs);
    let mut pieces = vec![Bytes::from(request_bytes(PATH, "attempt-1"))];
    pieces.extend(body_pieces(2_000_000, 16 << 10));
    let crowd = setting.crowd(PIPELINING_CROWD, &Script::new(pieces));
    crowd.until_sent().await;
    setting.target.set_behaviour(Behaviour::Responds);
    crowd.close().await;

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against a crowd that takes the room that was just made.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short_of_clients_that_return_at_once() {
    let setting = Setting::start().await;
    let script = one_byte_short(PATH, MAX_BODY_BYTES).returning();
    setting.withstands(CROWD, &script).await;
}

// Guards against an ordinary body just under the limit that finds no room beside a crowd.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_large_body_beside_bodies_one_byte_short() {
    let mut setting = Setting::start().await;
    let crowd = setting.crowd(CROWD, &one_byte_short(PATH, MAX_BODY_BYTES));
    crowd.until_sent().await;
    let body = "x".repeat(MAX_BODY_BYTES - 1);

    until_served(setting.entry.caller_address, PATH, &body).await;

    setting.assert_within_limits();
}

// Guards against bounds of bodies and of connections that hold alone, but not together.
#[tokio::test(flavor = "multi_thread")]
async fn short_bodies_beside_connections_without_a_request() {
    let mut setting = Setting::start_with_few_descriptors().await;
    let connections = setting.crowd(CONNECTION_CROWD, &Script::new(Vec::new()).returning());
    let bodies = setting.crowd(CROWD, &one_byte_short(PATH, MAX_BODY_BYTES).returning());
    connections.until_sent().await;
    bodies.until_sent().await;

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against a crowd that keeps a process from its stop.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stops_beside_bodies_one_byte_short() {
    let mut setting = Setting::start().await;
    let crowd = setting.crowd(CROWD, &one_byte_short(PATH, MAX_BODY_BYTES));
    crowd.until_sent().await;

    setting.entry.daemon.signal(Signal::Terminate);
    let pid = setting.entry.daemon.pid();
    until(async || !std::path::Path::new(&format!("/proc/{pid}/fd/0")).exists()).await;

    let exit_code = setting.entry.daemon.wait().expect("no signal ended it");
    assert_eq!(exit_code, 0);
    let peak_bytes = setting.footprint.peak_bytes();
    assert!(
        peak_bytes <= MEMORY_BYTES,
        "held {peak_bytes} bytes of {MEMORY_BYTES}"
    );
}

// Guards against a new limit for bodies that ends the entry, or its memory bound, beside bodies that
// are read under the former one.
#[tokio::test(flavor = "multi_thread")]
async fn a_lower_body_limit_beside_bodies_one_byte_short() {
    let mut setting = Setting::start().await;
    let crowd = setting.crowd(CROWD, &one_byte_short(PATH, MAX_BODY_BYTES));
    crowd.until_sent().await;

    put_configuration(&setting.store, 2, 10_000);
    until(async || {
        let request = [head_with_length(PATH, 20_000)];
        answer_to(&setting, &request, "\r\n\r\n")
            .await
            .starts_with("HTTP/1.1 413")
    })
    .await;

    setting.until_ordinary_request_is_served().await;
    setting.assert_within_limits();
}

// Guards against a bound that a single request within the limits meets.
#[tokio::test(flavor = "multi_thread")]
async fn single_bodies_of_the_largest_size_are_served() {
    let mut setting = Setting::start().await;
    let mut with_length = vec![head_with_length(PATH, MAX_BODY_BYTES)];
    with_length.extend(body_pieces(MAX_BODY_BYTES, 16 << 10));
    let chunked = head(PATH, "transfer-encoding: chunked\r\n");
    let mut in_chunks = vec![chunked.clone()];
    in_chunks.extend(common::crowd::chunks(MAX_BODY_BYTES / 10_000, 10_000));
    in_chunks.push(Bytes::from_static(b"0\r\n\r\n"));
    let mut in_small_chunks = vec![chunked];
    in_small_chunks.extend(common::crowd::chunks(100_000, 1));
    in_small_chunks.push(Bytes::from_static(b"0\r\n\r\n"));

    for request in [with_length, in_chunks, in_small_chunks] {
        let answer = answer_to(&setting, &request, "served").await;

        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    setting.assert_within_limits();
}

// Guards against a bound on the rate of a body that a slow link within the limits meets.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_from_a_slow_link_is_served() {
    let setting = Setting::start().await;
    let mut connection = connect(setting.entry.caller_address).await;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {}\r\n\
         berylhook-attempt-id: slow\r\nberylhook-deadline-ms: 4000\r\ncontent-length: 30\r\n\r\n",
        common::entry::API_KEY
    );
    write(&mut connection, &request).await;
    for _ in 0..30 {
        sleep(Duration::from_millis(100)).await;
        write(&mut connection, "x").await;
    }

    let answer = read_until(&mut connection, |text| text.contains("served")).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
