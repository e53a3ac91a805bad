//! The way to one engine, through the agent beside it.
//!
//! There is no way past the agent: orders given straight to an engine would not
//! be stopped when another leader has taken over.

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_experts::demand::RankCounts;
use berylhook_relay::counts::CountsCopy;
use berylhook_relay::{Answer, Question};

/// Time for an agent's answer. It makes a few calls to the engine beside it,
/// each of which takes about a millisecond.
const AGENT_TIMEOUT: Duration = Duration::from_millis(150);

/// The agent beside one engine.
pub(crate) struct Port {
    agent: Connection,
    counts: CountsCopy,
}

impl Port {
    pub(crate) fn new(engine: SocketAddr, agent_port: u16) -> Self {
        Self {
            agent: Connection::new(SocketAddr::new(engine.ip(), agent_port)),
            counts: CountsCopy::default(),
        }
    }

    /// Asks the agent; an answer without a report is none.
    pub(crate) async fn ask(&mut self, question: &Question) -> Answer {
        let call = Call::post_compact("/".to_owned(), question, AGENT_TIMEOUT);
        match self.agent.compact::<Answer>(call).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(reason:% = error; "an agent does not answer");
                Answer::default()
            }
        }
    }

    /// Asks the agent for the engine's report and counts.
    pub(crate) async fn read(&mut self, fence: u64) -> (Answer, Option<RankCounts>) {
        let question = Question {
            fence,
            counts: self.counts.wish(),
            ..Question::default()
        };
        let mut answer = self.ask(&question).await;
        let told = answer.counts.take();
        let counts = told.and_then(|told| self.counts.take(told));
        (answer, counts)
    }
}
