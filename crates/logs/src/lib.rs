//! Structured logs on standard output that never hold a request up.
//!
//! Each record is one JSON object a line, with its key-value pairs. A writer
//! thread does the writing; whoever logs only hands a line over. If standard
//! output does not keep up, lines are dropped and counted, and the count is
//! written once there is room again: a log that blocks would stall traffic
//! just when somebody looks at it.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, json_format};
use log::Record;

/// Lines that may wait for the writer: a few seconds of a busy process.
const QUEUED_LINES: usize = 2_048;

/// Stack of the writer thread; it formats nothing.
const WRITER_STACK_BYTES: usize = 64 << 10;

struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let note = match lost {
            0 => Vec::new(),
            _ => {
                format!("{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"count\":{lost}}}\n")
                    .into_bytes()
            }
        };
        // Nobody is left to tell if standard output is gone.
        let _ = out.write_all(&note).and_then(|()| out.write_all(&line));
    }
}

static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Starts logging at `level`, such as `info`, until the process ends.
///
/// # Errors
///
/// If the level is not known or the writer thread cannot be started.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let (sender, receiver) = sync_channel(QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = BoundedWriter {
        lines: sender,
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver, &dropped))?;
    let handle = Logger::try_with_str(level)?
        .log_to_writer(Box::new(writer))
        .start()?;
    HANDLE.get_or_init(|| handle);
    Ok(())
}
