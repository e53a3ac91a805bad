//! Suspects while the store does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_platform::store::Store;
use berylhook_quarantine::{
    Asking, Clearance, Gauges, Keeper, Loss, News, Patience, Surroundings, Suspects, Telling,
};

struct NoGauges;

impl Gauges for NoGauges {
    fn set_standings(&self, _suspected: usize, _held: usize) {}

    fn add_ended(&self, _requests: usize) {}
}

/// A process without peers, whose store refuses connections.
struct Alone;

impl Surroundings for Alone {
    fn name(&self) -> Arc<str> {
        "entry-1".into()
    }

    fn store(&self) -> Store {
        Store::new(SocketAddr::from(([127, 0, 0, 1], 9)))
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn tell(&self, _peer: SocketAddr, _news: News) -> Telling<'_> {
        Box::pin(async { Err("there is no peer".to_owned()) })
    }
}

struct Draft(Arc<str>);

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

const PATIENCE: Patience = Patience {
    turn: Duration::from_millis(1_500),
    answer: Duration::from_secs(3),
};

fn process() -> Arc<Suspects> {
    let suspects = Arc::new(Suspects::new(Arc::new(NoGauges)));
    let keeper = Keeper::new(Arc::clone(&suspects), Arc::new(Alone));
    tokio::spawn(Arc::new(keeper).run());
    suspects
}

// A request that all callers send was refused for minutes. A guilty one ended three targets
// within 70 ms while the store was away: the popular one was `on-trial` 11 ms after the first
// end and `held` 57 ms later. Each process lets a suspect run once at a time by a lock of its
// own then, and each of these runs counted as the only one of its kind over all processes, so
// that ends that came together counted one by one.
#[tokio::test]
async fn a_run_under_a_lock_of_this_process_alone_is_not_the_only_one_of_its_kind() {
    let suspects = process();
    let draft = Draft("drafts".into());
    suspects.on_ended(
        &"i-1".into(),
        &[Loss {
            digest: draft.digest(),
            ran_alone: false,
            request: "attempt".into(),
            account: "harbour".into(),
        }],
    );

    let mut clearance = Clearance::default();
    let cleared = suspects.clear(&draft, &mut clearance, PATIENCE).await;
    let mut other = Clearance::default();
    let at_once = Patience {
        turn: Duration::from_millis(200),
        ..PATIENCE
    };
    let second = suspects.clear(&draft, &mut other, at_once).await;

    assert!(cleared.is_ok(), "a suspect runs while the store is away");
    assert!(second.is_err(), "once at a time in this process");
    assert!(!clearance.runs_alone());
}
