//! `berylhook causes` reports from the logs of entries why requests were late.

use std::process::{Command, Output};

use berylhook_test_support::binary;
use serde_json::{Value, json};

fn log_line(second: u32, kv: &Value) -> String {
    let timestamp = format!("2026-01-01 00:00:{second:02}.250000 +00:00");
    json!({"timestamp": timestamp, "text": "request ended", "kv": kv}).to_string()
}

fn request_ended(outcome: &str, first_ms: u64, waited_ms: u64, longest_pause_ms: u64) -> Value {
    json!({
        "outcome": outcome, "first_ms": first_ms, "waited_ms": waited_ms,
        "longest_pause_ms": longest_pause_ms, "goal_ms": 400, "pause_goal_ms": 120,
    })
}

/// Runs the command on a log. `group_by` is also part of the name of the file, because tests run
/// concurrently.
fn run_causes(log: &str, group_by: &str) -> Output {
    let name = format!("causes-{group_by}-{}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, log).expect("the log is written");
    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args(["causes", "--format", "json", "--by", group_by])
        .arg(&path)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the log is removed");
    output
}

fn causes_json(log: &str, group_by: &str) -> Value {
    serde_json::from_slice(&run_causes(log, group_by).stdout).expect("the output is JSON")
}

#[test]
fn each_request_is_counted_by_the_cause_of_its_delay() {
    let log = [
        log_line(1, &request_ended("streamed", 200, 0, 90)),
        log_line(1, &request_ended("streamed", 900, 700, 90)),
        log_line(1, &request_ended("streamed", 900, 10, 90)),
        log_line(2, &request_ended("streamed", 200, 0, 180)),
        log_line(2, &request_ended("streamed", 900, 700, 180)),
        log_line(2, &request_ended("no-place", 0, 160, 0)),
        json!({"timestamp": "2026-01-01 00:00:02", "text": "map changed", "kv": {}}).to_string(),
        "{\"timestamp\": \"2026-01".to_owned(),
    ];

    let causes = causes_json(&log.join("\n"), "second");

    assert_eq!(
        causes["by_second"],
        json!({
            "2026-01-01 00:00:01": {
                "in goal": 1, "late, waited here": 1, "late at the target": 1,
            },
            "2026-01-01 00:00:02": {"paused": 1, "late, and paused": 1, "no-place": 1},
        })
    );
    assert_eq!(causes["all"]["in goal"], 1);
    assert_eq!(causes["unreadable_lines"], 1);
}

// Guards against an empty table and a report that every line is unreadable: log collectors write
// the time and the name of the VM before each line.
#[test]
fn a_prefix_before_the_json_of_a_line_is_ignored() {
    let log = [
        format!(
            "12.25 entry-a {}",
            log_line(1, &request_ended("streamed", 200, 0, 90))
        ),
        format!(
            "12.50 entry-b {}",
            log_line(1, &request_ended("no-place", 0, 160, 0))
        ),
        format!(
            "-3.75 entry-b {}",
            log_line(2, &request_ended("streamed", 200, 0, 90))
        ),
    ];

    let causes = causes_json(&log.join("\n"), "vm");

    assert_eq!(
        causes["by_vm"],
        json!({"entry-a": {"in goal": 1}, "entry-b": {"in goal": 1, "no-place": 1}})
    );
    assert_eq!(causes["unreadable_lines"], 0);
}

#[test]
fn requests_are_counted_by_their_last_target() {
    let mut record = request_ended("streamed", 900, 10, 90);
    record["last_target"] = json!("i-7f3a");
    let log = [log_line(1, &record), log_line(2, &record)];

    let causes = causes_json(&log.join("\n"), "target");

    assert_eq!(
        causes["by_target"],
        json!({"i-7f3a": {"late at the target": 2}})
    );
}

#[test]
fn a_file_that_is_not_an_entry_log_is_an_error_with_a_hint() {
    let log = vec!["GET / HTTP/1.1"; 20].join("\n");

    let output = run_causes(&log, "route");

    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(text.contains("20 of 20 lines could not be read"), "{text}");
    assert!(text.contains("name logs of entries"), "{text}");
}

#[test]
fn the_error_for_a_missing_log_has_its_path() {
    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args(["causes", "/no/such/log"])
        .output()
        .expect("the command runs");

    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(text.contains("/no/such/log cannot be read"), "{text}");
}
