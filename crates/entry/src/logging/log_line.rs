//! A log line that is being written.

use std::io::Result;
use std::io::Write;

use crate::logging::LogQueue;

/// Buffers one log line and pushes it into the queue when dropped.
pub struct LogLine<'a> {
    queue: &'a LogQueue,
    text: Vec<u8>,
}

impl<'a> LogLine<'a> {
    /// Creates an empty line of `queue`.
    pub const fn new(queue: &'a LogQueue) -> Self {
        Self {
            queue,
            text: Vec::new(),
        }
    }
}

impl Write for LogLine<'_> {
    fn write(&mut self, text: &[u8]) -> Result<usize> {
        self.text.extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Drop for LogLine<'_> {
    fn drop(&mut self) {
        self.queue.push(std::mem::take(&mut self.text));
    }
}
