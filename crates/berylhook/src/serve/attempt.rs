//! One attempt: an order on one link, and the frames that answer it.
//!
//! What the frames mean is decided by [`AttemptState`]; here they are received,
//! credit is given back, and a revoke is carried to its end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_core::attempt::{Action, AttemptState, Event, Verdict};
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_core::route::SentRequest;
use berylhook_core::time::MonoMs;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Cancel, Credit, Data, End, Head, Refused, Revoke, Start};
use berylhook_quarantine::{QuarantineRejection, RunClearance, WaitLimits};
use tokio::time::{Instant, timeout, timeout_at};

use super::fleet::Target;
use super::link::{Connection, Registration};
use super::node::Node;
use super::quarantine::{Identity, LeftRun, on_run_end};

/// Time to reconnect to an agent and settle a revoke.
const REVOKE_BOUND: Duration = Duration::from_millis(1_500);

/// Part of the time in which a request has to start that it waits for its turn, if targets
/// end under it. What is left lets its caller come back.
const TURN_SHARE: f64 = 0.4;

/// Credit is given back in pieces of this size.
const CREDIT_STEP_BYTES: u32 = 64 << 10;

/// What an attempt gives its request.
pub(crate) enum Step {
    /// The answer's head.
    Head(Head),
    /// The next part of its body.
    Data(Data),
    /// The attempt is over.
    Over(Verdict),
}

/// A running attempt. Dropping it tells the agent that nobody waits.
pub(crate) struct Attempt {
    node: Arc<Node>,
    id: RequestId,
    target: Arc<Target>,
    connection: Arc<Connection>,
    /// Taken when the attempt is dropped.
    registration: Option<Registration>,
    identity: Arc<Identity>,
    /// What the request needed to be sent; given back with the attempt.
    clearance: RunClearance,
    /// Until when the target may be at work on the run; `None` once the agent has told
    /// what became of it, or cannot tell any more.
    runs_until: Option<Instant>,
    exchange: AttemptState,
    start_by_ms: u64,
    sent_ms: MonoMs,
    deadline: Instant,
    unreturned_bytes: u32,
    is_over: bool,
    awaits_first_data: bool,
    /// Where a refusing agent believes the key's home is.
    pub(crate) home_hint: Option<Arc<str>>,
    /// When a refusing agent says to come back.
    pub(crate) retry_after_ms: Option<u64>,
}

/// What to order.
pub(crate) struct Order {
    pub(crate) start: Start,
    pub(crate) start_within_ms: u64,
    pub(crate) deadline: Instant,
    pub(crate) blocks: Vec<u64>,
    /// Whether the caller asked for the answer token by token.
    pub(crate) is_stream: bool,
    /// What makes the request the same when it comes again.
    pub(crate) identity: Arc<Identity>,
}

impl Order {
    /// Until when a target may be at work on it though nobody waits: a keyed run goes on,
    /// for its record.
    fn runs_until(&self) -> Instant {
        if self.start.keyed.is_some() {
            self.deadline
        } else {
            Instant::now()
        }
    }

    fn turn_patience(&self) -> WaitLimits {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let start_within = Duration::from_millis(self.start_within_ms);
        WaitLimits {
            lock_wait: start_within.min(left).mul_f64(TURN_SHARE),
            response_wait: left,
        }
    }
}

impl Attempt {
    /// Sends the order, once it may go; `None` if the agent is not connected, in which
    /// case nothing was sent.
    ///
    /// Each way to a target leads through here, also that of a stream that is resumed,
    /// which brings the `clearance` of the run that it goes on with.
    pub(crate) async fn begin(
        node: &Arc<Node>,
        target: Arc<Target>,
        order: &Order,
        mut clearance: RunClearance,
    ) -> Result<Option<Self>, QuarantineRejection> {
        let identity = &order.identity;
        let patience = order.turn_patience();
        let suspects = &node.suspects;
        suspects
            .acquire_clearance(&**identity, &mut clearance, patience)
            .await?;
        // Nothing may be awaited between leave to go and the order.
        let Some(connection) = target.link.connection() else {
            return Ok(None);
        };
        let id = node.issue_id();
        let registration = target.link.register(id);
        let sent_ms = node.now_ms();
        let start_by_ms = connection.start_by_ms(sent_ms, order.start_within_ms);
        let left = order.deadline.saturating_duration_since(Instant::now());
        let start = Start {
            for_incarnation: connection.incarnation.0,
            start_by_ms,
            deadline_after_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..order.start.clone()
        };
        let mut exchange = AttemptState::new();
        let sent = SentRequest {
            blocks: &order.blocks,
            is_stream: order.is_stream,
        };
        target.on_dispatch(&sent, sent_ms);
        let mut attempt = Self {
            node: Arc::clone(node),
            id,
            target,
            registration: Some(registration),
            identity: Arc::clone(identity),
            clearance,
            runs_until: Some(order.runs_until()),
            start_by_ms,
            sent_ms,
            deadline: order.deadline,
            unreturned_bytes: 0,
            is_over: false,
            awaits_first_data: true,
            home_hint: None,
            retry_after_ms: None,
            exchange: AttemptState::new(),
            connection,
        };
        if !attempt.connection.send(id, Kind::Start(start)) {
            attempt.is_over = true;
            attempt.runs_until = None;
            return Ok(None);
        }
        exchange.on(Event::Sent);
        attempt.exchange = exchange;
        Ok(Some(attempt))
    }

    /// Gives what a run that goes on with this one needs.
    pub(crate) fn take_clearance(&mut self) -> RunClearance {
        std::mem::take(&mut self.clearance)
    }

    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    pub(crate) fn target(&self) -> Arc<Target> {
        Arc::clone(&self.target)
    }

    pub(crate) fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Waits for the next thing the request needs to know.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            let (event, kind) = self.receive().await;
            let Some(event) = event else {
                self.count_dropped();
                continue;
            };
            match self.exchange.on(event) {
                Action::Wait => {}
                Action::Drop => self.count_dropped(),
                Action::Deliver => match kind {
                    Some(Kind::Head(head)) => return Step::Head(head),
                    Some(Kind::Data(data)) => {
                        self.on_data(&data);
                        return Step::Data(data);
                    }
                    _ => {}
                },
                Action::SendRevoke => {
                    let verdict = self.revoke().await;
                    return self.over(verdict);
                }
                Action::Finish(verdict) => return self.over(verdict),
            }
        }
    }

    fn count_dropped(&self) {
        let dropped = &self.node.counters.dropped_frames;
        dropped.fetch_add(1, Ordering::Relaxed);
    }

    async fn receive(&mut self) -> (Option<Event>, Option<Kind>) {
        let registration = self.registration.as_mut().expect("only a drop takes it");
        let received = timeout_at(self.deadline, registration.frames.recv()).await;
        match received {
            Err(_elapsed) => (Some(Event::DeadlinePassed), None),
            Ok(None) => {
                self.runs_until = None;
                (Some(Event::LinkLost), None)
            }
            Ok(Some(kind)) => (self.event_of(&kind), Some(kind)),
        }
    }

    fn event_of(&mut self, kind: &Kind) -> Option<Event> {
        let event = match kind {
            Kind::Head(_) => Event::Head,
            Kind::Data(data) => Event::Data { seq: data.seq },
            Kind::End(end) => self.on_end(end),
            Kind::Refused(refused) => self.on_refused(refused),
            Kind::Revoked(revoked) => Event::Revoke(revoked.into()),
            // An agent sends nothing else about a request.
            _ => return None,
        };
        Some(event)
    }

    fn on_end(&mut self, end: &End) -> Event {
        // Where the deadline passes at the agent first, its target may end all the same, and
        // the agent tells so later.
        self.runs_until = self.runs_until.filter(|_| end.unsettled);
        on_run_end(&self.node, &self.identity, self.clearance.runs_alone(), end);
        Event::End {
            frames: end.frames,
            is_complete: end.whole,
        }
    }

    fn on_refused(&mut self, refused: &Refused) -> Event {
        self.runs_until = None;
        self.retry_after_ms = Some(refused.retry_after_ms);
        if !refused.home.is_empty() {
            self.home_hint = Some(refused.home.as_str().into());
        }
        match Refusal::parse(&refused.reason) {
            Some(refusal) if !refused.unknown => Event::Refused(refusal),
            // "Unknown", or a reason of a newer version: nothing is proved.
            _ => Event::End {
                frames: 0,
                is_complete: false,
            },
        }
    }

    fn on_data(&mut self, data: &Data) {
        if std::mem::take(&mut self.awaits_first_data) {
            self.target.on_first_token(self.sent_ms);
        }
        let bytes = u32::try_from(data.bytes.len()).unwrap_or(u32::MAX);
        self.unreturned_bytes = self.unreturned_bytes.saturating_add(bytes);
        if self.unreturned_bytes >= CREDIT_STEP_BYTES {
            let bytes = std::mem::take(&mut self.unreturned_bytes);
            self.connection
                .send(self.id, Kind::Credit(Credit { bytes }));
        }
    }

    fn over(&mut self, verdict: Verdict) -> Step {
        self.is_over = true;
        Step::Over(verdict)
    }

    /// Asks the agent to promise that the order will not run.
    ///
    /// The agent may be reachable over a fresh connection while the old one
    /// is dead. A new incarnation knows nothing of the order, so its answer
    /// proves nothing and is not asked for.
    async fn revoke(&mut self) -> Verdict {
        let bound = Instant::now() + REVOKE_BOUND;
        let mut registration = self.target.link.register(self.id);
        let sent_to = self.connection.incarnation;
        if self.ask_revoke(sent_to).await {
            let answer = timeout_at(bound, self.revoke_answer(&mut registration));
            if let Ok(Some(verdict)) = answer.await {
                return verdict;
            }
        }
        match self.exchange.on(Event::RevokeTimedOut) {
            Action::Finish(verdict) => verdict,
            _ => Verdict {
                outcome: Outcome::Unknown,
                begun: false,
                refusal: None,
            },
        }
    }

    /// What the agent's answer means; `None` if the connection was lost again.
    async fn revoke_answer(&mut self, registration: &mut Registration) -> Option<Verdict> {
        while let Some(kind) = registration.frames.recv().await {
            let event = self.event_of(&kind);
            match event.map(|event| self.exchange.on(event)) {
                Some(Action::Finish(verdict)) => return Some(verdict),
                _ => self.count_dropped(),
            }
        }
        None
    }

    async fn ask_revoke(&mut self, sent_to: Incarnation) -> bool {
        let Some(connection) = self.target.link.connected(REVOKE_BOUND).await else {
            return false;
        };
        let revoke = Revoke {
            for_incarnation: sent_to.0,
            start_by_ms: self.start_by_ms,
        };
        connection.incarnation == sent_to && connection.send(self.id, Kind::Revoke(revoke))
    }

    /// Waits for the target's agent, of whichever incarnation, to be
    /// connected.
    pub(crate) async fn reconnected(target: &Target, bound: Duration) -> bool {
        timeout(bound, target.link.connected(bound))
            .await
            .is_ok_and(|connection| connection.is_some())
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.target.on_end(self.sent_ms);
        if !self.is_over {
            self.connection.send(self.id, Kind::Cancel(Cancel {}));
        }
        let runtime = tokio::runtime::Handle::try_current();
        let (Some(registration), Some(runs_until), Ok(runtime)) =
            (self.registration.take(), self.runs_until, runtime)
        else {
            return;
        };
        let left = LeftRun {
            node: Arc::clone(&self.node),
            registration,
            identity: Arc::clone(&self.identity),
            clearance: self.take_clearance(),
            runs_until,
        };
        runtime.spawn(left.hear_out());
    }
}
