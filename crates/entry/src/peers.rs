//! What entries ask each other.
//!
//! An entry that the store shuts out learns the newest configuration and the
//! targets that leave from its peers. It begins with the seeds of its settings;
//! each question tells who asks, and each answer names the peers known, so all
//! entries soon know each other without a call to the store.
//!
//! | Part | Job |
//! |---|---|
//! | `membership` | who shares the targets, and how much demand each has |
//! | `limits` | who shares the limits of targets, and what a new entry is told of them |
//! | `leadership` | what a leader tells its peers, and whom it transfers to |
//!
//! Plain HTTP is used for this: a request and reply library of its own would
//! bring threads and wake-ups that cost more than the few questions do.

mod leadership;
mod limits;
mod membership;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_backpressure::messages::LimitReport;
use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::position::Position;
use berylhook_groups::handover::LeadershipTransfer;
use berylhook_platform::store::EraObserver;
use berylhook_traffic::target::Incarnation;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use self::leadership::{NOTICE_PATH, TRANSFER_PATH};
use self::membership::Sharing;
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

/// Questions in a row without an answer after which a peer is forgotten.
const FAILURES_TO_FORGET: u32 = 3;

/// A peer with this much more processor time than this process leads better.
const CLEARLY_MORE: f64 = 1.5;

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
    /// Position of its list.
    #[serde(flatten)]
    position: Position,
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
    /// A summary of what it knows of requests under which targets end; none before it
    /// knows, or from an entry of an older version.
    #[serde(default)]
    suspicions: Option<u64>,
    /// The newest era of the store that it has heard of.
    #[serde(default)]
    era: u64,
    /// The limits that targets name, by service.
    #[serde(default)]
    limits: IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>>,
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

/// The entries known to this one.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    control: Arc<Control>,
    known: Mutex<IndexMap<SocketAddr, Peer>>,
    /// Requests a second that arrive at this entry; `None` before the first.
    demand_per_s: Mutex<Option<f64>>,
    /// When a leader last told of the engines.
    engines_heard_ms: AtomicU64,
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
            engines_heard_ms: AtomicU64::new(0),
            transfer: watch::Sender::new(None),
        }
    }

    /// Follows the transfers of this entry.
    pub(crate) fn transfers(&self) -> watch::Receiver<Option<LeadershipTransfer>> {
        self.transfer.subscribe()
    }

    /// Where this entry answers its peers.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.shared.settings().peer_address
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
        }
        self.publish(&known);
    }

    /// Peers to ask, seeds included, in random order.
    pub(crate) fn candidates(&self) -> Vec<SocketAddr> {
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
        self.shared.eras.on_era(question.position.era);
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
            suspicions: self.shared.suspects.summary_for_peers(),
            era: self.shared.eras.newest(),
            limits: self.limit_reports(),
        })
    }

    fn compare_suspicions(&self, address: SocketAddr, summary: Option<u64>) {
        if let Some(summary) = summary {
            self.shared.suspects.on_peer_summary(address, summary);
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
        let (position, version) = self.control.position();
        position > question.position || version > question.version
    }

    fn newer_than(&self, question: &Question) -> Option<PeerView> {
        self.is_news(question).then(|| self.control.peer_view())
    }

    /// Asks one peer; returns whether it answered.
    async fn ask(&self, address: SocketAddr, waits: bool) -> bool {
        let (position, version) = self.control.position();
        let question = Question {
            from: self.own_address(),
            processor_share: self.shared.settings().processor_share,
            sharing: self.own_sharing(),
            position,
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
                self.compare_suspicions(address, answer.suspicions);
                self.shared.eras.on_era(answer.era);
                self.learn_limits(&answer.limits);
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
            // After a loss of power the seeds start in the same moment as this entry and
            // refuse its first question; who leads is settled within the next second.
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

async fn ask_once(
    address: SocketAddr,
    question: &Question,
    bound: Duration,
) -> Result<Answer, CallError> {
    let call = Call::post("/".to_owned(), question, bound);
    Connection::new(address).json(call).await
}
