//! The highest fencing token that the agent knows, by which it refuses previous leaders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_platform::store::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Mean delay before the store is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Path at which an agent reports its [`FencingTokenState`] to other agents.
pub(crate) const FENCING_TOKEN_PATH: &str = "/fence";

/// Timeout of a call to another agent. It has to fit into the timeout of the leader's call to
/// this agent.
const PEER_TIMEOUT: Duration = Duration::from_millis(40);

/// Number of low bits of a fencing token that are used within one era of the store: enough for
/// sixteen million elections with their transfers of leadership. The era is in the higher bits.
const ERA_SHIFT: u32 = 30;

/// Lower bound of the fencing tokens of an era: below every token of the leaders elected in that
/// era, above all tokens of previous eras.
#[must_use]
pub fn era_base_token(era: u64) -> u64 {
    era << ERA_SHIFT
}

/// Key under which the leaders of a service store their fencing token in an era. The key is
/// bound to no lease, because it has to outlive the leader.
///
/// Each era has its own key. A restored store assigns the same revisions again, so the condition
/// of a write that was sent before the restore may hold by chance. With one key for all eras,
/// that write would replace a newer token by an older one, and the newer token would then be
/// assigned twice.
#[must_use]
pub fn fencing_token_key(service: &str, era: u64) -> Arc<str> {
    match era {
        0 => format!("berylhook/fence/{service}").into(),
        era => format!("berylhook/fence/{service}/era-{era}").into(),
    }
}

/// What an agent knows of the fencing token, as reported to an agent that starts while the store
/// is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FencingTokenState {
    /// The highest fencing token that the agent knows.
    #[serde(rename = "number")]
    pub(crate) token: u64,
    /// Whether the agent has read the token from the store itself.
    #[serde(rename = "is_first_hand")]
    pub(crate) is_read_from_store: bool,
}

/// Refuses leaders whose fencing token is lower than the highest one known.
#[derive(Debug, Default)]
pub struct FencingGuard {
    highest_token: AtomicU64,
    /// Whether this agent has read the token from the store.
    is_read_from_store: AtomicBool,
    /// Whether another agent that has read the token from the store has reported it.
    is_received_from_peer: AtomicBool,
}

impl FencingGuard {
    /// Accepts a leader with this token, and remembers the token, unless a higher one is known.
    ///
    /// # Errors
    ///
    /// The higher token, if one is known.
    pub fn check(&self, token: u64) -> Result<(), u64> {
        let previous = self.highest_token.fetch_max(token, Ordering::SeqCst);
        if previous > token {
            return Err(previous);
        }
        Ok(())
    }

    /// Applies the token that the store has in an era. Returns the lowest token that a leader
    /// needs from now on.
    ///
    /// After a restore, the store may have the token of a leader that was succeeded after the copy
    /// was made. So all leaders of previous eras are refused, and the one that is still active has
    /// to be elected again.
    pub fn on_stored_token(&self, stored: u64, era: u64) -> u64 {
        let token = stored.max(era_base_token(era));
        self.highest_token.fetch_max(token, Ordering::SeqCst);
        self.is_read_from_store.store(true, Ordering::SeqCst);
        token
    }

    /// Whether commands may be relayed: the token known is high enough to refuse previous leaders.
    pub fn may_relay_commands(&self) -> bool {
        self.is_read_from_store.load(Ordering::SeqCst)
            || self.is_received_from_peer.load(Ordering::SeqCst)
    }

    /// The state to report to another agent.
    pub(crate) fn state(&self) -> FencingTokenState {
        FencingTokenState {
            token: self.highest_token.load(Ordering::SeqCst),
            is_read_from_store: self.is_read_from_store.load(Ordering::SeqCst),
        }
    }

    /// Queries the agents of other ranks of the group until one reports a token that it has read
    /// from the store itself.
    ///
    /// Without this, an agent that starts while the store is unavailable relays no commands until
    /// the store is back, and no rank of the agent's group can switch its expert map: six seconds
    /// of passes that took twice as long were observed. A leader makes no decision before every
    /// agent has replied to it, so an agent that has been running since then knows the token of
    /// every active leader. A token that an agent has received from a peer does not count: two
    /// agents that start one after the other would report to each other a token that neither has
    /// read.
    pub(crate) async fn learn_from_peers(&self, peer_agents: &[SocketAddr]) {
        for peer in peer_agents {
            let call = Call::get(FENCING_TOKEN_PATH.to_owned(), PEER_TIMEOUT);
            match Connection::new(*peer)
                .call_json::<FencingTokenState>(call)
                .await
            {
                Ok(state) if state.is_read_from_store => {
                    let token = state.token;
                    self.highest_token.fetch_max(token, Ordering::SeqCst);
                    self.is_received_from_peer.store(true, Ordering::SeqCst);
                    log::info!(number = token, peer:% = peer; "fencing token received from a peer");
                    return;
                }
                Ok(_) => log::debug!(peer:% = peer; "another agent has not read the token either"),
                Err(error) => log::debug!(reason:% = error; "another agent did not reply"),
            }
        }
    }

    /// Reads the token from the store, and retries until it succeeds.
    ///
    /// An agent without the token would relay the commands of a leader that all other agents
    /// already refuse.
    pub(crate) async fn read_from_store(self: Arc<Self>, address: SocketAddr, service: Arc<str>) {
        let mut store = StoreClient::new(address);
        loop {
            match stored_token(&mut store, &service).await {
                Ok((stored, era)) => {
                    let token = self.on_stored_token(stored, era);
                    log::info!(number = token, era; "fencing token read from the store");
                    return;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "fencing token not known yet; retrying");
                    sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
                }
            }
        }
    }
}

/// Reads the fencing token of a service, and the store's era.
async fn stored_token(store: &mut StoreClient, service: &str) -> Result<(u64, u64), StoreError> {
    let mut era = store.era().unwrap_or_default();
    loop {
        let item = store.item(&fencing_token_key(service, era)).await?;
        // The era is known from the first response on, and changes if the store is restored
        // between two reads. The key of the new era is read then.
        let current_era = store.era().unwrap_or_default();
        if current_era == era {
            return Ok((item.map_or(0, |item| parse_fencing_token(&item.value)), era));
        }
        era = current_era;
    }
}

/// Parses the stored value of a fencing token; 0 if the value is not a number.
///
/// Such a value was not written by a leader; the next leader elected replaces it.
#[must_use]
pub fn parse_fencing_token(value: &[u8]) -> u64 {
    let text = std::str::from_utf8(value).unwrap_or_default();
    text.trim().parse().unwrap_or_else(|_| {
        log::error!(value = text; "fencing token in the store is not a number");
        0
    })
}
