//! Leading a service: finding its groups, and one loop for each.
//!
//! The loops share nothing but [`Leadership`], so a group that is being changed,
//! that hangs or that has lost a rank delays no other. With one loop for three
//! groups of 24 ranks, each change of 0.2 s waited for those of the others, and
//! nobody read the demand meanwhile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::ExpertService;
use crate::agent_clients::{Ports, Reading};
use crate::election::Term;
use crate::group_loop::{GroupLoop, READ_EVERY};
use crate::leadership::Leadership;

/// Leads until the term is over, a later leader is heard of, or the process
/// stops. A leader by transfer has no term of its own.
pub(crate) async fn run(leadership: &Arc<Leadership>, term: Option<&Term>) {
    let mut loops = Loops::default();
    let mut unassigned = Ports::new(leadership.agent_port(), None);
    while !term.is_some_and(Term::is_over)
        && !leadership.is_succeeded()
        && !leadership.is_stopping()
        && !makes_room(leadership, term)
    {
        let began = Instant::now();
        if let Some(members) = leadership.members() {
            leadership.retain_engines(&members.engines);
            find_groups(leadership, &mut unassigned, &members).await;
            loops.follow(leadership);
        }
        sleep(READ_EVERY.saturating_sub(began.elapsed())).await;
    }
    loops.close();
}

/// Whether an entry that would lead better can be elected now.
fn makes_room(leadership: &Leadership, term: Option<&Term>) -> bool {
    term.is_some_and(Term::store_answers) && leadership.makes_room()
}

/// Asks engines whose group is not known which one it is.
async fn find_groups(leadership: &Leadership, ports: &mut Ports, members: &ExpertService) {
    let engines = members.engines.iter().copied();
    let unassigned: Vec<SocketAddr> = engines
        .filter(|engine| !leadership.is_assigned(engine))
        .collect();
    ports.set(&unassigned);
    if unassigned.is_empty() {
        return;
    }
    let readings = ports.read(leadership.fence).await;
    leadership.heed_fences(readings.iter().map(|reading| &reading.answer));
    for Reading { engine, answer, .. } in readings {
        if let Some(report) = answer.report {
            leadership.assign(engine, &report.group);
        }
    }
}

/// The loops of the groups.
#[derive(Default)]
struct Loops {
    by_group: IndexMap<Arc<str>, JoinHandle<()>>,
}

impl Loops {
    /// Starts a loop for each group that has none. Loops of groups without
    /// engines end by themselves.
    fn follow(&mut self, leadership: &Arc<Leadership>) {
        self.by_group.retain(|_, running| !running.is_finished());
        for group in leadership.groups() {
            self.by_group.entry(group).or_insert_with_key(|group| {
                let group_loop = GroupLoop::new(Arc::clone(leadership), Arc::clone(group));
                tokio::spawn(group_loop.run())
            });
        }
    }

    /// Ends all loops. An order that is cut off is one without an answer, which
    /// whoever leads next has to expect of any order.
    fn close(mut self) {
        self.abort_all();
    }

    fn abort_all(&mut self) {
        for (_, running) in self.by_group.drain(..) {
            running.abort();
        }
    }
}

impl Drop for Loops {
    // A leader whose own task is dropped must not leave loops behind that give
    // orders in its name.
    fn drop(&mut self) {
        self.abort_all();
    }
}
