//! Reads of the store's position, which entries tell each other.
//!
//! Calls to the store are billed and the entries' own messages are not. So one entry reads and tells
//! all others. The others read only if they hear of no position, each a little later than the one
//! before it.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use berylhook_calls::{Call, serve};
use berylhook_core::position::Position;
use berylhook_platform::store::EraObserver;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::{Peers, REPLY_TIMEOUT};

/// HTTP path of reports on the store's position.
pub(super) const STORE_POSITION_PATH: &str = "/store-position";

/// Time between two reads of the store's position.
const READ_INTERVAL: Duration = Duration::from_millis(750);

/// Time by which each entry waits longer than the one before it for a report.
const TAKEOVER_STEP: Duration = Duration::from_millis(150);

/// Number of entries that read one after the other; all further ones read together with the last.
const MAX_TAKEOVER_STEPS: u32 = 4;

/// The store normally responds within milliseconds. Later responses are not waited for, as the
/// connection may carry none.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest pause after failed reads.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(2_400);

/// A report on the position that the store has reached.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StorePositionReport {
    #[serde(flatten)]
    position: Position,
    /// How long the store has been answering, as far as the sender knows.
    answering_ms: u64,
}

/// Builds the call for a batch of reports, of which the last one tells the most.
pub(super) fn encode_reports(batch: &[StorePositionReport]) -> Vec<Call> {
    let call = |report| Call::post_json(STORE_POSITION_PATH.to_owned(), report, REPLY_TIMEOUT);
    batch.last().map(call).into_iter().collect()
}

impl Peers {
    pub(super) async fn handle_store_position(
        &self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let Some(report) = serve::read_json::<StorePositionReport>(request).await else {
            let text = "send the store's position in JSON";
            return serve::response(StatusCode::BAD_REQUEST, text);
        };
        self.control.on_peer_answer(report.answering_ms);
        self.apply_store_position(report);
        serve::response(StatusCode::OK, "")
    }

    fn apply_store_position(&self, report: StorePositionReport) {
        self.shared.eras.on_era(report.position.era);
        self.control
            .store_progress
            .on_store_position(report.position);
    }

    /// How long this entry waits for a report before it reads the position itself.
    fn read_delay(&self) -> Duration {
        READ_INTERVAL + TAKEOVER_STEP * self.read_rank().min(MAX_TAKEOVER_STEPS)
    }

    /// The number of entries whose turn to read comes before this one's: those with more processor
    /// time first.
    fn read_rank(&self) -> u32 {
        if *self.shared.is_stopping.borrow() {
            return MAX_TAKEOVER_STEPS;
        }
        let share_millis = |share: f64| {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
            let millis = (share * 1_000.0) as u32;
            Reverse(millis)
        };
        let own_key = (
            share_millis(self.shared.settings().processor_share),
            self.own_address(),
        );
        let known = self.known.lock().expect("no holder panics");
        let present = known.iter().filter(|(_, peer)| peer.failures == 0);
        let keys = present.filter_map(|(address, peer)| {
            let processor_share = peer.processor_share?;
            Some((share_millis(processor_share), *address))
        });
        let before = keys.filter(|key| *key < own_key).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Reads the store's position whenever no entry has reported it for too long, and reports it to
    /// all others.
    pub(crate) async fn report_store_position(self: Arc<Self>) {
        let store_progress = Arc::clone(&self.control.store_progress);
        let mut store = self.control.open_store();
        let mut failures = 0;
        loop {
            store_progress
                .wait_until_older_than(|| self.read_delay())
                .await;
            let read = timeout(READ_TIMEOUT, store.position()).await;
            match read {
                Ok(Ok(position)) => {
                    self.control.count_store_call("read-position", "ok");
                    failures = 0;
                    self.control.on_store_answer();
                    let report = StorePositionReport {
                        position,
                        answering_ms: self.control.answering_ms(),
                    };
                    self.apply_store_position(report);
                    for address in self.shuffled_addresses() {
                        self.position_reports.send(address, report);
                    }
                }
                Ok(Err(_)) | Err(_) => {
                    self.control.count_store_call("read-position", "failed");
                    store = self.control.open_store();
                    // The first failure may be that of the connection alone.
                    if failures > 0 {
                        let pause = READ_INTERVAL * 2_u32.saturating_pow(failures.min(8));
                        sleep(pause.min(MAX_FAILURE_PAUSE)).await;
                    }
                    failures += 1;
                }
            }
        }
    }
}
