//! The loop of a service's leader, which finds the groups of the service and runs one task
//! for each.
//!
//! The tasks share nothing but [`Leadership`], so a group whose map is being switched, that
//! hangs or that has lost a rank does not delay the others. When one task handled three
//! groups of 24 ranks, each map change of 0.2 s waited for those of the other groups, and the
//! demand was not polled in the meantime.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::ExpertService;
use crate::agent_clients::{AgentClients, PollResult};
use crate::election::Term;
use crate::group_loop::{GroupLoop, POLL_INTERVAL};
use crate::leadership::Leadership;

/// Longest time that a leader which hands over leaves its groups to complete the switches that have
/// paused them. A successor completes what is left.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks whether the groups have completed their switches.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Leads until the term is over, an agent reports a later leader, the leader resigns, or the
/// process shuts down. `term` is `None` for a leader by transfer.
pub(crate) async fn run(leadership: &Arc<Leadership>, term: Option<&Term>) {
    let mut tasks = GroupTasks::default();
    let timeouts = Arc::clone(&leadership.agent_timeouts);
    let mut unassigned_clients = AgentClients::new(leadership.agent_port(), timeouts, None);
    while !term.is_some_and(Term::is_over)
        && !leadership.is_succeeded()
        && !leadership.is_stopping()
        && !should_resign(leadership, term)
    {
        let began = Instant::now();
        if let Some(service) = leadership.expert_service() {
            leadership.retain_engines(&service.engines);
            assign_engines(leadership, &mut unassigned_clients, &service).await;
            tasks.start_missing(leadership);
        }
        sleep(POLL_INTERVAL.saturating_sub(began.elapsed())).await;
    }
    tasks.close(leadership, term).await;
}

/// Whether to resign in favour of an entry with more processor time. Only if the store is
/// reachable, so that the other entry can be elected.
fn should_resign(leadership: &Leadership, term: Option<&Term>) -> bool {
    term.is_some_and(Term::is_store_reachable) && leadership.should_resign()
}

/// Polls the engines whose group is not yet known.
async fn assign_engines(
    leadership: &Leadership,
    clients: &mut AgentClients,
    service: &ExpertService,
) {
    let engines = service.engines.iter().copied();
    let unassigned: Vec<SocketAddr> = engines
        .filter(|engine| !leadership.is_assigned(engine))
        .collect();
    clients.set(&unassigned);
    if unassigned.is_empty() {
        return;
    }
    let results = clients.poll(leadership.fence).await;
    leadership.check_fences(results.iter().map(|result| &result.reply));
    for PollResult { engine, reply, .. } in results {
        if let Some(report) = reply.report {
            leadership.assign(engine, &report.group);
        }
    }
}

/// The tasks of the groups.
#[derive(Default)]
struct GroupTasks {
    by_group: IndexMap<Arc<str>, JoinHandle<()>>,
}

impl GroupTasks {
    /// Starts a task for each group that has none. A task exits when its group has no engines
    /// left.
    fn start_missing(&mut self, leadership: &Arc<Leadership>) {
        self.by_group.retain(|_, task| !task.is_finished());
        for group in leadership.groups() {
            self.by_group.entry(group).or_insert_with_key(|group| {
                let group_loop = GroupLoop::new(Arc::clone(leadership), Arc::clone(group));
                tokio::spawn(group_loop.run())
            });
        }
    }

    /// Lets groups that are paused complete their switches while this process still leads, as they
    /// would be stalled until there is a successor, and aborts what is left. A command in progress is
    /// then a command without a reply, which the next leader has to handle anyway.
    async fn close(mut self, leadership: &Leadership, term: Option<&Term>) {
        leadership.begin_closing();
        let began = Instant::now();
        while began.elapsed() < CLOSE_TIMEOUT
            && !term.is_some_and(Term::is_over)
            && !leadership.is_succeeded()
            && !self.by_group.values().all(JoinHandle::is_finished)
        {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
        self.abort_all();
    }

    fn abort_all(&mut self) {
        for (_, task) in self.by_group.drain(..) {
            task.abort();
        }
    }
}

impl Drop for GroupTasks {
    // If the task of the leader is dropped, no task of a group may continue to send commands.
    fn drop(&mut self) {
        self.abort_all();
    }
}
