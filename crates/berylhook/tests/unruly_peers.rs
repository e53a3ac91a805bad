//! Clients that reach the ports between processes and send what no process of the system does. Each
//! test checks that the process lives, stays within its memory and descriptors, and still replies.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{Cluster, until_plain_service_ready};
use berylhook_test_support::{Daemon, KeyValueStandIn, PlainService, PlatformTarget, free_address};
use bytes::Bytes;
use tokio::sync::MutexGuard;
use tokio::time::timeout;

use crate::common::crowd::{Crowd, Footprint, Script, one_byte_short, take_turn, until_served};
use crate::common::entry::{
    API_KEY, Entry, configuration, route, start_entry_with_descriptors, until, until_ready,
};

/// Memory that the settings of the entry state.
const ENTRY_MEMORY_MB: u64 = 96;

/// Memory of the smallest VM that an agent runs on.
const AGENT_MEMORY_BYTES: u64 = 128_000_000;

/// Sockets and pipes that the smallest VM with an agent allows: 2,048 descriptors, of which 200 are
/// kept for files.
const AGENT_CONNECTIONS: u64 = 1_848;

/// Clients of a crowd that keeps connections to an agent, more than its descriptors allow.
const AGENT_CROWD: u64 = 2_500;

/// Descriptors that the settings of the entry state.
const DESCRIPTORS: u64 = 400;

/// Descriptors that are kept for files; sockets and pipes may use the others.
const DESCRIPTORS_FOR_FILES: u64 = 200;

/// Slightly less than the largest body that is read between processes.
const BODY_BYTES: usize = 1_000_000;

/// Clients of a crowd that sends bodies.
const CROWD: u64 = 150;

/// Clients of a crowd that only keeps connections, more than there are descriptors.
const CONNECTION_CROWD: u64 = 500;

struct EntrySetting {
    _store: KeyValueStandIn,
    _target: PlatformTarget,
    entry: Entry,
    footprint: Footprint,
    _turn: MutexGuard<'static, ()>,
}

impl EntrySetting {
    async fn start() -> Self {
        let turn = take_turn().await;
        let store = KeyValueStandIn::start().await;
        let routes = [route("unsafe", "unsafe", 2, false)];
        store.put_raw("op/config", &configuration(1, &routes));
        let target = PlatformTarget::start("i-1").await;
        target.register(&store, "push", "ready");
        let limits =
            format!("[limits]\nmemory_mb = {ENTRY_MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        let entry = start_entry_with_descriptors(&store, DESCRIPTORS, &limits);
        until_ready(&entry).await;
        let footprint = Footprint::watch(&entry.daemon, entry.peer_address);
        Self {
            _store: store,
            _target: target,
            entry,
            footprint,
            _turn: turn,
        }
    }

    /// Plays a crowd at `address`, and checks all that must hold while it stands.
    async fn withstands(mut self, size: u64, address: SocketAddr, script: &Script) {
        let crowd = Crowd::start(size, address, script);
        crowd.until_sent().await;
        until_ready(&self.entry).await;
        until_replies(self.entry.peer_address, "/store-position").await;
        until_served(self.entry.caller_address, "/unsafe/", "draft").await;
        drop(crowd);
        assert!(!self.entry.daemon.has_exited(), "the entry has exited");
        let peak_bytes = self.footprint.peak_bytes();
        let memory_bytes = ENTRY_MEMORY_MB * 1_000_000;
        assert!(
            peak_bytes <= memory_bytes,
            "held {peak_bytes} bytes of {memory_bytes}"
        );
        let connections = self.footprint.peak_connections();
        let max_connections = DESCRIPTORS - DESCRIPTORS_FOR_FILES;
        assert!(
            connections <= max_connections,
            "had {connections} sockets and pipes of {max_connections}"
        );
    }
}

/// Sends requests until one is answered, whatever the answer.
async fn until_replies(address: SocketAddr, path: &str) {
    until(async || {
        let caller = Caller::new(API_KEY);
        let call = caller.post(address, path, "{}", &[]);
        let response = timeout(Duration::from_secs(5), call).await;
        response.is_ok_and(|response| response.status != 0)
    })
    .await;
}

// Guards against bodies at the port for peers that nothing bounds or ends.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short_at_the_port_for_peers() {
    let setting = EntrySetting::start().await;
    let address = setting.entry.peer_address;
    let script = one_byte_short("/limits", BODY_BYTES);
    setting.withstands(CROWD, address, &script).await;
}

// Guards against an entry that loses its descriptors to the port for peers.
#[tokio::test(flavor = "multi_thread")]
async fn connections_with_half_a_head_at_the_port_for_peers() {
    let setting = EntrySetting::start().await;
    let address = setting.entry.peer_address;
    let half_head = Bytes::from_static(b"POST /limits HTTP/1.1\r\n");
    let script = Script::new(vec![half_head]).returning();
    setting.withstands(CONNECTION_CROWD, address, &script).await;
}

// Guards against an entry that loses its descriptors to the port for readiness probes.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_byte_at_the_port_for_readiness() {
    let setting = EntrySetting::start().await;
    let address = setting.entry.readiness_address;
    let script = Script::new(Vec::new()).returning();
    setting.withstands(CONNECTION_CROWD, address, &script).await;
}

// Guards against bodies at an agent that nothing bounds or ends.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short_at_an_agent() {
    let _turn = take_turn().await;
    let store = KeyValueStandIn::start().await;
    let address = free_address();
    let settings = format!(
        "[listen]\naddress = {address}\n[engine]\naddress = {}\nservice = push\n\
         [store]\naddress = {}\n",
        free_address(),
        store.address()
    );
    let mut agent = Daemon::start("berylhook-agent", &["relay"], &settings).expect("it starts");
    until_replies(address, "/fence").await;
    let footprint = Footprint::watch(&agent, address);

    let crowd = Crowd::start(CROWD, address, &one_byte_short("/", BODY_BYTES));
    crowd.until_sent().await;
    until_replies(address, "/fence").await;
    drop(crowd);

    assert!(!agent.has_exited(), "the agent has exited");
    let peak_bytes = footprint.peak_bytes();
    assert!(
        peak_bytes <= AGENT_MEMORY_BYTES,
        "held {peak_bytes} bytes of {AGENT_MEMORY_BYTES}"
    );
}

// Guards against connections without a handshake that take the descriptors of an agent.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_handshake_at_an_agent_of_an_entry() {
    let _turn = take_turn().await;
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let mut agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let footprint = Footprint::watch(&agent.daemon, agent.address);

    let script = Script::new(Vec::new()).returning();
    let crowd = Crowd::start(AGENT_CROWD, agent.address, &script);
    crowd.until_sent().await;
    until_plain_service_ready(&entry).await;
    drop(crowd);

    assert!(!agent.daemon.has_exited(), "the agent has exited");
    let connections = footprint.peak_connections();
    assert!(
        connections <= AGENT_CONNECTIONS,
        "had {connections} sockets and pipes of {AGENT_CONNECTIONS}"
    );
    let peak_bytes = footprint.peak_bytes();
    assert!(
        peak_bytes <= AGENT_MEMORY_BYTES,
        "held {peak_bytes} bytes of {AGENT_MEMORY_BYTES}"
    );
}
