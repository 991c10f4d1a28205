//! Line-by-line reading of a streamed response.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;

use error_stack::Report;
use ureq::Timeout;

use crate::http::CallError;

/// Reads lines of bounded length.
///
/// # Examples
///
/// ```
/// use sapphirestile_clients::http::LineReader;
///
/// let mut reader = LineReader::new(b"one\ntwo".as_slice(), 8);
/// assert_eq!(reader.next_line().unwrap().unwrap(), b"one");
/// assert_eq!(reader.next_line().unwrap().unwrap(), b"two");
/// assert!(reader.next_line().unwrap().is_none());
/// ```
pub struct LineReader {
    source: BufReader<Box<dyn Read>>,
    line: Vec<u8>,
    max_bytes: usize,
}

impl LineReader {
    /// Creates a reader that accepts lines of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(source: impl Read + 'static, max_bytes: usize) -> Self {
        Self {
            source: BufReader::new(Box::new(source)),
            line: Vec::new(),
            max_bytes,
        }
    }

    /// Reads the next line and returns it without its line ending, or `None` at the end of
    /// the response or when no line arrived in time.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`] when the connection failed or the line is too long.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, Report<CallError>> {
        self.line.clear();
        let limit = self.max_bytes as u64 + 1;
        let mut source = self.source.by_ref().take(limit);
        match source.read_until(b'\n', &mut self.line) {
            Ok(0) => return Ok(None),
            Ok(_) => {}
            Err(error) if is_read_timeout(&error) => return Ok(None),
            Err(error) => return Err(Report::new(error).change_context(CallError::Unknown)),
        }
        if self.line.last() == Some(&b'\n') {
            self.line.pop();
        }
        if self.line.len() > self.max_bytes {
            return Err(Report::new(CallError::Unknown));
        }
        Ok(Some(&self.line))
    }
}

/// Whether `error` means that nothing arrived on an open connection within the timeout.
fn is_read_timeout(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    matches!(inner, Some(ureq::Error::Timeout(Timeout::RecvBody)))
}
