//! The agent beside a model engine of an expert-parallel group.
//!
//! It relays a leader's questions and orders to the engine. Reading the
//! engine's counts from another VM pauses the whole group; from beside the
//! engine it does not.
//!
//! Engines keep no fencing numbers, so the agent does: it relays nothing of a
//! leader whose number is lower than the highest it knows. It reads that number
//! from the store when it starts, or is told by an agent beside another rank while
//! the store is away, and relays no order before it has, so it may
//! be killed, frozen or replaced at any moment. An order it was relaying then
//! has no answer, which is what a leader has to expect of any order.

pub mod counts;
mod fencing;

pub mod settings;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use berylhook_calls::serve;
use berylhook_experts::switching::{CommandOutcome, RankCommand, RankReport};
use berylhook_platform::engine::EngineClient;
use serde::{Deserialize, Serialize};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;

use crate::counts::{CountsEncoder, CountsRequest, CountsUpdate};
use crate::fencing::FENCE_PATH;
pub use crate::fencing::{FencingGuard, era_base_token, fencing_token_key, parse_fencing_token};
use crate::settings::RelaySettings;

/// What a leader asks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The leader's fencing number.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Orders to give first, one after the other.
    #[serde(rename = "orders")]
    pub commands: Vec<RankCommand>,
    /// Which counts to read.
    pub counts: CountsRequest,
    /// Whether to read which experts the rank holds.
    pub wants_experts: bool,
    /// Agents beside other ranks, for an agent that has no fencing number from
    /// the store.
    #[serde(rename = "fence_peers")]
    pub peer_agents: Vec<SocketAddr>,
}

/// What the engine said; what it did not answer is missing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayReply {
    /// The higher fencing number of another leader, if the agent knows one;
    /// nothing was relayed then.
    pub fenced_by: Option<u64>,
    /// What became of the orders.
    #[serde(rename = "orders")]
    pub outcomes: Vec<CommandOutcome>,
    /// The engine's report, read after the orders.
    pub report: Option<RankReport>,
    /// Its counts.
    pub counts: Option<CountsUpdate>,
    /// The rank's experts of each set.
    pub experts: Option<Vec<Vec<u16>>>,
    /// Whether the agent relays no orders for want of a fencing number; a
    /// question that names some of these agents helps.
    #[serde(rename = "lacks_fence")]
    pub lacks_fencing_token: bool,
}

/// The engine beside the agent, and what was told of it.
struct Beside {
    engine: EngineClient,
    encoder: CountsEncoder,
}

/// Relays a question to the engine.
async fn ask_engine(
    beside: &mut Beside,
    question: &RelayRequest,
    may_relay_commands: bool,
) -> RelayReply {
    let Beside { engine, encoder } = beside;
    let mut answer = RelayReply {
        lacks_fencing_token: !may_relay_commands,
        ..RelayReply::default()
    };
    for order in &question.commands {
        let given = if may_relay_commands {
            engine.send_command(order).await
        } else {
            CommandOutcome::Refused
        };
        answer.outcomes.push(given);
    }
    answer.report = told("report", engine.report().await).flatten();
    if question.counts != CountsRequest::Nothing {
        let counts = told("counts", engine.expert_counts().await);
        answer.counts = counts.and_then(|counts| encoder.encode(counts, question.counts));
    }
    if question.wants_experts {
        let experts = told("experts", engine.experts().await);
        answer.experts = experts.map(|held| held.experts);
    }
    answer
}

fn told<T, E: std::fmt::Display>(what: &'static str, result: Result<T, E>) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!(what, reason:% = error; "the engine did not answer");
            None
        }
    }
}

/// Relays until told to stop.
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
    let beside = Arc::new(Mutex::new(Beside {
        engine: EngineClient::new(settings.engine_address),
        encoder: CountsEncoder::new(rand::random()),
    }));
    let fence = Arc::new(FencingGuard::default());
    let service = Arc::clone(&settings.service);
    tokio::spawn(Arc::clone(&fence).learn(settings.store_address, service));
    tokio::spawn(serve::serve(listener, move |request| {
        let beside = Arc::clone(&beside);
        let fence = Arc::clone(&fence);
        async move {
            if request.uri().path() == FENCE_PATH {
                return serve::json_response(&fence.state());
            }
            let Some(question) = serve::read_postcard::<RelayRequest>(request).await else {
                let text = "send a question as a leader of this version does";
                return serve::response(berylhook_calls::StatusCode::BAD_REQUEST, text);
            };
            // Held from the check to the engine's answer: a question of a newer
            // leader waits until what was let through has reached the engine.
            let mut beside = beside.lock().await;
            if !fence.may_relay_commands() {
                fence.learn_from_peers(&question.peer_agents).await;
            }
            if let Err(higher) = fence.check(question.fencing_token) {
                return serve::postcard_response(&RelayReply {
                    fenced_by: Some(higher),
                    ..RelayReply::default()
                });
            }
            let may_relay_commands = fence.may_relay_commands();
            serve::postcard_response(&ask_engine(&mut beside, &question, may_relay_commands).await)
        }
    }));
    stopped().await
}

/// Waits for the signal to stop.
///
/// The signal to reload ends a process that does not handle it. The agent's
/// addresses are those of its VM and of the engine beside it, which last as
/// long as the process, so there is nothing to reload.
async fn stopped() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("signals cannot be handled")?;
    let mut hangup = signal(SignalKind::hangup()).context("signals cannot be handled")?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => log::info!("reload: the settings of an agent last as long as it runs"),
        }
    }
    log::info!("stopped");
    Ok(())
}
