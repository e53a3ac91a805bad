//! Requests under which targets end, on real entries between callers, stand-in
//! targets and the stand-in store.

mod common;

use std::time::Duration;

use berylhook_test_support::{Behaviour, Outage, POISON_BODY, PlatformTarget};
use futures_util::future::join_all;

use crate::common::entry::{start_entry, until, until_ready};
use crate::common::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME, put_on_hold, put_on_trial};

// Eight targets of one service ended one after the other, each within half a second of
// the moment at which the service could run again, and nobody was served in between. One
// request had come back after each end, under a new attempt id and at any entry, and an
// entry kept nothing of an attempt beyond its end. Of the last of them the log had
// `result: streams` and 98 ms later `result: broke-off`, with all others in flight there.
#[tokio::test]
async fn a_request_that_comes_again_at_any_entry_ends_three_targets_at_most() {
    for path in [
        "/unsafe/draft",
        "/once/stream",
        "/safe/draft",
        "/stream/draft",
    ] {
        let fleet = Fleet::start(2, 8).await;

        for number in 0..8 {
            fleet
                .send(number, path, &format!("{path}-{number}"), POISON_BODY)
                .await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }

        assert!(
            fleet.exited_count() <= MAX_EXITS,
            "{path}: {}",
            fleet.exited_count()
        );
        assert_eq!(
            fleet.send(0, path, "another", "a draft").await.status,
            200,
            "{path}"
        );
    }
}

// The first lines that settled the case: the digest is the same for each of its attempts.
#[tokio::test]
async fn the_log_tells_that_a_request_has_come_again() {
    let fleet = Fleet::start(1, 3).await;

    fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    fleet.send(0, "/unsafe/draft", "second", POISON_BODY).await;

    let digest_of = |attempt: &str| {
        let output = fleet.entries[0].daemon.output();
        let mut lines = output.lines().filter(|line| line.contains(attempt));
        let line = lines.find(|line| line.contains("answer-lost"))?.to_owned();
        let (_, rest) = line.split_once("\"digest\":\"")?;
        Some(rest[..64].to_owned())
    };
    until(async || digest_of("second").is_some()).await;
    assert_eq!(digest_of("first"), digest_of("second"));
}

// Three targets ended within 50 ms of each other, since three copies of the request had
// waited for the service at three entries and all were let go when it was back. Each copy
// was sent on what its own entry knew when it came, not when it was sent.
#[tokio::test]
async fn copies_at_all_entries_run_one_after_the_other_once_a_target_has_ended() {
    let fleet = Fleet::start(4, 12).await;
    fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;

    let copies = (0..12).map(|number| {
        let fleet = &fleet;
        async move {
            let attempt = format!("copy-{number}");
            fleet
                .send(number, "/unsafe/draft", &attempt, POISON_BODY)
                .await
        }
    });
    let responses = join_all(copies).await;

    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
    let sent = responses
        .iter()
        .filter(|response| response.status == 502)
        .count();
    let rejected = responses
        .iter()
        .filter(|response| response.status == 503)
        .count();
    assert_eq!(
        (sent, rejected),
        (fleet.exited_count() - 1, 12 - sent),
        "{responses:?}"
    );
}

#[tokio::test]
async fn the_caller_is_told_that_it_did_not_run_and_when_coming_back_can_help() {
    let fleet = Fleet::start(2, 6).await;
    let sent = fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    put_on_hold_after_first(&fleet).await;

    let started_at = std::time::Instant::now();
    let rejected = fleet.send(1, "/unsafe/draft", "last", POISON_BODY).await;

    assert_eq!((sent.status, sent.retry_after), (502, None));
    assert_eq!(rejected.status, 503);
    assert!(rejected.body.contains("held-back"), "{}", rejected.body);
    assert!(
        rejected.body.contains("it did not run"),
        "{}",
        rejected.body
    );
    let retry_after_s: f64 = rejected
        .retry_after
        .expect("a time")
        .parse()
        .expect("seconds");
    assert!((200.0..=300.0).contains(&retry_after_s), "{retry_after_s}");
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "it is told at once"
    );
}

async fn put_on_hold_after_first(fleet: &Fleet) {
    for number in 0..2 {
        tokio::time::sleep(PROPAGATION_TIME).await;
        fleet
            .send(0, "/unsafe/draft", &format!("more-{number}"), POISON_BODY)
            .await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(fleet.exited_count(), MAX_EXITS);
}

// What an entry knows must not end with its process: on a rolling restart the request
// would end three targets more for each.
#[tokio::test]
async fn an_entry_that_starts_later_knows_what_is_held() {
    let mut fleet = Fleet::start(1, 6).await;
    put_on_hold(&fleet).await;

    fleet.start_entry().await;
    let later = fleet.send(1, "/unsafe/draft", "later", POISON_BODY).await;

    assert_eq!((later.status, fleet.exited_count()), (503, MAX_EXITS));
}

// The same with all entries gone at once, as after a loss of power: only the store is left.
#[tokio::test]
async fn what_is_held_outlasts_all_entries() {
    let mut fleet = Fleet::start(2, 6).await;
    put_on_hold(&fleet).await;
    fleet.entries.clear();

    fleet.start_entry().await;
    let later = fleet.send(0, "/unsafe/draft", "later", POISON_BODY).await;

    assert_eq!((later.status, fleet.exited_count()), (503, MAX_EXITS));
}

// An entry that its peers cannot reach learns from the store.
#[tokio::test]
async fn an_entry_without_peers_learns_from_the_store() {
    let mut fleet = Fleet::start(1, 6).await;
    let unpeered = start_entry(&fleet.store, &[]);
    until_ready(&unpeered).await;
    fleet.entries.push(unpeered);

    put_on_hold(&fleet).await;
    let there = fleet.send(1, "/unsafe/draft", "there", POISON_BODY).await;

    assert_eq!((there.status, fleet.exited_count()), (503, MAX_EXITS));
}

// While the store is away peers are the only way, and no lock can be had: a request on
// trial does not run, whoever has it.
#[tokio::test]
async fn without_the_store_peers_tell_and_a_request_on_trial_waits_for_the_store() {
    let fleet = Fleet::start(2, 6).await;
    fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet.store.set_outage(Outage::Refusing);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let mut statuses = Vec::new();
    for number in 0..6 {
        let attempt = format!("away-{number}");
        statuses.push(
            fleet
                .send(number, "/unsafe/draft", &attempt, POISON_BODY)
                .await
                .status,
        );
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    assert_eq!(fleet.exited_count(), 2, "{statuses:?}");
    assert_eq!(statuses[1..], [503; 5]);
    assert_eq!(
        fleet
            .send(1, "/safe/draft", "another", "a draft")
            .await
            .status,
        200
    );
}

// Who was beside the guilty request goes on: a suspect is delayed, not refused.
#[tokio::test]
async fn requests_that_were_at_the_ended_target_are_served_when_they_come_again() {
    let fleet = Fleet::start(2, 4).await;
    for target in &fleet.targets[1..] {
        target.register(&fleet.store, "push", "draining");
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let concurrent = (0..6).map(|number| {
        let fleet = &fleet;
        async move {
            let body = format!("draft {number}");
            fleet
                .send(number, "/once/stream", &format!("near-{number}"), &body)
                .await
        }
    });
    let poison = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        fleet.send(0, "/unsafe/draft", "guilty", POISON_BODY).await
    };
    let (cut, _) = tokio::join!(join_all(concurrent), poison);
    assert!(
        cut.iter().any(|response| !response.is_complete),
        "some were cut"
    );
    for target in &fleet.targets[1..] {
        target.register(&fleet.store, "push", "ready");
    }
    tokio::time::sleep(PROPAGATION_TIME).await;

    let again = (0..6).map(|number| {
        let fleet = &fleet;
        async move {
            let body = format!("draft {number}");
            fleet
                .send(
                    number + 1,
                    "/once/stream",
                    &format!("again-{number}"),
                    &body,
                )
                .await
        }
    });
    let again = join_all(again).await;

    let statuses: Vec<u16> = again.iter().map(|response| response.status).collect();
    assert_eq!(statuses, [200; 6]);
}

// A target that leaves as planned ends with whatever it had left; nobody is blamed.
#[tokio::test]
async fn a_target_that_leaves_and_ends_makes_no_suspects() {
    let fleet = Fleet::start(1, 2).await;
    let cut = fleet.send(0, "/once/stream", "near", "a draft");
    let leaving = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        for target in &fleet.targets {
            target.register(&fleet.store, "push", "draining");
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        for target in &fleet.targets {
            target.kill();
        }
    };

    tokio::join!(cut, leaving);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let output = fleet.entries[0].daemon.output();
    assert!(
        !output.contains("a target ended with a request"),
        "{output}"
    );
}

// A reset connection is no end: the target still listens.
#[tokio::test]
async fn a_target_that_loses_answers_and_lives_makes_no_suspects() {
    let fleet = Fleet::start(1, 3).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::DropsResponses);
    }

    for number in 0..6 {
        fleet
            .send(0, "/unsafe/draft", &format!("lost-{number}"), "a draft")
            .await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }

    assert_eq!(
        fleet
            .send(0, "/unsafe/draft", "after", "a draft")
            .await
            .status,
        200
    );
    let output = fleet.entries[0].daemon.output();
    assert!(
        !output.contains("a target ended with a request"),
        "{output}"
    );
}

// A supervisor may start a process again before anybody finds its address without one.
// The younger target at the address is then what shows that the former has ended.
#[tokio::test]
async fn a_younger_target_at_the_address_proves_the_end_of_the_former() {
    let fleet = Fleet::start(1, 1).await;
    let previous = &fleet.targets[0];
    previous.set_behaviour(Behaviour::DropsResponses);
    fleet.send(0, "/unsafe/draft", "lost", "a draft").await;
    tokio::time::sleep(PROPAGATION_TIME).await;

    previous.kill();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let successor = PlatformTarget::start_at("i-younger", previous.address()).await;
    successor.register(&fleet.store, "push", "ready");

    until(async || {
        let output = fleet.entries[0].daemon.output();
        output.contains("a target ended with a request")
    })
    .await;
}

// An engine that was mended lets the request through again: one target outlives it, and
// what was held against it is taken back.
#[tokio::test]
async fn a_suspect_that_a_target_outlives_is_cleared_everywhere() {
    let fleet = Fleet::start(2, 4).await;
    put_on_trial(&fleet).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }

    for number in 0..4 {
        let attempt = format!("mended-{number}");
        let response = fleet
            .send(number, "/unsafe/draft", &attempt, POISON_BODY)
            .await;
        assert_eq!(response.status, 200, "{number}");
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let metrics = fleet.entries[1].daemon.output();
    assert!(metrics.contains("suspicions learnt"));
}

// A soak found callers refused by an entry that had just started: it read in the store which
// targets had ended with their request, and not that others had outlived it since.
#[tokio::test]
async fn an_entry_that_starts_later_knows_what_was_outlived_too() {
    let mut fleet = Fleet::start(1, 6).await;
    put_on_trial(&fleet).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }
    for number in 0..2 {
        let attempt = format!("mended-{number}");
        fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
    fleet.entries.clear();

    fleet.start_entry().await;
    fleet.send(0, "/unsafe/draft", "later", POISON_BODY).await;

    let output = fleet.entries[0].daemon.output();
    assert!(!output.contains("a suspect runs alone"), "{output}");
}

// An entry that dies with a lock must not stop the request for good.
#[tokio::test]
async fn a_lock_ends_with_the_entry_that_held_it() {
    let mut fleet = Fleet::start(2, 4).await;
    put_on_trial(&fleet).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Hangs);
    }
    let stuck = tokio::time::timeout(
        Duration::from_millis(500),
        fleet.send(1, "/unsafe/draft", "stuck", POISON_BODY),
    );
    assert!(stuck.await.is_err(), "it runs and hangs");
    fleet.entries.pop();
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }

    until(async || {
        let response = fleet.send(0, "/unsafe/draft", "next", POISON_BODY).await;
        response.status == 200
    })
    .await;
}

// Targets went on ending although no send had lost an answer: the callers of the guilty
// request left at once, and with them went the only trace of where it ran.
#[tokio::test]
async fn a_target_that_ends_under_a_request_whose_caller_left_is_laid_to_it() {
    let fleet = Fleet::start(1, 6).await;
    for number in 0..6 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY);
        // Once it is held back it is answered at once.
        let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
        // Others come to the targets meanwhile.
        tokio::time::sleep(Duration::from_millis(60)).await;
        for other in 0..12 {
            fleet
                .send(0, "/safe/draft", "other", &format!("a draft {other}"))
                .await;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let log = fleet.entries[0].daemon.output();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// The same with nobody else about. A target that had ended under a request whose caller had
// left was found only by the next request that came to it. Until then the request ran
// again and ended another; the two ends were noticed 12 ms apart, in the lines
// `"target":"i-4"` at .335 and `"target":"i-1"` at .347, taken for ones that came together,
// and counted as one.
#[tokio::test]
async fn a_target_that_ended_after_the_caller_left_is_found_before_the_request_comes_again() {
    let fleet = Fleet::start(2, 8).await;
    for number in 0..8 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(number, "/unsafe/draft", &attempt, POISON_BODY);
        // Once it is held back it is answered at once.
        let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let log = fleet.entries[0].daemon.output();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// The entry gives a run up when its time is over, and nobody loses an answer either: a
// request with little time left ended one target each time it came.
#[tokio::test]
async fn a_target_that_ends_under_a_run_that_was_given_up_is_laid_to_it() {
    let fleet = Fleet::start(2, 8).await;
    for number in 0..8 {
        let attempt = format!("late-{number}");
        fleet
            .send_with_deadline(number, "/unsafe/draft", &attempt, POISON_BODY, 20)
            .await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    assert!(fleet.exited_count() > 0, "it reached none");
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
}
