//! Engine updates that a leader sends the other entries, and the transfer of leadership.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_groups::handover::{LeadershipTransfer, Successors, TransferResult};
use berylhook_groups::pause_notices::PauseNotices;
use berylhook_traffic::engine_update::{EngineUpdate, PauseNotice};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

use super::{Peers, REPLY_TIMEOUT};

/// HTTP path of engine updates.
pub(super) const ENGINE_UPDATE_PATH: &str = "/notice";

/// HTTP path of notices that a rank is about to pause its group.
pub(super) const PAUSE_NOTICE_PATH: &str = "/pause";

/// HTTP path of leadership transfers.
pub(super) const TRANSFER_PATH: &str = "/lead";

/// Time between two updates while nothing changes, for peers that missed one.
const ENGINE_UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a leader's update stays valid without another one. A new leader is elected within
/// this time.
const ENGINE_UPDATE_TTL_MS: u64 = 6_000;

/// Largest number of pause notices in one message. A peer that has not responded for a while needs
/// only the newest ones.
const MAX_NOTICES: usize = 64;

/// What a leader sends its peers.
#[derive(Clone, Debug)]
pub(super) enum LeaderMessage {
    EngineUpdate(Arc<EngineUpdate>),
    PauseNotice(PauseNotice),
}

/// The body of a message with pause notices. A single one is sent without a list, the only form
/// that entries of older versions accept.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum PauseNoticeBody {
    Single(PauseNotice),
    List(Vec<PauseNotice>),
}

/// Builds the calls for a batch of messages: one for the newest engine update, which replaces all
/// earlier ones, and one for the pause notices of all groups.
pub(super) fn encode_messages(batch: &[LeaderMessage]) -> Vec<Call> {
    let mut newest_update = None;
    let mut notices = Vec::new();
    for message in batch {
        match message {
            LeaderMessage::EngineUpdate(update) => newest_update = Some(update),
            LeaderMessage::PauseNotice(notice) => notices.push(*notice),
        }
    }
    let surplus = notices.len().saturating_sub(MAX_NOTICES);
    notices.drain(..surplus);
    let notices = match notices.as_slice() {
        [] => None,
        [notice] => Some(PauseNoticeBody::Single(*notice)),
        _ => Some(PauseNoticeBody::List(notices)),
    };
    let notices = notices
        .map(|notices| Call::post_json(PAUSE_NOTICE_PATH.to_owned(), &notices, REPLY_TIMEOUT));
    let update = newest_update
        .map(|update| Call::post_json(ENGINE_UPDATE_PATH.to_owned(), &**update, REPLY_TIMEOUT));
    notices.into_iter().chain(update).collect()
}

impl Peers {
    pub(super) async fn handle_engine_update(
        &self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let Some(update) = serve::read_json::<EngineUpdate>(request).await else {
            return serve::response(StatusCode::BAD_REQUEST, "send a notice in JSON");
        };
        self.apply_engine_update(update);
        serve::response(StatusCode::OK, "")
    }

    pub(super) async fn handle_pause_notice(
        &self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let notices = match serve::read_json(request).await {
            Some(PauseNoticeBody::Single(notice)) => vec![notice],
            Some(PauseNoticeBody::List(notices)) => notices,
            None => {
                let text = "send a pause notice in JSON, or a list of them";
                return serve::response(StatusCode::BAD_REQUEST, text);
            }
        };
        for notice in notices {
            self.apply_pause_notice(notice);
        }
        serve::response(StatusCode::OK, "")
    }

    fn apply_pause_notice(&self, notice: PauseNotice) {
        for queue in self.shared.queues() {
            queue.on_pause_notice(notice);
        }
    }

    /// Accepts a transfer of leadership. An entry that is itself stopping refuses, so that the
    /// leader tries another one.
    pub(super) async fn handle_transfer(
        &self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let Some(transfer) = serve::read_json::<LeadershipTransfer>(request).await else {
            return serve::response(StatusCode::BAD_REQUEST, "send a transfer in JSON");
        };
        if *self.shared.is_stopping.borrow() {
            return serve::response(StatusCode::SERVICE_UNAVAILABLE, "this entry stops too");
        }
        log::info!(service = &*transfer.service, fence = transfer.fence; "accepted a leadership transfer");
        self.last_transfer.send_replace(Some(transfer));
        serve::response(StatusCode::OK, "")
    }

    fn apply_engine_update(&self, update: EngineUpdate) {
        let slow_engines = update.slowdowns.len();
        let closed_groups = update.groups.iter().filter(|group| !group.is_open).count();
        log::info!(slow_engines, closed_groups; "applying a leader's engine update");
        let now_ms = self.shared.clock.now_ms();
        self.engine_update_ms.store(now_ms.0, Ordering::Relaxed);
        self.shared.set_engine_update(update);
    }

    /// Sends the engine updates of this process to the peers while it leads, and otherwise
    /// expires the update of a previous leader.
    pub(crate) async fn publish_engine_updates(
        self: Arc<Self>,
        mut updates: watch::Receiver<Option<EngineUpdate>>,
    ) {
        loop {
            let current = updates.borrow_and_update().clone();
            match current {
                Some(update) => self.send_to_all(update),
                None => self.expire_engine_update(),
            }
            // The sender closes only at the end of the process.
            let _ = timeout(ENGINE_UPDATE_INTERVAL, updates.changed()).await;
        }
    }

    fn send_to_all(&self, update: EngineUpdate) {
        self.apply_engine_update(update.clone());
        let update = Arc::new(update);
        self.broadcast(&LeaderMessage::EngineUpdate(update));
    }

    fn broadcast(&self, message: &LeaderMessage) {
        for address in self.shuffled_addresses() {
            self.outbox.send(address, message.clone());
        }
    }

    fn expire_engine_update(&self) {
        let received_ms = MonoMs(self.engine_update_ms.load(Ordering::Relaxed));
        let age_ms = self.shared.clock.now_ms().since(received_ms);
        if age_ms > ENGINE_UPDATE_TTL_MS {
            self.shared.set_engine_update(EngineUpdate::default());
        }
    }
}

impl PauseNotices for Peers {
    fn notify(&self, notice: PauseNotice) {
        self.apply_pause_notice(notice);
        self.broadcast(&LeaderMessage::PauseNotice(notice));
    }
}

impl Successors for Peers {
    fn transfer(&self, transfer: LeadershipTransfer) -> BoxFuture<'_, TransferResult> {
        Box::pin(async move {
            for address in self.shuffled_addresses() {
                let call = Call::post_json(TRANSFER_PATH.to_owned(), &transfer, REPLY_TIMEOUT);
                match Connection::new(address).call(call).await {
                    Ok(_) => return TransferResult::Accepted,
                    Err(CallError::Unknown { .. } | CallError::ResponseTooLarge { .. }) => {
                        return TransferResult::Unknown;
                    }
                    Err(error @ (CallError::NotSent { .. } | CallError::Status { .. })) => {
                        log::info!(reason:% = error; "a peer did not accept a leadership transfer");
                    }
                }
            }
            TransferResult::Refused
        })
    }
}
