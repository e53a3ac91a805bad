//! Switches a group to a new map: prepare, pause, arm, release.
//!
//! `berylhook_experts::switching` explains the protocol and derives the next command from
//! the reports. This module adds the time-outs and retries.

use std::time::{Duration, Instant};

use berylhook_experts::adapt::AdaptedMap;
use berylhook_experts::switching::{
    CommandOutcome, Epoch, ExpertMap, MapVersion, Pass, RankCommand, RankReport, SwitchStep,
    is_ready_to_switch, next_step,
};
use berylhook_relay::{RelayReply, RelayRequest};
use tokio::time::sleep;

use crate::group_loop::{GroupLoop, PendingPause, reports_from};

/// Interval between checks whether all ranks have copied their experts.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Time-out of the copies of one switch. Copying one expert takes about a tenth of a second.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before a prepare command without a reply is sent again. The agent has already
/// waited for a reply of the engine, a repeated command does no harm, and all ranks wait for
/// the one that has not begun to copy.
const PREPARE_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Time-out of the check, before a switch, whether ranks reply to commands.
const COMMAND_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a switch after ranks did not reply to commands. Each attempt copies experts,
/// which makes passes longer.
const UNANSWERED_COMMANDS_BACKOFF: Duration = Duration::from_secs(1);

/// After an unanswered prepare command, a switch begins only if at most one in this number of
/// ranks does not reply. Two rounds of commands are then enough to reach all ranks.
const RANKS_PER_MISSING_REPLY: usize = 16;

/// Distance from the last pass begun to the pass that switches.
///
/// The pause has to arrive before its pass begins. This takes a few milliseconds, and a pass
/// takes several tens of milliseconds, so the pause usually arrives in time for the next
/// pass. If it does not, it has no effect, and the following pass is tried. With a distance of
/// two, each map change cost one more pass with the old map, which takes twice as long as
/// usual after a shift of demand.
const PASSES_AHEAD: u64 = 1;

/// Maximum number of passes tried for one map change.
const MAX_PAUSE_ATTEMPTS: usize = 4;

/// Interval between polls of a switch that makes no progress.
const STALLED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time-out of a step of a switch, after which all engines are polled again, as one of them
/// may have been replaced. The switch is then continued from the new reports.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

impl GroupLoop {
    /// Switches the group to a new map.
    pub(crate) async fn switch(&mut self, epoch: Epoch, adapted: AdaptedMap) {
        let began = Instant::now();
        let version = self.issue_version();
        let command = RankCommand::Prepare {
            epoch,
            version,
            map: adapted.map.clone(),
        };
        let prepared = self.prepare(&command, adapted.max_copies_per_rank).await;
        let copied_ms = elapsed_ms(began);
        let paused = match prepared {
            Some(prepared)
                if prepared.had_unanswered_command && !self.do_ranks_reply(&command).await =>
            {
                None
            }
            Some(prepared) => self.pause(epoch, version, prepared.reports).await,
            None => None,
        };
        let pass = paused.as_ref().map(|(pass, _)| *pass);
        let is_switched = match paused {
            Some((_, reports)) => {
                self.advance_switch(Some(reports)).await;
                self.has_switched_to(version).await
            }
            None => false,
        };
        let pausing_engine = self.reserved_engine();
        log::info!(
            group = &*self.name,
            version,
            pass = pass.unwrap_or_default(),
            copies = adapted.copies,
            skew_before = adapted.skew_before,
            skew_after = adapted.skew_after,
            slowest = self.max_slowdown(),
            copied_ms,
            after_ms = elapsed_ms(began),
            pausing_engine = &*pausing_engine,
            is_switched;
            "map changed"
        );
        if is_switched {
            self.epoch_state.map = Some((epoch, version, adapted.map));
        }
        let is_paused = pass.is_some() && !is_switched;
        self.update_reservation(is_paused || self.epoch_state.pending_pause.is_some());
    }

    /// Whether most ranks currently reply to commands.
    ///
    /// A paused group is stalled until the last rank is armed, so no switch begins while
    /// commands have to be repeated. The check repeats the prepare command, which the ranks
    /// have already executed, so it has no effect.
    async fn do_ranks_reply(&mut self, prepared: &RankCommand) -> bool {
        let began = Instant::now();
        while began.elapsed() < COMMAND_CHECK_TIMEOUT && !self.leadership.is_succeeded() {
            let request = |_| RelayRequest {
                commands: vec![prepared.clone()],
                ..RelayRequest::default()
            };
            let replies = self.request_all(request).await;
            let unanswered = replies.iter().filter(|reply| !has_replied(reply));
            if unanswered.count() * RANKS_PER_MISSING_REPLY <= replies.len() {
                return true;
            }
            sleep(COPY_POLL_INTERVAL).await;
        }
        log::info!(group = &*self.name; "map switch cancelled: too many ranks did not reply to commands");
        self.commands_unanswered_at = Some(Instant::now());
        false
    }

    /// The reports of all ranks as they are now; `None` if one does not reply in time.
    ///
    /// A rank that has copied its experts is not polled again. If its VM freezes between that and
    /// the pause, the group would be paused until the VM resumes, as the rank cannot be armed.
    async fn current_reports(&mut self) -> Option<Vec<Option<RankReport>>> {
        let began = Instant::now();
        let mut reports: Vec<Option<RankReport>> = vec![None; self.rank_count()];
        while began.elapsed() < COMMAND_CHECK_TIMEOUT && !self.leadership.is_succeeded() {
            let missing: Vec<usize> = (0..reports.len())
                .filter(|rank| reports[*rank].is_none())
                .collect();
            let replies = self.request(&missing, |_| RelayRequest::default()).await;
            for (rank, reply) in missing.into_iter().zip(replies) {
                reports[rank] = reply.report;
            }
            if reports.iter().all(Option::is_some) {
                return Some(reports);
            }
            sleep(STALLED_POLL_INTERVAL).await;
        }
        log::info!(group = &*self.name; "map switch cancelled: a rank has stopped replying");
        self.commands_unanswered_at = Some(Instant::now());
        None
    }

    /// Whether a switch was recently cancelled because ranks did not reply to commands.
    pub(crate) fn were_commands_unanswered(&self) -> bool {
        let cancelled = self.commands_unanswered_at;
        cancelled.is_some_and(|at| at.elapsed() < UNANSWERED_COMMANDS_BACKOFF)
    }

    /// Issues a new map version and records it as the newest of the group.
    fn issue_version(&mut self) -> MapVersion {
        self.epoch_state.newest = self.leadership.issue_version();
        self.epoch_state.newest
    }

    /// Makes all ranks copy the experts of a map, at most `copies` per rank. Returns their
    /// reports once all are ready, or `None` if a rank refuses, the epoch changes or the time-out
    /// expires.
    ///
    /// When a leader polled 72 ranks every few milliseconds, processing the replies made a map
    /// change 0.1 s longer. A rank that has accepted the command is therefore not polled until
    /// its copies should be done, and a rank that has reported that it is ready is not polled
    /// again: it stays ready until this leader sends another command.
    async fn prepare(&mut self, command: &RankCommand, copies: usize) -> Option<PreparedRanks> {
        let RankCommand::Prepare { epoch, version, .. } = *command else {
            return None;
        };
        let ranks = self.rank_count();
        let began = Instant::now();
        let copied_at = began + self.copy_time(copies);
        let mut tries = vec![Attempt::Unsent; ranks];
        let mut latest_reports: Vec<Option<RankReport>> = vec![None; ranks];
        let mut had_unanswered_command = false;
        while began.elapsed() < COPY_TIMEOUT && self.may_begin_pause() {
            let is_copied = Instant::now() >= copied_at;
            let is_not_ready =
                |rank: &usize| !is_ready_to_switch(&latest_reports[*rank..=*rank], epoch, version);
            let ranks_to_poll: Vec<usize> = (0..ranks)
                .filter(is_not_ready)
                .filter(|rank| is_copied || tries[*rank].is_due())
                .collect();
            let request = |rank: usize| RelayRequest {
                commands: tries[rank]
                    .is_due()
                    .then(|| command.clone())
                    .into_iter()
                    .collect(),
                ..RelayRequest::default()
            };
            let replies = self.request(&ranks_to_poll, request).await;
            for (rank, reply) in ranks_to_poll.into_iter().zip(replies) {
                match reply.outcomes.first() {
                    Some(CommandOutcome::Accepted) => tries[rank] = Attempt::Accepted,
                    // If an earlier command got no reply, the rank may have accepted that
                    // one and refuse the repeated command.
                    Some(CommandOutcome::Refused) if tries[rank] == Attempt::Unsent => return None,
                    Some(_) => {
                        tries[rank] = Attempt::SentAt(Instant::now());
                        had_unanswered_command = true;
                    }
                    None => {}
                }
                latest_reports[rank] = reply.report;
            }
            if is_ready_to_switch(&latest_reports, epoch, version) {
                return Some(PreparedRanks {
                    reports: latest_reports,
                    had_unanswered_command,
                });
            }
            if latest_reports
                .iter()
                .flatten()
                .any(|report| report.epoch != epoch)
            {
                return None;
            }
            sleep(COPY_POLL_INTERVAL).await;
        }
        None
    }

    /// Makes one rank pause the group. Returns the paused pass and the ranks' reports, once a
    /// report shows the pause.
    ///
    /// No newer version may be prepared until a report shows the pause, or its pass has begun
    /// without it. The pause is recorded as pending until then.
    async fn pause(
        &mut self,
        epoch: Epoch,
        version: MapVersion,
        mut reports: Vec<Option<RankReport>>,
    ) -> Option<(Pass, Vec<Option<RankReport>>)> {
        for _ in 0..MAX_PAUSE_ATTEMPTS {
            let rank = self.pausing_rank(&mut reports).await?;
            reports = self.current_reports().await?;
            if !is_ready_to_switch(&reports, epoch, version) {
                return None;
            }
            if !self.may_begin_pause() {
                return None;
            }
            let last = reports.iter().flatten().map(|report| report.pass).max()?;
            let pass = last + PASSES_AHEAD;
            let pause = PendingPause { epoch, pass, rank };
            self.epoch_state.pending_pause = Some(pause);
            match self.send_pause(pause).await {
                PauseStatus::Paused => {
                    reports[rank].as_mut()?.paused_before = Some(pass);
                    return Some((pass, reports));
                }
                PauseStatus::Missed => {}
                PauseStatus::Unknown => return None,
            }
        }
        None
    }

    /// Whether this leader has the time to complete a switch that has not paused the group yet.
    fn may_begin_pause(&self) -> bool {
        !self.leadership.is_succeeded() && !self.leadership.is_closing()
    }

    /// Whether a pause command may still be executed that no report has shown yet.
    pub(crate) fn is_pause_pending(&self, epoch: Epoch, reports: &[Option<RankReport>]) -> bool {
        let pending = self.epoch_state.pending_pause;
        let has_begun = |pass: Pass| reports.iter().flatten().any(|report| report.pass >= pass);
        pending.is_some_and(|pause| pause.epoch == epoch && !has_begun(pause.pass))
    }

    /// Resends the pending pause command, and continues the switch if the group is paused.
    pub(crate) async fn resume_pending_pause(&mut self) {
        let Some(pause) = self.epoch_state.pending_pause else {
            return;
        };
        if self.send_pause(pause).await == PauseStatus::Paused {
            self.advance_switch(None).await;
        }
    }

    /// Sends the pause command repeatedly, until a report shows the pause, its pass has begun,
    /// or the time-out expires.
    async fn send_pause(&mut self, pause: PendingPause) -> PauseStatus {
        let PendingPause { epoch, pass, rank } = pause;
        let began = Instant::now();
        let command = RankCommand::Pause { epoch, pass };
        while began.elapsed() < STEP_TIMEOUT && !self.leadership.is_succeeded() {
            let request = |_| RelayRequest {
                commands: vec![command.clone()],
                ..RelayRequest::default()
            };
            let replies = self.request(&[rank], request).await;
            let report = replies.into_iter().find_map(|reply| reply.report);
            match report.map(|report| pause_status(&report, epoch, pass)) {
                Some(PauseStatus::Unknown) => {}
                Some(status) => {
                    self.epoch_state.pending_pause = None;
                    return status;
                }
                None => sleep(STALLED_POLL_INTERVAL).await,
            }
        }
        PauseStatus::Unknown
    }

    /// Continues the switch in progress until it is complete, or has made no progress for
    /// [`STEP_TIMEOUT`].
    ///
    /// `known` are reports that were read after this leader's last command. Without them, all
    /// ranks are polled first. Afterwards only the ranks that get a command are polled, as the
    /// reports of the others do not change while the group is paused.
    pub(crate) async fn advance_switch(&mut self, mut known: Option<Vec<Option<RankReport>>>) {
        let began = Instant::now();
        let mut progressed_at = began;
        let mut last_commands = Vec::new();
        let newest = self.epoch_state.newest;
        while progressed_at.elapsed() < STEP_TIMEOUT && !self.leadership.is_succeeded() {
            let mut latest_reports = match known.take() {
                Some(latest_reports) => latest_reports,
                None => reports_from(self.request_all(|_| RelayRequest::default()).await),
            };
            match next_step(&latest_reports, newest) {
                SwitchStep::Idle { .. } => return,
                SwitchStep::SendCommands(commands) => {
                    let is_last = commands.iter().all(|(_, command)| command.is_release());
                    let is_repeated = commands == last_commands;
                    last_commands.clone_from(&commands);
                    self.send_commands(commands, &mut latest_reports).await;
                    if !is_repeated {
                        progressed_at = Instant::now();
                    }
                    // After the release, the pass begins and all reports change.
                    known = (!is_last).then_some(latest_reports);
                }
                SwitchStep::PrepareNewVersion { epoch } => return self.prepare_again(epoch).await,
                SwitchStep::Wait => sleep(STALLED_POLL_INTERVAL).await,
            }
        }
        log::warn!(group = &*self.name, after_ms = elapsed_ms(began); "map switch not completed yet");
    }

    /// Sends commands to ranks and stores the new reports of these ranks in `latest_reports`.
    async fn send_commands(
        &mut self,
        commands: Vec<(usize, RankCommand)>,
        latest_reports: &mut [Option<RankReport>],
    ) {
        let ranks: Vec<usize> = commands.iter().map(|(rank, _)| *rank).collect();
        let request = |rank: usize| RelayRequest {
            commands: commands_for(&commands, rank),
            ..RelayRequest::default()
        };
        let replies = self.request(&ranks, request).await;
        for (rank, reply) in ranks.into_iter().zip(replies) {
            latest_reports[rank] = reply.report;
        }
    }

    /// Prepares the map in use again as a new version, for a paused group whose ranks have no
    /// prepared version in common. This requires no copies. The version is armed in the next
    /// step.
    async fn prepare_again(&mut self, epoch: Epoch) {
        let map = self.epoch_state.map.clone();
        let Some((_, _, map)) = map.filter(|(known, _, _)| *known == epoch) else {
            return self.fetch_map_of_paused_group(epoch).await;
        };
        let version = self.issue_version();
        log::warn!(group = &*self.name, version; "group is paused without a common prepared map; preparing the map in use");
        self.prepare_in_paused_group(epoch, version, &map).await;
    }

    /// Sends prepare commands to a paused group until all ranks have prepared the version.
    /// [`prepare`](Self::prepare) cannot be used, as it only accepts ranks without a pause.
    async fn prepare_in_paused_group(
        &mut self,
        epoch: Epoch,
        version: MapVersion,
        map: &ExpertMap,
    ) {
        let began = Instant::now();
        let command = RankCommand::Prepare {
            epoch,
            version,
            map: map.clone(),
        };
        while began.elapsed() < STEP_TIMEOUT && !self.leadership.is_succeeded() {
            let request = |_| RelayRequest {
                commands: vec![command.clone()],
                ..RelayRequest::default()
            };
            let reports = reports_from(self.request_all(request).await);
            let is_prepared = |report: &Option<RankReport>| {
                report
                    .as_ref()
                    .is_some_and(|report| report.prepared == Some(version))
            };
            if reports.iter().all(is_prepared) {
                return;
            }
            sleep(COPY_POLL_INTERVAL).await;
        }
    }

    /// Whether the group has begun a pass with the version. All ranks begin a pass together,
    /// so one rank's report is enough.
    async fn has_switched_to(&mut self, version: MapVersion) -> bool {
        let replies = self.request(&[0], |_| RelayRequest::default()).await;
        let reports = reports_from(replies);
        reports
            .iter()
            .flatten()
            .any(|report| report.version == version)
    }
}

/// Result of a successful [`prepare`](GroupLoop::prepare).
struct PreparedRanks {
    /// The reports of the ranks, all of which are ready.
    reports: Vec<Option<RankReport>>,
    /// Whether a command got no reply or a repeated command was refused.
    had_unanswered_command: bool,
}

fn has_replied(reply: &RelayReply) -> bool {
    let outcome = reply.outcomes.first();
    reply.report.is_some() && outcome.is_some_and(|outcome| *outcome != CommandOutcome::Unknown)
}

/// State of a pause command, as derived from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseStatus {
    /// The rank pauses the group.
    Paused,
    /// The pass has begun, or the group has formed again, so the command can no longer be
    /// executed.
    Missed,
    /// The command may still be executed.
    Unknown,
}

fn pause_status(report: &RankReport, epoch: Epoch, pass: Pass) -> PauseStatus {
    match report.paused_before {
        _ if report.epoch != epoch || report.pass >= pass => PauseStatus::Missed,
        Some(paused) if paused == pass => PauseStatus::Paused,
        _ => PauseStatus::Unknown,
    }
}

/// The last attempt to send the prepare command to one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    /// Not sent yet.
    Unsent,
    /// Sent at this time, and not accepted.
    SentAt(Instant),
    /// Accepted by the engine.
    Accepted,
}

impl Attempt {
    fn is_due(&self) -> bool {
        match self {
            Self::Unsent => true,
            Self::SentAt(at) => at.elapsed() >= PREPARE_RETRY_DELAY,
            Self::Accepted => false,
        }
    }
}

fn commands_for(commands: &[(usize, RankCommand)], rank: usize) -> Vec<RankCommand> {
    let for_rank = commands.iter().filter(|(to, _)| *to == rank);
    for_rank.map(|(_, command)| command.clone()).collect()
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
