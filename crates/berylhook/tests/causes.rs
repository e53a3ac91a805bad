//! `berylhook causes` tells from the logs of entries why requests were late.

use std::process::Command;

use berylhook_test_support::binary;
use serde_json::{Value, json};

fn line(second: u32, kv: &Value) -> String {
    let timestamp = format!("2026-01-01 00:00:{second:02}.250000 +00:00");
    json!({"timestamp": timestamp, "text": "request ended", "kv": kv}).to_string()
}

fn end(outcome: &str, first_ms: u64, waited_ms: u64, longest_pause_ms: u64) -> Value {
    json!({
        "outcome": outcome, "first_ms": first_ms, "waited_ms": waited_ms,
        "longest_pause_ms": longest_pause_ms, "goal_ms": 400, "pause_goal_ms": 120,
    })
}

fn causes(log: &str) -> Value {
    let path = std::env::temp_dir().join(format!("causes-{}.log", std::process::id()));
    std::fs::write(&path, log).expect("the log is written");
    let output = Command::new(binary("berylhook").expect("built"))
        .args(["causes", "--format", "json"])
        .arg(&path)
        .output()
        .expect("it runs");
    std::fs::remove_file(&path).expect("the log is removed");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn each_request_is_counted_by_where_its_time_went() {
    let log = [
        line(1, &end("streamed", 200, 0, 90)),
        line(1, &end("streamed", 900, 700, 90)),
        line(1, &end("streamed", 900, 10, 90)),
        line(2, &end("streamed", 200, 0, 180)),
        line(2, &end("streamed", 900, 700, 180)),
        line(2, &end("no-place", 0, 160, 0)),
        json!({"timestamp": "2026-01-01 00:00:02", "text": "map changed", "kv": {}}).to_string(),
        "{\"timestamp\": \"2026-01".to_owned(),
    ];

    let told = causes(&log.join("\n"));

    assert_eq!(
        told["by_second"],
        json!({
            "2026-01-01 00:00:01": {
                "in goal": 1, "late, waited here": 1, "late at the target": 1,
            },
            "2026-01-01 00:00:02": {"paused": 1, "late, and paused": 1, "no-place": 1},
        })
    );
    assert_eq!(told["all"]["in goal"], 1);
    assert_eq!(told["unreadable_lines"], 1);
}

#[test]
fn a_log_that_is_not_there_is_named() {
    let output = Command::new(binary("berylhook").expect("built"))
        .args(["causes", "/no/such/log"])
        .output()
        .expect("it runs");

    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(text.contains("/no/such/log cannot be read"), "{text}");
}
