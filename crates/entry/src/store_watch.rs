//! Following the store: one long watch a topic, for as long as the process lives.
//!
//! Each topic has a watch of its own: one watch over all keys would wake every
//! entry at each switch of a map, and every answered watch is paid for.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_platform::store::{Store, StoreError, Topic, Watched};
use berylhook_quarantine::stored;
use tokio::time::sleep;

use crate::control::{Control, Followed};

/// Keys by which the leaders of the groups are elected.
const LEADER_PREFIX: &str = "berylhook/leader/";

/// Longest wait of one watch; the platform allows 30 s. Connections that go
/// silent are found by probes, not by the end of the wait.
const WATCH_WAIT_MS: u64 = 25_000;

/// Wait of a watch that finds out whether the store is back.
const RETURN_WATCH_WAIT_MS: u64 = 1;

/// Pause between an answered watch and the next. Changes come in bursts, each
/// call is paid for, and this adds little to the seconds a change may take.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// The same for targets. Hundreds register within seconds, and with fifty entries each
/// answer is paid for fifty times. The first change of a burst is told at once; a target
/// that leaves may get requests for two seconds more.
const TARGETS_WATCH_PAUSE: Duration = Duration::from_millis(400);

/// First and longest wait after a failed call. The store is shared by all
/// processes, which must not all return at once.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 600;

/// An absence at least this long may have let the targets' entries lapse.
const AWAY_MS: u64 = 700;

fn topic(followed: Followed) -> Topic<'static> {
    match followed {
        Followed::Configuration => Topic::Configuration,
        Followed::Targets => Topic::Targets,
        Followed::Leaders => Topic::Own(LEADER_PREFIX),
        Followed::Quarantine => Topic::Own(stored::PREFIX),
    }
}

fn watch_pause(followed: Followed) -> Duration {
    match followed {
        Followed::Targets => TARGETS_WATCH_PAUSE,
        Followed::Configuration | Followed::Leaders | Followed::Quarantine => WATCH_PAUSE,
    }
}

/// Whether the store answers one task, and since when it does not.
struct Contact {
    followed: Followed,
    failures: u32,
    lost_ms: Option<u64>,
}

/// Follows one topic for as long as the process lives.
pub(crate) async fn follow_store(control: Arc<Control>, followed: Followed) {
    let mut store = control.open();
    let mut contact = Contact {
        followed,
        failures: 0,
        lost_ms: None,
    };
    let mut position = None;
    loop {
        let answered = match position {
            None => read(&control, &mut store, followed, &mut contact).await,
            Some(position) => {
                let wait_ms = contact.watch_wait_ms();
                watch_once(&control, &mut store, followed, position, wait_ms).await
            }
        };
        match answered {
            Ok(Answered::Read(read)) => position = Some(read),
            Ok(Answered::Watched(watched)) => {
                contact.regained(&control);
                position = Some(watched.position);
                control.apply(watched);
                sleep(watch_pause(followed)).await;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(topic = followed.name(); "the store's history is gone; reading the keys");
                position = None;
            }
            Err(StoreError::Restored) => {
                log::warn!(topic = followed.name(); "the store was restored from an older copy; reading the keys");
                position = None;
            }
            Err(error) => {
                contact.lost(&control, &error);
                sleep(contact.retry_after()).await;
                store = control.reopen(store);
            }
        }
    }
}

enum Answered {
    /// The keys were read; a watch goes on from this position.
    Read(Position),
    Watched(Watched),
}

async fn read(
    control: &Control,
    store: &mut Store,
    followed: Followed,
    contact: &mut Contact,
) -> Result<Answered, StoreError> {
    let position = match followed {
        Followed::Configuration => {
            let read = store.configuration().await;
            count(control, "read", &read);
            let (document, position) = read?;
            contact.regained(control);
            control.take(document, None, "store");
            position
        }
        Followed::Targets => {
            let read = store.listing().await;
            count(control, "read", &read);
            let listing = read?;
            contact.regained(control);
            let position = listing.position;
            control.take(None, Some(listing), "store");
            position
        }
        Followed::Leaders => {
            let read = store.position_of(LEADER_PREFIX).await;
            count(control, "read", &read);
            let position = read?;
            contact.regained(control);
            control.own_keys.send_modify(|count| *count += 1);
            position
        }
        Followed::Quarantine => {
            let read = store.own_items(stored::PREFIX).await;
            count(control, "read", &read);
            let (items, position) = read?;
            contact.regained(control);
            control.take_quarantine(&items, position);
            position
        }
    };
    Ok(Answered::Read(position))
}

async fn watch_once(
    control: &Control,
    store: &mut Store,
    followed: Followed,
    position: Position,
    wait_ms: u64,
) -> Result<Answered, StoreError> {
    let watched = tokio::select! {
        watched = store.watch(topic(followed), position, wait_ms) => watched,
        () = control.restored_since(position) => Err(StoreError::Restored),
    };
    count(control, "watch", &watched);
    Ok(Answered::Watched(watched?))
}

fn count<T>(control: &Control, call: &'static str, result: &Result<T, StoreError>) {
    let result = match result {
        Ok(_) => "ok",
        Err(StoreError::HistoryGone) => "history-gone",
        Err(StoreError::Restored) => "restored",
        Err(_) => "failed",
    };
    control.count_store_call(call, result);
}

impl Contact {
    fn regained(&mut self, control: &Control) {
        control.set_answers(self.followed, true);
        let Some(lost_ms) = self.lost_ms.take() else {
            return;
        };
        let away_ms = control.now_ms().0.saturating_sub(lost_ms);
        let topic = self.followed.name();
        log::info!(topic, away_ms, failures = self.failures; "the store answers again");
        if self.followed == Followed::Targets && away_ms >= AWAY_MS {
            control.store_returned();
        }
        self.failures = 0;
    }

    fn lost(&mut self, control: &Control, error: &StoreError) {
        if self.failures == 0 {
            let topic = self.followed.name();
            log::warn!(topic, reason:% = error; "the store does not answer");
        }
        self.failures = self.failures.saturating_add(1);
        let now_ms = control.now_ms().0;
        self.lost_ms.get_or_insert(now_ms);
        control.set_answers(self.followed, false);
    }

    /// How long the next watch may wait.
    ///
    /// One that follows a failure does not: a long one would answer at the next
    /// change only, and that change would pass for one of the outage.
    fn watch_wait_ms(&self) -> u64 {
        if self.failures > 0 {
            RETURN_WATCH_WAIT_MS
        } else {
            WATCH_WAIT_MS
        }
    }

    fn retry_after(&self) -> Duration {
        let doubled = RETRY_MIN_MS << self.failures.min(8);
        let longest_ms = doubled.min(RETRY_MAX_MS);
        Duration::from_millis(longest_ms / 2 + rand::random::<u64>() % (longest_ms / 2))
    }
}
