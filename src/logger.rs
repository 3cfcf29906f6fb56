//! Log set-up on fern: text or JSON lines on standard error, or lines on standard output that never
//! block the process.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use log::LevelFilter;

use crate::clock;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::VmName;
use crate::settings::CommonSettings;

/// Starts logging to standard error, as text or JSON lines.
///
/// # Errors
/// `Kernel` if logging was started before.
pub fn open_stderr(common: &CommonSettings) -> Result<()> {
    let vm = common.vm.clone();
    let json = common.log_json;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zinnialoom", LevelFilter::Info)
        .format(move |out, message, record| {
            let millis = clock::millis(clock::stamp());
            if json {
                let line = serde_json::json!({
                    "time_ms": millis,
                    "level": record.level().as_str(),
                    "vm": vm,
                    "module": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!(
                    "{millis} {} {vm} {}: {message}",
                    record.level(),
                    record.target()
                ));
            }
        })
        .chain(io::stderr())
        .apply()
        .map_err(|e| Error::new(Code::Kernel, format!("log: {e}")))
}

/// Maximum number of lines queued for a slow reader of standard output; further lines are counted and
/// dropped.
const QUEUE_LINES: usize = 1_024;
/// Size at which a batch of lines is written.
const BATCH_BYTES: usize = 16 << 10;

/// How long a process waits at its end for queued lines. An active reader empties a full queue within a
/// few milliseconds; a stop reserves 5 % of its time for the end of the process, which is 300 ms of 6 s.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which `flush` checks whether all lines are written.
const FLUSH_POLL_PERIOD: Duration = Duration::from_millis(1);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that are queued or being written.
static PENDING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Number of lines dropped because the reader of standard output was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts structured logging to standard output: one JSON object a line.
///
/// A separate thread writes the lines, and a line is dropped if the queue is full, so that logging never
/// blocks.
///
/// # Errors
/// `Kernel` if logging was started before or the thread cannot be started.
pub fn open_stdout(vm: &VmName) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| Error::new(Code::Kernel, format!("log: {e}"));
    let (queue, lines) = mpsc::sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&lines))
        .map_err(|e| failed(&e))?;
    let vm = vm.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zinnialoom", LevelFilter::Info)
        .level_for("zinnia_platform", LevelFilter::Info)
        .format(move |out, message, record| {
            let line = serde_json::json!({
                "time_ms": clock::millis(clock::stamp()),
                "level": record.level().as_str(),
                "vm": vm,
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::call(move |record| {
            push(&queue, record.args().to_string());
        }))
        .apply()
        .map_err(|e| failed(&e))
}

/// Blocks until all lines logged so far are written; the last step of a program.
///
/// Returns after 200 ms (`FLUSH_TIMEOUT`) even if standard output is not read.
pub fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while PENDING_LINES.load(Ordering::SeqCst) > 0 && Instant::now() < end {
        thread::sleep(FLUSH_POLL_PERIOD);
    }
}

fn push(queue: &SyncSender<String>, line: String) {
    // Counted before it is queued, so that the writer never subtracts a line that was not added yet.
    PENDING_LINES.fetch_add(1, Ordering::SeqCst);
    if queue.try_send(line).is_err() {
        PENDING_LINES.fetch_sub(1, Ordering::SeqCst);
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        let mut batch = first + "\n";
        let mut count = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch += &line;
            batch.push('\n');
            count += 1;
        }
        let dropped = dropped_lines();
        if dropped > reported {
            batch += &format!("{{\"left_out\":{dropped}}}\n");
            reported = dropped;
        }
        // An error means that standard output is closed, so it cannot be reported there.
        let _ = io::stdout().lock().write_all(batch.as_bytes());
        PENDING_LINES.fetch_sub(count, Ordering::SeqCst);
    }
}

/// Shortest time between two log lines of one kind, for lines that callers can trigger at any rate. One line
/// a second still shows that the cause persists.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits log lines of one kind to one a second.
#[derive(Default)]
pub struct LogRateLimit(Mutex<RateState>);

#[derive(Default)]
struct RateState {
    last_line: Option<Instant>,
    skipped: u64,
}

impl LogRateLimit {
    /// Counts one event. Returns the number of events skipped since the last line if a new line is due.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut state = self.0.lock().unwrap();
        if state
            .last_line
            .is_some_and(|l| now.duration_since(l) < MIN_LINE_INTERVAL)
        {
            state.skipped += 1;
            return None;
        }
        state.last_line = Some(now);
        Some(std::mem::take(&mut state.skipped))
    }
}
