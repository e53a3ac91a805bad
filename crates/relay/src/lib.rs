//! The relay agent, which runs on the VM of a model engine of an expert-parallel group.
//!
//! The agent relays a leader's requests and commands to the engine. Reading the engine's counts
//! from another VM pauses the whole group; reading them from the same VM does not.
//!
//! Engines keep no fencing tokens, so the agent does: it relays nothing from a leader whose
//! token is lower than the highest one known. When the agent starts, it reads the token from the
//! store, or from the agent of another rank if the store is unavailable, and it relays no command
//! before it has the token. The agent may therefore be killed, frozen or replaced at any moment.
//! A command that it was relaying at that moment gets no reply, which a leader has to expect of
//! any command. An agent that is told to stop goes on until no switch needs it.

pub mod counts;
mod fencing;
pub mod settings;
mod stop;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use berylhook_calls::serve;
use berylhook_experts::switching::{CommandOutcome, RankCommand, RankReport};
use berylhook_platform::engine::EngineClient;
use serde::{Deserialize, Serialize};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::counts::{CountsEncoder, CountsRequest, CountsUpdate};
use crate::fencing::FENCING_TOKEN_PATH;
pub use crate::fencing::{FencingGuard, era_base_token, fencing_token_key, parse_fencing_token};
use crate::settings::RelaySettings;
use crate::stop::{CommandActivity, STOP_TIMEOUT};

/// Most connections of leaders and of other agents.
const MAX_CONNECTIONS: usize = 512;

/// Interval at which a stopping agent checks whether a switch needs it.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A leader's request to the agent of one rank.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The leader's fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Commands to send to the engine first, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<RankCommand>,
    /// Which counts to read.
    pub counts: CountsRequest,
    /// Whether to read which experts the rank holds.
    pub wants_experts: bool,
    /// Agents of other ranks, which an agent without a fencing token queries for it.
    #[serde(rename = "fence_peers")]
    pub peer_agents: Vec<SocketAddr>,
}

/// Reply to a [`RelayRequest`]; results that the engine did not return are missing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayReply {
    /// The higher fencing token of another leader, if the agent knows one; nothing was relayed
    /// in this case.
    pub fenced_by: Option<u64>,
    /// Outcomes of the commands, in the order of the request.
    #[serde(rename = "orders")]
    pub outcomes: Vec<CommandOutcome>,
    /// The engine's report, read after the commands.
    pub report: Option<RankReport>,
    /// The engine's counts, if requested.
    pub counts: Option<CountsUpdate>,
    /// The rank's experts in each layer set, if requested.
    pub experts: Option<Vec<Vec<u16>>>,
    /// Whether the agent relays no commands because it has no fencing token. The next request
    /// should name agents of other ranks in `peer_agents`.
    #[serde(rename = "lacks_fence")]
    pub lacks_fencing_token: bool,
}

/// Client of the engine on the agent's VM, and the encoder of the engine's counts.
struct LocalEngine {
    engine: EngineClient,
    encoder: CountsEncoder,
}

/// Relays a request to the engine.
async fn relay_to_engine(
    local_engine: &mut LocalEngine,
    relay_request: &RelayRequest,
    may_relay_commands: bool,
) -> RelayReply {
    let LocalEngine { engine, encoder } = local_engine;
    let mut reply = RelayReply {
        lacks_fencing_token: !may_relay_commands,
        ..RelayReply::default()
    };
    for command in &relay_request.commands {
        let outcome = if may_relay_commands {
            engine.send_command(command).await
        } else {
            CommandOutcome::Refused
        };
        reply.outcomes.push(outcome);
    }
    reply.report = ok_or_log("report", engine.report().await).flatten();
    if relay_request.counts != CountsRequest::Nothing {
        let counts = ok_or_log("counts", engine.expert_counts().await);
        reply.counts = counts.and_then(|counts| encoder.encode(counts, relay_request.counts));
    }
    if relay_request.wants_experts {
        let experts = ok_or_log("experts", engine.experts().await);
        reply.experts = experts.map(|rank_experts| rank_experts.experts);
    }
    reply
}

fn ok_or_log<T, E: std::fmt::Display>(reading: &'static str, result: Result<T, E>) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!(what = reading, reason:% = error; "the engine did not respond");
            None
        }
    }
}

/// Runs the relay agent until it receives a signal to stop.
///
/// # Errors
///
/// If the socket cannot be opened.
pub fn run(settings: &RelaySettings) -> anyhow::Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the event loop cannot be started; check the limit on open files")?;
    runtime.block_on(relay(settings))
}

async fn relay(settings: &RelaySettings) -> anyhow::Result<()> {
    let address = settings.listen_address;
    let listener = serve::listen(address)
        .with_context(|| format!("cannot listen on {address}; check [listen] in the settings"))?;
    log::info!(listen:% = address, engine:% = settings.engine_address; "relaying");
    let local_engine = Arc::new(Mutex::new(LocalEngine {
        engine: EngineClient::new(settings.engine_address),
        encoder: CountsEncoder::new(rand::random()),
    }));
    let fencing = Arc::new(FencingGuard::default());
    let activity = Arc::new(CommandActivity::default());
    let relay_activity = Arc::clone(&activity);
    let service = Arc::clone(&settings.service);
    tokio::spawn(Arc::clone(&fencing).read_from_store(settings.store_address, service));
    tokio::spawn(serve::serve(listener, MAX_CONNECTIONS, move |request| {
        let local_engine = Arc::clone(&local_engine);
        let fencing = Arc::clone(&fencing);
        let activity = Arc::clone(&relay_activity);
        async move {
            if request.uri().path() == FENCING_TOKEN_PATH {
                return serve::json_response(&fencing.state());
            }
            let Some(relay_request) = serve::read_postcard::<RelayRequest>(request).await else {
                let text = "send a question as a leader of this version does";
                return serve::response(berylhook_calls::StatusCode::BAD_REQUEST, text);
            };
            // Locked from the check of the token to the engine's response, so that a request of a
            // newer leader waits until all commands accepted before have reached the engine.
            let mut local_engine = local_engine.lock().await;
            if !fencing.may_relay_commands() {
                fencing.learn_from_peers(&relay_request.peer_agents).await;
            }
            if let Err(higher_token) = fencing.check(relay_request.fencing_token) {
                return serve::postcard_response(&RelayReply {
                    fenced_by: Some(higher_token),
                    ..RelayReply::default()
                });
            }
            let may_relay_commands = fencing.may_relay_commands();
            let has_commands = !relay_request.commands.is_empty();
            let _in_progress = has_commands.then(|| activity.begin());
            let reply =
                relay_to_engine(&mut local_engine, &relay_request, may_relay_commands).await;
            if let Some(report) = &reply.report {
                activity.on_report(report.paused_before.is_some());
            }
            serve::postcard_response(&reply)
        }
    }));
    wait_for_stop_signal().await?;
    wait_until_quiet(&activity).await;
    log::info!("stopped");
    Ok(())
}

/// Waits until no switch needs the agent, which goes on relaying meanwhile.
async fn wait_until_quiet(activity: &CommandActivity) {
    let began = Instant::now();
    while !activity.is_quiet() && began.elapsed() < STOP_TIMEOUT {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Waits for SIGTERM.
///
/// SIGHUP asks for a reload, and would end the process if it were not handled. There is nothing
/// to reload: the settings hold the addresses of the agent's VM and of its engine, which do not
/// change while the process runs.
async fn wait_for_stop_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signals cannot be handled")?;
    let mut hangup = signal(SignalKind::hangup()).context("signals cannot be handled")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => log::info!("SIGHUP ignored: the settings of a running agent cannot change"),
        }
    }
    log::info!("stopping");
    Ok(())
}
