//! The highest fencing number that the agent knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use berylhook_platform::store::Store;
use tokio::time::sleep;

/// Wait before the store is asked again.
const RETRY: Duration = Duration::from_millis(500);

/// The key under which a service's leaders leave their fencing number. It has
/// no lease: it has to outlast its leader.
#[must_use]
pub fn fence_key(service: &str) -> Arc<str> {
    format!("berylhook/fence/{service}").into()
}

/// The highest fencing number known, and whether the store's was read.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    highest: AtomicU64,
    is_learnt: AtomicBool,
}

impl Fence {
    /// Lets a leader with that number through and remembers it.
    ///
    /// # Errors
    ///
    /// The higher number known, if there is one.
    pub(crate) fn check(&self, number: u64) -> Result<(), u64> {
        let highest = self.highest.fetch_max(number, Ordering::SeqCst);
        if highest > number {
            return Err(highest);
        }
        Ok(())
    }

    /// Whether the store's number is known.
    pub(crate) fn is_learnt(&self) -> bool {
        self.is_learnt.load(Ordering::SeqCst)
    }

    /// Reads the store's number, as often as it takes.
    ///
    /// An agent that starts without it would relay the orders of a leader that
    /// all other agents refuse already.
    pub(crate) async fn learn(self: Arc<Self>, address: SocketAddr, key: Arc<str>) {
        let mut store = Store::new(address);
        loop {
            match store.item(&key).await {
                Ok(item) => {
                    let number = item.map_or(0, |item| parse(&item.value));
                    self.highest.fetch_max(number, Ordering::SeqCst);
                    self.is_learnt.store(true, Ordering::SeqCst);
                    log::info!(number; "fencing number read from the store");
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

/// A value that is no number was not written by a leader; the next one that is
/// elected replaces it.
fn parse(value: &[u8]) -> u64 {
    let text = std::str::from_utf8(value).unwrap_or_default();
    text.trim().parse().unwrap_or_else(|_| {
        log::error!(value = text; "the fencing number in the store cannot be read");
        0
    })
}
