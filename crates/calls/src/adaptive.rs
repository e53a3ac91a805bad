//! Calls whose timeout follows the reply times of the peer.
//!
//! With a fixed timeout, a peer that always replies a little later counts as silent for as long as
//! it is slow, as each call is given up before its reply. An [`AdaptiveConnection`] goes on waiting
//! for the reply to a call that has timed out, and learns from it how long the next calls have to
//! wait. A peer that does not reply at all costs each call no more than the minimum.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Call, CallError, Connection};

/// Factor between the reply times of a peer and the timeout of the next call.
const TIMEOUT_FACTOR: u32 = 2;

/// The timeout of calls to one peer.
///
/// It is the minimum unless the last two replies both took longer than that. One late reply does
/// not show that the peer is slow: after a lost packet, a call that is given up and repeated gets
/// its reply earlier. Otherwise it is a multiple of the longer of the two reply times, as calls to
/// one peer take unequally long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTimeout {
    min: Duration,
    max: Duration,
    last: Duration,
    previous: Duration,
}

impl ReplyTimeout {
    /// Creates the timeout of a peer whose reply times are not known yet.
    #[must_use]
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            last: Duration::ZERO,
            previous: Duration::ZERO,
        }
    }

    /// The timeout of the next call.
    #[must_use]
    pub fn current(&self) -> Duration {
        if self.last.min(self.previous) <= self.min {
            return self.min;
        }
        let reply_time = self.last.max(self.previous).min(self.max);
        (reply_time * TIMEOUT_FACTOR).clamp(self.min, self.max)
    }

    /// Records a reply, also of a call that has timed out.
    pub fn on_reply(&mut self, after: Duration) {
        self.previous = self.last;
        self.last = after;
    }

    /// Records that a call has got no reply within the maximum.
    pub fn on_no_reply(&mut self) {
        self.on_reply(Duration::ZERO);
    }
}

/// A [`ReplyTimeout`] that several connections to one peer share.
#[derive(Clone, Debug)]
pub struct SharedReplyTimeout(Arc<Mutex<ReplyTimeout>>);

impl SharedReplyTimeout {
    /// Shares the timeout.
    #[must_use]
    pub fn new(reply_timeout: ReplyTimeout) -> Self {
        Self(Arc::new(Mutex::new(reply_timeout)))
    }

    /// The timeout as it is now.
    #[must_use]
    pub fn get(&self) -> ReplyTimeout {
        *self.lock()
    }

    fn on_result(&self, result: &Result<Bytes, CallError>, after: Duration) {
        match result {
            Ok(_) | Err(CallError::Status { .. } | CallError::ResponseTooLarge { .. }) => {
                self.lock().on_reply(after);
            }
            Err(CallError::NotSent { .. } | CallError::Unknown { .. }) => self.lock().on_no_reply(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReplyTimeout> {
        self.0.lock().expect("no panic while the lock is held")
    }
}

/// A connection whose calls time out by the reply times of the peer.
pub struct AdaptiveConnection {
    address: SocketAddr,
    connection: Option<Connection>,
    reply_timeout: SharedReplyTimeout,
    /// Whether the reply to a call that has timed out is still awaited.
    is_late_awaited: Arc<Mutex<bool>>,
}

impl AdaptiveConnection {
    /// Creates a connection to `address`, which the first call opens.
    #[must_use]
    pub fn new(address: SocketAddr, reply_timeout: SharedReplyTimeout) -> Self {
        Self {
            address,
            connection: None,
            reply_timeout,
            is_late_awaited: Arc::new(Mutex::new(false)),
        }
    }

    /// Makes a call and decodes its JSON response. The timeout of `call` has no effect.
    ///
    /// # Errors
    ///
    /// As [`Self::call`], or if the response cannot be decoded.
    pub async fn call_json<T: DeserializeOwned>(&mut self, call: Call) -> Result<T, CallError> {
        let body = self.call(call).await?;
        serde_json::from_slice(&body).map_err(|error| self.unknown(error.to_string()))
    }

    /// Makes a call and decodes its postcard response. The timeout of `call` has no effect.
    ///
    /// # Errors
    ///
    /// As [`Self::call`], or if the response cannot be decoded.
    pub async fn call_postcard<T: DeserializeOwned>(&mut self, call: Call) -> Result<T, CallError> {
        let body = self.call(call).await?;
        postcard::from_bytes(&body).map_err(|error| self.unknown(error.to_string()))
    }

    /// Makes a call and returns the body of its response. The timeout of `call` has no effect.
    ///
    /// # Errors
    ///
    /// If there is no response in time, or its status is not a success.
    pub async fn call(&mut self, call: Call) -> Result<Bytes, CallError> {
        let reply_timeout = self.reply_timeout.get();
        let call = Call {
            timeout: reply_timeout.max,
            ..call
        };
        let connection = self.connection.take();
        let mut connection = connection.unwrap_or_else(|| Connection::new(self.address));
        connection.open().await?;
        let sent_at = Instant::now();
        let mut exchange = Box::pin(async move {
            let result = connection.call(call).await;
            (connection, result)
        });
        if let Ok((connection, result)) = timeout(reply_timeout.current(), &mut exchange).await {
            self.reply_timeout.on_result(&result, sent_at.elapsed());
            self.connection = Some(connection);
            return result;
        }
        // One late reply at a time tells enough about the peer.
        if !std::mem::replace(&mut *lock(&self.is_late_awaited), true) {
            let shared = self.reply_timeout.clone();
            let is_late_awaited = Arc::clone(&self.is_late_awaited);
            tokio::spawn(async move {
                let (_, result) = exchange.await;
                shared.on_result(&result, sent_at.elapsed());
                *lock(&is_late_awaited) = false;
            });
        }
        let timeout_ms = reply_timeout.current().as_millis();
        Err(self.unknown(format!("no reply in {timeout_ms} ms")))
    }

    fn unknown(&self, reason: String) -> CallError {
        CallError::Unknown {
            address: self.address,
            reason,
        }
    }
}

fn lock(is_awaited: &Mutex<bool>) -> MutexGuard<'_, bool> {
    is_awaited.lock().expect("no panic while the lock is held")
}
