//! Tests that the shares of a limit never exceed the part of it that the home divides.

use berylhook_core::limit::{
    GrantedShare, LimitHome, ShareConfig, ShareHolder, ShareRequest, TokenBucket,
};
use berylhook_core::time::MonoMs;
use proptest::prelude::*;

const LIMIT: f64 = 100.0;
const HOLDERS: usize = 4;

/// A step of the random test.
#[derive(Clone, Debug)]
enum Step {
    /// A holder requests a share. Request and reply take the given times; without
    /// `reply_ms`, the reply is lost.
    Request {
        holder: usize,
        demand: f64,
        request_ms: u64,
        reply_ms: Option<u64>,
    },
    /// Time passes, in milliseconds.
    Wait(u64),
    /// Another process becomes the home.
    NewHome,
    /// A holder restarts and loses its share.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..HOLDERS, 0.0..200.0f64, 0..400u64, proptest::option::of(0..400u64)).prop_map(
            |(holder, demand, request_ms, reply_ms)| Step::Request {
                holder, demand, request_ms, reply_ms,
            }
        ),
        3 => (0..2_000u64).prop_map(Step::Wait),
        1 => Just(Step::NewHome),
        1 => (0..HOLDERS).prop_map(Step::Restart),
    ]
}

/// A grant that is still in transit.
struct InTransit {
    holder: usize,
    identity: u64,
    arrives_ms: MonoMs,
    grant: GrantedShare,
}

struct Simulation {
    now_ms: MonoMs,
    home: LimitHome,
    epoch: u64,
    holders: Vec<ShareHolder>,
    identities: Vec<u64>,
    in_transit: Vec<InTransit>,
}

impl Simulation {
    fn new() -> Self {
        let config = ShareConfig::default();
        Self {
            now_ms: MonoMs(10_000),
            home: LimitHome::takeover(config, LIMIT, 1, MonoMs(0)),
            epoch: 1,
            holders: (0..HOLDERS).map(|_| ShareHolder::new()).collect(),
            identities: (0..HOLDERS as u64).collect(),
            in_transit: Vec::new(),
        }
    }

    fn advance(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        self.in_transit
            .sort_by_key(|in_transit| in_transit.arrives_ms);
        while let Some(in_transit) = self.in_transit.first() {
            if in_transit.arrives_ms > until_ms {
                break;
            }
            let in_transit = self.in_transit.remove(0);
            self.now_ms = self.now_ms.max(in_transit.arrives_ms);
            if self.identities[in_transit.holder] == in_transit.identity {
                self.holders[in_transit.holder].on_grant(&in_transit.grant);
            }
            self.assert_shares_within_limit();
        }
        self.now_ms = until_ms;
        self.assert_shares_within_limit();
    }

    fn run_step(&mut self, step: &Step) {
        match *step {
            Step::Wait(ms) => self.advance(ms),
            Step::NewHome => {
                self.epoch += 1;
                let config = ShareConfig::default();
                self.home = LimitHome::takeover(config, LIMIT, self.epoch, self.now_ms);
            }
            Step::Restart(holder) => {
                self.holders[holder] = ShareHolder::new();
                self.identities[holder] += 1_000;
            }
            Step::Request {
                holder,
                demand,
                request_ms,
                reply_ms,
            } => self.request(holder, demand, request_ms, reply_ms),
        }
        self.assert_shares_within_limit();
    }

    fn request(&mut self, holder: usize, demand: f64, request_ms: u64, reply_ms: Option<u64>) {
        let confirmed_seq =
            Some(self.holders[holder].confirmed_seq()).filter(|request_seq| *request_seq > 0);
        let request_seq = self.holders[holder].begin_request(self.now_ms);
        let identity = self.identities[holder];
        self.advance(request_ms);
        let request = ShareRequest {
            holder: identity,
            request_seq,
            demand,
            in_use: 0.0,
            confirmed_seq,
        };
        let grant = self.home.on_request(&request, self.now_ms);
        if let Some(reply_ms) = reply_ms {
            self.in_transit.push(InTransit {
                holder,
                identity,
                arrives_ms: self.now_ms + reply_ms,
                grant,
            });
        }
    }

    fn assert_shares_within_limit(&self) {
        let sum: f64 = self
            .holders
            .iter()
            .map(|holder| holder.share(self.now_ms))
            .sum();
        let divided_limit = LIMIT * (1.0 - ShareConfig::default().static_fraction);
        assert!(sum <= divided_limit + 1e-9, "shares add up to {sum}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a client account that gets more than its limit over all entries,
    /// because a share is granted again before its previous holder has stopped using it.
    /// Messages are lost and late, holders restart and homes are replaced.
    #[test]
    fn shares_never_exceed_the_limit(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run_step(step);
        }
    }
}

#[test]
fn a_share_follows_demand() {
    let mut simulation = Simulation::new();
    for _ in 0..20 {
        simulation.request(0, 90.0, 1, Some(1));
        simulation.advance(250);
        simulation.request(1, 10.0, 1, Some(1));
        simulation.advance(250);
    }

    let busy = simulation.holders[0].share(simulation.now_ms);
    let quiet = simulation.holders[1].share(simulation.now_ms);

    assert!(busy > 65.0, "{busy}");
    assert!(quiet < 15.0, "{quiet}");
}

#[test]
fn an_empty_bucket_returns_the_time_until_the_next_token() {
    let mut bucket = TokenBucket::new(2.0, MonoMs(0));
    assert_eq!(bucket.take(MonoMs(0)), Ok(()));
    assert_eq!(bucket.take(MonoMs(0)), Ok(()));

    let wait = bucket.take(MonoMs(0));

    assert_eq!(wait, Err(500));
    assert_eq!(bucket.take(MonoMs(500)), Ok(()));
}

/// Guards against exceeding a concurrency limit, such as eleven requests under a limit of
/// ten. An entry fills its share with long requests, demand moves to another entry, and
/// the first entry's share is lowered and confirmed. Its running requests cannot be
/// cancelled and still occupy the old share.
#[test]
fn a_lowered_share_is_not_granted_to_others_while_requests_run_above_it() {
    let config = ShareConfig::default();
    let mut home = LimitHome::takeover(config, LIMIT, 1, MonoMs(0));
    let mut request = |holder, request_seq, demand, in_use, now_ms| {
        let request = ShareRequest {
            holder,
            request_seq,
            demand,
            in_use,
            confirmed_seq: Some(request_seq - 1).filter(|request_seq| *request_seq > 0),
        };
        home.on_request(&request, MonoMs(now_ms)).share
    };
    let first = request(1, 1, 80.0, 0.0, 10_000);

    let lowered = request(1, 2, 40.0, 70.0, 10_500);
    let other = request(2, 1, 200.0, 0.0, 10_600);
    request(1, 3, 40.0, 70.0, 11_000);
    let other_later = request(2, 2, 200.0, 0.0, 11_100);
    request(1, 4, 0.0, 0.0, 11_500);
    request(1, 5, 0.0, 0.0, 12_000);
    let other_at_last = request(2, 3, 200.0, 0.0, 12_100);

    assert!(first >= 79.0, "{first}");
    assert!(lowered <= 80.0);
    assert!(
        other <= 10.0 && other_later <= 10.0,
        "{other} {other_later}"
    );
    assert!(other_at_last > 50.0, "{other_at_last}");
}
