//! The way to one engine: through the agent beside it, or straight.

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use berylhook_platform::rank::Engine;
use berylhook_relay::{Answer, Question, ask_engine};

/// Time for an agent's answer. It makes a few calls to the engine beside it,
/// each of which takes about a millisecond.
const AGENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether an engine may be asked straight if its agent does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// No: the question can wait for the agent's return.
    None,
    /// Yes: a group is held meanwhile. Orders from afar are paid for.
    Engine,
}

/// One engine and the agent beside it.
pub(crate) struct Port {
    agent: Connection,
    engine: Engine,
}

impl Port {
    pub(crate) fn new(engine: SocketAddr, agent_port: u16) -> Self {
        Self {
            agent: Connection::new(SocketAddr::new(engine.ip(), agent_port)),
            engine: Engine::new(engine),
        }
    }

    /// Asks the engine; an answer without a report is none.
    pub(crate) async fn ask(&mut self, question: &Question, fallback: Fallback) -> Answer {
        let call = Call::post("/".to_owned(), question, AGENT_TIMEOUT);
        let error = match self.agent.json::<Answer>(call).await {
            Ok(answer) => return answer,
            Err(error) => error,
        };
        log::debug!(reason:% = error; "an agent does not answer");
        match fallback {
            Fallback::None => Answer::default(),
            Fallback::Engine => ask_engine(&mut self.engine, question).await,
        }
    }
}
