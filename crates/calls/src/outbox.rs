//! Messages to many processes, in order and over one open connection to each.
//!
//! Each address has a queue of its own, so a process that does not respond delays no other.
//! Messages that wait while a call is in progress are sent together in the next one. A call that
//! fails on an open connection is repeated once on a new one: the peer may have closed the
//! connection at the same moment. So a message may arrive twice, and its receiver must not mind.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

use crate::{Call, CallError, Connection};

/// Time without messages after which the connection to an address is closed. Leaders send messages
/// several times a second, all others none at all.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Builds the calls that send a batch of messages, the oldest first. For an address that has not
/// responded for seconds the batch may be long, and older messages may be left out.
pub type EncodeBatch<M> = dyn Fn(&[M]) -> Vec<Call> + Send + Sync;

type Queues<M> = IndexMap<SocketAddr, UnboundedSender<M>>;

/// Sends messages to any number of addresses.
pub struct Outbox<M> {
    encode: Arc<EncodeBatch<M>>,
    queues: Arc<Mutex<Queues<M>>>,
}

impl<M: Clone + Send + Sync + 'static> Outbox<M> {
    /// Creates an outbox without connections.
    #[must_use]
    pub fn new(encode: impl Fn(&[M]) -> Vec<Call> + Send + Sync + 'static) -> Self {
        Self {
            encode: Arc::new(encode),
            queues: Arc::default(),
        }
    }

    /// Queues a message for an address and returns at once. Must be called in a tokio runtime.
    pub fn send(&self, address: SocketAddr, message: M) {
        let mut queues = lock(&self.queues);
        let unsent = match queues.get(&address) {
            Some(queue) => queue.send(message).err().map(|error| error.0),
            None => Some(message),
        };
        let Some(message) = unsent else {
            return;
        };
        let (sender, receiver) = unbounded_channel();
        // The receiver is alive, so the message is queued.
        let _ = sender.send(message);
        queues.insert(address, sender);
        let worker = Worker {
            address,
            receiver,
            encode: Arc::clone(&self.encode),
            queues: Arc::clone(&self.queues),
        };
        tokio::spawn(worker.run());
    }
}

fn lock<M>(queues: &Mutex<Queues<M>>) -> MutexGuard<'_, Queues<M>> {
    queues.lock().expect("no holder panics")
}

/// Sends the messages of one address.
struct Worker<M> {
    address: SocketAddr,
    receiver: UnboundedReceiver<M>,
    encode: Arc<EncodeBatch<M>>,
    queues: Arc<Mutex<Queues<M>>>,
}

impl<M> Worker<M> {
    async fn run(mut self) {
        let mut connection = Connection::new(self.address);
        while let Some(first) = self.next_message().await {
            let batch = self.batch_from(first);
            for call in (self.encode)(&batch) {
                if let Err(error) = call_or_repeat(&mut connection, call).await {
                    log::debug!(reason:% = error; "a peer did not accept a message");
                }
            }
        }
    }

    /// The next message; `None` after a long time without one, when the queue is closed.
    async fn next_message(&mut self) -> Option<M> {
        if let Ok(message) = timeout(IDLE_TIMEOUT, self.receiver.recv()).await {
            return message;
        }
        // Messages are queued only while this lock is held, so none is lost here.
        let mut queues = lock(&self.queues);
        let message = self.receiver.try_recv().ok();
        if message.is_none() {
            queues.swap_remove(&self.address);
        }
        message
    }

    fn batch_from(&mut self, first: M) -> Vec<M> {
        let mut batch = vec![first];
        while let Ok(message) = self.receiver.try_recv() {
            batch.push(message);
        }
        batch
    }
}

async fn call_or_repeat(connection: &mut Connection, call: Call) -> Result<(), CallError> {
    let was_open = connection.is_open();
    let repeated = call.clone();
    let call_timeout = call.timeout;
    let started = Instant::now();
    match connection.call(call).await {
        Ok(_) => Ok(()),
        // After a time-out, a second call would only double the delay of the next messages.
        Err(CallError::NotSent { .. } | CallError::Unknown { .. })
            if was_open && started.elapsed() < call_timeout =>
        {
            connection.call(repeated).await.map(drop)
        }
        Err(error) => Err(error),
    }
}
