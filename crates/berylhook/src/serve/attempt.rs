//! One attempt to run a request: a run command sent over one link, and the frames sent in reply.
//!
//! [`AttemptState`] decides what each frame means. This module receives the frames, returns
//! flow-control credit and carries out revocations.

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
use berylhook_quarantine::{QuarantineRejection, RunClearance, SurvivalCheck, WaitLimits};
use berylhook_response_head::is_final_status;
use tokio::time::{Instant, timeout, timeout_at};

use super::fleet::Target;
use super::link::{Connection, Registration};
use super::node::Node;
use super::quarantine::{AbandonedRun, CallIdentity, RunEvidence, on_run_end};

/// Time allowed to reconnect to an agent and to receive its reply to a revoke.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fraction of the time allowed until the start of a run that a suspect request may wait for its
/// run lock. The rest is left for the caller to retry.
const LOCK_WAIT_FRACTION: f64 = 0.4;

/// Flow-control credit is returned to the agent each time this many bytes have been received.
const CREDIT_STEP_BYTES: u32 = 64 << 10;

/// A result of [`Attempt::next`].
pub(crate) enum AttemptOutput {
    /// Status and headers of the response.
    Head(Head),
    /// The next chunk of the response body.
    Data(Data),
    /// The attempt has finished with this verdict.
    Finished(Verdict),
}

/// A running attempt. Dropping it before it has finished sends a cancel to the agent.
pub(crate) struct Attempt {
    node: Arc<Node>,
    id: RequestId,
    target: Arc<Target>,
    connection: Arc<Connection>,
    /// `None` only while the attempt is being dropped.
    registration: Option<Registration>,
    identity: Arc<CallIdentity>,
    /// Quarantine clearance for the run; released after the run, or passed on to a run that resumes
    /// it.
    clearance: RunClearance,
    /// Latest time at which the target may still be running the request; `None` once the agent has
    /// reported the outcome or can no longer report it.
    may_run_until: Option<Instant>,
    state: AttemptState,
    start_by_ms: u64,
    sent_ms: MonoMs,
    deadline: Instant,
    unreturned_bytes: u32,
    is_finished: bool,
    awaits_first_data: bool,
    /// Whether the target may have begun to respond. A response that is not streamed has no part
    /// that would show it.
    may_have_begun: bool,
    survival: SurvivalCheck,
    /// The agent that a refusing agent believes to be the home (owner) of the idempotency key's
    /// shard.
    pub(crate) home_hint: Option<Arc<str>>,
    /// Delay after which a refusing agent allows a retry.
    pub(crate) retry_after_ms: Option<u64>,
}

/// What is sent to an agent to run a request.
pub(crate) struct RunCommand {
    pub(crate) start: Start,
    pub(crate) start_within_ms: u64,
    pub(crate) deadline: Instant,
    /// Hashes of the blocks of the body, by which routing finds targets with a cached prefix.
    pub(crate) blocks: Vec<u64>,
    /// Whether the caller requested a streamed response.
    pub(crate) is_stream: bool,
    /// Identifies repeats of the same request to the quarantine.
    pub(crate) identity: Arc<CallIdentity>,
}

impl RunCommand {
    /// Latest time at which a target may still be running the request after its caller has
    /// disconnected. A keyed run continues until its deadline, so that its response can be
    /// recorded.
    fn may_run_until(&self) -> Instant {
        if self.start.keyed.is_some() {
            self.deadline
        } else {
            Instant::now()
        }
    }

    fn wait_limits(&self) -> WaitLimits {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let start_within = Duration::from_millis(self.start_within_ms);
        WaitLimits {
            lock_wait: start_within.min(remaining).mul_f64(LOCK_WAIT_FRACTION),
            response_wait: remaining,
        }
    }
}

impl Attempt {
    /// Sends the run command once the quarantine allows it. Returns `None` if the agent is not
    /// connected, in which case nothing was sent.
    ///
    /// All runs start here, including those that resume a stream: a resumed stream passes the
    /// `clearance` of the run that it continues.
    pub(crate) async fn begin(
        node: &Arc<Node>,
        target: Arc<Target>,
        command: &RunCommand,
        mut clearance: RunClearance,
    ) -> Result<Option<Self>, QuarantineRejection> {
        let identity = &command.identity;
        let wait_limits = command.wait_limits();
        let suspects = &node.suspects;
        suspects
            .acquire_clearance(&**identity, &mut clearance, wait_limits)
            .await?;
        // There must be no await between the clearance and sending the command, since the clearance
        // is valid only until then.
        let Some(connection) = target.link.connection() else {
            return Ok(None);
        };
        let id = node.issue_id();
        let registration = target.link.register(id);
        let sent_ms = node.now_ms();
        let start_by_ms = connection.start_by_ms(sent_ms, command.start_within_ms);
        let remaining = command.deadline.saturating_duration_since(Instant::now());
        let start = Start {
            for_incarnation: connection.incarnation.0,
            start_by_ms,
            deadline_after_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            ..command.start.clone()
        };
        let mut state = AttemptState::new();
        let sent = SentRequest {
            blocks: &command.blocks,
            is_stream: command.is_stream,
        };
        target.on_dispatch(&sent, sent_ms);
        let mut attempt = Self {
            node: Arc::clone(node),
            id,
            target,
            registration: Some(registration),
            identity: Arc::clone(identity),
            clearance,
            may_run_until: Some(command.may_run_until()),
            start_by_ms,
            sent_ms,
            deadline: command.deadline,
            unreturned_bytes: 0,
            is_finished: false,
            awaits_first_data: true,
            may_have_begun: !command.is_stream,
            survival: SurvivalCheck::default(),
            home_hint: None,
            retry_after_ms: None,
            state: AttemptState::new(),
            connection,
        };
        if !attempt.connection.send(id, Kind::Start(start)) {
            attempt.is_finished = true;
            attempt.may_run_until = None;
            return Ok(None);
        }
        state.on(Event::Sent);
        attempt.state = state;
        Ok(Some(attempt))
    }

    /// Takes the clearance for a run that resumes this one.
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

    /// Waits for the next part of the response, or for the verdict.
    pub(crate) async fn next(&mut self) -> AttemptOutput {
        loop {
            let (event, kind) = self.receive().await;
            let Some(event) = event else {
                self.count_dropped();
                continue;
            };
            match self.state.on(event) {
                Action::Wait => {}
                Action::Drop => self.count_dropped(),
                Action::Deliver => match kind {
                    Some(Kind::Head(head)) => return AttemptOutput::Head(head),
                    Some(Kind::Data(data)) => {
                        self.on_data(&data);
                        return AttemptOutput::Data(data);
                    }
                    _ => {}
                },
                Action::SendRevoke => {
                    let verdict = self.revoke().await;
                    return self.finish(verdict);
                }
                Action::Finish(verdict) => return self.finish(verdict),
            }
        }
    }

    fn count_dropped(&self) {
        let dropped = &self.node.counters.dropped_frames;
        dropped.fetch_add(1, Ordering::Relaxed);
    }

    async fn receive(&mut self) -> (Option<Event>, Option<Kind>) {
        let registration = self
            .registration
            .as_mut()
            .expect("only `drop` takes the registration");
        let received = timeout_at(self.deadline, registration.frames.recv()).await;
        match received {
            Err(_elapsed) => (Some(Event::DeadlinePassed), None),
            Ok(None) => {
                self.may_run_until = None;
                (Some(Event::LinkLost), None)
            }
            Ok(Some(kind)) => (self.classify_frame(&kind), Some(kind)),
        }
    }

    fn classify_frame(&mut self, kind: &Kind) -> Option<Event> {
        let event = match kind {
            Kind::Head(head) => {
                self.may_have_begun = true;
                self.on_head(head)
            }
            Kind::Data(data) => Event::Data { seq: data.seq },
            Kind::End(end) => self.on_end(end),
            Kind::Refused(refused) => self.on_refused(refused),
            Kind::Revoked(revoked) => Event::Revoke(revoked.into()),
            Kind::GoAway(_) => {
                self.may_run_until = None;
                Event::GoAway
            }
            // An agent sends nothing else about a request.
            _ => return None,
        };
        Some(event)
    }

    /// Agents of earlier versions forward any status of their target.
    fn on_head(&self, head: &Head) -> Event {
        if u16::try_from(head.status).is_ok_and(is_final_status) {
            return Event::Head;
        }
        log::warn!(
            "request {}: status {} is not that of a final response; check the target's log",
            self.id,
            head.status
        );
        self.connection.send(self.id, Kind::Cancel(Cancel {}));
        Event::End {
            frames: 0,
            is_complete: false,
        }
    }

    fn on_end(&mut self, end: &End) -> Event {
        // If the agent's deadline passes first, the target may still exit because of this run, and
        // the agent reports that later.
        self.may_run_until = self.may_run_until.filter(|_| end.unsettled);
        let evidence = RunEvidence {
            identity: &self.identity,
            clearance: &self.clearance,
            may_have_begun: self.may_have_begun,
        };
        on_run_end(&self.node, &evidence, end);
        Event::End {
            frames: end.frames,
            is_complete: end.whole,
        }
    }

    fn on_refused(&mut self, refused: &Refused) -> Event {
        self.may_run_until = None;
        self.retry_after_ms = Some(refused.retry_after_ms);
        if !refused.home.is_empty() {
            self.home_hint = Some(refused.home.as_str().into());
        }
        match Refusal::parse(&refused.reason) {
            Some(refusal) if !refused.unknown => Event::Refused(refusal),
            // An unknown outcome, or a reason from a newer version, does not prove that the request
            // did not run.
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
        if self.survival.on_events(std::time::Instant::now()) {
            let parts = self.identity.shared_parts().as_slice();
            self.node.suspects.on_parts_survived(parts);
        }
        let bytes = u32::try_from(data.bytes.len()).unwrap_or(u32::MAX);
        self.unreturned_bytes = self.unreturned_bytes.saturating_add(bytes);
        if self.unreturned_bytes >= CREDIT_STEP_BYTES {
            let bytes = std::mem::take(&mut self.unreturned_bytes);
            self.connection
                .send(self.id, Kind::Credit(Credit { bytes }));
        }
    }

    fn finish(&mut self, verdict: Verdict) -> AttemptOutput {
        self.is_finished = true;
        AttemptOutput::Finished(verdict)
    }

    /// Asks the agent to guarantee that the command will not run.
    ///
    /// The agent may be reachable over a new connection while the old one is dead. A new
    /// incarnation of the agent knows nothing of the command: its reply would prove nothing, so no
    /// revoke is sent to it.
    async fn revoke(&mut self) -> Verdict {
        let deadline = Instant::now() + REVOKE_TIMEOUT;
        let mut registration = self.target.link.register(self.id);
        let agent_incarnation = self.connection.incarnation;
        if self.send_revoke(agent_incarnation).await {
            let reply = timeout_at(deadline, self.receive_revoke_reply(&mut registration));
            if let Ok(Some(verdict)) = reply.await {
                return verdict;
            }
        }
        match self.state.on(Event::RevokeTimedOut) {
            Action::Finish(verdict) => verdict,
            _ => Verdict {
                outcome: Outcome::Unknown,
                begun: false,
                refusal: None,
            },
        }
    }

    /// Waits for the agent's reply to a revoke; `None` if the connection was lost again.
    async fn receive_revoke_reply(&mut self, registration: &mut Registration) -> Option<Verdict> {
        while let Some(kind) = registration.frames.recv().await {
            let event = self.classify_frame(&kind);
            match event.map(|event| self.state.on(event)) {
                Some(Action::Finish(verdict)) => return Some(verdict),
                _ => self.count_dropped(),
            }
        }
        None
    }

    async fn send_revoke(&mut self, agent_incarnation: Incarnation) -> bool {
        let Some(connection) = self.target.link.wait_connected(REVOKE_TIMEOUT).await else {
            return false;
        };
        let revoke = Revoke {
            for_incarnation: agent_incarnation.0,
            start_by_ms: self.start_by_ms,
        };
        connection.incarnation == agent_incarnation
            && connection.send(self.id, Kind::Revoke(revoke))
    }

    /// Waits until the target's agent is connected, in any incarnation.
    pub(crate) async fn wait_reconnected(target: &Target, max_wait: Duration) -> bool {
        timeout(max_wait, target.link.wait_connected(max_wait))
            .await
            .is_ok_and(|connection| connection.is_some())
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.target.on_request_end(self.sent_ms);
        if !self.is_finished {
            self.connection.send(self.id, Kind::Cancel(Cancel {}));
        }
        let runtime = tokio::runtime::Handle::try_current();
        let (Some(registration), Some(may_run_until), Ok(runtime)) =
            (self.registration.take(), self.may_run_until, runtime)
        else {
            return;
        };
        let abandoned = AbandonedRun {
            node: Arc::clone(&self.node),
            registration,
            identity: Arc::clone(&self.identity),
            clearance: self.take_clearance(),
            may_have_begun: self.may_have_begun,
            may_run_until,
        };
        runtime.spawn(abandoned.await_outcome());
    }
}
