//! A line of the log that is being written.

use std::io::Result;
use std::io::Write;

use crate::logging::LogQueue;

/// A line of the log, which goes into the queue as a whole when it is dropped.
pub struct LogLine<'a> {
    queue: &'a LogQueue,
    text: Vec<u8>,
}

impl<'a> LogLine<'a> {
    /// An empty line.
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
