//! Processes that keep what they know of requests under which targets end.

// Each test file is a program of its own and uses a part of this.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_platform::store::Store;
use berylhook_quarantine::{
    Asking, Gauges, Keeper, Loss, News, Patience, Surroundings, Suspects, Telling,
};

pub struct NoGauges;

impl Gauges for NoGauges {
    fn set_standings(&self, _suspected: usize, _held: usize) {}

    fn add_ended(&self, _requests: usize) {}
}

/// A process without peers.
pub struct Alone {
    /// Where its store is.
    pub store: SocketAddr,
}

impl Surroundings for Alone {
    fn name(&self) -> Arc<str> {
        "entry-1".into()
    }

    fn store(&self) -> Store {
        Store::new(self.store)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn tell(&self, _peer: SocketAddr, _news: News) -> Telling<'_> {
        Box::pin(async { Err("there is no peer".to_owned()) })
    }
}

/// A request to a service.
pub struct Draft(pub Arc<str>);

impl Asking for Draft {
    fn digest(&self) -> RequestDigest {
        RequestDigest::of(&RequestContent {
            method: "POST",
            path: "/draft",
            account: Some("harbour"),
            body: b"a draft",
        })
    }

    fn service(&self) -> &Arc<str> {
        &self.0
    }
}

pub const PATIENCE: Patience = Patience {
    turn: Duration::from_millis(1_500),
    answer: Duration::from_secs(3),
};

/// A process whose store is there.
pub fn process(store: SocketAddr) -> Arc<Suspects> {
    let suspects = Arc::new(Suspects::new(Arc::new(NoGauges)));
    let keeper = Keeper::new(Arc::clone(&suspects), Arc::new(Alone { store }));
    tokio::spawn(Arc::new(keeper).run());
    suspects
}

/// A loss of that request.
pub fn loss_of(draft: &Draft) -> Loss {
    Loss {
        digest: draft.digest(),
        ran_alone: false,
        request: "attempt".into(),
        account: "harbour".into(),
    }
}
