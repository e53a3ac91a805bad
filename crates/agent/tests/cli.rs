//! The agent's command line.

use std::process::Command;

#[test]
fn a_missing_settings_file_is_named_with_a_remedy() {
    let output = Command::new(env!("CARGO_BIN_EXE_berylhook-agent"))
        .arg("does-not-exist.ini")
        .output()
        .expect("the binary runs");

    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        text.contains("does-not-exist.ini cannot be read; check the path"),
        "{text}"
    );
}
