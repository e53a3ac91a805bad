//! The agent's side of "not run": which orders may still start.
//!
//! An entry that loses patience revokes its order. The order itself may still
//! be on its way: if it arrives after the revoke was answered with "will not
//! run", the caller holds a false "not run" and may send the request twice.
//! The gate therefore remembers a revoke until the order's start deadline,
//! after which the order is refused as too late in any case.
//!
//! The start deadline is a reading of the *agent's* monotonic clock. The
//! entry derives it from the clock sample in the agent's last heartbeat, so
//! neither a delayed message nor a stepped wall clock can extend it.
//!
//! What the gate cannot know: what a former incarnation of the agent did.
//! Orders name the incarnation they are for, and a restarted agent answers
//! every revoke for another incarnation with [`RevokeReply::NoRecord`].

use indexmap::IndexMap;

use crate::ids::{Incarnation, RequestId};
use crate::outcome::Refusal;
use crate::time::MonoMs;

/// The agent's answer to a revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeReply {
    /// The order has not started and never will.
    WillNotRun,
    /// The order had started.
    Started,
    /// This incarnation cannot say.
    NoRecord,
}

/// An order as it arrives at the agent.
#[derive(Clone, Copy, Debug)]
pub struct RunCommand {
    /// The attempt.
    pub id: RequestId,
    /// The agent incarnation the order is meant for.
    pub for_incarnation: Incarnation,
    /// After this reading of the agent's clock the order must not start.
    pub start_by_ms: MonoMs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Started,
    Revoked,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fate: Fate,
    forget_after_ms: MonoMs,
}

/// Remembers started and revoked orders until their start deadline.
#[derive(Debug)]
pub struct StartGate {
    incarnation: Incarnation,
    capacity: usize,
    draining: bool,
    entries: IndexMap<RequestId, Entry>,
    swept_at_ms: MonoMs,
}

/// Sweeping more often than this costs more than the memory it frees.
const SWEEP_EVERY_MS: u64 = 250;

impl StartGate {
    /// A gate that remembers at most `capacity` orders at a time.
    #[must_use]
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            capacity,
            draining: false,
            entries: IndexMap::new(),
            swept_at_ms: MonoMs(0),
        }
    }

    /// From now on every new order is refused as draining.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the gate refuses all new orders.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Orders remembered at present.
    #[must_use]
    pub fn tracked_commands(&self) -> usize {
        self.entries.len()
    }

    /// Decides whether `order` may start now; an accepted order is started.
    ///
    /// # Errors
    ///
    /// The refusal proves that this order did not start and never will.
    pub fn start(&mut self, order: RunCommand, now_ms: MonoMs) -> Result<(), Refusal> {
        self.sweep(now_ms);
        let known = self.entries.get(&order.id).map(|entry| entry.fate);
        match known {
            _ if order.for_incarnation != self.incarnation => Err(Refusal::WrongIncarnation),
            Some(Fate::Revoked) => Err(Refusal::Revoked),
            // A transport that delivers twice must not start twice. The first
            // copy's answer stands, so the second is dropped by the caller.
            Some(Fate::Started) => Err(Refusal::Busy),
            None if now_ms > order.start_by_ms => Err(Refusal::TooLate),
            None if self.draining => Err(Refusal::Draining),
            None if self.entries.len() >= self.capacity => Err(Refusal::Busy),
            None => {
                self.remember(order.id, Fate::Started, order.start_by_ms);
                Ok(())
            }
        }
    }

    /// Whether this very order has started here.
    #[must_use]
    pub fn has_started(&self, id: RequestId) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| entry.fate == Fate::Started)
    }

    /// Decides a revoke, and remembers it until the order can no longer start.
    pub fn revoke(&mut self, order: RunCommand, now_ms: MonoMs) -> RevokeReply {
        self.sweep(now_ms);
        let known = self.entries.get(&order.id).map(|entry| entry.fate);
        match known {
            _ if order.for_incarnation != self.incarnation => RevokeReply::NoRecord,
            Some(Fate::Started) => RevokeReply::Started,
            Some(Fate::Revoked) => RevokeReply::WillNotRun,
            // Past its start deadline the record of a start may have been
            // swept, so silence proves nothing any more.
            None if now_ms > order.start_by_ms => RevokeReply::NoRecord,
            None if self.entries.len() >= self.capacity => RevokeReply::NoRecord,
            None => {
                self.remember(order.id, Fate::Revoked, order.start_by_ms);
                RevokeReply::WillNotRun
            }
        }
    }

    fn remember(&mut self, id: RequestId, fate: Fate, forget_after_ms: MonoMs) {
        self.entries.insert(
            id,
            Entry {
                fate,
                forget_after_ms,
            },
        );
    }

    fn sweep(&mut self, now_ms: MonoMs) {
        if now_ms.since(self.swept_at_ms) < SWEEP_EVERY_MS {
            return;
        }
        self.swept_at_ms = now_ms;
        self.entries
            .retain(|_, entry| entry.forget_after_ms >= now_ms);
    }
}
