//! Bounded queue between the daemon's threads and the log output.

use std::io::Write;
use std::iter::once;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use sapphirestile_serving::MonoClock;
use tracing_subscriber::fmt::MakeWriter;

use crate::logging::LogLimiter;
use crate::logging::LogLine;
use crate::logging::log_entry::LogEntry;

/// The capacity of the queue, in lines.
const QUEUE_LINES_MAX: usize = 2_048;

/// The maximum number of lines per second.
const LINES_PER_S: u64 = 600;

/// Bounded queue between the daemon's threads and the log output. Logging never blocks:
/// a line over the rate limit, or one that finds the queue full because the output is
/// stalled, is dropped and counted.
///
/// # Examples
///
/// ```
/// use std::io::Write;
///
/// use sapphirestile_entry::LogQueue;
/// use tracing_subscriber::fmt::MakeWriter;
///
/// let queue = LogQueue::to(Vec::new());
/// queue.make_writer().write_all(b"a line\n").unwrap();
/// assert_eq!(queue.dropped_lines(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<LogEntry>,
    limiter: Arc<LogLimiter>,
    dropped: Arc<AtomicU64>,
    clock: MonoClock,
}

impl LogQueue {
    /// Creates a queue whose own thread writes to `output`.
    ///
    /// # Panics
    ///
    /// When the operating system cannot create a thread.
    #[must_use]
    pub fn to(output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = bounded(QUEUE_LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let spawned = thread::Builder::new()
            .name("write log".to_owned())
            .spawn(move || write_lines(&queue, output, &writer_dropped));
        spawned.expect("failed to spawn the log writer thread");
        Self {
            lines,
            limiter: Arc::new(LogLimiter::new(LINES_PER_S)),
            dropped,
            clock: MonoClock::start(),
        }
    }

    /// The number of dropped lines that were not yet reported in the log.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Acquire)
    }

    /// Waits until all lines that were queued so far are written, at most for about `timeout`.
    /// Returns whether they are. Without it a process that ends loses its last lines.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_entry::LogQueue;
    ///
    /// let queue = LogQueue::to(Vec::new());
    /// assert!(queue.flush(Duration::from_secs(10)));
    /// ```
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let (reply, written) = bounded(1);
        let sent = self.lines.send_timeout(LogEntry::Flush(reply), timeout);
        sent.is_ok() && written.recv_timeout(timeout).is_ok()
    }

    pub(crate) fn push(&self, line: Vec<u8>) {
        let is_within_limit = self.limiter.try_acquire(self.clock.now());
        if !is_within_limit || self.lines.try_send(LogEntry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogLine<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LogLine::new(self)
    }
}

/// Writes queued lines, several at once when more are pending. Output errors are
/// ignored, since there is nowhere else to report them.
fn write_lines(queue: &Receiver<LogEntry>, mut output: impl Write, dropped: &AtomicU64) {
    for first in queue {
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for entry in once(first).chain(queue.try_iter()) {
            match entry {
                LogEntry::Line(line) => text.extend(line),
                LogEntry::Flush(reply) => flushes.push(reply),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::AcqRel);
        if dropped_lines > 0 {
            let report = format!(
                "{{\"level\":\"WARN\",\"fields\":{{\"message\":\"log lines dropped\",\"lines\":{dropped_lines}}}}}\n"
            );
            text.extend(report.into_bytes());
        }
        let _ = output.write_all(&text).and_then(|()| output.flush());
        for reply in flushes {
            // Whoever waited may have given up.
            let _heard = reply.send(());
        }
    }
}
