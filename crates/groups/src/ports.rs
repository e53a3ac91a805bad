//! The way to one engine, through the agent beside it.
//!
//! There is no way past the agent: orders given straight to an engine would not
//! be stopped when another leader has taken over.

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_experts::demand::RankCounts;
use berylhook_relay::counts::CountsDecoder;
use berylhook_relay::{Answer, Question};

/// Time for an agent's answer. It makes a few calls to the engine beside it,
/// each of which takes about a millisecond.
const AGENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Agents named to one that has no fencing number. One that has read the store is enough;
/// some may be cut off or have just started too.
const MAX_FENCE_PEERS: usize = 3;

/// The agent beside one engine.
pub(crate) struct Port {
    address: SocketAddr,
    agent: Connection,
    counts: CountsDecoder,
    /// Whether the agent lacked a fencing number in its last answer.
    lacks_fence: bool,
}

impl Port {
    pub(crate) fn new(engine: SocketAddr, agent_port: u16) -> Self {
        let address = SocketAddr::new(engine.ip(), agent_port);
        Self {
            address,
            agent: Connection::new(address),
            counts: CountsDecoder::default(),
            lacks_fence: false,
        }
    }

    /// Where the agent answers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the agent relays no orders for want of a fencing number.
    pub(crate) fn lacks_fence(&self) -> bool {
        self.lacks_fence
    }

    /// Asks the agent; an answer without a report is none.
    pub(crate) async fn ask(&mut self, question: &Question) -> Answer {
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
    pub(crate) async fn read(
        &mut self,
        fence: u64,
        others: &[SocketAddr],
    ) -> (Answer, Option<RankCounts>) {
        let is_other = |other: &&SocketAddr| self.lacks_fence && **other != self.address;
        let fence_peers = others.iter().filter(is_other).copied();
        let question = Question {
            fence,
            counts: self.counts.request(),
            fence_peers: fence_peers.take(MAX_FENCE_PEERS).collect(),
            ..Question::default()
        };
        let mut answer = self.ask(&question).await;
        let told = answer.counts.take();
        let counts = told.and_then(|told| self.counts.decode(told));
        (answer, counts)
    }
}
