//! What a leader tells the other entries, and the transfer of its leadership.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_groups::handover::{LeadershipTransfer, Successors, TransferResult};
use berylhook_traffic::pace::Paces;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

use super::{ANSWER_TIMEOUT, Peers};

/// What a leader tells its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Notice {
    /// Paces of slow engines; all others have the usual one.
    paces: Paces,
}

/// Where notices are sent.
pub(super) const NOTICE_PATH: &str = "/notice";

/// Where a transfer is sent.
pub(super) const TRANSFER_PATH: &str = "/lead";

/// Time between two notices while nothing changes, for peers that missed one.
const NOTICE_EVERY: Duration = Duration::from_secs(2);

/// How long a leader's word counts without another: a new leader is there
/// within this time.
const PACES_VALID_MS: u64 = 6_000;

impl Peers {
    pub(super) async fn take_notice(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(notice) = serve::read_json::<Notice>(request).await else {
            return serve::plain(StatusCode::BAD_REQUEST, "send a notice in JSON");
        };
        self.set_paces(notice.paces);
        serve::plain(StatusCode::OK, "")
    }

    /// An entry that is about to end itself refuses, so that another is asked.
    pub(super) async fn take_transfer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(transfer) = serve::read_json::<LeadershipTransfer>(request).await else {
            return serve::plain(StatusCode::BAD_REQUEST, "send a transfer in JSON");
        };
        if *self.shared.is_stopping.borrow() {
            return serve::plain(StatusCode::SERVICE_UNAVAILABLE, "this entry stops too");
        }
        log::info!(service = &*transfer.service, fence = transfer.fence; "leadership taken over");
        self.transfer.send_replace(Some(transfer));
        serve::plain(StatusCode::OK, "")
    }

    fn set_paces(&self, paces: Paces) {
        log::info!(slow_engines = paces.len(); "engines' paces taken over");
        let now_ms = self.shared.clock.now_ms();
        self.paces_heard_ms.store(now_ms.0, Ordering::Relaxed);
        self.shared.set_paces(paces);
    }

    /// Tells the peers what this process learns of the engines' paces while it
    /// leads, and forgets what a former leader told.
    pub(crate) async fn share_paces(self: Arc<Self>, mut paces: watch::Receiver<Option<Paces>>) {
        loop {
            let known = paces.borrow_and_update().clone();
            match known {
                Some(slow) => self.tell_all(slow).await,
                None => self.forget_old_paces(),
            }
            // An end of the sender is the end of the process.
            let _ = timeout(NOTICE_EVERY, paces.changed()).await;
        }
    }

    async fn tell_all(&self, slow: Paces) {
        self.set_paces(slow.clone());
        let notice = Notice { paces: slow };
        for address in self.candidates() {
            let call = Call::post(NOTICE_PATH.to_owned(), &notice, ANSWER_TIMEOUT);
            if let Err(error) = Connection::new(address).call(call).await {
                log::debug!(reason:% = error; "a peer does not take a notice");
            }
        }
    }

    fn forget_old_paces(&self) {
        let heard_ms = MonoMs(self.paces_heard_ms.load(Ordering::Relaxed));
        let silent_ms = self.shared.clock.now_ms().since(heard_ms);
        if silent_ms > PACES_VALID_MS {
            self.shared.set_paces(Paces::new());
        }
    }
}

impl Successors for Peers {
    fn transfer(&self, transfer: LeadershipTransfer) -> BoxFuture<'_, TransferResult> {
        Box::pin(async move {
            for address in self.candidates() {
                let call = Call::post(TRANSFER_PATH.to_owned(), &transfer, ANSWER_TIMEOUT);
                match Connection::new(address).call(call).await {
                    Ok(_) => return TransferResult::Accepted,
                    Err(CallError::Unknown { .. }) => return TransferResult::Unknown,
                    Err(error @ (CallError::NotSent { .. } | CallError::Status { .. })) => {
                        log::info!(reason:% = error; "a peer does not take a transfer");
                    }
                }
            }
            TransferResult::Refused
        })
    }
}
