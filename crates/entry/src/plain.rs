//! Requests whose answer comes all at once.
//!
//! The answer is read to its end before any of it goes to the caller, so a
//! target that breaks off in mid-answer costs a caller nothing if the request
//! may be repeated, and is told as a failure if not. A broken answer never
//! looks whole.

use std::time::Duration;

use berylhook_quarantine::{QuarantineRejection, RunClearance};
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::target::Incarnation;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use crate::call::{Answer, CallError, SendResult};
use crate::connection_headers::strip_connection_headers;
use crate::job::Job;
use crate::queue::Hold;
use crate::responses::{Body, Own, promises_not_run, whole};

/// Largest answer held in memory.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Part of the time left that one target gets if another may be asked after
/// it. A target that hangs then costs less than half of the caller's time.
const FIRST_TARGET_SHARE: f64 = 0.4;

/// What one target made of the request.
enum Attempt {
    /// A genuine answer, whole.
    Answered(Box<WholeAnswer>),
    /// It did not run it.
    NotRun,
    /// The request may not go to any target.
    HeldBack(QuarantineRejection),
    /// The target takes none now, and was not sent it.
    Withheld,
    /// It may have run it.
    Unknown,
    /// It may have run it, and time is over.
    TooLate,
}

struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    fn into_response(self) -> Response<Body> {
        whole(self.status, self.headers, self.body)
    }
}

/// What is known after some attempts.
#[derive(Default)]
struct Sofar {
    tried: Vec<Incarnation>,
    sends: u32,
    may_have_run: bool,
    is_too_late: bool,
    failure: Option<Box<WholeAnswer>>,
}

/// Serves the request.
pub(crate) async fn run(job: Job) -> Response<Body> {
    if let Some(refusal) = job.refuse_if_held() {
        return refusal;
    }
    let Ok(mut hold) = job.enter().await else {
        return job.own(Own::NoPlace);
    };
    let mut sofar = Sofar::default();
    let mut clearance = RunClearance::default();
    loop {
        let may_repeat = job.route.retry_policy.allows_second_run();
        let is_last = sofar.sends + 1 >= job.route.max_targets;
        let bound = if may_repeat && !is_last {
            job.left().mul_f64(FIRST_TARGET_SHARE)
        } else {
            job.left()
        };
        let target = hold.target().clone();
        sofar.tried.push(target.incarnation.clone());
        let (attempt, was_sent) = attempt(&job, hold, bound, &mut clearance).await;
        sofar.sends += u32::from(was_sent);
        let next_is_second_send = !matches!(attempt, Attempt::Withheld);
        match attempt {
            Attempt::Answered(answer) if may_repeat && answer.is_failure() => {
                sofar.failure = Some(answer);
            }
            Attempt::Answered(answer) => {
                job.observe_answer();
                job.finish("answered", Some(answer.status.as_u16()));
                return answer.into_response();
            }
            Attempt::NotRun | Attempt::Withheld => {}
            Attempt::HeldBack(held) => return give_up_held(&job, sofar, held),
            Attempt::Unknown => sofar.may_have_run = true,
            Attempt::TooLate => {
                sofar.may_have_run = true;
                sofar.is_too_late = true;
            }
        }
        let has_run = sofar.may_have_run || sofar.failure.is_some();
        let may_go_on = (may_repeat || !has_run)
            && sofar.sends < job.route.max_targets
            && !job.left().is_zero()
            && (!next_is_second_send || job.queue.affords_repeat());
        let next = if may_go_on {
            job.queue.enter_again(&sofar.tried)
        } else {
            None
        };
        hold = match next {
            Some(next) => next,
            None => return give_up(&job, sofar),
        };
    }
}

fn give_up(job: &Job, sofar: Sofar) -> Response<Body> {
    if let Some(answer) = sofar.failure {
        job.finish("failed-by-target", Some(answer.status.as_u16()));
        return answer.into_response();
    }
    job.own(match sofar.may_have_run {
        true if sofar.is_too_late && job.left().is_zero() => Own::TooLate,
        true => Own::AnswerLost,
        false => Own::NotRun,
    })
}

/// Ends a request that may not go to any target. One that may have run is not told to
/// come back.
fn give_up_held(job: &Job, sofar: Sofar, held: QuarantineRejection) -> Response<Body> {
    if sofar.may_have_run || sofar.failure.is_some() {
        give_up(job, sofar)
    } else {
        job.hold_back(held)
    }
}

/// Sends the request to one target. Tells besides whether it was sent at all.
async fn attempt(
    job: &Job,
    mut hold: Hold,
    bound: Duration,
    clearance: &mut RunClearance,
) -> (Attempt, bool) {
    let target = hold.target().clone();
    let exchange = async {
        let answer = job.send(&mut hold, None, clearance).await?;
        if let Some(load) = answer.head.load {
            job.queue.on_load(&target.incarnation, load);
        }
        read(answer).await
    };
    let (attempt, result) = match timeout(bound, exchange).await {
        Err(_) if !job.is_at_target() => (
            Attempt::HeldBack(QuarantineRejection::OUT_OF_TIME),
            SendResult::HeldBack,
        ),
        Err(_) => (Attempt::TooLate, SendResult::Silent),
        Ok(Err(CallError::Unknown)) => (Attempt::Unknown, SendResult::AnswerLost),
        Ok(Err(CallError::HeldBack(held))) => (Attempt::HeldBack(held), SendResult::HeldBack),
        Ok(Err(CallError::Withheld(_))) => (Attempt::Withheld, SendResult::Withheld),
        Ok(Err(error)) => (Attempt::NotRun, error.into()),
        Ok(Ok(Read::NotRun(result))) => (Attempt::NotRun, result),
        Ok(Ok(Read::Broken)) => (Attempt::Unknown, SendResult::BrokenAnswer),
        Ok(Ok(Read::Whole(answer))) if answer.is_failure() => {
            (Attempt::Answered(answer), SendResult::Failed)
        }
        Ok(Ok(Read::Whole(answer))) => (Attempt::Answered(answer), SendResult::Answered),
    };
    job.log_send(&target, result);
    hold.close(evidence(result));
    (attempt, result.was_sent())
}

/// What the result says of the target. A failure is common where requests are at
/// fault themselves, so it says little of it.
fn evidence(result: SendResult) -> Option<HealthSample> {
    match result {
        SendResult::HeldBack | SendResult::Withheld | SendResult::AsksForRest => None,
        SendResult::Answered | SendResult::Failed => Some(HealthSample::Success),
        _ => Some(HealthSample::Failure),
    }
}

enum Read {
    Whole(Box<WholeAnswer>),
    NotRun(SendResult),
    Broken,
}

async fn read(answer: Answer) -> Result<Read, CallError> {
    let status = answer.response.status();
    if answer.head.is_not_run {
        return Ok(Read::NotRun(SendResult::of_refusal(status, &answer.head)));
    }
    if !answer.head.is_sealed || answer.head.is_encoded || promises_not_run(status) {
        return Ok(Read::Broken);
    }
    let (parts, body) = answer.response.into_parts();
    let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(Read::Broken),
    };
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    drop(answer.link);
    Ok(Read::Whole(Box::new(WholeAnswer {
        status,
        headers,
        body,
    })))
}
