//! Structured, non-blocking logs on standard output.
//!
//! Each log record is written as one line with a JSON object, including its key-value pairs. The
//! thread that logs only formats the line and queues it; a writer thread writes it. If standard
//! output is too slow, lines are dropped, and their number is written before the next line.
//! Blocking instead would stall traffic whenever the reader of the log is slow.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, json_format};
use log::Record;

/// Capacity of the queue, a few seconds of output of a busy process.
const MAX_QUEUED_LINES: usize = 2_048;

/// Stack size of the writer thread. A small stack is enough, as the thread does not format records.
const WRITER_STACK_BYTES: usize = 64 << 10;

struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for QueueWriter {
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
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        let dropped_notice = match dropped_count {
            0 => Vec::new(),
            _ => format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"count\":{dropped_count}}}\n"
            )
            .into_bytes(),
        };
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = out
            .write_all(&dropped_notice)
            .and_then(|()| out.write_all(&line));
    }
}

static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Starts logging at `level`, such as `info`, for the rest of the process.
///
/// # Errors
///
/// If the level is unknown or the writer thread cannot be started.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueueWriter {
        lines: sender,
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver, &dropped))?;
    let handle = Logger::try_with_str(level)?
        .log_to_writer(Box::new(writer))
        // By default, an error of the logger that cannot be reported on standard error is a panic of
        // the thread that logs.
        .panic_if_error_channel_is_broken(false)
        .start()?;
    HANDLE.get_or_init(|| handle);
    Ok(())
}
