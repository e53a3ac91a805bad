//! Parts of prompts on which targets exit, with real entries between callers, stand-in targets and
//! the stand-in store.

mod common;

use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_test_support::{Behaviour, POISON_PART, binary};
use futures_util::future::join_all;

use crate::common::entry::until;
use crate::common::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME, quarantine};
use crate::common::poison_parts::{
    poison_parts, put_part_on_hold, send_parts, send_poison_beside_sound, sound_parts,
};

const TARGETS: usize = 14;
const POISON_REQUESTS: usize = 16;

/// Time after which a caller disconnects, before its target exits.
const LEAVES_AFTER: Duration = Duration::from_millis(15);

/// Sends requests with a poison part through `entries` entries on each kind of route, and asserts
/// how many targets exit and that sound requests are served.
async fn assert_poison_part_is_held(entries: usize) {
    for path in [
        "/unsafe/draft",
        "/safe/draft",
        "/once/stream",
        "/stream/draft",
    ] {
        let fleet = Fleet::start(entries, TARGETS).await;

        let late = send_poison_beside_sound(&fleet, path, POISON_REQUESTS).await;

        let exits = fleet.exited_count();
        assert!(
            exits <= MAX_EXITS,
            "{path}: {exits} targets exited, {late:?}"
        );
        let (sent, served) = (
            late.sent.load(Ordering::Relaxed),
            late.served.load(Ordering::Relaxed),
        );
        assert!(sent > 0 && served == sent, "{path}: {late:?}");
    }
}

// Guards against a part of prompts that stops one target after the other, because each request with
// it has other content and so is known for nothing.
#[tokio::test]
async fn a_poison_part_in_requests_at_two_entries_causes_at_most_three_exits() {
    assert_poison_part_is_held(2).await;
}

#[tokio::test]
async fn a_poison_part_in_requests_at_six_entries_causes_at_most_three_exits() {
    assert_poison_part_is_held(6).await;
}

// Guards against an entry that checks a request when it arrives and not when it is sent: requests
// with the part wait at all entries when the first target exits.
#[tokio::test]
async fn requests_that_wait_at_all_entries_run_one_at_a_time_after_an_exit() {
    let fleet = Fleet::start(6, TARGETS).await;
    send_parts(&fleet, 0, "/once/stream", "first", &poison_parts(1)).await;
    tokio::time::sleep(PROPAGATION_TIME).await;

    let attempts: Vec<String> = (0..24).map(|number| format!("next-{number}")).collect();
    let sends = attempts.iter().enumerate().map(|(number, attempt)| {
        let fleet = &fleet;
        async move {
            let parts = poison_parts(10 + number);
            send_parts(fleet, number, "/once/stream", attempt, &parts).await
        }
    });
    let results = join_all(sends).await;

    let exits = fleet.exited_count();
    assert!(exits <= MAX_EXITS, "{exits} targets exited");
    let refused = results.iter().filter(|result| result.status == 503);
    assert!(
        refused.count() >= results.len() - (exits - 1),
        "{results:?}"
    );
}

// Guards against exits that are attributed to no part because the callers leave at once.
#[tokio::test]
async fn an_exit_under_an_abandoned_run_is_attributed_to_its_parts() {
    let fleet = Fleet::start(2, TARGETS).await;
    for number in 0..8 {
        let attempt = format!("left-{number}");
        let parts = poison_parts(number);
        let sent = send_parts(&fleet, number, "/unsafe/draft", &attempt, &parts);
        let _ = tokio::time::timeout(LEAVES_AFTER, sent).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let exits = fleet.exited_count();
    assert!((1..=MAX_EXITS).contains(&exits), "{exits} targets exited");
}

// Guards against a part that is known only as long as the entries that saw the exits.
#[tokio::test]
async fn a_held_part_is_known_after_the_loss_of_all_entries() {
    let mut fleet = Fleet::start(2, TARGETS).await;
    let exits = put_part_on_hold(&fleet).await;

    fleet.entries.clear();
    fleet.start_entry().await;
    let poison = send_parts(&fleet, 0, "/unsafe/draft", "again", &poison_parts(99)).await;
    let sound = send_parts(&fleet, 0, "/unsafe/draft", "sound", &sound_parts(99)).await;

    assert_eq!((poison.status, sound.status), (503, 200));
    assert!(poison.body.contains("held-back"), "{}", poison.body);
    assert!(poison.retry_after.is_some());
    assert_eq!(fleet.exited_count(), exits);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_list_lift_and_pin_a_part() {
    let fleet = Fleet::start(2, TARGETS).await;
    put_part_on_hold(&fleet).await;
    let name = format!("part:{POISON_PART}");

    let listed = quarantine(&fleet, "list", &[]);
    let line = listed.lines().find(|line| line.starts_with(&name));
    let line = line.expect("the part is listed");
    assert!(line.matches("i-").count() >= 2, "{line}");

    for target in &fleet.targets {
        target.set_behaviour(Behaviour::Responds);
    }
    quarantine(&fleet, "lift", &[&name]);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let lifted = send_parts(&fleet, 1, "/unsafe/draft", "lifted", &poison_parts(7)).await;
    assert_eq!(lifted.status, 200);

    quarantine(&fleet, "pin", &[&name]);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let pinned = send_parts(&fleet, 0, "/unsafe/draft", "pinned", &poison_parts(8)).await;
    assert_eq!((pinned.status, pinned.retry_after), (503, None));
}

#[tokio::test]
async fn causes_by_part_lead_from_a_refusal_to_the_part() {
    let fleet = Fleet::start(1, TARGETS).await;
    let exits = put_part_on_hold(&fleet).await;
    until(async || {
        let output = fleet.entries[0].daemon.output();
        output.contains("a request was held back")
    })
    .await;

    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args(["causes", "--by", "part"])
        .arg(&fleet.entries[0].daemon.log_path)
        .output()
        .expect("the command runs");

    let causes = String::from_utf8_lossy(&output.stdout);
    let line = causes.lines().find(|line| line.starts_with(POISON_PART));
    let line = line.expect("the part is named");
    assert_eq!(line.matches("ended i-").count(), exits, "{line}");
    assert!(line.contains("held back"), "{line}");
    let log = fleet.entries[0].daemon.output();
    let feature = format!("\"feature\":\"part:{POISON_PART}\"");
    assert!(log.contains(&feature), "{log}");
}
