//! Clients of `berylhook serve` that keep to no limit. Each test checks that the process lives, stays
//! within the memory and descriptors of its settings, and serves an ordinary request.

mod common;

use std::time::Duration;

use berylhook_test_support::PlainService;
use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until_plain_service_ready,
};
use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

use crate::common::crowd::{
    Crowd, Footprint, Script, body_pieces, chunks, head_for, head_with_length_for, take_turn,
};
use crate::common::raw_calls::{connect, read_until};

/// Memory that the settings of the entry state.
const MEMORY_MB: u64 = 128;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;

/// Descriptors that the settings of the entry state: many, or few.
const MANY_DESCRIPTORS: u64 = 4_000;
const FEW_DESCRIPTORS: u64 = 400;

/// Descriptors that are kept for files; sockets and pipes may use the others.
const DESCRIPTORS_FOR_FILES: u64 = 200;

/// The largest body that the entry accepts.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Clients of a crowd that sends bodies.
const CROWD: u64 = 60;

/// Clients of a crowd that reads no responses.
const READING_CROWD: u64 = 400;

/// Clients of a crowd that only keeps connections, more than there are descriptors.
const CONNECTION_CROWD: u64 = 500;

/// Time for the entry to read what the kernel has taken from clients.
const STANDING_TIME: Duration = Duration::from_secs(8);

const PATH: &str = "/guide-push/confirm";

/// An entry between one plain service and the crowd.
struct Setting {
    _cluster: Cluster,
    service: PlainService,
    _agent: AgentProcess,
    entry: EntryProcess,
    footprint: Footprint,
    max_connections: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Setting {
    async fn start(descriptors: u64) -> Self {
        let turn = take_turn().await;
        let mut cluster = Cluster::start().await;
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n");
        cluster.entry_settings.push_str(&limits);
        let service = PlainService::start().await;
        let agent = cluster.start_agent("push-1", "guide-push", service.server.address);
        let entry = cluster.start_entry("entry-1");
        until_plain_service_ready(&entry).await;
        let footprint = Footprint::watch(&entry.daemon, entry.address);
        Self {
            _cluster: cluster,
            service,
            _agent: agent,
            entry,
            footprint,
            max_connections: descriptors - DESCRIPTORS_FOR_FILES,
            _turn: turn,
        }
    }

    async fn until_ordinary_request_is_served(&self) {
        until_plain_service_ready(&self.entry).await;
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
        let crowd = Crowd::start(size, self.entry.address, script);
        crowd.until_sent().await;
        self.until_ordinary_request_is_served().await;
        crowd.close().await;
        self.until_ordinary_request_is_served().await;
        self.assert_within_limits();
    }
}

fn head_with_length(body_bytes: usize) -> Bytes {
    head_with_length_for(DESK_KEY, PATH, body_bytes)
}

fn chunked_head() -> Bytes {
    head_for(DESK_KEY, PATH, "transfer-encoding: chunked\r\n")
}

// Guards against memory that grows with the bodies that are not complete, without an end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short_at_an_entry_with_agents() {
    let setting = Setting::start(MANY_DESCRIPTORS).await;
    let mut pieces = vec![head_with_length(MAX_BODY_BYTES)];
    pieces.extend(body_pieces(MAX_BODY_BYTES - 1, 16 << 10));
    setting.withstands(CROWD, &Script::new(pieces)).await;
}

// Guards against memory for chunks of bodies that never end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_at_an_entry_with_agents() {
    let mut setting = Setting::start(MANY_DESCRIPTORS).await;
    let mut pieces = vec![chunked_head()];
    pieces.extend(chunks(64 << 10, 1));
    let crowd = Crowd::start(CROWD, setting.entry.address, &Script::new(pieces));
    crowd.until_sent().await;
    sleep(STANDING_TIME).await;

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against bodies over the limit that are kept until they reach it.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_at_an_entry_with_agents() {
    let setting = Setting::start(MANY_DESCRIPTORS).await;
    let mut pieces = vec![chunked_head()];
    pieces.extend(chunks(1_000, 64 << 10));
    setting.withstands(CROWD, &Script::new(pieces)).await;
}

// Guards against a refusal that is lost to the reset of a connection whose body is not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_reads_only_behind_its_body_gets_its_refusal_from_an_entry_with_agents() {
    let setting = Setting::start(MANY_DESCRIPTORS).await;
    let total_bytes = MAX_BODY_BYTES + (1 << 20);
    let mut with_length = vec![head_with_length(total_bytes)];
    with_length.extend(body_pieces(total_bytes, 16 << 10));
    let mut in_chunks = vec![chunked_head()];
    in_chunks.extend(chunks(total_bytes / 10_000, 10_000));
    in_chunks.push(Bytes::from_static(b"0\r\n\r\n"));

    for request in [with_length, in_chunks] {
        for _ in 0..5 {
            let mut connection = connect(setting.entry.address).await;
            for piece in &request {
                // A failed write is no reason not to read.
                let _ = connection.write_all(piece).await;
            }

            let answer = read_until(&mut connection, |text| text.contains("\r\n\r\n")).await;

            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        }
    }
}

// Guards against an entry without descriptors for ordinary callers and agents.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_half_a_head_at_an_entry_with_agents() {
    let setting = Setting::start(FEW_DESCRIPTORS).await;
    let half_head = format!("POST {PATH} HTTP/1.1\r\nhost: desk.example\r\n");
    let script = Script::new(vec![Bytes::from(half_head)]).returning();
    setting.withstands(CONNECTION_CROWD, &script).await;
}

// Guards against connections that nothing ends, each with a small body within the limits.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_half_a_small_body_at_an_entry_with_agents() {
    let setting = Setting::start(FEW_DESCRIPTORS).await;
    let pieces = vec![head_with_length(1_000), Bytes::from_static(b"half")];
    let script = Script::new(pieces).returning();
    setting.withstands(CONNECTION_CROWD, &script).await;
}

// Guards against responses that are kept without a bound for callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_read_at_an_entry_with_agents() {
    let mut setting = Setting::start(MANY_DESCRIPTORS).await;
    setting.service.set_padding(900_000);
    let pieces = vec![head_with_length(5), Bytes::from_static(b"draft")];
    let crowd = Crowd::start(READING_CROWD, setting.entry.address, &Script::new(pieces));
    crowd.until_sent().await;
    sleep(STANDING_TIME).await;
    setting.service.set_padding(0);

    setting.until_ordinary_request_is_served().await;

    setting.assert_within_limits();
}

// Guards against a bound that a single request within the limits meets.
#[tokio::test(flavor = "multi_thread")]
async fn single_bodies_of_the_largest_size_are_served_by_an_entry_with_agents() {
    let mut setting = Setting::start(MANY_DESCRIPTORS).await;
    let body = "x".repeat(MAX_BODY_BYTES);

    let response = Caller::new(DESK_KEY)
        .post(setting.entry.address, PATH, &body, &[])
        .await;

    assert_eq!(response.status, 200, "{}", response.body);
    setting.assert_within_limits();
}
