//! Runs one request, from its arrival to the end of its response.

use std::sync::Arc;
use std::time::Duration;

use berylhook_backpressure::signal::backoff_ms;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::ledger::RecordedResponse;
use berylhook_core::outcome::Refusal;
use berylhook_core::start_gate::RunCommand;
use berylhook_core::time::MonoMs;
use berylhook_peer::frame;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Data, End, Frame, Head, Header, Keyed, Refused, Start};
use berylhook_target::{Call, EventSplitter, EventTooLong, TargetError, TargetResponse};
use bytes::Bytes;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::timeout;

use crate::agent::{Agent, RunningRequest, lock};
use crate::home_shards::KeyedDecision;
use crate::keyed::{RunRecorder, decide_keyed};

/// Flow-control window: response body bytes that may be sent before the entry grants more credit.
pub(crate) const INITIAL_CREDIT_BYTES: usize = 256 << 10;

/// Largest response body that is recorded for retries of a keyed request.
const MAX_RECORDED_BODY_BYTES: usize = 64 << 10;

/// Most bytes of a response to a keyed request that are read after its entry has stopped receiving
/// it. They only show whether the run ends, so a response without end would be read forever.
const MAX_UNRECEIVED_BYTES: usize = 1 << 20;

/// How long after a run was abandoned an exit of the target is still reported to the entry. Within
/// this time, a target has either exited because of the run or detected that the client has
/// disconnected.
const ABANDONED_RUN_WINDOW: Duration = Duration::from_secs(1);

/// Retry delay for refused callers where no better estimate is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// Sends the frames of one request to its entry.
#[derive(Clone)]
pub(crate) struct ReplySender {
    pub(crate) id: RequestId,
    outgoing: mpsc::UnboundedSender<Frame>,
}

/// The connection to the entry has closed.
pub(crate) struct EntryDisconnected;

impl ReplySender {
    pub(crate) fn send(&self, kind: Kind) -> Result<(), EntryDisconnected> {
        self.outgoing
            .send(frame(self.id, kind))
            .map_err(|_| EntryDisconnected)
    }

    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.refuse_with_retry_after(refusal, RETRY_AFTER_MS);
    }

    fn refuse_with_retry_after(&self, refusal: Refusal, retry_after_ms: u64) {
        let refused = Refused {
            reason: refusal.as_str().to_owned(),
            retry_after_ms,
            ..Refused::default()
        };
        let _ = self.send(Kind::Refused(refused));
    }

    pub(crate) fn refuse_not_home(&self, home: &str) {
        let refused = Refused {
            reason: Refusal::NotHome.as_str().to_owned(),
            retry_after_ms: RETRY_AFTER_MS,
            home: home.to_owned(),
            unknown: false,
        };
        let _ = self.send(Kind::Refused(refused));
    }

    pub(crate) fn refuse_unknown(&self) {
        let refused = Refused {
            reason: "unknown".to_owned(),
            unknown: true,
            ..Refused::default()
        };
        let _ = self.send(Kind::Refused(refused));
    }
}

/// Starts a request, or refuses it.
pub(crate) fn start(
    agent: &Arc<Agent>,
    id: RequestId,
    start: Start,
    outgoing: &mpsc::UnboundedSender<Frame>,
) {
    let reply = ReplySender {
        id,
        outgoing: outgoing.clone(),
    };
    if let Err(refusal) = admit(agent, id, &start) {
        if !lock(&agent.start_gate).has_started(id) {
            log::info!("request {id} refused: {}", refusal.as_str());
            let backoff_left_ms = lock(&agent.admission_gate).backoff_left_ms(agent.now_ms());
            reply.refuse_with_retry_after(refusal, backoff_left_ms.max(RETRY_AFTER_MS));
        }
        return;
    }
    agent.request_started();
    let running = RunningRequest {
        credit: Arc::new(Semaphore::new(INITIAL_CREDIT_BYTES)),
        cancel: Arc::new(Notify::new()),
        target_incarnation: agent.target_incarnations.current(),
    };
    lock(&agent.running).insert(id, running.clone());
    let agent = Arc::clone(agent);
    tokio::spawn(async move {
        run_request(&agent, start, &reply, &running).await;
        agent.request_ended(id);
    });
}

fn admit(agent: &Agent, id: RequestId, start: &Start) -> Result<(), Refusal> {
    if agent.is_draining() && !is_only_home(agent, start) {
        return Err(Refusal::Draining);
    }
    let limit = agent.settings.concurrency;
    if limit > 0 && agent.in_flight() >= limit {
        return Err(Refusal::Busy);
    }
    // During a backoff of this target, another target may take the request.
    let mut admission_gate = lock(&agent.admission_gate);
    admission_gate.place();
    if admission_gate.admit(agent.now_ms()).is_err() {
        return Err(Refusal::Busy);
    }
    drop(admission_gate);
    let command = RunCommand {
        id,
        for_incarnation: Incarnation(start.for_incarnation),
        start_by_ms: MonoMs(start.start_by_ms),
    };
    lock(&agent.start_gate).start(command, agent.now_ms())
}

/// Whether no other agent may run the request, because this one is home to the shard of its key.
fn is_only_home(agent: &Agent, start: &Start) -> bool {
    let keyed = start.keyed.as_ref();
    keyed.is_some_and(|keyed| lock(&agent.home_shards).is_home_to(keyed.shard))
}

async fn run_request(
    agent: &Arc<Agent>,
    start: Start,
    reply: &ReplySender,
    running: &RunningRequest,
) {
    let deadline = Duration::from_millis(start.deadline_after_ms);
    // A keyed run continues after a cancellation, the deadline or the loss of its entry, and reports
    // its own end.
    let can_be_abandoned = start.keyed.is_none();
    let work = async {
        match start.keyed {
            Some(keyed) => handle_keyed(agent, start, &keyed, reply, running).await,
            None => run_unkeyed(agent, start, reply, running).await,
        }
    };
    tokio::select! {
        result = timeout(deadline, work) => {
            if result.is_err() {
                log::info!("request {} passed its deadline", reply.id);
                let _ = reply.send(Kind::End(End {
                    unsettled: can_be_abandoned,
                    ..End::default()
                }));
            } else {
                return;
            }
        }
        () = running.cancel.notified() => log::info!("request {} cancelled", reply.id),
        // A response is sent only over the connection that its request came by, so it cannot reach
        // an entry that has reconnected either.
        () = reply.outgoing.closed(), if can_be_abandoned => {
            log::info!("request {} cancelled: its entry has disconnected", reply.id);
            return;
        }
    }
    // A keyed run that continues does not wait for the entry to receive its response.
    running.credit.close();
    if can_be_abandoned {
        tokio::spawn(report_target_exit(
            Arc::clone(agent),
            reply.clone(),
            running.target_incarnation,
        ));
    }
}

/// Reports to the entry if the target exits soon after a run was abandoned.
async fn report_target_exit(agent: Arc<Agent>, reply: ReplySender, target_incarnation: u64) {
    if agent
        .target_incarnations
        .exits_within(target_incarnation, ABANDONED_RUN_WINDOW)
        .await
    {
        // The entry may have disconnected too.
        let _ = reply.send(Kind::End(End {
            ended_target: agent.exited_incarnation_name(target_incarnation),
            ..End::default()
        }));
    }
}

async fn run_unkeyed(
    agent: &Arc<Agent>,
    start: Start,
    reply: &ReplySender,
    running: &RunningRequest,
) {
    let call = target_call(start, reply.id);
    match agent.target.call(call).await {
        Ok(response) => {
            let mut sender = ResponseSender::new(agent, reply, running);
            // If the entry has disconnected, dropping the body cancels the request at the target.
            if sender.forward(response, None).await.is_some() {
                sender.send_complete_end();
            }
        }
        Err(TargetError::Unreachable(reason)) => {
            log::warn!("request {} did not reach the target: {reason}", reply.id);
            reply.refuse(Refusal::TargetUnreachable);
        }
        Err(error) => report_failure(agent, reply, running, &error).await,
    }
}

/// Handles a keyed request. A run continues even if the entry cancels it, because the caller's
/// retry needs the record of its outcome.
async fn handle_keyed(
    agent: &Arc<Agent>,
    start: Start,
    keyed: &Keyed,
    reply: &ReplySender,
    running: &RunningRequest,
) {
    match decide_keyed(agent, &start.entry, keyed).await {
        KeyedDecision::Run(recorder) => {
            let run = run_keyed(
                Arc::clone(agent),
                start,
                reply.clone(),
                running.clone(),
                recorder,
            );
            // Runs in a task of its own, so that neither the deadline nor a cancellation drops the
            // run between its effect and its record.
            let _ = tokio::spawn(run).await;
        }
        KeyedDecision::Repeat {
            response,
            is_lease_valid,
        } => {
            log::info!(
                "request {} answered from the record of its key; lease valid: {is_lease_valid}",
                reply.id
            );
            send_recorded_response(reply, &response);
        }
        KeyedDecision::Unknown => reply.refuse_unknown(),
        KeyedDecision::NotHome { home } => reply.refuse_not_home(&home),
        KeyedDecision::Refused(refusal) => reply.refuse(refusal),
    }
}

async fn run_keyed(
    agent: Arc<Agent>,
    start: Start,
    reply: ReplySender,
    running: RunningRequest,
    recorder: RunRecorder,
) {
    let call = target_call(start, reply.id);
    match agent.target.call(call).await {
        Ok(response) => {
            let mut sender = ResponseSender::new(&agent, &reply, &running);
            let recorded = sender
                .forward(response, Some(MAX_RECORDED_BODY_BYTES))
                .await;
            match recorded {
                // The caller is told of the end only once repeats get the same outcome.
                Some(recorded) => {
                    recorder.finish(&agent, Arc::new(recorded)).await;
                    sender.send_complete_end();
                }
                None => recorder.mark_interrupted(&agent),
            }
        }
        Err(TargetError::Unreachable(reason)) => {
            log::warn!("request {} did not reach the target: {reason}", reply.id);
            recorder.discard_not_run(&agent);
            reply.refuse(Refusal::TargetUnreachable);
        }
        Err(error) => {
            recorder.mark_interrupted(&agent);
            report_failure(&agent, &reply, &running, &error).await;
        }
    }
}

async fn report_failure(
    agent: &Agent,
    reply: &ReplySender,
    running: &RunningRequest,
    error: &TargetError,
) {
    log::warn!("request {} failed: {error}", reply.id);
    let _ = reply.send(Kind::End(End {
        ended_target: agent.exited_target_name(running.target_incarnation).await,
        ..End::default()
    }));
}

fn send_recorded_response(reply: &ReplySender, response: &RecordedResponse) {
    let head = Head {
        status: u32::from(response.status),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: Bytes::copy_from_slice(response.content_type.as_bytes()),
        }],
        repeated_answer: true,
    };
    let _ = reply.send(Kind::Head(head));
    let bytes = response.body.clone().unwrap_or_default();
    let _ = reply.send(Kind::Data(Data {
        seq: 0,
        bytes: bytes.into(),
        events: 0,
    }));
    let _ = reply.send(Kind::End(End {
        frames: 1,
        whole: true,
        ..End::default()
    }));
}

fn target_call(start: Start, id: RequestId) -> Call {
    let repeatable = start.keyed.is_none();
    let mut headers: Vec<_> = start
        .headers
        .into_iter()
        .map(|header| (header.name, header.value))
        .collect();
    headers.push(("x-request-id".to_owned(), Bytes::from(id.to_string())));
    match start.resume {
        Some(resume) if resume.from_event > 0 => Call {
            method: "GET".to_owned(),
            path: format!(
                "/v1/streams/{}?from={}",
                resume.stream_id, resume.from_event
            ),
            headers,
            body: Bytes::new(),
            repeatable,
        },
        resume => {
            if let Some(resume) = resume {
                headers.push(("x-stream-id".to_owned(), Bytes::from(resume.stream_id)));
            }
            Call {
                method: start.method,
                path: start.path,
                headers,
                body: start.body,
                repeatable,
            }
        }
    }
}

/// Status with which a target asks for backoff, for the time in its `retry-after` header.
const BACKOFF_STATUS: u16 = 503;

fn update_backoff(agent: &Agent, response: &TargetResponse) {
    let now_ms = agent.now_ms();
    let retry_after = response.headers.get("retry-after");
    let backoff_header = retry_after.filter(|_| response.status == BACKOFF_STATUS);
    let mut admission_gate = lock(&agent.admission_gate);
    let Some(value) = backoff_header else {
        admission_gate.on_accepted(now_ms);
        return;
    };
    let requested_ms = backoff_ms(value.as_bytes());
    // This agent is the target's only client, so the backoff needs no jitter.
    if admission_gate.start_backoff(requested_ms, 0, now_ms) == 0 {
        log::info!(
            "the target asks for {requested_ms} ms of backoff; requests are refused meanwhile"
        );
    }
}

/// Sends the numbered frames of a response, within the entry's flow-control credit.
struct ResponseSender<'a> {
    agent: &'a Agent,
    reply: &'a ReplySender,
    running: &'a RunningRequest,
    next_seq: u64,
    /// Whether no entry receives the response any more.
    is_abandoned: bool,
}

impl<'a> ResponseSender<'a> {
    fn new(agent: &'a Agent, reply: &'a ReplySender, running: &'a RunningRequest) -> Self {
        Self {
            agent,
            reply,
            running,
            next_seq: 0,
            is_abandoned: false,
        }
    }

    /// Forwards the response, and returns the record of it if it is complete. The entry is not told
    /// of the end yet; see [`Self::send_complete_end`].
    ///
    /// With `record_limit_bytes`, the response is read to its end even if no entry receives it any
    /// more, and a body up to that size is recorded; a longer one is read up to
    /// [`MAX_UNRECEIVED_BYTES`]. Otherwise reading stops once no entry receives it.
    async fn forward(
        &mut self,
        mut response: TargetResponse,
        record_limit_bytes: Option<usize>,
    ) -> Option<RecordedResponse> {
        self.agent
            .target_incarnations
            .on_response(self.running.target_incarnation);
        update_backoff(self.agent, &response);
        let content_type = content_type(&response);
        let mut splitter = content_type
            .starts_with("text/event-stream")
            .then(EventSplitter::default);
        self.send(Kind::Head(head(&response)));
        let mut recorded_body = Vec::new();
        let mut is_recordable = true;
        let mut unreceived_bytes = 0;
        loop {
            match response.body.next_chunk().await {
                Ok(Some(chunk)) => {
                    is_recordable &= record_limit_bytes.is_some_and(|limit_bytes| {
                        recorded_body.len() + chunk.len() <= limit_bytes
                    });
                    if is_recordable {
                        recorded_body.extend_from_slice(&chunk);
                    }
                    if let Err(error) = self.send_chunk(&chunk, splitter.as_mut()).await {
                        log::warn!("request {}: {error}", self.reply.id);
                        self.send_interrupted_end().await;
                        return None;
                    }
                    if self.is_abandoned && record_limit_bytes.is_none() {
                        return None;
                    }
                    if self.is_abandoned {
                        unreceived_bytes += chunk.len();
                    }
                    if unreceived_bytes > MAX_UNRECEIVED_BYTES {
                        log::warn!(
                            "request {}: more than {MAX_UNRECEIVED_BYTES} bytes of its response came after its entry had gone; check the target",
                            self.reply.id
                        );
                        self.send_interrupted_end().await;
                        return None;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("request {}: {error}", self.reply.id);
                    self.send_interrupted_end().await;
                    return None;
                }
            }
        }
        let remaining = splitter.map(EventSplitter::into_remainder);
        match remaining.filter(|remaining| !remaining.is_empty()) {
            Some(_) if response.body.ends_with_connection() => {
                log::warn!(
                    "request {}: the target closed the connection inside an event",
                    self.reply.id
                );
                self.send_interrupted_end().await;
                return None;
            }
            Some(remaining) => self.send_data(remaining, 0).await,
            None => {}
        }
        Some(RecordedResponse {
            status: response.status,
            content_type,
            body: is_recordable.then_some(recorded_body),
        })
    }

    async fn send_chunk(
        &mut self,
        chunk: &Bytes,
        splitter: Option<&mut EventSplitter>,
    ) -> Result<(), EventTooLong> {
        match splitter {
            None => self.send_data(chunk.clone(), 0).await,
            Some(splitter) => {
                if let Some(events) = splitter.push(chunk)? {
                    self.send_data(events.bytes, events.count).await;
                }
            }
        }
        Ok(())
    }

    async fn send_data(&mut self, bytes: Bytes, events: u32) {
        if self.is_abandoned || bytes.is_empty() {
            return;
        }
        // A chunk larger than the window would wait for credit forever, so it is split.
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let part = remaining.split_to(remaining.len().min(INITIAL_CREDIT_BYTES / 4));
            let part_events = if remaining.is_empty() { events } else { 0 };
            if !self.acquire_credit(part.len()).await {
                return;
            }
            let seq = self.next_seq;
            self.next_seq += 1;
            self.send(Kind::Data(Data {
                seq,
                bytes: part,
                events: part_events,
            }));
        }
    }

    /// Waits for credit for `bytes`; returns false if no entry receives the response any more.
    async fn acquire_credit(&mut self, bytes: usize) -> bool {
        let bytes = u32::try_from(bytes).expect("parts are smaller than the window");
        tokio::select! {
            permit = self.running.credit.acquire_many(bytes) => match permit {
                Ok(permit) => {
                    permit.forget();
                    true
                }
                Err(_) => {
                    self.is_abandoned = true;
                    false
                }
            },
            () = self.reply.outgoing.closed() => {
                self.is_abandoned = true;
                false
            }
        }
    }

    fn send_complete_end(&mut self) {
        self.send(Kind::End(End {
            frames: self.next_seq,
            whole: true,
            ..End::default()
        }));
    }

    async fn send_interrupted_end(&mut self) {
        let ended_target = self
            .agent
            .exited_target_name(self.running.target_incarnation)
            .await;
        self.send(Kind::End(End {
            frames: self.next_seq,
            ended_target,
            ..End::default()
        }));
    }

    fn send(&mut self, kind: Kind) {
        if self.reply.send(kind).is_err() {
            self.is_abandoned = true;
        }
    }
}

fn content_type(response: &TargetResponse) -> String {
    response
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Headers that describe the connection to the target, not the response.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

fn head(response: &TargetResponse) -> Head {
    let headers = response
        .headers
        .iter()
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    Head {
        status: u32::from(response.status),
        headers,
        repeated_answer: false,
    }
}
