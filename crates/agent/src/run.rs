//! One order, from its arrival to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use berylhook_backpressure::signal::backoff_ms;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::ledger::RecordedResponse as RecordedAnswer;
use berylhook_core::outcome::Refusal;
use berylhook_core::start_gate::RunCommand;
use berylhook_core::time::MonoMs;
use berylhook_peer::frame;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Data, End, Frame, Head, Header, Keyed, Refused, Start};
use berylhook_target::{Call, EventSplitter, TargetError, TargetResponse};
use bytes::Bytes;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::timeout;

use crate::agent::{Agent, Running, lock};
use crate::home_shards::{KeyedDecision, Recorder, decide};

/// Body bytes an answer may be ahead of its reader.
pub(crate) const INITIAL_CREDIT_BYTES: usize = 256 << 10;

/// Largest body kept for repeats of a keyed request.
const MAX_KEPT_BODY_BYTES: usize = 64 << 10;

/// A target that ends under a run does so within this time of its cancellation, or has been
/// told that nobody waits.
const LEFT_COUNTS: Duration = Duration::from_secs(1);

/// When a refused caller should come back, where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// Where the frames of one order go.
#[derive(Clone)]
pub(crate) struct Reply {
    pub(crate) id: RequestId,
    outgoing: mpsc::UnboundedSender<Frame>,
}

/// The connection to the entry is gone.
pub(crate) struct EntryGone;

impl Reply {
    pub(crate) fn send(&self, kind: Kind) -> Result<(), EntryGone> {
        self.outgoing
            .send(frame(self.id, kind))
            .map_err(|_| EntryGone)
    }

    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.refuse_for(refusal, RETRY_AFTER_MS);
    }

    fn refuse_for(&self, refusal: Refusal, retry_after_ms: u64) {
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

/// Decides an order and starts it, or refuses it.
pub(crate) fn start(
    agent: &Arc<Agent>,
    id: RequestId,
    start: Start,
    outgoing: &mpsc::UnboundedSender<Frame>,
) {
    let reply = Reply {
        id,
        outgoing: outgoing.clone(),
    };
    if let Err(refusal) = admit(agent, id, &start) {
        if !lock(&agent.gate).has_started(id) {
            log::info!("request {id} refused: {}", refusal.as_str());
            let rest_left_ms = lock(&agent.pressure).backoff_left_ms(agent.now_ms());
            reply.refuse_for(refusal, rest_left_ms.max(RETRY_AFTER_MS));
        }
        return;
    }
    agent.begin();
    let running = Running {
        credit: Arc::new(Semaphore::new(INITIAL_CREDIT_BYTES)),
        cancel: Arc::new(Notify::new()),
        life: agent.lives.of_a_call(),
    };
    lock(&agent.running).insert(id, running.clone());
    let agent = Arc::clone(agent);
    tokio::spawn(async move {
        serve_order(&agent, start, &reply, &running).await;
        agent.end(id);
    });
}

fn admit(agent: &Agent, id: RequestId, start: &Start) -> Result<(), Refusal> {
    let bound = agent.settings.concurrency;
    if bound > 0 && agent.in_flight() >= bound {
        return Err(Refusal::Busy);
    }
    // The target asked for rest; another one may take the request.
    let mut pressure = lock(&agent.pressure);
    pressure.place();
    if pressure.admit(agent.now_ms()).is_err() {
        return Err(Refusal::Busy);
    }
    drop(pressure);
    let order = RunCommand {
        id,
        for_incarnation: Incarnation(start.for_incarnation),
        start_by_ms: MonoMs(start.start_by_ms),
    };
    lock(&agent.gate).start(order, agent.now_ms())
}

async fn serve_order(agent: &Arc<Agent>, start: Start, reply: &Reply, running: &Running) {
    let deadline = Duration::from_millis(start.deadline_after_ms);
    // A keyed run goes on, and tells its own end.
    let is_left_alone = start.keyed.is_none();
    let work = async {
        match start.keyed {
            Some(keyed) => serve_keyed(agent, start, &keyed, reply, running).await,
            None => serve_repeatable(agent, start, reply, running).await,
        }
    };
    tokio::select! {
        finished = timeout(deadline, work) => {
            if finished.is_err() {
                log::info!("request {} passed its deadline", reply.id);
                let _ = reply.send(Kind::End(End {
                    unsettled: is_left_alone,
                    ..End::default()
                }));
            } else {
                return;
            }
        }
        () = running.cancel.notified() => log::info!("request {} cancelled", reply.id),
    }
    if is_left_alone {
        tokio::spawn(tell_of_end(Arc::clone(agent), reply.clone(), running.life));
    }
}

/// Tells the entry if the target ends under a run for which nobody waits any more.
async fn tell_of_end(agent: Arc<Agent>, reply: Reply, life: u64) {
    if agent.lives.ends_within(life, LEFT_COUNTS).await {
        // The entry may have gone too.
        let _ = reply.send(Kind::End(End {
            ended_target: agent.name_of_ended(life),
            ..End::default()
        }));
    }
}

async fn serve_repeatable(agent: &Arc<Agent>, start: Start, reply: &Reply, running: &Running) {
    let call = call_of(start, reply.id);
    match agent.target.call(call).await {
        Ok(answer) => {
            let mut sender = AnswerSender::new(agent, reply, running);
            // The entry has gone: dropping the body cancels at the target.
            let _ = sender.pass_on(answer, None).await;
        }
        Err(TargetError::Unreachable(why)) => {
            log::warn!("request {} did not reach the target: {why}", reply.id);
            reply.refuse(Refusal::TargetUnreachable);
        }
        Err(error) => fail(agent, reply, running, &error).await,
    }
}

/// A keyed request goes on even if nobody waits for it any more: its record
/// must tell the caller's retry what became of it.
async fn serve_keyed(
    agent: &Arc<Agent>,
    start: Start,
    keyed: &Keyed,
    reply: &Reply,
    running: &Running,
) {
    match decide(agent, &start.entry, keyed).await {
        KeyedDecision::Run(recorder) => {
            let run = run_keyed(
                Arc::clone(agent),
                start,
                reply.clone(),
                running.clone(),
                recorder,
            );
            // A task of its own, so that neither the deadline nor a cancel
            // drops the run between its effect and its record.
            let _ = tokio::spawn(run).await;
        }
        KeyedDecision::Repeat(answer) => repeat_answer(reply, &answer),
        KeyedDecision::Unknown => reply.refuse_unknown(),
        KeyedDecision::NotHome { home } => reply.refuse_not_home(&home),
        KeyedDecision::Refused(refusal) => reply.refuse(refusal),
    }
}

async fn run_keyed(
    agent: Arc<Agent>,
    start: Start,
    reply: Reply,
    running: Running,
    recorder: Recorder,
) {
    let call = call_of(start, reply.id);
    match agent.target.call(call).await {
        Ok(answer) => {
            let mut sender = AnswerSender::new(&agent, &reply, &running);
            let recorded = sender.pass_on(answer, Some(MAX_KEPT_BODY_BYTES)).await;
            match recorded {
                Some(recorded) => recorder.finish(&agent, Arc::new(recorded)),
                None => recorder.cut_off(&agent),
            }
        }
        Err(TargetError::Unreachable(why)) => {
            log::warn!("request {} did not reach the target: {why}", reply.id);
            recorder.withdraw(&agent);
            reply.refuse(Refusal::TargetUnreachable);
        }
        Err(error) => {
            recorder.cut_off(&agent);
            fail(&agent, &reply, &running, &error).await;
        }
    }
}

async fn fail(agent: &Agent, reply: &Reply, running: &Running, error: &TargetError) {
    log::warn!("request {} failed: {error}", reply.id);
    let _ = reply.send(Kind::End(End {
        ended_target: agent.ended_target(running.life).await,
        ..End::default()
    }));
}

fn repeat_answer(reply: &Reply, answer: &RecordedAnswer) {
    let head = Head {
        status: u32::from(answer.status),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: Bytes::copy_from_slice(answer.content_type.as_bytes()),
        }],
        repeated_answer: true,
    };
    let _ = reply.send(Kind::Head(head));
    let bytes = answer.body.clone().unwrap_or_default();
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

fn call_of(start: Start, id: RequestId) -> Call {
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

/// The status by which a target refuses a request, with when it takes the next one.
const REFUSED_STATUS: u16 = 503;

fn note_pressure(agent: &Agent, answer: &TargetResponse) {
    let now_ms = agent.now_ms();
    let retry_after = answer.headers.get("retry-after");
    let asks_for_rest = retry_after.filter(|_| answer.status == REFUSED_STATUS);
    let mut pressure = lock(&agent.pressure);
    let Some(value) = asks_for_rest else {
        pressure.on_accepted(now_ms);
        return;
    };
    let rest_ms = backoff_ms(value.as_bytes());
    // One agent speaks for the target, so its rest needs no spread.
    if pressure.start_backoff(rest_ms, 0, now_ms) == 0 {
        log::info!("the target asks for {rest_ms} ms of rest; orders are refused meanwhile");
    }
}

/// Numbers the frames of an answer and keeps them within the entry's credit.
struct AnswerSender<'a> {
    agent: &'a Agent,
    reply: &'a Reply,
    running: &'a Running,
    next_seq: u64,
    entry_gone: bool,
}

impl<'a> AnswerSender<'a> {
    fn new(agent: &'a Agent, reply: &'a Reply, running: &'a Running) -> Self {
        Self {
            agent,
            reply,
            running,
            next_seq: 0,
            entry_gone: false,
        }
    }

    /// Passes the answer on; gives what to record of it if it was whole.
    ///
    /// With `keep_bytes` the answer is read to its end even when the entry
    /// has gone; without, reading stops then.
    async fn pass_on(
        &mut self,
        mut answer: TargetResponse,
        keep_bytes: Option<usize>,
    ) -> Option<RecordedAnswer> {
        self.agent.lives.on_answer(self.running.life);
        note_pressure(self.agent, &answer);
        let content_type = content_type(&answer);
        let mut splitter = content_type
            .starts_with("text/event-stream")
            .then(EventSplitter::default);
        self.send(Kind::Head(head(&answer)));
        let mut kept = Vec::new();
        let mut is_kept = true;
        loop {
            match answer.body.next_chunk().await {
                Ok(Some(chunk)) => {
                    is_kept &= keep_bytes.is_some_and(|most| kept.len() + chunk.len() <= most);
                    if is_kept {
                        kept.extend_from_slice(&chunk);
                    }
                    self.send_chunk(&chunk, splitter.as_mut()).await;
                    if self.entry_gone && keep_bytes.is_none() {
                        return None;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("request {}: {error}", self.reply.id);
                    self.break_off().await;
                    return None;
                }
            }
        }
        if let Some(rest) = splitter
            .map(EventSplitter::into_remainder)
            .filter(|rest| !rest.is_empty())
        {
            self.send_data(rest, 0).await;
        }
        self.end();
        Some(RecordedAnswer {
            status: answer.status,
            content_type,
            body: is_kept.then_some(kept),
        })
    }

    async fn send_chunk(&mut self, chunk: &Bytes, splitter: Option<&mut EventSplitter>) {
        match splitter {
            None => self.send_data(chunk.clone(), 0).await,
            Some(splitter) => {
                if let Some(events) = splitter.push(chunk) {
                    self.send_data(events.bytes, events.count).await;
                }
            }
        }
    }

    async fn send_data(&mut self, bytes: Bytes, events: u32) {
        if self.entry_gone || bytes.is_empty() {
            return;
        }
        // A chunk larger than the window would wait for ever, so it is cut.
        let mut rest = bytes;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(INITIAL_CREDIT_BYTES / 4));
            let part_events = if rest.is_empty() { events } else { 0 };
            if !self.take_credit(part.len()).await {
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

    /// Waits until the entry can take `bytes`; false once it has gone.
    async fn take_credit(&mut self, bytes: usize) -> bool {
        let bytes = u32::try_from(bytes).expect("parts are smaller than the window");
        tokio::select! {
            permit = self.running.credit.acquire_many(bytes) => match permit {
                Ok(permit) => {
                    permit.forget();
                    true
                }
                Err(_) => false,
            },
            () = self.reply.outgoing.closed() => {
                self.entry_gone = true;
                false
            }
        }
    }

    fn end(&mut self) {
        self.send(Kind::End(End {
            frames: self.next_seq,
            whole: true,
            ..End::default()
        }));
    }

    async fn break_off(&mut self) {
        let ended_target = self.agent.ended_target(self.running.life).await;
        self.send(Kind::End(End {
            frames: self.next_seq,
            ended_target,
            ..End::default()
        }));
    }

    fn send(&mut self, kind: Kind) {
        if self.reply.send(kind).is_err() {
            self.entry_gone = true;
        }
    }
}

fn content_type(answer: &TargetResponse) -> String {
    answer
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Headers that belong to the connection to the target, not to the answer.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

fn head(answer: &TargetResponse) -> Head {
    let headers = answer
        .headers
        .iter()
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    Head {
        status: u32::from(answer.status),
        headers,
        repeated_answer: false,
    }
}
