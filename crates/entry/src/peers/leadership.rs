//! What a leader tells the other entries, and the transfer of its leadership.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_groups::handover::{LeadershipTransfer, Successors, TransferResult};
use berylhook_traffic::engine_update::EngineUpdate;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::timeout;

use super::{ANSWER_TIMEOUT, Peers};

/// Where notices are sent.
pub(super) const NOTICE_PATH: &str = "/notice";

/// Where a transfer is sent.
pub(super) const TRANSFER_PATH: &str = "/lead";

/// Time between two notices while nothing changes, for peers that missed one.
const NOTICE_EVERY: Duration = Duration::from_secs(2);

/// Peers told at once.
const TOLD_AT_ONCE: usize = 16;

/// How long a leader's word counts without another: a new leader is there
/// within this time.
const NEWS_VALID_MS: u64 = 6_000;

impl Peers {
    pub(super) async fn take_notice(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(news) = serve::read_json::<EngineUpdate>(request).await else {
            return serve::plain(StatusCode::BAD_REQUEST, "send a notice in JSON");
        };
        self.set_engine_news(news);
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

    fn set_engine_news(&self, news: EngineUpdate) {
        let slow_engines = news.slowdowns.len();
        let closed_groups = news.groups.iter().filter(|group| !group.is_open).count();
        log::info!(slow_engines, closed_groups; "a leader's word on the engines");
        let now_ms = self.shared.clock.now_ms();
        self.engines_heard_ms.store(now_ms.0, Ordering::Relaxed);
        self.shared.set_engine_news(news);
    }

    /// Tells the peers what this process learns of the engines while it leads, and
    /// forgets what a former leader told.
    pub(crate) async fn share_engine_news(
        self: Arc<Self>,
        mut news: watch::Receiver<Option<EngineUpdate>>,
    ) {
        loop {
            let known = news.borrow_and_update().clone();
            match known {
                Some(news) => self.tell_all(news).await,
                None => self.forget_old_news(),
            }
            // An end of the sender is the end of the process.
            let _ = timeout(NOTICE_EVERY, news.changed()).await;
        }
    }

    /// Tells all peers at once: one that does not answer must not keep the others from
    /// hearing that a group has closed.
    async fn tell_all(&self, news: EngineUpdate) {
        self.set_engine_news(news.clone());
        let news = &news;
        let told = self.candidates().into_iter().map(|address| async move {
            let call = Call::post(NOTICE_PATH.to_owned(), news, ANSWER_TIMEOUT);
            if let Err(error) = Connection::new(address).call(call).await {
                log::debug!(reason:% = error; "a peer does not take a notice");
            }
        });
        stream::iter(told)
            .buffer_unordered(TOLD_AT_ONCE)
            .collect::<()>()
            .await;
    }

    fn forget_old_news(&self) {
        let heard_ms = MonoMs(self.engines_heard_ms.load(Ordering::Relaxed));
        let silent_ms = self.shared.clock.now_ms().since(heard_ms);
        if silent_ms > NEWS_VALID_MS {
            self.shared.set_engine_news(EngineUpdate::default());
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
