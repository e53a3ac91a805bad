//! Runs the real binaries as child processes.

use std::fs;
use std::io::{PipeReader, PipeWriter, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::{Context, Result, bail};
use nix::sys::signal;
use nix::unistd::Pid;

/// Signals that tests send to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGKILL`: ends the process at once.
    Kill,
    /// `SIGTERM`: requests a graceful shutdown.
    Terminate,
    /// `SIGHUP`: makes the process reload its settings.
    Reload,
    /// `SIGSTOP`: suspends the process.
    Stop,
    /// `SIGCONT`: resumes the process.
    Continue,
}

impl Signal {
    fn number(self) -> signal::Signal {
        match self {
            Self::Kill => signal::Signal::SIGKILL,
            Self::Terminate => signal::Signal::SIGTERM,
            Self::Reload => signal::Signal::SIGHUP,
            Self::Stop => signal::Signal::SIGSTOP,
            Self::Continue => signal::Signal::SIGCONT,
        }
    }
}

/// A child process; it is killed when dropped.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    /// The file that receives its standard output and standard error.
    pub log_path: PathBuf,
    /// The end of a pipe that is not read, if that receives its output.
    unread_log: Option<PipeReader>,
}

/// Where the standard output and standard error of a process go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// To its log file.
    #[default]
    File,
    /// To a disk that is full: every write fails.
    FullDisk,
    /// To a pipe that is full and not read: every write blocks.
    FullPipe,
}

static NEXT_DAEMON: AtomicU32 = AtomicU32::new(0);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Fills a pipe. The thread blocks until the pipe's other end is closed.
fn fill_in_background(mut writer: PipeWriter) {
    std::thread::spawn(move || while writer.write_all(&[b'.'; 4_096]).is_ok() {});
}

impl Daemon {
    /// Starts a binary of this workspace with `arguments` and the path of a file that contains
    /// `settings`.
    ///
    /// # Errors
    ///
    /// If the binary has not been built or cannot be started.
    pub fn start(binary_name: &str, arguments: &[&str], settings: &str) -> Result<Self> {
        Self::start_with_output(binary_name, arguments, settings, None)
    }

    /// Like [`Self::start`], with at most `descriptors` open files.
    ///
    /// # Errors
    ///
    /// If the binary has not been built or cannot be started.
    pub fn start_with_descriptors(
        binary_name: &str,
        arguments: &[&str],
        settings: &str,
        descriptors: u64,
    ) -> Result<Self> {
        let path = binary(binary_name)?;
        let mut command = Command::new("sh");
        command
            .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
            .arg(descriptors.to_string())
            .arg(path);
        Self::start_command(command, arguments, settings, None)
    }

    /// Like [`Self::start`], with another output.
    ///
    /// # Errors
    ///
    /// If the binary has not been built or cannot be started.
    pub fn start_with_log_output(
        binary_name: &str,
        arguments: &[&str],
        settings: &str,
        log_output: LogOutput,
    ) -> Result<Self> {
        match log_output {
            LogOutput::File => Self::start(binary_name, arguments, settings),
            LogOutput::FullDisk => {
                let full = fs::File::options().write(true).open("/dev/full")?;
                Self::start_with_output(binary_name, arguments, settings, Some(full.into()))
            }
            LogOutput::FullPipe => {
                let (reader, writer) = std::io::pipe()?;
                fill_in_background(writer.try_clone()?);
                let output = Some(writer.into());
                let mut daemon = Self::start_with_output(binary_name, arguments, settings, output)?;
                daemon.unread_log = Some(reader);
                Ok(daemon)
            }
        }
    }

    /// Starts a binary that writes its output to `output`, or to its log file.
    fn start_with_output(
        binary_name: &str,
        arguments: &[&str],
        settings: &str,
        output: Option<OwnedFd>,
    ) -> Result<Self> {
        let command = Command::new(binary(binary_name)?);
        Self::start_command(command, arguments, settings, output)
    }

    /// Runs a command with `arguments` and the path of the settings.
    fn start_command(
        mut command: Command,
        arguments: &[&str],
        settings: &str,
        output: Option<OwnedFd>,
    ) -> Result<Self> {
        let number = NEXT_DAEMON.fetch_add(1, Ordering::SeqCst);
        let stem = format!("berylhook-test-{}-{number}", std::process::id());
        let settings_path = std::env::temp_dir().join(format!("{stem}.ini"));
        let log_path = std::env::temp_dir().join(format!("{stem}.log"));
        fs::write(&settings_path, settings).context("the settings file cannot be written")?;
        let log_file = fs::File::create(&log_path).context("the log file cannot be created")?;
        let output = output.unwrap_or_else(|| log_file.into());
        command
            .args(arguments)
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        let child = command.spawn();
        let child = child.with_context(|| format!("{command:?} cannot be started"))?;
        Ok(Self {
            child,
            settings: settings_path,
            log_path,
            unread_log: None,
        })
    }

    /// Starts a binary that waits for its settings, see [`Self::provide_settings`].
    ///
    /// # Errors
    ///
    /// If the binary has not been built or cannot be started.
    pub fn start_without_settings(binary_name: &str, arguments: &[&str]) -> Result<Self> {
        let number = NEXT_DAEMON.fetch_add(1, Ordering::SeqCst);
        let stem = format!("berylhook-test-{}-{number}", std::process::id());
        let log_path = std::env::temp_dir().join(format!("{stem}.log"));
        let log_file = fs::File::create(&log_path).context("the log file cannot be created")?;
        let child = Command::new(binary(binary_name)?)
            .args(arguments)
            .arg("/dev/stdin")
            .stdin(Stdio::piped())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .spawn()
            .with_context(|| format!("{binary_name} cannot be started"))?;
        Ok(Self {
            child,
            settings: std::env::temp_dir().join(format!("{stem}.ini")),
            log_path,
            unread_log: None,
        })
    }

    /// Sends the settings to a process that was started without them.
    ///
    /// # Errors
    ///
    /// If the process does not read them.
    pub fn provide_settings(&mut self, settings: &str) -> Result<()> {
        let stdin = self.child.stdin.take();
        let mut stdin = stdin.context("the process has its settings")?;
        stdin.write_all(settings.as_bytes())?;
        Ok(())
    }

    /// Whether the process has a handler for the signal, as reported by the kernel.
    #[must_use]
    pub fn handles(&self, signal: Signal) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        let bit = signal.number() as u32 - 1;
        caught.is_some_and(|mask| mask >> bit & 1 == 1)
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, requested: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        // Fails if the process has already exited, which needs no signal.
        let _ = signal::kill(Pid::from_raw(pid), requested.number());
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits until it has exited, which frees its addresses.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        // The exit status says only that the process was killed.
        let _ = self.child.wait();
    }

    /// Waits until the process exits and returns its exit code.
    ///
    /// # Errors
    ///
    /// If a signal ended the process.
    pub fn wait(&mut self) -> Result<i32> {
        match self.child.wait()?.code() {
            Some(code) => Ok(code),
            None => bail!("a signal ended the process"),
        }
    }

    /// Everything the process has written to its log so far.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Resident memory in kB, as reported by the kernel; 0 if the process has exited.
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

    /// CPU time used so far, user and system, in milliseconds.
    #[must_use]
    pub fn cpu_ms(&self) -> u64 {
        const TICK_MS: u64 = 10;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The name in parentheses may contain spaces, so fields are counted from its end.
        let fields_after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = fields_after_name.split_whitespace().collect();
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

/// Finds a binary of this workspace in the build directories above the running test.
///
/// # Errors
///
/// If it has not been built.
pub fn binary(name: &str) -> Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let binary_path = current_exe
        .ancestors()
        .skip(1)
        .take(3)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    binary_path
        .with_context(|| format!("`{name}` is not built; run `cargo build --workspace --bins`"))
}

/// A loopback address that no other process on this machine uses.
///
/// Taking a free port from the kernel and closing it again would race with other tests that do the
/// same. All of 127.0.0.0/8 is loopback, so each test process uses a /24 of its own, chosen by its
/// process id.
#[must_use]
pub fn free_address() -> SocketAddr {
    const HOSTS: u32 = 250;
    const FIRST_PORT: u32 = 9_000;
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::SeqCst);
    let subnet = std::process::id() % 64_000 + 256;
    let [_, _, high, low] = subnet.to_be_bytes();
    let host = u8::try_from(number % HOSTS + 1).expect("below 251");
    let port = u16::try_from(FIRST_PORT + number / HOSTS).expect("tests use few addresses");
    SocketAddr::from(([127, high, low, host], port))
}
