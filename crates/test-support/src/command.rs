//! Runs the operators' commands to completion.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::binary;

/// The result of a command.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code; -1 if a signal ended the command.
    pub code: i32,
    /// Text written to standard output.
    pub stdout: String,
    /// Text written to standard error.
    pub stderr: String,
}

/// Runs `berylhook` with these arguments and waits until it exits.
#[must_use]
pub fn berylhook(arguments: &[&str]) -> CommandOutput {
    let path = binary("berylhook").expect("the binary is built");
    let output = Command::new(path)
        .args(arguments)
        .output()
        .expect("the binary runs");
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// The statuses of all entries that respond, queried with the settings of one entry.
#[must_use]
pub fn statuses(settings: &str) -> Vec<serde_json::Value> {
    let settings = TemporaryFile::new(settings);
    let output = berylhook(&["status", "--settings", settings.path(), "--format", "json"]);
    let value: serde_json::Value = serde_json::from_str(&output.stdout).unwrap_or_default();
    value["entries"].as_array().cloned().unwrap_or_default()
}

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A temporary file that is removed when dropped.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Creates a file that contains `text`.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let name = format!("berylhook-file-{}-{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        Self(path)
    }

    /// Path of the file.
    #[must_use]
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
