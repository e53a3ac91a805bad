//! Clients of the agents beside a group's engines.
//!
//! All requests to an engine go through its agent. A command sent to the engine directly
//! would not be rejected after another leader has been elected.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use berylhook_calls::Call;
use berylhook_calls::adaptive::{AdaptiveConnection, ReplyTimeout, SharedReplyTimeout};
use berylhook_experts::demand::RankCounts;
use berylhook_experts::switching::RankCommand;
use berylhook_relay::counts::{CountsDecoder, CountsRequest};
use berylhook_relay::{RelayReply, RelayRequest};
use futures_util::future::join_all;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use tokio::sync::Semaphore;

use crate::counts_window::CountsWindow;

/// Minimum time-out of a request to an agent. The agent makes a few calls to its engine, each of
/// which takes about a millisecond.
const AGENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time-out of a request to an agent that replies slowly, as on a VM without processor
/// time. Its group cannot be released without it.
const MAX_AGENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum number of peers named to an agent that has no fencing token. One peer that has
/// read the store is enough, but some may be unreachable or have just started too.
const MAX_FENCE_PEERS: usize = 3;

/// Maximum number of agents that are sent a map at the same time. A map of 192 ranks takes
/// 8 KB, so this many maps occupy a link of 40 Mbit/s for 80 ms.
const MAX_CONCURRENT_MAPS: usize = 48;

/// The result of polling one engine.
pub(crate) struct PollResult {
    pub(crate) engine: SocketAddr,
    pub(crate) reply: RelayReply,
    /// Whether no reply arrived in the usual time.
    pub(crate) is_late: bool,
    /// Whether counts were requested.
    with_counts: bool,
    pub(crate) counts: Option<RankCounts>,
}

/// The time-outs of requests to the agents beside all engines of a leader.
#[derive(Default)]
pub(crate) struct AgentTimeouts {
    by_engine: Mutex<IndexMap<SocketAddr, SharedReplyTimeout>>,
}

impl AgentTimeouts {
    fn of(&self, engine: SocketAddr) -> SharedReplyTimeout {
        let mut by_engine = self
            .by_engine
            .lock()
            .expect("no panic while the lock is held");
        let shared = by_engine.entry(engine).or_insert_with(|| {
            SharedReplyTimeout::new(ReplyTimeout::new(AGENT_TIMEOUT, MAX_AGENT_TIMEOUT))
        });
        shared.clone()
    }

    /// Removes the time-outs of all engines that are not in `engines`.
    pub(crate) fn retain_engines(&self, engines: &[SocketAddr]) {
        let mut by_engine = self
            .by_engine
            .lock()
            .expect("no panic while the lock is held");
        by_engine.retain(|engine, _| engines.contains(engine));
    }
}

/// The clients of the agents beside a set of engines.
pub(crate) struct AgentClients {
    agent_port: u16,
    timeouts: Arc<AgentTimeouts>,
    clients: IndexMap<SocketAddr, AgentClient>,
    /// Selects the ranks whose counts are requested. `None` if counts are not needed.
    counts_window: Option<CountsWindow>,
}

impl AgentClients {
    /// Creates an empty set of clients.
    pub(crate) fn new(
        agent_port: u16,
        timeouts: Arc<AgentTimeouts>,
        counts_window: Option<CountsWindow>,
    ) -> Self {
        Self {
            agent_port,
            timeouts,
            counts_window,
            clients: IndexMap::new(),
        }
    }

    /// Adds clients for new engines and removes those of engines not in `engines`.
    pub(crate) fn set(&mut self, engines: &[SocketAddr]) {
        self.clients.retain(|engine, _| engines.contains(engine));
        for engine in engines {
            self.clients.entry(*engine).or_insert_with(|| {
                AgentClient::new(*engine, self.agent_port, self.timeouts.of(*engine))
            });
        }
    }

    /// Polls the reports of all engines, and the counts of those in the counts window.
    pub(crate) async fn poll(&mut self, fence: u64) -> Vec<PollResult> {
        let peer_agents = self.peer_agents();
        let ranks = self.clients.len();
        let counts_window = self.counts_window;
        let clients = self.clients.iter_mut().enumerate();
        let results = clients.map(|(index, (engine, client))| {
            let peer_agents = &peer_agents;
            let with_counts = counts_window.is_some_and(|window| window.includes(index, ranks));
            async move {
                let began = Instant::now();
                let (reply, counts) = client.poll(fence, peer_agents, with_counts).await;
                let is_late = reply.report.is_none() || began.elapsed() > AGENT_TIMEOUT;
                PollResult {
                    engine: *engine,
                    is_late,
                    with_counts,
                    reply,
                    counts,
                }
            }
        });
        let results = join_all(results).await;
        let is_late = |result: &&PollResult| result.with_counts && result.is_late;
        let late = results.iter().filter(is_late).count();
        if let Some(counts_window) = &mut self.counts_window {
            counts_window.record_poll(ranks, late);
        }
        results
    }

    /// Agents that know the fencing token, in random order. Empty if no agent lacks the
    /// token.
    ///
    /// Only agents of the same group are suitable. A leader makes no decision in a group
    /// before all its agents have replied, so each agent that has been running since then
    /// knows the token of every leader that acts in the group. An agent of another group may
    /// not have received a request of the newest leader yet, and an agent that got its token
    /// from there would relay commands of a previous leader.
    fn peer_agents(&self) -> Vec<SocketAddr> {
        let is_needed = self.clients.values().any(AgentClient::lacks_fencing_token);
        if !is_needed {
            return Vec::new();
        }
        let with_fence = self
            .clients
            .values()
            .filter(|client| !client.lacks_fencing_token());
        let mut addresses: Vec<SocketAddr> = with_fence.map(AgentClient::address).collect();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Sends one request to each of the given agents.
    pub(crate) async fn request(
        &mut self,
        requests: Vec<(SocketAddr, RelayRequest)>,
    ) -> Vec<RelayReply> {
        // A client makes one call at a time, so each is moved out of the map until its
        // reply arrives.
        let mut calls: Vec<(SocketAddr, Option<AgentClient>, RelayRequest)> = requests
            .into_iter()
            .map(|(engine, request)| (engine, self.clients.swap_remove(&engine), request))
            .collect();
        let any_contains_map = calls.iter().any(|(_, _, request)| contains_map(request));
        let permits = Semaphore::new(if any_contains_map {
            MAX_CONCURRENT_MAPS
        } else {
            Semaphore::MAX_PERMITS
        });
        let pending = calls
            .iter_mut()
            .map(|(_, client, request)| request_from(client, request, &permits));
        let replies = join_all(pending).await;
        for (engine, client, _) in calls {
            if let Some(client) = client {
                self.clients.insert(engine, client);
            }
        }
        replies
    }
}

fn contains_map(request: &RelayRequest) -> bool {
    let mut commands = request.commands.iter();
    commands.any(|command| matches!(command, RankCommand::Prepare { .. }))
}

async fn request_from(
    client: &mut Option<AgentClient>,
    request: &RelayRequest,
    permits: &Semaphore,
) -> RelayReply {
    // The semaphore is never closed, so this cannot fail.
    let _permit = permits.acquire().await;
    match client {
        Some(client) => client.request(request).await,
        None => RelayReply::default(),
    }
}

/// The client of the agent beside one engine.
struct AgentClient {
    address: SocketAddr,
    agent: AdaptiveConnection,
    counts: CountsDecoder,
    /// Whether the agent had no fencing token when it last replied.
    lacks_fencing_token: bool,
}

impl AgentClient {
    fn new(engine: SocketAddr, agent_port: u16, reply_timeout: SharedReplyTimeout) -> Self {
        let address = SocketAddr::new(engine.ip(), agent_port);
        Self {
            address,
            agent: AdaptiveConnection::new(address, reply_timeout),
            counts: CountsDecoder::default(),
            lacks_fencing_token: false,
        }
    }

    /// The address of the agent.
    fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the agent relays no commands because it has no fencing token.
    fn lacks_fencing_token(&self) -> bool {
        self.lacks_fencing_token
    }

    /// Sends a request to the agent. If the agent does not respond, returns an empty reply,
    /// which contains no report.
    async fn request(&mut self, request: &RelayRequest) -> RelayReply {
        let call = Call::post_postcard("/".to_owned(), request, AGENT_TIMEOUT);
        match self.agent.call_postcard::<RelayReply>(call).await {
            Ok(reply) => {
                self.lacks_fencing_token = reply.lacks_fencing_token;
                reply
            }
            Err(error) => {
                log::debug!(reason:% = error; "no reply from an agent");
                RelayReply::default()
            }
        }
    }

    /// Requests the engine's report and, if `with_counts` is set, its counts. `others` are
    /// agents from which the agent can get the fencing token if it has none.
    async fn poll(
        &mut self,
        fence: u64,
        others: &[SocketAddr],
        with_counts: bool,
    ) -> (RelayReply, Option<RankCounts>) {
        let is_other = |other: &&SocketAddr| self.lacks_fencing_token && **other != self.address;
        let peer_agents = others.iter().filter(is_other).copied();
        let request = RelayRequest {
            fencing_token: fence,
            counts: if with_counts {
                self.counts.request()
            } else {
                CountsRequest::Nothing
            },
            peer_agents: peer_agents.take(MAX_FENCE_PEERS).collect(),
            ..RelayRequest::default()
        };
        let mut reply = self.request(&request).await;
        let update = reply.counts.take();
        let counts = update.and_then(|update| self.counts.decode(update));
        (reply, counts)
    }
}
