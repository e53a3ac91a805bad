//! What survived runs say about parts of prompts, and to whom it is sent.
//!
//! A part that all requests have is at every exit, so it must not depend on a message for each of
//! its runs that it is known to be sound. Each process remembers the parts of its own survived runs.
//! They are sent once after an exit with the part: those before the exit by the process that reports
//! the exit, and by others if they know of a part that nobody has vouched for; those after the exit
//! by the first process that has one.

use std::time::Duration;

use berylhook_core::digest::{DigestKind, RequestDigest};
use berylhook_core::prompt::PromptPart;
use berylhook_core::quarantine::{Facts, QuarantineStatus, SurvivedRun, TargetExit};
use berylhook_core::time::{MonoMs, WallMs};
use indexmap::IndexSet;
use tokio::time::sleep;

use crate::replicator::Task;
use crate::suspects::{State, SuspectTracker};

/// Maximum delay before a process sends which parts of a peer's report it knows to be sound. Peers
/// send at different times, so most find that another one has already done so.
const MAX_SEND_DELAY_MS: u64 = 100;

impl State {
    /// The parts among the suspects that nobody has vouched for and of which this process remembers a
    /// survived run, with its time.
    fn remembered_runs(&self, suspects: &[RequestDigest]) -> Vec<(PromptPart, MonoMs)> {
        let parts = suspects.iter().filter_map(|digest| match digest.kind() {
            DigestKind::Part(part) | DigestKind::QueuedPart(part) => Some(part),
            DigestKind::Content => None,
        });
        let parts: IndexSet<PromptPart> = parts.collect();
        let unproven = parts
            .into_iter()
            .filter(|part| !self.quarantine.is_proven(*part));
        unproven
            .filter_map(|part| Some((part, self.proven_parts.last_survived_ms(part)?)))
            .collect()
    }
}

impl SuspectTracker {
    /// Reports that a target has begun to respond to a request with these parts and has survived
    /// it.
    pub fn on_parts_survived(&self, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut state = self.lock();
        for part in parts {
            state.proven_parts.insert(*part, now_ms);
        }
        if !self.is_active() {
            return;
        }
        let awaiting = parts
            .iter()
            .filter(|part| state.quarantine.awaits_survived_run(**part));
        let awaiting: Vec<PromptPart> = awaiting.copied().collect();
        if awaiting.is_empty() {
            return;
        }
        let mut survived_runs = Vec::new();
        for part in awaiting {
            let digest = RequestDigest::of_part(part);
            let survived = self.survived_run(digest, now_ms);
            let status = state.quarantine.status(digest, now_ms, WallMs::now());
            log::info!(part:% = part, standing = status.name(); "target survived a run of a suspected part");
            state.quarantine.on_survived_run(&survived);
            self.end_hold(&mut state, digest);
            survived_runs.push(survived);
        }
        self.publish_change(&state);
        drop(state);
        self.send_facts(Facts::new(Vec::new(), survived_runs, now_ms));
    }

    /// The survived runs that this process remembers of parts among the suspects which nobody has
    /// vouched for.
    pub(crate) fn earlier_survived_runs(
        &self,
        state: &State,
        suspects: &[RequestDigest],
    ) -> Vec<SurvivedRun> {
        let runs = state.remembered_runs(suspects).into_iter();
        runs.map(|(part, at_ms)| self.survived_run(RequestDigest::of_part(part), at_ms))
            .collect()
    }

    /// Requests that the survived runs which this process remembers of suspects that a peer has
    /// reported are sent, unless another process does so first.
    pub(crate) fn request_earlier_survived_runs(
        &self,
        state: &State,
        suspects: Vec<RequestDigest>,
    ) {
        if !state.remembered_runs(&suspects).is_empty() {
            self.send_task(Task::SendEarlierSurvivedRuns(suspects));
        }
    }

    /// Sends the survived runs that this process remembers of these suspects, after a random delay.
    pub(crate) async fn send_earlier_survived_runs(&self, suspects: &[RequestDigest]) {
        let delay_ms = rand::random_range(0..=MAX_SEND_DELAY_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        let survived_runs = {
            let mut state = self.lock();
            let survived_runs = self.earlier_survived_runs(&state, suspects);
            for survived in &survived_runs {
                state.quarantine.on_survived_run(survived);
            }
            if !survived_runs.is_empty() {
                self.publish_change(&state);
            }
            survived_runs
        };
        if !survived_runs.is_empty() {
            self.send_facts(Facts::new(Vec::new(), survived_runs, self.now_ms()));
        }
    }

    /// Logs the parts at an exit that are restricted now.
    pub(crate) fn log_restricted_parts(&self, state: &State, exit: &TargetExit) {
        let (now_ms, wall_ms) = (self.now_ms(), WallMs::now());
        for suspect in &exit.suspects {
            let (DigestKind::Part(part) | DigestKind::QueuedPart(part)) = suspect.digest.kind()
            else {
                continue;
            };
            let status = state
                .quarantine
                .status(RequestDigest::of_part(part), now_ms, wall_ms);
            if status != QuarantineStatus::Clear {
                log::warn!(
                    target = &*exit.target,
                    part:% = part,
                    standing = status.name();
                    "a target ended with a part of a prompt"
                );
            }
        }
    }
}
