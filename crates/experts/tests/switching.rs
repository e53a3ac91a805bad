//! Exhaustive search of the map-switching protocol: whatever the order of events,
//! the ranks never use different maps in one pass, and the group never stays paused
//! for ever.
//!
//! The model has two ranks with an agent each, two leaders that both believe they
//! lead, and a network that delivers commands in any order, late, repeatedly or
//! never: a command that an agent has relayed stays in flight for ever and may
//! arrive at any time. A leader may be suspended between any two steps. Agents may
//! restart, and the group may form again.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use berylhook_experts::switching::{
    ArmedSwitch, RankCommand, RankReport, SwitchStep, VersionSource, is_ready_to_switch, next_step,
};

const RANKS: usize = 2;

/// Maximum number of versions that one leader prepares.
const MAX_VERSIONS: u64 = 2;

/// A deliberate fault in the protocol, which the search has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Leaders send the arm commands together with the pause, before a report shows
    /// the pause.
    ArmBeforePauseIsReported,
    /// Leaders send the release together with the arm commands.
    ReleaseBeforeAllAreArmed,
    /// Agents relay the commands of every leader.
    NoFencing,
    /// An agent has no fencing token after a restart.
    FencingTokenLostOnRestart,
    /// Leaders release a pause that they did not order.
    ReleaseUnknownPause,
    /// Engines execute commands of a previous epoch.
    IgnoreEpochs,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RankState {
    version: u64,
    prepared: Option<u64>,
    highest_version: u64,
    armed: Option<ArmedSwitch>,
    paused_before: Option<u64>,
    /// Highest fencing token that the rank's agent has seen.
    fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LeaderPhase {
    /// Not elected yet.
    Candidate,
    /// Contacting all agents for the first time.
    ContactingAgents,
    /// Leading. The fields are the version for which it has sent prepare commands and
    /// the pass before which it has sent a pause, if any.
    Leading(Option<u64>, Option<u64>),
    /// Deposed by a leader with a higher fencing token.
    Deposed,
}

/// The content of one report: epoch, pass and state of the rank.
type ReportedState = (u64, u64, RankState);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    phase: LeaderPhase,
    versions_issued: u64,
    reports_read: Vec<Option<ReportedState>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    epoch: u64,
    last_epoch: u64,
    passes_ahead: u64,
    last_pass: u64,
    pausing_rank: PausingRankPolicy,
    restarts: u8,
    pass: u64,
    ranks: Vec<RankState>,
    /// Fencing token in the store.
    stored_fence: u64,
    leaders: Vec<Leader>,
    /// Commands that an agent has relayed, with the rank that gets them.
    commands_in_flight: BTreeSet<(usize, RankCommand)>,
}

/// The rank that is sent the pause command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PausingRankPolicy {
    /// Always the first rank.
    First,
    /// A different rank for each pass.
    ByPass,
}

impl PausingRankPolicy {
    fn rank(self, pass: u64) -> usize {
        match self {
            Self::First => 0,
            Self::ByPass => usize::try_from(pass).expect("pass numbers are small") % RANKS,
        }
    }
}

/// Events that may occur besides the steps of the leaders. The scopes are searched
/// separately, as all events together give too many states.
#[derive(Clone, Copy, Debug)]
struct Scope {
    last_epoch: u64,
    restarts: u8,
    /// Distance from the last pass begun to the pass before which a leader pauses.
    passes_ahead: u64,
    last_pass: u64,
    pausing_rank: PausingRankPolicy,
}

const SCOPES: [Scope; 9] = [
    scope(1, 0, 2),
    scope(2, 0, 2),
    scope(1, 1, 2),
    scope(1, 0, 1),
    scope(2, 0, 1),
    scope(1, 1, 1),
    by_pass(scope(1, 0, 1)),
    by_pass(scope(2, 0, 1)),
    by_pass(scope(1, 1, 1)),
];

/// A scope with enough passes for two successive pauses.
const fn scope(last_epoch: u64, restarts: u8, passes_ahead: u64) -> Scope {
    Scope {
        last_epoch,
        restarts,
        passes_ahead,
        last_pass: passes_ahead + 1,
        pausing_rank: PausingRankPolicy::First,
    }
}

const fn by_pass(scope: Scope) -> Scope {
    Scope {
        pausing_rank: PausingRankPolicy::ByPass,
        ..scope
    }
}

fn initial_state(scope: Scope) -> State {
    let leader = |phase| Leader {
        phase,
        versions_issued: 0,
        reports_read: vec![None; RANKS],
    };
    State {
        epoch: 1,
        last_epoch: scope.last_epoch,
        passes_ahead: scope.passes_ahead,
        last_pass: scope.last_pass,
        pausing_rank: scope.pausing_rank,
        restarts: scope.restarts,
        pass: 0,
        ranks: vec![
            RankState {
                fence: 1,
                ..RankState::default()
            };
            RANKS
        ],
        stored_fence: 1,
        leaders: vec![
            leader(LeaderPhase::Leading(None, None)),
            leader(LeaderPhase::Candidate),
        ],
        commands_in_flight: BTreeSet::new(),
    }
}

fn fence_of(leader: usize) -> u64 {
    leader as u64 + 1
}

fn report(reported_state: &ReportedState, rank: usize) -> RankReport {
    let (epoch, pass, state) = reported_state;
    RankReport {
        started_unix_ms: None,
        group: "g".to_owned(),
        epoch: *epoch,
        rank,
        size: RANKS,
        is_group_running: true,
        pass: *pass,
        version: state.version,
        prepared: state.prepared,
        armed: state.armed,
        paused_before: state.paused_before,
        running: 0,
        waiting: 0,
        slowdown: 1.0,
    }
}

/// Executes or refuses a command, as an engine does.
fn execute_command(state: &mut State, rank: usize, command: &RankCommand, mutation: Mutation) {
    let (epoch, pass) = (state.epoch, state.pass);
    let in_epoch =
        |command_epoch: u64| command_epoch == epoch || mutation == Mutation::IgnoreEpochs;
    let rank_state = &mut state.ranks[rank];
    match command {
        RankCommand::Prepare { epoch, version, .. }
            if in_epoch(*epoch)
                && *version > rank_state.highest_version
                && rank_state.armed.is_none() =>
        {
            rank_state.prepared = Some(*version);
            rank_state.highest_version = *version;
        }
        RankCommand::Pause {
            epoch,
            pass: command_pass,
        } if in_epoch(*epoch) && pass < *command_pass && rank_state.paused_before.is_none() => {
            rank_state.paused_before = Some(*command_pass);
        }
        RankCommand::Arm {
            epoch,
            version,
            pass: command_pass,
        } if in_epoch(*epoch) && pass < *command_pass && rank_state.prepared == Some(*version) => {
            rank_state.armed = Some(ArmedSwitch {
                version: *version,
                pass: *command_pass,
            });
        }
        RankCommand::Release {
            epoch,
            pass: command_pass,
        } if in_epoch(*epoch) && rank_state.paused_before == Some(*command_pass) => {
            rank_state.paused_before = None;
        }
        _ => {}
    }
}

/// Begins the next pass, unless a rank pauses the group before it.
fn begin_pass(state: &State) -> Option<State> {
    let next = state.pass + 1;
    let is_paused = state
        .ranks
        .iter()
        .any(|rank| rank.paused_before == Some(next));
    if next > state.last_pass || is_paused {
        return None;
    }
    let mut after = state.clone();
    after.pass = next;
    for rank in &mut after.ranks {
        if let Some(armed) = rank.armed.filter(|armed| armed.pass == next) {
            rank.version = armed.version;
            rank.armed = None;
        }
    }
    Some(after)
}

/// The group fails and forms again.
fn reform_group(state: &State) -> Option<State> {
    if state.epoch == state.last_epoch {
        return None;
    }
    let mut after = state.clone();
    after.epoch += 1;
    for rank in &mut after.ranks {
        *rank = RankState {
            highest_version: rank.highest_version,
            fence: rank.fence,
            ..RankState::default()
        };
    }
    Some(after)
}

/// An agent restarts and learns the fencing token from the store or, if the store
/// is unavailable, from the agent of the other rank.
fn restart_agents(state: &State, mutation: Mutation) -> Vec<State> {
    if state.restarts == 0 {
        return Vec::new();
    }
    let restarted = |rank: usize, fence: u64| {
        let mut after = state.clone();
        after.restarts -= 1;
        after.ranks[rank].fence = match mutation {
            Mutation::FencingTokenLostOnRestart => 0,
            _ => fence,
        };
        after
    };
    let fence_of_other_agent = |rank: usize| state.ranks[(rank + 1) % RANKS].fence;
    (0..RANKS)
        .flat_map(|rank| {
            [
                restarted(rank, state.stored_fence),
                restarted(rank, fence_of_other_agent(rank)),
            ]
        })
        .collect()
}

/// Whether the agent relays commands of a leader. Records the leader's fencing
/// token if it does.
fn agent_accepts_leader(rank: &mut RankState, fence: u64, mutation: Mutation) -> bool {
    if mutation == Mutation::NoFencing {
        return true;
    }
    if fence < rank.fence {
        return false;
    }
    rank.fence = fence;
    true
}

/// A leader reads one rank's report through its agent.
fn read_report(state: &State, leader: usize, rank: usize, mutation: Mutation) -> Option<State> {
    if state.leaders[leader].reports_read[rank].is_some() {
        return None;
    }
    let mut after = state.clone();
    if !agent_accepts_leader(&mut after.ranks[rank], fence_of(leader), mutation) {
        after.leaders[leader].phase = LeaderPhase::Deposed;
        after.leaders[leader].reports_read = vec![None; RANKS];
        return Some(after);
    }
    let mut reported_state = after.ranks[rank].clone();
    // The agent's fencing token is not part of a report.
    reported_state.fence = 0;
    after.leaders[leader].reports_read[rank] = Some((after.epoch, after.pass, reported_state));
    Some(after)
}

/// One decision of a leader that has the reports of all ranks.
///
/// Before its next decision, the leader may read all reports again, or only those
/// of the ranks to which it has sent commands and reuse the others.
fn leader_steps(state: &State, leader: usize, mutation: Mutation) -> Vec<State> {
    let Some((after, commanded_ranks)) = leader_decision(state, leader, mutation) else {
        return Vec::new();
    };
    let mut with_reused_reports = after.clone();
    let reports_read = &state.leaders[leader].reports_read;
    for rank in
        (0..RANKS).filter(|rank| !commanded_ranks.is_empty() && !commanded_ranks.contains(rank))
    {
        with_reused_reports.leaders[leader].reports_read[rank].clone_from(&reports_read[rank]);
    }
    if with_reused_reports == after {
        vec![after]
    } else {
        vec![after, with_reused_reports]
    }
}

/// The state after a leader's decision, and the ranks to which it has sent commands
/// that do not affect the other ranks.
fn leader_decision(
    state: &State,
    leader: usize,
    mutation: Mutation,
) -> Option<(State, Vec<usize>)> {
    let reports_read: Option<Vec<ReportedState>> =
        state.leaders[leader].reports_read.iter().cloned().collect();
    let reports_read = reports_read?;
    let ranks = reports_read.iter().enumerate();
    let reports: Vec<_> = ranks
        .map(|(rank, reported_state)| Some(report(reported_state, rank)))
        .collect();
    let mut after = state.clone();
    after.leaders[leader].reports_read = vec![None; RANKS];
    let (prepared, paused_before) = match after.leaders[leader].phase {
        LeaderPhase::ContactingAgents => {
            after.leaders[leader].phase = LeaderPhase::Leading(None, None);
            return Some((after, Vec::new()));
        }
        LeaderPhase::Leading(prepared, paused_before) => (prepared, paused_before),
        LeaderPhase::Candidate | LeaderPhase::Deposed => return None,
    };
    let last = reports.iter().flatten().map(|report| report.pass).max()?;
    let mut commanded_ranks = Vec::new();
    match next_step(&reports, prepared.unwrap_or(0)) {
        SwitchStep::SendCommands(commands) => {
            let has_release = commands.iter().any(|(_, command)| command.is_release());
            let ranks = commands.iter().map(|(rank, _)| *rank);
            commanded_ranks = if has_release {
                Vec::new()
            } else {
                ranks.collect()
            };
            send_commands(&mut after, leader, commands, mutation);
        }
        SwitchStep::PrepareNewVersion { epoch } if mutation == Mutation::ReleaseUnknownPause => {
            let pass = reports
                .iter()
                .flatten()
                .find_map(|report| report.paused_before)?;
            for rank in 0..RANKS {
                let release = RankCommand::Release { epoch, pass };
                send_commands(&mut after, leader, vec![(rank, release)], mutation);
            }
        }
        SwitchStep::PrepareNewVersion { epoch } => prepare(&mut after, leader, epoch, mutation)?,
        SwitchStep::Idle { epoch, .. } => match (prepared, paused_before) {
            (None, _) => prepare(&mut after, leader, epoch, mutation)?,
            (Some(version), _) if !is_ready_to_switch(&reports, epoch, version) => {}
            (Some(version), paused_before) => {
                // A pause that may still be in flight is sent again, and no other one.
                let pass = paused_before
                    .filter(|pass| *pass > last)
                    .unwrap_or(last + state.passes_ahead);
                after.leaders[leader].phase = LeaderPhase::Leading(Some(version), Some(pass));
                let pause = RankCommand::Pause { epoch, pass };
                let pausing_rank = state.pausing_rank.rank(pass);
                send_commands(&mut after, leader, vec![(pausing_rank, pause)], mutation);
                commanded_ranks = vec![pausing_rank];
            }
        },
        SwitchStep::Wait => {}
    }
    Some((after, commanded_ranks))
}

/// Sends prepare commands for a new version, or again for the one in progress.
fn prepare(state: &mut State, leader: usize, epoch: u64, mutation: Mutation) -> Option<()> {
    let is_in_progress = matches!(
        state.leaders[leader].phase,
        LeaderPhase::Leading(Some(version), _) if state.ranks.iter().all(|rank| rank.version != version)
    );
    if !is_in_progress {
        if state.leaders[leader].versions_issued == MAX_VERSIONS {
            return None;
        }
        state.leaders[leader].versions_issued += 1;
    }
    let mut versions = VersionSource::new(fence_of(leader));
    let version = (0..state.leaders[leader].versions_issued)
        .map(|_| versions.issue())
        .last()?;
    state.leaders[leader].phase = LeaderPhase::Leading(Some(version), None);
    for rank in 0..RANKS {
        let command = RankCommand::Prepare {
            epoch,
            version,
            map: Vec::new(),
        };
        relay(state, rank, fence_of(leader), command, mutation);
    }
    Some(())
}

fn send_commands(
    state: &mut State,
    leader: usize,
    commands: Vec<(usize, RankCommand)>,
    mutation: Mutation,
) {
    let fence = fence_of(leader);
    for (rank, command) in commands {
        match &command {
            RankCommand::Pause { epoch, pass }
                if mutation == Mutation::ArmBeforePauseIsReported =>
            {
                let LeaderPhase::Leading(Some(version), _) = state.leaders[leader].phase else {
                    continue;
                };
                let arm = RankCommand::Arm {
                    epoch: *epoch,
                    version,
                    pass: *pass,
                };
                for rank in 0..RANKS {
                    relay(state, rank, fence, arm.clone(), mutation);
                }
            }
            RankCommand::Arm { epoch, pass, .. }
                if mutation == Mutation::ReleaseBeforeAllAreArmed =>
            {
                let release = RankCommand::Release {
                    epoch: *epoch,
                    pass: *pass,
                };
                relay(state, 0, fence, release, mutation);
            }
            _ => {}
        }
        relay(state, rank, fence, command, mutation);
    }
}

/// An agent receives a command. Delays before this, because the leader is suspended
/// or the command is in flight to the agent, make no difference to the agent.
fn relay(state: &mut State, rank: usize, fence: u64, command: RankCommand, mutation: Mutation) {
    if agent_accepts_leader(&mut state.ranks[rank], fence, mutation) {
        state.commands_in_flight.insert((rank, command));
    }
}

/// The second leader is elected while the first may still be running.
fn elect_second_leader(state: &State) -> Option<State> {
    if state.leaders[1].phase != LeaderPhase::Candidate {
        return None;
    }
    let mut after = state.clone();
    after.stored_fence = fence_of(1);
    after.leaders[1].phase = LeaderPhase::ContactingAgents;
    Some(after)
}

fn next_states(state: &State, mutation: Mutation) -> Vec<State> {
    let mut next = Vec::new();
    next.extend(begin_pass(state));
    next.extend(reform_group(state));
    next.extend(elect_second_leader(state));
    next.extend(restart_agents(state, mutation));
    for leader in 0..state.leaders.len() {
        if matches!(
            state.leaders[leader].phase,
            LeaderPhase::ContactingAgents | LeaderPhase::Leading(..)
        ) {
            next.extend((0..RANKS).filter_map(|rank| read_report(state, leader, rank, mutation)));
            next.extend(leader_steps(state, leader, mutation));
        }
    }
    for (rank, command) in &state.commands_in_flight {
        let mut after = state.clone();
        execute_command(&mut after, *rank, command, mutation);
        next.push(after);
    }
    next
}

/// The property that a state violates, if any.
fn violation(state: &State) -> Option<&'static str> {
    let first = state.ranks[0].version;
    if state.ranks.iter().any(|rank| rank.version != first) {
        return Some("ranks use different maps in one pass");
    }
    let armed = state.ranks.iter().find_map(|rank| rank.armed)?;
    let cannot_be_armed = |rank: &RankState| {
        rank.armed != Some(armed)
            && rank.prepared != Some(armed.version)
            && rank.highest_version >= armed.version
    };
    let stays_paused = state.ranks.iter().any(cannot_be_armed);
    stays_paused.then_some("the group stays paused for ever")
}

fn state_hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Searches all reachable states. Returns the first violation, if any, and the
/// number of states searched.
fn search(mutation: Mutation, scope: Scope) -> (Option<&'static str>, usize) {
    // Stores hashes, as millions of states would not fit in memory.
    let mut visited = HashSet::from([state_hash(&initial_state(scope))]);
    let mut queue = VecDeque::from([initial_state(scope)]);
    while let Some(state) = queue.pop_front() {
        if let Some(violation) = violation(&state) {
            return (Some(violation), visited.len());
        }
        for next in next_states(&state, mutation) {
            if visited.insert(state_hash(&next)) {
                queue.push_back(next);
            }
        }
        assert!(
            visited.len() < 4_000_000,
            "the search exceeds 4,000,000 states"
        );
    }
    (None, visited.len())
}

fn is_detected(mutation: Mutation) -> bool {
    SCOPES
        .iter()
        .any(|scope| search(mutation, *scope).0.is_some())
}

#[test]
fn ranks_use_the_same_map_in_every_pass() {
    for scope in SCOPES {
        let (violation, states) = search(Mutation::None, scope);
        println!("{scope:?}: {states} states");
        assert_eq!(violation, None, "{scope:?}");
        assert!(states > 1_000, "only {states} states were searched");
    }
}

// Guards against ranks that use different maps in one pass. This occurs if arm
// commands are sent together with the pause: the pass begins before the pause
// arrives, and only one of the arm commands arrives in time.
#[test]
fn arming_before_the_pause_is_reported_is_detected() {
    assert!(is_detected(Mutation::ArmBeforePauseIsReported));
}

// Guards against ranks that use different maps in one pass. This occurs if the pause
// is released before all ranks are armed, while an arm command is still in flight.
#[test]
fn releasing_before_all_ranks_are_armed_is_detected() {
    assert!(is_detected(Mutation::ReleaseBeforeAllAreArmed));
}

// Guards against ranks that use different maps in one pass, or a group that stays
// paused for ever. This occurs if a suspended leader resumes after its successor has
// begun, and agents still relay its commands.
#[test]
fn missing_fencing_is_detected() {
    assert!(is_detected(Mutation::NoFencing));
}

// Guards against the same failures after an agent has restarted. They occur if the
// agent has no fencing token until a leader contacts it.
#[test]
fn fencing_token_lost_on_restart_is_detected() {
    assert!(is_detected(Mutation::FencingTokenLostOnRestart));
}

// Guards against a command that takes effect in a later epoch. This occurs if commands
// are not bound to their epoch, and the group forms again while an arm command is in
// flight.
#[test]
fn commands_that_ignore_epochs_are_detected() {
    assert!(is_detected(Mutation::IgnoreEpochs));
}

// Guards against one version for two different maps. This occurs if versions do not
// contain the fencing token, and two leaders issue versions at the same time.
#[test]
fn successor_issues_higher_versions() {
    let mut predecessor = VersionSource::new(7);
    let first_of_successor = VersionSource::new(8).issue();

    for _ in 0..1_000 {
        assert!(predecessor.issue() < first_of_successor);
    }
}
