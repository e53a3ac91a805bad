//! Engines whose ranks pause their groups for a switch of the expert map.
//!
//! They get no new requests: if the VM of such an engine freezes, the requests that it has not
//! begun can be neither served nor cancelled until the VM resumes. A notice expires by itself, as
//! the leader that sent it may disappear. Notices are kept by address, since an engine may be
//! listed after its notice has arrived.

use std::net::SocketAddr;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::engine_update::PauseNotice;

/// Upper limit on the time for which one notice withholds requests, in case it is garbled.
const MAX_NOTICE_MS: u64 = 5_000;

/// How long a notice is remembered to recognise older ones that arrive later.
const NOTICE_MEMORY_MS: u64 = 60_000;

/// The last notice on one engine.
#[derive(Clone, Copy, Debug)]
struct LastNotice {
    order: (u64, u64),
    received_ms: MonoMs,
    until_ms: MonoMs,
}

/// The engines that get no new requests because their ranks pause their groups.
#[derive(Debug, Default)]
pub(super) struct PausingEngines {
    by_address: IndexMap<SocketAddr, LastNotice>,
}

impl PausingEngines {
    /// Applies a notice, unless a newer one on the same engine was received.
    pub(super) fn apply(&mut self, notice: PauseNotice, now_ms: MonoMs) {
        self.by_address
            .retain(|_, last| now_ms.since(last.received_ms) < NOTICE_MEMORY_MS);
        let last = self.by_address.get(&notice.engine);
        if last.is_some_and(|last| notice.order() < last.order) {
            return;
        }
        let last = LastNotice {
            order: notice.order(),
            received_ms: now_ms,
            until_ms: now_ms + notice.duration_ms.min(MAX_NOTICE_MS),
        };
        self.by_address.insert(notice.engine, last);
    }

    /// Whether the engine at this address gets no new requests.
    pub(super) fn contains(&self, address: SocketAddr, now_ms: MonoMs) -> bool {
        let last = self.by_address.get(&address);
        last.is_some_and(|last| now_ms < last.until_ms)
    }
}
