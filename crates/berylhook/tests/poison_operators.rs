//! Operator commands for poison requests: listing, lifting and pinning holds, and finding the
//! causes in logs.

mod common;

use std::process::Command;

use berylhook_test_support::{Behaviour, POISON_BODY, binary};

use crate::common::entry::until;
use crate::common::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME, put_on_hold, quarantine};

/// Returns the first digest in the output of `quarantine list`.
fn first_digest(fleet: &Fleet) -> String {
    let listed = quarantine(fleet, "list", &[]);
    let first = listed.split_whitespace().next();
    first.expect("a hold is listed").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_list_and_lift_holds() {
    let fleet = Fleet::start(2, 6).await;
    put_on_hold(&fleet).await;

    let listed = quarantine(&fleet, "list", &[]);
    let digest = first_digest(&fleet);
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }
    quarantine(&fleet, "lift", &[&digest]);
    tokio::time::sleep(PROPAGATION_TIME).await;

    assert!(listed.contains("held"), "{listed}");
    assert_eq!(listed.matches("i-").count(), MAX_EXITS, "{listed}");
    for entry in 0..2 {
        let response = fleet
            .send(entry, "/unsafe/draft", "lifted", POISON_BODY)
            .await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_pin_a_request_before_it_causes_three_exits() {
    let fleet = Fleet::start(2, 4).await;
    fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;

    quarantine(&fleet, "pin", &[&first_digest(&fleet)]);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let response = fleet.send(1, "/unsafe/draft", "next", POISON_BODY).await;

    assert_eq!((response.status, response.retry_after), (503, None));
    assert_eq!(fleet.exited_count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_digest_is_refused_with_a_hint() {
    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args([
            "quarantine",
            "lift",
            "--key-value",
            "http://127.0.0.1:9",
            "i-1",
        ])
        .output()
        .expect("the command runs");

    let error = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(error.contains("64 hexadecimal digits"), "{error}");
}

#[tokio::test]
async fn causes_by_digest_counts_the_exits_and_rejections_of_a_request() {
    let fleet = Fleet::start(1, 5).await;
    put_on_hold(&fleet).await;
    fleet
        .send(0, "/unsafe/draft", "held-attempt", POISON_BODY)
        .await;
    until(async || {
        fleet.entries[0]
            .daemon
            .output()
            .contains("a request was held back")
    })
    .await;

    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args(["causes", "--by", "digest"])
        .arg(&fleet.entries[0].daemon.log_path)
        .output()
        .expect("the command runs");

    let causes = String::from_utf8_lossy(&output.stdout);
    let of_account = causes.lines().find(|line| line.contains(" of harbour"));
    let line = of_account.expect("the account is named");
    assert_eq!(line.matches("ended i-").count(), MAX_EXITS, "{line}");
    assert!(line.contains("held back 1"), "{line}");
}
