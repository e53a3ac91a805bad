//! When a stream leaves its target for another one.
//!
//! A run that has ended is followed by another one if that is allowed. A run whose target is silent
//! is kept, as the target may still go on: it is read until another run, for which there are a slot
//! and a retry, has brought an event.

use std::future::pending;
use std::time::{Duration, Instant};

use berylhook_traffic::failover::{FailoverBlock, StreamRuns};
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::target::{Incarnation, Target};
use tokio::time::sleep;

use super::target_stream::TargetStream;
use super::{StartResult, StreamSession};
use crate::call::SendResult;
use crate::job::RunRecord;
use crate::queue::SlotGuard;

/// A stream leaves its target after this long without events, if nothing else arrives from that
/// target either. This leaves the next target half of the time that callers wait.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// A stream leaves a target that is cut off after this long without events.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two checks of a silent stream's target.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks whether the budget has a retry for an interrupted stream.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A run that is kept while another one starts, as its target is silent.
struct SilentRun {
    stream: Box<TargetStream>,
    target: Target,
    record: RunRecord,
    has_failed: bool,
}

impl SilentRun {
    /// Completes once the target has sent events or the proper end.
    async fn wait_until_continued(&mut self) {
        if !self.has_failed && self.stream.wait_for_events().await {
            return;
        }
        self.has_failed = true;
        pending::<()>().await;
    }
}

impl StreamSession {
    /// The slot of another run after one that has ended; `None` if no other run is possible.
    pub(super) async fn acquire_next_slot(&self) -> Option<SlotGuard> {
        self.runs(self.send_count).max_slot_wait().ok()?;
        if self.sends.is_next_a_retry() && !self.take_retry().await {
            return None;
        }
        let max_wait = self.runs(self.send_count).max_slot_wait().ok()?;
        let slot = self.acquire_other_slot(&self.tried_targets, max_wait).await;
        slot.ok()
    }

    /// Takes a retry from the budget, and waits for it where that is of use; returns whether there was
    /// one.
    async fn take_retry(&self) -> bool {
        let max_wait = self.runs(self.send_count).max_retry_wait();
        if !max_wait.is_zero() && !self.job.has_retry() {
            self.job.log_retry_wait(max_wait);
        }
        let started = Instant::now();
        loop {
            match self.job.has_retry() {
                true if self.job.try_take_retry() => return true,
                _ if started.elapsed() >= max_wait => return self.job.try_take_retry(),
                _ => sleep(RETRY_CHECK_INTERVAL).await,
            }
        }
    }

    /// Completes once the current target is silent and another run is possible, with the slot of
    /// that run. `sent` counts the sends so far.
    ///
    /// Before that, the current run must not be ended for its silence.
    pub(super) async fn wait_for_failover(&self, current: &Target, sent: u32) -> SlotGuard {
        self.wait_for_silence(&current.incarnation).await;
        let queue = &self.job.queue;
        queue.record_health(&current.incarnation, HealthSample::Failure);
        let mut is_logged = false;
        loop {
            let slot = Box::pin(self.try_acquire_failover(&current.incarnation, sent));
            let block = match slot.await {
                Ok(slot) => return slot,
                Err(block) => block,
            };
            if !is_logged {
                self.job.log_no_failover(current, block);
                is_logged = true;
            }
            if block.is_lasting() {
                return pending().await;
            }
            sleep(SILENCE_CHECK_INTERVAL).await;
            self.wait_for_silence(&current.incarnation).await;
        }
    }

    /// Starts another run in the next slot, while the silent one is still read. The first one that
    /// brings an event goes on, and the other one is cancelled.
    ///
    /// Returns the run that goes on; `None` if the silent one has ended without another one.
    pub(super) async fn fail_over(
        &mut self,
        silent: Box<TargetStream>,
    ) -> Option<Box<TargetStream>> {
        let mut silent = SilentRun {
            record: self.job.run_record(),
            target: silent.slot.target().clone(),
            stream: silent,
            has_failed: false,
        };
        self.job.mark_given_up();
        self.record_end_of_run(&silent.target, SendResult::StreamInterrupted);
        if self.clearance.is_exclusive() {
            return None;
        }
        while let Some(slot) = self.next_slot.take() {
            let target = slot.target().clone();
            let started = tokio::select! {
                started = self.start_run(slot) => started,
                () = silent.wait_until_continued() => {
                    self.record_superseded_send(&target);
                    break;
                }
            };
            let StartResult::Streaming(mut run) = started else {
                continue;
            };
            tokio::select! {
                has_events = run.wait_for_events() => {
                    if has_events {
                        return Some(run);
                    }
                    self.record_interruption(*run);
                }
                () = silent.wait_until_continued() => {
                    self.job.mark_given_up();
                    self.record_end_of_run(&target, SendResult::Superseded);
                }
                slot = self.wait_for_failover(&target, self.send_count) => {
                    self.next_slot = Some(slot);
                    self.job.mark_given_up();
                    self.record_interruption(*run);
                }
                () = sleep(self.job.remaining()) => self.record_interruption(*run),
            }
        }
        self.return_to(silent)
    }

    /// Records that a silent run has gone on before the target of another send has responded.
    fn record_superseded_send(&mut self, target: &Target) {
        if self.job.may_be_running() {
            self.job.mark_given_up();
            self.record_send(target, SendResult::Superseded);
        }
    }

    /// Goes on with a run that was silent; `None` if it has failed.
    fn return_to(&self, silent: SilentRun) -> Option<Box<TargetStream>> {
        if silent.has_failed {
            return None;
        }
        self.job.return_to_run(silent.record);
        self.job.log_stream_continued(&silent.target);
        Some(silent.stream)
    }

    /// Takes a slot at another target than `current`, and the retry for it.
    async fn try_acquire_failover(
        &self,
        current: &Incarnation,
        sent: u32,
    ) -> Result<SlotGuard, FailoverBlock> {
        let runs = StreamRuns {
            may_have_run: true,
            ..self.runs(sent)
        };
        let max_wait = runs.max_slot_wait()?;
        if !self.job.has_retry() {
            return Err(FailoverBlock::NoRetry);
        }
        let mut exclude = self.tried_targets.clone();
        exclude.push(current.clone());
        let slot = self.acquire_other_slot(&exclude, max_wait).await?;
        if slot.target().incarnation == *current || !self.is_silent(current) {
            return Err(FailoverBlock::NoSlot);
        }
        if self.job.try_take_retry() {
            Ok(slot)
        } else {
            Err(FailoverBlock::NoRetry)
        }
    }

    async fn acquire_other_slot(
        &self,
        exclude: &[Incarnation],
        max_wait: Duration,
    ) -> Result<SlotGuard, FailoverBlock> {
        if let Some(slot) = self.job.try_acquire_other_slot(exclude) {
            return Ok(slot);
        }
        let has_events = self.progress.resume_after().is_some();
        let slot = self.job.acquire_slot_to_resume(max_wait, has_events);
        slot.await.map_err(|_| FailoverBlock::NoSlot)
    }

    fn runs(&self, sent: u32) -> StreamRuns {
        StreamRuns {
            retry_policy: self.job.route.retry_policy,
            max_targets: self.job.route.max_targets,
            sent,
            may_have_run: self.may_have_run,
            is_position_known: self.progress.is_position_known(),
            gap: self.gap_started.elapsed(),
            disconnect_gap: self.job.disconnect_gap(),
            remaining: self.job.remaining(),
        }
    }

    /// Completes once this stream and its whole target are silent while other targets of the
    /// service are not.
    async fn wait_for_silence(&self, target: &Incarnation) {
        loop {
            let silent_for = self.silent_for();
            match CUT_OFF_TIMEOUT.checked_sub(silent_for) {
                Some(remaining) => sleep(remaining).await,
                None if self.is_silent(target) => return,
                None => sleep(SILENCE_CHECK_INTERVAL).await,
            }
        }
    }

    /// Whether this stream and its whole target are silent while other targets of the service are
    /// not.
    fn is_silent(&self, target: &Incarnation) -> bool {
        let silent_for = self.silent_for();
        let queue = &self.job.queue;
        silent_for >= CUT_OFF_TIMEOUT && queue.is_cut_off(target)
            || silent_for >= SILENCE_TIMEOUT && queue.is_silent(target)
    }

    /// Time for which the stream has waited for its target. One to which the request has not been
    /// sent yet, because it waits for its quarantine clearance, is idle and not silent, and the
    /// silence of a previous target is not held against the next one.
    fn silent_for(&self) -> Duration {
        let since_send = self.job.time_since_send().unwrap_or_default();
        self.gap_started.elapsed().min(since_send)
    }
}
