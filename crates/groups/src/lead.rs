//! Standing for election and leading one service.

use std::sync::Arc;
use std::time::Duration;

use berylhook_platform::store::{Store, StoreError};
use berylhook_relay::fence_key;
use tokio::time::{sleep, timeout};

use crate::Candidate;
use crate::controller::Controller;
use crate::election::{Term, leave_fence, stand};

/// Wait before standing for election again while somebody leads; a change of
/// the leader's key ends it early.
const STAND_EVERY: Duration = Duration::from_secs(5);

/// Wait before the store is asked again after it did not answer.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Longest wait of a candidate after the leader's key has changed, so that
/// candidates do not call the store all at once.
const SPREAD: Duration = Duration::from_millis(100);

/// Time for the candidates to get to know each other before the first election.
/// After all were killed, the former leader's lease has longer to run.
const MEET_TIME: Duration = Duration::from_millis(400);

/// Wait of a candidate that knows one with clearly more processor time.
///
/// The leader of 72 ranks gets 72 answers at once; on a VM with a sixth of a
/// processor each round of them took some 20 ms, and a change of maps twice as
/// long. The wait is longer than a store's answer and the spread of the others.
const YIELD: Duration = Duration::from_millis(250);

/// Stands for election and leads one service, for as long as the process lives.
pub(crate) async fn lead(mut candidate: Candidate, service: Arc<str>) {
    let key: Arc<str> = format!("berylhook/leader/{service}").into();
    let mut store = Store::new(candidate.store);
    sleep(MEET_TIME).await;
    yield_to_larger(&candidate).await;
    while !*candidate.is_stopping.borrow() {
        match stand(&mut store, candidate.store, &key, &candidate.name).await {
            Ok(Some(term)) => {
                serve_term(&candidate, &service, &mut store, &term).await;
                candidate.paces.send_replace(None);
                term.close(&mut store).await;
            }
            Ok(None) => {
                let _ = timeout(STAND_EVERY, candidate.own_keys.changed()).await;
                sleep(spread(SPREAD)).await;
                yield_to_larger(&candidate).await;
            }
            Err(error) => {
                log::debug!(reason:% = error; "not standing for election");
                sleep(spread(STORE_RETRY)).await;
            }
        }
    }
}

async fn yield_to_larger(candidate: &Candidate) {
    if *candidate.has_larger_peer.borrow() {
        sleep(YIELD).await;
    }
}

/// Leads until the term is over.
async fn serve_term(candidate: &Candidate, service: &Arc<str>, store: &mut Store, term: &Term) {
    let fence = term.fence;
    match leave_fence(store, &fence_key(service), fence).await {
        Ok(true) => {}
        Ok(false) => {
            log::info!(service = &**service, fence; "a later leader has been elected");
            return;
        }
        Err(error) => {
            log_not_left(service, fence, &error);
            return;
        }
    }
    log::info!(service = &**service, fence; "leading the service's groups");
    let mut controller = Controller::new(candidate, Arc::clone(service), fence);
    controller.run(term).await;
    log::info!(service = &**service, fence; "no longer leading");
}

fn log_not_left(service: &str, fence: u64, error: &StoreError) {
    log::warn!(service, fence, reason:% = error; "the fencing number was not left in the store");
}

/// Between half and one and a half of `wait`.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + rand::random::<f64>())
}
