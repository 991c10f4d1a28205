//! The queue of lines of the log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use sapphirestile_serving::MonoClock;
use tracing_subscriber::fmt::MakeWriter;

use crate::logging::LogBudget;
use crate::logging::LogLine;

/// The most lines that wait for a reader.
const LINES_MAX: usize = 2_048;

/// The most lines a second.
const LINES_A_SECOND: u64 = 600;

/// The queue of lines of the log. Whoever logs never waits: a line over the budget,
/// or one that finds the queue full because nobody reads it, is dropped and counted.
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
/// assert_eq!(queue.held_back(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    budget: Arc<LogBudget>,
    held_back: Arc<AtomicU64>,
    clock: MonoClock,
}

impl LogQueue {
    /// A queue that a thread of its own writes to `output`.
    ///
    /// # Panics
    ///
    /// When the operating system gives no thread.
    #[must_use]
    pub fn to(output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = bounded(LINES_MAX);
        let held_back = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&held_back);
        let spawned = thread::Builder::new()
            .name("write log".to_owned())
            .spawn(move || write_lines(&queue, output, &dropped));
        spawned.expect("the operating system gives a thread");
        Self {
            lines,
            budget: Arc::new(LogBudget::new(LINES_A_SECOND)),
            held_back,
            clock: MonoClock::start(),
        }
    }

    /// How many lines were held back and not told of yet.
    #[must_use]
    pub fn held_back(&self) -> u64 {
        self.held_back.load(Ordering::Acquire)
    }

    pub(crate) fn push(&self, line: Vec<u8>) {
        let is_in_budget = self.budget.take(self.clock.now());
        if !is_in_budget || self.lines.try_send(line).is_err() {
            self.held_back.fetch_add(1, Ordering::AcqRel);
        }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogLine<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LogLine::new(self)
    }
}

/// Writes lines as they come, several at once when they have gathered. A log that
/// cannot be written has nobody to be told.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write, held_back: &AtomicU64) {
    for mut text in queue {
        for line in queue.try_iter() {
            text.extend(line);
        }
        let dropped = held_back.swap(0, Ordering::AcqRel);
        if dropped > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"fields\":{{\"message\":\"lines were held back\",\"lines\":{dropped}}}}}\n"
            );
            text.extend(note.into_bytes());
        }
        let _ = output.write_all(&text).and_then(|()| output.flush());
    }
}
