//! The ways to a group's engines, through the agents beside them.
//!
//! There is no way past the agent: orders given straight to an engine would not
//! be stopped when another leader has taken over.

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_experts::demand::RankCounts;
use berylhook_experts::switching::RankCommand;
use berylhook_relay::counts::{CountsDecoder, CountsRequest};
use berylhook_relay::{Answer, Question};
use futures_util::future::join_all;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use tokio::sync::Semaphore;

use crate::counts_window::CountsWindow;

/// Time for an agent's answer. It makes a few calls to the engine beside it,
/// each of which takes about a millisecond.
const AGENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Agents named to one that has no fencing number. One that has read the store is enough;
/// some may be cut off or have just started too.
const MAX_FENCE_PEERS: usize = 3;

/// Agents that are sent a map at once. A map of 192 ranks takes 8 KB, so these take 80
/// ms of a link of 40 Mbit/s.
const MAPS_AT_ONCE: usize = 48;

/// What one reading told of an engine.
pub(crate) struct Reading {
    pub(crate) engine: SocketAddr,
    pub(crate) answer: Answer,
    /// Whether its counts were asked for and nothing came in time.
    is_late: bool,
    pub(crate) counts: Option<RankCounts>,
}

/// The agents beside some engines.
pub(crate) struct Ports {
    agent_port: u16,
    by_engine: IndexMap<SocketAddr, Port>,
    /// Whose counts are asked for; nobody's where nothing is done with them.
    counted: Option<CountsWindow>,
}

impl Ports {
    /// No ways yet.
    pub(crate) fn new(agent_port: u16, counted: Option<CountsWindow>) -> Self {
        Self {
            agent_port,
            counted,
            by_engine: IndexMap::new(),
        }
    }

    /// The ways to these engines, and to no others.
    pub(crate) fn set(&mut self, engines: &[SocketAddr]) {
        self.by_engine.retain(|engine, _| engines.contains(engine));
        for engine in engines {
            self.by_engine
                .entry(*engine)
                .or_insert_with(|| Port::new(*engine, self.agent_port));
        }
    }

    /// Reads the reports of all engines, and the counts of as many as come in time.
    pub(crate) async fn read(&mut self, fence: u64) -> Vec<Reading> {
        let fence_peers = self.fence_peers();
        let ranks = self.by_engine.len();
        let counted = self.counted;
        let ports = self.by_engine.iter_mut().enumerate();
        let readings = ports.map(|(index, (engine, port))| {
            let fence_peers = &fence_peers;
            let with_counts = counted.is_some_and(|counted| counted.includes(index, ranks));
            async move {
                let (answer, counts) = port.read(fence, fence_peers, with_counts).await;
                Reading {
                    engine: *engine,
                    is_late: with_counts && answer.report.is_none(),
                    answer,
                    counts,
                }
            }
        });
        let readings = join_all(readings).await;
        let late = readings.iter().filter(|reading| reading.is_late).count();
        if let Some(counted) = &mut self.counted {
            counted.record_poll(ranks, late);
        }
        readings
    }

    /// Agents that know the fencing number, in random order; none while nobody
    /// asks for them.
    ///
    /// Agents of one group only: a leader decides nothing in a group before all
    /// agents of that group have answered it, so each of them that has run since
    /// knows the number of every leader that acts there. An agent of another
    /// group may not have heard from the newest leader yet, and one that learnt
    /// its number there would relay a former leader's orders.
    fn fence_peers(&self) -> Vec<SocketAddr> {
        let is_asked_for = self.by_engine.values().any(Port::lacks_fence);
        if !is_asked_for {
            return Vec::new();
        }
        let knowing = self.by_engine.values().filter(|port| !port.lacks_fence());
        let mut addresses: Vec<SocketAddr> = knowing.map(Port::address).collect();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Asks the agents of some engines, each its own question.
    pub(crate) async fn ask(&mut self, questions: Vec<(SocketAddr, Question)>) -> Vec<Answer> {
        // Each port makes one call at a time, so they are taken out for the
        // time of the questions.
        let mut taken: Vec<(SocketAddr, Option<Port>, Question)> = questions
            .into_iter()
            .map(|(engine, question)| (engine, self.by_engine.swap_remove(&engine), question))
            .collect();
        let carries_maps = taken.iter().any(|(_, _, question)| carries_map(question));
        let turns = Semaphore::new(if carries_maps {
            MAPS_AT_ONCE
        } else {
            Semaphore::MAX_PERMITS
        });
        let asked = taken
            .iter_mut()
            .map(|(_, port, question)| ask_port(port, question, &turns));
        let answers = join_all(asked).await;
        for (engine, port, _) in taken {
            if let Some(port) = port {
                self.by_engine.insert(engine, port);
            }
        }
        answers
    }
}

fn carries_map(question: &Question) -> bool {
    let mut orders = question.orders.iter();
    orders.any(|order| matches!(order, RankCommand::Prepare { .. }))
}

async fn ask_port(port: &mut Option<Port>, question: &Question, turns: &Semaphore) -> Answer {
    // The turns are never closed, so there is one for each.
    let _turn = turns.acquire().await;
    match port {
        Some(port) => port.ask(question).await,
        None => Answer::default(),
    }
}

/// The agent beside one engine.
struct Port {
    address: SocketAddr,
    agent: Connection,
    counts: CountsDecoder,
    /// Whether the agent lacked a fencing number in its last answer.
    lacks_fence: bool,
}

impl Port {
    fn new(engine: SocketAddr, agent_port: u16) -> Self {
        let address = SocketAddr::new(engine.ip(), agent_port);
        Self {
            address,
            agent: Connection::new(address),
            counts: CountsDecoder::default(),
            lacks_fence: false,
        }
    }

    /// Where the agent answers.
    fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the agent relays no orders for want of a fencing number.
    fn lacks_fence(&self) -> bool {
        self.lacks_fence
    }

    /// Asks the agent; an answer without a report is none.
    async fn ask(&mut self, question: &Question) -> Answer {
        let call = Call::post_compact("/".to_owned(), question, AGENT_TIMEOUT);
        match self.agent.compact::<Answer>(call).await {
            Ok(answer) => {
                self.lacks_fence = answer.lacks_fence;
                answer
            }
            Err(error) => {
                log::debug!(reason:% = error; "an agent does not answer");
                Answer::default()
            }
        }
    }

    /// Asks the agent for the engine's report and counts. `others` are agents
    /// that may know a fencing number that it lacks.
    async fn read(
        &mut self,
        fence: u64,
        others: &[SocketAddr],
        with_counts: bool,
    ) -> (Answer, Option<RankCounts>) {
        let is_other = |other: &&SocketAddr| self.lacks_fence && **other != self.address;
        let fence_peers = others.iter().filter(is_other).copied();
        let question = Question {
            fence,
            counts: if with_counts {
                self.counts.request()
            } else {
                CountsRequest::Nothing
            },
            fence_peers: fence_peers.take(MAX_FENCE_PEERS).collect(),
            ..Question::default()
        };
        let mut answer = self.ask(&question).await;
        let told = answer.counts.take();
        let counts = told.and_then(|told| self.counts.decode(told));
        (answer, counts)
    }
}
