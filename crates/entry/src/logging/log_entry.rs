//! Entries of the log queue.

use crossbeam::channel::Sender;

/// An entry of the log queue.
#[derive(Debug)]
pub(super) enum LogEntry {
    /// A line to write.
    Line(Vec<u8>),
    /// Answered once all entries before it are written.
    Flush(Sender<()>),
}
