//! The highest fencing number that the agent knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_platform::store::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Wait before the store is asked again.
const RETRY: Duration = Duration::from_millis(500);

/// Where an agent tells others what it knows.
pub(crate) const FENCE_PATH: &str = "/fence";

/// Time for another agent's answer, within the time that a leader gives this one.
const PEER_TIMEOUT: Duration = Duration::from_millis(40);

/// Digits of a fencing number within one era of the store: sixteen million elections with
/// their transfers.
const ERA_SHIFT: u32 = 30;

/// Below every fencing number of leaders elected in that era, above all of former ones.
#[must_use]
pub fn era_base_token(era: u64) -> u64 {
    era << ERA_SHIFT
}

/// The key under which a service's leaders of an era leave their fencing number. It has
/// no lease: it has to outlast its leader.
///
/// Each era has its own. A restored store gives revisions out again, so a write that was
/// sent before may find its condition to hold by chance; under one key for all eras it would
/// put a former number in place of a newer one, which would then be taken twice.
#[must_use]
pub fn fencing_token_key(service: &str, era: u64) -> Arc<str> {
    match era {
        0 => format!("berylhook/fence/{service}").into(),
        era => format!("berylhook/fence/{service}/era-{era}").into(),
    }
}

/// What an agent knows, told to another that starts while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FenceState {
    /// The highest fencing number that it knows.
    pub(crate) number: u64,
    /// Whether it has read the store's number itself.
    pub(crate) is_first_hand: bool,
}

/// The highest fencing number known, and where from.
#[derive(Debug, Default)]
pub struct FencingGuard {
    highest: AtomicU64,
    /// Whether the store's number was read.
    is_learnt: AtomicBool,
    /// Whether an agent that has read it has told its own.
    is_learnt_from_peer: AtomicBool,
}

impl FencingGuard {
    /// Lets a leader with that number through and remembers it.
    ///
    /// # Errors
    ///
    /// The higher number known, if there is one.
    pub fn check(&self, number: u64) -> Result<(), u64> {
        let highest = self.highest.fetch_max(number, Ordering::SeqCst);
        if highest > number {
            return Err(highest);
        }
        Ok(())
    }

    /// Takes up what the store keeps in that era; gives the number that leaders need at
    /// least.
    ///
    /// After a restore the store may keep the number of a leader that was succeeded since
    /// the copy. So the leaders of former eras are all refused, and the one that still acts
    /// is elected anew.
    pub fn on_stored_token(&self, kept: u64, era: u64) -> u64 {
        let number = kept.max(era_base_token(era));
        self.highest.fetch_max(number, Ordering::SeqCst);
        self.is_learnt.store(true, Ordering::SeqCst);
        number
    }

    /// Whether orders may be relayed: enough is known to refuse a former leader's.
    pub fn may_relay_commands(&self) -> bool {
        self.is_learnt.load(Ordering::SeqCst) || self.is_learnt_from_peer.load(Ordering::SeqCst)
    }

    /// What this agent knows, for another.
    pub(crate) fn state(&self) -> FenceState {
        FenceState {
            number: self.highest.load(Ordering::SeqCst),
            is_first_hand: self.is_learnt.load(Ordering::SeqCst),
        }
    }

    /// Asks agents beside other ranks of the group until one has read the store's
    /// number itself.
    ///
    /// An agent that started while the store was away relayed nothing until it
    /// was back, and with it no rank of its group could change its map: six
    /// seconds of passes twice as long were seen. A leader decides nothing before
    /// every agent has answered it, so whoever has run since knows the number of
    /// every leader that acts. Second-hand knowledge does not count: two agents
    /// that start in turn would tell each other what neither has seen.
    pub(crate) async fn learn_from_peers(&self, peer_agents: &[SocketAddr]) {
        for peer in peer_agents {
            let call = Call::get(FENCE_PATH.to_owned(), PEER_TIMEOUT);
            match Connection::new(*peer).call_json::<FenceState>(call).await {
                Ok(state) if state.is_first_hand => {
                    let number = state.number;
                    self.highest.fetch_max(number, Ordering::SeqCst);
                    self.is_learnt_from_peer.store(true, Ordering::SeqCst);
                    log::info!(number, peer:% = peer; "fencing number learnt from another agent");
                    return;
                }
                Ok(_) => log::debug!(peer:% = peer; "another agent does not know it either"),
                Err(error) => log::debug!(reason:% = error; "another agent does not answer"),
            }
        }
    }

    /// Reads the store's number, as often as it takes.
    ///
    /// An agent that starts without it would relay the orders of a leader that
    /// all other agents refuse already.
    pub(crate) async fn learn(self: Arc<Self>, address: SocketAddr, service: Arc<str>) {
        let mut store = StoreClient::new(address);
        loop {
            match kept_fence(&mut store, &service).await {
                Ok((kept, era)) => {
                    let number = self.on_stored_token(kept, era);
                    log::info!(number, era; "fencing number read from the store");
                    return;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "the fencing number is not known yet");
                    sleep(RETRY.mul_f64(0.5 + rand::random::<f64>())).await;
                }
            }
        }
    }
}

/// The fencing number that the store keeps, and its era.
async fn kept_fence(store: &mut StoreClient, service: &str) -> Result<(u64, u64), StoreError> {
    let mut era = store.era().unwrap_or_default();
    loop {
        let item = store.item(&fencing_token_key(service, era)).await?;
        // The era is known from the first answer on; a restore may fall between two.
        let told = store.era().unwrap_or_default();
        if told == era {
            return Ok((item.map_or(0, |item| parse_fencing_token(&item.value)), era));
        }
        era = told;
    }
}

/// The fencing number that stands in the store; 0 where the value is none.
///
/// A value that is no number was not written by a leader; the next one that is
/// elected replaces it.
#[must_use]
pub fn parse_fencing_token(value: &[u8]) -> u64 {
    let text = std::str::from_utf8(value).unwrap_or_default();
    text.trim().parse().unwrap_or_else(|_| {
        log::error!(value = text; "the fencing number in the store cannot be read");
        0
    })
}
