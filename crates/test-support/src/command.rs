//! The operators' commands, run to their end.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::binary;

/// What a command did.
#[derive(Debug)]
pub struct CommandOutput {
    /// Its exit code.
    pub code: i32,
    /// What it printed.
    pub stdout: String,
    /// What it complained of.
    pub stderr: String,
}

/// Runs `berylhook` with these arguments.
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

/// The statuses of all entries that answer, asked with one entry's settings.
#[must_use]
pub fn statuses(settings: &str) -> Vec<serde_json::Value> {
    let settings = TemporaryFile::new(settings);
    let ran = berylhook(&["status", "--settings", settings.path(), "--format", "json"]);
    let value: serde_json::Value = serde_json::from_str(&ran.stdout).unwrap_or_default();
    value["entries"].as_array().cloned().unwrap_or_default()
}

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A file that is removed when dropped.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// A file of this text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("berylhook-file-{}-{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        Self(path)
    }

    /// Its path.
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
