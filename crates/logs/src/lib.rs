//! Structured, non-blocking logs.
//!
//! The thread that logs only formats the line and queues it; a writer thread writes it. If the
//! output is too slow, lines are dropped, and their number is written before the next line.
//! Blocking instead would stall traffic whenever the reader of the log is slow.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{
    DeferredNow, FlexiLoggerError, FormatFunction, Logger, LoggerHandle, detailed_format,
    json_format,
};
use log::Record;

/// Capacity of the queue, a few seconds of output of a busy process.
const MAX_QUEUED_LINES: usize = 2_048;

/// Stack size of the writer thread. A small stack is enough, as the thread does not format records.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// How long a process that ends waits for its last lines to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The standard stream that receives the log.
#[derive(Clone, Copy)]
enum Output {
    Stdout,
    Stderr,
}

/// The form of a log line.
#[derive(Clone, Copy)]
enum LineFormat {
    /// A JSON object with the record's key-value pairs.
    Json,
    /// Text with time, level, module and position.
    Text,
}

impl LineFormat {
    fn function(self) -> FormatFunction {
        match self {
            Self::Json => json_format,
            Self::Text => detailed_format,
        }
    }
}

enum Message {
    Line(Vec<u8>),
    /// Reply once all lines before this message have been written.
    Flush(SyncSender<()>),
}

struct QueueWriter {
    format: FormatFunction,
    messages: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        match self.messages.try_send(Message::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (sender, is_written) = sync_channel(1);
        // If the queue is full, nobody reads the log, and waiting for it is of no use.
        if self.messages.try_send(Message::Flush(sender)).is_ok() {
            let _ = is_written.recv_timeout(CLOSE_TIMEOUT);
        }
        Ok(())
    }
}

fn write_messages(
    mut output: impl Write,
    format: LineFormat,
    messages: &Receiver<Message>,
    dropped: &AtomicU64,
) {
    while let Ok(message) = messages.recv() {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(sender) => {
                // The process may have stopped waiting.
                let _ = sender.try_send(());
                continue;
            }
        };
        let notice = match dropped.swap(0, Ordering::Relaxed) {
            0 => String::new(),
            count => dropped_notice(format, count),
        };
        // If the output is closed, the error cannot be reported anywhere.
        let _ = output
            .write_all(notice.as_bytes())
            .and_then(|()| output.write_all(&line));
    }
}

fn dropped_notice(format: LineFormat, count: u64) -> String {
    match format {
        LineFormat::Json => {
            format!("{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"count\":{count}}}\n")
        }
        LineFormat::Text => format!("WARN {count} log lines dropped\n"),
    }
}

static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Starts logging to standard error at `level`, such as `info`, for the rest of the process.
///
/// # Errors
///
/// If the level is unknown or the writer thread cannot be started.
pub fn start_on_stderr(level: &str, is_json: bool) -> Result<(), FlexiLoggerError> {
    let format = if is_json {
        LineFormat::Json
    } else {
        LineFormat::Text
    };
    start_with(level, format, Output::Stderr)
}

/// Starts logging JSON to standard output at `level`, such as `info`, for the rest of the process.
///
/// # Errors
///
/// If the level is unknown or the writer thread cannot be started.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    start_with(level, LineFormat::Json, Output::Stdout)
}

fn start_with(level: &str, format: LineFormat, output: Output) -> Result<(), FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueueWriter {
        format: format.function(),
        messages: sender,
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || match output {
            Output::Stdout => write_messages(std::io::stdout(), format, &receiver, &dropped),
            Output::Stderr => write_messages(std::io::stderr(), format, &receiver, &dropped),
        })?;
    let handle = Logger::try_with_str(level)?
        .log_to_writer(Box::new(writer))
        // By default, an error of the logger that cannot be reported on standard error is a panic of
        // the thread that logs.
        .panic_if_error_channel_is_broken(false)
        .start()?;
    HANDLE.get_or_init(|| handle);
    Ok(())
}

/// Waits until the lines logged so far have been written, but only briefly if nobody reads them.
pub fn flush() {
    log::logger().flush();
}
