//! What entries ask each other.
//!
//! An entry that the store shuts out learns the newest configuration and the
//! targets that leave from its peers. It begins with the seeds of its settings;
//! each question tells who asks, and each answer names the peers known, so all
//! entries soon know each other without a call to the store.
//!
//! Plain HTTP is used for this: a request and reply library of its own would
//! bring threads and wake-ups that cost more than the few questions do.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_groups::handover::{LeadershipTransfer, Successors, TransferResult};
use berylhook_traffic::ownership::{DemandMeter, Member, Membership};
use berylhook_traffic::pace::Paces;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::control::{Control, PeerView};
use crate::shared::Shared;

/// Longest wait of a question for news.
const NEWS_WAIT: Duration = Duration::from_secs(1);

/// Time for an answer beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after a question that brought nothing.
const ASK_PAUSE: Duration = Duration::from_millis(150);

/// Time between two rounds of learning who is there.
const MEET_EVERY: Duration = Duration::from_secs(5);

/// Wait after a round in which more entries became known. They have to hear of this
/// one before its callers come.
const MEET_MORE: Duration = Duration::from_millis(300);

/// Peers asked at once: one that does not answer must not hold up the others, and a
/// VM with a sixth of a processor must not get all answers together.
const ASKED_AT_ONCE: usize = 4;

/// Time between two measurements of the demand.
const SHARE_EVERY: Duration = Duration::from_secs(1);

/// Questions in a row without an answer after which a peer is forgotten.
const FAILURES_TO_FORGET: u32 = 3;

/// A peer with this much more processor time than this process leads better.
const CLEARLY_MORE: f64 = 1.5;

/// What an entry tells of its part in sharing the targets. One that takes no
/// requests, or is of a version that knows no parts, tells nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Sharing {
    data_centre: Arc<str>,
    /// Requests a second that arrive there; `None` while it cannot tell.
    demand_per_s: Option<f64>,
}

/// A question to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Question {
    /// Where the asking entry answers its peers.
    from: SocketAddr,
    /// Part of a processor that it may use.
    processor_share: f64,
    /// Its part in sharing the targets.
    #[serde(default)]
    sharing: Option<Sharing>,
    /// Revision of its list.
    revision: u64,
    /// Version of its configuration.
    version: u64,
    /// Whether to wait for something newer.
    waits: bool,
}

/// The answer to a question.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Answer {
    /// What is newer than what the asking entry has, if anything.
    view: Option<PeerView>,
    /// The entries known.
    peers: Vec<SocketAddr>,
    /// Part of a processor that the answering entry may use.
    processor_share: f64,
    /// The answering entry's part in sharing the targets.
    #[serde(default)]
    sharing: Option<Sharing>,
}

/// What is known of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Questions in a row without an answer.
    failures: u32,
    /// Part of a processor that it may use; `None` before it has told.
    processor_share: Option<f64>,
    /// Its part in sharing the targets, by its last word.
    sharing: Option<Sharing>,
}

/// What a leader tells its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Notice {
    /// Paces of slow engines; all others have the usual one.
    paces: Paces,
}

/// Where notices are sent.
const NOTICE_PATH: &str = "/notice";

/// Where a transfer is sent.
const TRANSFER_PATH: &str = "/lead";

/// Time between two notices while nothing changes, for peers that missed one.
const NOTICE_EVERY: Duration = Duration::from_secs(2);

/// How long a leader's word counts without another: a new leader is there
/// within this time.
const PACES_VALID_MS: u64 = 6_000;

/// The entries known to this one.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    control: Arc<Control>,
    known: Mutex<IndexMap<SocketAddr, Peer>>,
    /// Requests a second that arrive at this entry; `None` before the first.
    demand_per_s: Mutex<Option<f64>>,
    /// When a leader last told the engines' paces.
    paces_heard_ms: AtomicU64,
    /// The last transfer to lead a service's groups.
    transfer: watch::Sender<Option<LeadershipTransfer>>,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>, control: Arc<Control>) -> Self {
        Self {
            shared,
            control,
            known: Mutex::new(IndexMap::new()),
            demand_per_s: Mutex::new(None),
            paces_heard_ms: AtomicU64::new(0),
            transfer: watch::Sender::new(None),
        }
    }

    /// Follows the transfers of this entry.
    pub(crate) fn transfers(&self) -> watch::Receiver<Option<LeadershipTransfer>> {
        self.transfer.subscribe()
    }

    fn own_address(&self) -> SocketAddr {
        self.shared.settings().peers
    }

    fn learn(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own_address();
        let mut known = self.known.lock().expect("no holder panics");
        for address in addresses {
            if address != own {
                known.entry(address).or_default();
            }
        }
        self.publish(&known);
    }

    fn publish(&self, known: &IndexMap<SocketAddr, Peer>) {
        let own = self.shared.settings().processor_share;
        let present = known.values().filter(|peer| peer.failures == 0);
        let mut shares = present.filter_map(|peer| peer.processor_share);
        let has_larger = shares.any(|share| share > own * CLEARLY_MORE);
        self.shared.has_larger_peer.send_replace(has_larger);
    }

    fn note_word(&self, address: SocketAddr, processor_share: f64, sharing: Option<Sharing>) {
        let mut known = self.known.lock().expect("no holder panics");
        if let Some(peer) = known.get_mut(&address) {
            peer.processor_share = Some(processor_share);
            peer.sharing = sharing;
        }
        self.publish(&known);
    }

    fn note(&self, address: SocketAddr, answered: bool) {
        let mut known = self.known.lock().expect("no holder panics");
        let Some(peer) = known.get_mut(&address) else {
            return;
        };
        peer.failures = if answered { 0 } else { peer.failures + 1 };
        if peer.failures >= FAILURES_TO_FORGET {
            known.shift_remove(&address);
            self.publish(&known);
        }
    }

    /// This entry's part in sharing the targets; none once it stops.
    fn own_sharing(&self) -> Option<Sharing> {
        self.shared.is_ready().then(|| Sharing {
            data_centre: Arc::clone(&self.shared.settings().data_centre),
            demand_per_s: *self.demand_per_s.lock().expect("no holder panics"),
        })
    }

    /// The entries that share the targets now: those that have answered and take
    /// requests. One that missed an answer gets no part until it answers again: its
    /// callers are on their way to others.
    fn membership(&self) -> Membership {
        let own = Member {
            address: self.own_address(),
            data_centre: Arc::clone(&self.shared.settings().data_centre),
            demand_per_s: *self.demand_per_s.lock().expect("no holder panics"),
        };
        let known = self.known.lock().expect("no holder panics");
        let present = known.iter().filter(|(_, peer)| peer.failures == 0);
        let others = present.filter_map(|(address, peer)| {
            let sharing = peer.sharing.as_ref()?;
            Some(Member {
                address: *address,
                data_centre: Arc::clone(&sharing.data_centre),
                demand_per_s: sharing.demand_per_s,
            })
        });
        Membership::new(own, others)
    }

    /// Measures this entry's demand and keeps its part of the targets up to date.
    pub(crate) async fn share_targets(self: Arc<Self>) {
        let mut meter = DemandMeter::default();
        let mut members = 0;
        loop {
            sleep(SHARE_EVERY).await;
            let arrivals = self.shared.arrivals.load(Ordering::Relaxed);
            *self.demand_per_s.lock().expect("no holder panics") = meter.observe(arrivals);
            let membership = self.membership();
            if membership.len() != members {
                members = membership.len();
                log::info!(members; "the targets are shared anew");
            }
            self.shared.set_membership(&membership);
        }
    }

    /// Peers to ask, seeds included, in random order.
    fn candidates(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        let own = self.own_address();
        let settings = self.shared.settings();
        let seeds = settings.seeds.iter().copied();
        let mut addresses: Vec<SocketAddr> = known.keys().copied().chain(seeds).collect();
        addresses.retain(|address| *address != own);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Answers a peer's question, or takes its notice.
    pub(crate) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() == NOTICE_PATH {
            return self.take_notice(request).await;
        }
        if request.uri().path() == TRANSFER_PATH {
            return self.take_transfer(request).await;
        }
        let Some(question) = serve::read_json::<Question>(request).await else {
            let text = "send a question in JSON, as another entry does";
            return serve::plain(StatusCode::BAD_REQUEST, text);
        };
        self.learn([question.from]);
        self.note_word(
            question.from,
            question.processor_share,
            question.sharing.clone(),
        );
        if question.waits {
            // Running out of time is an answer too: there is no news.
            let _ = timeout(NEWS_WAIT, self.news(&question)).await;
        }
        serve::json(&Answer {
            view: self.newer_than(&question),
            peers: self.candidates(),
            processor_share: self.shared.settings().processor_share,
            sharing: self.own_sharing(),
        })
    }

    async fn take_notice(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(notice) = serve::read_json::<Notice>(request).await else {
            return serve::plain(StatusCode::BAD_REQUEST, "send a notice in JSON");
        };
        self.set_paces(notice.paces);
        serve::plain(StatusCode::OK, "")
    }

    /// An entry that is about to end itself refuses, so that another is asked.
    async fn take_transfer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
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

    async fn news(&self, question: &Question) {
        let mut changes = self.control.changes.subscribe();
        while !self.is_news(question) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn is_news(&self, question: &Question) -> bool {
        let (revision, version) = self.control.position();
        revision > question.revision || version > question.version
    }

    fn newer_than(&self, question: &Question) -> Option<PeerView> {
        self.is_news(question).then(|| self.control.peer_view())
    }

    /// Asks one peer; returns whether it answered.
    async fn ask(&self, address: SocketAddr, waits: bool) -> bool {
        let (revision, version) = self.control.position();
        let question = Question {
            from: self.own_address(),
            processor_share: self.shared.settings().processor_share,
            sharing: self.own_sharing(),
            revision,
            version,
            waits,
        };
        let bound = ANSWER_TIMEOUT + if waits { NEWS_WAIT } else { Duration::ZERO };
        let answered = ask_once(address, &question, bound).await;
        let is_answered = answered.is_ok();
        match answered {
            Ok(answer) => {
                self.learn(answer.peers.into_iter().chain([address]));
                self.note_word(address, answer.processor_share, answer.sharing);
                if let Some(view) = answer.view {
                    self.control.take_peer_view(view);
                }
            }
            Err(error) => log::debug!(reason:% = error; "a peer does not answer"),
        }
        self.note(address, is_answered);
        is_answered
    }

    /// Learns who is there, at the start and from time to time, and tells it when
    /// this entry stops.
    pub(crate) async fn meet(self: Arc<Self>) {
        let mut stage = self.shared.stage.subscribe();
        loop {
            let known = self.candidates().len();
            let asked = self.candidates().into_iter();
            let asked = asked.map(|address| self.ask(address, false));
            let answers = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
            let answers: Vec<bool> = answers.collect().await;
            let has_met_more = self.candidates().len() > known;
            // After a loss of power the seeds start in the same moment as this entry.
            let has_met_nobody = !answers.contains(&true);
            let wait = if has_met_more || has_met_nobody {
                MEET_MORE
            } else {
                MEET_EVERY
            };
            // An end of the sender is the end of the process.
            let _ = timeout(wait, stage.changed()).await;
        }
    }

    /// Follows the peers while the store does not answer.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut store_answers = self.control.store_answers.subscribe();
        loop {
            if store_answers.wait_for(|answers| !answers).await.is_err() {
                return;
            }
            for address in self.candidates() {
                self.ask(address, true).await;
            }
            sleep(ASK_PAUSE).await;
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

async fn ask_once(
    address: SocketAddr,
    question: &Question,
    bound: Duration,
) -> Result<Answer, CallError> {
    let call = Call::post("/".to_owned(), question, bound);
    Connection::new(address).json(call).await
}
