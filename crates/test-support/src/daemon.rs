//! The real binaries as child processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::{Context, Result, bail};
use nix::sys::signal;
use nix::unistd::Pid;

/// Signals that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Asks for the settings to be read anew.
    Reload,
    /// Freezes the process.
    Stop,
    /// Wakes the process.
    Continue,
}

/// A running daemon; it is killed when dropped.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    /// Where its output goes.
    pub log_path: PathBuf,
}

static NEXT: AtomicU32 = AtomicU32::new(0);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

impl Daemon {
    /// Starts `binary` with `arguments` and a settings file of `settings`.
    ///
    /// # Errors
    ///
    /// If the binary has not been built.
    pub fn start(binary_name: &str, arguments: &[&str], settings: &str) -> Result<Self> {
        let path = binary(binary_name)?;
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let stem = format!("berylhook-test-{}-{number}", std::process::id());
        let settings_path = std::env::temp_dir().join(format!("{stem}.ini"));
        let log_path = std::env::temp_dir().join(format!("{stem}.log"));
        fs::write(&settings_path, settings).context("the settings file cannot be written")?;
        let output = fs::File::create(&log_path).context("the log file cannot be made")?;
        let child = Command::new(path)
            .args(arguments)
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| format!("{binary_name} cannot be started"))?;
        Ok(Self {
            child,
            settings: settings_path,
            log_path,
        })
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, which: Signal) {
        let which = match which {
            Signal::Kill => signal::Signal::SIGKILL,
            Signal::Terminate => signal::Signal::SIGTERM,
            Signal::Reload => signal::Signal::SIGHUP,
            Signal::Stop => signal::Signal::SIGSTOP,
            Signal::Continue => signal::Signal::SIGCONT,
        };
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        // A process that has ended already needs no signal.
        let _ = signal::kill(Pid::from_raw(pid), which);
    }

    /// Whether it has ended.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends it at once, and waits until it has ended and its addresses are free.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        // How it ended is known.
        let _ = self.child.wait();
    }

    /// Waits for its end and gives its exit code.
    ///
    /// # Errors
    ///
    /// If it ended by a signal.
    pub fn wait(&mut self) -> Result<i32> {
        match self.child.wait()?.code() {
            Some(code) => Ok(code),
            None => bail!("ended by a signal"),
        }
    }

    /// What it has printed so far.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Peak or current resident memory in kB, as the kernel counts it.
    #[must_use]
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        status
            .unwrap_or_default()
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
            .unwrap_or(0)
    }

    /// Processor time used so far, in milliseconds.
    #[must_use]
    pub fn cpu_ms(&self) -> u64 {
        const TICK_MS: u64 = 10;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> u64 {
            fields
                .get(index)
                .and_then(|field| field.parse().ok())
                .unwrap_or(0)
        };
        (ticks(11) + ticks(12)) * TICK_MS
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
        if !std::thread::panicking() {
            let _ = fs::remove_file(&self.log_path);
        }
    }
}

/// The path of a binary of this workspace, beside the running test.
///
/// # Errors
///
/// If it has not been built.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own
        .ancestors()
        .skip(1)
        .take(3)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.with_context(|| format!("`{name}` is not built; run `cargo build --workspace --bins`"))
}

/// A loopback address that nobody else on this machine uses.
///
/// Asking the kernel for a free port and closing it again would race with
/// every other test that does so. The whole of 127.0.0.0/8 is loopback, so
/// each test process takes a /24 of its own by its process id.
#[must_use]
pub fn free_address() -> SocketAddr {
    const HOSTS: u32 = 250;
    const FIRST_PORT: u32 = 9_000;
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id() % 64_000 + 256;
    let [_, _, high, low] = process.to_be_bytes();
    let host = u8::try_from(number % HOSTS + 1).expect("below 251");
    let port = u16::try_from(FIRST_PORT + number / HOSTS).expect("tests use few addresses");
    SocketAddr::from(([127, high, low, host], port))
}
